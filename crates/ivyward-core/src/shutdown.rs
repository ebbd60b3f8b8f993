//! Decides until when a stopping node accepts requests.

use crate::interface::Micros;

/// The time after the stop signal in which requests are accepted: 650 ms, because the load balancer in front of the nodes notices
/// the stop with a delay. The platform may kill the process before the end of a request that was received over 700 ms after the
/// signal.
const ACCEPT_AFTER_STOP: Micros = 650_000;

/// Whether a node accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// Accepts requests.
    #[default]
    Open,
    /// The node is stopping. Accepts requests until this time.
    ClosesAt(Micros),
}

impl Admission {
    /// Changes the state at a stop signal at `now`, and returns the time from which no request is accepted. A further signal
    /// changes nothing.
    pub fn stop(&mut self, now: Micros) -> Micros {
        let closes_at = match *self {
            Admission::Open => now.saturating_add(ACCEPT_AFTER_STOP),
            Admission::ClosesAt(at) => at,
        };
        *self = Admission::ClosesAt(closes_at);
        closes_at
    }

    /// Whether the node was told to stop.
    pub fn is_stopping(&self) -> bool {
        *self != Admission::Open
    }

    /// Whether a request is accepted whose last byte was received at `now`. When its first byte or its connection was received
    /// does not matter.
    pub fn accepts(&self, now: Micros) -> bool {
        match *self {
            Admission::Open => true,
            Admission::ClosesAt(at) => now < at,
        }
    }
}
