use super::*;

fn issuer(term: u64, region: u8, incarnation: u64) -> Issuer {
    Issuer { term, region, incarnation }
}

#[test]
fn counters_merged_repeatedly_count_each_issuer_once() {
    let (mut winner, mut loser) = (IssuedCounter::default(), IssuedCounter::default());
    winner.record(issuer(2, 0, 1), Amount::from_thousandths(500));
    loser.record(issuer(1, 1, 9), Amount::from_thousandths(300));
    loser.record(issuer(1, 1, 9), Amount::from_thousandths(200));
    for _ in 0..3 {
        winner.merge(&loser);
        loser.merge(&winner);
    }
    assert_eq!(
        (winner.total(), loser.total()),
        (Amount::from_thousandths(800), Amount::from_thousandths(800))
    );
}

#[test]
fn counter_with_many_issuers_stays_bounded_and_counts_folded_totals_once() {
    let mut counter = IssuedCounter::default();
    (0..1_000).for_each(|term| counter.record(issuer(term, 0, 0), Amount::from_thousandths(1)));
    (0..1_000).for_each(|term| counter.record(issuer(term, 0, 0), Amount::from_thousandths(1)));
    assert_eq!((counter.total(), counter.totals.len()), (Amount::from_thousandths(1_000), MAX_ISSUERS));
}
