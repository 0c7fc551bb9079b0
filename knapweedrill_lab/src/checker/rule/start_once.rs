//! Every task starts at most once, over all resubmissions.

use crate::checker::index::StartIndex;
use crate::checker::{RuleReport, Violation};

/// Checks the number of starts of every task that started.
pub(super) fn check(starts: &StartIndex, report: &mut RuleReport) {
    for (job, index, task_starts) in starts.tasks() {
        let start_count = task_starts.count();
        let violation = Violation::StartedTwice {
            job,
            index,
            start_count,
        };
        report.record((start_count > 1).then_some(violation));
    }
}
