//! The admin endpoint: health, metrics and peers over HTTP/1.1.

use crate::node::Node;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{timeout_at, Conn, Listener, RuntimeExt};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum number of open connections; any further one is closed at once.
const MAX_CONNECTIONS: usize = 32;
/// Maximum size of a request's head, in bytes.
const MAX_HEAD: usize = 8 << 10;
/// Time after which a connection is closed even if its request is not finished, in microseconds.
const REQUEST_TIMEOUT: u64 = 2_000_000;
/// Pause after a failed accept, in microseconds.
const ACCEPT_PAUSE: u64 = 10_000;

impl Node {
    /// Serves the admin endpoint until the runtime ends: `/healthz` (200 while the node accepts requests, else 503), `/metrics`
    /// and, after [`Node::start_peers`], `/peers`.
    pub async fn serve_admin(&self, mut listener: Box<dyn Listener>) {
        let runtime = self.context.runtime.clone();
        let open = Arc::new(AtomicUsize::new(0));
        loop {
            let Ok((conn, _)) = listener.accept().await else {
                runtime.sleep(ACCEPT_PAUSE).await;
                continue;
            };
            if open.fetch_add(1, Ordering::SeqCst) >= MAX_CONNECTIONS {
                open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let (node, open, until) = (self.clone(), open.clone(), runtime.now() + REQUEST_TIMEOUT);
            runtime.run(async move {
                // An error affects only this client.
                let _ = timeout_at(&node.context.runtime, until, serve_one(&node, conn)).await;
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }
}

/// Serves the single request of a connection and closes the connection.
async fn serve_one(node: &Node, mut conn: Conn) -> std::io::Result<()> {
    let (mut head, mut chunk) = (Vec::new(), [0u8; 1024]);
    let (code, body) = loop {
        let length = conn.read(&mut chunk).await?;
        if length == 0 {
            return Ok(());
        }
        head.extend_from_slice(&chunk[..length]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&head) {
            Ok(httparse::Status::Complete(_)) => break reply(node, request.method, request.path),
            Ok(httparse::Status::Partial) if head.len() < MAX_HEAD => {}
            _ => {
                break (
                    "400 Bad Request",
                    "not an HTTP/1 request of a head under 8 KiB\n".to_string(),
                )
            }
        }
    };
    let head = format!(
        "HTTP/1.1 {code}\r\ncontent-type: text/plain; charset=utf-8\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    conn.write_all(head.as_bytes()).await?;
    conn.write_all(body.as_bytes()).await?;
    conn.close().await
}

fn reply(node: &Node, method: Option<&str>, path: Option<&str>) -> (&'static str, String) {
    match (method, path) {
        (Some("GET"), Some("/healthz")) if node.is_accepting() => ("200 OK", "ok\n".into()),
        (Some("GET"), Some("/healthz")) => ("503 Service Unavailable", "stopping\n".into()),
        (Some("GET"), Some("/metrics")) => {
            let mut text = node.metrics().text(node.open_requests());
            if let Some(peers) = node.peers_handle() {
                peers.metrics(&mut text);
            }
            ("200 OK", text)
        }
        (Some("GET"), Some("/peers")) => match node.peers_handle() {
            Some(peers) => ("200 OK", peers.text()),
            None => (
                "404 Not Found",
                "this node knows no peers: see --peer-listen\n".into(),
            ),
        },
        (Some("GET"), _) => (
            "404 Not Found",
            "there are /healthz, /metrics and /peers\n".into(),
        ),
        _ => ("405 Method Not Allowed", "only GET\n".into()),
    }
}
