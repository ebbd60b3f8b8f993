//! Scenarios, load and reports on loopback.

use clap::{Parser, Subcommand};
use ivyward_fakes::{Role, Spec};
use ivyward_proto::front::GenerateRequest;
use ivyward_testbed::badday::{self, Day};
use ivyward_testbed::byhand;
use ivyward_testbed::cluster;
use ivyward_testbed::drains;
use ivyward_testbed::enlist;
use ivyward_testbed::peernet;
use ivyward_testbed::plan::{Plan, Trouble};
use ivyward_testbed::relay;
use ivyward_testbed::scene::Runs;
use ivyward_testbed::seeds::{self, Size};
use ivyward_testbed::soak;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "ivyward-testbed", version, about, max_term_width = 110)]
struct Flags {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays a bad day against real nodes and stand-in engines, and checks the five rules from what crossed the sockets.
    BadDay {
        /// Draws the day.
        #[arg(long, env = "IVYWARD_TESTBED_SEED", default_value_t = 1)]
        seed: u64,
        /// First tries.
        #[arg(long, env = "IVYWARD_TESTBED_REQUESTS", default_value_t = 3_000, value_parser = clap::value_parser!(u64).range(1..=200_000))]
        requests: u64,
        /// First tries a second, on the mean.
        #[arg(long, env = "IVYWARD_TESTBED_RATE", default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=5_000))]
        rate: u64,
        /// Nodes.
        #[arg(long, env = "IVYWARD_TESTBED_NODES", default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=32))]
        nodes: u64,
        /// Racks of one reader, one mixed engine and two writers.
        #[arg(long, env = "IVYWARD_TESTBED_RACKS", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=32))]
        racks: u16,
        /// Only these kinds of trouble; may be given several times.
        #[arg(long, value_parser = Trouble::named)]
        trouble: Vec<Trouble>,
        /// Plays the kinds of trouble of a day file, scaled to this machine.
        #[arg(long, value_name = "FILE", conflicts_with = "trouble")]
        day: Option<PathBuf>,
        /// How nodes learn of engines: told by the script, or through a store that is among the faulty.
        #[arg(long, default_value = "told", value_parser = ["told", "etcd"])]
        discovery: String,
        /// Prints JSON instead of tables.
        #[arg(long)]
        json: bool,
        /// Runs these daemons instead of nodes in this process.
        #[arg(long, value_name = "PATH")]
        daemon: Option<PathBuf>,
        /// Keeps the first node's recording in this file.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Plays random, overlapping faults against node processes of the platform, and checks the rules from outside.
    Soak {
        /// Node processes.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(1..=40))]
        nodes: u16,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// So many seeds, one after the other.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        seeds: u64,
        /// Seconds of trouble in each.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(4..=3_600))]
        seconds: u64,
        /// Plays this plan.
        #[arg(long, value_name = "FILE")]
        plan: Option<PathBuf>,
        /// Keeps logs, plans and configurations of all seeds in this folder.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// The daemon; the one beside this program if left out.
        #[arg(long, value_name = "PATH")]
        daemon: Option<PathBuf>,
    },
    /// Registers an engine in etcd under a lease and keeps it alive until interrupted, or once with --once.
    Register {
        #[command(flatten)]
        store: StoreFlags,
        /// The engine's id.
        #[arg(long)]
        id: u64,
        /// Where it listens.
        #[arg(long)]
        address: SocketAddr,
        /// prefill, decode or mixed.
        #[arg(long, value_parser = ["prefill", "decode", "mixed"])]
        role: String,
        /// Its zone.
        #[arg(long, default_value_t = 0)]
        zone: u8,
        /// Its rack.
        #[arg(long, default_value_t = 0)]
        cell: u16,
        /// Its size against others of its kind.
        #[arg(long, default_value_t = 1.0)]
        weight: f64,
        /// Seconds that the record outlives whoever keeps it.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(i64).range(1..=3_600))]
        lease: i64,
        /// Writes the record without a lease and returns.
        #[arg(long)]
        once: bool,
    },
    /// Says in etcd that an engine drains.
    Drain {
        /// The engine's id.
        id: u64,
        #[command(flatten)]
        store: StoreFlags,
    },
    /// Measures how soon nodes follow a store's notices under load, and what a change costs by the size of the fleet.
    Drains {
        /// Drains and departures.
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        drains: u64,
        /// Engines in the fleet, for the cost of a change; may be given several times.
        #[arg(long, default_values_t = [100, 1_000, 10_000], value_parser = clap::value_parser!(u64).range(1..=50_000))]
        fleet: Vec<u64>,
        /// The store is among the faulty: it lags, batches, restarts, hangs, goes half open, and loses its history.
        #[arg(long)]
        faults: bool,
    },
    /// Measures in virtual time how soon peers know of a death, how often they are wrong, and what it costs.
    Peers {
        /// Nodes; may be given several times.
        #[arg(long, default_values_t = [16, 64], value_parser = clap::value_parser!(u64).range(2..=2_000))]
        nodes: Vec<u64>,
        /// Seeds of each.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        seeds: u64,
        /// Minutes with pauses, each seed at each loss.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(0..=600))]
        minutes: u64,
        /// Without what a node knows of its own health: SWIM as it was first described, for comparison.
        #[arg(long)]
        plain: bool,
        /// Draws in this file, as SVG, how soon survivors know of a kill.
        #[arg(long, value_name = "FILE")]
        chart: Option<PathBuf>,
    },
    /// Plays a plan of faults on daemons as processes, with a relay on each directed link, and says what came of it.
    Cluster {
        /// The daemon's program.
        #[arg(long, value_name = "PATH")]
        daemon: PathBuf,
        /// Draws the plan.
        #[arg(long, env = "IVYWARD_TESTBED_SEED", default_value_t = 1)]
        seed: u64,
        /// Node processes.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=300))]
        nodes: u64,
        /// Stand-in engines.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(0..=32))]
        engines: u64,
        /// Episodes of the plan.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(0..=1_000))]
        episodes: u64,
        /// Plays this plan instead of a drawn one; nodes and seed are its own.
        #[arg(long, value_name = "FILE")]
        plan: Option<PathBuf>,
        /// Nodes learn of each other and of engines by a store.
        #[arg(long)]
        store: bool,
        /// Keeps the plan and what came of it in this file.
        #[arg(long, value_name = "FILE")]
        keep: Option<PathBuf>,
    },
    /// Plays a scale run on processes of this machine: hollow nodes and engines beside daemons with requests through them, and
    /// what each role uses. Or, with --vary, one quantity alone at several sizes.
    Scale {
        #[command(flatten)]
        flags: ivyward_testbed::scale::command::ScaleFlags,
    },
    /// Works out what a deployment of a size takes, from slopes that scale runs kept; without flags, of the size to plan for.
    Capacity {
        #[command(flatten)]
        flags: ivyward_testbed::capacity::command::CapacityFlags,
    },
    /// Plays one node's decisions among all engines of a fleet, in synthetic time, and says how far states are handed over.
    Handover {
        #[command(flatten)]
        flags: ivyward_testbed::handover::HandoverFlags,
    },
    /// A hollow process of a scale run, which starts it.
    #[command(name = ivyward_testbed::scale::child::SUBCOMMAND, hide = true)]
    Hollow {
        /// What it is, as JSON.
        role: String,
    },
    /// Plays scenes in a virtual world, one a seed, under faults drawn from it, and checks the rules.
    Seeds {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// How many.
        #[arg(long, default_value_t = 1_000)]
        count: u64,
        /// Threads; 0 for one a core.
        #[arg(long, default_value_t = 0)]
        jobs: usize,
        /// Faults in each.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(0..=200))]
        faults: u64,
        /// How rough they are: spans, shares and slowness grow with it.
        #[arg(long, default_value_t = 1.0, value_parser = rough)]
        rough: f64,
        /// Nodes know each other, with faults between them.
        #[arg(long)]
        peers: bool,
    },
    /// Plays one seed, prints its plan and what came of it.
    Seed {
        /// The seed.
        seed: u64,
        /// Faults in it.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(0..=200))]
        faults: u64,
        /// How rough they are, as the seed was played.
        #[arg(long, default_value_t = 1.0, value_parser = rough)]
        rough: f64,
        /// Nodes know each other, with faults between them.
        #[arg(long)]
        peers: bool,
        /// Cuts a plan under which something is wrong down to the faults that it takes.
        #[arg(long)]
        shrink: bool,
        /// Plays only these faults of its plan, numbered from 0 as they are printed: 0,3-5.
        #[arg(long, value_name = "PART", value_parser = part)]
        keep: Option<Part>,
        /// Writes what was seen, what each module was told and did, and what broke to this file, a line each.
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
    },
    /// Plants each known defect in turn and plays seeds until one finds it. Only with RUSTFLAGS="--cfg mutations".
    #[cfg(mutations)]
    Planted {
        /// Most seeds for each.
        #[arg(long, default_value_t = 2_000)]
        count: u64,
        /// Threads; 0 for one a core.
        #[arg(long, default_value_t = 0)]
        jobs: usize,
    },
    /// Runs one engine to try a daemon with; lines on standard input make it drain, hang, slow, ill, die and come back.
    Engine {
        /// Its id.
        #[arg(long)]
        id: u64,
        /// prefill, decode or mixed.
        #[arg(long, value_parser = ["prefill", "decode", "mixed"])]
        role: String,
        /// Where it listens; port 0 for a free one.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Its rack.
        #[arg(long, default_value_t = 0)]
        cell: u16,
        /// Prompt tokens a second that it reads.
        #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u32).range(1..))]
        read_rate: u32,
        /// Milliseconds from one answer token to the next.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=60_000))]
        token_gap_ms: u32,
        /// Calls at work at once.
        #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        slots: u32,
        /// Tokens of states that it keeps.
        #[arg(long, default_value_t = 4_000_000, value_parser = clap::value_parser!(u64).range(1..))]
        memory: u64,
        /// A line of standard input to begin with; may be given several times.
        #[arg(long = "order")]
        orders: Vec<String>,
        /// An endpoint of a store in which it registers itself; may be given several times.
        #[arg(long = "register-in")]
        register_in: Vec<SocketAddr>,
        /// Seconds that its record outlives it.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(i64).range(1..=3_600))]
        lease: i64,
    },
    /// Runs a small store that speaks etcd's API.
    Store {
        /// Where it listens; port 0 for a free one.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Runs a whole fleet to try a daemon with, and prints the daemon's flags for it. Lines on standard input: ID ORDER.
    Fleet {
        /// Racks of one prefill, one mixed and two decode engines.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=64))]
        racks: u16,
        /// Where the first engine listens; the others at the ports after it. Port 0 for free ones.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Runs a store here that lists them.
        #[arg(long)]
        store: Option<SocketAddr>,
    },
    /// Sends one request, prints its tokens as they come and its end in words.
    Ask {
        /// The daemon's door.
        door: SocketAddr,
        /// Most answer tokens.
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
        tokens: u32,
        /// Prompt tokens.
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
        prompt: u32,
        /// Its class; the daemon's first without one.
        #[arg(long, default_value = "")]
        class: String,
        /// Its session.
        #[arg(long, default_value = "")]
        session: String,
        /// Milliseconds until it gives up.
        #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(1..=3_600_000))]
        patience_ms: u64,
    },
    /// Prints the JSON schema of registration records.
    Schema,
    /// Measures what a node adds: streams straight from an engine against the same through a node, and what a decision
    /// costs by the size of the fleet.
    Relay {
        /// Streams at once; may be given several times.
        #[arg(long, default_values_t = [1, 64, 1000], value_parser = clap::value_parser!(u64).range(1..=4_000))]
        streams: Vec<u64>,
        /// Engines in the fleet; may be given several times.
        #[arg(long, default_values_t = [30, 130, 500, 2000], value_parser = clap::value_parser!(u64).range(4..=4_000))]
        fleet: Vec<u64>,
        /// Rounds of each, after one that warms up.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
        rounds: u64,
    },
    /// Replays a node's recording into a fresh module and compares every action.
    ReplayRecord {
        /// The recording.
        file: PathBuf,
    },
}

/// Runs a hollow process of a scale run.
fn hollow(role: &str) -> Result<(), String> {
    let role = serde_json::from_str(role).map_err(|e| format!("{role:?}: {e}"))?;
    ivyward_testbed::scale::hollow::run(role).map_err(|e| e.to_string())
}

/// Where the store is.
#[derive(clap::Args)]
struct StoreFlags {
    /// An endpoint of the store; may be given several times.
    #[arg(
        long = "etcd-endpoint",
        env = "IVYWARD_ETCD_ENDPOINTS",
        value_delimiter = ';',
        required = true
    )]
    endpoints: Vec<SocketAddr>,
    /// Engines' records stand below it.
    #[arg(long = "etcd-prefix", env = "IVYWARD_ETCD_PREFIX", default_value = ivyward::registration::PREFIX)]
    prefix: String,
}

/// Plays a plan on processes. A line for each episode, and the whole as JSON where it is kept.
fn play_cluster(
    mut size: cluster::Size,
    episodes: usize,
    file: Option<PathBuf>,
    keep: Option<PathBuf>,
) -> Result<ExitCode, String> {
    use cluster::plan::Plan;
    let plan = match file {
        Some(path) => {
            let text = std::fs::read_to_string(&path)
                .map_err(|e| format!("--plan {}: {e}", path.display()))?;
            Plan::read(&text).map_err(|e| format!("--plan {}: {e}", path.display()))?
        }
        None => Plan::draw(size.seed, size.nodes, episodes),
    };
    (size.nodes, size.seed) = (plan.nodes, plan.seed);
    println!("{}", serde_json::to_string(&plan).unwrap_or_default());
    let mut rig = cluster::Cluster::start(size).map_err(|e| e.to_string())?;
    println!(
        "| fault | lasted, ms | all agree after, ms | kill known to all, ms | false deaths | miscounts |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let told = |came: &cluster::play::Came| {
        let fault = serde_json::to_string(&came.fault).unwrap_or_default();
        let known = came.known_ms.map_or("-".into(), |ms| ms.to_string());
        let (lasted, agreed) = (came.lasted_ms, came.agreed_ms);
        println!(
            "| {fault} | {lasted} | {agreed} | {known} | {} | {} |",
            came.false_deaths,
            came.miscounts.len()
        );
    };
    let report = cluster::play::play(&mut rig, &plan, told).map_err(|e| e.to_string())?;
    println!(
        "joined after {} ms; {:.1} datagrams and {:.0} bytes a second a node; {} of {} calls served; {} of 5 rules kept",
        report.joined_ms, report.datagrams_s, report.bytes_s, report.calls.1, report.calls.0, report.rules_kept
    );
    let wrong = report.wrong();
    wrong.iter().for_each(|w| println!("wrong: {w}"));
    if let Some(path) = keep {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        std::fs::write(&path, text).map_err(|e| format!("--keep {}: {e}", path.display()))?;
    }
    Ok(if wrong.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Nodes of a scene: more where they know each other.
fn nodes(peers: bool) -> usize {
    if peers {
        4
    } else {
        Size::default().nodes
    }
}

fn main() -> ExitCode {
    let result = match Flags::parse().what {
        What::BadDay {
            seed,
            requests,
            rate,
            nodes,
            racks,
            trouble,
            day,
            discovery,
            json,
            daemon,
            record,
        } => {
            let mut play = Day::drawn(seed, requests as usize, &trouble);
            play.load.rate = rate as f64;
            play.etcd = discovery == "etcd";
            if play.etcd && daemon.is_some() {
                eprintln!(
                    "ivyward-testbed: --discovery etcd: goes with nodes in this process, not with --daemon"
                );
                return ExitCode::FAILURE;
            }
            (play.nodes, play.racks) = (nodes as usize, racks);
            let length = ((requests as f64 / rate as f64 * 1e6) as u64).max(2_000_000);
            play.plan = Plan::draw(seed, length, &trouble);
            if let Some(path) = daemon {
                play.runs = Runs::Daemon(path);
            }
            bad_day(play, day, json, record)
        }
        What::Register {
            store,
            id,
            address,
            role,
            zone,
            cell,
            weight,
            lease,
            once,
        } => {
            let record = serde_json::json!({
                "version": ivyward::registration::VERSION, "id": id, "role": role, "address": address.to_string(),
                "zone": zone, "cell": cell, "weight": weight, "state": "ready",
            });
            enlist::register(
                &store.endpoints,
                &store.prefix,
                record,
                (!once).then_some(lease),
            )
        }
        What::Drain { id, store } => enlist::drain(&store.endpoints, &store.prefix, id),
        What::Drains {
            drains: count,
            fleet,
            faults,
        } => {
            let sizes: Vec<usize> = fleet.iter().map(|n| *n as usize).collect();
            let measured = drains::followed(count as usize, 2, faults)
                .and_then(|followed| Ok((followed, drains::changes(&sizes, 200)?)));
            measured
                .map_err(|e| e.to_string())
                .map(|(followed, changes)| {
                    print!("{}", drains::text(&followed, &changes));
                    if followed.broken.is_empty() {
                        ExitCode::SUCCESS
                    } else {
                        ExitCode::FAILURE
                    }
                })
        }
        What::Peers {
            nodes,
            seeds,
            minutes,
            plain,
            chart,
        } => {
            let mut all = Vec::new();
            println!("{}", peernet::HEAD);
            for nodes in nodes {
                let spans = ivyward_core::peers::PeerSettings {
                    local_health: !plain,
                    ..Default::default()
                };
                let threads = std::thread::available_parallelism().map_or(1, usize::from);
                all.push(peernet::measure(
                    nodes as usize,
                    seeds,
                    minutes,
                    spans,
                    threads,
                ));
                all.last()
                    .into_iter()
                    .for_each(|figures| println!("{figures}"));
            }
            match chart.map(|path| (std::fs::write(&path, peernet::chart(&all)), path)) {
                Some((Err(e), path)) => Err(format!("--chart {}: {e}", path.display())),
                _ => Ok(ExitCode::SUCCESS),
            }
        }
        What::Soak {
            nodes,
            seed,
            seeds,
            seconds,
            plan,
            keep,
            daemon,
        } => {
            let options = soak_options((nodes, (seed, seeds), seconds), plan, keep, daemon);
            options
                .and_then(|options| soak::play(&options).map_err(|e| e.to_string()))
                .map(|report| {
                    print!("{}", report.text());
                    if report.holds() {
                        ExitCode::SUCCESS
                    } else {
                        ExitCode::FAILURE
                    }
                })
        }
        What::Scale { flags } => flags
            .play()
            .map(|()| ExitCode::SUCCESS)
            .map_err(|e| e.to_string()),
        What::Capacity { flags } => {
            let answer = flags.answer().map_err(|e| e.to_string());
            answer.map(|text| {
                print!("{text}");
                ExitCode::SUCCESS
            })
        }
        What::Handover { flags } => {
            print!("{}", ivyward_testbed::handover::play(flags).text());
            Ok(ExitCode::SUCCESS)
        }
        What::Hollow { role } => hollow(&role).map(|()| ExitCode::SUCCESS),
        What::Cluster {
            daemon,
            seed,
            nodes,
            engines,
            episodes,
            plan,
            store,
            keep,
        } => {
            let size = cluster::Size {
                nodes: nodes as usize,
                engines: engines as usize,
                store,
                seeds: if store { 0 } else { 2 },
                death_after: 2_400_000,
                lease: 5,
                daemon,
                seed,
            };
            play_cluster(size, episodes as usize, plan, keep)
        }
        What::Seeds {
            from,
            count,
            jobs,
            faults,
            rough,
            peers,
        } => {
            let size = Size {
                faults: faults as usize,
                rough,
                peers,
                nodes: nodes(peers),
                ..Size::default()
            };
            Ok(play_seeds(from, count, jobs, &size))
        }
        What::Seed {
            seed,
            faults,
            rough,
            peers,
            shrink,
            keep,
            trace,
        } => {
            let size = Size {
                faults: faults as usize,
                rough,
                peers,
                nodes: nodes(peers),
                ..Size::default()
            };
            play_seed(seed, &size, shrink, keep, trace)
        }
        #[cfg(mutations)]
        What::Planted { count, jobs } => Ok(planted(count, jobs)),
        What::Engine {
            id,
            role,
            listen,
            cell,
            read_rate,
            token_gap_ms,
            slots,
            memory,
            orders,
            register_in,
            lease,
        } => {
            let role = match role.as_str() {
                "prefill" => Role::Reader,
                "decode" => Role::Writer,
                _ => Role::Mixed,
            };
            let base = Spec {
                id,
                role,
                cell,
                slots: slots as usize,
                memory,
                ..Spec::small(id, role)
            };
            let token_gap = u64::from(token_gap_ms) * 1_000;
            let spec = Spec {
                read_rate: f64::from(read_rate),
                fetch_rate: 200_000.0,
                token_gap,
                ..base
            };
            by_hand(vec![spec], listen, None, &orders, &register_in, lease)
        }
        What::Store { listen } => by_hand(Vec::new(), listen, Some(listen), &[], &[], 10),
        What::Fleet {
            racks,
            listen,
            store,
        } => by_hand(byhand::racks(racks), listen, store, &[], &[], 10),
        What::Ask {
            door,
            tokens,
            prompt,
            class,
            session,
            patience_ms,
        } => {
            let request = GenerateRequest {
                prompt: (0..prompt).collect(),
                max_output_tokens: tokens,
                class,
                session,
                ..GenerateRequest::default()
            };
            let client_timeout = std::time::Duration::from_millis(patience_ms);
            match byhand::ask(door, request, client_timeout, &mut std::io::stdout()) {
                Ok((served, line)) => {
                    println!("{line}");
                    Ok(if served {
                        ExitCode::SUCCESS
                    } else {
                        ExitCode::FAILURE
                    })
                }
                Err(e) => Err(e.to_string()),
            }
        }
        What::Schema => {
            println!("{}", ivyward::registration::schema());
            Ok(ExitCode::SUCCESS)
        }
        What::Relay {
            streams,
            fleet,
            rounds,
        } => measure(&streams, &fleet, rounds as usize),
        What::ReplayRecord { file } => replay(&file),
    };
    match result {
        Ok(code) => code,
        Err(line) => {
            eprintln!("ivyward-testbed: {line}");
            ExitCode::FAILURE
        }
    }
}

fn rough(text: &str) -> Result<f64, String> {
    let rough: f64 = text.parse().map_err(|e| format!("{e}"))?;
    match (0.1..=20.0).contains(&rough) {
        true => Ok(rough),
        false => Err("must be from 0.1 to 20".into()),
    }
}

/// Runs engines and a store, prints the daemon's flags, and follows lines until the process is ended.
fn by_hand(
    specs: Vec<Spec>,
    listen: SocketAddr,
    store: Option<SocketAddr>,
    orders: &[String],
    register_in: &[SocketAddr],
    lease: i64,
) -> Result<ExitCode, String> {
    let fleet = byhand::Fleet::start(specs, listen.ip(), listen.port(), store);
    let fleet = fleet.map_err(|e| e.to_string())?;
    for order in orders {
        fleet.obey(order).map_err(|e| format!("--order {e}"))?;
    }
    if !register_in.is_empty() {
        byhand::register(&fleet, register_in, lease);
    }
    fleet.flags().iter().for_each(|flag| println!("{flag}"));
    // A file or a pipe is read while this goes on.
    std::io::Write::flush(&mut std::io::stdout()).map_err(|e| e.to_string())?;
    fleet.follow()
}

/// Numbers of faults.
#[derive(Clone, Debug, PartialEq)]
struct Part(Vec<usize>);

fn part(text: &str) -> Result<Part, String> {
    let number = |t: &str| {
        t.trim()
            .parse::<usize>()
            .map_err(|_| format!("{t:?} is no number of a fault"))
    };
    let mut out = Vec::new();
    for piece in text.split(',') {
        let (from, to) = piece.split_once('-').unwrap_or((piece, piece));
        let (from, to) = (number(from)?, number(to)?);
        if from > to || to >= 1_000 {
            return Err(format!("{piece:?} is no range of faults"));
        }
        out.extend(from..=to);
    }
    Ok(Part(out))
}

fn play_seeds(from: u64, count: u64, jobs: usize, size: &Size) -> ExitCode {
    let jobs = if jobs > 0 {
        jobs
    } else {
        std::thread::available_parallelism().map_or(1, |n| n.get())
    };
    let (faults, rough) = (size.faults, size.rough);
    let told = |t: &seeds::Tally| {
        if t.played % 500 == 0 {
            eprintln!(
                "{} of {count} seeds, {} with something wrong",
                t.played,
                t.wrong.len()
            );
        }
    };
    let tally = seeds::many(from, count, jobs, size, &told);
    let row = |of: Vec<String>| of.join(", ");
    println!(
        "{} seeds from {from} on, {faults} faults of roughness {rough} in each",
        tally.played
    );
    println!(
        "ends: {}",
        row(tally
            .heard
            .iter()
            .map(|(how, n)| format!("{how} {n}"))
            .collect())
    );
    println!(
        "faults: {}",
        row(tally
            .faults
            .iter()
            .map(|(kind, n)| format!("{kind} {n}"))
            .collect())
    );
    println!("met:");
    tally
        .met
        .iter()
        .for_each(|(what, n)| println!("  {what}: {n}"));
    let never: Vec<&str> = seeds::CATALOGUE
        .into_iter()
        .filter(|c| !tally.met.contains_key(c))
        .collect();
    // A few seeds need not bring about everything.
    let missed = count >= 1_000 && !never.is_empty();
    if missed {
        println!("never met: {}", never.join("; "));
    }
    println!("seeds with something wrong: {}", tally.wrong.len());
    for (seed, lines) in tally.wrong.iter().take(20) {
        println!("seed {seed}:");
        lines.iter().take(12).for_each(|line| println!("  {line}"));
    }
    if tally.wrong.is_empty() && !missed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// How many seeds each planted defect takes, a line each.
#[cfg(mutations)]
fn planted(count: u64, jobs: usize) -> ExitCode {
    let jobs = if jobs > 0 {
        jobs
    } else {
        std::thread::available_parallelism().map_or(1, |n| n.get())
    };
    let mut all = true;
    println!("| defect | seeds | found by |\n| --- | --- | --- |");
    let with_peers = Size {
        peers: true,
        nodes: nodes(true),
        ..Size::default()
    };
    let usual = ivyward_core::mutations::ALL.map(|d| (d, Size::default()));
    let peers = ivyward_core::mutations::PEERS.map(|d| (d, with_peers));
    for (defect, size) in usual.into_iter().chain(peers) {
        ivyward_core::mutations::plant(Some(defect));
        let found = seeds::first_wrong(1, count, jobs, &size);
        all &= found.is_some();
        match found {
            Some((seed, line)) => println!("| {defect:?} | {seed} | {line} |"),
            None => println!("| {defect:?} | none of {count} | |"),
        }
    }
    ivyward_core::mutations::plant(None);
    if all {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn play_seed(
    seed: u64,
    size: &Size,
    shrink: bool,
    keep: Option<Part>,
    trace: Option<PathBuf>,
) -> Result<ExitCode, String> {
    let mut plan = seeds::plan(seed, size);
    if let Some(Part(kept)) = keep {
        if let Some(none) = kept.iter().find(|i| **i >= plan.len()) {
            return Err(format!(
                "--keep {none}: the plan has {} faults, numbered from 0",
                plan.len()
            ));
        }
        plan = plan
            .into_iter()
            .enumerate()
            .filter(|(i, _)| kept.contains(i))
            .map(|(_, t)| t)
            .collect();
    }
    let mut outcome = seeds::run(seed, size, &plan);
    if shrink && !outcome.wrong.is_empty() {
        plan = seeds::shrink(seed, size, &plan);
        outcome = seeds::run(seed, size, &plan);
    }
    if let Some(path) = trace {
        std::fs::write(&path, outcome.trace())
            .map_err(|e| format!("--trace {}: {e}", path.display()))?;
    }
    for timed in &plan {
        println!(
            "{}",
            serde_json::to_string(timed).map_err(|e| e.to_string())?
        );
    }
    println!("ends: {:?}", outcome.heard);
    let ms = outcome.span / 1_000;
    println!(
        "digest {:016x} over {} events in {ms} ms of virtual time",
        outcome.digest, outcome.events
    );
    outcome.wrong.iter().for_each(|line| println!("{line}"));
    Ok(if outcome.wrong.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn bad_day(
    mut play: Day,
    day: Option<PathBuf>,
    json: bool,
    record: Option<PathBuf>,
) -> Result<ExitCode, String> {
    if let Some(path) = day {
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("--day {}: {e}", path.display()))?;
        let (plan, unknown) = Plan::from_day(&text, play.plan.seed, play.plan.length)
            .map_err(|e| format!("--day {}: {e}", path.display()))?;
        for kind in unknown {
            eprintln!("ivyward-testbed: trouble {kind:?} is not known here and is left out");
        }
        play.plan = plan;
    }
    let report = badday::run(play).map_err(|e| e.to_string())?;
    if let Some(path) = record {
        std::fs::write(&path, &report.recording)
            .map_err(|e| format!("--record {}: {e}", path.display()))?;
    }
    match json {
        true => println!(
            "{}\n{}",
            report.json().map_err(|e| e.to_string())?,
            report.verdict()
        ),
        false => print!("{}", report.text()),
    }
    Ok(if report.audit.kept() == 5 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn measure(streams: &[u64], fleet: &[u64], rounds: usize) -> Result<ExitCode, String> {
    let sizes = |of: &[u64]| of.iter().map(|n| *n as usize).collect::<Vec<_>>();
    let rows = relay::rows(&sizes(streams), rounds).map_err(|e| e.to_string())?;
    let costs = relay::costs(&sizes(fleet), 1_600).map_err(|e| e.to_string())?;
    print!("{}", relay::text(&rows, &costs));
    Ok(ExitCode::SUCCESS)
}

fn replay(file: &std::path::Path) -> Result<ExitCode, String> {
    let open = std::fs::File::open(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let done =
        ivyward::recording::replay(std::io::BufReader::new(open)).map_err(|e| e.to_string())?;
    let cut = if done.cut {
        "; the recording ends inside an entry"
    } else {
        ""
    };
    println!(
        "{} events, {} actions, all as recorded{cut}",
        done.events, done.actions
    );
    Ok(ExitCode::SUCCESS)
}

/// The options of a soak from its flags.
fn soak_options(
    (nodes, seeds, seconds): (u16, (u64, u64), u64),
    plan: Option<PathBuf>,
    keep: Option<PathBuf>,
    daemon: Option<PathBuf>,
) -> Result<soak::Options, String> {
    let beside = std::env::current_exe()
        .map(|me| me.with_file_name("ivywardd"))
        .map_err(|e| e.to_string())?;
    let read = |path: PathBuf| {
        let text = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
    };
    let daemon = daemon.unwrap_or(beside);
    Ok(soak::Options {
        daemon,
        nodes: nodes.into(),
        seeds,
        seconds,
        plan: plan.map(read).transpose()?,
        keep,
    })
}
