//! Choice of prefill and decode endpoints, and how much locality counts in it.

use super::health::Health;
use super::ppd::CELL_DECAY_SPAN;
use super::state::{AttemptKind, Pool, RequestState, ServiceKey, TrackedEndpoint};
use super::{Router, RECENT_SPAN};
use crate::hash::{mix, unit_interval};
use crate::interface::{Endpoint, EndpointId, Idempotency, Micros, Role};
use std::cmp::Ordering;

/// The first prefill endpoint of the ring whose cost is within this multiple of the lowest is chosen.
const LOAD_BOUND: f64 = 1.75;
/// Where crossing zones has a price, an endpoint in another zone has this share of its weight in the ring.
const OTHER_ZONE_WEIGHT: f64 = 0.3;
/// A prefix has one home, and one more for each mean endpoint's load that it brings, times this.
const HOMES_PER_LOAD_SHARE: f64 = 0.6;
/// A tenant is taken to send its quota, and a prefix nothing, until about this many arrivals tell otherwise.
pub(super) const SHARE_PRIOR_REQUESTS: f64 = 5.0;
/// Leaving the rack, and again leaving the zone, is worth this multiple of a decode endpoint's load.
const DISTANCE_PENALTY: f64 = 1.5;
/// Streams added to this node's own when endpoints of different distance are compared: a few alone tell little.
const LOAD_PRIOR_STREAMS: f64 = 3.0;
/// The number of distances from an endpoint: same rack, same zone, other zone.
const DISTANCES: usize = 3;

/// The best decode endpoint at one distance.
#[derive(Clone, Copy)]
struct DecodeCandidate<'a> {
    health: Health,
    cost: f64,
    /// The cost of each stream.
    cost_per_stream: f64,
    endpoint: &'a TrackedEndpoint,
}

/// How many endpoints of a ring are homes of a prefix with this share of all prompt tokens.
fn home_count(share: f64, ring: usize) -> usize {
    ((share * ring as f64 * HOMES_PER_LOAD_SHARE) as usize + 1).min(ring)
}

impl Router {
    /// Records the first-token time over its objective of a prompt prefilled at this endpoint.
    pub(super) fn record_locality(&mut self, now: Micros, prefill: EndpointId, ratio: f64) {
        let info = self.endpoints[&prefill].info;
        let near_decode = self.rack_affinity(&info) >= 1.0;
        let same_zone = info.zone == self.settings.zone;
        for (locality, near) in [
            (&mut self.rack_locality, near_decode),
            (&mut self.zone_locality, same_zone),
        ] {
            let mean = if near {
                &mut locality.near
            } else {
                &mut locality.far
            };
            mean.add(now, RECENT_SPAN, ratio.min(2.0));
        }
    }

    /// Consistent hashing with bounded loads: in the order of the hash, the first prefill endpoint within the
    /// bound. A prefix has as many homes as its share of the prompt tokens fills, and a session keeps to one
    /// of them.
    pub(super) fn pick_prefill(&self, now: Micros, state: &RequestState) -> Option<EndpointId> {
        let request = &state.request;
        let session = if request.session != 0 {
            request.session
        } else {
            request.id.0
        };
        let key = if request.prefix != 0 {
            request.prefix
        } else {
            session
        };
        let share = self.prompt_share(now, key);
        let mut ring = self.prefill_ring(now, state, key);
        self.retain_within_cold_budget(now, state, share, &mut ring);
        let health = |endpoint: &TrackedEndpoint| endpoint.health(now, request.tenant, false);
        let best = ring.iter().map(|endpoint| health(endpoint)).min()?;
        ring.retain(|endpoint| health(endpoint) == best);
        let homes = home_count(share, ring.len());
        let position = |rank: usize| self.ring_position(now, ring[rank], session);
        let home = (0..homes).min_by(|a, b| position(*a).total_cmp(&position(*b)));
        ring.rotate_left(home.unwrap_or(0));
        self.first_within_bound(now, state, &ring, homes)
    }

    /// The prefill endpoints that the request may use, in the order of the ring of a prefix.
    fn prefill_ring(&self, now: Micros, state: &RequestState, key: u64) -> Vec<&TrackedEndpoint> {
        let mut ring: Vec<&TrackedEndpoint> = self
            .pool(Pool::Prefill)
            .filter(|endpoint| {
                !state.tried.contains(&endpoint.info.id) && self.may_repeat_at(state, endpoint, now)
            })
            .collect();
        ring.sort_by_cached_key(|endpoint| {
            let position = self.ring_position(now, endpoint, key);
            (position.to_bits(), endpoint.info.id)
        });
        ring
    }

    /// Weighted rendezvous hashing: the position of an endpoint in the ring of a key; lowest first.
    fn ring_position(&self, now: Micros, endpoint: &TrackedEndpoint, key: u64) -> f64 {
        let info = &endpoint.info;
        // All nodes (of a zone) must agree on the homes: learned weights change under overload only.
        let other_zone = info.zone != self.settings.zone && self.settings.cross_zone_price > 0.0;
        let zone_weight = if other_zone {
            OTHER_ZONE_WEIGHT.powf(self.zone_locality.locality_weight)
        } else {
            1.0
        };
        let rack_weight = self
            .rack_affinity(info)
            .powf(self.rack_locality.locality_weight);
        let weight = zone_weight * rack_weight * self.size(info) * self.likely_share(info, now);
        -(unit_interval(mix(key) ^ mix(info.id.0)) + 1e-16).ln() / weight
    }

    /// The share of recent prompt tokens that a prefix (or session without one) brought.
    fn prompt_share(&self, now: Micros, key: u64) -> f64 {
        let of_key = self
            .prefix_tokens
            .get(&key)
            .map_or(0.0, |tokens| tokens.sum_at(now, CELL_DECAY_SPAN));
        let of_all = self.prompt_tokens.sum_at(now, CELL_DECAY_SPAN)
            + SHARE_PRIOR_REQUESTS * self.prompt_tokens.mean();
        of_key / of_all.max(1.0)
    }

    /// Drops cold endpoints without budget. Guards a cold home of a prefix that many nodes request: more of
    /// them use a draw that they win there.
    fn retain_within_cold_budget(
        &self,
        now: Micros,
        state: &RequestState,
        share: f64,
        ring: &mut Vec<&TrackedEndpoint>,
    ) {
        let density = self.send_density(now, Pool::Prefill, state);
        let homes = home_count(share, ring.len());
        let load_per_home = share * self.recent_sends(now, Pool::Prefill) / homes as f64;
        let mut rank = 0;
        ring.retain(|endpoint| {
            let home_load = if rank < homes { load_per_home } else { 0.0 };
            rank += 1;
            self.has_cold_budget(endpoint, now, density, home_load)
        });
    }

    /// The first endpoint of the ring whose cost is within the bound.
    fn first_within_bound(
        &self,
        now: Micros,
        state: &RequestState,
        ring: &[&TrackedEndpoint],
        homes: usize,
    ) -> Option<EndpointId> {
        let costs: Vec<f64> = ring
            .iter()
            .enumerate()
            .map(|(rank, endpoint)| {
                // Homes have the shared prefix cached.
                let tokens = if rank < homes {
                    state.new_tokens
                } else {
                    state.request.prompt_tokens
                };
                self.prefill_cost(now, endpoint, tokens)
            })
            .collect();
        let bound = LOAD_BOUND * costs.iter().copied().fold(f64::INFINITY, f64::min);
        costs
            .iter()
            .position(|cost| *cost <= bound)
            .map(|rank| ring[rank].info.id)
    }

    /// The cost of prefilling this many tokens at an endpoint, in tokens of a usual endpoint.
    fn prefill_cost(&self, now: Micros, endpoint: &TrackedEndpoint, tokens: f64) -> f64 {
        let key = ServiceKey {
            kind: AttemptKind::Prefill,
            role: Role::Prefill,
        };
        let usual = self.service_times.get(&key).copied().unwrap_or_default();
        let rate = usual.work.mean() / usual.latency.mean().max(1.0);
        // The age of this node's oldest wait shows what other nodes sent. A cold endpoint has its smaller
        // weight in the ring already; only what waits there weighs more than elsewhere.
        let queue = endpoint
            .waiting_tokens()
            .max(endpoint.oldest_wait(now) * rate)
            / self.likely_share(&endpoint.info, now);
        (usual.work.mean() + tokens + queue) * endpoint.slowness(now) / self.size(&endpoint.info)
    }

    /// The decode endpoint with the fewest streams of this node for its size: the best of the rack of `from`
    /// (the prefill endpoint), of its zone and of the rest, then the cheapest of these. A part of one stream
    /// is random, as nodes don't see each other's streams and would all choose alike.
    pub(super) fn pick_decode(
        &self,
        now: Micros,
        from: Option<EndpointId>,
        state: &RequestState,
        kind: AttemptKind,
    ) -> Option<EndpointId> {
        let from = from
            .and_then(|id| self.endpoints.get(&id))
            .map(|endpoint| endpoint.info);
        let density = self.send_density(now, Pool::Decode, state);
        let mut best_at: [Option<DecodeCandidate>; DISTANCES] = [None; DISTANCES];
        for endpoint in self.pool(Pool::Decode) {
            let usable = self.can_run(endpoint, kind)
                && !state.tried.contains(&endpoint.info.id)
                && self.has_cold_budget(endpoint, now, density, 0.0)
                && self.may_repeat_at(state, endpoint, now);
            if !usable {
                continue;
            }
            let candidate = self.decode_candidate(now, endpoint, state, kind);
            let best = &mut best_at[self.distance(from.as_ref(), &endpoint.info)];
            if best.is_none_or(|best| (candidate.health, candidate.cost) < (best.health, best.cost))
            {
                *best = Some(candidate);
            }
        }
        cheapest(&best_at)
    }

    /// Whether a decode endpoint may run an attempt of this kind.
    pub(super) fn can_run(&self, endpoint: &TrackedEndpoint, kind: AttemptKind) -> bool {
        kind != AttemptKind::PrefillAndDecode
            || self.role(endpoint) == Role::Mixed
            || self.settings.decode_may_prefill
    }

    /// 0 in the rack of `from`, 1 in its zone (this node's zone if there is no `from`), else 2.
    fn distance(&self, from: Option<&Endpoint>, to: &Endpoint) -> usize {
        let other_rack = from.is_some_and(|from| from.rack != to.rack);
        let other_zone = from.map_or(self.settings.zone, |from| from.zone) != to.zone;
        usize::from(other_rack) + usize::from(other_zone)
    }

    fn decode_candidate<'a>(
        &self,
        now: Micros,
        endpoint: &'a TrackedEndpoint,
        state: &RequestState,
        kind: AttemptKind,
    ) -> DecodeCandidate<'a> {
        let waiting = 1.0 + endpoint.oldest_wait(now) / state.objective.max(1.0);
        let mut cost_per_stream = waiting / self.effective_weight(endpoint, now);
        if kind == AttemptKind::PrefillAndDecode {
            let prompt = state.request.prompt_tokens;
            cost_per_stream *= self.expected_latency(now, endpoint, kind, prompt, state.objective);
        }
        let draw_key = mix(self.random_state ^ state.request.id.0);
        let draw = unit_interval(draw_key ^ mix(endpoint.info.id.0));
        let class = &self.settings.classes[state.request.class];
        let must_not_repeat = class.idempotency == Idempotency::NonIdempotent;
        DecodeCandidate {
            health: endpoint.health(now, state.request.tenant, must_not_repeat),
            cost: (endpoint.load() + draw) * cost_per_stream,
            cost_per_stream,
            endpoint,
        }
    }
}

/// The best of the candidates at each distance. Other nodes choose by the same rules, so this node's streams
/// stand for all, as far as so few can.
fn cheapest(best_at: &[Option<DecodeCandidate>; DISTANCES]) -> Option<EndpointId> {
    best_at
        .iter()
        .enumerate()
        .filter_map(|(distance, best)| {
            let best = (*best)?;
            let load = best.endpoint.load() + LOAD_PRIOR_STREAMS;
            let cost = load * best.cost_per_stream * DISTANCE_PENALTY.powi(distance as i32);
            Some(((best.health, cost), best.endpoint.info.id))
        })
        .min_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(Ordering::Equal))
        .map(|(_, id)| id)
}
