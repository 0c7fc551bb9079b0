//! What the checker found.

use std::fmt;

use knapweedrill_derive::value;

use super::{Rule, Violation};

/// What the checker found for one rule.
#[value]
pub struct RuleReport {
    /// The rule.
    pub rule: Rule,
    /// How many observations the rule was held against.
    pub checked_count: usize,
    /// What broke it.
    pub violations: Vec<Violation>,
}

/// What the checker found for all rules.
#[value]
pub struct Report {
    rules: Vec<RuleReport>,
}

impl RuleReport {
    /// Creates the report of a rule that has checked nothing yet.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            checked_count: 0,
            violations: Vec::new(),
        }
    }

    /// Counts an observation, and what it violates if anything.
    pub(super) fn note(&mut self, violation: Option<Violation>) {
        self.checked_count += 1;
        self.violations.extend(violation);
    }
}

impl Report {
    /// Creates a report from those of the rules.
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

    /// Returns whether no rule is broken.
    pub fn is_clean(&self) -> bool {
        self.violations().next().is_none()
    }

    /// Returns how many observations a rule was held against.
    pub fn checked_count(&self, rule: Rule) -> usize {
        let reports = self.rules.iter().filter(|report| report.rule == rule);
        reports.map(|report| report.checked_count).sum()
    }

    /// Returns the rules that were held against nothing, and so prove nothing.
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
