//! A non-idempotent request runs at most once, over all tokens.

use std::collections::{BTreeMap, BTreeSet};

use knapweedrill::common::{JobId, TaskIndex};

use crate::checker::index::StartIndex;
use crate::checker::{History, RuleReport, Submission, Violation};

/// Checks every task of every non-idempotent request.
pub(super) fn check(history: &History, starts: &StartIndex, report: &mut RuleReport) {
    for (submission, jobs) in non_idempotent_requests(history) {
        for (index, _) in (0 as TaskIndex..).zip(&submission.echoes) {
            let start_count = jobs.iter().map(|job| starts.start_count(*job, index)).sum();
            let violation = Violation::NonIdempotentStartedTwice {
                team: submission.team.clone(),
                key: submission.key.clone(),
                index,
                start_count,
            };
            report.record((start_count > 1).then_some(violation));
        }
    }
}

/// Returns the first submission of each non-idempotent request and the jobs of all of them.
fn non_idempotent_requests(
    history: &History,
) -> impl Iterator<Item = (&Submission, BTreeSet<JobId>)> {
    let mut requests: BTreeMap<_, (&Submission, BTreeSet<JobId>)> = BTreeMap::new();
    for submission in history.submissions() {
        if !submission.is_idempotent {
            let (_, jobs) = requests
                .entry((&submission.team, &submission.key))
                .or_insert_with(|| (submission, BTreeSet::new()));
            jobs.insert(submission.task_id(0).job);
        }
    }
    requests.into_values()
}
