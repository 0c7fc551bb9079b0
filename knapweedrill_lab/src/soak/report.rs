//! What a soak has found.

use std::fmt;

/// What a soak has found.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// The faults that were brought in, with begin and end.
    pub troubles: Vec<String>,
    /// How many jobs were handed in.
    pub job_count: usize,
    /// How many of them were completed.
    pub completed_count: usize,
    /// How many runs the minions have seen.
    pub run_count: usize,
    /// What contradicts the promises.
    pub violations: Vec<String>,
}

impl SoakReport {
    /// Returns whether all promises were kept.
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
            self.troubles.len(),
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
        for trouble in &self.troubles {
            writeln!(f, "  fault {trouble}")?;
        }
        Ok(())
    }
}
