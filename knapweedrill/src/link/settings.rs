//! Settings of link sessions.

use std::time::Duration;

/// Timeouts and backoff of link sessions.
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

/// Failure detection.
impl SessionSettings {
    /// Sets how long a session may send nothing before it sends a ping.
    pub fn ping_interval(mut self, interval: Duration) -> Self {
        self.ping_interval = interval;
        self
    }

    /// Sets how long nothing may arrive on a session before its connection is replaced.
    pub fn silence_timeout(mut self, timeout: Duration) -> Self {
        self.silence_timeout = timeout;
        self
    }

    /// Sets how long the hello exchange on a new connection may take.
    pub fn hello_timeout(mut self, timeout: Duration) -> Self {
        self.hello_timeout = timeout;
        self
    }
}

/// Connection attempts.
impl SessionSettings {
    /// Sets how long a connection attempt may take before it counts as failed.
    pub fn dial_timeout(mut self, timeout: Duration) -> Self {
        self.dial_timeout = timeout;
        self
    }

    /// Sets the upper bounds of the delay after the first failure and after any failure.
    pub fn backoff(mut self, base: Duration, max: Duration) -> Self {
        self.backoff_base = base;
        self.backoff_max = max;
        self
    }

    /// Sets how long a session must last so that its end does not count as a failed attempt.
    pub fn stable_after(mut self, duration: Duration) -> Self {
        self.stable_after = duration;
        self
    }
}
