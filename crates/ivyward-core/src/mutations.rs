//! Defects put in on purpose, to see that the checks find them.
//!
//! They are compiled in with `RUSTFLAGS="--cfg mutations"` alone; without it [`is_active`] is `false` for all of them, and nothing
//! of them is in the program. At most one is active at a time, for the whole process.

/// A defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutation {
    /// What is kept for a request is not let go when its client leaves.
    ReleaseForgotten = 1,
    /// An attempt whose stream was reset is sent once more, inside the attempt.
    SentTwice,
    /// A reset after the bytes left is taken for proof that nothing ran.
    ResetAsProof,
    /// A status from the engine's side is taken for proof that nothing ran.
    StatusAsProof,
    /// A drain that is first seen in a list read again is not heeded.
    DrainLostInList,
    /// Engines that are missing from a whole list stay.
    MissingStay,
    /// A watch goes on one revision too late.
    WatchSkips,
    /// The client's time counts from later than its request came.
    TimeoutLate,
    /// The last tokens are handed out twice.
    AnsweredTwice,
    /// A connection that is not usable any more is used again.
    StaleConnection,
    /// A slow client does not hold up its engine.
    NoBound,
    /// A place counts as used by any write at its engine.
    PlaceForgotten,
    /// Work that waited for a connection goes to an engine that drains meanwhile.
    ClosingIgnored,
    /// A client that left is not told of to the module.
    LeavingIgnored,
    /// A read whose end is not known leaves its state behind.
    ReadForgotten,
    /// Who knows better than a doubt keeps it to itself.
    RefutationKept,
    /// The count of nodes falls for one in doubt.
    CountOnDoubt,
    /// The dead are remembered for good.
    TombstoneStays,
    /// Datagrams are answered where they seem to come from.
    AnswersToSource,
    /// A node that slept takes the others for dead.
    NeverDoubtsItself,
    /// A call leaves on a connection that rested for long, unchecked.
    UncheckedUse,
    /// A call leaves on a connection whose check was not answered.
    DoubtfulReused,
    /// Connections at rest are checked whatever the budget says.
    BudgetIgnored,
    /// All connections at rest ask for their checks in one moment.
    NoJitter,
    /// Connections that calls take up still count as resting.
    RousedUncounted,
}

/// Those of the keepalive, which their own scenes find.
pub const KEEPALIVE: [Mutation; 5] = [
    Mutation::UncheckedUse,
    Mutation::DoubtfulReused,
    Mutation::BudgetIgnored,
    Mutation::NoJitter,
    Mutation::RousedUncounted,
];

/// Those of the peers, which their own scenes find.
pub const PEERS: [Mutation; 5] = [
    Mutation::RefutationKept,
    Mutation::CountOnDoubt,
    Mutation::TombstoneStays,
    Mutation::AnswersToSource,
    Mutation::NeverDoubtsItself,
];

/// All others.
pub const ALL: [Mutation; 15] = [
    Mutation::ReleaseForgotten,
    Mutation::SentTwice,
    Mutation::ResetAsProof,
    Mutation::StatusAsProof,
    Mutation::DrainLostInList,
    Mutation::MissingStay,
    Mutation::WatchSkips,
    Mutation::TimeoutLate,
    Mutation::AnsweredTwice,
    Mutation::StaleConnection,
    Mutation::NoBound,
    Mutation::PlaceForgotten,
    Mutation::ClosingIgnored,
    Mutation::LeavingIgnored,
    Mutation::ReadForgotten,
];

#[cfg(mutations)]
static WHICH: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Plants one, or takes it out again.
#[cfg(mutations)]
pub fn activate(defect: Option<Mutation>) {
    WHICH.store(
        defect.map_or(0, |d| d as u8),
        std::sync::atomic::Ordering::SeqCst,
    );
}

/// Whether this mutation is active.
#[cfg(mutations)]
pub fn is_active(defect: Mutation) -> bool {
    WHICH.load(std::sync::atomic::Ordering::Relaxed) == defect as u8
}

/// Whether this mutation is active: never.
#[cfg(not(mutations))]
#[inline(always)]
pub const fn is_active(_: Mutation) -> bool {
    false
}
