//! The number of slots of a minion drops under load.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::checker::MinionStart;
use crate::faults::fault_case::Seed;
use crate::faults::fault_run::minion_name;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, MinionSpec};
use crate::stand_in::minion::MinionControl;
use crate::wall_clock::wall_us;

const WARM_UP: Duration = Duration::from_millis(1000);
const SLOT_COUNT: u32 = 8;
const FEWER_SLOT_COUNT: u32 = 2;
/// Longer than the tasks that run when the number of slots drops.
const SETTLING_TIME: Duration = Duration::from_millis(1000);
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new().slots(SLOT_COUNT));
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    let fewer = MinionControl {
        slots: Some(FEWER_SLOT_COUNT),
        ..MinionControl::default()
    };
    run.cluster.minions()[0].control(fewer)?;
    thread::sleep(SETTLING_TIME);
    let settled_us = wall_us();
    thread::sleep(OBSERVATION_TIME);
    run.stop_callers()?;
    run.collect();
    let minion = minion_name(0);
    let running_count = max_concurrent_tasks(run.history.starts_at(&minion), settled_us);
    let mut report = run.finish()?;
    report.expect(
        (1..=FEWER_SLOT_COUNT as usize).contains(&running_count),
        format!(
            "the minion runs tasks, and no more than it has slots; it ran {running_count} at once"
        ),
    );
    report.expect_all_complete();
    Ok(report)
}

/// Returns the largest number of tasks that ran at once, sampled at each start since `from_us`.
fn max_concurrent_tasks(starts: &[MinionStart], from_us: u64) -> usize {
    let later = starts.iter().filter(|start| start.start_us >= from_us);
    later
        .map(|sampled| {
            let at_us = sampled.start_us;
            let is_running = |start: &&MinionStart| {
                start.start_us <= at_us && start.end_us.is_none_or(|end_us| end_us > at_us)
            };
            starts.iter().filter(is_running).count()
        })
        .max()
        .unwrap_or(0)
}
