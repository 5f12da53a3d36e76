//! The relays of a scale run: `sagearch-relay` processes, one for each control machine.

use super::error::ScaleError;
use super::process::{Process, ProcessOptions, UncleanExits};
use super::programs::Programs;
use super::usage::Usage;
use crate::harness::network::LoopbackNetwork;
use crate::participant::ParticipantId;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Connections that a relay admits from one address: all gateways of a run have the same one.
const CONNECTIONS_PER_ADDRESS: usize = 20_000;
/// Relays have their addresses above those of gateways.
const FIRST_PARTICIPANT: usize = 10_000;
const LOG: &str = "relays.log";

/// A relay, whether it runs or not.
struct Relay {
    name: String,
    /// Its configuration.
    file: PathBuf,
    address: SocketAddr,
    process: Option<Process>,
}

/// The relays of a run.
pub struct Relays {
    relays: Vec<Relay>,
    folder: PathBuf,
}

/// A gateway's operators' file, by which it follows relays. Gateways prefer them in different orders, so that each relay
/// has equally many.
pub fn operators_file(gateway: usize, relays: &[SocketAddr]) -> String {
    let mut text = String::from("feed {\n");
    for rank in 0..relays.len() {
        let relay = (gateway + rank) % relays.len();
        // Writing to a string does not fail.
        let _ = writeln!(text, "    relay \"{}\" \"{}\"", name_of(relay), relays[relay]);
    }
    text + "}\n"
}

fn name_of(relay: usize) -> String {
    format!("relay-{relay}")
}

/// The configuration of one relay.
fn relay_file(relay: usize, addresses: &[SocketAddr], bus: SocketAddr) -> String {
    let mut text = format!(
        "relay \"{}\" listen=\"{}\" per-address={CONNECTIONS_PER_ADDRESS} {{\n    upstream \"{bus}\"\n",
        name_of(relay),
        addresses[relay]
    );
    for (peer, address) in addresses.iter().enumerate().filter(|(peer, _)| *peer != relay) {
        // Writing to a string does not fail.
        let _ = writeln!(text, "    peer \"{}\" \"{address}\"", name_of(peer));
    }
    text + "}\n"
}

impl Relay {
    async fn start(&mut self, programs: &Programs, folder: &Path) -> Result<(), ScaleError> {
        let log = folder.join(LOG);
        let options = ProcessOptions {
            launcher: &programs.laboratory,
            program: &programs.relay,
            arguments: vec!["serve".into(), self.file.display().to_string()],
            environment: Vec::new(),
            log: log.clone(),
        };
        self.process = Some(Process::start(options).map_err(ScaleError::in_process(&self.name))?);
        self.wait_until_listening(log).await
    }

    async fn wait_until_listening(&self, log: PathBuf) -> Result<(), ScaleError> {
        let give_up = Instant::now() + READY_TIMEOUT;
        while TcpStream::connect(self.address).await.is_err() {
            if Instant::now() >= give_up {
                let (process, address) = (self.name.clone(), self.address);
                return Err(ScaleError::NotReady { process, address, waited: READY_TIMEOUT, log });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl Relays {
    /// Starts relays that follow the bus.
    ///
    /// # Errors
    ///
    /// Where a configuration can't be written, or a relay does not listen in time.
    pub async fn start(
        programs: &Programs,
        net: &LoopbackNetwork,
        folder: &Path,
        count: usize,
        bus: SocketAddr,
    ) -> Result<Relays, ScaleError> {
        let participant = |relay: usize| ParticipantId((FIRST_PARTICIPANT + relay) as u16);
        let addresses: Vec<SocketAddr> = (0..count).map(|relay| net.gateway(participant(relay))).collect();
        let mut relays = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            let name = name_of(number);
            let file = folder.join(format!("{name}.kdl"));
            std::fs::write(&file, relay_file(number, &addresses, bus)).map_err(ScaleError::in_file(&file))?;
            let mut relay = Relay { name, file, address: *address, process: None };
            relay.start(programs, folder).await?;
            relays.push(relay);
        }
        Ok(Relays { relays, folder: folder.to_path_buf() })
    }

    /// Where they listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(|relay| relay.address).collect()
    }

    /// What those that run have used so far.
    pub fn usages(&self) -> Vec<Usage> {
        let running = self.relays.iter().filter_map(|relay| relay.process.as_ref());
        running.filter_map(|process| process.usage().ok()).collect()
    }

    /// Kills the first relay.
    ///
    /// # Errors
    ///
    /// Where it can't be killed.
    pub async fn kill_first(&mut self) -> Result<(), ScaleError> {
        let Some(relay) = self.relays.first_mut() else { return Ok(()) };
        match relay.process.take() {
            Some(process) => process.kill().await.map_err(ScaleError::in_process(&relay.name)),
            None => Ok(()),
        }
    }

    /// Starts the first relay again.
    ///
    /// # Errors
    ///
    /// Where it does not listen in time.
    pub async fn restart_first(&mut self, programs: &Programs) -> Result<(), ScaleError> {
        match self.relays.first_mut() {
            Some(relay) => relay.start(programs, &self.folder).await,
            None => Ok(()),
        }
    }

    /// Ends all of them.
    pub async fn end(self, unclean_exits: &mut UncleanExits) {
        for relay in self.relays {
            if let Some(process) = relay.process {
                unclean_exits.check(&relay.name, process.terminate().await);
            }
        }
    }
}
