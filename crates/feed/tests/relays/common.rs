//! Helpers shared by the relay tests.

use sagearch_feed::message::{Answer, Ban, FeedId, Head, Identity, Poll, RawEvent};
use sagearch_feed::relay::{PollReply, Relay, Session, Settings};
use sagearch_feed::subscription::AcceptedAnswer;
use sagearch_feed::{MILLISECOND, Micros};
use serde_json::{Map, Value, json};
use std::net::{IpAddr, Ipv4Addr};

pub const START: Micros = 1_000_000 * MILLISECOND;

pub fn feed(id: &str) -> Option<FeedId> {
    FeedId::new(id).ok()
}

pub fn event(offset: u64, topology: Option<Value>, ban: Option<Ban>) -> RawEvent {
    RawEvent { offset, topology, ban, other: Map::new() }
}

pub fn purge(offset: u64, tag: u64, ts: u64) -> RawEvent {
    event(offset, None, Some(Ban { tag: Some(tag), ts, ..Ban::default() }))
}

pub fn store(id: &str, lifecycle: &str) -> Value {
    json!({"instanceId": id, "lifecycle": lifecycle, "hostPort": "10.0.0.1:80", "weight": 1.5, "later": 1})
}

pub fn endpoint_list(offset: u64, reset: bool, instances: &[Value]) -> RawEvent {
    event(offset, Some(json!({"reset": reset, "instances": instances})), None)
}

pub fn answer(offset: u64, batch: Vec<RawEvent>) -> Answer {
    Answer { head: Head { offset, feed: feed("f"), age_ms: Some(0), snapshot: false }, batch }
}

/// Applies new events of an upstream answer that is current at `now`.
pub fn apply_new_events(relay: &mut Relay, now: Micros, offset: u64, batch: Vec<RawEvent>) {
    let accepted = AcceptedAnswer::NewEvents { after: relay.offset() };
    relay.apply_upstream_answer(now, Some(now), accepted, &answer(offset, batch)).unwrap();
}

pub fn new_relay(change_settings: impl FnOnce(&mut Settings)) -> Relay {
    let mut settings = Settings { drift_per_mille: 0, ..Settings::new("r1", vec![]) };
    change_settings(&mut settings);
    Relay::new(settings, START)
}

/// A relay that is current at [`START`], with one endpoint list as event 1.
pub fn ready_relay(change_settings: impl FnOnce(&mut Settings)) -> Relay {
    let mut relay = new_relay(change_settings);
    apply_new_events(&mut relay, START, 1, vec![endpoint_list(1, true, &[store("a", "up")])]);
    relay.tick(START);
    relay
}

pub fn identified_poll(name: &str, incarnation: u64, from: u64, hold_ms: u64) -> Poll {
    let identity = Some(Identity { name: name.to_owned(), incarnation });
    Poll { from, hold_ms, feed: feed("f"), identity }
}

pub fn address(host: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, host).into()
}

pub fn poll(relay: &mut Relay, now: Micros, session: u64, poll: &Poll) -> PollReply {
    relay.handle_poll(now, Session(session), address(1), poll)
}

pub fn decode(body: &[u8]) -> Answer {
    serde_json::from_slice(body).unwrap()
}

/// Decodes the answer to a poll that must be answered immediately.
pub fn immediate_answer(reply: PollReply) -> Answer {
    match reply {
        PollReply::Answer(body) => decode(&body),
        other => panic!("expected an immediate answer, got {other:?}"),
    }
}
