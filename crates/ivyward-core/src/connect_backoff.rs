//! When to retry a connection that failed for want of local resources. No I/O, no clock.

use crate::interface::Micros;

/// Pause in microseconds: lack of ports, buffers or descriptors is short, as closing connections free them.
const PAUSE: Micros = 10_000;

/// When to retry a connection that failed locally at `now` and has time until `until`; `None` if no time is left.
pub fn retry_at(now: Micros, until: Micros) -> Option<Micros> {
    let at = now.saturating_add(PAUSE);
    (at < until).then_some(at)
}
