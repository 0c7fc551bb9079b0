//! Requests of operators to an entry: configuration changes, state, events and shutdown.

use std::time::{Duration, Instant};

use knapweedrill::api::{
    ApplyOutcome, ApplyResponse, DrainResponse, EventsResponse, ExpectedParent, Peer,
};
use knapweedrill::common::LogOffset;
use knapweedrill::contract::{
    AppendOutcome, Configuration, ConfigurationRecord, ConfigurationVersion,
};
use knapweedrill::ini::IniProblem;

use super::ControlRequest;
use super::configuration_tracker::configuration_response;
use super::entry::EntryControl;
use crate::http::{HttpResponse, Responder};
use crate::platform_log::{AppendError, LogRecord};

const OK: u16 = 200;

/// How long an entry waits to read a record from the log after an append that succeeded or whose
/// response was lost.
const APPEND_OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

/// A request to apply a configuration that waits for acceptance or propagation.
pub(super) struct PendingApply {
    record_id: u64,
    responder: Option<Responder>,
    wait: Duration,
    phase: ApplyPhase,
    deadline: Instant,
}

/// The progress of a request to apply a configuration.
enum ApplyPhase {
    /// The append to the log has not ended.
    Appending,
    /// The record is in the log or may be; its outcome is known once the log has been read.
    AwaitingRecord,
    /// The configuration was accepted and is being propagated to all processes.
    Propagating { version: ConfigurationVersion },
}

impl EntryControl {
    pub(super) fn handle_operator_request(&mut self, request: ControlRequest, now: Instant) {
        match request {
            ControlRequest::Apply {
                body,
                parent,
                wait,
                responder,
            } => self.apply(body, parent, wait, responder, now),
            ControlRequest::Configuration { responder } => {
                responder.respond(configuration_response(&self.configuration));
            }
            ControlRequest::Show { responder } => {
                responder.respond(HttpResponse::json(OK, &self.show()))
            }
            ControlRequest::Events { responder } => {
                responder.respond(HttpResponse::json(OK, &self.events_response()));
            }
            ControlRequest::Drain { responder } => {
                responder.respond(HttpResponse::json(OK, &self.drain_response()));
                self.stop(now);
            }
            // `handle_request` handles job requests; the router rejects minion requests.
            ControlRequest::Job { .. } | ControlRequest::Minion { .. } => {}
        }
    }

    fn apply(
        &mut self,
        body: String,
        parent: ExpectedParent,
        wait: Duration,
        responder: Responder,
        now: Instant,
    ) {
        if let Err(error) = Configuration::parse(&body, "configuration") {
            let response = invalid_response(error.problems().to_vec());
            responder.respond(HttpResponse::json(response.http_status(), &response));
            return;
        }
        let record_id: u64 = rand::random();
        let parent = parent.resolve(self.configuration.version());
        let record = ConfigurationRecord::new(record_id, parent, body);
        if !self.log.append(record_id, LogRecord::Configuration(record)) {
            let response = not_applied_response("too many appends to the log are queued");
            responder.respond(HttpResponse::json(response.http_status(), &response));
            return;
        }
        self.configuration.track_append(record_id);
        self.applies.push(PendingApply {
            record_id,
            responder: Some(responder),
            wait,
            phase: ApplyPhase::Appending,
            deadline: now + APPEND_OUTCOME_TIMEOUT,
        });
    }

    /// Processes the end of an append to the log.
    pub(super) fn handle_append_result(
        &mut self,
        record_id: u64,
        result: Result<LogOffset, AppendError>,
        now: Instant,
    ) {
        let Some(apply) = self
            .applies
            .iter_mut()
            .find(|apply| apply.record_id == record_id)
        else {
            return;
        };
        match result {
            Err(AppendError::NotAppended(message)) => {
                apply.respond(&not_applied_response(&message));
                self.configuration.untrack_append(record_id);
            }
            Ok(_) | Err(AppendError::Unknown(_)) => {
                apply.phase = ApplyPhase::AwaitingRecord;
                apply.deadline = now + APPEND_OUTCOME_TIMEOUT;
            }
        }
        self.applies.retain(|apply| apply.responder.is_some());
    }

    /// Responds to requests whose configuration has been accepted, propagated or rejected, or that
    /// have timed out.
    pub(super) fn resolve_applies(&mut self, now: Instant) {
        let mut applies = std::mem::take(&mut self.applies);
        for apply in &mut applies {
            self.resolve_apply(apply, now);
            if apply.responder.is_none() {
                self.configuration.untrack_append(apply.record_id);
            }
        }
        applies.retain(|apply| apply.responder.is_some());
        self.applies = applies;
    }

    fn resolve_apply(&self, apply: &mut PendingApply, now: Instant) {
        match apply.phase {
            ApplyPhase::Appending => {}
            ApplyPhase::AwaitingRecord => self.check_append(apply, now),
            ApplyPhase::Propagating { version } => self.check_propagation(apply, version, now),
        }
    }

    fn check_append(&self, apply: &mut PendingApply, now: Instant) {
        match self.configuration.append_outcome(apply.record_id) {
            AppendOutcome::Accepted { version } => {
                apply.phase = ApplyPhase::Propagating { version };
                apply.deadline = now + apply.wait;
                self.check_propagation(apply, version, now);
            }
            AppendOutcome::Rejected => apply.respond(&ApplyResponse {
                current_version: self.configuration.version(),
                message: Some(
                    "another configuration was applied first; base yours on the current version"
                        .to_owned(),
                ),
                ..apply_response(ApplyOutcome::Rejected)
            }),
            AppendOutcome::Unknown if now >= apply.deadline => apply.respond(&ApplyResponse {
                message: Some(
                    "the append was not confirmed; check the current configuration before retrying"
                        .to_owned(),
                ),
                ..apply_response(ApplyOutcome::Unknown)
            }),
            AppendOutcome::Unknown => {}
        }
    }

    fn check_propagation(
        &self,
        apply: &mut PendingApply,
        version: ConfigurationVersion,
        now: Instant,
    ) {
        let known_count = 1 + self.membership.configurations().count();
        let in_force_count = 1 + self
            .membership
            .configurations()
            .filter(|(_, known)| *known >= Some(version))
            .count();
        let waits_for_propagation = !apply.wait.is_zero();
        if waits_for_propagation && in_force_count < known_count && now < apply.deadline {
            return;
        }
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        apply.respond(&ApplyResponse {
            version: Some(version),
            in_force_count: waits_for_propagation.then(|| count(in_force_count)),
            process_count: waits_for_propagation.then(|| count(known_count)),
            ..apply_response(ApplyOutcome::Accepted)
        });
    }

    fn drain_response(&self) -> DrainResponse {
        let deadline_ms = self.settings.limits.shutdown_deadline.as_millis();
        DrainResponse {
            process: self.settings.process.name.clone(),
            deadline_ms: u64::try_from(deadline_ms).unwrap_or(u64::MAX),
        }
    }

    fn events_response(&self) -> EventsResponse {
        let minions = self.membership.minions().map(|minion| Peer {
            name: minion.name.clone(),
            http_address: minion.http_address,
        });
        let entries = self.membership.entries().map(|entry| Peer {
            name: entry.name.clone(),
            http_address: entry.http_address,
        });
        EventsResponse {
            process: self.settings.process.name.clone(),
            dropped_count: self.timeline.dropped_count(),
            events: self.timeline.snapshot(),
            peers: entries.chain(minions).collect(),
        }
    }
}

impl PendingApply {
    fn respond(&mut self, response: &ApplyResponse) {
        if let Some(responder) = self.responder.take() {
            responder.respond(HttpResponse::json(response.http_status(), response));
        }
    }
}

fn apply_response(outcome: ApplyOutcome) -> ApplyResponse {
    ApplyResponse {
        outcome,
        version: None,
        current_version: None,
        in_force_count: None,
        process_count: None,
        message: None,
        problems: Vec::new(),
    }
}

fn invalid_response(problems: Vec<IniProblem>) -> ApplyResponse {
    ApplyResponse {
        message: Some("the configuration has errors; nothing was applied".to_owned()),
        problems,
        ..apply_response(ApplyOutcome::Invalid)
    }
}

fn not_applied_response(message: &str) -> ApplyResponse {
    ApplyResponse {
        message: Some(format!("{message}; nothing was applied, try again")),
        ..apply_response(ApplyOutcome::NotApplied)
    }
}
