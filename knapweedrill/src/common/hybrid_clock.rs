//! A hybrid logical clock.

use super::HybridTime;

/// Issues timestamps that are later than those of all earlier local events and of all messages
/// received.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Creates a clock without a history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the timestamp of a local event at wall-clock time `wall_us`, in microseconds since
    /// the Unix epoch.
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

    /// Advances the clock past a timestamp received from another process.
    pub fn observe(&mut self, received: HybridTime) {
        self.last = self.last.max(received);
    }
}
