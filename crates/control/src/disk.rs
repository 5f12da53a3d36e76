//! The service's folder: versions, and the state beside them.

use sagearch_stream::Version;
use sagearch_stream::service::State;
use sagearch_stream::store::{self, Disk, recover};
use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;

const STATE: &str = "state";

pub struct Folder(pub PathBuf);

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.0)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.0.join(name))
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = fs::File::create(self.0.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))?;
        fs::File::open(&self.0)?.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}

impl Folder {
    /// What was kept. Without a state that can be read there is none: versions alone don't say which one counts, and
    /// numbers that were given must not be given again, so that is a fault and not a beginning.
    pub fn load(&self, epoch: u64) -> Result<(State, Vec<Version>), String> {
        fs::create_dir_all(&self.0).map_err(|e| format!("{}: {e}", self.0.display()))?;
        let recovered = recover(self);
        for (name, broken) in &recovered.passed_over {
            tracing::warn!(file = name, cause = %broken, "a kept version is passed over");
        }
        let state = match Disk::read(self, STATE) {
            Ok(bytes) => store::decode::<State>(&bytes).map_err(|broken| {
                format!("{}: {broken}; with a greater epoch it begins anew", self.0.join(STATE).display())
            }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(State { epoch, ..State::default() }),
            Err(e) => Err(format!("{}: {e}", self.0.join(STATE).display())),
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
        store::write(self, STATE, state, std::process::id())
    }

    pub fn keep(&self, version: &Version, most: usize) -> io::Result<()> {
        store::keep(self, version, most, std::process::id())
    }
}
