//! What the demo found.

use std::fmt;

use knapweedrill::common::ProcessName;
use knapweedrill_derive::message;

use super::{MessageCounts, ResponseSummary, TeamShare};
use crate::checker::{Report, Rule};

/// What the checker found for one promise.
#[message]
pub struct PromiseLine {
    /// The rule of the checker.
    pub rule: Rule,
    /// How many observations it was held against.
    pub checked_count: usize,
    /// What broke it.
    pub violations: Vec<String>,
}

/// What the demo found.
#[message]
pub struct DemoReport {
    /// The response times of each kind of work.
    pub responses: Vec<ResponseSummary>,
    /// The messages that the processes sent.
    pub messages: MessageCounts,
    /// What each team had of the slots.
    pub shares: Vec<TeamShare>,
    /// What the checker found.
    pub promises: Vec<PromiseLine>,
    /// The processes whose planned stop did not end well.
    pub unclean_stops: Vec<ProcessName>,
}

impl PromiseLine {
    /// Returns whether the promise was checked and holds.
    pub fn is_kept(&self) -> bool {
        self.checked_count > 0 && self.violations.is_empty()
    }
}

impl DemoReport {
    /// Creates a report.
    pub(super) fn new(
        responses: Vec<ResponseSummary>,
        messages: MessageCounts,
        shares: Vec<TeamShare>,
        checked: &Report,
        unclean_stops: Vec<ProcessName>,
    ) -> Self {
        let promises = checked.rules().iter().map(|rule| PromiseLine {
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

    /// Returns whether every promise was checked and holds, and every process stopped well.
    pub fn is_passed(&self) -> bool {
        self.promises.iter().all(PromiseLine::is_kept) && self.unclean_stops.is_empty()
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_responses(f, &self.responses)?;
        write_messages(f, self.messages)?;
        write_shares(f, &self.shares)?;
        write_promises(f, &self.promises)?;
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

fn write_promises(f: &mut fmt::Formatter<'_>, promises: &[PromiseLine]) -> fmt::Result {
    for promise in promises {
        let verdict = match promise.violations.len() {
            _ if promise.checked_count == 0 => "NOT CHECKED".to_owned(),
            0 => "holds".to_owned(),
            count => format!("BROKEN {count} times"),
        };
        let rule = promise.rule.to_string();
        let checked_count = promise.checked_count;
        writeln!(f, "{rule:<30}{verdict:<18}{checked_count} checked")?;
        for violation in &promise.violations {
            writeln!(f, "  {violation}")?;
        }
    }
    Ok(())
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
