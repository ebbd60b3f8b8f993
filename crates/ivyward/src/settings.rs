//! The settings of a node, and the checks on them.

use ivyward_core::interface as core;
use ivyward_core::interface::{ClassSettings, Idempotency, Micros, Role, TenantSettings};

/// The machine types of engines: [`core::Endpoint::machine_type`] is an index into this list.
pub const MACHINE_TYPE_ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// A request class with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name that clients use.
    pub name: String,
    /// The router's settings for it.
    pub settings: ClassSettings,
}

/// A tenant with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name that clients use.
    pub name: String,
    /// The router's settings for it.
    pub settings: TenantSettings,
}

/// Settings of a node. Times are microseconds. Field names stand for flags: `answer_margin` is `--answer-margin`.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The seed of the router's random choices.
    pub seed: u64,
    /// The request classes; at least one. The first one is the default.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The router's other settings. Its classes and tenants are filled in from the fields above, and its roles from [`MACHINE_TYPE_ROLES`]
    /// if there are none.
    pub router: core::Settings,
    /// The final answer is given this span before the client stops waiting.
    pub answer_margin: Micros,
    /// A connection that is not open after this span counts as failed.
    pub dial_timeout: Micros,
    /// First pause after a failed connection attempt; it doubles, with jitter.
    pub initial_backoff: Micros,
    /// Longest such pause.
    pub max_backoff: Micros,
    /// A connection that does not take the reset of a cancelled call within this span is closed.
    pub reset_timeout: Micros,
    /// A started stream without a token for this span counts as broken.
    pub stream_idle_timeout: Micros,
    /// A release that does not reach its engine is tried again for this span; then the engine's own limit releases.
    pub release_retry_window: Micros,
    /// Most tokens that wait for a slow client; no more is read from the engine while so many wait.
    pub max_buffered_tokens: usize,
    /// Most calls on one connection to an engine.
    pub max_calls_per_connection: usize,
    /// Most connections to one engine.
    pub max_connections_per_engine: usize,
    /// Span without a byte after which a connection to an engine with calls in flight is pinged; 0 for no pings at all.
    pub ping_interval: Micros,
    /// A ping without an answer for this span closes the connection.
    pub ping_timeout: Micros,
    /// Connections without calls that are pinged in a second, over all engines; 0 for none. Each is pinged as well before a
    /// call leaves on it, unless something came in within `ping_interval` and `ping_timeout` together.
    pub idle_checks_per_second: u32,
    /// Most open requests; one more is rejected.
    pub max_open_requests: usize,
    /// Most client connections; one more is closed at once.
    pub max_client_connections: usize,
    /// Longest prompt, in tokens; a longer one is an error of the client.
    pub max_prompt_tokens: usize,
    /// Most output tokens that a client may ask for.
    pub max_output_tokens: usize,
    /// Most releases under way at once; beyond it the oldest is left to its engine's own limit.
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
            max_client_connections: 4_096,
            max_prompt_tokens: 200_000,
            max_output_tokens: 100_000,
            max_pending_releases: 4_096,
        }
    }
}

/// Default of [`NodeSettings::idle_checks_per_second`].
pub const DEFAULT_IDLE_CHECKS_PER_SECOND: u32 = 16;
/// Longest span of most settings.
const HOUR: Micros = 3_600_000_000;
/// Largest value of [`NodeSettings::idle_checks_per_second`].
const MAX_IDLE_CHECKS_PER_SECOND: u32 = 10_000;

/// A setting that cannot hold: which, its value, and why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{flag} {value}: {reason}")]
pub struct SettingsError {
    /// The flag, as on the command line.
    pub flag: String,
    /// The value it was given.
    pub value: String,
    /// Why it is not allowed, and what is.
    pub reason: String,
}

impl SettingsError {
    /// An error about a flag.
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

/// A span in milliseconds.
fn ms(span: Micros) -> String {
    format!("{}ms", span as f64 / 1000.0)
}

impl NodeSettings {
    /// The router's settings, with classes, tenants and roles filled in.
    pub fn router_settings(&self) -> core::Settings {
        core::Settings {
            roles: if self.router.roles.is_empty() {
                MACHINE_TYPE_ROLES.to_vec()
            } else {
                self.router.roles.clone()
            },
            classes: self.classes.iter().map(|c| c.settings.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.settings.clone()).collect(),
            // On sockets an engine knows nothing of an attempt that is still connecting.
            in_flight_after_last_byte: true,
            ..self.router.clone()
        }
    }

    /// Checks that the settings cannot break a rule and make sense.
    ///
    /// # Errors
    /// The first setting that does not hold: flag, value and reason.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_spans()?;
        self.check_bounds()?;
        self.check_rules()?;
        if self.classes.is_empty() {
            return Err(SettingsError::new(
                "--class",
                "(none)",
                "at least one class is needed",
            ));
        }
        for (i, class) in self.classes.iter().enumerate() {
            self.check_class(i, class)?;
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            self.check_tenant(i, tenant)?;
        }
        Ok(())
    }

    fn check_tenant(&self, index: usize, tenant: &Tenant) -> Result<(), SettingsError> {
        let bad = |reason: &str| Err(SettingsError::new("--tenant", &tenant.name, reason));
        if tenant.name.is_empty() {
            return bad("a tenant needs a name");
        }
        if self.tenants[..index].iter().any(|t| t.name == tenant.name) {
            return bad("the name is given twice");
        }
        let quota = tenant.settings.quota_per_s;
        if quota.is_some_and(|quota| !quota.is_finite() || quota <= 0.0) {
            return bad("quota must be over 0");
        }
        Ok(())
    }

    fn check_spans(&self) -> Result<(), SettingsError> {
        let spans = [
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
        for (flag, span, least) in spans {
            if span < least {
                let reason = format!("at least {} is needed", ms(least));
                return Err(SettingsError::new(flag, ms(span), reason));
            }
            if span > HOUR {
                return Err(SettingsError::new(flag, ms(span), "an hour at most"));
            }
        }
        self.check_idle_checks()?;
        self.check_span_order()
    }

    fn check_idle_checks(&self) -> Result<(), SettingsError> {
        let bad = |reason: String| {
            let flag = "--resting-checks";
            Err(SettingsError::new(
                flag,
                self.idle_checks_per_second,
                reason,
            ))
        };
        if self.ping_interval == 0 && self.idle_checks_per_second > 0 {
            return bad(
                "connections at rest cannot be checked where --ping-every is 0: set one of them"
                    .into(),
            );
        }
        if self.idle_checks_per_second > MAX_IDLE_CHECKS_PER_SECOND {
            return bad(format!("{MAX_IDLE_CHECKS_PER_SECOND} a second at most"));
        }
        Ok(())
    }

    /// Spans that must not be longer than others.
    fn check_span_order(&self) -> Result<(), SettingsError> {
        let bad = |flag: &str, span: Micros, reason: String| {
            Err(SettingsError::new(flag, ms(span), reason))
        };
        if self.initial_backoff > self.max_backoff {
            let most = ms(self.max_backoff);
            let reason = format!("longer than --redial-most, which is {most}");
            return bad("--redial-first", self.initial_backoff, reason);
        }
        // A connection attempt that outlasts the grace would send to an engine that drains.
        if self.dial_timeout > self.router.drain_grace {
            let grace = ms(self.router.drain_grace);
            let reason = format!("longer than --drain-grace, which is {grace}");
            return bad("--dial-timeout", self.dial_timeout, reason);
        }
        // A cancelled prefill must be over before the state that it may have left is to be released.
        if self.reset_timeout >= self.router.release_within {
            let within = ms(self.router.release_within);
            let reason = format!("must be under --release-within, which is {within}");
            return bad("--reset-wait", self.reset_timeout, reason);
        }
        Ok(())
    }

    fn check_bounds(&self) -> Result<(), SettingsError> {
        let bounds = [
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
            ("--most-clients", self.max_client_connections, 1 << 20),
            ("--most-prompt", self.max_prompt_tokens, 1 << 22),
            ("--most-output", self.max_output_tokens, 1 << 22),
            ("--most-releases", self.max_pending_releases, 1 << 20),
        ];
        for (flag, value, most) in bounds {
            if !(1..=most).contains(&value) {
                return Err(SettingsError::new(
                    flag,
                    value,
                    format!("must be from 1 to {most}"),
                ));
            }
        }
        Ok(())
    }

    fn check_rules(&self) -> Result<(), SettingsError> {
        let r = &self.router;
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
        number("--fall-multiple", r.overload_multiple, 0.0, 1e6)?;
        number("--start-capacity", r.initial_capacity, 0.0, 1.0)?;
        number("--over-share-worth", r.over_quota_weight, 0.0, 1.0)?;
        number("--transfer-price", r.transfer_price, 0.0, 1.0)?;
        number("--cross-zone-price", r.cross_zone_price, 0.0, 1.0)?;
        number("--nodes", f64::from(r.replica_count), 1.0, 1e6)?;
        number("--max-attempts", f64::from(r.max_attempts), 1.0, 100.0)?;
        if r.hedging {
            return Err(SettingsError::new(
                "--second-copies",
                true,
                "this node has one attempt out at a time",
            ));
        }
        if let Some(tokens) = r
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
        if r.report_fields.len() > 4 {
            return Err(SettingsError::new(
                "--report",
                r.report_fields.len(),
                "four values at most",
            ));
        }
        Ok(())
    }

    fn check_class(&self, i: usize, class: &Class) -> Result<(), SettingsError> {
        let bad = |reason: String| Err(SettingsError::new("--class", &class.name, reason));
        let s = &class.settings;
        if class.name.is_empty() {
            return bad("a class needs a name".into());
        }
        if self.classes[..i].iter().any(|c| c.name == class.name) {
            return bad("the name is given twice".into());
        }
        let numbers = [
            ("ttft-aim-per-1000", s.ttft_objective_per_1000, 0.0, 1e9),
            ("tpot-aim", s.tpot_objective, 0.0, 1e9),
            ("worth", s.priority_weight, 0.0, 1e6),
            ("late-share", s.late_weight, 0.0, 1.0),
        ];
        for (key, value, from, to) in numbers {
            if !value.is_finite() || !(from..=to).contains(&value) {
                return bad(format!("{key}={value} must be from {from} to {to}"));
            }
        }
        self.check_class_spans(class)?;
        // Rule 2: keyed requests are sent again only inside a window in which repeats are dropped.
        if s.idempotency == Idempotency::WithKey && s.deduplication_window == 0 {
            return bad(
                "effect=keyed needs repeat-window, the time in which engines drop repeats".into(),
            );
        }
        if s.idempotency != Idempotency::WithKey && s.deduplication_window != 0 {
            return bad("repeat-window goes with effect=keyed".into());
        }
        Ok(())
    }

    fn check_class_spans(&self, class: &Class) -> Result<(), SettingsError> {
        let bad = |reason: String| Err(SettingsError::new("--class", &class.name, reason));
        let s = &class.settings;
        let (aim, deadline) = (ms(s.ttft_objective), ms(s.deadline));
        if s.ttft_objective < 1_000 {
            return bad(format!("ttft-aim={aim} must be at least 1ms"));
        }
        if s.deadline > HOUR {
            return bad(format!("deadline={deadline} must be an hour at most"));
        }
        // Rule 1: the final answer comes before the client stops waiting.
        if s.deadline <= 2 * self.answer_margin {
            let margin = ms(self.answer_margin);
            return bad(format!(
                "deadline={deadline} leaves no time beside --answer-margin {margin}"
            ));
        }
        if s.ttft_objective > s.deadline {
            return bad(format!("ttft-aim={aim} is over deadline={deadline}"));
        }
        Ok(())
    }
}
