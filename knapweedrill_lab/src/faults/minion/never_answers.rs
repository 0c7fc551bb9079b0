//! A minion takes tasks and never answers; then it is well again.

use std::time::Duration;

use eyre::Result;

use super::answers_late::{run_through, short_deadline};
use crate::faults::fault_case::Seed;
use crate::faults::{FaultCase, FaultReport};
use crate::stand_in::minion::{MinionControl, MinionMode};

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let control = MinionControl::new(MinionMode::NeverAnswer);
    run_through(
        case,
        seed,
        control,
        short_deadline(),
        Duration::from_secs(2),
    )
}
