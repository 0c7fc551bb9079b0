//! The crashes of a minion, and the queues that they are attributed to.

use std::time::Instant;

use super::run::{Phase, Run};
use crate::dispatch::QueueTag;
use crate::dispatch::message::CrashRecord;
use crate::dispatch::units::millis;

/// Records the crashes of a minion as opposed to lapses, stops and silence.
///
/// A crash shows by refused connections, or by a new incarnation of the minion. The job on trial is
/// the cause of a crash if there is one, or else the run that was ordered last.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    record: CrashRecord,
    /// When the last crash was noticed.
    last_at: Option<Instant>,
    /// Whether the minion is down since the last crash, so that its new incarnation is no further
    /// crash.
    is_down: bool,
}

impl CrashLog {
    /// Returns what entries are told.
    pub(super) fn record(&self) -> CrashRecord {
        self.record
    }

    /// Records that the minion has crashed during the runs; does nothing if that is known.
    pub(super) fn crashed<'a>(&mut self, runs: impl Iterator<Item = &'a Run>, now: Instant) {
        if std::mem::replace(&mut self.is_down, true) {
            return;
        }
        self.last_at = Some(now);
        let Some(cause) = likely_cause(runs, now) else {
            return;
        };
        self.record.count = self.record.count.saturating_add(1);
        self.record.queue = Some(cause);
    }

    /// Records that the last run of a job on trial has ended without a crash.
    pub(super) fn trial_passed(&mut self) {
        self.record.passed_count = self.record.passed_count.saturating_add(1);
    }

    /// Records that a new incarnation of the minion has started, or that it answers again.
    pub(super) fn recovered(&mut self) {
        self.is_down = false;
    }

    /// Returns whether a run that the minion does not have ended by a crash.
    pub(super) fn ended(&self, run: &Run) -> bool {
        let is_stopped = matches!(run.phase, Phase::Stopped(_));
        run.may_have_started() && !is_stopped && self.last_at.is_some_and(|at| run.ordered_at <= at)
    }
}

/// Returns the queue of the run that has most likely crashed the minion.
fn likely_cause<'a>(runs: impl Iterator<Item = &'a Run>, now: Instant) -> Option<QueueTag> {
    let mut cause: Option<&Run> = None;
    for run in runs.filter(|run| run.may_have_started()) {
        log::warn!(
            job:% = run.key.task.job, task = run.key.task.index, run = run.key.number,
            queue = run.queue, is_trial = run.is_trial,
            age_ms = millis(run.age(now)); "run on the crashed minion"
        );
        let rank = |run: &Run| (run.is_trial, run.ordered_at);
        if cause.is_none_or(|cause| rank(cause) < rank(run)) {
            cause = Some(run);
        }
    }
    cause.map(|run| run.queue)
}
