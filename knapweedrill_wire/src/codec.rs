//! Bytes of frames and datagrams.

use std::io::{self, Read};

use knapweedrill::message::{Datagram, Frame, PROTOCOL_VERSION};
use serde::de::DeserializeOwned;

/// The length of the prefix of a frame, in bytes.
pub const FRAME_HEADER_BYTES: usize = size_of::<u32>();

/// The greatest length of an encoded frame without its prefix, in bytes.
pub const FRAME_LENGTH_MAX_BYTES: usize = 16 << 20;

/// The greatest length of the first frame of a connection, in bytes.
///
/// A peer that has not introduced itself needs no room for more than a `Hello`.
pub const FIRST_FRAME_LENGTH_MAX_BYTES: usize = 4 << 10;

/// The greatest length of an encoded datagram, in bytes.
pub const DATAGRAM_LENGTH_MAX_BYTES: usize = 8 << 10;

/// Bytes could not be turned into a message, or a message into bytes.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message is longer than allowed.
    #[error("a message of {length_bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    Oversized {
        /// The length of the message.
        length_bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// The bytes are no message.
    #[error("the bytes are no message: {0}")]
    Undecodable(#[from] postcard::Error),
    /// Bytes are left over behind the message.
    #[error("{left_bytes} bytes are left over behind the message")]
    TrailingBytes {
        /// How many.
        left_bytes: usize,
    },
    /// The sender speaks another version of the protocol.
    #[error("the sender speaks version {version} of the protocol, not {PROTOCOL_VERSION}")]
    Version {
        /// The sender's version.
        version: u32,
    },
    /// The connection ended or failed.
    #[error("the connection ended or failed: {0}")]
    Io(#[from] io::Error),
}

impl CodecError {
    /// Returns whether the other side sent what no correct peer sends.
    pub fn is_malformed(&self) -> bool {
        !matches!(self, Self::Io(_))
    }
}

/// Appends a frame with its length prefix to `buffer`.
///
/// # Errors
///
/// Fails if the encoded frame is longer than [`FRAME_LENGTH_MAX_BYTES`]; `buffer` must not be sent
/// then.
pub fn encode_frame(frame: &Frame, buffer: &mut Vec<u8>) -> Result<(), CodecError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
    let encoded = postcard::to_extend(frame, std::mem::take(buffer))?;
    *buffer = encoded;
    let length_bytes = buffer.len() - start - FRAME_HEADER_BYTES;
    check_length(length_bytes, FRAME_LENGTH_MAX_BYTES)?;
    // The limit fits the prefix by far.
    let header = (length_bytes as u32).to_le_bytes();
    buffer[start..start + FRAME_HEADER_BYTES].copy_from_slice(&header);
    Ok(())
}

/// Decodes a frame from its bytes without the length prefix.
///
/// # Errors
///
/// Fails if the bytes are too long or no frame.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, CodecError> {
    check_length(bytes.len(), FRAME_LENGTH_MAX_BYTES)?;
    decode(bytes)
}

/// Reads one frame of at most `limit_bytes`; `buffer` is room that can be used again.
///
/// The buffer grows with the bytes that arrive and not with the length that is claimed.
///
/// # Errors
///
/// Fails if the connection ends or fails, or if the frame is too long or no frame.
pub fn read_frame(
    reader: &mut impl Read,
    limit_bytes: usize,
    buffer: &mut Vec<u8>,
) -> Result<Frame, CodecError> {
    let mut header = [0; FRAME_HEADER_BYTES];
    reader.read_exact(&mut header)?;
    let length_bytes = u32::from_le_bytes(header) as usize;
    check_length(length_bytes, limit_bytes)?;
    buffer.clear();
    let read_bytes = reader.take(length_bytes as u64).read_to_end(buffer)?;
    if read_bytes < length_bytes {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    decode_frame(buffer)
}

/// Encodes a datagram.
///
/// # Errors
///
/// Fails if the encoded datagram is longer than [`DATAGRAM_LENGTH_MAX_BYTES`].
pub fn encode_datagram(datagram: &Datagram) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_stdvec(datagram)?;
    check_length(bytes.len(), DATAGRAM_LENGTH_MAX_BYTES)?;
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if the bytes are too long, no datagram, or of another version of the protocol.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, CodecError> {
    check_length(bytes.len(), DATAGRAM_LENGTH_MAX_BYTES)?;
    let datagram: Datagram = decode(bytes)?;
    if datagram.protocol_version != PROTOCOL_VERSION {
        let version = datagram.protocol_version;
        return Err(CodecError::Version { version });
    }
    Ok(datagram)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        let left_bytes = rest.len();
        Err(CodecError::TrailingBytes { left_bytes })
    }
}

fn check_length(length_bytes: usize, limit_bytes: usize) -> Result<(), CodecError> {
    if length_bytes > limit_bytes {
        return Err(CodecError::Oversized {
            length_bytes,
            limit_bytes,
        });
    }
    Ok(())
}
