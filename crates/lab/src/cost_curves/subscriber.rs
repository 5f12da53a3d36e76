//! A gateway's side of the configuration stream: it receives the frames of a complete version, stages it and commits it.

use super::deployment::{CHANGES_A_DAY, SECONDS_A_DAY};
use super::documents;
use super::error::MeasurementError;
use super::figure::{Figure, Unit};
use super::memory::growth_of;
use super::processor_time::Stopwatch;
use sagearch_operators::{Anywhere, Operators, compiled};
use sagearch_stream::message::{Decoder, FromService, PROTOCOL, encode};
use sagearch_stream::service::{Output as Sent, Role, Service, Settings as ServiceSettings, State};
use sagearch_stream::subscriber::{Input, Output, Settings, Subscriber};
use sagearch_stream::version::Version;

/// Versions that are received, one after the other.
const VERSIONS: u32 = 2;
const NODE: &str = "gateway-0000";
/// What a gateway's TLS reader returns at once.
const READ_BYTES: usize = 16 * 1024;
const MAX_VERSION_BYTES: usize = 33_554_432;

/// The frames in which the service sends a version to a gateway that has none.
fn frames(version: Version) -> Result<Vec<u8>, MeasurementError> {
    let settings = ServiceSettings {
        heartbeat_interval: 5_000,
        reconnect_window: 10_000,
        max_transfers: 1,
        max_sessions: 1,
        max_versions: 2,
        max_version_bytes: MAX_VERSION_BYTES,
    };
    let state = State {
        epoch: version.id.epoch,
        last_number: 1,
        stable: Some(version.id.number),
        ..State::default()
    };
    let mut service = Service::new(settings, state, vec![version], 0);
    let mut outputs = service.session_opened(1, Role::Gateway(NODE.into()), 0);
    let hello = sagearch_stream::message::FromGateway::Hello {
        protocol: PROTOCOL,
        node: NODE.into(),
        instance: 1,
        have: None,
        nacked: None,
    };
    outputs.extend(service.message_received(1, hello, 0));
    let mut bytes = Vec::new();
    for output in outputs {
        match output {
            Sent::Send(_, message) => bytes.extend(encode(&message).map_err(MeasurementError::rejected)?),
            Sent::Transfer(_, transfer) => {
                for message in transfer {
                    bytes.extend(encode(&message).map_err(MeasurementError::rejected)?);
                }
            }
            _ => {}
        }
    }
    Ok(bytes)
}

fn subscriber() -> Subscriber {
    let settings = Settings {
        node: NODE.into(),
        instance: 1,
        address_count: 1,
        max_version_bytes: MAX_VERSION_BYTES,
        heartbeat_interval: 5_000,
        reconnect_window: 10_000,
    };
    let mut subscriber = Subscriber::new(settings, None, 7, 0);
    subscriber.handle(0, Input::Tick);
    subscriber.handle(0, Input::Connected);
    subscriber
}

/// Receives the frames, and returns the subscriber's outputs.
fn receive_frames(subscriber: &mut Subscriber, frames: &[u8]) -> Result<Vec<Output>, MeasurementError> {
    let mut decoder = Decoder::default();
    let mut outputs = Vec::new();
    for chunk in frames.chunks(READ_BYTES) {
        decoder.push(chunk);
        while let Some(message) = decoder.next_message::<FromService>().map_err(MeasurementError::rejected)? {
            outputs.extend(subscriber.handle(1, Input::Received(message)));
        }
    }
    Ok(outputs)
}

/// A gateway that follows the stream, with the operators' file of the version in force.
struct Follower {
    subscriber: Subscriber,
    operators: Option<Operators>,
    receiving: Stopwatch,
    reading: Stopwatch,
}

impl Follower {
    /// Receives a complete version, reads its compiled form as a gateway does, and commits it.
    fn follow(&mut self, frames: &[u8]) -> Result<(), MeasurementError> {
        let subscriber = &mut self.subscriber;
        let outputs = self.receiving.time(|| receive_frames(subscriber, frames))?;
        let staged = outputs.into_iter().find_map(|output| match output {
            Output::Stage(version) => Some(version),
            _ => None,
        });
        let version = staged.ok_or(MeasurementError::NotReached("the version is complete"))?;
        let text = &version.documents[documents::TEXT];
        let compiled_form = &version.documents[documents::COMPILED];
        let read = self.reading.time(|| compiled(documents::TEXT, text, compiled_form, &Anywhere));
        let operators = read.map_err(MeasurementError::rejected)?;
        for done in [Input::Staged(Ok(())), Input::Stored(Ok(())), Input::Committed] {
            subscriber.handle(2, done);
        }
        if subscriber.in_force().map(|version| &version.id) != Some(&version.id) {
            return Err(MeasurementError::NotReached("the version is in force"));
        }
        // The version before is dropped only now.
        self.operators = Some(operators);
        Ok(())
    }
}

/// Measures two versions, one after the other, so that the second replaces one in force. Times are the mean of both.
///
/// # Errors
///
/// Where a version is rejected or does not come into force.
pub fn receive(tenants: u64) -> Result<Vec<Figure>, MeasurementError> {
    let mut streams = Vec::new();
    let mut text_bytes = 0;
    for revision in 0..VERSIONS {
        let documents = documents::published(documents::text(tenants, u64::from(revision)))?;
        text_bytes = documents[documents::TEXT].len();
        streams.push(frames(Version::new(1, 1 + u64::from(revision), documents))?);
    }
    let (result, growth) = growth_of(|| {
        let (receiving, reading) = Default::default();
        let mut follower = Follower { subscriber: subscriber(), operators: None, receiving, reading };
        streams.iter().try_for_each(|frames| follower.follow(frames))?;
        Ok(follower)
    });
    let follower = result?;
    let (receiving, reading) = (follower.receiving.total() / VERSIONS, follower.reading.total() / VERSIONS);
    let mut figures = vec![
        Figure::megabytes("operators' text", text_bytes),
        Figure::megabytes("bytes in, whole version", streams[0].len()),
        Figure::milliseconds("processor, receiving", receiving),
        Figure::milliseconds("processor, reading the compiled form", reading),
        Figure::new(
            "processor, a whole version 2,000 times a day",
            Unit::PercentOfCore,
            (receiving + reading).as_secs_f64() / (SECONDS_A_DAY / CHANGES_A_DAY) * 100.0,
        ),
    ];
    if let Some(growth) = growth {
        figures.push(Figure::megabytes("memory, in force", growth.left));
        figures.push(Figure::megabytes("memory, at most while one replaces another", growth.peak));
    }
    Ok(figures)
}
