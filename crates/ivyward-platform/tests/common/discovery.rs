//! A fake of discovery with injected faults.

use super::read_request;
use futures_lite::AsyncWriteExt;
use ivyward::core::interface::Micros;
use ivyward::runtime::{Conn, RuntimeExt, RuntimeRef};
use ivyward_sim::Host;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// How discovery responds to a call.
#[derive(Clone, Debug)]
pub enum DiscoveryBehavior {
    /// Responds normally.
    Normal,
    /// Writes nothing, and leaves the connection open.
    Silent,
    /// Closes the connection without a response.
    Close,
    /// Resets the connection without a response.
    Reset,
    /// Writes this number of bytes of the response, then nothing, and leaves the connection open.
    Stall(usize),
    /// Writes this number of bytes of the response, and closes the connection.
    Truncate(usize),
    /// Responds with this body in place of the list.
    Body(String),
    /// Responds with this status.
    Status(u16),
    /// Responds normally after this delay.
    Delayed(Micros),
    /// Responds in pieces of this number of bytes, with a pause before each piece.
    Slow(usize, Micros),
}

/// The faults of discovery, and a record of the calls to it.
#[derive(Default)]
pub struct DiscoveryFaults {
    /// The behavior for the next calls, one each.
    pub next: VecDeque<DiscoveryBehavior>,
    /// The behavior for all calls after those; normal if `None`.
    pub always: Option<DiscoveryBehavior>,
    /// Nothing is written any more on connections with a lower number, including to open calls.
    pub silent_below: usize,
    pub connections: usize,
    pub calls: usize,
    /// The request targets of all calls, in order.
    pub targets: Vec<String>,
}

impl DiscoveryFaults {
    /// Makes all connections that are open now unresponsive, including their long polls.
    pub fn silence(&mut self) {
        self.silent_below = self.connections + 1;
    }

    /// Counts a new connection, and returns its number.
    fn connection_opened(&mut self) -> usize {
        self.connections += 1;
        self.connections
    }

    /// Records a call, and returns how to respond to it.
    fn next_behavior(&mut self, target: &str) -> DiscoveryBehavior {
        self.calls += 1;
        self.targets.push(target.to_owned());
        let next = self.next.pop_front();
        next.or(self.always.clone())
            .unwrap_or(DiscoveryBehavior::Normal)
    }
}

/// Starts discovery on a host. A changed list is sent at once on all open long polls.
pub fn start_discovery(
    host: &Arc<Host>,
    address: SocketAddr,
    list: &Arc<Mutex<(u64, String)>>,
    faults: &Arc<Mutex<DiscoveryFaults>>,
) {
    let runtime = host.runtime();
    let mut listener = runtime.listen(address).unwrap();
    let (list, faults) = (list.clone(), faults.clone());
    runtime.clone().run(async move {
        while let Ok((conn, _)) = listener.accept().await {
            let task = DiscoveryConnection {
                runtime: runtime.clone(),
                connection: faults.lock().unwrap().connection_opened(),
                list: list.clone(),
                faults: faults.clone(),
            };
            runtime.run(async move { task.serve(conn).await });
        }
    });
}

/// Returns a number from the query of a request target.
fn query(target: &str, name: &str) -> Option<u64> {
    let begin = target.find(&format!("{name}="))? + name.len() + 1;
    let digits = target[begin..].split('&').next()?;
    digits.parse().ok()
}

/// One connection to discovery.
struct DiscoveryConnection {
    runtime: RuntimeRef,
    connection: usize,
    list: Arc<Mutex<(u64, String)>>,
    faults: Arc<Mutex<DiscoveryFaults>>,
}

impl DiscoveryConnection {
    async fn serve(&self, mut conn: Conn) {
        let mut bytes = Vec::new();
        while let Some((request, _)) = read_request(&mut conn, &mut bytes).await {
            let behavior = self.faults.lock().unwrap().next_behavior(&request.target);
            self.wait_for_changes(&request.target, &behavior).await;
            if self.is_silent() {
                return std::future::pending().await;
            }
            let response = self.response(&request.target, &behavior);
            if self.write(&mut conn, &response, &behavior).await.is_err() {
                return;
            }
            match behavior {
                DiscoveryBehavior::Silent | DiscoveryBehavior::Stall(_) => {
                    return std::future::pending().await
                }
                DiscoveryBehavior::Close | DiscoveryBehavior::Truncate(_) => return,
                DiscoveryBehavior::Reset => return conn.reset_on_close(),
                _ => {}
            }
        }
    }

    fn is_silent(&self) -> bool {
        self.connection < self.faults.lock().unwrap().silent_below
    }

    fn version(&self) -> u64 {
        self.list.lock().unwrap().0
    }

    /// Waits for changes, for as long as the call requests (`hold_ms`). Does not wait if the version in the call is outdated
    /// or the call gets a fault that shows at once.
    async fn wait_for_changes(&self, target: &str, behavior: &DiscoveryBehavior) {
        let from = query(target, "from");
        let until = self.runtime.now() + query(target, "hold_ms").unwrap_or(0) * 1_000;
        let waits = matches!(
            behavior,
            DiscoveryBehavior::Normal | DiscoveryBehavior::Slow(..) | DiscoveryBehavior::Delayed(_)
        );
        while waits
            && from == Some(self.version())
            && self.runtime.now() < until
            && !self.is_silent()
        {
            self.runtime.sleep(1_000).await;
        }
    }

    fn response(&self, target: &str, behavior: &DiscoveryBehavior) -> Vec<u8> {
        let (version, servers) = self.list.lock().unwrap().clone();
        let body = match behavior {
            DiscoveryBehavior::Body(body) => body.clone(),
            _ if query(target, "from") == Some(version) => {
                format!(r#"{{"version":{version},"full":false,"servers":[]}}"#)
            }
            _ => format!(r#"{{"version":{version},"full":true,"servers":[{servers}]}}"#),
        };
        let status = match behavior {
            DiscoveryBehavior::Status(status) => *status,
            _ => 200,
        };
        let length = body.len();
        format!("HTTP/1.1 {status} So\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
    }

    /// Writes the part of a response that the behavior allows, with its delays.
    async fn write(
        &self,
        conn: &mut Conn,
        response: &[u8],
        behavior: &DiscoveryBehavior,
    ) -> std::io::Result<()> {
        let length = match behavior {
            DiscoveryBehavior::Silent | DiscoveryBehavior::Close | DiscoveryBehavior::Reset => 0,
            DiscoveryBehavior::Stall(length) | DiscoveryBehavior::Truncate(length) => {
                response.len().min(*length)
            }
            _ => response.len(),
        };
        if let DiscoveryBehavior::Delayed(delay) = behavior {
            self.runtime.sleep(*delay).await;
        }
        let (piece, pause) = match behavior {
            DiscoveryBehavior::Slow(piece, pause) => (*piece, *pause),
            _ => (usize::MAX, 0),
        };
        for piece in response[..length].chunks(piece.min(length.max(1))) {
            if pause > 0 {
                self.runtime.sleep(pause).await;
            }
            conn.write_all(piece).await?;
        }
        Ok(())
    }
}
