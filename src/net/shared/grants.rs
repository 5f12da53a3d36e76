//! Amounts: asked for by this gateway's loop or by a neighbour, handed out by the budget's home, and taken in.

use super::wire::{Body, Under};
use super::{LOG_TARGET, Shared, lock, shown_of};
use sagearch_homes::message::Sender;
use sagearch_homes::{Micros, Slice};
use sagearch_ledger::{Ask, Grant, Terms};

impl Shared {
    /// The slice and the terms of a budget.
    pub(super) fn shelf(&self, budget: u8) -> Option<(Slice, Terms)> {
        let ledger = lock(&self.ledger);
        ledger.get(usize::from(budget)).map(|shelf| (shelf.slice, shelf.terms))
    }

    /// The loop wants more.
    pub(super) fn wanted(&self, budget: u8, ask: Ask) {
        let Some((slice, _)) = self.shelf(budget) else { return };
        let now = self.clock.now();
        let own = self.directory.own();
        let to = lock(&self.homes).holder.belongs(slice);
        if to != own.member {
            return self.send(vec![(to, Body::Ask { budget, ask })]);
        }
        if let Some((under, grant)) = self.hand_out(now, own, budget, ask) {
            self.take(budget, grant, under);
        }
    }

    /// Hands out of a budget, as its home.
    pub(super) fn hand_out(&self, now: Micros, who: Sender, budget: u8, ask: Ask) -> Option<(Under, Grant)> {
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
        let grant = shelf.bank(epoch, now).ask(now, (who.member.0, who.incarnation), ask)?;
        let name = shelf.name.clone();
        drop(ledger);
        // It may have been stopped since it looked: what leaves now would be of a home that was.
        let leaves = self.clock.now();
        if leaves >= until {
            self.counted.lost("lease_over");
            return None;
        }
        log::debug!(
            target: LOG_TARGET,
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
    pub(super) fn take(&self, budget: u8, grant: Grant, under: Under) {
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
}
