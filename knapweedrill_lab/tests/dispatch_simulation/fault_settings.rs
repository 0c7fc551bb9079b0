use super::fault::Fault;

/// The faults to inject; shares are in permille.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FaultSettings {
    pub(crate) lost_datagram_permille: u32,
    /// Packets that are lost; a datagram arrives only if all packets that carry it do.
    pub(crate) lost_packet_permille: u32,
    /// The length above which datagrams are lost, if there is one.
    pub(crate) datagram_bytes_max: Option<u64>,
    /// The rate at which each node sends, if it is limited; datagrams wait for their turn.
    pub(crate) link_bytes_per_ms: Option<u64>,
    /// The only node whose link has the three faults above; `None` for all nodes.
    pub(crate) degraded_link_node: Option<usize>,
    /// The upper bound of the random delay of a datagram, on top of the 1 ms that each takes.
    pub(crate) datagram_delay_max_ms: u64,
    /// Calls to minions that are executed 2 to 6 s late; starts and stops time out before.
    pub(crate) delayed_call_permille: u32,
    /// Calls to minions that are executed without a response.
    pub(crate) lost_response_permille: u32,
    /// The upper bound of the random time that a response is on its way; responses may overtake each
    /// other.
    pub(crate) response_delay_max_ms: u64,
    /// Task runs that fail.
    pub(crate) failed_task_permille: u32,
    /// The mean number of faults of nodes and minions per second, in thousandths.
    pub(crate) machine_fault_permille: u32,
    /// Whether minions that restart always change their name.
    pub(crate) renames_minions: bool,
    /// Kinds of faults of nodes and minions to draw besides the usual ones.
    pub(crate) extra_faults: &'static [Fault],
}
