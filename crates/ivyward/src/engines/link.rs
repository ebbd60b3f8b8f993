//! Connections to one engine: pooled, dialled by need, and again with growing and jittered pauses.

use crate::engines::connect::connect;
use crate::engines::keepalive::EngineKeepalive;
use crate::settings::NodeSettings;
use event_listener::Event;
use ivyward_core::interface::{EndpointId, Micros};
use ivyward_core::keepalive::BeforeUse;
use ivyward_core::mutations::{self, Mutation};
use ivyward_grpc::{Channel, Options, RestingChecks};
use ivyward_runtime::{before, RuntimeExt, RuntimeRef};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why there is no connection. Nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DialError {
    #[error("cannot connect to {0}: {1}")]
    Failed(SocketAddr, String),
    #[error("no connection to {0} in time")]
    Late(SocketAddr),
}

#[derive(Default)]
struct Pool {
    channels: Vec<Channel>,
    /// Dials under way, and calls that wait for a connection.
    dialing: usize,
    waiting: usize,
    /// Dials that failed in a row, and the last one's error.
    failed: u32,
    error: String,
    /// Counts ended dials, so that those who wait know whether theirs failed.
    dials: u64,
    last_failed: bool,
    next_dial: Micros,
}

pub(crate) struct GrpcLink {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddr,
    runtime: RuntimeRef,
    options: Options,
    keepalive: Arc<EngineKeepalive>,
    per_channel: usize,
    most: usize,
    dial_timeout: Micros,
    pauses: (Micros, Micros),
    pool: Mutex<Pool>,
    changed: Event,
    /// The node was told that the engine drains or is gone: what has not left yet stays here.
    closing: AtomicBool,
}

/// What a pool has for a call.
enum Found {
    /// A connection that is known to be good.
    Ready(Channel),
    /// One that rested for long, and how long the answer to its check is waited for.
    Unchecked(Channel, Micros),
    /// None with room.
    Nothing,
}

/// Counts a call among those that wait.
struct Waiting<'a>(&'a GrpcLink);

impl Waiting<'_> {
    fn new(link: &GrpcLink) -> Waiting<'_> {
        link.pool().waiting += 1;
        Waiting(link)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.pool().waiting -= 1;
    }
}

impl GrpcLink {
    pub(crate) fn new(
        runtime: &RuntimeRef,
        id: EndpointId,
        address: SocketAddr,
        settings: &NodeSettings,
        keepalive: &Arc<EngineKeepalive>,
    ) -> Arc<GrpcLink> {
        let options = Options {
            streams: settings.calls_per_connection as u32,
            ping_every: settings.ping_every,
            ping_timeout: settings.ping_timeout,
            ..Options::default()
        };
        Arc::new(GrpcLink {
            id,
            address,
            runtime: runtime.clone(),
            options,
            keepalive: keepalive.clone(),
            per_channel: settings.calls_per_connection,
            most: settings.connections_per_engine,
            dial_timeout: settings.dial_timeout,
            pauses: (settings.redial_first, settings.redial_most),
            pool: Mutex::default(),
            changed: Event::new(),
            closing: AtomicBool::new(false),
        })
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub(crate) fn set_draining(&self, draining: bool) {
        self.closing.store(draining, Ordering::SeqCst);
    }
    pub(crate) fn is_draining(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }
    /// Closes all connections.
    pub(crate) fn close(&self) {
        self.pool().channels.drain(..).for_each(|c| c.close());
    }

    /// A connection with room for a call, dialled if need be. One that rested for long is checked first.
    ///
    /// # Errors
    /// When the dial that this call waited for failed, or none was there in time.
    pub(crate) async fn channel(self: &Arc<Self>, until: Micros) -> Result<Channel, DialError> {
        let in_dial_time = || until.min(self.runtime.now().saturating_add(self.dial_timeout));
        let mut dial_by = in_dial_time();
        // Dials that had ended when this call began to wait for one.
        let mut dials_before = None;
        let mut may_check = true;
        loop {
            let changed = self.changed.listen();
            let found = self.find(may_check);
            match found {
                Found::Ready(channel) => return Ok(channel),
                Found::Unchecked(channel, wait) => {
                    let left = until.saturating_sub(self.runtime.now());
                    // One check a call: with a second one it would be later than by a dial.
                    let answered = self.check(&channel, wait.min(left)).await;
                    if !answered && mutations::is_active(Mutation::DoubtfulReused) {
                        return Ok(channel);
                    }
                    may_check = answered;
                    // Guards against engines that are far away: after the check a dial has its whole time.
                    dial_by = in_dial_time();
                }
                Found::Nothing => {
                    self.dial_if_needed(dial_by, &mut dials_before)?;
                    let _waiting = Waiting::new(self);
                    if before(&self.runtime, dial_by, changed).await.is_none() {
                        return Err(DialError::Late(self.address));
                    }
                }
            }
        }
    }

    /// The best connection of the pool: one that is known to be good before one that has to be checked.
    fn find(&self, may_check: bool) -> Found {
        let mut pool = self.pool();
        let stale = mutations::is_active(Mutation::StaleConnection);
        pool.channels
            .retain(|c| c.usable() || c.calls() > 0 && !c.closed() || stale);
        // Guards against a call that leaves on a connection whose engine did not answer its last check.
        let room = |c: &Channel| c.calls() < self.per_channel.min(c.room().max(1));
        let eligible = |c: &&Channel| (c.usable() || stale) && !c.doubtful() && room(c);
        let rated = pool
            .channels
            .iter()
            .filter(eligible)
            .map(|c| (self.check_before_use(c), c));
        let best = rated.min_by_key(|(check, c)| (check.is_some(), c.calls()));
        match best.map(|(check, channel)| (check, channel.clone())) {
            Some((None, channel)) => {
                (pool.failed, pool.next_dial) = (0, 0);
                Found::Ready(channel)
            }
            Some((Some(wait), channel)) if may_check => Found::Unchecked(channel, wait),
            _ => Found::Nothing,
        }
    }

    /// How long the answer to a check is waited for before a call leaves on a connection; `None` where it needs none.
    fn check_before_use(&self, channel: &Channel) -> Option<Micros> {
        match self.keepalive.before_use(channel.heard()) {
            BeforeUse::Check(wait) => Some(wait),
            BeforeUse::Nothing => None,
        }
    }

    /// Checks a connection; whether it answered. One that answers later is used by whoever waits then.
    async fn check(self: &Arc<Self>, channel: &Channel, wait: Micros) -> bool {
        if channel.check(wait).await {
            return true;
        }
        let (link, channel) = (self.clone(), channel.clone());
        self.runtime.run(async move {
            channel.answered().await;
            link.changed.notify(usize::MAX);
        });
        false
    }

    /// Begins as many dials as those who wait need; where none succeeds, one at a time.
    fn dial_if_needed(
        self: &Arc<Self>,
        until: Micros,
        dials_before: &mut Option<u64>,
    ) -> Result<(), DialError> {
        let mut pool = self.pool();
        // Also when dials succeed and the engine closes each connection at once.
        if self.runtime.now() >= until {
            return Err(DialError::Late(self.address));
        }
        if dials_before.is_some_and(|dials| dials < pool.dials) && pool.last_failed {
            return Err(DialError::Failed(self.address, pool.error.clone()));
        }
        dials_before.get_or_insert(pool.dials);
        let needed = if pool.failed > 0 {
            1
        } else {
            pool.waiting / self.per_channel + 1
        };
        if pool.dialing >= needed || pool.channels.len() + pool.dialing >= self.most {
            return Ok(());
        }
        if pool.next_dial >= until {
            let text = format!("{}; next dial later", pool.error);
            return Err(DialError::Failed(self.address, text));
        }
        pool.dialing += 1;
        let (link, at) = (self.clone(), pool.next_dial);
        self.runtime.run(async move { link.dial(at).await });
        Ok(())
    }

    async fn dial(self: Arc<Self>, at: Micros) {
        if at > self.runtime.now() {
            self.runtime.sleep_until(at).await;
        }
        let dial = async {
            let until = self.runtime.now() + self.dial_timeout;
            let connected = connect(&self.runtime, self.address, until)
                .await
                .map_err(|e| e.to_string())?;
            let resting: Option<Arc<dyn RestingChecks>> = Some(self.keepalive.clone());
            let channel =
                Channel::begin_resting(&self.runtime, connected.conn, self.options, resting).await;
            channel.map_err(|e| e.to_string())
        };
        let result = before(&self.runtime, self.runtime.now() + self.dial_timeout, dial).await;
        let result = result.unwrap_or_else(|| Err("no answer in time".into()));
        let mut pool = self.pool();
        pool.dialing -= 1;
        pool.dials += 1;
        pool.last_failed = result.is_err();
        match result {
            Ok(channel) => pool.channels.push(channel),
            Err(text) => pool.error = text,
        }
        // Also after a success, until a call gets a connection: an engine that closes each one at once is not
        // dialled without end.
        let pause = self
            .pauses
            .0
            .saturating_mul(1 << pool.failed.min(20))
            .min(self.pauses.1);
        pool.failed += 1;
        // Half to whole of the pause, so that many nodes do not come back in one moment.
        let jitter = 0.5 + 0.5 * self.runtime.unit();
        pool.next_dial = self.runtime.now() + (pause as f64 * jitter) as Micros;
        drop(pool);
        self.changed.notify(usize::MAX);
    }

    /// Tells those who wait for room that a call ended.
    pub(crate) fn call_ended(&self) {
        self.changed.notify(1);
    }
}
