//! The listener: accepts connections and serves HTTP on them.

use crate::admission::{Admission, AdmissionOutcome, ConnectionPermit, RefusalPermit};
use crate::routes::Caller;
use axum::Router;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tower::ServiceExt;

/// The maximum number of connections that the system queues before they are accepted.
const LISTEN_BACKLOG: u32 = 4_096;
/// The maximum size of a request head.
const MAX_REQUEST_HEAD_BYTES: usize = 8 * 1024;
/// The timeout for receiving a request head, from the previous answer or from the start of the connection.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The TCP user timeout: a connection is closed if its client acknowledges no sent data for this long.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// The time for which a refused connection stays open for its client to close it.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time allowed for answers in progress during a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// The backoff after a failed accept, which happens when no file descriptor is free, for example.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// The body of the answer to a refused connection.
const REFUSAL_BODY: &str = "too many connections\n";

/// Binds a listener to an address.
///
/// # Errors
/// An error of the operating system, such as [`io::ErrorKind::AddrInUse`].
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves connections until `shutdown` becomes true, then waits for answers in progress for at most
/// `SHUTDOWN_TIMEOUT`.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    admission: Arc<Admission>,
    mut shutdown: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|requested| *requested) => break,
        };
        match accepted {
            Ok((stream, address)) => handle_connection(stream, address, &router, &admission, &graceful),
            Err(error) => {
                tracing::warn!(cause = %error, "can't accept a connection; retrying");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    if tokio::time::timeout(SHUTDOWN_TIMEOUT, graceful.shutdown()).await.is_err() {
        tracing::warn!("shutdown timeout exceeded; closing connections with answers in progress");
    }
}

fn handle_connection(
    stream: TcpStream,
    address: SocketAddr,
    router: &Router,
    admission: &Arc<Admission>,
    graceful: &GracefulShutdown,
) {
    match admission.admit(address.ip()) {
        AdmissionOutcome::Admitted(permit) => {
            let caller = Caller { address: address.ip().to_canonical() };
            serve_connection(stream, router.clone(), caller, permit, graceful);
        }
        AdmissionOutcome::Refused(permit) => drop(tokio::spawn(refuse(stream, permit))),
        AdmissionOutcome::Dropped => {}
    }
}

fn serve_connection(
    stream: TcpStream,
    router: Router,
    caller: Caller,
    permit: ConnectionPermit,
    graceful: &GracefulShutdown,
) {
    if let Err(error) = configure_socket(&stream) {
        return tracing::debug!(cause = %error, "can't set the socket options of a connection");
    }
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(caller);
        router.clone().oneshot(request)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .max_buf_size(MAX_REQUEST_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(cause = %error, "connection ended with an error");
        }
        drop(permit);
    });
}

fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(SEND_TIMEOUT))
}

/// Answers 503 and reads until the client closes: closing with unread bytes would reset the connection and discard the
/// answer.
async fn refuse(mut stream: TcpStream, permit: RefusalPermit) {
    let refusal = async {
        stream.write_all(refusal_answer(permit.retry_after_ms).as_bytes()).await?;
        stream.shutdown().await?;
        let mut discarded = [0; 1_024];
        while stream.read(&mut discarded).await? > 0 {}
        io::Result::Ok(())
    };
    // The connection is closed whether or not the client received the answer.
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, refusal).await;
    drop(permit);
}

fn refusal_answer(retry_after_ms: u64) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {}\r\nRetry-After-Ms: {retry_after_ms}\r\n\
         Content-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{REFUSAL_BODY}",
        retry_after_ms.div_ceil(1_000),
        REFUSAL_BODY.len(),
    )
}
