//! All processes of a run: the store, hollow engines and nodes, the measured node, and daemons that take requests.

use crate::cluster::process::Process;
use crate::local_cluster::ivyward_flags;
use crate::scale::child::Hollow;
use crate::scale::hollow::{request_classes, tenants, LEASE};
use crate::scale::message::{Order, Role};
use crate::scale::size::Size;
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
const KNOWN_WITHIN: Micros = 60_000_000;
/// How often they are asked.
const LOOK: Micros = 20_000;

/// The programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `ivyward-testbed`, for hollow processes.
    pub lab: PathBuf,
    /// `ivywardd`.
    pub daemon: PathBuf,
}

/// The processes of a run. All end with it.
pub struct Stage {
    pub(crate) runtime: Arc<SmolRuntime>,
    size: Size,
    programs: Programs,
    store_address: SocketAddr,
    /// Daemons that take requests.
    pub real: Vec<Process>,
    /// A process with one hollow node, which is measured where there is no daemon.
    pub measured: Hollow,
    /// The other hollow nodes.
    pub others: Option<Hollow>,
    /// Engines of the zone that may be lost.
    zone: Option<Hollow>,
    /// All other engines.
    pub engines: Hollow,
    /// The store.
    pub store: Hollow,
    /// How long it took until every node knew all engines, once their processes ran.
    pub joined_after: Micros,
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

impl Stage {
    /// Starts all processes, and waits until every node knows all engines.
    ///
    /// # Errors
    /// When the size is out of bounds, or a process does not come up.
    pub fn start(size: Size, programs: Programs) -> Result<Stage, ScaleError> {
        size.check()?;
        let runtime = SmolRuntime::start(1, size.seed);
        let store = Hollow::start(&programs.lab, &Role::Store)?;
        let store_address = store
            .address
            .ok_or_else(|| ScaleError::Process("the store says no address".into()))?;
        let lab = &programs.lab;
        let zone_count = size.engines / ZONES;
        let rest = size.engines - zone_count;
        let engines = Hollow::start(
            lab,
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
        let measured = Hollow::start(lab, &nodes(1, 1))?;
        let others = match size.nodes {
            1 => None,
            more => Some(Hollow::start(lab, &nodes(2, more - 1))?),
        };
        let mut stage = Stage {
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
            joined_after: 0,
        };
        stage.bring_zone_back()?;
        for number in 0..stage.size.real_nodes {
            let real = stage.daemon(number)?;
            stage.real.push(real);
        }
        stage.joined_after = stage.await_engines(stage.size.engines)?;
        stage
            .measured
            .each(&Order::Connect(stage.size.connections))?;
        Ok(stage)
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
    pub fn zone_count(&self) -> u64 {
        self.size.engines / ZONES
    }

    /// The zone's machines are gone.
    pub fn lose_zone(&mut self) {
        self.zone = None;
    }

    /// The zone's machines are back, under their ids, at other ports.
    ///
    /// # Errors
    /// When their process does not come up.
    pub fn bring_zone_back(&mut self) -> Result<(), ScaleError> {
        let count = self.zone_count();
        if count > 0 {
            let first = self.size.engines - count + 1;
            let role = Role::Engines {
                first,
                count,
                store: self.store_address,
            };
            self.zone = Some(Hollow::start(&self.programs.lab, &role)?);
        }
        Ok(())
    }

    /// Waits until every node knows so many engines; how long that took.
    ///
    /// # Errors
    /// When it does not come about.
    pub fn await_engines(&mut self, engines: u64) -> Result<Micros, ScaleError> {
        self.await_each(&Order::Known, "ivyward_engines ", |known| known == engines)
    }

    /// Changes so many engines' records, and waits until every node knows the last change; how long that took.
    ///
    /// # Errors
    /// When it does not come about.
    pub fn change(&mut self, count: u64) -> Result<Micros, ScaleError> {
        self.store.tell(&Order::Change(count))?;
        let revision = self
            .store
            .each(&Order::Revision)?
            .first()
            .copied()
            .unwrap_or(0);
        self.await_each(&Order::Revision, "ivyward_list_revision ", |known| {
            known >= revision
        })
    }

    fn await_each(
        &mut self,
        order: &Order,
        metric: &str,
        holds: impl Fn(u64) -> bool,
    ) -> Result<Micros, ScaleError> {
        let began = self.runtime.now();
        loop {
            let each = self.each_node(order, metric)?;
            let took = self.runtime.now() - began;
            if each.iter().all(|value| holds(*value)) {
                return Ok(took);
            }
            if took > KNOWN_WITHIN {
                let text = format!(
                    "after {} s nodes answer {each:?} to {order:?}",
                    took / 1_000_000
                );
                return Err(ScaleError::Process(text));
            }
            self.rest(LOOK);
        }
    }

    /// What each node says: hollow ones to an order, daemons by a metric.
    fn each_node(&mut self, order: &Order, metric: &str) -> Result<Vec<u64>, ScaleError> {
        let mut each = self.measured.each(order)?;
        if let Some(others) = &mut self.others {
            each.extend(others.each(order)?);
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
    pub fn rest(&self, span: Micros) {
        self.runtime.block_on(self.runtime.sleep(span));
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
