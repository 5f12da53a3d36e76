//! The configuration service: [`Service`] with its sessions, driven like `sagearch-control` drives it (a tick every
//! 20 ms), with the real framing. TLS, sockets and files are left out.

use super::deployment::{CHANGES_A_DAY, SECONDS_A_DAY};
use super::documents::{self, SMALL, TENANTS};
use super::error::MeasurementError;
use super::figure::{Figure, Load, Traffic, Unit};
use super::memory::growth_of;
use super::processor_time::Stopwatch;
use sagearch_stream::message::{Decoder, FromGateway, FromService, PROTOCOL, encode};
use sagearch_stream::rollout::Plan;
use sagearch_stream::service::{Output, Role, Service, SessionId, Settings, State, Transfer};
use sagearch_stream::version::{Documents, Version, VersionId};
use std::collections::VecDeque;
use std::sync::OnceLock;

/// The default interval of heartbeats in a control service's file; the next four are its other defaults.
pub const HEARTBEAT_MS: u64 = 5_000;
const RECONNECT_WINDOW_MS: u64 = 10_000;
const MAX_TRANSFERS: usize = 64;
const MAX_VERSIONS: usize = 10;
const MAX_VERSION_BYTES: usize = 33_554_432;
/// How often the service's thread ticks it.
const TICK_MS: u64 = 20;
/// Virtual time at rest that is measured.
const REST_MS: u64 = 30_000;
/// A rollout that has not ended by then is given up.
const ROLLOUT_TIMEOUT_MS: u64 = 600_000;
const SMALL_BYTES: usize = 2_000;
const EPOCH: u64 = 1;
/// Documents of 1.9 MB that differ in one line.
const REVISIONS: usize = 2;

/// The name of the gateway of a session.
pub fn node(session: SessionId) -> String {
    format!("gateway-{session:04}")
}

/// A service with so many gateways connected, all at version 1 of these documents.
pub fn connected(gateways: u64, documents: Documents) -> Service {
    let version = Version::new(EPOCH, 1, documents);
    let have = version.id.clone();
    let settings = Settings {
        heartbeat_interval: HEARTBEAT_MS,
        reconnect_window: RECONNECT_WINDOW_MS,
        max_transfers: MAX_TRANSFERS,
        // The default of 2,000 would reject 200 of 2,200.
        max_sessions: gateways as usize,
        max_versions: MAX_VERSIONS,
        max_version_bytes: MAX_VERSION_BYTES,
    };
    let state = State { epoch: EPOCH, last_number: 1, stable: Some(1), ..State::default() };
    let mut service = Service::new(settings, state, vec![version], 0);
    for session in 0..gateways {
        service.session_opened(session, Role::Gateway(node(session)), 0);
        service.message_received(session, hello(session, &have), 0);
    }
    service
}

fn hello(session: SessionId, have: &VersionId) -> FromGateway {
    FromGateway::Hello {
        protocol: PROTOCOL,
        node: node(session),
        instance: 1_796_000_000_000_000 + session,
        have: Some(have.clone()),
        nacked: None,
    }
}

fn small_documents() -> Documents {
    Documents::from([(documents::TEXT.into(), documents::text(10, 0))])
}

/// Documents of 1.9 MB of the language and what they are compiled to. Compiling them takes seconds, so it is done once.
fn large_documents(revision: u64) -> Result<Documents, MeasurementError> {
    static DOCUMENTS: [OnceLock<Result<Documents, MeasurementError>>; REVISIONS] =
        [OnceLock::new(), OnceLock::new()];
    let publish = || documents::published(documents::text(TENANTS, revision));
    DOCUMENTS[revision as usize % REVISIONS].get_or_init(publish).clone()
}

/// Measures heartbeats both ways, with nothing to send.
///
/// # Errors
///
/// Where a message can't be encoded or decoded, or a gateway is disconnected.
pub fn at_rest(gateways: u64) -> Result<Vec<Figure>, MeasurementError> {
    let (mut service, growth) = growth_of(|| connected(gateways, small_documents()));
    let heartbeat = FromGateway::Heartbeat { requests: 1_234_567, failed: 1_234 };
    let frame = encode(&heartbeat).map_err(MeasurementError::rejected)?;
    // Each gateway sends its heartbeats at moments of its own.
    let ticks_per_heartbeat = HEARTBEAT_MS / TICK_MS;
    let mut due = vec![Vec::new(); ticks_per_heartbeat as usize];
    (0..gateways).for_each(|session| due[(session % ticks_per_heartbeat) as usize].push(session));
    let mut load = Load { seconds: REST_MS as f64 / 1e3, instances: 1.0, ..Load::default() };
    let mut stopwatch = Stopwatch::default();
    for tick in 0..REST_MS / TICK_MS {
        let now = tick * TICK_MS;
        let sending = &due[(tick % ticks_per_heartbeat) as usize];
        let sent = stopwatch.time(|| {
            for session in sending {
                let mut decoder = Decoder::default();
                decoder.push(&frame);
                let message = decoder.next_message::<FromGateway>().map_err(MeasurementError::rejected)?;
                if let Some(message) = message {
                    drop(service.message_received(*session, message, now));
                }
            }
            traffic_of(&service.tick(now))
        })?;
        for _ in sending {
            load.incoming.add(frame.len());
        }
        load.outgoing.messages += sent.messages;
        load.outgoing.bytes += sent.bytes;
    }
    load.processor = stopwatch.total();
    let mut figures = load.figures();
    figures.extend(growth.map(|growth| Figure::megabytes("memory", growth.left)));
    Ok(figures)
}

/// Encodes the messages of these outputs. With a closed session the measurement would be of fewer gateways.
fn traffic_of(outputs: &[Output]) -> Result<Traffic, MeasurementError> {
    let mut traffic = Traffic::default();
    for output in outputs {
        match output {
            Output::Send(_, message) => {
                traffic.add(encode(message).map_err(MeasurementError::rejected)?.len());
            }
            Output::Close(..) => return Err(MeasurementError::NotReached("all gateways stay connected")),
            _ => {}
        }
    }
    Ok(traffic)
}

/// What a publication to all gateways costs.
#[derive(Default)]
struct Publication {
    /// Decisions: which gateway lacks what, and which is next.
    decisions: Stopwatch,
    /// Cutting documents into pieces and encoding them.
    encoding: Stopwatch,
    outgoing: Traffic,
    acknowledged: u64,
}

impl Publication {
    /// Sends all transfers and acknowledges them, until none is left. Gateways acknowledge as soon as they have all.
    fn carry_out(
        &mut self,
        service: &mut Service,
        outputs: Vec<Output>,
        now: u64,
    ) -> Result<(), MeasurementError> {
        let mut transfers = VecDeque::from(transfers_of(outputs));
        while let Some((session, transfer)) = transfers.pop_front() {
            let nonce = transfer.nonce;
            let id = self.transfer(transfer)?;
            let outputs = self.decisions.time(|| service.transfer_written(session));
            transfers.extend(transfers_of(outputs));
            let acknowledgement = FromGateway::Ack { nonce, id };
            let outputs = self.decisions.time(|| service.message_received(session, acknowledgement, now));
            transfers.extend(transfers_of(outputs));
            self.acknowledged += 1;
        }
        Ok(())
    }

    /// Encodes one transfer, and returns the version's id.
    fn transfer(&mut self, transfer: Transfer) -> Result<VersionId, MeasurementError> {
        let mut offered = None;
        self.encoding.time(|| {
            for message in transfer {
                self.outgoing.add(encode(&message).map_err(MeasurementError::rejected)?.len());
                if let FromService::Offer { id, .. } = message {
                    offered = Some(id);
                }
            }
            Ok(())
        })?;
        offered.ok_or(MeasurementError::NotReached("a transfer begins with an offer"))
    }

    fn figures(&self, gateways: u64) -> Vec<Figure> {
        let bytes_each = self.outgoing.bytes as f64 / gateways as f64;
        let total = self.decisions.total() + self.encoding.total();
        let seconds_per_change = SECONDS_A_DAY / CHANGES_A_DAY;
        vec![
            Figure::megabytes("bytes out, one change", self.outgoing.bytes as usize),
            Figure::new("bytes to one gateway", Unit::Bytes, bytes_each),
            Figure::new("messages out, one change", Unit::Count, self.outgoing.messages as f64),
            Figure::milliseconds("processor, decisions", self.decisions.total()),
            Figure::milliseconds("processor, encoding", self.encoding.total()),
            Figure::new(
                "processor, 2,000 changes a day",
                Unit::PercentOfCore,
                total.as_secs_f64() / seconds_per_change * 100.0,
            ),
            Figure::new(
                "bytes to one gateway, 2,000 changes a day",
                Unit::KilobytesPerSecond,
                bytes_each / 1e3 / seconds_per_change,
            ),
        ]
    }
}

fn transfers_of(outputs: Vec<Output>) -> Vec<(SessionId, Transfer)> {
    let transfer = |output| match output {
        Output::Transfer(session, transfer) => Some((session, transfer)),
        _ => None,
    };
    outputs.into_iter().filter_map(transfer).collect()
}

fn publish(gateways: u64, before: Documents, after: Documents) -> Result<Vec<Figure>, MeasurementError> {
    let mut service = connected(gateways, before);
    let mut publication = Publication::default();
    let outputs = publication.decisions.time(|| {
        let prepared = service.prepare(after, Plan::immediate(), 0).map_err(MeasurementError::rejected)?;
        Ok(service.commit(prepared))
    })?;
    publication.carry_out(&mut service, outputs, 0)?;
    if publication.acknowledged != gateways {
        return Err(MeasurementError::NotReached("all gateways have the version"));
    }
    Ok(publication.figures(gateways))
}

/// Measures a change of one document of 2 KB beside the 1.9 MB.
///
/// # Errors
///
/// Where the version is rejected, or not all gateways receive it.
pub fn publish_small(gateways: u64) -> Result<Vec<Figure>, MeasurementError> {
    let documents_with = |letter: &str| -> Result<Documents, MeasurementError> {
        let mut documents = large_documents(0)?;
        documents.insert(SMALL.into(), letter.repeat(SMALL_BYTES));
        Ok(documents)
    };
    publish(gateways, documents_with("a")?, documents_with("b")?)
}

/// Measures a change of one line of the 1.9 MB: both forms of the document are sent completely.
///
/// # Errors
///
/// Where the version is rejected, or not all gateways receive it.
pub fn publish_large(gateways: u64) -> Result<Vec<Figure>, MeasurementError> {
    publish(gateways, large_documents(0)?, large_documents(1)?)
}

/// Measures a change with the default plan, from publishing to the end of its last stage, in virtual time.
///
/// # Errors
///
/// Where the version is rejected, or the rollout does not end in time.
pub fn staged_rollout(gateways: u64) -> Result<Vec<Figure>, MeasurementError> {
    let mut service = connected(gateways, small_documents());
    let after = Documents::from([(documents::TEXT.into(), documents::text(10, 1))]);
    let mut publication = Publication::default();
    let prepared = service.prepare(after, Plan::default(), 0).map_err(MeasurementError::rejected)?;
    let outputs = service.commit(prepared);
    publication.carry_out(&mut service, outputs, 0)?;
    let mut everywhere = None;
    let heartbeat = FromGateway::Heartbeat { requests: 0, failed: 0 };
    for now in (TICK_MS..ROLLOUT_TIMEOUT_MS).step_by(TICK_MS as usize) {
        if now % HEARTBEAT_MS == 0 {
            (0..gateways).for_each(|session| drop(service.message_received(session, heartbeat.clone(), now)));
        }
        let outputs = publication.decisions.time(|| service.tick(now));
        publication.carry_out(&mut service, outputs, now)?;
        if publication.acknowledged == gateways {
            everywhere.get_or_insert(now);
        }
        if service.state().candidate.is_none() {
            let everywhere =
                everywhere.ok_or(MeasurementError::NotReached("all gateways have the version"))?;
            return Ok(vec![
                Figure::new("until in force everywhere", Unit::Seconds, everywhere as f64 / 1e3),
                Figure::new("until the next may be published", Unit::Seconds, now as f64 / 1e3),
                Figure::milliseconds("processor, decisions", publication.decisions.total()),
            ]);
        }
    }
    Err(MeasurementError::NotReached("the rollout ends"))
}
