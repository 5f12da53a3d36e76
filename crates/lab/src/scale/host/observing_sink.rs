//! Observes when a gateway applies events, and when its freshness lease has expired.

use crate::scale::observation::{HostLine, LineWriter};
use crate::scale::sync::lock;
use sagearch::events::Batch;
use sagearch::net::clock::Clock;
use sagearch::net::discovery::event_sink::EventSink;
use sagearch_feed::lease::Lease;
use std::io;
use std::sync::{Arc, Mutex, OnceLock};

/// What was observed of a gateway and is not written down yet. Times are Unix microseconds.
#[derive(Default)]
struct Observations {
    /// Offsets and when they were applied.
    applied: Vec<(u64, u64)>,
    /// When the lease had expired.
    stale: Vec<(u64, u64)>,
    /// When the lease expires. `None`: the gateway has none.
    fresh_until_us: Option<u64>,
}

impl Observations {
    fn renew_lease(&mut self, now_us: u64, until_us: u64) {
        let Some(before) = self.fresh_until_us else { return };
        if before < now_us {
            self.stale.push((before, now_us));
        }
        self.fresh_until_us = Some(before.max(until_us));
    }
}

/// Hands events to a gateway, and keeps when they are applied.
pub(super) struct ObservingSink {
    gateway: usize,
    inner: Arc<dyn EventSink>,
    /// The gateway's own clock, known once it has started.
    clock: Arc<OnceLock<Clock>>,
    observations: Mutex<Observations>,
}

impl EventSink for ObservingSink {
    fn apply(&self, batch: Batch) {
        let (offset, has_events) = (batch.offset, !batch.batch.is_empty());
        self.inner.apply(batch);
        if has_events {
            lock(&self.observations).applied.push((offset, sagearch_clock::unix_micros()));
        }
    }

    fn renew_freshness(&self, lease: Lease, revalidations: u32) {
        let until = lease.expires_at();
        self.inner.renew_freshness(lease, revalidations);
        if let Some(until) = until {
            let until_us = self.clock.wait().unix_us(until);
            lock(&self.observations).renew_lease(sagearch_clock::unix_micros(), until_us);
        }
    }

    fn out_of_descriptors(&self) {
        self.inner.out_of_descriptors();
    }
}

impl ObservingSink {
    /// `leased`: whether the gateway has a freshness lease, which is expired at its start.
    pub(super) fn new(
        gateway: usize,
        inner: Arc<dyn EventSink>,
        clock: Arc<OnceLock<Clock>>,
        leased: bool,
    ) -> ObservingSink {
        let fresh_until_us = leased.then(sagearch_clock::unix_micros);
        let observations = Mutex::new(Observations { fresh_until_us, ..Observations::default() });
        ObservingSink { gateway, inner, clock, observations }
    }

    /// Writes down what is new.
    pub(super) fn write(&self, output: &mut LineWriter) -> io::Result<()> {
        let (offsets, stale) = {
            let mut observations = lock(&self.observations);
            (std::mem::take(&mut observations.applied), std::mem::take(&mut observations.stale))
        };
        let gateway = self.gateway;
        if !offsets.is_empty() {
            output.write(&HostLine::Applied { gateway, offsets })?;
        }
        stale
            .into_iter()
            .try_for_each(|(from_us, until_us)| output.write(&HostLine::Stale { gateway, from_us, until_us }))
    }

    /// Writes down the span in which the lease has expired until now, if it has.
    pub(super) fn write_open_stale_span(&self, output: &mut LineWriter) -> io::Result<()> {
        let until_us = sagearch_clock::unix_micros();
        let expired = lock(&self.observations).fresh_until_us.filter(|expired| *expired < until_us);
        let Some(from_us) = expired else { return Ok(()) };
        output.write(&HostLine::Stale { gateway: self.gateway, from_us, until_us })
    }
}
