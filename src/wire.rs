//! Translates between the simulator's JSON protocol and the router's interface. All decisions are the router's.
//!
//! - `message`: incoming messages; `event`: their conversion to events of the router;
//! - `order`: conversion of the router's actions to outgoing orders;
//! - `error`: why a batch is rejected.

mod error;
mod event;
mod message;
mod order;

pub use error::{MessageError, WireError};

use crate::Router;
use crate::interface::Micros;
use crate::settings::{self, Deployment, Names};
use event::event_from_message;
use message::{Attach, Batch, Message};
use order::{bug_order, order_from_action};
use serde_json::{Value, json};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// A simulated gateway.
struct Gateway {
    router: Router,
    names: Names,
}

/// The gateways of one adapter process, by id. They share no state.
#[derive(Default)]
pub struct Gateways(BTreeMap<u64, Gateway>);

impl Gateways {
    /// Handles a batch of messages, given as one line of JSON, and returns the orders as another line.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the line is not a batch, or one of its messages has an invalid value.
    pub fn answer(&mut self, line: &str) -> Result<String, WireError> {
        let Batch { now, serial, messages } = serde_json::from_str(line)?;
        let mut orders = Vec::new();
        for message in messages {
            let handled = self.handle(now, message, &mut orders);
            handled.map_err(|cause| WireError::Message { serial, cause })?;
        }
        Ok(json!({"serial": serial, "orders": orders}).to_string())
    }

    /// Handles a message. Messages to gateways that are not running are ignored.
    fn handle(&mut self, now: Micros, message: Message, orders: &mut Vec<Value>) -> Result<(), MessageError> {
        let id = message.gateway();
        let message = match message {
            Message::Attach(attach) => {
                orders.extend(self.attach(attach));
                return Ok(());
            }
            Message::Halt(_) => {
                self.0.remove(&id);
                return Ok(());
            }
            message => message,
        };
        let Some(gateway) = self.0.get_mut(&id) else { return Ok(()) };
        let Some(event) = event_from_message(&gateway.names, message)? else { return Ok(()) };
        let mut actions = Vec::new();
        let result = catch_unwind(AssertUnwindSafe(|| gateway.router.handle(now, event, &mut actions)));
        orders.extend(actions.iter().map(|action| order_from_action(id, action)));
        if let Err(cause) = result {
            orders.push(bug_order(id, &panic_text(cause.as_ref())));
        }
        Ok(())
    }

    /// Starts a gateway. If its settings are invalid, returns the order that reports the error.
    fn attach(&mut self, attach: Attach) -> Option<Value> {
        let id = attach.gateway_id;
        match settings::decode(attach.env) {
            Ok(Deployment { settings, names }) => {
                let seed = attach.entropy.as_u64().unwrap_or_default();
                self.0.insert(id, Gateway { router: Router::new(settings, seed), names });
                None
            }
            Err(error) => Some(bug_order(id, &error.to_string())),
        }
    }
}

/// Returns the message of a panic.
fn panic_text(cause: &(dyn Any + Send)) -> String {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    let text = text.or(cause.downcast_ref::<&str>().copied());
    format!("panic: {}", text.unwrap_or("without a message"))
}
