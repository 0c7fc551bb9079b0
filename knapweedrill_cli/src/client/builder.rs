//! Configures and creates clients.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{Client, ClientError};

const CONNECT_TIMEOUT_DEFAULT: Duration = Duration::from_millis(1_000);
const RESPONSE_TIMEOUT_MARGIN_DEFAULT: Duration = Duration::from_millis(2_000);
const BACKOFF_DEFAULT: Duration = Duration::from_millis(50);
const ATTEMPT_COUNT_MAX_DEFAULT: u32 = 8;

/// Configures the timeouts and retries of a [`Client`].
#[derive(Debug, Clone)]
pub struct ClientBuilder {
    pub(super) entries: Vec<SocketAddr>,
    pub(super) connect_timeout: Duration,
    pub(super) response_timeout_margin: Duration,
    pub(super) backoff: Duration,
    pub(super) attempt_count_max: u32,
    seed: Option<u64>,
}

impl ClientBuilder {
    /// Creates a builder with default settings for a client of `entries`, the addresses of the
    /// HTTP interfaces of the entries.
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
            connect_timeout: CONNECT_TIMEOUT_DEFAULT,
            response_timeout_margin: RESPONSE_TIMEOUT_MARGIN_DEFAULT,
            backoff: BACKOFF_DEFAULT,
            attempt_count_max: ATTEMPT_COUNT_MAX_DEFAULT,
            seed: None,
        }
    }

    /// Sets the timeout for opening a connection.
    pub fn connect_timeout(mut self, connect_timeout: Duration) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Sets how much longer than the wait requested of the entry the client waits for a response.
    pub fn response_timeout_margin(mut self, response_timeout_margin: Duration) -> Self {
        self.response_timeout_margin = response_timeout_margin;
        self
    }

    /// Sets the mean delay before the second attempt; it doubles with each further attempt.
    pub fn backoff(mut self, backoff: Duration) -> Self {
        self.backoff = backoff;
        self
    }

    /// Sets how many attempts of a call may fail before the client gives up.
    pub fn attempt_count_max(mut self, attempt_count_max: u32) -> Self {
        self.attempt_count_max = attempt_count_max;
        self
    }

    /// Sets the seed of the backoff jitter, for reproducible runs.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Builds the client.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::NoEntry`] if the builder has no entry.
    pub fn build(self) -> Result<Client, ClientError> {
        if self.entries.is_empty() {
            return Err(ClientError::NoEntry);
        }
        let seed = self.seed.unwrap_or_else(rand::random);
        Ok(Client::new(self, StdRng::seed_from_u64(seed)))
    }
}
