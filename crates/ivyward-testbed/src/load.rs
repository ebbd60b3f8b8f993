//! Sessions and their turns: what clients ask, and how they come back.

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

/// One try, as reports count it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Microseconds from the day's start.
    pub at: Micros,
    /// Its class.
    pub class: usize,
    /// How it ended.
    pub end: ClientResult,
}

/// The load of a day.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// First tries of all sessions.
    pub requests: usize,
    /// Requests a second, on the mean.
    pub rate: f64,
    /// Most output tokens of a quick answer; long ones have twice as many.
    pub output: u32,
}

/// What one session does: drawn before the day begins, so that it does not hang on how the day goes.
#[derive(Clone)]
struct Session {
    begins: Micros,
    seed: u64,
    turns: usize,
    class: usize,
    node: usize,
}

fn draw(plan: &Plan, load: &Load, nodes: usize, classes: usize) -> Vec<Session> {
    let mut random = SmallRng::seed_from_u64(plan.seed ^ 0x5e55);
    let (mut sessions, mut asked, mut at) = (Vec::new(), 0, 0.0);
    // Two turns a session, on the mean.
    let gap = Exp::new(load.rate / 2.0 / 1e6).ok();
    while asked < load.requests {
        let burst = plan
            .active_fault(FaultKind::Burst, at as Micros)
            .map_or(1.0, |s| 1.0 + 3.0 * s.size);
        at += gap.map_or(0.0, |g| g.sample(&mut random)) / burst;
        let turns = random.random_range(1..=3).min(load.requests - asked);
        asked += turns;
        // Six of ten are quick, the rest by turns.
        let class = match random.random_range(0..10) {
            0..=5 => 0,
            6..=7 => 1,
            8 => 2,
            _ => 3,
        };
        let class = class.min(classes - 1);
        let node = random.random_range(0..nodes);
        sessions.push(Session {
            begins: at as Micros,
            seed: random.random(),
            turns,
            class,
            node,
        });
    }
    sessions
}

/// Plays all sessions and returns every try.
pub async fn run_load(
    scene: &Arc<LocalCluster>,
    plan: &Arc<Plan>,
    load: &Load,
) -> Vec<RequestRecord> {
    let begun = scene.log.now();
    let tries: Arc<Mutex<Vec<RequestRecord>>> = Arc::default();
    let (done, wait) = async_channel::bounded::<()>(1);
    let classes = scene.builder().settings.classes.len();
    for session in draw(plan, load, scene.nodes(), classes) {
        scene
            .runtime
            .sleep((begun + session.begins).saturating_sub(scene.log.now()))
            .await;
        let (scene, plan, tries, done) = (scene.clone(), plan.clone(), tries.clone(), done.clone());
        let runtime = scene.runtime.clone();
        let load = *load;
        runtime.run(async move {
            follow(&scene, &plan, &load, &session, begun, &tries).await;
            drop(done);
        });
    }
    drop(done);
    // Ends with an error when the last session is over.
    let _ = wait.recv().await;
    let tries = std::mem::take(&mut *tries.lock().unwrap_or_else(PoisonError::into_inner));
    tries
}

async fn follow(
    scene: &Arc<LocalCluster>,
    plan: &Plan,
    load: &Load,
    session: &Session,
    begun: Micros,
    tries: &Mutex<Vec<RequestRecord>>,
) {
    let mut random = SmallRng::seed_from_u64(session.seed);
    let now = || scene.log.now() - begun;
    let hot = plan
        .active_fault(FaultKind::HotKey, session.begins)
        .is_some_and(|s| random.random_bool(0.5 * s.size));
    // Openings by popularity: the first of twelve is asked twelve times as often as the last.
    let opening: u32 = match hot {
        true => 4_000 + plan.seed as u32 % 1_000,
        false => 1_000 + (12.0 * random.random::<f64>().powi(2)) as u32,
    };
    let length = if hot { 2_000 } else { 300 };
    let mut prompt: Vec<u32> = (0..length).map(|i| opening ^ (i * 31)).collect();
    let lengths = LogNormal::new(4.6, 0.6).ok();
    for _ in 0..session.turns {
        let mut new = lengths
            .map_or(100.0_f64, |l| l.sample(&mut random))
            .min(2_000.0) as u32;
        if session.class == 1 {
            new *= 4;
        }
        if plan
            .active_fault(FaultKind::HeavyTail, now())
            .is_some_and(|s| random.random_bool(0.1 * s.size))
        {
            new *= 12;
        }
        let new = new.clamp(1, 20_000);
        prompt.extend((0..new).map(|_| random.random::<u32>() >> 8));
        let output = if session.class == 1 {
            2 * load.output
        } else {
            load.output
        };
        turn(
            scene,
            plan,
            session,
            &mut random,
            begun,
            (&prompt, length, output),
            tries,
        )
        .await;
        prompt.extend(text::answer(&prompt, output));
        let think = random.random_range(50_000..400_000);
        scene.runtime.sleep(think).await;
    }
}

/// One request with its retries.
async fn turn(
    scene: &Arc<LocalCluster>,
    plan: &Plan,
    session: &Session,
    random: &mut SmallRng,
    begun: Micros,
    (prompt, opening, output): (&[u32], u32, u32),
    tries: &Mutex<Vec<RequestRecord>>,
) {
    let class = &scene.builder().settings.classes[session.class];
    let operation = scene.call_id();
    let effect = call_idempotency(&class.settings);
    let abuse = plan
        .active_fault(FaultKind::RetryAbuse, scene.log.now() - begun)
        .is_some();
    let most_tries = if abuse { 8 } else { 3 };
    for attempt in 0..most_tries {
        let at = scene.log.now() - begun;
        // A front layer spreads clients; one whose node is gone goes to the next.
        let node = (session.node + attempt) % scene.nodes();
        let mut habit = ClientBehavior {
            client_timeout: class.settings.deadline,
            ..ClientBehavior::default()
        };
        habit.client_timeout =
            (habit.client_timeout as f64 * random.random_range(0.5..1.0)) as Micros;
        if plan
            .active_fault(FaultKind::GiveUp, at)
            .is_some_and(|s| random.random_bool(0.6 * s.size))
        {
            habit.disconnect_after = Some(random.random_range(1_000..400_000));
        }
        if random.random_bool(0.01) {
            habit.disconnect_at_token = Some(random.random_range(1..=output / 2));
        }
        let request = GenerateRequest {
            prompt: prompt.to_vec(),
            max_output_tokens: output,
            session: format!("s{:x}", session.seed),
            shared_opening_tokens: opening,
            class: class.name.clone(),
            repeat: attempt > 0,
            idempotency_key: format!("op{operation:x}"),
            call_id: scene.call_id(),
            ..GenerateRequest::default()
        };
        let ask = ClientRequest {
            request,
            operation,
            idempotency: effect,
            node,
            behavior: habit,
        };
        let Some(end) = scene.send(&ask).await else {
            // Nobody there: nothing was sent.
            scene.runtime.sleep(20_000).await;
            continue;
        };
        let how = end.outcome;
        let pause = if abuse {
            1_000
        } else {
            end.pushback.unwrap_or(50_000)
        };
        tries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(RequestRecord {
                at,
                class: session.class,
                end,
            });
        let again = match (how, effect) {
            (ClientOutcome::Rejected, _) => true,
            // A failure promises nothing: only what may be repeated freely is.
            (ClientOutcome::Failed | ClientOutcome::Unreachable, CallIdempotency::Idempotent) => {
                true
            }
            (ClientOutcome::Failed | ClientOutcome::Unreachable, CallIdempotency::WithKey(..)) => {
                true
            }
            _ => false,
        };
        if !again {
            return;
        }
        scene.runtime.sleep(pause).await;
    }
}
