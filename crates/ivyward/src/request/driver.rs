//! The one task that owns the module: turns what happened into events and carries out what it decides.
//!
//! It decides nothing itself. What the module is told goes through [`Driver::tell`], what it asks for through
//! [`Driver::carry_out`]; both are what a recording holds.

use crate::context::NodeContext;
use crate::engines::{
    AttemptRequest, AttemptResult, Call, CancelReason, Engine, EngineHandle, Protocol,
    ReleaseRequest, Reservation, ReservationStatus, ReserveRequest,
};
use crate::recording::Recorder;
use crate::request::messages::{AcceptedRequest, AttemptEnded, DriverHandle, DriverMessage};
use crate::response::{FailureReason, FinalStatus, RejectReason};
use futures_lite::future::or;
use ivyward_core::interface::{
    Action, EndpointId, EndpointState, Event, ListKind, Micros, Outcome, RequestId, Role,
};
use ivyward_core::invariants::{AnswerKind, AttemptReason, Guard, NodePhase, Rule, Violation};
use ivyward_core::mutations::{self, Mutation};
use ivyward_core::router::Router;
use ivyward_runtime::{BoxFuture, RuntimeExt};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tracing::{debug, error, info, warn};

/// How often a node that stops looks whether all was let go of.
const LOOK: Micros = 5_000;

struct Attempt {
    link: Option<EngineHandle>,
    reads: bool,
    out: bool,
    stop: async_channel::Sender<CancelReason>,
}

struct Open {
    taken: Box<AcceptedRequest>,
    attempts: Vec<Attempt>,
    /// Where its read state waits: an index into `kept` is too fragile, so link and attempt.
    state: Option<(EngineHandle, u16)>,
    kept: Vec<Reservation>,
    /// What attempts before this one left was let go of.
    let_go: u16,
    /// Holds that are under way; dropping one ends it.
    holds: Vec<async_channel::Sender<()>>,
    streaming: bool,
    answered: bool,
    /// The entry in [`Driver::deadlines`].
    deadline: Micros,
    /// What the last failed attempt said.
    last: String,
}

impl Open {
    /// Whether this attempt is out.
    fn out(&self, attempt: u16) -> bool {
        self.attempts
            .get(usize::from(attempt))
            .is_some_and(|a| a.out)
    }
}

/// When a request whose time is over at `by` gets its answer whatever the module and the attempts do: half the margin before
/// its client's patience ends.
fn final_deadline(shared: &NodeContext, by: Micros) -> Micros {
    by.saturating_add(shared.settings.answer_margin / 2)
}

pub(crate) struct Driver {
    shared: Arc<NodeContext>,
    protocol: Arc<dyn Protocol>,
    inbox: DriverHandle,
    notices: async_channel::Receiver<DriverMessage>,
    router: Router,
    /// Checks each step against the rules, apart from what decided it.
    guard: Guard,
    recorder: Option<Recorder>,
    open: BTreeMap<u64, Open>,
    links: BTreeMap<EndpointId, (EngineHandle, u8)>,
    deadlines: BTreeSet<(Micros, u64)>,
    timers: BTreeSet<(Micros, u64, u64)>,
    timer_seq: u64,
    actions: Vec<Action>,
    stop_by: Option<Micros>,
    stop_over: bool,
}

impl Driver {
    pub(crate) fn new(
        shared: Arc<NodeContext>,
        protocol: Arc<dyn Protocol>,
        (inbox, notices): (DriverHandle, async_channel::Receiver<DriverMessage>),
        recorder: Option<Recorder>,
    ) -> Driver {
        let router = Router::new(shared.router_settings.clone(), shared.settings.seed);
        let guard = Guard::new(&shared.router_settings);
        Driver {
            guard,
            shared,
            protocol,
            inbox,
            notices,
            router,
            recorder,
            open: BTreeMap::new(),
            links: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            timer_seq: 0,
            actions: Vec::new(),
            stop_by: None,
            stop_over: false,
        }
    }

    pub(crate) async fn run(mut self) {
        let runtime = self.shared.runtime.clone();
        let mut armed: Option<(Micros, BoxFuture<()>)> = None;
        loop {
            let now = runtime.now();
            self.fire(now);
            if self.over(now) {
                break;
            }
            let notice = match self.notices.try_recv() {
                Ok(notice) => Some(notice),
                Err(_) => {
                    // The timer is set anew only for an earlier time; one that rings too early does no harm.
                    let due = self.due();
                    if armed.as_ref().is_none_or(|(at, _)| due < *at) {
                        armed = Some((due, runtime.sleep_until(due)));
                    }
                    let timer = armed.as_mut().map(|(_, timer)| timer);
                    let rung = async {
                        match timer {
                            Some(timer) => timer.await,
                            None => std::future::pending().await,
                        }
                        None
                    };
                    let told = or(async { Some(self.notices.recv().await) }, rung).await;
                    match told {
                        Some(Ok(notice)) => Some(notice),
                        // All handles are gone: nobody is left to serve.
                        Some(Err(_)) => break,
                        None => {
                            armed = None;
                            None
                        }
                    }
                }
            };
            if let Some(notice) = notice {
                let began = runtime.now();
                self.take(notice);
                self.shared.metrics.driver_us.add(runtime.now() - began);
            }
        }
        let ended = self.guard.enter(NodePhase::Stopped);
        self.checked(0, ended);
        self.flush();
        self.links.values().for_each(|(link, _)| link.close());
    }

    fn flush(&mut self) {
        if let Some(Err(e)) = self.recorder.as_mut().map(Recorder::flush) {
            warn!(error = %e, "the recording ends here: it cannot be written");
            self.recorder = None;
        }
    }

    fn due(&self) -> Micros {
        let timers = self.timers.first().map(|t| t.0);
        let deadlines = self.deadlines.first().map(|d| d.0);
        let stop = self.stop_by.filter(|_| !self.stop_over);
        let look = self
            .stop_by
            .filter(|_| self.open.is_empty())
            .map(|_| self.shared.runtime.now() + LOOK);
        [timers, deadlines, stop, look]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Whether a node that is to stop is done. One that ended before its releases would leave what it held pinned.
    fn over(&self, now: Micros) -> bool {
        let settled = self.shared.pending_releases.load(Ordering::SeqCst) == 0;
        self.stop_by
            .is_some_and(|by| self.open.is_empty() && (settled || now >= by))
    }

    fn fire(&mut self, now: Micros) {
        if self.due() > now {
            return;
        }
        let began = self.shared.runtime.now();
        self.fire_due(now);
        self.shared
            .metrics
            .driver_us
            .add(self.shared.runtime.now() - began);
    }

    fn fire_due(&mut self, now: Micros) {
        while let Some((at, seq, token)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, seq, token));
            self.tell(Event::Timer(token));
        }
        while let Some((at, id)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.deadlines.remove(&(at, id));
            self.end_now(id, FailureReason::Deadline);
        }
        if !self.stop_over && self.stop_by.is_some_and(|by| by <= now) {
            // Once: a time that stays due would keep this task from ever yielding to the attempts that are to end.
            self.stop_over = true;
            let ids: Vec<u64> = self.open.keys().copied().collect();
            for id in ids {
                self.end_now(id, FailureReason::NodeStopped);
            }
        }
    }

    /// Takes note of a step's check: whether it may be taken. Each kind of violation is logged once.
    fn checked<T>(&self, request: u64, check: Result<T, Violation>) -> Option<T> {
        let violation = match check {
            Ok(passed) => return Some(passed),
            Err(violation) => violation,
        };
        let counter = &self.shared.metrics.violations[violation.rule as usize];
        counter.add(1);
        let name = self
            .open
            .get(&request)
            .map_or("", |open| open.taken.call.name());
        if counter.get() == 1 {
            error!(request, name, %violation, "an invariant does not hold; the step is left out");
        } else {
            debug!(request, name, %violation, "an invariant does not hold; the step is left out");
        }
        None
    }

    /// The client's time, or the node's, is over: it gets its answer now, whatever is out.
    fn end_now(&mut self, id: u64, why: FailureReason) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if !open.answered {
            open.answered = true;
            open.holds.clear();
            if open.taken.call.finish(FinalStatus::Failed(why)) {
                self.shared.metrics.failed.add(1);
            }
            let answered = self.guard.answer(RequestId(id), AnswerKind::Failed);
            self.checked(id, answered);
            self.tell(Event::ClientDisconnected(RequestId(id)));
        }
        self.give_up_attempts(id);
        self.sweep(id);
    }

    fn give_up_attempts(&mut self, id: u64) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        for attempt in open.attempts.iter().filter(|a| a.out) {
            // Full means that it was told already; what it was told first was no less.
            let _ = attempt.stop.try_send(CancelReason::RequestFinished);
        }
    }

    fn take(&mut self, notice: DriverMessage) {
        match notice {
            DriverMessage::Request(taken) => self.on_request(taken),
            DriverMessage::ClientDisconnected(id) => self.on_gone(id),
            DriverMessage::FirstToken(id, attempt) => self.on_first(id, attempt),
            DriverMessage::AttemptEnded(ended) => self.on_ended(ended),
            DriverMessage::ReservationResult {
                request,
                attempt,
                engine: link,
                call,
                status: held,
            } => self.on_place(request, attempt, (link, call), held),
            DriverMessage::HealthCheckResult {
                server,
                alive,
                report,
            } => self.tell(Event::HealthCheckResult {
                endpoint: server,
                alive,
                report,
            }),
            DriverMessage::EndpointList {
                kind,
                engines,
                done,
            } => {
                self.on_fleet(kind, engines);
                // The one who told may have left.
                let _ = done.try_send(());
            }
            DriverMessage::ReplicaCount(nodes) => self.tell(Event::ReplicaCount(nodes)),
            DriverMessage::Stop { deadline: by } => {
                let stopping = self.guard.enter(NodePhase::Stopping);
                self.checked(0, stopping);
                self.stop_by = Some(self.stop_by.map_or(by, |before| before.min(by)));
            }
            DriverMessage::FlushRecording(done) => {
                self.flush();
                let _ = done.try_send(());
            }
            DriverMessage::ListEngines(reply) => {
                // The one who asked may have left.
                let _ = reply.try_send(self.links.values().map(|(link, _)| link.clone()).collect());
            }
        }
    }

    /// Tells the module one event and carries out what it asks for: the only way in.
    fn tell(&mut self, event: Event) {
        self.tell_at(self.shared.runtime.now(), event);
    }

    fn tell_at(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let kept = self.recorder.is_some().then(|| event.clone());
        let began = self.shared.runtime.now();
        self.router.handle(now, event, &mut actions);
        self.shared
            .metrics
            .module_us
            .add(self.shared.runtime.now() - began);
        if let (Some(recorder), Some(event)) = (self.recorder.as_mut(), kept) {
            if let Err(e) = recorder.step(now, &event, &actions) {
                warn!(error = %e, "the recording ends here: it cannot be written");
                self.recorder = None;
            }
        }
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
    }

    /// Does what the module asks for: the only way out.
    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint: server,
                timeout,
                send_deadline,
            } => {
                self.send(now, request.0, server, (timeout, send_deadline));
            }
            Action::Cancel { request, attempt } => {
                let open = self.open.get(&request.0);
                if let Some(a) = open
                    .and_then(|o| o.attempts.get(usize::from(attempt)))
                    .filter(|a| a.out)
                {
                    let _ = a.stop.try_send(CancelReason::ByRouter);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let retry_after = (retry_after > 0).then_some(retry_after);
                self.answer(
                    request.0,
                    FinalStatus::Rejected {
                        retry_after,
                        reason: RejectReason::Overloaded,
                    },
                );
            }
            Action::Fail(request) => {
                let late = self
                    .open
                    .get(&request.0)
                    .filter(|o| now < o.taken.first_token_deadline);
                let why = late.map_or(FailureReason::Deadline, |o| {
                    FailureReason::AttemptsExhausted(o.last.clone())
                });
                self.answer(request.0, FinalStatus::Failed(why));
            }
            Action::ReleaseReservation(request) => self.release(request.0),
            Action::Reserve {
                request,
                endpoint: server,
            } => self.hold(request.0, server),
            Action::SetTimer { at, token } => {
                self.timer_seq += 1;
                self.timers.insert((at, self.timer_seq, token));
            }
            Action::HealthCheck(server) => self.probe(server),
            // Lists come by themselves here.
            Action::Subscribe => {}
            Action::Log(line) => info!(target: "ivyward::module", "{line}"),
        }
    }

    fn answer(&mut self, id: u64, end: FinalStatus) {
        if self.open.get(&id).is_none_or(|open| open.answered) {
            return;
        }
        let end = self.permitted(id, end);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.answered = true;
        let counter = match end {
            FinalStatus::Served => &self.shared.metrics.served,
            FinalStatus::Rejected { .. } => &self.shared.metrics.refused,
            FinalStatus::Failed(_) => &self.shared.metrics.failed,
        };
        debug!(
            request = id,
            name = open.taken.call.name(),
            ?end,
            "answered"
        );
        if let FinalStatus::Rejected { reason: why, .. } = end {
            self.shared.metrics.refused_for(why);
        }
        if open.taken.call.finish(end) {
            counter.add(1);
        }
    }

    /// The answer itself, or a failure where it would promise what may not hold.
    fn permitted(&mut self, id: u64, end: FinalStatus) -> FinalStatus {
        let kind = match end {
            FinalStatus::Served => AnswerKind::Served,
            FinalStatus::Rejected { .. } => AnswerKind::Rejected,
            FinalStatus::Failed(_) => AnswerKind::Failed,
        };
        let check = self.guard.answer(RequestId(id), kind);
        let breaks_promise = check.is_err_and(|violation| violation.rule == Rule::HarmlessRefusal);
        self.checked(id, check);
        if !breaks_promise {
            return end;
        }
        let failed = self.guard.answer(RequestId(id), AnswerKind::Failed);
        self.checked(id, failed);
        FinalStatus::Failed(FailureReason::AttemptsExhausted(
            self.open
                .get(&id)
                .map_or(String::new(), |open| open.last.clone()),
        ))
    }

    /// Forgets a request that is answered and has no attempt out.
    fn sweep(&mut self, id: u64) {
        if self
            .open
            .get(&id)
            .is_none_or(|o| !o.answered || o.attempts.iter().any(|a| a.out))
        {
            return;
        }
        self.release(id);
        let forgotten = self.guard.forget(RequestId(id));
        self.checked(id, forgotten);
        if let Some(open) = self.open.remove(&id) {
            self.deadlines.remove(&(open.deadline, id));
            self.shared.open.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn on_request(&mut self, taken: Box<AcceptedRequest>) {
        let now = self.shared.runtime.now();
        let mut arrival = taken.request;
        let id = arrival.id.0;
        // The module's time ends at once with ours, whenever this notice was taken up.
        arrival.client_timeout = taken.first_token_deadline.saturating_sub(now);
        let deadline = final_deadline(&self.shared, taken.first_token_deadline);
        self.deadlines.insert((deadline, id));
        let open = Open {
            taken,
            attempts: Vec::new(),
            state: None,
            kept: Vec::new(),
            let_go: 0,
            holds: Vec::new(),
            streaming: false,
            answered: false,
            deadline,
            last: "no engine could take it".into(),
        };
        self.open.insert(id, open);
        let taken = self.guard.take(RequestId(id), arrival.class, deadline);
        self.checked(id, taken);
        self.tell_at(now, Event::Request(arrival));
        if self.stop_over {
            // It slipped in beside the stop.
            self.end_now(id, FailureReason::NodeStopped);
        }
        self.sweep(id);
    }

    fn on_gone(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else {
            return;
        };
        if mutations::is_active(Mutation::LeavingIgnored) && !open.streaming && id % 4 == 0 {
            return;
        }
        open.answered = true;
        open.holds.clear();
        if mutations::is_active(Mutation::ReleaseForgotten) {
            open.kept.clear();
        }
        self.shared.metrics.gone.add(1);
        let left = self
            .guard
            .answer(RequestId(id), AnswerKind::ClientDisconnected);
        self.checked(id, left);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        // Tokens that an attempt still has in hand go nowhere.
        open.taken
            .call
            .finish(FinalStatus::Failed(FailureReason::StreamBroken(
                "the client left".into(),
            )));
        let streaming = open.streaming;
        self.tell(Event::ClientDisconnected(RequestId(id)));
        if streaming {
            self.give_up_attempts(id);
        }
        self.sweep(id);
    }

    fn on_first(&mut self, id: u64, attempt: u16) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else {
            return;
        };
        open.streaming = true;
        open.holds.clear();
        self.deadlines.remove(&(open.deadline, id));
        // From now on only the call's own deadline counts; first_by is that less the margin.
        open.deadline = open
            .taken
            .response_deadline
            .map_or(Micros::MAX, |by| final_deadline(&self.shared, by));
        if open.deadline != Micros::MAX {
            self.deadlines.insert((open.deadline, id));
        }
        // What the writer fetched or took is let go by that; the rest is let go now.
        let used = open.state.take();
        let (call, mut rest) = (open.taken.call.clone(), std::mem::take(&mut open.kept));
        if !self.protocol.releases_individually() {
            // There the stream itself lets go of the rest.
            rest.clear();
        }
        for kept in rest {
            let used_here = match kept.is_decode_slot {
                true => kept.used_by == Some(attempt),
                false => used
                    .as_ref()
                    .is_some_and(|u| Arc::ptr_eq(&u.0, &kept.engine) && u.1 == kept.attempt),
            };
            if !used_here {
                self.let_go(id, call.clone(), vec![kept]);
            }
        }
        self.tell(Event::FirstToken {
            request: RequestId(id),
            attempt,
        });
    }

    fn on_ended(&mut self, ended: AttemptEnded) {
        let AttemptEnded {
            request: id,
            attempt: no,
            result: end,
        } = ended;
        self.shared.metrics.outcome(end.outcome);
        self.guard.ended(RequestId(id), no, end.outcome);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(attempt) = open.attempts.get_mut(usize::from(no)).filter(|a| a.out) else {
            return;
        };
        attempt.out = false;
        let (reads, link) = (attempt.reads, attempt.link.clone());
        let engine = link.as_ref().map_or(0, |l| l.id().0);
        let (class, tenant) = (open.taken.request.class, open.taken.request.tenant);
        let name = open.taken.call.name();
        debug!(request = id, name, attempt = no, class, tenant, engine, reads, outcome = ?end.outcome, kept = end.cached_tokens, text = end.detail, "attempt ended");
        if !matches!(end.outcome, Outcome::Served | Outcome::Prefilled) {
            open.last = end.detail.clone();
        }
        let unknown = !matches!(
            end.outcome,
            Outcome::ConnectFailed
                | Outcome::NotSent
                | Outcome::Rejected
                | Outcome::KvCacheMiss
                | Outcome::Prefilled
        );
        let (call, mut over) = (open.taken.call.clone(), Vec::new());
        let one_by_one = self.protocol.releases_individually();
        if let Some(link) = link {
            let sure = end.outcome == Outcome::Prefilled;
            let kept = Reservation {
                engine: link.clone(),
                attempt: no,
                is_decode_slot: false,
                confirmed: sure,
                used_by: None,
            };
            if reads && sure {
                // What a release of before still has to do is done with this one's.
                let all = !self.protocol.withdraw_release(id);
                open.kept.push(Reservation {
                    confirmed: all,
                    ..kept
                });
                open.state = Some((link, no));
            } else if reads && unknown && !mutations::is_active(Mutation::ReadForgotten) {
                // A read whose end is not known may have left a state that nobody will fetch.
                if one_by_one {
                    &mut over
                } else {
                    &mut open.kept
                }
                .push(kept);
            }
        }
        if end.outcome == Outcome::KvCacheMiss {
            open.state = None;
            if one_by_one {
                // A writer that could not reach the state says the same, and then it is still there.
                let (places, states): (Vec<Reservation>, Vec<Reservation>) =
                    open.kept.drain(..).partition(|k| k.is_decode_slot);
                open.kept = places;
                over.extend(states);
            }
        }
        over.into_iter()
            .for_each(|kept| self.let_go(id, call.clone(), vec![kept]));
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let (broke, served) = (
            open.streaming && end.outcome != Outcome::Served,
            end.outcome == Outcome::Served,
        );
        let finished = open.answered || open.streaming || served;
        let event = Event::AttemptEnded {
            request: RequestId(id),
            attempt: no,
            outcome: end.outcome,
            cached_tokens: end.cached_tokens,
            finished,
            report: end.report,
        };
        self.tell(event);
        if served {
            self.answer(id, FinalStatus::Served);
        } else if broke {
            self.answer(
                id,
                FinalStatus::Failed(FailureReason::StreamBroken(end.detail)),
            );
        }
        self.sweep(id);
    }

    fn on_place(
        &mut self,
        id: u64,
        attempt: u16,
        from: (EngineHandle, Arc<dyn Call>),
        held: ReservationStatus,
    ) {
        let (link, call) = from;
        let (server, may_be) = (link.id(), held != ReservationStatus::Denied);
        debug!(
            request = id,
            name = call.name(),
            attempt,
            engine = server.0,
            ?held,
            "place answered"
        );
        let kept = Reservation {
            engine: link,
            attempt,
            is_decode_slot: true,
            confirmed: held == ReservationStatus::Granted,
            used_by: None,
        };
        // What is not sure is let go of at once, or with all that the request leaves.
        let stays = held == ReservationStatus::Granted || !self.protocol.releases_individually();
        self.shared.finish_pending_releases(1);
        match self
            .open
            .get_mut(&id)
            .filter(|o| !o.answered && !o.streaming)
        {
            // Guards against a place that was asked for before a release and lands after it: nobody waits for that one.
            // Guards against a place that was asked for beside a read which a cut keeps from its engine: nobody knows of an
            // attempt there, so its time runs, and the read's own end may be seconds away. The read leaves nothing yet that
            // the release could take.
            Some(open) if held == ReservationStatus::Unknown && stays && open.out(attempt) => {
                self.let_go(id, call, vec![kept]);
            }
            Some(open) if may_be && stays && attempt >= open.let_go => open.kept.push(kept),
            Some(_) if may_be => self.let_go(id, call, vec![kept]),
            Some(_) => {}
            // The request ended meanwhile, or its stream began.
            None if may_be => return self.let_go(id, call, vec![kept]),
            None => return,
        }
        self.tell(Event::ReservationResult {
            request: RequestId(id),
            endpoint: server,
            reserved: held == ReservationStatus::Granted,
        });
    }

    fn on_fleet(&mut self, kind: ListKind, engines: Vec<Engine>) {
        let complete = matches!(kind, ListKind::Full | ListKind::Cached);
        if complete {
            let named: BTreeSet<EndpointId> = engines.iter().map(|e| e.endpoint.id).collect();
            for (id, (link, _)) in &self.links {
                if !named.contains(id) {
                    link.set_draining(true);
                }
            }
            self.links.retain(|id, _| named.contains(id));
        }
        let mut entries = Vec::with_capacity(engines.len());
        for engine in engines {
            let Engine {
                endpoint: entry,
                address,
            } = engine;
            let Some(role) = self.role(entry.machine_type) else {
                warn!(
                    engine = entry.id.0,
                    kind = entry.machine_type,
                    "an engine of a kind that is not known is left out"
                );
                continue;
            };
            debug!(engine = entry.id.0, ?role, condition = ?entry.state, %address, "listed");
            let moved = self
                .links
                .get(&entry.id)
                .is_some_and(|(link, _)| link.address() != address);
            if moved || entry.state == EndpointState::Removed {
                if let Some((link, _)) = self.links.remove(&entry.id) {
                    link.set_draining(true);
                }
            }
            if entry.state != EndpointState::Removed {
                let (shared, protocol) = (&self.shared, &self.protocol);
                let (link, kind) = self.links.entry(entry.id).or_insert_with(|| {
                    (protocol.engine_client(shared, &engine), entry.machine_type)
                });
                *kind = entry.machine_type;
                link.set_draining(entry.state != EndpointState::Ready);
            }
            entries.push(entry);
        }
        self.shared.metrics.engines.set(self.links.len() as u64);
        self.guard.listed(self.shared.runtime.now(), kind, &entries);
        if self.guard.phase() == NodePhase::Starting {
            let serving = self.guard.enter(NodePhase::Serving);
            self.checked(0, serving);
        }
        self.tell(Event::EndpointList {
            kind,
            endpoints: entries,
        });
        self.shared
            .metrics
            .engines_known
            .set(self.router.known_endpoints() as u64);
    }

    fn role(&self, kind: u8) -> Option<Role> {
        self.shared
            .router_settings
            .roles
            .get(usize::from(kind))
            .copied()
    }

    fn send(
        &mut self,
        now: Micros,
        id: u64,
        server: EndpointId,
        (timeout, send_deadline): (Micros, Micros),
    ) {
        let shared = self.shared.clone();
        let found = self.links.get(&server).cloned();
        let reads = found
            .as_ref()
            .is_some_and(|(_, kind)| self.role(*kind) == Some(Role::Prefill));
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let no = open.attempts.len() as u16;
        let target = ivyward_core::invariants::AttemptTarget {
            endpoint: server,
            prefill_only: reads,
        };
        let check = self.guard.send(now, RequestId(id), no, target);
        let reason = self.checked(id, check);
        if let Some(AttemptReason::Retry(outcome)) = reason {
            shared.metrics.retry_after(outcome);
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let a = &open.taken.request;
        debug!(
            request = id,
            name = open.taken.call.name(),
            attempt = no,
            ?reason,
            engine = server.0,
            reads,
            timeout,
            leave_in = send_deadline.saturating_sub(now),
            client_timeout = a.client_timeout,
            repeat = a.is_retry,
            prefix = a.prefix,
            session = a.session,
            prompt = a.prompt_tokens,
            shared = a.prefix_tokens,
            "attempt begins"
        );
        let (stop_tx, stop) = async_channel::bounded(1);
        let attempt = Attempt {
            link: found.clone().map(|f| f.0),
            reads,
            out: true,
            stop: stop_tx,
        };
        let job = found.filter(|_| reason.is_some()).map(|(link, _)| {
            let first_by = open.taken.first_token_deadline;
            // The engine is told when this node will end the stream, so that it never does so first.
            let end_by = open
                .taken
                .response_deadline
                .map(|by| final_deadline(&shared, by));
            let until = if timeout == 0 {
                first_by
            } else {
                first_by.min(now.saturating_add(timeout))
            };
            let send_deadline = if send_deadline == 0 {
                until
            } else {
                until.min(send_deadline)
            };
            let (shared, call) = (shared.clone(), open.taken.call.clone());
            let state = open.state.clone().filter(|_| !reads);
            let inbox = self.inbox.clone();
            let first = Box::new(move || inbox.send(DriverMessage::FirstToken(id, no)));
            let job = AttemptRequest {
                context: shared,
                call,
                request: id,
                attempt: no,
                prefill_only: reads,
                kv_state: state,
                deadline: until,
                stream_deadline: end_by,
                send_deadline,
                cancel: stop,
                on_first_token: first,
            };
            (link, job)
        });
        // Guards against places that outlast their request: a writer takes the one that was held beside the read whose
        // state it fetches. It knows nothing of one held beside a read that failed, and a hold whose answer is not
        // here yet may reach it after the write.
        let read = open.state.as_ref().map(|s| s.1);
        for kept in open
            .kept
            .iter_mut()
            .filter(|k| k.is_decode_slot && !reads && k.engine.id() == server)
        {
            let fetched =
                Some(kept.attempt) == read || mutations::is_active(Mutation::PlaceForgotten);
            kept.used_by = fetched.then_some(no);
        }
        open.attempts.push(attempt);
        let inbox = self.inbox.clone();
        let tell = move |end| {
            inbox.send(DriverMessage::AttemptEnded(AttemptEnded {
                request: id,
                attempt: no,
                result: end,
            }))
        };
        match job {
            Some((link, job)) => {
                shared.metrics.attempts.add(1);
                shared.runtime.clone().run(async move {
                    let end = link.run_attempt(job).await;
                    tell(end);
                });
            }
            None => tell(AttemptResult::new(Outcome::NotSent, "")),
        }
    }

    /// Lets go of everything that may be kept for a request.
    fn release(&mut self, id: u64) {
        let one_by_one = self.protocol.releases_individually();
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.holds.clear();
        // Guards against letting go of what an attempt still needs, or is about to leave: its end comes here again.
        if !one_by_one && open.attempts.iter().any(|a| a.out) {
            return;
        }
        (open.state, open.let_go) = (None, open.attempts.len() as u16);
        let (call, kept) = (open.taken.call.clone(), std::mem::take(&mut open.kept));
        if one_by_one {
            for kept in kept {
                self.let_go(id, call.clone(), vec![kept]);
            }
        } else if !kept.is_empty() {
            self.let_go(id, call, kept);
        }
    }

    /// Asks engines to let go. The first try leaves at once.
    fn let_go(&self, request: u64, call: Arc<dyn Call>, kept: Vec<Reservation>) {
        let what = || {
            kept.iter()
                .map(|k| (k.engine.id().0, k.attempt, k.is_decode_slot, k.confirmed))
                .collect::<Vec<_>>()
        };
        debug!(request, name = call.name(), kept = ?what(), "let go");
        self.protocol.release(
            &self.shared,
            ReleaseRequest {
                call,
                request,
                reservations: kept,
            },
        );
    }

    fn hold(&mut self, id: u64, server: EndpointId) {
        let link = self.links.get(&server).map(|(link, _)| link.clone());
        let (Some(open), Some(link)) = (self.open.get_mut(&id), link) else {
            return;
        };
        let attempt = (open.attempts.len() as u16).saturating_sub(1);
        let (stop, stopped) = async_channel::bounded(1);
        open.holds.push(stop);
        self.shared.add_pending_releases(1);
        let (shared, call, inbox) = (
            self.shared.clone(),
            open.taken.call.clone(),
            self.inbox.clone(),
        );
        let until = open.taken.first_token_deadline;
        shared.runtime.clone().run(async move {
            let job = ReserveRequest {
                context: shared.clone(),
                call: call.clone(),
                request: id,
                attempt,
                deadline: until,
                finished: stopped,
            };
            let held = link.clone().reserve(job).await;
            inbox.send(DriverMessage::ReservationResult {
                request: id,
                attempt,
                engine: link,
                call,
                status: held,
            });
        });
    }

    fn probe(&mut self, server: EndpointId) {
        let Some((link, _)) = self.links.get(&server).cloned() else {
            return;
        };
        let (shared, inbox) = (self.shared.clone(), self.inbox.clone());
        shared.runtime.clone().run(async move {
            let (alive, report) = link.health_check(shared.clone()).await;
            inbox.send(DriverMessage::HealthCheckResult {
                server,
                alive,
                report,
            });
        });
    }
}
