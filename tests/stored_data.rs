//! Compatibility of stored data: the current program reads the data of earlier programs, and writes data that they can
//! read.
//!
//! The files under `fixtures/fe7714c` were written by the program of commit `fe7714c`; their README says how. They are
//! never regenerated: a rename in the code keeps the stored name. The files of a later program get their own folder.
//!
//! The program of that commit is not started here. That it can read what is written now is shown by equal bytes, or, for
//! files with times and counts, by the same names and types as in the recorded file.

#![allow(clippy::pedantic, reason = "the tests keep the form in which they recorded the fixtures")]

#[path = "stored_data/frame_form.rs"]
mod frame_form;
#[path = "stand/identity.rs"]
mod identity_stand;
#[path = "stored_data/intents.rs"]
mod intents;
#[path = "stored_data/link.rs"]
mod link;
#[path = "stored_data/raft_log.rs"]
mod raft_log;
#[path = "stored_data/relay_file.rs"]
mod relay_file;
#[path = "stand/mod.rs"]
mod stand;
#[path = "stored_data/versions.rs"]
mod versions;

use std::path::{Path, PathBuf};

/// The path of a recorded file.
fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/fe7714c").join(name)
}

fn read_fixture(name: &str) -> Vec<u8> {
    std::fs::read(fixture(name)).unwrap()
}
