//! The download of a configuration from a peer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::dispatch::Notice;
use crate::dispatch::configuration::{Configuration, Version};

/// The size of a part, in bytes. With its header it stays within eight times the datagram size
/// that is never fragmented.
pub(super) const PART_BYTES: usize = 8_192;

/// The maximum number of parts of a configuration: 32 MiB, some hundred times the largest
/// configuration in use.
const PART_COUNT_MAX: u32 = 4_096;

/// The maximum number of requested parts in flight, so that the answers fit into a socket buffer.
const IN_FLIGHT_MAX: usize = 4;

/// The delay before missing parts are requested again. Several round trips, and far below the time
/// within which a change has to be in force.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How long a peer has to send all parts before the download is abandoned and may start anew from
/// another peer.
const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// The download of a configuration from a peer, part by part.
#[derive(Debug)]
pub(super) struct Download {
    version: Version,
    peer: SocketAddr,
    parts: Vec<Option<Vec<u8>>>,
    started_at: Instant,
    requested_at: Option<Instant>,
    /// The indices of the parts that were requested and have not arrived.
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

    /// Returns the requests to send now, each with its receiver.
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
        let request = |index| {
            (
                self.peer,
                Notice::ConfigurationPartRequest { version, index },
            )
        };
        self.in_flight.iter().copied().map(request).collect()
    }

    /// Adds a part and returns the configuration if it is complete.
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
                log::error!(peer:% = self.peer, error:% = error; "configuration from peer can't be decoded");
                None
            }
        }
    }
}
