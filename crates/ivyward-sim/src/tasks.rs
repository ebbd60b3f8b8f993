//! The tasks of all hosts, polled one at a time in an order drawn from the seed.

use crate::HostId;
use ivyward_runtime::{BoxFuture, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Wake, Waker};

/// Maximum number of polls between two events; beyond it the run ends with [`RunError::Livelock`].
pub(crate) const MAX_POLLS_PER_EVENT: u64 = 2_000_000;

/// The reason why a simulation run ended before its future was done.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RunError {
    /// Tasks are pending, and no event is queued that could wake them.
    #[error("no event is pending at {at} us; waiting tasks by host: {waiting:?}")]
    Deadlock {
        /// Virtual time of the failure, in microseconds.
        at: Micros,
        /// Number of pending tasks of each host.
        waiting: BTreeMap<HostId, usize>,
    },
    /// Tasks keep waking each other without virtual time advancing.
    #[error("livelock at {at} us: tasks keep waking each other without time advancing, the last one on host {host}")]
    Livelock {
        /// Virtual time of the failure, in microseconds.
        at: Micros,
        /// The host of the task that was due to be polled next.
        host: HostId,
    },
    /// The run reached its time limit.
    #[error("it was not done by {at} us")]
    TimedOut {
        /// The time limit, in microseconds of virtual time.
        at: Micros,
    },
}

/// A spawned future of a host. Waking it puts it in the ready list unless it is there already.
pub(crate) struct Task {
    pub(crate) id: u64,
    pub(crate) host: HostId,
    queued: AtomicBool,
    future: Mutex<Option<BoxFuture<()>>>,
    ready: Weak<Mutex<Vec<Arc<Task>>>>,
}

impl Wake for Task {
    fn wake(self: Arc<Self>) {
        let Some(ready) = self.ready.upgrade() else {
            return;
        };
        if !self.queued.swap(true, Ordering::SeqCst) {
            lock(&ready).push(self);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The tasks that are neither done nor killed, by id, and the generator that picks the next one.
struct TaskTable {
    tasks: BTreeMap<u64, Arc<Task>>,
    next: u64,
    random: SmallRng,
}

pub(crate) struct Tasks {
    ready: Arc<Mutex<Vec<Arc<Task>>>>,
    table: Mutex<TaskTable>,
}

impl Tasks {
    pub(crate) fn new(seed: u64) -> Tasks {
        let random = SmallRng::seed_from_u64(seed ^ 0x7a5c);
        Tasks {
            ready: Arc::default(),
            table: Mutex::new(TaskTable {
                tasks: BTreeMap::new(),
                next: 1,
                random,
            }),
        }
    }

    pub(crate) fn spawn(&self, host: HostId, future: BoxFuture<()>) {
        let task = {
            let mut table = lock(&self.table);
            let id = table.next;
            table.next += 1;
            let task = Arc::new(Task {
                id,
                host,
                queued: AtomicBool::new(false),
                future: Mutex::new(Some(future)),
                ready: Arc::downgrade(&self.ready),
            });
            table.tasks.insert(id, task.clone());
            task
        };
        task.wake();
    }

    /// Takes a ready task whose host is not paused; among several, the seed draws one.
    pub(crate) fn next(&self, paused: impl Fn(HostId) -> bool) -> Option<Arc<Task>> {
        let mut ready = lock(&self.ready);
        let runnable: Vec<usize> = (0..ready.len())
            .filter(|i| !paused(ready[*i].host))
            .collect();
        let pick = match runnable.len() {
            0 => return None,
            1 => 0,
            n => lock(&self.table).random.random_range(0..n),
        };
        let task = ready.remove(runnable[pick]);
        task.queued.store(false, Ordering::SeqCst);
        Some(task)
    }

    pub(crate) fn poll(&self, task: &Arc<Task>) {
        let Some(mut future) = lock(&task.future).take() else {
            return;
        };
        let waker = Waker::from(task.clone());
        // A panic ends only the task in which it happens; the other tasks go on.
        let polled = catch_unwind(AssertUnwindSafe(|| {
            future.as_mut().poll(&mut Context::from_waker(&waker))
        }));
        // A task whose host was killed during the poll is no longer in the table; its future is dropped here.
        let pending = matches!(polled, Ok(Poll::Pending));
        if pending && lock(&self.table).tasks.contains_key(&task.id) {
            *lock(&task.future) = Some(future);
            return;
        }
        lock(&self.table).tasks.remove(&task.id);
        drop(future);
    }

    /// Removes all tasks of a host and drops their futures.
    pub(crate) fn kill(&self, host: HostId) {
        let removed: Vec<Arc<Task>> = {
            let mut table = lock(&self.table);
            let ids: Vec<u64> = table
                .tasks
                .values()
                .filter(|t| t.host == host)
                .map(|t| t.id)
                .collect();
            ids.into_iter()
                .filter_map(|id| table.tasks.remove(&id))
                .collect()
        };
        lock(&self.ready).retain(|t| t.host != host);
        for task in removed {
            let future = lock(&task.future).take();
            drop(future);
        }
    }

    /// Returns the number of unfinished tasks of each host.
    pub(crate) fn waiting(&self) -> BTreeMap<HostId, usize> {
        let mut out = BTreeMap::new();
        for task in lock(&self.table).tasks.values() {
            *out.entry(task.host).or_insert(0) += 1;
        }
        out
    }
}
