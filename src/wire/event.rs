//! Converts the simulator's messages to events of the router.

use super::error::MessageError;
use super::message::{Members, Message, Node, Response, WireRequest};
use crate::interface::{
    Detail, Event, ListKind, Load, Member, MemberId, MemberState, Micros, Outcome, Request, RequestId,
    TimerId,
};
use crate::settings::Names;

/// Converts a message to an event. `None` for a message that doesn't concern the router.
///
/// # Errors
///
/// [`MessageError`] if the message has an invalid value.
pub(super) fn event_from_message(names: &Names, message: Message) -> Result<Option<Event>, MessageError> {
    let event = match message {
        Message::Members(list) => return members_event(names, list),
        Message::Request(message) => Event::Request(request(names, message)?),
        Message::Flowing(message) => Event::Streaming { request: request_id(&message.corr)? },
        Message::Wake(wake) => match wake.nonce.parse() {
            Ok(timer) => Event::Timer(TimerId(timer)),
            Err(_) => return Ok(None),
        },
        Message::Response(response) => outcome_event(names, &response)?,
        Message::StruckOut(purge) => Event::Purged {
            object: purge.content_id.filter(|object| !object.is_empty()),
            group: purge.family_id.map(|group| group as u64),
            ago: purge.copy_age,
        },
        Message::Expired(message) => Event::Abandoned { request: request_id(&message.corr)? },
        Message::Attach(_) | Message::Halt(_) | Message::CheckResult(_) | Message::Peer(_) => {
            return Ok(None);
        }
    };
    Ok(Some(event))
}

fn request_id(corr: &str) -> Result<RequestId, MessageError> {
    let id = u64::from_str_radix(corr, 16);
    id.map(RequestId).map_err(|cause| MessageError::RequestId { id: corr.into(), cause })
}

/// Converts a member list. `None` for a list that reports a discovery error: the known members stay in use.
fn members_event(names: &Names, list: Members) -> Result<Option<Event>, MessageError> {
    let kind = match list.mode.as_str() {
        "Complete" | "Persisted" => ListKind::Complete,
        "Partial" => ListKind::Changes,
        "Error" => return Ok(None),
        _ => return Err(MessageError::ListMode(list.mode)),
    };
    let members = list.nodes_list.into_iter().map(|node| member(names, node));
    Ok(Some(Event::Members { kind, members: members.collect::<Result<_, _>>()? }))
}

fn member(names: &Names, node: Node) -> Result<Member, MessageError> {
    let state = match node.readiness.as_str() {
        "SERVING" => MemberState::Serving,
        "DRAINING" => MemberState::Draining,
        "DELETED" => MemberState::Gone,
        _ => return Err(MessageError::Readiness(node.readiness)),
    };
    Ok(Member {
        id: MemberId(node.cache),
        role: names.role(&node.family_type),
        zone: names.zones.get(&node.dc).copied(),
        cell: node.bay,
        weight: node.rating,
        started: Some(node.ready_at).filter(|started| *started > 0),
        state,
    })
}

fn request(names: &Names, message: WireRequest) -> Result<Request, MessageError> {
    Ok(Request {
        id: request_id(&message.corr)?,
        class: names.classes.get(&message.class).copied(),
        timeout: message.budget.max(0) as Micros,
        size_kb: message.size_kb,
        object: message.content_id,
        part: message.piece as u32,
        purge_group: message.purge_group.map(|group| group as u64),
        is_lookup: false,
    })
}

fn outcome_event(names: &Names, response: &Response) -> Result<Event, MessageError> {
    Ok(Event::Outcome {
        request: request_id(&response.corr)?,
        member: MemberId(response.cache),
        attempt: response.seq_no,
        outcome: outcome_from_code(&response.code),
        detail: detail_from_number(response.detail),
        elapsed: response.time_taken,
        finished: response.over,
        load: load_report(names, response.stats.as_deref()),
    })
}

/// Reads the load report of a response. The settings state which of its values are used.
fn load_report(names: &Names, stats: Option<&[Option<f64>]>) -> Load {
    let value = |index: Option<usize>| stats.and_then(|stats| stats.get(index?).copied().flatten());
    Load { inflight: value(names.load_report.in_flight), busy: value(names.load_report.busy) }
}

fn outcome_from_code(code: &str) -> Outcome {
    match code {
        "Ok" => Outcome::Served,
        "Failed" => Outcome::Failed,
        "QueueFull" => Outcome::Rejected,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::Unreachable,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Cancelled,
        "Ignored" => Outcome::NotSent,
        "Miss" => Outcome::Miss,
        _ => Outcome::Unknown,
    }
}

fn detail_from_number(number: u32) -> Detail {
    match number {
        1 => Detail::Hit,
        2 => Detail::Filled,
        3 => Detail::FilledByOrigin,
        4 => Detail::Joined,
        5 => Detail::Stale,
        6 => Detail::SourceRefused,
        7 => Detail::SourceLost,
        8 => Detail::SourceLacks,
        9 => Detail::NoFillPlace,
        10 => Detail::OriginFailed,
        _ => Detail::Unspecified,
    }
}
