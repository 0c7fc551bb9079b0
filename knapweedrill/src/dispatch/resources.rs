//! Amounts of compute resources.

use knapweedrill_derive::key;

/// An amount of the resources that a minion has and a task needs.
#[key]
#[derive(Default)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// The number of accelerators.
    pub accelerator_count: u32,
}

impl Resources {
    /// Returns whether no amount exceeds that in `free`.
    pub fn fits_into(self, free: Self) -> bool {
        self.cpu_millicores <= free.cpu_millicores
            && self.memory_mib <= free.memory_mib
            && self.accelerator_count <= free.accelerator_count
    }

    /// Returns how many times the amounts fit into those in `free`.
    pub fn count_in(self, free: Self) -> u32 {
        let counts = [
            free.cpu_millicores.checked_div(self.cpu_millicores),
            free.memory_mib.checked_div(self.memory_mib),
            free.accelerator_count.checked_div(self.accelerator_count),
        ];
        counts.into_iter().flatten().min().unwrap_or(u32::MAX)
    }

    /// Returns the sum, each amount limited to its maximum.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerator_count: self
                .accelerator_count
                .saturating_add(other.accelerator_count),
        }
    }

    /// Returns the difference; amounts that would be negative are 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerator_count: self
                .accelerator_count
                .saturating_sub(other.accelerator_count),
        }
    }

    /// Returns whether all amounts are 0.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}
