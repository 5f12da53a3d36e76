//! A relay's side of the feed: it follows the bus, or another relay, by a [`Subscription`](crate::subscription) of its
//! own, and answers the polls of many subscribers.
//!
//! - `log`: the events that can be told one by one;
//! - [`purges`] and `topology`: the whole state, for snapshots;
//! - `held`: polls that wait for something new;
//! - `admission`: how many may poll;
//! - [`acknowledgements`] and [`watermark`]: what is done everywhere;
//! - [`report`]: what other relays and operators are told.

pub mod acknowledgements;
mod admission;
mod held;
mod log;
pub mod purges;
pub mod report;
mod topology;
pub mod watermark;

use crate::message::{Answer, FeedId, Head, Poll, RawEvent};
use crate::subscription::Taken;
use crate::{MILLISECOND, Micros};
use admission::Admission;
use held::{HeldPoll, HeldPolls};
use log::Log;
use purges::Purges;
use report::{Done, PeerStatus, Report, Status, SubscriberReport};
use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;
use std::sync::{Arc, OnceLock};
use topology::{STORES_ROOM, Topology};
use watermark::Watermark;

/// One connection of a subscriber, numbered by the caller.
pub type Session = u64;

/// How often what has been kept for long enough is dropped.
const HOUSEKEEPING_EVERY: Micros = 1_000 * MILLISECOND;
/// Subscribers that a status names at most.
const LAGGING_SHOWN: usize = 16;

/// What a relay is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub name: String,
    /// The other relays, all of them: without a report of each, only the end of leases says that something is done.
    pub peers: Vec<String>,
    /// For how long purges are gathered before held polls are answered.
    pub batch: Micros,
    /// How long this relay's own polls ask to be held, for the subscription of its own.
    pub upstream_hold: Micros,
    pub lease: Micros,
    /// By how much clocks may run fast or slow, in thousandths.
    pub drift: u32,
    /// For how long purges are told in snapshots: longer than any copy is used.
    pub keep_purges: Micros,
    /// So many purges are kept one by one; older ones fold into floors.
    pub purge_room: usize,
    /// So many events can be told one by one.
    pub log_room: usize,
    pub sessions: usize,
    pub per_address: usize,
    /// A subscriber that has been silent for so long is no more.
    pub forget_after: Micros,
}

impl Settings {
    /// The defaults for a relay among others.
    pub fn new(name: &str, peers: Vec<String>) -> Settings {
        Settings {
            name: name.to_owned(),
            peers,
            batch: 100 * MILLISECOND,
            upstream_hold: 100 * MILLISECOND,
            lease: 1_700 * MILLISECOND,
            drift: 10,
            keep_purges: 600_000 * MILLISECOND,
            purge_room: 20_000,
            log_room: 20_000,
            sessions: 4_096,
            per_address: 1_024,
            forget_after: 60_000 * MILLISECOND,
        }
    }
}

/// What becomes of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// This body, now.
    Now(Arc<[u8]>),
    /// [`Relay::tick`] answers it.
    Held,
    /// 503, with the time after which to come back.
    Busy { retry_after_ms: u64 },
    /// 400, with the cause.
    Bad(String),
}

/// Why an answer of the bus, or of the relay above, can't be used. Nothing of it has been taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// Offsets must not go back within a batch.
    Disordered { offset: u64, after: u64 },
    /// An event is beyond the answer's own offset.
    BeyondAnswer { offset: u64, told: u64 },
    /// The list of stores is longer than 16,384.
    TooManyStores(usize),
    /// An event can't be written as JSON.
    Unwritable { offset: u64 },
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Rejected::Disordered { offset, after } => write!(f, "event {offset} comes after event {after}"),
            Rejected::BeyondAnswer { offset, told } => {
                write!(f, "event {offset} in an answer that ends with {told}")
            }
            Rejected::TooManyStores(count) => write!(f, "{count} stores, more than {STORES_ROOM}"),
            Rejected::Unwritable { offset } => write!(f, "event {offset} can't be written as JSON"),
        }
    }
}

impl std::error::Error for Rejected {}

/// A poll is answered from its `from` on, or with a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wanted {
    After(u64),
    Snapshot,
}

/// One relay.
#[derive(Debug)]
pub struct Relay {
    settings: Settings,
    /// An answer from above has been taken in.
    ready: bool,
    feed: Option<FeedId>,
    /// All events that there were at this time are known.
    as_of: Option<Micros>,
    log: Log,
    topology: Topology,
    purges: Purges,
    held: HeldPolls,
    /// When held polls are told what is new.
    flush_at: Option<Micros>,
    /// Held polls have been told of events up to here.
    flushed: u64,
    admission: Admission,
    watermark: Watermark,
    /// The events of a snapshot, as long as nothing has changed since they were encoded.
    snapshot: OnceLock<String>,
    housekeeping_at: Micros,
    /// Answers that held the whole state, since the start.
    snapshots: u64,
}

impl Relay {
    /// A relay that knows nothing yet: polls are turned away until it does.
    pub fn new(settings: Settings, now: Micros) -> Relay {
        let Settings { name, peers, lease, drift, forget_after, .. } = &settings;
        Relay {
            ready: false,
            feed: None,
            as_of: None,
            log: Log::new(settings.log_room),
            topology: Topology::default(),
            purges: Purges::new(settings.keep_purges, settings.purge_room),
            held: HeldPolls::default(),
            flush_at: None,
            flushed: 0,
            admission: Admission::new(settings.sessions, settings.per_address),
            watermark: Watermark::new(name, peers, *lease, *drift, *forget_after, now),
            snapshot: OnceLock::new(),
            housekeeping_at: now,
            snapshots: 0,
            settings,
        }
    }

    /// An answer from above that the relay's own subscription has accepted. `as_of` is what
    /// [`pending_as_of`](crate::subscription::Subscription::pending_as_of) says of it, or for [`Taken::Nothing`] what
    /// the lease says after it. If it is rejected, the subscription is to be told that it was unusable.
    pub fn upstream(
        &mut self,
        now: Micros,
        as_of: Option<Micros>,
        taken: Taken,
        answer: &Answer,
    ) -> Result<(), Rejected> {
        match taken {
            Taken::Nothing => {}
            Taken::Changes { .. } => self.take_changes(now, answer)?,
            Taken::Snapshot => self.take_snapshot(now, answer)?,
        }
        if !self.ready || taken == Taken::Snapshot {
            self.feed = answer.head.feed.clone();
        }
        self.ready = true;
        self.watermark.learn(now, self.feed.as_ref(), self.log.last());
        self.as_of = self.as_of.max(as_of.map(|as_of| as_of.min(now)));
        Ok(())
    }

    /// A poll has come. Its acknowledgement counts unless it is turned away.
    pub fn poll(&mut self, now: Micros, session: Session, address: IpAddr, poll: &Poll) -> Reply {
        if !self.ready || !self.admission.admit(session, address) {
            return self.busy(now);
        }
        if self.held.contains(session) {
            return Reply::Bad("another poll of this connection is held".to_owned());
        }
        let same_numbering = self.same_numbering(poll);
        if let Some(identity) = &poll.identity {
            let offset = if same_numbering { poll.from } else { 0 };
            self.watermark.acknowledge(now, identity, offset);
        }
        let wanted = match same_numbering && self.log.reaches(poll.from) {
            true => Wanted::After(poll.from),
            false => Wanted::Snapshot,
        };
        let last = self.log.last();
        match wanted {
            Wanted::Snapshot if poll.identity.is_none() && !self.purges.floors().is_empty() => {
                Reply::Bad("without a name there is no snapshot: old purges are told by slice".to_owned())
            }
            Wanted::Snapshot => {
                self.snapshots += 1;
                Reply::Now(self.body(now, wanted))
            }
            Wanted::After(from) if from < self.flushed || poll.hold_ms == 0 => {
                Reply::Now(self.body(now, Wanted::After(from)))
            }
            Wanted::After(from) => {
                let ends = now.saturating_add(poll.hold_ms.saturating_mul(MILLISECOND));
                self.held.insert(session, HeldPoll { from, ends, snapshot: false });
                debug_assert!(from >= last || self.flush_at.is_some(), "nobody waits for what is known");
                Reply::Held
            }
        }
    }

    /// Answers held polls for which there is something new, or whose hold has ended.
    pub fn tick(&mut self, now: Micros) -> Vec<(Session, Arc<[u8]>)> {
        self.keep_house(now);
        let mut due = Vec::new();
        if self.flush_at.is_some_and(|at| at <= now) {
            self.flush_at = None;
            self.flushed = self.log.last();
            due = self.held.take_older(self.flushed);
        }
        due.extend(self.held.take_ended(now));
        let snapshots = due.iter().filter(|(_, poll)| self.wanted(*poll) == Wanted::Snapshot);
        self.snapshots += snapshots.count() as u64;
        // Encoded once for all that are as far.
        let mut bodies = BTreeMap::new();
        let answer = |(session, poll): (Session, HeldPoll)| {
            let wanted = self.wanted(poll);
            let body: &Arc<[u8]> = bodies.entry(wanted).or_insert_with(|| self.body(now, wanted));
            (session, body.clone())
        };
        due.into_iter().map(answer).collect()
    }

    /// When [`Relay::tick`] is to be called next; `None` if only a poll or an answer from above can change anything.
    pub fn next(&self) -> Option<Micros> {
        self.flush_at.into_iter().chain(self.held.first_end()).min()
    }

    /// The connection has ended.
    pub fn closed(&mut self, session: Session) {
        self.held.remove(session);
        self.admission.close(session);
    }

    /// For the other relays.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            relay: self.settings.name.clone(),
            feed: self.feed.clone(),
            offset: self.log.last(),
            age_ms: self.age_ms(now),
            complete: self.ready && self.watermark.complete(now),
            subscribers: self.watermark.own_subscribers(now),
        }
    }

    /// Another relay's report. False, and of no effect, if it is none of the configured ones.
    pub fn hear(&mut self, now: Micros, peer: &str, report: &Report) -> bool {
        self.watermark.hear(now, peer, report)
    }

    /// For operators.
    pub fn status(&self, now: Micros) -> Status {
        let subscribers: Vec<SubscriberReport> = self.watermark.subscribers(now).collect();
        let count = subscribers.len();
        let last = self.log.last();
        let mut lagging: Vec<_> = subscribers.into_iter().filter(|one| one.offset < last).collect();
        lagging.sort_by_key(|one| (one.offset, Reverse(one.silent_ms)));
        lagging.truncate(LAGGING_SHOWN);
        let peer = |(relay, heard): (&str, Option<(Micros, u64)>)| PeerStatus {
            relay: relay.to_owned(),
            silent_ms: heard.map(|(heard, _)| acknowledgements::silent_ms(now, heard)),
            offset: heard.map(|(_, offset)| offset),
        };
        Status {
            relay: self.settings.name.clone(),
            feed: self.feed.clone(),
            offset: last,
            age_ms: self.age_ms(now),
            watermark: self.watermark.watermark(now),
            complete: self.watermark.complete(now),
            sessions: self.admission.len(),
            held_polls: self.held.len(),
            snapshots: self.snapshots,
            log_base: self.log.base(),
            log_events: self.log.len(),
            stores: self.topology.len(),
            purges: self.purges.count(),
            purge_floors: self.purges.floors().len(),
            subscribers: count,
            peers: self.watermark.peers().map(peer).collect(),
            lagging,
        }
    }

    /// Whether and how everything up to `offset` is done everywhere.
    pub fn done(&self, now: Micros, offset: u64) -> Option<Done> {
        self.watermark.done(now, offset)
    }

    /// An operator's word that there is no such subscriber any more. False if none was known.
    pub fn forget(&mut self, name: &str) -> bool {
        self.watermark.forget(name)
    }

    /// The last event known.
    pub fn offset(&self) -> u64 {
        self.log.last()
    }

    fn take_changes(&mut self, now: Micros, answer: &Answer) -> Result<(), Rejected> {
        check_order(answer)?;
        let known = self.log.last();
        let fresh: Vec<&RawEvent> = answer.batch.iter().filter(|event| event.offset > known).collect();
        let topology = self.topology_after(&fresh, false)?;
        let encode = |event: &&RawEvent| {
            serde_json::to_string(event).map_err(|_| Rejected::Unwritable { offset: event.offset })
        };
        let encoded = fresh.iter().map(encode).collect::<Result<Vec<_>, _>>()?;
        for (event, json) in fresh.iter().zip(encoded) {
            self.log.push(event.offset, json);
            self.take_purge(now, event);
        }
        self.topology = topology;
        self.snapshot.take();
        self.log.advance(answer.head.offset);
        if self.log.last() > known {
            // Stores that leave, and what is not known here, are told at once; purges are gathered.
            let only_purges = !fresh.is_empty() && fresh.iter().all(|event| is_only_a_purge(event));
            let wait = if only_purges { self.settings.batch } else { 0 };
            self.flush_by(now.saturating_add(wait));
        }
        Ok(())
    }

    fn take_snapshot(&mut self, now: Micros, answer: &Answer) -> Result<(), Rejected> {
        let events: Vec<&RawEvent> = answer.batch.iter().collect();
        self.topology = self.topology_after(&events, true)?;
        for event in events {
            self.take_purge(now, event);
        }
        if answer.head.feed != self.feed {
            self.held.mark_all_for_snapshot();
        }
        self.log.reset(answer.head.offset);
        self.snapshot.take();
        self.flush_by(now);
        Ok(())
    }

    /// The list of stores after these events. In a snapshot the first list replaces the one known.
    fn topology_after(&self, events: &[&RawEvent], snapshot: bool) -> Result<Topology, Rejected> {
        let mut topology = self.topology.clone();
        let mut first = snapshot;
        for told in events.iter().filter_map(|event| event.topology.as_ref()) {
            if let Some(after) = topology.after(told, first) {
                topology = after;
                first = false;
            }
        }
        match topology.len() {
            count if count > STORES_ROOM => Err(Rejected::TooManyStores(count)),
            _ => Ok(topology),
        }
    }

    fn take_purge(&mut self, now: Micros, event: &RawEvent) {
        if let Some(ban) = &event.ban {
            self.purges.add(now, ban);
        }
    }

    fn keep_house(&mut self, now: Micros) {
        if now < self.housekeeping_at {
            return;
        }
        self.housekeeping_at = now.saturating_add(HOUSEKEEPING_EVERY);
        self.purges.expire(now);
        self.snapshot.take();
        self.watermark.expire(now);
    }

    fn flush_by(&mut self, at: Micros) {
        self.flush_at = Some(self.flush_at.map_or(at, |known| known.min(at)));
    }

    /// Whether the poll's `from` is of this relay's numbering. A poll of the plain bus's form does not say.
    fn same_numbering(&self, poll: &Poll) -> bool {
        let plain = poll.identity.is_none() && poll.feed.is_none();
        plain || poll.feed == self.feed || (poll.feed.is_none() && poll.from == 0)
    }

    fn wanted(&self, poll: HeldPoll) -> Wanted {
        match poll.snapshot || !self.log.reaches(poll.from) {
            true => Wanted::Snapshot,
            false => Wanted::After(poll.from),
        }
    }

    fn body(&self, now: Micros, wanted: Wanted) -> Arc<[u8]> {
        let last = self.log.last();
        let (offset, snapshot, events) = match wanted {
            Wanted::Snapshot => {
                let events = self.snapshot.get_or_init(|| self.snapshot_events());
                (last, true, Cow::Borrowed(events.as_str()))
            }
            // Whoever is ahead is told how far this relay is.
            Wanted::After(from) if from >= last => (last, false, Cow::Borrowed("")),
            Wanted::After(from) => {
                let batch = self.log.after(from);
                (batch.offset, false, Cow::Owned(batch.events))
            }
        };
        // A part of what is known proves no freshness.
        let age_ms = self.age_ms(now).filter(|_| offset == last);
        let head = Head { offset, feed: self.feed.clone(), age_ms, snapshot };
        encoded(&head, &events).into_bytes().into()
    }

    /// The whole state, as events of the last offset.
    fn snapshot_events(&self) -> String {
        let offset = self.log.last();
        let event = |topology, ban| RawEvent { offset, topology, ban, other: serde_json::Map::new() };
        let list = self.topology.whole().map(|whole| event(Some(whole), None));
        let purges = self.purges.all().map(|ban| event(None, Some(ban)));
        let events: Vec<String> =
            list.into_iter().chain(purges).filter_map(|event| serde_json::to_string(&event).ok()).collect();
        events.join(",")
    }

    /// How long ago this relay knew itself current, rounded up.
    fn age_ms(&self, now: Micros) -> Option<u64> {
        self.as_of.map(|as_of| now.saturating_sub(as_of).div_ceil(MILLISECOND))
    }

    fn busy(&mut self, now: Micros) -> Reply {
        Reply::Busy { retry_after_ms: self.admission.retry_after(now).div_ceil(MILLISECOND) }
    }
}

fn check_order(answer: &Answer) -> Result<(), Rejected> {
    let mut after = 0;
    for RawEvent { offset, .. } in &answer.batch {
        if *offset < after {
            return Err(Rejected::Disordered { offset: *offset, after });
        }
        if *offset > answer.head.offset {
            return Err(Rejected::BeyondAnswer { offset: *offset, told: answer.head.offset });
        }
        after = *offset;
    }
    Ok(())
}

fn is_only_a_purge(event: &RawEvent) -> bool {
    event.ban.is_some() && event.topology.is_none() && event.other.is_empty()
}

fn encoded(head: &Head, events: &str) -> String {
    // A head always has a field, so that the batch can follow it.
    let mut body = serde_json::to_string(head).unwrap_or_else(|_| format!("{{\"offset\":{}}}", head.offset));
    body.pop();
    body.push_str(",\"batch\":[");
    body.push_str(events);
    body.push_str("]}");
    body
}
