//! Stored versions with damaged files and on full or read-only disks.

use proptest::prelude::*;
use sagearch_folder::{FileStore, Folder};
use sagearch_stream::store::{FileError, decode, load_versions, store_version};
use sagearch_stream::version::{Documents, Version};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;

/// An in-memory folder that can be full or read-only. `sagearch-folder` handles partial writes, and tests them.
#[derive(Default)]
struct MemoryFolder {
    files: RefCell<BTreeMap<String, Vec<u8>>>,
    capacity: Cell<Option<usize>>,
    read_only: Cell<bool>,
}

impl FileStore for MemoryFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.borrow().keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.borrow().get(name).cloned().ok_or(io::ErrorKind::NotFound.into())
    }

    fn replace(&self, name: &str, bytes: &[u8], _writer: u32) -> io::Result<()> {
        if self.read_only.get() {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        if bytes.len() > self.capacity.get().unwrap_or(usize::MAX) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.borrow_mut().insert(name.into(), bytes.to_vec());
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files.borrow_mut().remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }
}

fn version(number: u64) -> Version {
    Version::new(1, number, Documents::from([("d.kdl".into(), format!("limits lookups={number}"))]))
}

fn stored_numbers(disk: &MemoryFolder) -> Vec<u64> {
    load_versions(disk).versions.iter().map(|version| version.id.number).collect()
}

#[test]
fn damaged_newest_version_is_reported_and_the_previous_one_is_loaded() {
    let disk = MemoryFolder::default();
    for number in 1..=7 {
        store_version(&disk, &version(number), 3, 1).unwrap();
    }
    assert_eq!(stored_numbers(&disk), [7, 6, 5]);
    let newest = disk.list().unwrap().pop().unwrap();
    let intact = disk.read(&newest).unwrap();
    let load_damaged = |bytes: Vec<u8>| {
        disk.files.borrow_mut().insert(newest.clone(), bytes);
        let stored = load_versions(&disk);
        assert_eq!(stored.versions[0].id.number, 6);
        stored.unusable[0].error.clone()
    };
    for length in [0, 3, 5, 20, 40, intact.len() - 1] {
        assert_eq!(
            load_damaged(intact[..length].to_vec()),
            FileError::Truncated,
            "truncated to {length} bytes"
        );
    }
    let mut newer_format = intact.clone();
    newer_format[5] = 9;
    assert_eq!(load_damaged(newer_format), FileError::UnsupportedFormat(9));
    assert_eq!(load_damaged(b"something else entirely".to_vec()), FileError::UnknownFormat);
    for index in (0..intact.len()).step_by(7) {
        let mut flipped = intact.clone();
        flipped[index] ^= 0x10;
        load_damaged(flipped);
    }
}

#[test]
fn failed_write_to_full_or_read_only_disk_keeps_stored_versions() {
    let disk = MemoryFolder::default();
    store_version(&disk, &version(1), 3, 1).unwrap();
    for capacity in [0, 1, 10, 60, 100] {
        disk.capacity.set(Some(capacity));
        assert!(store_version(&disk, &version(2), 3, 1).is_err());
        assert_eq!(
            (stored_numbers(&disk), disk.list().unwrap().len()),
            (vec![1], 1),
            "no partial file remains"
        );
    }
    disk.capacity.set(None);
    disk.read_only.set(true);
    assert!(store_version(&disk, &version(2), 3, 1).is_err());
    assert_eq!(stored_numbers(&disk), [1]);
}

#[test]
fn oldest_stored_versions_beyond_the_limit_are_removed() {
    let path = std::env::temp_dir().join(format!("sagearch-stream-store-{}", std::process::id()));
    let folder = Folder::new(&path);
    folder.create().unwrap();
    for number in 1..=4 {
        store_version(&folder, &version(number), 2, 1).unwrap();
    }
    let stored = load_versions(&folder);
    let names = folder.list().unwrap();
    std::fs::remove_dir_all(&path).unwrap();
    let numbers: Vec<u64> = stored.versions.iter().map(|version| version.id.number).collect();
    assert_eq!((numbers, stored.unusable.len()), (vec![4, 3], 0));
    assert_eq!(names.len(), 2, "no other files remain");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decoding_of_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<Version>(&bytes);
    }
}
