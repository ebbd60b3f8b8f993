//! Carries out the parts of a scale run in order and measures each.

use crate::scale::cluster::{Cluster, Programs, Readings};
use crate::scale::load::{ClientTotals, Load};
use crate::scale::message::StubCommand;
use crate::scale::size::Size;
use crate::scale::usage::{Rates, Reading};
use crate::scale::ScaleError;
use ivyward_runtime::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Configuration changes per day that the operators plan for.
const CHANGES_PER_DAY: u64 = 620;
/// Time after which the load of requests is steady, in seconds: longer than an answer of 408 tokens takes.
const WARM_UP_SECONDS: u64 = 14;
/// Time until the traffic of opening connections has ended, in microseconds.
const SETTLE_TIME: Micros = 1_500_000;

/// Resource use by role, per second where it is a rate. The roles are `node` (the measured stub node), `real` (the mean of
/// the daemons), `engines` (the process of the stub engines) and `store`.
pub type Roles = BTreeMap<String, Rates>;

/// The results of one part of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Name of the part, as in reports.
    pub name: String,
    /// Resource use of each role.
    pub roles: Roles,
    /// Results of the requests; `None` in a part without load.
    pub clients: Option<ClientTotals>,
    /// Durations in milliseconds, by name: mostly the time until every node knew of a change.
    pub took_ms: BTreeMap<String, f64>,
}

/// The results of a whole run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Size of the run.
    pub size: Size,
    /// The parts, in the order in which they were carried out.
    pub parts: Vec<Part>,
}

impl Readings {
    /// Resource use of each role between the readings `before` and these.
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

/// Starts the processes and carries out all parts of a run.
///
/// # Errors
/// When the size is invalid or exceeds a limit, or a process fails.
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
    runner.start_load()?;
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

/// Durations in microseconds, by name.
type Durations = BTreeMap<String, Micros>;

impl Runner<'_> {
    fn wait(&mut self) -> Result<(), ScaleError> {
        self.cluster.sleep(self.size.seconds * 1_000_000);
        Ok(())
    }

    fn start_load(&mut self) -> Result<(), ScaleError> {
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

    /// Carries out and measures a part whose durations are known beforehand.
    fn run_part(
        &mut self,
        name: &str,
        durations: Durations,
        part: impl FnOnce(&mut Self) -> Result<(), ScaleError>,
    ) -> Result<(), ScaleError> {
        self.measure_part(name, |runner| part(runner).map(|()| durations))
    }

    fn measure_part(
        &mut self,
        name: &str,
        part: impl FnOnce(&mut Self) -> Result<Durations, ScaleError>,
    ) -> Result<(), ScaleError> {
        let before = self.cluster.readings()?;
        let durations = part(self)?;
        let roles = self.cluster.readings()?.since(&before);
        let clients = self.clients()?;
        let took_ms = durations
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

    /// Stops the engines of a zone, as if its machines were lost, and starts them again.
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

    /// Crashes the store and restarts it half a second later.
    fn store(&mut self) -> Result<(), ScaleError> {
        self.measure_part("store restarted", |runner| {
            runner.cluster.store.send(&StubCommand::Restart)?;
            let took = runner.cluster.change(1)?;
            runner.wait()?;
            Ok([("a change behind it".to_owned(), took)].into())
        })
    }

    /// Makes the configuration changes and the restarts of a day within the duration of the part.
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

    /// Restarts a daemon gracefully while it serves requests, which is what a change of its settings takes.
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
