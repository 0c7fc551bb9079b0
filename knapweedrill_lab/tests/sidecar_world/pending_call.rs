use super::call_content::CallContent;

/// A call of the sidecar to its minion.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) content: CallContent,
    /// The sidecar process that made the call; later ones get no answer to it.
    pub(super) process: u64,
    /// The placement that a start order belongs to.
    pub(super) placement: Option<usize>,
    pub(super) sent_ms: u64,
    pub(super) execute_at_ms: u64,
    pub(super) expires_ms: u64,
    /// How long the answer is on its way, in milliseconds.
    pub(super) answer_delay_ms: u64,
    pub(super) is_executed: bool,
    /// Whether an answer or the failure is on its way to the sidecar.
    pub(super) is_resolved: bool,
    /// Whether the minion gives no answer.
    pub(super) is_answer_lost: bool,
    /// Whether the call is carried out late, by whatever incarnation is there then.
    pub(super) is_late: bool,
    /// The end of the wait of a hold that the minion has accepted.
    pub(super) hold_until_ms: Option<u64>,
}
