use super::*;

#[test]
fn missing_majority_after_the_grace_is_reported_once_and_so_is_its_return() {
    let mut monitor = MajorityMonitor::default();
    assert_eq!(monitor.update(10, true, 30), None);
    assert_eq!(monitor.update(39, true, 30), None);
    assert_eq!(monitor.update(40, true, 30), Some(MajorityChange::Lost));
    assert_eq!(monitor.update(90, true, 30), None);
    assert_eq!(monitor.update(91, false, 30), Some(MajorityChange::Regained));
    assert_eq!(monitor.update(92, false, 30), None);
}

#[test]
fn majority_regained_within_the_grace_is_not_reported() {
    let mut monitor = MajorityMonitor::default();
    assert_eq!(monitor.update(10, true, 30), None);
    assert_eq!(monitor.update(20, false, 30), None);
    assert_eq!(monitor.update(40, true, 30), None, "the grace period starts again");
}
