//! Whatever is dropped, and at whichever step, nothing is left behind: futures at each of their polls, processes at many
//! moments of a request's life. In the virtual world, so that each step is met.

mod virtual_cluster;

use ivyward::{FinalStatus, Node, ResponsePart};
use ivyward_core::interface::ListKind;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::CallIdempotency;
use ivyward_fakes::{
    text, Client, ClientBehavior, ClientRequest, Host as Processes, ObservedEvent,
};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use ivyward_testbed::simulation::Hosts;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use virtual_cluster::{prompt, request, virtual_cluster, HOUR};

/// Drops a future that is not done after so many polls.
struct DropAfter<F: Future> {
    future: Option<Pin<Box<F>>>,
    polls: u32,
}

fn drop_after<F: Future>(polls: u32, future: F) -> DropAfter<F> {
    DropAfter {
        future: Some(Box::pin(future)),
        polls,
    }
}

impl<F: Future> Future for DropAfter<F> {
    type Output = Option<F::Output>;
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<F::Output>> {
        let this = &mut *self;
        let Some(future) = this.future.as_mut().filter(|_| this.polls > 0) else {
            this.future = None;
            return Poll::Ready(None);
        };
        this.polls -= 1;
        match future.as_mut().poll(cx) {
            Poll::Ready(done) => Poll::Ready(Some(done)),
            Poll::Pending if this.polls > 0 => Poll::Pending,
            Poll::Pending => {
                this.future = None;
                Poll::Ready(None)
            }
        }
    }
}

fn ask(call: u64) -> GenerateRequest {
    request(call, &prompt(call as u32, 60), call as u32)
}

/// Nothing is in hand and nothing is kept, within what a release takes.
async fn nothing_left(
    runtime: &RuntimeRef,
    nodes: &[Node],
    stage_kept: impl Fn() -> usize,
    what: &str,
) {
    let open = || nodes.iter().map(|n| n.open_requests()).sum::<usize>();
    let until = runtime.now() + 1_000_000;
    while (open(), stage_kept()) != (0, 0) {
        assert!(
            runtime.now() < until,
            "{what}: {} open, {} kept",
            open(),
            stage_kept()
        );
        runtime.sleep(1_000).await;
    }
}

/// The library's answer, dropped at its first poll, its second, and so on until one comes to its end.
#[test]
fn an_answer_dropped_at_each_poll() {
    let stage = virtual_cluster();
    let (node, ..) = stage.node(7);
    let (listed, runtime) = (stage.listed(), stage.runtime.clone());
    let engines = Arc::new(Mutex::new(stage.engines));
    let kept = engines.clone();
    let played = stage.sim.run(&stage.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        for polls in 0.. {
            let mut answer = node.generate(ask(u64::from(polls) + 1), Some(2_000_000));
            let whole = async {
                let mut tokens = 0;
                loop {
                    match answer.next().await {
                        ResponsePart::Tokens(run) => tokens += run.ids.len(),
                        ResponsePart::End(end) => return (tokens, end),
                    }
                }
            };
            let done = drop_after(polls, whole).await;
            drop(answer);
            let sum = || {
                kept.lock()
                    .unwrap()
                    .iter()
                    .map(|e| e.retained_count())
                    .sum()
            };
            nothing_left(
                &runtime,
                std::slice::from_ref(&node),
                sum,
                &format!("dropped at poll {polls}"),
            )
            .await;
            if let Some(end) = done {
                let whole = text::answer(&ask(u64::from(polls) + 1).prompt, 6).len();
                assert_eq!(end, (whole, FinalStatus::Served));
                return polls;
            }
        }
        0
    });
    // Its taking, some tokens and its end.
    assert!(played.as_ref().is_ok_and(|polls| *polls >= 3), "{played:?}");
}

/// The same with a client's call through the door: what it leaves is a stream reset at each step.
#[test]
fn a_call_dropped_at_each_poll() {
    let stage = virtual_cluster();
    let (node, address, _) = stage.node(7);
    let (listed, runtime, log) = (stage.listed(), stage.runtime.clone(), stage.log.clone());
    let engines = Arc::new(Mutex::new(stage.engines));
    let kept = engines.clone();
    let played = stage.sim.run(&stage.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        let client = Client::connect(&runtime, &log, address).await.unwrap();
        for polls in 0.. {
            let call = u64::from(polls) + 1;
            let habit = ClientBehavior {
                client_timeout: 2_000_000,
                ..ClientBehavior::default()
            };
            let one = ClientRequest {
                request: ask(call),
                operation: call,
                idempotency: CallIdempotency::NonIdempotent,
                node: 0,
                behavior: habit,
            };
            let done = drop_after(polls, client.send(&one)).await;
            let left = runtime.now();
            let sum = || {
                kept.lock()
                    .unwrap()
                    .iter()
                    .map(|e| e.retained_count())
                    .sum()
            };
            nothing_left(
                &runtime,
                std::slice::from_ref(&node),
                sum,
                &format!("dropped at poll {polls}"),
            )
            .await;
            // A reset is on its way for less than a millisecond; after it nothing is sent for the call.
            let late = |s: &&ivyward_fakes::LoggedEvent| {
                matches!(s.event, ObservedEvent::AttemptArrived { call: c, .. } if c == call)
                    && s.at > left + 2_000
            };
            assert_eq!(
                log.all().iter().filter(late).count(),
                0,
                "dropped at poll {polls}"
            );
            if done.is_some() {
                return polls;
            }
        }
        0
    });
    assert!(played.as_ref().is_ok_and(|polls| *polls >= 3), "{played:?}");
    // One effect at most for each call, and one for the last.
    let ran = |call: u64| {
        let of = |s: &&ivyward_fakes::LoggedEvent| matches!(s.event, ObservedEvent::AttemptRan { call: c, .. } if c == call);
        stage.log.all().iter().filter(of).count()
    };
    let last = u64::from(played.unwrap()) + 1;
    assert!((1..=last).all(|call| ran(call) <= 1));
    assert_eq!(ran(last), 1);
}

/// A node killed at many moments of one request's life, with and without a word: engines let go of what they kept for it
/// by their own limit, nothing runs twice, and its successor serves at once.
#[test]
fn a_node_killed_at_each_moment() {
    for moment in 0..60 {
        let stage = virtual_cluster();
        let (node, address, _, host) = stage.node_at(7);
        let (listed, runtime, log) = (stage.listed(), stage.runtime.clone(), stage.log.clone());
        let (again, its_address, _) = stage.node(8);
        let engines = Arc::new(Mutex::new(stage.engines));
        let (kept, sim) = (engines.clone(), stage.sim.clone());
        let played = stage.sim.run(&stage.script, HOUR, async move {
            node.update_endpoints(ListKind::Full, listed.clone()).await;
            again.update_endpoints(ListKind::Full, listed).await;
            let client = Client::connect(&runtime, &log, address).await.unwrap();
            let habit = ClientBehavior {
                client_timeout: 2_000_000,
                ..ClientBehavior::default()
            };
            let one = ClientRequest {
                request: ask(1),
                operation: 1,
                idempotency: CallIdempotency::Idempotent,
                node: 0,
                behavior: habit,
            };
            let (clock, killer) = (runtime.clone(), sim.clone());
            let at = runtime.now() + 500 * moment;
            runtime.run(async move {
                clock.sleep_until(at).await;
                killer.kill(host, moment % 2 == 0);
            });
            client.send(&one).await;
            let client = Client::connect(&runtime, &log, its_address).await.unwrap();
            let one = ClientRequest {
                request: ask(2),
                operation: 2,
                node: 1,
                ..one
            };
            let end = client.send(&one).await;
            assert_eq!(
                end.outcome,
                ivyward_fakes::event_log::ClientOutcome::Served,
                "{end:?}"
            );
            // Longer than engines keep anything for a node that is gone.
            runtime.sleep(60_000_000).await;
            (
                again.open_requests(),
                kept.lock()
                    .unwrap()
                    .iter()
                    .map(|e| e.retained_count())
                    .sum::<usize>(),
            )
        });
        assert_eq!(played, Ok((0, 0)), "killed at moment {moment}");
        let log = stage.log.all();
        let ran = |call| {
            log.iter()
                .filter(
                    |s| matches!(s.event, ObservedEvent::AttemptRan { call: c, .. } if c == call),
                )
                .count()
        };
        assert!(ran(1) <= 1 && ran(2) == 1, "killed at moment {moment}");
    }
}

/// Calls to the store, dropped at each poll: the client goes on as if nothing had been.
#[test]
fn calls_to_the_store_dropped_at_each_poll() {
    let stage = virtual_cluster();
    let host: Arc<dyn Processes> = Arc::new(Hosts::of(&stage.sim));
    let store = Store::start(&host, 1).unwrap();
    for i in 0..20 {
        store.put(&format!("k/{i:02}"), "v");
    }
    let (runtime, endpoint, store) = (stage.runtime.clone(), store.address(), Mutex::new(store));
    let played = stage.sim.run(&stage.script, HOUR, async move {
        let options = ivyward_etcd::EtcdOptions {
            page_size: 3,
            ..Default::default()
        };
        let client = ivyward_etcd::Client::new(&runtime, vec![endpoint], options);
        let mut steps = (0, 0);
        for polls in 0.. {
            let list = drop_after(polls, client.list(b"k/")).await;
            let whole = client.list(b"k/").await.unwrap();
            assert_eq!(whole.kvs.len(), 20, "dropped at poll {polls}");
            steps.0 = polls;
            if let Some(list) = list {
                assert_eq!(list.unwrap().kvs.len(), 20);
                break;
            }
        }
        for polls in 0.. {
            let from = store.lock().unwrap().revision() + 1;
            let mut watch = client.watch(b"k/", from).await.unwrap();
            let next = drop_after(polls, watch.next());
            store.lock().unwrap().put("k/01", "w");
            let done = next.await;
            steps.1 = polls;
            if done.is_some() {
                break;
            }
        }
        steps
    });
    assert!(
        played
            .as_ref()
            .is_ok_and(|steps| steps.0 > 3 && steps.1 >= 1),
        "{played:?}"
    );
}
