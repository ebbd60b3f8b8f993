//! Decides when a connection is pinged: on request, when calls are in flight and nothing is received, and while idle when the
//! rate limit of all connections allows it.

use crate::activity::Activity;
use crate::frame_observer::FrameObserver;
use crate::options::Options;
use futures_lite::future::or;
use ivyward_runtime::{timeout_at, Micros, RuntimeRef};
use std::pin::pin;
use std::sync::Arc;

/// Decides when idle connections are checked. One instance may serve all connections of an owner, to limit the rate of checks.
pub trait IdleChecks: Send + Sync {
    /// Is called when a connection becomes idle.
    fn connection_idle(&self);
    /// Is called when an idle connection is used by a call or closed.
    fn connection_active(&self);
    /// Returns the time at which a connection that is idle from `now` on requests its check; `None` for never.
    fn next_check(&self, now: Micros) -> Option<Micros>;
    /// Is called when an idle connection requests its check. Returns the time at which the connection must request it again, or
    /// `None` to check it now.
    fn retry_check_at(&self, now: Micros) -> Option<Micros>;
}

/// Counts a connection as idle until the guard is dropped.
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

/// Why a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitResult {
    /// A ping is due.
    PingDue,
    /// The connection became idle or was used again, so that the rules for the next ping change.
    UseChanged,
}

/// The keepalive of one connection.
pub(crate) struct Keepalive {
    pub(crate) runtime: RuntimeRef,
    pub(crate) options: Options,
    pub(crate) observer: Arc<FrameObserver>,
    pub(crate) activity: Arc<Activity>,
    /// Decides about idle connections. If `None`, an idle connection is pinged like one in use.
    pub(crate) idle_checks: Option<Arc<dyn IdleChecks>>,
}

impl Keepalive {
    /// Sends pings when they are due. Returns when a ping is not answered in time.
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

    /// Sends pings on request only, and waits for each answer for as long as the connection is open.
    pub(crate) async fn run_on_request(&self, mut pings: h2::PingPong) {
        while self.check_requested_before(Micros::MAX).await {
            let check = self.activity.check_starts();
            // h2 reports an error of the connection to its calls.
            if pings.ping(h2::Ping::opaque()).await.is_err() {
                return std::future::pending().await;
            }
            self.activity.check_answered(check);
        }
    }

    /// Sends a ping. Returns `false` if the connection breaks, or if nothing is received for the ping timeout. While other bytes
    /// are received, the server is alive, and its answer may be queued behind them.
    async fn ping(&self, pings: &mut h2::PingPong) -> bool {
        let began = self.runtime.now();
        let deadline = || {
            let since = self.observer.last_received().max(began);
            since.saturating_add(self.options.ping_timeout)
        };
        let check = self.activity.check_starts();
        let mut answer = pin!(pings.ping(h2::Ping::opaque()));
        loop {
            match timeout_at(&self.runtime, deadline(), answer.as_mut()).await {
                Some(Ok(_)) => {
                    self.activity.check_answered(check);
                    return true;
                }
                Some(Err(_)) => return false,
                None if self.runtime.now() >= deadline() => return false,
                None => {}
            }
        }
    }

    /// Waits until a ping is due because nothing was received for the ping interval, counted from now at the earliest. Ends
    /// earlier if a check is requested or the connection becomes idle.
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

    /// Waits until a check is requested or `deadline` is reached. Returns whether a check was requested.
    async fn check_requested_before(&self, deadline: Micros) -> bool {
        let requested = async {
            loop {
                let changed = self.activity.listen();
                if self.activity.has_check_request() {
                    return;
                }
                changed.await;
            }
        };
        timeout_at(&self.runtime, deadline, requested)
            .await
            .is_some()
    }

    /// Waits until an idle connection is used by a call, or until its check is allowed or requested.
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

    /// Waits until a check is requested, the connection is used by a call, or `deadline` is reached; returns `None` for the last.
    async fn idle_ended_before(&self, deadline: Micros) -> Option<WaitResult> {
        let ended = async {
            loop {
                let changed = self.activity.listen();
                if self.activity.has_check_request() {
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
