//! The process of an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use hyper::StatusCode;
use knapweedrill::dispatch::configuration::Configuration;
use knapweedrill::dispatch::entry::{Answer, CallerId, Entry, EntryAction, EntrySettings, Source};
use knapweedrill::dispatch::{JobName, Packet, SidecarRecord};
use knapweedrill_platform::{
    CONFIGURATION_KEY, CallerRequest, CallerResponse, OPERATOR_TOPIC, ProcessSettings, Record,
    StoreClient, caller_response, parse_configuration,
};
use knapweedrill_wire::PacketSocket;
use tokio::sync::oneshot;

use super::common::{BATCH_EVENT_COUNT, IDLE_TICK, Process, TICK, start_traffic, wait_for_events};
use super::entry_http::{Call, Gate, Published};
use super::http::{response, serve, serve_metrics};
use super::metrics::{LEVELS_EVERY, Metrics};
use super::store::{
    ENTRIES_TOPIC, ReadPace, SIDECARS_TOPIC, follow, read_address, read_place, tell_address,
};

/// How the configuration is read. A channel that has fallen silent is noticed within the wait and that of
/// a call, well before a change has to be in force.
const CONFIGURATION_PACE: ReadPace = ReadPace {
    wait: Duration::from_millis(800),
    pause: Duration::ZERO,
};

/// How addresses of entries and sidecars are read, which change seldom and are told by others too. All
/// processes that start together are found with two or three calls.
const ADDRESSES_PACE: ReadPace = ReadPace {
    wait: Duration::from_secs(8),
    pause: Duration::from_millis(1_200),
};

/// What happens to an entry.
pub(super) enum EntryEvent {
    /// A caller asks for something.
    Call(Box<Call>),
    /// A caller has left before its answer.
    CallerLeft(CallerId, JobName),
    /// A datagram came.
    Datagram(SocketAddr, Packet),
    /// The store has a configuration.
    Configuration(Configuration),
    /// The store names an entry, by the name of its VM.
    Address(String, SocketAddr),
    /// The store names a sidecar.
    Place(SidecarRecord),
}

/// Runs an entry until it is told to stop.
pub(super) fn run(process: Process) -> eyre::Result<()> {
    let (sender, events) = channel::unbounded();
    let published = Arc::new(Published::default());
    let gate = Gate::new(sender.clone(), Arc::clone(&published));
    let datagrams = sender.clone();
    let socket = PacketSocket::start(process.address(), move |from, packet| {
        // After the end of the state nobody needs the datagram.
        let _ = datagrams.send(EntryEvent::Datagram(from, packet));
    })?;
    let settings = process.settings.clone();
    let address = process.address();
    let metrics = Metrics::new()?;
    let served = metrics.clone();
    start_traffic(move || traffic(settings, address, gate, served, sender))?;
    let mut entry = Entry::new(
        EntrySettings {
            seed: rand::random(),
            ..EntrySettings::new(process.run_timing(), process.settings.resubmission_delay)
        },
        process.sessions(),
    );
    for address in process.seeds() {
        entry.add_peer(address, None);
    }
    let control = Control {
        own_address: address,
        entry,
        socket,
        published,
        metrics,
        callers: HashMap::new(),
    };
    control.run(process, &events);
    Ok(())
}

async fn traffic(
    settings: ProcessSettings,
    address: SocketAddr,
    gate: Gate,
    metrics: Metrics,
    events: Sender<EntryEvent>,
) -> eyre::Result<()> {
    let store = Arc::new(StoreClient::new(settings.store_address));
    tokio::spawn(tell_address(
        Arc::clone(&store),
        settings.name.clone(),
        address,
    ));
    let sender = events.clone();
    let addresses = move |record: Record| match read_address(&record) {
        // After the end of the state nobody needs the news, here and below.
        Some(address) => drop(sender.send(EntryEvent::Address(record.key, address))),
        None => log::warn!(key = record.key.as_str(); "an entry's address can't be read"),
    };
    tokio::spawn(follow(
        Arc::clone(&store),
        ENTRIES_TOPIC,
        ADDRESSES_PACE,
        metrics.clone(),
        addresses,
    ));
    let sender = events.clone();
    let places = move |record: Record| match read_place(&record) {
        Some(place) => drop(sender.send(EntryEvent::Place(place))),
        None => log::warn!(key = record.key.as_str(); "a sidecar's place can't be read"),
    };
    tokio::spawn(follow(
        Arc::clone(&store),
        SIDECARS_TOPIC,
        ADDRESSES_PACE,
        metrics.clone(),
        places,
    ));
    let configurations = move |record: Record| {
        if record.key != CONFIGURATION_KEY {
            return;
        }
        match parse_configuration(&record.value) {
            Ok(configuration) => drop(events.send(EntryEvent::Configuration(configuration))),
            Err(error) => log::error!(error:? = error; "configuration not taken over"),
        }
    };
    tokio::spawn(follow(
        store,
        OPERATOR_TOPIC,
        CONFIGURATION_PACE,
        metrics.clone(),
        configurations,
    ));
    tokio::spawn(serve_metrics(settings.ip, metrics));
    let readiness = gate.clone();
    if let Some(address) = settings.readiness_address {
        tokio::spawn(serve(address, move |request| {
            std::future::ready(readiness.readiness(&request))
        }));
    }
    if let Some(address) = settings.registration_address {
        // Served so that the platform lists this machine among the seeds of the others.
        tokio::spawn(serve(address, |_| {
            std::future::ready(response(StatusCode::NOT_FOUND, String::new()))
        }));
    }
    let callers_address = settings
        .callers_address
        .ok_or_else(|| eyre::eyre!("the settings name no address for callers"))?;
    serve(callers_address, move |request| gate.clone().call(request)).await
}

/// A caller that waits for its answer.
struct WaitingCaller {
    reply: oneshot::Sender<CallerResponse>,
    since: Instant,
}

/// The control state of the process.
struct Control {
    own_address: SocketAddr,
    entry: Entry,
    socket: PacketSocket,
    published: Arc<Published>,
    metrics: Metrics,
    callers: HashMap<CallerId, WaitingCaller>,
}

impl Control {
    fn run(mut self, mut process: Process, events: &Receiver<EntryEvent>) {
        let mut next_tick = Instant::now();
        let mut next_levels = next_tick;
        loop {
            match events.recv_timeout(wait_for_events(next_tick, self.entry.next_session_due())) {
                Ok(event) => {
                    let now = Instant::now();
                    // The event may bring the first work.
                    next_tick = next_tick.min(now + TICK);
                    self.handle(event, now);
                    for event in events.try_iter().take(BATCH_EVENT_COUNT) {
                        self.handle(event, now);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            if now >= next_tick {
                self.entry.tick(now);
                let is_idle = self.entry.job_count() == 0;
                next_tick = now + if is_idle { IDLE_TICK } else { TICK };
                for address in process.reload(now) {
                    self.entry.add_peer(address, None);
                }
            }
            if now >= next_levels {
                next_levels = now + LEVELS_EVERY;
                self.publish_levels(now);
            }
            self.entry.place_waiting(now);
            self.flush(now);
            if process.stop.has_begun(now) {
                self.entry.begin_drain();
            }
            if process.stop.is_to_send_callers_away(now) {
                self.published
                    .closes_connections
                    .store(true, Ordering::Relaxed);
            }
            if process.stop.is_over(self.entry.job_count() > 0, now) {
                self.entry.end_all_jobs(now);
                self.flush(now);
                log::info!("process stopped");
                // The last answers leave on the traffic thread.
                std::thread::sleep(LAST_ANSWERS);
                return;
            }
        }
    }

    fn handle(&mut self, event: EntryEvent, now: Instant) {
        match event {
            EntryEvent::Call(call) => self.call(*call, now),
            EntryEvent::CallerLeft(caller, job) => {
                self.callers.remove(&caller);
                self.entry.caller_left(caller, job, now);
            }
            EntryEvent::Datagram(from, packet) => self.entry.receive(from, packet, now),
            EntryEvent::Configuration(configuration) => {
                self.entry.configure(configuration, "store", now)
            }
            EntryEvent::Address(name, address) => {
                if address != self.own_address {
                    self.entry.add_peer(address, Some(name));
                }
            }
            EntryEvent::Place(place) => self.entry.add_sidecar(place, Source::First),
        }
    }

    fn call(&mut self, call: Call, now: Instant) {
        let answer = match call.request {
            CallerRequest::Submit(submission) => {
                let waiting = WaitingCaller {
                    reply: call.reply,
                    since: now,
                };
                self.callers.insert(call.caller, waiting);
                self.entry.submit(call.caller, submission, now);
                return;
            }
            CallerRequest::Status(job) if self.entry.is_live(job) => {
                plain(StatusCode::OK, "{\"State\":\"running\"}")
            }
            CallerRequest::Cancel(job) if self.entry.cancel(job, now) => plain(StatusCode::OK, ""),
            CallerRequest::Status(_) | CallerRequest::Cancel(_) => plain(StatusCode::GONE, ""),
            CallerRequest::QueueLength => match self.entry.queue_length(&call.host, &call.path) {
                Some(Some(count)) => plain(StatusCode::OK, &format!("{{\"Waiting\":{count}}}")),
                Some(None) => plain(StatusCode::NOT_FOUND, ""),
                None => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
            },
            CallerRequest::Malformed(problem) => {
                log::info!(path = call.path.as_str(), problem; "request not understood");
                match self.entry.queue_length(&call.host, &call.path) {
                    Some(Some(_)) => plain(StatusCode::BAD_REQUEST, ""),
                    Some(None) => plain(StatusCode::NOT_FOUND, ""),
                    None => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
                }
            }
        };
        // A caller that has left needs no answer.
        let _ = call.reply.send(answer);
    }

    fn flush(&mut self, now: Instant) {
        for action in self.entry.take_actions() {
            match action {
                EntryAction::Answer {
                    caller,
                    answer,
                    queue,
                } => self.answer(caller, answer, &queue, now),
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

    fn answer(&mut self, caller: CallerId, answer: Answer, queue: &str, now: Instant) {
        let Some(waiting) = self.callers.remove(&caller) else {
            return;
        };
        let time = now.saturating_duration_since(waiting.since);
        self.metrics.count_answer(queue, answer, time);
        // A caller that has left needs no answer.
        let _ = waiting.reply.send(caller_response(answer));
    }

    /// Publishes the levels of the process.
    fn publish_levels(&self, now: Instant) {
        let configured_at = self.entry.configured_at();
        let age = configured_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let levels = [
            ("configuration_age_seconds", age.as_secs()),
            ("configuration_version", self.entry.version()),
            ("jobs", self.entry.job_count() as u64),
            ("waiting_jobs", self.entry.waiting_count() as u64),
            ("usable_minions", self.entry.usable_minion_count() as u64),
            ("known_sidecars", self.entry.directory().len() as u64),
            ("sessions", self.entry.session_count() as u64),
            ("ready", u64::from(self.entry.is_ready())),
        ];
        for (name, value) in levels {
            self.metrics.set_level(name, value);
        }
    }
}

/// How long the last answers have to leave.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

fn plain(status: StatusCode, body: &str) -> CallerResponse {
    CallerResponse {
        status,
        retry_after_s: None,
        body: body.to_owned(),
    }
}
