//! When to retry a connection attempt that failed because the node lacked local resources. The module does no I/O and reads
//! no clock.

use crate::interface::Micros;

/// Pause before the retry, in microseconds. A lack of ports, buffers or file descriptors is short, because connections that
/// close release them.
const PAUSE: Micros = 10_000;

/// Returns when to retry a connection attempt that failed for lack of local resources at `now`; `None` if the retry
/// would not start before `deadline`.
pub fn retry_at(now: Micros, deadline: Micros) -> Option<Micros> {
    let at = now.saturating_add(PAUSE);
    (at < deadline).then_some(at)
}
