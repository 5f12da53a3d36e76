//! The ticker: one timer for all pending polls.

use crate::state::State;
use sagearch_feed::Micros;
use std::sync::Arc;
use std::time::Duration;

/// The shortest time between two ticks, which bounds their rate when many polls are due at different times.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Answers pending polls when they are due, for as long as the relay runs.
pub async fn run(state: Arc<State>) {
    loop {
        let next_tick = state.tick();
        tokio::time::sleep(MIN_TICK_INTERVAL).await;
        tokio::select! {
            () = sleep_until(&state, next_tick) => {}
            () = state.ticker_wakeup.notified() => {}
        }
    }
}

async fn sleep_until(state: &State, next_tick: Option<Micros>) {
    match next_tick {
        Some(next_tick) => tokio::time::sleep_until(state.clock.instant(next_tick)).await,
        None => std::future::pending().await,
    }
}
