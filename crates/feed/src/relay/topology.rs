//! The endpoint list, built from complete lists and changes.

use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The maximum number of stores in an endpoint list.
pub const MAX_STORES: usize = 16_384;

/// An entry of the list as gateways parse it. Gateways and relays ignore an event with an entry that can't be parsed.
#[derive(Deserialize)]
struct Instance {
    #[serde(rename = "instanceId")]
    id: String,
    lifecycle: String,
    #[serde(default, rename = "hostPort")]
    _host_port: String,
    #[serde(default, rename = "zone")]
    _zone: String,
    #[serde(default, rename = "machineType")]
    _machine_type: String,
    #[serde(default, rename = "cell")]
    _cell: u32,
    #[serde(default, rename = "weight")]
    _weight: f64,
    #[serde(default, rename = "startedAtMs")]
    _started_at_ms: u64,
}

/// The current stores. A store that is missing from a complete list is removed.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    instances: BTreeMap<String, Value>,
    /// The fields of the latest event other than the entries.
    other: Map<String, Value>,
    is_known: bool,
}

impl Topology {
    /// Returns the list after an event, or `None` if gateways ignore the event. A first list is complete, and so is one
    /// with `reset`.
    pub fn apply(&self, event: &Value, first: bool) -> Option<Topology> {
        let event = event.as_object()?;
        let reset = match event.get("reset") {
            None => false,
            Some(reset) => reset.as_bool()?,
        };
        let is_complete = reset || first || !self.is_known;
        let instances = if is_complete { BTreeMap::new() } else { self.instances.clone() };
        let mut topology = Topology { instances, other: event.clone(), is_known: true };
        topology.other.remove("reset");
        let changed = match topology.other.remove("instances") {
            None => Vec::new(),
            Some(Value::Array(instances)) => instances,
            Some(_) => return None,
        };
        for instance in changed {
            topology.apply_instance(instance)?;
        }
        Some(topology)
    }

    /// The complete list as an event; `None` before the first list.
    pub fn to_event(&self) -> Option<Value> {
        let mut event = self.is_known.then(|| self.other.clone())?;
        event.insert("reset".to_owned(), json!(true));
        event.insert("instances".to_owned(), self.instances.values().cloned().collect());
        Some(Value::Object(event))
    }

    pub fn len(&self) -> usize {
        self.instances.len()
    }

    fn apply_instance(&mut self, instance: Value) -> Option<()> {
        let Instance { id, lifecycle, .. } = Instance::deserialize(&instance).ok()?;
        if matches!(lifecycle.as_str(), "up" | "draining") {
            self.instances.insert(id, instance);
        } else {
            // A store in any other state is removed from the list.
            self.instances.remove(&id);
        }
        Some(())
    }
}
