//! When connections to engines are checked: those with calls in flight as soon as they fall silent, those at rest within a
//! budget that is the node's and not the connection's, and before they are used again.
//!
//! A node has a connection to nearly every engine and uses each of them seldom. A ping on each in every second would grow
//! with the fleet; a budget of so many a second does not. What rested for longer than a silent
//! connection in use goes unnoticed is checked before a call leaves on it. No I/O, no clock.

use crate::interface::Micros;
use crate::mutations::{self, Mutation};

/// How connections are kept alive. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepaliveSettings {
    /// A connection with calls in flight is pinged after so long a silence; 0 for no pings at all.
    pub silence: Micros,
    /// A ping is answered within this, or the connection is given up.
    pub timeout: Micros,
    /// Connections at rest that are checked in a second, over all engines; 0 for none.
    pub idle_checks_per_second: u32,
    /// How long a connection may take to come up.
    pub dial_timeout: Micros,
}

/// A resting connection that is checked before its use is waited for by this part of what a new one may take: the call is
/// late by no more than that.
const WAIT_PART: Micros = 4;
/// What is to be done before a call leaves on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeforeUse {
    /// Nothing.
    Nothing,
    /// A ping, waited for this long; then another connection is opened.
    Check(Micros),
}

/// What a connection at rest is told that asks for its check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckDecision {
    /// It is checked now.
    Check,
    /// It is to ask again then.
    RetryAt(Micros),
}

/// A number from 0 to 1 as it counts.
fn drawn(jitter: f64) -> f64 {
    if mutations::is_active(Mutation::NoJitter) {
        return 0.5;
    }
    jitter.clamp(0.0, 1.0)
}

/// The budget of a node's checks of connections at rest.
#[derive(Clone, Debug)]
pub struct Keepalive {
    settings: KeepaliveSettings,
    /// Connections at rest.
    idle: Micros,
    /// When one was checked last.
    checked: Option<Micros>,
}

impl Keepalive {
    /// A budget of which nothing was taken.
    pub fn new(settings: KeepaliveSettings) -> Keepalive {
        Keepalive {
            settings,
            idle: 0,
            checked: None,
        }
    }

    /// Between two checks.
    fn pause(&self) -> Option<Micros> {
        let checks = Micros::from(self.settings.idle_checks_per_second);
        (checks > 0 && self.settings.silence > 0).then(|| (1_000_000 / checks).max(1))
    }

    /// A connection has come to rest: its last call ended, or it was opened and has none yet.
    pub fn connection_idle(&mut self) {
        self.idle += 1;
    }

    /// A connection at rest was taken up by a call, or has closed.
    pub fn connection_active(&mut self) {
        if !mutations::is_active(Mutation::RousedUncounted) {
            self.idle = self.idle.saturating_sub(1);
        }
    }

    /// Connections at rest.
    pub fn idle_connections(&self) -> Micros {
        self.idle
    }

    /// What the budget takes to go round all that rest.
    fn round(&self, pause: Micros) -> f64 {
        self.idle.saturating_mul(pause) as f64
    }

    /// When a connection that came to rest, or was checked, asks for its next check: after half a round of all that rest to
    /// one and a half, drawn by `jitter` (from 0 to 1) so that connections that come to rest together do not ask together,
    /// and not before the silence that is allowed to connections in use. `None` for never.
    pub fn next_check(&self, now: Micros, jitter: f64) -> Option<Micros> {
        let round = self.round(self.pause()?);
        let jitter = drawn(jitter);
        let silence = self.settings.silence as f64 * (1.0 + 0.5 * jitter);
        Some(now.saturating_add((round * (0.5 + jitter)).max(silence) as Micros))
    }

    /// What a connection that asks now is told. Holds the budget also where many ask in one moment, as in a process that
    /// stood still: those that are told to ask again spread over a round.
    pub fn request_check(&mut self, now: Micros, jitter: f64) -> CheckDecision {
        let Some(pause) = self.pause() else {
            return CheckDecision::RetryAt(Micros::MAX);
        };
        let free_at = self.checked.map_or(0, |at| at.saturating_add(pause));
        if now >= free_at || mutations::is_active(Mutation::BudgetIgnored) {
            self.checked = Some(now);
            return CheckDecision::Check;
        }
        let spread = (self.round(pause) * drawn(jitter)) as Micros;
        CheckDecision::RetryAt(free_at.saturating_add(spread))
    }

    /// What is to be done before a call leaves on a connection on which something was last heard at `heard`. One in use is
    /// found silent after a silence and a time-out; what was heard within these is as good, whether it rested or not.
    pub fn before_use(&self, now: Micros, heard: Micros) -> BeforeUse {
        let KeepaliveSettings {
            silence,
            timeout,
            dial_timeout,
            ..
        } = self.settings;
        let found_after = silence.saturating_add(timeout);
        let good = silence == 0 || now.saturating_sub(heard) <= found_after;
        match good || mutations::is_active(Mutation::UncheckedUse) {
            true => BeforeUse::Nothing,
            false => BeforeUse::Check((dial_timeout / WAIT_PART).max(1)),
        }
    }
}
