//! The runs that were reported as over, to recognise a report that was false.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::action::RunKey;
use crate::dispatch::message::PlacementOutcome;

/// The number of reports that are remembered.
const REPORT_COUNT_MAX: usize = 256;

/// How long a report is remembered. Minions carry late orders out within this time.
const REPORT_RETENTION: Duration = Duration::from_secs(15);

/// A report that a run is over.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunReport {
    run: RunKey,
    pub(super) reported_at: Instant,
    pub(super) outcome: PlacementOutcome,
}

/// The latest reports on runs whose end the minion has not listed.
///
/// Each was derived from something else, such as the end of a lease, and would be false if the
/// minion still had the run.
#[derive(Debug, Default)]
pub(super) struct ReportedRuns {
    reports: VecDeque<RunReport>,
}

impl ReportedRuns {
    /// Records a report, and forgets those that are too old.
    pub(super) fn record(&mut self, run: RunKey, outcome: PlacementOutcome, now: Instant) {
        let is_old = |report: &mut RunReport| {
            now.saturating_duration_since(report.reported_at) > REPORT_RETENTION
        };
        while self.reports.pop_front_if(is_old).is_some() {}
        if self.reports.len() == REPORT_COUNT_MAX {
            self.reports.pop_front();
        }
        self.reports.push_back(RunReport {
            run,
            reported_at: now,
            outcome,
        });
    }

    /// Returns the latest report on a run, if it is remembered.
    pub(super) fn find(&self, run: RunKey) -> Option<RunReport> {
        let mut reports = self.reports.iter().rev();
        reports.find(|report| report.run == run).copied()
    }
}
