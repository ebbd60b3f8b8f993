//! The `grpc-timeout` header. Its value has at most eight digits and one of the units `H`, `M`, `S`, `m`, `u` and `n`.

use ivyward_runtime::Micros;

/// The name of the header that contains a call's timeout.
pub const TIMEOUT_HEADER: &str = "grpc-timeout";
/// Maximum number of digits that the protocol allows.
const MAX_DIGITS: usize = 8;
/// The units that [`encode_timeout`] uses, finest first, with their length in microseconds.
const ENCODED_UNITS: [(char, Micros); 5] = [
    ('u', 1),
    ('m', 1_000),
    ('S', 1_000_000),
    ('M', 60_000_000),
    ('H', 3_600_000_000),
];

/// A header value that the protocol does not allow. Contains the value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("grpc-timeout {0:?} is not up to eight digits and one of H M S m u n")]
pub struct TimeoutError(pub String);

/// Encodes a timeout as a header value. It is rounded down to what the protocol can express, so that the value is never
/// longer than the timeout.
pub fn encode_timeout(timeout: Micros) -> String {
    let max_number = 10_u64.pow(MAX_DIGITS as u32) - 1;
    let fits = ENCODED_UNITS
        .iter()
        .find(|(_, micros)| timeout / micros <= max_number);
    match fits {
        Some((unit, micros)) => format!("{}{unit}", timeout / micros),
        None => format!("{max_number}H"),
    }
}

/// Parses a header value. Returns the timeout in microseconds, rounded down.
///
/// # Errors
/// [`TimeoutError`] when the protocol does not allow the value.
pub fn parse_timeout(text: &str) -> Result<Micros, TimeoutError> {
    let invalid = || TimeoutError(text.to_owned());
    let unit_at = text
        .len()
        .checked_sub(1)
        .filter(|at| (1..=MAX_DIGITS).contains(at))
        .ok_or_else(invalid)?;
    let digits = text.get(..unit_at).ok_or_else(invalid)?;
    let unit = text.get(unit_at..).ok_or_else(invalid)?;
    if !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(invalid());
    }
    let number: u64 = digits.parse().map_err(|_| invalid())?;
    match unit {
        "H" => Ok(number * 3_600_000_000),
        "M" => Ok(number * 60_000_000),
        "S" => Ok(number * 1_000_000),
        "m" => Ok(number * 1_000),
        "u" => Ok(number),
        "n" => Ok(number / 1_000),
        _ => Err(invalid()),
    }
}

#[cfg(test)]
mod tests;
