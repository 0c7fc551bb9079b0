//! Links: TCP connections that carry frames between processes.

mod concurrency_limit;
mod connection;
mod event;
mod settings;

pub use event::LinkEvent;
pub use settings::LinkSettings;

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use eyre::WrapErr;
use knapweedrill::link::LinkId;
use knapweedrill::message::{Frame, MessageKind};
use socket2::SockRef;

use crate::counters::{KindCounts, LinkCounts, LinkMeter};
use concurrency_limit::{ConcurrencyLimit, Permit};
use connection::Connection;

/// Pause after a failed accept, so that file descriptors can become free.
const ACCEPT_FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// A cloneable handle to the links of a process; clones share the links.
///
/// One thread accepts connections, and each connection has a reader and a writer thread. A
/// connection with a malformed frame is closed and counted; other connections are not affected.
#[derive(Debug, Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    listener: TcpListener,
    settings: LinkSettings,
    on_event: Box<dyn Fn(LinkEvent) + Send + Sync>,
    meter: LinkMeter,
    connections: Mutex<HashMap<LinkId, Connection>>,
    next_link: AtomicU64,
    inbound_limit: ConcurrencyLimit,
    dial_limit: ConcurrencyLimit,
    is_stopped: AtomicBool,
}

impl Links {
    /// Starts to accept connections, and calls `on_event` with each event of a link.
    ///
    /// `on_event` runs on the reader and dialler threads. While it blocks, its connection is not
    /// read, which applies backpressure to the peer.
    ///
    /// # Errors
    ///
    /// Fails if the thread that accepts connections can't be started.
    pub fn start(
        listener: TcpListener,
        settings: LinkSettings,
        on_event: impl Fn(LinkEvent) + Send + Sync + 'static,
    ) -> eyre::Result<Self> {
        let shared = Arc::new(Shared {
            listener,
            settings,
            on_event: Box::new(on_event),
            meter: LinkMeter::default(),
            connections: Mutex::default(),
            next_link: AtomicU64::new(1),
            inbound_limit: ConcurrencyLimit::new(settings.inbound_max_count),
            dial_limit: ConcurrencyLimit::new(settings.dial_max_count),
            is_stopped: AtomicBool::new(false),
        });
        let acceptor = Arc::clone(&shared);
        thread::Builder::new()
            .name("link-acceptor".into())
            .spawn(move || acceptor.accept_all())
            .wrap_err("can't start the thread that accepts links")?;
        Ok(Self { shared })
    }

    /// Starts to connect to `address`; an event `Opened` or `DialFailed` follows.
    ///
    /// Returns `false`, without a later event, if too many dials are in progress or no thread can be
    /// started.
    pub fn dial(&self, address: SocketAddr) -> bool {
        let is_started = self.shared.start_dial(address);
        if !is_started {
            self.shared.meter.totals.dials_refused_count.increment();
        }
        is_started
    }

    /// Adds a frame to the send queue of a link.
    ///
    /// A frame for a closed link is dropped and counted. A full queue closes the link, since a
    /// session must deliver every frame.
    pub fn send(&self, link: LinkId, frame: Frame) {
        let is_queued = match self.shared.connections().get(&link) {
            Some(connection) => connection.try_send(frame),
            None => return self.shared.meter.totals.frames_unlinked_count.increment(),
        };
        if !is_queued {
            self.shared.meter.totals.queues_overflowed_count.increment();
            self.close(link);
        }
    }

    /// Closes a link immediately. Queued frames are dropped, and an event `Closed` follows.
    pub fn close(&self, link: LinkId) {
        if let Some(connection) = self.shared.connections().remove(&link) {
            connection.shut_down();
        }
    }

    /// Returns the traffic counts of all links since the start.
    pub fn counts(&self) -> LinkCounts {
        self.shared.meter.totals.snapshot()
    }

    /// Returns the traffic counts of one kind of message since the start.
    pub fn kind_counts(&self, kind: MessageKind) -> KindCounts {
        self.shared.meter.kind(kind).snapshot()
    }

    /// Closes all links and stops accepting connections.
    pub fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // Shutting the listening socket down wakes the thread that is blocked in accept.
        let _ = SockRef::from(&self.shared.listener).shutdown(Shutdown::Both);
        for (_, connection) in self.shared.connections().drain() {
            connection.shut_down();
        }
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

impl Shared {
    /// Locks the connections. A poisoned lock is usable, since no critical section leaves the map
    /// in an inconsistent state.
    fn connections(&self) -> MutexGuard<'_, HashMap<LinkId, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    fn accept_all(self: &Arc<Self>) {
        loop {
            let accepted = self.listener.accept();
            if self.is_stopped() {
                return;
            }
            if accepted
                .and_then(|(stream, address)| self.accept_connection(stream, address))
                .is_err()
            {
                self.meter.totals.accepts_failed_count.increment();
                thread::sleep(ACCEPT_FAILURE_PAUSE);
            }
        }
    }

    fn accept_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        address: SocketAddr,
    ) -> io::Result<()> {
        let Some(permit) = self.inbound_limit.try_acquire() else {
            self.meter.totals.connections_refused_count.increment();
            return Ok(());
        };
        self.open_link(stream, address, None, Some(permit))
    }

    fn start_dial(self: &Arc<Self>, address: SocketAddr) -> bool {
        let Some(permit) = self.dial_limit.try_acquire() else {
            return false;
        };
        let dialler = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name("link-dialler".into())
            .spawn(move || dialler.connect(address, permit));
        spawned.is_ok()
    }

    fn connect(self: &Arc<Self>, address: SocketAddr, _permit: Permit) {
        let connected = TcpStream::connect_timeout(&address, self.settings.connect_timeout)
            .and_then(|stream| self.open_link(stream, address, Some(address), None));
        if connected.is_err() {
            self.meter.totals.dials_failed_count.increment();
            (self.on_event)(LinkEvent::DialFailed { address });
        }
    }

    /// Starts the reader and the writer of a connection. No event is reported on failure.
    fn open_link(
        self: &Arc<Self>,
        stream: TcpStream,
        address: SocketAddr,
        dialled: Option<SocketAddr>,
        permit: Option<Permit>,
    ) -> io::Result<()> {
        connection::set_socket_options(&stream, &self.settings)?;
        let link = self.next_link.fetch_add(1, Ordering::Relaxed);
        self.start_writer(link, &stream)?;
        let opened = LinkEvent::Opened {
            link,
            address,
            is_dialler: dialled.is_some(),
            dialled,
        };
        let reader = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name(format!("link-{link}-reader"))
            .spawn(move || reader.run_reader(link, &stream, opened, permit));
        if spawned.is_err() {
            self.drop_connection(link);
        }
        spawned.map(|_| ())
    }

    fn start_writer(self: &Arc<Self>, link: LinkId, stream: &TcpStream) -> io::Result<()> {
        // A bounded channel would allocate its whole capacity up front for each connection.
        let (queue, queued_frames) = channel::unbounded();
        let connection = Connection {
            stream: stream.try_clone()?,
            queue,
            queue_frame_count: self.settings.queue_frame_count,
        };
        let stream = stream.try_clone()?;
        let writer = Arc::clone(self);
        thread::Builder::new()
            .name(format!("link-{link}-writer"))
            .spawn(move || {
                connection::write_all(&stream, &queued_frames, &writer.meter);
                writer.drop_connection(link);
                // Ends the reader if the writer failed.
                let _ = stream.shutdown(Shutdown::Both);
            })?;
        self.connections().insert(link, connection);
        Ok(())
    }

    fn run_reader(
        &self,
        link: LinkId,
        stream: &TcpStream,
        opened: LinkEvent,
        permit: Option<Permit>,
    ) {
        self.meter.totals.connections_opened_count.increment();
        (self.on_event)(opened);
        // `stop` does not close a connection that is opened at the same time.
        if !self.is_stopped() {
            connection::read_all(stream, &self.meter, |frame| {
                (self.on_event)(LinkEvent::Frame { link, frame });
            });
        }
        self.drop_connection(link);
        drop(permit);
        (self.on_event)(LinkEvent::Closed { link });
    }

    fn drop_connection(&self, link: LinkId) {
        if let Some(connection) = self.connections().remove(&link) {
            connection.shut_down();
        }
    }
}
