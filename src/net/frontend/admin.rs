//! Operators' calls: HTTP/1.1 on an address of their own, one call to a connection.
//!
//! Their connections are limited apart from those of clients. Incomplete calls can't use up that limit: where it is
//! reached, the connection that has waited longest for its call is ended.

mod call;
mod callers;
mod connection;

use crate::net::core::Core;
use crate::net::frontend::http::{Answer, Secret, rejection, status};
use crate::net::frontend::tls::Terms;
use crate::net::lifecycle::intents::{Intent, IntentStore};
use crate::net::{Defer, spawn, spawn_with_large_stack};
use call::{Call, ParsedCall, parse_call};
use callers::{CallerTable, SWEEP_INTERVAL};
use connection::CallConnection;
use may::net::{TcpListener, TcpStream};
use sagearch_identity::{Credentials, Presented, Reason};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The size of a read, in bytes.
const READ_BYTES: usize = 2 * 1024;
/// The pause after a failed `accept`, and between two checks whether there is capacity again.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// How often a failure of `accept` that lasts is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What the coroutines of all callers share.
struct Admin {
    core: Arc<Core>,
    /// Stores the operators' intents.
    keeper: IntentStore,
    callers: CallerTable,
}

/// Answers operators for ever.
pub fn listen(core: &Arc<Core>, listener: &TcpListener, keeper: IntentStore) {
    let admin = Arc::new(Admin { core: core.clone(), keeper, callers: CallerTable::default() });
    let swept = admin.clone();
    spawn(move || {
        loop {
            may::coroutine::sleep(SWEEP_INTERVAL);
            swept.callers.sweep();
        }
    });
    let mut last_logged = None;
    for number in 0.. {
        let stream = match listener.accept() {
            Ok((stream, _)) => Arc::new(stream),
            Err(e) => {
                if last_logged.is_none_or(|last: Instant| last.elapsed() > LOG_INTERVAL) {
                    last_logged = Some(Instant::now());
                    log::warn!("operators: accept: {e}");
                }
                may::coroutine::sleep(RETRY_DELAY);
                continue;
            }
        };
        admin.callers.insert(number, stream.clone());
        start_serving(&admin, number, stream);
        while admin.callers.is_over_limit() {
            admin.callers.sweep();
            may::coroutine::sleep(RETRY_DELAY);
        }
    }
}

/// Starts the coroutine that serves a caller, who is in the table under `number`.
fn start_serving(admin: &Arc<Admin>, number: u64, stream: Arc<TcpStream>) {
    let terms = admin.core.guard.version.snapshot().endpoints.admin.clone();
    let speaks_tls = terms.is_some();
    let admin = admin.clone();
    let work = move || {
        let removal = Defer(|| admin.callers.remove(number));
        if let Err(e) = admin.serve(number, &stream, terms.as_deref()) {
            log::debug!("operators: {e}");
        }
        drop(removal);
    };
    if speaks_tls { spawn_with_large_stack(work) } else { spawn(work) }
}

impl Admin {
    /// Reads one call, answers it, and ends the connection.
    fn serve(&self, number: u64, stream: &TcpStream, terms: Option<&Terms>) -> io::Result<()> {
        let connection = CallConnection::open(stream, terms)?;
        let mut chunk = [0; READ_BYTES];
        let Some(answer) = self.answer_next_call(&connection, &mut chunk)? else { return Ok(()) };
        self.callers.note_complete(number);
        connection.write(&[answer.head(true).as_bytes(), &answer.body].concat())?;
        connection.end(&mut chunk)
    }

    /// Reads a call, and returns its answer. `None`: the caller has closed the connection without a call.
    fn answer_next_call(&self, connection: &CallConnection, chunk: &mut [u8]) -> io::Result<Option<Answer>> {
        let mut buffer = Vec::new();
        loop {
            match parse_call(&buffer) {
                Ok(Some(parsed)) => return Ok(Some(self.answer(parsed, connection.presented()))),
                Ok(None) => {}
                Err(error) => return Ok(Some(error.answer())),
            }
            match connection.read(chunk)? {
                0 if buffer.is_empty() => return Ok(None),
                0 => return Ok(Some(Answer::new(status::REQUEST_TIMEOUT, Vec::new()))),
                read => buffer.extend_from_slice(&chunk[..read]),
            }
        }
    }

    /// The answer to a call, whoever the caller is. `certificate`: the one that the caller has presented.
    fn answer(&self, parsed: ParsedCall, certificate: Option<&Presented>) -> Answer {
        let bearer = parsed.bearer.as_ref().map(Secret::expose);
        match self.authorize(&parsed.call, Credentials { bearer, certificate }) {
            Ok(()) => self.execute(parsed.call),
            Err(reason) => rejection(reason),
        }
    }

    /// Checks the caller's rights. Everyone may ask whether the gateway is ready; the rest is for operators, if the
    /// operators' file names any.
    ///
    /// # Errors
    /// The caller is not identified, or has no right to the call.
    fn authorize(&self, call: &Call, credentials: Credentials) -> Result<(), Reason> {
        if *call == Call::Ready {
            return Ok(());
        }
        let Some(operator) = self.core.guard.admission.identify_operator(credentials)? else { return Ok(()) };
        match call {
            Call::Change(intent) if !operator.may_change => {
                tracing::warn!(operator = %operator.name, ?intent, "operators: no right to change");
                Err(Reason::RightMissing)
            }
            Call::Change(intent) => {
                tracing::info!(operator = %operator.name, ?intent, "operators: a change");
                Ok(())
            }
            Call::Ready | Call::Keys | Call::Metrics => Ok(()),
        }
    }

    /// Carries out a call of a caller who may make it.
    fn execute(&self, call: Call) -> Answer {
        match call {
            Call::Ready => match self.core.not_ready() {
                None => text_answer(status::OK, "ready"),
                Some(cause) => text_answer(status::SERVICE_UNAVAILABLE, cause),
            },
            Call::Keys => self.keys(),
            Call::Metrics => Answer::new(status::OK, self.core.guard.admission.metrics_text().into()),
            Call::Change(intent) => self.change(&intent),
        }
    }

    /// The keys of issuers, as JSON.
    fn keys(&self) -> Answer {
        match self.core.guard.version.report().map(|report| serde_json::to_vec(&report)) {
            Some(Ok(text)) => Answer::new(status::OK, text),
            Some(Err(e)) => text_answer(status::INTERNAL_SERVER_ERROR, &e.to_string()),
            None => text_answer(status::NOT_FOUND, "identity is off"),
        }
    }

    /// Stores an intent of the operators, and brings it into force.
    fn change(&self, intent: &Intent) -> Answer {
        if let Intent::TakeOut(id) | Intent::PutBack(id) = intent
            && !self.core.stores.knows(id)
            && !self.keeper.names(id)
        {
            return text_answer(status::NOT_FOUND, "no such store");
        }
        match self.keeper.amend(intent.clone()) {
            Ok(()) => text_answer(status::OK, "done"),
            Err(e) => {
                log::error!("{intent:?}: {e}");
                let text = "not stored; nothing has changed, or not for certain: call again";
                text_answer(status::INTERNAL_SERVER_ERROR, text)
            }
        }
    }
}

/// An answer with one line of text.
fn text_answer(status: u16, text: &str) -> Answer {
    Answer::new(status, format!("{text}\n").into())
}

#[cfg(test)]
mod tests;
