//! Load of a member, estimated from its load reports or from the attempts of this gateway.

use super::Router;
use super::learning::LEARNING_RATE;
use crate::interface::{Load, MemberId, Micros, Role, decay};
use crate::state::ReportedLoad;

/// Half-life of load reports; also the maximum age of a success that shows a member to be responsive.
pub(super) const REPORT_HALF_LIFE: Micros = 1_500_000;
/// Half-life of the average number of attempts in flight, per gateway that shares the members.
const IN_FLIGHT_HALF_LIFE: Micros = 250_000;

impl Router {
    /// Returns the ratio of transfers at a member to its capacity, according to its last load report, which
    /// decays towards the usual load of its peers. If the member sends no reports, a cache is estimated from
    /// the attempts of this gateway plus its average for each other gateway of the location; other members,
    /// which are seldom used, are assumed to have the usual load.
    pub(super) fn load(&self, id: MemberId) -> f64 {
        let record = &self.members[&id];
        let usual_load = self.learned.usual_load[record.member.role as usize];
        let Some(ReportedLoad { received_at, others_in_flight }) = record.reported_load else {
            if record.member.role != Role::Cache {
                return usual_load;
            }
            let (own_in_flight, gateways) =
                (f64::from(record.in_flight), self.gateway_count(record.member.role));
            let others = record.average_in_flight.value_at(
                self.now,
                own_in_flight,
                self.in_flight_half_life(record.member.role),
            ) * (gateways - 1.0);
            return (own_in_flight + others) / (record.capacity * self.capacity_share(record)).max(0.05);
        };
        let reported = (f64::from(record.in_flight) + others_in_flight)
            / (record.capacity * self.capacity_share(record)).max(0.05);
        usual_load + (reported - usual_load) * decay(self.now - received_at, REPORT_HALF_LIFE)
    }

    /// Returns the half-life of the average number of attempts in flight, which grows with the number of
    /// gateways that share the members.
    pub(super) fn in_flight_half_life(&self, role: Role) -> Micros {
        IN_FLIGHT_HALF_LIFE * self.gateway_count(role) as Micros
    }

    /// Records a load report.
    pub(super) fn learn_load(&mut self, member: MemberId, load: Load) {
        let now = self.now;
        let (Some(record), Some(reported)) = (self.members.get_mut(&member), load.inflight) else { return };
        let others_in_flight = (reported - f64::from(record.in_flight + 1)).max(0.0);
        record.reported_load = Some(ReportedLoad { received_at: now, others_in_flight });
        let usual_load = &mut self.learned.usual_load[record.member.role as usize];
        *usual_load += (reported / record.capacity.max(0.05) - *usual_load) * LEARNING_RATE;
    }
}
