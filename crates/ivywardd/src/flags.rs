//! The command-line flags of the gRPC node and their checks.
//!
//! Each flag except `--check` can also be set by an environment variable. An argument `@file` is replaced by the flags in
//! that file, one per line.

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
use values::{class, duration, engine, report_field, tenant};

/// A router node for language-model serving with separate prefill and decode engines.
///
/// A SPAN is a duration with its unit: 500us, 250ms, 2s or 1.5m. An argument @FILE is replaced by the flags in that
/// file, one per line; blank lines and lines that begin with # are ignored. In environment variables, the entries of
/// a list of engines, classes, tenants or addresses are separated by semicolons.
#[derive(Parser, Debug, Clone)]
#[command(name = "ivywardd", version, max_term_width = 110)]
pub struct Flags {
    /// Address that accepts client connections (gRPC over HTTP/2 without TLS). Port 0 binds a free port.
    #[arg(
        long,
        env = "IVYWARD_LISTEN",
        value_name = "ADDRESS",
        default_value = "127.0.0.1:7430"
    )]
    pub listen: SocketAddr,
    /// Address that serves /healthz and /metrics over HTTP. Neither is served if this flag is omitted.
    #[arg(long, env = "IVYWARD_ADMIN", value_name = "ADDRESS")]
    pub admin: Option<SocketAddr>,
    /// Checks the settings, prints the result and exits without starting the node.
    #[arg(long)]
    pub check: bool,
    /// An engine: id=N,address=IP:PORT,role=prefill|decode|mixed and, optionally, zone=N,cell=N,weight=X. A cell is a
    /// rack. The zone and the cell are 0 by default, the weight is 1. May be given several times.
    #[arg(long = "server", env = "IVYWARD_SERVERS", value_name = "ENGINE", value_delimiter = ';', value_parser = engine)]
    pub engines: Vec<Engine>,
    /// An etcd endpoint of the store that lists the engines. Replaces --server; may be given several times.
    #[arg(
        long = "etcd-endpoint",
        env = "IVYWARD_ETCD_ENDPOINTS",
        value_name = "IP:PORT",
        value_delimiter = ';'
    )]
    pub etcd_endpoints: Vec<SocketAddr>,
    /// Prefix of the etcd keys of the engines' registration records. Each key is the prefix and the engine's id.
    #[arg(long, env = "IVYWARD_ETCD_PREFIX", default_value = ivyward::registration::DEFAULT_ENGINE_PREFIX)]
    pub etcd_prefix: String,
    /// User name for etcd.
    #[arg(long, env = "IVYWARD_ETCD_USER", requires = "etcd_password")]
    pub etcd_user: Option<String>,
    /// Password for etcd. Prefer the environment variable: command lines are visible to other users.
    #[arg(
        long,
        env = "IVYWARD_ETCD_PASSWORD",
        hide_env_values = true,
        requires = "etcd_user"
    )]
    pub etcd_password: Option<String>,
    /// A progress notification is requested on an etcd watch that received nothing for this long. If nothing arrives for
    /// as long again, the watch has failed.
    #[arg(long = "etcd-silence", env = "IVYWARD_ETCD_SILENCE", value_name = "SPAN", default_value = "2s", value_parser = duration)]
    pub etcd_silence_timeout: Micros,
    /// While engines are known, an empty engine list from etcd takes effect only after etcd has returned nothing but empty
    /// lists for this long.
    #[arg(long, env = "IVYWARD_ETCD_EMPTY_GRACE", value_name = "SPAN", default_value = "10s", value_parser = duration)]
    pub etcd_empty_grace: Micros,
    /// An engine list with an older revision than one seen before takes effect only after etcd has returned nothing but
    /// such lists for this long. This happens when etcd is restored from an older backup.
    #[arg(long, env = "IVYWARD_ETCD_BEHIND_GRACE", value_name = "SPAN", default_value = "10s", value_parser = duration)]
    pub etcd_behind_grace: Micros,
    /// File for a snapshot of the last engine list, which the node uses when it starts while etcd is unavailable.
    #[arg(
        long,
        env = "IVYWARD_SNAPSHOT",
        value_name = "FILE",
        requires = "etcd_endpoints"
    )]
    pub snapshot: Option<PathBuf>,
    /// A request class: name=..,ttft-aim=SPAN,deadline=SPAN and, optionally, ttft-aim-per-1000=SPAN,tpot-aim=SPAN,
    /// worth=X,late-share=X,effect=safe|keyed|unsafe,group=all|zone|cell,repeat-window=SPAN. At least one class is
    /// required; the first one is the default for requests that name none. ttft-aim is the objective for the time
    /// to first token; ttft-aim-per-1000 is added to it for each 1000 prompt tokens (0us by default). tpot-aim is
    /// the objective for the time per output token (50ms). worth is the priority weight (1). late-share is the
    /// share of that weight that a late response still has (0); the router does not use it. effect says whether a
    /// request may run more than once: always (safe, the default), with an idempotency key (keyed), or never
    /// (unsafe). For keyed requests, the engines of one group (all by default, or one zone or cell) drop repeats
    /// for repeat-window, which is then required.
    #[arg(long = "class", env = "IVYWARD_CLASSES", value_name = "CLASS", value_delimiter = ';', value_parser = class)]
    pub classes: Vec<Class>,
    /// A tenant: name=.. and, optionally, quota=X, its quota in requests per second over all nodes. Without quota=X, the
    /// tenant has no quota. May be given several times.
    #[arg(long = "tenant", env = "IVYWARD_TENANTS", value_name = "TENANT", value_delimiter = ';', value_parser = tenant)]
    pub tenants: Vec<Tenant>,

    /// Address that receives the gossip datagrams of other nodes. Port 0 binds a free port. Gossip is off if this flag is
    /// omitted.
    #[arg(long, env = "IVYWARD_PEER_LISTEN", value_name = "ADDRESS")]
    pub peer_listen: Option<SocketAddr>,
    /// Address at which other nodes reach this one. The bound address of --peer-listen by default.
    #[arg(
        long,
        env = "IVYWARD_PEER_ANNOUNCE",
        value_name = "IP:PORT",
        requires = "peer_listen"
    )]
    pub peer_announce: Option<SocketAddr>,
    /// Announced address of another node, from which this node learns the rest. May be given several times; one that is
    /// reachable is enough.
    #[arg(
        long = "peer",
        env = "IVYWARD_PEERS",
        value_name = "IP:PORT",
        value_delimiter = ';',
        requires = "peer_listen"
    )]
    pub peers: Vec<SocketAddr>,
    /// Name of this node, which must be the same after a restart. The announced address by default.
    #[arg(
        long,
        env = "IVYWARD_PEER_NAME",
        value_name = "NAME",
        requires = "peer_listen"
    )]
    pub peer_name: Option<String>,
    /// Secret from which the key that authenticates gossip datagrams is derived; the same on all nodes, at least 16 bytes.
    /// Without it only loopback addresses are accepted. Prefer the environment variable. The secret may also be set on
    /// nodes without --peer-listen, so that all nodes can share one environment.
    #[arg(long, env = "IVYWARD_PEER_KEY", hide_env_values = true)]
    pub peer_key: Option<String>,
    /// A suspected node from which no node has received anything for this long is declared dead. A node that is paused for
    /// a shorter time is not.
    #[arg(long = "peer-death-after", env = "IVYWARD_PEER_DEATH_AFTER", value_name = "SPAN", default_value = "2400ms", value_parser = duration)]
    pub peer_death_timeout: Micros,
    /// Time to live, in seconds, of the lease under which this node's record is stored in etcd. Node records are neither
    /// written nor read if this flag is omitted.
    #[arg(
        long = "peer-lease",
        env = "IVYWARD_PEER_LEASE",
        value_name = "SECONDS",
        requires = "peer_listen",
        requires = "etcd_endpoints"
    )]
    pub peer_lease_seconds: Option<i64>,
    /// Prefix of the etcd keys of the node records.
    #[arg(long, env = "IVYWARD_PEER_PREFIX", default_value = ivyward::peers::DEFAULT_NODE_PREFIX)]
    pub peer_prefix: String,

    /// Number of router nodes, this one included. With --peer-listen, the value is used only until the node has a complete
    /// view of the other nodes.
    #[arg(long, env = "IVYWARD_NODES", default_value_t = 1)]
    pub nodes: u32,
    /// The zone of this node.
    #[arg(long, env = "IVYWARD_ZONE", default_value_t = 0)]
    pub zone: u8,
    /// Seed of the router's random choices. By default it is derived from the clock and the process id.
    #[arg(long, env = "IVYWARD_SEED")]
    pub seed: Option<u64>,
    /// KV memory of an engine of each role, in tokens: PREFILL,DECODE,MIXED. Unlimited if omitted.
    #[arg(
        long,
        env = "IVYWARD_MEMORY_TOKENS",
        value_delimiter = ',',
        num_args = 3,
        value_name = "TOKENS"
    )]
    pub memory_tokens: Vec<f64>,
    /// Whether a decode engine prefills the prompt itself if there is no KV state to fetch.
    #[arg(long, env = "IVYWARD_DECODE_MAY_PREFILL", default_value_t = true, action = clap::ArgAction::Set)]
    pub decode_may_prefill: bool,
    /// Whether a decode slot may be reserved while the prompt is prefilled. Engines must support the Hold call.
    #[arg(long = "hold-ahead", env = "IVYWARD_HOLD_AHEAD", value_name = "BOOL", default_value_t = false, action = clap::ArgAction::Set)]
    pub reserve_decode_slot: bool,
    /// Whether engines may be health-checked. The router does not use this value.
    #[arg(long = "probes", env = "IVYWARD_PROBES", value_name = "BOOL", default_value_t = false, action = clap::ArgAction::Set)]
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    #[arg(long, env = "IVYWARD_MAY_CANCEL", default_value_t = true, action = clap::ArgAction::Set)]
    pub may_cancel: bool,
    /// The values of the engines' load reports, in order, four at most: outstanding, backlog, utilization, recent-ms,
    /// memory-share, waiting-ktokens.
    #[arg(long = "report", env = "IVYWARD_REPORT", value_delimiter = ',', value_parser = report_field, value_name = "VALUE")]
    pub report: Vec<ReportField>,
    /// Weight of traffic beyond a tenant's quota, from 0 to 1, as a share of the weight of traffic within it. The router
    /// does not use this value.
    #[arg(
        long = "over-share-worth",
        env = "IVYWARD_OVER_SHARE_WORTH",
        value_name = "WEIGHT",
        default_value_t = 1.0
    )]
    pub over_quota_weight: f64,
    /// Share of the total weight that is lost if the KV state of all prompt tokens is moved to another rack, from 0 to 1.
    /// The router does not use this value.
    #[arg(long, env = "IVYWARD_TRANSFER_PRICE", default_value_t = 0.0)]
    pub transfer_price: f64,
    /// Share of the total weight that is lost if each request crosses zones once, from 0 to 1. At 0, the choice of a
    /// prefill engine ignores zones.
    #[arg(long, env = "IVYWARD_CROSS_ZONE_PRICE", default_value_t = 0.0)]
    pub cross_zone_price: f64,
    /// Maximum number of attempts for one request.
    #[arg(long, env = "IVYWARD_MAX_ATTEMPTS", default_value_t = 4)]
    pub max_attempts: u32,
    /// Longest retry delay that a client follows after a rejection.
    #[arg(long, env = "IVYWARD_MAX_RETRY_AFTER", value_name = "SPAN", default_value = "500ms", value_parser = duration)]
    pub max_retry_after: Micros,
    /// A reservation must be used or released within this time.
    #[arg(long, env = "IVYWARD_RELEASE_WITHIN", value_name = "SPAN", default_value = "500ms", value_parser = duration)]
    pub release_within: Micros,
    /// Time after the start of its drain in which an engine may still get new requests.
    #[arg(long, env = "IVYWARD_DRAIN_GRACE", value_name = "SPAN", default_value = "250ms", value_parser = duration)]
    pub drain_grace: Micros,
    /// A cold engine is overloaded when it gets more than this multiple of its present capacity within --fall-window.
    #[arg(
        long = "fall-multiple",
        env = "IVYWARD_FALL_MULTIPLE",
        value_name = "FACTOR",
        default_value_t = 3.0
    )]
    pub overload_multiple: f64,
    /// Window in which the requests to a cold engine are counted for --fall-multiple.
    #[arg(long = "fall-window", env = "IVYWARD_FALL_WINDOW", value_name = "SPAN", default_value = "2s", value_parser = duration)]
    pub overload_window: Micros,
    /// Share of its full capacity that an engine has when its process starts, from 0 to 1.
    #[arg(
        long = "start-capacity",
        env = "IVYWARD_START_CAPACITY",
        value_name = "SHARE",
        default_value_t = 0.3
    )]
    pub initial_capacity: f64,
    /// Time after its start at which an engine has its full capacity.
    #[arg(long = "warm-after", env = "IVYWARD_WARM_AFTER", value_name = "SPAN", default_value = "15s", value_parser = duration)]
    pub warm_up_duration: Micros,

    /// Time before the client's deadline at which the final answer is sent. The deadline of a class must be over twice this
    /// value.
    #[arg(long, env = "IVYWARD_ANSWER_MARGIN", value_name = "SPAN", default_value = "30ms", value_parser = duration)]
    pub answer_margin: Micros,
    /// A connection attempt to an engine that takes longer than this has failed. At most --drain-grace.
    #[arg(long, env = "IVYWARD_DIAL_TIMEOUT", value_name = "SPAN", default_value = "250ms", value_parser = duration)]
    pub dial_timeout: Micros,
    /// Pause after the first failed connection attempt to an engine, or the first failed release. The pause doubles with
    /// each further failure; before connection attempts it has jitter.
    #[arg(long = "redial-first", env = "IVYWARD_REDIAL_FIRST", value_name = "SPAN", default_value = "20ms", value_parser = duration)]
    pub initial_backoff: Micros,
    /// Upper limit of the pause that begins with --redial-first.
    #[arg(long = "redial-most", env = "IVYWARD_REDIAL_MOST", value_name = "SPAN", default_value = "1s", value_parser = duration)]
    pub max_backoff: Micros,
    /// A connection to an engine is closed if the reset of a cancelled call cannot be written to it within this time. Less
    /// than --release-within.
    #[arg(long = "reset-wait", env = "IVYWARD_RESET_WAIT", value_name = "SPAN", default_value = "100ms", value_parser = duration)]
    pub reset_timeout: Micros,
    /// A response stream of an engine that has started and then delivers no token for this long has failed.
    #[arg(long = "stream-stall", env = "IVYWARD_STREAM_STALL", value_name = "SPAN", default_value = "10s", value_parser = duration)]
    pub stream_idle_timeout: Micros,
    /// Time for which the release of a reservation is retried while its engine cannot be reached. After that, the reservation
    /// ends when the engine's own time limit expires.
    #[arg(long = "release-tries", env = "IVYWARD_RELEASE_TRIES", value_name = "SPAN", default_value = "10s", value_parser = duration)]
    pub release_retry_window: Micros,
    /// A connection to an engine with calls in flight is pinged after it has received nothing for this long. 0us disables
    /// all pings, those of idle connections included.
    #[arg(long = "ping-every", env = "IVYWARD_PING_EVERY", value_name = "SPAN", default_value = "1s", value_parser = duration)]
    pub ping_interval: Micros,
    /// A connection is closed if a ping is not answered within this time.
    #[arg(long, env = "IVYWARD_PING_TIMEOUT", value_name = "SPAN", default_value = "1s", value_parser = duration)]
    pub ping_timeout: Micros,
    /// Maximum number of idle connections that are pinged per second, over all engines; 0 disables these pings. The default
    /// is 16, or 0 if --ping-every is 0us.
    #[arg(
        long = "resting-checks",
        env = "IVYWARD_RESTING_CHECKS",
        value_name = "COUNT"
    )]
    pub idle_checks_per_second: Option<u32>,
    /// Maximum number of tokens buffered for a client that reads slowly. While the buffer is full, the node does not read
    /// from the engine.
    #[arg(
        long = "stream-buffer",
        env = "IVYWARD_STREAM_BUFFER",
        value_name = "TOKENS",
        default_value_t = 1024
    )]
    pub max_buffered_tokens: usize,
    /// Maximum number of concurrent calls on one connection to an engine.
    #[arg(
        long = "calls-per-connection",
        env = "IVYWARD_CALLS_PER_CONNECTION",
        value_name = "COUNT",
        default_value_t = 100
    )]
    pub max_calls_per_connection: usize,
    /// Maximum number of connections to one engine.
    #[arg(
        long = "connections-per-engine",
        env = "IVYWARD_CONNECTIONS_PER_ENGINE",
        value_name = "COUNT",
        default_value_t = 8
    )]
    pub max_connections_per_engine: usize,
    /// Maximum number of open requests. Further requests are rejected.
    #[arg(
        long = "most-open",
        env = "IVYWARD_MOST_OPEN",
        value_name = "COUNT",
        default_value_t = 20_000
    )]
    pub max_open_requests: usize,
    /// Maximum number of bytes of all requests that are being received, and of the prompts of all open requests. Further
    /// requests are rejected.
    #[arg(
        long = "most-request-bytes",
        env = "IVYWARD_MOST_REQUEST_BYTES",
        value_name = "BYTES",
        default_value_t = 256 << 20
    )]
    pub max_request_bytes: usize,
    /// Maximum number of client connections. Further connections are closed on accept.
    #[arg(
        long = "most-clients",
        env = "IVYWARD_MOST_CLIENTS",
        value_name = "COUNT",
        default_value_t = 4_096
    )]
    pub max_client_connections: usize,
    /// Maximum length of a prompt in tokens. A longer prompt makes the request invalid.
    #[arg(
        long = "most-prompt",
        env = "IVYWARD_MOST_PROMPT",
        value_name = "TOKENS",
        default_value_t = 200_000
    )]
    pub max_prompt_tokens: usize,
    /// Maximum number of output tokens that a request may ask for. A larger number makes the request invalid.
    #[arg(
        long = "most-output",
        env = "IVYWARD_MOST_OUTPUT",
        value_name = "TOKENS",
        default_value_t = 100_000
    )]
    pub max_output_tokens: usize,
    /// Maximum number of releases of reservations that are pending at once. Beyond it the oldest one is no longer retried;
    /// its reservation ends when the engine's own time limit expires.
    #[arg(
        long = "most-releases",
        env = "IVYWARD_MOST_RELEASES",
        value_name = "COUNT",
        default_value_t = 4_096
    )]
    pub max_pending_releases: usize,

    /// Time that open requests have to finish after SIGTERM or SIGINT. At most one hour.
    #[arg(long = "stop-within", env = "IVYWARD_STOP_WITHIN", value_name = "SPAN", default_value = "10s", value_parser = duration)]
    pub stop_timeout: Micros,
    /// Number of threads, at most 1024. 0 starts one per core.
    #[arg(long, env = "IVYWARD_THREADS", default_value_t = 0)]
    pub threads: usize,
    /// File that records the router's events and actions, for replay. An existing file is overwritten.
    #[arg(long, env = "IVYWARD_RECORD", value_name = "FILE")]
    pub record: Option<PathBuf>,
    /// Format of the log lines on standard error.
    #[arg(long, env = "IVYWARD_LOG_FORMAT", default_value = "text", value_parser = ["text", "json"])]
    pub log_format: String,
    /// Minimum level that is logged: error, warn, info, debug or trace. Levels can be set per target, as in
    /// info,ivyward=debug, in the syntax of RUST_LOG.
    #[arg(long, env = "IVYWARD_LOG", default_value = "info")]
    pub log: String,
}

/// The checked flags and the settings made from them.
#[derive(Debug, Clone)]
pub struct Start {
    /// The flags, with defaults and environment variables applied.
    pub flags: Flags,
    /// Settings of the node and its router.
    pub settings: NodeSettings,
}

/// Why reading the flags does not lead to a start of the node.
#[derive(Debug, thiserror::Error)]
pub enum FlagsError {
    /// Invalid flags; the text is one line that names the flag, the value and the reason.
    #[error("{0}")]
    Invalid(String),
    /// An `@file` that cannot be used.
    #[error(transparent)]
    File(#[from] FlagFileError),
    /// Flags that are valid on their own and contradict each other, or settings out of range.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// `--help` or `--version` was given; the text is to be printed on standard output.
    #[error("{0}")]
    Page(String),
}

/// Reads and checks the flags. The first argument is the program's name.
pub fn read(args: impl IntoIterator<Item = OsString>) -> Result<Start, FlagsError> {
    let flags = Flags::try_parse_from(flag_file::expand(args)?).map_err(clap_error)?;
    let settings = flags.settings()?;
    Ok(Start { flags, settings })
}

/// Shortens an error of clap to one line. The text before the first blank line names the flag, the value and the reason;
/// the rest is usage advice.
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
