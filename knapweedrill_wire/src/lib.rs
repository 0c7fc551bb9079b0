//! Codec, framing and transports between the processes of knapweedrill.
//!
//! [`Links`] carries frames over TCP, [`DatagramSocket`] carries heartbeats over UDP,
//! [`PacketSocket`] carries dispatch sessions over UDP, and [`HttpClient`] calls an HTTP server.
//! The transports don't interpret messages: sessions and membership are implemented by the state
//! machines of the library `knapweedrill`.

mod checked_response;
mod codec;
mod connection_check;
mod counters;
mod datagram_socket;
mod http_client;
mod links;
mod packet_socket;

pub use checked_response::CheckedResponse;
pub use codec::{
    CodecError, DATAGRAM_LENGTH_MAX_BYTES, FIRST_FRAME_LENGTH_MAX_BYTES, FRAME_HEADER_BYTES,
    FRAME_LENGTH_MAX_BYTES, decode_datagram, decode_frame, encode_datagram, encode_frame,
    read_frame,
};
pub use connection_check::{ConnectionCheck, ServerStart};
pub use counters::{DatagramCounts, KindCounts, LinkCounts};
pub use datagram_socket::DatagramSocket;
pub use http_client::{HttpCall, HttpClient, HttpError, HttpResponse};
pub use knapweedrill::link::LinkId;
pub use links::{LinkEvent, LinkSettings, Links};
pub use packet_socket::PacketSocket;
