//! The mailbox of a request, through which the broker, its timers and the store connections send messages to the
//! request's coroutine.

use crate::broker::{Verdict, Waiter};
use crate::net::lock;
use crate::net::upstream::store::{Reply, ReplyReceiver};
use may::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An attempt is written only if its client was seen to be connected within this time. Clients are checked more often,
/// unless the process was suspended.
const CLIENT_SEEN_TIMEOUT: Duration = Duration::from_millis(50);

/// A message to the coroutine of a request.
#[derive(Debug)]
pub enum Message {
    /// The broker has decided how the request continues.
    Verdict(Verdict),
    /// An attempt has ended.
    Reply {
        /// The number of the attempt.
        attempt: u32,
        /// How the attempt ended.
        reply: Reply,
    },
    /// The attempt with this number has timed out.
    Withdraw(u32),
    /// The request must check whether its client is still connected.
    CheckPresence,
}

/// The sending half of a request's mailbox. Sending never blocks, and has no effect once the request has ended.
#[derive(Clone)]
pub struct Mailbox {
    messages: mpsc::Sender<Message>,
    /// When the client was last seen to be connected; `None` if the request has no client that can disconnect.
    client_seen: Option<Arc<Mutex<Instant>>>,
}

impl Mailbox {
    /// Creates a mailbox and its receiving half. `has_client` states that the request has a client that can disconnect.
    pub(super) fn new(has_client: bool) -> (Mailbox, mpsc::Receiver<Message>) {
        let (messages, receiver) = mpsc::channel();
        let client_seen = has_client.then(|| Arc::new(Mutex::new(Instant::now())));
        (Mailbox { messages, client_seen }, receiver)
    }

    /// Records that the client was just seen to be connected.
    pub(super) fn record_client_seen(&self) {
        if let Some(seen) = &self.client_seen {
            *lock(seen) = Instant::now();
        }
    }

    /// Asks the request to check whether its client is still connected.
    pub(super) fn request_presence_check(&self) {
        let _ = self.messages.send(Message::CheckPresence);
    }
}

impl Waiter for Mailbox {
    fn deliver(&self, verdict: Verdict) {
        let _ = self.messages.send(Message::Verdict(verdict));
    }

    fn withdraw(&self, attempt: u32) {
        let _ = self.messages.send(Message::Withdraw(attempt));
    }
}

impl ReplyReceiver for Mailbox {
    fn reply(&self, attempt: u32, reply: Reply) {
        let _ = self.messages.send(Message::Reply { attempt, reply });
    }

    fn client_seen_recently(&self) -> bool {
        let Some(seen) = &self.client_seen else { return true };
        let seen_recently = lock(seen).elapsed() <= CLIENT_SEEN_TIMEOUT;
        if !seen_recently {
            self.request_presence_check();
        }
        seen_recently
    }
}
