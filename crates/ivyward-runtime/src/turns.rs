//! Measures how long tasks keep their thread. While one task runs, no timer, signal or other task of its thread does.
#![allow(clippy::disallowed_methods)] // Measures real time, also of tasks that read no clock.

use crate::{BoxFuture, Micros};
use std::future::Future;
use std::panic::Location;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

/// One turn of a task: the time from when the executor polls it until it gives the thread back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// How long the turn took, in microseconds. On a busy machine this contains the time in which the thread did not run.
    pub duration: Micros,
    /// Where the task was started.
    pub task: &'static Location<'static>,
}

/// Records the longest turn of a runtime's tasks.
#[derive(Debug, Default)]
pub struct TurnMonitor {
    /// The duration of `longest`, which most turns are compared with without a lock.
    longest_duration: AtomicU64,
    longest: Mutex<Option<Turn>>,
}

impl TurnMonitor {
    /// Returns the longest turn since the last call, and begins anew; `None` if no task has run.
    pub fn take_longest(&self) -> Option<Turn> {
        let mut longest = self.longest.lock().unwrap_or_else(PoisonError::into_inner);
        self.longest_duration.store(0, Ordering::Relaxed);
        longest.take()
    }

    fn record(&self, turn: Turn) {
        if turn.duration <= self.longest_duration.load(Ordering::Relaxed) {
            return;
        }
        let mut longest = self.longest.lock().unwrap_or_else(PoisonError::into_inner);
        if longest.is_none_or(|known| known.duration < turn.duration) {
            self.longest_duration
                .store(turn.duration, Ordering::Relaxed);
            *longest = Some(turn);
        }
    }
}

/// A task whose turns are recorded.
pub(crate) struct MonitoredTask {
    pub(crate) task: BoxFuture<()>,
    pub(crate) started_at: &'static Location<'static>,
    pub(crate) monitor: Arc<TurnMonitor>,
}

impl Future for MonitoredTask {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let began = Instant::now();
        let result = self.task.as_mut().poll(cx);
        self.monitor.record(Turn {
            duration: began.elapsed().as_micros() as Micros,
            task: self.started_at,
        });
        result
    }
}
