//! What the service keeps in its folder: versions, and the state beside them.

use sagearch_folder::Folder;
use sagearch_stream::Version;
use sagearch_stream::service::State;
use sagearch_stream::store::{self, Disk, recover};
use std::fs;
use std::io;
use std::path::PathBuf;

const STATE: &str = "state";

/// The service's folder.
pub struct ServiceStore(Folder);

impl ServiceStore {
    pub fn new(data: impl Into<PathBuf>) -> ServiceStore {
        ServiceStore(Folder::new(data))
    }

    /// What was kept. Without a state that can be read there is none: versions alone don't say which one counts, and
    /// numbers that were given must not be given again, so that is a fault and not a beginning.
    pub fn load(&self, epoch: u64) -> Result<(State, Vec<Version>), String> {
        let path = self.0.path();
        fs::create_dir_all(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let recovered = recover(&self.0);
        for (name, broken) in &recovered.passed_over {
            tracing::warn!(file = name, cause = %broken, "a kept version is passed over");
        }
        let state_path = path.join(STATE);
        let state = match self.0.read(STATE) {
            Ok(bytes) => store::decode::<State>(&bytes).map_err(|broken| {
                format!("{}: {broken}; with a greater epoch it begins anew", state_path.display())
            }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(State { epoch, ..State::default() }),
            Err(e) => Err(format!("{}: {e}", state_path.display())),
        };
        match state {
            // A later epoch: what was given before counts no more.
            Ok(state) if state.epoch >= epoch => Ok((state, recovered.versions)),
            Ok(_) => Ok((State { epoch, ..State::default() }, Vec::new())),
            Err(_) if epoch > 1 && recovered.versions.iter().all(|version| version.id.epoch < epoch) => {
                Ok((State { epoch, ..State::default() }, Vec::new()))
            }
            Err(cause) => Err(cause),
        }
    }

    pub fn keep_state(&self, state: &State) -> io::Result<()> {
        store::write(&self.0, STATE, state, std::process::id())
    }

    pub fn keep(&self, version: &Version, most: usize) -> io::Result<()> {
        store::keep(&self.0, version, most, std::process::id())
    }
}
