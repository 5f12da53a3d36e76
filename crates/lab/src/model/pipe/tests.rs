use super::*;

fn run(pipe: &mut Pipe, to: Micros) -> Vec<(u64, Micros)> {
    let mut ended = Vec::new();
    while let Some(due) = pipe.due().filter(|due| *due <= to) {
        ended.extend(pipe.ended(due).map(|id| (id, due)));
    }
    ended
}

#[test]
fn transfers_share_the_rate_evenly() {
    let mut pipe = Pipe::new(1_000_000);
    pipe.begin(0, 1, 100_000);
    pipe.begin(0, 2, 300_000);
    // Both have half until the first ends; then the second has all.
    assert_eq!(run(&mut pipe, 10_000_000), [(1, 200_000), (2, 400_000)]);
}

#[test]
fn one_that_comes_later_slows_the_others_from_then_on() {
    let mut pipe = Pipe::new(1_000_000);
    pipe.begin(0, 1, 100_000);
    pipe.begin(50_000, 2, 25_000);
    assert_eq!(run(&mut pipe, 10_000_000), [(2, 100_000), (1, 125_000)]);
}

#[test]
fn one_that_is_given_up_leaves_its_share_to_the_others() {
    let mut pipe = Pipe::new(1_000_000);
    pipe.begin(0, 1, 100_000);
    pipe.begin(0, 2, 100_000);
    pipe.give_up(100_000, 1);
    assert_eq!(run(&mut pipe, 10_000_000), [(2, 150_000)]);
    assert_eq!(pipe.transfers(), 0);
}

#[test]
fn a_full_link_passes_its_rate_and_no_more() {
    let mut pipe = Pipe::new(500_000);
    (0..200).for_each(|id| pipe.begin(id * 100, id, 10_000 + id * 37));
    let last = run(&mut pipe, Micros::MAX).last().unwrap().1;
    let should = pipe.sent() as f64 / 500_000.0 * 1e6;
    assert!((last as f64 / should - 1.0).abs() < 0.000_1, "{last} {should}");
}
