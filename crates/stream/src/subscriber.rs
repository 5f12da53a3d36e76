//! The gateway's side of the stream, as a state machine.
//!
//! The state machine receives events ([`Input`]) and returns actions ([`Output`]). It applies one version at a time:
//!
//! ```text
//! offered -> assembled -> Stage -> staged -> Store -> stored -> Commit -> in force -> Ack
//!      \           \         \
//!       Nack        Nack      Nack          (a failed Store is reported, and the version is committed anyway)
//! ```
//!
//! A version that is in force but could not be stored is retried with backoff until it or a newer one is stored.
//!
//! While a version is being applied, only the newest of those received waits; the others are skipped. A version is
//! acknowledged only once it is in force. Version numbers never decrease: an older number is rejected, and so is the
//! same number with different content. After a crash before *stored* the gateway resumes with the previous version, and
//! after a later crash with the new one, which is not acknowledged before *stored*.

mod apply;
mod assembly;
mod connection;
mod error;

pub use connection::{CONNECT_TIMEOUT, MAX_BACKOFF};
pub use error::{DisconnectReason, Rejection, StepError};

use crate::message::{FromGateway, FromService};
use crate::version::{Version, VersionId};
use crate::{Millis, RequestCounts};
use apply::{Applying, PendingStore, Waiting};
use assembly::Assembly;
use connection::Connection;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::sync::Arc;

/// The settings of a gateway's subscriber.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The gateway's name, which must match its certificate.
    pub node: String,
    /// The id of the gateway process.
    pub instance: u64,
    /// The number of control service addresses, which are indexed in order of preference.
    pub address_count: usize,
    /// The largest size of a version's documents, in bytes.
    pub max_version_bytes: usize,
    /// The heartbeat interval until the service sets another.
    pub heartbeat_interval: Millis,
    /// The window over which gateways spread their reconnects after an outage, until the service sets another.
    pub reconnect_window: Millis,
}

/// An event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The requested connection is established.
    Connected,
    /// The requested connection could not be established, or the established one is lost.
    Disconnected,
    /// A message was received.
    Received(FromService),
    /// The result of [`Output::Stage`].
    Staged(Result<(), StepError>),
    /// The result of [`Output::Store`].
    Stored(Result<(), StepError>),
    /// [`Output::Commit`] has completed.
    Committed,
}

/// An action for the caller. Its result is passed back as an [`Input`].
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to a service.
    Connect {
        /// The index of the service's address, in order of preference.
        address: usize,
    },
    /// End the connection.
    Disconnect(DisconnectReason),
    /// Send a message.
    Send(FromGateway),
    /// Parse and check a version without changing what is in force.
    Stage(Arc<Version>),
    /// Store a version on disk.
    Store(Arc<Version>),
    /// Bring the staged version into force.
    Commit(Arc<Version>),
    /// Report a notice in the log and the metrics.
    Notice(Notice),
}

/// An event to report to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The version is in force.
    InForce(VersionId),
    /// The version was rejected.
    Rejected(VersionId, Rejection),
    /// The version was not applied because a newer one superseded it.
    Skipped(VersionId),
    /// Two services use the same number for different content.
    Conflict {
        /// The newest complete version at the gateway.
        current: VersionId,
        /// The offered version of the same number.
        offered: VersionId,
    },
    /// The version comes into force but could not be stored; storing it is retried.
    StoreFailed(VersionId, StepError),
    /// The version was stored by a retry.
    StoredOnRetry(VersionId),
}

/// The state machine of the gateway's side.
pub struct Subscriber {
    settings: Settings,
    random: Pcg32,
    connection: Connection,
    /// The index of the service that is connected or is tried next.
    address: usize,
    /// The number of failed connection attempts since a service last welcomed this gateway.
    failed_attempts: u32,
    /// Whether the gateway was ever welcomed. Other gateways then were too, and reconnect at the same time.
    was_connected: bool,
    in_force: Option<Arc<Version>>,
    nacked: Option<VersionId>,
    assembly: Option<Assembly>,
    applying: Option<Applying>,
    /// The newest complete version that waits to be applied.
    waiting: Option<Waiting>,
    pending_store: Option<PendingStore>,
    counts: RequestCounts,
}

impl Subscriber {
    /// Creates a subscriber that resumes from the version in force, if there is one.
    pub fn new(settings: Settings, in_force: Option<Arc<Version>>, seed: u64, now: Millis) -> Subscriber {
        Subscriber {
            settings,
            random: Pcg32::seed_from_u64(seed),
            connection: Connection::Disconnected { retry_at: now },
            address: 0,
            failed_attempts: 0,
            was_connected: false,
            in_force,
            nacked: None,
            assembly: None,
            applying: None,
            waiting: None,
            pending_store: None,
            counts: RequestCounts::default(),
        }
    }

    /// The version that is in force, if any.
    pub fn in_force(&self) -> Option<&Arc<Version>> {
        self.in_force.as_ref()
    }

    /// The index of the connected service, once it has welcomed this gateway.
    pub fn connected(&self) -> Option<usize> {
        matches!(self.connection, Connection::Established { welcomed: true, .. }).then_some(self.address)
    }

    /// Sets the request counters that the next heartbeat reports.
    pub fn set_counts(&mut self, counts: RequestCounts) {
        self.counts = counts;
    }

    /// Handles one input and returns the resulting actions in order.
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut outputs),
            Input::Connected => self.connection_established(now, &mut outputs),
            Input::Disconnected => self.disconnected(now, None),
            Input::Received(message) => {
                if let Connection::Established { last_received, .. } = &mut self.connection {
                    *last_received = now;
                    self.handle_message(now, message, &mut outputs);
                }
            }
            Input::Staged(result) => self.staged(result, &mut outputs),
            Input::Stored(result) => self.stored(now, result, &mut outputs),
            Input::Committed => self.committed(&mut outputs),
        }
        self.apply_next(&mut outputs);
        self.retry_store(now, &mut outputs);
        outputs
    }
}
