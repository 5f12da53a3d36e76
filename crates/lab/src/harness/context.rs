//! What all participants of a run share.

use super::network::LoopbackNetwork;
use super::recorder::Recorder;
use super::relay::LinkRelay;
use std::sync::Arc;

/// The parts of a run that every participant uses. Cheap to clone.
#[derive(Clone)]
pub struct RunContext {
    /// The addresses of the run.
    pub network: Arc<LoopbackNetwork>,
    /// The links between participants, with the run's clock.
    pub relay: Arc<LinkRelay>,
    /// Takes in what participants observe.
    pub recorder: Recorder,
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// The Unix clock at the run's begin, in microseconds.
    pub epoch: u64,
}
