//! The event bus of a scale run, in a process of its own: one sequence of numbered events with a feed identity, served by
//! long poll to thousands of pollers.
//!
//! It writes its address on standard output, publishes events from the line `begin` on standard input to the line
//! `pause`, and ends with its input.

mod event_log;
mod publisher;
mod recorder;
mod server;

use super::error::ScaleError;
use super::plan::BusPlan;
use event_log::EventLog;
use publisher::Publisher;
use recorder::Recorder;
use server::{Counters, Server};
use std::io::{self, Write};
use std::sync::Arc;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::watch;

/// Threads that serve pollers.
const WORKER_THREADS: usize = 3;
/// The line on standard input from which events are published.
pub const BEGIN: &str = "begin";
/// The line on standard input from which no events are published.
pub const PAUSE: &str = "pause";

async fn serve(plan: BusPlan) -> io::Result<()> {
    let log = Arc::new(EventLog::new(&plan.feed, &plan.stores));
    let counters = Arc::new(Counters::default());
    let recorder = Arc::new(Recorder::create(&plan.output)?);
    let server = Arc::new(Server::new(log.clone(), counters.clone()));
    let listener = server::listen()?;
    println!("{}", listener.local_addr()?);
    io::stdout().flush()?;
    let (publishing, is_publishing) = watch::channel(false);
    tokio::spawn(server.accept(listener));
    tokio::spawn(recorder.clone().record_usage(counters));
    let publisher = Publisher::new(log, recorder.clone(), plan);
    tokio::spawn(publisher.clone().publish_purges(is_publishing.clone()));
    tokio::spawn(publisher.publish_store_lists(is_publishing));
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        publishing.send_replace(line.trim() == BEGIN);
    }
    recorder.flush()
}

/// Runs the bus until its standard input ends.
///
/// # Errors
///
/// Where the runtime, the listener, the record or standard input fails.
pub fn run(plan: BusPlan) -> Result<(), ScaleError> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build();
    let runtime = runtime.map_err(ScaleError::in_operation("the runtime of the event bus"))?;
    let served = runtime.block_on(serve(plan));
    // A blocking read of standard input that is under way can't be ended.
    runtime.shutdown_background();
    served.map_err(ScaleError::in_operation("the event bus"))
}
