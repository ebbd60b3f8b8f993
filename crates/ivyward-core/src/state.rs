//! What the decision module remembers: plain types, fading sums and hashes. Nothing here decides anything.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// A sum of values and their count that fade over a span.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fading {
    pub(crate) sum: f64,
    pub(crate) count: f64,
    pub(crate) at: Micros,
}

impl Fading {
    /// The sum and the count as they stand now.
    pub(crate) fn left(&self, now: Micros, span: f64) -> (f64, f64) {
        let left = (-(now.saturating_sub(self.at) as f64) / span).exp();
        (self.sum * left, self.count * left)
    }
    pub(crate) fn add(&mut self, now: Micros, span: f64, value: f64) {
        let (sum, count) = self.left(now, span);
        *self = Fading {
            sum: sum + value,
            count: count + 1.0,
            at: now,
        };
    }
    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.count.max(1e-9)
    }
    /// The mean, drawn to `prior` as if that were `weight` values.
    pub(crate) fn mean_near(&self, now: Micros, span: f64, prior: f64, weight: f64) -> f64 {
        let (sum, count) = self.left(now, span);
        (sum + prior * weight) / (count + weight)
    }
}

pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number in [0, 1) from a hash.
pub(crate) fn unit(x: u64) -> f64 {
    (mix(x) >> 11) as f64 / (1u64 << 53) as f64
}

/// Tokens of the answer: the hint, else the told maximum.
pub(crate) fn output(a: &Request) -> f64 {
    a.hinted_output.unwrap_or(a.max_output).max(1.0)
}

/// The keys of an arrival's rows: its session's, and its shared opening's.
pub(crate) fn row_keys(a: &Request) -> impl Iterator<Item = (bool, u64)> {
    [(true, a.session), (false, a.prefix)]
        .into_iter()
        .filter(|key| key.1 != 0)
}

/// What an attempt asks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Op {
    Read,
    Fetch,
    Local,
}

#[derive(Clone, Copy)]
pub(crate) struct Wait {
    pub(crate) sent: Micros,
    pub(crate) tokens: f64,
    pub(crate) expected: f64,
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: Endpoint,
    /// Changes when the process is known to have restarted or broken off: what it kept is gone.
    pub(crate) epoch: u64,
    /// Our attempts there that have not been read or begun to stream.
    pub(crate) waiting: BTreeMap<(RequestId, u16), Wait>,
    /// Our running streams there.
    pub(crate) streams: usize,
    /// Observed over expected latency of its recent answers.
    pub(crate) times: Fading,
    /// The span over which they fade.
    pub(crate) span: f64,
    /// Grows with failures; at 1 or more only trials are sent.
    pub(crate) doubt: f64,
    pub(crate) trial_at: Micros,
    pub(crate) trial_gap: Micros,
    pub(crate) progress: Micros,
    pub(crate) full_until: Micros,
    /// Tenants that were turned away here and not served since: how often, and until when it is taken to go on.
    pub(crate) turned_away: BTreeMap<usize, (i32, Micros)>,
    /// Recent sends, kept while it is cold.
    pub(crate) sends: VecDeque<Micros>,
}

/// A pool's recent latency and the work behind it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Norm {
    pub(crate) latency: Fading,
    pub(crate) work: Fading,
}

#[derive(Clone, Copy)]
pub(crate) struct Row {
    pub(crate) writer: EndpointId,
    /// Whose state it is.
    pub(crate) session: u64,
    pub(crate) epoch: u64,
    pub(crate) used: Micros,
    /// The session's prompt when it was last answered: its next prompt starts with all of it.
    pub(crate) context: f64,
    /// All writers' flow when it was last used.
    pub(crate) flow: f64,
}

/// First-token time and pace of one path in one workload cell.
#[derive(Clone, Copy, Default)]
pub(crate) struct PathStats {
    pub(crate) ttft: Fading,
    pub(crate) pace: Fading,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Path {
    Local,
    Remote,
}

pub(crate) type CellKey = (u8, u8, u8);
pub(crate) type Out = Vec<Action>;

pub(crate) struct Attempt {
    pub(crate) server: EndpointId,
    pub(crate) op: Op,
    pub(crate) sent: Micros,
    pub(crate) work: f64,
    pub(crate) out: bool,
    pub(crate) streaming: bool,
}

#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) a: Request,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) aim: f64,
    /// Prompt tokens that are taken to be kept nowhere.
    pub(crate) new: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Where its read state waits.
    pub(crate) state_at: Option<EndpointId>,
    /// Since when something may be held for it without an attempt at a server, as far as is known.
    pub(crate) held: Option<Micros>,
    /// Where a place is held ahead.
    pub(crate) held_at: Option<EndpointId>,
    /// The first attempt that may have run: server and send time.
    pub(crate) may_have_run: Option<(EndpointId, Micros)>,
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) path: Option<(Path, CellKey)>,
    /// Tokens that had passed through the holder when a local read was sent.
    pub(crate) passed: f64,
    pub(crate) first_token: Option<Micros>,
    pub(crate) over: bool,
}
