//! The end of a fleet: its processes end, and what they wrote down is read.

use super::hollow_host::{FinishedHost, HollowHost};
use super::{BUS, BUS_OUTPUT, Fleet};
use crate::scale::checker::{AppliedOffset, ProcessLifetime, TimeSpan};
use crate::scale::error::ScaleError;
use crate::scale::link::Acknowledgement;
use crate::scale::observation;
use crate::scale::process::UncleanExits;
use crate::scale::real_gateway::RealGateway;
use crate::scale::record::{BusRecord, Readings};

/// What the processes of a size wrote down.
pub struct FleetRecord {
    /// All processes of gateways.
    pub processes: Vec<ProcessLifetime>,
    /// The event bus.
    pub bus: BusRecord,
    /// Each host that is never restarted.
    pub hosts: Vec<Readings>,
    /// The host without gateways.
    pub empty_host: Readings,
    /// Processes that did not end with success.
    pub unclean_exits: Vec<String>,
}

async fn end_host(host: HollowHost, until_us: u64, unclean_exits: &mut UncleanExits) -> FinishedHost {
    unclean_exits.check(&host.name, host.process.close_input().await);
    FinishedHost { output: host.output, until_us }
}

impl Fleet<'_> {
    /// Ends all processes, and reads what they wrote down.
    ///
    /// # Errors
    ///
    /// Where a record can't be read.
    pub async fn end(self) -> Result<FleetRecord, ScaleError> {
        let mut unclean_exits = UncleanExits::default();
        let until_us = sagearch_clock::unix_micros();
        let mut processes = Vec::new();
        for real in self.real {
            processes.push(process_of(&real, until_us));
            unclean_exits.check(&self.layout.name(real.gateway), real.process.terminate().await);
        }
        let mut hosts = Vec::new();
        for host in self.hosts {
            hosts.push(end_host(host, until_us, &mut unclean_exits).await);
        }
        let mut restarted = self.finished;
        if let Some(host) = self.restarted {
            restarted.push(end_host(host, until_us, &mut unclean_exits).await);
        }
        let empty = end_host(self.empty, until_us, &mut unclean_exits).await;
        if let Some(relays) = self.relays {
            relays.end(&mut unclean_exits).await;
        }
        unclean_exits.check(BUS, self.bus.close_input().await);
        for host in &restarted {
            processes.extend(host.read()?.processes);
        }
        let mut readings = Vec::new();
        for host in &hosts {
            let record = host.read()?;
            processes.extend(record.processes);
            readings.push(record.readings);
        }
        Ok(FleetRecord {
            processes,
            bus: BusRecord::from_lines(observation::read_lines(&self.folder.join(BUS_OUTPUT))?),
            hosts: readings,
            empty_host: empty.read()?.readings,
            unclean_exits: unclean_exits.into_texts(),
        })
    }
}

fn process_of(real: &RealGateway, until_us: u64) -> ProcessLifetime {
    let applied =
        |acknowledged: Acknowledgement| AppliedOffset { offset: acknowledged.offset, at: acknowledged.at_us };
    ProcessLifetime {
        gateway: real.gateway,
        serving: TimeSpan { from: real.started_us, until: until_us },
        applied: real.observer.acknowledged().into_iter().map(applied).collect(),
        stale: Vec::new(),
    }
}
