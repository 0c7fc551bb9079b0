//! Of several racing applies exactly one is accepted.

use std::collections::BTreeMap;

use crate::checker::{Apply, ApplyOutcome, History, RaceNumber, RuleReport, Violation};

/// Checks every race.
pub(super) fn check(history: &History, report: &mut RuleReport) {
    for (race, applies) in races(history) {
        let winner_count = count(&applies, |outcome| {
            matches!(outcome, ApplyOutcome::Accepted(_))
        });
        let unknown_count = count(&applies, |outcome| outcome == ApplyOutcome::Unknown);
        // The winner may be one whose operator got no answer.
        let has_winner = winner_count == 1 || winner_count == 0 && unknown_count > 0;
        let violation = Violation::RaceWithoutOneWinner { race, winner_count };
        report.note((!has_winner).then_some(violation));
    }
}

fn races(history: &History) -> BTreeMap<RaceNumber, Vec<&Apply>> {
    let mut races: BTreeMap<RaceNumber, Vec<&Apply>> = BTreeMap::new();
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
