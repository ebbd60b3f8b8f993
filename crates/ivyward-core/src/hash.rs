//! A small integer hash for deterministic pseudo-random choices.

/// Mixes the bits of `x` with the finalizer of SplitMix64.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes `x` to a number that is uniform in [0, 1).
pub(crate) fn unit_interval(x: u64) -> f64 {
    (mix(x) >> 11) as f64 / (1u64 << 53) as f64
}
