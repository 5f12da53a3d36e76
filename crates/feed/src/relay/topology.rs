//! The list of stores, put together from the bus's lists and their changes.

use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The longest list.
pub const STORES_ROOM: usize = 16_384;

/// A line as gateways read it: an event with a line that they can't read they pass over as a whole, and so does a
/// relay.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Line {
    instance_id: String,
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

/// The stores that there are: whoever is not in a complete list is gone.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    lines: BTreeMap<String, Value>,
    /// Words beside the lines, from the latest event.
    other: Map<String, Value>,
    known: bool,
}

impl Topology {
    /// The list after an event, or `None` if gateways pass the event over. A first list, and one that says so, is
    /// complete.
    pub fn after(&self, event: &Value, first: bool) -> Option<Topology> {
        let event = event.as_object()?;
        let reset = match event.get("reset") {
            None => false,
            Some(reset) => reset.as_bool()?,
        };
        let complete = reset || first || !self.known;
        let lines = if complete { BTreeMap::new() } else { self.lines.clone() };
        let mut topology = Topology { lines, other: event.clone(), known: true };
        topology.other.remove("reset");
        let changed = match topology.other.remove("instances") {
            None => Vec::new(),
            Some(Value::Array(lines)) => lines,
            Some(_) => return None,
        };
        for line in changed {
            topology.change(line)?;
        }
        Some(topology)
    }

    /// The whole list as an event holds it, if there has been one.
    pub fn whole(&self) -> Option<Value> {
        let mut whole = self.known.then(|| self.other.clone())?;
        whole.insert("reset".to_owned(), json!(true));
        whole.insert("instances".to_owned(), self.lines.values().cloned().collect());
        Some(Value::Object(whole))
    }

    pub fn len(&self) -> usize {
        self.lines.len()
    }

    fn change(&mut self, line: Value) -> Option<()> {
        let Line { instance_id, lifecycle, .. } = Line::deserialize(&line).ok()?;
        if matches!(lifecycle.as_str(), "up" | "draining") {
            self.lines.insert(instance_id, line);
        } else {
            // Whatever else it is counts as gone.
            self.lines.remove(&instance_id);
        }
        Some(())
    }
}
