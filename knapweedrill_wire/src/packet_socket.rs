//! UDP socket for the dispatch sessions.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::thread;

use eyre::WrapErr;
use knapweedrill::dispatch::Packet;

/// The largest UDP payload over IPv4, in bytes.
const DATAGRAM_BYTES_MAX: usize = 65_507;

/// A UDP socket that sends and receives the packets of dispatch sessions.
#[derive(Debug)]
pub struct PacketSocket {
    socket: UdpSocket,
}

impl PacketSocket {
    /// Binds `address` and starts a thread that calls `on_packet` with each packet received.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
    pub fn start(
        address: SocketAddr,
        on_packet: impl Fn(SocketAddr, Packet) + Send + 'static,
    ) -> eyre::Result<Self> {
        let socket = UdpSocket::bind(address)
            .wrap_err_with(|| format!("can't listen for datagrams at {address}"))?;
        let receiver = socket
            .try_clone()
            .wrap_err("can't duplicate the handle of the datagram socket")?;
        thread::Builder::new()
            .name("datagrams".into())
            .spawn(move || receive_all(&receiver, on_packet))
            .wrap_err("can't start the thread that receives datagrams")?;
        Ok(Self { socket })
    }

    /// Sends a packet, best effort: the session retransmits lost packets.
    pub fn send(&self, to: SocketAddr, packet: &Packet) {
        let bytes = match postcard::to_stdvec(packet) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(to:% = to, error:% = error; "datagram could not be encoded");
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&bytes, to) {
            log::debug!(to:% = to, bytes = bytes.len(), error:% = error; "datagram could not be sent");
        }
    }
}

fn receive_all(socket: &UdpSocket, on_packet: impl Fn(SocketAddr, Packet)) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        match socket.recv_from(&mut buffer) {
            Ok((length, from)) => match postcard::from_bytes(&buffer[..length]) {
                Ok(packet) => on_packet(from, packet),
                Err(error) => {
                    log::warn!(from:% = from, bytes = length, error:% = error; "datagram could not be decoded");
                }
            },
            // The kernel reports an ICMP error for an earlier send here. Sessions detect an
            // unreachable peer themselves.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => log::warn!(error:% = error; "datagram could not be received"),
        }
    }
}
