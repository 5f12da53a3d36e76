//! The load of a member, estimated from its load reports or from the attempts of this gateway.

use super::Router;
use super::learning::LEARNING_RATE;
use crate::interface::{Load, MemberId, Micros, Role, decay};
use crate::state::ReportedLoad;

/// Half-life of load reports. Signs of health older than this are not used.
pub(super) const REPORT_HALF_LIFE: Micros = 1_500_000;
/// Half-life of the average attempts in flight, for each gateway of a location.
const IN_FLIGHT_HALF_LIFE: Micros = 250_000;

impl Router {
    /// Transfers at a member over its capacity, by its last report, which fades to the usual load of its
    /// peers. Where members report nothing: at a cache, attempts of this gateway plus its average for each
    /// other gateway of the location; at others, which are seldom used, the usual load.
    pub(super) fn load(&self, id: MemberId) -> f64 {
        let record = &self.members[&id];
        let usual = self.learned.usual_load[record.member.role as usize];
        let Some(ReportedLoad { at, others_in_flight }) = record.reported_load else {
            if record.member.role != Role::Cache {
                return usual;
            }
            let (own, gateways) = (f64::from(record.in_flight), self.gateway_count(record.member.role));
            let others =
                record.average_in_flight.at(self.now, own, self.in_flight_half_life(record.member.role))
                    * (gateways - 1.0);
            return (own + others) / (record.capacity * self.capacity_share(record)).max(0.05);
        };
        let seen = (f64::from(record.in_flight) + others_in_flight)
            / (record.capacity * self.capacity_share(record)).max(0.05);
        usual + (seen - usual) * decay(self.now - at, REPORT_HALF_LIFE)
    }

    /// Half-life of the average attempts in flight: longer, the more gateways share the members.
    pub(super) fn in_flight_half_life(&self, role: Role) -> Micros {
        IN_FLIGHT_HALF_LIFE * self.gateway_count(role) as Micros
    }

    /// Takes in a load report.
    pub(super) fn learn_load(&mut self, member: MemberId, load: Load) {
        let now = self.now;
        let (Some(record), Some(reported)) = (self.members.get_mut(&member), load.inflight) else { return };
        let others_in_flight = (reported - f64::from(record.in_flight + 1)).max(0.0);
        record.reported_load = Some(ReportedLoad { at: now, others_in_flight });
        let usual = &mut self.learned.usual_load[record.member.role as usize];
        *usual += (reported / record.capacity.max(0.05) - *usual) * LEARNING_RATE;
    }
}
