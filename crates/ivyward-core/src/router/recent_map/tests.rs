//! The limit on the entries, and which of them stay.

use super::*;

struct Used(Micros);

impl LastUsed for Used {
    fn last_used(&self) -> Micros {
        self.0
    }
}

#[test]
fn the_entries_that_were_used_last_stay_within_the_limit() {
    const MAX: usize = 100;
    let mut map = RecentMap::<u64, Used, MAX>::default();
    map.insert(0, Used(Micros::MAX));
    for key in 1..10_000 {
        map.insert(key, Used(key));
        assert!(map.len() <= MAX);
        let kept = key.saturating_sub(MAX as u64 / 2).max(1)..=key;
        assert!(kept.clone().all(|key| map.get(&key).is_some()), "{key}");
    }
    assert!(map.get(&0).is_some(), "an entry that is still used");
}

/// Entries that were used at the same time are not dropped all at once.
#[test]
fn entries_of_the_same_time_stay_up_to_the_limit() {
    let mut map = RecentMap::<u64, Used, 100>::default();
    for key in 0..1_000 {
        map.insert(key, Used(1));
        assert!(map.len() >= (key as usize + 1).min(75));
    }
}
