//! The report of the demo.

use std::fmt;

use knapweedrill::common::ProcessName;
use knapweedrill_derive::message;

use super::{MessageCounts, ResponseSummary, TeamShare};
use crate::checker::{Report, Rule};

/// The result of the checker for one rule.
#[message]
pub struct RuleSummary {
    /// The rule that was checked.
    pub rule: Rule,
    /// The number of observations that the rule was checked against.
    pub checked_count: usize,
    /// The descriptions of all violations of the rule.
    pub violations: Vec<String>,
}

/// The report of the demo.
#[message]
pub struct DemoReport {
    /// The response times of each kind of work.
    pub responses: Vec<ResponseSummary>,
    /// The counts of the messages that the processes sent.
    pub messages: MessageCounts,
    /// The share of the slot time that each team used.
    pub shares: Vec<TeamShare>,
    /// The results of the checker, by rule.
    pub promises: Vec<RuleSummary>,
    /// The processes whose exit status after a planned stop was not 0.
    pub unclean_stops: Vec<ProcessName>,
}

impl RuleSummary {
    /// Returns whether the rule was checked and not violated.
    pub fn holds(&self) -> bool {
        self.checked_count > 0 && self.violations.is_empty()
    }
}

impl DemoReport {
    /// Creates a report from the measurements and the result of the checker.
    pub(super) fn new(
        responses: Vec<ResponseSummary>,
        messages: MessageCounts,
        shares: Vec<TeamShare>,
        checked: &Report,
        unclean_stops: Vec<ProcessName>,
    ) -> Self {
        let promises = checked.rules().iter().map(|rule| RuleSummary {
            rule: rule.rule,
            checked_count: rule.checked_count,
            violations: rule.violations.iter().map(ToString::to_string).collect(),
        });
        Self {
            responses,
            messages,
            shares,
            promises: promises.collect(),
            unclean_stops,
        }
    }

    /// Returns whether every rule was checked and holds, and every process exited with status 0.
    pub fn is_passed(&self) -> bool {
        self.promises.iter().all(RuleSummary::holds) && self.unclean_stops.is_empty()
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_responses(f, &self.responses)?;
        write_messages(f, self.messages)?;
        write_shares(f, &self.shares)?;
        write_rules(f, &self.promises)?;
        for process in &self.unclean_stops {
            writeln!(f, "{process} did not stop as planned")?;
        }
        let verdict = if self.is_passed() {
            "all promises hold"
        } else {
            "NOT all promises hold"
        };
        writeln!(f, "{verdict}")
    }
}

fn write_responses(f: &mut fmt::Formatter<'_>, responses: &[ResponseSummary]) -> fmt::Result {
    writeln!(
        f,
        "{:<12}{:>6}{:>10}{:>12}{:>12}{:>14}{:>14}",
        "kind", "jobs", "complete", "median ms", "p99 ms", "median/ideal", "p99/ideal"
    )?;
    for response in responses {
        writeln!(
            f,
            "{:<12}{:>6}{:>10}{:>12}{:>12}{:>14.2}{:>14.2}",
            response.kind,
            response.job_count,
            response.complete_count,
            response.median_us / 1_000,
            response.p99_us / 1_000,
            ratio(response.ideal_median_percent, 100),
            ratio(response.ideal_p99_percent, 100),
        )?;
    }
    writeln!(f)
}

fn write_messages(f: &mut fmt::Formatter<'_>, messages: MessageCounts) -> fmt::Result {
    let per_task = |count| ratio(count, messages.task_count.max(1));
    writeln!(
        f,
        "messages a task: {:.2} for work, {:.2} for upkeep, {:.4} wasted ({} tasks)\n",
        per_task(messages.work_count),
        per_task(messages.upkeep_count),
        per_task(messages.wasted_count),
        messages.task_count,
    )
}

fn write_shares(f: &mut fmt::Formatter<'_>, shares: &[TeamShare]) -> fmt::Result {
    writeln!(
        f,
        "{:<12}{:>8}{:>14}{:>8}",
        "team", "tasks", "slot time ms", "share"
    )?;
    for share in shares {
        writeln!(
            f,
            "{:<12}{:>8}{:>14}{:>6} %",
            share.team, share.task_count, share.slot_ms, share.share_percent
        )?;
    }
    writeln!(f)
}

fn write_rules(f: &mut fmt::Formatter<'_>, summaries: &[RuleSummary]) -> fmt::Result {
    for summary in summaries {
        let verdict = match summary.violations.len() {
            _ if summary.checked_count == 0 => "NOT CHECKED".to_owned(),
            0 => "holds".to_owned(),
            count => format!("BROKEN {count} times"),
        };
        let rule = summary.rule.to_string();
        let checked_count = summary.checked_count;
        writeln!(f, "{rule:<30}{verdict:<18}{checked_count} checked")?;
        for violation in &summary.violations {
            writeln!(f, "  {violation}")?;
        }
    }
    Ok(())
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
