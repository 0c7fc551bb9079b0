use knapweedrill::dispatch::sidecar::StartCall;

use super::PlacementId;

/// A start order that its minion has yet to carry out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingStart<'a> {
    pub(crate) call: &'a StartCall,
    pub(crate) placement: PlacementId,
    pub(crate) sent_ms: u64,
    pub(crate) execute_at_ms: u64,
}
