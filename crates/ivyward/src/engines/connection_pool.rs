//! The gRPC client of one engine: a pool of connections, which are opened on demand with jittered exponential backoff.

use crate::engines::connect::connect;
use crate::engines::keepalive::EngineKeepalive;
use crate::settings::NodeSettings;
use event_listener::Event;
use ivyward_core::interface::{EndpointId, Micros};
use ivyward_core::keepalive::BeforeUse;
use ivyward_core::mutations::{self, Mutation};
use ivyward_grpc::{Channel, IdleChecks, Options};
use ivyward_runtime::{timeout_at, RuntimeExt, RuntimeRef};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why no connection is available for a call. Nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ChannelError {
    #[error("cannot connect to {0}: {1}")]
    ConnectFailed(SocketAddr, String),
    #[error("no connection to {0} in time")]
    TimedOut(SocketAddr),
}

#[derive(Default)]
struct Pool {
    channels: Vec<Channel>,
    /// Number of connection attempts in progress.
    connecting: usize,
    /// Number of calls that wait for a connection.
    waiting: usize,
    /// Number of ended connection attempts since a call last got a connection; determines the backoff.
    attempts_since_use: u32,
    /// The error of the last failed connection attempt.
    last_error: String,
    /// Number of ended connection attempts. A waiting call compares it to tell whether an attempt ended since it began to wait.
    ended: u64,
    /// Whether the last connection attempt that ended has failed.
    last_failed: bool,
    /// The time from which the next connection attempt may start.
    next_attempt_at: Micros,
}

/// The gRPC client of one engine.
pub(crate) struct GrpcEngineClient {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddr,
    runtime: RuntimeRef,
    options: Options,
    keepalive: Arc<EngineKeepalive>,
    calls_per_channel: usize,
    max_channels: usize,
    connect_timeout: Micros,
    min_backoff: Micros,
    max_backoff: Micros,
    pool: Mutex<Pool>,
    /// Notified when a connection attempt or a call ends, or when a connection answers a late check.
    changed: Event,
    /// Whether the engine drains or was removed. If so, no new call is sent to it.
    draining: AtomicBool,
}

/// The result of a search in the pool for a connection.
enum Available {
    /// A connection that needs no check.
    Ready(Channel),
    /// A connection that must be checked first because it was idle for long, and the timeout of its check.
    Unchecked(Channel, Micros),
    /// No connection has capacity for another call.
    NoCapacity,
}

/// Counts a call as waiting for a connection until it is dropped.
struct Waiting<'a>(&'a GrpcEngineClient);

impl Waiting<'_> {
    fn new(client: &GrpcEngineClient) -> Waiting<'_> {
        client.pool().waiting += 1;
        Waiting(client)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.pool().waiting -= 1;
    }
}

impl GrpcEngineClient {
    pub(crate) fn new(
        runtime: &RuntimeRef,
        id: EndpointId,
        address: SocketAddr,
        settings: &NodeSettings,
        keepalive: &Arc<EngineKeepalive>,
    ) -> Arc<GrpcEngineClient> {
        let options = Options {
            streams: settings.max_calls_per_connection as u32,
            ping_interval: settings.ping_interval,
            ping_timeout: settings.ping_timeout,
            ..Options::default()
        };
        Arc::new(GrpcEngineClient {
            id,
            address,
            runtime: runtime.clone(),
            options,
            keepalive: keepalive.clone(),
            calls_per_channel: settings.max_calls_per_connection,
            max_channels: settings.max_connections_per_engine,
            connect_timeout: settings.dial_timeout,
            min_backoff: settings.initial_backoff,
            max_backoff: settings.max_backoff,
            pool: Mutex::default(),
            changed: Event::new(),
            draining: AtomicBool::new(false),
        })
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub(crate) fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::SeqCst);
    }
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
    /// Closes all connections.
    pub(crate) fn close(&self) {
        self.pool().channels.drain(..).for_each(|c| c.close());
    }

    /// Returns a connection with capacity for a call; opens one if necessary. A connection that was idle for long is checked
    /// first.
    ///
    /// # Errors
    /// [`ChannelError`] when the connection attempt that this call waited for failed, or when none succeeded in time.
    pub(crate) async fn channel(self: &Arc<Self>, until: Micros) -> Result<Channel, ChannelError> {
        let connect_deadline =
            || until.min(self.runtime.now().saturating_add(self.connect_timeout));
        let mut connect_by = connect_deadline();
        // Number of connection attempts that had ended when this call began to wait for one.
        let mut ended_before = None;
        let mut may_check = true;
        loop {
            let changed = self.changed.listen();
            match self.find(may_check) {
                Available::Ready(channel) => return Ok(channel),
                Available::Unchecked(channel, check_timeout) => {
                    let left = until.saturating_sub(self.runtime.now());
                    // Each call waits for one failed check at most: a second one would take longer than a new connection.
                    let answered = self.check(&channel, check_timeout.min(left)).await;
                    if !answered && mutations::is_active(Mutation::ReuseUnansweredConnection) {
                        return Ok(channel);
                    }
                    may_check = answered;
                    // After the check a new connection has the whole connect timeout again. Otherwise it would time out
                    // for distant engines, whose round trips are long.
                    connect_by = connect_deadline();
                }
                Available::NoCapacity => {
                    self.connect_if_needed(connect_by, &mut ended_before)?;
                    let _waiting = Waiting::new(self);
                    if timeout_at(&self.runtime, connect_by, changed)
                        .await
                        .is_none()
                    {
                        return Err(ChannelError::TimedOut(self.address));
                    }
                }
            }
        }
    }

    /// Finds the connection for a call: one that needs no check if possible, and among these the one with the fewest calls.
    fn find(&self, may_check: bool) -> Available {
        let mut pool = self.pool();
        let stale = mutations::is_active(Mutation::ReuseStaleConnection);
        pool.channels
            .retain(|c| c.is_usable() || c.calls_in_flight() > 0 && !c.is_closed() || stale);
        let has_capacity = |c: &Channel| {
            c.calls_in_flight() < self.calls_per_channel.min(c.stream_capacity().max(1))
        };
        // A connection whose last check failed is not eligible: the engine may no longer be reachable on it.
        let eligible =
            |c: &&Channel| (c.is_usable() || stale) && !c.last_check_failed() && has_capacity(c);
        let rated = pool
            .channels
            .iter()
            .filter(eligible)
            .map(|c| (self.check_before_use(c), c));
        let best = rated.min_by_key(|(check, c)| (check.is_some(), c.calls_in_flight()));
        match best.map(|(check, channel)| (check, channel.clone())) {
            Some((None, channel)) => {
                (pool.attempts_since_use, pool.next_attempt_at) = (0, 0);
                Available::Ready(channel)
            }
            Some((Some(timeout), channel)) if may_check => Available::Unchecked(channel, timeout),
            _ => Available::NoCapacity,
        }
    }

    /// Returns the timeout of the check that a connection needs before a call is sent on it; `None` if it needs no check.
    fn check_before_use(&self, channel: &Channel) -> Option<Micros> {
        match self.keepalive.before_use(channel.last_received()) {
            BeforeUse::Check(timeout) => Some(timeout),
            BeforeUse::Nothing => None,
        }
    }

    /// Checks a connection. Returns whether it answered in time. If it answers later, the calls that wait by then are notified
    /// and may use it.
    async fn check(self: &Arc<Self>, channel: &Channel, timeout: Micros) -> bool {
        if channel.check(timeout).await {
            return true;
        }
        let (client, channel) = (self.clone(), channel.clone());
        self.runtime.run(async move {
            channel.wait_for_bytes().await;
            client.changed.notify(usize::MAX);
        });
        false
    }

    /// Starts a connection attempt if the waiting calls need more than are in progress. Only one attempt at a time runs until
    /// a call gets a connection.
    ///
    /// # Errors
    /// [`ChannelError`] when the call's time is over, an attempt that it waited for failed, or the backoff lasts too long.
    fn connect_if_needed(
        self: &Arc<Self>,
        until: Micros,
        ended_before: &mut Option<u64>,
    ) -> Result<(), ChannelError> {
        let mut pool = self.pool();
        // Checked here too, because connection attempts may keep succeeding while the engine closes each connection at once.
        if self.runtime.now() >= until {
            return Err(ChannelError::TimedOut(self.address));
        }
        if ended_before.is_some_and(|ended| ended < pool.ended) && pool.last_failed {
            return Err(ChannelError::ConnectFailed(
                self.address,
                pool.last_error.clone(),
            ));
        }
        ended_before.get_or_insert(pool.ended);
        let needed = if pool.attempts_since_use > 0 {
            1
        } else {
            pool.waiting / self.calls_per_channel + 1
        };
        if pool.connecting >= needed || pool.channels.len() + pool.connecting >= self.max_channels {
            return Ok(());
        }
        if pool.next_attempt_at >= until {
            let error = format!("{}; next dial later", pool.last_error);
            return Err(ChannelError::ConnectFailed(self.address, error));
        }
        pool.connecting += 1;
        let (client, at) = (self.clone(), pool.next_attempt_at);
        self.runtime
            .run(async move { client.open_channel(at).await });
        Ok(())
    }

    /// Opens a connection at the time `at`, and notifies the waiting calls when the attempt ends.
    async fn open_channel(self: Arc<Self>, at: Micros) {
        if at > self.runtime.now() {
            self.runtime.sleep_until(at).await;
        }
        let until = self.runtime.now() + self.connect_timeout;
        let opened = timeout_at(&self.runtime, until, self.handshake()).await;
        let opened = opened.unwrap_or_else(|| Err("no answer in time".into()));
        self.record_end(opened);
        self.changed.notify(usize::MAX);
    }

    async fn handshake(&self) -> Result<Channel, String> {
        let until = self.runtime.now() + self.connect_timeout;
        let connected = connect(&self.runtime, self.address, until)
            .await
            .map_err(|e| e.to_string())?;
        let idle_checks: Option<Arc<dyn IdleChecks>> = Some(self.keepalive.clone());
        Channel::begin_with_idle_checks(&self.runtime, connected.conn, self.options, idle_checks)
            .await
            .map_err(|e| e.to_string())
    }

    /// Records the end of a connection attempt and sets the backoff of the next one.
    fn record_end(&self, opened: Result<Channel, String>) {
        let mut pool = self.pool();
        pool.connecting -= 1;
        pool.ended += 1;
        pool.last_failed = opened.is_err();
        match opened {
            Ok(channel) => pool.channels.push(channel),
            Err(error) => pool.last_error = error,
        }
        // The backoff also grows after a success, until a call gets a connection. Otherwise the node would reconnect without
        // pause to an engine that closes each connection at once.
        let backoff = self
            .min_backoff
            .saturating_mul(1 << pool.attempts_since_use.min(20))
            .min(self.max_backoff);
        pool.attempts_since_use += 1;
        // The jitter scales the backoff to between half and all of it, so that many nodes do not reconnect at the same time.
        let jitter = 0.5 + 0.5 * self.runtime.random_f64();
        pool.next_attempt_at = self.runtime.now() + (backoff as f64 * jitter) as Micros;
    }

    /// Notifies one of the waiting calls that a call ended, so that a connection may have capacity.
    pub(crate) fn call_ended(&self) {
        self.changed.notify(1);
    }
}
