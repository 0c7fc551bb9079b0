//! A row of the tables of needs.

use std::fmt;

use super::bound::Bound;

/// The head of a table of needs.
pub(super) const HEAD: &str = "\
| row | arithmetic | state today | bound | mechanism |
|---|---|---|---|---|";

/// A row of the tables of needs.
pub(super) struct Row {
    name: &'static str,
    arithmetic: String,
    state: String,
    bound: &'static str,
    mechanism: &'static str,
}

impl Row {
    /// Creates a row without state and bound.
    pub(super) fn new(name: &'static str, arithmetic: String) -> Self {
        Self {
            name,
            arithmetic,
            state: String::new(),
            bound: "",
            mechanism: "",
        }
    }

    /// Sets how the need stands to its bound.
    pub(super) fn state(mut self, state: impl Into<String>) -> Self {
        self.state = state.into();
        self
    }

    /// Sets the bound, in words where it is not one of a process.
    pub(super) fn bound(mut self, bound: &'static str) -> Self {
        self.bound = bound;
        self
    }

    /// Compares a need with its bound.
    pub(super) fn need(self, bound: Bound, need: f64) -> Self {
        self.state(bound.verdict(need)).bound(bound.name())
    }

    /// Compares a need with its bound, and tells the size at which the bound is reached.
    ///
    /// The size is counted in `unit`, and each of it costs `slope`.
    pub(super) fn need_of(self, bound: Bound, need: f64, slope: f64, unit: &str) -> Self {
        self.state(bound.verdict_with_limit(need, slope, unit))
            .bound(bound.name())
    }

    /// Sets the mechanism that carries the row.
    pub(super) fn mechanism(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {} | {} | {} | {} |",
            self.name, self.arithmetic, self.state, self.bound, self.mechanism
        )
    }
}

/// Writes a table of needs.
pub(super) fn table(rows: &[Row]) -> String {
    let rows = rows.iter().map(Row::to_string);
    std::iter::once(HEAD.to_owned())
        .chain(rows)
        .collect::<Vec<String>>()
        .join("\n")
}
