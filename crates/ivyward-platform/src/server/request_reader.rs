//! Reads a request with its body from a client connection.

use super::connection::RequestError;
use super::Server;
use crate::buffered_connection::{BufferedConnection, ReadHeadError};
use crate::config::{LIMITS, MAX_BODY_BYTES};
use crate::prompt_budget::{BudgetShare, Prompt};
use ivyward::core::interface::Micros;
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

impl Server {
    /// Waits for a complete request. Responds with status 408 at `until`.
    pub(super) async fn receive(
        &self,
        connection: &mut BufferedConnection,
        until: Micros,
    ) -> Result<(RequestHead, Prompt), ReadError> {
        let request = timeout_at(&self.runtime, until, self.read_request(connection)).await;
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
                .write(b"HTTP/1.1 100 Continue\r\n\r\n", &[])
                .await
                .map_err(|_| ReadError::Closed)?;
        }
        let prompt = self.read_body(connection, &request).await?;
        Ok((request, prompt))
    }

    async fn read_body(
        &self,
        connection: &mut BufferedConnection,
        request: &RequestHead,
    ) -> Result<Prompt, ReadError> {
        let mut body = BodyDecoder::new(request.framing, &LIMITS);
        let mut share = BudgetShare::new(&self.prompt_budget);
        // Memory is allocated and counted for received bytes only, not for the length that the client states.
        let mut bytes = Vec::new();
        loop {
            let length_before = bytes.len();
            let step = connection
                .read_body_step(&mut body, &mut bytes)
                .map_err(|error| RequestError::closing(400, error.to_string()))?;
            let added = bytes.len() - length_before;
            if added > 0 && !share.grow(added) {
                let text = "the node holds as many prompts as it can";
                return Err(RequestError::closing(503, text).into());
            }
            match step {
                Decoded::Done => {
                    return Ok(Prompt {
                        bytes,
                        _share: share,
                    })
                }
                _ if bytes.len() > MAX_BODY_BYTES => {
                    return Err(RequestError::closing(413, "the body is too long").into());
                }
                Decoded::NeedMoreInput => fill(connection).await?,
                Decoded::Data(_) => {}
            }
        }
    }
}

async fn read_head(connection: &mut BufferedConnection) -> Result<RequestHead, ReadError> {
    let head = connection.read_head(&LIMITS, RequestHead::parse).await;
    head.map_err(|error| {
        let ReadHeadError::Invalid(fault) = error else {
            return ReadError::Closed;
        };
        let status = match fault {
            HeadError::BodyTooLarge => 413,
            HeadError::TooLong => 431,
            _ => 400,
        };
        RequestError::closing(status, fault.to_string()).into()
    })
}

/// Waits for more bytes of a request. The end of the stream is an error, since the request is incomplete.
async fn fill(connection: &mut BufferedConnection) -> Result<(), ReadError> {
    match connection.fill().await {
        Ok(received) if received > 0 => Ok(()),
        _ => Err(ReadError::Closed),
    }
}
