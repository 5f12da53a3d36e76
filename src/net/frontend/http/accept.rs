//! Accepts clients. Failures of `accept` are retried, a full table rejects with an answer, and an idle client is evicted
//! only for a shortage of descriptors that lasts.

use super::answer::{unavailable, write};
use super::parser::is_head_incomplete;
use super::request::{serve_connection, serve_tls};
use crate::net::frontend::clients::{
    Clients, Connection, ConnectionState, IDLE_TIMEOUT, READ_BYTES, SHORT_PAUSE,
};
use crate::net::frontend::tls::{Secure, Terms};
use crate::net::io_error::{Call, Failure, Resource, retry_option, set_nodelay};
use crate::net::lifecycle::handover;
use crate::net::service::Service;
use crate::net::{Defer, Permit, descriptors, spawn, spawn_with_large_stack};
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use std::io;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The longest pause before `accept` is retried; the first is a [`SHORT_PAUSE`].
const MAX_BACKOFF: Duration = Duration::from_millis(10);
/// How often failures that pass by themselves are retried without a pause.
const IMMEDIATE_RETRIES: u32 = 4;
/// A shortage of descriptors counts as real after this many failures in a row that another system call confirmed.
const CONFIRMED_FAILURES: u32 = 3;
/// It also counts as real after this many failures in a row, whether they were confirmed or not.
const UNCONFIRMED_FAILURES: u32 = 10;
/// How long a connection waits until it can be rejected. Those behind it wait in the queue of the listening socket.
const MAX_REJECTION_WAIT: Duration = Duration::from_secs(1);

/// Accepts clients until another process takes over the listening socket.
pub fn listen(service: &Arc<dyn Service>, listener: &TcpListener, clients: &Arc<Clients>) {
    let (mut failures, mut full_warning) = (AcceptFailures::default(), RareWarning::default());
    while !service.is_handed_over() {
        match accept(listener) {
            Ok(stream) => {
                failures.clear();
                admit(service, clients, &Arc::new(stream), &mut full_warning);
            }
            // A blocking `accept` is not used: where another process accepts at the same socket, this one could wait in
            // it until after it has handed over, and take a client that it must not take any more.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                listener.wait_io();
            }
            Err(e) => failures.handle(&e, clients),
        }
    }
}

fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.inner().accept()?;
    retry_option(|| stream.set_nonblocking(true))?;
    // The library panics where it can't register a descriptor for events: that must not end the listener.
    let registered = catch_unwind(move || handover::coroutine_stream(stream));
    registered.map_err(|_| io::Error::from_raw_os_error(libc::ENOMEM))
}

/// A warning that is logged once in a while, not at each occurrence.
#[derive(Default)]
struct RareWarning {
    last_logged: Option<Instant>,
}

impl RareWarning {
    fn is_due(&mut self) -> bool {
        let due = self.last_logged.is_none_or(|last| last.elapsed() > IDLE_TIMEOUT);
        if due {
            self.last_logged = Some(Instant::now());
        }
        due
    }
}

/// Failures of `accept` in a row.
#[derive(Default)]
struct AcceptFailures {
    in_a_row: u32,
    /// How many of the last ones were for want of descriptors.
    descriptors: u32,
    /// How many of those another system call confirmed.
    confirmed: u32,
    warning: RareWarning,
}

impl AcceptFailures {
    fn clear(&mut self) {
        (self.in_a_row, self.descriptors, self.confirmed) = (0, 0, 0);
    }

    /// Waits before the next attempt, and evicts a client where the shortage of descriptors is real.
    fn handle(&mut self, error: &io::Error, clients: &Clients) {
        self.in_a_row += 1;
        let failure = Failure::of(Call::Accept, error);
        if failure == Failure::LocalShortage(Resource::Descriptors) {
            self.handle_descriptor_shortage(clients);
        } else {
            // Any other failure shows that there was a descriptor.
            (self.descriptors, self.confirmed) = (0, 0);
            if failure != Failure::Transient || self.in_a_row > IMMEDIATE_RETRIES {
                may::coroutine::sleep(self.backoff());
            }
        }
        if self.in_a_row > IMMEDIATE_RETRIES && self.warning.is_due() {
            log::warn!("accept: {error}");
        }
    }

    fn handle_descriptor_shortage(&mut self, clients: &Clients) {
        self.descriptors += 1;
        self.confirmed += u32::from(descriptors::is_socket_unavailable());
        let real = self.confirmed >= CONFIRMED_FAILURES || self.descriptors >= UNCONFIRMED_FAILURES;
        if !real {
            return may::coroutine::sleep(SHORT_PAUSE);
        }
        (self.descriptors, self.confirmed) = (0, 0);
        // The pause lets the coroutine of the evicted client run, which closes its descriptor.
        may::coroutine::sleep(if clients.evict_for_descriptor() { SHORT_PAUSE } else { MAX_BACKOFF });
    }

    /// Grows with each failure.
    fn backoff(&self) -> Duration {
        (SHORT_PAUSE * self.in_a_row).min(MAX_BACKOFF)
    }
}

/// Serves a new connection. Where the table is full it is rejected with an answer, as soon as few enough others are being
/// rejected: closed at once, with its request unread, it would be reset.
fn admit(
    service: &Arc<dyn Service>,
    clients: &Arc<Clients>,
    stream: &Arc<TcpStream>,
    full_warning: &mut RareWarning,
) {
    let snapshot = service.snapshot();
    clients.set_limit(snapshot.limits.and_then(|limits| limits.clients));
    let terms = snapshot.endpoints.clients.clone();
    let accepted_at = Instant::now();
    loop {
        if clients.ensure_capacity(terms.as_ref().map(|terms| terms.handshakes)) {
            return serve(service, clients, stream.clone(), terms);
        }
        if full_warning.is_due() {
            log::warn!("{} clients have requests open: more are refused", clients.limit());
        }
        if let Some(permit) = Permit::take(&clients.rejecting, clients.max_rejecting) {
            return reject(clients, stream.clone(), terms, permit);
        }
        // With TLS the client has sent no request yet that a reset could hit, so it is closed without waiting.
        if terms.is_some() || accepted_at.elapsed() > MAX_REJECTION_WAIT {
            return;
        }
        may::coroutine::sleep(SHORT_PAUSE);
    }
}

/// Starts the coroutine that serves a connection.
fn serve(
    service: &Arc<dyn Service>,
    clients: &Arc<Clients>,
    stream: Arc<TcpStream>,
    terms: Option<Arc<Terms>>,
) {
    let state =
        terms.as_ref().map_or(ConnectionState::New, |terms| ConnectionState::Handshaking(terms.within));
    let number = clients.insert(stream.clone(), state);
    let (service, table, removal_table) = (service.clone(), clients.clone(), clients.clone());
    // Also where the coroutine panics, or is not even started.
    let removal = Defer(move || removal_table.remove(number));
    match terms {
        None => spawn(move || {
            let _removal = removal;
            log_error(serve_connection(&service, &table.connection(number, stream, None)));
        }),
        Some(terms) => spawn_with_large_stack(move || {
            let _removal = removal;
            log_error(serve_tls(&service, &table, number, stream, &terms));
        }),
    }
    if clients.connected() >= clients.limit() {
        // The pause lets the coroutine of an evicted client run, which closes its descriptor.
        may::coroutine::sleep(SHORT_PAUSE);
    }
}

fn log_error(result: io::Result<()>) {
    if let Err(e) = result {
        log::debug!("client: {e}");
    }
}

/// Starts the coroutine that tells a client that the table is full.
fn reject(clients: &Arc<Clients>, stream: Arc<TcpStream>, terms: Option<Arc<Terms>>, permit: Permit) {
    let table = clients.clone();
    match terms {
        None => spawn(move || {
            let _permit = permit;
            log_error(answer_full(&table.open(stream, ConnectionState::Rejected)));
        }),
        Some(terms) => spawn_with_large_stack(move || {
            let _permit = permit;
            log_error(reject_securely(&table, stream, &terms));
        }),
    }
}

/// Rejects a client after its TLS handshake.
fn reject_securely(table: &Clients, stream: Arc<TcpStream>, terms: &Terms) -> io::Result<()> {
    let number = table.insert(stream.clone(), ConnectionState::Handshaking(terms.within));
    let secure = Secure::new(terms).map(Arc::new);
    let connection = table.connection(number, stream, secure.as_ref().ok().cloned());
    secure?.handshake(&connection.stream)?;
    connection.set_state(ConnectionState::Rejected);
    answer_full(&connection)
}

/// Reads the request's head, or the part of it that comes in a short time, and answers that the table is full. A body is
/// discarded behind the answer.
fn answer_full(connection: &Connection) -> io::Result<()> {
    set_nodelay(&connection.stream);
    let (mut buffer, mut chunk) = (Vec::new(), [0; READ_BYTES]);
    while is_head_incomplete(&buffer) {
        let read = connection.read(&mut chunk)?;
        if read == 0 {
            break;
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
    write(connection, &unavailable(None), true)?;
    connection.end(&mut chunk)
}

#[cfg(test)]
mod tests;
