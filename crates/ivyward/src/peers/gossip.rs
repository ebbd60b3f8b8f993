//! The gossip task. It passes datagrams, ticks and commands to [`Peers`], sends the resulting datagrams and reports changes of
//! the replica count.

use super::codec::DatagramCodec;
use super::handle::{lock, state_name, PeerCommand};
use super::PeerHost;
use futures_lite::future::or;
use ivyward_core::interface::Micros;
use ivyward_core::mutations::{self, Mutation};
use ivyward_core::peers::{Message, NodeInfo, PeerAction, PeerState, Peers};
use ivyward_runtime::{DatagramSocket, RuntimeExt, TurnBudget, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tracing::{error, info, warn};

/// A receive error is logged only if the previous one is longer ago than this, in microseconds.
const RECEIVE_LOG_INTERVAL: Micros = 1_000_000;
/// Pause after a failed receive, in microseconds. Without it, a socket whose receives all fail would make the task a busy loop.
const RECEIVE_PAUSE: Micros = 10_000;
/// Maximum number of datagrams that are handled before commands and other tasks run.
const DATAGRAMS_PER_TURN: usize = 32;

pub(super) struct Gossip {
    pub(super) host: PeerHost,
    pub(super) view: Arc<Mutex<Peers>>,
    pub(super) socket: Box<dyn DatagramSocket>,
    pub(super) datagram_codec: DatagramCodec,
    pub(super) commands: async_channel::Receiver<PeerCommand>,
    /// The replica count last reported to the router.
    pub(super) replica_count: u32,
}

enum Wakeup {
    Datagram(std::io::Result<(usize, SocketAddr)>),
    Tick,
    Command(PeerCommand),
    /// All senders of commands were dropped.
    Closed,
}

impl Gossip {
    pub(super) async fn run(mut self) {
        let runtime = self.host.context.runtime.clone();
        let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
        let (mut tick_at, interval) = (runtime.now(), lock(&self.view).tick_interval());
        let mut last_failure = 0;
        let mut budget = TurnBudget::new(DATAGRAMS_PER_TURN);
        loop {
            let wakeup = self.next_wakeup(&mut budget, &mut bytes, tick_at).await;
            let now = runtime.now();
            // Checked for datagrams as well, so that a flood of them does not delay the ticks.
            if now >= tick_at && !matches!(wakeup, Wakeup::Command(_)) {
                self.apply(|peers, out| peers.tick(now, out));
                tick_at = now + interval;
            }
            match wakeup {
                Wakeup::Datagram(Ok((length, source))) => {
                    self.on_datagram(now, &bytes[..length], source);
                }
                Wakeup::Datagram(Err(error)) => {
                    // Receiving continues: the error of one datagram does not affect the next.
                    if now.saturating_sub(last_failure) > RECEIVE_LOG_INTERVAL {
                        warn!(%error, "gossip receive failed, will retry");
                    }
                    last_failure = now;
                    runtime.sleep(RECEIVE_PAUSE).await;
                }
                Wakeup::Tick => {}
                Wakeup::Command(PeerCommand::RecordAdded(node)) => {
                    self.apply(|peers, out| peers.store_record_added(now, node, out));
                }
                Wakeup::Command(PeerCommand::RecordRemoved(id)) => {
                    self.apply(|peers, _| peers.store_record_removed(now, id));
                }
                Wakeup::Command(PeerCommand::Leave { done }) => {
                    self.apply(|peers, out| peers.leave(now, out));
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

    async fn next_wakeup(
        &mut self,
        budget: &mut TurnBudget,
        bytes: &mut [u8],
        tick_at: Micros,
    ) -> Wakeup {
        let runtime = &self.host.context.runtime;
        let datagram = async {
            budget.wait_if_spent().await;
            budget.spend(1);
            Wakeup::Datagram(self.socket.receive(bytes).await)
        };
        or(
            or(datagram, async {
                let command = self.commands.recv().await;
                command.map_or(Wakeup::Closed, Wakeup::Command)
            }),
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
        match self.datagram_codec.decode(bytes, source) {
            Ok(message) => self.on_message(now, message, source),
            Err(error) => {
                metrics.peer_datagrams_malformed.add(1);
                // Only the first one is logged, so that a flood of them does not fill the log.
                if metrics.peer_datagrams_malformed.get() == 1 {
                    warn!(%source, why = %error, "datagram dropped, further ones are only counted");
                }
            }
        }
    }

    fn on_message(&mut self, now: Micros, message: Message, source: SocketAddr) {
        self.apply(|peers, out| {
            let (from, before) = (message.from.address, out.len());
            peers.handle_message(now, message, out);
            if !mutations::is_active(Mutation::ReplyToSourceAddress) {
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

    /// Applies an event to the view, carries out the resulting actions and reports a change of the replica count.
    fn apply(&mut self, event: impl FnOnce(&mut Peers, &mut Vec<PeerAction>)) {
        let mut actions = Vec::new();
        let replica_count = {
            let mut view = lock(&self.view);
            event(&mut view, &mut actions);
            view.replica_count()
        };
        for action in actions {
            match action {
                PeerAction::Send { to, message } => self.send(&message, to),
                PeerAction::Changed {
                    node,
                    previous,
                    current,
                } => self.log_change(&node, previous, current),
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
        let bytes = self.datagram_codec.encode(message);
        let metrics = &self.host.context.metrics;
        metrics.peer_datagrams_sent.add(1);
        metrics.peer_bytes_sent.add(bytes.len() as u64);
        // An error is ignored: the protocol tolerates datagrams that are lost anywhere on their way.
        let _ = self.socket.send(&bytes, to);
    }

    fn log_change(&self, node: &NodeInfo, previous: Option<PeerState>, current: PeerState) {
        self.host.context.metrics.peer_changes.add(1);
        let previous = previous.map_or("unknown", |state| state_name(state, false));
        info!(
            peer = %format_args!("{:016x}", node.id.0),
            address = %node.address,
            zone = node.zone,
            start = node.incarnation,
            was = previous,
            is = state_name(current, false),
            "peer state changed"
        );
    }
}
