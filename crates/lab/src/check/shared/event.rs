//! What gateways log of the state that they share.

use crate::participant::ParticipantId;

/// The part of a line after which the event is.
const LOG_TARGET: &str = "sagearch::net::cluster";
/// The first words of events.
const EVENT_WORDS: [&str; 8] = ["gained", "lost", "acts", "spends", "claimed", "left", "fenced", "split"];

/// A region's claim on a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Numbers the claims of regions on the slice.
    pub term: u64,
    /// The region, by number.
    pub region: u64,
    /// Of the lease under which it was made.
    pub epoch: u64,
    /// Of the gateway that made it.
    pub incarnation: u64,
}

/// What a gateway did.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// It is lease holder of the slice from now on.
    Gained {
        /// Of the lease.
        epoch: u64,
    },
    /// It knows that it is lease holder no more.
    Lost {
        /// Of the lease.
        epoch: u64,
    },
    /// As lease holder it granted a part of a budget.
    Granted {
        /// Of the lease.
        epoch: u64,
        /// Its region's claim, where regions make claims.
        claim: Option<Claim>,
        /// The amount.
        amount: u64,
    },
    /// It sent a further attempt that was paid for.
    Spent {
        /// The claim under which the quota was granted, where regions make claims.
        claim: Option<Claim>,
    },
    /// Its region makes a claim.
    Claimed {
        /// The claim.
        claim: Claim,
    },
    /// Its region gives a claim up.
    Released {
        /// The claim.
        claim: Claim,
    },
    /// It knows that a claim has lost against another one.
    Fenced {
        /// The claim that counts no more.
        lost: Claim,
        /// The claim that counts.
        won: Claim,
    },
    /// It knows of two claims that were confirmed at one time.
    SplitBrain {
        /// The claim that counts no more.
        lost: Claim,
        /// The claim that counts.
        won: Claim,
    },
}

/// What one gateway did, as it logged it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// Unix microseconds.
    pub at: u64,
    /// The gateway.
    pub gateway: ParticipantId,
    /// Its site.
    pub site: String,
    /// The slice that it is about.
    pub slice: u64,
    /// What it did.
    pub action: Action,
}

/// The values of a key in a line, in their order.
fn values<'a>(line: &'a str, key: &'a str) -> impl Iterator<Item = u64> + 'a {
    let words = line.split_ascii_whitespace();
    words.filter_map(move |word| word.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

/// The claims in a line, in their order.
fn claims(line: &str) -> Vec<Claim> {
    let terms = values(line, "term").zip(values(line, "region"));
    let processes = values(line, "claim-epoch").zip(values(line, "incarnation"));
    let claim = |((term, region), (epoch, incarnation))| Claim { term, region, epoch, incarnation };
    terms.zip(processes).map(claim).collect()
}

/// Reads a line of a gateway's log. `None`: it is not about the shared state.
pub fn read_event(line: &str, gateway: ParticipantId, site: &str) -> Option<LoggedEvent> {
    let (_, message) = line.split_once(LOG_TARGET)?;
    let (word, event) = EVENT_WORDS.iter().find_map(|word| {
        let start = message.find(&format!("{word} slice="))?;
        Some((*word, &message[start..]))
    })?;
    let value = |key| values(event, key).next();
    let claims = claims(event);
    let claim = claims.first().copied();
    let action = match word {
        "gained" => Action::Gained { epoch: value("epoch")? },
        "lost" => Action::Lost { epoch: value("epoch")? },
        "acts" => Action::Granted { epoch: value("epoch")?, claim, amount: value("amount")? },
        "spends" => Action::Spent { claim },
        "claimed" => Action::Claimed { claim: claim? },
        "left" => Action::Released { claim: claim? },
        "fenced" => Action::Fenced { lost: claim?, won: *claims.get(1)? },
        _ => Action::SplitBrain { lost: claim?, won: *claims.get(1)? },
    };
    Some(LoggedEvent { at: value("at")?, gateway, site: site.into(), slice: value("slice")?, action })
}
