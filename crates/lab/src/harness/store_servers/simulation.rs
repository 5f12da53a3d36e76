//! Advances the model of the stores in real time, and writes its answers.

use super::requests::OpenRequest;
use super::{IDLE_INTERVAL, StoreServers};
use crate::harness::sync::lock;
use crate::model::copies::Copy;
use crate::model::world::{Answer, Status, TaskId, WorldEvent};
use crate::object_body;
use crate::participant::ParticipantId;
use crate::store_protocol;
use crate::trace::{AttemptStatus, EventKind, Micros};
use std::sync::Arc;
use std::time::Duration;

/// What a copy is answered with.
struct CopyAnswer {
    word: &'static str,
    status: AttemptStatus,
    etag: String,
    body: Vec<u8>,
}

impl StoreServers {
    /// Does what is due in the model, for the whole run.
    pub(super) async fn simulate(self: Arc<Self>) {
        loop {
            let (failed, next) = self.advance();
            for store in failed {
                self.context.recorder.record(EventKind::Fell { store });
                self.crash(store);
                // Nobody listens any more once the run is over.
                let _ = self.failed.send(store);
            }
            let until = |at: Micros| Duration::from_micros(at.saturating_sub(self.context.relay.now()));
            let wait = next.map_or(IDLE_INTERVAL, until);
            tokio::select! {
                () = tokio::time::sleep(wait.min(IDLE_INTERVAL)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Hands out what is due; tells the stores that have failed, and when something is due next.
    fn advance(&self) -> (Vec<ParticipantId>, Option<Micros>) {
        let mut open = lock(&self.open);
        let mut world = lock(&self.world);
        let events = world.advance(self.context.relay.now());
        let next = world.next();
        drop(world);
        let mut failed = Vec::new();
        for event in events {
            match event {
                WorldEvent::Answer(attempt, answer) => {
                    if let Some(request) = open.remove(&attempt) {
                        self.answer(attempt, &request, &answer);
                    }
                }
                WorldEvent::Overloaded(store) => failed.push(store),
            }
        }
        (failed, next)
    }

    fn answer(&self, attempt: TaskId, request: &OpenRequest, answer: &Answer) {
        let mut fields: Vec<(&str, String)> = Vec::new();
        fields.extend(store_protocol::result_word(answer.result).map(|word| ("res", word.to_string())));
        fields.push(("ttfb", (answer.waited / 1_000).to_string()));
        let (word, status, body) = match &answer.status {
            Status::Ok(copy) => {
                let CopyAnswer { word, status, etag, body } = self.copy_answer(request, copy);
                fields.push(("etag", etag));
                fields.push(("made", ((self.context.epoch + copy.made) / 1_000).to_string()));
                (word, status, body)
            }
            Status::Nothing => ("nothing", AttemptStatus::Nothing, Vec::new()),
            Status::Refused => ("refused", AttemptStatus::Refused, Vec::new()),
            Status::Error => ("error", AttemptStatus::Error, Vec::new()),
            Status::Stale => ("stale", AttemptStatus::Stale, Vec::new()),
        };
        self.context.recorder.record(EventKind::Ended { attempt, word: status });
        // A connection that has closed takes no answer.
        let _ = request.answers.send(store_protocol::answer(request.id, word, &fields, &body));
    }

    /// The bytes of a copy, unless the gateway has the same ones.
    fn copy_answer(&self, request: &OpenRequest, copy: &Copy) -> CopyAnswer {
        let key = (request.pull.object.clone(), request.pull.part.clone());
        let etag = object_body::etag(&key, copy.version);
        if request.pull.have.as_ref() == Some(&etag) {
            return CopyAnswer { word: "current", status: AttemptStatus::Current, etag, body: Vec::new() };
        }
        let body = object_body::make(&key, copy, self.part_bytes as usize);
        CopyAnswer { word: "ok", status: AttemptStatus::Ok, etag, body }
    }
}
