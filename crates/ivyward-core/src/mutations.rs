//! Deliberate defects for mutation testing, which show that the tests and checks detect such defects.
//!
//! They are compiled in only with `RUSTFLAGS="--cfg mutations"`. Without it, [`is_active`] is always `false` and the program
//! contains none of them. At most one mutation is active at a time, for the whole process.

/// A defect that can be activated for mutation testing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutation {
    /// Reservations of a request are not released after its client disconnected.
    NoReleaseOnDisconnect = 1,
    /// A decode attempt whose stream was reset is sent again within the same attempt, unseen by the router.
    ResendAfterReset,
    /// A stream reset after the request was sent counts as proof that the request did not run.
    ResetCountsAsNotRun,
    /// An error status from the engine counts as proof that the request did not run.
    StatusCountsAsNotRun,
    /// A drain that first appears when the complete list is read again is ignored.
    IgnoreDrainInList,
    /// Engines that are missing from a complete list are not removed.
    KeepMissingEngines,
    /// A watch starts one revision too late, so that it misses a change.
    WatchSkipsRevision,
    /// The client's timeout starts later than at the arrival of its request.
    LateTimeoutStart,
    /// The last tokens of an answer are sent twice.
    DuplicateTokens,
    /// A connection that is no longer usable is used for another call.
    ReuseStaleConnection,
    /// The buffer for a slow client has no limit, so that it exerts no backpressure on the engine.
    NoBackpressure,
    /// A reserved decode slot counts as used by any decode attempt at its engine, even if it belongs to another prefill.
    AnyDecodeUsesSlot,
    /// A call that waited for a connection is sent although the engine began to drain meanwhile.
    IgnoreDrainWhileConnecting,
    /// Some client disconnects before the first token are ignored.
    IgnoreDisconnect,
    /// The KV state that a prefill of unknown outcome may have left is not released.
    NoReleaseAfterUnknownPrefill,
    /// A node does not refute a suspicion of another node that it knows to be wrong.
    NoRefutation,
    /// The replica count leaves out nodes that are only suspected.
    SuspicionLowersReplicaCount,
    /// Tombstones never expire.
    TombstoneNeverExpires,
    /// Replies go to a datagram's source address instead of the sender's announced address.
    ReplyToSourceAddress,
    /// A node ignores its own health, so that a node that was paused or isolated declares the others dead.
    IgnoreOwnHealth,
    /// A call uses a connection that was idle for long without checking it first.
    NoCheckBeforeUse,
    /// A call uses a connection whose check was not answered.
    ReuseUnansweredConnection,
    /// Idle connections are checked more often than the budget allows.
    IgnoreCheckBudget,
    /// The checks of idle connections have no jitter, so that they all come at the same time.
    NoJitter,
    /// Connections that are used again still count as idle.
    CountBusyAsIdle,
}

/// Defects of the keepalive, detected by the keepalive tests.
pub const KEEPALIVE: [Mutation; 5] = [
    Mutation::NoCheckBeforeUse,
    Mutation::ReuseUnansweredConnection,
    Mutation::IgnoreCheckBudget,
    Mutation::NoJitter,
    Mutation::CountBusyAsIdle,
];

/// Defects of the peer membership, detected by the peer tests and by simulation runs with peers.
pub const PEERS: [Mutation; 5] = [
    Mutation::NoRefutation,
    Mutation::SuspicionLowersReplicaCount,
    Mutation::TombstoneNeverExpires,
    Mutation::ReplyToSourceAddress,
    Mutation::IgnoreOwnHealth,
];

/// All other defects, detected by simulation runs with default settings.
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

/// Activates a mutation for the whole process in place of the previous one; `None` deactivates it.
#[cfg(mutations)]
pub fn activate(mutation: Option<Mutation>) {
    ACTIVE.store(
        mutation.map_or(0, |mutation| mutation as u8),
        std::sync::atomic::Ordering::SeqCst,
    );
}

/// Returns whether this mutation is active.
#[cfg(mutations)]
pub fn is_active(mutation: Mutation) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == mutation as u8
}

/// Returns `false`: mutations are not compiled in.
#[cfg(not(mutations))]
#[inline(always)]
pub const fn is_active(_: Mutation) -> bool {
    false
}
