//! Bounds of the HTTP interface.

use std::time::Duration;

/// Bounds that keep one client from harming the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    pub(super) body_bytes: usize,
    pub(super) body_time: Duration,
    pub(super) body_reader_count: usize,
    pub(super) request_count: usize,
    pub(super) idle_timeout: Duration,
}

impl HttpLimits {
    /// Begins with the default bounds.
    pub fn builder() -> HttpLimitsBuilder {
        HttpLimitsBuilder {
            limits: Self::default(),
        }
    }
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            body_time: Duration::from_secs(5),
            body_reader_count: 256,
            request_count: 4_096,
            idle_timeout: Duration::from_secs(3),
        }
    }
}

/// Collects the bounds of the HTTP interface.
#[derive(Debug, Clone)]
pub struct HttpLimitsBuilder {
    limits: HttpLimits,
}

impl HttpLimitsBuilder {
    /// Sets the largest body, in bytes.
    pub fn body_bytes(mut self, bytes: usize) -> Self {
        self.limits.body_bytes = bytes;
        self
    }

    /// Sets how long a body may take to arrive.
    pub fn body_time(mut self, time: Duration) -> Self {
        self.limits.body_time = time;
        self
    }

    /// Sets how many bodies are read at once.
    pub fn body_reader_count(mut self, count: usize) -> Self {
        self.limits.body_reader_count = count;
        self
    }

    /// Sets how many requests may be in flight.
    pub fn request_count(mut self, count: usize) -> Self {
        self.limits.request_count = count;
        self
    }

    /// Sets how long a connection may stay silent while it is read from or written to.
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.limits.idle_timeout = timeout;
        self
    }

    /// Returns the bounds.
    pub fn build(self) -> HttpLimits {
        self.limits
    }
}
