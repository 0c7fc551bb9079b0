//! The server.

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

use super::intake::Intake;
use super::watchdog::{self, Notice};
use super::{HttpLimits, HttpRequest, listener};
use crate::telemetry::{Counter, Metrics};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long no request comes before the last connections count as quiet.
const CLOSING_QUIET_TIME: Duration = Duration::from_millis(100);

/// How long the last connections are served at the most.
const CLOSING_TIME: Duration = Duration::from_millis(500);

/// The HTTP interface of a process.
///
/// `GET /healthz` is answered by the server itself, everything else by the handler.
pub struct HttpServer {
    address: SocketAddr,
    /// The listener, for the end.
    closing: TcpListener,
    intake: Arc<Intake>,
    shared: Arc<Shared>,
    notices: Sender<Notice>,
    watchdog: JoinHandle<()>,
    receivers: WaitGroup,
}

/// What the threads of the server share.
struct Shared {
    /// Rises when the accept loop is replaced.
    epoch: AtomicU64,
    is_closed: AtomicBool,
}

/// What is needed to start an accept loop.
struct AcceptLoop {
    listener: TcpListener,
    intake: Arc<Intake>,
    shared: Arc<Shared>,
    notices: Sender<Notice>,
    quiet_time: Duration,
    receivers: WaitGroup,
}

impl HttpServer {
    /// Serves requests that arrive at a listener.
    ///
    /// The handler is called from many threads, and should not block for long.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener refuses an option or a thread cannot be started.
    pub fn start(
        socket: TcpListener,
        limits: HttpLimits,
        metrics: Arc<Metrics>,
        handler: impl Fn(HttpRequest) + Send + Sync + 'static,
    ) -> Result<Self> {
        let address = socket
            .local_addr()
            .wrap_err("the HTTP listener has no address")?;
        listener::set_options(&socket, limits.idle_timeout)?;
        let closing = socket
            .try_clone()
            .wrap_err("cannot share the HTTP listener")?;
        let quiet_time = limits.idle_timeout * 2;
        let intake = Arc::new(Intake::new(limits, Arc::clone(&metrics), handler));
        let shared = Arc::new(Shared {
            epoch: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
        });
        let (notices, noticed) = unbounded();
        let receivers = WaitGroup::new();
        let accept_loop = AcceptLoop {
            listener: socket,
            intake: Arc::clone(&intake),
            shared: Arc::clone(&shared),
            notices: notices.clone(),
            quiet_time,
            receivers: receivers.clone(),
        };
        accept_loop.start()?;
        let watchdog = thread::Builder::new()
            .name("http-watchdog".to_owned())
            .spawn(move || {
                watchdog::watch(address, &noticed, || accept_loop.replace(&metrics));
            })
            .wrap_err("cannot start the watchdog of the HTTP interface")?;
        Ok(Self {
            address,
            closing,
            intake,
            shared,
            notices,
            watchdog,
            receivers,
        })
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many requests have no answer yet.
    pub fn in_flight_count(&self) -> usize {
        self.intake.in_flight_count()
    }

    /// Returns how many requests have reached the handler, or will, and have no answer yet.
    pub fn accepted_count(&self) -> usize {
        self.intake.accepted_count()
    }

    /// Refuses new requests from now on; those in flight go on.
    pub fn refuse_requests(&self) {
        self.intake.stop();
    }

    /// Refuses new requests and lets those in flight end, for `grace` at most; then closes.
    ///
    /// Returns how many requests were still without an answer.
    pub fn stop(self, grace: Duration) -> usize {
        self.intake.stop();
        let deadline = Instant::now() + grace;
        while self.intake.in_flight_count() > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let left_count = self.intake.in_flight_count();
        self.shared.is_closed.store(true, Ordering::Release);
        // No connection is accepted any more, so that those accepted can all be answered. A socket
        // that listens no longer has nothing to shut down.
        let _ = SockRef::from(&self.closing).shutdown(Shutdown::Both);
        // Without a watchdog there is nobody to tell.
        let _ = self.notices.send(Notice::Closing);
        // A panic of the watchdog has been reported by its own hook.
        let _ = self.watchdog.join();
        self.receivers.wait();
        left_count
    }
}

impl AcceptLoop {
    /// Starts an accept loop on the listener, and a thread that takes its requests.
    fn start(&self) -> Result<()> {
        let listener = self
            .listener
            .try_clone()
            .wrap_err("cannot share the HTTP listener")?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| eyre!("cannot start the HTTP accept loop: {error}"))?;
        let receiving = Receiving {
            server,
            epoch: self.shared.epoch.fetch_add(1, Ordering::AcqRel) + 1,
            intake: Arc::clone(&self.intake),
            shared: Arc::clone(&self.shared),
            notices: self.notices.clone(),
            quiet_time: self.quiet_time,
            _running: self.receivers.clone(),
        };
        thread::Builder::new()
            .name("http-intake".to_owned())
            .spawn(move || receiving.run())
            .wrap_err("cannot start the thread that takes HTTP requests")?;
        Ok(())
    }

    /// Replaces the accept loop.
    fn replace(&self, metrics: &Metrics) {
        metrics.add(Counter::HttpRestarts, 1);
        match self.start() {
            Ok(()) => log::warn!("the HTTP accept loop was replaced"),
            Err(error) => {
                log::error!(error:% = error; "the HTTP accept loop cannot be replaced");
            }
        }
    }
}

/// Takes the requests of one accept loop.
struct Receiving {
    server: Server,
    epoch: u64,
    intake: Arc<Intake>,
    shared: Arc<Shared>,
    notices: Sender<Notice>,
    quiet_time: Duration,
    /// Tells [`HttpServer::stop`] that the thread has not ended.
    _running: WaitGroup,
}

impl Receiving {
    /// Takes requests until the server closes, or until the loop has been replaced and its
    /// connections have gone quiet.
    fn run(self) {
        let mut last_request = Instant::now();
        while !self.shared.is_closed.load(Ordering::Acquire) {
            match self.server.recv_timeout(POLL_INTERVAL) {
                Ok(Some(request)) => {
                    last_request = Instant::now();
                    self.intake.take(request);
                }
                Ok(None) if self.is_replaced() && last_request.elapsed() > self.quiet_time => {
                    return;
                }
                Ok(None) => {}
                // The connections of an accept loop that has ended go on.
                Err(_) => {
                    let _ = self.notices.send(Notice::AcceptEnded);
                }
            }
        }
        self.refuse_rest();
    }

    /// Answers the requests that were read while the server closed, until none has come for a
    /// while.
    fn refuse_rest(&self) {
        let deadline = Instant::now() + CLOSING_TIME;
        let mut last_request = Instant::now();
        while last_request.elapsed() < CLOSING_QUIET_TIME && Instant::now() < deadline {
            match self.server.recv_timeout(DRAIN_POLL_INTERVAL) {
                Ok(Some(request)) => {
                    last_request = Instant::now();
                    self.intake.take(request);
                }
                Ok(None) => {}
                // The accept loop has ended; its connections may have more to say.
                Err(_) => thread::sleep(DRAIN_POLL_INTERVAL),
            }
        }
    }

    fn is_replaced(&self) -> bool {
        self.shared.epoch.load(Ordering::Acquire) > self.epoch
    }
}
