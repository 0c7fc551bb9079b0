//! Parsers of values, and the descriptions of valid values for error messages.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The maximum length of a name, in characters.
pub const NAME_LENGTH_MAX: usize = 63;

/// Description of a valid name for error messages.
pub const NAME_ALLOWED: &str = "a name of 1 to 63 characters of a-z, 0-9 and -";

pub(super) const ADDRESS_ALLOWED: &str =
    "an IP address and a port that other processes can reach, such as 127.0.0.1:7000";

/// Returns whether `text` is a valid name of a process, service, kind or team.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
    (1..=NAME_LENGTH_MAX).contains(&text.len()) && text.bytes().all(is_allowed)
}

pub(super) fn address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

pub(super) fn number(text: &str, range: &RangeInclusive<u64>) -> Option<u64> {
    let is_digits = !text.is_empty() && text.bytes().all(|c| c.is_ascii_digit());
    let value = text.parse().ok().filter(|_| is_digits)?;
    range.contains(&value).then_some(value)
}

pub(super) fn choice<T: Copy>(text: &str, choices: &[(&str, T)]) -> Option<T> {
    let (_, value) = choices.iter().find(|(name, _)| *name == text)?;
    Some(*value)
}

pub(super) fn choices_allowed<T>(choices: &[(&str, T)]) -> String {
    let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
    names.join(", ")
}
