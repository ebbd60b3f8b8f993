//! The token stream of one attempt, from the engine's first event to the end of the stream.

use crate::engines::{AttemptResult, CancelReason, StallDetector, WaitResult};
use crate::request::attempt::{check_engine, GrpcAttempt};
use crate::response::AlreadyFinished;
use ivyward_core::interface::Outcome;
use ivyward_grpc::{Call, CallError, Cause};
use ivyward_proto::engine as pb;

/// Forwards an engine's tokens to the client's buffer.
pub(super) struct AnswerStream<'a> {
    attempt: &'a GrpcAttempt,
    call: &'a mut Call,
    stall: StallDetector,
    /// Number of tokens received so far.
    received: u32,
    /// Whether the driver was notified of the first token.
    notified: bool,
}

fn protocol_error(detail: impl Into<String>) -> AttemptResult {
    AttemptResult::new(Outcome::Error, detail)
}

fn abandoned(_: AlreadyFinished) -> AttemptResult {
    AttemptResult::new(Outcome::Cancelled, "given up")
}

/// Returns the outcome of a stream that broke. The engine has started the call by then, so that no failure proves that the
/// call never ran.
fn broken_stream_outcome(error: &CallError) -> Outcome {
    match error.cause {
        Cause::ConnectionBroken(_) | Cause::Reset(_) | Cause::DeadlinePassed => Outcome::Reset,
        Cause::Status(_) | Cause::Frame(_) => Outcome::Error,
    }
}

impl<'a> AnswerStream<'a> {
    pub(super) fn new(attempt: &'a GrpcAttempt, call: &'a mut Call) -> AnswerStream<'a> {
        let stall_timeout = attempt.context.settings.stream_idle_timeout;
        AnswerStream {
            stall: StallDetector::new(&attempt.context.runtime, stall_timeout),
            attempt,
            call,
            received: 0,
            notified: false,
        }
    }

    /// Forwards the stream until its end, starting with its `first` event.
    pub(super) async fn run(mut self, first: pb::WriteEvent) -> AttemptResult {
        let mut next = Ok(first);
        loop {
            let handled = match next {
                Ok(event) => self.handle(event).await,
                Err(result) => return result,
            };
            match handled {
                Ok(None) => next = self.next_event().await,
                Ok(Some(result)) | Err(result) => return result,
            }
        }
    }

    async fn next_event(&mut self) -> Result<pb::WriteEvent, AttemptResult> {
        loop {
            let next = self.call.next::<pb::WriteEvent>();
            match self.attempt.wait(&mut self.stall.timer, next).await {
                WaitResult::Cancelled(CancelReason::RequestFinished) => {
                    return Err(abandoned(AlreadyFinished));
                }
                // The router does not cancel a stream that has started.
                WaitResult::Cancelled(CancelReason::ByRouter) => {}
                WaitResult::TimedOut => {
                    if self.stall.is_stalled(&self.attempt.context.runtime) {
                        let detail = "no token for too long";
                        return Err(AttemptResult::new(Outcome::Reset, detail));
                    }
                }
                WaitResult::Completed(Err(error)) => {
                    let outcome = broken_stream_outcome(&error);
                    return Err(AttemptResult::new(outcome, error.to_string()));
                }
                WaitResult::Completed(Ok(None)) => {
                    return Err(protocol_error("a stream ended without its last word"));
                }
                WaitResult::Completed(Ok(Some(event))) => return Ok(event),
            }
        }
    }

    /// Handles one event. Returns the attempt's result if the event ends the stream.
    async fn handle(
        &mut self,
        event: pb::WriteEvent,
    ) -> Result<Option<AttemptResult>, AttemptResult> {
        check_engine(self.attempt, event.engine)?;
        match event.event {
            Some(pb::write_event::Event::Tokens(run)) => {
                self.on_tokens(&run).await?;
                Ok(None)
            }
            Some(pb::write_event::Event::Done(done)) => self.on_done(&done).map(Some),
            Some(pb::write_event::Event::TurnedAway(_)) => {
                Err(protocol_error("turned away after the stream had begun"))
            }
            None => Err(protocol_error("an engine's message says nothing")),
        }
    }

    async fn on_tokens(&mut self, run: &pb::WriteTokens) -> Result<(), AttemptResult> {
        let attempt = self.attempt;
        self.check_tokens(run)?;
        let buffered = attempt.buffer.push(&run.ids).map_err(abandoned)?;
        attempt
            .context
            .metrics
            .max_buffered_tokens
            .raise_to(buffered as u64);
        self.notify_first_token();
        // Backpressure: the stream reads no further events until the client's buffer has capacity. Only this stream waits
        // for a slow client.
        attempt
            .wait_for_capacity(&attempt.buffer)
            .await
            .map_err(abandoned)?;
        self.stall.item_received(attempt.context.runtime.now());
        Ok(())
    }

    fn check_tokens(&mut self, run: &pb::WriteTokens) -> Result<(), AttemptResult> {
        let expected = self.received;
        if run.first_index != expected {
            return Err(protocol_error(format!(
                "token {} came where token {expected} was due",
                run.first_index
            )));
        }
        let (length, bound) = (run.ids.len(), self.attempt.buffer.bound());
        if run.ids.is_empty() || length > bound {
            return Err(protocol_error(format!(
                "a run of {length} tokens; 1 to {bound} are taken"
            )));
        }
        self.received = expected.saturating_add(length as u32);
        let max = self.attempt.engine_call.max_tokens();
        if self.received > max {
            return Err(protocol_error(format!(
                "more than the {max} tokens that were asked for"
            )));
        }
        Ok(())
    }

    fn on_done(&mut self, done: &pb::WriteDone) -> Result<AttemptResult, AttemptResult> {
        if done.tokens != self.received {
            return Err(protocol_error(format!(
                "the engine counts {} tokens, {} came",
                done.tokens, self.received
            )));
        }
        self.notify_first_token();
        Ok(AttemptResult {
            cached_tokens: done.kept_tokens,
            report: self.attempt.report(done.load.as_ref()),
            ..AttemptResult::new(Outcome::Served, "served")
        })
    }

    fn notify_first_token(&mut self) {
        if !self.notified {
            self.notified = true;
            self.attempt.notify_first_token();
        }
    }
}
