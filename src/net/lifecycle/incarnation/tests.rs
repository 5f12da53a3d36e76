use super::*;
use rstest::rstest;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A temporary folder that is removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = CREATED.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("sagearch-incarnation-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn incarnation_after_the_clock_steps_back_is_higher_than_the_previous_one() {
    let folder = Folder::new();
    let next = |wall_micros| next_at(Some(&folder.0), "n1", wall_micros);
    assert_eq!([next(5_000), next(1_000), next(1_000), next(9_000)], [5_000, 5_001, 5_002, 9_000]);
    assert_eq!(next_at(Some(&folder.0), "n2", 1_000), 1_000, "each gateway has its own incarnation");
    assert_eq!(next_at(None, "n1", 1_000), 1_000);
}

#[rstest]
#[case::empty("")]
#[case::torn("17\u{0}\u{0}")]
#[case::too_far_ahead("18446744073709551615")]
fn broken_file_is_replaced_and_does_not_prevent_the_start(#[case] text: &str) {
    let folder = Folder::new();
    fs::write(gateway_file_path(&folder.0, "n1", EXTENSION), text).unwrap();
    assert_eq!([1_000, 1_000].map(|wall_micros| next_at(Some(&folder.0), "n1", wall_micros)), [1_000, 1_001]);
}

#[test]
fn missing_folder_does_not_prevent_the_start() {
    assert_eq!(next_at(Some(Path::new("/nonexistent/sagearch")), "n1", 1_000), 1_000);
}
