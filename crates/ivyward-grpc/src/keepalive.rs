//! Pings of a connection: while calls are in flight and nothing comes in, when its owner asks, and at rest when the budget of
//! all connections allows.

use crate::channel::Options;
use crate::watch::Trace;
use event_listener::Event;
use futures_lite::future::or;
use ivyward_runtime::{before, Micros, RuntimeRef};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Decides when connections at rest are checked, for all connections of an owner together.
pub trait RestingChecks: Send + Sync {
    /// A connection has come to rest.
    fn rested(&self);
    /// A connection at rest was taken up by a call, or has closed.
    fn roused(&self);
    /// When a connection at rest asks for its check; `None` for never.
    fn next_check(&self, now: Micros) -> Option<Micros>;
    /// When a connection that asks now is to ask again; `None` where it is checked now.
    fn ask_again(&self, now: Micros) -> Option<Micros>;
}

/// What goes on on a connection, as its calls and its keepalive share it.
#[derive(Default)]
pub(crate) struct Activity {
    /// Calls in flight.
    pub(crate) calls: AtomicUsize,
    check_asked: AtomicBool,
    changed: Event,
}

impl Activity {
    /// A call begins.
    pub(crate) fn begin(&self) {
        self.calls.fetch_add(1, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }
    /// A call has ended.
    pub(crate) fn end(&self) {
        self.calls.fetch_sub(1, Ordering::SeqCst);
    }
    /// Asks for a ping now.
    pub(crate) fn ask_check(&self) {
        self.check_asked.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }
    fn in_use(&self) -> bool {
        self.calls.load(Ordering::SeqCst) > 0
    }
    fn take_check(&self) -> bool {
        self.check_asked.swap(false, Ordering::SeqCst)
    }
}

/// Counts a connection among those at rest.
struct Rest<'a>(&'a dyn RestingChecks);

impl<'a> Rest<'a> {
    fn begin(checks: &'a dyn RestingChecks) -> Rest<'a> {
        checks.rested();
        Rest(checks)
    }
}

impl Drop for Rest<'_> {
    fn drop(&mut self) {
        self.0.roused();
    }
}

/// Why a wait is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// A ping is due.
    Ping,
    /// The connection came to rest, or was taken up: another wait is due.
    Changed,
}

/// Keeps one connection alive.
pub(crate) struct Keepalive {
    pub(crate) runtime: RuntimeRef,
    pub(crate) options: Options,
    pub(crate) trace: Arc<Trace>,
    pub(crate) activity: Arc<Activity>,
    /// Without it a connection at rest is pinged like one in use.
    pub(crate) resting: Option<Arc<dyn RestingChecks>>,
}

impl Keepalive {
    /// Pings when it is due; returns when the peer is held to be gone.
    pub(crate) async fn run(&self, mut pings: h2::PingPong) {
        loop {
            let wait = match &self.resting {
                Some(checks) if !self.activity.in_use() => self.at_rest(checks.as_ref()).await,
                _ => self.in_use().await,
            };
            if wait == Wait::Ping && !self.ping(&mut pings).await {
                return;
            }
        }
    }

    async fn ping(&self, pings: &mut h2::PingPong) -> bool {
        let by = self.runtime.now().saturating_add(self.options.ping_timeout);
        matches!(
            before(&self.runtime, by, pings.ping(h2::Ping::opaque())).await,
            Some(Ok(_))
        )
    }

    /// Waits until nothing came in for a whole span, counted from when the connection was taken up.
    async fn in_use(&self) -> Wait {
        let began = self.runtime.now();
        let silent_at = || {
            self.trace
                .heard()
                .max(began)
                .saturating_add(self.options.ping_every)
        };
        loop {
            if self.asked_before(silent_at()).await {
                return Wait::Ping;
            }
            if self.resting.is_some() && !self.activity.in_use() {
                return Wait::Changed;
            }
            if self.runtime.now() >= silent_at() {
                return Wait::Ping;
            }
        }
    }

    /// Whether a check was asked for before this time.
    async fn asked_before(&self, until: Micros) -> bool {
        let asked = async {
            loop {
                let changed = self.activity.changed.listen();
                if self.activity.take_check() {
                    return;
                }
                changed.await;
            }
        };
        before(&self.runtime, until, asked).await.is_some()
    }

    /// Waits until the connection is taken up, or its check is granted.
    async fn at_rest(&self, checks: &dyn RestingChecks) -> Wait {
        let _rest = Rest::begin(checks);
        let mut asks_at = checks.next_check(self.runtime.now()).unwrap_or(Micros::MAX);
        loop {
            if let Some(wait) = self.stirred_before(asks_at).await {
                return wait;
            }
            match checks.ask_again(self.runtime.now()) {
                None => return Wait::Ping,
                Some(at) => asks_at = at,
            }
        }
    }

    /// What ended a rest before this time, if anything did.
    async fn stirred_before(&self, until: Micros) -> Option<Wait> {
        let stirred = async {
            loop {
                let changed = self.activity.changed.listen();
                if self.activity.take_check() {
                    return Some(Wait::Ping);
                }
                if self.activity.in_use() {
                    return Some(Wait::Changed);
                }
                changed.await;
            }
        };
        let asks = async {
            self.runtime.sleep_until(until).await;
            None
        };
        or(stirred, asks).await
    }
}
