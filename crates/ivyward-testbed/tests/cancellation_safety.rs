//! Cancellation at any step leaves no open request and no retained KV state: futures are dropped at each of their polls, and
//! nodes are killed at many moments of a request. The tests run in the deterministic simulation, so that every step is
//! covered.

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

/// Drops a future that has not completed after `polls` polls.
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

fn generate_request(call: u64) -> GenerateRequest {
    request(call, &prompt(call as u32, 60), call as u32)
}

/// Waits until no request is open and engines retain nothing. Fails after one second, which is enough for a release.
async fn assert_everything_released(
    runtime: &RuntimeRef,
    nodes: &[Node],
    retained: impl Fn() -> usize,
    what: &str,
) {
    let open = || nodes.iter().map(|n| n.open_requests()).sum::<usize>();
    let until = runtime.now() + 1_000_000;
    while (open(), retained()) != (0, 0) {
        assert!(
            runtime.now() < until,
            "{what}: {} open, {} retained",
            open(),
            retained()
        );
        runtime.sleep(1_000).await;
    }
}

/// Drops the answer of a library call at its first poll, at its second, and so on, until one completes.
#[test]
fn an_answer_dropped_at_each_poll() {
    let cluster = virtual_cluster();
    let (node, ..) = cluster.node(7);
    let (listed, runtime) = (cluster.listed(), cluster.runtime.clone());
    let engines = Arc::new(Mutex::new(cluster.engines));
    let shared_engines = engines.clone();
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        for polls in 0.. {
            let mut answer = node.generate(generate_request(u64::from(polls) + 1), Some(2_000_000));
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
                shared_engines
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|e| e.retained_count())
                    .sum()
            };
            assert_everything_released(
                &runtime,
                std::slice::from_ref(&node),
                sum,
                &format!("dropped at poll {polls}"),
            )
            .await;
            if let Some(end) = done {
                let whole = text::answer(&generate_request(u64::from(polls) + 1).prompt, 6).len();
                assert_eq!(end, (whole, FinalStatus::Served));
                return polls;
            }
        }
        0
    });
    // At least the start of the request, some tokens and the end of the answer.
    assert!(result.as_ref().is_ok_and(|polls| *polls >= 3), "{result:?}");
}

/// Drops a gRPC call of a client in the same way, which resets its stream at each step.
#[test]
fn a_call_dropped_at_each_poll() {
    let cluster = virtual_cluster();
    let (node, address, _) = cluster.node(7);
    let (listed, runtime, log) = (
        cluster.listed(),
        cluster.runtime.clone(),
        cluster.log.clone(),
    );
    let engines = Arc::new(Mutex::new(cluster.engines));
    let shared_engines = engines.clone();
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        let client = Client::connect(&runtime, &log, address).await.unwrap();
        for polls in 0.. {
            let call = u64::from(polls) + 1;
            let behavior = ClientBehavior {
                client_timeout: 2_000_000,
                ..ClientBehavior::default()
            };
            let client_request = ClientRequest {
                request: generate_request(call),
                operation: call,
                idempotency: CallIdempotency::NonIdempotent,
                node: 0,
                behavior,
            };
            let done = drop_after(polls, client.send(&client_request)).await;
            let dropped_at = runtime.now();
            let sum = || {
                shared_engines
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|e| e.retained_count())
                    .sum()
            };
            assert_everything_released(
                &runtime,
                std::slice::from_ref(&node),
                sum,
                &format!("dropped at poll {polls}"),
            )
            .await;
            // The reset reaches the node within a millisecond. After that, no attempt is sent for the call.
            let late = |s: &&ivyward_fakes::LoggedEvent| {
                matches!(s.event, ObservedEvent::AttemptArrived { call: c, .. } if c == call)
                    && s.at > dropped_at + 2_000
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
    assert!(result.as_ref().is_ok_and(|polls| *polls >= 3), "{result:?}");
    // Each call ran at most once, and the last one, which completed, exactly once.
    let ran = |call: u64| {
        let of = |s: &&ivyward_fakes::LoggedEvent| matches!(s.event, ObservedEvent::AttemptRan { call: c, .. } if c == call);
        cluster.log.all().iter().filter(of).count()
    };
    let last = u64::from(result.unwrap()) + 1;
    assert!((1..=last).all(|call| ran(call) <= 1));
    assert_eq!(ran(last), 1);
}

/// Kills a node at many moments of one request, with and without closing its connections: engines release what they retain
/// for it after their own time limit, nothing runs twice, and another node serves at once.
#[test]
fn a_node_killed_at_each_moment() {
    for moment in 0..60 {
        let cluster = virtual_cluster();
        let (node, address, _, host) = cluster.node_at(7);
        let (listed, runtime, log) = (
            cluster.listed(),
            cluster.runtime.clone(),
            cluster.log.clone(),
        );
        let (successor, successor_address, _) = cluster.node(8);
        let engines = Arc::new(Mutex::new(cluster.engines));
        let (shared_engines, sim) = (engines.clone(), cluster.sim.clone());
        let result = cluster.sim.run(&cluster.script, HOUR, async move {
            node.update_endpoints(ListKind::Full, listed.clone()).await;
            successor.update_endpoints(ListKind::Full, listed).await;
            let client = Client::connect(&runtime, &log, address).await.unwrap();
            let behavior = ClientBehavior {
                client_timeout: 2_000_000,
                ..ClientBehavior::default()
            };
            let client_request = ClientRequest {
                request: generate_request(1),
                operation: 1,
                idempotency: CallIdempotency::Idempotent,
                node: 0,
                behavior,
            };
            let (clock, killer) = (runtime.clone(), sim.clone());
            let at = runtime.now() + 500 * moment;
            runtime.run(async move {
                clock.sleep_until(at).await;
                killer.kill(host, moment % 2 == 0);
            });
            client.send(&client_request).await;
            let client = Client::connect(&runtime, &log, successor_address)
                .await
                .unwrap();
            let client_request = ClientRequest {
                request: generate_request(2),
                operation: 2,
                node: 1,
                ..client_request
            };
            let end = client.send(&client_request).await;
            assert_eq!(
                end.outcome,
                ivyward_fakes::event_log::ClientOutcome::Served,
                "{end:?}"
            );
            // Longer than engines retain anything for a dead node.
            runtime.sleep(60_000_000).await;
            (
                successor.open_requests(),
                shared_engines
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|e| e.retained_count())
                    .sum::<usize>(),
            )
        });
        assert_eq!(result, Ok((0, 0)), "killed at moment {moment}");
        let log = cluster.log.all();
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

/// Drops calls to the store at each poll: the client stays usable and the next calls return complete results.
#[test]
fn calls_to_the_store_dropped_at_each_poll() {
    let cluster = virtual_cluster();
    let host: Arc<dyn Processes> = Arc::new(Hosts::of(&cluster.sim));
    let store = Store::start(&host, 1).unwrap();
    for i in 0..20 {
        store.put(&format!("k/{i:02}"), "v");
    }
    let (runtime, endpoint, store) = (cluster.runtime.clone(), store.address(), Mutex::new(store));
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
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
        result
            .as_ref()
            .is_ok_and(|steps| steps.0 > 3 && steps.1 >= 1),
        "{result:?}"
    );
}
