//! Fault-injecting proxies between the processes of a platform site.

use std::io;
use std::net::{IpAddr, SocketAddr};

use crate::stand_in::fault_proxy::{DatagramProxy, StreamProxy};

// Ports of the proxies, on the IP address of the process that they belong to.
const CALLERS_PORT: u16 = 28_260;
const STORE_PORT: u16 = 28_261;
const MINION_PORT: u16 = 28_262;
const DATAGRAMS_PORT: u16 = 28_263;

/// The proxies around an entry.
#[derive(Debug)]
pub struct EntryProxies {
    /// Between callers and the entry.
    pub callers: StreamProxy,
    /// Between the entry and other entries.
    pub datagrams: DatagramProxy,
    /// Between the entry and the store.
    pub store: StreamProxy,
}

/// The proxies around a sidecar.
#[derive(Debug)]
pub struct SidecarProxies {
    /// Between the sidecar and its minion.
    pub minion: StreamProxy,
    /// Between the sidecar and the entries that have sessions with it.
    pub datagrams: DatagramProxy,
    /// Between the sidecar and the store.
    pub store: StreamProxy,
}

impl EntryProxies {
    pub(super) fn start(
        ip: IpAddr,
        callers: SocketAddr,
        datagrams: SocketAddr,
        store: SocketAddr,
        seed: u64,
    ) -> io::Result<Self> {
        let listen = |port| SocketAddr::new(ip, port);
        Ok(Self {
            callers: StreamProxy::start(listen(CALLERS_PORT), callers)?,
            datagrams: DatagramProxy::start(listen(DATAGRAMS_PORT), datagrams, seed)?,
            store: StreamProxy::start(listen(STORE_PORT), store)?,
        })
    }
}

impl SidecarProxies {
    pub(super) fn start(
        ip: IpAddr,
        minion: SocketAddr,
        datagrams: SocketAddr,
        store: SocketAddr,
        seed: u64,
    ) -> io::Result<Self> {
        let listen = |port| SocketAddr::new(ip, port);
        Ok(Self {
            minion: StreamProxy::start(listen(MINION_PORT), minion)?,
            datagrams: DatagramProxy::start(listen(DATAGRAMS_PORT), datagrams, seed)?,
            store: StreamProxy::start(listen(STORE_PORT), store)?,
        })
    }
}
