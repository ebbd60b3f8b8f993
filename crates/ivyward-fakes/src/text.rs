//! Computes answers as a function of the prompt, so that any observer can check a stream of tokens.

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the hash of a prompt that its answer is computed from.
pub fn digest(prompt: &[u32]) -> u64 {
    prompt.iter().fold(0x9e37_79b9_7f4a_7c15, |h, t| {
        mix(h ^ u64::from(*t)).wrapping_add(0x1234_5678_9abc_def1)
    })
}

/// Returns the number of tokens in the answer to a prompt: between half of `max_tokens` and `max_tokens`, at least 1.
pub fn length(digest: u64, max_tokens: u32) -> u32 {
    let half = max_tokens / 2;
    (max_tokens - (mix(digest) % u64::from(half.max(1))) as u32).max(1)
}

/// Returns the token of the answer at an index.
pub fn token(digest: u64, index: u32) -> u32 {
    mix(digest ^ (u64::from(index) << 32 | 0x5bd1)) as u32
}

/// Returns the complete answer to a prompt.
pub fn answer(prompt: &[u32], max_tokens: u32) -> Vec<u32> {
    let digest = digest(prompt);
    (0..length(digest, max_tokens))
        .map(|i| token(digest, i))
        .collect()
}
