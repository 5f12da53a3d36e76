//! The faults that a fleet is disturbed by.

use super::Fleet;
use super::hollow_host::FinishedHost;
use crate::scale::error::ScaleError;
use crate::scale::link::Directions;
use crate::scale::scenario::FaultKind;
use nix::sys::signal::Signal;
use std::collections::BTreeSet;

impl Fleet<'_> {
    /// The gateways that a fault affects.
    pub fn affected_by(&self, kind: FaultKind) -> BTreeSet<usize> {
        match kind {
            FaultKind::Restart | FaultKind::Stop => self.layout.restarted.clone().collect(),
            FaultKind::Cut | FaultKind::OneWay => self.layout.fault_region(),
            FaultKind::Relay => BTreeSet::new(),
        }
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// Where a process can't be killed, signalled or started again.
    pub async fn begin_fault(&mut self, kind: FaultKind) -> Result<(), ScaleError> {
        match kind {
            FaultKind::Restart => self.restart_host().await,
            FaultKind::Stop => self.signal_host(Signal::SIGSTOP),
            FaultKind::Cut => {
                self.links.set(Directions::NONE);
                Ok(())
            }
            FaultKind::OneWay => {
                self.links.set(Directions::UP);
                Ok(())
            }
            FaultKind::Relay => match &mut self.relays {
                Some(relays) => relays.kill_first().await,
                None => Ok(()),
            },
        }
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// Where a process can't be signalled or started again.
    pub async fn end_fault(&mut self, kind: FaultKind) -> Result<(), ScaleError> {
        match kind {
            FaultKind::Restart => Ok(()),
            FaultKind::Stop => self.signal_host(Signal::SIGCONT),
            FaultKind::Cut | FaultKind::OneWay => {
                self.links.set(Directions::BOTH);
                Ok(())
            }
            FaultKind::Relay => match &mut self.relays {
                Some(relays) => relays.restart_first(self.programs).await,
                None => Ok(()),
            },
        }
    }

    fn signal_host(&self, signal: Signal) -> Result<(), ScaleError> {
        // It lacks only after a restart that failed, which has ended the run of this size.
        let Some(host) = &self.restarted else { return Ok(()) };
        host.process.signal(signal).map_err(ScaleError::in_process(&host.name))
    }

    async fn restart_host(&mut self) -> Result<(), ScaleError> {
        let Some(host) = self.restarted.take() else { return Ok(()) };
        host.process.kill().await.map_err(ScaleError::in_process(&host.name))?;
        let until_us = sagearch_clock::unix_micros();
        self.finished.push(FinishedHost { output: host.output, until_us });
        let name = format!("restarted-{}", self.finished.len());
        let mut restarted = self.start_host(&name, self.layout.restarted.clone(), true)?;
        restarted.wait_until_ready().await?;
        self.restarted = Some(restarted);
        Ok(())
    }
}
