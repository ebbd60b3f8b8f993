//! The methods of [`Channel`] that start a call.

use crate::activity::InFlightGuard;
use crate::call::{Call, CallStart};
use crate::channel::Channel;
use crate::status::{CallError, Cause};
use crate::timeout::{encode_timeout, TIMEOUT_HEADER};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use ivyward_runtime::Micros;
use std::fmt::Display;

/// The gRPC headers of every request.
const GRPC_HEADERS: [(&str, &str); 2] = [("content-type", "application/grpc"), ("te", "trailers")];
/// The `:authority` of every request.
const AUTHORITY: &str = "engine";

/// The options in which the kinds of calls differ.
#[derive(Debug, Default)]
struct CallOptions {
    /// Additional headers.
    headers: HeaderMap,
    /// The time after which the response is of no use. The server receives the time that remains when the call is sent.
    deadline: Option<Micros>,
    /// Whether more request messages may follow the first one.
    client_streaming: bool,
}

impl Channel {
    /// Starts a call with one request message. [`Call::next`] drives the upload and the response.
    ///
    /// # Errors
    /// [`CallError`] when the call could not be started, and thus never ran.
    pub async fn call(
        &self,
        path: &'static str,
        body: Bytes,
        headers: HeaderMap,
    ) -> Result<Call, CallError> {
        let options = CallOptions {
            headers,
            ..CallOptions::default()
        };
        self.start_call(path, body, options).await
    }

    /// Starts a call with one request message and tells the server its deadline. The `grpc-timeout` header contains the time
    /// that remains until `deadline` once the call has waited for a stream; without a deadline there is no such header.
    ///
    /// # Errors
    /// [`CallError`] when the call could not be started or no time is left. The call never ran in both cases.
    pub async fn call_with_deadline(
        &self,
        path: &'static str,
        body: Bytes,
        deadline: Option<Micros>,
    ) -> Result<Call, CallError> {
        let options = CallOptions {
            deadline,
            ..CallOptions::default()
        };
        self.start_call(path, body, options).await
    }

    /// Starts a client-streaming call. [`Call::send`] adds more request messages.
    ///
    /// # Errors
    /// [`CallError`] when the call could not be started, and thus never ran.
    pub async fn client_streaming_call(
        &self,
        path: &'static str,
        body: Bytes,
        headers: HeaderMap,
    ) -> Result<Call, CallError> {
        let options = CallOptions {
            headers,
            client_streaming: true,
            ..CallOptions::default()
        };
        self.start_call(path, body, options).await
    }

    async fn start_call(
        &self,
        path: &'static str,
        body: Bytes,
        options: CallOptions,
    ) -> Result<Call, CallError> {
        let mut send = self.send.clone().ready().await.map_err(not_started)?;
        let client_streaming = options.client_streaming;
        let request = self.request_head(path, options)?;
        let in_flight = InFlightGuard::new(&self.activity);
        let (response, upload) = send.send_request(request, false).map_err(not_started)?;
        let start = CallStart {
            response,
            upload,
            body,
            client_streaming,
            in_flight,
        };
        Ok(Call::new(self, start))
    }

    fn request_head(
        &self,
        path: &'static str,
        options: CallOptions,
    ) -> Result<Request<()>, CallError> {
        let mut request = Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.version_mut() = http::Version::HTTP_2;
        *request.uri_mut() = http::Uri::builder()
            .scheme("http")
            .authority(AUTHORITY)
            .path_and_query(path)
            .build()
            .map_err(not_started)?;
        *request.headers_mut() = options.headers;
        if let Some(deadline) = options.deadline {
            request.headers_mut().insert(
                HeaderName::from_static(TIMEOUT_HEADER),
                self.timeout_value(deadline)?,
            );
        }
        for (name, value) in GRPC_HEADERS {
            request.headers_mut().insert(
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            );
        }
        Ok(request)
    }

    /// Returns the value of the timeout header: the time that remains until the deadline.
    fn timeout_value(&self, deadline: Micros) -> Result<HeaderValue, CallError> {
        let remaining = deadline.saturating_sub(self.runtime.now());
        if remaining == 0 {
            return Err(CallError::never_ran(Cause::DeadlinePassed));
        }
        HeaderValue::from_str(&encode_timeout(remaining)).map_err(not_started)
    }
}

fn not_started(error: impl Display) -> CallError {
    CallError::never_ran(Cause::ConnectionBroken(error.to_string()))
}
