//! Configures and starts the processes of gateways.

use super::{FleetError, FleetPlan};
use crate::harness::context::RunContext;
use crate::harness::datagrams::Datagrams;
use crate::harness::event_bus::EventBus;
use crate::participant::{ParticipantId, ParticipantKind, Roster};
use crate::trace::{EventKind, ProcessEvent};
use sagearch_faults::Injector;
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::AsyncReadExt;
use tokio::process::{Child, ChildStderr, Command};

/// A gateway's log beyond this is not kept, but still read.
const MAX_LOG_BYTES: usize = 4 * 1024 * 1024;
/// The same where what the logs say is judged.
const MAX_JUDGED_LOG_BYTES: usize = 64 * 1024 * 1024;
/// A gateway's log, in its folder.
const LOG_FILE: &str = "log";
/// A gateway's own files, in its folder.
const DATA_FOLDER: &str = "data";
/// What the gateways share, in the run's folder.
pub(super) const OPERATORS_FILE: &str = "gateway.kdl";
/// What a gateway may hold.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1_024;
/// Mixes the number of a start into the run's seed: the golden ratio in 64 bits.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Starts gateways, again and again.
pub(super) struct Launcher {
    pub(super) plan: FleetPlan,
    pub(super) context: RunContext,
    /// One for each gateway, where they run under the fault shim.
    pub(super) injectors: BTreeMap<ParticipantId, Injector>,
    bus: Arc<EventBus>,
    datagrams: Arc<Datagrams>,
    roster: Roster,
    starts: AtomicU64,
}

impl Launcher {
    pub(super) fn new(
        plan: FleetPlan,
        roster: Roster,
        bus: Arc<EventBus>,
        datagrams: Arc<Datagrams>,
        context: RunContext,
    ) -> Result<Launcher, FleetError> {
        let (starts, injectors) = (AtomicU64::new(0), BTreeMap::new());
        let mut launcher = Launcher { plan, context, injectors, bus, datagrams, roster, starts };
        if launcher.plan.system_faults {
            launcher.injectors = launcher.new_injectors()?;
        }
        Ok(launcher)
    }

    /// One for each gateway, each with draws of its own.
    fn new_injectors(&self) -> Result<BTreeMap<ParticipantId, Injector>, FleetError> {
        let injector = |id: ParticipantId| {
            let seed = self.context.seed ^ (u64::from(id.0) << 32);
            Ok((id, Injector::new(&self.folder(id), seed)?))
        };
        self.roster.of(ParticipantKind::Gateway).map(injector).collect()
    }

    /// A gateway's name, which stands in no path by itself.
    pub(super) fn name(&self, gateway: ParticipantId) -> String {
        self.roster.get(gateway).to_string().replace('/', "-")
    }

    fn folder(&self, gateway: ParticipantId) -> PathBuf {
        self.plan.folder.join(self.name(gateway))
    }

    pub(super) fn data_folder(&self, gateway: ParticipantId) -> PathBuf {
        self.folder(gateway).join(DATA_FOLDER)
    }

    pub(super) fn log(&self, gateway: ParticipantId) -> PathBuf {
        self.folder(gateway).join(LOG_FILE)
    }

    /// The operators' file of all gateways, where they share something.
    pub(super) fn operators_text(&self) -> Option<String> {
        let shared = self.plan.shared.as_ref()?;
        let members = |site: &String| {
            let gateways = self.roster.of(ParticipantKind::Gateway);
            let of_site = gateways.filter(|id| self.roster.get(*id).site == *site);
            of_site.map(|id| (self.name(id), self.datagrams.peer(id).to_string())).collect()
        };
        Some(shared.text(self.plan.settings.keys().map(|site| (site.as_str(), members(site)))))
    }

    /// Writes the configuration of a start, with what stands in the event bus by then.
    fn configure(&self, gateway: ParticipantId, folder: &Path) -> io::Result<PathBuf> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let seed = self.context.seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(start);
        let peers =
            self.roster.of(ParticipantKind::Gateway).map(|peer| self.datagrams.peer(peer).to_string());
        let peers: Vec<String> = peers.collect();
        let config = json!({
            "name": self.name(gateway),
            "listen": self.context.network.gateway(gateway).to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "peer_listen": self.datagrams.listen_address(gateway).to_string(),
            "peers": peers,
            "peers_all": self.datagrams.broadcast_address().to_string(),
            "bus": self.bus.address(gateway),
            "known": self.bus.initial_batch(gateway),
            "settings": self.plan.settings[&self.roster.get(gateway).site],
        });
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string())?;
        Ok(path)
    }

    /// The command of a start, with its environment.
    fn command(&self, gateway: ParticipantId, config: &Path, folder: &Path, data: &Path) -> Command {
        let mut command = Command::new(&self.plan.laboratory);
        command.args(["leash", &std::process::id().to_string()]).arg(&self.plan.gateway);
        if self.plan.shared.is_some() {
            // What lease holders do is read from what they log of it.
            let operators = self.plan.folder.join(OPERATORS_FILE);
            command.arg("--operators").arg(operators).args(["--log", "debug"]);
        }
        if let Some(injector) = self.injectors.get(&gateway) {
            injector.apply_to(command.as_std_mut());
        }
        command.env_remove("NODE_ADMIN");
        if self.plan.operator {
            command.env("NODE_ADMIN", self.context.network.operators(gateway).to_string());
        }
        command
            .env("NODE_CONFIG", config)
            .env("TMPDIR", data)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        command
    }

    /// Starts a process of a gateway.
    pub(super) fn start(&self, gateway: ParticipantId) -> io::Result<Child> {
        let (folder, data) = (self.folder(gateway), self.data_folder(gateway));
        std::fs::create_dir_all(&data)?;
        let config = self.configure(gateway, &folder)?;
        let mut child = self.command(gateway, &config, &folder, &data).spawn()?;
        if let Some(log) = child.stderr.take() {
            let judged = self.plan.shared.is_some();
            let max_bytes = if judged { MAX_JUDGED_LOG_BYTES } else { MAX_LOG_BYTES };
            tokio::spawn(keep_log(log, folder.join(LOG_FILE), max_bytes));
        }
        self.context.recorder.record(EventKind::Process { whom: gateway, life: ProcessEvent::Started });
        Ok(child)
    }
}

/// Keeps a log's begin, and reads the rest all the same, so that nobody waits for room.
async fn keep_log(mut log: ChildStderr, path: PathBuf, max_bytes: usize) {
    let (mut kept, mut piece) = (0, vec![0; 8 * 1024]);
    let mut file = std::fs::File::options().create(true).append(true).open(path).ok();
    while let Ok(read) = log.read(&mut piece).await
        && read > 0
    {
        if let Some(file) = file.as_mut().filter(|_| kept < max_bytes) {
            kept += read;
            // A log that can't be written fails no run.
            let _ = io::Write::write_all(file, &piece[..read]);
        }
    }
}
