//! Puts what all participants observed into one trace, in the order of its times, and has it checked as it comes.

use super::relay::LinkRelay;
use crate::arrival_counts::ArrivalCounts;
use crate::check::Checker;
use crate::trace::{EventKind, Micros, TraceEvent};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// What was observed at one time may come to the recorder a little later than what was observed after it.
const REORDERING_WINDOW: Micros = 2_000_000;
/// How often events that have waited long enough are looked for.
const INTERVAL: Duration = Duration::from_millis(200);

/// Takes in what a participant observes. Cheap to clone.
#[derive(Clone)]
pub struct Recorder {
    to: mpsc::UnboundedSender<TraceEvent>,
    relay: Arc<LinkRelay>,
}

impl Recorder {
    /// Records an event of this moment.
    pub fn record(&self, what: EventKind) {
        self.record_at(self.relay.now(), what);
    }

    /// Records an event of an earlier time.
    pub fn record_at(&self, at: Micros, what: EventKind) {
        // Events after the run's end are not judged.
        let _ = self.to.send(TraceEvent { at, what });
    }
}

/// An event by its time, then by the order in which it came.
struct Waiting {
    order: (Micros, u64),
    event: TraceEvent,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}

/// What the trace of a run has come to.
pub struct Recorded {
    /// The checker, which has seen all events.
    pub checker: Checker,
    /// The requests that came to each store.
    pub arrival_counts: ArrivalCounts,
    /// How many events there were.
    pub events: u64,
}

/// Events on their way into the trace.
struct Trace<W> {
    recorded: Recorded,
    waiting: BinaryHeap<Reverse<Waiting>>,
    received: u64,
    file: W,
}

impl<W: Write> Trace<W> {
    fn receive(&mut self, event: TraceEvent) {
        self.received += 1;
        self.waiting.push(Reverse(Waiting { order: (event.at, self.received), event }));
    }

    /// Takes in all events up to a time.
    fn settle(&mut self, until: Micros) {
        while self.waiting.peek().is_some_and(|Reverse(first)| first.order.0 <= until) {
            if let Some(Reverse(Waiting { event, .. })) = self.waiting.pop() {
                self.append(&event);
            }
        }
    }

    fn append(&mut self, event: &TraceEvent) {
        self.recorded.checker.observe(event);
        self.recorded.arrival_counts.count(event);
        self.recorded.events += 1;
        if let Ok(line) = serde_json::to_string(event) {
            // A trace that can't be written fails no run: it is checked all the same.
            let _ = writeln!(self.file, "{line}");
        }
    }
}

/// A trace that is being recorded.
pub struct Recording {
    /// Takes in the events.
    pub recorder: Recorder,
    stop: oneshot::Sender<()>,
    recorded: tokio::task::JoinHandle<Recorded>,
}

impl Recording {
    /// Begins a trace, which is written to a file as well.
    pub fn begin(
        relay: Arc<LinkRelay>,
        checker: Checker,
        arrival_counts: ArrivalCounts,
        file: impl Write + Send + 'static,
    ) -> Recording {
        let (to, from) = mpsc::unbounded_channel();
        let (stop, stops) = oneshot::channel();
        let recorded = Recorded { checker, arrival_counts, events: 0 };
        let trace = Trace { recorded, waiting: BinaryHeap::new(), received: 0, file };
        let recorded = tokio::spawn(record_all(trace, relay.clone(), from, stops));
        Recording { recorder: Recorder { to, relay }, stop, recorded }
    }

    /// What has been recorded so far. `None`: the recorder has died.
    pub async fn finish(self) -> Option<Recorded> {
        // A recorder that has died says so below.
        let _ = self.stop.send(());
        self.recorded.await.ok()
    }
}

async fn record_all<W: Write>(
    mut trace: Trace<W>,
    clock: Arc<LinkRelay>,
    mut from: mpsc::UnboundedReceiver<TraceEvent>,
    mut stops: oneshot::Receiver<()>,
) -> Recorded {
    let (mut open, mut stopped) = (true, false);
    while open {
        tokio::select! {
            event = from.recv() => match event {
                Some(event) => trace.receive(event),
                None => open = false,
            },
            // What participants still record is of no run any more; what they have recorded is.
            _ = &mut stops, if !stopped => {
                stopped = true;
                from.close();
            }
            () = tokio::time::sleep(INTERVAL) => {}
        }
        trace.settle(if open { clock.now().saturating_sub(REORDERING_WINDOW) } else { Micros::MAX });
    }
    trace.recorded
}
