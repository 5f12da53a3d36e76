//! A hollow gateway: the control side of the product without its requests.

use super::observing_sink::ObservingSink;
use crate::scale::error::{BoxedError, ScaleError};
use crate::scale::layout;
use crate::scale::plan::{HollowPlan, HostPlan};
use sagearch::net::lifecycle::control_side::{ControlConfig, ControlSide};
use sagearch::settings;
use sagearch_operators::{Anywhere, Operators};
use std::sync::{Arc, OnceLock};

/// The name of the operators' file in messages.
const OPERATORS_FILE: &str = "gateway.kdl";

/// A hollow gateway that runs.
pub(super) struct HollowGateway {
    pub(super) control_side: ControlSide,
    /// Where its events are observed.
    pub(super) sink: Arc<ObservingSink>,
}

fn operators(plan: &HollowPlan) -> Result<Operators, BoxedError> {
    match &plan.operators {
        Some(text) => Ok(sagearch_operators::parse(OPERATORS_FILE, text, &Anywhere)?),
        None => Ok(Operators::default()),
    }
}

fn control_config(
    host: &HostPlan,
    plan: &HollowPlan,
    initial_events: &[u8],
) -> Result<ControlConfig, BoxedError> {
    let deployment = settings::decode(layout::settings_in(&host.settings, &plan.zone))?;
    let operators = operators(plan)?;
    Ok(ControlConfig {
        name: plan.name.clone(),
        seed: plan.seed,
        instance: sagearch_clock::unix_micros(),
        bus: plan.bus,
        peer_listen: None,
        lasting: None,
        joins_fleet: operators.fleet.is_some(),
        known: serde_json::from_slice(initial_events)?,
        settings: deployment.settings,
        names: deployment.names,
        operators: Ok(operators),
    })
}

fn start_observed(config: ControlConfig, gateway: usize, leased: bool) -> Result<HollowGateway, BoxedError> {
    let clock = Arc::new(OnceLock::new());
    let mut observing = None;
    let control_side = ControlSide::start(config, |inner| {
        let sink = Arc::new(ObservingSink::new(gateway, inner, clock.clone(), leased));
        observing = Some(sink.clone());
        sink
    })?;
    clock.get_or_init(|| control_side.clock);
    let sink = observing.ok_or("its events are not observed")?;
    Ok(HollowGateway { control_side, sink })
}

/// Starts a gateway of a host. `initial_events`: a batch as JSON.
pub(super) fn start(
    host: &HostPlan,
    plan: &HollowPlan,
    initial_events: &[u8],
) -> Result<HollowGateway, ScaleError> {
    let started = control_config(host, plan, initial_events).and_then(|config| {
        let leased = config.operators.as_ref().is_ok_and(|operators| operators.feed.is_some());
        start_observed(config, plan.gateway, leased)
    });
    started.map_err(|source| ScaleError::HollowGateway { gateway: plan.name.clone(), source })
}
