//! What operators ask of an entry.

use std::time::{Duration, Instant};

use knapweedrill::api::{
    ApplyOutcome, ApplyResponse, DrainResponse, EventsResponse, ExpectedParent, Peer,
};
use knapweedrill::common::LogOffset;
use knapweedrill::contract::{
    AppendOutcome, Configuration, ConfigurationRecord, ConfigurationVersion,
};
use knapweedrill::ini::IniProblem;

use super::HttpCall;
use super::configuration::configuration_reply;
use super::entry::EntryControl;
use crate::http::{HttpResponse, Responder};
use crate::platform_log::{AppendError, LogRecord};

const OK: u16 = 200;

/// How long the fate of an append whose answer was lost is looked out for.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// An operator who waits for a configuration to be accepted or to be in force everywhere.
pub(super) struct PendingApply {
    record_id: u64,
    responder: Option<Responder>,
    wait: Duration,
    phase: ApplyPhase,
    until: Instant,
}

/// How far a configuration has come.
enum ApplyPhase {
    /// It is on its way into the log.
    Appending,
    /// It is in the log, or may be; what became of it has to be read.
    ReadingBack,
    /// It was accepted and is being spread.
    Spreading { version: ConfigurationVersion },
}

impl EntryControl {
    pub(super) fn take_operator_call(&mut self, call: HttpCall, now: Instant) {
        match call {
            HttpCall::Apply {
                body,
                parent,
                wait,
                responder,
            } => self.apply(body, parent, wait, responder, now),
            HttpCall::Configuration { responder } => {
                responder.respond(configuration_reply(&self.configuration));
            }
            HttpCall::Show { responder } => responder.respond(HttpResponse::json(OK, &self.show())),
            HttpCall::Events { responder } => {
                responder.respond(HttpResponse::json(OK, &self.events()));
            }
            HttpCall::Drain { responder } => {
                responder.respond(HttpResponse::json(OK, &self.drain_answer()));
                self.stop(now);
            }
            // The gate passes neither on to an entry's operator calls.
            HttpCall::Job { .. } | HttpCall::Minion { .. } => {}
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
            let answer = invalid(error.problems().to_vec());
            responder.respond(HttpResponse::json(answer.http_status(), &answer));
            return;
        }
        let record_id: u64 = rand::random();
        let parent = parent.resolve(self.configuration.version());
        let record = ConfigurationRecord::new(record_id, parent, body);
        if !self.log.append(record_id, LogRecord::Configuration(record)) {
            let answer = not_applied("too many appends are waiting for the log");
            responder.respond(HttpResponse::json(answer.http_status(), &answer));
            return;
        }
        self.configuration.watch(record_id);
        self.applies.push(PendingApply {
            record_id,
            responder: Some(responder),
            wait,
            phase: ApplyPhase::Appending,
            until: now + READ_BACK_TIMEOUT,
        });
    }

    /// Takes in whether a record reached the log.
    pub(super) fn appended(
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
                apply.respond(&not_applied(&message));
                self.configuration.unwatch(record_id);
            }
            Ok(_) | Err(AppendError::Unknown(_)) => {
                apply.phase = ApplyPhase::ReadingBack;
                apply.until = now + READ_BACK_TIMEOUT;
            }
        }
        self.applies.retain(|apply| apply.responder.is_some());
    }

    /// Answers the operators whose configuration has come far enough, or not in time.
    pub(super) fn resolve_applies(&mut self, now: Instant) {
        let mut applies = std::mem::take(&mut self.applies);
        for apply in &mut applies {
            self.resolve_apply(apply, now);
            if apply.responder.is_none() {
                self.configuration.unwatch(apply.record_id);
            }
        }
        applies.retain(|apply| apply.responder.is_some());
        self.applies = applies;
    }

    fn resolve_apply(&self, apply: &mut PendingApply, now: Instant) {
        match apply.phase {
            ApplyPhase::Appending => {}
            ApplyPhase::ReadingBack => self.read_back(apply, now),
            ApplyPhase::Spreading { version } => self.spread(apply, version, now),
        }
    }

    fn read_back(&self, apply: &mut PendingApply, now: Instant) {
        match self.configuration.fate(apply.record_id) {
            AppendOutcome::Accepted { version } => {
                apply.phase = ApplyPhase::Spreading { version };
                apply.until = now + apply.wait;
                self.spread(apply, version, now);
            }
            AppendOutcome::Rejected => apply.respond(&ApplyResponse {
                current_version: self.configuration.version(),
                message: Some("another configuration came first; apply yours to it".to_owned()),
                ..bare(ApplyOutcome::Rejected)
            }),
            AppendOutcome::Unknown if now >= apply.until => apply.respond(&ApplyResponse {
                message: Some(
                    "the log's answer was lost; ask for the configuration before another try"
                        .to_owned(),
                ),
                ..bare(ApplyOutcome::Unknown)
            }),
            AppendOutcome::Unknown => {}
        }
    }

    fn spread(&self, apply: &mut PendingApply, version: ConfigurationVersion, now: Instant) {
        let known_count = 1 + self.membership.configurations().count();
        let in_force_count = 1 + self
            .membership
            .configurations()
            .filter(|(_, known)| *known >= Some(version))
            .count();
        let is_waited_for = !apply.wait.is_zero();
        if is_waited_for && in_force_count < known_count && now < apply.until {
            return;
        }
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        apply.respond(&ApplyResponse {
            version: Some(version),
            in_force_count: is_waited_for.then(|| count(in_force_count)),
            process_count: is_waited_for.then(|| count(known_count)),
            ..bare(ApplyOutcome::Accepted)
        });
    }

    fn drain_answer(&self) -> DrainResponse {
        let deadline_ms = self.settings.limits.shutdown_deadline.as_millis();
        DrainResponse {
            process: self.settings.process.name.clone(),
            deadline_ms: u64::try_from(deadline_ms).unwrap_or(u64::MAX),
        }
    }

    fn events(&self) -> EventsResponse {
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
    fn respond(&mut self, answer: &ApplyResponse) {
        if let Some(responder) = self.responder.take() {
            responder.respond(HttpResponse::json(answer.http_status(), answer));
        }
    }
}

fn bare(outcome: ApplyOutcome) -> ApplyResponse {
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

fn invalid(problems: Vec<IniProblem>) -> ApplyResponse {
    ApplyResponse {
        message: Some("the configuration has errors; nothing was applied".to_owned()),
        problems,
        ..bare(ApplyOutcome::Invalid)
    }
}

fn not_applied(message: &str) -> ApplyResponse {
    ApplyResponse {
        message: Some(format!("{message}; nothing was applied, try again")),
        ..bare(ApplyOutcome::NotApplied)
    }
}
