//! The findings of the checker.

use std::fmt;

use knapweedrill_derive::value;

use super::{Rule, Violation};

/// The findings for one rule.
#[value]
pub struct RuleReport {
    /// The rule that was checked.
    pub rule: Rule,
    /// The number of observations that the rule was checked against.
    pub checked_count: usize,
    /// The violations of the rule.
    pub violations: Vec<Violation>,
}

/// The findings for all rules.
#[value]
pub struct Report {
    rules: Vec<RuleReport>,
}

impl RuleReport {
    /// Creates the report of a rule that was not checked against any observation yet.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            checked_count: 0,
            violations: Vec::new(),
        }
    }

    /// Counts a checked observation and adds its violation, if there is one.
    pub(super) fn record(&mut self, violation: Option<Violation>) {
        self.checked_count += 1;
        self.violations.extend(violation);
    }
}

impl Report {
    /// Creates a report from the reports of the rules.
    pub(super) fn new(rules: Vec<RuleReport>) -> Self {
        Self { rules }
    }

    /// Returns the report of each rule.
    pub fn rules(&self) -> &[RuleReport] {
        &self.rules
    }

    /// Returns the violations of all rules.
    pub fn violations(&self) -> impl Iterator<Item = &Violation> {
        self.rules.iter().flat_map(|rule| &rule.violations)
    }

    /// Returns whether there are no violations.
    pub fn is_clean(&self) -> bool {
        self.violations().next().is_none()
    }

    /// Returns the number of observations that a rule was checked against.
    pub fn checked_count(&self, rule: Rule) -> usize {
        let reports = self.rules.iter().filter(|report| report.rule == rule);
        reports.map(|report| report.checked_count).sum()
    }

    /// Returns the rules without any observation to check, for which the report proves nothing.
    pub fn unchecked_rules(&self) -> impl Iterator<Item = Rule> {
        let unchecked = self.rules.iter().filter(|rule| rule.checked_count == 0);
        unchecked.map(|rule| rule.rule)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for report in &self.rules {
            let violation_count = report.violations.len();
            match report.checked_count {
                0 => writeln!(f, "{}: checked nothing", report.rule)?,
                count => writeln!(f, "{}: {violation_count} of {count}", report.rule)?,
            }
            for violation in &report.violations {
                writeln!(f, "  {violation}")?;
            }
        }
        Ok(())
    }
}
