//! The control state of a sidecar.

use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedrill::api::{DrainResponse, ErrorResponse, EventsResponse, MinionRequest, Peer};
use knapweedrill::common::{Attempt, Incarnation};
use knapweedrill::job::TaskId;
use knapweedrill::membership::{SidecarHeartbeatData, SidecarMembership};
use knapweedrill::message::{Message, Start};
use knapweedrill::minion::Announcement;
use knapweedrill::sidecar::{
    MinionNotice, RunResult, Sidecar, SidecarAction, SidecarCounter, SidecarEvent,
};
use knapweedrill_wire::DatagramSocket;

use super::configuration_tracker::{ConfigurationTracker, configuration_response};
use super::entry_metrics::METRICS_INTERVAL;
use super::run::{Control, RunState};
use super::{ControlEvent, ControlRequest, PeerEvent, Peers, PublishedState};
use crate::http::{HttpResponse, Responder};
use crate::minion_calls::{CallPool, CompletedCall, MinionCall};
use crate::settings::Settings;
use crate::telemetry::{Counter, Gauge, Metrics, Timeline, Timer};

const OK: u16 = 200;
const CONFLICT: u16 = 409;

/// The state of a sidecar that is owned by its control thread.
pub struct SidecarControl<F> {
    settings: Settings,
    sidecar: Sidecar,
    peers: Peers,
    membership: SidecarMembership,
    datagrams: DatagramSocket,
    calls: CallPool<F>,
    configuration: ConfigurationTracker,
    published: Arc<PublishedState>,
    timeline: Arc<Timeline>,
    metrics: Arc<Metrics>,
    actions: Vec<SidecarAction>,
    run_state: RunState,
    metrics_due_at: Instant,
}

/// The components of a [`SidecarControl`].
pub struct SidecarParts<F> {
    /// The settings of the process.
    pub settings: Settings,
    /// The state machine that runs tasks and tracks their attempts.
    pub sidecar: Sidecar,
    /// The link sessions with other processes.
    pub peers: Peers,
    /// The known entries, and the announcement of the minion that they get.
    pub membership: SidecarMembership,
    /// The UDP socket for heartbeats.
    pub datagrams: DatagramSocket,
    /// The thread pool for calls to the minion.
    pub calls: CallPool<F>,
    /// The state that is shared with the HTTP threads.
    pub published: Arc<PublishedState>,
    /// The event timeline of the process.
    pub timeline: Arc<Timeline>,
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
}

impl<F> SidecarControl<F>
where
    F: Fn(TaskId, Attempt, CompletedCall) + Send + Sync + 'static,
{
    /// Creates the state of a sidecar that has no configuration yet.
    pub fn new(parts: SidecarParts<F>) -> Self {
        Self {
            settings: parts.settings,
            sidecar: parts.sidecar,
            peers: parts.peers,
            membership: parts.membership,
            datagrams: parts.datagrams,
            calls: parts.calls,
            configuration: ConfigurationTracker::new(),
            published: parts.published,
            timeline: parts.timeline,
            metrics: parts.metrics,
            actions: Vec::new(),
            run_state: RunState::Running,
            metrics_due_at: Instant::now(),
        }
    }

    fn handle_sidecar_event(&mut self, event: SidecarEvent, now: Instant) {
        self.sidecar.handle(event, now, &mut self.actions);
    }

    fn handle_peer_events(&mut self, events: Vec<PeerEvent>, now: Instant) {
        for event in events {
            match event {
                PeerEvent::Connected { peer, .. } => {
                    self.handle_sidecar_event(SidecarEvent::PeerConnected { peer }, now)
                }
                PeerEvent::Disconnected { peer } => {
                    self.handle_sidecar_event(SidecarEvent::PeerDisconnected { peer }, now)
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
            message => self.handle_sidecar_event(SidecarEvent::Message { peer, message }, now),
        }
    }

    fn put_into_force(&mut self, now: Instant) {
        self.configuration
            .record_in_force(&self.timeline, &self.metrics);
        let configuration = self.configuration.configuration().clone();
        self.handle_sidecar_event(SidecarEvent::ConfigurationChanged(configuration), now);
    }

    fn handle_request(&mut self, request: ControlRequest, now: Instant) {
        match request {
            ControlRequest::Minion { request, responder } => {
                self.handle_minion_request(request, responder, now);
            }
            ControlRequest::Events { responder } => self.respond_events(responder),
            ControlRequest::Configuration { responder } => {
                responder.respond(configuration_response(&self.configuration));
            }
            ControlRequest::Drain { responder } => self.handle_drain_request(responder, now),
            ControlRequest::Show { responder }
            | ControlRequest::Apply { responder, .. }
            | ControlRequest::Job { responder, .. } => {
                let message =
                    "a sidecar does not serve this request; send it to an entry".to_owned();
                responder.respond(HttpResponse::json(CONFLICT, &ErrorResponse { message }));
            }
        }
    }

    fn handle_minion_request(
        &mut self,
        request: MinionRequest,
        responder: Responder,
        now: Instant,
    ) {
        let service = &self.membership.announcement().service;
        if request.service != *service {
            let message = format!(
                "this sidecar serves '{service}', not '{}'; announce the minion to another sidecar",
                request.service
            );
            responder.respond(HttpResponse::json(CONFLICT, &ErrorResponse { message }));
            return;
        }
        responder.respond(HttpResponse::text(OK, "ok"));
        let notice = MinionNotice {
            service: request.service,
            address: request.address,
            slots: request.slots,
            speed_hint_percent: request.speed_hint_percent,
            state: request.state,
        };
        self.handle_sidecar_event(SidecarEvent::MinionAnnounced(notice), now);
    }

    fn handle_drain_request(&mut self, responder: Responder, now: Instant) {
        let deadline_ms = self.settings.limits.shutdown_deadline.as_millis();
        responder.respond(HttpResponse::json(
            OK,
            &DrainResponse {
                process: self.settings.process.name.clone(),
                deadline_ms: u64::try_from(deadline_ms).unwrap_or(u64::MAX),
            },
        ));
        self.stop(now);
    }

    fn stop(&mut self, now: Instant) {
        log::info!("graceful shutdown started");
        self.handle_sidecar_event(SidecarEvent::Stop, now);
    }

    fn respond_events(&self, responder: Responder) {
        let peers = self
            .membership
            .entries()
            .map(|entry| Peer {
                name: entry.name.clone(),
                http_address: entry.http_address,
            })
            .collect();
        let response = EventsResponse {
            process: self.settings.process.name.clone(),
            dropped_count: self.timeline.dropped_count(),
            events: self.timeline.snapshot(),
            peers,
        };
        responder.respond(HttpResponse::json(OK, &response));
    }

    fn execute_actions(&mut self, now: Instant) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                SidecarAction::Send { peer, message } => self.peers.send(peer, message, now),
                SidecarAction::Run(start) => self.call_minion(start, now),
                // A call in flight can't be cancelled; the owner of the job drops the result.
                SidecarAction::CancelCalls(_) => {}
                SidecarAction::AnnounceNow => self.announce(now),
                SidecarAction::Record(event) => {
                    self.timeline.record(event);
                }
                SidecarAction::Count(counter) => self.metrics.add(counter_of(counter), 1),
                SidecarAction::Stopped => self.run_state = RunState::Stopped,
            }
        }
    }

    fn call_minion(&mut self, start: Start, now: Instant) {
        let Some(minion) = self.sidecar.minion() else {
            return self.report_call_not_sent(start.task, start.attempt, now);
        };
        let call = MinionCall {
            address: minion.address,
            start,
        };
        let (task, attempt) = (call.start.task, call.start.attempt);
        if let Err(error) = self.calls.submit(call) {
            log::error!("cannot call the minion: {error}");
            self.report_call_not_sent(task, attempt, now);
        }
    }

    fn report_call_not_sent(&mut self, task: TaskId, attempt: Attempt, now: Instant) {
        let event = SidecarEvent::CallEnded {
            task,
            attempt,
            result: RunResult::NotSent,
            run_time: Duration::ZERO,
        };
        self.handle_sidecar_event(event, now);
    }

    fn announce(&mut self, now: Instant) {
        let announcement = self.announcement(now);
        self.membership.announce(announcement);
    }

    fn announcement(&self, now: Instant) -> Announcement {
        let mut announcement = self.membership.announcement().clone();
        announcement.state = self.sidecar.minion_state(now);
        if let Some(minion) = self.sidecar.minion() {
            announcement.slots = minion.slots;
            announcement.speed_hint_percent = minion.speed_hint_percent;
        }
        announcement
    }

    fn send_heartbeat(&mut self, now: Instant) {
        self.announce(now);
        let payload = SidecarHeartbeatData {
            clock: self.timeline.stamp(),
            configuration: self.configuration.version(),
            report: self.sidecar.slot_report(now),
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

    fn publish(&mut self, now: Instant) {
        self.published
            .set(None, self.configuration.version().is_some());
        if now < self.metrics_due_at {
            return;
        }
        self.metrics_due_at = now + METRICS_INTERVAL;
        self.peers.publish(&self.datagrams);
        let metrics = &self.metrics;
        let report = self.sidecar.slot_report(now);
        metrics.set(Gauge::FreeSlots, u64::from(report.free_count));
        metrics.set(
            Gauge::KnownEntries,
            self.membership.entries().count() as u64,
        );
        metrics.raise_to(Counter::DatagramsStale, self.membership.stale_count());
    }
}

impl<F> Control for SidecarControl<F>
where
    F: Fn(TaskId, Attempt, CompletedCall) + Send + Sync + 'static,
{
    fn handle(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Link(event) => {
                let events = self.peers.handle(event, now);
                self.handle_peer_events(events, now);
            }
            ControlEvent::Datagram(datagram) => {
                self.timeline.observe(datagram.clock);
                self.membership.handle(&datagram, now);
            }
            ControlEvent::Http(request) => self.handle_request(request, now),
            ControlEvent::CallEnded {
                task,
                attempt,
                result,
                run_time,
            } => {
                self.calls.record_end();
                self.metrics.record_duration(Timer::TaskRun, run_time);
                let event = SidecarEvent::CallEnded {
                    task,
                    attempt,
                    result,
                    run_time,
                };
                self.handle_sidecar_event(event, now);
            }
            ControlEvent::Stop => self.stop(now),
            ControlEvent::Log(_) | ControlEvent::Appended { .. } => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        let events = self.peers.tick(now);
        self.handle_peer_events(events, now);
        self.membership.tick(now);
        self.handle_sidecar_event(SidecarEvent::Tick, now);
        self.pull_configuration(now);
        self.publish(now);
    }

    fn flush(&mut self, now: Instant) -> RunState {
        self.sidecar.flush(now, &mut self.actions);
        self.execute_actions(now);
        self.send_heartbeat(now);
        self.run_state
    }
}

fn counter_of(counter: SidecarCounter) -> Counter {
    match counter {
        SidecarCounter::Started => Counter::TasksStarted,
        SidecarCounter::Done => Counter::TasksDone,
        SidecarCounter::Failed => Counter::TasksFailed,
        SidecarCounter::NotStarted => Counter::TasksFenced,
        SidecarCounter::DuplicateStart => Counter::StartsRefused,
        SidecarCounter::JobFenced => Counter::JobsFenced,
        SidecarCounter::UnexpectedMessage => Counter::MessagesUnexpected,
    }
}
