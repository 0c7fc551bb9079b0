//! What a process may use for control.

use super::figure::count;

/// What a process may use for control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Bound {
    /// Memory in bytes.
    Memory,
    /// Control traffic in bytes a second.
    Traffic,
    /// Processor time of control in per cent of a core.
    Processor,
}

impl Bound {
    /// Returns the bound in its unit.
    pub(super) fn limit(self) -> f64 {
        match self {
            Self::Memory => 64e6,
            Self::Traffic => 4e3,
            Self::Processor => 2.9,
        }
    }

    /// Returns the bound as the page names it.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Memory => "64 MB",
            Self::Traffic => "4 KB/s",
            Self::Processor => "2.9 %",
        }
    }

    /// Returns whether a need stays within the bound.
    pub(super) fn verdict(self, need: f64) -> &'static str {
        if need <= self.limit() {
            "fits"
        } else {
            "**breaks**"
        }
    }

    /// Returns the verdict, and the size at which the bound is reached.
    pub(super) fn verdict_with_limit(self, need: f64, slope: f64, unit: &str) -> String {
        let size = self.size_at(slope);
        format!("{}; limit at {size} {unit}", self.verdict(need))
    }

    /// Returns the size at which something that grows with a slope reaches the bound.
    pub(super) fn size_at(self, slope: f64) -> String {
        if slope > 0.0 {
            count(self.limit() / slope)
        } else {
            "-".to_owned()
        }
    }
}
