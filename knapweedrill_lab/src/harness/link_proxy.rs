//! Fault-injecting proxies in front of a daemon's links.

use std::io;
use std::net::SocketAddr;

use crate::stand_in::fault_proxy::{DatagramProxy, StreamProxy};

/// Seed of the random datagram faults, fixed so that they are repeatable.
const SEED: u64 = 1;

/// The proxies for incoming connections and heartbeat datagrams of a daemon.
#[derive(Debug)]
pub struct LinkProxy {
    stream: StreamProxy,
    datagrams: DatagramProxy,
}

impl LinkProxy {
    /// Listens on `listen` for TCP and UDP and forwards to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            stream: StreamProxy::start(listen, target)?,
            datagrams: DatagramProxy::start(listen, target, SEED)?,
        })
    }

    /// Returns the proxy for TCP connections.
    pub fn stream(&self) -> &StreamProxy {
        &self.stream
    }

    /// Returns the proxy for UDP datagrams.
    pub fn datagrams(&self) -> &DatagramProxy {
        &self.datagrams
    }
}
