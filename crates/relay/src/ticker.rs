//! One timer for all held polls.

use crate::state::State;
use sagearch_feed::Micros;
use std::sync::Arc;
use std::time::Duration;

/// The ticker looks no more often than this, however many polls end at times of their own.
const SHORTEST_TICK: Duration = Duration::from_millis(1);

/// Answers held polls when they are due, for as long as the relay runs.
pub async fn run(state: Arc<State>) {
    loop {
        let next = state.tick();
        tokio::time::sleep(SHORTEST_TICK).await;
        tokio::select! {
            () = wait_until(&state, next) => {}
            () = state.earlier.notified() => {}
        }
    }
}

async fn wait_until(state: &State, next: Option<Micros>) {
    match next {
        Some(next) => tokio::time::sleep_until(state.clock.instant(next)).await,
        None => std::future::pending().await,
    }
}
