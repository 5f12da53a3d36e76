//! Storage of the service on a failing disk, and with a state file that can't be decoded.

#[path = "../../folder/tests/support/mod.rs"]
mod support;

use sagearch_control::disk::{LoadError, ServiceStore};
use sagearch_control::persistence::Persistence;
use sagearch_folder::Folder;
use sagearch_stream::Version;
use sagearch_stream::service::State;
use sagearch_stream::version::Documents;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

const FAILING_CALLS: [Call; 5] = [Call::CreateNew, Call::Write, Call::Sync, Call::Rename, Call::SyncFolder];

fn version(number: u64) -> Version {
    Version::new(1, number, Documents::from([("d.kdl".into(), format!("limits lookups={number}"))]))
}

fn state(number: u64) -> State {
    State { epoch: 1, last_number: number, stable: Some(number), ..State::default() }
}

struct Service {
    temporary: Temporary,
    file_system: Arc<FaultyFileSystem>,
    persistence: Persistence,
}

impl Service {
    fn new() -> Service {
        let (temporary, file_system) = (Temporary::new("service"), FaultyFileSystem::new());
        let store =
            ServiceStore::with_folder(Folder::on(Arc::new(Shared(file_system.clone())), &temporary.0));
        store.load(1).unwrap();
        let mut persistence = Persistence::new(store, 3);
        persistence.publish(Instant::now(), &version(1), &state(1)).unwrap();
        Service { temporary, file_system, persistence }
    }

    /// Returns the stable version that a restarted service loads, if the content of that version is stored too.
    fn stable(&self) -> Option<u64> {
        let (state, versions) = ServiceStore::new(&self.temporary.0).load(1).unwrap();
        state.stable.filter(|stable| versions.iter().any(|version| version.id.number == *stable))
    }
}

#[test]
fn publication_on_a_failing_disk_returns_an_error_and_keeps_the_stable_version() {
    for errno in [ENOSPC, EIO] {
        for call in FAILING_CALLS {
            let mut service = Service::new();
            service.file_system.fail(call, errno, 1);
            let now = Instant::now();
            assert!(service.persistence.publish(now, &version(2), &state(2)).is_err(), "{call:?}");
            assert_eq!(service.stable(), Some(1), "{call:?}");
            service.persistence.publish(now, &version(3), &state(3)).unwrap();
            assert_eq!(service.stable(), Some(3));
        }
    }
}

#[test]
fn state_whose_write_failed_is_retried_after_its_versions() {
    for call in FAILING_CALLS {
        let mut service = Service::new();
        let now = Instant::now();
        service.file_system.fail(call, ENOSPC, usize::MAX);
        service.persistence.add_version(now, Arc::new(version(2)));
        service.persistence.set_state(now, state(2));
        assert_eq!(service.stable(), Some(1));
        assert!(service.persistence.publish(now, &version(3), &state(3)).is_err(), "{call:?}");
        service.persistence.retry(now + Duration::from_secs(10));
        service.file_system.mend();
        service.persistence.retry(now);
        assert_eq!(service.stable(), Some(1), "retried before the backoff delay expired");
        service.persistence.retry(now + Duration::from_mins(1));
        assert_eq!(service.stable(), Some(2), "{call:?}");
    }
}

#[test]
fn broken_state_falls_back_to_the_previous_state() {
    let mut service = Service::new();
    service.persistence.publish(Instant::now(), &version(2), &state(2)).unwrap();
    for broken in ["", "SGCV", "something else"] {
        std::fs::write(service.temporary.0.join("state"), broken).unwrap();
        assert_eq!(service.stable(), Some(1), "{broken:?}");
    }
}

#[test]
fn broken_state_without_a_previous_state_is_an_error_until_the_epoch_is_raised() {
    let temporary = Temporary::new("broken-state");
    std::fs::write(temporary.0.join("state"), b"not a state").unwrap();
    let store = ServiceStore::new(&temporary.0);
    let error = store.load(1).unwrap_err();
    assert!(
        matches!(&error, LoadError::BrokenState { file, .. } if *file == temporary.0.join("state")),
        "{error}"
    );
    assert!(error.to_string().ends_with("; with a greater epoch it begins anew"), "{error}");
    assert_eq!(store.load(2).unwrap().0.epoch, 2);
}
