//! Starts the followers of a control side, which receive updates from the control services and from relays or the event bus.

use super::ControlSide;
use crate::net::configuration::control;
use crate::net::discovery::event_sink::EventSink;
use crate::net::discovery::{bus, feed};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

impl ControlSide {
    /// Follows the control services that the operators' file names.
    ///
    /// # Errors
    /// A thread can't be started.
    pub(in crate::net) fn follow_control(&self) -> io::Result<()> {
        let Some(control) = self.operators.control.clone() else { return Ok(()) };
        let follower_config = control::VersionFollowerConfig {
            config: self.config.clone(),
            admission: self.guard.admission.clone(),
            metrics: self.guard.metrics.clone(),
            control,
            clock: self.clock,
            node: self.name.clone(),
            instance: self.instance,
            seed: self.seed,
            in_force: self.resumed_version.clone(),
        };
        let Some(running) = self.permit() else { return Ok(()) };
        control::follow(follower_config, self.stopping.clone(), running)
    }

    /// Follows the relays that the operators' file names or, without relays, the event bus at `address`.
    pub(in crate::net) fn follow_bus(&self, sink: &Arc<dyn EventSink>, address: SocketAddr) {
        let Some(running) = self.permit() else { return };
        let Some(relays) = self.operators.feed.clone() else {
            return bus::follow(&self.feed, sink, address, running);
        };
        let follower_config = feed::RelayFollowerConfig {
            feed: self.feed.clone(),
            sink: sink.clone(),
            clock: self.clock,
            name: self.name.clone(),
            incarnation: self.incarnation,
            seed: self.seed,
            relays,
        };
        feed::follow(follower_config, running);
    }

    /// Follows the event bus at another address, from the last event received. Does nothing where relays are followed:
    /// they are fixed at the start.
    pub(in crate::net) fn change_bus_address(&self, sink: &Arc<dyn EventSink>, address: SocketAddr) {
        if self.operators.feed.is_none() {
            self.follow_bus(sink, address);
        }
    }
}
