//! The entry process: threads, event loop and metrics.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use hyper::StatusCode;
use knapweedrill::dispatch::configuration::Configuration;
use knapweedrill::dispatch::entry::{
    Answer, CallerId, CancelAnswer, Entry, EntryAction, EntrySettings, EvacuationUpdate, Pause,
    Source,
};
use knapweedrill::dispatch::{JobName, Packet, SidecarRecord};
use knapweedrill_platform::{
    CONFIGURATION_KEY, CallerRequest, CallerResponse, OPERATOR_TOPIC, Page, PageKind,
    ProcessSettings, Record, StoreClient, caller_response, evacuation_update, parse_configuration,
};
use knapweedrill_wire::PacketSocket;
use tokio::sync::oneshot;

use super::client_limits::{BudgetLimits, ClientGate, PortKind};
use super::entry_http::{CallerService, PendingRequest, PublishedState};
use super::http::{json_response, serve, serve_connections, serve_metrics};
use super::metrics::{GAUGE_UPDATE_INTERVAL, Metrics};
use super::process::{
    EVENT_BATCH_COUNT_MAX, IDLE_TICK_INTERVAL, Process, TICK_INTERVAL, event_timeout,
    spawn_traffic_thread,
};
use super::process_clock::ProcessClock;
use super::store::{
    ENTRIES_TOPIC, ReadTiming, SIDECARS_TOPIC, follow_topic, parse_entry_address,
    parse_sidecar_record, publish_entry_address,
};
use super::traffic_probe::TrafficProbe;

/// The read timing of the configuration. A dead connection is detected within this wait and the
/// call timeout, well before a new configuration has to be in force.
const CONFIGURATION_READ_TIMING: ReadTiming = ReadTiming {
    wait: Duration::from_millis(800),
    pause: Duration::ZERO,
};

/// The read timing of the addresses of entries and sidecars. They change seldom and are also spread
/// by gossip. Processes that start together are found with two or three calls.
const ADDRESS_READ_TIMING: ReadTiming = ReadTiming {
    wait: Duration::from_secs(8),
    pause: Duration::from_millis(1_200),
};

/// The shortest pause that is reported to the entry. Longer than the event loop ever waits.
const PAUSE_MIN: Duration = Duration::from_millis(250);

/// An event for the event loop of an entry.
pub(super) enum EntryEvent {
    /// A caller sent a request.
    Request(Box<PendingRequest>),
    /// A caller disconnected before its response.
    CallerLeft(CallerId, JobName),
    /// The traffic thread has answered the probe with this number.
    ProbeAnswered(u64),
    /// A datagram arrived.
    Datagram(SocketAddr, Packet),
    /// The store says this about the evacuated failure domains.
    Evacuations(EvacuationUpdate),
    /// The store has this configuration.
    Configuration(Configuration),
    /// The store has the address of the entry on the VM with this name.
    EntryAddress(String, SocketAddr),
    /// The store has the record of a sidecar.
    SidecarRecord(SidecarRecord),
}

/// Runs an entry until it is asked to stop.
pub(super) fn run(process: Process) -> eyre::Result<()> {
    let (sender, events) = channel::unbounded();
    let published = Arc::new(PublishedState::default());
    let service = CallerService::new(sender.clone(), Arc::clone(&published));
    let datagrams = sender.clone();
    let socket = PacketSocket::start(process.address(), move |from, packet| {
        // The event loop has ended if this fails, and needs no datagrams.
        let _ = datagrams.send(EntryEvent::Datagram(from, packet));
    })?;
    let settings = process.settings.clone();
    let address = process.address();
    let clock = process.clock;
    let metrics = Metrics::new()?;
    let traffic_metrics = metrics.clone();
    let (traffic_probe, probe_answers) = TrafficProbe::new(sender.clone(), process.clock.now());
    spawn_traffic_thread(move || async move {
        tokio::spawn(probe_answers);
        run_traffic(settings, address, service, clock, traffic_metrics, sender).await
    })?;
    let mut entry = Entry::new(
        EntrySettings {
            seed: rand::random(),
            remote_run_factor_permille: process.settings.remote_run_factor_permille,
            ..EntrySettings::new(process.run_timing(), process.settings.resubmission_delay)
        },
        process.sessions(),
    );
    for address in process.seeds() {
        entry.add_peer(address, None);
    }
    let mut event_loop = EventLoop {
        own_address: address,
        entry,
        socket,
        published,
        metrics,
        traffic_probe,
        callers: HashMap::new(),
        cancelling_callers: HashMap::new(),
        active_at: process.clock.now(),
        suspended: Duration::ZERO,
    };
    event_loop.run(process, &events);
    refuse_rest(events);
    // The traffic thread sends the last responses meanwhile.
    std::thread::sleep(LAST_RESPONSES_TIME);
    Ok(())
}

/// Refuses the requests that the event loop has not taken. The traffic thread refuses those that follow,
/// as nothing receives its events any more.
fn refuse_rest(events: Receiver<EntryEvent>) {
    for event in events.try_iter() {
        if let EntryEvent::Request(pending) = event {
            // A caller that has disconnected needs no response.
            let _ = pending
                .response_sender
                .send(plain_response(StatusCode::SERVICE_UNAVAILABLE, ""));
        }
    }
}

/// Runs the HTTP servers and clients of an entry on the traffic thread.
async fn run_traffic(
    settings: ProcessSettings,
    address: SocketAddr,
    service: CallerService,
    clock: ProcessClock,
    metrics: Metrics,
    events: Sender<EntryEvent>,
) -> eyre::Result<()> {
    let store = Arc::new(StoreClient::new(settings.store_address));
    tokio::spawn(publish_entry_address(
        Arc::clone(&store),
        settings.name.clone(),
        address,
    ));
    let sender = events.clone();
    let on_entry = move |record: Record| match parse_entry_address(&record) {
        // The event loop has ended if this fails, and needs no events, here and below.
        Some(address) => drop(sender.send(EntryEvent::EntryAddress(record.key, address))),
        None => log::warn!(key = record.key.as_str(); "malformed address of an entry in the store"),
    };
    tokio::spawn(follow_topic(
        Arc::clone(&store),
        ENTRIES_TOPIC,
        ADDRESS_READ_TIMING,
        metrics.clone(),
        move |page: Page| page.records.into_iter().for_each(&on_entry),
    ));
    let sender = events.clone();
    let on_sidecar = move |record: Record| match parse_sidecar_record(&record) {
        Some(sidecar) => drop(sender.send(EntryEvent::SidecarRecord(sidecar))),
        None => log::warn!(key = record.key.as_str(); "malformed record of a sidecar in the store"),
    };
    tokio::spawn(follow_topic(
        Arc::clone(&store),
        SIDECARS_TOPIC,
        ADDRESS_READ_TIMING,
        metrics.clone(),
        move |page: Page| page.records.into_iter().for_each(&on_sidecar),
    ));
    let sender = events.clone();
    let on_operator_record = move |record: Record| {
        if record.key != CONFIGURATION_KEY {
            return;
        }
        match parse_configuration(&record.value) {
            Ok(configuration) => drop(events.send(EntryEvent::Configuration(configuration))),
            Err(error) => {
                log::error!(error:? = error; "configuration rejected, the one in force holds")
            }
        }
    };
    tokio::spawn(follow_topic(
        store,
        OPERATOR_TOPIC,
        CONFIGURATION_READ_TIMING,
        metrics.clone(),
        move |page: Page| {
            // Before the configuration of the page, with which the entry begins to place tasks.
            let is_snapshot = matches!(page.kind, PageKind::Snapshot { .. });
            if is_snapshot || !page.records.is_empty() {
                let _ = sender.send(EntryEvent::Evacuations(evacuation_update(&page)));
            }
            page.records.into_iter().for_each(&on_operator_record);
        },
    ));
    let gate = ClientGate::new(BudgetLimits::for_machine(
        settings.memory_bytes,
        settings.descriptor_count_max,
    ));
    tokio::spawn(gate.clone().watch(metrics.clone()));
    tokio::spawn(serve_metrics(settings.ip, gate.clone(), metrics));
    let readiness = service.clone();
    if let Some(address) = settings.readiness_address {
        tokio::spawn(serve(
            address,
            PortKind::Other,
            gate.clone(),
            move |_, request| std::future::ready(readiness.readiness(&request)),
        ));
    }
    if let Some(address) = settings.registration_address {
        // The platform lists this VM among the seeds of others only if the address is served.
        tokio::spawn(serve(address, PortKind::Other, gate.clone(), |_, _| {
            std::future::ready(json_response(StatusCode::NOT_FOUND, String::new()))
        }));
    }
    let callers_address = settings.callers_address.ok_or_else(|| {
        eyre::eyre!("the settings have no address for callers (Listen.Front), which an entry needs")
    })?;
    let accept = move || service.on_connection(clock.now());
    serve_connections(callers_address, PortKind::Traffic, gate, accept).await
}

/// A caller that waits for the outcome of its job.
struct WaitingCaller {
    response_sender: oneshot::Sender<CallerResponse>,
    received_at: Instant,
}

/// The state of the process and its event loop.
struct EventLoop {
    own_address: SocketAddr,
    entry: Entry,
    socket: PacketSocket,
    published: Arc<PublishedState>,
    metrics: Metrics,
    traffic_probe: TrafficProbe,
    callers: HashMap<CallerId, WaitingCaller>,
    /// The callers that wait for the answer to a cancel.
    cancelling_callers: HashMap<CallerId, oneshot::Sender<CallerResponse>>,
    /// When the event loop last read the time; much older after a pause of the process.
    active_at: Instant,
    /// For how long the VM had been suspended by the last pause.
    suspended: Duration,
}

impl EventLoop {
    fn run(&mut self, mut process: Process, events: &Receiver<EntryEvent>) {
        let clock = process.clock;
        let mut next_tick = clock.now();
        let mut next_gauge_update = next_tick;
        loop {
            let timeout = event_timeout(next_tick, self.entry.next_session_due(), clock.now());
            match events.recv_timeout(timeout) {
                Ok(event) => {
                    let now = self.observe_time(clock);
                    // The event may end an idle phase, in which ticks are rare.
                    next_tick = next_tick.min(now + TICK_INTERVAL);
                    self.handle(event, now);
                    for event in events.try_iter().take(EVENT_BATCH_COUNT_MAX) {
                        let now = self.observe_time(clock);
                        self.handle(event, now);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.observe_time(clock);
            if now >= next_tick {
                self.entry.tick(now);
                let is_idle = self.entry.job_count() == 0;
                next_tick = now
                    + if is_idle {
                        IDLE_TICK_INTERVAL
                    } else {
                        TICK_INTERVAL
                    };
                for address in process.reload_settings(now) {
                    self.entry.add_peer(address, None);
                }
            }
            if now >= next_gauge_update {
                next_gauge_update = now + GAUGE_UPDATE_INTERVAL;
                self.update_gauges(now);
            }
            let callers_known_at = self.traffic_probe.poll(self.entry.job_count() > 0, now);
            self.entry.set_callers_known_at(callers_known_at, now);
            self.entry.place_waiting(now);
            self.flush(now);
            if process.signals.take_stop_request(now) {
                self.entry.begin_drain();
            }
            if process.signals.should_close_connections(now) {
                self.published
                    .closes_connections
                    .store(true, Ordering::Relaxed);
            }
            let has_callers = self.entry.job_count() > 0 || !self.cancelling_callers.is_empty();
            if process.signals.should_exit(has_callers, now) {
                self.entry.end_all_jobs(now);
                self.flush(now);
                // Whether these cancels are known everywhere is not known, which their callers are told.
                self.cancelling_callers.clear();
                log::info!("process stopped");
                return;
            }
        }
    }

    /// Returns the current time, after it has told the entry of a pause of this process.
    fn observe_time(&mut self, clock: ProcessClock) -> Instant {
        let now = clock.now();
        let duration = now.saturating_duration_since(self.active_at);
        self.active_at = now;
        if duration > PAUSE_MIN {
            let suspended_before = std::mem::replace(&mut self.suspended, clock.suspended());
            let pause = Pause {
                duration,
                suspended: self.suspended.saturating_sub(suspended_before),
            };
            self.entry.handle_pause(pause, now);
        }
        now
    }

    fn handle(&mut self, event: EntryEvent, now: Instant) {
        match event {
            EntryEvent::Request(request) => self.handle_request(*request, now),
            EntryEvent::CallerLeft(caller, job) => {
                self.callers.remove(&caller);
                self.entry.caller_left(caller, job, now);
            }
            EntryEvent::ProbeAnswered(probe) => self.traffic_probe.record_answer(probe, now),
            EntryEvent::Datagram(from, packet) => self.entry.receive(from, packet, now),
            EntryEvent::Evacuations(update) => self.entry.update_evacuations(update, now),
            EntryEvent::Configuration(configuration) => {
                self.entry.configure(configuration, "store", now)
            }
            EntryEvent::EntryAddress(name, address) => {
                if address != self.own_address {
                    self.entry.add_peer(address, Some(name));
                }
            }
            EntryEvent::SidecarRecord(record) => self.entry.add_sidecar(record, Source::First),
        }
    }

    fn handle_request(&mut self, pending: PendingRequest, now: Instant) {
        let response = match pending.request {
            CallerRequest::Submit(submission) => {
                let waiting = WaitingCaller {
                    response_sender: pending.response_sender,
                    received_at: now,
                };
                self.callers.insert(pending.caller, waiting);
                let (connection, name) = (&pending.connection, submission.name);
                if self
                    .entry
                    .refuse_paused(pending.caller, name, connection.accepted_at, now)
                {
                    // A caller that is still there connects again, and is served then.
                    connection.close();
                    return;
                }
                self.entry.submit(pending.caller, submission, now);
                return;
            }
            CallerRequest::Status(job) if self.entry.is_live(job) => {
                plain_response(StatusCode::OK, "{\"State\":\"running\"}")
            }
            CallerRequest::Cancel(job) => {
                self.cancelling_callers
                    .insert(pending.caller, pending.response_sender);
                self.entry.cancel(pending.caller, job, now);
                return;
            }
            CallerRequest::Status(_) => plain_response(StatusCode::GONE, ""),
            CallerRequest::QueueLength => {
                match self.entry.queue_length(&pending.host, &pending.path) {
                    Some(Some(count)) => {
                        plain_response(StatusCode::OK, &format!("{{\"Waiting\":{count}}}"))
                    }
                    Some(None) => plain_response(StatusCode::NOT_FOUND, ""),
                    None => plain_response(StatusCode::SERVICE_UNAVAILABLE, ""),
                }
            }
            CallerRequest::Malformed(problem) => {
                log::info!(path = pending.path.as_str(), problem; "malformed request");
                match self.entry.queue_length(&pending.host, &pending.path) {
                    Some(Some(_)) => plain_response(StatusCode::BAD_REQUEST, ""),
                    Some(None) => plain_response(StatusCode::NOT_FOUND, ""),
                    None => plain_response(StatusCode::SERVICE_UNAVAILABLE, ""),
                }
            }
        };
        // A caller that has disconnected needs no response.
        let _ = pending.response_sender.send(response);
    }

    /// Carries out the actions of the entry, sends datagrams and publishes readiness and limits.
    fn flush(&mut self, now: Instant) {
        for action in self.entry.take_actions() {
            match action {
                EntryAction::Answer {
                    caller,
                    answer,
                    queue,
                } => self.respond(caller, answer, &queue, now),
                EntryAction::AnswerCancel { caller, answer } => {
                    self.respond_to_cancel(caller, answer);
                }
                EntryAction::Count(outcome) => self.metrics.count_placement(outcome),
            }
        }
        for (to, packet) in self.entry.poll(now) {
            self.socket.send(to, &packet);
        }
        let is_ready = self.entry.is_ready();
        if self.published.is_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            log::info!(
                is_ready, version = self.entry.version(),
                minions = self.entry.usable_minion_count(); "readiness changed"
            );
        }
        let body_bytes_max = self.entry.body_bytes_max().unwrap_or(0);
        self.published
            .body_bytes_max
            .store(body_bytes_max, Ordering::Relaxed);
    }

    fn respond(&mut self, caller: CallerId, answer: Answer, queue: &str, now: Instant) {
        let Some(waiting) = self.callers.remove(&caller) else {
            return;
        };
        let response_time = now.saturating_duration_since(waiting.received_at);
        self.metrics.count_answer(queue, answer, response_time);
        // A caller that has disconnected needs no response.
        let _ = waiting.response_sender.send(caller_response(answer));
    }

    fn respond_to_cancel(&mut self, caller: CallerId, answer: CancelAnswer) {
        let Some(response_sender) = self.cancelling_callers.remove(&caller) else {
            return;
        };
        let status = match answer {
            CancelAnswer::Stopped => StatusCode::OK,
            CancelAnswer::NoSuchJob => StatusCode::GONE,
            CancelAnswer::Unconfirmed => StatusCode::ACCEPTED,
        };
        // A caller that has disconnected needs no response.
        let _ = response_sender.send(plain_response(status, ""));
    }

    /// Updates the gauges.
    fn update_gauges(&mut self, now: Instant) {
        let traffic_lag = self.traffic_probe.take_lag_max();
        self.metrics
            .update_sent_messages(self.entry.sent_messages());
        self.metrics
            .update_rack_waits(self.entry.rack_wait_counts());
        let queued_message_count = self.entry.queued_message_count();
        if queued_message_count >= LOGGED_QUEUED_MESSAGE_COUNT_MIN {
            log::warn!(
                messages = queued_message_count, sessions = self.entry.session_count(),
                stop_pending_ms = self.entry.stop_pending_for(now).as_millis() as u64;
                "many messages without an acknowledgement"
            );
        }
        let link_wait = self.entry.link_wait(now);
        if link_wait >= LOGGED_LINK_WAIT_MIN {
            log::warn!(
                link_wait_ms = link_wait.as_millis() as u64, jobs = self.entry.waiting_count();
                "start orders wait for the link"
            );
        }
        let configured_at = self.entry.configured_at();
        let age = configured_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let gauges = [
            ("configuration_age_seconds", age.as_secs()),
            ("configuration_version", self.entry.version()),
            ("jobs", self.entry.job_count() as u64),
            ("waiting_jobs", self.entry.waiting_count() as u64),
            ("usable_minions", self.entry.usable_minion_count() as u64),
            ("known_sidecars", self.entry.directory().len() as u64),
            ("sessions", self.entry.session_count() as u64),
            (
                "stop_pending_ms",
                self.entry.stop_pending_for(now).as_millis() as u64,
            ),
            ("queued_messages", queued_message_count as u64),
            ("link_wait_ms", link_wait.as_millis() as u64),
            (
                "evacuated_domains",
                self.entry.evacuations().domains().count() as u64,
            ),
            (
                "evacuation_age_seconds",
                self.entry.evacuations().age(now).as_secs(),
            ),
            ("evacuation_revision", self.entry.evacuations().revision()),
            ("ready", u64::from(self.entry.is_ready())),
            ("traffic_lag_ms", traffic_lag.as_millis() as u64),
        ];
        for (name, value) in gauges {
            self.metrics.set_gauge(name, value);
        }
    }
}

/// The number of messages without an acknowledgement from which on it is logged.
const LOGGED_QUEUED_MESSAGE_COUNT_MIN: usize = 1_000;

/// The time that orders of waiting tasks wait for the link from which on it is logged.
const LOGGED_LINK_WAIT_MIN: Duration = Duration::from_millis(50);

/// How long a stopping process waits until the last responses are sent.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(150);

fn plain_response(status: StatusCode, body: &str) -> CallerResponse {
    CallerResponse {
        status,
        retry_after_s: None,
        body: body.to_owned(),
    }
}
