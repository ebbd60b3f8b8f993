//! The flags, defined once, with their checks. Each is also an environment variable; a long list may stand in a file,
//! one flag a line, given as `@file`.

mod flag_file;
mod settings;
mod values;

use clap::error::ErrorKind;
use clap::Parser;
use flag_file::FlagFileError;
use ivyward::core::interface::{Micros, ReportField};
use ivyward::{Class, Engine, NodeSettings, SettingsError, Tenant};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use values::{class, engine, report_field, span, tenant};

/// A router node for language-model serving with separate prefill and decode engines.
///
/// Spans are written like 250ms, 2s or 500us. A flag may be given as @FILE: a file of such flags, one a line, with
/// blank lines and lines that begin with # left out. Lists in environment variables are separated by ;
#[derive(Parser, Debug, Clone)]
#[command(name = "ivywardd", version, max_term_width = 110)]
pub struct Flags {
    /// Where clients call (gRPC over HTTP/2 without TLS). Port 0 takes a free one.
    #[arg(
        long,
        env = "IVYWARD_LISTEN",
        value_name = "ADDRESS",
        default_value = "127.0.0.1:7430"
    )]
    pub listen: SocketAddr,
    /// Where /healthz and /metrics are served; not served if left out.
    #[arg(long, env = "IVYWARD_ADMIN", value_name = "ADDRESS")]
    pub admin: Option<SocketAddr>,
    /// Only says whether the settings hold.
    #[arg(long)]
    pub check: bool,
    /// An engine: id=N,address=HOST:PORT,role=prefill|decode|mixed and, if wanted, zone=N,cell=N,weight=X.
    #[arg(long = "server", env = "IVYWARD_SERVERS", value_name = "ENGINE", value_delimiter = ';', value_parser = engine)]
    pub servers: Vec<Engine>,
    /// An endpoint of the etcd store that lists the engines, instead of --server; may be given several times.
    #[arg(
        long = "etcd-endpoint",
        env = "IVYWARD_ETCD_ENDPOINTS",
        value_name = "IP:PORT",
        value_delimiter = ';'
    )]
    pub etcd_endpoints: Vec<SocketAddr>,
    /// Engines' records stand below this prefix, each under the engine's id.
    #[arg(long, env = "IVYWARD_ETCD_PREFIX", default_value = ivyward::registration::DEFAULT_ENGINE_PREFIX)]
    pub etcd_prefix: String,
    /// User name at the store.
    #[arg(long, env = "IVYWARD_ETCD_USER", requires = "etcd_password")]
    pub etcd_user: Option<String>,
    /// Password at the store; better given by the environment.
    #[arg(
        long,
        env = "IVYWARD_ETCD_PASSWORD",
        hide_env_values = true,
        requires = "etcd_user"
    )]
    pub etcd_password: Option<String>,
    /// A watch without a word for this span is asked whether it is whole, and after as long again counts as broken.
    #[arg(long, env = "IVYWARD_ETCD_SILENCE", value_name = "SPAN", default_value = "2s", value_parser = span)]
    pub etcd_silence: Micros,
    /// An empty list beside a known fleet is believed after this.
    #[arg(long, env = "IVYWARD_ETCD_EMPTY_GRACE", value_name = "SPAN", default_value = "10s", value_parser = span)]
    pub etcd_empty_grace: Micros,
    /// A store whose lists stay behind what it told before (restored from an older copy) is believed after this.
    #[arg(long, env = "IVYWARD_ETCD_BEHIND_GRACE", value_name = "SPAN", default_value = "10s", value_parser = span)]
    pub etcd_behind_grace: Micros,
    /// Keeps the last list of engines in this file, for starts while the store is down.
    #[arg(
        long,
        env = "IVYWARD_SNAPSHOT",
        value_name = "FILE",
        requires = "etcd_endpoints"
    )]
    pub snapshot: Option<PathBuf>,
    /// A request class: name=..,ttft-aim=SPAN,deadline=SPAN and, if wanted, ttft-aim-per-1000=SPAN,tpot-aim=SPAN,
    /// worth=X,late-share=X,effect=safe|keyed|unsafe,group=all|zone|cell,repeat-window=SPAN. The first is the usual one.
    #[arg(long = "class", env = "IVYWARD_CLASSES", value_name = "CLASS", value_delimiter = ';', value_parser = class)]
    pub classes: Vec<Class>,
    /// A tenant: name=.. and, if wanted, quota=REQUESTS_A_SECOND over all nodes.
    #[arg(long = "tenant", env = "IVYWARD_TENANTS", value_name = "TENANT", value_delimiter = ';', value_parser = tenant)]
    pub tenants: Vec<Tenant>,

    /// Where datagrams of other nodes are taken; other nodes are not known if left out. Port 0 takes a free one.
    #[arg(long, env = "IVYWARD_PEER_LISTEN", value_name = "ADDRESS")]
    pub peer_listen: Option<SocketAddr>,
    /// The address at which other nodes reach this one; the one listened at if left out.
    #[arg(
        long,
        env = "IVYWARD_PEER_ANNOUNCE",
        value_name = "IP:PORT",
        requires = "peer_listen"
    )]
    pub peer_announce: Option<SocketAddr>,
    /// Announced address of another node; may be given several times. One that is up is enough.
    #[arg(
        long = "peer",
        env = "IVYWARD_PEERS",
        value_name = "IP:PORT",
        value_delimiter = ';',
        requires = "peer_listen"
    )]
    pub peers: Vec<SocketAddr>,
    /// This node's name, the same after a restart; the announced address if left out.
    #[arg(
        long,
        env = "IVYWARD_PEER_NAME",
        value_name = "NAME",
        requires = "peer_listen"
    )]
    pub peer_name: Option<String>,
    /// Seals what nodes say to each other; the same at all. Without it only loopback addresses are taken. Better given by
    /// the environment, where it may stand for nodes that know nobody as well.
    #[arg(long, env = "IVYWARD_PEER_KEY", hide_env_values = true)]
    pub peer_key: Option<String>,
    /// A node that nobody hears for this is taken for dead; what stops for less is not.
    #[arg(long, env = "IVYWARD_PEER_DEATH_AFTER", value_name = "SPAN", default_value = "2400ms", value_parser = span)]
    pub peer_death_after: Micros,
    /// Nodes' records stand in the store, under a lease of so many seconds; not written and not read if left out.
    #[arg(
        long,
        env = "IVYWARD_PEER_LEASE",
        value_name = "SECONDS",
        requires = "peer_listen",
        requires = "etcd_endpoints"
    )]
    pub peer_lease: Option<i64>,
    /// Nodes' records stand below this prefix.
    #[arg(long, env = "IVYWARD_PEER_PREFIX", default_value = ivyward::peers::DEFAULT_NODE_PREFIX)]
    pub peer_prefix: String,

    /// Nodes that front the service, this one among them; with --peer-listen, until the view of them is whole.
    #[arg(long, env = "IVYWARD_NODES", default_value_t = 1)]
    pub nodes: u32,
    /// The zone of this node.
    #[arg(long, env = "IVYWARD_ZONE", default_value_t = 0)]
    pub zone: u8,
    /// Feeds the module's random choices; drawn if left out.
    #[arg(long, env = "IVYWARD_SEED")]
    pub seed: Option<u64>,
    /// Memory of each kind of engine for KV state, in tokens: PREFILL,DECODE,MIXED. Not limited if left out.
    #[arg(
        long,
        env = "IVYWARD_MEMORY_TOKENS",
        value_delimiter = ',',
        num_args = 3,
        value_name = "TOKENS"
    )]
    pub memory_tokens: Vec<f64>,
    /// Decode engines read prompts themselves when there is no state to fetch.
    #[arg(long, env = "IVYWARD_DECODE_MAY_PREFILL", default_value_t = true, action = clap::ArgAction::Set)]
    pub decode_may_prefill: bool,
    /// Engines hold places ahead (their Hold call).
    #[arg(long, env = "IVYWARD_HOLD_AHEAD", default_value_t = false, action = clap::ArgAction::Set)]
    pub hold_ahead: bool,
    /// Engines may be probed.
    #[arg(long, env = "IVYWARD_PROBES", default_value_t = false, action = clap::ArgAction::Set)]
    pub probes: bool,
    /// Attempts may be called off.
    #[arg(long, env = "IVYWARD_MAY_CANCEL", default_value_t = true, action = clap::ArgAction::Set)]
    pub may_cancel: bool,
    /// Values of the engines' load reports: outstanding, backlog, utilization, recent-ms, memory-share, waiting-ktokens.
    #[arg(long = "report", env = "IVYWARD_REPORT", value_delimiter = ',', value_parser = report_field, value_name = "VALUE")]
    pub report: Vec<ReportField>,
    /// Worth of traffic beyond a tenant's share, as a part of the usual.
    #[arg(long, env = "IVYWARD_OVER_SHARE_WORTH", default_value_t = 1.0)]
    pub over_share_worth: f64,
    /// Loss when all prompt tokens leave their rack, as a part of all worth.
    #[arg(long, env = "IVYWARD_TRANSFER_PRICE", default_value_t = 0.0)]
    pub transfer_price: f64,
    /// Loss when each request crosses zones once, as a part of all worth.
    #[arg(long, env = "IVYWARD_CROSS_ZONE_PRICE", default_value_t = 0.0)]
    pub cross_zone_price: f64,
    /// Most attempts for one request.
    #[arg(long, env = "IVYWARD_MAX_ATTEMPTS", default_value_t = 4)]
    pub max_attempts: u32,
    /// Longest advice to stay away that clients follow.
    #[arg(long, env = "IVYWARD_MAX_RETRY_AFTER", value_name = "SPAN", default_value = "500ms", value_parser = span)]
    pub max_retry_after: Micros,
    /// Rule: held state is taken or let go within this.
    #[arg(long, env = "IVYWARD_RELEASE_WITHIN", value_name = "SPAN", default_value = "500ms", value_parser = span)]
    pub release_within: Micros,
    /// Rule: nothing new goes to a draining engine after this.
    #[arg(long, env = "IVYWARD_DRAIN_GRACE", value_name = "SPAN", default_value = "250ms", value_parser = span)]
    pub drain_grace: Micros,
    /// Rule: a cold engine falls over at this multiple of its present capacity.
    #[arg(long, env = "IVYWARD_FALL_MULTIPLE", default_value_t = 3.0)]
    pub fall_multiple: f64,
    /// Rule: the span over which that is counted.
    #[arg(long, env = "IVYWARD_FALL_WINDOW", value_name = "SPAN", default_value = "2s", value_parser = span)]
    pub fall_window: Micros,
    /// Part of its capacity with which an engine starts.
    #[arg(long, env = "IVYWARD_START_CAPACITY", default_value_t = 0.3)]
    pub start_capacity: f64,
    /// An engine is warm so long after its start.
    #[arg(long, env = "IVYWARD_WARM_AFTER", value_name = "SPAN", default_value = "15s", value_parser = span)]
    pub warm_after: Micros,

    /// The final answer is given so long before the client's patience ends.
    #[arg(long, env = "IVYWARD_ANSWER_MARGIN", value_name = "SPAN", default_value = "30ms", value_parser = span)]
    pub answer_margin: Micros,
    /// A connection to an engine that is not open by then counts as failed.
    #[arg(long, env = "IVYWARD_DIAL_TIMEOUT", value_name = "SPAN", default_value = "250ms", value_parser = span)]
    pub dial_timeout: Micros,
    /// First pause after a failed dial; it doubles, with jitter.
    #[arg(long, env = "IVYWARD_REDIAL_FIRST", value_name = "SPAN", default_value = "20ms", value_parser = span)]
    pub redial_first: Micros,
    /// Longest pause after a failed dial.
    #[arg(long, env = "IVYWARD_REDIAL_MOST", value_name = "SPAN", default_value = "1s", value_parser = span)]
    pub redial_most: Micros,
    /// A connection that does not take the reset of a given-up call by then is closed.
    #[arg(long, env = "IVYWARD_RESET_WAIT", value_name = "SPAN", default_value = "100ms", value_parser = span)]
    pub reset_wait: Micros,
    /// A started stream without a token for so long counts as broken.
    #[arg(long, env = "IVYWARD_STREAM_STALL", value_name = "SPAN", default_value = "10s", value_parser = span)]
    pub stream_stall: Micros,
    /// A release that finds no engine is tried again for so long.
    #[arg(long, env = "IVYWARD_RELEASE_TRIES", value_name = "SPAN", default_value = "10s", value_parser = span)]
    pub release_tries: Micros,
    /// A connection to an engine with calls in flight is pinged after so long without a byte; 0us for no pings at all.
    #[arg(long, env = "IVYWARD_PING_EVERY", value_name = "SPAN", default_value = "1s", value_parser = span)]
    pub ping_every: Micros,
    /// A ping without an answer by then closes the connection.
    #[arg(long, env = "IVYWARD_PING_TIMEOUT", value_name = "SPAN", default_value = "1s", value_parser = span)]
    pub ping_timeout: Micros,
    /// Connections without calls that are pinged in a second, over all engines; 0 for none. 16 if left out, and none where
    /// --ping-every is 0us.
    #[arg(long, env = "IVYWARD_RESTING_CHECKS")]
    pub resting_checks: Option<u32>,
    /// Tokens that wait for a slow client.
    #[arg(long, env = "IVYWARD_STREAM_BUFFER", default_value_t = 1024)]
    pub stream_buffer: usize,
    /// Calls on one connection to an engine.
    #[arg(long, env = "IVYWARD_CALLS_PER_CONNECTION", default_value_t = 100)]
    pub calls_per_connection: usize,
    /// Connections to one engine.
    #[arg(long, env = "IVYWARD_CONNECTIONS_PER_ENGINE", default_value_t = 8)]
    pub connections_per_engine: usize,
    /// Requests in hand; one more is refused.
    #[arg(long, env = "IVYWARD_MOST_OPEN", default_value_t = 20_000)]
    pub most_open: usize,
    /// Client connections; one more is closed at once.
    #[arg(long, env = "IVYWARD_MOST_CLIENTS", default_value_t = 4_096)]
    pub most_clients: usize,
    /// Longest prompt, in tokens.
    #[arg(long, env = "IVYWARD_MOST_PROMPT", default_value_t = 200_000)]
    pub most_prompt: usize,
    /// Most output tokens that may be asked for.
    #[arg(long, env = "IVYWARD_MOST_OUTPUT", default_value_t = 100_000)]
    pub most_output: usize,
    /// Releases under way at once; one more is left to the engine's own limit.
    #[arg(long, env = "IVYWARD_MOST_RELEASES", default_value_t = 4_096)]
    pub most_releases: usize,

    /// After SIGTERM, what is under way has so long to end.
    #[arg(long, env = "IVYWARD_STOP_WITHIN", value_name = "SPAN", default_value = "10s", value_parser = span)]
    pub stop_within: Micros,
    /// Threads; 0 for one a core.
    #[arg(long, env = "IVYWARD_THREADS", default_value_t = 0)]
    pub threads: usize,
    /// Records what the module is told and does in this file.
    #[arg(long, env = "IVYWARD_RECORD", value_name = "FILE")]
    pub record: Option<PathBuf>,
    /// Log lines as text or json, on standard error.
    #[arg(long, env = "IVYWARD_LOG_FORMAT", default_value = "text", value_parser = ["text", "json"])]
    pub log_format: String,
    /// Least level that is logged: error, warn, info, debug or trace, also by target as in ivyward=debug.
    #[arg(long, env = "IVYWARD_LOG", default_value = "info")]
    pub log: String,
}

/// Checked flags with the node's settings.
#[derive(Debug, Clone)]
pub struct Start {
    /// The flags as given.
    pub flags: Flags,
    /// The node's settings.
    pub settings: NodeSettings,
}

/// Why the flags lead to no start.
#[derive(Debug, thiserror::Error)]
pub enum FlagsError {
    /// Invalid flags, in one line.
    #[error("{0}")]
    Invalid(String),
    /// A file of flags that cannot be used.
    #[error(transparent)]
    File(#[from] FlagFileError),
    /// Settings that cannot hold.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A page of help or the version was asked for.
    #[error("{0}")]
    Page(String),
}

/// Reads and checks the flags, the program's name first.
pub fn read(args: impl IntoIterator<Item = OsString>) -> Result<Start, FlagsError> {
    let flags = Flags::try_parse_from(flag_file::expand(args)?).map_err(clap_error)?;
    let settings = flags.settings()?;
    Ok(Start { flags, settings })
}

/// What stands before the first blank line names flag, value and reason; the rest is advice.
fn clap_error(error: clap::Error) -> FlagsError {
    let text = error.to_string();
    if matches!(
        error.kind(),
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
    ) {
        return FlagsError::Page(text);
    }
    let lines = text
        .lines()
        .map(str::trim)
        .take_while(|line| !line.is_empty());
    let line = lines.collect::<Vec<_>>().join(" ");
    FlagsError::Invalid(line.strip_prefix("error: ").unwrap_or(&line).to_owned())
}
