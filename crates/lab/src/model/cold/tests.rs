use super::*;
use rstest::rstest;

const RULE: ColdRule = ColdRule { floor: 0.2, warm_up: 10_000_000, multiple: 2.0, window: 1_000_000 };

#[rstest]
#[case(0, 0.2)]
#[case(5_000_000, 0.6)]
#[case(10_000_000, 1.0)]
#[case(60_000_000, 1.0)]
fn warmth_grows_evenly(#[case] age: Micros, #[case] warmth: f64) {
    assert!((RULE.warmth(age) - warmth).abs() < 1e-9);
}

/// When it falls under so many slots' worth of work each moment, at an age that stays.
fn falls(slots_of_work: f64, age: Micros) -> Option<Micros> {
    let (mut heat, step) = (Heat::default(), 1_000);
    (0..10_000)
        .map(|at| at * step)
        .find(|now| heat.comes(*now, age, (slots_of_work * step as f64).round() as Micros, 10, &RULE))
}

#[rstest]
// At 0.2 of ten slots it bears 2, and falls above 4.
#[case::just_under(3.99, 0, None)]
#[case::just_over(4.01, 0, Some(1_000_000))]
#[case::warmer(4.01, 1_000_000, None)]
#[case::over_when_warmer(5.7, 1_000_000, Some(1_000_000))]
#[case::warm(1_000.0, 10_000_000, None)]
fn it_falls_at_the_threshold_after_the_window(
    #[case] work: f64,
    #[case] age: Micros,
    #[case] when: Option<Micros>,
) {
    assert_eq!(falls(work, age), when);
}

#[test]
fn a_pause_in_what_comes_begins_the_window_anew() {
    let mut heat = Heat::default();
    let mut come = |from: u64, to: u64| (from..to).any(|at| heat.comes(at * 1_000, 0, 10_000, 10, &RULE));
    assert!(!come(0, 800));
    assert!(!come(1_300, 2_200));
    assert!(come(2_200, 2_500));
}
