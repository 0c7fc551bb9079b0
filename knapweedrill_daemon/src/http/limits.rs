//! Limits of the HTTP server.

use std::time::Duration;

/// Limits that isolate clients of the HTTP server from each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    pub(super) body_bytes: usize,
    pub(super) body_timeout: Duration,
    pub(super) body_reader_count: usize,
    pub(super) request_count: usize,
    pub(super) idle_timeout: Duration,
}

impl HttpLimits {
    /// Returns a builder that is initialized with the default limits.
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
            body_timeout: Duration::from_secs(5),
            body_reader_count: 256,
            request_count: 4_096,
            idle_timeout: Duration::from_secs(3),
        }
    }
}

/// Builder of [`HttpLimits`].
#[derive(Debug, Clone)]
pub struct HttpLimitsBuilder {
    limits: HttpLimits,
}

impl HttpLimitsBuilder {
    /// Sets the maximum size of a request body, in bytes.
    pub fn body_bytes(mut self, bytes: usize) -> Self {
        self.limits.body_bytes = bytes;
        self
    }

    /// Sets the time within which a request body must arrive.
    pub fn body_timeout(mut self, time: Duration) -> Self {
        self.limits.body_timeout = time;
        self
    }

    /// Sets the maximum number of concurrent body reads.
    pub fn body_reader_count(mut self, count: usize) -> Self {
        self.limits.body_reader_count = count;
        self
    }

    /// Sets the maximum number of requests in flight.
    pub fn request_count(mut self, count: usize) -> Self {
        self.limits.request_count = count;
        self
    }

    /// Sets the read and write timeout of connections.
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.limits.idle_timeout = timeout;
        self
    }

    /// Returns the limits.
    pub fn build(self) -> HttpLimits {
        self.limits
    }
}
