//! Fault-injecting proxies for TCP and UDP between two loopback addresses.

mod connection;
mod datagram_faults;
mod datagram_proxy;
mod delayed_datagram;
mod stream_proxy;

pub use datagram_faults::DatagramFaults;
pub use datagram_proxy::DatagramProxy;
pub use stream_proxy::StreamProxy;
