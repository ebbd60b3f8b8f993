//! Tasks of all hosts, polled one at a time in an order that the seed draws.

use crate::HostId;
use ivyward_runtime::{BoxFuture, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Wake, Waker};

/// Polls at one instant after which a task is taken to spin.
pub(crate) const MOST_POLLS: u64 = 2_000_000;

/// Why a world cannot go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RunError {
    /// Tasks wait, and nothing will ever wake them.
    #[error("at {at} us nothing is left to happen; tasks that wait, by host: {waiting:?}")]
    Deadlock {
        /// When.
        at: Micros,
        /// How many tasks of each host wait.
        waiting: BTreeMap<HostId, usize>,
    },
    /// Tasks wake each other without time passing.
    #[error("at {at} us tasks spin, the last one at host {host}")]
    Livelock {
        /// When.
        at: Micros,
        /// Where.
        host: HostId,
    },
    /// The latest time came.
    #[error("it was not done by {at} us")]
    TimedOut {
        /// That time.
        at: Micros,
    },
}

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

struct Known {
    tasks: BTreeMap<u64, Arc<Task>>,
    next: u64,
    random: SmallRng,
}

pub(crate) struct Tasks {
    ready: Arc<Mutex<Vec<Arc<Task>>>>,
    known: Mutex<Known>,
}

impl Tasks {
    pub(crate) fn new(seed: u64) -> Tasks {
        let random = SmallRng::seed_from_u64(seed ^ 0x7a5c);
        Tasks {
            ready: Arc::default(),
            known: Mutex::new(Known {
                tasks: BTreeMap::new(),
                next: 1,
                random,
            }),
        }
    }

    pub(crate) fn spawn(&self, host: HostId, future: BoxFuture<()>) {
        let task = {
            let mut known = lock(&self.known);
            let id = known.next;
            known.next += 1;
            let task = Arc::new(Task {
                id,
                host,
                queued: AtomicBool::new(false),
                future: Mutex::new(Some(future)),
                ready: Arc::downgrade(&self.ready),
            });
            known.tasks.insert(id, task.clone());
            task
        };
        task.wake();
    }

    /// One of those that are ready and whose host runs.
    pub(crate) fn next(&self, frozen: impl Fn(HostId) -> bool) -> Option<Arc<Task>> {
        let mut ready = lock(&self.ready);
        let open: Vec<usize> = (0..ready.len())
            .filter(|i| !frozen(ready[*i].host))
            .collect();
        let pick = match open.len() {
            0 => return None,
            1 => 0,
            n => lock(&self.known).random.random_range(0..n),
        };
        let task = ready.remove(open[pick]);
        task.queued.store(false, Ordering::SeqCst);
        Some(task)
    }

    pub(crate) fn poll(&self, task: &Arc<Task>) {
        let Some(mut future) = lock(&task.future).take() else {
            return;
        };
        let waker = Waker::from(task.clone());
        // A task that panics is over; the others go on, as they would beside it.
        let polled = catch_unwind(AssertUnwindSafe(|| {
            future.as_mut().poll(&mut Context::from_waker(&waker))
        }));
        // It may have been killed while it ran: then it is not among the known any more, and ends here.
        let pending = matches!(polled, Ok(Poll::Pending));
        if pending && lock(&self.known).tasks.contains_key(&task.id) {
            *lock(&task.future) = Some(future);
            return;
        }
        lock(&self.known).tasks.remove(&task.id);
        drop(future);
    }

    /// Drops all tasks of a host.
    pub(crate) fn kill(&self, host: HostId) {
        let gone: Vec<Arc<Task>> = {
            let mut known = lock(&self.known);
            let ids: Vec<u64> = known
                .tasks
                .values()
                .filter(|t| t.host == host)
                .map(|t| t.id)
                .collect();
            ids.into_iter()
                .filter_map(|id| known.tasks.remove(&id))
                .collect()
        };
        lock(&self.ready).retain(|t| t.host != host);
        for task in gone {
            let future = lock(&task.future).take();
            drop(future);
        }
    }

    /// How many tasks there are, by host.
    pub(crate) fn waiting(&self) -> BTreeMap<HostId, usize> {
        let mut out = BTreeMap::new();
        for task in lock(&self.known).tasks.values() {
            *out.entry(task.host).or_insert(0) += 1;
        }
        out
    }
}
