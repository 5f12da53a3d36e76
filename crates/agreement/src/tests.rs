use super::*;
use rstest::rstest;

const TIMING: Timing =
    Timing { lease: Duration::from_secs(1), activation_delay: Duration::from_millis(1_100) };

/// Instants of one clock, in milliseconds from an arbitrary start.
struct Clock(Instant);

impl Clock {
    fn new() -> Clock {
        Clock(Instant::now())
    }

    fn at(&self, millis: u64) -> Instant {
        self.0 + Duration::from_millis(millis)
    }
}

fn in_force(agreement: &mut Agreement<u32>, now: Instant) -> Result<Vec<Document<u32>>, Doubt> {
    agreement.documents_in_force(now).map(|documents| documents.copied().collect())
}

/// An instance that has applied and confirmed these documents long ago.
fn settled(clock: &Clock, documents: &[u32]) -> Agreement<u32> {
    let mut agreement = Agreement::new(TIMING);
    for document in documents {
        agreement.commit(*document, clock.at(0));
    }
    agreement.apply(10);
    agreement.confirm(clock.at(5_000), 10);
    agreement
}

#[test]
fn instance_that_starts_acts_on_nothing_before_it_is_confirmed() {
    let clock = Clock::new();
    let mut agreement: Agreement<u32> = Agreement::new(TIMING);
    assert_eq!(in_force(&mut agreement, clock.at(0)), Err(Doubt::NoLease));
    agreement.confirm(clock.at(10), 0);
    assert_eq!(in_force(&mut agreement, clock.at(20)), Ok(vec![Document::Initial]));
}

#[test]
fn lease_runs_from_the_request_and_is_renewed_by_later_requests_alone() {
    let clock = Clock::new();
    let mut agreement = settled(&clock, &[1]);
    assert_eq!(in_force(&mut agreement, clock.at(5_999)), Ok(vec![Document::Committed(1)]));
    assert_eq!(in_force(&mut agreement, clock.at(6_000)), Err(Doubt::NoLease));
    agreement.confirm(clock.at(4_000), 10);
    assert_eq!(in_force(&mut agreement, clock.at(5_999)), Ok(vec![Document::Committed(1)]));
    assert_eq!(in_force(&mut agreement, clock.at(6_000)), Err(Doubt::NoLease));
    agreement.confirm(clock.at(5_500), 10);
    assert_eq!(in_force(&mut agreement, clock.at(6_499)), Ok(vec![Document::Committed(1)]));
    assert_eq!(in_force(&mut agreement, clock.at(6_500)), Err(Doubt::NoLease));
}

#[test]
fn instance_that_is_behind_acts_on_nothing_until_it_has_caught_up() {
    let clock = Clock::new();
    let mut agreement = settled(&clock, &[1]);
    agreement.confirm(clock.at(5_100), 12);
    agreement.apply(11);
    assert_eq!(in_force(&mut agreement, clock.at(5_200)), Err(Doubt::Behind));
    agreement.commit(2, clock.at(5_200));
    agreement.apply(12);
    let both = vec![Document::Committed(1), Document::Committed(2)];
    assert_eq!(in_force(&mut agreement, clock.at(5_200)), Ok(both));
}

#[test]
fn new_document_is_alone_in_force_after_the_activation_delay() {
    let clock = Clock::new();
    let mut agreement = settled(&clock, &[1]);
    agreement.commit(2, clock.at(5_000));
    agreement.commit(3, clock.at(5_500));
    agreement.confirm(clock.at(6_500), 10);
    let expected = |documents: &[u32]| Ok(documents.iter().map(|at| Document::Committed(*at)).collect());
    assert_eq!(in_force(&mut agreement, clock.at(6_099)), expected(&[1, 2, 3]));
    assert_eq!(in_force(&mut agreement, clock.at(6_100)), expected(&[2, 3]));
    assert_eq!(in_force(&mut agreement, clock.at(6_599)), expected(&[2, 3]));
    assert_eq!(in_force(&mut agreement, clock.at(6_600)), expected(&[3]));
}

/// Guards against memory that grows with the number of documents, and against a forgotten document that others act on.
#[rstest]
#[case::at_the_bound(MAX_DOCUMENTS as u32 - 1, Document::Initial)]
#[case::beyond(MAX_DOCUMENTS as u32, Document::Unknown)]
#[case::far_beyond(1_000, Document::Unknown)]
fn oldest_of_too_many_documents_is_unknown(#[case] count: u32, #[case] oldest: Document<u32>) {
    let clock = Clock::new();
    let mut agreement = Agreement::new(TIMING);
    for document in 1..=count {
        agreement.commit(document, clock.at(100));
    }
    agreement.confirm(clock.at(200), 0);
    let documents = in_force(&mut agreement, clock.at(200)).unwrap();
    assert_eq!(documents.len(), MAX_DOCUMENTS);
    assert_eq!((documents[0], documents[MAX_DOCUMENTS - 1]), (oldest, Document::Committed(count)));
    agreement.confirm(clock.at(1_100), 0);
    assert_eq!(in_force(&mut agreement, clock.at(1_200)), Ok(vec![Document::Committed(count)]));
}
