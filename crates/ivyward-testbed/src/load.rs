//! Generates the load: client sessions, their turns, and the retries of each turn.

use crate::fault_plan::{FaultKind, Plan};
use crate::local_cluster::{call_idempotency, LocalCluster};
use ivyward::core::interface::Micros;
use ivyward_fakes::event_log::{CallIdempotency, ClientOutcome};
use ivyward_fakes::{text, ClientBehavior, ClientRequest, ClientResult};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::RuntimeExt;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::sync::{Arc, Mutex, PoisonError};

/// Record of one request, for the report. Each retry is a request of its own.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Time at which the request was sent, in microseconds from the start of the load.
    pub at: Micros,
    /// Index of its class in the settings.
    pub class: usize,
    /// Result that the client received.
    pub result: ClientResult,
}

/// Amount and rate of the load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of requests of all sessions, not counting retries.
    pub requests: usize,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Maximum number of output tokens; requests of class 1 have twice as many.
    pub output: u32,
}

/// Plan of one session. It is generated before the load starts, so that it does not depend on the course of the run.
#[derive(Clone)]
struct Session {
    starts_at: Micros,
    seed: u64,
    turns: usize,
    class: usize,
    node: usize,
}

fn generate_sessions(plan: &Plan, load: &Load, nodes: usize, classes: usize) -> Vec<Session> {
    let mut random = SmallRng::seed_from_u64(plan.seed ^ 0x5e55);
    let (mut sessions, mut generated, mut at) = (Vec::new(), 0, 0.0);
    // A session has two turns on average.
    let gap = Exp::new(load.rate / 2.0 / 1e6).ok();
    while generated < load.requests {
        let burst = plan
            .active_fault(FaultKind::Burst, at as Micros)
            .map_or(1.0, |s| 1.0 + 3.0 * s.size);
        at += gap.map_or(0.0, |g| g.sample(&mut random)) / burst;
        let turns = random.random_range(1..=3).min(load.requests - generated);
        generated += turns;
        // Class 0 takes 60% of the sessions, class 1 20%, and classes 2 and 3 take 10% each.
        let class = match random.random_range(0..10) {
            0..=5 => 0,
            6..=7 => 1,
            8 => 2,
            _ => 3,
        };
        let class = class.min(classes - 1);
        let node = random.random_range(0..nodes);
        sessions.push(Session {
            starts_at: at as Micros,
            seed: random.random(),
            turns,
            class,
            node,
        });
    }
    sessions
}

/// Runs all sessions and returns a record of every request.
pub async fn run_load(
    cluster: &Arc<LocalCluster>,
    plan: &Arc<Plan>,
    load: &Load,
) -> Vec<RequestRecord> {
    let started_at = cluster.log.now();
    let records: Arc<Mutex<Vec<RequestRecord>>> = Arc::default();
    let (done, wait) = async_channel::bounded::<()>(1);
    let classes = cluster.builder().settings.classes.len();
    for session in generate_sessions(plan, load, cluster.nodes(), classes) {
        cluster
            .runtime
            .sleep((started_at + session.starts_at).saturating_sub(cluster.log.now()))
            .await;
        let (cluster, plan, records, done) =
            (cluster.clone(), plan.clone(), records.clone(), done.clone());
        let runtime = cluster.runtime.clone();
        let load = *load;
        runtime.run(async move {
            run_session(&cluster, &plan, &load, &session, started_at, &records).await;
            drop(done);
        });
    }
    drop(done);
    // Nothing is sent on the channel: `recv` returns an error when the last session drops its sender.
    let _ = wait.recv().await;
    let records = std::mem::take(&mut *records.lock().unwrap_or_else(PoisonError::into_inner));
    records
}

async fn run_session(
    cluster: &Arc<LocalCluster>,
    plan: &Plan,
    load: &Load,
    session: &Session,
    started_at: Micros,
    records: &Mutex<Vec<RequestRecord>>,
) {
    let mut random = SmallRng::seed_from_u64(session.seed);
    let now = || cluster.log.now() - started_at;
    let hot_key = plan
        .active_fault(FaultKind::HotKey, session.starts_at)
        .is_some_and(|s| random.random_bool(0.5 * s.size));
    // Sessions share twelve prefixes of different popularity: squaring the uniform sample makes the first prefix about
    // seven times as frequent as the last (29% and 4%).
    let shared_prefix: u32 = match hot_key {
        true => 4_000 + plan.seed as u32 % 1_000,
        false => 1_000 + (12.0 * random.random::<f64>().powi(2)) as u32,
    };
    let length = if hot_key { 2_000 } else { 300 };
    let mut prompt: Vec<u32> = (0..length).map(|i| shared_prefix ^ (i * 31)).collect();
    let lengths = LogNormal::new(4.6, 0.6).ok();
    for _ in 0..session.turns {
        let mut new_tokens = lengths
            .map_or(100.0_f64, |l| l.sample(&mut random))
            .min(2_000.0) as u32;
        if session.class == 1 {
            new_tokens *= 4;
        }
        if plan
            .active_fault(FaultKind::HeavyTail, now())
            .is_some_and(|s| random.random_bool(0.1 * s.size))
        {
            new_tokens *= 12;
        }
        let new_tokens = new_tokens.clamp(1, 20_000);
        prompt.extend((0..new_tokens).map(|_| random.random::<u32>() >> 8));
        let output = if session.class == 1 {
            2 * load.output
        } else {
            load.output
        };
        send_turn(
            cluster,
            plan,
            session,
            &mut random,
            started_at,
            (&prompt, length, output),
            records,
        )
        .await;
        prompt.extend(text::answer(&prompt, output));
        let think_time = random.random_range(50_000..400_000);
        cluster.runtime.sleep(think_time).await;
    }
}

/// Sends one request and its retries.
async fn send_turn(
    cluster: &Arc<LocalCluster>,
    plan: &Plan,
    session: &Session,
    random: &mut SmallRng,
    started_at: Micros,
    (prompt, shared_prefix_tokens, output): (&[u32], u32, u32),
    records: &Mutex<Vec<RequestRecord>>,
) {
    let class = &cluster.builder().settings.classes[session.class];
    let operation = cluster.call_id();
    let idempotency = call_idempotency(&class.settings);
    let retry_abuse = plan
        .active_fault(FaultKind::RetryAbuse, cluster.log.now() - started_at)
        .is_some();
    let max_tries = if retry_abuse { 8 } else { 3 };
    for attempt in 0..max_tries {
        let at = cluster.log.now() - started_at;
        // Stands for a load balancer in front of the nodes: each retry goes to the next node, so that a client whose node
        // is down reaches another one.
        let node = (session.node + attempt) % cluster.nodes();
        let mut behavior = ClientBehavior {
            client_timeout: class.settings.deadline,
            ..ClientBehavior::default()
        };
        behavior.client_timeout =
            (behavior.client_timeout as f64 * random.random_range(0.5..1.0)) as Micros;
        if plan
            .active_fault(FaultKind::GiveUp, at)
            .is_some_and(|s| random.random_bool(0.6 * s.size))
        {
            behavior.disconnect_after = Some(random.random_range(1_000..400_000));
        }
        if random.random_bool(0.01) {
            behavior.disconnect_at_token = Some(random.random_range(1..=output / 2));
        }
        let request = GenerateRequest {
            prompt: prompt.to_vec(),
            max_output_tokens: output,
            session: format!("s{:x}", session.seed),
            shared_opening_tokens: shared_prefix_tokens,
            class: class.name.clone(),
            repeat: attempt > 0,
            idempotency_key: format!("op{operation:x}"),
            call_id: cluster.call_id(),
            ..GenerateRequest::default()
        };
        let client_request = ClientRequest {
            request,
            operation,
            idempotency,
            node,
            behavior,
        };
        let Some(result) = cluster.send(&client_request).await else {
            // The node is not running, and nothing was sent.
            cluster.runtime.sleep(20_000).await;
            continue;
        };
        let outcome = result.outcome;
        let pause = if retry_abuse {
            1_000
        } else {
            result.pushback.unwrap_or(50_000)
        };
        records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(RequestRecord {
                at,
                class: session.class,
                result,
            });
        let retry = match (outcome, idempotency) {
            (ClientOutcome::Rejected, _) => true,
            // A failed request may have taken effect, so it is retried only if it is idempotent or has an idempotency key.
            (ClientOutcome::Failed | ClientOutcome::Unreachable, CallIdempotency::Idempotent) => {
                true
            }
            (ClientOutcome::Failed | ClientOutcome::Unreachable, CallIdempotency::WithKey(..)) => {
                true
            }
            _ => false,
        };
        if !retry {
            return;
        }
        cluster.runtime.sleep(pause).await;
    }
}
