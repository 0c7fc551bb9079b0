//! The delayed delivery of datagrams.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Instant;

use crossbeam::channel::{Receiver, RecvTimeoutError};

/// A datagram that is sent at a set time.
#[derive(Debug)]
pub(super) struct DelayedDatagram {
    /// When to send it.
    pub(super) due: Instant,
    /// The socket to send it from.
    pub(super) socket: Arc<UdpSocket>,
    /// The address of the recipient.
    pub(super) to: SocketAddr,
    /// The payload.
    pub(super) bytes: Vec<u8>,
}

/// Sends each datagram when it is due. Returns as soon as all senders of the channel are dropped;
/// datagrams that are not due yet are lost.
pub(super) fn deliver_all(receiver: &Receiver<DelayedDatagram>) {
    let mut pending: BTreeMap<(Instant, u64), DelayedDatagram> = BTreeMap::new();
    for sequence in 0.. {
        match receive_before_due(receiver, &pending) {
            Ok(datagram) => {
                pending.insert((datagram.due, sequence), datagram);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        send_due(&mut pending);
    }
}

fn receive_before_due(
    receiver: &Receiver<DelayedDatagram>,
    pending: &BTreeMap<(Instant, u64), DelayedDatagram>,
) -> Result<DelayedDatagram, RecvTimeoutError> {
    match pending.first_key_value() {
        Some(((due, _), _)) => receiver.recv_deadline(*due),
        None => receiver.recv().map_err(|_| RecvTimeoutError::Disconnected),
    }
}

fn send_due(pending: &mut BTreeMap<(Instant, u64), DelayedDatagram>) {
    let now = Instant::now();
    while let Some(first) = pending.first_entry() {
        if first.key().0 > now {
            return;
        }
        let datagram = first.remove();
        // A datagram that can't be sent is lost, as on a real network.
        let _ = datagram.socket.send_to(&datagram.bytes, datagram.to);
    }
}
