//! Decides until when a stopping node accepts requests.

use crate::interface::Micros;

/// The time after the stop signal in which connections are accepted and kept: 650 ms, because the load balancer in front of the
/// nodes notices the stop with a delay.
const CONNECTIONS_AFTER_STOP: Micros = 650_000;
/// The time after the stop signal in which requests are accepted: 680 ms. A request that crossed the close of its connection is
/// still read then; the platform may cut the response to one that is received over 700 ms after the signal.
const REQUESTS_AFTER_STOP: Micros = 680_000;

/// Whether a node accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// Accepts requests.
    #[default]
    Open,
    /// The node got a stop signal at this time.
    Stopping {
        /// The time of the signal.
        since: Micros,
    },
}

impl Admission {
    /// Changes the state at a stop signal at `now`, and returns the time from which idle connections are closed and no connection
    /// is accepted. A further signal changes nothing.
    pub fn stop(&mut self, now: Micros) -> Micros {
        let since = match *self {
            Admission::Open => now,
            Admission::Stopping { since } => since,
        };
        *self = Admission::Stopping { since };
        since.saturating_add(CONNECTIONS_AFTER_STOP)
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
            Admission::Stopping { since } => now < since.saturating_add(REQUESTS_AFTER_STOP),
        }
    }
}
