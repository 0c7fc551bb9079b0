//! Addresses that no other run uses.

use std::net::{Ipv4Addr, SocketAddr};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// The port of a daemon's HTTP interface.
pub const HTTP_PORT: u16 = 7000;
/// The port of a daemon's links, for TCP and UDP.
pub const LINK_PORT: u16 = 7001;
/// The port of the log.
pub const LOG_PORT: u16 = 7100;
/// The port of a minion.
pub const MINION_PORT: u16 = 7200;

/// How far above a port the port of the proxy in front of it lies.
pub const PROXY_PORT_OFFSET: u16 = 1000;

/// How many addresses a harness process can hand out before they repeat.
const HOST_COUNT: u32 = 254;

static NEXT_HOST: AtomicU32 = AtomicU32::new(0);

/// Hands out loopback addresses, one for each process that the harness starts.
///
/// The middle parts of an address come from the harness's own process id, so that runs side by
/// side do not collide. The ports lie below the ephemeral range.
#[derive(Debug, Clone, Copy)]
pub struct AddressPlan {
    process_id: u32,
}

impl AddressPlan {
    /// Creates the plan of this process.
    pub fn new() -> Self {
        Self {
            process_id: process::id(),
        }
    }

    /// Returns an address that this process has not handed out, until they repeat after 254.
    pub fn next_ip(&self) -> Ipv4Addr {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed) % HOST_COUNT + 1;
        // The second part is never 0, which keeps clear of 127.0.0.1.
        let second = self.process_id / 256 % 255 + 1;
        let third = self.process_id % 256;
        Ipv4Addr::new(127, second as u8, third as u8, host as u8)
    }

    /// Returns a fresh address with the port.
    pub fn next_address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.next_ip(), port))
    }
}

impl Default for AddressPlan {
    fn default() -> Self {
        Self::new()
    }
}
