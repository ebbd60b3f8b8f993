//! Who is known, by which evidence.

use super::gossip::{NodeInfo, PeerAction, PeerId, ReportedState, Update};
use super::Dropped;
use crate::hash::mix;
use crate::interface::Micros;
use crate::mutations::{self, Mutation};
use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat may be ahead of what the time since the first one allows by so many milliseconds: what was told was on its
/// way. A message so far behind its sender's last one is a repeat.
const AHEAD: u64 = 2_000;
/// Beats so many milliseconds apart say the same.
const NEAR: u64 = 1_000;
/// Clocks run apart by one part in so many.
const APART: u64 = 1_000;
/// So many others have to say of a run that it is over or began, if it did not say so here itself.
pub(super) const WITNESSES: usize = 2;

/// What a node is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It is heard, by this node or others.
    Alive,
    /// It does not answer; nobody is known to have heard it since.
    Suspected,
    /// Nobody has heard it for long.
    Dead,
    /// It said that it leaves.
    Left,
}

/// Whose word it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum By {
    /// The node's own.
    Itself,
    /// Its answer to a question that it alone was asked.
    Proof,
    /// Another's.
    Other(PeerId),
}

impl By {
    pub(super) fn direct(self) -> bool {
        !matches!(self, By::Other(_))
    }
}

/// A node as this one knows it.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// How it announced itself.
    pub node: NodeInfo,
    /// What it is taken for.
    pub state: PeerState,
    /// Not heard by this node, but by others.
    pub indirect_only: bool,
    /// Certainly gone: it can be sending no more.
    pub confirmed_gone: bool,
    /// The last evidence of it, and since when that is known.
    pub(super) heartbeat: u64,
    pub(super) learned: Micros,
    /// When it was heard by this node itself, and its heartbeat then.
    pub(super) direct: Micros,
    direct_beat: u64,
    /// A heartbeat of it and when that was: what later ones are held against. It stays, so that no row of small lies moves it.
    anchor: (Micros, u64, bool),
    /// Its lease at the store is over; from then on it sends no more.
    pub(super) lease_over: Option<Micros>,
    /// While in doubt: when the first question left that it did not answer.
    pub(super) asked: Micros,
    /// How often this node itself asked at the end.
    pub(super) last_asks: u8,
    /// And when that became known here.
    pub(super) doubted: Micros,
}

impl Peer {
    /// Whether it can have come so far by now.
    fn possible(&self, now: Micros, heartbeat: u64) -> bool {
        let since = now.saturating_sub(self.anchor.0) / 1_000;
        heartbeat <= self.anchor.1 + since + since / APART + AHEAD
    }
    /// Whether a claim says what is known here, or later.
    pub(super) fn says(&self, claim: &Update) -> bool {
        let same = match claim.state {
            ReportedState::Alive => self.state == PeerState::Alive,
            ReportedState::Suspected { .. } => {
                matches!(self.state, PeerState::Suspected | PeerState::Dead)
            }
            ReportedState::Left => self.state == PeerState::Left,
        };
        // Who heard it a moment ago knows no less for that.
        same && claim.node.incarnation == self.node.incarnation
            && claim.heartbeat + NEAR >= self.heartbeat
    }
    pub(super) fn claim(&self, now: Micros) -> Update {
        let about = match self.state {
            PeerState::Alive => ReportedState::Alive,
            PeerState::Suspected | PeerState::Dead => ReportedState::Suspected {
                since: now.saturating_sub(self.asked),
            },
            PeerState::Left => ReportedState::Left,
        };
        Update {
            node: self.node,
            heartbeat: self.heartbeat,
            age: now.saturating_sub(self.learned),
            state: about,
        }
    }
}

/// A run's part of a view's digest.
pub(super) fn mark(node: &NodeInfo) -> u64 {
    mix(node.id.0 ^ mix(node.incarnation))
}

pub(super) struct Members {
    /// Over the runs that may be here, and which of them are dead; none while it is to be reckoned anew.
    digest: Option<u64>,
    peers: BTreeMap<PeerId, Peer>,
    /// Who passed on what only one can say of itself: that its run is over, or that it began.
    witnesses: BTreeMap<(PeerId, u64, bool), BTreeSet<PeerId>>,
    most: usize,
    pub(super) dropped: Dropped,
}

impl Members {
    pub(super) fn new(most: usize) -> Members {
        Members {
            digest: None,
            peers: BTreeMap::new(),
            witnesses: BTreeMap::new(),
            most,
            dropped: Dropped::default(),
        }
    }
    pub(super) fn digest(&mut self) -> u64 {
        let all = self.peers.values().filter(|p| !p.confirmed_gone);
        *self.digest.get_or_insert_with(|| {
            all.fold(0, |sum, p| {
                sum ^ mark(&p.node)
                    ^ if p.state == PeerState::Dead {
                        mix(p.node.id.0)
                    } else {
                        0
                    }
            })
        })
    }
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }
    pub(super) fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }
    pub(super) fn suspected(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers
            .values_mut()
            .filter(|p| p.state == PeerState::Suspected)
    }
    /// Those that are not known to be away.
    pub(super) fn here(&self) -> impl Iterator<Item = &Peer> {
        self.all()
            .filter(|p| matches!(p.state, PeerState::Alive | PeerState::Suspected))
    }
    pub(super) fn get(&self, id: PeerId) -> Option<&Peer> {
        self.peers.get(&id)
    }
    pub(super) fn get_mut(&mut self, id: PeerId) -> Option<&mut Peer> {
        self.peers.get_mut(&id)
    }

    /// Takes in evidence; false where it does not count. `fresh` is how old evidence may be that brings one back, `keep`
    /// for how long the dead are remembered.
    pub(super) fn learn(
        &mut self,
        now: Micros,
        claim: &Update,
        by: By,
        (fresh, keep): (Micros, Micros),
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let (node, direct) = (claim.node, by.direct());
        let at = now.saturating_sub(claim.age);
        let (state, asked) = match claim.state {
            ReportedState::Suspected { since } if since >= fresh => {
                (PeerState::Dead, now.saturating_sub(since))
            }
            ReportedState::Suspected { since } => (PeerState::Suspected, now.saturating_sub(since)),
            _ => (PeerState::Alive, 0),
        };
        let new = Peer {
            node,
            state,
            indirect_only: false,
            confirmed_gone: false,
            heartbeat: claim.heartbeat,
            learned: at,
            direct: if direct { now } else { 0 },
            direct_beat: if direct { claim.heartbeat } else { 0 },
            anchor: (at, claim.heartbeat, direct),
            lease_over: None,
            asked,
            doubted: now,
            last_asks: 0,
        };
        let Some(peer) = self.peers.get_mut(&node.id) else {
            // A tombstone is as old as the last word of its node, through whomever it comes, and ends then.
            if claim.state == ReportedState::Left || state != PeerState::Alive && claim.age >= keep
            {
                return false;
            }
            if self.peers.len() >= self.most {
                self.dropped.over += 1;
                return false;
            }
            self.peers.insert(node.id, new);
            self.digest = None;
            out.push(PeerAction::Changed {
                node,
                was: None,
                is: state,
            });
            return true;
        };
        if node.incarnation < peer.node.incarnation {
            self.dropped.stale += 1;
            return false;
        }
        if node.incarnation > peer.node.incarnation {
            // Its earlier run is over for confirmed_gone if the new one says so itself. Told by one other, a run that is still
            // heard stays: a liar may name any start.
            let heard = now.saturating_sub(peer.learned) < fresh;
            if let By::Other(by) = by {
                if heard && self.witness(node.id, node.incarnation, false, by) < WITNESSES {
                    return false;
                }
            }
            let Some(peer) = self.peers.get_mut(&node.id) else {
                return false;
            };
            let was = (peer.node, peer.state);
            *peer = new;
            self.digest = None;
            self.witnesses.retain(|w, _| w.0 != node.id);
            out.push(PeerAction::Changed {
                node: was.0,
                was: Some(was.1),
                is: PeerState::Left,
            });
            out.push(PeerAction::Changed {
                node,
                was: None,
                is: state,
            });
            return true;
        }
        if peer.state == PeerState::Left {
            return false;
        }
        if by == By::Proof || direct && !peer.anchor.2 {
            peer.anchor = (now, claim.heartbeat, true);
        } else if direct && claim.heartbeat + AHEAD < peer.direct_beat {
            // Guards against a relay that repeats what one said before it died.
            self.dropped.old += 1;
            return false;
        } else if !peer.possible(now, claim.heartbeat) {
            self.dropped.implausible += 1;
            return false;
        }
        let news = by == By::Proof
            || if direct {
                claim.heartbeat > peer.direct_beat
            } else {
                claim.heartbeat > peer.heartbeat
            };
        if direct && news {
            (peer.direct, peer.direct_beat, peer.indirect_only, peer.node) =
                (now, claim.heartbeat, false, node);
        }
        if news {
            peer.heartbeat = peer.heartbeat.max(claim.heartbeat);
            peer.learned = peer.learned.max(at);
            let was = peer.state;
            // Evidence that is later than the question it did not answer ends the doubt.
            let later = direct || at > peer.asked && now.saturating_sub(at) < fresh;
            if was != PeerState::Alive && later {
                (peer.state, peer.confirmed_gone) = (PeerState::Alive, false);
                self.digest = None;
                out.push(PeerAction::Changed {
                    node: peer.node,
                    was: Some(was),
                    is: PeerState::Alive,
                });
            }
        }
        true
    }

    /// Whoever is silent and has no lease any more is certainly gone.
    pub(super) fn settle_leases(&mut self, now: Micros) {
        let over =
            |p: &&mut Peer| p.state == PeerState::Dead && p.lease_over.is_some_and(|at| at <= now);
        self.peers
            .values_mut()
            .filter(over)
            .filter(|p| !p.confirmed_gone)
            .for_each(|p| {
                p.confirmed_gone = true;
                self.digest = None;
            });
    }

    /// Changes what one is taken for, if it is taken for `from` now.
    pub(super) fn set(
        &mut self,
        id: PeerId,
        from: PeerState,
        to: PeerState,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(&id).filter(|p| p.state == from) else {
            return false;
        };
        peer.state = to;
        self.digest = None;
        out.push(PeerAction::Changed {
            node: peer.node,
            was: Some(from),
            is: to,
        });
        true
    }

    pub(super) fn leave(&mut self, node: NodeInfo, out: &mut Vec<PeerAction>) -> bool {
        let known = self.peers.get_mut(&node.id);
        let Some(peer) =
            known.filter(|p| p.node.incarnation == node.incarnation && p.state != PeerState::Left)
        else {
            return false;
        };
        out.push(PeerAction::Changed {
            node,
            was: Some(peer.state),
            is: PeerState::Left,
        });
        (peer.state, peer.confirmed_gone) = (PeerState::Left, true);
        self.digest = None;
        true
    }

    /// Notes who passed on that a run is over or began; whether these are enough to be confirmed.
    pub(super) fn witness(&mut self, id: PeerId, start: u64, over: bool, by: PeerId) -> usize {
        // A liar may name any start: past the bound none is counted.
        if self.witnesses.len() >= self.most {
            self.witnesses.clear();
        }
        let witnesses = self.witnesses.entry((id, start, over)).or_default();
        witnesses.insert(by);
        witnesses.len()
    }

    /// Forgets those that have been away for long.
    pub(super) fn forget(&mut self, now: Micros, keep: Micros) -> Vec<PeerId> {
        let away = |p: &Peer| matches!(p.state, PeerState::Dead | PeerState::Left);
        if mutations::is_active(Mutation::TombstoneStays) {
            return Vec::new();
        }
        let over = self
            .all()
            .filter(|p| away(p) && now.saturating_sub(p.learned) >= keep);
        let ids: Vec<PeerId> = over.map(|p| p.node.id).collect();
        for id in &ids {
            self.peers.remove(id);
            self.digest = None;
            self.witnesses.retain(|w, _| w.0 != *id);
        }
        ids
    }
}
