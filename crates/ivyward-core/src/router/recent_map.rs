//! A map with a limit on its entries, in which the entries that were used last stay.

use crate::decaying_mean::DecayingMean;
use crate::interface::Micros;
use std::collections::BTreeMap;

/// At the limit one entry in this number is dropped at once, so that the search for the oldest entries is rare.
const EVICTED_PART: usize = 4;

/// A value that knows when it was last used.
pub(super) trait LastUsed {
    fn last_used(&self) -> Micros;
}

impl LastUsed for DecayingMean {
    fn last_used(&self) -> Micros {
        self.updated_at
    }
}

/// A map of at most `MAX` entries, whose keys are chosen by clients. The limit bounds its memory, however many keys they use.
pub(super) struct RecentMap<K, V, const MAX: usize> {
    entries: BTreeMap<K, V>,
}

impl<K, V, const MAX: usize> Default for RecentMap<K, V, MAX> {
    fn default() -> RecentMap<K, V, MAX> {
        RecentMap {
            entries: BTreeMap::new(),
        }
    }
}

impl<K: Ord, V: LastUsed, const MAX: usize> RecentMap<K, V, MAX> {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key)
    }

    /// Returns the entry of a key, and adds it if there is none.
    pub(super) fn get_or_default(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        self.make_room(&key);
        self.entries.entry(key).or_default()
    }

    pub(super) fn insert(&mut self, key: K, value: V) {
        self.make_room(&key);
        self.entries.insert(key, value);
    }

    pub(super) fn retain(&mut self, is_kept: impl Fn(&V) -> bool) {
        self.entries.retain(|_, value| is_kept(value));
    }

    /// Drops the entries that were not used for the longest time if a new key would exceed the limit.
    fn make_room(&mut self, key: &K) {
        if self.entries.len() < MAX || self.entries.contains_key(key) {
            return;
        }
        let mut times: Vec<Micros> = self.entries.values().map(V::last_used).collect();
        let last = times.len() / EVICTED_PART;
        let (_, newest_evicted, _) = times.select_nth_unstable(last);
        let newest_evicted = *newest_evicted;
        let mut left = last.max(1);
        self.entries.retain(|_, value| {
            let is_evicted = left > 0 && value.last_used() <= newest_evicted;
            left -= usize::from(is_evicted);
            !is_evicted
        });
    }
}

#[cfg(test)]
mod tests;
