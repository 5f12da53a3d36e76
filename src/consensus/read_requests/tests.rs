use super::*;

#[test]
fn request_is_due_at_each_interval() {
    let (start, mut requests) = (Instant::now(), ReadRequests::new(1, 2));
    assert!(requests.next(start).is_some());
    assert!(requests.next(start + INTERVAL / 2).is_none());
    assert!(requests.next(start + INTERVAL).is_some());
}

/// Guards against a lease that runs from the answer, and against one that an old or foreign answer renews.
#[test]
fn answer_yields_the_time_of_its_own_request_and_only_once() {
    let (start, mut requests) = (Instant::now(), ReadRequests::new(1, 2));
    let contexts: Vec<Vec<u8>> = (0..3).map(|at| requests.next(start + INTERVAL * at).unwrap()).collect();
    assert_eq!(requests.answered(&contexts[1]), Some(start + INTERVAL));
    assert_eq!((requests.answered(&contexts[1]), requests.answered(&contexts[0])), (None, None));
    assert_eq!(requests.answered(&contexts[2]), Some(start + INTERVAL * 2));
    let of_an_earlier_process = ReadRequests::new(1, 3).next(start).unwrap();
    assert_eq!(requests.answered(&of_an_earlier_process), None);
}

#[test]
fn oldest_of_too_many_unanswered_requests_is_given_up() {
    let (start, mut requests) = (Instant::now(), ReadRequests::new(1, 2));
    let contexts: Vec<Vec<u8>> =
        (0..=MAX_OPEN as u32).map(|at| requests.next(start + INTERVAL * at).unwrap()).collect();
    assert_eq!(requests.answered(&contexts[0]), None);
    assert_eq!(requests.answered(&contexts[1]), Some(start + INTERVAL));
}
