//! Idle connections to gateways, which clients use again.

use super::Route;
use crate::harness::sync::lock;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Idle connections that are kept to one gateway.
const MAX_IDLE: usize = 64;
/// How long they are kept.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Idle connections by the clients that opened them and the gateway, each with the time since when.
#[derive(Default)]
pub(super) struct IdleConnections {
    by_route: Mutex<HashMap<Route, Vec<(Instant, TcpStream)>>>,
}

/// Whether the other end has neither closed a connection nor sent bytes that nobody asked for.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0; 1]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

impl IdleConnections {
    /// One that is still open.
    pub(super) fn take(&self, route: Route) -> Option<TcpStream> {
        let mut by_route = lock(&self.by_route);
        let idle = by_route.get_mut(&route)?;
        while let Some((since, stream)) = idle.pop() {
            if since.elapsed() < IDLE_TIMEOUT && is_open(&stream) {
                return Some(stream);
            }
        }
        None
    }

    /// Keeps one for later.
    pub(super) fn put(&self, route: Route, stream: TcpStream) {
        let mut by_route = lock(&self.by_route);
        let idle = by_route.entry(route).or_default();
        idle.retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
        if idle.len() < MAX_IDLE {
            idle.push((Instant::now(), stream));
        }
    }
}
