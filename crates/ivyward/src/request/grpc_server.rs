//! The gRPC door: takes calls on a listener and tells each one's final answer in gRPC's own terms.

use crate::node::{Node, ResponseStream};
use crate::response::{FailureReason, FinalStatus, RejectReason, ResponsePart};
use futures_lite::{Stream, StreamExt};
use hyper_util::service::TowerToHyperService;
use ivyward_core::interface::Micros;
use ivyward_grpc::{parse_timeout, TIMEOUT_HEADER};
use ivyward_proto::front::front_server::{Front, FrontServer};
use ivyward_proto::front::{GenerateRequest, Tokens};
use ivyward_runtime::io::{Io, Tasks};
use ivyward_runtime::{metered, ErrorOrigin, Listener, RuntimeExt};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::{Code, Request, Response, Status};
use tonic_types::{ErrorDetails, StatusExt};
use tracing::debug;

/// Calls on one client connection.
const CALLS_PER_CLIENT: u32 = 4_096;
/// Bytes of headers that one call may bring.
const MOST_HEADERS: u32 = 16 << 10;
/// Bytes of encoded prompt for each token allowed: a varint of 32 bits has five at most.
const TOKEN_BYTES: usize = 5;

/// The patience that a call's `grpc-timeout` states.
fn grpc_timeout(metadata: &MetadataMap) -> Result<Option<Micros>, String> {
    let Some(value) = metadata.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| "grpc-timeout is not text".to_string())?;
    parse_timeout(text).map(Some).map_err(|e| e.to_string())
}

/// A final answer as a gRPC status; served ones are OK.
///
/// A refusal is `RESOURCE_EXHAUSTED` or `UNAVAILABLE` with `grpc-retry-pushback-ms` and a `RetryInfo`; a failure is
/// none of these and forbids retries by pushback.
pub fn status(end: &FinalStatus) -> Status {
    let mut metadata = MetadataMap::new();
    let outcome = match end {
        FinalStatus::Served => "served",
        FinalStatus::Rejected { .. } => "refused",
        FinalStatus::Failed(_) => "failed",
    };
    metadata.insert("ivyward-outcome", MetadataValue::from_static(outcome));
    match end {
        FinalStatus::Served => Status::with_metadata(Code::Ok, "", metadata),
        FinalStatus::Rejected {
            retry_after,
            reason: why,
        } => {
            let (code, text) = match why {
                RejectReason::Overloaded => (
                    Code::ResourceExhausted,
                    "refused for overload; trying again is harmless",
                ),
                RejectReason::NodeFull => (
                    Code::ResourceExhausted,
                    "this node is full; trying again is harmless",
                ),
                RejectReason::Stopping => (
                    Code::Unavailable,
                    "this node is stopping; trying again is harmless",
                ),
            };
            let after = Duration::from_micros(retry_after.unwrap_or(0));
            // Rounded up: nobody is to come back too soon.
            let ms = u64::try_from(after.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
            metadata.insert("grpc-retry-pushback-ms", MetadataValue::from(ms));
            let details = ErrorDetails::with_retry_info(Some(after));
            Status::with_error_details_and_metadata(code, text, details, metadata)
        }
        FinalStatus::Failed(why) => {
            let (code, text) = match why {
                FailureReason::Deadline => (
                    Code::DeadlineExceeded,
                    "no answer in the time given".to_string(),
                ),
                FailureReason::AttemptsExhausted(text) => (
                    Code::Internal,
                    format!("no attempt led to an answer; the last: {text}"),
                ),
                FailureReason::StreamBroken(text) => {
                    (Code::Internal, format!("the stream broke: {text}"))
                }
                FailureReason::NodeStopped => (
                    Code::Internal,
                    "the node stopped before the answer's end".to_string(),
                ),
                FailureReason::InvalidRequest(text) => (Code::InvalidArgument, text.clone()),
            };
            metadata.insert("grpc-retry-pushback-ms", MetadataValue::from_static("-1"));
            Status::with_metadata(code, text, metadata)
        }
    }
}

/// An answer that was given before there was a request (a message too large or malformed, an unknown method) is a failure
/// by the same contract as all others: nothing is promised, and it says so.
fn by_contract<B>(mut response: http::Response<B>) -> http::Response<B> {
    let headers = response.headers_mut();
    let ended = headers
        .get("grpc-status")
        .is_some_and(|status| status != "0");
    if ended && !headers.contains_key("ivyward-outcome") {
        headers.insert("ivyward-outcome", http::HeaderValue::from_static("failed"));
        headers.insert(
            "grpc-retry-pushback-ms",
            http::HeaderValue::from_static("-1"),
        );
    }
    response
}

/// A call's stream of tokens.
pub struct Tell {
    answer: Option<ResponseStream>,
}

impl Stream for Tell {
    type Item = Result<Tokens, Status>;
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(answer) = self.answer.as_mut() else {
            return Poll::Ready(None);
        };
        match answer.poll_part(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(ResponsePart::Tokens(run)) => Poll::Ready(Some(Ok(Tokens {
                first_index: run.first_index,
                ids: run.ids,
            }))),
            Poll::Ready(ResponsePart::End(end)) => {
                self.answer = None;
                Poll::Ready(Some(Err(status(&end))))
            }
        }
    }
}

#[derive(Clone)]
struct Service(Node);

#[tonic::async_trait]
impl Front for Service {
    type GenerateStream = Pin<Box<dyn Stream<Item = Result<Tokens, Status>> + Send>>;
    async fn generate(
        &self,
        request: Request<GenerateRequest>,
    ) -> Result<Response<Self::GenerateStream>, Status> {
        let client_timeout = match grpc_timeout(request.metadata()) {
            Ok(client_timeout) => client_timeout,
            Err(text) => {
                return Err(status(&FinalStatus::Failed(FailureReason::InvalidRequest(
                    text,
                ))))
            }
        };
        let answer = self.0.generate(request.into_inner(), client_timeout);
        Ok(Response::new(
            Tell {
                answer: Some(answer),
            }
            .boxed(),
        ))
    }
}

impl Node {
    /// Serves gRPC on a listener until the node stops: then it closes the door, and each connection once its last
    /// call is answered.
    pub async fn serve(&self, mut listener: Box<dyn Listener>) {
        let traffic = &self.context.metrics.client_traffic;
        let runtime = metered(&self.context.runtime, traffic);
        let most = self.context.settings.most_prompt * TOKEN_BYTES + (64 << 10);
        let service = FrontServer::new(Service(self.clone())).max_decoding_message_size(most);
        loop {
            let accepted =
                futures_lite::future::or(async { Some(listener.accept().await) }, async {
                    self.closed().await;
                    None
                });
            let conn = match accepted.await {
                None => return,
                Some(Ok((conn, _))) => traffic.watch(conn),
                Some(Err(e)) => {
                    debug!(error = %e, "a connection could not be accepted");
                    // A pause lets what this machine lacks come free. One connection's own end needs none.
                    if ErrorOrigin::of(&e) == ErrorOrigin::Local {
                        runtime.sleep(10_000).await;
                    }
                    continue;
                }
            };
            let Some(counted) = self.clients.admit(self.context.settings.most_clients) else {
                self.context.metrics.clients_turned_away.add(1);
                continue;
            };
            let (service, node) = (TowerToHyperService::new(service.clone()), self.clone());
            let tasks = Tasks(runtime.clone());
            runtime.run(async move {
                let mut builder = hyper::server::conn::http2::Builder::new(tasks);
                builder
                    .auto_date_header(false)
                    .max_concurrent_streams(CALLS_PER_CLIENT)
                    .max_header_list_size(MOST_HEADERS);
                let service = hyper::service::service_fn(move |call| {
                    let answered = hyper::service::Service::call(&service, call);
                    async move { answered.await.map(by_contract) }
                });
                let mut connection = std::pin::pin!(builder.serve_connection(Io(conn), service));
                let stopped =
                    futures_lite::future::or(async { Some(connection.as_mut().await) }, async {
                        node.closed().await;
                        None
                    });
                if stopped.await.is_none() {
                    connection.as_mut().graceful_shutdown();
                    // Errors concern this client alone.
                    let _ = connection.await;
                }
                drop(counted);
            });
        }
    }
}

#[cfg(test)]
mod tests;
