//! When to check connections to engines: those with calls in flight as soon as they fall silent, idle ones within a budget of
//! the node, and before they are used again.
//!
//! A node has a connection to nearly every engine and uses each of them rarely. A ping on each in every second would grow
//! with the number of engines; a budget per second does not. A connection that was idle for longer than a silent one in use
//! goes unnoticed is checked before a call uses it. No I/O, no clock.

use crate::interface::Micros;
use crate::mutations::{self, Mutation};

/// How connections are kept alive. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepaliveSettings {
    /// A connection with calls in flight is pinged after this silence; 0 for no pings at all.
    pub ping_after: Micros,
    /// A connection whose ping is not answered within this is closed.
    pub ping_timeout: Micros,
    /// Idle connections checked in a second, over all engines; 0 for none.
    pub idle_checks_per_second: u32,
    /// Time limit to connect.
    pub dial_timeout: Micros,
}

/// The check before use may take the connect time limit divided by this: the call is late by no more than that.
const CHECK_DIVISOR: Micros = 4;

/// What to do before a call uses a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeforeUse {
    /// Nothing.
    Nothing,
    /// Ping it, and open another connection if no answer comes within this time.
    Check(Micros),
}

/// The answer to an idle connection that asks for its check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckDecision {
    /// Check it now.
    Check,
    /// Ask again at this time.
    RetryAt(Micros),
}

/// The jitter, clamped to 0 to 1.
fn clamp_jitter(jitter: f64) -> f64 {
    if mutations::is_active(Mutation::NoJitter) {
        return 0.5;
    }
    jitter.clamp(0.0, 1.0)
}

/// The budget of a node's checks of idle connections.
#[derive(Clone, Debug)]
pub struct Keepalive {
    settings: KeepaliveSettings,
    /// Number of idle connections.
    idle: Micros,
    /// When one was last checked.
    last_check: Option<Micros>,
}

impl Keepalive {
    /// A budget without any checks so far.
    pub fn new(settings: KeepaliveSettings) -> Keepalive {
        Keepalive {
            settings,
            idle: 0,
            last_check: None,
        }
    }

    /// The time between two checks.
    fn check_interval(&self) -> Option<Micros> {
        let checks = Micros::from(self.settings.idle_checks_per_second);
        (checks > 0 && self.settings.ping_after > 0).then(|| (1_000_000 / checks).max(1))
    }

    /// A connection became idle: its last call ended, or it was opened and has none yet.
    pub fn connection_idle(&mut self) {
        self.idle += 1;
    }

    /// An idle connection was used by a call, or closed.
    pub fn connection_active(&mut self) {
        if !mutations::is_active(Mutation::RousedUncounted) {
            self.idle = self.idle.saturating_sub(1);
        }
    }

    /// The number of idle connections.
    pub fn idle_connections(&self) -> Micros {
        self.idle
    }

    /// The time in which the budget checks every idle connection once.
    fn round(&self, check_interval: Micros) -> f64 {
        self.idle.saturating_mul(check_interval) as f64
    }

    /// When a connection that became idle, or was checked, asks for its next check: after half a round of all idle
    /// connections to one and a half, drawn by `jitter` (from 0 to 1) so that connections that become idle together don't
    /// ask together, and not before the silence allowed to connections in use. `None` for never.
    pub fn next_check(&self, now: Micros, jitter: f64) -> Option<Micros> {
        let round = self.round(self.check_interval()?);
        let jitter = clamp_jitter(jitter);
        let silence = self.settings.ping_after as f64 * (1.0 + 0.5 * jitter);
        Some(now.saturating_add((round * (0.5 + jitter)).max(silence) as Micros))
    }

    /// Decides on a connection that asks now. Keeps to the budget also when many ask at once, as in a process that was
    /// paused: those that have to ask again spread over a round.
    pub fn request_check(&mut self, now: Micros, jitter: f64) -> CheckDecision {
        let Some(interval) = self.check_interval() else {
            return CheckDecision::RetryAt(Micros::MAX);
        };
        let free_at = self.last_check.map_or(0, |at| at.saturating_add(interval));
        if now >= free_at || mutations::is_active(Mutation::BudgetIgnored) {
            self.last_check = Some(now);
            return CheckDecision::Check;
        }
        let spread = (self.round(interval) * clamp_jitter(jitter)) as Micros;
        CheckDecision::RetryAt(free_at.saturating_add(spread))
    }

    /// What to do before a call uses a connection that last received something at `last_received`. A silent connection in use
    /// is detected after a silence and a time-out; one that received something within these is as good, idle or not.
    pub fn before_use(&self, now: Micros, last_received: Micros) -> BeforeUse {
        let KeepaliveSettings {
            ping_after,
            ping_timeout,
            dial_timeout,
            ..
        } = self.settings;
        let detected_after = ping_after.saturating_add(ping_timeout);
        let good = ping_after == 0 || now.saturating_sub(last_received) <= detected_after;
        match good || mutations::is_active(Mutation::UncheckedUse) {
            true => BeforeUse::Nothing,
            false => BeforeUse::Check((dial_timeout / CHECK_DIVISOR).max(1)),
        }
    }
}
