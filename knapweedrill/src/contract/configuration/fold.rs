//! Folding of log records into the current configuration.

use std::ops::Range;

use knapweedrill_derive::value;

use super::{
    Configuration, ConfigurationRecord, ConfigurationVersion, FoldOutcome, SCHEMA_VERSION,
};
use crate::common::LogOffset;

/// The current configuration of the log, the last one that was accepted.
#[value]
pub struct CurrentConfiguration {
    /// The version, which is the offset of the accepted record.
    pub version: ConfigurationVersion,
    /// The accepted record, or a later refresh of it.
    pub record: ConfigurationRecord,
}

/// The configuration that a process applies.
#[value]
pub struct InForceConfiguration {
    /// The version of the configuration.
    pub version: ConfigurationVersion,
    /// The parsed configuration.
    pub configuration: Configuration,
}

/// Folds the records of the log into the current configuration, identically at every reader.
///
/// A record changes the version only if its parent is the current version and its body matches its
/// hash. The content of the body is not considered, so readers of different releases agree: a body
/// that this reader cannot parse still becomes current, while the last one that it could parse
/// stays in force ([`ConfigurationFold::in_force`]).
///
/// A refresh, a record that repeats the current configuration, changes nothing. It states which
/// version was current at an offset, `read_to`, for readers that start after retention has removed
/// older records. Such a reader buffers records until it finds a refresh whose `read_to` lies
/// within the range that it has read, then evaluates the records from that offset on. Taking the
/// highest refreshed version instead would be wrong: after a late refresh of an older version, a
/// reader that lacks the records in between would accept a record with that parent, while all
/// other readers reject it.
#[value]
#[derive(Default)]
pub struct ConfigurationFold {
    current: Option<CurrentConfiguration>,
    in_force: Option<InForceConfiguration>,
    next_offset: LogOffset,
    refreshed_to: LogOffset,
    gap: Option<Gap>,
}

/// The state of a reader that lacks older records.
#[value]
struct Gap {
    /// The first offset read after the gap.
    end_offset: LogOffset,
    /// The records since then that may have been accepted, in the order of their offsets.
    pending: Vec<CurrentConfiguration>,
}

impl ConfigurationFold {
    /// Creates a fold that has read nothing and expects the log to start at offset 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current configuration.
    pub fn current(&self) -> Option<&CurrentConfiguration> {
        self.current.as_ref()
    }

    /// Returns the version of the current configuration.
    pub fn version(&self) -> Option<ConfigurationVersion> {
        self.current.as_ref().map(|current| current.version)
    }

    /// Returns the latest configuration that this reader could parse.
    pub fn in_force(&self) -> Option<&InForceConfiguration> {
        self.in_force.as_ref()
    }

    /// Returns the first offset that has not been folded.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns whether the current version as of `next_offset` is known with certainty.
    pub fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Records the first offset that the log retains; must be called before each batch of records.
    pub fn set_log_start(&mut self, first_kept_offset: LogOffset) {
        if first_kept_offset > self.next_offset {
            self.next_offset = first_kept_offset;
            self.gap = Some(Gap {
                end_offset: first_kept_offset,
                pending: Vec::new(),
            });
        }
    }

    /// Records that everything before `next_offset` was read; must be called after each batch.
    pub fn advance_to(&mut self, next_offset: LogOffset) {
        self.next_offset = self.next_offset.max(next_offset);
    }

    /// Assumes that the records removed by retention contained no configuration.
    ///
    /// For a reader at the end of the log that has learned of no version from the log or from any
    /// peer. Does nothing if a version is known.
    pub fn assume_empty(&mut self) {
        if self.current.is_some() {
            return;
        }
        if let Some(gap) = self.gap.take() {
            self.replay(None, gap.pending);
        }
    }

    /// Folds a record of the log into the current configuration.
    pub fn apply(&mut self, offset: LogOffset, record: ConfigurationRecord) -> FoldOutcome {
        if offset < self.next_offset {
            return FoldOutcome::AlreadyFolded;
        }
        self.next_offset = offset + 1;
        if !record.is_intact() {
            return FoldOutcome::RejectedHash;
        }
        match record.refresh_of {
            Some(version) => self.apply_refresh(offset, version, record),
            None => self.apply_change(offset, record),
        }
    }

    /// Adopts the configuration that a peer reports as current, accepted at offset `version`.
    pub fn adopt_from_peer(
        &mut self,
        version: ConfigurationVersion,
        record: ConfigurationRecord,
    ) -> FoldOutcome {
        if !record.is_intact() {
            return FoldOutcome::RejectedHash;
        }
        let adopted = CurrentConfiguration { version, record };
        if version >= self.next_offset {
            // The version was current right after its own offset, so no earlier record matters.
            self.next_offset = version + 1;
            self.gap = None;
            self.adopt(adopted);
            return FoldOutcome::Learned { version };
        }
        self.learn(version + 1, adopted)
    }

    /// Returns whether the current configuration should be refreshed in the log.
    ///
    /// `retained` is the range of offsets that the log retains. A refresh is due once the last one
    /// lies in the older half of that range. Since a log may also drop records by age, callers must
    /// additionally refresh at a fixed interval.
    pub fn needs_refresh(&self, retained: Range<LogOffset>) -> bool {
        let middle = retained.start + (retained.end.saturating_sub(retained.start)) / 2;
        self.current.is_some() && self.is_complete() && self.refreshed_to < middle
    }

    /// Returns a record that refreshes the current configuration; `record_id` is a random number.
    ///
    /// Returns `None` if this reader lacks records, since it cannot be sure of the current version.
    pub fn refresh_record(&self, record_id: u64) -> Option<ConfigurationRecord> {
        let current = self.current.as_ref().filter(|_| self.is_complete())?;
        Some(ConfigurationRecord {
            record_id,
            refresh_of: Some(current.version),
            read_to: self.next_offset,
            ..current.record.clone()
        })
    }

    fn apply_change(&mut self, offset: LogOffset, record: ConfigurationRecord) -> FoldOutcome {
        let candidate = CurrentConfiguration {
            version: offset,
            record,
        };
        if let Some(gap) = &mut self.gap {
            gap.pending.push(candidate);
            return FoldOutcome::Pending;
        }
        let current = self.version();
        if candidate.record.parent != current {
            return FoldOutcome::RejectedParent { current };
        }
        self.adopt(candidate);
        FoldOutcome::Accepted { version: offset }
    }

    fn apply_refresh(
        &mut self,
        offset: LogOffset,
        version: ConfigurationVersion,
        record: ConfigurationRecord,
    ) -> FoldOutcome {
        let read_to = record.read_to;
        if read_to > offset || version >= read_to {
            return FoldOutcome::RejectedRefresh;
        }
        let outcome = self.learn(read_to, CurrentConfiguration { version, record });
        if outcome != FoldOutcome::RejectedRefresh && outcome != FoldOutcome::RejectedHash {
            self.refreshed_to = self.refreshed_to.max(read_to);
        }
        outcome
    }

    /// Applies the statement that `reported` was current once everything before `read_to` was read.
    fn learn(&mut self, read_to: LogOffset, reported: CurrentConfiguration) -> FoldOutcome {
        match self.gap.take() {
            None => self.compare(&reported),
            Some(gap) if read_to >= gap.end_offset => {
                let later = gap.pending.into_iter();
                let later = later.filter(|change| change.version >= read_to).collect();
                self.replay(Some(reported), later);
                self.learned()
            }
            Some(gap) => {
                self.gap = Some(gap);
                self.adopt_if_higher(reported);
                self.learned()
            }
        }
    }

    fn compare(&self, reported: &CurrentConfiguration) -> FoldOutcome {
        let Some(current) = &self.current else {
            return FoldOutcome::RejectedRefresh;
        };
        if reported.version > current.version {
            FoldOutcome::RejectedRefresh
        } else if reported.version < current.version {
            FoldOutcome::Stale
        } else if reported.record.body_hash == current.record.body_hash {
            FoldOutcome::Refreshed
        } else {
            FoldOutcome::RejectedHash
        }
    }

    fn learned(&self) -> FoldOutcome {
        self.version()
            .map_or(FoldOutcome::Pending, |version| FoldOutcome::Learned {
                version,
            })
    }

    fn replay(&mut self, base: Option<CurrentConfiguration>, changes: Vec<CurrentConfiguration>) {
        let mut state = base;
        for change in changes {
            if change.record.parent == state.as_ref().map(|state| state.version) {
                state = Some(change);
            }
        }
        if let Some(state) = state {
            self.adopt_if_higher(state);
        }
    }

    fn adopt_if_higher(&mut self, reported: CurrentConfiguration) {
        if self
            .version()
            .is_none_or(|version| version < reported.version)
        {
            self.adopt(reported);
        }
    }

    fn adopt(&mut self, adopted: CurrentConfiguration) {
        if let Some(configuration) = parse_body(&adopted.record) {
            self.in_force = Some(InForceConfiguration {
                version: adopted.version,
                configuration,
            });
        }
        self.current = Some(adopted);
    }
}

/// Parses a body of a supported schema version.
///
/// A body of a newer schema may have a different meaning even if it can be parsed.
fn parse_body(record: &ConfigurationRecord) -> Option<Configuration> {
    if record.schema_version > SCHEMA_VERSION {
        return None;
    }
    Configuration::parse(&record.body, "configuration").ok()
}
