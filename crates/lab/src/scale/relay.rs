//! The relays of a scale run: `sagearch-relay` processes, one for each control machine.

use super::fleet::Programs;
use super::usage::Usage;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;

/// The relays that run.
pub struct Relays;

/// A gateway's operators' file, by which it follows relays.
pub fn operators_file(_gateway: usize, _relays: &[SocketAddr]) -> String {
    String::new()
}

impl Relays {
    /// Starts so many relays, each of which follows the bus.
    pub async fn start(_: &Programs, _: &Path, _: usize, _: SocketAddr) -> Result<Relays, String> {
        Err("a run with relays is not built yet".into())
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    pub fn usages(&self) -> Vec<Usage> {
        Vec::new()
    }

    pub async fn kill_first(&mut self) -> Result<(), String> {
        Ok(())
    }

    pub async fn start_first(&mut self, _: &Programs) -> Result<(), String> {
        Ok(())
    }

    pub async fn end(self, _: &mut impl FnMut(&str, io::Result<ExitStatus>)) {}
}
