//! The labels of the metrics.

use prometheus_client::encoding::EncodeLabelSet;
use std::sync::Arc;

/// Why a caller was rejected.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ByReason {
    pub reason: &'static str,
}

/// An admitted caller: its tenant, and by what it was recognised.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct Admitted {
    pub tenant: Arc<str>,
    pub proof: &'static str,
}

/// A request that has ended: its tenant, and how it ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct Ended {
    pub tenant: Arc<str>,
    pub end: &'static str,
}

/// How a handshake, a reload or a version ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ByOutcome {
    pub outcome: &'static str,
}

/// Keys of an issuer in one state.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct Keys {
    pub issuer: String,
    pub state: &'static str,
}

/// An issuer of tokens.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ByIssuer {
    pub issuer: String,
}

/// The cause, kind, source or direction of what gateways share.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct What {
    pub what: &'static str,
}
