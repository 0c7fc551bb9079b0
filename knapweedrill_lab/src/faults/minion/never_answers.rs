//! A minion accepts tasks and never responds, then recovers.

use std::time::Duration;

use eyre::Result;

use super::answers_late::{job_with_short_deadline, run_with_fault};
use crate::faults::fault_case::Seed;
use crate::faults::{FaultCase, FaultReport};
use crate::stand_in::minion::{MinionControl, MinionMode};

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let control = MinionControl::new(MinionMode::NeverAnswer);
    run_with_fault(
        case,
        seed,
        control,
        job_with_short_deadline(),
        Duration::from_secs(2),
    )
}
