//! Accepts connections and serves HTTP on them.

use crate::admission::{Admission, Admitted, LobbyPlace, Place};
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

/// Connections that the system may hold before they are accepted.
const BACKLOG: u32 = 4_096;
/// The longest head of a request.
const LONGEST_HEAD: usize = 8 * 1024;
/// A head must be whole in this time, from the answer before it or from the connection's start on.
const HEAD_WITHIN: Duration = Duration::from_secs(30);
/// A connection whose other side takes nothing in this time is closed.
const UNSENT_FOR: Duration = Duration::from_secs(10);
/// How long the other side of a refused connection may take to close.
const REFUSED_WITHIN: Duration = Duration::from_secs(1);
/// How long open answers may take once the relay stops.
const STOPPED_WITHIN: Duration = Duration::from_secs(2);
/// The pause after an accept that failed, for want of descriptors for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const REFUSAL_TEXT: &str = "too many connections\n";

/// Listens on an address.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves connections until `stop` becomes true, then lets open answers end.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    admission: Arc<Admission>,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, address)) => open(stream, address, &router, &admission, &graceful),
            Err(e) => {
                tracing::warn!(cause = %e, "a connection is not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    if tokio::time::timeout(STOPPED_WITHIN, graceful.shutdown()).await.is_err() {
        tracing::warn!("connections are closed with answers under way");
    }
}

fn open(
    stream: TcpStream,
    address: SocketAddr,
    router: &Router,
    admission: &Arc<Admission>,
    graceful: &GracefulShutdown,
) {
    match admission.admit(address.ip()) {
        Admitted::Served(place) => {
            let caller = Caller { address: address.ip().to_canonical() };
            serve_connection(stream, router.clone(), caller, place, graceful);
        }
        Admitted::Refused(place) => drop(tokio::spawn(refuse(stream, place))),
        Admitted::Dropped => {}
    }
}

fn serve_connection(
    stream: TcpStream,
    router: Router,
    caller: Caller,
    place: Place,
    graceful: &GracefulShutdown,
) {
    if let Err(e) = prepare(&stream) {
        return tracing::debug!(cause = %e, "a connection is not usable");
    }
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(caller);
        router.clone().oneshot(request)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WITHIN)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!(cause = %e, "a connection ends");
        }
        drop(place);
    });
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNSENT_FOR))
}

/// Answers 503, and reads until the other side closes: a close with bytes unread would discard the answer.
async fn refuse(mut stream: TcpStream, place: LobbyPlace) {
    let refusal = async {
        stream.write_all(refusal_answer(place.retry_after_ms).as_bytes()).await?;
        stream.shutdown().await?;
        let mut unread = [0; 1_024];
        while stream.read(&mut unread).await? > 0 {}
        io::Result::Ok(())
    };
    // Whether it was heard or not, the connection ends here.
    let _ = tokio::time::timeout(REFUSED_WITHIN, refusal).await;
    drop(place);
}

fn refusal_answer(retry_after_ms: u64) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {}\r\nRetry-After-Ms: {retry_after_ms}\r\n\
         Content-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{REFUSAL_TEXT}",
        retry_after_ms.div_ceil(1_000),
        REFUSAL_TEXT.len(),
    )
}
