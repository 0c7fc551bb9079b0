//! How often each fault comes.

/// How often each fault comes, in 10,000 steps.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) cuts: u32,
    pub(crate) entry_kills: u32,
    pub(crate) entry_stops: u32,
    pub(crate) sidecar_kills: u32,
    pub(crate) sidecar_stops: u32,
    pub(crate) freezes: u32,
    pub(crate) cancels: u32,
}
