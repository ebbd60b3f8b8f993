//! A gRPC client of nodes whose test writes the parts of each call.

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use ivyward_runtime::io::Io;
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use std::net::SocketAddr;

/// Opens an HTTP/2 connection, which a task of its own drives.
pub async fn connect(runtime: &RuntimeRef, address: SocketAddr) -> SendRequest<Bytes> {
    let conn = runtime.connect(address).await.unwrap();
    let (client, connection) = h2::client::handshake(Io::new(conn)).await.unwrap();
    runtime.run(async move {
        let _ = connection.await;
    });
    client.ready().await.unwrap()
}

/// Returns the head of a call, to which a test may add headers.
pub fn call_head() -> http::request::Builder {
    http::Request::post("http://node/ivyward.front.v1.Front/Generate")
        .header("content-type", "application/grpc")
        .header("te", "trailers")
}

/// Returns the outcome in the headers or trailers of a response; `None` if the connection ended without one.
pub async fn outcome(response: ResponseFuture) -> Option<String> {
    let response = response.await.ok()?;
    if let Some(outcome) = response.headers().get("ivyward-outcome") {
        return Some(outcome.to_str().unwrap().to_owned());
    }
    let mut body = response.into_body();
    while let Some(data) = body.data().await {
        let length = data.ok()?.len();
        body.flow_control().release_capacity(length).ok()?;
    }
    let trailers = body.trailers().await.ok()??;
    Some(trailers["ivyward-outcome"].to_str().unwrap().to_owned())
}
