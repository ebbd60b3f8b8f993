//! Deliberate defects for mutation testing: they show that the checks find them.
//!
//! They are compiled in with `RUSTFLAGS="--cfg mutations"` only; without it [`is_active`] is `false` for all of them, and the
//! program contains none. At most one is active at a time, for the whole process.

/// A defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutation {
    /// Reservations of a request are not released when its client disconnects.
    ReleaseForgotten = 1,
    /// An attempt whose stream was reset is sent once more, inside the attempt.
    SentTwice,
    /// A reset after the request was sent counts as proof that nothing ran.
    ResetAsProof,
    /// An error status of the engine counts as proof that nothing ran.
    StatusAsProof,
    /// A drain that is first seen in a list read again is ignored.
    DrainLostInList,
    /// Engines that are missing from a complete list stay.
    MissingStay,
    /// A watch resumes one revision too late.
    WatchSkips,
    /// The client's timeout counts from later than its request's arrival.
    TimeoutLate,
    /// The last tokens are sent twice.
    AnsweredTwice,
    /// A connection that is no longer usable is used again.
    StaleConnection,
    /// A slow client exerts no backpressure on its engine.
    NoBound,
    /// A reserved slot counts as used by any decode at its engine.
    PlaceForgotten,
    /// An attempt that waited for a connection is sent to an engine that drains meanwhile.
    ClosingIgnored,
    /// The router is not told of a disconnected client.
    LeavingIgnored,
    /// A prefill without a known end leaves its KV state behind.
    ReadForgotten,
    /// A node does not refute a suspicion that it knows to be wrong.
    RefutationKept,
    /// The replica count falls for a suspected node.
    CountOnDoubt,
    /// Tombstones never expire.
    TombstoneStays,
    /// Datagrams are answered to their source address.
    AnswersToSource,
    /// A node that was paused takes the others for dead.
    NeverDoubtsItself,
    /// A call uses a connection that was idle for long without a check.
    UncheckedUse,
    /// A call uses a connection whose check was not answered.
    DoubtfulReused,
    /// Idle connections are checked regardless of the budget.
    BudgetIgnored,
    /// All idle connections ask for their checks at the same time.
    NoJitter,
    /// Connections used by calls still count as idle.
    RousedUncounted,
}

/// Those of the keepalive, which tests of their own find.
pub const KEEPALIVE: [Mutation; 5] = [
    Mutation::UncheckedUse,
    Mutation::DoubtfulReused,
    Mutation::BudgetIgnored,
    Mutation::NoJitter,
    Mutation::RousedUncounted,
];

/// Those of the peers, which tests of their own find.
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
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Activates a mutation, or none.
#[cfg(mutations)]
pub fn activate(mutation: Option<Mutation>) {
    ACTIVE.store(
        mutation.map_or(0, |mutation| mutation as u8),
        std::sync::atomic::Ordering::SeqCst,
    );
}

/// Whether this mutation is active.
#[cfg(mutations)]
pub fn is_active(mutation: Mutation) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == mutation as u8
}

/// Whether this mutation is active: never.
#[cfg(not(mutations))]
#[inline(always)]
pub const fn is_active(_: Mutation) -> bool {
    false
}
