//! The delayed delivery of datagrams.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Instant;

use crossbeam::channel::{Receiver, RecvTimeoutError};

/// A datagram on its way.
#[derive(Debug)]
pub(super) struct Delivery {
    /// When it goes out.
    pub(super) due: Instant,
    /// Through which socket.
    pub(super) socket: Arc<UdpSocket>,
    /// To whom.
    pub(super) to: SocketAddr,
    /// What it carries.
    pub(super) bytes: Vec<u8>,
}

/// Sends each datagram when it is due, until all senders are gone.
pub(super) fn deliver_all(arriving: &Receiver<Delivery>) {
    let mut waiting: BTreeMap<(Instant, u64), Delivery> = BTreeMap::new();
    for number in 0.. {
        match receive_before_due(arriving, &waiting) {
            Ok(delivery) => {
                waiting.insert((delivery.due, number), delivery);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        send_due(&mut waiting);
    }
}

fn receive_before_due(
    arriving: &Receiver<Delivery>,
    waiting: &BTreeMap<(Instant, u64), Delivery>,
) -> Result<Delivery, RecvTimeoutError> {
    match waiting.first_key_value() {
        Some(((due, _), _)) => arriving.recv_deadline(*due),
        None => arriving.recv().map_err(|_| RecvTimeoutError::Disconnected),
    }
}

fn send_due(waiting: &mut BTreeMap<(Instant, u64), Delivery>) {
    let now = Instant::now();
    while let Some(first) = waiting.first_entry() {
        if first.key().0 > now {
            return;
        }
        let delivery = first.remove();
        // A datagram that can't be sent is lost, as on any network.
        let _ = delivery.socket.send_to(&delivery.bytes, delivery.to);
    }
}
