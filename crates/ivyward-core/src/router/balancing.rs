//! The choice of prefill and decode endpoints by load and locality.

use super::health::Health;
use super::ppd::CELL_DECAY;
use super::state::{AttemptKind, Pool, RequestState, ServiceKey, TrackedEndpoint};
use super::{Router, RECENT_DECAY};
use crate::hash::{mix, unit_interval};
use crate::interface::{Endpoint, EndpointId, Idempotency, Micros, Role};
use std::cmp::Ordering;

/// A prefill goes to the first endpoint of the ring whose cost is within this multiple of the lowest cost.
const LOAD_BOUND: f64 = 1.75;
/// If crossing zones has a price, an endpoint in another zone has this share of its usual weight in the ring.
const OTHER_ZONE_WEIGHT: f64 = 0.3;
/// A prefix has one home endpoint, plus this many for each time that its load is the mean load of an endpoint.
const HOMES_PER_LOAD_SHARE: f64 = 0.6;
/// Weight, in arrivals, of the prior assumptions that a tenant sends its quota and a prefix sends nothing.
pub(super) const SHARE_PRIOR_REQUESTS: f64 = 5.0;
/// A decode endpoint's cost is multiplied by this if it is in another rack, and again if it is in another zone.
const DISTANCE_PENALTY: f64 = 1.5;
/// Streams added to an endpoint's load when endpoints at different distances are compared, because a few streams of
/// this node alone say little about the load that all nodes cause.
const LOAD_PRIOR_STREAMS: f64 = 3.0;
/// The number of distances that are distinguished: same rack, same zone, other zone.
const DISTANCES: usize = 3;

/// A decode endpoint that an attempt could be sent to.
#[derive(Clone, Copy)]
struct DecodeCandidate<'a> {
    health: Health,
    cost: f64,
    /// The cost of one stream; `cost` is this times the load.
    cost_per_stream: f64,
    endpoint: &'a TrackedEndpoint,
}

/// Returns how many of `endpoint_count` endpoints are homes of a prefix with this share of all prompt tokens.
fn home_count(share: f64, endpoint_count: usize) -> usize {
    ((share * endpoint_count as f64 * HOMES_PER_LOAD_SHARE) as usize + 1).min(endpoint_count)
}

impl Router {
    /// Records the first-token time, divided by its objective, of a prompt that this endpoint prefilled.
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
            mean.add(now, RECENT_DECAY, ratio.min(2.0));
        }
    }

    /// Chooses a prefill endpoint by consistent hashing with bounded loads: the first endpoint in hash order whose
    /// cost is within the bound. The first endpoints are the homes of the prefix; their number grows with its share
    /// of all prompt tokens. A session always starts at the same home.
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

    /// Returns the prefill endpoints that the request may use, in the ring order of a key.
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

    /// Returns the position of an endpoint in the ring of a key, lowest first, by weighted rendezvous hashing.
    fn ring_position(&self, now: Micros, endpoint: &TrackedEndpoint, key: u64) -> f64 {
        let info = &endpoint.info;
        // All nodes (of a zone) must agree on the homes of a prefix. The locality weights, which each node learns
        // for itself, therefore change only under overload.
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

    /// Returns the share of recent prompt tokens that belong to requests with this key.
    fn prompt_share(&self, now: Micros, key: u64) -> f64 {
        let of_key = self
            .prefix_tokens
            .get(&key)
            .map_or(0.0, |tokens| tokens.sum_at(now, CELL_DECAY));
        let of_all = self.prompt_tokens.sum_at(now, CELL_DECAY)
            + SHARE_PRIOR_REQUESTS * self.prompt_tokens.mean();
        of_key / of_all.max(1.0)
    }

    /// Removes cold endpoints without budget from the ring. If a cold endpoint is a home of a prefix that many nodes
    /// request, more of the nodes that win the random draw for it also use it; `home_load` accounts for that.
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

    /// Returns the first endpoint of the ring whose cost is within the bound.
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
                // Homes have the shared prefix in their KV cache.
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

    /// Returns the cost of prefilling this many tokens at an endpoint, in tokens of a typical endpoint.
    fn prefill_cost(&self, now: Micros, endpoint: &TrackedEndpoint, tokens: f64) -> f64 {
        let key = ServiceKey {
            kind: AttemptKind::Prefill,
            role: Role::Prefill,
        };
        let typical = self.service_times.get(&key).copied().unwrap_or_default();
        let rate = typical.work.mean() / typical.latency.mean().max(1.0);
        // How long this node's oldest attempt has waited shows the queue that other nodes caused. The ring weight
        // already accounts for the lower capacity of a cold endpoint, so only its queue is scaled by it here.
        let queue = endpoint
            .waiting_tokens()
            .max(endpoint.oldest_wait(now) * rate)
            / self.likely_share(&endpoint.info, now);
        (typical.work.mean() + tokens + queue) * endpoint.slowness(now) / self.size(&endpoint.info)
    }

    /// Chooses the decode endpoint with the fewest streams of this node relative to its size. First the best
    /// endpoint at each distance from `from` (the prefill endpoint) is found, then the cheapest of these. A random
    /// fraction of one stream is added to each load, because nodes do not see each other's streams and would
    /// otherwise all choose the same endpoint.
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

    /// Returns whether a decode endpoint may run an attempt of this kind.
    pub(super) fn can_run(&self, endpoint: &TrackedEndpoint, kind: AttemptKind) -> bool {
        kind != AttemptKind::PrefillAndDecode
            || self.role(endpoint) == Role::Mixed
            || self.settings.decode_may_prefill
    }

    /// Returns 0 if `to` is in the rack of `from`, 1 if it is in another rack of the zone, and 2 if it is in another
    /// zone. Without `from`, returns 0 in this node's zone and 1 in other zones.
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

/// Returns the cheapest of the best candidates at each distance. The load of this node's streams is taken as a sample
/// of all nodes' load, since all nodes choose by the same rules; [`LOAD_PRIOR_STREAMS`] dampens small samples.
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
