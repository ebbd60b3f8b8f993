//! The ids of requests, which are registered as long as anything of the request is in progress.

use crate::sync::lock;
use ivyward::core::request_ids::{RepeatedId, RequestIds};
use std::sync::{Arc, Mutex};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The ids of the node's requests.
pub(crate) struct IdRegistry {
    ids: Mutex<RequestIds>,
    /// The seed of the hashes, so that clients cannot choose ids with the same hash.
    seed: u64,
}

impl IdRegistry {
    pub(crate) fn new(seed: u64) -> Arc<IdRegistry> {
        Arc::new(IdRegistry {
            ids: Mutex::default(),
            seed,
        })
    }

    /// Registers the id of a new request until the returned value is dropped.
    pub(crate) fn register(self: &Arc<Self>, id: &str) -> Result<RequestId, RepeatedId> {
        let hash = xxh3_64_with_seed(id.as_bytes(), self.seed);
        lock(&self.ids).open(hash)?;
        Ok(RequestId {
            registry: self.clone(),
            text: id.to_owned(),
            hash,
        })
    }
}

/// The id of a request: the client's `X-Request-ID`.
pub(crate) struct RequestId {
    registry: Arc<IdRegistry>,
    text: String,
    hash: u64,
}

impl RequestId {
    pub(crate) fn as_str(&self) -> &str {
        &self.text
    }

    /// Records that the request may have run, and must not run again.
    pub(crate) fn record_run(&self) {
        lock(&self.registry.ids).record_run(self.hash);
    }
}

impl Drop for RequestId {
    fn drop(&mut self) {
        lock(&self.registry.ids).close(self.hash);
    }
}
