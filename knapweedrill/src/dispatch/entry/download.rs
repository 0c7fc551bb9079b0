//! A configuration on its way from another entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::dispatch::Notice;
use crate::dispatch::configuration::{Configuration, Version};

/// The bytes of a piece: with its frame it stays within the shortest datagram that is never
/// cut up on the way, times eight.
pub(super) const PART_BYTES: usize = 8_192;

/// The most pieces of a configuration: one of 32 MiB, some hundred times the largest there are.
const PART_COUNT_MAX: u32 = 4_096;

/// How many pieces are asked for at a time, so that the answers fit into the buffer of a socket.
const IN_FLIGHT_MAX: usize = 4;

/// The pause before missing pieces are asked for again. Several round trips, and far below the
/// time in which a change has to be in force.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How long a peer has to send all pieces before another one is asked.
const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// A configuration on its way from another entry, piece by piece.
#[derive(Debug)]
pub(super) struct Download {
    version: Version,
    peer: SocketAddr,
    parts: Vec<Option<Vec<u8>>>,
    started_at: Instant,
    requested_at: Option<Instant>,
    /// The pieces that were asked for and have not come.
    in_flight: Vec<u32>,
}

impl Download {
    pub(super) fn new(version: Version, peer: SocketAddr, now: Instant) -> Self {
        Self {
            version,
            peer,
            parts: vec![None],
            started_at: now,
            requested_at: None,
            in_flight: Vec::new(),
        }
    }

    pub(super) fn version(&self) -> Version {
        self.version
    }

    pub(super) fn is_timed_out(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= DOWNLOAD_TIMEOUT
    }

    /// Returns what is to be asked now, and whom.
    pub(super) fn take_requests(&mut self, now: Instant) -> Vec<(SocketAddr, Notice)> {
        let is_due = |at| now.saturating_duration_since(at) >= RETRY_INTERVAL;
        if !self.in_flight.is_empty() && !self.requested_at.is_none_or(is_due) {
            return Vec::new();
        }
        self.requested_at = Some(now);
        let missing = (0..).zip(&self.parts).filter(|(_, part)| part.is_none());
        self.in_flight = missing
            .map(|(index, _)| index)
            .take(IN_FLIGHT_MAX)
            .collect();
        let version = self.version;
        let request = |index| (self.peer, Notice::AskConfiguration { version, index });
        self.in_flight.iter().copied().map(request).collect()
    }

    /// Takes in a piece and returns the configuration if it was the last.
    pub(super) fn take_part(
        &mut self,
        version: Version,
        index: u32,
        count: u32,
        bytes: Vec<u8>,
    ) -> Option<Configuration> {
        if version != self.version || index >= count || count > PART_COUNT_MAX {
            return None;
        }
        self.parts.resize(count as usize, None);
        self.parts[index as usize] = Some(bytes);
        self.in_flight.retain(|in_flight| *in_flight != index);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let whole: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        match postcard::from_bytes(&whole) {
            Ok(configuration) => Some(configuration),
            Err(error) => {
                log::error!(peer:% = self.peer, error:% = error; "configuration of a peer can't be read");
                None
            }
        }
    }
}
