//! Deliberate defects for mutation testing: they show that the checks find them.
//!
//! They are compiled in with `RUSTFLAGS="--cfg mutations"` only; without it [`is_active`] is `false` for all of them, and the
//! program contains none. At most one is active at a time, for the whole process.

/// A defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutation {
    /// Reservations of a request are not released when its client disconnects.
    NoReleaseOnDisconnect = 1,
    /// An attempt whose stream was reset is sent once more, inside the attempt.
    ResendAfterReset,
    /// A reset after the request was sent counts as proof that nothing ran.
    ResetCountsAsNotRun,
    /// An error status of the engine counts as proof that nothing ran.
    StatusCountsAsNotRun,
    /// A drain that is first seen in a list read again is ignored.
    IgnoreDrainInList,
    /// Engines that are missing from a complete list stay.
    KeepMissingEngines,
    /// A watch resumes one revision too late.
    WatchSkipsRevision,
    /// The client's timeout counts from later than its request's arrival.
    LateTimeoutStart,
    /// The last tokens are sent twice.
    DuplicateTokens,
    /// A connection that is no longer usable is used again.
    ReuseStaleConnection,
    /// A slow client exerts no backpressure on its engine.
    NoBackpressure,
    /// A reserved slot counts as used by any decode at its engine.
    AnyDecodeUsesSlot,
    /// An attempt that waited for a connection is sent to an engine that drains meanwhile.
    IgnoreDrainWhileConnecting,
    /// The router is not told of a disconnected client.
    IgnoreDisconnect,
    /// A prefill without a known end leaves its KV state behind.
    NoReleaseAfterUnknownPrefill,
    /// A node does not refute a suspicion that it knows to be wrong.
    NoRefutation,
    /// The replica count falls for a suspected node.
    SuspicionLowersReplicaCount,
    /// Tombstones never expire.
    TombstoneNeverExpires,
    /// Datagrams are answered to their source address.
    ReplyToSourceAddress,
    /// A node that was paused takes the others for dead.
    IgnoreOwnHealth,
    /// A call uses a connection that was idle for long without a check.
    NoCheckBeforeUse,
    /// A call uses a connection whose check was not answered.
    ReuseUnansweredConnection,
    /// Idle connections are checked regardless of the budget.
    IgnoreCheckBudget,
    /// All idle connections ask for their checks at the same time.
    NoJitter,
    /// Connections used by calls still count as idle.
    CountBusyAsIdle,
}

/// Those of the keepalive, which tests of their own find.
pub const KEEPALIVE: [Mutation; 5] = [
    Mutation::NoCheckBeforeUse,
    Mutation::ReuseUnansweredConnection,
    Mutation::IgnoreCheckBudget,
    Mutation::NoJitter,
    Mutation::CountBusyAsIdle,
];

/// Those of the peers, which tests of their own find.
pub const PEERS: [Mutation; 5] = [
    Mutation::NoRefutation,
    Mutation::SuspicionLowersReplicaCount,
    Mutation::TombstoneNeverExpires,
    Mutation::ReplyToSourceAddress,
    Mutation::IgnoreOwnHealth,
];

/// All others.
pub const GENERAL: [Mutation; 15] = [
    Mutation::NoReleaseOnDisconnect,
    Mutation::ResendAfterReset,
    Mutation::ResetCountsAsNotRun,
    Mutation::StatusCountsAsNotRun,
    Mutation::IgnoreDrainInList,
    Mutation::KeepMissingEngines,
    Mutation::WatchSkipsRevision,
    Mutation::LateTimeoutStart,
    Mutation::DuplicateTokens,
    Mutation::ReuseStaleConnection,
    Mutation::NoBackpressure,
    Mutation::AnyDecodeUsesSlot,
    Mutation::IgnoreDrainWhileConnecting,
    Mutation::IgnoreDisconnect,
    Mutation::NoReleaseAfterUnknownPrefill,
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
