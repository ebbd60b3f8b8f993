//! Clients of a soak run: sessions on kept and new connections, some of which leave early or send half a request.

use crate::soak::stage::Stage;
use futures_lite::AsyncWriteExt;
use ivyward_fakes::platform::exchange::{read_response, ReceivedResponse};
use ivyward_fakes::platform::observe::{Idempotency, Observation};
use ivyward_runtime::{timeout_at, Conn, Micros, RuntimeExt};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The classes of the run's configuration and what their clients may repeat.
const CLASSES: [(&str, Idempotency); 3] = [
    ("draft", Idempotency::Idempotent),
    ("once", Idempotency::WithKey),
    ("send", Idempotency::NonIdempotent),
];
/// Patience by class, in milliseconds.
const PATIENCE_MS: u64 = 2_500;
/// A client waits so much longer for an answer that is late, so that the oracle sees it.
const LATE: Micros = 1_500_000;
const PAUSE: (Micros, Micros) = (30_000, 160_000);
/// One request in so many uses a new connection.
const NEW_CONNECTION: u64 = 4;
/// A client that leaves early does so within this span.
const LEAVES_WITHIN: Micros = 60_000;
const BODY: &str = r#"{"model":"chat","stream":true,"messages":[{"role":"user","content":"xxxxxxxxxxxxxxxxxxxxxxxx"}]}"#;

/// One client of one node, until the stage is over.
pub(super) async fn session(stage: Arc<Stage>, node: usize, number: u64) {
    let runtime = stage.runtime.clone();
    let (mut kept, mut n) = (None, 0);
    while !stage.over.load(Ordering::SeqCst) {
        n += 1;
        let id = format!("{node}-{number}-{n}");
        let busy = stage.burst.load(Ordering::SeqCst);
        let span = PAUSE.0 + runtime.random() % (PAUSE.1 - PAUSE.0);
        runtime.sleep(if busy { span / 3 } else { span }).await;
        if stage.half_requests.load(Ordering::SeqCst) && runtime.random() % 4 == 0 {
            half_request(&stage, node).await;
        }
        if runtime.random() % NEW_CONNECTION == 0 {
            kept = None;
        }
        kept = ask(&stage, node, &id, kept).await;
    }
}

/// A client that stops in the middle of a request and stays for a while.
async fn half_request(stage: &Stage, node: usize) {
    let Some(mut conn) = connect(stage, node).await else {
        return;
    };
    // The node may close it.
    let _ = conn
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: half\r\n")
        .await;
    let runtime = stage.runtime.clone();
    stage.runtime.run(async move {
        runtime.sleep(LATE).await;
        drop(conn);
    });
}

async fn connect(stage: &Stage, node: usize) -> Option<Conn> {
    let address = stage
        .addresses
        .lock()
        .map_or(None, |addresses| addresses[node])?;
    let until = stage.runtime.now() + LATE;
    timeout_at(&stage.runtime, until, stage.runtime.connect(address))
        .await?
        .ok()
}

/// One request; the connection, if it may be kept. A request that crossed the end of a kept connection is sent once more on
/// a new one.
async fn ask(stage: &Stage, node: usize, id: &str, kept: Option<Conn>) -> Option<Conn> {
    let class = CLASSES[(stage.runtime.random() % CLASSES.len() as u64) as usize];
    if let Some(conn) = kept {
        match exchange(stage, (node, false), id, class, conn).await {
            Exchange::Kept(conn) => return Some(conn),
            Exchange::Over => return None,
            Exchange::Crossed => {}
        }
    }
    let conn = connect(stage, node).await?;
    match exchange(stage, (node, true), id, class, conn).await {
        Exchange::Kept(conn) => Some(conn),
        Exchange::Over | Exchange::Crossed => None,
    }
}

enum Exchange {
    /// The connection may carry another request.
    Kept(Conn),
    /// It may not.
    Over,
    /// A kept connection ended without an answer: the request may be sent again.
    Crossed,
}

async fn exchange(
    stage: &Stage,
    (node, new_connection): (usize, bool),
    id: &str,
    (class, effect): (&str, Idempotency),
    mut conn: Conn,
) -> Exchange {
    let runtime = &stage.runtime;
    let key = if effect == Idempotency::WithKey {
        format!("Idempotency-Key: {id}\r\n")
    } else {
        String::new()
    };
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n{key}\
         X-Route-Key: k{id}\r\nX-Timeout-Ms: {PATIENCE_MS}\r\nContent-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    if conn.write_all(head.as_bytes()).await.is_err() {
        return if new_connection {
            Exchange::Over
        } else {
            Exchange::Crossed
        };
    }
    let client_timeout = PATIENCE_MS * 1_000;
    let sent = Observation::Sent {
        id: id.into(),
        idempotency: effect,
        node,
        client_timeout,
        new_connection,
    };
    stage.log.add(runtime.now(), sent);
    let leaves = stage.clients_leave.load(Ordering::SeqCst) && runtime.random() % 2 == 0;
    let waits = if leaves {
        runtime.random() % LEAVES_WITHIN
    } else {
        client_timeout + LATE
    };
    let until = runtime.now() + waits;
    let got = timeout_at(runtime, until, read_response(runtime, &mut conn)).await;
    let Some(ReceivedResponse {
        status,
        complete: whole,
        closes_connection: closes,
        ..
    }) = got
    else {
        if leaves {
            stage.log.add(
                runtime.now(),
                Observation::ClientDisconnected { id: id.into() },
            );
        }
        return Exchange::Over;
    };
    stage.log.add(
        runtime.now(),
        Observation::ResponseEnded {
            id: id.into(),
            status,
            complete: whole,
        },
    );
    if status == 0 && !new_connection {
        return Exchange::Crossed;
    }
    stage.count(status, whole);
    match whole && !closes {
        true => Exchange::Kept(conn),
        false => Exchange::Over,
    }
}
