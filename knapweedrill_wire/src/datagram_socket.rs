//! UDP socket for heartbeats and announcements.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use eyre::WrapErr;
use knapweedrill::message::{Datagram, DatagramBody};

use crate::codec::{DATAGRAM_LENGTH_MAX_BYTES, decode_datagram, encode_datagram};
use crate::counters::{DatagramCounters, DatagramCounts};

/// The read timeout, after which the reader checks whether it has to stop.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Pause after a failed read, which prevents a busy loop on a broken socket.
const READ_FAILURE_PAUSE: Duration = Duration::from_millis(10);

/// A cloneable handle to the datagram socket of a process; clones share the socket.
#[derive(Debug, Clone)]
pub struct DatagramSocket {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    socket: UdpSocket,
    counters: DatagramCounters,
    is_stopped: AtomicBool,
}

impl DatagramSocket {
    /// Starts the reader thread, which calls `on_datagram` with each valid datagram received.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be set up or the thread can't be started.
    pub fn start(
        socket: UdpSocket,
        on_datagram: impl Fn(SocketAddr, Datagram) + Send + 'static,
    ) -> eyre::Result<Self> {
        socket
            .set_read_timeout(Some(STOP_CHECK_PERIOD))
            .wrap_err("can't set the read timeout of the datagram socket")?;
        let shared = Arc::new(Shared {
            socket,
            counters: DatagramCounters::default(),
            is_stopped: AtomicBool::new(false),
        });
        let reader = Arc::clone(&shared);
        thread::Builder::new()
            .name("datagram-reader".into())
            .spawn(move || reader.read_all(&on_datagram))
            .wrap_err("can't start the reader thread of the datagram socket")?;
        Ok(Self { shared })
    }

    /// Sends a datagram, best effort. A failure is only counted, since UDP may lose datagrams anyway.
    pub fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let counters = &self.shared.counters;
        match self.shared.send(to, datagram) {
            Some(sent_bytes) => {
                counters.datagrams_sent_count.increment();
                counters.bytes_sent_count.add(sent_bytes);
            }
            None => counters.sends_failed_count.increment(),
        }
    }

    /// Returns the traffic counts since the start.
    pub fn counts(&self) -> DatagramCounts {
        self.shared.counters.snapshot()
    }

    /// Stops the reader thread, which ends within half a second.
    pub fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn send(&self, to: SocketAddr, datagram: &Datagram) -> Option<usize> {
        let bytes = encode_datagram(datagram).ok()?;
        self.socket.send_to(&bytes, to).ok()
    }

    fn read_all(&self, on_datagram: &impl Fn(SocketAddr, Datagram)) {
        // One byte above the limit, so that a truncated oversized datagram is not taken for a
        // complete one.
        let mut buffer = vec![0; DATAGRAM_LENGTH_MAX_BYTES + 1];
        while !self.is_stopped.load(Ordering::Relaxed) {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.handle_datagram(&buffer[..length], from, on_datagram),
                Err(error) if is_timeout(&error) => {}
                Err(_) => thread::sleep(READ_FAILURE_PAUSE),
            }
        }
    }

    fn handle_datagram(
        &self,
        bytes: &[u8],
        from: SocketAddr,
        on_datagram: &impl Fn(SocketAddr, Datagram),
    ) {
        self.counters.bytes_received_count.add(bytes.len());
        match decode_datagram(bytes) {
            Ok(datagram) => {
                self.counters.datagrams_received_count.increment();
                if matches!(datagram.body, DatagramBody::Announce { .. }) {
                    let counter = &self.counters.announcement_bytes_received_count;
                    counter.add(bytes.len());
                }
                on_datagram(from, datagram);
            }
            Err(_) => self.counters.datagrams_malformed_count.increment(),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
