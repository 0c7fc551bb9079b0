//! The report of a soak test.

use std::fmt;

/// The report of a soak test; its `Display` lists violations and faults if a check failed.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// The seed of the soak test, to run it again.
    pub seed: u64,
    /// The faults that were injected, with start and end.
    pub faults: Vec<String>,
    /// The number of jobs that callers submitted.
    pub job_count: usize,
    /// The number of jobs that were completed.
    pub completed_count: usize,
    /// The number of runs that the minions recorded.
    pub run_count: usize,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

impl SoakReport {
    /// Returns whether no guarantee was violated.
    pub fn is_passed(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_passed() { "kept" } else { "BROKEN" };
        writeln!(
            f,
            "seed {}: promises {verdict}; {} faults, {} of {} jobs completed, {} runs",
            self.seed,
            self.faults.len(),
            self.completed_count,
            self.job_count,
            self.run_count
        )?;
        if self.is_passed() {
            return Ok(());
        }
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        for fault in &self.faults {
            writeln!(f, "  fault {fault}")?;
        }
        Ok(())
    }
}
