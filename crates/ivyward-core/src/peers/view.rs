//! Who is known, by which evidence.

use super::gossip::{About, Card, Claim, Out, PeerId};
use super::Dropped;
use crate::interface::Micros;
use crate::planted::{self, Defect};
use crate::state::mix;
use std::collections::{BTreeMap, BTreeSet};

/// A beat may be ahead of what the time since the first one allows by so many milliseconds: what was told was on its
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
    /// When it was heard by this node itself, and its beat then.
    pub(super) direct: Micros,
    direct_beat: u64,
    /// A beat of it and when that was: what later ones are held against. It stays, so that no row of small lies moves it.
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
    fn possible(&self, now: Micros, beat: u64) -> bool {
        let since = now.saturating_sub(self.anchor.0) / 1_000;
        beat <= self.anchor.1 + since + since / APART + AHEAD
    }
    /// Whether a claim says what is known here, or later.
    pub(super) fn says(&self, claim: &Claim) -> bool {
        let same = match claim.about {
            About::Here => self.standing == Standing::Alive,
            About::Silent { .. } => matches!(self.standing, Standing::Suspected | Standing::Dead),
            About::Left => self.standing == Standing::Left,
        };
        // Who heard it a moment ago knows no less for that.
        same && claim.card.start == self.card.start && claim.beat + NEAR >= self.beat
    }
    pub(super) fn claim(&self, now: Micros) -> Claim {
        let about = match self.standing {
            Standing::Alive => About::Here,
            Standing::Suspected | Standing::Dead => About::Silent {
                since: now.saturating_sub(self.asked),
            },
            Standing::Left => About::Left,
        };
        Claim {
            card: self.card,
            beat: self.beat,
            ago: now.saturating_sub(self.learned),
            about,
        }
    }
}

/// A run's part of a view's digest.
pub(super) fn mark(card: &Card) -> u64 {
    mix(card.id.0 ^ mix(card.start))
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
        let all = self.peers.values().filter(|p| !p.certain);
        *self.digest.get_or_insert_with(|| {
            all.fold(0, |sum, p| {
                sum ^ mark(&p.card)
                    ^ if p.standing == Standing::Dead {
                        mix(p.card.id.0)
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
            .filter(|p| p.standing == Standing::Suspected)
    }
    /// Those that are not known to be away.
    pub(super) fn here(&self) -> impl Iterator<Item = &Peer> {
        self.all()
            .filter(|p| matches!(p.standing, Standing::Alive | Standing::Suspected))
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
        claim: &Claim,
        by: By,
        (fresh, keep): (Micros, Micros),
        out: &mut Vec<Out>,
    ) -> bool {
        let (card, direct) = (claim.card, by.direct());
        let at = now.saturating_sub(claim.ago);
        let (standing, asked) = match claim.about {
            About::Silent { since } if since >= fresh => {
                (Standing::Dead, now.saturating_sub(since))
            }
            About::Silent { since } => (Standing::Suspected, now.saturating_sub(since)),
            _ => (Standing::Alive, 0),
        };
        let new = Peer {
            card,
            standing,
            unheard: false,
            certain: false,
            beat: claim.beat,
            learned: at,
            direct: if direct { now } else { 0 },
            direct_beat: if direct { claim.beat } else { 0 },
            anchor: (at, claim.beat, direct),
            lease_over: None,
            asked,
            doubted: now,
            last_asks: 0,
        };
        let Some(peer) = self.peers.get_mut(&card.id) else {
            // A tombstone is as old as the last word of its node, through whomever it comes, and ends then.
            if claim.about == About::Left || standing != Standing::Alive && claim.ago >= keep {
                return false;
            }
            if self.peers.len() >= self.most {
                self.dropped.over += 1;
                return false;
            }
            self.peers.insert(card.id, new);
            self.digest = None;
            out.push(Out::Changed {
                card,
                was: None,
                is: standing,
            });
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
            if let By::Other(by) = by {
                if heard && self.witness(card.id, card.start, false, by) < WITNESSES {
                    return false;
                }
            }
            let Some(peer) = self.peers.get_mut(&card.id) else {
                return false;
            };
            let was = (peer.card, peer.standing);
            *peer = new;
            self.digest = None;
            self.witnesses.retain(|w, _| w.0 != card.id);
            out.push(Out::Changed {
                card: was.0,
                was: Some(was.1),
                is: Standing::Left,
            });
            out.push(Out::Changed {
                card,
                was: None,
                is: standing,
            });
            return true;
        }
        if peer.standing == Standing::Left {
            return false;
        }
        if by == By::Proof || direct && !peer.anchor.2 {
            peer.anchor = (now, claim.beat, true);
        } else if direct && claim.beat + AHEAD < peer.direct_beat {
            // Guards against a relay that repeats what one said before it died.
            self.dropped.old += 1;
            return false;
        } else if !peer.possible(now, claim.beat) {
            self.dropped.implausible += 1;
            return false;
        }
        let news = by == By::Proof
            || if direct {
                claim.beat > peer.direct_beat
            } else {
                claim.beat > peer.beat
            };
        if direct && news {
            (peer.direct, peer.direct_beat, peer.unheard, peer.card) =
                (now, claim.beat, false, card);
        }
        if news {
            peer.beat = peer.beat.max(claim.beat);
            peer.learned = peer.learned.max(at);
            let was = peer.standing;
            // Evidence that is later than the question it did not answer ends the doubt.
            let later = direct || at > peer.asked && now.saturating_sub(at) < fresh;
            if was != Standing::Alive && later {
                (peer.standing, peer.certain) = (Standing::Alive, false);
                self.digest = None;
                out.push(Out::Changed {
                    card: peer.card,
                    was: Some(was),
                    is: Standing::Alive,
                });
            }
        }
        true
    }

    /// Whoever is silent and has no lease any more is certainly gone.
    pub(super) fn settle_leases(&mut self, now: Micros) {
        let over = |p: &&mut Peer| {
            p.standing == Standing::Dead && p.lease_over.is_some_and(|at| at <= now)
        };
        self.peers
            .values_mut()
            .filter(over)
            .filter(|p| !p.certain)
            .for_each(|p| {
                p.certain = true;
                self.digest = None;
            });
    }

    /// Changes what one is taken for, if it is taken for `from` now.
    pub(super) fn set(
        &mut self,
        id: PeerId,
        from: Standing,
        to: Standing,
        out: &mut Vec<Out>,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(&id).filter(|p| p.standing == from) else {
            return false;
        };
        peer.standing = to;
        self.digest = None;
        out.push(Out::Changed {
            card: peer.card,
            was: Some(from),
            is: to,
        });
        true
    }

    pub(super) fn leave(&mut self, card: Card, out: &mut Vec<Out>) -> bool {
        let known = self.peers.get_mut(&card.id);
        let Some(peer) =
            known.filter(|p| p.card.start == card.start && p.standing != Standing::Left)
        else {
            return false;
        };
        out.push(Out::Changed {
            card,
            was: Some(peer.standing),
            is: Standing::Left,
        });
        (peer.standing, peer.certain) = (Standing::Left, true);
        self.digest = None;
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
        if planted::is(Defect::TombstoneStays) {
            return Vec::new();
        }
        let over = self
            .all()
            .filter(|p| away(p) && now.saturating_sub(p.learned) >= keep);
        let ids: Vec<PeerId> = over.map(|p| p.card.id).collect();
        for id in &ids {
            self.peers.remove(id);
            self.digest = None;
            self.witnesses.retain(|w, _| w.0 != *id);
        }
        ids
    }
}
