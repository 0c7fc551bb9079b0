//! Payloads and results in JSON.

use knapweedrill_derive::message;

/// A payload or result: a JSON string if it is UTF-8, otherwise `{"hex": ".."}`.
///
/// Both forms preserve the bytes exactly.
#[message]
#[serde(untagged)]
pub enum Content {
    /// Bytes that are valid UTF-8.
    Text(String),
    /// Arbitrary bytes in hexadecimal.
    Hex {
        /// Two lower-case hexadecimal digits for each byte.
        hex: String,
    },
}

/// The value of `hex` is not an even number of hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'hex' is not valid; allowed: two hexadecimal digits for each byte")]
pub struct ContentError;

impl Content {
    /// Returns the decoded bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the hexadecimal form is malformed.
    pub fn into_bytes(self) -> Result<Vec<u8>, ContentError> {
        match self {
            Self::Text(text) => Ok(text.into_bytes()),
            Self::Hex { hex } => hex.as_bytes().chunks(2).map(decode_byte).collect(),
        }
    }
}

impl From<Vec<u8>> for Content {
    fn from(bytes: Vec<u8>) -> Self {
        match String::from_utf8(bytes) {
            Ok(text) => Self::Text(text),
            Err(error) => Self::Hex {
                hex: encode_hex(error.as_bytes()),
            },
        }
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    let digit = |value: u8| char::from(b"0123456789abcdef"[usize::from(value)]);
    bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 0xf)])
        .collect()
}

fn decode_byte(digits: &[u8]) -> Result<u8, ContentError> {
    let value = |digit: u8| char::from(digit).to_digit(16).ok_or(ContentError);
    let &[high, low] = digits else {
        return Err(ContentError);
    };
    let byte = value(high)? << 4 | value(low)?;
    u8::try_from(byte).map_err(|_| ContentError)
}
