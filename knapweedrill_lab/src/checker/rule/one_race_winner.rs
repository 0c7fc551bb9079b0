//! Exactly one of several racing applies is accepted.

use std::collections::BTreeMap;

use crate::checker::{Apply, ApplyOutcome, History, RaceId, RuleReport, Violation};

/// Checks the number of accepted applies in every race.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    for (race, applies) in races(history) {
        let winner_count = count(&applies, |outcome| {
            matches!(outcome, ApplyOutcome::Accepted(_))
        });
        let unknown_count = count(&applies, |outcome| outcome == ApplyOutcome::Unknown);
        // An apply without an answer may have been accepted.
        let has_winner = winner_count == 1 || winner_count == 0 && unknown_count > 0;
        let violation = Violation::RaceWithoutOneWinner { race, winner_count };
        report.record((!has_winner).then_some(violation));
    }
}

fn races(history: &History) -> BTreeMap<RaceId, Vec<&Apply>> {
    let mut races: BTreeMap<RaceId, Vec<&Apply>> = BTreeMap::new();
    for apply in history.applies() {
        if let Some(race) = apply.race {
            races.entry(race).or_default().push(apply);
        }
    }
    races
}

fn count(applies: &[&Apply], is_counted: impl Fn(ApplyOutcome) -> bool) -> usize {
    let outcomes = applies.iter().map(|apply| apply.outcome);
    outcomes.filter(|outcome| is_counted(*outcome)).count()
}
