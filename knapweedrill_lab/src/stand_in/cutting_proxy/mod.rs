//! A proxy between two loopback addresses that loses, delays and withholds what passes.

mod connection;
mod datagram_faults;
mod datagram_proxy;
mod delivery;
mod stream_proxy;

pub use datagram_faults::DatagramFaults;
pub use datagram_proxy::DatagramProxy;
pub use stream_proxy::StreamProxy;
