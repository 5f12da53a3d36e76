//! Datagrams that come in: dropped and counted where they are out of place, else given to what they are for.

use super::outbox::Out;
use super::wire::{self, Body};
use super::{Shared, lock};
use sagearch_homes::message::{self, Claims, Leases, Sender};
use sagearch_homes::{Floors, Member, Micros, Region};
use std::net::SocketAddr;

impl Shared {
    pub(super) fn datagram(&self, from: SocketAddr, bytes: &[u8]) {
        let Some(sender) = self.directory.member_at(&from) else { return self.counted.lost("stranger") };
        let datagram = match wire::decode(self.mark, bytes) {
            Ok(datagram) => datagram,
            Err(unread) => return self.counted.lost(unread.label()),
        };
        let near = self.directory.is_neighbour(sender);
        let who = Sender { member: sender, incarnation: datagram.incarnation };
        let now = self.clock.now();
        match datagram.body {
            Body::Far { from, incarnation, handed_on, far } => {
                // Handed on by a neighbour, or from its sender itself.
                let first = Member(from);
                let fits = if handed_on { near } else { first == sender && !near };
                let region = self.directory.region_of(first);
                let Some(region) = region.filter(|region| fits && *region != self.directory.own_region())
                else {
                    return self.counted.lost("out_of_place");
                };
                self.hear_far(now, region, Sender { member: first, incarnation }, handed_on, far);
            }
            _ if !near => self.counted.lost("out_of_place"),
            Body::Alive(bytes) => self.alive(now, &bytes),
            Body::Lease(leases) => self.lease(now, who, &leases),
            Body::Fence(claims) => self.fence(now, &claims),
            Body::Ask { budget, ask } => {
                if let Some((under, grant)) = self.hand_out(now, who, budget, ask) {
                    self.send(vec![(sender, Body::Grant { budget, under, grant })]);
                }
            }
            Body::Grant { budget, under, grant } => self.take(budget, grant, under),
        }
    }

    fn alive(&self, now: Micros, bytes: &[u8]) {
        let mut out = Vec::new();
        let mut homes = lock(&self.homes);
        homes.alive.hear(now, bytes, &mut out);
        homes.update_members(&self.counted);
        drop(homes);
        self.send(out.into_iter().map(|(to, bytes)| (to, Body::Alive(bytes))).collect());
    }

    fn lease(&self, now: Micros, who: Sender, leases: &Leases) {
        let mut answers = message::Out::new();
        let changes = lock(&self.homes).holder.hear(now, who, leases, &mut answers);
        self.note_leases(now, changes);
        self.send(answers.into_iter().map(|(to, message)| (to, Body::Lease(message))).collect());
    }

    fn fence(&self, now: Micros, claims: &Claims) {
        let (_, out) = self.hear(now, self.directory.own_region(), claims);
        self.send(out);
    }

    /// Takes claims in. The answer to who sent them goes by the caller.
    pub(super) fn hear(&self, now: Micros, region: Region, claims: &Claims) -> (Option<Claims>, Out) {
        let mut homes = lock(&self.homes);
        let known = |floors: &Floors| {
            let claim = |told: &message::Told| floors.get(told.slice).map(|floor| floor.claim);
            claims.0.iter().map(claim).collect::<Vec<_>>()
        };
        let before = known(&homes.principals.floors);
        let (answer, changes) = homes.principals.hear(now, region, claims);
        if before != known(&homes.principals.floors) {
            self.publish(&homes);
        }
        drop(homes);
        (answer, self.note_claims(now, changes))
    }
}
