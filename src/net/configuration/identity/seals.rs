//! Why a gateway serves nobody, although it runs.

use std::fmt;

/// A cause for which all requests are rejected. Each is lifted by its own end alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealCause {
    /// The operators' file, or a file that it names, can't be used. Ends when a configuration is put in force.
    InvalidConfiguration,
    /// The operators' file asks for a streamed version, and none is in force. Ends when a version is put in force, or when a
    /// file that does not ask for one is.
    NoVersion,
}

impl SealCause {
    /// The cause in words for operators.
    pub fn text(self) -> &'static str {
        match self {
            SealCause::InvalidConfiguration => "the operators' file can't be used",
            SealCause::NoVersion => "no version has come yet",
        }
    }
}

impl fmt::Display for SealCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text())
    }
}

/// The causes that hold now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seals {
    invalid_configuration: bool,
    no_version: bool,
}

impl Seals {
    /// The causes while a configuration is in force. `awaits_version`: it asks for a version, and has none.
    pub fn in_force(awaits_version: bool) -> Seals {
        Seals { invalid_configuration: false, no_version: awaits_version }
    }

    /// The causes while a configuration can't be put in force.
    pub fn invalid(awaits_version: bool) -> Seals {
        Seals { invalid_configuration: true, no_version: awaits_version }
    }

    /// Whether a cause holds.
    pub fn holds(self, cause: SealCause) -> bool {
        match cause {
            SealCause::InvalidConfiguration => self.invalid_configuration,
            SealCause::NoVersion => self.no_version,
        }
    }

    /// The cause to be told first; `None` if none holds and requests are admitted.
    pub fn first(self) -> Option<SealCause> {
        [SealCause::InvalidConfiguration, SealCause::NoVersion].into_iter().find(|cause| self.holds(*cause))
    }
}
