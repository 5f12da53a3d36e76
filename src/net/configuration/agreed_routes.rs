//! The routes of the DNS frontend as a consensus group agrees on them.
//!
//! While this gateway is an instance of a group, the routes in force are those of the newest committed document, or before
//! the first one those of its own configuration. They are in force only while the group's answers show that no newer
//! document is committed, see [`sagearch_agreement`]. This holds from the start of the gateway on, whether or not its
//! instance of the group runs yet: during an upgrade it waits for the previous process to free its address.

use crate::consensus::Follower;
use crate::net::lock;
use crate::settings::{Deployment, Names};
use sagearch_agreement::{Agreement, Document, Doubt, Timing};
use sagearch_operators::fronts::{self, Routes};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The name of a committed document in messages.
const DOCUMENT: &str = "document";
/// How long an instance may act after it has asked for the confirmation that it holds: an election takes about a second.
const LEASE: Duration = Duration::from_millis(1_500);
/// How long others may act on previous documents: the lease, with a tenth more for clocks that run at different rates.
const ACTIVATION_DELAY: Duration = Duration::from_millis(1_650);

/// A committed document.
enum RoutesDocument {
    Readable(Arc<Routes>),
    /// One that can't be read under this deployment, as where a zone is missing in its settings.
    Unreadable {
        text: Vec<u8>,
        deployment: Arc<Deployment>,
    },
}

impl RoutesDocument {
    fn read(text: Vec<u8>, deployment: Arc<Deployment>) -> RoutesDocument {
        match parse(&text, &deployment.names) {
            Ok(routes) => {
                log::info!("consensus group committed routes: {} sources", routes.sources.len());
                RoutesDocument::Readable(Arc::new(routes))
            }
            Err(cause) => {
                log::error!("committed routes can't be applied: {cause}");
                RoutesDocument::Unreadable { text, deployment }
            }
        }
    }

    /// Reads the document again if it could not be read under an earlier deployment.
    fn read_again(&mut self, current: &Arc<Deployment>) {
        if let RoutesDocument::Unreadable { text, deployment } = self
            && !Arc::ptr_eq(deployment, current)
        {
            *self = RoutesDocument::read(std::mem::take(text), current.clone());
        }
    }
}

/// The routes that instances of the group may be acting on now.
#[derive(Debug)]
pub struct RoutesInForce {
    newest: Arc<Routes>,
    previous: Vec<Arc<Routes>>,
}

impl RoutesInForce {
    /// Routes that no other instance contradicts.
    pub fn alone(routes: Arc<Routes>) -> RoutesInForce {
        RoutesInForce { newest: routes, previous: Vec::new() }
    }

    /// The newest of them.
    pub fn newest(&self) -> &Routes {
        &self.newest
    }

    /// What all of them say; `None` if they differ.
    pub fn agree_on<T: PartialEq>(&self, decide: impl Fn(&Routes) -> T) -> Option<T> {
        let decision = decide(&self.newest);
        self.previous.iter().all(|routes| decide(routes) == decision).then_some(decision)
    }
}

/// Whether this gateway may act on the routes of its group, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    InForce,
    /// A new document is committed, and others may still act on the previous one.
    Changing,
    /// A committed document can't be read here.
    Unreadable,
    Doubt(Doubt),
}

impl Standing {
    fn log(self) {
        match self {
            Standing::InForce => log::info!("consensus group: the newest committed routes are in force"),
            Standing::Changing => log::info!(
                "consensus group: new routes are committed; queries on which they differ from the previous ones \
                 fail for {ACTIVATION_DELAY:?}"
            ),
            Standing::Unreadable => {
                log::error!("consensus group: committed routes can't be read here; DNS queries fail");
            }
            Standing::Doubt(Doubt::NoLease) => log::warn!(
                "consensus group: no answer of a leader within {LEASE:?}; newer routes may be in force elsewhere, \
                 DNS queries fail"
            ),
            Standing::Doubt(Doubt::Behind) => {
                log::warn!("consensus group: catching up with committed entries; DNS queries fail");
            }
        }
    }
}

struct State {
    agreement: Agreement<RoutesDocument>,
    started_at: Instant,
    logged: Option<Standing>,
}

/// The routes of a gateway that is an instance of a group.
pub struct AgreedRoutes {
    state: Mutex<State>,
}

impl Default for AgreedRoutes {
    fn default() -> AgreedRoutes {
        let timing = Timing { lease: LEASE, activation_delay: ACTIVATION_DELAY };
        let state = State { agreement: Agreement::new(timing), started_at: Instant::now(), logged: None };
        AgreedRoutes { state: Mutex::new(state) }
    }
}

impl AgreedRoutes {
    /// The routes that may be acted on. `own` are those of the gateway's own configuration. `None`: it may act on none, as
    /// newer ones may be in force elsewhere, or as one of those in force can't be read here.
    pub fn in_force(&self, own: &Arc<Routes>) -> Option<RoutesInForce> {
        let mut state = self.state();
        let documents = state.agreement.documents_in_force(Instant::now()).ok()?;
        let mut routes = documents.map(|document| match document {
            Document::Initial => Some(own.clone()),
            Document::Committed(RoutesDocument::Readable(routes)) => Some(routes.clone()),
            Document::Committed(RoutesDocument::Unreadable { .. }) | Document::Unknown => None,
        });
        let mut previous = routes.by_ref().collect::<Option<Vec<_>>>()?;
        Some(RoutesInForce { newest: previous.pop()?, previous })
    }

    /// Logs whether the routes of the group are in force, when that has changed. An instance that starts is not in doubt
    /// before it has had the time to hear from the group.
    fn log_standing(&self) {
        let mut state = self.state();
        let standing = state.standing();
        let is_starting = state.logged.is_none() && state.started_at.elapsed() < LEASE;
        if is_starting && matches!(standing, Standing::Doubt(_)) {
            return;
        }
        if state.logged.replace(standing) != Some(standing) {
            standing.log();
        }
    }

    /// Locks the state. The lock must be held briefly, because queries wait for it.
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn standing(&mut self) -> Standing {
        let documents = match self.agreement.documents_in_force(Instant::now()) {
            Ok(documents) => documents,
            Err(doubt) => return Standing::Doubt(doubt),
        };
        let is_changing = documents.len() > 1;
        let is_unreadable = |document: &Document<_>| {
            matches!(document, Document::Committed(RoutesDocument::Unreadable { .. }))
        };
        if documents.last().is_some_and(is_unreadable) {
            Standing::Unreadable
        } else if is_changing {
            Standing::Changing
        } else {
            Standing::InForce
        }
    }
}

/// Parses a document of routes.
///
/// # Errors
///
/// All findings, with their lines and columns.
pub fn parse(text: &[u8], names: &Names) -> Result<Routes, String> {
    let text = std::str::from_utf8(text).map_err(|error| error.to_string())?;
    fronts::parse_agreed(DOCUMENT, text, names).map_err(|findings| findings.to_string())
}

/// Passes what the group commits to the routes of a gateway.
pub struct RoutesFollower<F> {
    /// The routes.
    pub routes: Arc<AgreedRoutes>,
    /// Returns the deployment in force, under whose names documents are read.
    pub deployment: F,
}

impl<F: Fn() -> Arc<Deployment> + Send> Follower for RoutesFollower<F> {
    fn committed(&mut self, document: &[u8]) {
        let document = RoutesDocument::read(document.to_vec(), (self.deployment)());
        self.routes.state().agreement.commit(document, Instant::now());
    }

    fn applied(&mut self, index: u64) {
        self.routes.state().agreement.apply(index);
    }

    fn confirmed(&mut self, requested_at: Instant, commit_index: u64) {
        self.routes.state().agreement.confirm(requested_at, commit_index);
    }

    fn tick(&mut self) {
        let deployment = (self.deployment)();
        let mut state = self.routes.state();
        for document in state.agreement.committed_documents() {
            document.read_again(&deployment);
        }
        drop(state);
        self.routes.log_standing();
    }
}

#[cfg(test)]
mod tests;
