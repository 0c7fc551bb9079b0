//! A randomized soak: real processes on this machine, with faults brought in from outside.
//!
//! A seed decides which faults come, where, when and for how long; they overlap. Callers keep their
//! connections and hand jobs in again, as the platform's do. The promises are checked while it runs,
//! from what callers and minions see. After the faults, a calm part checks what is promised then.

mod apply;
mod callers;
mod checks;
mod options;
mod plan;
mod report;
mod run;
mod trouble;

pub use callers::{Attempt, CalledJob};
pub use checks::{SeenRun, check_answers, check_calm};
pub use options::SoakOptions;
pub use report::SoakReport;
pub use run::run;
