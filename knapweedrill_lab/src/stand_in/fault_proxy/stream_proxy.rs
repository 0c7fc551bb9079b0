//! The fault-injecting proxy for TCP.

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
    is_disconnected: bool,
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
                is_disconnected: false,
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

    /// Forwards without delay from now on, including bytes that were kept back.
    pub fn restore(&self) {
        self.set_delay(Duration::ZERO);
    }

    /// Forwards after `delay` from now on, including bytes that were kept back.
    pub fn set_delay(&self, delay: Duration) {
        let mut inner = self.shared.lock();
        inner.is_disconnected = false;
        inner.delay = delay;
        inner.set_states(ConnectionState::Forwarding(delay));
    }

    /// Closes all connections, and new ones on accept, until [`Self::restore`] or
    /// [`Self::set_delay`].
    pub fn disconnect(&self) {
        let mut inner = self.shared.lock();
        inner.is_disconnected = true;
        inner.close_all();
    }

    /// Permanently discards all bytes on the connections that are open now; new ones work.
    ///
    /// A close of one end is not propagated to the other.
    pub fn blackhole(&self) {
        self.shared.lock().set_states(ConnectionState::BlackHole);
    }

    /// Permanently discards the bytes from clients on the connections that are open now; responses
    /// are forwarded, and new connections work.
    pub fn blackhole_requests(&self) {
        self.shared
            .lock()
            .set_states(ConnectionState::RequestBlackHole);
    }

    /// Keeps back all bytes on the connections that are open now until [`Self::restore`] or
    /// [`Self::set_delay`]; new ones work.
    pub fn pause(&self) {
        self.shared.lock().set_states(ConnectionState::Paused);
    }

    /// Returns the number of connections that the proxy has accepted and not closed.
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
        // Connects to itself to unblock the acceptor.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
        if let Some(acceptor) = self.acceptor.take() {
            // The panic hook has already reported an acceptor that panicked.
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
        if self.lock().is_disconnected {
            return;
        }
        let Ok(server) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else {
            return;
        };
        let mut inner = self.lock();
        // `disconnect` may have been called in the meantime.
        if !inner.is_disconnected {
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
