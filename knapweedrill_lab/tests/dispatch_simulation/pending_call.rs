use super::call_content::CallContent;
use super::claim_observer::PlacementId;

/// A call from a sidecar to its minion.
#[derive(Debug)]
pub(super) struct PendingCall {
    /// The node of the sidecar.
    pub(super) node: usize,
    /// The generation of the process that made the call; later ones get no response to it.
    pub(super) generation: u64,
    pub(super) content: CallContent,
    /// The placement that a start order belongs to.
    pub(super) placement: Option<PlacementId>,
    pub(super) sent_ms: u64,
    pub(super) is_executed: bool,
    pub(super) execute_at_ms: u64,
    pub(super) response_deadline_ms: u64,
    /// Whether the response was delivered or lost, or the call timed out.
    pub(super) is_resolved: bool,
    /// The end of the wait of a hold; none until the minion has accepted it.
    pub(super) accepted_hold_until_ms: Option<u64>,
}

impl PendingCall {
    /// Returns whether the call is a hold that addresses another instance than this one.
    pub(super) fn is_hold_of_other(&self, instance: &str) -> bool {
        matches!(&self.content, CallContent::Hold(hold) if hold.instance != instance)
    }
}
