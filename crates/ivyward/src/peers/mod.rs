//! A node's peers: the datagrams, ticks and records that its decider is told of, and what it makes known.
//!
//! It decides nothing: whom to probe, whom to believe and how many there are is [`ivyward_core::peers`]'s. Off unless
//! the owner begins it ([`Node::peers`]).

mod codec;
mod records;

pub use codec::{DecodeError, Seal};
pub use records::{NodeRecord, NodeRecordError, NODES};

use crate::node::Node;
use crate::request::messages::DriverMessage;
use crate::settings::SettingsError;
use futures_lite::future::or;
use ivyward_core::interface::Micros;
use ivyward_core::mutations::{self, Mutation};
use ivyward_core::peers::{NodeInfo, PeerAction, PeerId, PeerSettings, PeerState, Peers};
use ivyward_etcd::EtcdOptions;
use ivyward_runtime::{metered, Datagrams, RuntimeExt, MOST_DATAGRAM};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::{error, info, warn};
use xxhash_rust::xxh3::xxh3_64;

/// Shortest words that a key is made of.
const LEAST_KEY: usize = 16;
/// Most addresses that are given.
const MOST_GIVEN: usize = 64;
/// Orders and records that wait for the task; one more waits with who tells it.
const ORDERS: usize = 64;

/// How a node knows others, as its owner says it. Field names stand for flags: `listen` is `--peer-listen`.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Where datagrams are taken; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The address by which others reach it; the one listened at if there is none.
    pub announce: Option<SocketAddr>,
    /// Addresses of some others.
    pub peers: Vec<SocketAddr>,
    /// The node's name, the same after a restart; the announced address if there is none.
    pub name: Option<String>,
    /// What the seal's key is made of. Without one only loopback addresses are taken.
    pub key: Option<String>,
    /// The store in which nodes write their records, if there is one.
    pub store: Option<PeerStore>,
    /// The decider's spans and bounds.
    pub spans: PeerSettings,
}

/// Where nodes write their records.
#[derive(Clone, Debug)]
pub struct PeerStore {
    /// The store's endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Records stand below this prefix, each under its node's name as a number.
    pub prefix: String,
    /// Seconds that a record outlives its node.
    pub lease: i64,
    /// How the store is spoken to.
    pub etcd: EtcdOptions,
}

impl PeerOptions {
    /// Listens at an address, with nobody to ask.
    pub fn at(listen: SocketAddr) -> PeerOptions {
        PeerOptions {
            listen,
            announce: None,
            peers: Vec::new(),
            name: None,
            key: None,
            store: None,
            spans: PeerSettings::default(),
        }
    }

    /// Looks for options that could not work.
    ///
    /// # Errors
    /// The first one found.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |flag: &str, value: &dyn ToString, reason: &str| {
            Err(SettingsError::new(flag, value.to_string(), reason))
        };
        if let Some(key) = &self.key {
            if key.len() < LEAST_KEY {
                return bad(
                    "IVYWARD_PEER_KEY",
                    &format!("({} bytes)", key.len()),
                    "at least 16 bytes are needed",
                );
            }
        } else {
            let announce = self.announce.map(|a| ("--peer-announce", a));
            let peers = self.peers.iter().map(|p| ("--peer", *p));
            let mut all = [("--peer-listen", self.listen)]
                .into_iter()
                .chain(announce)
                .chain(peers);
            if let Some((flag, address)) = all.find(|(_, a)| !a.ip().is_loopback()) {
                return bad(
                    flag,
                    &address,
                    "beyond this machine a key is needed: set IVYWARD_PEER_KEY at all nodes",
                );
            }
        }
        let death_after = self.spans.death_timeout;
        if !(500_000..=600_000_000).contains(&death_after) {
            let value = format!("{}ms", death_after / 1_000);
            return bad(
                "--peer-death-after",
                &value,
                "from 500ms to 10m: probes need a few tries",
            );
        }
        if let Some(announce) = self
            .announce
            .filter(|a| a.port() == 0 || a.ip().is_unspecified())
        {
            return bad("--peer-announce", &announce, "nobody can be reached there");
        }
        if self.announce.is_none() && self.listen.ip().is_unspecified() {
            return bad(
                "--peer-listen",
                &self.listen,
                "with it --peer-announce says where others reach this node",
            );
        }
        if let Some(peer) = self
            .peers
            .iter()
            .find(|p| p.port() == 0 || p.ip().is_unspecified())
        {
            return bad("--peer", peer, "nobody can be reached there");
        }
        if self.peers.len() > MOST_GIVEN {
            return bad(
                "--peer",
                &self.peers.len(),
                "64 at most; a few that are up are enough",
            );
        }
        if let Some(store) = self
            .store
            .as_ref()
            .filter(|s| !(2..=3_600).contains(&s.lease))
        {
            return bad("--peer-lease", &store.lease, "from 2 to 3600 seconds");
        }
        Ok(())
    }
}

/// Why a node does not get to know others.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// An option cannot hold.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The port cannot be taken.
    #[error("--peer-listen {address}: {error}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// What the system said.
        error: std::io::Error,
    },
}

/// What the task is told.
pub(crate) enum PeerCommand {
    /// A record of the store names a node.
    Record(NodeInfo),
    /// The record of a node is gone.
    Gone(PeerId),
    /// The node ends: all are told, then this is dropped.
    Leave { done: async_channel::Sender<()> },
}

/// A node's peers as the rest of the node sees them.
#[derive(Clone)]
pub struct PeersHandle {
    decider: Arc<Mutex<Peers>>,
    orders: async_channel::Sender<PeerCommand>,
    address: SocketAddr,
}

fn lock(decider: &Mutex<Peers>) -> MutexGuard<'_, Peers> {
    decider.lock().unwrap_or_else(PoisonError::into_inner)
}

fn word(standing: PeerState, unheard: bool) -> &'static str {
    match standing {
        PeerState::Alive if unheard => "unheard",
        PeerState::Alive => "alive",
        PeerState::Suspected => "suspected",
        PeerState::Dead => "dead",
        PeerState::Left => "left",
    }
}

impl PeersHandle {
    /// Where datagrams are taken.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
    /// Looks at the decider.
    pub fn look<T>(&self, at: impl FnOnce(&Peers) -> T) -> T {
        at(&lock(&self.decider))
    }
    pub(crate) async fn leave(&self) {
        let (done, wait) = async_channel::bounded(1);
        if self.orders.send(PeerCommand::Leave { done }).await.is_ok() {
            // Ends with an error when all were told.
            let _ = wait.recv().await;
        }
    }
    /// The view as text: this node, then a line for each other.
    pub fn text(&self) -> String {
        use std::fmt::Write;
        self.look(|peers| {
            let me = peers.local_node();
            let mut out = String::new();
            // Writing to a String cannot fail.
            let _ = writeln!(
                out,
                "self id={:016x} start={} zone={} address={} count={} joined={}",
                me.id.0,
                me.incarnation,
                me.zone,
                me.address,
                peers.replica_count(),
                peers.has_complete_view()
            );
            for peer in peers.peers() {
                let (card, state) = (peer.node, word(peer.state, peer.indirect_only));
                let _ = writeln!(
                    out,
                    "peer id={:016x} start={} zone={} address={} state={state} certain={}",
                    card.id.0, card.incarnation, card.zone, card.address, peer.confirmed_gone
                );
            }
            out
        })
    }
    pub(crate) fn metrics(&self, out: &mut String) {
        use std::fmt::Write;
        self.look(|peers| {
            let states = ["alive", "unheard", "suspected", "dead", "left"];
            for state in states {
                let count = peers
                    .peers()
                    .filter(|p| word(p.state, p.indirect_only) == state)
                    .count();
                let _ = writeln!(out, "ivyward_peers{{state=\"{state}\"}} {count}");
            }
            let _ = writeln!(out, "ivyward_nodes {}", peers.replica_count());
            let dropped = peers.dropped();
            let reasons = [
                ("stale", dropped.stale),
                ("implausible", dropped.implausible),
                ("old", dropped.old),
                ("over", dropped.over),
            ];
            for (reason, count) in reasons {
                let _ = writeln!(
                    out,
                    "ivyward_peer_words_dropped_total{{reason=\"{reason}\"}} {count}"
                );
            }
        });
    }
}

struct Speaker {
    node: Node,
    decider: Arc<Mutex<Peers>>,
    socket: Box<dyn Datagrams>,
    seal: Seal,
    orders: async_channel::Receiver<PeerCommand>,
    /// What the module was told last.
    told: u32,
}

/// What happened to the speaker.
enum Came {
    Datagram(std::io::Result<(usize, SocketAddr)>),
    Tick,
    Order(PeerCommand),
    End,
}

impl Node {
    /// Begins to know others. `--nodes` of the settings holds as the least count until a whole view was seen.
    ///
    /// # Errors
    /// [`PeerError`].
    pub fn peers(&self, options: PeerOptions) -> Result<PeersHandle, PeerError> {
        options.check()?;
        let runtime = metered(&self.context.runtime, &self.context.metrics.peer_traffic);
        let listen = options.listen;
        let socket = runtime
            .datagrams(listen)
            .map_err(|error| PeerError::Listen {
                address: listen,
                error,
            })?;
        let address = socket.address();
        let announce = options.announce.unwrap_or(address);
        let name = options.name.clone().unwrap_or_else(|| announce.to_string());
        let rules = &self.settings().rules;
        let me = NodeInfo {
            id: PeerId(xxh3_64(name.as_bytes())),
            incarnation: runtime.unix_micros(),
            zone: rules.zone,
            address: announce,
        };
        let mut decider = Peers::new(
            runtime.now(),
            me,
            options.peers.clone(),
            options.spans,
            runtime.random(),
        );
        decider.expect(rules.replica_count);
        let decider = Arc::new(Mutex::new(decider));
        let (orders, told) = async_channel::bounded(ORDERS);
        let handle = PeersHandle {
            decider: decider.clone(),
            orders: orders.clone(),
            address,
        };
        info!(id = %format_args!("{:016x}", me.id.0), address = %announce, name, "peers are listened for");
        let speaker = Speaker {
            node: self.clone(),
            decider,
            socket,
            seal: Seal::new(options.key.as_deref()),
            orders: told,
            told: rules.replica_count,
        };
        runtime.run(speaker.run());
        if let Some(store) = options.store {
            records::begin(self, &store, me, orders);
        }
        let _ = self.peers.set(handle.clone());
        Ok(handle)
    }

    /// Its peers, if it was told to know any.
    pub fn known_peers(&self) -> Option<&PeersHandle> {
        self.peers.get()
    }
}

impl Speaker {
    async fn run(mut self) {
        let runtime = self.node.context.runtime.clone();
        let mut bytes = [0u8; MOST_DATAGRAM + 1];
        let (mut tick_at, span) = (runtime.now(), lock(&self.decider).tick_interval());
        let mut last_refused = 0;
        loop {
            let came = or(
                or(
                    async { Came::Datagram(self.socket.receive(&mut bytes).await) },
                    async { self.orders.recv().await.map_or(Came::End, Came::Order) },
                ),
                async {
                    runtime.sleep_until(tick_at).await;
                    Came::Tick
                },
            )
            .await;
            let now = runtime.now();
            // Datagrams that come without end must not keep the ticks from their turn.
            if now >= tick_at && !matches!(came, Came::Order(_)) {
                self.decide(|peers, out| peers.tick(now, out));
                tick_at = now + span;
            }
            match came {
                Came::Datagram(Ok((got, source))) => self.datagram(now, &bytes[..got], source),
                Came::Datagram(Err(e)) => {
                    // One that failed says nothing of the next; a socket that only fails must not spin.
                    if now.saturating_sub(last_refused) > 1_000_000 {
                        warn!(error = %e, "datagrams of peers cannot be taken; tried again");
                    }
                    last_refused = now;
                    runtime.sleep(10_000).await;
                }
                Came::Tick => {}
                Came::Order(PeerCommand::Record(card)) => {
                    self.decide(|peers, out| peers.record_added(now, card, out))
                }
                Came::Order(PeerCommand::Gone(id)) => {
                    self.decide(|peers, _| peers.record_removed(now, id))
                }
                Came::Order(PeerCommand::Leave { done }) => {
                    self.decide(|peers, out| peers.leave(now, out));
                    drop(done);
                    return;
                }
                Came::End => return,
            }
            if lock(&self.decider).superseded() {
                error!("another process has taken this node's name: it speaks to its peers no more. Stop one of them");
                return;
            }
        }
    }

    fn datagram(&mut self, now: Micros, bytes: &[u8], source: SocketAddr) {
        let metrics = self.node.metrics();
        metrics.peer_datagrams_taken.add(1);
        match self.seal.open(bytes, source) {
            Ok(message) => self.decide(|peers, out| {
                let (from, had) = (message.from.address, out.len());
                peers.handle_message(now, message, out);
                for one in &mut out[had..] {
                    match one {
                        PeerAction::Send { to, .. }
                            if mutations::is_active(Mutation::AnswersToSource) && *to == from =>
                        {
                            *to = source
                        }
                        _ => {}
                    }
                }
            }),
            Err(why) => {
                metrics.peer_datagrams_unread.add(1);
                // The first one says what is wrong; a flood of them says no more.
                if metrics.peer_datagrams_unread.get() == 1 {
                    warn!(%source, %why, "a datagram is dropped; others like it are only counted");
                }
            }
        }
    }

    /// Asks the decider and does what it says.
    fn decide(&mut self, ask: impl FnOnce(&mut Peers, &mut Vec<PeerAction>)) {
        let mut out = Vec::new();
        let count = {
            let mut decider = lock(&self.decider);
            ask(&mut decider, &mut out);
            decider.replica_count()
        };
        let metrics = self.node.metrics();
        for one in out {
            match one {
                PeerAction::Send { to, message } => {
                    let bytes = self.seal.close(&message);
                    metrics.peer_datagrams_sent.add(1);
                    metrics.peer_bytes_sent.add(bytes.len() as u64);
                    // What cannot be sent is lost, as it may be anywhere on its way.
                    let _ = self.socket.send(&bytes, to);
                }
                PeerAction::Changed {
                    node: card,
                    was,
                    is,
                } => {
                    metrics.peer_changes.add(1);
                    let was = was.map_or("unknown", |was| word(was, false));
                    info!(
                        peer = %format_args!("{:016x}", card.id.0),
                        address = %card.address,
                        zone = card.zone,
                        start = card.incarnation,
                        was,
                        is = word(is, false),
                        "a peer changed"
                    );
                }
            }
        }
        if count != self.told {
            info!(was = self.told, is = count, "nodes that may be sending");
            self.told = count;
            self.node.tell(DriverMessage::ReplicaCount(count));
        }
    }
}
