//! Records when no thread of this process ran.
//!
//! Clients, engines and nodes of a local cluster share a process and its clock. While the system does not run the process, all
//! of them miss their times, and none can do anything about it.

use ivyward::core::interface::Micros;
use ivyward_fakes::event_log::ObservedEvent;
use ivyward_fakes::EventLog;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long the monitor sleeps at a time, in microseconds.
const SLEEP: Micros = 10_000;
/// The shortest stall that is recorded, in microseconds. On a busy machine a thread also waits for others of its process.
const MIN_STALL: Micros = 100_000;

/// A thread that sleeps for short times, and records when it wakes late. It ends when the monitor is dropped.
pub(crate) struct StallMonitor {
    stopped: Arc<AtomicBool>,
}

impl StallMonitor {
    /// Starts recording stalls in `log`.
    pub(crate) fn start(log: EventLog) -> StallMonitor {
        let stopped = Arc::new(AtomicBool::new(false));
        let monitor = StallMonitor {
            stopped: stopped.clone(),
        };
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                sleep_and_record(&log);
            }
        });
        monitor
    }
}

/// Sleeps, and records by how much the sleep took too long.
fn sleep_and_record(log: &EventLog) {
    let due = log.now() + SLEEP;
    std::thread::sleep(Duration::from_micros(SLEEP));
    let duration = log.now().saturating_sub(due);
    if duration >= MIN_STALL {
        log.add(ObservedEvent::ProcessStalled { duration });
    }
}

impl Drop for StallMonitor {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
