//! Settings of the links of a process.

use std::time::Duration;

/// Settings of the links of a process.
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
    /// Sets how long a dial may take.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long sent bytes may stay unacknowledged before the kernel closes the connection.
    pub fn user_timeout(mut self, timeout: Duration) -> Self {
        self.user_timeout = timeout;
        self
    }

    /// Sets how long a connection is idle before the kernel probes it.
    pub fn keepalive_idle(mut self, idle: Duration) -> Self {
        self.keepalive_idle = idle;
        self
    }
}

/// Bounds.
impl LinkSettings {
    /// Sets how many frames may wait for the writer of a link; one more closes the link.
    pub fn queue_frame_count(mut self, count: usize) -> Self {
        self.queue_frame_count = count;
        self
    }

    /// Sets how many connections others may hold to this process.
    pub fn inbound_max_count(mut self, count: usize) -> Self {
        self.inbound_max_count = count;
        self
    }

    /// Sets how many dials may be under way at once.
    pub fn dial_max_count(mut self, count: usize) -> Self {
        self.dial_max_count = count;
        self
    }
}
