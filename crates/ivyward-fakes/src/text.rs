//! Answers as a function of the prompt: anyone can tell whether a stream is right.

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number for a prompt.
pub fn digest(prompt: &[u32]) -> u64 {
    prompt.iter().fold(0x9e37_79b9_7f4a_7c15, |h, t| {
        mix(h ^ u64::from(*t)).wrapping_add(0x1234_5678_9abc_def1)
    })
}

/// Tokens in the answer to a prompt: from half of what may be asked for up to all of it.
pub fn length(digest: u64, most: u32) -> u32 {
    let half = most / 2;
    (most - (mix(digest) % u64::from(half.max(1))) as u32).max(1)
}

/// The answer's token at an index.
pub fn token(digest: u64, index: u32) -> u32 {
    mix(digest ^ (u64::from(index) << 32 | 0x5bd1)) as u32
}

/// The whole answer.
pub fn answer(prompt: &[u32], most: u32) -> Vec<u32> {
    let digest = digest(prompt);
    (0..length(digest, most))
        .map(|i| token(digest, i))
        .collect()
}
