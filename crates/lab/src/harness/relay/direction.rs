//! One direction of a relayed connection: reads, delays, changes and writes its bytes.

use super::LinkRelay;
use super::endpoint::{Chunk, ConnectionReset, MAX_QUEUED_CHUNKS, Sink, Source};
use crate::harness::sync::lock;
use crate::link_condition::Disruption;
use crate::network_emulation::{LinkQueue, flip_bit};
use crate::participant::ParticipantId;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// How a direction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Closed,
    Reset,
}

/// One direction of one connection.
#[derive(Clone, Copy)]
pub(super) struct Direction {
    pub(super) from: ParticipantId,
    pub(super) to: ParticipantId,
    /// Disruptions of the link before the connection came up.
    pub(super) disruptions: usize,
}

/// What becomes of a chunk that is due.
enum Fate {
    Delivered,
    /// The connection was open as its link fell silent.
    Lost,
    Reset,
}

type ReadChunk = Result<Chunk, ConnectionReset>;

impl LinkRelay {
    /// Forwards one direction until it ends.
    pub(super) async fn forward(&self, direction: Direction, source: Source, sink: &mut Sink) -> End {
        let (queue, chunks) = mpsc::channel::<ReadChunk>(MAX_QUEUED_CHUNKS);
        let reading = self.read_all(source, queue);
        let writer = Writer {
            relay: self,
            direction,
            queue: LinkQueue::default(),
            random: Pcg64Mcg::seed_from_u64(self.seeds.fetch_add(1, Ordering::Relaxed)),
            changed: self.changed.subscribe(),
            free: self.begin,
        };
        let writing = writer.write_all(chunks, sink);
        tokio::pin!(reading, writing);
        tokio::select! {
            end = &mut writing => end,
            () = &mut reading => writing.await,
        }
    }

    /// Queues all that a source sends, with the time at which it came.
    async fn read_all(&self, mut source: Source, queue: mpsc::Sender<ReadChunk>) {
        loop {
            match source.read().await {
                Ok(Some(bytes)) => {
                    self.received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                    if queue.send(Ok(Chunk { sent: self.now(), bytes })).await.is_err() {
                        return;
                    }
                }
                Ok(None) => return,
                Err(reset) => return drop(queue.send(Err(reset)).await),
            }
        }
    }
}

/// Writes the chunks of one direction when they are due.
struct Writer<'a> {
    relay: &'a LinkRelay,
    direction: Direction,
    queue: LinkQueue,
    random: Pcg64Mcg,
    changed: watch::Receiver<u64>,
    /// When the receiver had taken the chunk before.
    free: Instant,
}

impl Writer<'_> {
    async fn write_all(mut self, mut chunks: mpsc::Receiver<ReadChunk>, sink: &mut Sink) -> End {
        loop {
            let next = tokio::select! {
                next = chunks.recv() => next,
                _ = self.changed.changed() => {
                    if self.relay.inspect(&self.direction).1 == Some(Disruption::Reset) {
                        return End::Reset;
                    }
                    continue;
                }
            };
            let end = match next {
                Some(Ok(chunk)) => self.write(chunk, sink).await,
                Some(Err(ConnectionReset)) => Some(End::Reset),
                None => Some(self.close(sink).await),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Writes one chunk when it is due. Tells the end of the direction, if this was it.
    async fn write(&mut self, mut chunk: Chunk, sink: &mut Sink) -> Option<End> {
        let link = self.relay.inspect(&self.direction).0;
        let arrival = Duration::from_micros(chunk.sent);
        let departure = self.queue.departure(arrival, chunk.bytes.len(), &link, &mut self.random);
        let due = (self.relay.begin + departure).max(self.free);
        if departure > arrival {
            tokio::time::sleep_until(due).await;
        }
        let late = Instant::now().saturating_duration_since(due).as_micros() as u64;
        lock(&self.relay.late).saturating_record(late);
        match self.fate().await {
            Fate::Delivered => {}
            Fate::Lost => return None,
            Fate::Reset => return Some(End::Reset),
        }
        flip_bit(&mut chunk.bytes, &link, &mut self.random);
        let length = chunk.bytes.len() as u64;
        if sink.write(chunk).await.is_err() {
            return Some(End::Reset);
        }
        // A receiver that takes bytes slowly, or the cut before, is not the relay's own lateness.
        self.free = Instant::now();
        self.relay.sent.fetch_add(length, Ordering::Relaxed);
        None
    }

    /// The end of the bytes is held and lost like them.
    async fn close(&mut self, sink: &mut Sink) -> End {
        match self.fate().await {
            Fate::Delivered => sink.close().await,
            Fate::Lost => {}
            Fate::Reset => return End::Reset,
        }
        End::Closed
    }

    /// Waits while the link is cut.
    async fn fate(&mut self) -> Fate {
        loop {
            let (link, disruption) = self.relay.inspect(&self.direction);
            match disruption {
                Some(Disruption::Reset) => return Fate::Reset,
                Some(Disruption::Silenced) => return Fate::Lost,
                None if !link.cut => return Fate::Delivered,
                None => {}
            }
            if self.changed.changed().await.is_err() {
                return Fate::Reset;
            }
        }
    }
}
