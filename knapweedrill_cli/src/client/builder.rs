//! Builds a client.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{Client, ClientError};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const ANSWER_MARGIN: Duration = Duration::from_millis(2_000);
const BACKOFF: Duration = Duration::from_millis(50);
const ATTEMPT_COUNT_MAX: u32 = 8;

/// Builds a [`Client`].
#[derive(Debug, Clone)]
pub struct ClientBuilder {
    pub(super) entries: Vec<SocketAddr>,
    pub(super) connect_timeout: Duration,
    pub(super) answer_margin: Duration,
    pub(super) backoff: Duration,
    pub(super) attempt_count_max: u32,
    seed: Option<u64>,
}

impl ClientBuilder {
    /// Creates a builder of a client of these entries, named by the addresses of their HTTP
    /// interfaces.
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
            connect_timeout: CONNECT_TIMEOUT,
            answer_margin: ANSWER_MARGIN,
            backoff: BACKOFF,
            attempt_count_max: ATTEMPT_COUNT_MAX,
            seed: None,
        }
    }

    /// Sets the time that a connection may take to open.
    pub fn connect_timeout(mut self, connect_timeout: Duration) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Sets the time that an answer may take beyond the time that the entry was asked to wait.
    pub fn answer_margin(mut self, answer_margin: Duration) -> Self {
        self.answer_margin = answer_margin;
        self
    }

    /// Sets the mean pause before the second try; it doubles with each further one.
    pub fn backoff(mut self, backoff: Duration) -> Self {
        self.backoff = backoff;
        self
    }

    /// Sets how often a call is tried.
    pub fn attempt_count_max(mut self, attempt_count_max: u32) -> Self {
        self.attempt_count_max = attempt_count_max;
        self
    }

    /// Sets the seed of the random pauses, for runs that can be repeated.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Builds the client.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry was named.
    pub fn build(self) -> Result<Client, ClientError> {
        if self.entries.is_empty() {
            return Err(ClientError::NoEntry);
        }
        let seed = self.seed.unwrap_or_else(rand::random);
        Ok(Client::new(self, StdRng::seed_from_u64(seed)))
    }
}
