//! Settings of link sessions.

use std::time::Duration;

/// Settings of link sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionSettings {
    pub(super) ping_interval: Duration,
    pub(super) silence_timeout: Duration,
    pub(super) hello_timeout: Duration,
    pub(super) dial_timeout: Duration,
    pub(super) backoff_base: Duration,
    pub(super) backoff_max: Duration,
    pub(super) stable_after: Duration,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            ping_interval: Duration::from_millis(250),
            silence_timeout: Duration::from_secs(1),
            hello_timeout: Duration::from_secs(1),
            dial_timeout: Duration::from_millis(1500),
            backoff_base: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
            stable_after: Duration::from_secs(1),
        }
    }
}

/// Finding dead connections.
impl SessionSettings {
    /// Sets how long nothing is sent on a session before a ping is.
    pub fn ping_interval(mut self, interval: Duration) -> Self {
        self.ping_interval = interval;
        self
    }

    /// Sets how long nothing arrives on a session before its connection is replaced.
    pub fn silence_timeout(mut self, timeout: Duration) -> Self {
        self.silence_timeout = timeout;
        self
    }

    /// Sets how long a new connection may take to open its session.
    pub fn hello_timeout(mut self, timeout: Duration) -> Self {
        self.hello_timeout = timeout;
        self
    }
}

/// Dialling.
impl SessionSettings {
    /// Sets how long a dial may go without an outcome before it counts as failed.
    pub fn dial_timeout(mut self, timeout: Duration) -> Self {
        self.dial_timeout = timeout;
        self
    }

    /// Sets the longest wait after the first failed dial, and the longest wait of all.
    pub fn backoff(mut self, base: Duration, max: Duration) -> Self {
        self.backoff_base = base;
        self.backoff_max = max;
        self
    }

    /// Sets how long a session lasts before its end no longer counts as a failed dial.
    pub fn stable_after(mut self, duration: Duration) -> Self {
        self.stable_after = duration;
        self
    }
}
