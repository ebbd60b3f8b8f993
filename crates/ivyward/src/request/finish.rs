//! Accepts requests, sets the single final status of each, and removes finished requests.

use crate::request::driver::Driver;
use crate::request::messages::AcceptedRequest;
use crate::request::open_requests::{final_deadline, OpenRequest};
use crate::response::{FailureReason, FinalStatus};
use ivyward_core::interface::{Event, Micros, RequestId};
use ivyward_core::invariants::{AnswerKind, Rule};
use ivyward_core::mutations::{self, Mutation};
use std::sync::atomic::Ordering;
use tracing::debug;

impl Driver {
    pub(super) fn on_request(&mut self, accepted: Box<AcceptedRequest>) {
        let now = self.context.runtime.now();
        let mut request = accepted.request;
        let id = request.id.0;
        // The timeout is the time left from now, so that the router's deadline equals the node's however long the message
        // was queued.
        request.client_timeout = accepted.first_token_deadline.saturating_sub(now);
        let deadline = final_deadline(&self.context, accepted.first_token_deadline);
        self.timers.set_deadline(deadline, id);
        let open = OpenRequest::new(accepted, deadline, self.release_mode());
        self.open.insert(id, open);
        let accepted = self.guard.accept(RequestId(id), request.class, deadline);
        self.log_violation(id, accepted);
        self.handle_event_at(now, Event::Request(request));
        if self.stop_deadline_passed {
            // The request was accepted before the node stopped, but its message was handled only after the stop deadline.
            self.fail_now(id, FailureReason::NodeStopped);
        }
        self.remove_if_done(id);
    }

    pub(super) fn on_client_disconnected(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.has_final_status) else {
            return;
        };
        if mutations::is_active(Mutation::IgnoreDisconnect) && !open.streaming && id % 4 == 0 {
            return;
        }
        open.has_final_status = true;
        open.pending_reserves.clear();
        open.reservations.client_disconnected();
        self.context.metrics.disconnected.add(1);
        let disconnected = self
            .guard
            .answer(RequestId(id), AnswerKind::ClientDisconnected);
        self.log_violation(id, disconnected);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        // From now on the call discards tokens that an attempt still delivers.
        let reason = FailureReason::StreamBroken("the client left".into());
        open.accepted.call.finish(FinalStatus::Failed(reason));
        let streaming = open.streaming;
        self.handle_event(Event::ClientDisconnected(RequestId(id)));
        if streaming {
            self.cancel_attempts(id);
        }
        self.remove_if_done(id);
    }

    /// Fails a request and cancels its attempts in flight, because the request's deadline or the node's stop deadline has
    /// passed.
    pub(super) fn fail_now(&mut self, id: u64, reason: FailureReason) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if !open.has_final_status {
            open.has_final_status = true;
            open.pending_reserves.clear();
            if open.accepted.call.finish(FinalStatus::Failed(reason)) {
                self.context.metrics.failed.add(1);
            }
            let answered = self.guard.answer(RequestId(id), AnswerKind::Failed);
            self.log_violation(id, answered);
            self.handle_event(Event::ClientDisconnected(RequestId(id)));
        }
        self.cancel_attempts(id);
        self.remove_if_done(id);
    }

    /// Fails a request for which the router makes no further attempt.
    pub(super) fn fail_request(&mut self, now: Micros, id: u64) {
        let in_time = self
            .open
            .get(&id)
            .filter(|open| now < open.accepted.first_token_deadline);
        let reason = in_time.map_or(FailureReason::Deadline, |open| {
            FailureReason::AttemptsExhausted(open.last_error.clone())
        });
        self.finish_request(id, FinalStatus::Failed(reason));
    }

    /// Sets the final status of a request, unless it has one.
    pub(super) fn finish_request(&mut self, id: u64, status: FinalStatus) {
        if self.open.get(&id).is_none_or(|open| open.has_final_status) {
            return;
        }
        let status = self.checked_status(id, status);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.has_final_status = true;
        let metrics = &self.context.metrics;
        let counter = match status {
            FinalStatus::Served => &metrics.served,
            FinalStatus::Rejected { .. } => &metrics.rejected,
            FinalStatus::Failed(_) => &metrics.failed,
        };
        let name = open.accepted.call.name();
        debug!(request = id, name, ?status, "request finished");
        if let FinalStatus::Rejected { reason, .. } = status {
            metrics.count_rejection(reason);
        }
        if open.accepted.call.finish(status) {
            counter.add(1);
        }
    }

    /// Returns `status`, or a failure if `status` is a rejection that an invariant forbids.
    ///
    /// A rejection promises that nothing was done for the request, so that retrying is harmless.
    fn checked_status(&mut self, id: u64, status: FinalStatus) -> FinalStatus {
        let kind = match status {
            FinalStatus::Served => AnswerKind::Served,
            FinalStatus::Rejected { .. } => AnswerKind::Rejected,
            FinalStatus::Failed(_) => AnswerKind::Failed,
        };
        let check = self.guard.answer(RequestId(id), kind);
        let forbidden_rejection =
            check.is_err_and(|violation| violation.rule == Rule::HarmlessRejection);
        self.log_violation(id, check);
        if !forbidden_rejection {
            return status;
        }
        let failed = self.guard.answer(RequestId(id), AnswerKind::Failed);
        self.log_violation(id, failed);
        let last_error = self
            .open
            .get(&id)
            .map_or(String::new(), |open| open.last_error.clone());
        FinalStatus::Failed(FailureReason::AttemptsExhausted(last_error))
    }

    /// Removes a request that has its final status and no attempt in flight, and releases its reservations.
    pub(super) fn remove_if_done(&mut self, id: u64) {
        if !self.open.get(&id).is_some_and(OpenRequest::is_done) {
            return;
        }
        self.release_all(id);
        let removed = self.guard.remove(RequestId(id));
        self.log_violation(id, removed);
        if let Some(open) = self.open.remove(&id) {
            self.timers.clear_deadline(open.deadline, id);
            self.context.open.fetch_sub(1, Ordering::SeqCst);
        }
    }
}
