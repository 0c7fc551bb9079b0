//! HTTP server: accept loops, request reception and shutdown.

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, unbounded};
use crossbeam::sync::WaitGroup;
use eyre::{Result, WrapErr as _, eyre};
use socket2::SockRef;
use tiny_http::Server;

use super::admission::Admission;
use super::watchdog::{self, WatchdogEvent};
use super::{HttpLimits, HttpRequest, listener};
use crate::telemetry::{Counter, Metrics};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The time without a request after which the remaining connections count as idle on shutdown.
const CLOSING_IDLE_TIME: Duration = Duration::from_millis(100);

/// Limit of the time for which requests are still rejected on shutdown.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(500);

/// The HTTP server of a process.
///
/// The server itself responds to `/healthz`. Other requests are passed to the handler, unless they
/// are rejected.
pub struct HttpServer {
    address: SocketAddr,
    /// A handle to the listener, which is shut down when the server stops.
    listener_to_close: TcpListener,
    admission: Arc<Admission>,
    shared: Arc<Shared>,
    watchdog_events: Sender<WatchdogEvent>,
    watchdog: JoinHandle<()>,
    running_receivers: WaitGroup,
}

/// State that is shared between the threads of the server.
struct Shared {
    /// Incremented each time an accept loop is started.
    epoch: AtomicU64,
    is_closed: AtomicBool,
}

/// Starts and replaces accept loops.
struct AcceptLoop {
    listener: TcpListener,
    admission: Arc<Admission>,
    shared: Arc<Shared>,
    watchdog_events: Sender<WatchdogEvent>,
    retirement_idle_time: Duration,
    running_receivers: WaitGroup,
}

impl HttpServer {
    /// Starts a server on a listening socket.
    ///
    /// The handler is called concurrently from many threads and should not block for long.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket option cannot be set or a thread cannot be started.
    pub fn start(
        socket: TcpListener,
        limits: HttpLimits,
        metrics: Arc<Metrics>,
        handler: impl Fn(HttpRequest) + Send + Sync + 'static,
    ) -> Result<Self> {
        let address = socket
            .local_addr()
            .wrap_err("cannot read the address of the HTTP listener")?;
        listener::set_options(&socket, limits.idle_timeout)?;
        let listener_to_close = socket
            .try_clone()
            .wrap_err("cannot duplicate the handle of the HTTP listener")?;
        let retirement_idle_time = limits.idle_timeout * 2;
        let admission = Arc::new(Admission::new(limits, Arc::clone(&metrics), handler));
        let shared = Arc::new(Shared {
            epoch: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
        });
        let (watchdog_events, events) = unbounded();
        let running_receivers = WaitGroup::new();
        let accept_loop = AcceptLoop {
            listener: socket,
            admission: Arc::clone(&admission),
            shared: Arc::clone(&shared),
            watchdog_events: watchdog_events.clone(),
            retirement_idle_time,
            running_receivers: running_receivers.clone(),
        };
        accept_loop.start()?;
        let watchdog = thread::Builder::new()
            .name("http-watchdog".to_owned())
            .spawn(move || {
                watchdog::watch(address, &events, || accept_loop.replace(&metrics));
            })
            .wrap_err("cannot start the watchdog of the HTTP interface")?;
        Ok(Self {
            address,
            listener_to_close,
            admission,
            shared,
            watchdog_events,
            watchdog,
            running_receivers,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests without a complete response, including rejected ones.
    pub fn in_flight_count(&self) -> usize {
        self.admission.in_flight_count()
    }

    /// Returns the number of accepted requests without a complete response.
    pub fn accepted_count(&self) -> usize {
        self.admission.accepted_count()
    }

    /// Rejects new requests from now on. Requests in flight are completed.
    pub fn reject_requests(&self) {
        self.admission.stop();
    }

    /// Rejects new requests, waits up to `grace` for those in flight, and closes the server.
    ///
    /// Returns the number of requests that were still in flight after the wait.
    pub fn stop(self, grace: Duration) -> usize {
        self.admission.stop();
        let deadline = Instant::now() + grace;
        while self.admission.in_flight_count() > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let unanswered_count = self.admission.in_flight_count();
        self.shared.is_closed.store(true, Ordering::Release);
        // Stops accepting connections, so that requests on all accepted ones get a response. Fails
        // only if the socket is not listening any more.
        let _ = SockRef::from(&self.listener_to_close).shutdown(Shutdown::Both);
        // Fails only if the watchdog has ended.
        let _ = self.watchdog_events.send(WatchdogEvent::ServerClosing);
        // The panic hook has reported a panic of the watchdog.
        let _ = self.watchdog.join();
        self.running_receivers.wait();
        unanswered_count
    }
}

impl AcceptLoop {
    /// Starts an accept loop on the listener, and a thread that receives its requests.
    fn start(&self) -> Result<()> {
        let listener = self
            .listener
            .try_clone()
            .wrap_err("cannot duplicate the handle of the HTTP listener")?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| eyre!("cannot start the HTTP accept loop: {error}"))?;
        let receiver = RequestReceiver {
            server,
            epoch: self.shared.epoch.fetch_add(1, Ordering::AcqRel) + 1,
            admission: Arc::clone(&self.admission),
            shared: Arc::clone(&self.shared),
            watchdog_events: self.watchdog_events.clone(),
            retirement_idle_time: self.retirement_idle_time,
            _running: self.running_receivers.clone(),
        };
        thread::Builder::new()
            .name("http-intake".to_owned())
            .spawn(move || receiver.run())
            .wrap_err("cannot start the thread that receives HTTP requests")?;
        Ok(())
    }

    /// Replaces the accept loop.
    fn replace(&self, metrics: &Metrics) {
        metrics.add(Counter::HttpRestarts, 1);
        match self.start() {
            Ok(()) => log::warn!("HTTP accept loop replaced"),
            Err(error) => {
                log::error!(error:% = error; "cannot replace the HTTP accept loop");
            }
        }
    }
}

/// Receives the requests of one accept loop.
struct RequestReceiver {
    server: Server,
    epoch: u64,
    admission: Arc<Admission>,
    shared: Arc<Shared>,
    watchdog_events: Sender<WatchdogEvent>,
    retirement_idle_time: Duration,
    /// Lets [`HttpServer::stop`] wait for the end of the thread.
    _running: WaitGroup,
}

impl RequestReceiver {
    /// Receives requests until the server closes, or until the accept loop has been replaced and
    /// its connections are idle.
    fn run(self) {
        let mut last_request_at = Instant::now();
        while !self.shared.is_closed.load(Ordering::Acquire) {
            match self.server.recv_timeout(POLL_INTERVAL) {
                Ok(Some(request)) => {
                    last_request_at = Instant::now();
                    self.admission.admit(request);
                }
                Ok(None)
                    if self.is_replaced()
                        && last_request_at.elapsed() > self.retirement_idle_time =>
                {
                    return;
                }
                Ok(None) => {}
                // Existing connections are served after the end of the accept loop.
                Err(_) => {
                    let _ = self.watchdog_events.send(WatchdogEvent::AcceptLoopEnded);
                }
            }
        }
        self.reject_remaining();
    }

    /// Rejects the requests that arrive during shutdown, until the connections are idle.
    fn reject_remaining(&self) {
        let deadline = Instant::now() + CLOSING_TIMEOUT;
        let mut last_request_at = Instant::now();
        while last_request_at.elapsed() < CLOSING_IDLE_TIME && Instant::now() < deadline {
            match self.server.recv_timeout(DRAIN_POLL_INTERVAL) {
                Ok(Some(request)) => {
                    last_request_at = Instant::now();
                    self.admission.admit(request);
                }
                Ok(None) => {}
                // The accept loop has ended, but its connections may send further requests.
                Err(_) => thread::sleep(DRAIN_POLL_INTERVAL),
            }
        }
    }

    fn is_replaced(&self) -> bool {
        self.shared.epoch.load(Ordering::Acquire) > self.epoch
    }
}
