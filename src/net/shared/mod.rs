//! What this gateway shares with others: homes of slices, claims, budgets. Off without `fleet` in the operators' file.
//!
//! A pool of workers over shared tables. **Lock order: homes, ledger, outbox**; who holds one takes none before it, and
//! none is held over a send. In debug builds `tracing-mutex` panics where two threads take them the other way round. The one
//! loop takes none of them (`spend`). At rest the pool sleeps until the next lease, probe or claim is due.

mod alive;
mod spend;
pub mod wire;

use super::Permit;
use super::clock::Clock;
use crate::interface::Allowance;
use crate::metrics::Counted;
use alive::Alive;
use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use sagearch_homes::claims::Change as Claimed;
use sagearch_homes::holder::{Change, Holder, Why};
use sagearch_homes::message::{self, Claims, Leases};
use sagearch_homes::place::mix;
use sagearch_homes::{Claim, Epoch, Floors, Member, Micros, Principals, Region, Rules, Slice};
use sagearch_ledger::{Ask, Bank, Bucket, Budget, Grant, Purse, Tally, Terms, UNIT};
use sagearch_operators::fleet::Fleet;
use spend::{SharedBudget, Wanted};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tracing_mutex::stdsync::{Mutex, MutexGuard};
use wire::{Body, Far, Under};

/// Notes and datagrams that wait for a worker; beyond, they are lost, as datagrams may be.
const WAITING: usize = 1_024;
/// Amounts that wait for the loop.
const GRANTS: usize = 64;
/// A worker looks at least so often, should all else be silent.
const LONGEST_REST: Duration = Duration::from_secs(60);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a worker is given.
pub enum Work {
    Datagram(SocketAddr, Vec<u8>),
    Wanted(Wanted),
    /// Something is due earlier than was thought.
    Wake,
    Leave,
}

struct Listed {
    region: Region,
    address: SocketAddr,
}

/// Who is home of what, and who stands for which region.
struct Homes {
    holder: Holder,
    principals: Principals,
    alive: Alive,
    /// By region: whether it was heard since it was last told, and how many members have been tried in vain.
    far: Vec<(bool, usize)>,
    /// Since when slices that belong here are without a majority's lease; told once.
    without: Option<(Micros, bool)>,
}

/// A budget at its home, and what is known of what others have handed out.
struct Shelf {
    name: String,
    slice: Slice,
    terms: Terms,
    federated: bool,
    bank: Option<(Epoch, Bank)>,
    tally: Tally,
    /// What was asked of other regions: number, when, under which claim.
    loans: BTreeMap<Region, (u32, Micros, Claim)>,
    number: u32,
    next_loan: Micros,
}

struct Outbox {
    bucket: Bucket,
    rate: u64,
}

/// Bodies and for whom they are.
type Out = Vec<(Member, Body)>;

pub struct Shared {
    clock: Clock,
    mark: u32,
    me: message::Sender,
    region: Region,
    names: Vec<String>,
    members: Vec<Listed>,
    by_address: HashMap<SocketAddr, Member>,
    rules: Rules,
    homes: Mutex<Homes>,
    ledger: Mutex<Vec<Shelf>>,
    outbox: Mutex<Outbox>,
    socket: UdpSocket,
    floors: Arc<ArcSwap<Floors>>,
    granted: Vec<Sender<(Grant, Under)>>,
    counted: Arc<Counted>,
    /// When the first worker has to look again.
    due: AtomicU64,
    work: Sender<Work>,
    workers: usize,
    /// Its threads are to end.
    stopping: AtomicBool,
    running: Arc<AtomicUsize>,
    random: AtomicU64,
}

/// What the rest of the gateway gets of it.
pub struct Started {
    pub budgets: Vec<Box<dyn Allowance>>,
    pub shared: Arc<Shared>,
}

/// The least epoch that can be new, and an incarnation: Unix time in microseconds.
fn unix_us(clock: &Clock) -> u64 {
    clock.unix_us(clock.now())
}

/// Starts the pool, where this gateway is one of the fleet's members. `listen`: where its datagrams come in, if that is
/// not the address by which others know it.
pub fn start(
    fleet: &Fleet,
    name: &str,
    listen: Option<SocketAddr>,
    clock: Clock,
    seed: u64,
    counted: Counted,
) -> io::Result<Option<Started>> {
    let Some((at, me)) = fleet.members().find(|(_, member)| member.name == name) else {
        log::error!("fleet {:?} has no member {name:?}: this gateway shares nothing", fleet.name);
        return Ok(None);
    };
    let (now, unix) = (clock.now(), unix_us(&clock));
    let socket = UdpSocket::bind(listen.unwrap_or(me.address))?;
    let rules = Rules { slices: fleet.slices, lease: fleet.lease * 1_000, drift: fleet.drift };
    let region = Region(at as u8);
    let me = message::Sender { member: Member(me.number), incarnation: unix };
    let own = &fleet.regions[at];
    let voters = own.voters.iter().map(|list| list.iter().map(|number| Member(*number)).collect()).collect();
    let others = own.members.iter().map(|it| Member(it.number)).filter(|it| *it != me.member).collect();
    let regions: Vec<Region> = (0..fleet.regions.len()).map(|region| Region(region as u8)).collect();
    let principals =
        Principals::new(region, regions.clone(), rules.slices, fleet.claim * 1_000, me.incarnation);
    let homes = Homes {
        holder: Holder::new(rules, me, voters, now, unix),
        principals,
        alive: Alive::new(me.member, me.incarnation, others, mix(seed ^ 0x616c), now),
        far: vec![(false, 0); regions.len()],
        without: None,
    };
    let floors = Arc::new(ArcSwap::from_pointee(Floors::new(regions, rules.slices)));
    let (work, taken) = bounded(WAITING);
    let counted = Arc::new(counted);
    let all = fleet.members().count();
    let (mut ledger, mut granted, mut budgets) = (Vec::new(), Vec::new(), Vec::<Box<dyn Allowance>>::new());
    for (number, budget) in fleet.budgets.iter().enumerate() {
        // A federation's budget is each region's by its members; what one does not need it lends.
        let sharing = own.members.len() as u64;
        let part =
            if budget.federated { budget.amount * UNIT * sharing / all as u64 } else { budget.amount * UNIT };
        let stated = Budget {
            amount: part,
            window: budget.window * 1_000,
            overdraft: budget.overdraft * 10,
            floors: budget.floors * 10,
        };
        let terms = stated.terms(sharing, u64::from(fleet.drift)).map_err(io::Error::other)?;
        if terms.floor_rate > 0 && terms.floor_most < UNIT {
            log::warn!("budget {:?}: among {sharing} gateways no floor comes to one call", budget.name);
        }
        let slice = rules.slice(crate::hash::text(&budget.name));
        let (sender, receiver) = bounded(GRANTS);
        granted.push(sender);
        budgets.push(Box::new(SharedBudget {
            budget: number as u8,
            slice,
            purse: Purse::new(terms, me.incarnation, now),
            wanted: work.clone(),
            granted: receiver,
            floors: floors.clone(),
            clock,
            counted: counted.clone(),
        }));
        ledger.push(Shelf {
            name: budget.name.clone(),
            slice,
            terms,
            federated: budget.federated && fleet.regions.len() > 1,
            bank: None,
            tally: Tally::default(),
            loans: BTreeMap::new(),
            number: 0,
            next_loan: 0,
        });
    }
    let listed = |(at, member): (usize, &sagearch_operators::fleet::Member)| Listed {
        region: Region(at as u8),
        address: member.address,
    };
    let shared = Arc::new(Shared {
        clock,
        mark: wire::mark(&fleet.name),
        me,
        region,
        names: fleet.regions.iter().map(|region| region.name.clone()).collect(),
        members: fleet.members().map(listed).collect(),
        by_address: fleet.members().map(|(_, member)| (member.address, Member(member.number))).collect(),
        rules,
        homes: Mutex::new(homes),
        ledger: Mutex::new(ledger),
        outbox: Mutex::new(Outbox {
            bucket: Bucket::new(u64::from(fleet.rate) * UNIT / 2, now),
            rate: u64::from(fleet.rate) * UNIT,
        }),
        socket,
        floors,
        granted,
        counted,
        due: AtomicU64::new(now),
        work,
        workers: fleet.workers,
        stopping: AtomicBool::new(false),
        running: Arc::default(),
        random: AtomicU64::new(seed),
    });
    let stack = |name: String| std::thread::Builder::new().name(name).stack_size(256 * 1024);
    let (hearing, permit) = (shared.clone(), Permit::take(&shared.running, usize::MAX));
    stack("shared-ear".into()).spawn(move || {
        // Whoever sees that all have ended may open its socket anew.
        let (_permit, hearing) = (permit, hearing);
        hearing.listen();
    })?;
    for worker in 0..fleet.workers {
        let (shared, taken, permit) =
            (shared.clone(), taken.clone(), Permit::take(&shared.running, usize::MAX));
        stack(format!("shared-{worker}")).spawn(move || {
            let (_permit, shared) = (permit, shared);
            shared.run(&taken, worker == 0);
        })?;
    }
    log::info!("member {} of fleet {:?}, in region {:?}", me.member.0, fleet.name, own.name);
    Ok(Some(Started { budgets, shared }))
}

impl Shared {
    fn listen(&self) {
        let mut bytes = [0; wire::LONGEST + 1];
        while !self.stopping.load(Ordering::SeqCst) {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => {
                    self.counted.bytes("heard", length);
                    let work = Work::Datagram(from, bytes[..length].to_vec());
                    if self.work.try_send(work).is_err() {
                        self.counted.lost("no_worker");
                    }
                }
                // A peer that is not there makes the next call fail; it tells nothing of this socket.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(e) => {
                    log::warn!("datagrams: {e}");
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    /// A worker. The first one also does what is due.
    fn run(&self, taken: &Receiver<Work>, first: bool) {
        while !self.stopping.load(Ordering::SeqCst) {
            let rest = if first {
                let due = self.due.load(Ordering::SeqCst);
                Duration::from_micros(due.saturating_sub(self.clock.now())).min(LONGEST_REST)
            } else {
                LONGEST_REST
            };
            match taken.recv_timeout(rest) {
                Ok(work) => self.work(work, first),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if first && self.clock.now() >= self.due.load(Ordering::SeqCst) {
                self.tick();
            }
        }
    }

    fn work(&self, work: Work, first: bool) {
        match work {
            Work::Datagram(from, bytes) => self.datagram(from, &bytes),
            Work::Wanted(Wanted { budget, ask }) => self.wanted(budget, ask),
            Work::Wake => {}
            Work::Leave => self.leave(),
        }
        let next = self.next(&lock(&self.homes));
        if self.due.fetch_min(next, Ordering::SeqCst) > next && !first {
            // Full: the first worker has enough to do to look soon.
            let _: Result<(), TrySendError<Work>> = self.work.try_send(Work::Wake);
        }
    }

    fn chance(&self) -> f64 {
        let number = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        crate::hash::unit(mix(number))
    }

    /// When something is due again, in microseconds of the gateway's clock.
    fn next(&self, homes: &Homes) -> Micros {
        let now = self.clock.now();
        let claims = homes.holder.held(now).next().map(|_| homes.principals.next());
        let nexts = [homes.alive.next(), homes.holder.next(now), claims];
        // Several in one moment are done in one go, and none can make it spin.
        nexts.into_iter().flatten().min().unwrap_or(now + 60_000_000).max(now + 1_000)
    }

    fn send(&self, out: Out) {
        for (to, body) in out {
            let bytes = match wire::encode(self.mark, self.me.incarnation, body) {
                Ok(bytes) => bytes,
                Err(unread) => {
                    self.counted.lost(unread.label());
                    continue;
                }
            };
            let may = {
                let mut outbox = lock(&self.outbox);
                let rate = outbox.rate;
                outbox.bucket.fill(self.clock.now(), rate);
                outbox.bucket.take(UNIT)
            };
            let Some(listed) = self.members.get(usize::from(to.0)).filter(|_| may) else {
                self.counted.lost("over_rate");
                continue;
            };
            match self.socket.send_to(&bytes, listed.address) {
                Ok(sent) => self.counted.bytes("sent", sent),
                Err(_) => self.counted.lost("unsent"),
            }
        }
    }

    /// Notes what has become of slices here, for operators and in the ledger.
    fn note(&self, now: Micros, changes: Vec<Change>, claims: Vec<Claimed>) -> Out {
        let mut out = Out::new();
        if changes.is_empty() && claims.is_empty() {
            return out;
        }
        let at = self.clock.unix_us(now);
        let (mut gained, mut moved, mut lapsed) = (0, 0, 0);
        let mut ledger = lock(&self.ledger);
        for change in changes {
            match change {
                Change::Gained(slice, epoch) => {
                    gained += 1;
                    log::debug!("gained slice={} epoch={epoch} at={at}", slice.0);
                    for shelf in ledger.iter_mut().filter(|shelf| shelf.slice == slice) {
                        shelf.bank = Some((epoch, Bank::new(shelf.terms, now)));
                    }
                }
                Change::Lost(slice, epoch, why) => {
                    if why == Why::Moved {
                        moved += 1
                    } else {
                        lapsed += 1
                    }
                    log::debug!("lost slice={} epoch={epoch} at={at}", slice.0);
                    ledger
                        .iter_mut()
                        .filter(|shelf| shelf.slice == slice)
                        .for_each(|shelf| shelf.bank = None);
                }
            }
        }
        drop(ledger);
        for (count, what) in [(gained, "gained"), (moved, "moved"), (lapsed, "lapsed")] {
            if count > 0 {
                log::info!("homes: {count} {what}");
                self.counted.change(what, count);
            }
        }
        let (mut claimed, mut left) = (0_u64, 0_u64);
        for change in claims {
            match change {
                Claimed::Claimed(slice, claim) => {
                    claimed += 1;
                    log::debug!("claimed slice={} {} at={at}", slice.0, shown(&claim));
                }
                Claimed::Left(slice, claim) => {
                    left += 1;
                    log::debug!("left slice={} {} at={at}", slice.0, shown(&claim));
                }
                Claimed::Split { slice, lost, won } => {
                    self.counted.change("split", 1);
                    let [lost_by, won_by] = [&lost, &won].map(|it| &self.names[usize::from(it.region.0)]);
                    log::warn!(
                        "split brain: {won_by:?} and {lost_by:?} both claim slice {}; {won_by:?} wins",
                        slice.0
                    );
                    log::debug!("split slice={} lost {} won {} at={at}", slice.0, shown(&lost), shown(&won));
                }
                Claimed::Fenced { slice, lost, won } => {
                    self.counted.change("fenced", 1);
                    log::warn!("fenced: this gateway's claim on slice {} has lost", slice.0);
                    log::debug!("fenced slice={} lost {} won {} at={at}", slice.0, shown(&lost), shown(&won));
                    // All of the region who may hold something under it hear at once, and not when it ends.
                    let told = message::Told { slice, claim: won, age: Some(0) };
                    let others = self.members.iter().enumerate().filter(|(_, it)| it.region == self.region);
                    let others = others.map(|(at, _)| Member(at as u16)).filter(|it| *it != self.me.member);
                    out.extend(others.map(|member| (member, Body::Fence(Claims(vec![told])))));
                }
            }
        }
        if claimed + left > 0 {
            log::info!("claims: {claimed} made, {left} left");
            self.counted.change("claimed", claimed);
        }
        out
    }

    fn tick(&self) {
        let now = self.clock.now();
        let mut out = Out::new();
        let mut homes = lock(&self.homes);
        let mut alive = Vec::new();
        homes.alive.tick(now, &mut alive);
        self.count_alive(&mut homes);
        let mut leases = message::Out::new();
        let changes = homes.holder.tick(now, self.chance(), &mut leases);
        let held: BTreeMap<Slice, Epoch> = homes.holder.held(now).collect();
        self.counted.homes.set(held.len() as i64);
        self.without(now, &mut homes, held.is_empty());
        let (claims, claimed) = homes.principals.tick(now, &held);
        self.tell_regions(&mut homes, claims, &mut out);
        if !claimed.is_empty() {
            self.publish(&homes);
        }
        let principal: BTreeMap<Slice, Claim> = held
            .iter()
            .filter_map(|(slice, epoch)| {
                Some((*slice, homes.principals.principal(now, *slice, Some(*epoch))?))
            })
            .collect();
        let turns: Vec<usize> = homes.far.iter().map(|(_, turn)| *turn).collect();
        self.due.store(self.next(&homes), Ordering::SeqCst);
        drop(homes);
        out.extend(alive.into_iter().map(|(to, bytes)| (to, Body::Alive(bytes))));
        out.extend(leases.into_iter().map(|(to, message)| (to, Body::Lease(message))));
        self.borrow(now, &principal, &turns, &mut out);
        out.extend(self.note(now, changes, claimed));
        self.send(out);
    }

    /// A side without a majority has no home: everyone is on what it has alone.
    fn without(&self, now: Micros, homes: &mut Homes, none_held: bool) {
        if !none_held || homes.holder.wanting(now) == 0 {
            if homes.without.take().is_some_and(|(_, told)| told) {
                log::info!("a majority of the region's voters grants leases again");
            }
            return;
        }
        let (since, told) = homes.without.get_or_insert((now, false));
        if !*told && now >= *since + 3 * self.rules.promise() {
            *told = true;
            self.counted.change("without_majority", 1);
            log::warn!("no majority of the region's voters is heard: this gateway is on what it has alone");
        }
    }

    fn count_alive(&self, homes: &mut Homes) {
        let members = homes.alive.members();
        self.counted.members.set(members.len() as i64);
        homes.holder.alive(members);
    }

    fn publish(&self, homes: &Homes) {
        self.floors.store(Arc::new(homes.principals.floors.clone()));
    }

    /// A member of another region to speak to: each gateway has one of its own, and goes on to the next where nothing is
    /// heard. It hands on what is not its own.
    fn speaks_to(&self, region: Region, turn: usize) -> Option<Member> {
        let there: Vec<usize> =
            (0..self.members.len()).filter(|at| self.members[*at].region == region).collect();
        let at = (usize::from(self.me.member.0) + turn) % there.len().max(1);
        there.get(at).map(|at| Member(*at as u16))
    }

    fn far(&self, far: Far) -> Body {
        Body::Far { from: self.me.member.0, incarnation: self.me.incarnation, handed_on: false, far }
    }

    fn tell_regions(&self, homes: &mut Homes, claims: Vec<Claims>, out: &mut Out) {
        if claims.is_empty() {
            return;
        }
        for at in 0..homes.far.len() {
            let region = Region(at as u8);
            if region == self.region {
                continue;
            }
            let (heard, turn) = &mut homes.far[at];
            *turn += usize::from(!std::mem::take(heard));
            let Some(to) = self.speaks_to(region, *turn) else { continue };
            out.extend(claims.iter().map(|claims| (to, self.far(Far::Claims(claims.clone())))));
        }
    }

    /// Where the region's own rate does not do, a principal asks other regions for theirs.
    fn borrow(&self, now: Micros, principal: &BTreeMap<Slice, Claim>, turns: &[usize], out: &mut Out) {
        let mut ledger = lock(&self.ledger);
        for (number, shelf) in ledger.iter_mut().enumerate().filter(|(_, shelf)| shelf.federated) {
            let Some(claim) = principal.get(&shelf.slice).copied() else { continue };
            let Some((_, bank)) = shelf.bank.as_mut().filter(|_| now >= shelf.next_loan) else { continue };
            let lacking = bank.demand(now).saturating_sub(shelf.terms.rate);
            if lacking < UNIT {
                continue;
            }
            let issued = bank.issued();
            shelf.next_loan = now + shelf.terms.lasts / 2;
            let others = self.names.len() as u64 - 1;
            for at in (0..self.names.len()).filter(|at| *at != usize::from(self.region.0)) {
                let Some(to) = self.speaks_to(Region(at as u8), turns[at]) else { continue };
                shelf.number = shelf.number.wrapping_add(1);
                shelf.loans.insert(Region(at as u8), (shelf.number, now, claim));
                let (budget, rate) = (number as u8, lacking / others);
                out.push((to, self.far(Far::Want { budget, number: shelf.number, claim, rate, issued })));
            }
        }
    }

    fn datagram(&self, from: SocketAddr, bytes: &[u8]) {
        let Some(sender) = self.by_address.get(&from).copied() else { return self.counted.lost("stranger") };
        let datagram = match wire::decode(self.mark, bytes) {
            Ok(datagram) => datagram,
            Err(unread) => return self.counted.lost(unread.label()),
        };
        let near = self.members[usize::from(sender.0)].region == self.region;
        let who = message::Sender { member: sender, incarnation: datagram.incarnation };
        let now = self.clock.now();
        match datagram.body {
            Body::Far { from, incarnation, handed_on, far } => {
                // Handed on by a neighbour, or from its sender itself.
                let told = Member(from);
                let fits = if handed_on { near } else { told == sender && !near };
                if !fits || self.members.get(usize::from(from)).is_none_or(|it| it.region == self.region) {
                    return self.counted.lost("out_of_place");
                }
                self.hear_far(now, message::Sender { member: told, incarnation }, handed_on, far);
            }
            _ if !near => self.counted.lost("out_of_place"),
            Body::Alive(bytes) => {
                let mut out = Vec::new();
                let mut homes = lock(&self.homes);
                homes.alive.hear(now, &bytes, &mut out);
                self.count_alive(&mut homes);
                drop(homes);
                self.send(out.into_iter().map(|(to, bytes)| (to, Body::Alive(bytes))).collect());
            }
            Body::Lease(leases) => self.lease(now, who, &leases),
            Body::Fence(claims) => self.fence(now, self.region, &claims),
            Body::Ask { budget, ask } => {
                if let Some((under, grant)) = self.hand_out(now, who, budget, ask) {
                    self.send(vec![(sender, Body::Grant { budget, under, grant })]);
                }
            }
            Body::Grant { budget, under, grant } => self.take(budget, grant, under),
        }
    }

    fn lease(&self, now: Micros, who: message::Sender, leases: &Leases) {
        let mut answers = message::Out::new();
        let changes = lock(&self.homes).holder.hear(now, who, leases, &mut answers);
        let mut out: Out = answers.into_iter().map(|(to, message)| (to, Body::Lease(message))).collect();
        out.extend(self.note(now, changes, Vec::new()));
        self.send(out);
    }

    /// Takes claims in. Answers go by the caller.
    fn hear(&self, now: Micros, region: Region, claims: &Claims) -> (Option<Claims>, Out) {
        let mut homes = lock(&self.homes);
        let known = |homes: &Homes| {
            let of = |told: &message::Told| homes.principals.floors.get(told.slice).map(|floor| floor.claim);
            claims.0.iter().map(of).collect::<Vec<_>>()
        };
        let before = known(&homes);
        let (answer, changes) = homes.principals.hear(now, region, claims);
        if before != known(&homes) {
            self.publish(&homes);
        }
        drop(homes);
        (answer, self.note(now, Vec::new(), changes))
    }

    fn fence(&self, now: Micros, region: Region, claims: &Claims) {
        let (_, out) = self.hear(now, region, claims);
        self.send(out);
    }

    fn hear_far(&self, now: Micros, from: message::Sender, handed_on: bool, far: Far) {
        let region = self.members[usize::from(from.member.0)].region;
        lock(&self.homes).far[usize::from(region.0)].0 = true;
        match far {
            Far::Claims(claims) => {
                let (answer, mut out) = self.hear(now, region, &claims);
                out.extend(answer.map(|answer| (from.member, self.far(Far::Claims(answer)))));
                if !handed_on {
                    let homes = lock(&self.homes);
                    let mut of: BTreeMap<Member, Vec<message::Told>> = BTreeMap::new();
                    for told in claims.0 {
                        of.entry(homes.holder.belongs(told.slice)).or_default().push(told);
                    }
                    drop(homes);
                    of.remove(&self.me.member);
                    let on = |told| Far::Claims(Claims(told));
                    out.extend(of.into_iter().map(|(to, told)| (to, self.handed_on(from, on(told)))));
                }
                self.send(out);
            }
            Far::Want { budget, number, claim, rate, issued } => {
                let Some((slice, terms)) = self.shelf(budget) else {
                    return self.counted.lost("out_of_place");
                };
                let (epoch, belongs) = {
                    let homes = lock(&self.homes);
                    (homes.holder.holds(now, slice), homes.holder.belongs(slice))
                };
                let Some(epoch) = epoch else {
                    if !handed_on && belongs != self.me.member {
                        let far = Far::Want { budget, number, claim, rate, issued };
                        self.send(vec![(belongs, self.handed_on(from, far))]);
                    }
                    return;
                };
                let told = message::Told { slice, claim, age: Some(0) };
                let (answer, mut out) = self.hear(now, region, &Claims(vec![told]));
                if let Some(answer) = answer {
                    out.push((from.member, self.far(Far::Claims(answer))));
                } else {
                    let mut ledger = lock(&self.ledger);
                    let shelf = &mut ledger[usize::from(budget)];
                    shelf.tally.hear((claim.term, claim.region.0, claim.incarnation), issued);
                    let bank = bank(shelf, epoch, now);
                    // As long as the other may have it, by the clocks of both.
                    let drift = u64::from(1_000 + self.rules.drift);
                    let lasts = (terms.lasts * drift * drift).div_ceil(1_000_000);
                    let rate = bank.lend(now, who(&claim), rate, lasts);
                    let issued = bank.issued();
                    drop(ledger);
                    out.push((from.member, self.far(Far::Lent { budget, number, claim, rate, issued })));
                }
                self.send(out);
            }
            Far::Lent { budget, number, claim, rate, issued } => {
                let Some((slice, terms)) = self.shelf(budget) else {
                    return self.counted.lost("out_of_place");
                };
                let homes = lock(&self.homes);
                let Some(epoch) = homes.holder.holds(now, slice) else { return };
                let own = homes.principals.principal(now, slice, Some(epoch)) == Some(claim);
                let mut ledger = lock(&self.ledger);
                drop(homes);
                let shelf = &mut ledger[usize::from(budget)];
                shelf.tally.hear((0, region.0, from.incarnation), issued);
                let asked = shelf
                    .loans
                    .get(&region)
                    .copied()
                    .filter(|(asked, _, of)| (*asked, *of) == (number, claim));
                if let Some((_, sent, _)) = asked.filter(|_| own) {
                    bank(shelf, epoch, now).borrow(now, u64::from(region.0), rate, sent + terms.lasts);
                }
            }
        }
    }

    fn handed_on(&self, from: message::Sender, far: Far) -> Body {
        Body::Far { from: from.member.0, incarnation: from.incarnation, handed_on: true, far }
    }

    fn shelf(&self, budget: u8) -> Option<(Slice, Terms)> {
        let ledger = lock(&self.ledger);
        ledger.get(usize::from(budget)).map(|shelf| (shelf.slice, shelf.terms))
    }

    /// The loop wants more.
    fn wanted(&self, budget: u8, ask: Ask) {
        let Some((slice, _)) = self.shelf(budget) else { return };
        let now = self.clock.now();
        let to = lock(&self.homes).holder.belongs(slice);
        if to != self.me.member {
            return self.send(vec![(to, Body::Ask { budget, ask })]);
        }
        if let Some((under, grant)) = self.hand_out(now, self.me, budget, ask) {
            self.take(budget, grant, under);
        }
    }

    /// Hands out of a budget, as its home.
    fn hand_out(&self, now: Micros, who: message::Sender, budget: u8, ask: Ask) -> Option<(Under, Grant)> {
        let (slice, _) = self.shelf(budget)?;
        let homes = lock(&self.homes);
        let Some(epoch) = homes.holder.holds(now, slice) else {
            self.counted.lost("not_home");
            return None;
        };
        let until = homes.holder.held_until(slice)?;
        let claim = homes.principals.principal(now, slice, Some(epoch));
        let mut ledger = lock(&self.ledger);
        drop(homes);
        let shelf = ledger.get_mut(usize::from(budget))?;
        let claim = claim.filter(|_| shelf.federated);
        let grant = bank(shelf, epoch, now).ask(now, (who.member.0, who.incarnation), ask)?;
        let name = shelf.name.clone();
        drop(ledger);
        // It may have been stopped since it looked: what leaves now would be of a home that was.
        let leaves = self.clock.now();
        if leaves >= until {
            self.counted.lost("lease_over");
            return None;
        }
        log::debug!(
            "acts slice={} epoch={epoch} {} at={} budget={name} to={} amount={}",
            slice.0,
            shown_of(claim.as_ref()),
            self.clock.unix_us(leaves),
            who.member.0,
            grant.amount,
        );
        Some((Under { slice, epoch, claim }, grant))
    }

    /// An amount has come for this gateway.
    fn take(&self, budget: u8, grant: Grant, under: Under) {
        let fenced = under.claim.is_some_and(|claim| self.floors.load().fenced(under.slice, &claim));
        if fenced {
            return self.counted.lost("fenced_grants");
        }
        let Some(granted) = self.granted.get(usize::from(budget)) else {
            return self.counted.lost("out_of_place");
        };
        if granted.try_send((grant, under)).is_err() {
            self.counted.lost("grants_unheard");
        }
    }

    /// Gives back what it holds before the process ends: others need not wait for its leases to lapse.
    pub fn end(&self) {
        let _ = self.work.try_send(Work::Leave);
    }

    /// Whether all of its threads have ended.
    pub fn ended(&self) -> bool {
        self.running.load(Ordering::SeqCst) == 0
    }

    /// Has its threads end. What it holds lapses, unless it was given back before.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for _ in 0..self.workers {
            // Full: none of them rests.
            let _: Result<(), TrySendError<Work>> = self.work.try_send(Work::Wake);
        }
        // An empty datagram from itself wakes the thread that waits for one.
        if let Err(e) = self.socket.local_addr().and_then(|own| self.socket.send_to(&[], own)) {
            log::warn!("datagrams: {e}: a thread ends with the next that comes");
        }
    }

    fn leave(&self) {
        let now = self.clock.now();
        let mut homes = lock(&self.homes);
        let mut alive = Vec::new();
        homes.alive.leave(now, &mut alive);
        // To whom nothing belongs any more.
        let own = self.me.member;
        let held: BTreeSet<(Slice, Epoch)> = homes.holder.held(now).collect();
        let voters: Vec<Member> = homes.holder.voters().into_iter().filter(|voter| *voter != own).collect();
        homes.holder.retire();
        drop(homes);
        let mut of: BTreeMap<Epoch, Vec<Slice>> = BTreeMap::new();
        held.into_iter().for_each(|(slice, epoch)| of.entry(epoch).or_default().push(slice));
        let mut out: Out = alive.into_iter().map(|(to, bytes)| (to, Body::Alive(bytes))).collect();
        for (epoch, slices) in of {
            for part in slices.chunks(message::SLICES) {
                let released = Leases::Released { epoch, slices: part.to_vec() };
                out.extend(voters.iter().map(|voter| (*voter, Body::Lease(released.clone()))));
            }
        }
        self.send(out);
        log::info!("what was held for the fleet is given back");
    }
}

/// The bank of a tenure; one of before hands out nothing any more.
fn bank(shelf: &mut Shelf, epoch: Epoch, now: Micros) -> &mut Bank {
    if shelf.bank.as_ref().is_none_or(|(of, _)| *of != epoch) {
        shelf.bank = None;
    }
    &mut shelf.bank.get_or_insert_with(|| (epoch, Bank::new(shelf.terms, now))).1
}

/// A claim as a lender tells borrowers apart.
fn who(claim: &Claim) -> u64 {
    [claim.term, u64::from(claim.region.0), claim.epoch, claim.incarnation]
        .into_iter()
        .fold(0, |all, it| mix(all ^ it))
}

/// The same of what need not have one.
fn shown_of(claim: Option<&Claim>) -> String {
    claim.map_or_else(|| "term=0".into(), shown)
}

fn shown(claim: &Claim) -> String {
    let Claim { term, region, epoch, incarnation, .. } = claim;
    format!("term={term} region={} claim-epoch={epoch} incarnation={incarnation}", region.0)
}
