//! The control state of a sidecar.

use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedrill::api::{DrainResponse, ErrorResponse, EventsResponse, MinionRequest, Peer};
use knapweedrill::common::{Attempt, Incarnation};
use knapweedrill::job::TaskId;
use knapweedrill::membership::{SidecarMembership, SidecarNews};
use knapweedrill::message::{Message, Start};
use knapweedrill::minion::Announcement;
use knapweedrill::sidecar::{
    MinionNotice, RunResult, Sidecar, SidecarAction, SidecarCounter, SidecarEvent,
};
use knapweedrill_wire::DatagramSocket;

use super::configuration::{ConfigurationKeeper, configuration_reply};
use super::entry_metrics::METRICS_INTERVAL;
use super::run::{Control, Progress};
use super::{ControlEvent, HttpCall, PeerEvent, Peers, Published};
use crate::http::{HttpResponse, Responder};
use crate::minion_calls::{CallPool, CompletedCall, MinionCall};
use crate::settings::Settings;
use crate::telemetry::{Counter, Gauge, Metrics, Timeline, Timer};

const OK: u16 = 200;
const CONFLICT: u16 = 409;

/// The control state of a sidecar.
pub struct SidecarControl<F> {
    settings: Settings,
    sidecar: Sidecar,
    peers: Peers,
    membership: SidecarMembership,
    datagrams: DatagramSocket,
    calls: CallPool<F>,
    configuration: ConfigurationKeeper,
    published: Arc<Published>,
    timeline: Arc<Timeline>,
    metrics: Arc<Metrics>,
    actions: Vec<SidecarAction>,
    progress: Progress,
    metrics_due_at: Instant,
}

/// What a sidecar's control state is made of.
pub struct SidecarParts<F> {
    /// The settings of the process.
    pub settings: Settings,
    /// The state machine.
    pub sidecar: Sidecar,
    /// The links.
    pub peers: Peers,
    /// The entries that the minion is announced to.
    pub membership: SidecarMembership,
    /// The socket of heartbeats.
    pub datagrams: DatagramSocket,
    /// The threads that call the minion.
    pub calls: CallPool<F>,
    /// What other threads may know.
    pub published: Arc<Published>,
    /// The time line.
    pub timeline: Arc<Timeline>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

impl<F> SidecarControl<F>
where
    F: Fn(TaskId, Attempt, CompletedCall) + Send + Sync + 'static,
{
    /// Creates the control state from its parts.
    pub fn new(parts: SidecarParts<F>) -> Self {
        Self {
            settings: parts.settings,
            sidecar: parts.sidecar,
            peers: parts.peers,
            membership: parts.membership,
            datagrams: parts.datagrams,
            calls: parts.calls,
            configuration: ConfigurationKeeper::new(),
            published: parts.published,
            timeline: parts.timeline,
            metrics: parts.metrics,
            actions: Vec::new(),
            progress: Progress::Running,
            metrics_due_at: Instant::now(),
        }
    }

    fn tell(&mut self, event: SidecarEvent, now: Instant) {
        self.sidecar.handle(event, now, &mut self.actions);
    }

    fn take_peer_events(&mut self, events: Vec<PeerEvent>, now: Instant) {
        for event in events {
            match event {
                PeerEvent::Up { peer, .. } => self.tell(SidecarEvent::PeerUp { peer }, now),
                PeerEvent::Down { peer } => self.tell(SidecarEvent::PeerDown { peer }, now),
                PeerEvent::Message { peer, message } => self.take_message(peer, message, now),
            }
        }
    }

    fn take_message(&mut self, peer: Incarnation, message: Message, now: Instant) {
        match message {
            Message::ConfigurationPull { have } => {
                if let Some(push) = self.configuration.push_for(have) {
                    self.peers.send(peer, push, now);
                }
            }
            Message::ConfigurationPush { version, record } => {
                if self.configuration.adopt(version, record) {
                    self.configured(now);
                }
            }
            message => self.tell(SidecarEvent::Message { peer, message }, now),
        }
    }

    fn configured(&mut self, now: Instant) {
        self.configuration
            .record_in_force(&self.timeline, &self.metrics);
        let configuration = self.configuration.configuration().clone();
        self.tell(SidecarEvent::Configured(configuration), now);
    }

    fn take_call(&mut self, call: HttpCall, now: Instant) {
        match call {
            HttpCall::Minion { notice, responder } => self.hear_minion(notice, responder, now),
            HttpCall::Events { responder } => self.tell_events(responder),
            HttpCall::Configuration { responder } => {
                responder.respond(configuration_reply(&self.configuration));
            }
            HttpCall::Drain { responder } => self.drain(responder, now),
            HttpCall::Show { responder }
            | HttpCall::Apply { responder, .. }
            | HttpCall::Job { responder, .. } => {
                let message = "a sidecar does not serve this; ask an entry".to_owned();
                responder.respond(HttpResponse::json(CONFLICT, &ErrorResponse { message }));
            }
        }
    }

    fn hear_minion(&mut self, notice: MinionRequest, responder: Responder, now: Instant) {
        let service = &self.membership.announcement().service;
        if notice.service != *service {
            let message = format!(
                "this sidecar serves '{service}', not '{}'; announce the minion elsewhere",
                notice.service
            );
            responder.respond(HttpResponse::json(CONFLICT, &ErrorResponse { message }));
            return;
        }
        responder.respond(HttpResponse::text(OK, "ok"));
        let notice = MinionNotice {
            service: notice.service,
            address: notice.address,
            slots: notice.slots,
            speed_hint_percent: notice.speed_hint_percent,
            state: notice.state,
        };
        self.tell(SidecarEvent::Minion(notice), now);
    }

    fn drain(&mut self, responder: Responder, now: Instant) {
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
        log::info!("planned stop begun");
        self.tell(SidecarEvent::Stop, now);
    }

    fn tell_events(&self, responder: Responder) {
        let peers = self
            .membership
            .entries()
            .map(|entry| Peer {
                name: entry.name.clone(),
                http_address: entry.http_address,
            })
            .collect();
        let answer = EventsResponse {
            process: self.settings.process.name.clone(),
            dropped_count: self.timeline.dropped_count(),
            events: self.timeline.snapshot(),
            peers,
        };
        responder.respond(HttpResponse::json(OK, &answer));
    }

    fn carry_out(&mut self, now: Instant) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                SidecarAction::Send { peer, message } => self.peers.send(peer, message, now),
                SidecarAction::Run(start) => self.call_minion(start, now),
                // A call can't be taken back; its result is dropped by the owner.
                SidecarAction::Abandon(_) => {}
                SidecarAction::AnnounceNow => self.announce(now),
                SidecarAction::Record(event) => {
                    self.timeline.record(event);
                }
                SidecarAction::Count(counter) => self.metrics.add(counter_of(counter), 1),
                SidecarAction::Stopped => self.progress = Progress::Stopped,
            }
        }
    }

    fn call_minion(&mut self, start: Start, now: Instant) {
        let Some(minion) = self.sidecar.minion() else {
            return self.call_not_made(start.task, start.attempt, now);
        };
        let call = MinionCall {
            address: minion.address,
            start,
        };
        let (task, attempt) = (call.start.task, call.start.attempt);
        if let Err(error) = self.calls.submit(call) {
            log::error!("can't call the minion: {error}");
            self.call_not_made(task, attempt, now);
        }
    }

    fn call_not_made(&mut self, task: TaskId, attempt: Attempt, now: Instant) {
        let event = SidecarEvent::CallEnded {
            task,
            attempt,
            result: RunResult::NotSent,
            run_time: Duration::ZERO,
        };
        self.tell(event, now);
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

    fn beat(&mut self, now: Instant) {
        self.announce(now);
        let news = SidecarNews {
            clock: self.timeline.stamp(),
            configuration: self.configuration.version(),
            report: self.sidecar.slot_report(now),
        };
        let Some(outgoing) = self.membership.beat(&news, now) else {
            return;
        };
        for address in outgoing.to {
            self.datagrams.send(address, &outgoing.datagram);
        }
    }

    /// Asks whoever has a newer configuration for it.
    fn pull_configuration(&mut self, now: Instant) {
        let source = self.membership.ahead(self.configuration.version());
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
                self.take_peer_events(events, now);
            }
            ControlEvent::Datagram(datagram) => {
                self.timeline.observe(datagram.clock);
                self.membership.handle(&datagram, now);
            }
            ControlEvent::Http(call) => self.take_call(call, now),
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
                self.tell(event, now);
            }
            ControlEvent::Stop => self.stop(now),
            ControlEvent::Log(_) | ControlEvent::Appended { .. } => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        let events = self.peers.tick(now);
        self.take_peer_events(events, now);
        self.membership.tick(now);
        self.tell(SidecarEvent::Tick, now);
        self.pull_configuration(now);
        self.publish(now);
    }

    fn flush(&mut self, now: Instant) -> Progress {
        self.sidecar.flush(now, &mut self.actions);
        self.carry_out(now);
        self.beat(now);
        self.progress
    }
}

fn counter_of(counter: SidecarCounter) -> Counter {
    match counter {
        SidecarCounter::Started => Counter::TasksStarted,
        SidecarCounter::Done => Counter::TasksDone,
        SidecarCounter::Failed => Counter::TasksFailed,
        SidecarCounter::NotStarted => Counter::TasksFenced,
        SidecarCounter::StartedBefore => Counter::StartsRefused,
        SidecarCounter::JobFenced => Counter::JobsFenced,
        SidecarCounter::Unexpected => Counter::MessagesUnexpected,
    }
}
