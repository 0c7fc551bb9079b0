//! Operators replace the same configuration concurrently through different entries.

use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};
use knapweedrill::api::{ApplyOutcome, ExpectedParent};

use super::{Operator, finish_with_version_check};
use crate::faults::fault_case::Seed;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(500);
const RACE_COUNT: u32 = 5;
const ENTRY_COUNT: usize = 2;

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new().callers(2), WARM_UP);
    let mut outcomes_by_race = Vec::new();
    for race in 0..RACE_COUNT {
        outcomes_by_race.push(run_race(&mut run, race)?);
    }
    let mut report = finish_with_version_check(run)?;
    for outcomes in outcomes_by_race {
        let mut sorted = outcomes.clone();
        sorted.sort_unstable();
        report.expect(
            sorted == [ApplyOutcome::Accepted, ApplyOutcome::Rejected],
            format!("one change is accepted and the other rejected; got {outcomes:?}"),
        );
    }
    Ok(report)
}

/// Replaces the same configuration concurrently through each entry and returns the outcomes.
fn run_race(run: &mut FaultRun, race: u32) -> Result<Vec<ApplyOutcome>> {
    let current = run.cluster.entry(0).api().configuration()?.version;
    let parent = current.map_or(ExpectedParent::Empty, ExpectedParent::Version);
    let operators = (0..ENTRY_COUNT).map(|number| {
        let api = run.cluster.entries()[number].api();
        Operator::new(format!("{race}-{number}"), api).race(race)
    });
    let threads: Vec<_> = operators
        .map(|operator| thread::spawn(move || operator.apply(parent)))
        .collect();
    let mut outcomes = Vec::new();
    for thread in threads {
        let applied = thread.join().map_err(|_| eyre!("an operator panicked"))?;
        let (response, apply) = applied?;
        run.history.add_apply(apply);
        outcomes.push(response.outcome);
    }
    Ok(outcomes)
}
