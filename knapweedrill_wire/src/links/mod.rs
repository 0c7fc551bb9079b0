//! The links of a process: TCP connections that carry frames.

mod connection;
mod event;
mod places;
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
use knapweedrill::link::LinkNumber;
use knapweedrill::message::{Frame, MessageKind};
use socket2::SockRef;

use crate::counters::{KindCounts, LinkCounts, LinkMeter};
use connection::Connection;
use places::{Place, Places};

/// The wait after a failed accept, which lets descriptors become free.
const ACCEPT_FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// A handle on the links of a process; clones share the links.
///
/// One thread accepts connections; each connection has a reader and a writer thread. A connection
/// that breaks the framing is closed and counted, and has no other effect.
#[derive(Debug, Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    listener: TcpListener,
    settings: LinkSettings,
    on_event: Box<dyn Fn(LinkEvent) + Send + Sync>,
    meter: LinkMeter,
    connections: Mutex<HashMap<LinkNumber, Connection>>,
    next_link: AtomicU64,
    inbound: Places,
    dials: Places,
    is_stopped: AtomicBool,
}

impl Links {
    /// Starts to accept connections, and calls `on_event` for whatever happens on a link.
    ///
    /// `on_event` runs on the threads of the links. While it waits, its connection is not read,
    /// which slows the other side down.
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
            inbound: Places::new(settings.inbound_max_count),
            dials: Places::new(settings.dial_max_count),
            is_stopped: AtomicBool::new(false),
        });
        let acceptor = Arc::clone(&shared);
        thread::Builder::new()
            .name("link-acceptor".into())
            .spawn(move || acceptor.accept_all())
            .wrap_err("can't start the thread that accepts links")?;
        Ok(Self { shared })
    }

    /// Begins to connect to `address`; `Opened` or `DialFailed` follows.
    ///
    /// Returns whether the dial was begun. It is not if too many are under way; no event follows
    /// then.
    pub fn dial(&self, address: SocketAddr) -> bool {
        let is_begun = self.shared.begin_dial(address);
        if !is_begun {
            self.shared.meter.totals.dials_refused_count.increment();
        }
        is_begun
    }

    /// Adds a frame to the queue of a link.
    ///
    /// A frame for a link that is closed is dropped and counted. A full queue closes the link,
    /// since a peer must not miss a single frame of a session.
    pub fn send(&self, link: LinkNumber, frame: Frame) {
        let has_room = match self.shared.connections().get(&link) {
            Some(connection) => connection.try_send(frame),
            None => return self.shared.meter.totals.frames_unlinked_count.increment(),
        };
        if !has_room {
            self.shared.meter.totals.queues_overflowed_count.increment();
            self.close(link);
        }
    }

    /// Closes a link at once; frames that wait in its queue are dropped and `Closed` follows.
    pub fn close(&self, link: LinkNumber) {
        if let Some(connection) = self.shared.connections().remove(&link) {
            connection.shut_down();
        }
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> LinkCounts {
        self.shared.meter.totals.snapshot()
    }

    /// Returns the counts so far of messages of one kind.
    pub fn kind_counts(&self, kind: MessageKind) -> KindCounts {
        self.shared.meter.kind(kind).snapshot()
    }

    /// Closes all links and accepts no more.
    pub fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // Shutting a listening socket down wakes the thread that waits in accept.
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
    /// Locks the connections; no code that holds the lock leaves them half changed.
    fn connections(&self) -> MutexGuard<'_, HashMap<LinkNumber, Connection>> {
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
                .and_then(|(stream, address)| self.take_in(stream, address))
                .is_err()
            {
                self.meter.totals.accepts_failed_count.increment();
                thread::sleep(ACCEPT_FAILURE_PAUSE);
            }
        }
    }

    fn take_in(self: &Arc<Self>, stream: TcpStream, address: SocketAddr) -> io::Result<()> {
        let Some(place) = self.inbound.take() else {
            self.meter.totals.connections_refused_count.increment();
            return Ok(());
        };
        self.open(stream, address, None, Some(place))
    }

    fn begin_dial(self: &Arc<Self>, address: SocketAddr) -> bool {
        let Some(place) = self.dials.take() else {
            return false;
        };
        let dialler = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name("link-dialler".into())
            .spawn(move || dialler.connect(address, place));
        spawned.is_ok()
    }

    fn connect(self: &Arc<Self>, address: SocketAddr, _place: Place) {
        let connected = TcpStream::connect_timeout(&address, self.settings.connect_timeout)
            .and_then(|stream| self.open(stream, address, Some(address), None));
        if connected.is_err() {
            self.meter.totals.dials_failed_count.increment();
            (self.on_event)(LinkEvent::DialFailed { address });
        }
    }

    /// Starts the reader and the writer of a connection; only on success do events follow.
    fn open(
        self: &Arc<Self>,
        stream: TcpStream,
        address: SocketAddr,
        dialled: Option<SocketAddr>,
        place: Option<Place>,
    ) -> io::Result<()> {
        connection::set_up(&stream, &self.settings)?;
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
            .spawn(move || reader.run_reader(link, &stream, opened, place));
        if spawned.is_err() {
            self.drop_connection(link);
        }
        spawned.map(|_| ())
    }

    fn start_writer(self: &Arc<Self>, link: LinkNumber, stream: &TcpStream) -> io::Result<()> {
        // A bounded channel would allocate all its places at once, for each connection.
        let (queue, waiting) = channel::unbounded();
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
                connection::write_all(&stream, &waiting, &writer.meter);
                writer.drop_connection(link);
                // A writer that failed ends the reader too.
                let _ = stream.shutdown(Shutdown::Both);
            })?;
        self.connections().insert(link, connection);
        Ok(())
    }

    fn run_reader(
        &self,
        link: LinkNumber,
        stream: &TcpStream,
        opened: LinkEvent,
        place: Option<Place>,
    ) {
        self.meter.totals.connections_opened_count.increment();
        (self.on_event)(opened);
        // A connection that was made while the links were being stopped has escaped the closing.
        if !self.is_stopped() {
            connection::read_all(stream, &self.meter, |frame| {
                (self.on_event)(LinkEvent::Frame { link, frame });
            });
        }
        self.drop_connection(link);
        drop(place);
        (self.on_event)(LinkEvent::Closed { link });
    }

    fn drop_connection(&self, link: LinkNumber) {
        if let Some(connection) = self.connections().remove(&link) {
            connection.shut_down();
        }
    }
}
