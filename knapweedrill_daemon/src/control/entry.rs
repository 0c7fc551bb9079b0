//! The control state of an entry.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedrill::common::{Incarnation, RequestId};
use knapweedrill::entry::{
    CallerRequest, CallerResponse, Entry, EntryAction, EntryEvent, Requester,
};
use knapweedrill::event::EventKind;
use knapweedrill::job::{Outcome, Refusal};
use knapweedrill::membership::{EntryHeartbeatData, EntryMembership};
use knapweedrill::message::Message;
use knapweedrill_wire::DatagramSocket;

use super::configuration_tracker::ConfigurationTracker;
use super::entry_metrics::timer_of;
use super::operator::PendingApply;
use super::run::{Control, RunState};
use super::{ControlEvent, ControlRequest, JobResponder, PeerEvent, Peers, PublishedState};
use crate::http::Responder;
use crate::platform_log::{LogRecord, LogWriter, TailEvent};
use crate::settings::Settings;
use crate::telemetry::{Counter, Metrics, Timeline};

/// The least time between two records that repeat the configuration in the log.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The state of an entry that is owned by its control thread.
pub struct EntryControl {
    pub(super) settings: Settings,
    pub(super) entry: Entry,
    pub(super) peers: Peers,
    pub(super) membership: EntryMembership,
    pub(super) datagrams: DatagramSocket,
    pub(super) log: LogWriter,
    pub(super) configuration: ConfigurationTracker,
    pub(super) applies: Vec<PendingApply>,
    pub(super) published: Arc<PublishedState>,
    pub(super) timeline: Arc<Timeline>,
    pub(super) metrics: Arc<Metrics>,
    job_responder: JobResponder,
    pending_requests: HashMap<RequestId, PendingRequest>,
    next_request_id: RequestId,
    actions: Vec<EntryAction>,
    run_state: RunState,
    last_refresh_at: Option<Instant>,
    pub(super) metrics_due_at: Instant,
    /// The lost processes, with the time at which each was lost.
    pub(super) lost: BTreeMap<Incarnation, Instant>,
}

/// A job request that has no response yet.
struct PendingRequest {
    responder: Responder,
    request: CallerRequest,
}

/// The components of an [`EntryControl`].
pub struct EntryParts {
    /// The settings of the process.
    pub settings: Settings,
    /// The state machine that places tasks and tracks jobs.
    pub entry: Entry,
    /// The link sessions with other processes.
    pub peers: Peers,
    /// The known minions and other entries, from heartbeats and the log.
    pub membership: EntryMembership,
    /// The UDP socket for heartbeats.
    pub datagrams: DatagramSocket,
    /// The writer that appends records to the platform log.
    pub log: LogWriter,
    /// Sends the responses to job requests.
    pub job_responder: JobResponder,
    /// The state that is shared with the HTTP threads.
    pub published: Arc<PublishedState>,
    /// The event timeline of the process.
    pub timeline: Arc<Timeline>,
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
}

impl EntryControl {
    /// Creates the state of an entry that has no configuration yet.
    pub fn new(parts: EntryParts) -> Self {
        Self {
            settings: parts.settings,
            entry: parts.entry,
            peers: parts.peers,
            membership: parts.membership,
            datagrams: parts.datagrams,
            log: parts.log,
            configuration: ConfigurationTracker::new(),
            applies: Vec::new(),
            published: parts.published,
            timeline: parts.timeline,
            metrics: parts.metrics,
            job_responder: parts.job_responder,
            pending_requests: HashMap::new(),
            next_request_id: 0,
            actions: Vec::new(),
            run_state: RunState::Running,
            last_refresh_at: None,
            metrics_due_at: Instant::now(),
            lost: BTreeMap::new(),
        }
    }

    pub(super) fn handle_entry_event(&mut self, event: EntryEvent, now: Instant) {
        self.entry.handle(event, now, &mut self.actions);
    }

    pub(super) fn handle_peer_events(&mut self, events: Vec<PeerEvent>, now: Instant) {
        for event in events {
            match event {
                PeerEvent::Connected { peer, role } => {
                    self.handle_entry_event(EntryEvent::PeerConnected { peer, role }, now);
                }
                PeerEvent::Disconnected { peer } => {
                    self.handle_entry_event(EntryEvent::PeerDisconnected { peer }, now)
                }
                PeerEvent::Message { peer, message } => self.handle_message(peer, message, now),
            }
        }
    }

    fn handle_message(&mut self, peer: Incarnation, message: Message, now: Instant) {
        match message {
            Message::ConfigurationPull { have } => {
                if let Some(push) = self.configuration.push_for(have) {
                    self.peers.send(peer, push, now);
                }
            }
            Message::ConfigurationPush { version, record } => {
                if self.configuration.adopt(version, record) {
                    self.put_into_force(now);
                }
            }
            message => self.handle_entry_event(EntryEvent::Message { peer, message }, now),
        }
    }

    /// Puts the newest configuration into force and pushes it to all connected peers.
    pub(super) fn put_into_force(&mut self, now: Instant) {
        let Some(version) = self.configuration.version() else {
            return;
        };
        self.configuration
            .record_in_force(&self.timeline, &self.metrics);
        let configuration = self.configuration.configuration().clone();
        let event = EntryEvent::ConfigurationChanged {
            version,
            configuration,
        };
        self.handle_entry_event(event, now);
        for peer in self.peers.connected() {
            if let Some(push) = self.configuration.push_for(None) {
                self.peers.send(peer, push, now);
            }
        }
    }

    fn handle_request(&mut self, request: ControlRequest, now: Instant) {
        match request {
            ControlRequest::Job { request, responder } => {
                self.handle_job_request(request, responder, now)
            }
            request => self.handle_operator_request(request, now),
        }
    }

    fn handle_job_request(&mut self, request: CallerRequest, responder: Responder, now: Instant) {
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        let pending = PendingRequest {
            responder,
            request: request.without_payload(),
        };
        self.pending_requests.insert(request_id, pending);
        let requester = Requester::Caller {
            request: request_id,
        };
        self.handle_entry_event(EntryEvent::Request { requester, request }, now);
    }

    fn handle_log_event(&mut self, event: TailEvent, now: Instant) {
        if self.configuration.handle_log_event(event, &self.timeline) {
            self.put_into_force(now);
        }
        for record in self.configuration.take_presence_records() {
            if let LogRecord::Presence(entry) = record {
                self.membership.add_candidate(&entry, now);
            }
        }
        self.resolve_applies(now);
    }

    /// Appends the configuration to the log again before retention removes its record.
    fn refresh_configuration(&mut self, now: Instant) {
        let is_due = self
            .last_refresh_at
            .is_none_or(|at| now.duration_since(at) > REFRESH_INTERVAL);
        if !is_due || self.entry.is_stopping() {
            return;
        }
        let record_id = rand::random();
        if let Some(record) = self.configuration.due_refresh(record_id) {
            self.last_refresh_at = Some(now);
            self.log.append(record_id, LogRecord::Configuration(record));
        }
    }

    pub(super) fn stop(&mut self, now: Instant) {
        if !self.entry.is_stopping() {
            log::info!("graceful shutdown started");
            self.timeline.record(EventKind::StopBegun);
            self.handle_entry_event(EntryEvent::Stop, now);
        }
    }

    fn execute_actions(&mut self, now: Instant) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                EntryAction::Respond { request, response } => self.respond(request, response),
                EntryAction::Send { peer, message } => self.peers.send(peer, message, now),
                EntryAction::Record(event) => {
                    self.count_event(&event);
                    self.timeline.record(event);
                }
                EntryAction::Count(counter) => self.count(counter),
                EntryAction::RecordDuration { timer, duration } => {
                    self.metrics.record_duration(timer_of(timer), duration);
                }
                EntryAction::Stopped => self.run_state = RunState::Stopped,
            }
        }
    }

    fn respond(&mut self, request: RequestId, response: CallerResponse) {
        if is_overloaded(&response) {
            self.metrics.add(Counter::AdmissionRefused, 1);
        }
        if let Some(pending) = self.pending_requests.remove(&request) {
            self.job_responder
                .send(pending.responder, pending.request, response);
        }
    }

    fn send_heartbeat(&mut self, now: Instant) {
        let payload = EntryHeartbeatData {
            clock: self.timeline.stamp(),
            configuration: self.configuration.version(),
            is_stopping: self.entry.is_stopping(),
            answers_for: self.entry.taken_over_entries(),
        };
        let Some(outgoing) = self.membership.next_heartbeat(&payload, now) else {
            return;
        };
        for address in outgoing.recipients {
            self.datagrams.send(address, &outgoing.datagram);
        }
    }

    /// Requests the configuration from a peer that has a newer one.
    fn pull_configuration(&mut self, now: Instant) {
        let source = self
            .membership
            .newer_configuration(self.configuration.version());
        self.configuration.pull(source, &mut self.peers, now);
    }

    fn resolve_empty_log(&mut self, now: Instant) {
        let ahead = self.membership.newer_configuration(None);
        let peer_version = ahead.map(|source| source.version);
        self.configuration.resolve_empty_log(peer_version, now);
    }
}

impl Control for EntryControl {
    fn handle(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Link(event) => {
                let events = self.peers.handle(event, now);
                self.handle_peer_events(events, now);
            }
            ControlEvent::Datagram(datagram) => {
                self.timeline.observe(datagram.clock);
                let changes = self.membership.handle(&datagram, now);
                self.handle_membership_changes(changes, now);
            }
            ControlEvent::Http(request) => self.handle_request(request, now),
            ControlEvent::Log(event) => self.handle_log_event(event, now),
            ControlEvent::Appended { record_id, result } => {
                self.handle_append_result(record_id, result, now);
            }
            ControlEvent::Stop => self.stop(now),
            ControlEvent::CallEnded { .. } => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        let events = self.peers.tick(now);
        self.handle_peer_events(events, now);
        let changes = self.membership.tick(now);
        self.handle_membership_changes(changes, now);
        self.handle_entry_event(EntryEvent::Tick, now);
        self.pull_configuration(now);
        self.drop_lost_peers(now);
        self.resolve_empty_log(now);
        self.refresh_configuration(now);
        self.resolve_applies(now);
        self.publish(now);
    }

    fn flush(&mut self, now: Instant) -> RunState {
        self.entry.flush(now, &mut self.actions);
        self.execute_actions(now);
        self.send_heartbeat(now);
        self.run_state
    }
}

fn is_overloaded(response: &CallerResponse) -> bool {
    matches!(
        response,
        CallerResponse::Ended {
            outcome: Outcome::NotRun {
                refusal: Refusal::Overloaded,
                ..
            }
        }
    )
}
