//! Allocation of loopback addresses that do not collide between concurrent test runs.

use std::net::{Ipv4Addr, SocketAddr};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// TCP port of a daemon's HTTP interface.
pub const HTTP_PORT: u16 = 7000;
/// TCP and UDP port of a daemon's links.
pub const LINK_PORT: u16 = 7001;
/// TCP port of the log.
pub const LOG_PORT: u16 = 7100;
/// TCP port of a minion.
pub const MINION_PORT: u16 = 7200;

/// Offset from the port of a process to the port of the proxy in front of it.
pub const PROXY_PORT_OFFSET: u16 = 1000;

/// Number of addresses that a harness process allocates before they repeat.
const HOST_COUNT: u32 = 254;

static NEXT_HOST: AtomicU32 = AtomicU32::new(0);

/// Allocates a loopback address for each process that the harness starts.
///
/// The second and third octets are derived from the process id of the harness, so that concurrent
/// runs do not collide. The ports are below the ephemeral range.
#[derive(Debug, Clone, Copy)]
pub struct AddressAllocator {
    process_id: u32,
}

impl AddressAllocator {
    /// Creates an allocator for the current process.
    pub fn new() -> Self {
        Self {
            process_id: process::id(),
        }
    }

    /// Returns an unused address; addresses repeat after 254 calls in one process.
    pub fn next_ip(&self) -> Ipv4Addr {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed) % HOST_COUNT + 1;
        // The second octet is never 0, so 127.0.0.1 is never allocated.
        let second_octet = self.process_id / 256 % 255 + 1;
        let third_octet = self.process_id % 256;
        Ipv4Addr::new(127, second_octet as u8, third_octet as u8, host as u8)
    }

    /// Returns a socket address with an unused IP address and the given port.
    pub fn next_address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.next_ip(), port))
    }
}

impl Default for AddressAllocator {
    fn default() -> Self {
        Self::new()
    }
}
