//! What a file may refer to that is stated elsewhere: the settings of a deployment.

/// What a deployment's settings say that a file refers to.
pub trait DeploymentContext {
    /// Whether the settings know a zone.
    fn has_zone(&self, zone: &str) -> bool;

    /// Whether stores may be probed, as look-ups by name check by them.
    fn allows_probes(&self) -> bool;
}

/// Where there are no settings beside the file: whatever it refers to is taken to be there.
pub struct Anywhere;

impl DeploymentContext for Anywhere {
    fn has_zone(&self, _: &str) -> bool {
        true
    }

    fn allows_probes(&self) -> bool {
        true
    }
}
