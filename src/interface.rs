//! Events that a gateway passes to the [`Router`](crate::Router), and the actions that the router returns.
//!
//! All times are in microseconds. Points in time are on the gateway's own monotonic clock.

mod actions;
mod attempts;
mod endpoints;
mod events;
mod requests;
mod settings;
mod shared_budget;
mod time;

pub use actions::{Action, TimerId};
pub use attempts::{Detail, Fill, Load, Outcome};
pub use endpoints::{ListKind, Locality, Member, MemberId, MemberState, Role};
pub use events::Event;
pub use requests::{Request, RequestId};
pub use settings::{Class, DeduplicationGroup, Idempotency, Settings, SlowStartRule, Zone};
pub use shared_budget::{RetryBudget, RetryPayment, SharedRetryBudget};
pub use time::{Micros, decay, seconds};
