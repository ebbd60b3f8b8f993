//! The platform's configuration file, and the bounds that follow from its limits.

use crate::discovery::List;
use ivyward::core::interface::{ClassSettings, Idempotency, Micros};
use ivyward::{Class, NodeSettings, SettingsError, Tenant};
use ivyward_http1::Limits;
use ivyward_settings::Told;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use tracing::warn;

/// Most bytes of a configuration file.
const MOST_FILE: u64 = 4 << 20;
/// Longest body, as the platform states it.
pub(crate) const MOST_BODY: usize = 256 << 10;
/// Without a byte of a stream for this span its client is let go: the platform's 5 s, less the time to do so.
const STREAM_STALL: Micros = 4_500_000;
/// The final answer is given so long before the client's time ends, or this part of the shortest deadline.
const ANSWER_MARGIN: Micros = 20_000;
const MARGIN_PART: Micros = 10;
/// No span is taken for shorter.
const LEAST_SPAN: Micros = 1_000;
/// No deadline is taken for shorter or longer.
const DEADLINES: (Micros, Micros) = (3 * LEAST_SPAN, 3_600_000_000);
/// Fewer descriptors serve nobody.
const LEAST_SOCKETS: usize = 160;
/// Descriptors for what is neither client nor engine: logs, listener, poller, discovery old and new, and connections
/// that were told to close and have not yet.
const RESERVE: usize = 28;
/// Connections that only releases and probes may take: a part of all descriptors, and at least so many.
const SPARE_PART: usize = 32;
const SPARE_LEAST: usize = 12;
/// A list may take this part of the memory, and at least so many bytes: 1,024 entries with names and indents of any
/// reason come to a third of that.
const LIST_PART: usize = 32;
const LIST_LEAST: usize = 1 << 20;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not there or cannot be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// The file is longer than any configuration.
    #[error("{0}: longer than {MOST_FILE} bytes")]
    Long(String),
    /// It is no JSON of this form.
    #[error("{0}: {1}")]
    Form(String, serde_json::Error),
    /// The settings object cannot hold.
    #[error("{0}")]
    Settings(String),
    /// A value cannot hold.
    #[error("{field} {value}: {reason}")]
    Value {
        /// Which.
        field: &'static str,
        /// Its value.
        value: String,
        /// Why, and what would do.
        reason: &'static str,
    },
    /// A bound of the node cannot hold.
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
    /// Read by itself, so that one that cannot be read keeps no node from starting.
    #[serde(default)]
    known: serde_json::Value,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct FileLimits {
    memory_mb: f64,
    sockets: usize,
}

/// What bounds the node, derived from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Client connections. Usual clients hold a third of all descriptors at most.
    pub clients: usize,
    /// Connections to engines.
    pub engines: usize,
    /// Bytes of prompts held in all.
    pub prompts: usize,
    /// Bytes of an answer that wait for one client.
    pub outlet: usize,
    /// Connections that only releases and probes may take.
    pub spare: usize,
    /// Requests for which something may be owed at once.
    pub releases: usize,
    /// Bytes of a list of engines: read, it takes several times as much.
    pub list: usize,
}

/// A configuration that holds.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The list as this node last held it.
    pub known: Option<List>,
    /// Settings, with names.
    pub told: Told,
    /// What follows from the limits.
    pub bounds: Bounds,
    /// The node's settings.
    pub node: NodeSettings,
}

/// Bounds on clients' requests, and on engines' and discovery's answers.
pub(crate) const LIMITS: Limits = Limits {
    head: 16 << 10,
    headers: 64,
    body: MOST_BODY as u64,
    chunk: MOST_BODY as u64,
};

/// The same for lists of engines.
pub(crate) fn list_limits(bounds: &Bounds) -> Limits {
    Limits {
        body: bounds.list as u64,
        chunk: bounds.list as u64,
        ..LIMITS
    }
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value {
        field,
        value: text.into(),
        reason: "must be IP:PORT",
    })
}

impl Bounds {
    fn new(limits: &FileLimits) -> Result<Bounds, ConfigError> {
        let (sockets, memory) = (limits.sockets, limits.memory_mb);
        if sockets < LEAST_SOCKETS {
            let value = sockets.to_string();
            return Err(ConfigError::Value {
                field: "limits.sockets",
                value,
                reason: "at least 160 are needed",
            });
        }
        if !(16.0..=1e7).contains(&memory) {
            let (field, value) = ("limits.memory_mb", memory.to_string());
            return Err(ConfigError::Value {
                field,
                value,
                reason: "at least 16 are needed",
            });
        }
        let bytes = (memory * 1e6) as usize;
        // Small kernels' figure of a third for clients is a bound on the usual ones; idle ones of others come on top.
        let spare = (sockets / SPARE_PART).max(SPARE_LEAST);
        let clients = (sockets - RESERVE - spare) / 2;
        Ok(Bounds {
            clients,
            engines: sockets - RESERVE - spare - clients,
            spare,
            prompts: bytes / 4,
            outlet: (bytes / 8 / clients).clamp(8 << 10, MOST_BODY),
            // What is owed comes from requests that were open; those of before are owed beside them.
            releases: 2 * clients,
            list: (bytes / LIST_PART).max(LIST_LEAST),
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
        let length = std::fs::metadata(path)
            .map_err(|e| ConfigError::File(name.clone(), e))?
            .len();
        if length > MOST_FILE {
            return Err(ConfigError::Long(name));
        }
        let text = std::fs::read(path).map_err(|e| ConfigError::File(name.clone(), e))?;
        Config::parse(&name, &text)
    }

    /// The same from bytes; `name` is for the error's line.
    ///
    /// # Errors
    /// As [`Config::read`].
    pub fn parse(name: &str, text: &[u8]) -> Result<Config, ConfigError> {
        let file: File =
            serde_json::from_slice(text).map_err(|e| ConfigError::Form(name.into(), e))?;
        let told = ivyward_settings::from_json(&file.settings).map_err(ConfigError::Settings)?;
        let bounds = Bounds::new(&file.limits)?;
        let node = node_settings(&told, &bounds, &file.seed);
        node.check()?;
        let known = match file.known {
            serde_json::Value::Null => None,
            value => List::deserialize(value)
                .inspect_err(|error| warn!(%error, "cached endpoint list ignored"))
                .ok(),
        };
        Ok(Config {
            name: file.name,
            listen: address("listen", &file.listen)?,
            discovery: address("discovery", &file.discovery)?,
            known,
            told,
            bounds,
            node,
        })
    }
}

/// Guards against a start that is refused for a class whose figures do not go together: what its clients wait for and what
/// its engines remember is theirs, and this node keeps to the stricter reading.
fn startable(class: &mut ClassSettings) {
    class.deadline = class.deadline.clamp(DEADLINES.0, DEADLINES.1);
    class.ttft_objective = class.ttft_objective.clamp(LEAST_SPAN, class.deadline);
    class.deduplication_window = match class.idempotency {
        // Without a window nothing is repeated.
        Idempotency::WithKey => class.deduplication_window.max(1),
        // The object tells a window for every class; it means something for keyed ones alone.
        Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
    };
}

fn node_settings(told: &Told, bounds: &Bounds, seed: &str) -> NodeSettings {
    let mut rules = told.module.clone();
    // This node has one attempt out at a time, wherever more would be allowed.
    rules.hedging = false;
    rules.classes.iter_mut().for_each(startable);
    // Guards against a start that is refused for a deployment in which a rule is not told, or told shorter than what the
    // daemon's own flags allow: here the engines' calls keep to it by themselves.
    rules.release_within = rules.release_within.max(2 * LEAST_SPAN);
    rules.drain_grace = rules.drain_grace.max(LEAST_SPAN);
    rules.overload_window = rules.overload_window.max(LEAST_SPAN);
    let names = told.classes.iter().zip(&rules.classes);
    let classes = names
        .map(|(name, s)| Class {
            name: name.clone(),
            settings: s.clone(),
        })
        .collect();
    let names = told.tenants.iter().zip(&rules.tenants);
    let tenants = names
        .map(|(name, s)| Tenant {
            name: name.clone(),
            settings: s.clone(),
        })
        .collect();
    let usual = NodeSettings::default();
    let shortest = rules
        .classes
        .iter()
        .map(|c| c.deadline)
        .min()
        .unwrap_or(Micros::MAX);
    NodeSettings {
        seed: u64::from_str_radix(seed, 16)
            .unwrap_or_else(|_| xxhash_rust::xxh3::xxh3_64(seed.as_bytes())),
        classes,
        tenants,
        answer_margin: ANSWER_MARGIN.min(shortest / MARGIN_PART).max(LEAST_SPAN),
        dial_timeout: if told.dial_timeout > 0 {
            told.dial_timeout
        } else {
            usual.dial_timeout
        }
        .min(rules.drain_grace)
        .max(LEAST_SPAN),
        reset_wait: usual.reset_wait.min(rules.release_within / 2),
        stream_stall: STREAM_STALL,
        most_open: if told.most_open > 0 {
            bounds.clients.min(told.most_open)
        } else {
            bounds.clients
        },
        most_clients: bounds.clients,
        connections_per_engine: bounds.engines.min(1 << 12),
        calls_per_connection: 1,
        most_releases: bounds.releases,
        rules,
        ..usual
    }
}
