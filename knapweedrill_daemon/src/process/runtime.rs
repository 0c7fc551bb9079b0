//! The threads, sockets and shared state that processes of both roles have.

use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};
use eyre::WrapErr;
use knapweedrill::common::Incarnation;
use knapweedrill::event::EventKind;
use knapweedrill::link::{Identity, LinkTable, SessionSettings};
use knapweedrill::membership::MembershipSettings;
use knapweedrill::message::{PeerAddress, Role};
use knapweedrill_wire::{DatagramSocket, LinkSettings, Links};

use super::signals;
use crate::control::{ApiRouter, ControlEvent, Peers, PublishedState};
use crate::http::{self, HttpLimits, HttpServer};
use crate::settings::{RoleSettings, Settings};
use crate::telemetry::{self, Metrics, StatsdFlusher, Timeline};

/// Time for the last HTTP responses, which refuse late requests, to reach their callers.
const HTTP_SHUTDOWN_GRACE: Duration = Duration::from_secs(2);

/// Time for queued link messages to be sent before the links close during shutdown.
const LINK_FLUSH_GRACE: Duration = Duration::from_millis(300);

/// The threads, sockets and shared state that processes of both roles have.
pub(super) struct ProcessRuntime {
    pub(super) incarnation: Incarnation,
    pub(super) role: Role,
    pub(super) events: Receiver<ControlEvent>,
    pub(super) event_sender: Sender<ControlEvent>,
    pub(super) published: Arc<PublishedState>,
    pub(super) timeline: Arc<Timeline>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) links: Links,
    pub(super) datagrams: DatagramSocket,
    pub(super) http: HttpServer,
    _statsd: StatsdFlusher,
}

impl ProcessRuntime {
    /// Installs the logger, binds the addresses and starts the threads.
    pub(super) fn start(settings: &Settings) -> eyre::Result<Self> {
        http::raise_descriptor_limit()?;
        telemetry::init_stderr_logs(settings.logging.level, settings.logging.format)?;
        let incarnation: Incarnation = rand::random();
        let role = match settings.role {
            RoleSettings::Entry(_) => Role::Entry,
            RoleSettings::Sidecar(_) => Role::Sidecar,
        };
        let (event_sender, events) = channel::unbounded();
        signals::watch(event_sender.clone())?;
        let timeline = Arc::new(Timeline::new(
            settings.process.name.clone(),
            incarnation,
            settings.limits.event_count as usize,
        ));
        let metrics = Arc::new(Metrics::new());
        let published = Arc::new(PublishedState::new());
        let links = start_links(settings, event_sender.clone())?;
        let datagrams = start_datagrams(settings, event_sender.clone())?;
        let router = ApiRouter::new(role, Arc::clone(&published), Arc::clone(&metrics));
        let http = start_http(settings, Arc::clone(&metrics), router, event_sender.clone())?;
        let statsd = StatsdFlusher::builder(Arc::clone(&metrics))
            .address(settings.statsd_address)
            .process(settings.process.name.clone())
            .role(role_name(role))
            .start()?;
        timeline.record(EventKind::ProcessStarted);
        log::info!(process = settings.process.name.as_str(); "{} process is running", role_name(role));
        Ok(Self {
            incarnation,
            role,
            events,
            event_sender,
            published,
            timeline,
            metrics,
            links,
            datagrams,
            http,
            _statsd: statsd,
        })
    }

    /// Creates the link sessions of the process, none of them open yet.
    pub(super) fn peers(&self, settings: &Settings) -> Peers {
        let identity = Identity {
            incarnation: self.incarnation,
            role: self.role,
            name: settings.process.name.clone(),
        };
        let sessions = SessionSettings::default()
            .ping_interval(settings.timing.ping_interval)
            .silence_timeout(settings.timing.silence_timeout);
        let table = LinkTable::new(identity, sessions, rand::random());
        Peers::new(
            table,
            self.links.clone(),
            Arc::clone(&self.timeline),
            Arc::clone(&self.metrics),
        )
    }

    /// Returns the identity and the advertised addresses of the process.
    pub(super) fn peer_address(&self, settings: &Settings) -> PeerAddress {
        PeerAddress {
            incarnation: self.incarnation,
            name: settings.process.name.clone(),
            role: self.role,
            failure_domain: settings.process.failure_domain.clone(),
            link_address: settings.listen.reachable_link(),
            http_address: settings.listen.reachable_http(),
        }
    }

    /// Sends the remaining messages and HTTP responses, and stops the threads.
    ///
    /// The HTTP server stops last, so that late callers get a response that sends them to another
    /// entry.
    pub(super) fn shut_down(self) {
        // Dropping the calls that the control thread left in the channel answers them.
        drop(self.events);
        std::thread::sleep(LINK_FLUSH_GRACE);
        self.links.stop();
        self.datagrams.stop();
        let unanswered_count = self.http.stop(HTTP_SHUTDOWN_GRACE);
        self.timeline.record(EventKind::StopEnded);
        log::info!(unanswered_count; "graceful shutdown complete");
    }
}

/// Returns the membership settings with the heartbeat period of this process.
pub(super) fn membership_settings(settings: &Settings) -> MembershipSettings {
    MembershipSettings::default().heartbeat_period(settings.timing.heartbeat_period)
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Sidecar => "sidecar",
    }
}

fn start_links(settings: &Settings, events: Sender<ControlEvent>) -> eyre::Result<Links> {
    let address = settings.listen.link;
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("can't listen for links at {address}"))?;
    Links::start(listener, LinkSettings::default(), move |event| {
        // Sending fails only after the control thread has ended; the event is obsolete then.
        let _ = events.send(ControlEvent::Link(event));
    })
}

fn start_datagrams(
    settings: &Settings,
    events: Sender<ControlEvent>,
) -> eyre::Result<DatagramSocket> {
    let address = settings.listen.link;
    let socket = UdpSocket::bind(address)
        .wrap_err_with(|| format!("can't listen for heartbeats at {address}"))?;
    DatagramSocket::start(socket, move |_, datagram| {
        let _ = events.send(ControlEvent::Datagram(datagram));
    })
}

fn start_http(
    settings: &Settings,
    metrics: Arc<Metrics>,
    router: ApiRouter,
    events: Sender<ControlEvent>,
) -> eyre::Result<HttpServer> {
    let address = settings.listen.http;
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("can't listen for HTTP at {address}"))?;
    let body_bytes = usize::try_from(settings.limits.request_bytes).unwrap_or(usize::MAX);
    let limits = HttpLimits::builder()
        .body_bytes(body_bytes)
        .request_count(settings.limits.connection_count as usize)
        .build();
    HttpServer::start(listener, limits, metrics, move |request| {
        if let Some(call) = router.route(request) {
            // If the control thread has ended, the call is dropped, and its responder answers.
            let _ = events.send(ControlEvent::Http(call));
        }
    })
}
