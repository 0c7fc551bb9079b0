//! A leaving minion gets no new task after a bounded time.

use std::time::Duration;

use crate::checker::{Departure, History, RuleReport, Violation};

/// The maximum time from the announcement of a minion to leave until its last task starts.
pub const LEAVE_DELAY_MAX: Duration = Duration::from_secs(3);

/// Checks every departure of a minion.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    for departure in history.departures() {
        report.record(find_violation(departure, history));
    }
}

fn find_violation(departure: &Departure, history: &History) -> Option<Violation> {
    let starts = history.starts_at(&departure.minion).iter();
    let last_us = starts.map(|start| start.start_us).max()?;
    let after_us = last_us.saturating_sub(departure.announced_us);
    let violation = Violation::StartedWhileLeaving {
        minion: departure.minion.clone(),
        after_us,
    };
    (Duration::from_micros(after_us) > LEAVE_DELAY_MAX).then_some(violation)
}
