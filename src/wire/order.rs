//! Converts the router's actions to the simulator's orders.

use crate::interface::{Action, Fill, MemberId, Micros, RequestId};
use serde_json::{Value, json};

/// Bits of `Switches` in an order to fill.
const JOIN_BIT: u8 = 1;
const CACHED_ONLY_BIT: u8 = 2;
const BACKGROUND_REFRESH_BIT: u8 = 8;

/// Converts an action of a gateway's router to an order.
pub(super) fn order_from_action(gateway: u64, action: &Action) -> Value {
    match action {
        Action::Attempt { request, member, timeout, fill: None } => json!({"DISPATCH": {
            "GatewayId": gateway, "Corr": hex(*request), "Cache": member.0, "MaxWait": timeout}}),
        Action::Attempt { request, member, timeout, fill: Some(fill) } => {
            fill_order(gateway, *request, *member, *timeout, fill)
        }
        Action::Refuse { request, backoff } => json!({"PUSH_BACK": {
            "GatewayId": gateway, "Corr": hex(*request), "Backoff": backoff}}),
        Action::Fail { request } => json!({"SURRENDER": {"GatewayId": gateway, "Corr": hex(*request)}}),
        Action::Cancel { request, attempt } => json!({"CALL_OFF": {
            "GatewayId": gateway, "Corr": hex(*request), "SeqNo": attempt}}),
        Action::SetTimer { timer, after } => json!({"ARM": {
            "GatewayId": gateway, "Nonce": timer.0.to_string(), "FromNow": after}}),
    }
}

/// Builds the order for an attempt with fill options. Without a fill source, `Source` is the member itself.
fn fill_order(gateway: u64, request: RequestId, member: MemberId, timeout: Micros, fill: &Fill) -> Value {
    let bit_if = |is_set: bool, bit: u8| if is_set { bit } else { 0 };
    let switches = bit_if(fill.join, JOIN_BIT)
        | bit_if(fill.cached_only, CACHED_ONLY_BIT)
        | bit_if(fill.background_refresh, BACKGROUND_REFRESH_BIT);
    json!({"LOOK_AND_FILL": {
        "GatewayId": gateway, "Corr": hex(request), "Cache": member.0, "MaxWait": timeout,
        "CopyAge": fill.max_age, "Keep": fill.cache_rank, "Switches": switches,
        "Source": fill.source.unwrap_or(member).0}})
}

/// Builds the order that reports an internal error of the gateway.
pub(super) fn bug_order(gateway: u64, text: &str) -> Value {
    json!({"BUG": {"GatewayId": gateway, "Msg": text}})
}

fn hex(request: RequestId) -> String {
    format!("{:016x}", request.0)
}
