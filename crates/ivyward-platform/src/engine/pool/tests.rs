//! Bounds on connections.

use super::*;
use ivyward_sim::{Net, Sim};

#[test]
fn releases_have_connections_to_spare() {
    let runtime = Sim::new(1, Net::default()).host(1).runtime();
    const SPARE: usize = 12;
    let let_go = ReleaseSettings {
        within: 300_000,
        max_concurrent_attempts: SPARE,
        max_pending: 10,
    };
    let engines = EnginePool::new(&runtime, 1, 1, 2, &[], let_go);
    let taken: Vec<ConnectionPermit> = (0..2)
        .map(|_| engines.permit(0).expect("within the bound"))
        .collect();
    assert!(engines.permit(0).is_none());
    let spared: Vec<ConnectionPermit> = (0..SPARE)
        .map(|_| engines.permit(SPARE).expect("to spare"))
        .collect();
    assert!(engines.permit(SPARE).is_none());
    drop(spared);
    drop(taken);
    assert_eq!(engines.connections(), 0);
}
