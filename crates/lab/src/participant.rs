//! Who takes part in a run, and how a scenario names them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use thiserror::Error;

/// Words of a name, at most: kind, site and number.
const MAX_WORDS: usize = 3;
/// Stands for any word.
const WILDCARD: &str = "*";

/// What a participant is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ParticipantKind {
    /// The clients of one site.
    Clients,
    /// A process of the gateway.
    Gateway,
    /// A cache.
    Store,
    /// A cache that fills from the origin.
    Parent,
    /// What has all objects.
    Origin,
    /// The event bus.
    Bus,
}

impl ParticipantKind {
    /// All kinds.
    pub const ALL: [ParticipantKind; 6] = [
        ParticipantKind::Clients,
        ParticipantKind::Gateway,
        ParticipantKind::Store,
        ParticipantKind::Parent,
        ParticipantKind::Origin,
        ParticipantKind::Bus,
    ];

    /// As scenarios name it.
    pub fn name(self) -> &'static str {
        match self {
            ParticipantKind::Clients => "clients",
            ParticipantKind::Gateway => "gateway",
            ParticipantKind::Store => "store",
            ParticipantKind::Parent => "parent",
            ParticipantKind::Origin => "origin",
            ParticipantKind::Bus => "bus",
        }
    }

    /// Whether it is a process of its own, which can be killed or stopped.
    pub fn is_process(self) -> bool {
        self == ParticipantKind::Gateway
    }
}

/// A participant's place in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ParticipantId(pub u16);

/// One who takes part in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Participant {
    /// What it is.
    pub kind: ParticipantKind,
    /// Where it is.
    pub site: String,
    /// From 1 within its kind and site.
    pub number: usize,
}

impl fmt::Display for Participant {
    /// `gateway/east/2`
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.kind.name(), self.site, self.number)
    }
}

impl Participant {
    fn matches(&self, words: &[&str]) -> bool {
        let own = [self.kind.name().to_string(), self.site.clone(), self.number.to_string()];
        words.iter().zip(&own).all(|(word, own)| *word == WILDCARD || word == own)
    }
}

/// A name that stands for nobody.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// It has too many words, or an empty one.
    #[error("{0:?} is no name like \"gateway/east/2\", \"store/*/1\" or \"*/east\"")]
    Malformed(String),
    /// Its first word is no kind.
    #[error("{name:?}: {kind:?} is none of {known}")]
    UnknownKind {
        /// The whole name.
        name: String,
        /// Its first word.
        kind: String,
        /// All kinds.
        known: String,
    },
    /// Nobody of that kind is at its site.
    #[error("{name:?}: there are {kind} at {sites} alone")]
    UnknownSite {
        /// The whole name.
        name: String,
        /// Its first word.
        kind: String,
        /// Where there are some.
        sites: String,
    },
    /// Nobody has that number.
    #[error("{0:?} stands for nobody: the fleet has no such participant")]
    Nobody(String),
}

/// All participants of a run, in a fixed order.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    participants: Vec<Participant>,
}

impl Roster {
    /// Adds one more of a kind at a site.
    pub fn add(&mut self, kind: ParticipantKind, site: &str) -> ParticipantId {
        let like = |other: &&Participant| other.kind == kind && other.site == site;
        let number = self.participants.iter().filter(like).count() + 1;
        self.participants.push(Participant { kind, site: site.into(), number });
        ParticipantId((self.participants.len() - 1) as u16)
    }

    /// The participant of a place in this roster.
    pub fn get(&self, id: ParticipantId) -> &Participant {
        &self.participants[usize::from(id.0)]
    }

    /// How many take part.
    pub fn len(&self) -> usize {
        self.participants.len()
    }

    /// Whether nobody does.
    pub fn is_empty(&self) -> bool {
        self.participants.is_empty()
    }

    /// All, in their order.
    pub fn iter(&self) -> impl Iterator<Item = (ParticipantId, &Participant)> {
        self.participants.iter().enumerate().map(|(place, one)| (ParticipantId(place as u16), one))
    }

    /// All of a kind, in their order.
    pub fn of(&self, kind: ParticipantKind) -> impl Iterator<Item = ParticipantId> {
        self.iter().filter(move |(_, one)| one.kind == kind).map(|(id, _)| id)
    }

    /// All whom a name stands for. The words are kind, site and number; `*` is any of them, and words left out at
    /// the end are too: `gateway`, `gateway/east`, `store/*/1`, `*/east`.
    ///
    /// # Errors
    ///
    /// Where it stands for nobody.
    pub fn named(&self, name: &str) -> Result<BTreeSet<ParticipantId>, NameError> {
        let words: Vec<&str> = name.split('/').collect();
        if words.len() > MAX_WORDS || words.iter().any(|word| word.is_empty()) {
            return Err(NameError::Malformed(name.into()));
        }
        let found: BTreeSet<ParticipantId> =
            self.iter().filter(|(_, one)| one.matches(&words)).map(|(id, _)| id).collect();
        if found.is_empty() { Err(self.unknown(name, &words)) } else { Ok(found) }
    }

    /// Which word of a name nobody has.
    fn unknown(&self, name: &str, words: &[&str]) -> NameError {
        let name = name.to_string();
        let kinds: Vec<&str> = ParticipantKind::ALL.iter().map(|kind| kind.name()).collect();
        let kind = words[0].to_string();
        if kind != WILDCARD && !kinds.contains(&words[0]) {
            return NameError::UnknownKind { name, kind, known: kinds.join(", ") };
        }
        let of_kind = self.participants.iter().filter(|one| one.matches(&words[..1]));
        let sites: BTreeSet<&str> = of_kind.map(|one| one.site.as_str()).collect();
        if words.len() > 1 && words[1] != WILDCARD && !sites.contains(words[1]) {
            let sites = sites.into_iter().collect::<Vec<_>>().join(", ");
            return NameError::UnknownSite { name, kind, sites };
        }
        NameError::Nobody(name)
    }
}

#[cfg(test)]
mod tests;
