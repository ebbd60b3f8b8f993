//! All processes of a run: the store, hollow engines and nodes, the measured node, and daemons that take requests.

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

/// One engine of so many stands in the zone that is lost.
const ZONES: u64 = 16;
/// How long nodes may take to hear of all engines, in microseconds.
const CONVERGENCE_TIMEOUT: Micros = 60_000_000;
/// How often they are asked.
const POLL_INTERVAL: Micros = 20_000;

/// The programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `ivyward-testbed`, for hollow processes.
    pub testbed: PathBuf,
    /// `ivywardd`.
    pub daemon: PathBuf,
}

/// The processes of a run. All end with it.
pub struct Cluster {
    pub(crate) runtime: Arc<SmolRuntime>,
    size: Size,
    programs: Programs,
    store_address: SocketAddr,
    /// Daemons that take requests.
    pub real: Vec<Process>,
    /// A process with one hollow node, which is measured where there is no daemon.
    pub measured: StubProcess,
    /// The other hollow nodes.
    pub others: Option<StubProcess>,
    /// Engines of the zone that may be lost.
    zone: Option<StubProcess>,
    /// All other engines.
    pub engines: StubProcess,
    /// The store.
    pub store: StubProcess,
    /// How long it took until every node knew all engines, once their processes ran.
    pub join_duration: Micros,
}

/// What each role has used so far.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    /// When.
    pub at: Micros,
    /// The measured hollow node.
    pub node: Reading,
    /// The daemons, each.
    pub real: Vec<Reading>,
    /// Hollow engines outside the zone.
    pub engines: Reading,
    /// The store.
    pub store: Reading,
}

impl Cluster {
    /// Starts all processes, and waits until every node knows all engines.
    ///
    /// # Errors
    /// When the size is out of bounds, or a process does not come up.
    pub fn start(size: Size, programs: Programs) -> Result<Cluster, ScaleError> {
        size.check()?;
        let runtime = SmolRuntime::start(1, size.seed);
        let store = StubProcess::start(&programs.testbed, &Role::Store)?;
        let store_address = store
            .address
            .ok_or_else(|| ScaleError::Process("the store says no address".into()))?;
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
        // Hollow nodes speak to peers without a key, so daemons do as well.
        Process::start_without_key(&self.programs.daemon, &flags)
            .map_err(|e| ScaleError::Process(e.to_string()))
    }

    /// Ends the last daemon in order and starts it again; how long its end took, and how long its start until it knew all
    /// engines.
    ///
    /// # Errors
    /// When it does not come up again.
    pub fn restart_daemon(&mut self) -> Result<(Micros, Micros), ScaleError> {
        let Some(process) = self.real.pop() else {
            return Ok((0, 0));
        };
        let began = self.runtime.now();
        if !process.terminate() {
            return Err(ScaleError::Process("a daemon did not end well".into()));
        }
        let ended = self.runtime.now();
        let again = self.daemon(self.real.len() as u64)?;
        self.real.push(again);
        self.await_engines(self.size.engines)?;
        Ok((ended - began, self.runtime.now() - ended))
    }

    /// How many engines stand in the zone that may be lost.
    pub fn zone_engines(&self) -> u64 {
        self.size.engines / ZONES
    }

    /// The zone's machines are gone.
    pub fn stop_zone(&mut self) {
        self.zone = None;
    }

    /// The zone's machines are back, under their ids, at other ports.
    ///
    /// # Errors
    /// When their process does not come up.
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

    /// Waits until every node knows so many engines; how long that took.
    ///
    /// # Errors
    /// When it does not come about.
    pub fn await_engines(&mut self, engines: u64) -> Result<Micros, ScaleError> {
        self.await_all_nodes(&StubCommand::KnownEngines, "ivyward_engines ", |known| {
            known == engines
        })
    }

    /// Changes so many engines' records, and waits until every node knows the last change; how long that took.
    ///
    /// # Errors
    /// When it does not come about.
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
                    "after {} s nodes answer {each:?} to {command:?}",
                    took / 1_000_000
                );
                return Err(ScaleError::Process(text));
            }
            self.sleep(POLL_INTERVAL);
        }
    }

    /// What each node says: hollow ones to an order, daemons by a metric.
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

    /// What a daemon tells of itself.
    fn metrics(&self, daemon: &Process) -> Result<String, ScaleError> {
        let runtime: RuntimeRef = self.runtime.clone();
        let text = self
            .runtime
            .block_on(daemon.admin_get(&runtime, "/metrics"));
        text.map_err(ScaleError::io("asking a daemon"))
    }

    /// The run's clock.
    pub fn now(&self) -> Micros {
        self.runtime.now()
    }

    /// Lets a span go by.
    pub fn sleep(&self, duration: Micros) {
        self.runtime.block_on(self.runtime.sleep(duration));
    }

    /// What each role has used so far.
    ///
    /// # Errors
    /// When a process ended.
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
