//! A deterministic simulation: clock, tasks, network and processes, all derived from one seed.
//!
//! - [`Sim`]: the whole of it; [`Sim::run`] plays it until a future is done, and says so when it cannot go on.
//! - [`Host`]: a process in it, which implements [`ivyward_runtime::Runtime`]; it can die, freeze and have a wrong clock.
//! - [`Net`]: what the network does between hosts, and [`Sim::set_partitioned`] for partitions.
//!
//! One thread polls one task at a time. Which of several ready tasks is next, and which of several events at one instant,
//! is drawn from the seed. Nothing here asks the system for time or randomness.

mod net;
mod tasks;

pub use net::NetworkConfig;
pub use tasks::RunError;

use ivyward_runtime::{BoxFuture, Conn, DatagramSocket, Listener, Micros, Runtime, RuntimeRef};
use net::Network;
use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use tasks::Tasks;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of a simulated process, never reused.
pub type HostId = usize;

/// What the monotonic clock shows when a simulation starts.
const BEGIN: Micros = 1_000_000;
/// Unix time, in microseconds, when the monotonic clock shows 0.
const EPOCH: Micros = 1_750_000_000_000_000;

/// Something that is due.
pub(crate) enum Due {
    Wake(Waker),
}

/// Everything that changes but the tasks.
pub(crate) struct State {
    pub(crate) now: Micros,
    pub(crate) random: SmallRng,
    /// By time, a drawn number that orders one instant, and a number of their own.
    queue: BTreeMap<(Micros, u32, u64), Due>,
    next: u64,
    pub(crate) net: Network,
    hosts: Vec<HostState>,
    digest: u64,
    events: u64,
}

struct HostState {
    alive: bool,
    frozen: bool,
    /// Its clock's error, in microseconds.
    skew: i64,
    random: SmallRng,
}

impl State {
    /// Wakes somebody at a time; the key takes it back.
    pub(crate) fn at(&mut self, at: Micros, waker: Waker) -> (Micros, u32, u64) {
        let key = (at.max(self.now), self.random.random(), self.next);
        self.next += 1;
        self.queue.insert(key, Due::Wake(waker));
        key
    }
    /// Takes something into the run's digest.
    pub(crate) fn note(&mut self, kind: u8, id: u64, bytes: &[u8]) {
        self.events += 1;
        let mut head = [kind; 17];
        head[1..9].copy_from_slice(&self.now.to_le_bytes());
        head[9..17].copy_from_slice(&id.to_le_bytes());
        self.digest = xxh3_64_with_seed(bytes, xxh3_64_with_seed(&head, self.digest));
    }
    fn alive(&self, host: HostId) -> bool {
        self.hosts.get(host).is_some_and(|h| h.alive)
    }
}

pub(crate) struct Inner {
    state: Mutex<State>,
    tasks: Tasks,
}

impl Inner {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A simulation. Clones are handles to the same one.
#[derive(Clone)]
pub struct Sim(Arc<Inner>);

impl Sim {
    /// A world from a seed, with a network that behaves so.
    pub fn new(seed: u64, net: NetworkConfig) -> Sim {
        let state = State {
            now: BEGIN,
            random: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            next: 0,
            net: Network::new(net),
            hosts: Vec::new(),
            digest: seed,
            events: 0,
        };
        Sim(Arc::new(Inner {
            state: Mutex::new(state),
            tasks: Tasks::new(seed),
        }))
    }

    /// A new process. Its random numbers come from the world's seed, its number and `salt`.
    pub fn host(&self, salt: u64) -> Arc<Host> {
        let mut state = self.0.lock();
        let id = state.hosts.len();
        let seed: u64 = state.random.random::<u64>() ^ salt;
        let random = SmallRng::seed_from_u64(seed);
        state.hosts.push(HostState {
            alive: true,
            frozen: false,
            skew: 0,
            random,
        });
        Arc::new(Host {
            inner: self.0.clone(),
            id,
        })
    }

    /// Plays the world until a future, run as a task of the host, is done.
    ///
    /// # Errors
    /// [`RunError`] when nothing is left that could happen, when a task spins, or at the latest time.
    pub fn run<T: Send + 'static>(
        &self,
        host: &Arc<Host>,
        until: Micros,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Result<T, RunError> {
        let result: Arc<Mutex<Option<T>>> = Arc::default();
        let put = result.clone();
        host.spawn(Box::pin(async move {
            let done = future.await;
            *put.lock().unwrap_or_else(PoisonError::into_inner) = Some(done);
        }));
        loop {
            self.settle()?;
            if let Some(done) = result.lock().unwrap_or_else(PoisonError::into_inner).take() {
                return Ok(done);
            }
            self.jump(until)?;
        }
    }

    /// Polls ready tasks until none is.
    fn settle(&self) -> Result<(), RunError> {
        let mut polls = 0u64;
        loop {
            let frozen = |host: HostId| self.0.lock().hosts[host].frozen;
            let Some(task) = self.0.tasks.next(frozen) else {
                return Ok(());
            };
            polls += 1;
            if polls > tasks::MOST_POLLS {
                let (at, host) = (self.now(), task.host);
                return Err(RunError::Livelock { at, host });
            }
            self.0.lock().note(1, task.id, &[]);
            self.0.tasks.poll(&task);
        }
    }

    /// Lets the next thing that is due happen.
    fn jump(&self, until: Micros) -> Result<(), RunError> {
        let due = {
            let mut state = self.0.lock();
            let Some(((at, _, id), due)) = state.queue.pop_first() else {
                return Err(RunError::Deadlock {
                    at: state.now,
                    waiting: self.0.tasks.waiting(),
                });
            };
            if at > until {
                return Err(RunError::TimedOut { at: until });
            }
            state.now = state.now.max(at);
            state.note(2, id, &[]);
            due
        };
        let Due::Wake(waker) = due;
        waker.wake();
        Ok(())
    }

    /// The clock.
    pub fn now(&self) -> Micros {
        self.0.lock().now
    }
    /// A digest over every byte that was read, every poll and every event so far, and how many those were.
    pub fn digest(&self) -> (u64, u64) {
        let state = self.0.lock();
        (state.digest, state.events)
    }
    /// Changes what the network does from now on.
    pub fn update_network(&self, change: impl FnOnce(&mut NetworkConfig)) {
        change(&mut self.0.lock().net.ways);
    }
    /// Sets an extra latency, in microseconds, of streams between two hosts, in each direction.
    pub fn set_extra_latency(&self, one: HostId, other: HostId, longer: Micros) {
        let mut state = self.0.lock();
        state.net.lag(one, other, longer);
        state.net.lag(other, one, longer);
    }
    /// Cuts or mends the way from one host to another, in that direction alone. What is under way then waits, as it
    /// would for TCP's next try.
    pub fn set_partitioned(&self, from: HostId, to: HostId, on: bool) {
        self.wake(|state| state.net.cut(from, to, on));
    }
    /// Pauses a process or resumes it. A paused process keeps its sockets and runs no task.
    pub fn set_paused(&self, host: HostId, on: bool) {
        if let Some(host) = self.0.lock().hosts.get_mut(host) {
            host.frozen = on;
        }
    }
    /// Sets the error of a host's wall clock, in microseconds.
    pub fn set_clock_skew(&self, host: HostId, skew: i64) {
        if let Some(host) = self.0.lock().hosts.get_mut(host) {
            host.skew = skew;
        }
    }
    /// Ends a process: its tasks are dropped, its ports are free. `word` says whether its peers hear of it by resets,
    /// or nothing at all comes any more, as when its machine lost power.
    pub fn kill(&self, host: HostId, word: bool) {
        {
            let mut state = self.0.lock();
            match state.hosts.get_mut(host) {
                Some(host) if host.alive => host.alive = false,
                _ => return,
            }
            state.note(3, host as u64, &[u8::from(word)]);
        }
        self.wake(|state| state.net.die(host, word, state.now));
        // Outside of the lock: what is dropped closes sockets and timers.
        self.0.tasks.kill(host);
    }

    fn wake(&self, change: impl FnOnce(&mut State) -> Vec<Waker>) {
        let wakers = change(&mut self.0.lock());
        wakers.into_iter().for_each(Waker::wake);
    }
}

/// A simulated process.
pub struct Host {
    inner: Arc<Inner>,
    id: HostId,
}

impl Host {
    /// Its number.
    pub fn id(&self) -> HostId {
        self.id
    }
    /// It, as the rest of the program holds a world.
    pub fn runtime(self: &Arc<Self>) -> RuntimeRef {
        self.clone()
    }
}

impl Runtime for Host {
    fn now(&self) -> Micros {
        self.inner.lock().now
    }
    fn unix_micros(&self) -> Micros {
        let state = self.inner.lock();
        let skew = state.hosts[self.id].skew;
        (EPOCH + state.now).saturating_add_signed(skew)
    }
    fn sleep_until(&self, at: Micros) -> BoxFuture<()> {
        Box::pin(Timer {
            inner: self.inner.clone(),
            at,
            key: None,
        })
    }
    fn spawn(&self, task: BoxFuture<()>) {
        if self.inner.lock().alive(self.id) {
            self.inner.tasks.spawn(self.id, task);
        }
    }
    fn connect(&self, to: SocketAddr) -> BoxFuture<std::io::Result<Conn>> {
        net::connect(self.inner.clone(), self.id, to)
    }
    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>> {
        net::listen(self.inner.clone(), self.id, at)
    }
    fn bind_datagram(&self, at: SocketAddr) -> std::io::Result<Box<dyn DatagramSocket>> {
        net::datagrams(self.inner.clone(), self.id, at)
    }
    fn random(&self) -> u64 {
        self.inner.lock().hosts[self.id].random.next_u64()
    }
}

struct Timer {
    inner: Arc<Inner>,
    at: Micros,
    key: Option<(Micros, u32, u64)>,
}

impl Future for Timer {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let inner = self.inner.clone();
        let mut state = inner.lock();
        if let Some(key) = self.key.take() {
            state.queue.remove(&key);
        }
        if state.now >= self.at {
            return Poll::Ready(());
        }
        // Never is no event: whoever waits for it alone is stuck.
        if self.at < Micros::MAX {
            self.key = Some(state.at(self.at, cx.waker().clone()));
        }
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            // Taken out under the lock, dropped after it: a waker may be a task's last handle.
            let due = self.inner.lock().queue.remove(&key);
            drop(due);
        }
    }
}
