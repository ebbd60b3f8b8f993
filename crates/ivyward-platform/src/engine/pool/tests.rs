//! Limits on connections.

use super::*;
use ivyward_sim::{NetworkConfig, Sim};

#[test]
fn releases_may_open_reserved_connections_at_the_limit() {
    let runtime = Sim::new(1, NetworkConfig::default()).host(1).runtime();
    const RESERVE: usize = 12;
    let settings = EnginePoolSettings {
        connect_timeout: 1,
        keep_alive: 1,
        max_connections: 2,
        report_fields: Vec::new(),
        release: ReleaseSettings {
            release_within: 300_000,
            max_concurrent_attempts: RESERVE,
            max_pending: 10,
        },
        response_memory: MemoryBudget::unlimited(),
        read_size: 1,
    };
    let pool = EnginePool::new(&runtime, settings);
    let regular: Vec<ConnectionPermit> = (0..2)
        .map(|_| pool.permit(0).expect("within the limit"))
        .collect();
    assert!(pool.permit(0).is_none());
    let reserved: Vec<ConnectionPermit> = (0..RESERVE)
        .map(|_| pool.permit(RESERVE).expect("from the reserve"))
        .collect();
    assert!(pool.permit(RESERVE).is_none());
    drop(reserved);
    drop(regular);
    assert_eq!(pool.open_connections(), 0);
}
