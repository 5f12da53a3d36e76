//! Endpoint table: the members listed by discovery, the members taken out of service by operators, and the
//! members that may be sent new requests.

use super::Router;
use crate::hash;
use crate::interface::{ListKind, Member, MemberId, MemberState, Micros, Role};
use crate::state::MemberRecord;
use std::collections::BTreeSet;

/// Assumed number of transfers at full pace for a member whose capacity is not stated.
const DEFAULT_CAPACITY: f64 = 4.0;
/// How long the record of a member, with its health and slow-start budget, is kept after the member is gone.
const GONE_MEMBER_RETENTION: Micros = 60_000_000;

impl Router {
    /// Applies a complete list of members, or changes to the list.
    pub(super) fn update_members(&mut self, kind: ListKind, members: Vec<Member>) {
        if kind == ListKind::Complete {
            self.members.values_mut().for_each(|record| record.member.state = MemberState::Gone);
        }
        let (now, first_list_at) = (self.now, *self.first_list_at.get_or_insert(self.now));
        for member in members {
            let capacity_is_stated = self.settings.weights_are_capacities && member.weight > 0.0;
            let capacity = if capacity_is_stated { member.weight } else { DEFAULT_CAPACITY };
            match self.members.get_mut(&member.id) {
                Some(record) if member.started <= record.member.started => {
                    record.member = Member { started: record.member.started, ..member };
                }
                // The member has restarted: what was learned of its previous process no longer applies.
                Some(record) => {
                    let in_flight = record.in_flight;
                    *record = MemberRecord {
                        member,
                        capacity,
                        in_flight,
                        slow_start_due: now,
                        start_notified: now,
                        ..MemberRecord::default()
                    };
                }
                // Requests that the previous process of this gateway sent still count against the budget:
                // those sent since the member started, for at most the window of the rule, even if the first
                // list did not yet contain the member.
                None => {
                    let age_at_first_list = first_list_at.saturating_sub(member.started.unwrap_or(0));
                    let slow_start_due = now
                        .max(first_list_at + age_at_first_list.min(self.slow_start_rule(member.role).window));
                    self.members.insert(
                        member.id,
                        MemberRecord {
                            member,
                            capacity,
                            slow_start_due,
                            start_notified: now,
                            ..MemberRecord::default()
                        },
                    );
                }
            }
        }
        self.drop_long_gone();
        self.refresh_usable();
    }

    /// Removes members that have been gone for longer than the retention and that no open request refers to.
    /// Without this the table would grow, because new members get new ids.
    fn drop_long_gone(&mut self) {
        let attempts = self.requests.values().flat_map(|state| &state.attempts);
        let referenced: BTreeSet<MemberId> =
            attempts.flat_map(|attempt| [Some(attempt.member), attempt.source]).flatten().collect();
        self.members.retain(|id, record| {
            record.gone_since =
                (record.member.state == MemberState::Gone).then(|| record.gone_since.unwrap_or(self.now));
            record.gone_since.is_none_or(|gone_since| self.now < gone_since + GONE_MEMBER_RETENTION)
                || referenced.contains(id)
        });
    }

    /// Rebuilds the lists of usable members. A member that operators took out of service counts as draining,
    /// whatever state is listed for it.
    pub(super) fn refresh_usable(&mut self) {
        self.usable_members.iter_mut().for_each(Vec::clear);
        let is_in_local_zone =
            |member: &&Member| member.role != Role::Cache || member.zone == Some(self.settings.zone);
        let is_serving = |member: &&Member| {
            member.state == MemberState::Serving && !self.out_of_service.contains_key(&member.id)
        };
        for member in
            self.members.values().map(|record| &record.member).filter(is_in_local_zone).filter(is_serving)
        {
            self.usable_members[member.role as usize].push(member.id);
        }
    }

    /// Returns a member to service and restarts its slow start, since it may have restarted without notice.
    pub(super) fn return_to_service(&mut self, id: MemberId, returned_at: Micros) {
        let member = self.members.get(&id).map(|record| record.member.clone());
        let (Some(removed_at), Some(member)) = (self.out_of_service.remove(&id), member) else { return };
        let started = member.started.filter(|started| *started > removed_at);
        self.update_members(
            ListKind::Changes,
            vec![Member { started: started.or(Some(returned_at)), ..member }],
        );
    }

    /// Whether an operator has taken the member out of service.
    pub fn is_out_of_service(&self, id: MemberId) -> bool {
        self.out_of_service.contains_key(&id)
    }

    /// Returns the members of a role that may be sent new requests, by descending rendezvous score. Draining
    /// and gone members are excluded at once, as target and as source, well within the grace period. During
    /// slow start a member is weighted by its current capacity, so that it receives a growing share of its
    /// objects, the same at all gateways.
    pub(super) fn rendezvous_order(&self, role: Role, key: u64) -> Vec<MemberId> {
        let score = |id: &MemberId| {
            let record = &self.members[id];
            (hash::rendezvous(key, id.0, record.member.weight * self.capacity_share(record)), *id)
        };
        let mut scored: Vec<(f64, MemberId)> = self.usable_members[role as usize].iter().map(score).collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        scored.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the role of a listed member.
    pub(super) fn role(&self, id: MemberId) -> Role {
        self.members[&id].member.role
    }

    /// Returns the number of gateways that send requests to members of this role.
    pub(super) fn gateway_count(&self, role: Role) -> f64 {
        let zone = self.settings.zones.get(self.settings.zone).filter(|_| role == Role::Cache);
        f64::from(zone.map_or(self.settings.routers, |zone| zone.routers).max(1))
    }
}
