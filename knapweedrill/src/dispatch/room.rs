//! What a task takes up on a minion.

use knapweedrill_derive::key;

/// An amount of what a minion offers and a task takes up.
#[key]
#[derive(Default)]
pub struct Room {
    /// Processor, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerator_count: u32,
}

impl Room {
    /// Returns whether this much fits into `free`.
    pub fn fits_into(self, free: Self) -> bool {
        self.cpu_millicores <= free.cpu_millicores
            && self.memory_mib <= free.memory_mib
            && self.accelerator_count <= free.accelerator_count
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerator_count: self
                .accelerator_count
                .saturating_add(other.accelerator_count),
        }
    }

    /// Returns the difference; what would be negative is 0, as no room is left then.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerator_count: self
                .accelerator_count
                .saturating_sub(other.accelerator_count),
        }
    }

    /// Returns whether there is none of anything.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}
