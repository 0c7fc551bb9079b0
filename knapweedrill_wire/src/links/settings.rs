//! Timeouts and limits of links.

use std::time::Duration;

/// Timeouts and limits of the links of a process.
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    pub(super) connect_timeout: Duration,
    pub(super) user_timeout: Duration,
    pub(super) keepalive_idle: Duration,
    pub(super) queue_frame_count: usize,
    pub(super) inbound_max_count: usize,
    pub(super) dial_max_count: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            user_timeout: Duration::from_secs(5),
            keepalive_idle: Duration::from_secs(5),
            queue_frame_count: 16_384,
            inbound_max_count: 1024,
            dial_max_count: 256,
        }
    }
}

/// Timeouts.
impl LinkSettings {
    /// Sets the timeout of a dial.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged before the kernel closes
    /// the connection.
    pub fn user_timeout(mut self, timeout: Duration) -> Self {
        self.user_timeout = timeout;
        self
    }

    /// Sets how long a connection is idle before the kernel sends TCP keepalive probes.
    pub fn keepalive_idle(mut self, idle: Duration) -> Self {
        self.keepalive_idle = idle;
        self
    }
}

/// Limits.
impl LinkSettings {
    /// Sets the capacity of the send queue of a link, in frames; a further frame closes the link.
    pub fn queue_frame_count(mut self, count: usize) -> Self {
        self.queue_frame_count = count;
        self
    }

    /// Sets the maximum number of inbound connections.
    pub fn inbound_max_count(mut self, count: usize) -> Self {
        self.inbound_max_count = count;
        self
    }

    /// Sets the maximum number of concurrent dials.
    pub fn dial_max_count(mut self, count: usize) -> Self {
        self.dial_max_count = count;
        self
    }
}
