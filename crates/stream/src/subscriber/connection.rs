//! The connection to the control services: connection attempts, backoff, heartbeats and received messages.

use super::assembly::{Chunk, Offer};
use super::{DisconnectReason, Output, Subscriber};
use crate::Millis;
use crate::RequestCounts;
use crate::message::{FromGateway, FromService, PROTOCOL};
use rand::Rng;
use std::ops::RangeInclusive;

/// The maximum delay between two connection attempts.
pub const MAX_BACKOFF: Millis = 60_000;
/// The timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Millis = 5_000;
/// The base of the exponential backoff, which is doubled from the first failed attempt on.
const INITIAL_BACKOFF: Millis = 200;
/// The number of heartbeat intervals without a message after which the connection is closed.
const MISSED_HEARTBEATS: Millis = 3;

/// The range of heartbeat intervals that a service may set.
const HEARTBEAT_INTERVALS: RangeInclusive<Millis> = 20..=3_600_000;
/// The maximum reconnect window that a service may set.
const MAX_RECONNECT_WINDOW: Millis = 3_600_000;
/// The maximum number of backoff doublings, which is enough to exceed [`MAX_BACKOFF`] and avoids an overflow.
const MAX_DOUBLINGS: u32 = 16;

/// The connection to one of the services.
#[derive(Debug)]
pub(super) enum Connection {
    Disconnected { retry_at: Millis },
    Connecting { started: Millis },
    Established { last_received: Millis, last_sent: Millis, welcomed: bool },
}

impl Subscriber {
    /// A random delay of up to `max_delay`, so that gateways don't act at the same time.
    pub(super) fn random_delay(&mut self, max_delay: Millis) -> Millis {
        self.random.random_range(0..=max_delay)
    }

    /// Sends the first message on an established connection.
    pub(super) fn connection_established(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.connection = Connection::Established { last_received: now, last_sent: now, welcomed: false };
        outputs.push(Output::Send(FromGateway::Hello {
            protocol: PROTOCOL,
            node: self.settings.node.clone(),
            instance: self.settings.instance,
            have: self.in_force.as_ref().map(|version| version.id.clone()),
            nacked: self.nacked.clone(),
        }));
    }

    pub(super) fn tick(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let heartbeat_interval = self.settings.heartbeat_interval;
        match &mut self.connection {
            Connection::Disconnected { retry_at } if now >= *retry_at => {
                self.connection = Connection::Connecting { started: now };
                outputs.push(Output::Connect { address: self.address });
            }
            Connection::Connecting { started } if now >= *started + CONNECT_TIMEOUT => {
                outputs.push(Output::Disconnect(DisconnectReason::ConnectTimeout));
                self.disconnected(now, None);
            }
            Connection::Established { last_received, .. }
                if now >= *last_received + MISSED_HEARTBEATS * heartbeat_interval =>
            {
                // A hung service may still accept messages without sending any.
                outputs.push(Output::Disconnect(DisconnectReason::HeartbeatTimeout));
                self.disconnected(now, None);
            }
            Connection::Established { last_sent, welcomed: true, .. }
                if now >= *last_sent + heartbeat_interval =>
            {
                *last_sent = now;
                let RequestCounts { requests, failed } = self.counts;
                outputs.push(Output::Send(FromGateway::Heartbeat { requests, failed }));
            }
            _ => {}
        }
    }

    /// Schedules a reconnect. A version that is being applied continues; an incomplete one is discarded.
    pub(super) fn disconnected(&mut self, now: Millis, retry_after: Option<Millis>) {
        let welcomed = matches!(self.connection, Connection::Established { welcomed: true, .. });
        self.assembly = None;
        let delay = if let Some(retry_after) = retry_after {
            retry_after
        } else if welcomed {
            // Other gateways lost their connections at the same time: their reconnects are spread over the window.
            (self.failed_attempts, self.address) = (0, 0);
            self.random_delay(self.settings.reconnect_window)
        } else {
            self.failed_attempts = self.failed_attempts.saturating_add(1);
            self.address = (self.address + 1) % self.settings.address_count.max(1);
            let max_backoff = (INITIAL_BACKOFF << self.failed_attempts.min(MAX_DOUBLINGS)).min(MAX_BACKOFF);
            // After an outage the failed attempts of all gateways are spread over the window as well.
            let max_delay = if self.was_connected {
                max_backoff.max(self.settings.reconnect_window)
            } else {
                max_backoff
            };
            self.random_delay(max_delay)
        };
        self.was_connected |= welcomed;
        self.connection = Connection::Disconnected { retry_at: now + delay };
    }

    pub(super) fn handle_message(&mut self, now: Millis, message: FromService, outputs: &mut Vec<Output>) {
        match message {
            FromService::Welcome { protocol, heartbeat_ms, reconnect_window_ms } => {
                if protocol != PROTOCOL {
                    return self.protocol_error(
                        now,
                        DisconnectReason::UnsupportedProtocol(protocol),
                        outputs,
                    );
                }
                self.settings.heartbeat_interval =
                    heartbeat_ms.clamp(*HEARTBEAT_INTERVALS.start(), *HEARTBEAT_INTERVALS.end());
                self.settings.reconnect_window = reconnect_window_ms.min(MAX_RECONNECT_WINDOW);
                self.failed_attempts = 0;
                if let Connection::Established { welcomed, .. } = &mut self.connection {
                    *welcomed = true;
                }
            }
            FromService::Busy { retry_ms } => {
                outputs.push(Output::Disconnect(DisconnectReason::Busy));
                self.disconnected(now, Some(retry_ms.min(MAX_BACKOFF)));
            }
            FromService::Offer { nonce, id, base, names, removed, bytes } => {
                let offer = Offer { nonce, id, base, names, removed, bytes };
                self.offer_received(now, offer, outputs);
            }
            FromService::Chunk { nonce, name, text, last } => {
                self.chunk_received(now, Chunk { nonce, name, text, last }, outputs);
            }
            FromService::Done { nonce } => self.transfer_done(now, nonce, outputs),
            FromService::Heartbeat | FromService::Reply { .. } => {}
        }
    }

    /// Closes the connection after a protocol violation by the service.
    pub(super) fn protocol_error(
        &mut self,
        now: Millis,
        reason: DisconnectReason,
        outputs: &mut Vec<Output>,
    ) {
        outputs.push(Output::Disconnect(reason));
        if let Connection::Established { welcomed, .. } = &mut self.connection {
            *welcomed = false;
        }
        self.disconnected(now, None);
    }
}
