//! Starts and cancels attempts, and handles their first token and their end.

use crate::engines::{AttemptRequest, AttemptResult, CancelReason, EngineHandle};
use crate::request::driver::Driver;
use crate::request::messages::{AttemptEnded, DriverMessage};
use crate::request::open_requests::{final_deadline, Attempt, OpenRequest};
use crate::response::{FailureReason, FinalStatus};
use ivyward_core::interface::{EndpointId, Event, Micros, Outcome, RequestId};
use ivyward_core::invariants::{AttemptReason, AttemptTarget};
use ivyward_core::reservations::AttemptEnd;
use ivyward_runtime::RuntimeExt;
use tracing::debug;

/// The fields of [`ivyward_core::interface::Action::Send`] except the request.
pub(super) struct SendAction {
    pub(super) endpoint: EndpointId,
    /// Time for the first token, in microseconds; 0 for until the request's deadline.
    pub(super) timeout: Micros,
    /// The time by which the last byte of the attempt must be sent; 0 for no such limit.
    pub(super) send_deadline: Micros,
}

impl SendAction {
    /// The time at which the attempt ends unless the first token was received.
    fn first_token_deadline(&self, now: Micros, request_deadline: Micros) -> Micros {
        if self.timeout == 0 {
            request_deadline
        } else {
            request_deadline.min(now.saturating_add(self.timeout))
        }
    }

    /// The time at which the attempt ends unless its last byte was sent.
    fn last_byte_deadline(&self, first_token_deadline: Micros) -> Micros {
        if self.send_deadline == 0 {
            first_token_deadline
        } else {
            first_token_deadline.min(self.send_deadline)
        }
    }
}

impl Driver {
    /// Starts an attempt in a task of its own. An attempt ends at once as not sent if its engine is not in the endpoint list or
    /// if it violates an invariant.
    pub(super) fn start_attempt(&mut self, now: Micros, id: u64, action: SendAction) {
        let endpoint = action.endpoint;
        let engine = self.engines.get(endpoint).cloned();
        let prefill_only = self.engines.is_prefill_only(&self.context, endpoint);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let number = open.attempts.len() as u16;
        let target = AttemptTarget {
            endpoint,
            prefill_only,
        };
        let check = self.guard.start_attempt(now, RequestId(id), number, target);
        let reason = self.log_violation(id, check);
        if let Some(AttemptReason::Retry(outcome)) = reason {
            self.context.metrics.count_retry(outcome);
        }
        let Some(open) = self.open.get(&id) else {
            return;
        };
        log_start(now, open, &action, reason, prefill_only);
        let (cancel, cancelled) = async_channel::bounded(1);
        let permitted = engine.clone().filter(|_| reason.is_some());
        let run = permitted.map(|engine| {
            let request = self.attempt_request(now, open, &action, prefill_only, cancelled);
            (engine, request)
        });
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.reservations
            .attempt_started(number, endpoint, prefill_only);
        open.attempts.push(Attempt {
            engine,
            prefill_only,
            in_flight: true,
            cancel,
        });
        self.run_attempt(id, number, run);
    }

    fn attempt_request(
        &self,
        now: Micros,
        open: &OpenRequest,
        action: &SendAction,
        prefill_only: bool,
        cancel: async_channel::Receiver<CancelReason>,
    ) -> AttemptRequest {
        let accepted = &open.accepted;
        let (id, number) = (accepted.request.id.0, open.attempts.len() as u16);
        let deadline = action.first_token_deadline(now, accepted.first_token_deadline);
        let kv_state = open.reservations.kv_state().filter(|_| !prefill_only);
        let (handle, delivered) = (self.handle.clone(), self.handle.clone());
        AttemptRequest {
            context: self.context.clone(),
            call: accepted.call.clone(),
            request: id,
            attempt: number,
            prefill_only,
            kv_state: kv_state.map(|state| (state.engine.clone(), state.attempt)),
            deadline,
            // The engine receives the time at which this node ends the stream, so that the engine never ends it earlier.
            stream_deadline: accepted
                .response_deadline
                .map(|at| final_deadline(&self.context, at)),
            send_deadline: action.last_byte_deadline(deadline),
            cancel,
            on_delivered: Box::new(move || {
                delivered.send(DriverMessage::AttemptDelivered(id, number));
            }),
            on_first_token: Box::new(move || handle.send(DriverMessage::FirstToken(id, number))),
        }
    }

    fn run_attempt(&self, id: u64, number: u16, run: Option<(EngineHandle, AttemptRequest)>) {
        let handle = self.handle.clone();
        let report_end = move |result| {
            handle.send(DriverMessage::AttemptEnded(AttemptEnded {
                request: id,
                attempt: number,
                result,
            }));
        };
        match run {
            Some((engine, request)) => {
                self.context.metrics.attempts.add(1);
                self.context.runtime.clone().run(async move {
                    let result = engine.run_attempt(request).await;
                    report_end(result);
                });
            }
            None => report_end(AttemptResult::new(Outcome::NotSent, "")),
        }
    }

    /// Cancels an attempt for which the router no longer waits.
    pub(super) fn cancel_attempt(&mut self, id: u64, number: u16) {
        let open = self.open.get(&id);
        if let Some(attempt) = open.and_then(|open| open.attempt_in_flight(number)) {
            debug!(
                request = id,
                attempt = number,
                "attempt cancelled by the router"
            );
            let _ = attempt.cancel.try_send(CancelReason::ByRouter);
        }
    }

    /// Cancels all attempts of a request that has its final status or whose client disconnected.
    pub(super) fn cancel_attempts(&mut self, id: u64) {
        if let Some(open) = self.open.get(&id) {
            open.cancel_attempts();
        }
    }

    pub(super) fn on_attempt_delivered(&mut self, id: u64, attempt: u16) {
        if self
            .open
            .get(&id)
            .is_some_and(|open| open.is_in_flight(attempt))
        {
            debug!(request = id, attempt, "attempt delivered");
            self.handle_event(Event::AttemptDelivered {
                request: RequestId(id),
                attempt,
            });
        }
    }

    pub(super) fn on_first_token(&mut self, id: u64, attempt: u16) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.has_final_status) else {
            return;
        };
        open.streaming = true;
        open.pending_reserves.clear();
        self.timers.clear_deadline(open.deadline, id);
        // From now on only the deadline of the whole response applies. The first-token deadline, which lies the answer
        // margin before the time at which the client stops waiting, does not.
        open.deadline = open
            .accepted
            .response_deadline
            .map_or(Micros::MAX, |at| final_deadline(&self.context, at));
        if open.deadline != Micros::MAX {
            self.timers.set_deadline(open.deadline, id);
        }
        let unused = open.reservations.first_token(attempt);
        let call = open.accepted.call.clone();
        self.release(id, &call, unused);
        self.handle_event(Event::FirstToken {
            request: RequestId(id),
            attempt,
        });
    }

    pub(super) fn on_attempt_ended(&mut self, ended: AttemptEnded) {
        let AttemptEnded {
            request: id,
            attempt: number,
            result,
        } = ended;
        self.context.metrics.count_outcome(result.outcome);
        self.guard
            .end_attempt(RequestId(id), number, result.outcome);
        if !self.finish_attempt(id, number, &result) {
            return;
        }
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let served = result.outcome == Outcome::Served;
        let stream_broken = open.streaming && !served;
        self.handle_event(Event::AttemptEnded {
            request: RequestId(id),
            attempt: number,
            outcome: result.outcome,
            cached_tokens: result.cached_tokens,
            finished: open.has_final_status || open.streaming || served,
            report: result.report,
        });
        if served {
            self.finish_request(id, FinalStatus::Served);
        } else if stream_broken {
            let reason = FailureReason::StreamBroken(result.detail);
            self.finish_request(id, FinalStatus::Failed(reason));
        }
        self.remove_if_done(id);
    }

    /// Marks an attempt as no longer in flight and releases the reservations that it no longer needs. Returns whether the
    /// attempt was in flight.
    fn finish_attempt(&mut self, id: u64, number: u16, result: &AttemptResult) -> bool {
        let Some(open) = self.open.get_mut(&id) else {
            return false;
        };
        let attempt = open.attempts.get_mut(usize::from(number));
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return false;
        };
        attempt.in_flight = false;
        let (engine, prefill_only) = (attempt.engine.clone(), attempt.prefill_only);
        let engine = engine.map(|engine| {
            let endpoint = engine.id();
            (engine, endpoint)
        });
        let outcome = result.outcome;
        log_end(open, number, result, prefill_only, &engine);
        if !matches!(outcome, Outcome::Served | Outcome::Prefilled) {
            open.last_error = result.detail.clone();
        }
        let prefilled = engine.is_some() && prefill_only && outcome == Outcome::Prefilled;
        let release = open.reservations.attempt_ended(AttemptEnd {
            attempt: number,
            engine,
            prefill_only,
            outcome,
            // The later release of this KV state also does what the withdrawn release still had to do.
            release_withdrawn: prefilled && self.protocol.withdraw_release(id),
        });
        let call = open.accepted.call.clone();
        self.release(id, &call, release);
        true
    }
}

fn log_start(
    now: Micros,
    open: &OpenRequest,
    action: &SendAction,
    reason: Option<AttemptReason>,
    prefill_only: bool,
) {
    let request = &open.accepted.request;
    debug!(
        request = request.id.0,
        name = open.accepted.call.name(),
        attempt = open.attempts.len() as u16,
        ?reason,
        engine = action.endpoint.0,
        prefill_only,
        timeout = action.timeout,
        send_within = action.send_deadline.saturating_sub(now),
        client_timeout = request.client_timeout,
        is_retry = request.is_retry,
        prefix = request.prefix,
        session = request.session,
        prompt_tokens = request.prompt_tokens,
        prefix_tokens = request.prefix_tokens,
        "attempt started"
    );
}

fn log_end(
    open: &OpenRequest,
    number: u16,
    result: &AttemptResult,
    prefill_only: bool,
    engine: &Option<(EngineHandle, EndpointId)>,
) {
    let request = &open.accepted.request;
    debug!(
        request = request.id.0,
        name = open.accepted.call.name(),
        attempt = number,
        class = request.class,
        tenant = request.tenant,
        engine = engine.as_ref().map_or(0, |(_, endpoint)| endpoint.0),
        prefill_only,
        outcome = ?result.outcome,
        cached_tokens = result.cached_tokens,
        detail = result.detail,
        "attempt ended"
    );
}
