//! The gateway's parts put together: the broker, the stores and the clocks, and the path of one request
//! that both fronts share.

use super::bus::{self, Batch, Event, list_kind};
use super::clock::Clock;
use super::handover::{self, Intents};
use super::http::Leaving;
use super::identity::Guard;
use super::store::{Answered, End, Limits, Pull, Reply, Stores};
use super::{Place, admin, dns, http, link, lock};
use crate::broker::{Broker, Ended, Next, Order, Verdict, Waiter};
use crate::config::{Config, ConfigError, Shape};
use crate::consensus::Instance;
use crate::interface::*;
use crate::operators::Operators;
use crate::operators::fronts::{self, Raft, Routes};
use crate::settings::{Connections, Deployment};
use may::net::TcpListener;
use may::sync::mpsc;
use sagearch_identity::Caller;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// The module's timers run this often; it keeps twice its tick of 2 ms in hand before each deadline.
const TICK: Duration = Duration::from_millis(2);
/// How often clients are looked at for having left, and connections to stores for being idle.
const WATCH_EVERY: u32 = 10;
const SWEEP_EVERY: u32 = 50;
/// And idle connections for whose certificates are over.
const IDENTITIES_EVERY: u32 = 250;
/// A KILL, or the end of a connection, is on its way this long at most before the next attempt goes out by
/// another one: from afar it would arrive behind that, and two attempts would be out at once.
const SETTLES: Duration = Duration::from_millis(10);
/// After SIGTERM requests keep coming for 0.6 s; all of 0.7 s is answered.
const LINGER: Micros = 1_000_000;
/// One that hands over accepts nothing any more, and may be about to seat what it accepted last.
const LINGER_HANDED_OVER: Micros = 100_000;
/// A drained gateway closes what is idle after this, and what has not asked for anything after that: 4 s
/// after the drain's begin no client may hold a connection with a request of the 2 s before.
const DRAINED_IDLE: Duration = Duration::from_millis(1_000);
const DRAINED_ASKING: Duration = Duration::from_millis(1_700);
/// After SIGTERM the process is ended once the longest wait is over, counted as 3 s at least, and 0.7 s more.
const STAY_LEAST: Micros = 3_000_000;
const STAY_ON_TOP: Micros = 700_000;
const STAY_SPARE: Micros = 200_000;
/// Clients close idle connections after 4 s: one that hands over waits for that, so that no request crosses
/// with a close, as far as there is time for a last request.
const HANDED_OVER_IDLE: Duration = Duration::from_millis(4_200);
const LAST_REQUEST: Micros = 1_500_000;
/// How often the address of a front is tried that the other process still holds.
const FREE_LOOK: Duration = Duration::from_millis(20);
/// A new process has caught up with the bus by its first answer, or after this if that is silent.
const CAUGHT_UP_WITHIN: Duration = Duration::from_millis(1_500);
/// Memory that is kept out of the reckoning of answers, and what one answer may take of the rest: an object
/// of 240,000 bytes, its request's buffers and its coroutine's stack.
const MEMORY_OWN_MB: usize = 8;
const ANSWERS_PER_MB: usize = 4;

/// What a waiting request is told.
#[derive(Debug)]
pub enum Note {
    Verdict(Verdict),
    Reply {
        attempt: u32,
        reply: Reply,
    },
    /// It is time to see whether the client is still there.
    Look,
}

/// Where a request's coroutine waits. Sending never blocks.
#[derive(Clone)]
pub struct Mailbox(mpsc::Sender<Note>);

impl Waiter for Mailbox {
    fn deliver(&self, verdict: Verdict) {
        let _ = self.0.send(Note::Verdict(verdict));
    }
}

impl Answered for Mailbox {
    fn reply(&self, attempt: u32, reply: Reply) {
        let _ = self.0.send(Note::Reply { attempt, reply });
    }
}

/// How a request's attempts are carried out.
pub enum Work {
    Pull(Pull),
    /// A look-up by name: the picked member is only asked whether it is there.
    Check,
}

/// How a request ended.
#[derive(Debug)]
pub enum Final {
    Served(Reply),
    Checked(Order),
    Refused(Option<Micros>),
    Failed,
    /// The client left; nothing is owed.
    Gone,
}

impl Final {
    pub fn label(&self) -> &'static str {
        match self {
            Final::Served(_) => "served",
            Final::Checked(_) => "checked",
            Final::Refused(_) => "refused",
            Final::Failed => "failed",
            Final::Gone => "gone",
        }
    }
}

/// Who waits for an answer.
pub trait Client {
    /// Whether it has neither closed nor reset its connection.
    fn still_there(&self) -> bool;
}

/// Connections of a process, or at most so many.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct Held {
    clients: usize,
    stores: usize,
}

impl Held {
    /// Places of clients that one process lacks for what the other holds, and for its own connections to stores.
    fn over(self, stores: usize, most_stores: usize) -> usize {
        (self.clients + self.stores + stores).saturating_sub(most_stores)
    }
}

/// What all coroutines of a gateway share.
pub struct Shared {
    pub clock: Clock,
    deployment: Mutex<Arc<Deployment>>,
    broker: Arc<Mutex<Broker<Mailbox>>>,
    pub(super) stores: Arc<Stores<Mailbox>>,
    pub(super) clients: Arc<http::Clients>,
    /// Requests whose clients wait. Their ids come from outside and may repeat, so they have a number.
    watched: Mutex<HashMap<u64, Mailbox>>,
    watches: AtomicU64,
    listed: AtomicBool,
    /// Where the event bus is followed, and how far.
    pub(super) feed: bus::Feed,
    routes: Mutex<Arc<Routes>>,
    /// What operators want.
    pub(super) intents: Mutex<Intents>,
    /// Lists are applied, what lasts is read, and clients are listened for.
    ready: AtomicBool,
    /// The process has been told to stop, at that time.
    stopping: OnceLock<Micros>,
    /// Another process accepts at the same socket, or will.
    socket_shared: bool,
    /// Connections to stores that may be held at once.
    most_stores: usize,
    /// Who calls, and with which rights.
    pub guard: Arc<Guard>,
    /// Another process of this gateway is there, and these ids it is still to be told of.
    pub(super) beside: AtomicBool,
    pub(super) fresh: Mutex<Vec<u64>>,
    open: Arc<AtomicUsize>,
}

impl Shared {
    pub fn broker(&self) -> MutexGuard<'_, Broker<Mailbox>> {
        lock(&self.broker)
    }

    /// The settings in force. One who takes them keeps them whole.
    pub fn deployment(&self) -> Arc<Deployment> {
        lock(&self.deployment).clone()
    }

    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.stores.address(member)
    }

    /// Whom the name front answers now.
    pub fn routes(&self) -> Arc<Routes> {
        lock(&self.routes).clone()
    }

    pub fn set_routes(&self, routes: Routes) {
        *lock(&self.routes) = Arc::new(routes);
    }

    /// Why this process does not take clients now; `None`: it does.
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.stopping.get().is_some() {
            return Some("stopping");
        }
        if !self.ready.load(Ordering::SeqCst) {
            return Some("starting");
        }
        if self.guard.sealed() {
            return Some("the operators' file can't be used");
        }
        self.broker().drained().map(|_| "drained")
    }

    /// Whether new connections are another process's: this one has been told to stop, and the listening socket
    /// goes on without it.
    pub fn handed_over(&self) -> bool {
        self.socket_shared && self.stopping.get().is_some()
    }

    /// How long after it was told to stop the process is sure to be there.
    fn stay(&self) -> Micros {
        self.deployment().names.longest_wait.max(STAY_LEAST) + STAY_ON_TOP
    }

    /// The time that a request may take. `MAX`: whatever its client says.
    pub fn time_left(&self) -> Micros {
        let Some(since) = self.stopping.get().filter(|_| self.socket_shared) else { return Micros::MAX };
        (since + self.stay()).saturating_sub(self.clock.now() + STAY_SPARE)
    }

    /// What this process holds.
    pub(super) fn held(&self) -> Held {
        Held { clients: self.clients.seated(), stores: self.stores.connections() }
    }

    /// Leaves to the other process of this gateway what it holds: two have no more than one. Clients may be as
    /// many as ever as long as there are descriptors, as those of both kinds are one budget.
    pub(super) fn leave_to(&self, there: Held) {
        self.clients.take_places(there.over(self.held().stores, self.most_stores));
        self.stores.take_places(there.stores);
    }

    /// An id has come into use: the other process of this gateway is to know.
    pub fn used(&self, id: u64) {
        if self.beside.load(Ordering::Relaxed) {
            lock(&self.fresh).push(id);
        }
    }

    /// Whether clients are being sent away.
    pub fn leaving(&self) -> Option<Leaving> {
        let since = |at: Micros| Duration::from_micros(self.clock.now().saturating_sub(at));
        if let Some(at) = self.stopping.get().filter(|_| self.socket_shared) {
            let idle = HANDED_OVER_IDLE.min(Duration::from_micros(self.stay() - LAST_REQUEST));
            return Some(Leaving { since: since(*at), idle, asking: idle });
        }
        let at = self.broker().drained()?;
        Some(Leaving { since: since(at), idle: DRAINED_IDLE, asking: DRAINED_ASKING })
    }

    /// Whether operators may name this store.
    pub fn has_store(&self, name: &str) -> bool {
        self.stores.knows(name) || lock(&self.intents).names(name)
    }

    /// Counts a request as open until what is returned is dropped.
    pub(super) fn taken(&self) -> Option<Place> {
        Place::take(&self.open, usize::MAX)
    }

    /// Takes in events of the bus.
    pub fn apply(&self, batch: Batch) {
        for Event { topology, ban, .. } in batch.batch {
            if let Some(topology) = topology {
                let first = !self.listed.swap(true, Ordering::SeqCst);
                let kind = list_kind(&topology, first);
                if kind == ListKind::Complete {
                    self.stores.all_gone();
                }
                let (mut members, deployment) = (Vec::new(), self.deployment());
                for line in &topology.instances {
                    let member = bus::member(line, &deployment.names, self.clock.at(line.started_at_ms));
                    let gone = member.state == MemberState::Gone;
                    self.stores.list(member.id, &line.instance_id, line.host_port.parse().ok(), gone);
                    log::info!("{} is {}", line.instance_id, line.lifecycle);
                    members.push(member);
                }
                self.broker().members(self.clock.now(), kind, members);
            }
            if let Some(ban) = ban {
                log::debug!("purge of {:?} {:?}", ban.url, ban.tag);
                let ago = self.clock.ago(ban.ts);
                self.broker().purged(self.clock.now(), ban.url, ban.tag, ago);
            }
        }
    }

    /// Takes a request from its arrival to its end. Returns as soon as the end is known.
    pub fn carry(
        &self,
        request: Request,
        caller: &Arc<Caller>,
        work: &Work,
        client: Option<&dyn Client>,
    ) -> Final {
        let (mail, notes) = mpsc::channel();
        let mailbox = Mailbox(mail);
        let watch = client.map(|_| self.watches.fetch_add(1, Ordering::Relaxed));
        if let Some(watch) = watch {
            lock(&self.watched).insert(watch, mailbox.clone());
        }
        let end = self.run(request, caller, work, client, &mailbox, &notes);
        if let Some(watch) = watch {
            lock(&self.watched).remove(&watch);
        }
        end
    }

    fn run(
        &self,
        request: Request,
        caller: &Arc<Caller>,
        work: &Work,
        client: Option<&dyn Client>,
        mailbox: &Mailbox,
        notes: &mpsc::Receiver<Note>,
    ) -> Final {
        let id = request.id;
        let mut verdict = self.broker().pick(self.clock.now(), request, caller.clone(), mailbox.clone());
        let mut settles = false;
        loop {
            let mut out = None;
            match verdict.take() {
                Some(Verdict::Attempt(order)) => {
                    if std::mem::take(&mut settles) {
                        may::coroutine::sleep(SETTLES);
                    }
                    let ticket = match work {
                        Work::Pull(pull) => self.stores.pull(&order, pull, mailbox.clone()),
                        Work::Check => self.stores.echo(&order, mailbox.clone()),
                    };
                    out = Some((order, ticket));
                }
                Some(Verdict::Refused { backoff }) => return Final::Refused(backoff),
                Some(Verdict::Failed) => return Final::Failed,
                None => {}
            }
            while verdict.is_none() {
                match notes.recv() {
                    // A timer decided: the attempt that is still out is given up before another goes out.
                    Ok(Note::Verdict(next)) => {
                        settles = out.take().is_some_and(|(order, ticket)| {
                            let source = order.fill.and_then(|fill| fill.source).map_or(0, |source| source.0);
                            log::debug!(
                                "{:016x} attempt {} at {:08x} from {source:08x}: given up",
                                order.request.0,
                                order.attempt,
                                order.member.0,
                            );
                            ticket.kill(true)
                        });
                        verdict = Some(next);
                    }
                    Ok(Note::Reply { attempt, reply }) => {
                        let Some((order, _)) = out.take_if(|(order, _)| order.attempt == attempt) else {
                            continue;
                        };
                        settles = reply.end == End::Reset;
                        match self.ended(&order, work, &reply) {
                            Next::Done if reply.end == End::Yes => return Final::Checked(order),
                            Next::Done => return Final::Served(reply),
                            Next::Verdict(next) => verdict = Some(next),
                            Next::Wait => {}
                        }
                    }
                    Ok(Note::Look) if client.is_none_or(Client::still_there) => {}
                    Ok(Note::Look) | Err(_) => {
                        out.take().map(|(_, ticket)| ticket.kill(false));
                        self.broker().abandon(self.clock.now(), id);
                        return Final::Gone;
                    }
                }
            }
        }
    }

    fn ended(&self, order: &Order, work: &Work, reply: &Reply) -> Next {
        let now = self.clock.now();
        let outcome = match (work, reply.end.outcome()) {
            (Work::Check, Outcome::Checked) => return self.broker().checked(now, order),
            // An answer of the other kind proves nothing.
            (Work::Check, Outcome::Served) | (Work::Pull(_), Outcome::Checked) => Outcome::Failed,
            (_, outcome) => outcome,
        };
        let how = Ended { outcome, detail: reply.detail, load: reply.load() };
        log::debug!(
            "{:016x} attempt {} at {:08x}: {outcome:?} {:?} after {} ms for {}",
            order.request.0,
            order.attempt,
            order.member.0,
            how.detail,
            now.saturating_sub(order.picked) / 1_000,
            order.caller.tenant,
        );
        self.broker().report(now, order.request, order.attempt, how)
    }

    fn watch(&self) {
        lock(&self.watched).values().for_each(|mailbox| {
            let _ = mailbox.0.send(Note::Look);
        });
    }
}

/// What the settings say of connections to stores, and the descriptors for them.
fn limits(told: Connections, sockets: usize) -> Limits {
    Limits {
        streams: told.streams,
        // Next to two fifths for clients; the rest is for the bus, operators, the worker and clients being
        // turned away.
        connections: sockets / 3,
        connect: Duration::from_micros(told.timeout),
        // Well before the store closes it: a request must not cross with that.
        idle: Duration::from_micros(told.keepalive) * 2 / 3,
    }
}

/// Whether another process listens there.
fn in_use(at: SocketAddr) -> bool {
    std::net::TcpListener::bind(at).is_err_and(|e| e.kind() == io::ErrorKind::AddrInUse)
}

/// Starts what only one process of a gateway can be, once the other is gone: it goes on with that until then.
fn when_free(at: SocketAddr, start: impl FnOnce() -> io::Result<()> + Send + 'static) -> io::Result<()> {
    log::info!("{at} is in use: it is taken over once it is free");
    let thread = std::thread::Builder::new().name("take-over".into()).stack_size(256 * 1024);
    let waiting = thread.spawn(move || {
        while in_use(at) {
            std::thread::sleep(FREE_LOOK);
        }
        if let Err(e) = start() {
            log::error!("{at}: {e}");
        }
    });
    waiting.map(drop)
}

/// This instance's part in agreeing on the name front's routes.
fn agree(shared: &Arc<Shared>, raft: &Raft) -> io::Result<Instance> {
    let (checking, applying) = (shared.clone(), shared.clone());
    let read = |text: &[u8], shared: &Shared| {
        let text = std::str::from_utf8(text).map_err(|e| e.to_string())?;
        fronts::routes("document", text, &shared.deployment().names).map_err(|fault| fault.to_string())
    };
    let check = move |text: &[u8]| read(text, &checking).map(drop);
    Instance::start(raft, Arc::new(check), move |text| match read(text, &applying) {
        Ok(routes) => {
            log::info!("agreed: {} sources of look-ups", routes.sources.len());
            applying.set_routes(routes);
        }
        Err(e) => log::error!("agreed, but not usable here: {e}"),
    })
}

/// A gateway that listens.
pub struct Gateway {
    pub shared: Arc<Shared>,
    pub listen: SocketAddr,
    /// Where operators call.
    pub admin: Option<SocketAddr>,
    pub dns: Option<SocketAddr>,
    /// What the configuration in force holds: a new one may not lack any of it.
    shape: Mutex<Shape>,
    sockets: usize,
    /// Where routes are agreed on, with the other instances of the group.
    pub raft: Option<Instance>,
}

impl Gateway {
    /// Applies what is known, then listens.
    pub fn start(config: Config) -> io::Result<Gateway> {
        let Config {
            name,
            listen,
            seed,
            memory_mb,
            sockets,
            bus,
            known,
            settings,
            names,
            operators,
            admin,
            socket,
            lasting,
            shape,
        } = config;
        let clock = Clock::default();
        let guard = Guard::new(clock, seed);
        guard.start(&operators);
        let Operators { dns, raft, .. } = operators.unwrap_or_default();
        let broker = Arc::new(Mutex::new(Broker::new(settings.clone(), seed)));
        let asked = broker.clone();
        let gate = Arc::new(move |order: &Order| lock(&asked).may_send(order));
        let limits = limits(names.connections, sockets);
        let most = (sockets * 2 / 5).min((memory_mb - MEMORY_OWN_MB) * ANSWERS_PER_MB);
        let clients = Arc::new(http::Clients::new(most, (sockets / 16).max(2)));
        let shared = Arc::new(Shared {
            clock,
            deployment: Mutex::new(Arc::new(Deployment { settings, names })),
            broker,
            stores: Stores::new(limits, gate),
            clients: clients.clone(),
            watched: Mutex::default(),
            watches: AtomicU64::new(0),
            listed: AtomicBool::new(false),
            feed: bus::Feed::default(),
            routes: Mutex::default(),
            intents: Mutex::default(),
            ready: AtomicBool::new(false),
            stopping: OnceLock::new(),
            socket_shared: socket.is_some(),
            most_stores: sockets / 3,
            beside: AtomicBool::new(false),
            fresh: Mutex::default(),
            guard,
            open: Arc::default(),
        });
        bus::take(&shared, known);
        let keeper = handover::start(&shared, lasting.as_deref(), &name)?;
        let admin = admin.map(TcpListener::bind).transpose()?;
        let operators = admin.as_ref().map(TcpListener::local_addr).transpose()?;
        if let Some(admin) = admin {
            let asked = shared.clone();
            super::spawn(move || admin::listen(&asked, &admin, keeper));
        }
        let listener = match socket {
            Some(socket) => handover::inherit(socket, listen)?,
            None => TcpListener::bind(listen)?,
        };
        let listen = listener.local_addr()?;
        let beside = socket.is_some();
        let dns = match dns {
            Some(dns) if beside && in_use(dns.listen) => {
                let (shared, at) = (shared.clone(), dns.listen);
                when_free(at, move || dns::start(&shared, dns, listen, seed).map(drop))?;
                Some(at)
            }
            dns => dns.map(|dns| dns::start(&shared, dns, listen, seed)).transpose()?,
        };
        let raft = match raft {
            Some(raft) if beside && in_use(raft.listen) => {
                let shared = shared.clone();
                when_free(raft.listen, move || {
                    let _instance = agree(&shared, &raft)?;
                    loop {
                        std::thread::park();
                    }
                })?;
                None
            }
            raft => raft.map(|raft| agree(&shared, &raft)).transpose()?,
        };
        if let Some(folder) = &lasting
            && let Err(e) = link::start(&shared, folder, &name)
        {
            log::warn!("link: {e}; going on without it");
        }
        bus::follow(&shared, bus);
        let (serving, seated) = (shared.clone(), clients.clone());
        super::spawn(move || {
            // Where another process accepts already, there is no hurry: this one does once it is up to date.
            let began = Instant::now();
            while serving.socket_shared && !serving.feed.caught_up() && began.elapsed() < CAUGHT_UP_WITHIN {
                may::coroutine::sleep(TICK);
            }
            serving.ready.store(true, Ordering::SeqCst);
            http::listen(&serving, &listener, &clients);
        });
        let timed = shared.clone();
        super::spawn(move || {
            for round in 0_u32.. {
                may::coroutine::sleep(TICK);
                timed.broker().tick(timed.clock.now());
                if round.is_multiple_of(WATCH_EVERY) {
                    timed.watch();
                }
                if round.is_multiple_of(IDENTITIES_EVERY) {
                    seated.end_identities(&timed.guard);
                }
                if round.is_multiple_of(SWEEP_EVERY) {
                    timed.stores.sweep(timed.handed_over());
                    seated.sweep(timed.leaving());
                }
            }
        });
        log::info!("{name} serves at {listen}");
        Ok(Gateway { shared, listen, admin: operators, dns, shape: Mutex::new(shape), sockets, raft })
    }

    /// Takes in a configuration that has replaced the one before: its settings, and the address of its bus,
    /// which is followed from the last event on. It moves whole or not at all, and open requests go on under the
    /// rules with which they were taken. All else in it holds from the next start.
    pub fn reload(&self, config: Config) -> Result<(), ConfigError> {
        let mut shape = lock(&self.shape);
        shape.held_by(&config.shape)?;
        let Config { settings, names, bus, operators, .. } = config;
        let shared = &self.shared;
        // The only other part that can turn a version down, and so the first to be brought into force.
        let turned_down = |cause| ConfigError { key: "operators".into(), cause };
        let operators = operators.map_err(turned_down)?;
        shared.guard.renew(&operators).map_err(turned_down)?;
        if let (Some(dns), None) = (&operators.dns, &self.raft) {
            shared.set_routes(dns.routes.clone());
        }
        shared.stores.set_limits(limits(names.connections, self.sockets));
        {
            let mut deployment = lock(&shared.deployment);
            let renewed = deployment.renewed(settings, names);
            shared.broker().retune(shared.clock.now(), renewed.settings.clone());
            *deployment = Arc::new(renewed);
        }
        bus::follow(shared, bus);
        *shape = config.shape;
        log::info!("configuration read again: the settings are in force, and the event bus is {bus}");
        Ok(())
    }

    /// Returns once the flag has been set, requests have had time to come to an end, and all taken ones
    /// are answered. Where another process takes over, no new ones come, and it returns once all clients have
    /// left. Runs on the caller's own thread.
    pub fn finish(&self, stop: &AtomicBool) {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            if stop.load(Ordering::SeqCst) {
                let shared = &self.shared;
                let told = *shared.stopping.get_or_init(|| shared.clock.now());
                let since = shared.clock.now() - told;
                let idle = shared.open.load(Ordering::SeqCst) == 0;
                let linger = if shared.socket_shared { LINGER_HANDED_OVER } else { LINGER };
                if since >= linger && idle && !(shared.socket_shared && shared.clients.seated() > 0) {
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Of 384 descriptors 153 are for clients and 128 for stores, however two processes share them.
    #[rstest]
    #[case::alone(Held { clients: 0, stores: 0 }, 128, 0)]
    #[case::an_old_one_with_many_idle(Held { clients: 100, stores: 8 }, 50, 30)]
    #[case::an_old_one_that_waits_for_stores(Held { clients: 100, stores: 60 }, 50, 82)]
    #[case::a_small_one(Held { clients: 20, stores: 10 }, 30, 0)]
    fn two_processes_hold_no_more_than_one(#[case] there: Held, #[case] stores: usize, #[case] taken: usize) {
        assert_eq!(there.over(stores, 128), taken);
        assert!(153 - taken + there.clients + stores + there.stores <= 153 + 128);
    }
}
