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
    let_go: ReleaseQueue,
    takers: BTreeMap<EndpointId, ReleaseTarget>,
    /// Whether an engine answers at a time.
    answers: Box<dyn Fn(EndpointId, Micros) -> bool>,
    way: Micros,
    /// Asks under way by the time of their end.
    out: Vec<(Micros, ReleaseAttempt, ReleaseResult)>,
    most_out: usize,
    asks: Vec<(Micros, ReleaseAttempt)>,
    taken: Vec<(Micros, u64)>,
    /// Requests without a pending release.
    done: BTreeMap<u64, Micros>,
    owing: Vec<u64>,
}

impl Simulation {
    fn new(engines: u64, answers: impl Fn(EndpointId, Micros) -> bool + 'static) -> Simulation {
        Simulation::with(
            ReleaseSettings {
                within: WITHIN,
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
        let taker = |i| ReleaseTarget {
            id: EndpointId(i),
            last_response: START - 100 * MS + i,
            last_failure: 0,
            has_idle_connection: true,
            is_draining: false,
        };
        Simulation {
            now: START,
            let_go: ReleaseQueue::new(settings),
            takers: (1..=engines).map(|i| (EndpointId(i), taker(i))).collect(),
            answers: Box::new(answers),
            way: 3 * MS,
            out: Vec::new(),
            most_out: 0,
            asks: Vec::new(),
            taken: Vec::new(),
            done: BTreeMap::new(),
            owing: Vec::new(),
        }
    }
    fn enqueue(&mut self, request: u64, sure: bool) -> Option<u64> {
        self.owing.push(request);
        self.let_go.enqueue(self.now, request, sure)
    }
    /// Simulates until a time, or until no release is pending.
    fn until(&mut self, end: Micros) {
        loop {
            let takers: Vec<ReleaseTarget> = self.takers.values().copied().collect();
            for ask in self.let_go.next_attempts(self.now, &takers) {
                let answers = (self.answers)(ask.target, self.now);
                let (at, answer) = match answers {
                    true => (self.now + self.way, ReleaseResult::Accepted),
                    false => (ask.deadline, ReleaseResult::Failed),
                };
                self.asks.push((self.now, ask));
                self.out.push((at, ask, answer));
            }
            self.most_out = self.most_out.max(self.out.len());
            let met: Vec<u64> = self
                .owing
                .iter()
                .copied()
                .filter(|r| !self.let_go.is_pending(*r))
                .collect();
            self.owing.retain(|r| self.let_go.is_pending(*r));
            self.done
                .extend(met.into_iter().map(|request| (request, self.now)));
            let next = self
                .out
                .iter()
                .map(|o| o.0)
                .chain(self.let_go.next_deadline())
                .min()
                .unwrap_or(Micros::MAX);
            if self.let_go.pending() == 0 && self.out.is_empty() || next > end {
                self.now = if next > end { end } else { self.now };
                return;
            }
            assert!(next >= self.now, "time does not run back");
            self.now = next;
            self.out.sort_by_key(|o| o.0);
            while self.out.first().is_some_and(|o| o.0 <= self.now) {
                let (at, ask, answer) = self.out.remove(0);
                let taker = self.takers.get_mut(&ask.target).unwrap();
                let silent = taker.silent();
                match answer {
                    ReleaseResult::Accepted => {
                        taker.last_response = at;
                        self.taken.push((at, ask.request));
                    }
                    _ => taker.last_failure = at,
                }
                self.let_go.on_result(self.now, &ask, answer);
                if answer == ReleaseResult::Accepted && silent {
                    self.let_go.endpoint_recovered(self.now);
                }
            }
        }
    }
}

#[test]
fn a_recently_responsive_engine_is_asked_alone() {
    let mut play = Simulation::new(40, |_, _| true);
    play.takers.get_mut(&EndpointId(7)).unwrap().last_response = START - 1;
    play.takers.get_mut(&EndpointId(9)).unwrap().last_response = START;
    play.takers
        .get_mut(&EndpointId(9))
        .unwrap()
        .has_idle_connection = false;
    play.enqueue(1, true);
    play.until(START + WITHIN);
    assert_eq!(play.asks.len(), 1, "one ask is enough: {:?}", play.asks);
    assert_eq!(
        play.asks[0].1.target,
        EndpointId(7),
        "no new connection where one stands"
    );
    assert_eq!(play.done[&1], START + play.way);
}

#[test]
fn draining_and_silent_engines_are_asked_last() {
    let mut play = Simulation::new(3, |_, _| true);
    play.takers.get_mut(&EndpointId(3)).unwrap().is_draining = true;
    play.takers.get_mut(&EndpointId(2)).unwrap().last_failure = START;
    play.enqueue(1, true);
    play.until(START + WITHIN);
    assert_eq!(play.asks[0].1.target, EndpointId(1));
}

/// A cut has just begun: five engines that responded a moment ago, with idle connections, are silent.
#[test]
fn silent_engines_do_not_use_up_the_time() {
    for silent in 0..=5 {
        let mut play = Simulation::new(40, move |id, _| id.0 <= 40 - silent);
        play.enqueue(1, true);
        play.until(START + 10 * WITHIN);
        let took = play.done[&1] - START;
        assert!(took <= WITHIN * 3 / 10, "{silent} silent: {took} us");
        assert!(play.most_out <= 6, "{} at once", play.most_out);
        // Later releases know: no silent engine is asked.
        let asked = play.asks.len();
        play.enqueue(2, true);
        play.until(play.now + WITHIN);
        assert_eq!(play.asks.len(), asked + 1, "{silent} silent");
        assert!(play.asks.len() as u64 <= silent + 4);
    }
}

#[test]
fn three_hundred_releases_stay_within_their_connections_and_time() {
    // A third of the engines is behind the cut; and, worse than any cut, all those that responded last.
    for (last_ones, within) in [(false, WITHIN), (true, 3 * WITHIN)] {
        let mut play = Simulation::new(
            300,
            move |id, _| if last_ones { id.0 <= 200 } else { id.0 % 3 > 0 },
        );
        for request in 0..300 {
            play.enqueue(request, true);
        }
        play.until(START + 10 * WITHIN);
        assert_eq!(play.let_go.pending(), 0);
        assert!(play.most_out <= 28);
        let last = play.done.values().max().unwrap() - START;
        assert!(last <= within, "the last after {last} us");
        assert!(play.asks.len() <= 300 + 110, "{} asks", play.asks.len());
    }
}

#[test]
fn while_all_are_silent_a_release_stays_pending_until_the_first_response() {
    let back = START + 60_000 * MS;
    let mut play = Simulation::new(60, move |id, now| id == EndpointId(17) && now >= back);
    for request in 0..20 {
        play.enqueue(request, request % 2 == 0);
    }
    play.until(back);
    assert_eq!(play.let_go.pending(), 20, "nothing is given up");
    assert!(
        play.asks.len() < 20 * 60,
        "{} asks in a minute",
        play.asks.len()
    );
    // That engine responds to something else.
    play.takers.get_mut(&EndpointId(17)).unwrap().last_response = back;
    play.let_go.endpoint_recovered(back);
    play.until(back + 4 * WITHIN);
    assert_eq!(play.let_go.pending(), 0);
    let first = |request| play.taken.iter().find(|t| t.1 == request).unwrap().0;
    assert!(
        (0..20).all(|r| first(r) <= back + 2 * play.way),
        "at once, and not after a pause"
    );
}

/// Hundreds of silent engines, one of which recovered without responding to anything else: found within some pauses.
#[test]
fn one_recovered_engine_among_hundreds_is_found_soon() {
    for requests in [1, 50] {
        let back = START + 20_000 * MS;
        let mut play = Simulation::new(400, move |id, now| id == EndpointId(17) && now >= back);
        for request in 0..requests {
            play.enqueue(request, true);
        }
        play.until(back);
        let asked = play.asks.len();
        assert!(asked < 2_000, "{asked} asks in 20 s");
        play.until(back + 60_000 * MS);
        let last = play.done.values().max().copied().unwrap_or(Micros::MAX);
        assert!(
            last - back < 12_000 * MS,
            "{requests} owed: {} us",
            last - back
        );
    }
}

#[test]
fn reservations_that_may_be_on_their_way_are_released_again() {
    let mut play = Simulation::new(5, |_, _| true);
    play.enqueue(1, false);
    play.until(START + 4 * WITHIN);
    let taken: Vec<Micros> = play.taken.iter().map(|t| t.0 - START).collect();
    assert_eq!(taken.len(), 3, "{taken:?}");
    assert!(
        taken[1] >= WITHIN / 3 && taken[2] >= WITHIN && taken[2] <= WITHIN + 20 * MS,
        "{taken:?}"
    );
    // Another release after the first was accepted: all begins anew, and what is unconfirmed stays so.
    play.enqueue(2, false);
    play.until(play.now + 10 * MS);
    let before = play.taken.len();
    play.let_go.enqueue(play.now, 2, true);
    play.until(play.now + 4 * WITHIN);
    assert_eq!(play.taken.len(), before + 3);
    assert_eq!(play.let_go.pending(), 0);
}

#[test]
fn a_withdrawn_release_is_not_sent() {
    let mut play = Simulation::new(5, |_, _| true);
    play.enqueue(1, false);
    play.until(START + 10 * MS);
    assert!(play.let_go.withdraw(1), "repeats were still to come");
    assert!(!play.let_go.withdraw(1) && !play.let_go.withdraw(2));
    play.until(START + 4 * WITHIN);
    assert_eq!(play.taken.len(), 1);
    // An answer that comes after all changes nothing.
    play.enqueue(3, true);
    let takers: Vec<ReleaseTarget> = play.takers.values().copied().collect();
    let asks = play.let_go.next_attempts(play.now, &takers);
    play.let_go.withdraw(3);
    play.let_go
        .on_result(play.now + 1, &asks[0], ReleaseResult::Accepted);
    assert_eq!(
        (play.let_go.pending(), play.let_go.next_deadline()),
        (0, None)
    );
}

#[test]
fn beyond_the_limit_the_oldest_release_is_abandoned() {
    let settings = ReleaseSettings {
        within: WITHIN,
        max_concurrent_attempts: 4,
        max_pending: 3,
    };
    let mut play = Simulation::with(settings, 2, |_, _| false);
    assert_eq!(
        [
            play.enqueue(1, true),
            play.enqueue(2, true),
            play.enqueue(3, true)
        ],
        [None; 3]
    );
    assert_eq!(
        play.enqueue(2, true),
        None,
        "one that is owed already takes no more room"
    );
    assert_eq!(play.enqueue(4, true), Some(1));
    assert_eq!(play.let_go.pending(), 3);
}

#[test]
fn a_node_that_shuts_down_releases_first_and_for_a_limited_time() {
    let mut play = Simulation::new(4, |_, now| now >= START + 1_000 * MS);
    play.enqueue(1, true);
    play.let_go.shut_down(START);
    play.until(START + 2_500 * MS);
    assert_eq!(play.let_go.pending(), 0, "met while it waits");
    let mut play = Simulation::new(4, |_, _| false);
    play.enqueue(1, true);
    play.let_go.shut_down(START);
    play.until(START + 2_900 * MS);
    assert!(play.let_go.take_abandoned(play.now).is_empty() && play.let_go.pending() == 1);
    assert_eq!(play.let_go.take_abandoned(START + 10 * WITHIN), [1]);
    assert_eq!(
        (play.let_go.pending(), play.let_go.next_deadline()),
        (0, None)
    );
}

#[test]
fn lack_of_descriptors_does_not_count_against_an_engine() {
    let mut play = Simulation::new(1, |_, _| true);
    play.enqueue(1, true);
    let takers: Vec<ReleaseTarget> = play.takers.values().copied().collect();
    let ask = play.let_go.next_attempts(play.now, &takers)[0];
    play.let_go
        .on_result(play.now, &ask, ReleaseResult::NoLocalResources);
    let again = play.let_go.next_deadline().unwrap();
    assert!(
        again > START && again <= START + WITHIN / 5,
        "soon, and not at once"
    );
    play.now = again;
    play.until(again + WITHIN);
    assert_eq!(play.let_go.pending(), 0);
}

#[test]
fn a_very_short_span_leaves_time_for_answers() {
    for within in [0, MS, 20 * MS] {
        let settings = ReleaseSettings {
            within,
            max_concurrent_attempts: 28,
            max_pending: 10,
        };
        let mut play = Simulation::with(settings, 8, |id, _| id.0 <= 6);
        play.way = 8 * MS;
        play.enqueue(1, true);
        play.until(START + 1_000 * MS);
        assert!(
            play.done[&1] <= START + 40 * MS,
            "{within}: {}",
            play.done[&1] - START
        );
    }
}

#[test]
fn without_engines_a_release_waits() {
    let mut play = Simulation::new(0, |_, _| true);
    play.enqueue(1, true);
    play.until(START + 5_000 * MS);
    assert_eq!((play.let_go.pending(), play.asks.len()), (1, 0));
    let id = EndpointId(1);
    play.takers.insert(
        id,
        ReleaseTarget {
            id,
            last_response: 0,
            last_failure: 0,
            has_idle_connection: false,
            is_draining: false,
        },
    );
    play.until(START + 8_000 * MS);
    assert_eq!(play.let_go.pending(), 0);
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
        sure in any::<bool>(),
    ) {
        let settings = ReleaseSettings { within: WITHIN, max_concurrent_attempts: most_asks, max_pending: 1_000 };
        let well = START + 5_000 * MS;
        let mut play = Simulation::with(settings, engines, move |id, now| {
            now >= well && id.0 == 1 || (now - START) / MS % 4_000 < flaps[id.0 as usize % 30] / 2
        });
        for request in 0..owed {
            play.enqueue(request, sure);
        }
        play.until(well + 20 * WITHIN + owed * engines * 120 * MS / most_asks as u64);
        prop_assert_eq!(play.let_go.pending(), 0);
        prop_assert!(play.most_out <= most_asks);
        for request in 0..owed {
            let taken = play.taken.iter().filter(|t| t.1 == request).count();
            let least = if sure { 1 } else { 3 };
            prop_assert!(taken >= least);
        }
    }
}
