//! The gRPC client of one engine: a pool of connections, opened on demand, with jittered exponential backoff.

use crate::engines::connect::connect;
use crate::engines::keepalive::EngineKeepalive;
use crate::settings::NodeSettings;
use event_listener::Event;
use ivyward_core::interface::{EndpointId, Micros};
use ivyward_core::keepalive::BeforeUse;
use ivyward_core::mutations::{self, Mutation};
use ivyward_grpc::{Channel, IdleChecks, Options};
use ivyward_runtime::{before, RuntimeExt, RuntimeRef};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why there is no connection. Nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ChannelError {
    #[error("cannot connect to {0}: {1}")]
    Failed(SocketAddr, String),
    #[error("no connection to {0} in time")]
    Late(SocketAddr),
}

#[derive(Default)]
struct Pool {
    channels: Vec<Channel>,
    /// Connection attempts under way.
    connecting: usize,
    /// Calls that wait for a connection.
    waiting: usize,
    /// Connection attempts since a call last got a connection.
    attempts_since_use: u32,
    /// The error of the last one that failed.
    last_error: String,
    /// Counts ended connection attempts, so that those who wait know whether theirs failed.
    ended: u64,
    last_failed: bool,
    /// When the next connection attempt may start.
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
    first_pause: Micros,
    longest_pause: Micros,
    pool: Mutex<Pool>,
    changed: Event,
    /// Whether the engine drains or was removed: then nothing that has not left yet is sent to it.
    draining: AtomicBool,
}

/// What the pool has for a call.
enum Available {
    /// A connection that is known to work.
    Ready(Channel),
    /// One that was idle for long, and how long to wait for the answer to its check.
    Unchecked(Channel, Micros),
    /// No connection with room.
    Nothing,
}

/// Counts a call among those that wait, until dropped.
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
            streams: settings.calls_per_connection as u32,
            ping_interval: settings.ping_every,
            ping_timeout: settings.ping_timeout,
            ..Options::default()
        };
        Arc::new(GrpcEngineClient {
            id,
            address,
            runtime: runtime.clone(),
            options,
            keepalive: keepalive.clone(),
            calls_per_channel: settings.calls_per_connection,
            max_channels: settings.connections_per_engine,
            connect_timeout: settings.dial_timeout,
            first_pause: settings.redial_first,
            longest_pause: settings.redial_most,
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

    /// A connection with room for a call, opened if need be. One that was idle for long is checked first.
    ///
    /// # Errors
    /// When the connection attempt that this call waited for failed, or none succeeded in time.
    pub(crate) async fn channel(self: &Arc<Self>, until: Micros) -> Result<Channel, ChannelError> {
        let connect_deadline =
            || until.min(self.runtime.now().saturating_add(self.connect_timeout));
        let mut connect_by = connect_deadline();
        // Connection attempts that had ended when this call began to wait for one.
        let mut ended_before = None;
        let mut may_check = true;
        loop {
            let changed = self.changed.listen();
            match self.find(may_check) {
                Available::Ready(channel) => return Ok(channel),
                Available::Unchecked(channel, wait) => {
                    let left = until.saturating_sub(self.runtime.now());
                    // One check for each call: a second one would take longer than a new connection.
                    let answered = self.check(&channel, wait.min(left)).await;
                    if !answered && mutations::is_active(Mutation::DoubtfulReused) {
                        return Ok(channel);
                    }
                    may_check = answered;
                    // Guards against engines that are far away: after the check a new connection has its whole time.
                    connect_by = connect_deadline();
                }
                Available::Nothing => {
                    self.connect_if_needed(connect_by, &mut ended_before)?;
                    let _waiting = Waiting::new(self);
                    if before(&self.runtime, connect_by, changed).await.is_none() {
                        return Err(ChannelError::Late(self.address));
                    }
                }
            }
        }
    }

    /// The best connection of the pool: one that is known to work before one that has to be checked.
    fn find(&self, may_check: bool) -> Available {
        let mut pool = self.pool();
        let stale = mutations::is_active(Mutation::StaleConnection);
        pool.channels
            .retain(|c| c.is_usable() || c.calls_in_flight() > 0 && !c.is_closed() || stale);
        // Guards against a call that leaves on a connection whose engine did not answer its last check.
        let room = |c: &Channel| {
            c.calls_in_flight() < self.calls_per_channel.min(c.stream_capacity().max(1))
        };
        let eligible = |c: &&Channel| (c.is_usable() || stale) && !c.last_check_failed() && room(c);
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
            Some((Some(wait), channel)) if may_check => Available::Unchecked(channel, wait),
            _ => Available::Nothing,
        }
    }

    /// How long to wait for the answer to a check before a call leaves on a connection; `None` if it needs no check.
    fn check_before_use(&self, channel: &Channel) -> Option<Micros> {
        match self.keepalive.before_use(channel.last_received()) {
            BeforeUse::Check(wait) => Some(wait),
            BeforeUse::Nothing => None,
        }
    }

    /// Checks a connection. Returns whether it answered; one that answers later is used by whoever waits then.
    async fn check(self: &Arc<Self>, channel: &Channel, wait: Micros) -> bool {
        if channel.check(wait).await {
            return true;
        }
        let (client, channel) = (self.clone(), channel.clone());
        self.runtime.run(async move {
            channel.wait_for_bytes().await;
            client.changed.notify(usize::MAX);
        });
        false
    }

    /// Starts as many connection attempts as the waiting calls need; one at a time while none succeeds.
    fn connect_if_needed(
        self: &Arc<Self>,
        until: Micros,
        ended_before: &mut Option<u64>,
    ) -> Result<(), ChannelError> {
        let mut pool = self.pool();
        // Also when attempts succeed and the engine closes each connection at once.
        if self.runtime.now() >= until {
            return Err(ChannelError::Late(self.address));
        }
        if ended_before.is_some_and(|ended| ended < pool.ended) && pool.last_failed {
            return Err(ChannelError::Failed(self.address, pool.last_error.clone()));
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
            let text = format!("{}; next dial later", pool.last_error);
            return Err(ChannelError::Failed(self.address, text));
        }
        pool.connecting += 1;
        let (client, at) = (self.clone(), pool.next_attempt_at);
        self.runtime
            .run(async move { client.open_channel(at).await });
        Ok(())
    }

    /// Opens a connection at a time, and tells those who wait how that ended.
    async fn open_channel(self: Arc<Self>, at: Micros) {
        if at > self.runtime.now() {
            self.runtime.sleep_until(at).await;
        }
        let until = self.runtime.now() + self.connect_timeout;
        let opened = before(&self.runtime, until, self.handshake()).await;
        let opened = opened.unwrap_or_else(|| Err("no answer in time".into()));
        self.record_end(opened);
        self.changed.notify(usize::MAX);
    }

    async fn handshake(&self) -> Result<Channel, String> {
        let until = self.runtime.now() + self.connect_timeout;
        let connected = connect(&self.runtime, self.address, until)
            .await
            .map_err(|e| e.to_string())?;
        let resting: Option<Arc<dyn IdleChecks>> = Some(self.keepalive.clone());
        Channel::begin_with_idle_checks(&self.runtime, connected.conn, self.options, resting)
            .await
            .map_err(|e| e.to_string())
    }

    fn record_end(&self, opened: Result<Channel, String>) {
        let mut pool = self.pool();
        pool.connecting -= 1;
        pool.ended += 1;
        pool.last_failed = opened.is_err();
        match opened {
            Ok(channel) => pool.channels.push(channel),
            Err(text) => pool.last_error = text,
        }
        // Also after a success, until a call gets a connection: an engine that closes each one at once is not connected to
        // without end.
        let pause = self
            .first_pause
            .saturating_mul(1 << pool.attempts_since_use.min(20))
            .min(self.longest_pause);
        pool.attempts_since_use += 1;
        // Half to whole of the pause, so that many nodes do not come back in one moment.
        let jitter = 0.5 + 0.5 * self.runtime.unit();
        pool.next_attempt_at = self.runtime.now() + (pause as f64 * jitter) as Micros;
    }

    /// Tells those who wait for room that a call ended.
    pub(crate) fn call_ended(&self) {
        self.changed.notify(1);
    }
}
