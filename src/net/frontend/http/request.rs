//! The path of a client's requests, from the first byte of its connection to the end.

use super::answer::{Answer, rejection, success, unavailable, write};
use super::parser::{Object, Parsed, ParsedRequest, RequestKind, Secret, parse};
use super::status;
use crate::interface::{Idempotency, Micros, Request, RequestId};
use crate::net::frontend::arrivals::Arrivals;
use crate::net::frontend::clients::{Clients, Connection, ConnectionState, READ_BYTES};
use crate::net::frontend::tls::{Secure, Terms};
use crate::net::io_error::set_nodelay;
use crate::net::service::{Client, IdUse, RequestEnd, Service, Work};
use crate::net::snapshot::Snapshot;
use may::net::TcpStream;
use sagearch_identity::{Caller, Credentials, Reason};
use std::fmt::Write;
use std::io;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interim answer to a client that waits for it before it sends a body (RFC 9110, section 15.2.1).
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Completes a client's TLS handshake, then serves its connection, which is in the table under `number`.
pub(super) fn serve_tls(
    service: &Arc<dyn Service>,
    table: &Clients,
    number: u64,
    stream: Arc<TcpStream>,
    terms: &Terms,
) -> io::Result<()> {
    let start = Instant::now();
    let secure = Secure::new(terms).map(Arc::new);
    let connection = table.connection(number, stream, secure.as_ref().ok().cloned());
    let secure = secure?;
    set_nodelay(&connection.stream);
    let handshake = secure.handshake(&connection.stream);
    let elapsed = start.elapsed();
    service.guard().metrics.handshake(handshake_outcome(&handshake, elapsed, terms), elapsed);
    handshake?;
    connection.set_state(ConnectionState::New);
    serve_connection(service, &connection)
}

/// The label under which a handshake is counted.
fn handshake_outcome(handshake: &io::Result<()>, elapsed: Duration, terms: &Terms) -> &'static str {
    match handshake {
        Ok(()) => "done",
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof && elapsed >= terms.within => "too_slow",
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => "left",
        Err(_) => "failed",
    }
}

/// Serves a connection's requests one after another, until one side closes it.
pub(super) fn serve_connection(service: &Arc<dyn Service>, connection: &Connection) -> io::Result<()> {
    set_nodelay(&connection.stream);
    let mut input = Input::new();
    loop {
        let flow = match parse(&input.bytes) {
            Ok(Parsed::Partial { missing, .. })
                if missing > 0 && !connection.reserve_body(input.bytes.len() + missing) =>
            {
                write(connection, &unavailable(None), true)?;
                return connection.end(&mut input.chunk);
            }
            Ok(Parsed::Partial { expects, missing }) => input.read_more(connection, expects, missing)?,
            Ok(Parsed::Complete(request)) => serve_request(service, connection, &mut input, request)?,
            Err(error) => {
                write(connection, &error.answer(), true)?;
                return connection.end(&mut input.chunk);
            }
        };
        if flow.is_break() {
            return Ok(());
        }
    }
}

/// What a client has sent and no request has used yet.
struct Input {
    bytes: Vec<u8>,
    /// When the bytes came.
    arrivals: Arrivals,
    /// The buffer of reads.
    chunk: [u8; READ_BYTES],
    /// The client has been told to send the body of the request that is being read.
    continue_sent: bool,
}

impl Input {
    fn new() -> Input {
        Input {
            bytes: Vec::new(),
            arrivals: Arrivals::default(),
            chunk: [0; READ_BYTES],
            continue_sent: false,
        }
    }

    /// Reads more of a request, of which so many bytes are known to be missing; `expects`: its client waits for
    /// [`CONTINUE`]. Breaks at the end of the connection.
    fn read_more(
        &mut self,
        connection: &Connection,
        expects: bool,
        missing: usize,
    ) -> io::Result<ControlFlow<()>> {
        if expects && !self.continue_sent {
            self.continue_sent = true;
            connection.send([CONTINUE, &[]])?;
            connection.set_state(ConnectionState::Receiving);
        }
        let read = connection.read(&mut self.chunk)?;
        if read == 0 {
            if !self.bytes.is_empty() {
                answer_timeout(connection, &mut self.chunk)?;
            }
            return Ok(ControlFlow::Break(()));
        }
        if self.bytes.is_empty() {
            connection.begin_request();
        }
        // A body takes no more memory than its length.
        if missing > 0 {
            self.bytes.reserve_exact(missing.max(read));
        }
        self.bytes.extend_from_slice(&self.chunk[..read]);
        self.arrivals.note(read, Instant::now());
        Ok(ControlFlow::Continue(()))
    }

    /// Takes out the bytes of a complete request, and returns when the last of them came.
    fn take_request(&mut self, bytes: usize) -> Instant {
        // Without the capacity that a large request needed.
        self.bytes = self.bytes.split_off(bytes);
        self.continue_sent = false;
        self.arrivals.take(bytes).unwrap_or_else(Instant::now)
    }
}

/// Answers 408 to a request that was not complete in time, and ends the connection.
fn answer_timeout(connection: &Connection, chunk: &mut [u8]) -> io::Result<()> {
    write(connection, &Answer::new(status::REQUEST_TIMEOUT, Vec::new()), true)?;
    connection.end(chunk)
}

/// Serves one complete request. Breaks where the connection ends with it.
fn serve_request(
    service: &Arc<dyn Service>,
    connection: &Connection,
    input: &mut Input,
    request: ParsedRequest,
) -> io::Result<ControlFlow<()>> {
    connection.count_step();
    let arrived = input.take_request(request.consumed);
    let open = service.count_open_request();
    // On a connection that was shut meanwhile no answer could get out, so the request is not served.
    match connection.take_request() {
        Ok(()) => {}
        Err(ConnectionState::Overdue) => {
            answer_timeout(connection, &mut input.chunk)?;
            return Ok(ControlFlow::Break(()));
        }
        Err(_) => {
            connection.discard_input(&mut input.chunk)?;
            return Ok(ControlFlow::Break(()));
        }
    }
    let Some(answer) = respond(service, connection, request.kind, arrived) else {
        return Ok(ControlFlow::Break(()));
    };
    // Checked only now: meanwhile the gateway may have begun to drain, and the certificate may be about to expire.
    let draining = certificate_expires_soon(service, connection) || service.connection_draining().is_some();
    // A request that has come behind this one is still answered before a draining connection ends.
    let has_left = draining && !connection.is_connected();
    let pipelined = connection.take_pipelined();
    let nothing_follows = input.bytes.is_empty() && pipelined.as_ref().is_none_or(Vec::is_empty);
    let close = !request.keep_alive || pipelined.is_none() || (draining && (nothing_follows || has_left));
    write(connection, &answer, close)?;
    drop(open);
    if close {
        connection.end(&mut input.chunk)?;
        return Ok(ControlFlow::Break(()));
    }
    input.bytes.extend(pipelined.unwrap_or_default());
    input.arrivals.append(connection.take_pipelined_arrivals());
    connection.release_buffers(input.bytes.len());
    let state = if input.bytes.is_empty() { ConnectionState::Idle } else { ConnectionState::Receiving };
    connection.set_state(state);
    Ok(ControlFlow::Continue(()))
}

/// Whether the client had better open a new connection, with a new certificate.
fn certificate_expires_soon(service: &Arc<dyn Service>, connection: &Connection) -> bool {
    connection.presented().is_some_and(|presented| service.guard().admission.expires_soon(presented))
}

/// The answer to a request whose last byte came at `arrived`. `None`: the client has left.
fn respond(
    service: &Arc<dyn Service>,
    connection: &Connection,
    kind: RequestKind,
    arrived: Instant,
) -> Option<Answer> {
    let mut object = match kind {
        // The platform asks here whether the gateway is to get clients.
        RequestKind::Live if service.is_drained() => {
            return Some(Answer::new(status::SERVICE_UNAVAILABLE, b"drained\n".into()));
        }
        RequestKind::Live => return Some(Answer::new(status::OK, b"live\n".into())),
        RequestKind::Object(object) => *object,
    };
    // The client's timeout counts from the last byte of its request, which may have waited behind another one.
    object.timeout = object.timeout.saturating_sub(arrived.elapsed().as_micros() as Micros);
    // The caller is admitted first: other answers could show which objects exist.
    let method = if object.is_write { "PUT" } else { "GET" };
    let bearer = object.bearer.as_ref().map(Secret::expose);
    let has_unreadable_certificate = || connection.secure.as_ref().is_some_and(|secure| secure.unreadable());
    if bearer.is_none() && has_unreadable_certificate() {
        return Some(rejection(Reason::CertificateUntrusted));
    }
    let credentials = Credentials { bearer, certificate: connection.presented() };
    let (snapshot, admitted) =
        service.guard().admission.admit(credentials, &object.pull.class, method, &object.pull.object);
    let mut answer = match admitted {
        Ok(caller) => serve_object(service, connection, object, &snapshot, &caller)?,
        Err(reason) => rejection(reason),
    };
    service.guard().admission.count(status::is_error(answer.status));
    if snapshot.shows_version {
        // Writing to a string never fails.
        let _ = write!(answer.fields, "Config-Version: {}\r\n", snapshot.version);
    }
    Some(answer)
}

/// The answer to the request of a caller who is admitted. `None`: the client has left.
fn serve_object(
    service: &Arc<dyn Service>,
    connection: &Connection,
    object: Object,
    snapshot: &Snapshot,
    caller: &Arc<Caller>,
) -> Option<Answer> {
    let class = match find_class(&object, snapshot) {
        Ok(class) => class,
        Err(answer) => return Some(answer),
    };
    let idempotent = snapshot.deployment.settings.classes[class].idempotency == Idempotency::Idempotent;
    let taking_id = Instant::now();
    match service.take_request_id(object.id, idempotent) {
        IdUse::New => {}
        IdUse::Open => return Some(Answer::new(status::BAD_GATEWAY, Vec::new())),
        IdUse::Used => return Some(Answer::new(status::CONFLICT, b"Req-Id has been used\n".into())),
        IdUse::Unknown => return Some(unavailable(None)),
    }
    let timeout = object.timeout.saturating_sub(taking_id.elapsed().as_micros() as Micros);
    let request = Request {
        id: RequestId(object.id),
        class: Some(class),
        // A request that comes late, to a process that is about to exit, gets the time that is left.
        timeout: timeout.min(service.remaining_time()),
        size_kb: object.size_kb,
        object: object.pull.object.clone(),
        part: object.part,
        purge_group: object.purge_group,
        is_lookup: false,
    };
    let end = service.execute(request, caller, &Work::Pull(Arc::new(object.pull)), Some(connection));
    if service.guard().version.requires_admission() {
        record_end(&**service, caller, object.id, &end);
    }
    if matches!(end, RequestEnd::Gone { attempted: false }) {
        service.release_request_id(object.id, idempotent);
    }
    match end {
        RequestEnd::Served(reply) => Some(success(reply)),
        RequestEnd::Refused(backoff) => Some(unavailable(backoff)),
        RequestEnd::Failed | RequestEnd::Checked(_) => Some(Answer::new(status::BAD_GATEWAY, Vec::new())),
        RequestEnd::Gone { .. } => None,
    }
}

/// The index of the class of a request's object, or the answer where the class does not allow the request.
fn find_class(object: &Object, snapshot: &Snapshot) -> Result<usize, Answer> {
    let deployment = &snapshot.deployment;
    let class = deployment.names.classes.get(&object.pull.class).copied();
    let settings = class.and_then(|class| deployment.settings.classes.get(class));
    let (Some(class), Some(settings)) = (class, settings) else {
        return Err(Answer::new(status::NOT_FOUND, b"no such class\n".into()));
    };
    if object.is_write != settings.uncacheable {
        let body = b"PUT is for classes that write, GET for others\n";
        return Err(Answer::new(status::METHOD_NOT_ALLOWED, body.into()));
    }
    // Without its idempotency key, a repeat could not be told from a new request where it runs.
    if matches!(settings.idempotency, Idempotency::Keyed { .. }) && object.pull.token.is_none() {
        return Err(Answer::new(status::BAD_REQUEST, b"Req-Token is missing\n".into()));
    }
    Ok(class)
}

/// Counts and logs for whom a request was served, and how it ended.
fn record_end(service: &dyn Service, caller: &Caller, id: u64, end: &RequestEnd) {
    let end = end.label();
    service.guard().metrics.ended(caller, end);
    tracing::debug!(
        request = %format_args!("{id:016x}"),
        tenant = %caller.tenant,
        principal = ?caller.principal,
        end,
        "request"
    );
}
