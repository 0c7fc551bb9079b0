//! Codec, framing and link threads between the processes of knapweedrill.
//!
//! [`Links`] carries frames over TCP, [`Datagrams`] carries heartbeats and [`PacketSocket`] the
//! sessions of dispatch over UDP, and [`HttpClient`] calls a server. None of them knows
//! what the messages mean: sessions and membership are decided by the state machines of the
//! library `knapweedrill`.

mod codec;
mod counters;
mod datagrams;
mod http_client;
mod links;
mod packets;

pub use codec::{
    CodecError, DATAGRAM_LENGTH_MAX_BYTES, FIRST_FRAME_LENGTH_MAX_BYTES, FRAME_HEADER_BYTES,
    FRAME_LENGTH_MAX_BYTES, decode_datagram, decode_frame, encode_datagram, encode_frame,
    read_frame,
};
pub use counters::{DatagramCounts, KindCounts, LinkCounts};
pub use datagrams::Datagrams;
pub use http_client::{HttpAnswer, HttpCall, HttpClient, HttpFailure};
pub use knapweedrill::link::LinkNumber;
pub use links::{LinkEvent, LinkSettings, Links};
pub use packets::PacketSocket;
