//! Connections to one engine: pooled, dialled by need, and again with growing and jittered pauses.

use crate::settings::NodeSettings;
use event_listener::Event;
use ivyward_core::interface::{Micros, ServerId};
use ivyward_core::planted::{self, Defect};
use ivyward_wire::{Channel, Options};
use ivyward_world::{before, WorldExt, WorldRef};
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
    pub(crate) id: ServerId,
    pub(crate) address: SocketAddr,
    world: WorldRef,
    options: Options,
    per_channel: usize,
    most: usize,
    dial_timeout: Micros,
    pauses: (Micros, Micros),
    pool: Mutex<Pool>,
    changed: Event,
    /// The node was told that the engine drains or is gone: what has not left yet stays here.
    closing: AtomicBool,
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
        world: &WorldRef,
        id: ServerId,
        address: SocketAddr,
        settings: &NodeSettings,
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
            world: world.clone(),
            options,
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
    pub(crate) fn set_closing(&self, closing: bool) {
        self.closing.store(closing, Ordering::SeqCst);
    }
    pub(crate) fn closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }
    /// Closes all connections.
    pub(crate) fn shut(&self) {
        self.pool().channels.drain(..).for_each(|c| c.close());
    }

    /// A connection with room for a call, dialled if need be.
    ///
    /// # Errors
    /// When the dial that this call waited for failed, or none was there in time.
    pub(crate) async fn channel(self: &Arc<Self>, until: Micros) -> Result<Channel, DialError> {
        let until = until.min(self.world.now().saturating_add(self.dial_timeout));
        let mut waited = None;
        loop {
            let listener = self.changed.listen();
            {
                let mut pool = self.pool();
                let stale = planted::is(Defect::StaleConnection);
                pool.channels.retain(|c| c.usable() || c.calls() > 0 && !c.closed() || stale);
                let room =
                    |c: &&Channel| (c.usable() || stale) && c.calls() < self.per_channel.min(c.room().max(1));
                if let Some(channel) = pool.channels.iter().filter(room).min_by_key(|c| c.calls()).cloned() {
                    (pool.failed, pool.next_dial) = (0, 0);
                    return Ok(channel);
                }
                // Also when dials succeed and the engine closes each connection at once.
                if self.world.now() >= until {
                    return Err(DialError::Late(self.address));
                }
                if waited.is_some_and(|dials| dials < pool.dials) && pool.last_failed {
                    return Err(DialError::Failed(self.address, pool.error.clone()));
                }
                waited.get_or_insert(pool.dials);
                // As many dials as those who wait need; where none succeeds, one at a time.
                let needed = if pool.failed > 0 { 1 } else { pool.waiting / self.per_channel + 1 };
                if pool.dialing < needed && pool.channels.len() + pool.dialing < self.most {
                    if pool.next_dial >= until {
                        let text = format!("{}; next dial later", pool.error);
                        return Err(DialError::Failed(self.address, text));
                    }
                    pool.dialing += 1;
                    let link = self.clone();
                    let at = pool.next_dial;
                    self.world.run(async move { link.dial(at).await });
                }
            }
            let told = {
                let _waiting = Waiting::new(self);
                before(&self.world, until, listener).await
            };
            if told.is_none() {
                return Err(DialError::Late(self.address));
            }
        }
    }

    async fn dial(self: Arc<Self>, at: Micros) {
        if at > self.world.now() {
            self.world.sleep_until(at).await;
        }
        let dial = async {
            let conn = self.world.connect(self.address).await.map_err(|e| e.to_string())?;
            Channel::begin(&self.world, conn, self.options).await.map_err(|e| e.to_string())
        };
        let result = before(&self.world, self.world.now() + self.dial_timeout, dial).await;
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
        let pause = self.pauses.0.saturating_mul(1 << pool.failed.min(20)).min(self.pauses.1);
        pool.failed += 1;
        // Half to whole of the pause, so that many nodes do not come back in one moment.
        let jitter = 0.5 + 0.5 * self.world.unit();
        pool.next_dial = self.world.now() + (pause as f64 * jitter) as Micros;
        drop(pool);
        self.changed.notify(usize::MAX);
    }

    /// Tells those who wait for room that a call ended.
    pub(crate) fn call_ended(&self) {
        self.changed.notify(1);
    }
}
