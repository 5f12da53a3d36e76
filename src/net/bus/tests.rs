use super::*;
use rstest::rstest;

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiX", "hi", true, 1)]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
    "hi",
    true,
    0
)]
#[case::to_the_end("HTTP/1.0 200 OK\r\n\r\nhi", "hi", false, 0)]
#[case::closes("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", "hi", false, 0)]
fn answers_are_read_whole_in_single_bytes(
    #[case] text: &str,
    #[case] body: &str,
    #[case] keep: bool,
    #[case] left: usize,
) {
    struct Slow<'a>(&'a [u8]);
    impl Read for Slow<'_> {
        fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
            let Some((first, rest)) = self.0.split_first() else { return Ok(0) };
            (to[0], self.0) = (*first, rest);
            Ok(1)
        }
    }
    let mut stream = Slow(text.as_bytes());
    let got = answer(&mut stream, &mut Vec::new()).unwrap();
    assert_eq!((String::from_utf8(got.0).unwrap().as_str(), got.1, stream.0.len()), (body, keep, left));
}

#[rstest]
#[case::status("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")]
#[case::torn("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")]
#[case::no_http("yes\r\n\r\n")]
#[case::huge_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffff\r\n")]
fn bad_answers_are_errors(#[case] text: &str) {
    assert!(answer(&mut text.as_bytes(), &mut Vec::new()).is_err());
}

/// All gateways lose the bus in the same instant, by a refusal or by silence. At no time does a large part of them call at
/// once, and none calls late.
#[rstest]
#[case::refused(false)]
#[case::silent(true)]
fn a_fleet_does_not_come_back_to_the_bus_as_a_herd(#[case] silent: bool) {
    let mut calls: Vec<u128> = Vec::new();
    for gateway in 0..300_u64 {
        let mut pauses = Pauses::new(gateway.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut at = Duration::ZERO;
        // Those that are refused call again and again; the return falls into their longest pauses.
        for _ in 0..if silent { 1 } else { 50 } {
            let pause = if silent { pauses.silent() } else { pauses.again() };
            assert!(
                pause
                    <= Duration::from_millis(if silent {
                        HOLD_MS + 2 * SILENT_FOR_MS
                    } else {
                        AGAIN_LONGEST_MS
                    })
            );
            at += pause;
        }
        calls.push(at.as_millis());
    }
    calls.sort_unstable();
    let most =
        calls.iter().map(|from| calls.iter().filter(|at| (*from..from + 10).contains(at)).count()).max();
    assert!(most.unwrap() < 60, "{most:?} of 300 within 10 ms");
}
