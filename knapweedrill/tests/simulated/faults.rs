//! Fault rates of a run.

/// The rates of faults and of cancellations, per 10,000 steps.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) disconnects: u32,
    pub(crate) entry_kills: u32,
    pub(crate) entry_stops: u32,
    pub(crate) sidecar_kills: u32,
    pub(crate) sidecar_stops: u32,
    pub(crate) freezes: u32,
    pub(crate) cancels: u32,
}
