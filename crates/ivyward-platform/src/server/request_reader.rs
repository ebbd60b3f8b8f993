//! Reads a request with its body from a client connection.

use super::connection::RequestError;
use super::Server;
use crate::body_buffer::BodyBuffer;
use crate::body_buffer::Prompt;
use crate::buffered_connection::{BufferedConnection, ReadHeadError};
use crate::config::{LIMITS, MAX_BODY_BYTES};
use ivyward::core::interface::Micros;
use ivyward::memory_budget::{BudgetExhausted, BudgetShare};
use ivyward::runtime::timeout_at;
use ivyward_http1::{BodyDecoder, Decoded, HeadError, RequestHead};

/// Why no request was received.
pub(super) enum ReadError {
    /// The received bytes are not a valid request; the error is sent as the response.
    Invalid(RequestError),
    /// The client closed the connection, or reading from it failed.
    Closed,
}

impl From<RequestError> for ReadError {
    fn from(error: RequestError) -> ReadError {
        ReadError::Invalid(error)
    }
}

impl From<BudgetExhausted> for ReadError {
    fn from(_: BudgetExhausted) -> ReadError {
        let text = "the node holds as many prompts as it can";
        RequestError::closing(503, text).into()
    }
}

impl Server {
    /// Waits for a complete request. Responds with status 408 at `until`. If the memory for requests is used up, the requests
    /// that have been received for the longest time get status 503.
    pub(super) async fn receive(
        &self,
        connection: &mut BufferedConnection,
        until: Micros,
    ) -> Result<(RequestHead, Prompt), ReadError> {
        let reading = timeout_at(&self.runtime, until, self.read_request(connection));
        let request = self.request_memory.hold(reading).await;
        let Some(request) = request else {
            return Err(BudgetExhausted.into());
        };
        request.unwrap_or_else(|| {
            let text = "the request did not come whole in time";
            Err(RequestError::closing(408, text).into())
        })
    }

    async fn read_request(
        &self,
        connection: &mut BufferedConnection,
    ) -> Result<(RequestHead, Prompt), ReadError> {
        let request = read_head(connection).await?;
        let expects_continue = request
            .headers
            .text("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        if expects_continue {
            connection
                .write(&[b"HTTP/1.1 100 Continue\r\n\r\n"])
                .await
                .map_err(|_| ReadError::Closed)?;
        }
        let mut memory = BudgetShare::new(&self.request_memory);
        memory.grow(request.memory()).await?;
        let body = read_body(connection, &request, &mut memory).await?;
        let prompt = Prompt { body, memory };
        Ok((request, prompt))
    }
}

/// Reads the body of a request. Its memory is added to `memory`.
async fn read_body(
    connection: &mut BufferedConnection,
    request: &RequestHead,
    memory: &mut BudgetShare,
) -> Result<BodyBuffer, ReadError> {
    let mut body = BodyDecoder::new(request.framing, &LIMITS);
    let mut bytes = BodyBuffer::new(request.framing);
    let head_memory = memory.bytes();
    loop {
        // Memory is allocated and counted for received bytes only, not for the length that the client states.
        let missing = bytes.missing(connection.unread().len());
        if missing > 0 {
            memory.grow(missing).await?;
        }
        let step = connection
            .read_body_step(&mut body, |data| bytes.append(data))
            .map_err(|error| RequestError::closing(400, error.to_string()))?;
        let counted = head_memory + bytes.capacity;
        // A body may come in very many small chunks, few of which need more memory.
        if counted != memory.bytes() {
            memory.resize(counted);
        }
        match step {
            Decoded::Done => return Ok(bytes),
            _ if bytes.length > MAX_BODY_BYTES => {
                return Err(RequestError::closing(413, "the body is too long").into());
            }
            Decoded::NeedMoreInput => fill(connection).await?,
            Decoded::Data(_) => {}
        }
    }
}

async fn read_head(connection: &mut BufferedConnection) -> Result<RequestHead, ReadError> {
    let head = connection.read_head(&LIMITS, RequestHead::parse).await;
    head.map_err(|error| match error {
        ReadHeadError::Closed | ReadHeadError::Io(_) => ReadError::Closed,
        ReadHeadError::OutOfMemory(exhausted) => exhausted.into(),
        ReadHeadError::Invalid(error) => {
            let status = match error {
                HeadError::BodyTooLarge => 413,
                HeadError::TooLong => 431,
                _ => 400,
            };
            RequestError::closing(status, error.to_string()).into()
        }
    })
}

/// Waits for more bytes of a request. The end of the stream is an error, since the request is incomplete.
async fn fill(connection: &mut BufferedConnection) -> Result<(), ReadError> {
    match connection.fill().await {
        Ok(received) if received > 0 => Ok(()),
        _ => Err(ReadError::Closed),
    }
}
