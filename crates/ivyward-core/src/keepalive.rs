//! Decides when connections to engines are checked with pings. A connection with calls in flight is checked as soon as
//! it is silent; an idle connection is checked within a budget of the node, and before a call uses it again.
//!
//! A node has a connection to nearly every engine and uses each of them rarely. With one ping per connection and
//! second, the number of pings would grow with the number of engines; with a budget per second it does not. A failed
//! connection with calls in flight is detected after a silence and a ping timeout. An idle connection that has received
//! nothing for longer than that is checked before a call uses it. The module does no I/O and reads no clock.

use crate::interface::Micros;
use crate::mutations::{self, Mutation};

/// Settings of the connection checks. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepaliveSettings {
    /// A connection with calls in flight is pinged when it has received nothing for this long. 0 turns off all checks.
    pub ping_after: Micros,
    /// A connection whose ping is not answered within this time is closed.
    pub ping_timeout: Micros,
    /// Maximum number of idle connections checked per second, over all engines. With 0, idle connections are only checked
    /// before use.
    pub idle_checks_per_second: u32,
    /// Timeout for opening a connection. It limits the time of the check before use as well.
    pub dial_timeout: Micros,
}

/// The check before use times out after the connect timeout divided by this, which limits the delay of the call.
const CHECK_DIVISOR: Micros = 4;

/// The action required before a call uses a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeforeUse {
    /// The call can use the connection without a check.
    Nothing,
    /// Ping the connection, and open another one if no answer arrives within this time in microseconds.
    Check(Micros),
}

/// The decision on an idle connection that requests its check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckDecision {
    /// Check the connection now.
    Check,
    /// The budget is used up: request the check again at this time.
    RetryAt(Micros),
}

/// Returns the jitter clamped to the range from 0 to 1.
fn clamp_jitter(jitter: f64) -> f64 {
    if mutations::is_active(Mutation::NoJitter) {
        return 0.5;
    }
    jitter.clamp(0.0, 1.0)
}

/// The budget of a node's checks of idle connections, shared by the connections to all engines.
#[derive(Clone, Debug)]
pub struct Keepalive {
    settings: KeepaliveSettings,
    /// Number of idle connections.
    idle_connections: u64,
    /// When an idle connection was last checked.
    last_check: Option<Micros>,
}

impl Keepalive {
    /// Creates a budget without idle connections.
    pub fn new(settings: KeepaliveSettings) -> Keepalive {
        Keepalive {
            settings,
            idle_connections: 0,
            last_check: None,
        }
    }

    /// Returns the minimum time between two checks of idle connections; `None` if they are not checked.
    fn check_interval(&self) -> Option<Micros> {
        let checks = Micros::from(self.settings.idle_checks_per_second);
        (checks > 0 && self.settings.ping_after > 0).then(|| (1_000_000 / checks).max(1))
    }

    /// Counts a connection that became idle: its last call ended, or it was opened without a call.
    pub fn connection_idle(&mut self) {
        self.idle_connections += 1;
    }

    /// Removes a connection from the count of idle ones because a call uses it or it was closed.
    pub fn connection_active(&mut self) {
        if !mutations::is_active(Mutation::CountBusyAsIdle) {
            self.idle_connections = self.idle_connections.saturating_sub(1);
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> u64 {
        self.idle_connections
    }

    /// Returns the duration of a round, in which the budget allows one check of every idle connection.
    fn round(&self, check_interval: Micros) -> f64 {
        self.idle_connections.saturating_mul(check_interval) as f64
    }

    /// Returns when a connection that has just become idle, or has just been checked, requests its next check; `None`
    /// for never. The delay is 0.5 to 1.5 rounds, chosen by `jitter` (from 0 to 1) so that connections that become idle
    /// together do not request their checks together, but at least the silence allowed to a connection in use.
    pub fn next_check(&self, now: Micros, jitter: f64) -> Option<Micros> {
        let round = self.round(self.check_interval()?);
        let jitter = clamp_jitter(jitter);
        let silence = self.settings.ping_after as f64 * (1.0 + 0.5 * jitter);
        Some(now.saturating_add((round * (0.5 + jitter)).max(silence) as Micros))
    }

    /// Decides whether an idle connection that requests its check now is checked. Keeps to the budget even if many
    /// connections request their checks at once, as after a pause of the process: the retries are spread over a round
    /// by `jitter`.
    pub fn request_check(&mut self, now: Micros, jitter: f64) -> CheckDecision {
        let Some(interval) = self.check_interval() else {
            return CheckDecision::RetryAt(Micros::MAX);
        };
        let free_at = self.last_check.map_or(0, |at| at.saturating_add(interval));
        if now >= free_at || mutations::is_active(Mutation::IgnoreCheckBudget) {
            self.last_check = Some(now);
            return CheckDecision::Check;
        }
        let spread = (self.round(interval) * clamp_jitter(jitter)) as Micros;
        CheckDecision::RetryAt(free_at.saturating_add(spread))
    }

    /// Returns what to do before a call uses a connection that last received something at `last_received`. A failed
    /// connection in use is detected after `ping_after` plus `ping_timeout`. A connection that has received something
    /// within that time is as reliable as one in use, and needs no check.
    pub fn before_use(&self, now: Micros, last_received: Micros) -> BeforeUse {
        let KeepaliveSettings {
            ping_after,
            ping_timeout,
            dial_timeout,
            ..
        } = self.settings;
        let detected_after = ping_after.saturating_add(ping_timeout);
        let is_recent = ping_after == 0 || now.saturating_sub(last_received) <= detected_after;
        match is_recent || mutations::is_active(Mutation::NoCheckBeforeUse) {
            true => BeforeUse::Nothing,
            false => BeforeUse::Check((dial_timeout / CHECK_DIVISOR).max(1)),
        }
    }
}
