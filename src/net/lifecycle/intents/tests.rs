use super::model::{BACK_RETENTION, Moment, SinceBoot};
use super::stored::IntentsFile;
use super::worker::{LAST_ATTEMPT_AFTER, store_with_retry};
use super::*;
use crate::faulty_file_system::*;
use rstest::rstest;
use sagearch_folder::Folder;
use std::fs;
use std::time::{Duration, Instant};

const RETENTION_MS: u64 = BACK_RETENTION.as_millis() as u64;
const HOUR_MS: u64 = 3_600_000;
const FILE_NAME: &str = "sagearch-n.json";

fn at(unix_ms: u64) -> Moment {
    Moment { unix_ms, since_boot: None }
}

fn since_boot(unix_ms: u64, boot: &str, micros: u64) -> Moment {
    Moment { unix_ms, since_boot: Some(SinceBoot { boot: boot.into(), micros }) }
}

fn take_out() -> Intent {
    Intent::TakeOut("s-1".into())
}

fn put_back() -> Intent {
    Intent::PutBack("s-1".into())
}

/// Intents with an endpoint that was put back at this moment.
fn returned(moment: &Moment) -> Intents {
    let mut intents = Intents::default();
    intents.amend(&take_out(), moment);
    intents.amend(&put_back(), moment);
    intents
}

fn stored_in(temporary: &Temporary) -> Option<Intents> {
    IntentsFile::on(&Folder::new(&temporary.0), "n").load_at_start().unwrap()
}

#[test]
fn endpoint_taken_out_twice_is_put_back_by_one_intent() {
    let mut intents = Intents::default();
    for intent in [take_out(), take_out(), put_back()] {
        intents.amend(&intent, &at(5));
    }
    assert_eq!((intents.out.len(), intents.back["s-1"]), (0, 5));
    intents.amend(&put_back(), &at(9));
    assert_eq!(intents.back["s-1"], 5, "an endpoint that was in service keeps its time");
    intents.amend(&Intent::Drain(true), &at(6 + RETENTION_MS));
    assert!(intents.drained && intents.back.is_empty());
}

#[rstest]
#[case::no_step(since_boot(HOUR_MS + 2_000, "b", 12_000_000), 2_000)]
#[case::stepped_forward(since_boot(2 * HOUR_MS, "b", 12_000_000), 2_000)]
#[case::stepped_back(since_boot(5, "b", 12_000_000), 2_000)]
#[case::other_boot(since_boot(HOUR_MS + 3_000, "c", 1_000_000), 3_000)]
#[case::other_boot_and_stepped_back(since_boot(5, "c", 1_000_000), 0)]
#[case::other_boot_and_stepped_forward(since_boot(9 * HOUR_MS, "c", 1_000_000), RETENTION_MS)]
#[case::no_boot_known(at(HOUR_MS + 4_000), 4_000)]
#[case::monotonic_clock_behind(since_boot(HOUR_MS + 5_000, "b", 9_000_000), 5_000)]
fn age_is_monotonic_within_a_boot_and_bounded_otherwise(#[case] now: Moment, #[case] want_ms: u64) {
    let intents = returned(&since_boot(HOUR_MS, "b", 10_000_000));
    assert_eq!(intents.age("s-1", &now), Duration::from_millis(want_ms));
}

/// After a step of the wall clock, an amendment restates the stored times by the new clock, since older versions read only
/// the wall clock's times.
#[test]
fn stored_times_are_restated_after_a_step_of_the_wall_clock() {
    let mut intents = returned(&since_boot(HOUR_MS, "b", 10_000_000));
    intents.amend(&Intent::Drain(true), &since_boot(2 * HOUR_MS, "b", 12_000_000));
    assert_eq!(intents.back["s-1"], 2 * HOUR_MS - 2_000);
    // Stepped back, and written by a version that knows only the wall clock: no restated time lies in the future.
    let mut older = returned(&at(2 * HOUR_MS));
    older.amend(&Intent::Drain(true), &since_boot(HOUR_MS, "b", 10_000_000));
    assert_eq!(older.back["s-1"], HOUR_MS);
    assert_eq!(older.age("s-1", &since_boot(9 * HOUR_MS, "b", 11_000_000)), Duration::from_secs(1));
}

#[test]
fn file_is_read_by_older_and_newer_versions() {
    let old = r#"{"out":["s-2"],"back":{"s-1":3600000},"drained":true}"#;
    let read: Intents = serde_json::from_str(old).unwrap();
    assert_eq!(read.age("s-1", &at(HOUR_MS + 7)), Duration::from_millis(7));
    assert_eq!(serde_json::to_string(&read).unwrap(), old);
    // An older version finds its three keys and ignores the unknown one.
    let new = serde_json::to_value(returned(&since_boot(HOUR_MS, "b", 10_000_000))).unwrap();
    assert_eq!((&new["back"]["s-1"], &new["drained"]), (&HOUR_MS.into(), &false.into()));
    assert!(new["out"].is_array());
}

#[rstest]
fn intent_that_is_not_stored_is_not_in_force_and_is_stored_once_the_disk_recovers(
    #[values(Call::Read, Call::CreateNew, Call::Write, Call::Sync, Call::Rename, Call::SyncFolder)]
    call: Call,
    #[values(ENOSPC, EIO)] errno: i32,
) {
    let (temporary, faults) = (Temporary::new("intents"), FaultyFileSystem::new());
    let folder = Folder::on(Arc::new(Shared(faults.clone())), &temporary.0);
    let mut file = IntentsFile::on(&folder, "n");
    let before = file.amend(&Intents::default(), &Intent::Drain(true)).unwrap();
    // A short fault: the intent is stored by a retry.
    faults.fail(call, errno, 2);
    let last_attempt = || Instant::now() + LAST_ATTEMPT_AFTER;
    let out = store_with_retry(&mut file, &before, &take_out(), last_attempt()).unwrap();
    assert_eq!((faults.fired(), stored_in(&temporary)), (2, Some(out.clone())));
    // A longer fault: storing fails before the call times out.
    faults.fail(call, errno, usize::MAX);
    let start = Instant::now();
    assert!(store_with_retry(&mut file, &out, &put_back(), last_attempt()).is_err());
    assert!(start.elapsed() < ANSWER_TIMEOUT, "{:?}", start.elapsed());
    assert!(faults.fired() > 4, "storing is attempted several times");
    if call != Call::SyncFolder {
        assert_eq!(stored_in(&temporary), Some(out.clone()));
    }
    faults.mend();
    let back = file.amend(&out, &put_back()).unwrap();
    assert!(back.out.is_empty() && stored_in(&temporary) == Some(back));
}

#[test]
fn process_killed_at_any_system_call_keeps_acknowledged_intents() {
    for calls in 0..20 {
        let (temporary, faults) = (Temporary::new("killed"), FaultyFileSystem::new());
        let mut file = IntentsFile::on(&Folder::on(Arc::new(Shared(faults.clone())), &temporary.0), "n");
        let acknowledged = file.amend(&Intents::default(), &Intent::Drain(true)).unwrap();
        faults.die_after(calls);
        let next = file.amend(&acknowledged, &take_out());
        let found = stored_in(&temporary).expect("acknowledged intents are stored");
        let next_stored = next.as_ref().is_ok_and(|next| *next == found);
        assert!(next_stored || (next.is_err() && found.drained), "{calls}: {next:?}, {found:?}");
    }
}

#[rstest]
#[case::empty("")]
#[case::torn("{\"out\":[\"s-")]
#[case::other_form("[1]")]
fn broken_file_is_ignored_and_falls_back_to_the_previous_version(#[case] text: &str) {
    let temporary = Temporary::new("broken");
    let path = temporary.0.join(FILE_NAME);
    fs::write(&path, text).unwrap();
    let mut file = IntentsFile::on(&Folder::new(&temporary.0), "n");
    assert_eq!((file.load_at_start().unwrap(), file.read_if_changed()), (None, None));
    let first = file.amend(&Intents::default(), &Intent::Drain(true)).unwrap();
    let second = file.amend(&first, &take_out()).unwrap();
    assert_eq!(file.read_if_changed(), Some(second.clone()));
    fs::write(&path, text).unwrap();
    assert_eq!(file.read_if_changed(), None, "a running process keeps the intents in force");
    assert_eq!(stored_in(&temporary), Some(first), "a process that starts loads the previous version");
    // The broken file does not replace the intact previous version.
    let third = file.amend(&second, &put_back()).unwrap();
    assert!(third.drained && third.out.is_empty());
    fs::write(&path, text).unwrap();
    assert!(stored_in(&temporary).is_some());
}

/// A change keeps the modification time if the wall clock was stepped back, or two writes share one of its ticks.
#[test]
fn change_with_the_same_length_and_modification_time_is_detected() {
    let temporary = Temporary::new("changed");
    let path = temporary.0.join(FILE_NAME);
    let mut file = IntentsFile::on(&Folder::new(&temporary.0), "n");
    let time = std::time::UNIX_EPOCH + Duration::from_secs(1);
    for store in ["s-1", "s-2"] {
        fs::write(&path, format!("{{\"out\":[\"{store}\"]}}")).unwrap();
        fs::File::options().write(true).open(&path).unwrap().set_modified(time).unwrap();
        assert!(file.read_if_changed().is_some_and(|intents| intents.names(store)), "{store}");
        assert_eq!(file.read_if_changed(), None);
    }
}
