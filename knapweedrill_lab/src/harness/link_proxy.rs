//! The proxies in front of a daemon's links.

use std::io;
use std::net::SocketAddr;

use crate::stand_in::fault_proxy::{DatagramProxy, StreamProxy};

/// Makes what goes wrong with datagrams repeatable.
const SEED: u64 = 1;

/// The proxies in front of the connections and heartbeats that a daemon gets.
#[derive(Debug)]
pub struct LinkProxy {
    stream: StreamProxy,
    datagrams: DatagramProxy,
}

impl LinkProxy {
    /// Listens on `listen` over TCP and UDP and forwards to `target`.
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

    /// Returns the proxy for connections.
    pub fn stream(&self) -> &StreamProxy {
        &self.stream
    }

    /// Returns the proxy for datagrams.
    pub fn datagrams(&self) -> &DatagramProxy {
        &self.datagrams
    }
}
