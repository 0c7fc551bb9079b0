//! The result of a fault case.

use std::collections::BTreeMap;
use std::fmt;

use knapweedrill_derive::{message, value};

use super::{FaultCase, Seed};
use crate::checker::{CallerAnswer, History, Report, Submission, check};
use crate::harness::JobOutcome;

/// The result of a fault case.
#[value]
pub struct FaultReport {
    /// The case that was run.
    pub case: FaultCase,
    /// The seed of the run.
    pub seed: Seed,
    /// The number of submissions by outcome, with the reason of the outcome if it has one.
    pub outcome_counts: BTreeMap<String, usize>,
    /// The number of task starts that the minions reported.
    pub start_count: usize,
    /// The result of the checker.
    pub report: Report,
    /// The unmet expectations that the case has beyond the rules of the checker.
    pub unmet: Vec<String>,
}

/// The JSON form of a report.
#[message]
struct Summary {
    case: FaultCase,
    seed: Seed,
    passed: bool,
    outcome_counts: BTreeMap<String, usize>,
    start_count: usize,
    violations: Vec<String>,
    unmet: Vec<String>,
}

impl FaultReport {
    /// Checks a history and creates a report without expectations.
    pub fn new(case: FaultCase, seed: Seed, history: &History) -> Self {
        let mut outcome_counts = BTreeMap::new();
        for submission in history.submissions() {
            *outcome_counts.entry(outcome_label(submission)).or_default() += 1;
        }
        Self {
            case,
            seed,
            outcome_counts,
            start_count: history.starts().count(),
            report: check(history),
            unmet: Vec::new(),
        }
    }

    /// Records `expectation` as unmet unless `is_met`.
    pub fn expect(&mut self, is_met: bool, expectation: impl Into<String>) {
        if !is_met {
            self.unmet.push(expectation.into());
        }
    }

    /// Expects that a job is complete; `what` names the job.
    pub fn expect_complete(&mut self, what: &str, outcome: Option<JobOutcome>) {
        let is_complete = outcome == Some(JobOutcome::Complete);
        self.expect(is_complete, format!("{what} is complete; got {outcome:?}"));
    }

    /// Expects that no submission failed or had no response.
    pub fn expect_no_failure(&mut self) {
        let failures: Vec<String> = self
            .outcome_counts
            .iter()
            .filter(|(outcome, _)| outcome.starts_with("Failed") || *outcome == "unanswered")
            .map(|(outcome, count)| format!("{count} {outcome}"))
            .collect();
        let text = format!("no submission fails: {}", failures.join(", "));
        self.expect(failures.is_empty(), text);
    }

    /// Expects at least one submission, and that each one was complete.
    pub fn expect_all_complete(&mut self) {
        let complete = format!("{:?}", JobOutcome::Complete);
        let is_complete = self.outcome_counts.keys().eq([&complete]);
        let counts = format!("all jobs are complete; got {:?}", self.outcome_counts);
        self.expect(is_complete, counts);
    }

    /// Returns whether no rule was violated and every expectation was met.
    pub fn is_passed(&self) -> bool {
        self.report.is_clean() && self.unmet.is_empty()
    }

    /// Returns the report as one line of JSON.
    pub fn to_json(&self) -> String {
        let summary = Summary {
            case: self.case,
            seed: self.seed,
            passed: self.is_passed(),
            outcome_counts: self.outcome_counts.clone(),
            start_count: self.start_count,
            violations: self.report.violations().map(ToString::to_string).collect(),
            unmet: self.unmet.clone(),
        };
        serde_json::to_string(&summary).expect("all maps of the summary have string keys")
    }
}

impl fmt::Display for FaultReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_passed() { "passed" } else { "FAILED" };
        writeln!(f, "{} (seed {}): {verdict}", self.case, self.seed)?;
        writeln!(f, "starts: {}", self.start_count)?;
        for (outcome, count) in &self.outcome_counts {
            writeln!(f, "submissions {outcome}: {count}")?;
        }
        for expectation in &self.unmet {
            writeln!(f, "not met: {expectation}")?;
        }
        write!(f, "{}", self.report)
    }
}

/// Returns the outcome of a submission and the reason of that outcome as text.
fn outcome_label(submission: &Submission) -> String {
    match &submission.answer {
        CallerAnswer::Answered(answer) => {
            let reason = answer.reason.as_deref().unwrap_or_default();
            format!("{:?} {reason}", answer.outcome)
                .trim_end()
                .to_owned()
        }
        CallerAnswer::Unanswered => "unanswered".to_owned(),
        CallerAnswer::Malformed(_) => "malformed".to_owned(),
    }
}
