//! Records when no thread of this process ran.
//!
//! Clients, engines and nodes of a local cluster share a process and its clock. While the system does not run the process, all
//! of them miss their times, and none can do anything about it.

use ivyward::core::interface::Micros;
use ivyward_fakes::event_log::ObservedEvent;
use ivyward_fakes::EventLog;
use ivyward_runtime::{RuntimeExt, SmolRuntime};
use std::sync::Arc;

/// How long the monitor sleeps at a time, in microseconds.
const SLEEP: Micros = 10_000;
/// The shortest stall that is recorded, in microseconds. On a busy machine a thread also waits for others of its process.
const MIN_STALL: Micros = 100_000;

/// Sleeps for short times on a thread of its own, and records when it wakes late, until it is dropped.
pub(crate) struct StallMonitor {
    _runtime: Arc<SmolRuntime>,
}

impl StallMonitor {
    /// Starts recording stalls in `log`.
    pub(crate) fn start(log: EventLog) -> StallMonitor {
        let runtime = SmolRuntime::start(1, 0);
        let timers = Arc::downgrade(&runtime);
        runtime.run(async move {
            while let Some(sleep) = timers.upgrade().map(|runtime| runtime.sleep(SLEEP)) {
                let due = log.now() + SLEEP;
                sleep.await;
                record_stall(&log, log.now().saturating_sub(due));
            }
        });
        StallMonitor { _runtime: runtime }
    }
}

/// Records a stall if a sleep took this much too long.
fn record_stall(log: &EventLog, duration: Micros) {
    if duration >= MIN_STALL {
        log.add(ObservedEvent::ProcessStalled { duration });
    }
}
