//! Attempts to release, their targets and results.

use crate::interface::{EndpointId, Micros};

/// An engine that may be asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseTarget {
    /// Which engine.
    pub id: EndpointId,
    /// When it last responded to anything; 0 for never.
    pub last_response: Micros,
    /// When something there last got no response, or no connection came up; 0 for never.
    pub last_failure: Micros,
    /// A connection to it is idle.
    pub has_idle_connection: bool,
    /// It drains or left the list.
    pub is_draining: bool,
}

impl ReleaseTarget {
    /// It has not responded since its last failure.
    pub fn silent(&self) -> bool {
        self.last_failure > self.last_response
    }

    /// It responded to something lately.
    pub(super) fn is_recent(&self, recent_since: Micros) -> bool {
        self.last_response >= recent_since && self.last_response > 0
    }
}

/// A release to send to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseAttempt {
    /// The request whose reservations are released.
    pub request: u64,
    /// Identifies the release; passed back with the result.
    pub release_id: u64,
    /// The engine to ask.
    pub target: EndpointId,
    /// Until when to wait for its answer.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseResult {
    /// The engine accepted the release.
    Accepted,
    /// It did not, or gave no answer.
    Failed,
    /// The attempt could not be sent for want of a descriptor: that says nothing about the engine.
    NoLocalResources,
}
