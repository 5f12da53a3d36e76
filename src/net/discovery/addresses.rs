//! The addresses of listed stores. Discovery may list a new store at the address of one that has gone, before it lists that
//! one as removed: what is meant for the old store would reach the new one, which is cold and may be of another cell.

use crate::events::{Instance, member_id};
use crate::interface::MemberId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// A listed store.
struct Listed {
    instance: Instance,
    address: Option<SocketAddr>,
    /// Whether a store that has started later is listed at its address.
    superseded: bool,
}

/// The listed stores by their addresses.
#[derive(Default)]
pub(super) struct Addresses {
    stores: BTreeMap<MemberId, Listed>,
    by_address: HashMap<SocketAddr, BTreeSet<MemberId>>,
}

impl Addresses {
    /// Forgets all stores, before a complete list.
    pub(super) fn clear(&mut self) {
        *self = Addresses::default();
    }

    /// Records a list. Returns its instances, and behind them those of other stores for which it makes a difference; a
    /// store counts as removed while it is superseded.
    pub(super) fn apply(&mut self, instances: &[Instance]) -> Vec<Instance> {
        let touched: BTreeSet<SocketAddr> =
            instances.iter().flat_map(|instance| self.record(instance)).flatten().collect();
        let changed = touched.into_iter().flat_map(|address| self.update(address)).collect::<BTreeSet<_>>();
        let listed: BTreeSet<MemberId> =
            instances.iter().map(|instance| member_id(&instance.instance_id)).collect();
        let others = changed.difference(&listed).filter_map(|id| Some(&self.stores.get(id)?.instance));
        instances.iter().chain(others).map(|instance| self.effective(instance)).collect()
    }

    /// Records one instance. Returns its previous and its present address.
    fn record(&mut self, instance: &Instance) -> [Option<SocketAddr>; 2] {
        let id = member_id(&instance.instance_id);
        let previous = self.stores.remove(&id).and_then(|listed| listed.address);
        if let Some(ids) = previous.and_then(|address| self.by_address.get_mut(&address)) {
            ids.remove(&id);
        }
        if !instance.is_listed() {
            return [previous, None];
        }
        let address = instance.host_port.parse().ok();
        if let Some(address) = address {
            self.by_address.entry(address).or_default().insert(id);
        }
        self.stores.insert(id, Listed { instance: instance.clone(), address, superseded: false });
        [previous, address]
    }

    /// Finds out which stores at an address are superseded. Returns those for which that has changed.
    fn update(&mut self, address: SocketAddr) -> Vec<MemberId> {
        let ids = self.by_address.get(&address).cloned().unwrap_or_default();
        if ids.is_empty() {
            self.by_address.remove(&address);
        }
        let started = |id: &MemberId| self.stores.get(id).map(|listed| listed.instance.started_at_ms);
        let latest = ids.iter().filter_map(started).max();
        let mut changed = Vec::new();
        for id in ids {
            let Some(listed) = self.stores.get_mut(&id) else { continue };
            let superseded = Some(listed.instance.started_at_ms) < latest;
            if std::mem::replace(&mut listed.superseded, superseded) != superseded {
                changed.push(id);
            }
        }
        changed
    }

    fn effective(&self, instance: &Instance) -> Instance {
        let listed = self.stores.get(&member_id(&instance.instance_id));
        if !listed.is_some_and(|listed| listed.superseded) {
            return instance.clone();
        }
        log::info!("store {} counts as removed: a later one is at its address", instance.instance_id);
        Instance { lifecycle: "removed".into(), ..instance.clone() }
    }
}

#[cfg(test)]
mod tests;
