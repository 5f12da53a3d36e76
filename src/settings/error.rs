//! Errors in the settings object.

/// An error in the settings object. The message names the key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A key is missing or has a value of another type.
    #[error("unusable settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The attempt limit is 0, so that no request could be sent.
    #[error("unusable settings: Limits.SendCap is not over 0")]
    NoAttempts,
    /// The length of a list of values per class differs from the number of classes.
    #[error("unusable settings: FamilyInfo.{key} has {entries} entries for {classes} classes")]
    ListByClass {
        /// The key of the list.
        key: &'static str,
        /// The number of its entries.
        entries: usize,
        /// The number of classes.
        classes: usize,
    },
    /// The `Effect` of a class, which states its idempotency, is not a known value.
    #[error("unusable settings: effect {effect:?} of class {class:?} is none of free, guarded, single_shot")]
    UnknownEffect {
        /// The name of the class.
        class: String,
        /// The value found.
        effect: String,
    },
    /// The deadline of a class is 0.
    #[error("unusable settings: the deadline of {class:?} is not over 0")]
    NoDeadline {
        /// The name of the class.
        class: String,
    },
    /// The gateway's own zone is not in the list of zones.
    #[error("unusable settings: zone {zone:?} is not listed")]
    UnknownZone {
        /// The name of the gateway's zone.
        zone: String,
    },
}
