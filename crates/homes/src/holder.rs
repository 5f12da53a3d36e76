//! A gateway's own leases: which slices it asks for, which it holds, and until when.
//!
//! A slice is asked for where it belongs here by those who are alive as far as this gateway knows. What it is wrong about
//! costs a home, never safety: only a majority of each list makes one.

use crate::message::{DENIALS, Leases, Out, SLICES, Sender};
use crate::voter::{Vote, Voter};
use crate::{Epoch, Member, Micros, Rules, Slice, place};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It belongs to another now.
    Moved,
    /// No majority has granted more of it in time.
    Lapsed,
}

/// What has become of a slice here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Gained(Slice, Epoch),
    Lost(Slice, Epoch, Why),
}

/// One round of asking. Only answers to the latest count: the lease runs from when that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u32,
    sent: Micros,
    granted: BTreeSet<Member>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Tenure {
    epoch: Epoch,
    /// Held until then; `None`: asked for, and not granted yet.
    until: Option<Micros>,
    round: Round,
    /// When it is asked for again, or given up if it has not been granted.
    next: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    rules: Rules,
    me: Sender,
    /// The region's voters. Two lists while an old one makes way for a new one: a majority of each is needed then, so
    /// that gateways with the old list alone and with the new one alone can't both find one.
    lists: Vec<BTreeSet<Member>>,
    voter: Voter,
    alive: BTreeSet<Member>,
    /// To whom each slice belongs, by those who are alive.
    belongs: Vec<Member>,
    tenures: BTreeMap<Slice, Tenure>,
    /// When a slice that could not be had is asked for again.
    again: BTreeMap<Slice, Micros>,
    rounds: u32,
    /// Voters that started with it say nothing until then, and who is alive has been found out meanwhile.
    asks_from: Micros,
}

impl Holder {
    pub fn new(rules: Rules, me: Sender, lists: Vec<BTreeSet<Member>>, now: Micros, floor: Epoch) -> Holder {
        let mut holder = Holder {
            rules,
            me,
            lists,
            voter: Voter::new(rules, now, floor),
            alive: BTreeSet::new(),
            belongs: Vec::new(),
            tenures: BTreeMap::new(),
            again: BTreeMap::new(),
            rounds: 0,
            asks_from: now + rules.promise(),
        };
        holder.alive(BTreeSet::new());
        holder
    }

    /// Who is alive in the region, besides this gateway.
    pub fn alive(&mut self, mut others: BTreeSet<Member>) {
        others.insert(self.me.member);
        if others != self.alive {
            let own = self.me.member;
            let of = |slice| place::member(slice, others.iter().copied()).unwrap_or(own);
            self.belongs = self.rules.all().map(of).collect();
            self.alive = others;
        }
    }

    /// Who should be home of a slice, as far as this gateway knows.
    pub fn belongs(&self, slice: Slice) -> Member {
        self.belongs.get(usize::from(slice.0)).copied().unwrap_or(self.me.member)
    }

    pub fn alive_now(&self) -> &BTreeSet<Member> {
        &self.alive
    }

    /// The epoch under which this gateway is home of the slice right now.
    pub fn holds(&self, now: Micros, slice: Slice) -> Option<Epoch> {
        let tenure = self.tenures.get(&slice)?;
        tenure.until.filter(|until| now < *until).map(|_| tenure.epoch)
    }

    /// Until when it is, if it hears nothing more.
    pub fn held_until(&self, slice: Slice) -> Option<Micros> {
        self.tenures.get(&slice)?.until
    }

    pub fn held(&self, now: Micros) -> impl Iterator<Item = (Slice, Epoch)> + '_ {
        let held = move |(slice, _): (&Slice, &Tenure)| Some((*slice, self.holds(now, *slice)?));
        self.tenures.iter().filter_map(held)
    }

    /// Slices that belong here and that no majority has granted.
    pub fn wanting(&self, now: Micros) -> usize {
        let wanting =
            |slice: &Slice| self.belongs(*slice) == self.me.member && self.holds(now, *slice).is_none();
        self.rules.all().filter(wanting).count()
    }

    /// The latest epoch heard of for a slice: what comes under an older one is from a home that was.
    pub fn known(&self, slice: Slice) -> Epoch {
        self.voter.known(slice)
    }

    pub fn learn(&mut self, slice: Slice, epoch: Epoch) {
        self.voter.learn(slice, epoch);
    }

    /// When it has to be called again at the latest; `None`: nothing is its own.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        if now < self.asks_from {
            return Some(self.asks_from);
        }
        let due = |tenure: &Tenure| tenure.next.min(tenure.until.unwrap_or(Micros::MAX));
        let tenures = self.tenures.values().map(due);
        let known = self.tenures.keys().chain(self.again.keys()).count();
        let own = self.belongs.iter().filter(|member| **member == self.me.member).count();
        // Something belongs here that has not been asked for yet.
        let new = (own > known).then_some(now);
        tenures.chain(self.again.values().copied()).chain(new).min()
    }

    /// It ends: it asks for nothing any more, and grants nothing either.
    pub fn retire(&mut self) {
        self.tenures.clear();
        self.asks_from = Micros::MAX;
        self.lists.clear();
    }

    pub fn voters(&self) -> BTreeSet<Member> {
        self.lists.iter().flatten().copied().collect()
    }

    fn majority(&self, granted: &BTreeSet<Member>) -> bool {
        let of = |list: &BTreeSet<Member>| list.intersection(granted).count() * 2 > list.len();
        !self.lists.is_empty() && self.lists.iter().all(of)
    }

    /// Does what is due. `chance` is from 0 to 1 and spreads those who could not agree.
    pub fn tick(&mut self, now: Micros, chance: f64, out: &mut Out) -> Vec<Change> {
        let mut changes = Vec::new();
        let beat = self.rules.beat();
        let mut given_back: BTreeMap<Epoch, Vec<Slice>> = BTreeMap::new();
        let mut asked: BTreeMap<Epoch, Vec<Slice>> = BTreeMap::new();
        let round = Round { number: self.rounds.wrapping_add(1), sent: now, granted: BTreeSet::new() };
        let own = self.me.member;
        let belongs = std::mem::take(&mut self.belongs);
        self.tenures.retain(|slice, tenure| {
            let lapsed = tenure.until.is_some_and(|until| now >= until);
            let moved = belongs.get(usize::from(slice.0)).is_some_and(|member| *member != own);
            let in_vain = tenure.until.is_none() && now >= tenure.next;
            if lapsed || moved || in_vain {
                given_back.entry(tenure.epoch).or_default().push(*slice);
                if tenure.until.is_some() {
                    let why = if lapsed { Why::Lapsed } else { Why::Moved };
                    changes.push(Change::Lost(*slice, tenure.epoch, why));
                }
                // Two who both ask at once must not do so for ever.
                let pause = beat / 4 + (beat as f64 * chance) as Micros;
                self.again.insert(*slice, now + pause);
                return false;
            }
            if now >= tenure.next {
                tenure.round = round.clone();
                tenure.next = now + beat;
                asked.entry(tenure.epoch).or_default().push(*slice);
            }
            true
        });
        self.belongs = belongs;
        self.again.retain(|_, at| now < *at);
        if now < self.asks_from {
            return changes;
        }
        for slice in self.rules.all() {
            let waits = self.tenures.contains_key(&slice) || self.again.contains_key(&slice);
            if self.belongs(slice) != own || waits {
                continue;
            }
            let epoch = self.voter.known(slice) + 1;
            let next = now + beat;
            self.tenures.insert(slice, Tenure { epoch, until: None, round: round.clone(), next });
            asked.entry(epoch).or_default().push(slice);
        }
        for (epoch, slices) in given_back {
            slices.iter().for_each(|slice| self.voter.release(self.me, *slice, epoch));
            for part in slices.chunks(SLICES) {
                self.tell(&Leases::Released { epoch, slices: part.to_vec() }, out);
            }
        }
        if !asked.is_empty() {
            self.rounds = round.number;
        }
        for (epoch, slices) in asked {
            for part in slices.chunks(SLICES) {
                self.tell(&Leases::Ask { round: round.number, epoch, slices: part.to_vec() }, out);
            }
            if self.voters().contains(&own) {
                for slice in slices {
                    if self.voter.ask(now, self.me, slice, epoch) == Vote::Granted {
                        changes.extend(self.granted(own, round.number, epoch, slice));
                    }
                }
            }
        }
        changes
    }

    fn tell(&self, message: &Leases, out: &mut Out) {
        let others = self.voters().into_iter().filter(|voter| *voter != self.me.member);
        out.extend(others.map(|voter| (voter, message.clone())));
    }

    fn granted(&mut self, by: Member, round: u32, epoch: Epoch, slice: Slice) -> Option<Change> {
        let lease = self.rules.lease;
        let mut tenure = self.tenures.remove(&slice)?;
        let mut change = None;
        if tenure.round.number == round && tenure.epoch == epoch {
            tenure.round.granted.insert(by);
            if self.majority(&tenure.round.granted) {
                if tenure.until.is_none() {
                    tenure.next = tenure.round.sent + self.rules.beat();
                    change = Some(Change::Gained(slice, epoch));
                }
                // Counted from when it was asked for: an answer may have been on its way for long.
                tenure.until = Some(tenure.round.sent + lease);
            }
        }
        self.tenures.insert(slice, tenure);
        change
    }

    /// Takes in what another member of the region tells.
    pub fn hear(&mut self, now: Micros, from: Sender, message: &Leases, out: &mut Out) -> Vec<Change> {
        let mut changes = Vec::new();
        match message {
            Leases::Ask { round, epoch, slices } => {
                if !self.voters().contains(&self.me.member) {
                    return changes;
                }
                let (mut granted, mut denied) = (Vec::new(), Vec::new());
                for slice in slices.iter().copied().take(SLICES) {
                    match self.voter.ask(now, from, slice, *epoch) {
                        Vote::Granted => granted.push(slice),
                        Vote::Denied(known) => denied.push((slice, known)),
                        Vote::Silent => {}
                    }
                }
                if !granted.is_empty() {
                    let to = from.incarnation;
                    let granted = Leases::Granted { to, round: *round, epoch: *epoch, slices: granted };
                    out.push((from.member, granted));
                }
                for part in denied.chunks(DENIALS) {
                    let denied = Leases::Denied { round: *round, known: part.to_vec() };
                    out.push((from.member, denied));
                }
            }
            Leases::Granted { to, round, epoch, slices } if *to == self.me.incarnation => {
                for slice in slices {
                    changes.extend(self.granted(from.member, *round, *epoch, *slice));
                }
                // One that came up only now, out of a lease that is over already, is no home.
                changes.retain(|change| match change {
                    Change::Gained(slice, _) => self.holds(now, *slice).is_some(),
                    Change::Lost(..) => true,
                });
            }
            // To the process before this one, under the same number.
            Leases::Granted { .. } => {}
            Leases::Denied { known, .. } => {
                known.iter().for_each(|(slice, epoch)| self.voter.learn(*slice, *epoch));
            }
            Leases::Released { epoch, slices } => {
                slices.iter().for_each(|slice| self.voter.release(from, *slice, *epoch));
            }
        }
        changes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULES: Rules = Rules { slices: 4, lease: 3_000, drift: 10 };

    fn sender(member: u16) -> Sender {
        Sender { member: Member(member), incarnation: 1 }
    }

    fn holder(me: u16, lists: &[&[u16]]) -> Holder {
        let lists = lists.iter().map(|list| list.iter().map(|one| Member(*one)).collect()).collect();
        Holder::new(RULES, sender(me), lists, 0, 0)
    }

    /// Asks at 10,000 for all slices, and is answered by these.
    fn asked(me: u16, lists: &[&[u16]], by: &[u16]) -> usize {
        let (mut holder, mut out) = (holder(me, lists), Out::new());
        holder.tick(10_000, 0.5, &mut out);
        let Some((_, Leases::Ask { round, epoch, slices })) = out.first().cloned() else { panic!("{out:?}") };
        for voter in by {
            let granted = Leases::Granted { to: 1, round, epoch, slices: slices.clone() };
            holder.hear(10_100, sender(*voter), &granted, &mut out);
        }
        assert!(RULES.all().all(|slice| holder.holds(13_000, slice).is_none()), "from the asking on");
        holder.held(12_999).count()
    }

    #[test]
    fn a_majority_of_each_list_makes_a_home() {
        assert_eq!(asked(0, &[&[0, 1, 2]], &[]), 0);
        assert_eq!(asked(0, &[&[0, 1, 2]], &[1]), 4);
        assert_eq!(asked(0, &[&[0, 1, 2, 3]], &[1]), 0, "two of four are none");
        assert_eq!(asked(0, &[&[0, 1, 2], &[0, 1, 2, 3, 4]], &[1]), 0, "while lists change both count");
        assert_eq!(asked(0, &[&[0, 1, 2], &[0, 1, 2, 3, 4]], &[1, 3]), 4);
        assert_eq!(
            asked(9, &[&[0, 1, 2]], &[1, 1, 1]),
            0,
            "one voter counts once, and who has no vote not at all"
        );
    }

    #[test]
    fn an_answer_to_an_older_round_makes_a_lease_no_longer() {
        let (mut holder, mut out) = (holder(0, &[&[0, 1, 2]]), Out::new());
        holder.tick(10_000, 0.5, &mut out);
        let first = out.remove(0).1;
        let Leases::Ask { round, epoch, slices } = first else { panic!() };
        let granted = Leases::Granted { to: 1, round, epoch, slices };
        holder.hear(10_100, sender(1), &granted, &mut out);
        holder.tick(11_000, 0.5, &mut out);
        holder.hear(11_100, sender(1), &granted, &mut out);
        assert_eq!((holder.held(12_999).count(), holder.held(13_000).count()), (4, 0));
    }

    #[test]
    fn what_was_granted_to_the_process_before_is_not_granted_to_this_one() {
        let (mut holder, mut out) = (holder(0, &[&[0, 1, 2]]), Out::new());
        holder.tick(10_000, 0.5, &mut out);
        let Leases::Ask { round, epoch, slices } = out.remove(0).1 else { panic!() };
        let granted = Leases::Granted { to: 7, round, epoch, slices };
        assert_eq!(holder.hear(10_100, sender(1), &granted, &mut out), []);
    }

    #[test]
    fn what_belongs_to_another_is_given_back_at_once() {
        let (mut holder, mut out) = (holder(0, &[&[0]]), Out::new());
        holder.tick(10_000, 0.5, &mut out);
        assert_eq!(holder.held(10_000).count(), 4);
        holder.alive([Member(1), Member(2)].into());
        let lost = holder.tick(10_001, 0.5, &mut out);
        assert!(!lost.is_empty() && lost.iter().all(|it| matches!(it, Change::Lost(_, _, Why::Moved))));
        assert_eq!(holder.held(10_001).count() + lost.len(), 4);
    }
}
