//! Forwards the events of an engine's streamed response to the client.

use super::connection::EngineConnection;
use super::endpoint::HttpEngineClient;
use super::event_parser::EventParser;
use crate::call::HttpCall;
use crate::config::LIMITS;
use ivyward::core::interface::{LoadReport, Outcome};
use ivyward::engines::{AttemptRequest, AttemptResult, CancelReason, StallDetector, WaitResult};
use ivyward::memory_budget::{BudgetExhausted, BudgetShare};
use ivyward::runtime::BoxFuture;
use ivyward_http1::{BodyDecoder, Decoded, Framing};

/// How a stream ended, and whether the engine may still be processing the request.
pub(super) enum StreamResult {
    /// The attempt has ended at the engine too.
    Ended(AttemptResult),
    /// The engine may still be processing the request: the connection has to be closed before the attempt ends.
    Abandoned {
        /// The outcome reported to the router.
        outcome: Outcome,
        /// The cause, for logs.
        detail: String,
    },
}

impl StreamResult {
    fn ended(outcome: Outcome, detail: impl Into<String>) -> StreamResult {
        StreamResult::Ended(AttemptResult::new(outcome, detail))
    }

    fn abandoned(outcome: Outcome, detail: impl Into<String>) -> StreamResult {
        StreamResult::Abandoned {
            outcome,
            detail: detail.into(),
        }
    }
}

fn out_of_memory(error: BudgetExhausted) -> StreamResult {
    StreamResult::abandoned(Outcome::Error, error.to_string())
}

/// Forwards one stream from an engine to the client.
pub(super) struct StreamRelay<'a> {
    client: &'a HttpEngineClient,
    request: &'a AttemptRequest,
    call: &'a HttpCall,
    body: BodyDecoder,
    events: EventParser,
    /// Set with the first event. From then on the stall timeout applies in place of the attempt's deadline.
    stall: Option<StallDetector>,
    /// The memory of the bytes that do not form a complete event yet.
    memory: BudgetShare,
}

impl<'a> StreamRelay<'a> {
    pub(super) fn new(
        client: &'a HttpEngineClient,
        request: &'a AttemptRequest,
        call: &'a HttpCall,
        framing: Framing,
    ) -> StreamRelay<'a> {
        StreamRelay {
            client,
            request,
            call,
            body: BodyDecoder::new(framing, &LIMITS),
            events: EventParser::default(),
            stall: None,
            memory: BudgetShare::new(&client.pool.response_memory),
        }
    }

    /// Forwards events as they become complete, until the stream ends. `report` is the load report of the response's head,
    /// which is used if the stream contains none.
    pub(super) async fn run(
        &mut self,
        connection: &mut EngineConnection,
        timer: &mut BoxFuture<()>,
        report: LoadReport,
    ) -> StreamResult {
        loop {
            let append = |data: &[u8]| self.events.pending.extend_from_slice(data);
            let step = match connection.read_body_step(&mut self.body, append) {
                Ok(step) => step,
                Err(error) => return StreamResult::abandoned(Outcome::Error, error.to_string()),
            };
            let progress = match step {
                Decoded::Data(_) => self.forward_events().await,
                Decoded::Done => Err(self.finish(report)),
                Decoded::NeedMoreInput => self.receive(connection, timer).await,
            };
            if let Err(result) = progress {
                return result;
            }
        }
    }

    /// Forwards the complete events, and waits until the response buffer has capacity for more.
    async fn forward_events(&mut self) -> Result<(), StreamResult> {
        let events = self
            .events
            .take_complete_events()
            .map_err(|error| StreamResult::abandoned(Outcome::Error, error.to_string()))?;
        self.memory.resize(self.events.pending.capacity());
        self.memory.granted().await.map_err(out_of_memory)?;
        let now = self.client.pool.runtime.now();
        if events.is_empty() {
            self.stall.iter_mut().for_each(|s| s.part_received(now));
            return Ok(());
        }
        let cancelled = || {
            let detail = "the request ended while its response was being forwarded";
            StreamResult::ended(Outcome::Cancelled, detail)
        };
        let buffer = &self.call.response_buffer;
        buffer.push(&events).map_err(|_| cancelled())?;
        drop(events);
        if self.stall.is_none() {
            self.request.notify_first_token();
            self.call.drop_prompt();
        }
        buffer.granted().await.map_err(out_of_memory)?;
        let capacity = self.request.wait_for_capacity(&buffer.events).await;
        capacity.map_err(|_| cancelled())?;
        let runtime = &self.client.pool.runtime;
        let timeout = self.request.context.settings().stream_idle_timeout;
        self.stall
            .get_or_insert_with(|| StallDetector::new(runtime, timeout))
            .item_received(runtime.now());
        Ok(())
    }

    /// Returns the result of a stream whose body is complete.
    fn finish(&self, report: LoadReport) -> StreamResult {
        if self.stall.is_none() || !self.events.is_done || !self.events.pending.is_empty() {
            return StreamResult::abandoned(Outcome::Error, "the stream is incomplete");
        }
        let report = match self.events.load_report.as_deref() {
            Some(text) => self.client.load_report(Some(text)),
            None => report,
        };
        StreamResult::Ended(AttemptResult {
            cached_tokens: self.events.cached_tokens,
            report,
            ..AttemptResult::new(Outcome::Served, "served")
        })
    }

    /// Waits for more bytes.
    async fn receive(
        &mut self,
        connection: &mut EngineConnection,
        timer: &mut BoxFuture<()>,
    ) -> Result<(), StreamResult> {
        let timer = self.stall.as_mut().map_or(timer, |stall| &mut stall.timer);
        let received = self.request.wait(timer, connection.fill()).await;
        match (received, self.stall.as_mut()) {
            (WaitResult::Completed(Ok(0)), _) => Err(StreamResult::ended(
                Outcome::Reset,
                "the stream ended early",
            )),
            (WaitResult::Completed(Ok(_)), _) => Ok(()),
            (WaitResult::Completed(Err(error)), _) => {
                Err(StreamResult::ended(Outcome::Reset, error.to_string()))
            }
            // A stream that has begun is not cancelled by the router.
            (WaitResult::Cancelled(CancelReason::ByRouter), Some(_)) => Ok(()),
            (WaitResult::Cancelled(_), _) => {
                let detail = "cancelled while waiting for the stream";
                Err(StreamResult::abandoned(Outcome::Cancelled, detail))
            }
            (WaitResult::TimedOut, Some(stall)) => {
                match stall.is_stalled(&self.client.pool.runtime) {
                    true => Err(StreamResult::ended(
                        Outcome::Reset,
                        "no event, and no part of one, within the stall timeout",
                    )),
                    false => Ok(()),
                }
            }
            (WaitResult::TimedOut, None) => Err(StreamResult::abandoned(
                Outcome::TimedOut,
                "no event before the deadline",
            )),
        }
    }
}
