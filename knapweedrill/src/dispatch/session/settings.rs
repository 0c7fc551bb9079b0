//! Timing settings of sessions.

use std::time::Duration;

use crate::dispatch::RunTiming;

/// Timing settings of a session.
#[derive(Debug, Clone, Copy)]
pub struct SessionSettings {
    /// The delay before an unacknowledged message is first retransmitted. Twenty round trips
    /// between two failure domains.
    pub retransmit_delay: Duration,
    /// The upper limit of the exponential backoff between retransmissions.
    pub retransmit_delay_max: Duration,
    /// How long an acknowledgement may wait to be piggybacked on another datagram. Half of
    /// `retransmit_delay`.
    pub acknowledgement_delay: Duration,
    /// The heartbeat period of a session with work. A quarter of the silence after which a sidecar
    /// stops the runs of an entry, so that two heartbeats in a row may be lost.
    pub busy_heartbeat_period: Duration,
    /// The heartbeat period of a sidecar on a session without work. An order names the newest stamp
    /// of its sidecar, which has to be recent enough for the run to outlive the next heartbeats.
    pub sidecar_idle_heartbeat_period: Duration,
    /// The heartbeat period of an entry on a session without work. These heartbeats only keep the
    /// session open. A sixth of `expiry_timeout`.
    pub entry_idle_heartbeat_period: Duration,
    /// The silence after which the other side of a session with work counts as unreachable. Two
    /// and a half times `busy_heartbeat_period`.
    pub silence_timeout: Duration,
    /// The interval between hello datagrams to a process that does not answer.
    pub hello_interval: Duration,
    /// The shortest interval between two datagrams that carry only a changed status, on a session
    /// with work.
    pub status_interval_min: Duration,
    /// The silence of an entry after which its sidecar drops the session. Longer than the platform
    /// lets a VM freeze, so that sessions seldom have to be reopened.
    pub expiry_timeout: Duration,
    /// The age of its stamp from which a start order is no longer sent. As long as the silence after
    /// which sidecars refuse it.
    pub order_age_max: Duration,
    /// The rate of the link of this process in bytes a second, if it is known. Start orders are sent
    /// no faster.
    pub link_bytes_per_s: Option<u64>,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            retransmit_delay: Duration::from_millis(40),
            retransmit_delay_max: Duration::from_millis(320),
            acknowledgement_delay: Duration::from_millis(20),
            busy_heartbeat_period: Duration::from_millis(150),
            sidecar_idle_heartbeat_period: Duration::from_millis(250),
            entry_idle_heartbeat_period: Duration::from_millis(1_500),
            silence_timeout: Duration::from_millis(375),
            hello_interval: Duration::from_millis(400),
            status_interval_min: Duration::from_millis(40),
            expiry_timeout: Duration::from_millis(9_000),
            order_age_max: RunTiming::default().entry_silence_timeout(),
            link_bytes_per_s: None,
        }
    }
}
