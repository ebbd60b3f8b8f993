//! Health and plain metrics over HTTP/1, read with httparse.

use crate::node::Node;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{before, Conn, Listener, RuntimeExt};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Connections at once; one more is closed.
const MOST: usize = 32;
/// Bytes of a request's head.
const MOST_HEAD: usize = 8 << 10;
/// Microseconds for a whole request.
const TIME: u64 = 2_000_000;

impl Node {
    /// Serves `/healthz` (200 while the node takes requests, else 503), `/metrics` and, if it knows others, `/peers` until the world ends.
    pub async fn serve_admin(&self, mut listener: Box<dyn Listener>) {
        let runtime = self.context.runtime.clone();
        let busy = Arc::new(AtomicUsize::new(0));
        loop {
            let Ok((conn, _)) = listener.accept().await else {
                runtime.sleep(10_000).await;
                continue;
            };
            if busy.fetch_add(1, Ordering::SeqCst) >= MOST {
                busy.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let (node, busy, until) = (self.clone(), busy.clone(), runtime.now() + TIME);
            runtime.run(async move {
                // A client that breaks off is its own loss.
                let _ = before(&node.context.runtime, until, one(&node, conn)).await;
                busy.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }
}

async fn one(node: &Node, mut conn: Conn) -> std::io::Result<()> {
    let (mut head, mut chunk) = (Vec::new(), [0u8; 1024]);
    let (code, body) = loop {
        let got = conn.read(&mut chunk).await?;
        if got == 0 {
            return Ok(());
        }
        head.extend_from_slice(&chunk[..got]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&head) {
            Ok(httparse::Status::Complete(_)) => break reply(node, request.method, request.path),
            Ok(httparse::Status::Partial) if head.len() < MOST_HEAD => {}
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
            if let Some(peers) = node.known_peers() {
                peers.metrics(&mut text);
            }
            ("200 OK", text)
        }
        (Some("GET"), Some("/peers")) => match node.known_peers() {
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
