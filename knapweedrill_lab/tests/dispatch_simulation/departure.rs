use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::CallerId;

/// A broken connection of a caller that its entry has not noticed yet.
#[derive(Debug)]
pub(super) struct Departure {
    pub(super) entry: usize,
    /// The generation of the entry's process; later ones know nothing of the caller.
    pub(super) entry_generation: u64,
    pub(super) caller: CallerId,
    pub(super) job: JobName,
    /// How long the entry takes to notice while it is not frozen.
    pub(super) delay_ms: u64,
    pub(super) due_ms: u64,
}
