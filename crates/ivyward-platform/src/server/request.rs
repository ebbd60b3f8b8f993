//! Handles one client request.

use super::connection::RequestError;
use super::in_flight::InFlightRequest;
use super::response::{Delivery, ShortResponse, MAX_UNTHROTTLED_BYTES};
use super::Server;
use crate::body_buffer::Prompt;
use crate::buffered_connection::BufferedConnection;
use crate::call::{HttpCall, ResponseBuffer};
use ivyward::core::interface::{Idempotency, Request as RouterRequest};
use ivyward::core::request_ids::RepeatedId;
use ivyward_http1::RequestHead;
use std::sync::atomic::Ordering;
use std::sync::Arc;

const HEALTH_PATH: &str = "/healthz";
const CHAT_PATH: &str = "/v1/chat/completions";

impl Server {
    /// Checks a request, and responds to it through the node. An error is not written here; the caller writes it.
    pub(super) async fn handle_request(
        &self,
        connection: &mut BufferedConnection,
        request: RequestHead,
        prompt: Prompt,
    ) -> Result<Delivery, RequestError> {
        let path = request.target.split('?').next().unwrap_or("");
        if path == HEALTH_PATH {
            return Ok(self.respond_with_health(connection).await);
        }
        if path != CHAT_PATH {
            let text = "POST /v1/chat/completions and GET /healthz are served";
            return Err(RequestError::new(404, text));
        }
        if request.method != "POST" {
            return Err(RequestError::new(405, "POST is taken"));
        }
        let (id, router_request) = self.parse_headers(&request, prompt.body.length)?;
        if !prompt.body.is_json() {
            return Err(RequestError::new(400, "the body is no JSON"));
        }
        let id = self.request_ids.register(&id).map_err(repeated_id)?;
        // The client may have disconnected while its request was waiting to be read, also behind further bytes.
        if connection.peer_has_closed(MAX_UNTHROTTLED_BYTES).await {
            return Ok(Delivery::Broken);
        }
        let call = Arc::new(HttpCall::new(
            id,
            &request,
            self.is_idempotent(&router_request),
            prompt,
            connection.peer(),
            // One half holds the events that are being written, the other one those that follow.
            ResponseBuffer::new(self.bounds.response_buffer / 2, &self.response_memory),
        ));
        // A head may be long, and is not needed while the response is awaited.
        drop(request);
        Ok(self.route(connection, router_request, &call).await)
    }

    async fn respond_with_health(&self, connection: &mut BufferedConnection) -> Delivery {
        let is_serving = self.ready.load(Ordering::SeqCst) && !self.is_stopping();
        let response = ShortResponse {
            status: if is_serving { 200 } else { 503 },
            headers: &[],
            body: "{}",
            closes: self.is_stopping(),
        };
        self.respond(connection, &response).await
    }

    fn is_idempotent(&self, request: &RouterRequest) -> bool {
        let class = &self.deployment.router.classes[request.class];
        class.idempotency == Idempotency::Idempotent
    }

    /// Passes the request to the node, and forwards the response to the client. The request's deadline is the client's
    /// timeout less the answer margin.
    async fn route(
        &self,
        connection: &mut BufferedConnection,
        request: RouterRequest,
        call: &Arc<HttpCall>,
    ) -> Delivery {
        let deadline = self.runtime.now().saturating_add(request.client_timeout);
        let deadline = deadline.saturating_sub(self.node.settings().answer_margin);
        match self.node.accept(request, deadline, call.clone()) {
            Ok(number) => {
                let request = InFlightRequest {
                    node: &self.node,
                    number,
                    call,
                };
                self.relay_response(connection, &request).await
            }
            Err(reason) => {
                let retry_after = Some(self.node.settings().router.max_retry_after);
                self.reject(connection, retry_after, reason).await
            }
        }
    }
}

/// Returns the error for a request whose id was used before. It is no refusal, which would promise that a retry is harmless.
fn repeated_id(error: RepeatedId) -> RequestError {
    let text = match error {
        RepeatedId::Open => "a request with this id is open",
        RepeatedId::MayHaveRun => "a request with this id may have run",
    };
    RequestError::new(409, text)
}
