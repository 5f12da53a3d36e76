//! Unix sockets by which the processes of a gateway find each other in their common folder.

use crate::net::io_error::{Call, Failure};
use crate::net::lifecycle::gateway_file::gateway_file_path;
use std::fs::{self, File};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The pause before a connection is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// The number of attempts of a new process to connect to the previous one.
const CONNECT_ATTEMPTS: u32 = 4;

/// The location of a socket. Its path leads through a descriptor of the folder, since a socket's path has at most 107 bytes,
/// and `$TMPDIR` may be longer.
pub(super) struct SocketLocation {
    folder: File,
    name: PathBuf,
}

impl SocketLocation {
    /// The socket of this kind of a gateway.
    pub(super) fn new(folder: &Path, gateway: &str, kind: &str) -> io::Result<SocketLocation> {
        Ok(SocketLocation {
            folder: File::open(folder)?,
            name: gateway_file_path(Path::new(""), gateway, kind),
        })
    }

    fn path(&self) -> PathBuf {
        Path::new("/proc/self/fd").join(self.folder.as_raw_fd().to_string()).join(&self.name)
    }

    /// Listens in place of the previous process. The rename replaces that process's socket atomically.
    pub(super) fn listen(&self) -> io::Result<UnixListener> {
        let path = self.path();
        let mut temporary = path.clone().into_os_string();
        temporary.push("-new");
        let _ = fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        fs::rename(temporary, path)?;
        Ok(listener)
    }

    /// Connects to the previous process. Transient failures and those caused by a resource shortage of this machine are
    /// retried.
    pub(super) fn connect(&self) -> io::Result<UnixStream> {
        let is_retried = |e: &io::Error| {
            matches!(Failure::of(Call::Connect, e), Failure::Transient | Failure::LocalShortage(_))
        };
        for _ in 1..CONNECT_ATTEMPTS {
            match UnixStream::connect(self.path()) {
                Err(e) if is_retried(&e) => std::thread::sleep(RETRY_DELAY),
                connected => return connected,
            }
        }
        UnixStream::connect(self.path())
    }
}
