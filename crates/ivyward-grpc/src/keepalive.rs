//! When a connection is pinged: on request, while calls are in flight and nothing is received, and while idle when
//! the budget of all connections allows it.

use crate::activity::Activity;
use crate::frame_observer::FrameObserver;
use crate::options::Options;
use futures_lite::future::or;
use ivyward_runtime::{before, Micros, RuntimeRef};
use std::sync::Arc;

/// Decides when idle connections are checked, for all connections of an owner together.
pub trait IdleChecks: Send + Sync {
    /// A connection became idle.
    fn connection_idle(&self);
    /// An idle connection was taken into use by a call, or closed.
    fn connection_active(&self);
    /// When an idle connection requests its check; `None` for never.
    fn next_check(&self, now: Micros) -> Option<Micros>;
    /// When a connection that requests its check now is to request it again; `None` when it is checked now.
    fn retry_check_at(&self, now: Micros) -> Option<Micros>;
}

/// Counts a connection as idle until it is dropped.
struct IdleGuard<'a>(&'a dyn IdleChecks);

impl<'a> IdleGuard<'a> {
    fn new(checks: &'a dyn IdleChecks) -> IdleGuard<'a> {
        checks.connection_idle();
        IdleGuard(checks)
    }
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.0.connection_active();
    }
}

/// Why a wait is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitResult {
    /// A ping is due.
    PingDue,
    /// The connection became idle, or was taken into use: the other wait begins.
    UseChanged,
}

/// Keeps one connection alive.
pub(crate) struct Keepalive {
    pub(crate) runtime: RuntimeRef,
    pub(crate) options: Options,
    pub(crate) observer: Arc<FrameObserver>,
    pub(crate) activity: Arc<Activity>,
    /// Without it an idle connection is pinged like one in use.
    pub(crate) idle_checks: Option<Arc<dyn IdleChecks>>,
}

impl Keepalive {
    /// Pings whenever a ping is due. Returns when a ping stays unanswered.
    pub(crate) async fn run(&self, mut pings: h2::PingPong) {
        loop {
            let wait = match &self.idle_checks {
                Some(checks) if !self.activity.in_use() => self.wait_idle(checks.as_ref()).await,
                _ => self.wait_in_use().await,
            };
            if wait == WaitResult::PingDue && !self.ping(&mut pings).await {
                return;
            }
        }
    }

    /// Sends a ping. Returns whether it is answered in time.
    async fn ping(&self, pings: &mut h2::PingPong) -> bool {
        let deadline = self.runtime.now().saturating_add(self.options.ping_timeout);
        matches!(
            before(&self.runtime, deadline, pings.ping(h2::Ping::opaque())).await,
            Some(Ok(_))
        )
    }

    /// Waits until nothing was received for a whole span, counted from now at the earliest.
    async fn wait_in_use(&self) -> WaitResult {
        let began = self.runtime.now();
        let ping_at = || {
            self.observer
                .last_received()
                .max(began)
                .saturating_add(self.options.ping_interval)
        };
        loop {
            if self.check_requested_before(ping_at()).await {
                return WaitResult::PingDue;
            }
            if self.idle_checks.is_some() && !self.activity.in_use() {
                return WaitResult::UseChanged;
            }
            if self.runtime.now() >= ping_at() {
                return WaitResult::PingDue;
            }
        }
    }

    /// Whether a check is requested before this time.
    async fn check_requested_before(&self, deadline: Micros) -> bool {
        let requested = async {
            loop {
                let changed = self.activity.listen();
                if self.activity.take_check_request() {
                    return;
                }
                changed.await;
            }
        };
        before(&self.runtime, deadline, requested).await.is_some()
    }

    /// Waits until the connection is taken into use, or its check is granted.
    async fn wait_idle(&self, checks: &dyn IdleChecks) -> WaitResult {
        let _idle = IdleGuard::new(checks);
        let mut check_at = checks.next_check(self.runtime.now()).unwrap_or(Micros::MAX);
        loop {
            if let Some(wait) = self.idle_ended_before(check_at).await {
                return wait;
            }
            match checks.retry_check_at(self.runtime.now()) {
                None => return WaitResult::PingDue,
                Some(at) => check_at = at,
            }
        }
    }

    /// What ended the idle wait before this time, if anything did.
    async fn idle_ended_before(&self, deadline: Micros) -> Option<WaitResult> {
        let ended = async {
            loop {
                let changed = self.activity.listen();
                if self.activity.take_check_request() {
                    return Some(WaitResult::PingDue);
                }
                if self.activity.in_use() {
                    return Some(WaitResult::UseChanged);
                }
                changed.await;
            }
        };
        let timer = async {
            self.runtime.sleep_until(deadline).await;
            None
        };
        or(ended, timer).await
    }
}
