//! The clients of a soak run. Their sessions reuse connections or open new ones; some clients disconnect early or send
//! half a request.

use crate::soak::cluster::SoakCluster;
use futures_lite::AsyncWriteExt;
use ivyward_fakes::platform::exchange::{read_response, ReceivedResponse};
use ivyward_fakes::platform::observe::{Idempotency, Observation};
use ivyward_runtime::{timeout_at, Conn, Micros, RuntimeExt};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The classes of the run's configuration, each with the idempotency of its requests.
const CLASSES: [(&str, Idempotency); 3] = [
    ("draft", Idempotency::Idempotent),
    ("once", Idempotency::WithKey),
    ("send", Idempotency::NonIdempotent),
];
/// The time limit that clients send with a request, in milliseconds.
const TIMEOUT_MS: u64 = 2_500;
/// The additional time for which a client waits for a connection, or leaves half a request open.
const LATE_ANSWER_TIME: Micros = 1_500_000;
/// How long a client waits for the end of its answer after its time limit. A node passes the end on within 5 s of the last
/// event of a running engine.
const LATE_END_TIME: Micros = 6_000_000;
const PAUSE_RANGE: (Micros, Micros) = (30_000, 160_000);
/// One request in this many uses a new connection.
const NEW_CONNECTION_INTERVAL: u64 = 4;
/// The number of idle connections of a crowd.
const CROWD: usize = 300;
/// The longest time after which a client that disconnects early does so.
const MAX_DISCONNECT_DELAY: Micros = 60_000;
const BODY: &str = r#"{"model":"chat","stream":true,"messages":[{"role":"user","content":"xxxxxxxxxxxxxxxxxxxxxxxx"}]}"#;

/// Opens connections to a node and leaves them idle for `duration`.
pub(super) async fn crowd(cluster: &SoakCluster, node: usize, duration: Micros) {
    let mut idle = Vec::new();
    for _ in 0..CROWD {
        idle.extend(connect(cluster, node).await);
    }
    cluster.runtime.sleep(duration).await;
}

/// Runs one client of one node until the run's clients are stopped.
pub(super) async fn session(cluster: Arc<SoakCluster>, node: usize, number: u64) {
    let _open = cluster.sessions.clone();
    let runtime = cluster.runtime.clone();
    let (mut idle, mut n) = (None, 0);
    while !cluster.clients_stop.load(Ordering::SeqCst) {
        n += 1;
        let id = format!("{node}-{number}-{n}");
        let busy = cluster.burst.load(Ordering::SeqCst);
        let span = PAUSE_RANGE.0 + runtime.random() % (PAUSE_RANGE.1 - PAUSE_RANGE.0);
        runtime.sleep(if busy { span / 3 } else { span }).await;
        if cluster.half_requests.load(Ordering::SeqCst) && runtime.random() % 4 == 0 {
            half_request(&cluster, node).await;
        }
        if runtime.random() % NEW_CONNECTION_INTERVAL == 0 {
            idle = None;
        }
        idle = send_request(&cluster, node, &id, idle).await;
    }
}

/// Sends half a request and disconnects the connection open for a while.
async fn half_request(cluster: &SoakCluster, node: usize) {
    let Some(mut conn) = connect(cluster, node).await else {
        return;
    };
    // The node may have closed the connection.
    let _ = conn
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: half\r\n")
        .await;
    let runtime = cluster.runtime.clone();
    cluster.runtime.run(async move {
        runtime.sleep(LATE_ANSWER_TIME).await;
        drop(conn);
    });
}

async fn connect(cluster: &SoakCluster, node: usize) -> Option<Conn> {
    let address = cluster
        .addresses
        .lock()
        .map_or(None, |addresses| addresses[node])?;
    let until = cluster.runtime.now() + LATE_ANSWER_TIME;
    timeout_at(&cluster.runtime, until, cluster.runtime.connect(address))
        .await?
        .ok()
}

/// Sends one request, and returns the connection if it can be used again. If a reused connection closes without an answer,
/// the request is sent once more on a new connection.
async fn send_request(
    cluster: &SoakCluster,
    node: usize,
    id: &str,
    idle: Option<Conn>,
) -> Option<Conn> {
    let class = CLASSES[(cluster.runtime.random() % CLASSES.len() as u64) as usize];
    if let Some(conn) = idle {
        match exchange(cluster, (node, false), id, class, conn).await {
            Exchange::Reusable(conn) => return Some(conn),
            Exchange::Closed => return None,
            Exchange::ClosedUnanswered => {}
        }
    }
    let conn = connect(cluster, node).await?;
    match exchange(cluster, (node, true), id, class, conn).await {
        Exchange::Reusable(conn) => Some(conn),
        Exchange::Closed | Exchange::ClosedUnanswered => None,
    }
}

enum Exchange {
    /// The connection can be used for another request.
    Reusable(Conn),
    /// The connection cannot be used again.
    Closed,
    /// A reused connection closed without an answer, so the request may be sent again.
    ClosedUnanswered,
}

async fn exchange(
    cluster: &SoakCluster,
    (node, new_connection): (usize, bool),
    id: &str,
    (class, effect): (&str, Idempotency),
    mut conn: Conn,
) -> Exchange {
    let runtime = &cluster.runtime;
    let key = if effect == Idempotency::WithKey {
        format!("Idempotency-Key: {id}\r\n")
    } else {
        String::new()
    };
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n{key}\
         X-Route-Key: k{id}\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\nContent-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    if conn.write_all(head.as_bytes()).await.is_err() {
        return if new_connection {
            Exchange::Closed
        } else {
            Exchange::ClosedUnanswered
        };
    }
    let client_timeout = TIMEOUT_MS * 1_000;
    let sent = Observation::Sent {
        id: id.into(),
        idempotency: effect,
        node,
        client_timeout,
        new_connection,
    };
    cluster.log.add(runtime.now(), sent);
    let disconnects =
        cluster.clients_disconnect.load(Ordering::SeqCst) && runtime.random() % 2 == 0;
    let wait = if disconnects {
        runtime.random() % MAX_DISCONNECT_DELAY
    } else {
        client_timeout + LATE_END_TIME
    };
    let until = runtime.now() + wait;
    let got = timeout_at(runtime, until, read_response(runtime, &mut conn)).await;
    let Some(ReceivedResponse {
        status,
        complete: whole,
        closes_connection: closes,
        ..
    }) = got
    else {
        if disconnects {
            cluster.log.add(
                runtime.now(),
                Observation::ClientDisconnected { id: id.into() },
            );
        }
        return Exchange::Closed;
    };
    cluster.log.add(
        runtime.now(),
        Observation::ResponseEnded {
            id: id.into(),
            status,
            complete: whole,
        },
    );
    if status == 0 && !new_connection {
        return Exchange::ClosedUnanswered;
    }
    cluster.count_answer(status, whole);
    match whole && !closes {
        true => Exchange::Reusable(conn),
        false => Exchange::Closed,
    }
}
