//! The settings of a node and their validation.

use ivyward_core::interface as core;
use ivyward_core::interface::{
    ClassSettings, Idempotency, Micros, Role, TenantSettings, UnconfirmedAttempts,
};

/// The role of each machine type. [`core::Endpoint::machine_type`] is an index into this list.
pub const MACHINE_TYPE_ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// A request class: the name that clients send and the settings of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name by which clients choose the class. Unique among the classes of a node.
    pub name: String,
    /// Objectives, deadline, weights and idempotency of the class.
    pub settings: ClassSettings,
}

/// A tenant: the name that clients send and the settings of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name by which clients choose the tenant. Unique among the tenants of a node.
    pub name: String,
    /// The quota of the tenant.
    pub settings: TenantSettings,
}

/// Settings of a node. Durations are in microseconds. Where `ivywardd` sets a field by a flag of another name, the field's
/// documentation names the flag; other fields have the name of their flag.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Seed of the router's random choices.
    pub seed: u64,
    /// The request classes (`--class`). At least one is required; the first one is the default.
    pub classes: Vec<Class>,
    /// The tenants (`--tenant`). May be empty.
    pub tenants: Vec<Tenant>,
    /// Settings of the router. [`NodeSettings::router_settings`] replaces its classes and tenants by the fields above, and its
    /// roles by [`MACHINE_TYPE_ROLES`] if they are empty.
    pub router: core::Settings,
    /// How long before the client's deadline the final answer is sent. A class's deadline must be over twice this value.
    pub answer_margin: Micros,
    /// A connection attempt to an engine that takes longer than this has failed. At most `router.drain_grace`.
    pub dial_timeout: Micros,
    /// Pause after the first failed connection attempt to an engine, or the first failed release (`--redial-first`). The
    /// pause doubles with each further failure; before connection attempts it has jitter.
    pub initial_backoff: Micros,
    /// Upper limit of that pause (`--redial-most`).
    pub max_backoff: Micros,
    /// A connection to an engine is closed if the reset of a cancelled call cannot be written to it within this time
    /// (`--reset-wait`). Less than `router.release_within`.
    pub reset_timeout: Micros,
    /// A response stream of an engine that has started and then delivers no token for this long has failed
    /// (`--stream-stall`).
    pub stream_idle_timeout: Micros,
    /// How long the release of a reservation is retried while its engine cannot be reached (`--release-tries`). After that,
    /// the reservation ends when the engine's own time limit for reservations expires.
    pub release_retry_window: Micros,
    /// Maximum number of tokens buffered for a client that reads slowly (`--stream-buffer`). While the buffer is full, the
    /// node does not read from the engine.
    pub max_buffered_tokens: usize,
    /// Maximum number of concurrent calls on one connection to an engine (`--calls-per-connection`).
    pub max_calls_per_connection: usize,
    /// Maximum number of connections to one engine (`--connections-per-engine`).
    pub max_connections_per_engine: usize,
    /// A connection to an engine with calls in flight is pinged after it has received nothing for this long
    /// (`--ping-every`). 0 disables all pings, those of idle connections included.
    pub ping_interval: Micros,
    /// A connection is closed if a ping is not answered within this time.
    pub ping_timeout: Micros,
    /// How many idle connections are pinged per second, over all engines (`--resting-checks`). 0 disables these pings and
    /// is required if `ping_interval` is 0. An idle connection is also pinged before a call is sent on it, unless it received
    /// something within the last `ping_interval + ping_timeout`.
    pub idle_checks_per_second: u32,
    /// Maximum number of open requests (`--most-open`). Further requests are rejected.
    pub max_open_requests: usize,
    /// Maximum number of bytes of all gRPC requests that are being received, and of the prompts of all open requests
    /// (`--most-request-bytes`). Of the former, those that began first are rejected at the limit; of the latter, new ones are.
    pub max_request_bytes: usize,
    /// Maximum number of client connections (`--most-clients`). Further connections are closed on accept.
    pub max_client_connections: usize,
    /// Maximum length of a prompt in tokens (`--most-prompt`). A longer prompt makes the request invalid.
    pub max_prompt_tokens: usize,
    /// Maximum number of output tokens that a request may ask for (`--most-output`). A larger number makes the request
    /// invalid.
    pub max_output_tokens: usize,
    /// Maximum number of releases of reservations that are pending at once (`--most-releases`). Beyond it the oldest one is
    /// no longer retried; its reservation ends when the engine's own time limit expires.
    pub max_pending_releases: usize,
}

impl Default for NodeSettings {
    fn default() -> NodeSettings {
        NodeSettings {
            seed: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            router: core::Settings {
                replica_count: 1,
                over_quota_weight: 1.0,
                decode_may_prefill: true,
                release_within: 500_000,
                drain_grace: 250_000,
                overload_multiple: 3.0,
                overload_window: 2_000_000,
                initial_capacity: 0.3,
                warm_up_duration: 15_000_000,
                max_attempts: 4,
                may_cancel: true,
                max_retry_after: 500_000,
                ..core::Settings::default()
            },
            answer_margin: 30_000,
            dial_timeout: 250_000,
            initial_backoff: 20_000,
            max_backoff: 1_000_000,
            reset_timeout: 100_000,
            stream_idle_timeout: 10_000_000,
            release_retry_window: 10_000_000,
            max_buffered_tokens: 1_024,
            max_calls_per_connection: 100,
            max_connections_per_engine: 8,
            ping_interval: 1_000_000,
            ping_timeout: 1_000_000,
            idle_checks_per_second: DEFAULT_IDLE_CHECKS_PER_SECOND,
            max_open_requests: 20_000,
            max_request_bytes: 256 << 20,
            max_client_connections: 4_096,
            max_prompt_tokens: 200_000,
            max_output_tokens: 100_000,
            max_pending_releases: 4_096,
        }
    }
}

/// Default of [`NodeSettings::idle_checks_per_second`] where pings are enabled.
pub const DEFAULT_IDLE_CHECKS_PER_SECOND: u32 = 16;
/// Upper limit of all durations in the settings.
const MAX_DURATION: Micros = 3_600_000_000;
/// Upper limit of [`NodeSettings::idle_checks_per_second`].
const MAX_IDLE_CHECKS_PER_SECOND: u32 = 10_000;

/// An invalid setting: the flag that sets it, the value and the reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{flag} {value}: {reason}")]
pub struct SettingsError {
    /// The flag as written on the command line, or the name of the environment variable.
    pub flag: String,
    /// The rejected value.
    pub value: String,
    /// Why the value is rejected, and which values are allowed.
    pub reason: String,
}

impl SettingsError {
    /// Creates an error about the value of a flag.
    pub fn new(
        flag: impl Into<String>,
        value: impl ToString,
        reason: impl Into<String>,
    ) -> SettingsError {
        SettingsError {
            flag: flag.into(),
            value: value.to_string(),
            reason: reason.into(),
        }
    }
}

/// Formats a duration in milliseconds, such as `250ms`.
fn format_ms(duration: Micros) -> String {
    format!("{}ms", duration as f64 / 1000.0)
}

impl NodeSettings {
    /// Returns the complete settings of the router: [`NodeSettings::router`] with classes, tenants and roles filled in.
    pub fn router_settings(&self) -> core::Settings {
        core::Settings {
            roles: if self.router.roles.is_empty() {
                MACHINE_TYPE_ROLES.to_vec()
            } else {
                self.router.roles.clone()
            },
            classes: self.classes.iter().map(|c| c.settings.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.settings.clone()).collect(),
            // An attempt that is still connecting is not in flight, because its engine does not know of it yet.
            in_flight_after_last_byte: true,
            unconfirmed_attempts: match self.router.unconfirmed_attempts {
                // Engines of the gRPC protocol release what an attempt waits for, so that the attempt has to end first.
                UnconfirmedAttempts::CountAsArrived => UnconfirmedAttempts::Cancel,
                stated => stated,
            },
            ..self.router.clone()
        }
    }

    /// Validates the settings: ranges of values, and combinations under which the router could violate its invariants.
    ///
    /// # Errors
    /// Returns the first invalid setting with its flag, value and reason.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_durations()?;
        self.check_limits()?;
        self.check_router()?;
        if self.classes.is_empty() {
            return Err(SettingsError::new(
                "--class",
                "(none)",
                "at least one class is needed",
            ));
        }
        for (index, class) in self.classes.iter().enumerate() {
            self.check_class(index, class)?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            self.check_tenant(index, tenant)?;
        }
        Ok(())
    }

    fn check_tenant(&self, index: usize, tenant: &Tenant) -> Result<(), SettingsError> {
        let invalid = |reason: &str| Err(SettingsError::new("--tenant", &tenant.name, reason));
        if tenant.name.is_empty() {
            return invalid("a tenant needs a name");
        }
        if self.tenants[..index].iter().any(|t| t.name == tenant.name) {
            return invalid("the name is given twice");
        }
        let quota = tenant.settings.quota_per_s;
        if quota.is_some_and(|quota| !quota.is_finite() || quota <= 0.0) {
            return invalid("quota must be over 0");
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), SettingsError> {
        // Each with its lower limit.
        let durations = [
            ("--answer-margin", self.answer_margin, 1_000),
            ("--dial-timeout", self.dial_timeout, 1_000),
            ("--redial-first", self.initial_backoff, 1_000),
            ("--redial-most", self.max_backoff, 1_000),
            ("--reset-wait", self.reset_timeout, 1_000),
            ("--stream-stall", self.stream_idle_timeout, 1_000),
            ("--release-tries", self.release_retry_window, 0),
            ("--ping-every", self.ping_interval, 0),
            ("--ping-timeout", self.ping_timeout, 1_000),
            ("--release-within", self.router.release_within, 1_000),
            ("--drain-grace", self.router.drain_grace, 1_000),
            ("--fall-window", self.router.overload_window, 1_000),
            ("--warm-after", self.router.warm_up_duration, 0),
            ("--max-retry-after", self.router.max_retry_after, 0),
        ];
        for (flag, duration, min) in durations {
            if duration < min {
                let reason = format!("must be at least {}", format_ms(min));
                return Err(SettingsError::new(flag, format_ms(duration), reason));
            }
            if duration > MAX_DURATION {
                return Err(SettingsError::new(
                    flag,
                    format_ms(duration),
                    "an hour at most",
                ));
            }
        }
        self.check_idle_checks()?;
        self.check_duration_order()
    }

    fn check_idle_checks(&self) -> Result<(), SettingsError> {
        let invalid = |reason: String| {
            let flag = "--resting-checks";
            Err(SettingsError::new(
                flag,
                self.idle_checks_per_second,
                reason,
            ))
        };
        if self.ping_interval == 0 && self.idle_checks_per_second > 0 {
            return invalid(
                "idle connections cannot be checked while --ping-every is 0: set --ping-every, or \
                 --resting-checks=0"
                    .into(),
            );
        }
        if self.idle_checks_per_second > MAX_IDLE_CHECKS_PER_SECOND {
            return invalid(format!("{MAX_IDLE_CHECKS_PER_SECOND} a second at most"));
        }
        Ok(())
    }

    /// Checks the durations whose upper limit is another duration.
    fn check_duration_order(&self) -> Result<(), SettingsError> {
        let invalid = |flag: &str, duration: Micros, reason: String| {
            Err(SettingsError::new(flag, format_ms(duration), reason))
        };
        if self.initial_backoff > self.max_backoff {
            let max = format_ms(self.max_backoff);
            let reason = format!("longer than --redial-most, which is {max}");
            return invalid("--redial-first", self.initial_backoff, reason);
        }
        // A connection attempt that takes longer than the drain grace could send to a draining engine after the grace.
        if self.dial_timeout > self.router.drain_grace {
            let grace = format_ms(self.router.drain_grace);
            let reason = format!("longer than --drain-grace, which is {grace}");
            return invalid("--dial-timeout", self.dial_timeout, reason);
        }
        // A cancelled prefill must have ended before the KV state that it may have left has to be released.
        if self.reset_timeout >= self.router.release_within {
            let within = format_ms(self.router.release_within);
            let reason = format!("must be under --release-within, which is {within}");
            return invalid("--reset-wait", self.reset_timeout, reason);
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let limits = [
            ("--stream-buffer", self.max_buffered_tokens, 1 << 20),
            (
                "--calls-per-connection",
                self.max_calls_per_connection,
                1 << 16,
            ),
            (
                "--connections-per-engine",
                self.max_connections_per_engine,
                1 << 12,
            ),
            ("--most-open", self.max_open_requests, 1 << 20),
            ("--most-request-bytes", self.max_request_bytes, 1 << 40),
            ("--most-clients", self.max_client_connections, 1 << 20),
            ("--most-prompt", self.max_prompt_tokens, 1 << 22),
            ("--most-output", self.max_output_tokens, 1 << 22),
            ("--most-releases", self.max_pending_releases, 1 << 20),
        ];
        for (flag, value, max) in limits {
            if !(1..=max).contains(&value) {
                return Err(SettingsError::new(
                    flag,
                    value,
                    format!("must be from 1 to {max}"),
                ));
            }
        }
        Ok(())
    }

    fn check_router(&self) -> Result<(), SettingsError> {
        let router = &self.router;
        let number = |flag: &str, value: f64, from: f64, to: f64| {
            if value.is_finite() && (from..=to).contains(&value) {
                return Ok(());
            }
            Err(SettingsError::new(
                flag,
                value,
                format!("must be from {from} to {to}"),
            ))
        };
        number("--fall-multiple", router.overload_multiple, 0.0, 1e6)?;
        number("--start-capacity", router.initial_capacity, 0.0, 1.0)?;
        number("--over-share-worth", router.over_quota_weight, 0.0, 1.0)?;
        number("--transfer-price", router.transfer_price, 0.0, 1.0)?;
        number("--cross-zone-price", router.cross_zone_price, 0.0, 1.0)?;
        number("--nodes", f64::from(router.replica_count), 1.0, 1e6)?;
        number("--max-attempts", f64::from(router.max_attempts), 1.0, 100.0)?;
        if router.hedging {
            return Err(SettingsError::new(
                "--second-copies",
                true,
                "hedging is not supported: a request has one attempt in flight at a time",
            ));
        }
        if let Some(tokens) = router
            .memory_tokens
            .iter()
            .find(|t| !t.is_finite() || **t <= 0.0)
        {
            return Err(SettingsError::new(
                "--memory-tokens",
                tokens,
                "must be over 0",
            ));
        }
        if router.report_fields.len() > 4 {
            return Err(SettingsError::new(
                "--report",
                router.report_fields.len(),
                "four values at most",
            ));
        }
        Ok(())
    }

    fn check_class(&self, index: usize, class: &Class) -> Result<(), SettingsError> {
        let invalid = |reason: String| Err(SettingsError::new("--class", &class.name, reason));
        let s = &class.settings;
        if class.name.is_empty() {
            return invalid("a class needs a name".into());
        }
        if self.classes[..index].iter().any(|c| c.name == class.name) {
            return invalid("the name is given twice".into());
        }
        let numbers = [
            ("ttft-aim-per-1000", s.ttft_objective_per_1000, 0.0, 1e9),
            ("tpot-aim", s.tpot_objective, 0.0, 1e9),
            ("worth", s.priority_weight, 0.0, 1e6),
            ("late-share", s.late_weight, 0.0, 1.0),
        ];
        for (key, value, from, to) in numbers {
            if !value.is_finite() || !(from..=to).contains(&value) {
                return invalid(format!("{key}={value} must be from {from} to {to}"));
            }
        }
        self.check_class_durations(class)?;
        // A request with an idempotency key may be sent again only while its engines drop repeats of the key. Without that
        // window, a retry could run the request twice.
        if s.idempotency == Idempotency::WithKey && s.deduplication_window == 0 {
            return invalid(
                "effect=keyed needs repeat-window, the time for which engines drop repeats".into(),
            );
        }
        if s.idempotency != Idempotency::WithKey && s.deduplication_window != 0 {
            return invalid("repeat-window goes with effect=keyed".into());
        }
        Ok(())
    }

    fn check_class_durations(&self, class: &Class) -> Result<(), SettingsError> {
        let invalid = |reason: String| Err(SettingsError::new("--class", &class.name, reason));
        let s = &class.settings;
        let (aim, deadline) = (format_ms(s.ttft_objective), format_ms(s.deadline));
        if s.ttft_objective < 1_000 {
            return invalid(format!("ttft-aim={aim} must be at least 1ms"));
        }
        if s.deadline > MAX_DURATION {
            return invalid(format!("deadline={deadline} must be an hour at most"));
        }
        // The final answer has to be sent before the client stops waiting.
        if s.deadline <= 2 * self.answer_margin {
            let margin = format_ms(self.answer_margin);
            return invalid(format!(
                "deadline={deadline} leaves no time beside --answer-margin {margin}"
            ));
        }
        if s.ttft_objective > s.deadline {
            return invalid(format!("ttft-aim={aim} is over deadline={deadline}"));
        }
        Ok(())
    }
}
