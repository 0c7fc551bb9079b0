//! The configuration as entries hand it to each other when the store turns one of them away.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::common::Incarnation;
use crate::dispatch::configuration::{Configuration, Version};
use crate::dispatch::message::Message;

/// The bytes of a piece: with its frame it stays within the shortest datagram that is never
/// cut up on the way, times eight.
const PART_BYTES: usize = 8_192;

/// The pause before a configuration is asked for again. Several round trips, and far below the
/// time in which a change has to be in force.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// The pieces that have come of a version.
type Pieces = (Version, Vec<Option<Vec<u8>>>);

/// The exchange of configurations with other entries.
#[derive(Debug, Default)]
pub(super) struct ConfigurationExchange {
    asked_at: Option<Instant>,
    parts: HashMap<Incarnation, Pieces>,
}

impl ConfigurationExchange {
    /// Returns whether a peer with a newer configuration is to be asked for it.
    pub(super) fn is_to_ask(&mut self, now: Instant) -> bool {
        let is_due = self
            .asked_at
            .is_none_or(|at| now.saturating_duration_since(at) >= ASK_EVERY);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// Returns the messages that carry a configuration.
    pub(super) fn parts_of(configuration: &Configuration) -> Vec<Message> {
        let bytes = match postcard::to_stdvec(configuration) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "configuration can't be encoded for a peer");
                return Vec::new();
            }
        };
        let chunks: Vec<&[u8]> = bytes.chunks(PART_BYTES).collect();
        let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        let part = |(index, chunk): (u32, &&[u8])| Message::ConfigurationPart {
            version: configuration.version,
            index,
            count,
            bytes: chunk.to_vec(),
        };
        (0..count).zip(&chunks).map(part).collect()
    }

    /// Takes in a piece and returns the configuration if it was the last.
    pub(super) fn take_part(
        &mut self,
        from: Incarnation,
        version: Version,
        index: u32,
        count: u32,
        bytes: Vec<u8>,
    ) -> Option<Configuration> {
        let (index, count) = (index as usize, count as usize);
        let entry = self
            .parts
            .entry(from)
            .or_insert_with(|| (version, vec![None; count]));
        if entry.0 != version || entry.1.len() != count {
            *entry = (version, vec![None; count]);
        }
        *entry.1.get_mut(index)? = Some(bytes);
        if entry.1.iter().any(Option::is_none) {
            return None;
        }
        let (_, parts) = self.parts.remove(&from)?;
        let whole: Vec<u8> = parts.into_iter().flatten().flatten().collect();
        match postcard::from_bytes(&whole) {
            Ok(configuration) => Some(configuration),
            Err(error) => {
                log::error!(peer:% = from, error:% = error; "configuration of a peer can't be read");
                None
            }
        }
    }

    pub(super) fn forget(&mut self, peer: Incarnation) {
        self.parts.remove(&peer);
    }
}
