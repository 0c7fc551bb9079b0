//! The metrics of an entry.

use std::time::{Duration, Instant};

use knapweedrill::entry::{EntryCounter, EntryTimer};
use knapweedrill::event::EventKind;
use knapweedrill::job::{Failure, Refusal};

use super::EntryControl;
use crate::telemetry::{Counter, Gauge, Timer};

/// How often gauges, and counters that other components keep, are copied to the metrics.
pub(super) const METRICS_INTERVAL: Duration = Duration::from_millis(100);

impl EntryControl {
    pub(super) fn count(&self, counter: EntryCounter) {
        self.metrics.add(counter_of(counter), 1);
        if matches!(
            counter,
            EntryCounter::NotStarted | EntryCounter::CreditReturned
        ) {
            self.metrics.add(Counter::MessagesWasted, 1);
        }
    }

    pub(super) fn count_event(&self, event: &EventKind) {
        let counter = match event {
            EventKind::MinionEjected { .. } => Counter::MinionsEjected,
            EventKind::MinionReadmitted { .. } => Counter::MinionsReadmitted,
            EventKind::JobFailed {
                failure: Failure::Cancelled,
                ..
            }
            | EventKind::JobNotRun {
                refusal: Refusal::Cancelled,
                ..
            } => Counter::JobsCancelled,
            _ => return,
        };
        self.metrics.add(counter, 1);
    }

    pub(super) fn publish(&mut self, now: Instant) {
        self.published
            .set(self.entry.owner_token(), self.entry.is_ready());
        if now < self.metrics_due_at {
            return;
        }
        self.metrics_due_at = now + METRICS_INTERVAL;
        self.peers.publish(&self.datagrams);
        let metrics = &self.metrics;
        let queued = self.entry.queue_totals();
        metrics.set(Gauge::QueuedTasks, u64::from(queued.task_count));
        metrics.set(Gauge::QueuedBytes, queued.payload_bytes);
        metrics.set(
            Gauge::KnownEntries,
            self.membership.entries().count() as u64,
        );
        metrics.set(
            Gauge::KnownMinions,
            self.membership.minions().count() as u64,
        );
        metrics.raise_to(Counter::DatagramsStale, self.membership.stale_count());
        metrics.raise_to(
            Counter::ConfigurationsRejected,
            self.configuration.rejected_count(),
        );
        metrics.set(Gauge::JobsInFlight, self.entry.live_job_count() as u64);
        metrics.set(Gauge::KeptKeys, self.entry.key_count() as u64);
        metrics.set(Gauge::KeptAnswerBytes, self.entry.answer_bytes() as u64);
    }
}

pub(super) fn timer_of(timer: EntryTimer) -> Timer {
    match timer {
        EntryTimer::JobResponse => Timer::JobResponse,
        EntryTimer::TaskWait => Timer::TaskWait,
    }
}

fn counter_of(counter: EntryCounter) -> Counter {
    match counter {
        EntryCounter::JobAccepted => Counter::JobsAccepted,
        EntryCounter::JobAttached => Counter::JobsAttached,
        EntryCounter::JobCompleted => Counter::JobsCompleted,
        EntryCounter::JobFailed => Counter::JobsFailed,
        EntryCounter::JobNotRun => Counter::JobsNotRun,
        EntryCounter::Relayed => Counter::JobsRelayed,
        EntryCounter::HandedOut => Counter::TasksHandedOut,
        EntryCounter::NotStarted => Counter::TasksFenced,
        EntryCounter::ReportDropped => Counter::ResultsDropped,
        EntryCounter::CreditReturned => Counter::CreditsReturned,
        EntryCounter::UnexpectedMessage => Counter::MessagesUnexpected,
    }
}
