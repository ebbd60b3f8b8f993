//! The gossip task: datagrams, ticks and commands in, datagrams and the replica count out.

use super::codec::Seal;
use super::handle::{lock, state_name, PeerCommand};
use super::PeerHost;
use futures_lite::future::or;
use ivyward_core::interface::Micros;
use ivyward_core::mutations::{self, Mutation};
use ivyward_core::peers::{Message, NodeInfo, PeerAction, PeerState, Peers};
use ivyward_runtime::{Datagrams, RuntimeExt, MOST_DATAGRAM};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tracing::{error, info, warn};

/// A failing socket is logged at most once in this span.
const RECEIVE_LOG_INTERVAL: Micros = 1_000_000;
/// Pause after a failed receive, so that a socket that only fails does not spin.
const RECEIVE_PAUSE: Micros = 10_000;

pub(super) struct Gossip {
    pub(super) host: PeerHost,
    pub(super) view: Arc<Mutex<Peers>>,
    pub(super) socket: Box<dyn Datagrams>,
    pub(super) seal: Seal,
    pub(super) commands: async_channel::Receiver<PeerCommand>,
    /// The replica count that the router was told last.
    pub(super) replica_count: u32,
}

enum Wakeup {
    Datagram(std::io::Result<(usize, SocketAddr)>),
    Tick,
    Command(PeerCommand),
    Closed,
}

impl Gossip {
    pub(super) async fn run(mut self) {
        let runtime = self.host.context.runtime.clone();
        let mut bytes = [0u8; MOST_DATAGRAM + 1];
        let (mut tick_at, span) = (runtime.now(), lock(&self.view).tick_interval());
        let mut last_failure = 0;
        loop {
            let wakeup = self.next_wakeup(&mut bytes, tick_at).await;
            let now = runtime.now();
            // Datagrams that come without end must not keep the ticks from their turn.
            if now >= tick_at && !matches!(wakeup, Wakeup::Command(_)) {
                self.decide(|peers, out| peers.tick(now, out));
                tick_at = now + span;
            }
            match wakeup {
                Wakeup::Datagram(Ok((length, source))) => {
                    self.on_datagram(now, &bytes[..length], source);
                }
                Wakeup::Datagram(Err(error)) => {
                    // One that failed says nothing of the next.
                    if now.saturating_sub(last_failure) > RECEIVE_LOG_INTERVAL {
                        warn!(%error, "gossip receive failed, will retry");
                    }
                    last_failure = now;
                    runtime.sleep(RECEIVE_PAUSE).await;
                }
                Wakeup::Tick => {}
                Wakeup::Command(PeerCommand::RecordAdded(node)) => {
                    self.decide(|peers, out| peers.record_added(now, node, out));
                }
                Wakeup::Command(PeerCommand::RecordRemoved(id)) => {
                    self.decide(|peers, _| peers.record_removed(now, id));
                }
                Wakeup::Command(PeerCommand::Leave { done }) => {
                    self.decide(|peers, out| peers.leave(now, out));
                    drop(done);
                    return;
                }
                Wakeup::Closed => return,
            }
            if lock(&self.view).superseded() {
                error!("another process has taken this node's name, gossip stopped: stop one of the two");
                return;
            }
        }
    }

    async fn next_wakeup(&mut self, bytes: &mut [u8], tick_at: Micros) -> Wakeup {
        let runtime = &self.host.context.runtime;
        or(
            or(
                async { Wakeup::Datagram(self.socket.receive(bytes).await) },
                async {
                    let command = self.commands.recv().await;
                    command.map_or(Wakeup::Closed, Wakeup::Command)
                },
            ),
            async {
                runtime.sleep_until(tick_at).await;
                Wakeup::Tick
            },
        )
        .await
    }

    fn on_datagram(&mut self, now: Micros, bytes: &[u8], source: SocketAddr) {
        let metrics = &self.host.context.metrics;
        metrics.peer_datagrams_received.add(1);
        match self.seal.open(bytes, source) {
            Ok(message) => self.on_message(now, message, source),
            Err(why) => {
                metrics.peer_datagrams_malformed.add(1);
                // The first one says what is wrong; a flood of them says no more.
                if metrics.peer_datagrams_malformed.get() == 1 {
                    warn!(%source, %why, "datagram dropped, further ones are only counted");
                }
            }
        }
    }

    fn on_message(&mut self, now: Micros, message: Message, source: SocketAddr) {
        self.decide(|peers, out| {
            let (from, before) = (message.from.address, out.len());
            peers.handle_message(now, message, out);
            if !mutations::is_active(Mutation::AnswersToSource) {
                return;
            }
            for action in &mut out[before..] {
                match action {
                    PeerAction::Send { to, .. } if *to == from => *to = source,
                    _ => {}
                }
            }
        });
    }

    /// Hands the decider one event and carries out its actions.
    fn decide(&mut self, event: impl FnOnce(&mut Peers, &mut Vec<PeerAction>)) {
        let mut actions = Vec::new();
        let replica_count = {
            let mut view = lock(&self.view);
            event(&mut view, &mut actions);
            view.replica_count()
        };
        for action in actions {
            match action {
                PeerAction::Send { to, message } => self.send(&message, to),
                PeerAction::Changed { node, was, is } => self.log_change(&node, was, is),
            }
        }
        if replica_count != self.replica_count {
            info!(
                was = self.replica_count,
                is = replica_count,
                "replica count changed"
            );
            self.replica_count = replica_count;
            (self.host.report_replica_count)(replica_count);
        }
    }

    fn send(&self, message: &Message, to: SocketAddr) {
        let bytes = self.seal.close(message);
        let metrics = &self.host.context.metrics;
        metrics.peer_datagrams_sent.add(1);
        metrics.peer_bytes_sent.add(bytes.len() as u64);
        // What cannot be sent is lost, as it may be anywhere on its way.
        let _ = self.socket.send(&bytes, to);
    }

    fn log_change(&self, node: &NodeInfo, was: Option<PeerState>, is: PeerState) {
        self.host.context.metrics.peer_changes.add(1);
        let was = was.map_or("unknown", |was| state_name(was, false));
        info!(
            peer = %format_args!("{:016x}", node.id.0),
            address = %node.address,
            zone = node.zone,
            start = node.incarnation,
            was,
            is = state_name(is, false),
            "peer state changed"
        );
    }
}
