//! Feeds identity: the operators' settings, files that change, issuers' keys over HTTP, and the time. It decides
//! nothing itself; who may do what is [`sagearch_identity`]'s to say.
//!
//! Files are looked at, and issuers asked, on threads of their own; requests only take a lock for a moment. Where
//! the operators' file states nothing of this, no thread is started and [`Guard::admit`] is one look at a flag.

use super::clock::Clock;
use super::lock;
use super::tls::{Endpoints, Terms, TrustParts, bytes_of};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::operators::identity::Identity;
use crate::operators::tls::Tls;
use rustls::pki_types::UnixTime;
use rustls::time_provider::TimeProvider;
use sagearch_identity::authority::{Ask, OperatorCaller, Report};
use sagearch_identity::jwks::{KeySet, LARGEST};
use sagearch_identity::settings::Source;
use sagearch_identity::{Authority, Caller, Credentials, Handover, Now, Presented, Reason};
use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::net::IpAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
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

enum State {
    Off,
    /// Nothing can be told, and so nobody is served.
    Sealed,
    On(Box<Authority>),
}

/// What is stated, whether it is in force or not yet.
#[derive(Clone, Default, PartialEq)]
struct Stated {
    identity: Option<Identity>,
    tls: Option<Tls>,
}

/// All that a version needs from files, read and found in order.
struct Loaded {
    keys: Vec<(String, KeySet)>,
    parts: TrustParts,
    endpoints: Endpoints,
}

pub struct Guard {
    state: Mutex<State>,
    /// Anything but off.
    on: AtomicBool,
    clock: Clock,
    seed: u64,
    endpoints: Mutex<Arc<Endpoints>>,
    stated: Mutex<Stated>,
    /// One version at a time is brought into force.
    applying: Mutex<()>,
    feeding: AtomicBool,
    /// What the process before has handed over, for an authority that is made later.
    handed: Mutex<Option<Handover>>,
    logged: Mutex<HashMap<Reason, (Instant, u64)>>,
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
        let judged = match &mut *lock(&guard.state) {
            State::On(authority) => authority.time(now),
            _ => now.unix,
        };
        Some(UnixTime::since_unix_epoch(Duration::from_millis(judged)))
    }
}

impl Stated {
    fn of(operators: &Operators) -> Stated {
        Stated { identity: operators.identity.clone(), tls: operators.tls.clone() }
    }

    fn load(&self, time: &Arc<dyn TimeProvider>) -> Result<Loaded, String> {
        let mut keys = Vec::new();
        for (issuer, path) in self.key_files() {
            keys.push((issuer, key_set(&path)?));
        }
        let trust = self.identity.as_ref().map(|identity| &identity.trust);
        let parts = trust.map(TrustParts::read).transpose()?.unwrap_or_default();
        // Whether it can be used at all.
        parts.trust(true)?;
        let endpoints = self.tls.as_ref().map(|tls| Endpoints::read(tls, &parts, time)).transpose()?;
        Ok(Loaded { keys, parts, endpoints: endpoints.unwrap_or_default() })
    }

    fn key_files(&self) -> Vec<(String, PathBuf)> {
        let issuers = self.identity.iter().flat_map(|identity| &identity.settings.issuers);
        let file = |source: &Source| match source {
            Source::File(path) => Some(PathBuf::from(path)),
            Source::Url { .. } => None,
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
    pub fn new(clock: Clock, seed: u64) -> Arc<Guard> {
        Arc::new(Guard {
            state: Mutex::new(State::Off),
            on: AtomicBool::new(false),
            clock,
            seed,
            endpoints: Mutex::default(),
            stated: Mutex::default(),
            applying: Mutex::default(),
            feeding: AtomicBool::new(false),
            handed: Mutex::default(),
            logged: Mutex::default(),
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
        if stated == Stated::default() {
            return;
        }
        if let Err(cause) = self.apply(stated.clone()) {
            self.seal(&cause);
            // Its files may come, or come in order, later.
            *lock(&self.stated) = stated;
        }
        self.feed();
    }

    fn seal(&self, cause: &str) {
        tracing::error!(cause, "the operators' file can't be used: nobody is served");
        *lock(&self.state) = State::Sealed;
        self.on.store(true, Ordering::SeqCst);
    }

    /// Brings a new file into force, whole or not at all.
    pub fn renew(self: &Arc<Guard>, operators: &Operators) -> Result<(), String> {
        let stated = Stated::of(operators);
        if stated == Stated::default() {
            let _one = lock(&self.applying);
            *lock(&self.stated) = stated;
            *lock(&self.endpoints) = Arc::default();
            self.on.store(false, Ordering::SeqCst);
            *lock(&self.state) = State::Off;
            return Ok(());
        }
        self.apply(stated)?;
        self.feed();
        Ok(())
    }

    fn apply(self: &Arc<Guard>, stated: Stated) -> Result<(), String> {
        let _one = lock(&self.applying);
        // All that can fail comes first; from then on nothing does.
        let loaded = stated.load(&self.time())?;
        let trust = loaded.parts.trust(true)?;
        let settings = stated.identity.as_ref().map(|identity| identity.settings.clone());
        let now = self.now();
        {
            let mut state = lock(&self.state);
            match (&mut *state, settings) {
                (_, None) => *state = State::Off,
                (State::On(authority), Some(settings)) => authority.renew(settings, now)?,
                (_, Some(settings)) => {
                    let mut authority = Box::new(Authority::new(settings, self.seed, now)?);
                    if let Some(handed) = lock(&self.handed).take() {
                        authority.take_over(handed, now);
                    }
                    *state = State::On(authority);
                }
            }
            if let State::On(authority) = &mut *state {
                authority.set_trust(trust);
                for (issuer, set) in loaded.keys {
                    if let Err(cause) = authority.keys(&issuer, Ok(set), now) {
                        tracing::error!(issuer, cause, "keys turned down; the last good ones hold");
                    }
                }
            }
            self.on.store(!matches!(*state, State::Off), Ordering::SeqCst);
        }
        *lock(&self.endpoints) = Arc::new(loaded.endpoints);
        *lock(&self.stated) = stated;
        Ok(())
    }

    /// Why nobody is served.
    pub fn sealed(&self) -> bool {
        self.on.load(Ordering::Relaxed) && matches!(*lock(&self.state), State::Sealed)
    }

    /// Whether callers are told apart at all.
    pub fn is_on(&self) -> bool {
        self.on.load(Ordering::Relaxed)
    }

    pub fn tls_of_clients(&self) -> Option<Arc<Terms>> {
        lock(&self.endpoints).clients.clone()
    }

    pub fn tls_of_admin(&self) -> Option<Arc<Terms>> {
        lock(&self.endpoints).admin.clone()
    }

    /// Who a request is carried out for, if that is somebody who may ask for this.
    pub fn admit(
        &self,
        shown: Credentials,
        class: &str,
        method: &str,
        object: &str,
    ) -> Result<Arc<Caller>, Reason> {
        if !self.is_on() {
            return Ok(Caller::anonymous());
        }
        let began = Instant::now();
        let now = self.now();
        let recognised = match &mut *lock(&self.state) {
            State::Off => Ok(Caller::anonymous()),
            State::Sealed => Err(Reason::Sealed),
            State::On(authority) => authority.admit(shown, now),
        };
        self.decide(recognised, began, class, method, object)
    }

    /// The same for a resolver's look-up.
    pub fn admit_network(&self, from: IpAddr, class: &str, object: &str) -> Result<Arc<Caller>, Reason> {
        if !self.is_on() {
            return Ok(Caller::anonymous());
        }
        let began = Instant::now();
        let recognised = match &*lock(&self.state) {
            State::Off => Ok(Caller::anonymous()),
            State::Sealed => Err(Reason::Sealed),
            State::On(authority) => authority.network(from),
        };
        self.decide(recognised, began, class, "LOOKUP", object)
    }

    /// Whether a resolver's network is anybody's.
    pub fn knows_network(&self, from: IpAddr) -> bool {
        match &*lock(&self.state) {
            State::Off => true,
            State::Sealed => false,
            State::On(authority) => authority.network(from).is_ok(),
        }
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

    /// Whether a connection's certificate is good for anything from now on.
    pub fn certificate_stands(&self, presented: &Presented) -> bool {
        let now = self.now();
        match &mut *lock(&self.state) {
            State::Off => true,
            State::Sealed => false,
            State::On(authority) => authority.certificate_stands(presented, now),
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
        match &mut *lock(&self.state) {
            State::Off => Ok(None),
            State::Sealed => Err(Reason::Sealed),
            State::On(authority) if !authority.has_operators() => Ok(None),
            State::On(authority) => authority.operator(shown, now).map(Some),
        }
    }

    /// Keys and figures; `None`: identity is off.
    pub fn report(&self) -> Option<Report> {
        let now = self.now();
        match &mut *lock(&self.state) {
            State::On(authority) => Some(authority.report(now)),
            _ => None,
        }
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
        match &mut *lock(&self.state) {
            State::On(authority) => Some(authority.hand_over(now)),
            _ => None,
        }
    }

    pub fn take_over(&self, told: Handover) {
        let now = self.now();
        match &mut *lock(&self.state) {
            State::On(authority) => authority.take_over(told, now),
            _ => *lock(&self.handed) = Some(told),
        }
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
            loop {
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
        if stated != Stated::default() && self.apply(stated).is_ok() {
            tracing::info!("the operators' file can be used now: clients are served");
        }
    }

    fn ask_issuers(self: &Arc<Guard>) {
        let now = self.now();
        let due = match &mut *lock(&self.state) {
            State::On(authority) => authority.due(now),
            _ => return,
        };
        for ask in due {
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
        let taken = match &mut *lock(&self.state) {
            State::On(authority) => authority.keys(issuer, set, now),
            _ => return,
        };
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
            let trust = stated.identity.as_ref().map(|identity| &identity.trust);
            let parts = trust.map(TrustParts::read).transpose()?.unwrap_or_default();
            let tls =
                stated.tls.as_ref().map(|tls| Endpoints::read(tls, &parts, &self.time())).transpose()?;
            Ok::<_, String>((parts.trust(true)?, tls.unwrap_or_default()))
        };
        let read = read();
        self.metrics.reloaded(read.is_ok());
        match read {
            Ok((trust, endpoints)) => {
                if let State::On(authority) = &mut *lock(&self.state) {
                    authority.set_trust(trust);
                }
                *lock(&self.endpoints) = Arc::new(endpoints);
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
    stated: Stated,
    keys: BTreeMap<(String, PathBuf), Mark>,
    tls: Vec<(PathBuf, Mark)>,
}

impl Watched {
    fn look(&mut self, guard: &Arc<Guard>) {
        if guard.sealed() {
            return;
        }
        let stated = lock(&guard.stated).clone();
        if stated != self.stated {
            // A new version has read them all, and one may have changed since: each is read once more.
            self.keys = stated.key_files().into_iter().map(|key| (key, None)).collect();
            self.tls = stated.tls_files().into_iter().map(|path| (path, None)).collect();
            self.stated = stated;
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
