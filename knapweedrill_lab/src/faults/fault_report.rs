//! The result of a failure case.

use std::collections::BTreeMap;
use std::fmt;

use knapweedrill_derive::{message, value};

use super::{FaultCase, Seed};
use crate::checker::{CallerAnswer, History, Report, Submission, check};
use crate::harness::JobOutcome;

/// The result of a failure case.
#[value]
pub struct FaultReport {
    /// The case.
    pub case: FaultCase,
    /// The seed it ran with.
    pub seed: Seed,
    /// How many submissions had each outcome.
    pub outcome_counts: BTreeMap<String, usize>,
    /// How many starts the minions told of.
    pub start_count: usize,
    /// What the checker found.
    pub report: Report,
    /// Expectations of the case beyond the rules that were not met.
    pub unmet: Vec<String>,
}

/// A line of the machine-readable output.
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
    /// Checks a history.
    pub fn new(case: FaultCase, seed: Seed, history: &History) -> Self {
        let mut outcome_counts = BTreeMap::new();
        for submission in history.submissions() {
            *outcome_counts.entry(outcome(submission)).or_default() += 1;
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

    /// Notes an expectation of the case that was not met.
    pub fn expect(&mut self, is_met: bool, expectation: impl Into<String>) {
        if !is_met {
            self.unmet.push(expectation.into());
        }
    }

    /// Expects that jobs were submitted and that each was answered complete.
    pub fn expect_all_complete(&mut self) {
        let complete = format!("{:?}", JobOutcome::Complete);
        let is_complete = self.outcome_counts.keys().eq([&complete]);
        let counts = format!("all jobs are complete; answered {:?}", self.outcome_counts);
        self.expect(is_complete, counts);
    }

    /// Notes a job that did not end complete although the case expects it to.
    pub fn expect_complete(&mut self, what: &str, outcome: Option<JobOutcome>) {
        let is_complete = outcome == Some(JobOutcome::Complete);
        self.expect(is_complete, format!("{what} is complete, not {outcome:?}"));
    }

    /// Notes it if a submission failed or was not answered.
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

    /// Returns whether no rule was broken and every expectation was met.
    pub fn is_passed(&self) -> bool {
        self.report.is_clean() && self.unmet.is_empty()
    }

    /// Returns the report as a line of JSON.
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
        serde_json::to_string(&summary).expect("the summary has string keys only")
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

fn outcome(submission: &Submission) -> String {
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
