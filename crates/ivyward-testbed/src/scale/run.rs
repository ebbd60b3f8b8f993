//! The parts of a run, one after the other, and what came of them.

use crate::scale::cluster::{Cluster, Programs, Readings};
use crate::scale::load::{ClientTotals, Load};
use crate::scale::message::StubCommand;
use crate::scale::size::Size;
use crate::scale::usage::{Rates, Reading};
use crate::scale::ScaleError;
use ivyward_runtime::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Changes of configuration on an ordinary day, as the operators plan for.
const CHANGES_PER_DAY: u64 = 620;
/// Seconds in which requests reach their steady state: longer than an answer of 408 tokens takes.
const WARM_UP_SECONDS: u64 = 14;
/// Time that connections take to come to rest after they were opened.
const SETTLE_TIME: Micros = 1_500_000;

/// What each role used, a second. Roles are `node` (the measured hollow one), `real` (the mean of the daemons), `engines`
/// (their process) and `store`.
pub type Roles = BTreeMap<String, Rates>;

/// A part of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// What each role used.
    pub roles: Roles,
    /// What clients saw, if there were any.
    pub clients: Option<ClientTotals>,
    /// How long things took, in milliseconds; most of them until every node knew of something.
    pub took_ms: BTreeMap<String, f64>,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// How large it was.
    pub size: Size,
    /// Its parts, in order.
    pub parts: Vec<Part>,
}

impl Readings {
    /// What each role used from an earlier reading to this one.
    pub fn since(&self, before: &Readings) -> Roles {
        let seconds = (self.at - before.at) as f64 / 1e6;
        let rates = |now: &Reading, before: &Reading| now.since(before, seconds);
        let mut roles = Roles::from([
            ("node".to_owned(), rates(&self.node, &before.node)),
            ("engines".to_owned(), rates(&self.engines, &before.engines)),
            ("store".to_owned(), rates(&self.store, &before.store)),
        ]);
        let each: Vec<Rates> = self
            .real
            .iter()
            .zip(&before.real)
            .map(|(now, b)| rates(now, b))
            .collect();
        if !each.is_empty() {
            roles.insert("real".to_owned(), Rates::mean(&each));
        }
        roles
    }
}

/// Plays all parts of a run.
///
/// # Errors
/// When the size is out of bounds, or a process does something else than asked.
pub fn run(size: Size, programs: Programs) -> Result<Report, ScaleError> {
    let mut cluster = Cluster::start(size, programs)?;
    let joined = cluster.join_duration;
    let mut runner = Runner {
        cluster: &mut cluster,
        size,
        load: None,
        parts: Vec::new(),
    };
    runner.run_part("join", [("all engines".to_owned(), joined)].into(), |_| {
        Ok(())
    })?;
    runner.cluster.sleep(SETTLE_TIME);
    runner.run_part("quiet", BTreeMap::new(), Runner::wait)?;
    runner.begin_load()?;
    runner.run_part("requests", BTreeMap::new(), Runner::wait)?;
    runner.zone()?;
    runner.store()?;
    runner.day()?;
    runner.restart()?;
    Ok(Report {
        size,
        parts: runner.parts,
    })
}

struct Runner<'a> {
    cluster: &'a mut Cluster,
    size: Size,
    load: Option<Load>,
    parts: Vec<Part>,
}

type Known = BTreeMap<String, Micros>;

impl Runner<'_> {
    fn wait(&mut self) -> Result<(), ScaleError> {
        self.cluster.sleep(self.size.seconds * 1_000_000);
        Ok(())
    }

    fn begin_load(&mut self) -> Result<(), ScaleError> {
        if self.size.rate > 0.0 && self.size.real_nodes > 0 {
            self.load = Some(Load::start(
                self.cluster,
                self.size.rate,
                self.size.sessions,
            )?);
            let warm_up = WARM_UP_SECONDS.min(3 * self.size.seconds);
            self.cluster.sleep(warm_up * 1_000_000);
            self.clients()?;
        }
        Ok(())
    }

    fn clients(&self) -> Result<Option<ClientTotals>, ScaleError> {
        self.load.as_ref().map(Load::take).transpose()
    }

    /// Plays a part and measures it. `known` may grow while it is played.
    fn run_part(
        &mut self,
        name: &str,
        known: Known,
        part: impl FnOnce(&mut Self) -> Result<(), ScaleError>,
    ) -> Result<(), ScaleError> {
        self.measure_part(name, |runner| part(runner).map(|()| known))
    }

    fn measure_part(
        &mut self,
        name: &str,
        part: impl FnOnce(&mut Self) -> Result<Known, ScaleError>,
    ) -> Result<(), ScaleError> {
        let before = self.cluster.readings()?;
        let known = part(self)?;
        let roles = self.cluster.readings()?.since(&before);
        let clients = self.clients()?;
        let took_ms = known
            .into_iter()
            .map(|(what, took)| (what, took as f64 / 1e3))
            .collect();
        self.parts.push(Part {
            name: name.to_owned(),
            roles,
            clients,
            took_ms,
        });
        Ok(())
    }

    /// A zone's machines are gone, and are back.
    fn zone(&mut self) -> Result<(), ScaleError> {
        self.measure_part("zone lost", |runner| {
            let left = runner.size.engines - runner.cluster.zone_engines();
            runner.cluster.stop_zone();
            let took = runner.cluster.await_engines(left)?;
            runner.wait()?;
            Ok([("departures".to_owned(), took)].into())
        })?;
        self.measure_part("zone back", |runner| {
            runner.cluster.start_zone()?;
            let took = runner.cluster.await_engines(runner.size.engines)?;
            runner.wait()?;
            Ok([("arrivals".to_owned(), took)].into())
        })
    }

    /// The store dies, and is back half a second later.
    fn store(&mut self) -> Result<(), ScaleError> {
        self.measure_part("store restarted", |runner| {
            runner.cluster.store.send(&StubCommand::Restart)?;
            let took = runner.cluster.change(1)?;
            runner.wait()?;
            Ok([("a change behind it".to_owned(), took)].into())
        })
    }

    /// An ordinary day's changes and restarts, within the part's seconds.
    fn day(&mut self) -> Result<(), ScaleError> {
        self.measure_part("a day", |runner| {
            let (seconds, mut slowest) = (runner.size.seconds, 0);
            runner.cluster.stop_zone();
            runner.cluster.start_zone()?;
            let arrivals = runner.cluster.await_engines(runner.size.engines)?;
            for second in 0..seconds {
                let due =
                    CHANGES_PER_DAY * (second + 1) / seconds - CHANGES_PER_DAY * second / seconds;
                slowest = slowest.max(runner.cluster.change(due)?);
                runner.cluster.sleep(500_000);
            }
            Ok([
                ("restarts".to_owned(), arrivals),
                ("the slowest change".to_owned(), slowest),
            ]
            .into())
        })
    }

    /// A daemon ends in order while requests run through it, and is started again: what a change of its settings takes.
    fn restart(&mut self) -> Result<(), ScaleError> {
        if self.cluster.real.is_empty() {
            return Ok(());
        }
        self.measure_part("daemon restarted", |runner| {
            let (ended, started) = runner.cluster.restart_daemon()?;
            Ok([
                ("its end".to_owned(), ended),
                ("its start".to_owned(), started),
            ]
            .into())
        })
    }
}
