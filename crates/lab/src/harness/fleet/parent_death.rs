//! Runs a program that ends with the laboratory, whatever ends that.

use nix::sys::signal::Signal;
use std::ffi::OsString;
use std::io;
use std::path::Path;

/// Takes the place of this process by a program that is killed when its parent ends. Returns only if that fails.
///
/// The parent-death signal is set before the program takes the process's place, and stays with it.
pub fn exec_with_parent(parent: i32, program: &Path, arguments: &[OsString]) -> io::Error {
    use std::os::unix::process::CommandExt;
    if let Err(e) = nix::sys::prctl::set_pdeathsig(Signal::SIGKILL) {
        return e.into();
    }
    // It may have died before the signal was set.
    if nix::unistd::getppid().as_raw() != parent {
        return io::Error::other("the laboratory has ended");
    }
    std::process::Command::new(program).args(arguments).exec()
}
