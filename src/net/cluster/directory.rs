//! The members of the fleet as listed in the operators' file, and this gateway's place among them.

use sagearch_homes::message::ProcessId;
use sagearch_homes::{Member, Region};
use sagearch_operators::fleet::{Fleet, RegionMember};
use std::collections::HashMap;
use std::net::SocketAddr;

struct ListedMember {
    region: Region,
    address: SocketAddr,
}

/// The addresses and regions of the fleet's members.
pub struct Directory {
    own_process: ProcessId,
    own_region: Region,
    region_names: Vec<String>,
    /// Indexed by member number.
    members: Vec<ListedMember>,
    member_by_address: HashMap<SocketAddr, Member>,
}

impl Directory {
    /// Creates the directory of a fleet for the gateway process `own_process`.
    pub fn new(fleet: &Fleet, own_process: ProcessId, own_region: Region) -> Directory {
        let listed = |RegionMember { region, member }| ListedMember {
            region: Region(region as u8),
            address: member.address,
        };
        let numbered =
            |RegionMember { member, .. }: RegionMember<'_>| (member.address, Member(member.number));
        Directory {
            own_process,
            own_region,
            region_names: fleet.regions.iter().map(|region| region.name.clone()).collect(),
            members: fleet.members().map(listed).collect(),
            member_by_address: fleet.members().map(numbered).collect(),
        }
    }

    /// Returns this gateway's member and incarnation.
    pub fn own_process(&self) -> ProcessId {
        self.own_process
    }

    /// Returns this gateway's region.
    pub fn own_region(&self) -> Region {
        self.own_region
    }

    /// Returns the member with an address.
    pub fn member_at(&self, address: &SocketAddr) -> Option<Member> {
        self.member_by_address.get(address).copied()
    }

    /// Returns the address of a member.
    pub fn address_of(&self, member: Member) -> Option<SocketAddr> {
        self.members.get(usize::from(member.0)).map(|listed| listed.address)
    }

    /// Returns the region of a member.
    pub fn region_of(&self, member: Member) -> Option<Region> {
        self.members.get(usize::from(member.0)).map(|listed| listed.region)
    }

    /// Whether a member belongs to this gateway's region.
    pub fn is_neighbour(&self, member: Member) -> bool {
        self.region_of(member) == Some(self.own_region)
    }

    /// Returns the other members of this gateway's region.
    pub fn neighbours(&self) -> impl Iterator<Item = Member> + '_ {
        self.members_of(self.own_region).filter(|member| *member != self.own_process.member)
    }

    /// Returns a region's name in the operators' file, or an empty string if there is no such region.
    pub fn region_name(&self, region: Region) -> &str {
        self.region_names.get(usize::from(region.0)).map_or("", String::as_str)
    }

    /// Returns all regions except this gateway's.
    pub fn other_regions(&self) -> impl Iterator<Item = Region> + '_ {
        let regions = (0..self.region_names.len()).map(|region| Region(region as u8));
        regions.filter(|region| *region != self.own_region)
    }

    /// Returns the member of another region to send to. The gateways of a region are spread over the other region's members;
    /// each failed attempt selects the next member. The receiver forwards messages for slices that it has no lease on.
    pub fn contact(&self, region: Region, failed_attempts: usize) -> Option<Member> {
        let members: Vec<Member> = self.members_of(region).collect();
        let index = (usize::from(self.own_process.member.0) + failed_attempts) % members.len().max(1);
        members.get(index).copied()
    }

    fn members_of(&self, region: Region) -> impl Iterator<Item = Member> + '_ {
        let within = move |(_, listed): &(usize, &ListedMember)| listed.region == region;
        self.members.iter().enumerate().filter(within).map(|(number, _)| Member(number as u16))
    }
}
