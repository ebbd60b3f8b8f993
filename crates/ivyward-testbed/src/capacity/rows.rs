//! The figures of each role at a size, against the budgets.

use crate::capacity::measurements::Measurements;
use crate::capacity::model::{figure, slope, Amount};
use crate::capacity::target::{budget, Target};
use crate::capacity::CapacityError;
use crate::scale::sweep::Quantity;
use serde::Serialize;

/// Bytes of IP and TCP headers, with timestamps, of each segment; and of IP and UDP headers of each datagram.
const TCP_HEADERS: f64 = 52.0;
const UDP_HEADERS: f64 = 28.0;
/// Of the nodes, so many in a hundred are restarted at once.
const RESTARTED_AT_ONCE: f64 = 0.1;
/// Members of a store that bears the loss of two.
const STORE_MEMBERS: f64 = 5.0;
/// Nodes of a sweep beside those that it varies: in the sweep of changes so many watch the list.
const WATCHERS_OF_CHANGES: f64 = 4.0;

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// Measured as it stands.
    Measured,
    /// Worked out from slopes that were measured.
    Extrapolated,
    /// Reckoned from other figures and from what is stated.
    #[serde(rename = "reckoned")]
    Calculated,
    /// There is no mechanism; the figure is what it takes without one.
    #[serde(rename = "missing")]
    NoMechanism,
}

/// A figure of a role.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Which role.
    pub role: &'static str,
    /// What it is a figure of.
    pub what: &'static str,
    /// How much.
    pub value: f64,
    /// Of what.
    pub unit: &'static str,
    /// How much it may be.
    pub budget: Option<f64>,
    /// Where it comes from.
    pub basis: Basis,
}

impl Row {
    /// How many times its budget it is.
    pub fn over_budget(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// Works figures out at one size.
struct Worker<'a> {
    measurements: &'a Measurements,
    target: &'a Target,
}

/// All rows at a size.
///
/// # Errors
/// When the size cannot be, or a figure was not kept.
pub fn rows(measurements: &Measurements, target: &Target) -> Result<Vec<Row>, CapacityError> {
    target.check()?;
    let worker = Worker {
        measurements,
        target,
    };
    let mut rows = worker.node_control()?;
    rows.extend(worker.node_requests()?);
    rows.extend(worker.engine()?);
    rows.extend(worker.store()?);
    rows.extend(worker.times()?);
    Ok(rows)
}

fn row(
    role: &'static str,
    what: &'static str,
    (value, unit): (f64, &'static str),
    budget: Option<f64>,
    basis: Basis,
) -> Row {
    Row {
        role,
        what,
        value,
        unit,
        budget,
        basis,
    }
}

/// What a process whose counters are not split uses, by a function that works its figures out.
fn usage(
    role: &'static str,
    of: impl Fn(&str) -> Result<f64, CapacityError>,
) -> Result<Vec<Row>, CapacityError> {
    let part = Basis::Extrapolated;
    let bytes = of("all.bytes_in")? + of("all.bytes_out")?;
    Ok(vec![
        row(
            role,
            "processor",
            (of("core_percent")?, PERCENT),
            None,
            part,
        ),
        row(
            role,
            "memory",
            (of("resident_kib")? / 1_024.0, "MiB"),
            None,
            part,
        ),
        row(role, "descriptors", (of("descriptors")?, ""), None, part),
        row(
            role,
            "bytes without headers",
            (bytes / 1_000.0, "kB/s"),
            None,
            part,
        ),
    ])
}

const PERCENT: &str = "% of a core";

impl Worker<'_> {
    /// What a node without requests has of each quantity.
    fn control_amounts(&self) -> [Amount; 6] {
        let target = self.target;
        [
            (Quantity::Connections, target.engines),
            (Quantity::Nodes, target.nodes),
            (Quantity::Engines, target.engines),
            (Quantity::Tenants, target.tenants),
            (Quantity::Classes, target.classes),
            (Quantity::Changes, target.changes_per_hour()),
        ]
    }

    fn node(&self, name: &str) -> Result<f64, CapacityError> {
        figure(
            self.measurements,
            Quantity::Nodes,
            "node",
            name,
            &self.control_amounts(),
        )
    }

    /// Bytes of a part of a node, both ways together: its payload, and with headers and bare acknowledgements.
    fn node_bytes(&self, part: &str, headers: f64) -> Result<(f64, f64), CapacityError> {
        let payload =
            self.node(&format!("{part}.bytes_in"))? + self.node(&format!("{part}.bytes_out"))?;
        let (came, went) = (
            self.node(&format!("{part}.messages_in"))?,
            self.node(&format!("{part}.messages_out"))?,
        );
        // What comes is acknowledged by a segment of its own unless something goes out just then.
        let acknowledgements = if headers == TCP_HEADERS { came } else { 0.0 };
        Ok((
            payload,
            payload + headers * (came + went + acknowledgements),
        ))
    }

    fn node_control(&self) -> Result<Vec<Row>, CapacityError> {
        let role = "node, control";
        let kib = |bytes: f64| bytes / 1_000.0;
        let (engines, engines_wire) = self.node_bytes("engines", TCP_HEADERS)?;
        let (list, list_wire) = self.node_bytes("list", TCP_HEADERS)?;
        let (peers, peers_wire) = self.node_bytes("peers", UDP_HEADERS)?;
        let core = self.node("core_percent")?;
        let of_connections = |name| {
            Ok::<f64, CapacityError>(
                slope(self.measurements, Quantity::Connections, "node", name)?
                    * self.target.engines,
            )
        };
        let memory = self.node("resident_kib")? / 1_024.0;
        let memory_of_connections = of_connections("resident_kib")? / 1_024.0;
        let part = Basis::Extrapolated;
        Ok(vec![
            row(
                role,
                "processor",
                (core, PERCENT),
                Some(budget::CORE_PERCENT),
                part,
            ),
            row(
                role,
                "- of it connections",
                (of_connections("core_percent")?, PERCENT),
                None,
                part,
            ),
            row(
                role,
                "memory",
                (memory, "MiB"),
                Some(budget::MEMORY_MIB),
                part,
            ),
            row(
                role,
                "- of it connections",
                (memory_of_connections, "MiB"),
                None,
                part,
            ),
            row(
                role,
                "descriptors",
                (self.node("descriptors")?, ""),
                None,
                part,
            ),
            row(
                role,
                "bytes without headers",
                (kib(engines + list + peers), "kB/s"),
                Some(budget::KILOBYTES_PER_SECOND),
                part,
            ),
            row(
                role,
                "- of it pings of connections",
                (kib(engines), "kB/s"),
                None,
                part,
            ),
            row(role, "- of it peers", (kib(peers), "kB/s"), None, part),
            row(role, "- of it the list", (kib(list), "kB/s"), None, part),
            row(
                role,
                "bytes with headers",
                (kib(engines_wire + list_wire + peers_wire), "kB/s"),
                Some(budget::KILOBYTES_PER_SECOND),
                Basis::Calculated,
            ),
            row(
                role,
                "messages to and from engines",
                (self.messages("engines")?, "/s"),
                None,
                part,
            ),
        ])
    }

    fn messages(&self, part: &str) -> Result<f64, CapacityError> {
        Ok(self.node(&format!("{part}.messages_in"))?
            + self.node(&format!("{part}.messages_out"))?)
    }

    /// What requests take beside control: the growth by requests alone.
    fn node_requests(&self) -> Result<Vec<Row>, CapacityError> {
        let role = "node, requests";
        let rate = self.target.rate_per_node();
        let part = Basis::Extrapolated;
        let of = |name: &str| {
            Ok::<f64, CapacityError>(
                slope(self.measurements, Quantity::Requests, "real", name)? * rate,
            )
        };
        let clients = of("clients.bytes_in")? + of("clients.bytes_out")?;
        let engines = of("engines.bytes_in")? + of("engines.bytes_out")?;
        Ok(vec![
            row(
                role,
                "processor",
                (of("core_percent")?, PERCENT),
                None,
                part,
            ),
            row(
                role,
                "- of it decisions",
                (of("module.busy_percent")?, PERCENT),
                None,
                part,
            ),
            row(
                role,
                "- of it the driver",
                (of("driver.busy_percent")?, PERCENT),
                None,
                part,
            ),
            row(
                role,
                "- of it clients' connections",
                (of("clients.busy_percent")?, PERCENT),
                None,
                part,
            ),
            row(
                role,
                "- of it engines' connections",
                (of("engines.busy_percent")?, PERCENT),
                None,
                part,
            ),
            row(
                role,
                "memory",
                (of("resident_kib")? / 1_024.0, "MiB"),
                None,
                part,
            ),
            row(
                role,
                "bytes to and from clients",
                (clients / 1_000.0, "kB/s"),
                None,
                part,
            ),
            row(
                role,
                "bytes to and from engines",
                (engines / 1_000.0, "kB/s"),
                None,
                part,
            ),
        ])
    }

    /// What an engine's end of the nodes' connections takes, and its registration.
    fn engine(&self) -> Result<Vec<Row>, CapacityError> {
        let role = "engine, control";
        let nodes = self.target.nodes;
        let of = |name: &str| {
            let each_connection = slope(self.measurements, Quantity::Connections, "engines", name)?;
            let registration = slope(self.measurements, Quantity::Engines, "engines", name)?;
            Ok::<f64, CapacityError>(each_connection * nodes + registration)
        };
        usage(role, of)
    }

    /// What the list's store takes. Each change goes to every node, so that slope grows with them.
    fn store(&self) -> Result<Vec<Row>, CapacityError> {
        let role = "store";
        let target = self.target;
        let amounts = [
            (Quantity::Nodes, target.nodes),
            (Quantity::Engines, target.engines),
        ];
        let of = |name: &str| {
            let at_rest = figure(self.measurements, Quantity::Nodes, "store", name, &amounts)?;
            let each_change =
                slope(self.measurements, Quantity::Changes, "store", name)? / WATCHERS_OF_CHANGES;
            Ok::<f64, CapacityError>(
                at_rest + each_change * target.nodes * target.changes_per_hour(),
            )
        };
        let mut rows = usage(role, of)?;
        rows.push(row(
            "machines set aside",
            "members of the store",
            (STORE_MEMBERS, ""),
            Some(budget::CONTROL_MACHINES),
            Basis::Calculated,
        ));
        Ok(rows)
    }

    /// How long things take, as the whole run saw them.
    fn times(&self) -> Result<Vec<Row>, CapacityError> {
        let took = |part: &str, what: &str| {
            let missing = || CapacityError::Missing {
                quantity: "the whole run",
                role: part.to_owned(),
                figure: what.to_owned(),
            };
            let part = self.measurements.part(part)?;
            part.took_ms
                .get(what)
                .map(|ms| ms / 1e3)
                .ok_or_else(missing)
        };
        let seconds = budget::CHANGE_SECONDS;
        let first_token = self
            .measurements
            .part("requests")?
            .clients
            .as_ref()
            .map_or(0.0, |c| c.first_token_ms[1]);
        let restart = took("daemon restarted", "its end")? + took("daemon restarted", "its start")?;
        let rounds = (1.0 / RESTARTED_AT_ONCE).ceil();
        let measured = Basis::Measured;
        Ok(vec![
            row(
                "times",
                "a change of the list known everywhere",
                (took("a day", "the slowest change")?, "s"),
                Some(seconds),
                measured,
            ),
            row(
                "times",
                "engines of a lost zone known as gone",
                (took("zone lost", "departures")?, "s"),
                None,
                measured,
            ),
            row(
                "times",
                "a change behind a restart of the store",
                (took("store restarted", "a change behind it")?, "s"),
                Some(seconds),
                measured,
            ),
            row(
                "times",
                "other settings in force, by restarting a tenth of the nodes at a time",
                (restart * rounds, "s"),
                Some(seconds),
                Basis::NoMechanism,
            ),
            row(
                "times",
                "first token, for 95 in 100, quick engines",
                (first_token, "ms"),
                Some(budget::FIRST_TOKEN_MS),
                measured,
            ),
            row(
                "times",
                "between two requests of a node to an engine",
                (self.target.request_interval_per_pair(), "s"),
                None,
                Basis::Calculated,
            ),
        ])
    }
}
