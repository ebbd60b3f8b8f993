//! Decides whether a request may be accepted whose id a client has used before.
//!
//! Clients give each request an id of its own. One that comes again is a repeat, for example of a client that has disconnected, and
//! may not run twice. An id is known while its request is open, and after that if the request may have run and must not be repeated.

use std::collections::{BTreeSet, VecDeque};

/// The maximum number of ids of requests that may have run. The oldest ones are forgotten.
const MAX_RAN: usize = 1 << 14;

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatedId {
    /// A request with this id is open, or an attempt of it is still in flight.
    Open,
    /// A request with this id may have run, and must not run again.
    MayHaveRun,
}

/// The ids of a node's requests, as hashes.
#[derive(Clone, Debug, Default)]
pub struct RequestIds {
    open: BTreeSet<u64>,
    ran: BTreeSet<u64>,
    /// The members of `ran`, the oldest first.
    ran_order: VecDeque<u64>,
}

impl RequestIds {
    /// Registers the id of a new request.
    ///
    /// # Errors
    /// Returns an error if the request would be a repeat; the id stays as it was.
    pub fn open(&mut self, id: u64) -> Result<(), RepeatedId> {
        if self.ran.contains(&id) {
            return Err(RepeatedId::MayHaveRun);
        }
        match self.open.insert(id) {
            true => Ok(()),
            false => Err(RepeatedId::Open),
        }
    }

    /// Records that an open request may have run, and must not run again.
    pub fn record_run(&mut self, id: u64) {
        if !self.ran.insert(id) {
            return;
        }
        self.ran_order.push_back(id);
        if self.ran_order.len() > MAX_RAN {
            if let Some(oldest) = self.ran_order.pop_front() {
                self.ran.remove(&oldest);
            }
        }
    }

    /// Removes the id of a request that is no longer open, and has no attempt in flight.
    pub fn close(&mut self, id: u64) {
        self.open.remove(&id);
    }
}
