//! The proxy for TCP.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::connection::{Connection, ConnectionState};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Forwards TCP connections between two loopback addresses until it is dropped.
#[derive(Debug)]
pub struct StreamProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    is_stopping: AtomicBool,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    is_cut: bool,
    delay: Duration,
    connections: Vec<Arc<Connection>>,
}

impl StreamProxy {
    /// Listens on `listen` and forwards each connection to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            is_stopping: AtomicBool::new(false),
            inner: Mutex::new(Inner {
                is_cut: false,
                delay: Duration::ZERO,
                connections: Vec::new(),
            }),
        });
        let accepting = Arc::clone(&shared);
        let acceptor = thread::spawn(move || accept_all(&listener, &accepting));
        Ok(Self {
            address,
            shared,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets everything pass without delay, also what was held back.
    pub fn pass(&self) {
        self.delay(Duration::ZERO);
    }

    /// Lets everything pass after `delay`, also what was held back.
    pub fn delay(&self, delay: Duration) {
        let mut inner = self.shared.lock();
        inner.is_cut = false;
        inner.delay = delay;
        inner.set_states(ConnectionState::Passing(delay));
    }

    /// Closes all connections, and new ones at once, until [`Self::pass`] or [`Self::delay`].
    pub fn cut(&self) {
        let mut inner = self.shared.lock();
        inner.is_cut = true;
        inner.close_all();
    }

    /// Swallows for good what comes over the present connections; new ones work.
    ///
    /// Neither end learns that the other closes.
    pub fn silence(&self) {
        self.shared.lock().set_states(ConnectionState::Silent);
    }

    /// Swallows for good what clients send over the present connections; answers pass, and new
    /// connections work.
    pub fn silence_one_way(&self) {
        self.shared.lock().set_states(ConnectionState::OneWay);
    }

    /// Holds back what comes over the present connections until [`Self::pass`] or
    /// [`Self::delay`]; new ones work.
    pub fn hold(&self) {
        self.shared.lock().set_states(ConnectionState::Held);
    }

    /// Returns how many connections the proxy has accepted and not closed.
    pub fn connection_count(&self) -> usize {
        let inner = self.shared.lock();
        inner
            .connections
            .iter()
            .filter(|connection| connection.state() != ConnectionState::Closed)
            .count()
    }
}

impl Drop for StreamProxy {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Release);
        // A connection of its own wakes the acceptor.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
        if let Some(acceptor) = self.acceptor.take() {
            // An acceptor that panicked has said so already.
            let _ = acceptor.join();
        }
        self.shared.lock().close_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    fn accept(&self, client: TcpStream) {
        if self.lock().is_cut {
            return;
        }
        let Ok(server) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else {
            return;
        };
        let mut inner = self.lock();
        // The proxy may have been cut while it connected.
        if !inner.is_cut {
            let connection = Connection::start(client, server, inner.delay);
            inner.connections.push(connection);
        }
    }
}

impl Inner {
    fn set_states(&self, state: ConnectionState) {
        for connection in &self.connections {
            connection.set_state(state);
        }
    }

    fn close_all(&mut self) {
        for connection in self.connections.drain(..) {
            connection.close();
        }
    }
}

fn accept_all(listener: &TcpListener, shared: &Shared) {
    for client in listener.incoming() {
        if shared.is_stopping.load(Ordering::Acquire) {
            return;
        }
        if let Ok(client) = client {
            shared.accept(client);
        }
    }
}
