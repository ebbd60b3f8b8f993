//! PPD: decides whether a later turn is prefilled on the decode endpoint that has its KV state cached (local path) or
//! by a prefill endpoint (remote path), from the measured times of both paths in its workload cell.

use super::health::Health;
use super::state::{
    expected_output, session_keys, AttemptKind, CellStats, Path, PathChoice, PathStats, Pool,
    RequestState, Session, SessionKey, TrackedEndpoint, WorkloadCell,
};
use super::Router;
use crate::interface::{EndpointId, EndpointState, Micros, Request, Role, Settings};

/// In a cell without statistics for both paths, a turn takes the local path only if it has fewer new tokens than this
/// (docs/design.md).
const EMPTY_CELL_MAX_NEW_TOKENS: f64 = 2_000.0;
/// A turn takes the local path only if new tokens are less than this share of the prompt (docs/design.md).
const LOCAL_MAX_NEW_SHARE: f64 = 0.25;
/// A turn takes the local path only if the endpoint has at most this multiple of the median load (docs/design.md).
const LOCAL_MAX_LOAD: f64 = 2.0;
/// The share of turns with a local decision that take the remote path anyway, so that both paths have statistics.
const EXPLORATION_SHARE: f64 = 0.05;
/// The first estimate of the KV retention, as a share of the machine type's KV memory.
const INITIAL_RETENTION_SHARE: f64 = 0.75;
/// If a session was evicted, the retention estimate moves towards this share of the tokens that had passed; if it was
/// still cached, the estimate rises to at least the passed tokens divided by this share.
const RETENTION_STEP: f64 = 0.8;
/// The KV state of a local turn counts as evicted if less than this share of the expected tokens was cached.
const EVICTED_SHARE: f64 = 0.5;
/// Statistics with less weight than this, about two or three responses, count as missing.
const MIN_CELL_WEIGHT: f64 = 2.5;
/// Decay time of the cells' statistics and the prefixes' prompt tokens, in microseconds. It covers the time between
/// several turns of a session.
pub(super) const CELL_DECAY: f64 = 60e6;
/// A session is dropped after this idle time (docs/design.md).
const SESSION_IDLE_TIMEOUT: Micros = 120_000_000;
/// The maximum number of sessions and shared prefixes whose decode endpoint is known, and of prefixes whose prompt tokens are
/// counted. At the limit the ones that were not used for the longest time are dropped.
pub(super) const MAX_SESSIONS: usize = 1 << 15;
pub(super) const MAX_PREFIXES: usize = 1 << 14;
/// Idle sessions are looked for this many times per idle timeout.
const SWEEPS_PER_TIMEOUT: u64 = 16;
/// If a prefill is expected to take more than this share of the first-token objective, the prefill endpoints count as
/// overloaded, and a first turn may be sent directly to a decode endpoint.
const OVERLOADED_SHARE: f64 = 0.3;
/// A first turn is sent directly to a decode endpoint only if that is this many times as fast. For a mixed endpoint it
/// is enough to be faster, because prefilling is part of its role.
const DIRECT_MARGIN: f64 = 2.0;

/// The decode endpoint that has a session's KV state cached, as the target of the next turn.
struct LocalCandidate {
    endpoint: EndpointId,
    cell: WorkloadCell,
    /// Prompt tokens that the endpoint would have to prefill.
    new_tokens: f64,
    tokens_since_use: f64,
    /// Whether the limits on load, health and new tokens allow the local path.
    eligible: bool,
}

/// The load of the decode pool, in attempts of this node per endpoint.
struct PoolLoad {
    median: f64,
    endpoints: usize,
}

impl PathStats {
    fn has_statistics(&self, now: Micros) -> bool {
        [self.ttft, self.tpot]
            .iter()
            .all(|mean| mean.count_at(now, CELL_DECAY) >= MIN_CELL_WEIGHT)
    }
}

impl CellStats {
    fn path_mut(&mut self, path: Path) -> &mut PathStats {
        match path {
            Path::Local => &mut self.local,
            Path::Remote => &mut self.remote,
        }
    }

    fn has_statistics(&self, now: Micros) -> bool {
        self.local.has_statistics(now) && self.remote.has_statistics(now)
    }

    /// Returns the paper's score in its balanced setting. A positive score is in favor of the local path.
    fn score(&self) -> f64 {
        let (local, remote) = (&self.local, &self.remote);
        let ttft_gain = (remote.ttft.mean() - local.ttft.mean()) / remote.ttft.mean().max(1.0);
        let tpot_loss = (local.tpot.mean() - remote.tpot.mean()) / remote.tpot.mean().max(1.0);
        ttft_gain - tpot_loss
    }
}

impl WorkloadCell {
    fn new(request: &Request, new_tokens: f64, relative_load: f64) -> WorkloadCell {
        let output = expected_output(request);
        WorkloadCell {
            prompt_bin: (request.prompt_tokens / 512.0).max(1.0).log2().min(8.0) as u8,
            new_tokens_bin: (new_tokens / output * 2.0 + 1.0).log2().min(6.0) as u8,
            load_bin: (relative_load * 2.0).min(5.0) as u8,
        }
    }

    /// Returns the cell that combines all cells with the same bin of new tokens. It is used while the cell itself has
    /// too few responses.
    fn coarse(self) -> WorkloadCell {
        WorkloadCell {
            prompt_bin: u8::MAX,
            new_tokens_bin: self.new_tokens_bin,
            load_bin: u8::MAX,
        }
    }
}

/// Returns the first estimate of a machine type's KV retention in tokens; infinite if its memory is not configured.
pub(super) fn initial_kv_retention(settings: &Settings, machine_type: usize) -> f64 {
    settings
        .memory_tokens
        .get(machine_type)
        .map_or(f64::INFINITY, |tokens| tokens * INITIAL_RETENTION_SHARE)
}

impl Router {
    /// Returns the number of entries for sessions and prefixes, whose names clients choose.
    pub fn client_names(&self) -> usize {
        self.sessions.len() + self.prefix_tokens.len()
    }

    /// Drops idle sessions and prefixes.
    pub(super) fn sweep_sessions(&mut self, now: Micros) {
        if now < self.next_session_sweep {
            return;
        }
        self.next_session_sweep = now + SESSION_IDLE_TIMEOUT / SWEEPS_PER_TIMEOUT;
        self.sessions
            .retain(|session| now.saturating_sub(session.last_used) < SESSION_IDLE_TIMEOUT);
        self.prefix_tokens
            .retain(|tokens| now.saturating_sub(tokens.updated_at) < SESSION_IDLE_TIMEOUT);
    }

    /// Returns the number of prompt tokens that no endpoint is expected to have cached: the prompt without the shared
    /// prefix or, if that is longer, without the session's last prompt.
    pub(super) fn new_tokens(&self, request: &Request) -> f64 {
        let session = self
            .sessions
            .get(&SessionKey::Session(request.session))
            .filter(|_| request.session != 0);
        let history = session
            .map_or(0.0, |session| session.context_tokens)
            .min(request.prompt_tokens);
        (request.prompt_tokens - request.prefix_tokens.max(history)).max(1.0)
    }

    /// Makes the PPD decision for a later turn: returns the decode endpoint that has the session cached if the turn
    /// takes the local path. Records the path in `state`.
    pub(super) fn pick_local(
        &mut self,
        now: Micros,
        state: &mut RequestState,
    ) -> Option<EndpointId> {
        if state.path.is_some() || self.retry_until(state).is_some() {
            return None;
        }
        let candidate = self.local_candidate(now, state)?;
        let choice = |path| {
            Some(PathChoice {
                path,
                cell: candidate.cell,
            })
        };
        state.path = choice(Path::Remote);
        if !candidate.eligible
            || !self.local_is_faster(now, &candidate)
            || self.next_random() < EXPLORATION_SHARE
        {
            return None;
        }
        state.path = choice(Path::Local);
        state.tokens_since_use = candidate.tokens_since_use;
        Some(candidate.endpoint)
    }

    fn local_candidate(&self, now: Micros, state: &RequestState) -> Option<LocalCandidate> {
        let request = &state.request;
        let session = self.cached_session(now, request)?;
        let endpoint = &self.endpoints[&session.decode_endpoint];
        let pool = self.decode_pool_load();
        let tokens_since_use = self.tokens_since_use(&session, &pool);
        let retention = self.kv_retention[usize::from(endpoint.info.machine_type)];
        let retained =
            tokens_since_use < retention || request.prompt_tokens < EMPTY_CELL_MAX_NEW_TOKENS;
        let new_tokens = if retained {
            state.new_tokens
        } else {
            request.prompt_tokens
        };
        let cell = WorkloadCell::new(request, new_tokens, endpoint.load() / pool.median);
        let within_limits = new_tokens < LOCAL_MAX_NEW_SHARE * request.prompt_tokens
            && endpoint.load() <= LOCAL_MAX_LOAD * pool.median;
        Some(LocalCandidate {
            endpoint: session.decode_endpoint,
            cell,
            new_tokens,
            tokens_since_use,
            eligible: within_limits && self.may_prefill_local(now, endpoint, state),
        })
    }

    /// Returns the first session entry of the request whose KV state should still be cached. A first turn counts as a
    /// later turn if a mixed endpoint has its shared prefix cached, because prefilling is part of that endpoint's role.
    fn cached_session(&self, now: Micros, request: &Request) -> Option<Session> {
        session_keys(request)
            .filter_map(|key| self.sessions.get(&key))
            .find(|session| {
                let endpoint = &self.endpoints[&session.decode_endpoint];
                endpoint.cache_epoch == session.cache_epoch
                    && (session.session == request.session || self.role(endpoint) == Role::Mixed)
                    && now.saturating_sub(session.last_used) < SESSION_IDLE_TIMEOUT
            })
            .copied()
    }

    fn decode_pool_load(&self) -> PoolLoad {
        let mut loads: Vec<f64> = self.pool(Pool::Decode).map(TrackedEndpoint::load).collect();
        loads.sort_by(f64::total_cmp);
        PoolLoad {
            median: loads.get(loads.len() / 2).copied().unwrap_or(0.0).max(1.0),
            endpoints: loads.len(),
        }
    }

    /// Estimates the tokens that compete with a session's KV state for memory: those that have passed through the mean
    /// decode endpoint since the session's last turn, and those of running streams. This node's traffic is scaled up to
    /// all nodes, and the mean is taken over all decode endpoints, because one node sends too few requests to a
    /// single endpoint for an estimate.
    fn tokens_since_use(&self, session: &Session, pool: &PoolLoad) -> f64 {
        let own = self.token_flow - session.token_flow + self.streaming_tokens;
        let all = own * f64::from(self.settings.replica_count);
        all / pool.endpoints.max(1) as f64
    }

    fn may_prefill_local(
        &self,
        now: Micros,
        endpoint: &TrackedEndpoint,
        state: &RequestState,
    ) -> bool {
        let density = || self.send_density(now, Pool::Decode, state);
        self.can_run(endpoint, AttemptKind::PrefillAndDecode)
            && endpoint.info.state == EndpointState::Ready
            && endpoint.health(now, state.request.tenant, true) == Health::Available
            && self.has_cold_budget(endpoint, now, density(), 0.0)
    }

    /// Decides by the cell's statistics, otherwise by those of its coarse cell, otherwise by the number of new tokens.
    fn local_is_faster(&self, now: Micros, candidate: &LocalCandidate) -> bool {
        [candidate.cell, candidate.cell.coarse()]
            .into_iter()
            .filter_map(|cell| self.workload_cells.get(&cell))
            .find(|stats| stats.has_statistics(now))
            .map_or(candidate.new_tokens < EMPTY_CELL_MAX_NEW_TOKENS, |stats| {
                stats.score() > 0.0
            })
    }

    /// Returns whether a first turn should be prefilled on the endpoint that decodes it: its prefill endpoint would take
    /// much of the first-token objective, and a decode endpoint is clearly faster. This helps when the prefill pool is
    /// overloaded or mostly failed while decode endpoints are idle. A prefill on a pure decode endpoint slows down its
    /// running streams, so it has to be twice as fast.
    pub(super) fn direct_is_faster(
        &self,
        now: Micros,
        prefill: EndpointId,
        state: &RequestState,
    ) -> bool {
        let prefill = &self.endpoints[&prefill];
        let work = state.new_tokens + prefill.waiting_tokens();
        let prefill_time =
            self.expected_latency(now, prefill, AttemptKind::Prefill, work, state.objective);
        if prefill_time <= OVERLOADED_SHARE * state.objective {
            return false;
        }
        let kind = AttemptKind::PrefillAndDecode;
        let Some(direct) = self.pick_decode(now, None, state, kind) else {
            return false;
        };
        let direct = &self.endpoints[&direct];
        let margin = if self.role(direct) == Role::Mixed {
            1.0
        } else {
            DIRECT_MARGIN
        };
        let prompt = state.request.prompt_tokens;
        let direct_time = self.expected_latency(now, direct, kind, prompt, state.objective);
        direct.health(now, state.request.tenant, true) == Health::Available
            && margin * direct_time < prefill_time
    }

    /// Records a first-token time, in microseconds, for a path.
    pub(super) fn record_path_ttft(&mut self, now: Micros, path: Option<PathChoice>, ttft: f64) {
        self.record_path(path, |stats| stats.ttft.add(now, CELL_DECAY, ttft));
    }

    /// Records a time per output token, in microseconds, for a path.
    pub(super) fn record_path_tpot(&mut self, now: Micros, path: Option<PathChoice>, tpot: f64) {
        self.record_path(path, |stats| stats.tpot.add(now, CELL_DECAY, tpot));
    }

    fn record_path(&mut self, choice: Option<PathChoice>, record: impl Fn(&mut PathStats)) {
        let Some(choice) = choice else { return };
        for cell in [choice.cell, choice.cell.coarse()] {
            let stats = self.workload_cells.entry(cell).or_default();
            record(stats.path_mut(choice.path));
        }
    }

    /// Records which endpoint has the KV state of a turn that began to stream.
    pub(super) fn record_session(&mut self, now: Micros, state: &RequestState, decode: EndpointId) {
        let request = &state.request;
        let session = Session {
            decode_endpoint: decode,
            session: request.session,
            cache_epoch: self.endpoints[&decode].cache_epoch,
            last_used: now,
            context_tokens: request.prompt_tokens,
            token_flow: self.token_flow,
        };
        for key in session_keys(request) {
            self.sessions.insert(key, session);
        }
    }

    /// Restarts the idle timeout of a served request's session entries.
    pub(super) fn touch_sessions(&mut self, now: Micros, request: &Request) {
        for key in session_keys(request) {
            if let Some(session) = self.sessions.get_mut(&key) {
                session.last_used = now;
            }
        }
    }

    /// Updates the KV retention of a machine type from the cached tokens of a local turn. If the endpoint had evicted the
    /// session (because of other sessions, a cache flush or an unnoticed restart), the turn prefilled its whole prompt
    /// and slowed down running streams. The number of cached tokens shows that at once, long before the cell's
    /// statistics do. A drawback: if engines do not report cached tokens, every local turn counts as evicted.
    pub(super) fn record_kv_retention(
        &mut self,
        id: EndpointId,
        state: &RequestState,
        cached: u32,
    ) {
        let expected = state.request.prompt_tokens - state.new_tokens;
        let passed = state.tokens_since_use;
        let machine_type = usize::from(self.endpoints[&id].info.machine_type);
        let retention = &mut self.kv_retention[machine_type];
        if f64::from(cached) < EVICTED_SHARE * expected {
            *retention += 0.5 * (retention.min(passed * RETENTION_STEP) - *retention);
        } else {
            *retention = retention.max(passed / RETENTION_STEP);
        }
    }
}
