//! Supervises the process of one gateway for a whole run.

use super::is_live;
use super::launcher::Launcher;
use crate::participant::ParticipantId;
use crate::process_state::ProcessAction;
use crate::trace::{EventKind, ProcessEvent};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::process::Child;
use tokio::sync::{mpsc, watch};

/// By then a gateway that has started answers.
pub(super) const READY_WITHIN: Duration = Duration::from_secs(30);
/// How often a gateway that has started is asked.
const READY_POLL: Duration = Duration::from_millis(50);
/// One that was told to end is ended by force after this.
const ENDS_WITHIN: Duration = Duration::from_secs(8);
/// One that has ended of itself is started again after this.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// What was wrong with a gateway's process.
#[derive(Debug, Error)]
pub enum ProcessFailure {
    /// It could not be started or waited for.
    #[error("{name}: {source}")]
    Io {
        /// The gateway.
        name: String,
        /// Why not.
        source: io::Error,
    },
    /// It did not end with 0.
    #[error("{name} ended with {status}")]
    Status {
        /// The gateway.
        name: String,
        /// How it ended.
        status: ExitStatus,
    },
    /// It did not end in time.
    #[error("{name} did not end within {} s of SIGTERM", ENDS_WITHIN.as_secs())]
    NotEnded {
        /// The gateway.
        name: String,
    },
}

/// Supervises one gateway.
pub(super) struct Supervisor {
    launcher: Arc<Launcher>,
    id: ParticipantId,
    ready: watch::Sender<bool>,
    child: Option<Child>,
    /// Whether it is to run: one that ends then has died of itself.
    runs: bool,
}

/// Sends a signal to a process that has not been waited for.
fn signal(child: &Child, signal: Signal) {
    if let Some(pid) = child.id().and_then(|pid| i32::try_from(pid).ok()) {
        // One that has just ended gets none.
        let _ = kill(Pid::from_raw(pid), signal);
    }
}

/// Waits until a process has ended; for ever where there is none.
async fn exited(child: &mut Option<Child>) {
    match child {
        Some(child) => drop(child.wait().await),
        None => std::future::pending().await,
    }
}

impl Supervisor {
    pub(super) fn new(launcher: Arc<Launcher>, id: ParticipantId, ready: watch::Sender<bool>) -> Supervisor {
        Supervisor { launcher, id, ready, child: None, runs: true }
    }

    /// Keeps the process as it is told, until nobody is there to tell more. Then it has to end with 0.
    pub(super) async fn run(
        mut self,
        mut actions: mpsc::UnboundedReceiver<ProcessAction>,
    ) -> Result<(), ProcessFailure> {
        loop {
            if self.runs && self.child.is_none() {
                self.start().await.map_err(|source| ProcessFailure::Io { name: self.name(), source })?;
            }
            tokio::select! {
                () = exited(&mut self.child) => self.restart_later().await,
                action = actions.recv() => match action {
                    Some(action) => self.act(action).await,
                    None => return self.end().await,
                },
            }
        }
    }

    fn name(&self) -> String {
        self.launcher.name(self.id)
    }

    fn record(&self, event: ProcessEvent) {
        self.launcher.context.recorder.record(EventKind::Process { whom: self.id, life: event });
    }

    async fn start(&mut self) -> io::Result<()> {
        self.child = Some(self.launcher.start(self.id)?);
        if self.is_ready_in_time().await {
            self.record(ProcessEvent::Ready);
            self.ready.send_replace(true);
        } else {
            self.record(ProcessEvent::Died);
        }
        Ok(())
    }

    async fn is_ready_in_time(&self) -> bool {
        let address = self.launcher.context.network.gateway(self.id);
        let until = tokio::time::Instant::now() + READY_WITHIN;
        while tokio::time::Instant::now() < until {
            if is_live(address).await {
                return true;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        false
    }

    /// The process has ended. The main loop starts it again if it is to run.
    async fn restart_later(&mut self) {
        self.child = None;
        self.ready.send_replace(false);
        if self.runs {
            self.record(ProcessEvent::Died);
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }

    async fn act(&mut self, action: ProcessAction) {
        if matches!(action, ProcessAction::Kill | ProcessAction::Terminate | ProcessAction::Stop) {
            self.record(ProcessEvent::Struck);
        }
        match action {
            ProcessAction::Start => self.replace().await,
            ProcessAction::Kill => self.take_down(Signal::SIGKILL),
            ProcessAction::Terminate => self.take_down(Signal::SIGTERM),
            ProcessAction::Stop => self.signal(Signal::SIGSTOP),
            ProcessAction::Continue => self.signal(Signal::SIGCONT),
            ProcessAction::Hangup => self.signal(Signal::SIGHUP),
        }
    }

    fn signal(&self, number: Signal) {
        if let Some(child) = &self.child {
            signal(child, number);
        }
    }

    fn take_down(&mut self, number: Signal) {
        self.runs = false;
        self.signal(number);
    }

    /// Has a new process started, once the one before has ended.
    async fn replace(&mut self) {
        self.runs = true;
        let Some(mut before) = self.child.take() else { return };
        // One that was told to end may still be finishing what it had taken.
        if tokio::time::timeout(ENDS_WITHIN, before.wait()).await.is_err() {
            self.record(ProcessEvent::Died);
            // One that has ended meanwhile can't be killed.
            let _ = before.kill().await;
        }
    }

    /// The run is over: the process must finish and end with 0.
    async fn end(mut self) -> Result<(), ProcessFailure> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        signal(&child, Signal::SIGCONT);
        signal(&child, Signal::SIGTERM);
        let name = self.name();
        match tokio::time::timeout(ENDS_WITHIN, child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(ProcessFailure::Status { name, status }),
            Ok(Err(source)) => Err(ProcessFailure::Io { name, source }),
            Err(_) => {
                // It is dropped next, which kills it as well.
                let _ = child.kill().await;
                Err(ProcessFailure::NotEnded { name })
            }
        }
    }
}
