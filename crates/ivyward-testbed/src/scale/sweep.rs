//! Varies one quantity, measures the resource use of each role at several sizes, and fits lines to the figures.

use crate::scale::cluster::{Cluster, Programs};
use crate::scale::fit::{line, Fit};
use crate::scale::load::Load;
use crate::scale::run::Roles;
use crate::scale::size::Size;
use crate::scale::ScaleError;
use ivyward_runtime::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time until the traffic of the start has ended, in microseconds.
const SETTLE_TIME: Micros = 2_500_000;
/// Time after which the load of requests is steady, in microseconds.
const WARM_UP: Micros = 12_000_000;
/// Duration of a measurement with requests, in seconds.
const REQUEST_SECONDS: u64 = 8;

/// A quantity that a sweep varies.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Stub nodes, which are peers of each other.
    Nodes,
    /// Engines in the engine list.
    Engines,
    /// Idle connections of a node to engines.
    Connections,
    /// Tenants in a node's settings.
    Tenants,
    /// Request classes in a node's settings.
    Classes,
    /// Sessions over which the requests are spread.
    Sessions,
    /// Requests per second at a daemon.
    Requests,
    /// Changes of the engine list per hour.
    Changes,
}

impl Quantity {
    /// All quantities.
    pub const ALL: [Quantity; 8] = [
        Quantity::Nodes,
        Quantity::Engines,
        Quantity::Connections,
        Quantity::Tenants,
        Quantity::Classes,
        Quantity::Sessions,
        Quantity::Requests,
        Quantity::Changes,
    ];

    /// Name of the quantity in flags and file names.
    pub fn name(self) -> &'static str {
        match self {
            Quantity::Nodes => "nodes",
            Quantity::Engines => "engines",
            Quantity::Connections => "connections",
            Quantity::Tenants => "tenants",
            Quantity::Classes => "classes",
            Quantity::Sessions => "sessions",
            Quantity::Requests => "requests",
            Quantity::Changes => "changes",
        }
    }

    /// Sizes at which the line is fitted.
    pub fn fitted(self) -> [u64; 4] {
        match self {
            Quantity::Nodes => [4, 16, 32, 64],
            Quantity::Engines => [60, 200, 400, 600],
            Quantity::Connections => [50, 150, 300, 500],
            Quantity::Tenants => [10, 700, 1_500, 3_000],
            Quantity::Classes => [2, 8, 16, 32],
            Quantity::Sessions => [10, 100, 300, 600],
            Quantity::Requests => [2, 4, 6, 9],
            Quantity::Changes => [0, 3_600, 7_200, 14_400],
        }
    }

    /// Sizes that are not used for the fit; the line's predictions are compared with the figures measured there.
    pub fn left_out(self) -> [u64; 2] {
        match self {
            Quantity::Nodes => [96, 128],
            Quantity::Engines => [850, 1_100],
            Quantity::Connections => [800, 1_100],
            Quantity::Tenants => [4_500, 5_500],
            Quantity::Classes => [48, 64],
            Quantity::Sessions => [900, 1_200],
            Quantity::Requests => [12, 15],
            Quantity::Changes => [21_600, 28_800],
        }
    }

    /// Size of a run with `value` of this quantity. All other values are the defaults of [`Size`], except that sweeps of
    /// sessions and requests add a daemon with load, and the sweep of connections has 1,100 engines.
    pub fn size(self, value: u64, seed: u64) -> Size {
        let base = Size {
            seed,
            ..Size::default()
        };
        let with_requests = Size {
            real_nodes: 1,
            rate: 4.0,
            seconds: REQUEST_SECONDS,
            ..base
        };
        match self {
            Quantity::Nodes => Size {
                nodes: value,
                ..base
            },
            Quantity::Engines => Size {
                engines: value,
                ..base
            },
            Quantity::Connections => Size {
                engines: 1_100,
                connections: value,
                ..base
            },
            Quantity::Tenants => Size {
                tenants: value,
                ..base
            },
            Quantity::Classes => Size {
                classes: value,
                ..base
            },
            Quantity::Sessions => Size {
                sessions: value,
                ..with_requests
            },
            Quantity::Requests => Size {
                rate: value as f64,
                ..with_requests
            },
            Quantity::Changes => Size {
                changes: value,
                ..base
            },
        }
    }
}

/// One measurement of a sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Value of the varied quantity.
    pub value: u64,
    /// Number of this measurement among those of the same size, from 1.
    #[serde(rename = "play")]
    pub repetition: u64,
    /// Whether the point is left out of the fit.
    pub left_out: bool,
    /// Resource use of each role.
    pub roles: Roles,
}

/// The results of a sweep, in which one quantity is varied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sweep {
    /// The varied quantity.
    pub quantity: Quantity,
    /// Size of the run at the smallest value of the quantity.
    pub base: Size,
    /// All measurements.
    pub points: Vec<Point>,
    /// The fitted lines, by role and by name of the figure.
    pub fits: BTreeMap<String, BTreeMap<String, Fit>>,
}

/// Starts a run of the given size and measures it for `size.seconds`.
///
/// # Errors
/// When the size is invalid or exceeds a limit, or a process fails.
pub fn measure(size: Size, programs: Programs) -> Result<Roles, ScaleError> {
    let mut cluster = Cluster::start(size, programs)?;
    cluster.sleep(SETTLE_TIME);
    let load = match size.rate > 0.0 {
        true => Some(Load::start(&cluster, size.rate, size.sessions)?),
        false => None,
    };
    if load.is_some() {
        cluster.sleep(WARM_UP);
    }
    let before = cluster.readings()?;
    let mut changed = 0;
    for second in 0..size.seconds {
        let due = size.changes * (second + 1) / 3_600;
        if due > changed {
            cluster.change(due - changed)?;
            changed = due;
        }
        let next = before.at + (second + 1) * 1_000_000;
        cluster.sleep(next.saturating_sub(cluster.now()));
    }
    Ok(cluster.readings()?.since(&before))
}

/// Measures all sizes of a quantity, `repetitions` times each, and fits the lines. Calls `before_size` with the value and
/// the number of the repetition before each measurement.
///
/// # Errors
/// As for [`measure`].
pub fn sweep(
    quantity: Quantity,
    repetitions: u64,
    programs: &Programs,
    mut before_size: impl FnMut(u64, u64),
) -> Result<Sweep, ScaleError> {
    let mut points = Vec::new();
    for repetition in 1..=repetitions {
        for (left_out, values) in [
            (false, &quantity.fitted()[..]),
            (true, &quantity.left_out()[..]),
        ] {
            for &value in values {
                before_size(value, repetition);
                let roles = measure(quantity.size(value, repetition), programs.clone())?;
                points.push(Point {
                    value,
                    repetition,
                    left_out,
                    roles,
                });
            }
        }
    }
    let fits = fits(&points);
    Ok(Sweep {
        quantity,
        base: quantity.size(quantity.fitted()[0], 1),
        points,
        fits,
    })
}

/// Points of size and figure: first those that the line is fitted to, then those that are left out of the fit.
type Series = [Vec<(f64, f64)>; 2];

/// Fits a line to each figure of each role.
pub fn fits(points: &[Point]) -> BTreeMap<String, BTreeMap<String, Fit>> {
    let mut series: BTreeMap<(String, String), Series> = BTreeMap::new();
    for point in points {
        for (role, rates) in &point.roles {
            for (figure, value) in rates.figures() {
                let of = series.entry((role.clone(), figure)).or_default();
                of[usize::from(point.left_out)].push((point.value as f64, value));
            }
        }
    }
    let mut fits: BTreeMap<String, BTreeMap<String, Fit>> = BTreeMap::new();
    for ((role, figure), [fitted, left_out]) in series {
        if let Some(mut fit) = line(&fitted) {
            fit.predict(&left_out);
            fits.entry(role).or_default().insert(figure, fit);
        }
    }
    fits
}
