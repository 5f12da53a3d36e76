//! The control service's side of the stream, as a state machine: target versions, transfers and rollouts.
//!
//! The number of concurrent transfers is limited; further ones wait in a queue. Versions are durable before they are
//! used: [`Service::prepare`] creates a version, the caller stores it, and [`Service::commit`] starts its rollout.

mod error;
mod notice;
mod progress;
mod schedule;
mod session;
mod status;
mod transfer;

pub use error::{CloseReason, PublishError};
pub use notice::Notice;
pub use transfer::Transfer;

use crate::Millis;
use crate::message::FromService;
use crate::rollout::{Plan, Rollout};
use crate::version::{Documents, MAX_DOCUMENTS, MAX_NAME_BYTES, Version};
use serde::{Deserialize, Serialize};
use session::Peer;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Identifies a session. Ids are not reused.
pub type SessionId = u64;

/// The settings of the service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The interval between heartbeats.
    pub heartbeat_interval: Millis,
    /// The window over which gateways spread their reconnects after an outage of the service.
    pub reconnect_window: Millis,
    /// The maximum number of concurrent transfers.
    pub max_transfers: usize,
    /// The maximum number of open sessions.
    pub max_sessions: usize,
    /// The number of versions that are retained.
    pub max_versions: usize,
    /// The maximum size of a version, in bytes.
    pub max_version_bytes: usize,
}

/// The role of a session's peer, according to its certificate.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// A gateway with this name.
    Gateway(String),
    /// An operator.
    Operator {
        /// The operator's name in the service's settings.
        name: String,
        /// Whether the operator may publish and roll back.
        may_change: bool,
    },
}

/// The durable state of the service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Incremented when the service has lost its version numbers and starts numbering again.
    pub epoch: u64,
    /// The last version number that was assigned.
    #[serde(rename = "last")]
    pub last_number: u64,
    /// The number of the version for gateways that the rollout does not include.
    pub stable: Option<u64>,
    /// The number of the version that is being rolled out, and its rollout. They are serialized as an array of the two.
    pub candidate: Option<(u64, Rollout)>,
    /// The reason for which the last rollout was rolled back or halted.
    pub halted: Option<String>,
}

impl State {
    /// The number of the version that is being rolled out.
    pub fn candidate_number(&self) -> Option<u64> {
        self.candidate.as_ref().map(|(number, _)| *number)
    }
}

/// An action for the caller. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send(SessionId, FromService),
    /// Send the messages of a transfer as the connection accepts them, then call [`Service::transfer_written`].
    Transfer(SessionId, Transfer),
    /// Write the pending messages of a session, then close it.
    Close(SessionId, CloseReason),
    /// Store the changed state.
    StoreState(State),
    /// Store a version that was created by an automatic rollback.
    StoreVersion(Arc<Version>),
    /// Publish an operator's documents: check them, call [`Service::prepare`], store the version and commit it.
    Publish(SessionId, Documents, Plan),
    /// Roll back to the content of the version with this number, for an operator.
    Rollback(SessionId, u64),
    /// Log a notice.
    Notice(Notice),
}

/// A version that has been created but is not in use yet.
pub struct Prepared {
    /// The version, which must be stored first.
    pub version: Arc<Version>,
    /// The state, which refers to the version and must be stored after it.
    pub state: State,
}

/// The state machine of a control service.
pub struct Service {
    settings: Settings,
    state: State,
    versions: BTreeMap<u64, Arc<Version>>,
    peers: BTreeMap<SessionId, Peer>,
    transferring: BTreeSet<SessionId>,
    queue: VecDeque<SessionId>,
    nonce: u64,
}

impl Service {
    /// Creates a service that resumes from the stored state and versions.
    pub fn new(settings: Settings, mut state: State, stored: Vec<Version>, now: Millis) -> Service {
        let versions: BTreeMap<u64, Arc<Version>> = stored
            .into_iter()
            .filter(|version| version.id.epoch == state.epoch)
            .map(|version| (version.id.number, Arc::new(version)))
            .collect();
        // The number of a version that was stored but never used must not be assigned again.
        state.last_number = versions.keys().copied().chain([state.last_number]).max().unwrap_or(0);
        state.stable = state.stable.filter(|number| versions.contains_key(number));
        state.candidate = state.candidate.filter(|(number, _)| versions.contains_key(number));
        if let Some((_, rollout)) = &mut state.candidate {
            rollout.resume(now);
        }
        Service {
            settings,
            state,
            versions,
            peers: BTreeMap::new(),
            transferring: BTreeSet::new(),
            queue: VecDeque::new(),
            nonce: 0,
        }
    }

    /// The state that must be durable.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Finds a version by its number.
    pub fn version(&self, number: u64) -> Option<&Arc<Version>> {
        self.versions.get(&number)
    }

    /// The newest version in use: the candidate during a rollout, otherwise the stable version.
    pub fn newest(&self) -> Option<&Arc<Version>> {
        self.versions.get(&self.state.candidate_number().or(self.state.stable)?)
    }

    /// Creates a version from checked documents. It takes effect with [`Service::commit`].
    ///
    /// # Errors
    /// [`PublishError`] for an invalid plan, documents over the limits, or while another rollout is running.
    pub fn prepare(&self, documents: Documents, plan: Plan, now: Millis) -> Result<Prepared, PublishError> {
        plan.validate()?;
        if documents.len() > MAX_DOCUMENTS || documents.keys().any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(PublishError::DocumentLimitExceeded);
        }
        if let Some(number) = self.state.candidate_number() {
            return Err(PublishError::RolloutUnderWay(number));
        }
        let number = self.state.last_number + 1;
        let version = Arc::new(Version::new(self.state.epoch, number, documents));
        if version.size() > self.settings.max_version_bytes {
            return Err(PublishError::TooLarge {
                bytes: version.size(),
                limit: self.settings.max_version_bytes,
            });
        }
        let mut state = self.state.clone();
        (state.last_number, state.halted) = (number, None);
        state.candidate = Some((number, Rollout::new(plan, now)));
        Ok(Prepared { version, state })
    }

    /// Creates a version with the content of an earlier one, for all gateways at once. A running rollout is aborted.
    ///
    /// # Errors
    /// [`PublishError::UnknownVersion`] if the earlier version is unknown or no longer retained.
    pub fn prepare_rollback(&self, number: u64) -> Result<Prepared, PublishError> {
        let earlier = self.versions.get(&number).ok_or(PublishError::UnknownVersion(number))?;
        let next = self.state.last_number + 1;
        let version = Arc::new(Version::new(self.state.epoch, next, earlier.documents.clone()));
        let mut state = self.state.clone();
        (state.last_number, state.stable, state.candidate) = (next, Some(next), None);
        state.halted = None;
        Ok(Prepared { version, state })
    }

    /// Discards a version that was not stored or may not have been stored. Its number is not assigned again.
    pub fn abandon(&mut self, prepared: &Prepared) {
        self.state.last_number = self.state.last_number.max(prepared.version.id.number);
    }

    /// Puts a stored version into use.
    pub fn commit(&mut self, prepared: Prepared) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.versions.insert(prepared.version.id.number, prepared.version);
        self.state = prepared.state;
        self.prune_versions();
        self.start_transfers(&mut outputs);
        outputs
    }

    /// Drops the oldest versions beyond the retention limit, except those in use.
    pub(super) fn prune_versions(&mut self) {
        let used = [self.state.stable, self.state.candidate_number()];
        while self.versions.len() > self.settings.max_versions.max(2) {
            let oldest = self.versions.keys().copied().find(|number| !used.contains(&Some(*number)));
            let Some(oldest) = oldest else { return };
            self.versions.remove(&oldest);
        }
    }
}
