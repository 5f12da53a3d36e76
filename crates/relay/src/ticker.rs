//! One timer for all held polls.

use crate::state::State;
use std::sync::Arc;
use std::time::Duration;

/// The ticker looks no more often than this, however many polls end at times of their own.
const SHORTEST_TICK: Duration = Duration::from_millis(1);

/// Answers held polls when they are due, for as long as the relay runs.
pub async fn run(state: Arc<State>) {
    loop {
        let next = state.clock.instant(state.tick());
        tokio::time::sleep(SHORTEST_TICK).await;
        tokio::select! {
            () = tokio::time::sleep_until(next) => {}
            () = state.earlier.notified() => {}
        }
    }
}
