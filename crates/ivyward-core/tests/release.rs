//! Releases against simulated engines that answer, are silent, or recover: whom to ask, how many at once, when again.

use ivyward_core::interface::{EndpointId, Micros};
use ivyward_core::release::{
    ReleaseAttempt, ReleaseQueue, ReleaseResult, ReleaseSettings, ReleaseTarget,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const WITHIN: Micros = 300 * MS;
const START: Micros = 3_600_000 * MS;

/// Engines and the way to them, in time moved by hand.
struct Simulation {
    now: Micros,
    queue: ReleaseQueue,
    targets: BTreeMap<EndpointId, ReleaseTarget>,
    /// Whether an engine answers at a time.
    answers: Box<dyn Fn(EndpointId, Micros) -> bool>,
    latency: Micros,
    /// Asks under way by the time of their end.
    in_flight: Vec<(Micros, ReleaseAttempt, ReleaseResult)>,
    max_in_flight: usize,
    attempts: Vec<(Micros, ReleaseAttempt)>,
    accepted: Vec<(Micros, u64)>,
    /// Requests without a pending release.
    finished_at: BTreeMap<u64, Micros>,
    unfinished: Vec<u64>,
}

impl Simulation {
    fn new(engines: u64, answers: impl Fn(EndpointId, Micros) -> bool + 'static) -> Simulation {
        Simulation::with(
            ReleaseSettings {
                release_within: WITHIN,
                max_concurrent_attempts: 28,
                max_pending: 1_000,
            },
            engines,
            answers,
        )
    }
    fn with(
        settings: ReleaseSettings,
        engines: u64,
        answers: impl Fn(EndpointId, Micros) -> bool + 'static,
    ) -> Simulation {
        // All responded lately, the higher ids later.
        let target = |i| ReleaseTarget {
            id: EndpointId(i),
            last_response: START - 100 * MS + i,
            last_failure: 0,
            has_idle_connection: true,
            is_draining: false,
        };
        Simulation {
            now: START,
            queue: ReleaseQueue::new(settings),
            targets: (1..=engines).map(|i| (EndpointId(i), target(i))).collect(),
            answers: Box::new(answers),
            latency: 3 * MS,
            in_flight: Vec::new(),
            max_in_flight: 0,
            attempts: Vec::new(),
            accepted: Vec::new(),
            finished_at: BTreeMap::new(),
            unfinished: Vec::new(),
        }
    }
    fn enqueue(&mut self, request: u64, confirmed: bool) -> Option<u64> {
        self.unfinished.push(request);
        self.queue.enqueue(self.now, request, confirmed)
    }
    /// Simulates until a time, or until no release is pending.
    fn run_until(&mut self, end: Micros) {
        loop {
            let targets: Vec<ReleaseTarget> = self.targets.values().copied().collect();
            for attempt in self.queue.next_attempts(self.now, &targets) {
                let answers = (self.answers)(attempt.target, self.now);
                let (at, result) = match answers {
                    true => (self.now + self.latency, ReleaseResult::Accepted),
                    false => (attempt.deadline, ReleaseResult::Failed),
                };
                self.attempts.push((self.now, attempt));
                self.in_flight.push((at, attempt, result));
            }
            self.max_in_flight = self.max_in_flight.max(self.in_flight.len());
            let finished: Vec<u64> = self
                .unfinished
                .iter()
                .copied()
                .filter(|r| !self.queue.is_pending(*r))
                .collect();
            self.unfinished.retain(|r| self.queue.is_pending(*r));
            self.finished_at
                .extend(finished.into_iter().map(|request| (request, self.now)));
            let next = self
                .in_flight
                .iter()
                .map(|o| o.0)
                .chain(self.queue.next_deadline())
                .min()
                .unwrap_or(Micros::MAX);
            if self.queue.pending() == 0 && self.in_flight.is_empty() || next > end {
                self.now = if next > end { end } else { self.now };
                return;
            }
            assert!(next >= self.now, "time does not run back");
            self.now = next;
            self.in_flight.sort_by_key(|o| o.0);
            while self.in_flight.first().is_some_and(|o| o.0 <= self.now) {
                let (at, attempt, result) = self.in_flight.remove(0);
                let target = self.targets.get_mut(&attempt.target).unwrap();
                let silent = target.silent();
                match result {
                    ReleaseResult::Accepted => {
                        target.last_response = at;
                        self.accepted.push((at, attempt.request));
                    }
                    _ => target.last_failure = at,
                }
                self.queue.on_result(self.now, &attempt, result);
                if result == ReleaseResult::Accepted && silent {
                    self.queue.endpoint_recovered(self.now);
                }
            }
        }
    }
}

#[test]
fn a_recently_responsive_engine_is_asked_alone() {
    let mut simulation = Simulation::new(40, |_, _| true);
    simulation
        .targets
        .get_mut(&EndpointId(7))
        .unwrap()
        .last_response = START - 1;
    simulation
        .targets
        .get_mut(&EndpointId(9))
        .unwrap()
        .last_response = START;
    simulation
        .targets
        .get_mut(&EndpointId(9))
        .unwrap()
        .has_idle_connection = false;
    simulation.enqueue(1, true);
    simulation.run_until(START + WITHIN);
    assert_eq!(
        simulation.attempts.len(),
        1,
        "one ask is enough: {:?}",
        simulation.attempts
    );
    assert_eq!(
        simulation.attempts[0].1.target,
        EndpointId(7),
        "no new connection where one stands"
    );
    assert_eq!(simulation.finished_at[&1], START + simulation.latency);
}

#[test]
fn draining_and_silent_engines_are_asked_last() {
    let mut simulation = Simulation::new(3, |_, _| true);
    simulation
        .targets
        .get_mut(&EndpointId(3))
        .unwrap()
        .is_draining = true;
    simulation
        .targets
        .get_mut(&EndpointId(2))
        .unwrap()
        .last_failure = START;
    simulation.enqueue(1, true);
    simulation.run_until(START + WITHIN);
    assert_eq!(simulation.attempts[0].1.target, EndpointId(1));
}

/// A cut has just begun: five engines that responded a moment ago, with idle connections, are silent.
#[test]
fn silent_engines_do_not_use_up_the_time() {
    for silent in 0..=5 {
        let mut simulation = Simulation::new(40, move |id, _| id.0 <= 40 - silent);
        simulation.enqueue(1, true);
        simulation.run_until(START + 10 * WITHIN);
        let took = simulation.finished_at[&1] - START;
        assert!(took <= WITHIN * 3 / 10, "{silent} silent: {took} us");
        assert!(
            simulation.max_in_flight <= 6,
            "{} at once",
            simulation.max_in_flight
        );
        // Later releases know: no silent engine is asked.
        let asked = simulation.attempts.len();
        simulation.enqueue(2, true);
        simulation.run_until(simulation.now + WITHIN);
        assert_eq!(simulation.attempts.len(), asked + 1, "{silent} silent");
        assert!(simulation.attempts.len() as u64 <= silent + 4);
    }
}

#[test]
fn three_hundred_releases_stay_within_their_connections_and_time() {
    // A third of the engines is behind the cut; and, worse than any cut, all those that responded last.
    for (last_ones, within) in [(false, WITHIN), (true, 3 * WITHIN)] {
        let mut simulation =
            Simulation::new(
                300,
                move |id, _| if last_ones { id.0 <= 200 } else { id.0 % 3 > 0 },
            );
        for request in 0..300 {
            simulation.enqueue(request, true);
        }
        simulation.run_until(START + 10 * WITHIN);
        assert_eq!(simulation.queue.pending(), 0);
        assert!(simulation.max_in_flight <= 28);
        let last = simulation.finished_at.values().max().unwrap() - START;
        assert!(last <= within, "the last after {last} us");
        assert!(
            simulation.attempts.len() <= 300 + 110,
            "{} asks",
            simulation.attempts.len()
        );
    }
}

#[test]
fn while_all_are_silent_a_release_stays_pending_until_the_first_response() {
    let back = START + 60_000 * MS;
    let mut simulation = Simulation::new(60, move |id, now| id == EndpointId(17) && now >= back);
    for request in 0..20 {
        simulation.enqueue(request, request % 2 == 0);
    }
    simulation.run_until(back);
    assert_eq!(simulation.queue.pending(), 20, "nothing is given up");
    assert!(
        simulation.attempts.len() < 20 * 60,
        "{} asks in a minute",
        simulation.attempts.len()
    );
    // That engine responds to something else.
    simulation
        .targets
        .get_mut(&EndpointId(17))
        .unwrap()
        .last_response = back;
    simulation.queue.endpoint_recovered(back);
    simulation.run_until(back + 4 * WITHIN);
    assert_eq!(simulation.queue.pending(), 0);
    let first = |request| {
        simulation
            .accepted
            .iter()
            .find(|t| t.1 == request)
            .unwrap()
            .0
    };
    assert!(
        (0..20).all(|r| first(r) <= back + 2 * simulation.latency),
        "at once, and not after a pause"
    );
}

/// Hundreds of silent engines, one of which recovered without responding to anything else: found within some pauses.
#[test]
fn one_recovered_engine_among_hundreds_is_found_soon() {
    for requests in [1, 50] {
        let back = START + 20_000 * MS;
        let mut simulation =
            Simulation::new(400, move |id, now| id == EndpointId(17) && now >= back);
        for request in 0..requests {
            simulation.enqueue(request, true);
        }
        simulation.run_until(back);
        let asked = simulation.attempts.len();
        assert!(asked < 2_000, "{asked} asks in 20 s");
        simulation.run_until(back + 60_000 * MS);
        let last = simulation
            .finished_at
            .values()
            .max()
            .copied()
            .unwrap_or(Micros::MAX);
        assert!(
            last - back < 12_000 * MS,
            "{requests} owed: {} us",
            last - back
        );
    }
}

#[test]
fn reservations_that_may_be_on_their_way_are_released_again() {
    let mut simulation = Simulation::new(5, |_, _| true);
    simulation.enqueue(1, false);
    simulation.run_until(START + 4 * WITHIN);
    let accepted: Vec<Micros> = simulation.accepted.iter().map(|t| t.0 - START).collect();
    assert_eq!(accepted.len(), 3, "{accepted:?}");
    assert!(
        accepted[1] >= WITHIN / 3 && accepted[2] >= WITHIN && accepted[2] <= WITHIN + 20 * MS,
        "{accepted:?}"
    );
    // Another release after the first was accepted: all begins anew, and what is unconfirmed stays so.
    simulation.enqueue(2, false);
    simulation.run_until(simulation.now + 10 * MS);
    let before = simulation.accepted.len();
    simulation.queue.enqueue(simulation.now, 2, true);
    simulation.run_until(simulation.now + 4 * WITHIN);
    assert_eq!(simulation.accepted.len(), before + 3);
    assert_eq!(simulation.queue.pending(), 0);
}

#[test]
fn a_withdrawn_release_is_not_sent() {
    let mut simulation = Simulation::new(5, |_, _| true);
    simulation.enqueue(1, false);
    simulation.run_until(START + 10 * MS);
    assert!(simulation.queue.withdraw(1), "repeats were still to come");
    assert!(!simulation.queue.withdraw(1) && !simulation.queue.withdraw(2));
    simulation.run_until(START + 4 * WITHIN);
    assert_eq!(simulation.accepted.len(), 1);
    // An answer that comes after all changes nothing.
    simulation.enqueue(3, true);
    let targets: Vec<ReleaseTarget> = simulation.targets.values().copied().collect();
    let attempts = simulation.queue.next_attempts(simulation.now, &targets);
    simulation.queue.withdraw(3);
    simulation
        .queue
        .on_result(simulation.now + 1, &attempts[0], ReleaseResult::Accepted);
    assert_eq!(
        (simulation.queue.pending(), simulation.queue.next_deadline()),
        (0, None)
    );
}

#[test]
fn beyond_the_limit_the_oldest_release_is_abandoned() {
    let settings = ReleaseSettings {
        release_within: WITHIN,
        max_concurrent_attempts: 4,
        max_pending: 3,
    };
    let mut simulation = Simulation::with(settings, 2, |_, _| false);
    assert_eq!(
        [
            simulation.enqueue(1, true),
            simulation.enqueue(2, true),
            simulation.enqueue(3, true)
        ],
        [None; 3]
    );
    assert_eq!(
        simulation.enqueue(2, true),
        None,
        "one that is owed already takes no more room"
    );
    assert_eq!(simulation.enqueue(4, true), Some(1));
    assert_eq!(simulation.queue.pending(), 3);
}

#[test]
fn a_node_that_shuts_down_releases_first_and_for_a_limited_time() {
    let mut simulation = Simulation::new(4, |_, now| now >= START + 1_000 * MS);
    simulation.enqueue(1, true);
    simulation.queue.shut_down(START);
    simulation.run_until(START + 2_500 * MS);
    assert_eq!(simulation.queue.pending(), 0, "met while it waits");
    let mut simulation = Simulation::new(4, |_, _| false);
    simulation.enqueue(1, true);
    simulation.queue.shut_down(START);
    simulation.run_until(START + 2_900 * MS);
    assert!(
        simulation.queue.take_abandoned(simulation.now).is_empty()
            && simulation.queue.pending() == 1
    );
    assert_eq!(simulation.queue.take_abandoned(START + 10 * WITHIN), [1]);
    assert_eq!(
        (simulation.queue.pending(), simulation.queue.next_deadline()),
        (0, None)
    );
}

#[test]
fn lack_of_descriptors_does_not_count_against_an_engine() {
    let mut simulation = Simulation::new(1, |_, _| true);
    simulation.enqueue(1, true);
    let targets: Vec<ReleaseTarget> = simulation.targets.values().copied().collect();
    let attempt = simulation.queue.next_attempts(simulation.now, &targets)[0];
    simulation
        .queue
        .on_result(simulation.now, &attempt, ReleaseResult::NoLocalResources);
    let again = simulation.queue.next_deadline().unwrap();
    assert!(
        again > START && again <= START + WITHIN / 5,
        "soon, and not at once"
    );
    simulation.now = again;
    simulation.run_until(again + WITHIN);
    assert_eq!(simulation.queue.pending(), 0);
}

#[test]
fn a_very_short_span_leaves_time_for_answers() {
    for within in [0, MS, 20 * MS] {
        let settings = ReleaseSettings {
            release_within: within,
            max_concurrent_attempts: 28,
            max_pending: 10,
        };
        let mut simulation = Simulation::with(settings, 8, |id, _| id.0 <= 6);
        simulation.latency = 8 * MS;
        simulation.enqueue(1, true);
        simulation.run_until(START + 1_000 * MS);
        assert!(
            simulation.finished_at[&1] <= START + 40 * MS,
            "{within}: {}",
            simulation.finished_at[&1] - START
        );
    }
}

#[test]
fn without_engines_a_release_waits() {
    let mut simulation = Simulation::new(0, |_, _| true);
    simulation.enqueue(1, true);
    simulation.run_until(START + 5_000 * MS);
    assert_eq!(
        (simulation.queue.pending(), simulation.attempts.len()),
        (1, 0)
    );
    let id = EndpointId(1);
    simulation.targets.insert(
        id,
        ReleaseTarget {
            id,
            last_response: 0,
            last_failure: 0,
            has_idle_connection: false,
            is_draining: false,
        },
    );
    simulation.run_until(START + 8_000 * MS);
    assert_eq!(simulation.queue.pending(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// Whatever is silent when: asks stay within the bound, nothing is lost while it is owed, and all is met soon after any
    /// engine answers for good.
    #[test]
    fn all_releases_are_accepted_once_one_engine_answers(
        engines in 1u64..30,
        owed in 1u64..60,
        most_asks in 1usize..20,
        flaps in proptest::collection::vec(0u64..4_000, 30),
        confirmed in any::<bool>(),
    ) {
        let settings = ReleaseSettings { release_within: WITHIN, max_concurrent_attempts: most_asks, max_pending: 1_000 };
        let well = START + 5_000 * MS;
        let mut simulation = Simulation::with(settings, engines, move |id, now| {
            now >= well && id.0 == 1 || (now - START) / MS % 4_000 < flaps[id.0 as usize % 30] / 2
        });
        for request in 0..owed {
            simulation.enqueue(request, confirmed);
        }
        simulation.run_until(well + 20 * WITHIN + owed * engines * 120 * MS / most_asks as u64);
        prop_assert_eq!(simulation.queue.pending(), 0);
        prop_assert!(simulation.max_in_flight <= most_asks);
        for request in 0..owed {
            let accepted = simulation.accepted.iter().filter(|t| t.1 == request).count();
            let least = if confirmed { 1 } else { 3 };
            prop_assert!(accepted >= least);
        }
    }
}
