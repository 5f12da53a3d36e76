//! The decoded settings of a deployment, and their update at run time.

use super::Names;
use crate::interface::{Class, Settings, Zone};
use std::collections::BTreeMap;

/// The decoded settings of a deployment.
#[derive(Clone)]
pub struct Deployment {
    /// The settings of the routing policies.
    pub settings: Settings,
    /// Names of classes, zones and machine kinds, and limits of connections.
    pub names: Names,
}

impl Deployment {
    /// Returns the deployment under new settings. Classes and zones keep their indices, because open requests and
    /// listed members refer to them: a class that is new or has changed is appended.
    #[must_use]
    pub fn with_settings(&self, mut settings: Settings, mut names: Names) -> Deployment {
        settings.classes = self.append_classes(&settings.classes, &mut names.classes);
        let mut indices = self.names.zones.clone();
        let mut zones = self.settings.zones.clone();
        for (name, new_index) in &names.zones {
            let index = *indices.entry(name.clone()).or_insert(zones.len());
            zones.resize(zones.len().max(index + 1), Zone { routers: 0 });
            zones[index] = settings.zones[*new_index].clone();
            if settings.zone == *new_index {
                names.zone = index;
            }
        }
        settings.zone = names.zone;
        settings.zones = zones;
        names.zones = indices;
        Deployment { settings, names }
    }

    /// Returns the current classes, followed by those of `new_classes` that are not among them. Changes `indices` from
    /// positions in `new_classes` to positions in the returned list.
    fn append_classes(&self, new_classes: &[Class], indices: &mut BTreeMap<String, usize>) -> Vec<Class> {
        let mut classes = self.settings.classes.clone();
        for index in indices.values_mut() {
            let class = &new_classes[*index];
            *index = classes.iter().position(|known| known == class).unwrap_or(classes.len());
            if *index == classes.len() {
                classes.push(class.clone());
            }
        }
        classes
    }
}
