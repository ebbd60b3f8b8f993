//! The figures of each role at a size, with their budgets.

use crate::capacity::measurements::Measurements;
use crate::capacity::model::{figure, slope, Amount};
use crate::capacity::target::{budget, Target};
use crate::capacity::CapacityError;
use crate::scale::sweep::Quantity;
use serde::Serialize;

/// Bytes of the IP and TCP headers of a segment, with the timestamps option.
const TCP_HEADERS: f64 = 52.0;
/// Bytes of the IP and UDP headers of a datagram.
const UDP_HEADERS: f64 = 28.0;
/// Fraction of the nodes that are restarted at the same time.
const RESTARTED_AT_ONCE: f64 = 0.1;
/// Members of a store cluster that tolerates the loss of two members.
const STORE_MEMBERS: f64 = 5.0;
/// Number of nodes that watch the list in the sweep of changes, which runs with the default number of nodes.
const WATCHERS_OF_CHANGES: f64 = 4.0;

/// How a figure was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// Measured directly.
    Measured,
    /// Extrapolated by measured slopes.
    Extrapolated,
    /// Calculated from other figures and from stated values.
    #[serde(rename = "reckoned")]
    Calculated,
    /// There is no mechanism for the operation; the figure is what the operation takes without one.
    #[serde(rename = "missing")]
    NoMechanism,
}

/// A figure of a role.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Role that the figure belongs to.
    pub role: &'static str,
    /// Name of the figure.
    pub what: &'static str,
    /// Value of the figure, in `unit`.
    pub value: f64,
    /// Unit of the value and of the budget; empty for a count.
    pub unit: &'static str,
    /// Upper limit of the value; `None` if there is no budget for it.
    pub budget: Option<f64>,
    /// How the figure was obtained.
    pub basis: Basis,
}

impl Row {
    /// Ratio of the value to its budget; above 1 the budget is exceeded.
    pub fn budget_ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// Estimates the figures at one size.
struct Estimator<'a> {
    measurements: &'a Measurements,
    target: &'a Target,
}

/// Returns all rows at a size.
///
/// # Errors
/// When the size is invalid, or the results of scale runs lack a figure.
pub fn rows(measurements: &Measurements, target: &Target) -> Result<Vec<Row>, CapacityError> {
    target.check()?;
    let estimator = Estimator {
        measurements,
        target,
    };
    let mut rows = estimator.node_control()?;
    rows.extend(estimator.node_requests()?);
    rows.extend(estimator.engine()?);
    rows.extend(estimator.store()?);
    rows.extend(estimator.times()?);
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

/// Returns the rows of a process whose counters are not split by part. `of` estimates a figure by its name.
fn usage(
    role: &'static str,
    of: impl Fn(&str) -> Result<f64, CapacityError>,
) -> Result<Vec<Row>, CapacityError> {
    let basis = Basis::Extrapolated;
    let bytes = of("all.bytes_in")? + of("all.bytes_out")?;
    Ok(vec![
        row(
            role,
            "processor",
            (of("core_percent")?, PERCENT),
            None,
            basis,
        ),
        row(
            role,
            "memory",
            (of("resident_kib")? / 1_024.0, "MiB"),
            None,
            basis,
        ),
        row(role, "descriptors", (of("descriptors")?, ""), None, basis),
        row(
            role,
            "bytes without headers",
            (bytes / 1_000.0, "kB/s"),
            None,
            basis,
        ),
    ])
}

const PERCENT: &str = "% of a core";

impl Estimator<'_> {
    /// The quantities that determine the resource use of a node without requests, with their values.
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

    /// Bytes per second of a part of a node, both directions together: first the payload alone, then with headers and bare
    /// acknowledgements.
    fn node_bytes(&self, part: &str, headers: f64) -> Result<(f64, f64), CapacityError> {
        let payload =
            self.node(&format!("{part}.bytes_in"))? + self.node(&format!("{part}.bytes_out"))?;
        let (came, went) = (
            self.node(&format!("{part}.messages_in"))?,
            self.node(&format!("{part}.messages_out"))?,
        );
        // A received TCP segment is acknowledged by a segment of its own unless data is sent at that moment. This counts an
        // acknowledgement for every received message.
        let acknowledgements = if headers == TCP_HEADERS { came } else { 0.0 };
        Ok((
            payload,
            payload + headers * (came + went + acknowledgements),
        ))
    }

    fn node_control(&self) -> Result<Vec<Row>, CapacityError> {
        let role = "node, control";
        let kilobytes = |bytes: f64| bytes / 1_000.0;
        let (engines, engines_wire) = self.node_bytes("engines", TCP_HEADERS)?;
        let (list, list_wire) = self.node_bytes("list", TCP_HEADERS)?;
        let (peers, peers_wire) = self.node_bytes("peers", UDP_HEADERS)?;
        let core = self.node("core_percent")?;
        let connections_share = |name| {
            Ok::<f64, CapacityError>(
                slope(self.measurements, Quantity::Connections, "node", name)?
                    * self.target.engines,
            )
        };
        let memory = self.node("resident_kib")? / 1_024.0;
        let memory_of_connections = connections_share("resident_kib")? / 1_024.0;
        let basis = Basis::Extrapolated;
        Ok(vec![
            row(
                role,
                "processor",
                (core, PERCENT),
                Some(budget::CORE_PERCENT),
                basis,
            ),
            row(
                role,
                "- of it connections",
                (connections_share("core_percent")?, PERCENT),
                None,
                basis,
            ),
            row(
                role,
                "memory",
                (memory, "MiB"),
                Some(budget::MEMORY_MIB),
                basis,
            ),
            row(
                role,
                "- of it connections",
                (memory_of_connections, "MiB"),
                None,
                basis,
            ),
            row(
                role,
                "descriptors",
                (self.node("descriptors")?, ""),
                None,
                basis,
            ),
            row(
                role,
                "bytes without headers",
                (kilobytes(engines + list + peers), "kB/s"),
                Some(budget::KILOBYTES_PER_SECOND),
                basis,
            ),
            row(
                role,
                "- of it pings of connections",
                (kilobytes(engines), "kB/s"),
                None,
                basis,
            ),
            row(
                role,
                "- of it peers",
                (kilobytes(peers), "kB/s"),
                None,
                basis,
            ),
            row(
                role,
                "- of it the list",
                (kilobytes(list), "kB/s"),
                None,
                basis,
            ),
            row(
                role,
                "bytes with headers",
                (kilobytes(engines_wire + list_wire + peers_wire), "kB/s"),
                Some(budget::KILOBYTES_PER_SECOND),
                Basis::Calculated,
            ),
            row(
                role,
                "messages to and from engines",
                (self.messages("engines")?, "/s"),
                None,
                basis,
            ),
        ])
    }

    fn messages(&self, part: &str) -> Result<f64, CapacityError> {
        Ok(self.node(&format!("{part}.messages_in"))?
            + self.node(&format!("{part}.messages_out"))?)
    }

    /// Resource use of requests in addition to control traffic: only the growth with the rate of requests.
    fn node_requests(&self) -> Result<Vec<Row>, CapacityError> {
        let role = "node, requests";
        let rate = self.target.rate_per_node();
        let basis = Basis::Extrapolated;
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
                basis,
            ),
            row(
                role,
                "- of it decisions",
                (of("module.busy_percent")?, PERCENT),
                None,
                basis,
            ),
            row(
                role,
                "- of it the driver",
                (of("driver.busy_percent")?, PERCENT),
                None,
                basis,
            ),
            row(
                role,
                "- of it clients' connections",
                (of("clients.busy_percent")?, PERCENT),
                None,
                basis,
            ),
            row(
                role,
                "- of it engines' connections",
                (of("engines.busy_percent")?, PERCENT),
                None,
                basis,
            ),
            row(
                role,
                "memory",
                (of("resident_kib")? / 1_024.0, "MiB"),
                None,
                basis,
            ),
            row(
                role,
                "bytes to and from clients",
                (clients / 1_000.0, "kB/s"),
                None,
                basis,
            ),
            row(
                role,
                "bytes to and from engines",
                (engines / 1_000.0, "kB/s"),
                None,
                basis,
            ),
        ])
    }

    /// Resource use of an engine for its ends of the nodes' connections and for its registration.
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

    /// Resource use of the store of the engine list. Each change is sent to every node, so the cost of a change is
    /// proportional to the number of nodes.
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

    /// Durations of operations, as measured in the whole run.
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
