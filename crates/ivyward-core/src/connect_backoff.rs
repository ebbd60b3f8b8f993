//! When a connection that could not be opened for want of something on this machine is tried again. No I/O, no clock.

use crate::interface::Micros;

/// A moment without a port, a buffer or a descriptor is short: connections that close free them.
const PAUSE: Micros = 10_000;

/// When to try again a dial that failed on this machine at `now` and has time until `until`; `None` where none is left.
pub fn retry_at(now: Micros, until: Micros) -> Option<Micros> {
    let at = now.saturating_add(PAUSE);
    (at < until).then_some(at)
}
