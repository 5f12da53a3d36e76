//! Messages between regions: claims told to the others, and what comes from them, handed on to the slice's home.

use super::homes::Homes;
use super::outbox::Out;
use super::wire::{Body, Far};
use super::{Shared, lock};
use sagearch_homes::message::{Claims, Sender, Told};
use sagearch_homes::{Member, Micros, Region};
use std::collections::BTreeMap;

impl Shared {
    /// A message of this gateway's own to another region.
    pub(super) fn far(&self, far: Far) -> Body {
        let Sender { member, incarnation } = self.directory.own();
        Body::Far { from: member.0, incarnation, handed_on: false, far }
    }

    /// Another's message, handed on within this region.
    pub(super) fn handed_on(&self, from: Sender, far: Far) -> Body {
        Body::Far { from: from.member.0, incarnation: from.incarnation, handed_on: true, far }
    }

    /// Sends claims to one member of each other region: to the next one where nothing was heard since the last time.
    pub(super) fn tell_regions(&self, homes: &mut Homes, claims: Vec<Claims>, out: &mut Out) {
        if claims.is_empty() {
            return;
        }
        for region in self.directory.other_regions() {
            let contact = &mut homes.contacts[usize::from(region.0)];
            contact.attempt += usize::from(!std::mem::take(&mut contact.heard));
            let Some(to) = self.directory.contact(region, contact.attempt) else { continue };
            out.extend(claims.iter().map(|claims| (to, self.far(Far::Claims(claims.clone())))));
        }
    }

    pub(super) fn hear_far(&self, now: Micros, region: Region, from: Sender, handed_on: bool, far: Far) {
        lock(&self.homes).heard(region);
        match far {
            Far::Claims(claims) => self.hear_claims(now, region, from, handed_on, claims),
            Far::Want(loan) => self.lend(now, region, from, handed_on, loan),
            Far::Lent(loan) => self.lent(now, region, from, loan),
        }
    }

    fn hear_claims(&self, now: Micros, region: Region, from: Sender, handed_on: bool, claims: Claims) {
        let (answer, mut out) = self.hear(now, region, &claims);
        out.extend(answer.map(|answer| (from.member, self.far(Far::Claims(answer)))));
        if !handed_on {
            out.extend(self.hand_on_claims(from, claims));
        }
        self.send(out);
    }

    /// To the homes of their slices in this region.
    fn hand_on_claims(&self, from: Sender, claims: Claims) -> Out {
        let homes = lock(&self.homes);
        let mut by_home: BTreeMap<Member, Vec<Told>> = BTreeMap::new();
        for told in claims.0 {
            by_home.entry(homes.holder.belongs(told.slice)).or_default().push(told);
        }
        drop(homes);
        by_home.remove(&self.directory.own().member);
        let hand_on = |(to, told)| (to, self.handed_on(from, Far::Claims(Claims(told))));
        by_home.into_iter().map(hand_on).collect()
    }
}
