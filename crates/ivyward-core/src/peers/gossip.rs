//! What nodes say to each other, and which of it rides on the next message.

use crate::interface::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node's name as a number, the same after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

/// How a node announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeInfo {
    /// Its name.
    pub id: PeerId,
    /// Grows with each start: a later one ends all earlier ones.
    pub incarnation: u64,
    /// Its zone.
    pub zone: u8,
    /// Where it is reached. Answers go there.
    pub address: SocketAddr,
}

/// What is claimed of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It was heard at that heartbeat.
    Alive,
    /// It does not answer; that heartbeat is the last that the teller knows.
    Suspected {
        /// How long ago the question left to which no answer came.
        since: Micros,
    },
    /// It said that it leaves.
    Left,
}

/// Something told of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// Of whom.
    pub node: NodeInfo,
    /// The last evidence of it: its own uptime in milliseconds.
    pub heartbeat: u64,
    /// How long ago the teller learned of that.
    pub age: Micros,
    /// What is claimed.
    pub state: ReportedState,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks for an [`MessageBody::Ack`] with the same number.
    Ping {
        /// The sender's number.
        seq: u64,
    },
    /// The one probed answers, or a relay passes its answer on.
    Ack {
        /// The number that was asked with.
        seq: u64,
        /// Who answered.
        of: PeerId,
    },
    /// Asks to probe another.
    PingRequest {
        /// The sender's number.
        seq: u64,
        /// Whom.
        to: NodeInfo,
    },
    /// The relay is here, the one probed has not answered it.
    Nack {
        /// The number that was asked with.
        seq: u64,
    },
    /// Asks for a part of the whole view.
    ViewRequest {
        /// Names after this one; from the first if there is none.
        after: Option<PeerId>,
        /// The next parts are wanted as well.
        whole: bool,
    },
    /// A part of the whole view.
    ViewPage {
        /// Nodes that are here, or may be.
        updates: Vec<Update>,
        /// Where the rest begins, if that is wanted.
        next: Option<PeerId>,
        /// The whole was wanted, and this was the end of it.
        last: bool,
        /// The sender's own view is whole.
        confirmed: bool,
    },
    /// The sender leaves.
    Leave,
    /// Nothing but what is passed on.
    Updates,
}

/// A message, as one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Who says it.
    pub from: NodeInfo,
    /// The sender's uptime in milliseconds.
    pub heartbeat: u64,
    /// A digest of the runs that may be here to the sender's knowledge; 0 if it does not say.
    pub view_digest: u32,
    /// What for.
    pub body: MessageBody,
    /// What is passed on beside it.
    pub updates: Vec<Update>,
}

/// Most updates in a message: with its head and seal it stays under 1,200 bytes, by addresses of any kind (66 bytes a claim
/// at most, 145 for the rest).
pub const MAX_UPDATES: usize = 15;

/// What the decider wants done or made known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// The view changed.
    Changed {
        /// Of whom.
        node: NodeInfo,
        /// What it was taken for; none if it is new.
        was: Option<super::PeerState>,
        /// What it is taken for.
        is: super::PeerState,
    },
}

/// What is new is worth so many messages of its own: enough to reach nearly all, if each who hears it does the same. Whom
/// it does not reach asks for itself before it counts a death.
const URGENT: u32 = 3;

/// What comes back from another counts as so many times that it was said. After a few it has reached all but one in
/// hundreds, who ask for themselves; a doubt is to reach all in time.
const HUSH: (u32, u32) = (6, 2);

/// So often a rumour is passed on where it does not come back: reaches nearly all over a network that loses much.
fn times(nodes: usize) -> u32 {
    3 * (usize::BITS - nodes.leading_zeros() + 1)
}

/// What is being passed on: of each node the last thing, each so many times as reaches all with near certainty.
#[derive(Default)]
pub(super) struct PendingUpdates {
    /// By how often it was sent and in which order it came.
    queue: BTreeMap<(u32, u64), PeerId>,
    at: BTreeMap<PeerId, (u32, u64)>,
    order: u64,
}

impl PendingUpdates {
    /// To be passed on as it stands when it is sent, whatever was passed on of that node before.
    pub(super) fn add(&mut self, id: PeerId) {
        self.remove(id);
        self.put(0, id);
    }
    /// The same for what is in no haste, and found by comparing pages where it is missed.
    pub(super) fn add_quietly(&mut self, id: PeerId) {
        self.remove(id);
        self.put(URGENT, id);
    }
    /// Another says the same: it has spread so far that it comes back, and needs to be said less often here.
    pub(super) fn heard(&mut self, id: PeerId, doubt: bool, nodes: usize) {
        let hush = if doubt { HUSH.1 } else { HUSH.0 };
        if let Some(key) = self.at.get(&id).copied() {
            self.remove(id);
            if key.0 + hush < times(nodes) {
                self.put(key.0 + hush, id);
            }
        }
    }
    pub(super) fn remove(&mut self, id: PeerId) {
        if let Some(key) = self.at.remove(&id) {
            self.queue.remove(&key);
        }
    }
    /// Whether something is so new that it is worth messages of its own; the rest rides on those there are.
    pub(super) fn urgent(&self) -> bool {
        self.queue
            .first_key_value()
            .is_some_and(|(key, _)| key.0 < URGENT)
    }
    fn put(&mut self, sent: u32, id: PeerId) {
        self.order += 1;
        // Latest first among those sent as often: what is old has spread already.
        let key = (sent, u64::MAX - self.order);
        self.queue.insert(key, id);
        self.at.insert(id, key);
    }
    /// Up to `room` of them, least sent first.
    pub(super) fn take(
        &mut self,
        room: usize,
        nodes: usize,
        of: impl Fn(PeerId) -> Option<Update>,
    ) -> Vec<Update> {
        let most = times(nodes);
        let keys: Vec<(u32, u64)> = self.queue.keys().take(room).copied().collect();
        let mut updates = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(id) = self.queue.remove(&key) else {
                continue;
            };
            self.at.remove(&id);
            if let Some(claim) = of(id) {
                updates.push(claim);
                if key.0 + 1 < most {
                    self.put(key.0 + 1, id);
                }
            }
        }
        updates
    }
}
