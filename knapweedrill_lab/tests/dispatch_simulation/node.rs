use std::net::SocketAddr;
use std::ops::Range;

use knapweedrill::dispatch::Packet;
use knapweedrill::dispatch::entry::{CallerId, Entry, Submission};
use knapweedrill::dispatch::sidecar::{MinionHeartbeat, SidecarEndpoint};

use super::response::Response;

/// A machine with the process of an entry or a sidecar.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) address: SocketAddr,
    pub(super) entry: Option<Entry>,
    pub(super) sidecar: Option<SidecarEndpoint>,
    pub(super) isolated_until_ms: u64,
    pub(super) frozen_until_ms: u64,
    /// From when until when the traffic thread of an entry is behind while its event loop goes on.
    pub(super) traffic_stall_ms: Range<u64>,
    /// Since when the machine has been suspended, if it is.
    pub(super) suspended_since_ms: Option<u64>,
    /// How long earlier suspensions lasted, in milliseconds.
    pub(super) suspended_ms: u64,
    pub(super) down_until_ms: u64,
    pub(super) inbox: Vec<(SocketAddr, Packet)>,
    /// Submissions that arrived while the process was frozen.
    pub(super) unread_submissions: Vec<(CallerId, Submission)>,
    /// Heartbeats and responses of the minion that arrived while the process was frozen.
    pub(super) unread_heartbeats: Vec<MinionHeartbeat>,
    pub(super) unread_responses: Vec<Response>,
    pub(super) next_tick_ms: u64,
    /// When the process last ran, on its own clock in milliseconds.
    pub(super) last_run_ms: u64,
    /// When an entry had last handled all that had arrived, and from when on that is so again after a
    /// pause, on its own clock in milliseconds.
    pub(super) callers_known_ms: u64,
    pub(super) callers_known_again_ms: u64,
    /// `suspended_ms` when the process last ran.
    pub(super) suspended_before_ms: u64,
    /// What the process read from its clock before it stood still, if it has not acted since, in
    /// milliseconds.
    pub(super) clock_reading_ms: Option<u64>,
}
