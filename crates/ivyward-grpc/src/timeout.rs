//! The `grpc-timeout` header: at most eight digits and one of the units `H`, `M`, `S`, `m`, `u` and `n`.

use ivyward_runtime::Micros;

/// The header's name.
pub const TIMEOUT_HEADER: &str = "grpc-timeout";
/// Most digits that the protocol allows.
const MOST_DIGITS: usize = 8;
/// The units that are written, finest first, with their microseconds.
const WRITTEN_UNITS: [(char, Micros); 5] = [
    ('u', 1),
    ('m', 1_000),
    ('S', 1_000_000),
    ('M', 60_000_000),
    ('H', 3_600_000_000),
];

/// A header that is not as the protocol says.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("grpc-timeout {0:?} is not up to eight digits and one of H M S m u n")]
pub struct TimeoutError(pub String);

/// The header's value for a span, rounded down to what the protocol can say: never more than the span.
pub fn encode_timeout(span: Micros) -> String {
    let most = 10_u64.pow(MOST_DIGITS as u32) - 1;
    let fits = WRITTEN_UNITS
        .iter()
        .find(|(_, micros)| span / micros <= most);
    match fits {
        Some((unit, micros)) => format!("{}{unit}", span / micros),
        None => format!("{most}H"),
    }
}

/// The span that a header's value states.
///
/// # Errors
/// When it is not as the protocol says.
pub fn parse_timeout(text: &str) -> Result<Micros, TimeoutError> {
    let bad = || TimeoutError(text.to_owned());
    let unit_at = text
        .len()
        .checked_sub(1)
        .filter(|at| (1..=MOST_DIGITS).contains(at))
        .ok_or_else(bad)?;
    let digits = text.get(..unit_at).ok_or_else(bad)?;
    let unit = text.get(unit_at..).ok_or_else(bad)?;
    if !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(bad());
    }
    let number: u64 = digits.parse().map_err(|_| bad())?;
    match unit {
        "H" => Ok(number * 3_600_000_000),
        "M" => Ok(number * 60_000_000),
        "S" => Ok(number * 1_000_000),
        "m" => Ok(number * 1_000),
        "u" => Ok(number),
        "n" => Ok(number / 1_000),
        _ => Err(bad()),
    }
}

#[cfg(test)]
mod tests;
