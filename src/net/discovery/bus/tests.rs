use super::*;
use rstest::rstest;

/// All gateways lose the bus at the same instant, because it refuses connections or is silent. Guards against many
/// gateways that reconnect at once, and against pauses longer than the limits.
#[rstest]
#[case::refused(false)]
#[case::silent(true)]
fn reconnects_of_many_gateways_after_a_lost_bus_are_spread(#[case] silent: bool) {
    let mut reconnect_millis: Vec<u128> = Vec::new();
    for gateway in 0..300_u64 {
        let mut timing = PollTiming::new(gateway.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut elapsed = Duration::ZERO;
        // Refused gateways retry many times; the bus returns when their backoff is longest.
        for _ in 0..if silent { 1 } else { 50 } {
            let pause = if silent { timing.silence_timeout() } else { timing.backoff() };
            assert!(
                pause
                    <= Duration::from_millis(if silent {
                        POLL_HOLD_MILLIS + 2 * SILENCE_MARGIN_MILLIS
                    } else {
                        MAX_BACKOFF_MILLIS
                    })
            );
            elapsed += pause;
        }
        reconnect_millis.push(elapsed.as_millis());
    }
    reconnect_millis.sort_unstable();
    let max_within_window = reconnect_millis
        .iter()
        .map(|start| reconnect_millis.iter().filter(|at| (*start..start + 10).contains(at)).count())
        .max();
    assert!(max_within_window.unwrap() < 60, "{max_within_window:?} of 300 reconnects within 10 ms");
}
