//! How large and how long a measurement is.

use std::thread;
use std::time::Duration;

use eyre::Result;

use super::{Bench, Observation};

/// How large and how long a measurement is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scale {
    /// How often everything is measured anew.
    pub repetition_count: usize,
    /// How many sizes of each sweep are measured.
    pub point_count: usize,
    /// How long a process is left alone before it is observed.
    pub settling: Duration,
    /// How long it is observed.
    pub window: Duration,
}

impl Scale {
    /// Returns the scale of a whole run.
    pub fn full() -> Self {
        Self {
            repetition_count: 2,
            point_count: 4,
            settling: Duration::from_millis(700),
            window: Duration::from_millis(1500),
        }
    }

    /// Returns the scale of a run that only shows that all can be measured.
    pub fn quick() -> Self {
        Self {
            repetition_count: 1,
            point_count: 3,
            settling: Duration::from_millis(150),
            window: Duration::from_millis(300),
        }
    }

    /// Returns the first sizes of a sweep.
    pub(super) fn sizes<'a>(&self, sizes: &'a [usize]) -> impl Iterator<Item = usize> + 'a {
        sizes.iter().copied().take(self.point_count)
    }

    /// Observes a daemon after it has settled.
    pub(super) fn observe(&self, bench: &Bench) -> Result<Observation> {
        thread::sleep(self.settling);
        Observation::over(bench, self.window)
    }
}
