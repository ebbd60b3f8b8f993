//! One quantity varied alone, and the lines through what each role used.

use crate::scale::cluster::{Cluster, Programs};
use crate::scale::fit::{line, Fit};
use crate::scale::load::Load;
use crate::scale::run::Roles;
use crate::scale::size::Size;
use crate::scale::ScaleError;
use ivyward_runtime::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time that a cluster takes to come to rest.
const SETTLE_TIME: Micros = 2_500_000;
/// Time that requests take to reach their steady state.
const WARM_UP: Micros = 12_000_000;
/// Seconds that requests are measured.
const REQUEST_SECONDS: u64 = 8;

/// A quantity that is varied.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Nodes that know each other.
    Nodes,
    /// Engines in the list.
    Engines,
    /// Connections of a node to engines, without requests.
    Connections,
    /// Tenants that a node is told of.
    Tenants,
    /// Request classes that a node is told of.
    Classes,
    /// Sessions that requests belong to.
    Sessions,
    /// Requests a second at a node.
    Requests,
    /// Changes of the list an hour.
    Changes,
}

impl Quantity {
    /// All of them.
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

    /// Its name, as in flags and files.
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

    /// Sizes through which the line goes.
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

    /// Sizes that are left out of the line and predicted by it.
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

    /// The size of a run with so much of it, all else as it is by default.
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

/// A size of a sweep as it was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// How much of the quantity.
    pub value: u64,
    /// Which play of this size, from 1 on.
    #[serde(rename = "play")]
    pub repetition: u64,
    /// It was left out of the lines.
    pub left_out: bool,
    /// What each role used.
    pub roles: Roles,
}

/// A quantity varied alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sweep {
    /// Which.
    pub quantity: Quantity,
    /// All else of the size.
    pub base: Size,
    /// What was measured.
    pub points: Vec<Point>,
    /// The lines: by role, by figure.
    pub fits: BTreeMap<String, BTreeMap<String, Fit>>,
}

/// Measures one size.
///
/// # Errors
/// When it is out of bounds, or a process does something else than asked.
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

/// Measures all sizes of a quantity, `plays` times each, and draws the lines. `told` hears of each size before it begins.
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

/// Sizes with what was measured there: those that a line goes through, and those that are left out of it.
type Series = [Vec<(f64, f64)>; 2];

/// The lines through all figures of all roles.
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
