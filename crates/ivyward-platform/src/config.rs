//! The platform's configuration file, and the bounds that follow from its limits.

use crate::discovery::List;
use ivyward::core::interface::{ClassSettings, Idempotency, Micros, Settings as RouterSettings};
use ivyward::{Class, NodeSettings, SettingsError, Tenant};
use ivyward_http1::Limits;
use ivyward_settings::NamedSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use tracing::warn;

/// Most bytes of a configuration file.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Longest body, as the platform states it.
pub(crate) const MAX_BODY_BYTES: usize = 256 << 10;
/// A client that takes no byte of its stream for this span is disconnected: the platform's 5 s, less the time to do so.
const STREAM_STALL_TIMEOUT: Micros = 4_500_000;
/// The final response is given so long before the client's time ends, or this part of the shortest deadline.
const RESPONSE_MARGIN: Micros = 20_000;
const RESPONSE_MARGIN_DIVISOR: Micros = 10;
/// No configured span is taken for shorter.
const MIN_SPAN: Micros = 1_000;
/// No deadline is taken for shorter or longer.
const MIN_DEADLINE: Micros = 3 * MIN_SPAN;
const MAX_DEADLINE: Micros = 3_600_000_000;
/// With fewer file descriptors a node cannot serve.
const MIN_SOCKETS: usize = 160;
/// The range of `limits.memory_mb`.
const MIN_MEMORY_MB: f64 = 16.0;
const MAX_MEMORY_MB: f64 = 1e7;
/// Descriptors for what is neither client nor engine: logs, listener, poller, discovery old and new, and connections
/// that were told to close and have not yet.
const RESERVED_DESCRIPTORS: usize = 28;
/// Connections that only releases and health checks may open: a part of all descriptors, and at least so many.
const RELEASE_CONNECTIONS_DIVISOR: usize = 32;
const MIN_RELEASE_CONNECTIONS: usize = 12;
/// A list may take this part of the memory, and at least so many bytes: 1,024 entries with long names and indentation come
/// to a third of that.
const LIST_MEMORY_DIVISOR: usize = 32;
const MIN_LIST_BYTES: usize = 1 << 20;
/// Prompts and response buffers may take these parts of the memory.
const PROMPT_MEMORY_DIVISOR: usize = 4;
const RESPONSE_MEMORY_DIVISOR: usize = 8;
/// Least bytes of a response that may wait for one client.
const MIN_RESPONSE_BUFFER: usize = 8 << 10;
/// Most connections to one engine.
const MAX_CONNECTIONS_PER_ENGINE: usize = 1 << 12;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file does not exist or cannot be read.
    #[error("{path}: {error}")]
    File {
        /// Its path.
        path: String,
        /// Why it cannot be read.
        error: std::io::Error,
    },
    /// The file is longer than any configuration.
    #[error("{path}: longer than {MAX_FILE_BYTES} bytes")]
    TooLong {
        /// Its path.
        path: String,
    },
    /// The file is no JSON of this form.
    #[error("{path}: {error}")]
    Form {
        /// Its path.
        path: String,
        /// Where it is malformed.
        error: serde_json::Error,
    },
    /// The settings object is invalid.
    #[error("{0}")]
    Settings(#[from] ivyward_settings::ParseError),
    /// A value is invalid.
    #[error("{field} {value}: {reason}")]
    Value {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// Why it is invalid, and which values are not.
        reason: &'static str,
    },
    /// A setting of the node is invalid.
    #[error("settings: {0}")]
    Node(#[from] SettingsError),
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    seed: String,
    limits: FileLimits,
    /// Parsed by itself, so that a malformed one keeps no node from starting.
    #[serde(default, rename = "known")]
    cached_list: serde_json::Value,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct FileLimits {
    memory_mb: f64,
    sockets: usize,
}

/// The bounds on what a node holds, derived from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Client connections. The usual clients hold a third of all descriptors at most.
    pub client_connections: usize,
    /// Connections to engines.
    pub engine_connections: usize,
    /// Bytes of all prompts in memory.
    pub prompt_bytes: usize,
    /// Bytes of a response that wait for one client.
    pub response_buffer: usize,
    /// Connections that only releases and health checks may open.
    pub release_connections: usize,
    /// Requests for which a release may be pending at once.
    pub pending_releases: usize,
    /// Bytes of a list of engines: parsed, it takes several times as much.
    pub list_bytes: usize,
}

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The list of engines as this node last had it.
    pub cached_list: Option<List>,
    /// The deployment's settings, with their names.
    pub deployment: NamedSettings,
    /// The bounds that follow from the limits.
    pub bounds: Bounds,
    /// The node's settings.
    pub node: NodeSettings,
}

/// Limits on clients' requests, and on engines' and discovery's responses.
pub(crate) const LIMITS: Limits = Limits {
    max_head_bytes: 16 << 10,
    max_headers: 64,
    max_body_bytes: MAX_BODY_BYTES as u64,
    max_chunk_bytes: MAX_BODY_BYTES as u64,
};

/// The same for lists of engines.
pub(crate) fn list_limits(bounds: &Bounds) -> Limits {
    Limits {
        max_body_bytes: bounds.list_bytes as u64,
        max_chunk_bytes: bounds.list_bytes as u64,
        ..LIMITS
    }
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value {
        field,
        value: text.into(),
        reason: "must be IP:PORT",
    })
}

impl FileLimits {
    fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_SOCKETS {
            return Err(ConfigError::Value {
                field: "limits.sockets",
                value: self.sockets.to_string(),
                reason: "at least 160 are needed",
            });
        }
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&self.memory_mb) {
            return Err(ConfigError::Value {
                field: "limits.memory_mb",
                value: self.memory_mb.to_string(),
                reason: "at least 16 are needed",
            });
        }
        Ok(())
    }
}

impl Bounds {
    fn new(limits: &FileLimits) -> Result<Bounds, ConfigError> {
        limits.check()?;
        let sockets = limits.sockets;
        let memory = (limits.memory_mb * 1e6) as usize;
        let release_connections =
            (sockets / RELEASE_CONNECTIONS_DIVISOR).max(MIN_RELEASE_CONNECTIONS);
        let connections = sockets - RESERVED_DESCRIPTORS - release_connections;
        // The platform's figure of a third for clients is a bound on the usual ones; idle ones of others come on top.
        let client_connections = connections / 2;
        let response_buffer = memory / RESPONSE_MEMORY_DIVISOR / client_connections;
        Ok(Bounds {
            client_connections,
            engine_connections: connections - client_connections,
            release_connections,
            prompt_bytes: memory / PROMPT_MEMORY_DIVISOR,
            response_buffer: response_buffer.clamp(MIN_RESPONSE_BUFFER, MAX_BODY_BYTES),
            // Pending releases belong to requests that were open; those of earlier requests come on top.
            pending_releases: 2 * client_connections,
            list_bytes: (memory / LIST_MEMORY_DIVISOR).max(MIN_LIST_BYTES),
        })
    }
}

impl Config {
    /// Reads a file.
    ///
    /// # Errors
    /// One line that names field, value and reason.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let name = path.display().to_string();
        let file_error = |error| ConfigError::File {
            path: name.clone(),
            error,
        };
        let length = std::fs::metadata(path).map_err(file_error)?.len();
        if length > MAX_FILE_BYTES {
            return Err(ConfigError::TooLong { path: name });
        }
        let text = std::fs::read(path).map_err(file_error)?;
        Config::parse(&name, &text)
    }

    /// Parses the text of a file; errors show `path`.
    ///
    /// # Errors
    /// As [`Config::read`].
    pub fn parse(path: &str, text: &[u8]) -> Result<Config, ConfigError> {
        let file: File = serde_json::from_slice(text).map_err(|error| ConfigError::Form {
            path: path.into(),
            error,
        })?;
        let deployment =
            ivyward_settings::from_json(&file.settings).map_err(ConfigError::Settings)?;
        let bounds = Bounds::new(&file.limits)?;
        let node = node_settings(&deployment, &bounds, &file.seed);
        node.check()?;
        let cached_list = parse_cached_list(file.cached_list);
        Ok(Config {
            name: file.name,
            listen: parse_address("listen", &file.listen)?,
            discovery: parse_address("discovery", &file.discovery)?,
            cached_list,
            deployment,
            bounds,
            node,
        })
    }
}

/// The list as the node last had it. A malformed one is logged and ignored.
fn parse_cached_list(value: serde_json::Value) -> Option<List> {
    if value.is_null() {
        return None;
    }
    List::deserialize(value)
        .inspect_err(|error| warn!(%error, "cached endpoint list ignored"))
        .ok()
}

/// Guards against a start that is refused for a class whose figures contradict each other: what its clients wait for and
/// what its engines remember is theirs, and this node keeps to the stricter reading.
fn make_consistent(class: &mut ClassSettings) {
    class.deadline = class.deadline.clamp(MIN_DEADLINE, MAX_DEADLINE);
    class.ttft_objective = class.ttft_objective.clamp(MIN_SPAN, class.deadline);
    class.deduplication_window = match class.idempotency {
        // Without a window nothing is repeated.
        Idempotency::WithKey => class.deduplication_window.max(1),
        // The settings state a window for every class; it has a meaning for keyed ones alone.
        Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
    };
}

/// The router's settings, as this node can keep them.
fn router_settings(deployment: &NamedSettings) -> RouterSettings {
    let mut rules = deployment.router.clone();
    // This node has one attempt of a request in flight at a time, wherever more would be allowed.
    rules.hedging = false;
    rules.classes.iter_mut().for_each(make_consistent);
    // Guards against a start that is refused for a deployment in which a span is not stated, or shorter than what the
    // daemon's own flags allow: here the calls to engines keep to it by themselves.
    rules.release_within = rules.release_within.max(2 * MIN_SPAN);
    rules.drain_grace = rules.drain_grace.max(MIN_SPAN);
    rules.overload_window = rules.overload_window.max(MIN_SPAN);
    rules
}

fn named_classes(deployment: &NamedSettings, rules: &RouterSettings) -> Vec<Class> {
    let classes = deployment.classes.iter().zip(&rules.classes);
    classes
        .map(|(name, settings)| Class {
            name: name.clone(),
            settings: settings.clone(),
        })
        .collect()
}

fn named_tenants(deployment: &NamedSettings, rules: &RouterSettings) -> Vec<Tenant> {
    let tenants = deployment.tenants.iter().zip(&rules.tenants);
    tenants
        .map(|(name, settings)| Tenant {
            name: name.clone(),
            settings: settings.clone(),
        })
        .collect()
}

/// A seed in hexadecimal digits, or the hash of any other text.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}

/// How long before the client's deadline the final response is given.
fn response_margin(rules: &RouterSettings) -> Micros {
    let deadlines = rules.classes.iter().map(|class| class.deadline);
    let shortest = deadlines.min().unwrap_or(Micros::MAX);
    RESPONSE_MARGIN
        .min(shortest / RESPONSE_MARGIN_DIVISOR)
        .max(MIN_SPAN)
}

fn node_settings(deployment: &NamedSettings, bounds: &Bounds, seed: &str) -> NodeSettings {
    let rules = router_settings(deployment);
    let default = NodeSettings::default();
    let connect_timeout = match deployment.connect_timeout {
        0 => default.dial_timeout,
        stated => stated,
    };
    let max_open = match deployment.max_open_requests {
        0 => bounds.client_connections,
        stated => bounds.client_connections.min(stated),
    };
    NodeSettings {
        seed: parse_seed(seed),
        classes: named_classes(deployment, &rules),
        tenants: named_tenants(deployment, &rules),
        answer_margin: response_margin(&rules),
        dial_timeout: connect_timeout.min(rules.drain_grace).max(MIN_SPAN),
        reset_timeout: default.reset_timeout.min(rules.release_within / 2),
        stream_idle_timeout: STREAM_STALL_TIMEOUT,
        max_open_requests: max_open,
        max_client_connections: bounds.client_connections,
        max_connections_per_engine: bounds.engine_connections.min(MAX_CONNECTIONS_PER_ENGINE),
        max_calls_per_connection: 1,
        max_pending_releases: bounds.pending_releases,
        router: rules,
        ..default
    }
}
