//! The event loop: the single task that owns the router. It turns messages and timers into events for the router and applies
//! the actions that the router returns.
//!
//! All routing decisions are the router's. Every event goes to the router through [`Driver::handle_event`], and every action
//! is applied by [`Driver::apply_action`]; a recording contains both. The steps of a request are in [`super::attempts`],
//! [`super::reservations`] and [`super::finish`].

use crate::context::NodeContext;
use crate::engines::{Engine, Protocol};
use crate::recording::Recorder;
use crate::request::attempts::SendAction;
use crate::request::engine_table::EngineTable;
use crate::request::messages::{DriverHandle, DriverMessage};
use crate::request::open_requests::OpenRequests;
use crate::request::timers::Timers;
use crate::response::{FailureReason, FinalStatus, RejectReason};
use futures_lite::future::or;
use ivyward_core::interface::{Action, EndpointId, Event, ListKind, Micros};
use ivyward_core::invariants::{Guard, NodePhase, Violation};
use ivyward_core::reservations::ReleaseMode;
use ivyward_core::router::Router;
use ivyward_runtime::{BoxFuture, RuntimeExt, TurnBudget};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tracing::{debug, error, info, warn};

/// How often a stopping node checks whether its releases are done, in microseconds.
const RELEASE_CHECK_INTERVAL: Micros = 5_000;
/// Maximum number of messages that the driver handles before other tasks run.
const MESSAGES_PER_TURN: usize = 64;

/// Owns the router and all open requests.
pub(crate) struct Driver {
    pub(super) context: Arc<NodeContext>,
    pub(super) protocol: Arc<dyn Protocol>,
    pub(super) handle: DriverHandle,
    messages: async_channel::Receiver<DriverMessage>,
    router: Router,
    /// Checks each step against the invariants, independently of the router that decided it.
    pub(super) guard: Guard,
    recorder: Option<Recorder>,
    pub(super) open: OpenRequests,
    pub(super) engines: EngineTable,
    pub(super) timers: Timers,
    actions: Vec<Action>,
    stop_deadline: Option<Micros>,
    pub(super) stop_deadline_passed: bool,
    turn_budget: TurnBudget,
}

/// The arguments of [`Driver::new`].
pub(crate) struct DriverParts {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) handle: DriverHandle,
    pub(crate) messages: async_channel::Receiver<DriverMessage>,
    pub(crate) recorder: Option<Recorder>,
}

/// The timer that wakes the event loop.
struct WakeupTimer {
    at: Micros,
    timer: BoxFuture<()>,
}

/// What wakes the event loop.
enum Wakeup {
    Message(DriverMessage),
    Timer,
    /// All handles were dropped, so that no message can arrive any more.
    Closed,
}

impl Driver {
    pub(crate) fn new(parts: DriverParts) -> Driver {
        let router_settings = &parts.context.router_settings;
        Driver {
            router: Router::new(router_settings.clone(), parts.context.settings.seed),
            guard: Guard::new(router_settings),
            context: parts.context,
            protocol: parts.protocol,
            handle: parts.handle,
            messages: parts.messages,
            recorder: parts.recorder,
            open: OpenRequests::new(),
            engines: EngineTable::default(),
            timers: Timers::default(),
            actions: Vec::new(),
            stop_deadline: None,
            stop_deadline_passed: false,
            turn_budget: TurnBudget::new(MESSAGES_PER_TURN),
        }
    }

    /// Runs until the node has stopped.
    pub(crate) async fn run(mut self) {
        let runtime = self.context.runtime.clone();
        let mut wakeup_timer: Option<WakeupTimer> = None;
        loop {
            let now = runtime.now();
            self.fire_timers(now);
            if self.is_drained(now) {
                break;
            }
            match self.next_wakeup(&mut wakeup_timer).await {
                Wakeup::Message(message) => {
                    let began = runtime.now();
                    self.handle_message(message);
                    self.context.metrics.driver_us.add(runtime.now() - began);
                }
                Wakeup::Timer => {}
                Wakeup::Closed => break,
            }
        }
        let stopped = self.guard.enter_phase(NodePhase::Stopped);
        self.log_violation(0, stopped);
        self.flush_recording();
        self.engines.clients().for_each(|client| client.close());
    }

    async fn next_wakeup(&mut self, wakeup_timer: &mut Option<WakeupTimer>) -> Wakeup {
        self.turn_budget.wait_if_spent().await;
        if let Ok(message) = self.messages.try_recv() {
            self.turn_budget.spend(1);
            return Wakeup::Message(message);
        }
        self.turn_budget.restore();
        // The timer is replaced only by an earlier one. A timer that fires too early only runs the loop once more.
        let due = self.next_due();
        if wakeup_timer.as_ref().is_none_or(|set| due < set.at) {
            let timer = self.context.runtime.sleep_until(due);
            *wakeup_timer = Some(WakeupTimer { at: due, timer });
        }
        let timer = wakeup_timer.as_mut().map(|set| &mut set.timer);
        let fired = async {
            match timer {
                Some(timer) => timer.await,
                None => std::future::pending().await,
            }
            None
        };
        match or(async { Some(self.messages.recv().await) }, fired).await {
            Some(Ok(message)) => Wakeup::Message(message),
            Some(Err(_)) => Wakeup::Closed,
            None => {
                *wakeup_timer = None;
                Wakeup::Timer
            }
        }
    }

    /// The next time at which the loop has something to do without a message.
    fn next_due(&self) -> Micros {
        let timers = self.timers.next_due();
        let stop = self.stop_deadline.filter(|_| !self.stop_deadline_passed);
        let release_check = self
            .stop_deadline
            .filter(|_| self.open.is_empty())
            .map(|_| self.context.runtime.now() + RELEASE_CHECK_INTERVAL);
        [timers, stop, release_check]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Whether a stopping node is done: no request is open, and all releases are done or the stop deadline has passed.
    ///
    /// A node that ended before its releases would leave its KV states and decode slots reserved at the engines.
    fn is_drained(&self, now: Micros) -> bool {
        let all_released = self.context.pending_releases.load(Ordering::SeqCst) == 0;
        self.stop_deadline
            .is_some_and(|deadline| self.open.is_empty() && (all_released || now >= deadline))
    }

    fn fire_timers(&mut self, now: Micros) {
        if self.next_due() > now {
            return;
        }
        let began = self.context.runtime.now();
        while let Some(token) = self.timers.take_due_timer(now) {
            self.handle_event(Event::Timer(token));
        }
        while let Some(id) = self.timers.take_due_deadline(now) {
            self.fail_now(id, FailureReason::Deadline);
        }
        if !self.stop_deadline_passed && self.stop_deadline.is_some_and(|at| at <= now) {
            // The flag makes this happen once. If the deadline stayed due, this task would never yield to the attempts that
            // it cancels here.
            self.stop_deadline_passed = true;
            let ids: Vec<u64> = self.open.keys().copied().collect();
            for id in ids {
                self.fail_now(id, FailureReason::NodeStopped);
            }
        }
        let spent = self.context.runtime.now() - began;
        self.context.metrics.driver_us.add(spent);
    }

    fn handle_message(&mut self, message: DriverMessage) {
        match message {
            DriverMessage::Request(accepted) => self.on_request(accepted),
            DriverMessage::ClientDisconnected(id) => self.on_client_disconnected(id),
            DriverMessage::AttemptDelivered(id, attempt) => self.on_attempt_delivered(id, attempt),
            DriverMessage::FirstToken(id, attempt) => self.on_first_token(id, attempt),
            DriverMessage::AttemptEnded(ended) => self.on_attempt_ended(ended),
            DriverMessage::ReservationResult(result) => self.on_reservation_result(result),
            DriverMessage::HealthCheckResult {
                endpoint,
                alive,
                report,
            } => self.handle_event(Event::HealthCheckResult {
                endpoint,
                alive,
                report,
            }),
            DriverMessage::EndpointList {
                kind,
                engines,
                done,
            } => {
                self.on_endpoint_list(kind, engines);
                // Fails when the sender no longer waits.
                let _ = done.try_send(());
            }
            DriverMessage::ReplicaCount(nodes) => self.handle_event(Event::ReplicaCount(nodes)),
            DriverMessage::Stop { deadline } => self.on_stop(deadline),
            DriverMessage::FlushRecording(done) => {
                self.flush_recording();
                let _ = done.try_send(());
            }
            DriverMessage::ListEngines(reply) => {
                // Fails when the sender no longer waits.
                let _ = reply.try_send(self.engines.clients().cloned().collect());
            }
        }
    }

    /// Passes one event to the router and applies the actions that the router returns. No event reaches the router in any
    /// other way.
    pub(super) fn handle_event(&mut self, event: Event) {
        self.handle_event_at(self.context.runtime.now(), event);
    }

    /// Like [`Driver::handle_event`], for an event that happened at `now`.
    pub(super) fn handle_event_at(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let recorded = self.recorder.is_some().then(|| event.clone());
        let began = self.context.runtime.now();
        self.router.handle(now, event, &mut actions);
        let spent = self.context.runtime.now() - began;
        self.context.metrics.router_us.add(spent);
        if let (Some(recorder), Some(event)) = (self.recorder.as_mut(), recorded) {
            let written = recorder.step(now, &event, &actions);
            self.stop_recording_on_error(written);
        }
        for action in actions.drain(..) {
            self.apply_action(now, action);
        }
        self.actions = actions;
    }

    /// Applies one action of the router. The router acts in no other way.
    fn apply_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                send_deadline,
            } => self.start_attempt(
                now,
                request.0,
                SendAction {
                    endpoint,
                    timeout,
                    send_deadline,
                },
            ),
            Action::Cancel { request, attempt } => self.cancel_attempt(request.0, attempt),
            Action::Reject {
                request,
                retry_after,
            } => self.finish_request(
                request.0,
                FinalStatus::Rejected {
                    retry_after: (retry_after > 0).then_some(retry_after),
                    reason: RejectReason::Overloaded,
                },
            ),
            Action::Fail(request) => self.fail_request(now, request.0),
            Action::ReleaseReservation(request) => self.release_all(request.0),
            Action::ReleaseUnused(request) => self.release_unused(request.0),
            Action::Reserve { request, endpoint } => {
                self.reserve_decode_slot(request.0, endpoint);
            }
            Action::SetTimer { at, token } => self.timers.set_router_timer(at, token),
            Action::HealthCheck(endpoint) => self.check_health(endpoint),
            // The node's owner passes endpoint lists to `Node::update_endpoints` without being asked.
            Action::Subscribe => {}
            Action::Log(line) => info!(target: "ivyward::module", "{line}"),
        }
    }

    fn on_endpoint_list(&mut self, kind: ListKind, engines: Vec<Engine>) {
        let endpoints = self
            .engines
            .apply(&self.context, self.protocol.as_ref(), kind, engines);
        self.context.metrics.engines.set(self.engines.len() as u64);
        self.guard
            .update_endpoints(self.context.runtime.now(), kind, &endpoints);
        if self.guard.phase() == NodePhase::Starting {
            let serving = self.guard.enter_phase(NodePhase::Serving);
            self.log_violation(0, serving);
        }
        self.handle_event(Event::EndpointList { kind, endpoints });
        self.context
            .metrics
            .engines_known
            .set(self.router.known_endpoints() as u64);
    }

    fn on_stop(&mut self, deadline: Micros) {
        let stopping = self.guard.enter_phase(NodePhase::Stopping);
        self.log_violation(0, stopping);
        let earliest = self
            .stop_deadline
            .map_or(deadline, |before| before.min(deadline));
        self.stop_deadline = Some(earliest);
    }

    fn check_health(&mut self, endpoint: EndpointId) {
        let Some(engine) = self.engines.get(endpoint).cloned() else {
            return;
        };
        let (context, handle) = (self.context.clone(), self.handle.clone());
        context.runtime.clone().run(async move {
            let (alive, report) = engine.health_check(context.clone()).await;
            handle.send(DriverMessage::HealthCheckResult {
                endpoint,
                alive,
                report,
            });
        });
    }

    pub(super) fn release_mode(&self) -> ReleaseMode {
        if self.protocol.releases_individually() {
            ReleaseMode::PerReservation
        } else {
            ReleaseMode::PerRequest
        }
    }

    /// Returns the value of a passed check. A violation is counted and logged, and `None` tells the caller to skip the step.
    ///
    /// The first violation of each rule is logged as an error, later ones at debug level.
    pub(super) fn log_violation<T>(&self, request: u64, check: Result<T, Violation>) -> Option<T> {
        let violation = match check {
            Ok(passed) => return Some(passed),
            Err(violation) => violation,
        };
        let counter = &self.context.metrics.violations[violation.rule as usize];
        counter.add(1);
        let name = self
            .open
            .get(&request)
            .map_or("", |open| open.accepted.call.name());
        if counter.get() == 1 {
            error!(request, name, %violation, "invariant violated, step skipped");
        } else {
            debug!(request, name, %violation, "invariant violated, step skipped");
        }
        None
    }

    fn flush_recording(&mut self) {
        if let Some(recorder) = self.recorder.as_mut() {
            let flushed = recorder.flush();
            self.stop_recording_on_error(flushed);
        }
    }

    /// Stops the recording if a write to it failed.
    fn stop_recording_on_error(&mut self, written: std::io::Result<()>) {
        if let Err(error) = written {
            warn!(%error, "recording write failed, recording stopped");
            self.recorder = None;
        }
    }
}
