//! Release attempts, the engines they can be sent to, and their results.

use crate::interface::{EndpointId, Micros};

/// An engine that can be asked to accept a release, with what is known about its reachability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseTarget {
    /// The engine's id.
    pub id: EndpointId,
    /// When the engine last responded to any request; 0 for never.
    pub last_response: Micros,
    /// When a request to the engine last got no response, or a connection to it last failed; 0 for never.
    pub last_failure: Micros,
    /// Whether the node has an idle connection to the engine.
    pub has_idle_connection: bool,
    /// Whether the engine drains or was removed from the list.
    pub is_draining: bool,
}

impl ReleaseTarget {
    /// Returns whether the engine has not responded since its last failure.
    pub fn is_unresponsive(&self) -> bool {
        self.last_failure > self.last_response
    }

    /// Returns whether the engine has responded since `recent_since`.
    pub(super) fn is_recent(&self, recent_since: Micros) -> bool {
        self.last_response >= recent_since && self.last_response > 0
    }
}

/// One attempt to send a release to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseAttempt {
    /// The request whose reservations are released.
    pub request: u64,
    /// Identifies the release in the queue; [`super::ReleaseQueue::on_result`] needs it.
    pub release_id: u64,
    /// The engine to send the release to.
    pub target: EndpointId,
    /// When the attempt times out without an answer.
    pub deadline: Micros,
    /// Whether the attempt may use an idle connection. Idle connections may have fallen silent all at once.
    pub may_reuse_connection: bool,
}

/// The result of a release attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseResult {
    /// The engine accepted the release.
    Accepted,
    /// The engine did not accept the release, or gave no answer.
    Failed,
    /// The attempt was not sent because the node had no file descriptor left. This does not count against the engine.
    NoLocalResources,
}
