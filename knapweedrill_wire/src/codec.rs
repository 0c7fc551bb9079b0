//! Encoding, decoding and length limits of frames and datagrams.

use std::io::{self, Read};

use knapweedrill::message::{Datagram, Frame, PROTOCOL_VERSION};
use serde::de::DeserializeOwned;

/// The size of the length prefix of a frame, in bytes.
pub const FRAME_HEADER_BYTES: usize = size_of::<u32>();

/// The maximum length of an encoded frame without its prefix, in bytes.
pub const FRAME_LENGTH_MAX_BYTES: usize = 16 << 20;

/// The maximum length of the first frame of a connection, in bytes.
///
/// The first frame is a `Hello`, so a peer that has not identified itself yet gets no larger
/// buffer.
pub const FIRST_FRAME_LENGTH_MAX_BYTES: usize = 4 << 10;

/// The maximum length of an encoded datagram, in bytes.
pub const DATAGRAM_LENGTH_MAX_BYTES: usize = 8 << 10;

/// An error of encoding, decoding or reading a message.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message exceeds the length limit.
    #[error("a message of {length_bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    Oversized {
        /// The length of the encoded message, or the length its prefix claims.
        length_bytes: usize,
        /// The maximum length.
        limit_bytes: usize,
    },
    /// The bytes are not a valid encoding of a message, or the message can't be encoded.
    #[error("the message is not valid: {0}")]
    Undecodable(#[from] postcard::Error),
    /// Bytes follow the end of the message.
    #[error("{trailing_bytes} unexpected bytes follow the message")]
    TrailingBytes {
        /// The number of bytes after the message.
        trailing_bytes: usize,
    },
    /// The sender uses another protocol version.
    #[error("the sender uses protocol version {version}, expected {PROTOCOL_VERSION}")]
    Version {
        /// The protocol version of the sender.
        version: u32,
    },
    /// The connection was closed or failed.
    #[error("the connection was closed or failed: {0}")]
    Io(#[from] io::Error),
}

impl CodecError {
    /// Returns whether the peer violated the protocol, as opposed to a failed connection.
    pub fn is_malformed(&self) -> bool {
        !matches!(self, Self::Io(_))
    }
}

/// Appends a frame with its length prefix to `buffer`.
///
/// # Errors
///
/// Fails if the encoded frame is longer than [`FRAME_LENGTH_MAX_BYTES`]. The contents of `buffer`
/// must not be sent in that case.
pub fn encode_frame(frame: &Frame, buffer: &mut Vec<u8>) -> Result<(), CodecError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
    let encoded = postcard::to_extend(frame, std::mem::take(buffer))?;
    *buffer = encoded;
    let length_bytes = buffer.len() - start - FRAME_HEADER_BYTES;
    check_length(length_bytes, FRAME_LENGTH_MAX_BYTES)?;
    // The length limit fits into 32 bits.
    let header = (length_bytes as u32).to_le_bytes();
    buffer[start..start + FRAME_HEADER_BYTES].copy_from_slice(&header);
    Ok(())
}

/// Decodes a frame from bytes without the length prefix.
///
/// # Errors
///
/// Fails if the bytes exceed the length limit or are not a valid frame.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, CodecError> {
    check_length(bytes.len(), FRAME_LENGTH_MAX_BYTES)?;
    decode(bytes)
}

/// Reads one frame of at most `limit_bytes` into `buffer`, which can be reused across calls.
///
/// The buffer grows with the bytes received, not with the length that the prefix claims.
///
/// # Errors
///
/// Fails if the connection is closed or fails, or if the frame is too long or not valid.
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
/// Fails if the bytes exceed the length limit, are not a valid datagram or use another protocol
/// version.
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
        let trailing_bytes = rest.len();
        Err(CodecError::TrailingBytes { trailing_bytes })
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
