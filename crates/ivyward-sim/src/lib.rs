//! A deterministic simulation: clock, tasks, network and processes, all derived from one seed.
//!
//! - [`Sim`]: the simulation; [`Sim::run`] runs it until a future is done, or returns why the run cannot continue.
//! - [`Host`]: a simulated process, which implements [`ivyward_runtime::Runtime`]; it can be killed, be paused and have a
//!   wrong wall clock.
//! - [`NetworkConfig`]: latency, bandwidth and loss between hosts; [`Sim::set_partitioned`] adds partitions.
//!
//! One thread polls one task at a time. The order of ready tasks, and of events at the same instant, is drawn from the
//! seed. The simulation never reads the system's clock or its source of randomness.

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

/// Reading of the monotonic clock at the start of a simulation, in microseconds.
const START: Micros = 1_000_000;
/// Unix time, in microseconds, at which the monotonic clock reads 0.
const EPOCH: Micros = 1_750_000_000_000_000;

/// An event in the queue.
pub(crate) enum Event {
    Wake(Waker),
}

/// The mutable state of a simulation except its tasks.
pub(crate) struct State {
    pub(crate) now: Micros,
    pub(crate) random: SmallRng,
    /// Events by time, then by a drawn number that orders events at one instant, then by a unique number.
    queue: BTreeMap<(Micros, u32, u64), Event>,
    next: u64,
    pub(crate) net: Network,
    hosts: Vec<HostState>,
    digest: u64,
    events: u64,
}

struct HostState {
    alive: bool,
    paused: bool,
    /// Error of the host's wall clock, in microseconds.
    skew: i64,
    random: SmallRng,
}

impl State {
    /// Schedules a wakeup at a time, at the earliest now, and returns the key that cancels it.
    pub(crate) fn at(&mut self, at: Micros, waker: Waker) -> (Micros, u32, u64) {
        let key = (at.max(self.now), self.random.random(), self.next);
        self.next += 1;
        self.queue.insert(key, Event::Wake(waker));
        key
    }
    /// Adds an event to the run's digest: its kind, the time, an id and the bytes that it transfers.
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
    /// Creates a simulation from a seed, with a network that behaves as `net` states.
    pub fn new(seed: u64, net: NetworkConfig) -> Sim {
        let state = State {
            now: START,
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

    /// Adds a process. Its random numbers are derived from the simulation's seed, the draws so far and `salt`.
    pub fn host(&self, salt: u64) -> Arc<Host> {
        let mut state = self.0.lock();
        let id = state.hosts.len();
        let seed: u64 = state.random.random::<u64>() ^ salt;
        let random = SmallRng::seed_from_u64(seed);
        state.hosts.push(HostState {
            alive: true,
            paused: false,
            skew: 0,
            random,
        });
        Arc::new(Host {
            inner: self.0.clone(),
            id,
        })
    }

    /// Runs the simulation until `future`, spawned as a task of `host`, is done. `until` is the time limit, on the
    /// monotonic clock.
    ///
    /// # Errors
    /// Returns a [`RunError`] when no event is pending, when tasks keep waking each other without time advancing, or when
    /// the next event is later than `until`.
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
            self.poll_ready_tasks()?;
            if let Some(done) = result.lock().unwrap_or_else(PoisonError::into_inner).take() {
                return Ok(done);
            }
            self.advance(until)?;
        }
    }

    /// Polls ready tasks until none is ready on a host that is not paused.
    fn poll_ready_tasks(&self) -> Result<(), RunError> {
        let mut polls = 0u64;
        loop {
            let paused = |host: HostId| self.0.lock().hosts[host].paused;
            let Some(task) = self.0.tasks.next(paused) else {
                return Ok(());
            };
            polls += 1;
            if polls > tasks::MAX_POLLS_PER_EVENT {
                let (at, host) = (self.now(), task.host);
                return Err(RunError::Livelock { at, host });
            }
            self.0.lock().note(1, task.id, &[]);
            self.0.tasks.poll(&task);
        }
    }

    /// Advances the clock to the next event and triggers the event.
    fn advance(&self, until: Micros) -> Result<(), RunError> {
        let event = {
            let mut state = self.0.lock();
            let Some(((at, _, id), event)) = state.queue.pop_first() else {
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
            event
        };
        let Event::Wake(waker) = event;
        waker.wake();
        Ok(())
    }

    /// Returns the reading of the monotonic clock, which all hosts share.
    pub fn now(&self) -> Micros {
        self.0.lock().now
    }
    /// Returns a digest over every byte read, every poll and every event so far, and the number of entries in it.
    pub fn digest(&self) -> (u64, u64) {
        let state = self.0.lock();
        (state.digest, state.events)
    }
    /// Changes the network's settings from now on; data already in transit keeps its time of arrival.
    pub fn update_network(&self, change: impl FnOnce(&mut NetworkConfig)) {
        change(&mut self.0.lock().net.config);
    }
    /// Sets an extra latency, in microseconds, of streams between two hosts, in each direction.
    pub fn set_extra_latency(&self, one: HostId, other: HostId, extra: Micros) {
        let mut state = self.0.lock();
        state.net.set_extra_latency(one, other, extra);
        state.net.set_extra_latency(other, one, extra);
    }
    /// Makes all open connections that a host accepted silent: what is written on them is lost, and neither side gets an error.
    pub fn silence_connections(&self, host: HostId) {
        self.wake(|state| state.net.silence_connections(host));
    }
    /// Sets whether new connections to a host are silent from their start. They open as usual.
    pub fn set_silent_host(&self, host: HostId, silent: bool) {
        self.0.lock().net.set_silent_host(host, silent);
    }
    /// Starts or ends a partition from one host to another, in that direction only. Stream data in transit waits until the
    /// partition ends, as it would for a TCP retransmission.
    pub fn set_partitioned(&self, from: HostId, to: HostId, on: bool) {
        self.wake(|state| state.net.set_partitioned(from, to, on));
    }
    /// Pauses a process or resumes it. A paused process keeps its sockets and runs no task.
    pub fn set_paused(&self, host: HostId, on: bool) {
        if let Some(host) = self.0.lock().hosts.get_mut(host) {
            host.paused = on;
        }
    }
    /// Sets the error of a host's wall clock, in microseconds.
    pub fn set_clock_skew(&self, host: HostId, skew: i64) {
        if let Some(host) = self.0.lock().hosts.get_mut(host) {
            host.skew = skew;
        }
    }
    /// Kills a process: its tasks are dropped and its ports become free. With `send_resets`, its peers' connections are
    /// reset; without, the peers receive nothing any more, as when the machine lost power.
    pub fn kill(&self, host: HostId, send_resets: bool) {
        {
            let mut state = self.0.lock();
            match state.hosts.get_mut(host) {
                Some(host) if host.alive => host.alive = false,
                _ => return,
            }
            state.note(3, host as u64, &[u8::from(send_resets)]);
        }
        self.wake(|state| state.net.kill_host(host, send_resets, state.now));
        // The state is not locked here: dropping the tasks closes sockets and timers, which lock it.
        self.0.tasks.kill(host);
    }

    /// Applies a change to the state, and wakes the returned wakers after the lock is released.
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
    /// Returns the number by which [`Sim`]'s methods name this process.
    pub fn id(&self) -> HostId {
        self.id
    }
    /// Returns this host as the runtime of the code that runs on it.
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
        net::bind_datagram(self.inner.clone(), self.id, at)
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
        // `Micros::MAX` means never and queues no event, so that a run in which all tasks wait for it ends as a deadlock.
        if self.at < Micros::MAX {
            self.key = Some(state.at(self.at, cx.waker().clone()));
        }
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            // The event is removed under the lock and dropped after it: its waker may be the last handle of a task, whose
            // drop can lock the state again.
            let event = self.inner.lock().queue.remove(&key);
            drop(event);
        }
    }
}
