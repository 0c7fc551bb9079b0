//! A hybrid logical clock.

use super::HybridTime;

/// Hands out stamps that rise with every local event and every stamp received.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Creates a clock that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the stamp of a local event at wall-clock time `wall_us`.
    pub fn tick(&mut self, wall_us: u64) -> HybridTime {
        if wall_us > self.last.wall_us {
            self.last = HybridTime {
                wall_us,
                logical_count: 0,
            };
        } else {
            self.last.logical_count += 1;
        }
        self.last
    }

    /// Moves the clock past a stamp received from another process.
    pub fn observe(&mut self, received: HybridTime) {
        self.last = self.last.max(received);
    }
}
