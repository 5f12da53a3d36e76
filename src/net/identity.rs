//! The version in force, and identity's food: the operators' settings, files that change, issuers' keys over HTTP, and
//! the time. It decides nothing itself; who may do what is [`sagearch_identity`]'s to say.
//!
//! A version comes in two steps. [`Guard::stage`] reads and checks all that can fail; [`Guard::commit`] swaps the
//! snapshot and identity's policy under one lock, and can't fail. A request takes both under the same lock.
//!
//! Files are looked at, and issuers asked, on threads of their own; requests only take a lock for a moment. Where
//! the operators' file states nothing of this, no thread is started and [`Guard::admit`] is one look at a flag.

use super::clock::Clock;
use super::lock;
use super::snapshot::{Snapshot, Who};
use super::tls::{Endpoints, Terms, TrustParts, bytes_of};
use crate::metrics::Metrics;
use crate::settings::Deployment;
use rustls::pki_types::UnixTime;
use rustls::time_provider::TimeProvider;
use sagearch_identity::authority::{Ask, OperatorCaller, Policy, Report};
use sagearch_identity::certificate::Trust;
use sagearch_identity::jwks::{KeySet, LARGEST};
use sagearch_identity::settings::Source;
use sagearch_identity::{Authority, Caller, Credentials, Handover, Now, Presented, Reason};
use sagearch_operators::Operators;
use sagearch_operators::control::Limits;
use sagearch_operators::fronts::Routes;
use sagearch_operators::identity::Identity;
use sagearch_operators::tls::Tls;
use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::net::IpAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often files are looked at and issuers thought of, and ends that come with time alone.
const LOOK_EVERY: Duration = Duration::from_millis(100);
const SETTLE_EVERY: Duration = Duration::from_secs(1);
/// How often a version that could not be brought into force is tried again.
const AGAIN: Duration = Duration::from_millis(500);
/// An issuer's answer is whole after this, however its bytes drip in.
const ANSWERED_WITHIN: Duration = Duration::from_secs(3);
/// A refusal of a kind is logged once in this time; the counters have them all.
const LOGGED_EVERY: Duration = Duration::from_secs(1);

struct State {
    snapshot: Arc<Snapshot>,
    /// Who calls; there where the snapshot says that callers are told apart.
    authority: Option<Box<Authority>>,
}

impl State {
    /// What decides who calls; `None`: callers are not told apart.
    fn authority(&mut self) -> Result<Option<&mut Authority>, Reason> {
        match (self.snapshot.who, &mut self.authority) {
            (Who::Off, _) => Ok(None),
            (Who::On, Some(authority)) => Ok(Some(authority)),
            _ => Err(Reason::Sealed),
        }
    }
}

/// What is stated, whether it is in force or not yet.
#[derive(Clone, PartialEq)]
pub struct Stated {
    pub version: Arc<str>,
    pub identity: Option<Identity>,
    pub tls: Option<Tls>,
    /// `None`: those in force stay.
    pub routes: Option<Routes>,
    pub limits: Option<Limits>,
    /// Sets of keys that come with it, by name.
    pub key_sets: BTreeMap<String, String>,
    pub shows_version: bool,
}

struct NewIdentity {
    policy: Policy,
    trust: Option<Trust>,
    /// Sets of keys by issuer, of those whose keys are files.
    keys: Vec<(String, KeySet)>,
}

/// A version that has been read and found in order, and is not in force yet. Dropped, it leaves nothing behind.
pub struct Staged<'a> {
    pub snapshot: Snapshot,
    identity: Option<NewIdentity>,
    stated: Stated,
    _one: MutexGuard<'a, ()>,
}

pub struct Guard {
    state: Mutex<State>,
    /// Anything but off.
    on: AtomicBool,
    clock: Clock,
    seed: u64,
    stated: Mutex<Stated>,
    /// One version at a time is brought into force.
    applying: Mutex<()>,
    feeding: AtomicBool,
    /// The thread that watches files and asks issuers is to end.
    stopping: AtomicBool,
    /// What the process before has handed over, for an authority that is made later.
    handed: Mutex<Option<Handover>>,
    logged: Mutex<HashMap<Reason, (Instant, u64)>>,
    /// Requests that were answered, and those of them that failed.
    requests: AtomicU64,
    failed: AtomicU64,
    pub metrics: Metrics,
}

/// The time that handshakes are judged by.
struct Judged(std::sync::Weak<Guard>);

impl std::fmt::Debug for Judged {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Judged")
    }
}

impl TimeProvider for Judged {
    fn current_time(&self) -> Option<UnixTime> {
        let guard = self.0.upgrade()?;
        let now = guard.now();
        let judged = match &mut lock(&guard.state).authority {
            Some(authority) => authority.time(now),
            None => now.unix,
        };
        Some(UnixTime::since_unix_epoch(Duration::from_millis(judged)))
    }
}

impl Stated {
    /// What a file on this machine states.
    pub fn of(operators: &Operators) -> Stated {
        Stated {
            version: "file".into(),
            identity: operators.identity.clone(),
            tls: operators.tls.clone(),
            routes: operators.routes.clone().or(operators.dns.as_ref().map(|dns| dns.routes.clone())),
            limits: operators.limits,
            key_sets: operators.key_sets.clone(),
            shows_version: operators.control.as_ref().is_some_and(|control| control.shows_version),
        }
    }

    fn trust_parts(&self) -> Result<TrustParts, String> {
        let files = self.identity.as_ref().map(|identity| &identity.trust);
        Ok(files.map(TrustParts::read).transpose()?.unwrap_or_default())
    }

    fn endpoints(&self, parts: &TrustParts, time: &Arc<dyn TimeProvider>) -> Result<Endpoints, String> {
        let read = self.tls.as_ref().map(|tls| Endpoints::read(tls, parts, time)).transpose()?;
        Ok(read.unwrap_or_default())
    }

    /// Whether there is anything for the thread that watches and asks.
    fn is_fed(&self) -> bool {
        self.identity.is_some() || self.tls.is_some()
    }

    fn key_files(&self) -> Vec<(String, PathBuf)> {
        let issuers = self.identity.iter().flat_map(|identity| &identity.settings.issuers);
        let file = |source: &Source| match source {
            Source::File(path) => Some(PathBuf::from(path)),
            Source::Url { .. } | Source::Set(_) => None,
        };
        issuers.filter_map(|issuer| Some((issuer.name.clone(), file(&issuer.source)?))).collect()
    }

    /// Files of TLS and trust, which change together.
    fn tls_files(&self) -> Vec<PathBuf> {
        let mut files = Vec::new();
        if let Some(identity) = &self.identity {
            files.extend(identity.trust.roots.iter().chain(&identity.trust.lists).cloned());
        }
        for endpoint in self.tls.iter().flat_map(|tls| [&tls.clients, &tls.admin]).flatten() {
            files
                .extend(endpoint.certificates.iter().flat_map(|pair| [pair.chain.clone(), pair.key.clone()]));
        }
        files
    }
}

fn key_set(path: &Path) -> Result<KeySet, String> {
    KeySet::parse(&bytes_of(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// By what a changed file is told, also one that was put in another's place.
type Mark = Option<(i64, i64, u64, u64)>;

fn mark(path: &Path) -> Mark {
    let told = fs::metadata(path).ok()?;
    Some((told.mtime(), told.mtime_nsec(), told.size(), told.ino()))
}

impl Guard {
    pub fn new(clock: Clock, seed: u64, deployment: Deployment) -> Arc<Guard> {
        let version: Arc<str> = "none".into();
        let snapshot = Arc::new(Snapshot {
            version: version.clone(),
            deployment: Arc::new(deployment),
            routes: Arc::default(),
            endpoints: Arc::default(),
            limits: None,
            shows_version: false,
            who: Who::Off,
        });
        Arc::new(Guard {
            state: Mutex::new(State { snapshot, authority: None }),
            on: AtomicBool::new(false),
            clock,
            seed,
            stated: Mutex::new(Stated { version, ..Stated::of(&Operators::default()) }),
            applying: Mutex::default(),
            feeding: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            handed: Mutex::default(),
            logged: Mutex::default(),
            requests: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            metrics: Metrics::default(),
        })
    }

    fn now(&self) -> Now {
        Now { unix: self.clock.unix_ms(), monotonic: self.clock.now() / 1_000 }
    }

    fn time(self: &Arc<Guard>) -> Arc<dyn TimeProvider> {
        Arc::new(Judged(Arc::downgrade(self)))
    }

    /// Takes in the operators' file of the start. One that can't be used stops no start: until it can be, or another
    /// one comes, nobody is served.
    pub fn start(self: &Arc<Guard>, operators: &Result<Operators, String>) {
        let stated = match operators {
            Ok(operators) => Stated::of(operators),
            Err(cause) => return self.seal(cause),
        };
        match self.stage(stated.clone(), None) {
            Ok(staged) => self.commit(staged),
            Err(cause) => {
                self.seal(&cause);
                // Its files may come, or come in order, later.
                *lock(&self.stated) = stated;
                self.feed();
            }
        }
    }

    /// Serves nobody until a version is committed.
    pub fn seal(&self, cause: &str) {
        tracing::error!(cause, "nobody is served");
        let state = &mut *lock(&self.state);
        state.snapshot = Arc::new(Snapshot { who: Who::Sealed, ..(*state.snapshot).clone() });
        self.on.store(true, Ordering::SeqCst);
    }

    /// Reads and checks all that a version needs. Nothing is in force by it, and no other version can come between
    /// this and [`Guard::commit`].
    pub fn stage(
        self: &Arc<Guard>,
        stated: Stated,
        deployment: Option<Deployment>,
    ) -> Result<Staged<'_>, String> {
        let one = lock(&self.applying);
        let parts = stated.trust_parts()?;
        let trust = parts.trust(true)?;
        let endpoints = Arc::new(stated.endpoints(&parts, &self.time())?);
        let mut keys = Vec::new();
        for (issuer, path) in stated.key_files() {
            keys.push((issuer, key_set(&path)?));
        }
        for issuer in stated.identity.iter().flat_map(|identity| &identity.settings.issuers) {
            if let Source::Set(name) = &issuer.source {
                let text =
                    stated.key_sets.get(name).ok_or_else(|| format!("there is no key set {name:?}"))?;
                keys.push((issuer.name.clone(), KeySet::parse(text.as_bytes())?));
            }
        }
        let settings = stated.identity.as_ref().map(|identity| identity.settings.clone());
        let policy = settings.map(Policy::new).transpose()?;
        let before = {
            let state = lock(&self.state);
            if let Some(authority) = &state.authority {
                for (issuer, set) in &keys {
                    authority.check_keys(issuer, set).map_err(|e| format!("issuer {issuer}: {e}"))?;
                }
            }
            state.snapshot.clone()
        };
        let snapshot = Snapshot {
            version: stated.version.clone(),
            deployment: deployment.map_or_else(|| before.deployment.clone(), Arc::new),
            routes: stated.routes.clone().map_or_else(|| before.routes.clone(), Arc::new),
            endpoints,
            limits: stated.limits,
            shows_version: stated.shows_version,
            who: if policy.is_some() { Who::On } else { Who::Off },
        };
        let identity = policy.map(|policy| NewIdentity { policy, trust, keys });
        Ok(Staged { snapshot, identity, stated, _one: one })
    }

    /// Brings a version into force, as a whole.
    pub fn commit(self: &Arc<Guard>, staged: Staged<'_>) {
        let Staged { snapshot, identity, stated, _one } = staged;
        let (now, mut before) = (self.now(), None);
        {
            let state = &mut *lock(&self.state);
            match identity {
                None => state.authority = None,
                Some(NewIdentity { policy, trust, keys }) => {
                    let fresh = || Box::new(Authority::new(self.seed));
                    let is_new = state.authority.is_none();
                    let authority = state.authority.get_or_insert_with(fresh);
                    before = Some(authority.adopt(policy, now));
                    if is_new && let Some(handed) = lock(&self.handed).take() {
                        authority.take_over(handed, now);
                    }
                    authority.set_trust(trust);
                    for (issuer, set) in keys {
                        if let Err(cause) = authority.keys(&issuer, Ok(set), now) {
                            tracing::error!(issuer, cause, "keys turned down; the last good ones hold");
                        }
                    }
                }
            }
            self.on.store(snapshot.who != Who::Off, Ordering::SeqCst);
            state.snapshot = Arc::new(snapshot);
        }
        // Thousands of tenants take a while to be forgotten: not under the lock.
        drop(before);
        let fed = stated.is_fed();
        *lock(&self.stated) = stated;
        if fed {
            self.feed();
        }
    }

    /// The group has agreed on routes: they take the place of the file's.
    pub fn agreed(&self, routes: Routes) {
        let _one = lock(&self.applying);
        let state = &mut *lock(&self.state);
        state.snapshot = Arc::new(Snapshot { routes: Arc::new(routes), ..(*state.snapshot).clone() });
    }

    pub fn snapshot(&self) -> Arc<Snapshot> {
        lock(&self.state).snapshot.clone()
    }

    /// Whether nobody is served.
    pub fn sealed(&self) -> bool {
        self.is_on() && lock(&self.state).snapshot.who == Who::Sealed
    }

    /// Whether callers are told apart at all.
    pub fn is_on(&self) -> bool {
        self.on.load(Ordering::Relaxed)
    }

    pub fn tls_of_clients(&self) -> Option<Arc<Terms>> {
        lock(&self.state).snapshot.endpoints.clients.clone()
    }

    pub fn tls_of_admin(&self) -> Option<Arc<Terms>> {
        lock(&self.state).snapshot.endpoints.admin.clone()
    }

    /// Who a request is carried out for, if that is somebody who may ask for this; and the version that decided so.
    pub fn admit(
        &self,
        shown: Credentials,
        class: &str,
        method: &str,
        object: &str,
    ) -> (Arc<Snapshot>, Result<Arc<Caller>, Reason>) {
        if !self.is_on() {
            return (self.snapshot(), Ok(Caller::anonymous()));
        }
        let began = Instant::now();
        let now = self.now();
        let (snapshot, recognised) = {
            let state = &mut *lock(&self.state);
            let recognised = match state.authority() {
                Ok(None) => Ok(Caller::anonymous()),
                Ok(Some(authority)) => authority.admit(shown, now),
                Err(reason) => Err(reason),
            };
            (state.snapshot.clone(), recognised)
        };
        (snapshot, self.decide(recognised, began, class, method, object))
    }

    /// The same for a resolver's look-up.
    pub fn admit_network(&self, from: IpAddr, class: &str, object: &str) -> Result<Arc<Caller>, Reason> {
        if !self.is_on() {
            return Ok(Caller::anonymous());
        }
        let began = Instant::now();
        let recognised = self.network(from);
        self.decide(recognised, began, class, "LOOKUP", object)
    }

    fn network(&self, from: IpAddr) -> Result<Arc<Caller>, Reason> {
        match lock(&self.state).authority()? {
            Some(authority) => authority.network(from),
            None => Ok(Caller::anonymous()),
        }
    }

    /// Whether a resolver's network is anybody's.
    pub fn knows_network(&self, from: IpAddr) -> bool {
        self.network(from).is_ok()
    }

    fn decide(
        &self,
        recognised: Result<Arc<Caller>, Reason>,
        began: Instant,
        class: &str,
        method: &str,
        object: &str,
    ) -> Result<Arc<Caller>, Reason> {
        let may = |caller: Arc<Caller>| match caller.may(class, method, object) {
            true => Ok(caller),
            false => {
                tracing::debug!(tenant = %caller.tenant, class, method, "no right");
                Err(Reason::RightMissing)
            }
        };
        let decision = recognised.and_then(may);
        self.metrics.decided(&decision, began.elapsed());
        if let Err(reason) = &decision {
            self.log_refusal(*reason);
        }
        decision
    }

    /// A flood of refusals must not be one of lines.
    fn log_refusal(&self, reason: Reason) {
        let mut logged = lock(&self.logged);
        let (last, left_out) = logged.entry(reason).or_insert((Instant::now(), 0));
        if last.elapsed() < LOGGED_EVERY && *left_out > 0 {
            *left_out += 1;
            return;
        }
        let before = left_out.saturating_sub(1);
        (*last, *left_out) = (Instant::now(), 1);
        drop(logged);
        tracing::info!(reason = reason.label(), not_logged_before = before, "refused for who called");
    }

    /// Counts an answer, by which a control service sees how a version fares.
    pub fn count(&self, failed: bool) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.failed.fetch_add(u64::from(failed), Ordering::Relaxed);
    }

    pub fn counts(&self) -> (u64, u64) {
        (self.requests.load(Ordering::Relaxed), self.failed.load(Ordering::Relaxed))
    }

    /// Whether a connection's certificate is good for anything from now on.
    pub fn certificate_stands(&self, presented: &Presented) -> bool {
        let now = self.now();
        match lock(&self.state).authority() {
            Ok(Some(authority)) => authority.certificate_stands(presented, now),
            Ok(None) => true,
            Err(_) => false,
        }
    }

    /// Whether it ends so soon that its connection is better opened anew: within a tenth of its life, 5 s at most.
    pub fn ends_soon(&self, presented: &Presented) -> bool {
        let life = presented.not_after.saturating_sub(presented.not_before);
        self.now().unix + (life / 10).min(5_000) >= presented.not_after
    }

    /// The operator who calls; `None`: their address asks nobody who they are.
    pub fn operator(&self, shown: Credentials) -> Result<Option<OperatorCaller>, Reason> {
        let now = self.now();
        match lock(&self.state).authority()? {
            Some(authority) if authority.has_operators() => authority.operator(shown, now).map(Some),
            _ => Ok(None),
        }
    }

    /// Keys and figures; `None`: identity is off.
    pub fn report(&self) -> Option<Report> {
        let now = self.now();
        lock(&self.state).authority.as_mut().map(|authority| authority.report(now))
    }

    pub fn metrics_text(&self) -> String {
        if let Some(report) = self.report() {
            self.metrics.identity(&report, self.now().unix);
        }
        self.metrics.text()
    }

    /// For the process that takes over.
    pub fn hand_over(&self) -> Option<Handover> {
        let now = self.now();
        lock(&self.state).authority.as_mut().map(|authority| authority.hand_over(now))
    }

    pub fn take_over(&self, told: Handover) {
        let now = self.now();
        match &mut lock(&self.state).authority {
            Some(authority) => authority.take_over(told, now),
            None => *lock(&self.handed) = Some(told),
        }
    }

    /// Files are not watched any more, nor issuers asked.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Starts what keeps identity fed, once.
    fn feed(self: &Arc<Guard>) {
        if self.feeding.swap(true, Ordering::SeqCst) {
            return;
        }
        let guard = self.clone();
        let thread = std::thread::Builder::new().name("identity".into()).stack_size(512 * 1024);
        let fed = thread.spawn(move || {
            let mut files = Watched::default();
            let (mut settled, mut tried) = (Instant::now(), Instant::now());
            while !guard.stopping.load(Ordering::SeqCst) {
                std::thread::sleep(LOOK_EVERY);
                if guard.sealed() && tried.elapsed() >= AGAIN {
                    tried = Instant::now();
                    guard.try_again();
                }
                files.look(&guard);
                guard.ask_issuers();
                if settled.elapsed() >= SETTLE_EVERY {
                    settled = Instant::now();
                    // Ends that come with time alone take hold whether anyone asks or not.
                    let _ = guard.report();
                }
            }
        });
        if let Err(e) = fed {
            tracing::error!(cause = %e, "identity: files are not watched and issuers not asked");
            self.feeding.store(false, Ordering::SeqCst);
        }
    }

    fn try_again(self: &Arc<Guard>) {
        let stated = lock(&self.stated).clone();
        if let Ok(staged) = self.stage(stated, None) {
            self.commit(staged);
            tracing::info!("the operators' file can be used now: clients are served");
        }
    }

    fn ask_issuers(self: &Arc<Guard>) {
        let now = self.now();
        let due = lock(&self.state).authority.as_mut().map(|authority| authority.due(now));
        for ask in due.into_iter().flatten() {
            let (guard, issuer) = (self.clone(), ask.issuer.clone());
            let thread = std::thread::Builder::new().name("issuer".into()).stack_size(1024 * 1024);
            // At most one an issuer, as the core says when.
            let asked = thread.spawn(move || guard.take_keys(&ask.issuer, fetch(&ask)));
            if let Err(e) = asked {
                self.take_keys(&issuer, Err(e.to_string()));
            }
        }
    }

    fn take_keys(&self, issuer: &str, set: Result<KeySet, String>) {
        let now = self.now();
        let taken = lock(&self.state).authority.as_mut().map(|authority| authority.keys(issuer, set, now));
        let Some(taken) = taken else { return };
        self.metrics.reloaded(taken.is_ok());
        match taken {
            Ok(()) => tracing::debug!(issuer, "keys taken in"),
            Err(cause) => tracing::warn!(issuer, cause, "keys turned down; the last good ones hold for now"),
        }
    }

    /// Certificates, keys, roots or lists have changed.
    fn take_tls(self: &Arc<Guard>) {
        let _one = lock(&self.applying);
        let stated = lock(&self.stated).clone();
        let read = || {
            let parts = stated.trust_parts()?;
            Ok::<_, String>((parts.trust(true)?, stated.endpoints(&parts, &self.time())?))
        };
        let read = read();
        self.metrics.reloaded(read.is_ok());
        match read {
            Ok((trust, endpoints)) => {
                let state = &mut *lock(&self.state);
                state.authority.iter_mut().for_each(|authority| authority.set_trust(trust.clone()));
                let endpoints = Arc::new(endpoints);
                state.snapshot = Arc::new(Snapshot { endpoints, ..(*state.snapshot).clone() });
                tracing::info!("certificates, roots and revocation lists read again");
            }
            // Often one of two files that are being replaced: the other one's change is seen as well.
            Err(cause) => tracing::warn!(cause, "certificates turned down; the last good ones hold"),
        }
    }
}

/// Files, as they were when last looked at.
#[derive(Default)]
struct Watched {
    stated: Option<Stated>,
    keys: BTreeMap<(String, PathBuf), Mark>,
    tls: Vec<(PathBuf, Mark)>,
}

impl Watched {
    fn look(&mut self, guard: &Arc<Guard>) {
        if guard.sealed() {
            return;
        }
        let stated = lock(&guard.stated).clone();
        if Some(&stated) != self.stated.as_ref() {
            // A new version has read them all, and one may have changed since: each is read once more.
            self.keys = stated.key_files().into_iter().map(|key| (key, None)).collect();
            self.tls = stated.tls_files().into_iter().map(|path| (path, None)).collect();
            self.stated = Some(stated);
        }
        for ((issuer, path), seen) in &mut self.keys {
            let now = mark(path);
            if *seen != now {
                *seen = now;
                guard.take_keys(issuer, key_set(path));
            }
        }
        let mut changed = false;
        for (path, seen) in &mut self.tls {
            let now = mark(path);
            changed |= *seen != now;
            *seen = now;
        }
        if changed {
            guard.take_tls();
        }
    }
}

/// Asks an issuer for its keys, within bounds of time and size.
pub fn fetch(ask: &Ask) -> Result<KeySet, String> {
    let mut config = ureq::Agent::config_builder()
        .timeout_global(Some(ANSWERED_WITHIN))
        .max_redirects(0)
        // The issuer's own address, whatever the environment says.
        .proxy(None);
    if let Some(roots) = &ask.roots {
        let bytes = bytes_of(Path::new(roots))?;
        let roots: Result<Vec<_>, _> = ureq::tls::parse_pem(&bytes)
            .filter_map(|item| match item {
                Ok(ureq::tls::PemItem::Certificate(one)) => Some(Ok(one)),
                Ok(_) => None,
                Err(e) => Some(Err(e.to_string())),
            })
            .collect();
        let roots = ureq::tls::RootCerts::new_with_certs(&roots?);
        config = config.tls_config(ureq::tls::TlsConfig::builder().root_certs(roots).build());
    }
    let agent = config.build().new_agent();
    let mut answer = agent.get(&ask.url).call().map_err(|e| e.to_string())?;
    let body = answer.body_mut().with_config().limit(LARGEST as u64).read_to_vec();
    KeySet::parse(&body.map_err(|e| e.to_string())?)
}
