//! Members: the caches, parents and origins in discovery's endpoint list.

use super::Micros;

/// The id by which discovery names a cache, parent or origin process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId(pub u32);

/// The role of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Serves the clients of a location from its cache.
    #[default]
    Cache,
    /// Is a fill source of caches, and caches objects itself.
    Parent,
    /// Has all objects and runs uncacheable requests.
    Origin,
}

/// Whether a member may be sent new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    /// The member accepts new requests.
    #[default]
    Serving,
    /// The member finishes its requests in flight and is sent no new ones.
    Draining,
    /// The member has been removed from the list.
    Gone,
}

/// The zone and cell of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// The zone, as in [`Member::zone`].
    pub zone: Option<usize>,
    /// The cell, as in [`Member::cell`].
    pub cell: u32,
}

/// A member in discovery's endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The id of the member.
    pub id: MemberId,
    /// The role of the member.
    pub role: Role,
    /// The member's zone, as an index into [`Settings::zones`](super::Settings::zones); `None`: a zone that the
    /// settings do not name.
    pub zone: Option<usize>,
    /// The member's cell: the part of its zone whose members drop each other's duplicates.
    pub cell: u32,
    /// The member's weight in hashing, or its capacity where
    /// [`weights_are_capacities`](super::Settings::weights_are_capacities) is set.
    pub weight: f64,
    /// When the member last started; `None`: so long ago that it is warm.
    pub started: Option<Micros>,
    /// Whether the member may be sent new requests.
    pub state: MemberState,
}

impl Member {
    /// The zone and cell of the member.
    pub fn locality(&self) -> Locality {
        Locality { zone: self.zone, cell: self.cell }
    }
}

/// Whether an update contains the whole endpoint list or only changes to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// All members. Members that are not listed are gone.
    Complete,
    /// Only the members that have changed.
    Changes,
}
