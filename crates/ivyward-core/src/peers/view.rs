//! Who is known, by which evidence.

use super::gossip::{About, Card, Claim, Out, PeerId};
use super::Dropped;
use crate::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A beat may be ahead of what the time since the last one allows by so many milliseconds: clocks run a little apart,
/// and what was told was on its way.
const AHEAD: u64 = 2_000;
/// So many others have to say of a run that it is over or began, if it did not say so here itself.
pub(super) const WITNESSES: usize = 2;

/// What a node is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is heard, by this node or others.
    Alive,
    /// It does not answer; nobody is known to have heard it since.
    Suspected,
    /// Nobody has heard it for long.
    Dead,
    /// It said that it leaves.
    Left,
}

/// A node as this one knows it.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// How it announced itself.
    pub card: Card,
    /// What it is taken for.
    pub standing: Standing,
    /// Not heard by this node, but by others.
    pub unheard: bool,
    /// Certainly gone: it can be sending no more.
    pub certain: bool,
    /// The last evidence of it, and since when that is known.
    pub(super) beat: u64,
    pub(super) learned: Micros,
    /// When it was heard by this node itself.
    pub(super) direct: Micros,
    /// While in doubt: when the first question left that it did not answer.
    pub(super) asked: Micros,
    /// And when that became known here.
    pub(super) doubted: Micros,
}

impl Peer {
    pub(super) fn claim(&self, now: Micros) -> Claim {
        let about = match self.standing {
            Standing::Alive => About::Here,
            Standing::Suspected | Standing::Dead => About::Silent { since: now.saturating_sub(self.asked) },
            Standing::Left => About::Left,
        };
        Claim { card: self.card, beat: self.beat, ago: now.saturating_sub(self.learned), about }
    }
}

pub(super) struct Members {
    peers: BTreeMap<PeerId, Peer>,
    /// Who passed on what only one can say of itself: that its run is over, or that it began.
    witnesses: BTreeMap<(PeerId, u64, bool), BTreeSet<PeerId>>,
    most: usize,
    pub(super) dropped: Dropped,
}

impl Members {
    pub(super) fn new(most: usize) -> Members {
        Members { peers: BTreeMap::new(), witnesses: BTreeMap::new(), most, dropped: Dropped::default() }
    }
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }
    pub(super) fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }
    /// Those that are not known to be away.
    pub(super) fn here(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|p| matches!(p.standing, Standing::Alive | Standing::Suspected))
    }
    pub(super) fn get(&self, id: PeerId) -> Option<&Peer> {
        self.peers.get(&id)
    }
    pub(super) fn get_mut(&mut self, id: PeerId) -> Option<&mut Peer> {
        self.peers.get_mut(&id)
    }

    /// Takes in evidence; false where it does not count. `fresh` is how old evidence may be that brings one back.
    pub(super) fn learn(
        &mut self,
        now: Micros,
        claim: &Claim,
        by: Option<PeerId>,
        fresh: Micros,
        out: &mut Vec<Out>,
    ) -> bool {
        let (card, direct) = (claim.card, by.is_none());
        let at = now.saturating_sub(claim.ago);
        let new = Peer {
            card,
            standing: Standing::Alive,
            unheard: false,
            certain: false,
            beat: claim.beat,
            learned: at,
            direct: if direct { now } else { 0 },
            asked: 0,
            doubted: 0,
        };
        let Some(peer) = self.peers.get_mut(&card.id) else {
            // In quiet times evidence grows old; whoever has it has no doubt either.
            if claim.about != About::Here {
                return false;
            }
            if self.peers.len() >= self.most {
                self.dropped.over += 1;
                return false;
            }
            self.peers.insert(card.id, new);
            out.push(Out::Changed { card, was: None, is: Standing::Alive });
            return true;
        };
        if card.start < peer.card.start {
            self.dropped.stale += 1;
            return false;
        }
        if card.start > peer.card.start {
            // Its earlier run is over for certain if the new one says so itself. Told by one other, a run that is still
            // heard stays: a liar may name any start.
            let heard = now.saturating_sub(peer.learned) < fresh;
            if let Some(by) = by.filter(|_| heard) {
                if self.witness(card.id, card.start, false, by) < WITNESSES {
                    return false;
                }
            }
            let Some(peer) = self.peers.get_mut(&card.id) else { return false };
            let was = (peer.card, peer.standing);
            *peer = new;
            self.witnesses.retain(|w, _| w.0 != card.id);
            out.push(Out::Changed { card: was.0, was: Some(was.1), is: Standing::Left });
            out.push(Out::Changed { card, was: None, is: Standing::Alive });
            return true;
        }
        if peer.standing == Standing::Left {
            return false;
        }
        if direct {
            (peer.direct, peer.unheard, peer.card) = (now, false, card);
        }
        if claim.beat > peer.beat || direct {
            let possible = peer.beat + now.saturating_sub(peer.learned) / 1_000 + AHEAD;
            if !direct && claim.beat > possible {
                self.dropped.implausible += 1;
                return false;
            }
            peer.beat = peer.beat.max(claim.beat);
            peer.learned = peer.learned.max(at);
            let was = peer.standing;
            // Evidence that is later than the question it did not answer ends the doubt.
            let later = direct || at > peer.asked && now.saturating_sub(at) < fresh;
            if was != Standing::Alive && later {
                (peer.standing, peer.certain) = (Standing::Alive, false);
                out.push(Out::Changed { card: peer.card, was: Some(was), is: Standing::Alive });
            }
        }
        true
    }

    /// Changes what one is taken for, if it is taken for `from` now.
    pub(super) fn set(&mut self, id: PeerId, from: Standing, to: Standing, out: &mut Vec<Out>) -> bool {
        let Some(peer) = self.peers.get_mut(&id).filter(|p| p.standing == from) else { return false };
        peer.standing = to;
        out.push(Out::Changed { card: peer.card, was: Some(from), is: to });
        true
    }

    pub(super) fn leave(&mut self, card: Card, out: &mut Vec<Out>) -> bool {
        let known = self.peers.get_mut(&card.id);
        let Some(peer) = known.filter(|p| p.card.start == card.start && p.standing != Standing::Left) else {
            return false;
        };
        out.push(Out::Changed { card, was: Some(peer.standing), is: Standing::Left });
        (peer.standing, peer.certain) = (Standing::Left, true);
        true
    }

    /// Notes who passed on that a run is over or began; whether these are enough to be sure.
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
        let away = |p: &Peer| matches!(p.standing, Standing::Dead | Standing::Left);
        let over = self.all().filter(|p| away(p) && now.saturating_sub(p.learned) >= keep);
        let ids: Vec<PeerId> = over.map(|p| p.card.id).collect();
        for id in &ids {
            self.peers.remove(id);
            self.witnesses.retain(|w, _| w.0 != *id);
        }
        ids
    }
}
