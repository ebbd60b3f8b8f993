//! The platform's configuration file, and the node's bounds, which are derived from the limits in the file.

use crate::discovery::List;
use ivyward::core::interface::{ClassSettings, Idempotency, Micros, Settings as RouterSettings};
use ivyward::{Class, NodeSettings, SettingsError, Tenant};
use ivyward_http1::Limits;
use ivyward_settings::NamedSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use tracing::warn;

/// The maximum size of a configuration file: 4 MiB.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// The maximum length of a body that the platform specifies: 256 KiB.
pub(crate) const MAX_BODY_BYTES: usize = 256 << 10;
/// How long a response stream that has begun may go without a byte of an event from its engine before its client is disconnected:
/// 4.5 s.
/// The platform requires the disconnection within 5 s; the difference is the time that it takes.
const STREAM_IDLE_TIMEOUT: Micros = 4_500_000;
/// How long before the client's deadline the final response is sent: 20 ms, but at most the shortest deadline of all classes
/// divided by `RESPONSE_MARGIN_DIVISOR`.
const RESPONSE_MARGIN: Micros = 20_000;
const RESPONSE_MARGIN_DIVISOR: Micros = 10;
/// Shorter configured durations are raised to this value: 1 ms, the minimum that [`NodeSettings::check`] accepts.
const MIN_DURATION: Micros = 1_000;
/// Deadlines outside this range are clamped to it: 3 ms to 1 h. A deadline must be more than twice the response margin,
/// which is at least 1 ms.
const MIN_DEADLINE: Micros = 3 * MIN_DURATION;
const MAX_DEADLINE: Micros = 3_600_000_000;
/// The minimum of `limits.sockets`. With fewer file descriptors a node cannot serve requests.
const MIN_SOCKETS: usize = 160;
/// The range of `limits.memory_mb`, in units of 1,000,000 bytes.
const MIN_MEMORY_MB: f64 = 16.0;
const MAX_MEMORY_MB: f64 = 1e7;
/// File descriptors reserved for everything except connections to clients and engines: logs, the listener, the poller, the
/// connections to the old and the new discovery address, and connections that were requested to close but are still open.
const RESERVED_DESCRIPTORS: usize = 28;
/// The connections that only releases and health checks may open: `limits.sockets` divided by
/// `RELEASE_CONNECTIONS_DIVISOR`, and at least `MIN_RELEASE_CONNECTIONS`.
const RELEASE_CONNECTIONS_DIVISOR: usize = 32;
const MIN_RELEASE_CONNECTIONS: usize = 12;
/// The maximum length of a list of engines: the memory divided by `LIST_MEMORY_DIVISOR`, and at least `MIN_LIST_BYTES`.
/// 1,024 entries with long names and indentation take a third of `MIN_LIST_BYTES`.
const LIST_MEMORY_DIVISOR: usize = 32;
const MIN_LIST_BYTES: usize = 1 << 20;
/// The memory is divided by these numbers to get the limits on the bytes of all requests and of all responses, and the size of
/// all response buffers together.
const REQUEST_MEMORY_DIVISOR: usize = 4;
const RESPONSE_MEMORY_DIVISOR: usize = 4;
const RESPONSE_BUFFER_DIVISOR: usize = 8;
/// The minimum size of a client's response buffer, in bytes.
const MIN_RESPONSE_BUFFER: usize = 8 << 10;
/// The maximum number of connections to one engine that [`NodeSettings::check`] accepts.
const MAX_CONNECTIONS_PER_ENGINE: usize = 1 << 12;

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file does not exist or cannot be read.
    #[error("{path}: {error}")]
    File {
        /// The path of the file.
        path: String,
        /// Why the file cannot be read.
        error: std::io::Error,
    },
    /// The file is longer than 4 MiB, the maximum size of a configuration.
    #[error("{path}: longer than {MAX_FILE_BYTES} bytes")]
    TooLong {
        /// The path of the file.
        path: String,
    },
    /// The file is not valid JSON, or a field is missing or has the wrong type.
    #[error("{path}: {error}")]
    Form {
        /// The path of the file.
        path: String,
        /// What is malformed, with line and column.
        error: serde_json::Error,
    },
    /// The `settings` object is invalid.
    #[error("{0}")]
    Settings(#[from] ivyward_settings::ParseError),
    /// The value of a field is invalid.
    #[error("{field} {value}: {reason}")]
    Value {
        /// The path of the field in the file.
        field: &'static str,
        /// The invalid value.
        value: String,
        /// Which values are valid.
        reason: &'static str,
    },
    /// The node's settings, which are derived from the file, are invalid.
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
    /// The list of engines that the node received before its last restart. Parsed on its own, so that a malformed list does
    /// not prevent the start.
    #[serde(default, rename = "known")]
    cached_list: serde_json::Value,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct FileLimits {
    memory_mb: f64,
    sockets: usize,
}

/// The bounds on a node's connections and memory, derived from the limits in the configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum number of client connections. The platform's regular clients use at most a third of all file descriptors.
    pub client_connections: usize,
    /// The maximum number of connections to all engines together.
    pub engine_connections: usize,
    /// The maximum number of bytes of all requests in memory: prompts, heads, and what was received of them.
    pub prompt_bytes: usize,
    /// The maximum number of bytes of all responses in memory.
    pub response_bytes: usize,
    /// The size of the response buffer for one client, in bytes.
    pub response_buffer: usize,
    /// The number of connections that only releases and health checks may open, in addition to `engine_connections`.
    pub release_connections: usize,
    /// The maximum number of releases that are pending at once.
    pub pending_releases: usize,
    /// The maximum length of a list of engines, in bytes. A parsed list takes several times as much memory.
    pub list_bytes: usize,
}

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, which is logged at the start.
    pub name: String,
    /// The address on which the node listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The list of engines that the node received before its last restart; `None` if the file has no valid one.
    pub cached_list: Option<List>,
    /// The deployment's settings, with the names of classes, tenants, zones and machine types.
    pub deployment: NamedSettings,
    /// The bounds on connections and memory.
    pub bounds: Bounds,
    /// The settings of the node, derived from `deployment` and `bounds`.
    pub node: NodeSettings,
}

/// The limits on requests of clients and on responses of engines.
pub(crate) const LIMITS: Limits = Limits {
    max_head_bytes: 16 << 10,
    max_headers: 64,
    max_body_bytes: MAX_BODY_BYTES as u64,
    max_chunk_bytes: MAX_BODY_BYTES as u64,
};

/// Returns the limits on responses of discovery: [`LIMITS`] with the maximum length of a list of engines as the body limit.
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
                reason: "must be at least 160",
            });
        }
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&self.memory_mb) {
            return Err(ConfigError::Value {
                field: "limits.memory_mb",
                value: self.memory_mb.to_string(),
                reason: "must be from 16 to 10000000",
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
        // More than the third of the descriptors that the platform states for clients: that is the limit for its regular
        // clients only, and idle connections of other clients come on top.
        let client_connections = connections / 2;
        let response_buffer = memory / RESPONSE_BUFFER_DIVISOR / client_connections;
        Ok(Bounds {
            client_connections,
            engine_connections: connections - client_connections,
            release_connections,
            prompt_bytes: memory / REQUEST_MEMORY_DIVISOR,
            response_bytes: memory / RESPONSE_MEMORY_DIVISOR,
            response_buffer: response_buffer.clamp(MIN_RESPONSE_BUFFER, MAX_BODY_BYTES),
            // Twice the open requests: releases of earlier requests may be pending in addition to those of the open ones.
            pending_releases: 2 * client_connections,
            list_bytes: (memory / LIST_MEMORY_DIVISOR).max(MIN_LIST_BYTES),
        })
    }
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// Returns the first error found. Its message is one line with the file or the field, the value and the reason.
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

    /// Parses the text of a configuration file. `path` is only used in error messages.
    ///
    /// # Errors
    /// Returns the same errors as [`Config::read`].
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

/// Parses the list of engines from before the last restart. A malformed list is logged and ignored.
fn parse_cached_list(value: serde_json::Value) -> Option<List> {
    if value.is_null() {
        return None;
    }
    List::deserialize(value)
        .inspect_err(|error| warn!(%error, "cached endpoint list ignored"))
        .ok()
}

/// Adjusts class settings that contradict each other or are out of range, which would otherwise fail the start. The node
/// cannot change how long clients wait or how long engines drop repeats, so it follows the stricter interpretation.
fn make_consistent(class: &mut ClassSettings) {
    class.deadline = class.deadline.clamp(MIN_DEADLINE, MAX_DEADLINE);
    class.ttft_objective = class.ttft_objective.clamp(MIN_DURATION, class.deadline);
    class.deduplication_window = match class.idempotency {
        // A window of 0 is invalid for such a class. With a window of 1 µs no attempt is repeated.
        Idempotency::WithKey => class.deduplication_window.max(1),
        // The settings have a window for every class, but only classes with idempotency keys use it.
        Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
    };
}

/// Returns the router's settings, adjusted to what this node supports.
fn router_settings(deployment: &NamedSettings) -> RouterSettings {
    let mut router = deployment.router.clone();
    // This node has at most one attempt of a request in flight at a time, even if two are allowed.
    router.hedging = false;
    router.classes.iter_mut().for_each(make_consistent);
    // Raises durations that the deployment does not state, or that are shorter than the minimum of the daemon's flags, which
    // would otherwise fail the start. The calls to engines observe the configured durations themselves.
    router.release_within = router.release_within.max(2 * MIN_DURATION);
    router.drain_grace = router.drain_grace.max(MIN_DURATION);
    router.overload_window = router.overload_window.max(MIN_DURATION);
    router
}

fn named_classes(deployment: &NamedSettings, router: &RouterSettings) -> Vec<Class> {
    let classes = deployment.classes.iter().zip(&router.classes);
    classes
        .map(|(name, settings)| Class {
            name: name.clone(),
            settings: settings.clone(),
        })
        .collect()
}

fn named_tenants(deployment: &NamedSettings, router: &RouterSettings) -> Vec<Tenant> {
    let tenants = deployment.tenants.iter().zip(&router.tenants);
    tenants
        .map(|(name, settings)| Tenant {
            name: name.clone(),
            settings: settings.clone(),
        })
        .collect()
}

/// Parses a seed of hexadecimal digits. For any other text, returns its hash.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}

/// Returns how long before the client's deadline the final response is sent.
fn response_margin(router: &RouterSettings) -> Micros {
    let deadlines = router.classes.iter().map(|class| class.deadline);
    let shortest = deadlines.min().unwrap_or(Micros::MAX);
    RESPONSE_MARGIN
        .min(shortest / RESPONSE_MARGIN_DIVISOR)
        .max(MIN_DURATION)
}

fn node_settings(deployment: &NamedSettings, bounds: &Bounds, seed: &str) -> NodeSettings {
    let router = router_settings(deployment);
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
        classes: named_classes(deployment, &router),
        tenants: named_tenants(deployment, &router),
        answer_margin: response_margin(&router),
        dial_timeout: connect_timeout.min(router.drain_grace).max(MIN_DURATION),
        reset_timeout: default.reset_timeout.min(router.release_within / 2),
        stream_idle_timeout: STREAM_IDLE_TIMEOUT,
        max_open_requests: max_open,
        max_client_connections: bounds.client_connections,
        max_connections_per_engine: bounds.engine_connections.min(MAX_CONNECTIONS_PER_ENGINE),
        max_calls_per_connection: 1,
        max_pending_releases: bounds.pending_releases,
        router,
        ..default
    }
}
