//! The operators' commands that create a version: publish and rollback.

use super::Server;
use super::error::PublicationError;
use crate::{COMPILED_DOCUMENT, DOCUMENT};
use sagearch_operators::compile;
use sagearch_stream::rollout::Plan;
use sagearch_stream::service::Prepared;
use sagearch_stream::version::Documents;
use serde_json::{Value, json};
use std::time::Instant;

impl Server {
    /// Validates documents and publishes them as a new version. Nothing is sent to gateways if they are invalid.
    pub(super) fn publish(
        &mut self,
        mut documents: Documents,
        plan: Plan,
    ) -> Result<Value, PublicationError> {
        let text = documents.get(DOCUMENT).ok_or(PublicationError::MissingDocument)?;
        let compiled = compile(DOCUMENT, text)?;
        documents.insert(COMPILED_DOCUMENT.into(), compiled);
        let prepared = self.service.prepare(documents, plan, self.now_ms())?;
        self.store_and_commit(prepared)
    }

    /// Publishes a new version with the content of an earlier one.
    pub(super) fn rollback(&mut self, number: u64) -> Result<Value, PublicationError> {
        let prepared = self.service.prepare_rollback(number)?;
        self.store_and_commit(prepared)
    }

    /// Stores a version, and commits it only once it is stored.
    fn store_and_commit(&mut self, prepared: Prepared) -> Result<Value, PublicationError> {
        let id = prepared.version.id.clone();
        if let Err(e) = self.persistence.publish(Instant::now(), &prepared.version, &prepared.state) {
            // The version's file may exist and the stored state may refer to it, so the number must not be reused for
            // other content.
            self.service.abandon(&prepared);
            self.persistence.set_state(Instant::now(), self.service.state().clone());
            return Err(PublicationError::NotStored(e));
        }
        tracing::info!(version = %id, "published");
        let outputs = self.service.commit(prepared);
        self.apply_outputs(outputs);
        Ok(json!({"epoch": id.epoch, "number": id.number, "digest": id.digest}))
    }
}
