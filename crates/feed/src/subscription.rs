//! A subscriber's side of the feed: which relay is asked when, what an answer stands for, and the freshness lease.
//!
//! The caller asks [`Subscription::next`], carries out the poll, and says what became of it by
//! [`Subscription::answered`] or [`Subscription::failed`]. It applies the events of an accepted answer and only then
//! calls [`Subscription::in_force`]: the next poll acknowledges them.

mod order;
mod pauses;

use crate::lease::{self, Lease};
use crate::message::{FeedId, Head, Identity, Poll};
use crate::{MILLISECOND, Micros};
use pauses::Pauses;
use std::fmt;

/// By how much an answer's offset may lead the one known, without a snapshot: else one wrong answer could keep all
/// later events from being heard.
pub const LARGEST_LEAP: u64 = 1 << 32;
/// No offset is beyond this, also not in a first answer or a snapshot.
pub const LARGEST_OFFSET: u64 = 1 << 62;
/// After so many answers in a row that do not keep up the lease, the next relay is asked.
pub const USELESS_ANSWERS: u32 = 2;

/// What a subscriber is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub name: String,
    /// Unix microseconds of the process's start.
    pub incarnation: u64,
    /// Names or addresses, in order of preference; one at least.
    pub relays: Vec<String>,
    /// So many of the first are tried in order, before the rest by rendezvous hashing.
    pub preferred: usize,
    /// How long a poll asks to be held.
    pub hold: Micros,
    /// How long a freshness lease lasts.
    pub lease: Micros,
    /// By how much clocks may run fast or slow, in thousandths.
    pub drift: u32,
    /// What is asked is the bus as it was before there were relays: no new words, no lease, the first relay only.
    pub plain: bool,
    /// What is asked is the bus itself: an answer that tells no age is current.
    pub direct: bool,
    /// How long a relay that is not the first choice is kept, before the first choice is tried again.
    pub return_after: Micros,
}

impl Settings {
    /// The defaults for a gateway that asks relays.
    pub fn new(name: &str, incarnation: u64, relays: Vec<String>) -> Settings {
        Settings {
            name: name.to_owned(),
            incarnation,
            relays,
            preferred: 0,
            hold: 500 * MILLISECOND,
            lease: 1_700 * MILLISECOND,
            drift: 10,
            plain: false,
            direct: false,
            return_after: 30_000 * MILLISECOND,
        }
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this poll to `relays[relay]`; if there is no whole answer after `give_up_after`, it has failed.
    Poll { relay: usize, poll: Poll, give_up_after: Micros },
    /// Ask again then.
    Wait { until: Micros },
}

/// What became of a poll that was not answered as it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// A connection that earlier polls had used ended, or went silent: it is opened again at once.
    Lost,
    /// No whole answer in time.
    Silent,
    /// 503.
    Refused { retry_after: Option<Micros> },
    /// Any other status, or an answer that can't be read, with the cause.
    Unusable(String),
}

/// What an accepted answer stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// No event of it is new.
    Nothing,
    /// Its events with larger offsets than `after` are new.
    Changes { after: u64 },
    /// Its events are the whole state: the list replaces the list known, and its purges are added to those known.
    Snapshot,
}

/// Why an answer can't be used. The next relay is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// It belongs to another numbering and is no snapshot. The next poll asks for the whole state.
    FeedChanged { known: Option<FeedId>, told: Option<FeedId> },
    /// Its offset leads the one known by more than is plausible.
    OffsetLeap { known: u64, told: u64 },
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = |feed: &Option<FeedId>| feed.as_ref().map_or("none", FeedId::as_str).to_owned();
        match self {
            Rejected::FeedChanged { known, told } => {
                write!(
                    f,
                    "events of feed {} without a snapshot, where feed {} is followed",
                    name(told),
                    name(known)
                )
            }
            Rejected::OffsetLeap { known, told } => write!(f, "offset {told} after {known}"),
        }
    }
}

impl std::error::Error for Rejected {}

/// An accepted answer whose events are not in force yet.
#[derive(Clone, Debug)]
struct Pending {
    offset: u64,
    feed: Option<FeedId>,
    as_of: Option<Micros>,
}

/// One subscriber.
#[derive(Clone, Debug)]
pub struct Subscription {
    settings: Settings,
    /// Indices of relays, the first choice first.
    order: Vec<usize>,
    /// Whose turn it is in `order`.
    turn: usize,
    /// Before these times, relays are not to be asked again.
    rest: Vec<Micros>,
    pauses: Pauses,
    lease: Lease,
    /// Events up to here are in force.
    offset: u64,
    feed: Option<FeedId>,
    /// An answer has been accepted: its feed is the one followed.
    following: bool,
    /// The next poll asks for the whole state.
    ask_anew: bool,
    pending: Option<Pending>,
    wait_until: Micros,
    /// The relay whose turn it is has answered: its polls may be held.
    answered_here: bool,
    useless_answers: u32,
    /// When the first choice is tried again.
    return_at: Option<Micros>,
    /// The turn to go back to if the first choice, tried again, fails.
    fallback: Option<usize>,
}

impl Subscription {
    /// A subscriber that knows nothing yet. Different seeds spread what many do.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Subscription {
        let order = order::order(&settings.name, &settings.relays, settings.preferred);
        Subscription {
            rest: vec![0; order.len()],
            order,
            turn: 0,
            pauses: Pauses::new(seed),
            lease: Lease::new(settings.lease, settings.drift, now),
            offset: 0,
            feed: None,
            following: false,
            ask_anew: false,
            pending: None,
            wait_until: now,
            answered_here: false,
            useless_answers: 0,
            return_at: None,
            fallback: None,
            settings,
        }
    }

    /// What to do now. A poll is under way until `answered` or `failed` is told.
    pub fn next(&mut self, now: Micros) -> Step {
        if now < self.wait_until || self.order.is_empty() {
            return Step::Wait { until: self.wait_until.max(now.saturating_add(MILLISECOND)) };
        }
        self.try_first_choice(now);
        let relay = self.order[self.turn];
        let hold = self.hold();
        let give_up_after = match self.settings.plain {
            true => self.pauses.plain_silence(),
            false => self.pauses.silence(hold),
        };
        Step::Poll { relay, poll: self.poll(hold), give_up_after }
    }

    /// A poll sent at `sent` has been answered. Events of an accepted answer are to be applied before
    /// [`Subscription::in_force`] is called.
    pub fn answered(&mut self, now: Micros, sent: Micros, head: &Head) -> Result<Taken, Rejected> {
        self.pending = None;
        self.answered_here = true;
        // The whole state is asked for only of another numbering: in the one known nobody goes back.
        self.ask_anew &= head.feed != self.feed;
        let taken = self.judge(head).inspect_err(|rejected| self.reject(now, rejected))?;
        if self.settings.plain && taken == Taken::Nothing {
            self.following = true;
            self.useful(now);
            return Ok(taken);
        }
        if head.offset < self.offset && taken == Taken::Nothing {
            // A relay that is behind proves nothing of later events.
            self.useless(now);
            return Ok(taken);
        }
        let as_of = self.as_of(sent.min(now), head);
        self.pending = Some(Pending { offset: head.offset, feed: head.feed.clone(), as_of });
        if taken == Taken::Nothing {
            self.in_force(now);
        }
        Ok(taken)
    }

    /// How fresh the answer accepted last makes its receiver once it is in force; `None` if it proves nothing.
    pub fn pending_as_of(&self) -> Option<Micros> {
        self.pending.as_ref().and_then(|pending| pending.as_of)
    }

    /// The events of the answer accepted last are in force: the next poll acknowledges them, and the lease is renewed.
    pub fn in_force(&mut self, now: Micros) {
        let Some(Pending { offset, feed, as_of }) = self.pending.take() else { return };
        let progress = offset != self.offset;
        self.offset = offset;
        self.feed = feed;
        self.following = true;
        self.ask_anew = false;
        if let Some(as_of) = as_of {
            self.lease.renew(as_of);
        }
        let lasting = now.saturating_add(self.settings.hold);
        match as_of {
            _ if self.settings.plain => self.useful(now),
            Some(_) if self.lease.until().is_some_and(|until| until > lasting) => self.useful(now),
            // A part of what is new: the rest comes with the next answer.
            None if progress => {}
            _ => self.useless(now),
        }
    }

    /// A poll has failed.
    pub fn failed(&mut self, now: Micros, failure: Failure) {
        self.pending = None;
        if self.settings.plain {
            let pause = if failure == Failure::Lost { 0 } else { self.pauses.plain_pause() };
            self.wait_until = now.saturating_add(pause);
            return;
        }
        let asked = match failure {
            // Once: the connection is new then, and its failure another one.
            Failure::Lost if self.answered_here => {
                self.answered_here = false;
                self.wait_until = now.saturating_add(self.pauses.reconnect());
                return;
            }
            Failure::Refused { retry_after } => retry_after,
            Failure::Lost | Failure::Unreachable | Failure::Silent | Failure::Unusable(_) => None,
        };
        self.move_on(now, asked);
    }

    /// The freshness lease. It means nothing in plain mode.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Events up to here are in force.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// The numbering that is followed, where it is known.
    pub fn feed(&self) -> Option<&FeedId> {
        self.feed.as_ref()
    }

    fn hold(&self) -> Micros {
        match self.settings.plain {
            true if self.following => pauses::PLAIN_HOLD,
            false if self.answered_here => self.settings.hold,
            // The first word is wanted at once, also where it is that there is nothing new.
            _ => 0,
        }
    }

    fn poll(&self, hold: Micros) -> Poll {
        let hold_ms = hold / MILLISECOND;
        if self.settings.plain {
            return Poll { from: self.offset, hold_ms, feed: None, identity: None };
        }
        let identity = Identity { name: self.settings.name.clone(), incarnation: self.settings.incarnation };
        let (from, feed) = match self.ask_anew {
            true => (0, None),
            false => (self.offset, self.feed.clone()),
        };
        Poll { from, hold_ms, feed, identity: Some(identity) }
    }

    /// What the answer stands for. An answer that is behind counts as nothing new: nobody goes back.
    fn judge(&self, head: &Head) -> Result<Taken, Rejected> {
        let (known, told) = (self.offset, head.offset);
        if self.settings.plain {
            let changes = Taken::Changes { after: known };
            return Ok(if told > known { changes } else { Taken::Nothing });
        }
        if told > LARGEST_OFFSET {
            return Err(Rejected::OffsetLeap { known, told });
        }
        if self.ask_anew || (self.following && head.feed != self.feed && head.snapshot) {
            return Ok(Taken::Snapshot);
        }
        if self.following && head.feed != self.feed {
            return Err(Rejected::FeedChanged { known: self.feed.clone(), told: head.feed.clone() });
        }
        if told < known {
            return Ok(Taken::Nothing);
        }
        if head.snapshot {
            return Ok(Taken::Snapshot);
        }
        if self.following && told - known > LARGEST_LEAP {
            return Err(Rejected::OffsetLeap { known, told });
        }
        Ok(if told > known { Taken::Changes { after: known } } else { Taken::Nothing })
    }

    /// From the time of sending: what happened while the answer was under way may not be in it.
    fn as_of(&self, sent: Micros, head: &Head) -> Option<Micros> {
        let age_ms = head.age_ms.or(self.settings.direct.then_some(0))?;
        match age_ms.saturating_mul(MILLISECOND) {
            0 => Some(sent),
            age => sent.checked_sub(lease::stretched_age(age, self.settings.drift)),
        }
    }

    fn reject(&mut self, now: Micros, rejected: &Rejected) {
        if matches!(rejected, Rejected::FeedChanged { .. }) {
            self.ask_anew = true;
        }
        self.move_on(now, None);
    }

    fn useful(&mut self, now: Micros) {
        self.pauses.succeeded();
        self.useless_answers = 0;
        self.fallback = None;
        if self.turn == 0 {
            self.return_at = None;
        } else if self.return_at.is_none() {
            self.return_at = Some(self.later(now));
        }
    }

    fn useless(&mut self, now: Micros) {
        self.useless_answers += 1;
        if self.useless_answers >= USELESS_ANSWERS {
            self.move_on(now, None);
        }
    }

    /// The next relay's turn, after a pause; back to the one before if this was the first choice tried again.
    fn move_on(&mut self, now: Micros, asked: Option<Micros>) {
        if self.order.is_empty() {
            return;
        }
        let lease_left = self.lease_left(now);
        if let Some(asked) = asked {
            let rest = self.pauses.retry_after(asked, lease_left, self.settings.lease);
            self.rest[self.turn] = now.saturating_add(rest);
        }
        self.answered_here = false;
        self.useless_answers = 0;
        if let Some(fallback) = self.fallback.take() {
            self.turn = fallback;
            self.return_at = Some(self.later(now));
            self.wait_until = now;
            return;
        }
        let pause = self.pauses.after_failure(lease_left);
        self.turn = self.next_turn(now.saturating_add(pause));
        self.wait_until = now.saturating_add(pause).max(self.rest[self.turn]);
    }

    /// The next one in order that may be asked at that time; else the one that may be asked first.
    fn next_turn(&self, then: Micros) -> usize {
        let count = self.order.len();
        let turns = (1..=count).map(|step| (self.turn + step) % count);
        turns.min_by_key(|turn| self.rest[*turn].max(then)).unwrap_or(0)
    }

    fn try_first_choice(&mut self, now: Micros) {
        if self.turn == 0 || self.return_at.is_none_or(|at| now < at) || now < self.rest[0] {
            return;
        }
        self.fallback = Some(self.turn);
        self.return_at = None;
        self.turn = 0;
        self.answered_here = false;
        self.useless_answers = 0;
    }

    /// When the first choice is tried again: spread by a quarter.
    fn later(&mut self, now: Micros) -> Micros {
        let after = self.settings.return_after;
        now.saturating_add(self.pauses.between(after, after.saturating_add(after / 4)))
    }

    fn lease_left(&self, now: Micros) -> Micros {
        self.lease.until().map_or(0, |until| until.saturating_sub(now))
    }
}
