//! The gRPC server for clients: accepts calls on a listener, and reports the final status of each as a gRPC status.

use crate::context::NodeContext;
use crate::node::{Node, ResponseStream};
use crate::request::clients::ClientConnection;
use crate::request::request_body::CountedBody;
use crate::response::{FailureReason, FinalStatus, RejectReason, ResponsePart};
use futures_lite::future::{or, yield_now};
use futures_lite::{Stream, StreamExt};
use hyper::body::Incoming;
use hyper_util::service::TowerToHyperService;
use ivyward_core::interface::Micros;
use ivyward_grpc::{parse_timeout, TIMEOUT_HEADER};
use ivyward_proto::front::front_server::{Front, FrontServer};
use ivyward_proto::front::{GenerateRequest, Tokens};
use ivyward_runtime::io::{HyperExecutor, Io};
use ivyward_runtime::{metered, Conn, ErrorOrigin, Listener, RuntimeExt};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::{Code, Request, Response, Status};
use tonic_types::{ErrorDetails, StatusExt};
use tracing::debug;

/// Maximum number of concurrent calls on one client connection.
const MAX_CALLS_PER_CLIENT: u32 = 4_096;
/// Maximum size of the headers of one call, in bytes.
const MAX_HEADERS: u32 = 16 << 10;
/// Maximum size of an encoded token, in bytes: a varint of 32 bits has at most five.
const MAX_TOKEN_BYTES: usize = 5;
/// Maximum size of an encoded request without its prompt, in bytes.
const MAX_REQUEST_OVERHEAD: usize = 64 << 10;
/// Pause in microseconds after a connection could not be accepted because this machine lacks a resource.
const ACCEPT_PAUSE: Micros = 10_000;
const OUTCOME_HEADER: &str = "ivyward-outcome";
const PUSHBACK_HEADER: &str = "grpc-retry-pushback-ms";

/// Returns how long the client waits for the call, from the `grpc-timeout` header; `None` without the header.
fn grpc_timeout(metadata: &MetadataMap) -> Result<Option<Micros>, String> {
    let Some(value) = metadata.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| "grpc-timeout is not text".to_string())?;
    parse_timeout(text).map(Some).map_err(|e| e.to_string())
}

/// Converts a final status to a gRPC status.
///
/// A served request has the status OK. A rejection is `RESOURCE_EXHAUSTED` or `UNAVAILABLE`, with `grpc-retry-pushback-ms` and
/// a `RetryInfo`. A failure has any other code and a negative pushback, which forbids automatic retries.
pub fn status(end: &FinalStatus) -> Status {
    match end {
        FinalStatus::Served => Status::with_metadata(Code::Ok, "", outcome_metadata("served")),
        FinalStatus::Rejected {
            retry_after,
            reason,
        } => rejection(*reason, *retry_after),
        FinalStatus::Failed(reason) => failure(reason),
    }
}

fn outcome_metadata(outcome: &'static str) -> MetadataMap {
    let mut metadata = MetadataMap::new();
    metadata.insert(OUTCOME_HEADER, MetadataValue::from_static(outcome));
    metadata
}

fn rejection(reason: RejectReason, retry_after: Option<Micros>) -> Status {
    let (code, text) = match reason {
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
    // Rounded up, so that no client retries too early.
    let ms = u64::try_from(after.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
    let mut metadata = outcome_metadata("refused");
    metadata.insert(PUSHBACK_HEADER, MetadataValue::from(ms));
    let details = ErrorDetails::with_retry_info(Some(after));
    Status::with_error_details_and_metadata(code, text, details, metadata)
}

/// Returns the status of a request that is rejected while it is received, for want of memory.
pub(super) fn node_full(retry_after: Micros) -> Status {
    rejection(RejectReason::NodeFull, Some(retry_after))
}

fn failure(reason: &FailureReason) -> Status {
    let (code, text) = match reason {
        FailureReason::Deadline => (
            Code::DeadlineExceeded,
            "no answer in the time given".to_string(),
        ),
        FailureReason::AttemptsExhausted(text) => (
            Code::Internal,
            format!("no attempt led to an answer; the last: {text}"),
        ),
        FailureReason::StreamBroken(text) => (Code::Internal, format!("the stream broke: {text}")),
        FailureReason::NodeStopped => (
            Code::Internal,
            "the node stopped before the answer's end".to_string(),
        ),
        FailureReason::InvalidRequest(text) => (Code::InvalidArgument, text.clone()),
    };
    let mut metadata = outcome_metadata("failed");
    metadata.insert(PUSHBACK_HEADER, MetadataValue::from_static("-1"));
    Status::with_metadata(code, text, metadata)
}

/// Adds the headers of a failure to an error that is returned before there is a request, for example for a malformed or too
/// large message or an unknown method. They tell the client that, as after any failure, no automatic retry is allowed.
fn mark_early_failure<B>(mut response: http::Response<B>) -> http::Response<B> {
    let headers = response.headers_mut();
    let has_error = headers
        .get("grpc-status")
        .is_some_and(|status| status != "0");
    if has_error && !headers.contains_key(OUTCOME_HEADER) {
        headers.insert(OUTCOME_HEADER, http::HeaderValue::from_static("failed"));
        headers.insert(PUSHBACK_HEADER, http::HeaderValue::from_static("-1"));
    }
    response
}

/// The response stream of a call: its tokens, then its final status.
pub struct TokenStream {
    response: Option<ResponseStream>,
}

impl Stream for TokenStream {
    type Item = Result<Tokens, Status>;
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(response) = self.response.as_mut() else {
            return Poll::Ready(None);
        };
        match response.poll_part(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(ResponsePart::Tokens(run)) => Poll::Ready(Some(Ok(Tokens {
                first_index: run.first_index,
                ids: run.ids,
            }))),
            Poll::Ready(ResponsePart::End(end)) => {
                self.response = None;
                Poll::Ready(Some(Err(status(&end))))
            }
        }
    }
}

/// Implements the generated service trait for a node.
#[derive(Clone)]
struct Service(Node);

#[tonic::async_trait]
impl Front for Service {
    type GenerateStream = Pin<Box<dyn Stream<Item = Result<Tokens, Status>> + Send>>;
    async fn generate(
        &self,
        request: Request<GenerateRequest>,
    ) -> Result<Response<Self::GenerateStream>, Status> {
        let client_timeout = grpc_timeout(request.metadata()).map_err(|text| {
            let reason = FailureReason::InvalidRequest(text);
            status(&FinalStatus::Failed(reason))
        })?;
        let response = self.0.generate(request.into_inner(), client_timeout);
        let stream = TokenStream {
            response: Some(response),
        };
        Ok(Response::new(stream.boxed()))
    }
}

impl Node {
    /// Serves gRPC clients on a listener until the node stops. From then on no connection is accepted, and each open one is
    /// closed once its last call has ended.
    pub async fn serve(&self, mut listener: Box<dyn Listener>) {
        let traffic = &self.context.metrics.client_traffic;
        let runtime = metered(&self.context.runtime, traffic);
        let settings = &self.context.settings;
        let max_message = settings.max_prompt_tokens * MAX_TOKEN_BYTES + MAX_REQUEST_OVERHEAD;
        let service = FrontServer::new(Service(self.clone()));
        let service = service.max_decoding_message_size(max_message);
        loop {
            let closed = async {
                self.closed().await;
                None
            };
            let accepted = or(closed, async { Some(listener.accept().await) });
            // The accept queue may never be empty.
            yield_now().await;
            let conn = match accepted.await {
                None => return,
                Some(Ok((conn, _))) => traffic.wrap(conn),
                Some(Err(error)) => {
                    debug!(%error, "accept failed");
                    // The pause gives this machine time to free the resource that it lacks. A connection that failed by
                    // itself needs no pause.
                    if ErrorOrigin::of(&error) == ErrorOrigin::Local {
                        runtime.sleep(ACCEPT_PAUSE).await;
                    }
                    continue;
                }
            };
            let Some(admitted) = self.clients.admit(settings.max_client_connections) else {
                self.context.metrics.clients_rejected.add(1);
                continue;
            };
            let (service, node) = (service.clone(), self.clone());
            let tasks = HyperExecutor(runtime.clone());
            runtime.run(async move {
                serve_connection(node, tasks, service, conn, admitted).await;
            });
        }
    }
}

/// Serves one connection until it closes, or until the node has stopped and the connection's calls have ended.
async fn serve_connection(
    node: Node,
    tasks: HyperExecutor,
    service: FrontServer<Service>,
    conn: Conn,
    admitted: ClientConnection,
) {
    let service = TowerToHyperService::new(service);
    let mut builder = hyper::server::conn::http2::Builder::new(tasks);
    builder
        .auto_date_header(false)
        .max_concurrent_streams(MAX_CALLS_PER_CLIENT)
        .max_header_list_size(MAX_HEADERS);
    let context = node.context.clone();
    let service = hyper::service::service_fn(move |call: http::Request<Incoming>| {
        let context = context.clone();
        let call = count_memory(&context, call);
        let answered = hyper::service::Service::call(&service, call);
        async move {
            // Ends when the message has been received, since the response is a stream.
            match context.receiving_memory.hold(answered).await {
                Some(answered) => answered.map(mark_early_failure),
                None => Ok(shed_response(&context)),
            }
        }
    });
    let mut connection = std::pin::pin!(builder.serve_connection(Io::new(conn), service));
    let ended = or(async { Some(connection.as_mut().await) }, async {
        node.closed().await;
        None
    });
    if ended.await.is_none() {
        connection.as_mut().graceful_shutdown();
        // An error affects only this client.
        let _ = connection.await;
    }
    drop(admitted);
}

/// Counts the memory of a call while it is received.
fn count_memory(
    context: &NodeContext,
    call: http::Request<Incoming>,
) -> http::Request<CountedBody> {
    let (head, body) = call.into_parts();
    let retry_after = context.router_settings.max_retry_after;
    let budget = &context.receiving_memory;
    let body = CountedBody::new(body, &head.headers, budget, retry_after);
    http::Request::from_parts(head, body)
}

/// Returns the response to a call that is shed while it is received.
fn shed_response(context: &NodeContext) -> http::Response<tonic::body::Body> {
    context.count_rejection(RejectReason::NodeFull);
    node_full(context.router_settings.max_retry_after).into_http()
}

#[cfg(test)]
mod tests;
