//! All processes of a scale run: the store, stub engines and nodes, the measured node, and daemons that serve requests.

use crate::cluster::process::Process;
use crate::local_cluster::ivyward_flags;
use crate::scale::message::{Role, StubCommand};
use crate::scale::size::Size;
use crate::scale::stub::{request_classes, tenants, LEASE};
use crate::scale::stub_process::StubProcess;
use crate::scale::usage::{counters, Proc, Reading};
use crate::scale::ScaleError;
use ivyward::NodeSettings;
use ivyward_runtime::{Micros, Runtime, RuntimeExt, RuntimeRef, SmolRuntime};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// One in this many engines is in the zone that the run stops and restarts.
const ZONES: u64 = 16;
/// How long all nodes may take to reach an awaited state, such as knowing all engines, in microseconds.
const CONVERGENCE_TIMEOUT: Micros = 60_000_000;
/// Interval at which the nodes are polled meanwhile, in microseconds.
const POLL_INTERVAL: Micros = 20_000;

/// Paths of the programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `ivyward-testbed`, which runs the stub processes.
    pub testbed: PathBuf,
    /// `ivywardd`, the daemon.
    pub daemon: PathBuf,
}

/// The processes of a run. All of them are ended when the cluster is dropped.
pub struct Cluster {
    pub(crate) runtime: Arc<SmolRuntime>,
    size: Size,
    programs: Programs,
    store_address: SocketAddr,
    /// Daemons that serve requests.
    pub real: Vec<Process>,
    /// A process with a single stub node, whose resource use is reported as the role `node`.
    pub measured: StubProcess,
    /// The process with the other stub nodes; `None` if there are none.
    pub others: Option<StubProcess>,
    /// The engines of the zone that can be stopped; `None` while it is stopped.
    zone: Option<StubProcess>,
    /// All engines outside that zone.
    pub engines: StubProcess,
    /// The store that holds the engine list and the peers' records.
    pub store: StubProcess,
    /// Time from the start of the last process until every node knew all engines.
    pub join_duration: Micros,
}

/// Resources that each role has used since it started.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    /// Time of the readings.
    pub at: Micros,
    /// The measured stub node.
    pub node: Reading,
    /// One reading for each daemon.
    pub real: Vec<Reading>,
    /// The process of the stub engines outside the zone that can be stopped.
    pub engines: Reading,
    /// The process of the store.
    pub store: Reading,
}

impl Cluster {
    /// Starts all processes, and waits until every node knows all engines.
    ///
    /// # Errors
    /// When the size is invalid or exceeds a limit, or a process does not start.
    pub fn start(size: Size, programs: Programs) -> Result<Cluster, ScaleError> {
        size.check()?;
        let runtime = SmolRuntime::start(1, size.seed);
        let store = StubProcess::start(&programs.testbed, &Role::Store)?;
        let store_address = store
            .address
            .ok_or_else(|| ScaleError::Process("the store reported no address".into()))?;
        let testbed = &programs.testbed;
        let zone_count = size.engines / ZONES;
        let rest = size.engines - zone_count;
        let engines = StubProcess::start(
            testbed,
            &Role::Engines {
                first: 1,
                count: rest,
                store: store_address,
            },
        )?;
        let nodes = |first, count| Role::Nodes {
            first,
            count,
            store: store_address,
            tenants: size.tenants,
            classes: size.classes,
        };
        let measured = StubProcess::start(testbed, &nodes(1, 1))?;
        let others = match size.nodes {
            1 => None,
            more => Some(StubProcess::start(testbed, &nodes(2, more - 1))?),
        };
        let mut cluster = Cluster {
            runtime,
            size,
            programs,
            store_address,
            real: Vec::new(),
            measured,
            others,
            zone: None,
            engines,
            store,
            join_duration: 0,
        };
        cluster.start_zone()?;
        for number in 0..cluster.size.real_nodes {
            let real = cluster.daemon(number)?;
            cluster.real.push(real);
        }
        cluster.join_duration = cluster.await_engines(cluster.size.engines)?;
        cluster
            .measured
            .query_nodes(&StubCommand::Connect(cluster.size.connections))?;
        Ok(cluster)
    }

    fn daemon(&self, number: u64) -> Result<Process, ScaleError> {
        let nodes = (self.size.nodes + self.size.real_nodes) as u32;
        let mut settings = NodeSettings {
            seed: number + 1,
            classes: request_classes(self.size.classes),
            ..NodeSettings::default()
        };
        settings.router.replica_count = nodes;
        let mut flags = ivyward_flags(&settings, &[]);
        let names = tenants(self.size.tenants);
        flags.extend(
            names
                .iter()
                .map(|tenant| format!("--tenant=name={}", tenant.name)),
        );
        flags.push(format!("--etcd-endpoint={}", self.store_address));
        flags.push(format!("--peer-lease={LEASE}"));
        flags.push("--peer-listen=127.0.0.1:0".into());
        flags.push(format!("--peer-name=real-{number}"));
        // Stub nodes exchange peer messages without a key, so the daemons must do the same.
        Process::start_without_key(&self.programs.daemon, &flags)
            .map_err(|e| ScaleError::Process(e.to_string()))
    }

    /// Terminates the last daemon gracefully and starts it again. Returns the duration of the termination, and the time from
    /// the start until every node, the new daemon included, knew all engines; zeros without a daemon.
    ///
    /// # Errors
    /// When the daemon does not terminate cleanly or does not start again.
    pub fn restart_daemon(&mut self) -> Result<(Micros, Micros), ScaleError> {
        let Some(process) = self.real.pop() else {
            return Ok((0, 0));
        };
        let began = self.runtime.now();
        if !process.terminate() {
            return Err(ScaleError::Process(
                "a daemon did not terminate cleanly".into(),
            ));
        }
        let ended = self.runtime.now();
        let again = self.daemon(self.real.len() as u64)?;
        self.real.push(again);
        self.await_engines(self.size.engines)?;
        Ok((ended - began, self.runtime.now() - ended))
    }

    /// Number of engines in the zone that can be stopped.
    pub fn zone_engines(&self) -> u64 {
        self.size.engines / ZONES
    }

    /// Kills the process of the zone's engines, as if the zone's machines were lost.
    pub fn stop_zone(&mut self) {
        self.zone = None;
    }

    /// Starts the zone's engines again, with the same ids and at other ports.
    ///
    /// # Errors
    /// When the engines' process does not start.
    pub fn start_zone(&mut self) -> Result<(), ScaleError> {
        let count = self.zone_engines();
        if count > 0 {
            let first = self.size.engines - count + 1;
            let role = Role::Engines {
                first,
                count,
                store: self.store_address,
            };
            self.zone = Some(StubProcess::start(&self.programs.testbed, &role)?);
        }
        Ok(())
    }

    /// Waits until every node knows exactly this many engines, and returns how long that took.
    ///
    /// # Errors
    /// When a node does not get there within a minute, or a process has ended.
    pub fn await_engines(&mut self, engines: u64) -> Result<Micros, ScaleError> {
        self.await_all_nodes(&StubCommand::KnownEngines, "ivyward_engines ", |known| {
            known == engines
        })
    }

    /// Changes this many engine records, waits until every node has applied the last change, and returns how long that took.
    ///
    /// # Errors
    /// When a node does not get there within a minute, or a process has ended.
    pub fn change(&mut self, count: u64) -> Result<Micros, ScaleError> {
        self.store.send(&StubCommand::ChangeRecords(count))?;
        let revision = self
            .store
            .query_nodes(&StubCommand::ListRevision)?
            .first()
            .copied()
            .unwrap_or(0);
        self.await_all_nodes(
            &StubCommand::ListRevision,
            "ivyward_list_revision ",
            |known| known >= revision,
        )
    }

    fn await_all_nodes(
        &mut self,
        command: &StubCommand,
        metric: &str,
        is_reached: impl Fn(u64) -> bool,
    ) -> Result<Micros, ScaleError> {
        let began = self.runtime.now();
        loop {
            let each = self.node_values(command, metric)?;
            let took = self.runtime.now() - began;
            if each.iter().all(|value| is_reached(*value)) {
                return Ok(took);
            }
            if took > CONVERGENCE_TIMEOUT {
                let text = format!(
                    "nodes did not converge within {} s: they answer {each:?} to {command:?}",
                    took / 1_000_000
                );
                return Err(ScaleError::Process(text));
            }
            self.sleep(POLL_INTERVAL);
        }
    }

    /// Returns one value for each node: from a stub node by a command, from a daemon by a metric.
    fn node_values(&mut self, command: &StubCommand, metric: &str) -> Result<Vec<u64>, ScaleError> {
        let mut each = self.measured.query_nodes(command)?;
        if let Some(others) = &mut self.others {
            each.extend(others.query_nodes(command)?);
        }
        for real in &self.real {
            let text = self.metrics(real)?;
            let value = text.lines().find_map(|line| line.strip_prefix(metric));
            each.push(value.and_then(|n| n.parse().ok()).unwrap_or(0));
        }
        Ok(each)
    }

    /// Metrics page of a daemon.
    fn metrics(&self, daemon: &Process) -> Result<String, ScaleError> {
        let runtime: RuntimeRef = self.runtime.clone();
        let text = self
            .runtime
            .block_on(daemon.admin_get(&runtime, "/metrics"));
        text.map_err(ScaleError::io("reading the metrics of a daemon"))
    }

    /// Current time on the run's clock, in microseconds.
    pub fn now(&self) -> Micros {
        self.runtime.now()
    }

    /// Blocks the calling thread for a duration in microseconds.
    pub fn sleep(&self, duration: Micros) {
        self.runtime.block_on(self.runtime.sleep(duration));
    }

    /// Reads the resources that each role has used since it started.
    ///
    /// # Errors
    /// When a process has ended.
    pub fn readings(&mut self) -> Result<Readings, ScaleError> {
        let mut real = Vec::new();
        for process in &self.real {
            let proc = Proc::read(process.pid())?;
            real.push(Reading {
                proc,
                counters: counters(&self.metrics(process)?),
            });
        }
        let (node, engines, store) = (
            self.measured.reading()?,
            self.engines.reading()?,
            self.store.reading()?,
        );
        Ok(Readings {
            at: self.runtime.now(),
            node,
            real,
            engines,
            store,
        })
    }
}
