//! Folds the records of the log into the current configuration.

use std::ops::Range;

use knapweedrill_derive::value;

use super::{
    Configuration, ConfigurationRecord, ConfigurationVersion, FoldOutcome, SCHEMA_VERSION,
};
use crate::common::LogOffset;

/// A configuration that is current in the log.
#[value]
pub struct Adopted {
    /// The version: the offset of the record that was accepted.
    pub version: ConfigurationVersion,
    /// The record, or a later one that repeats it.
    pub record: ConfigurationRecord,
}

/// The configuration by which a process works.
#[value]
pub struct InForce {
    /// Its version.
    pub version: ConfigurationVersion,
    /// What it says.
    pub configuration: Configuration,
}

/// Folds the records of the log into the current configuration, alike at every reader.
///
/// Only a record whose parent is the current version, and whose body has the hash that it names,
/// changes the version. What the body says plays no part, so that readers of different releases
/// fold alike: a body that this reader cannot read becomes current all the same, while the process
/// goes on by the last one that it could ([`ConfigurationFold::in_force`]).
///
/// A record that repeats the current configuration changes nothing. It tells a reader that
/// starts after retention has cut off older records what was current at an offset, `read_to`. Such
/// a reader keeps what it reads until it finds a repeat whose `read_to` it has read from, and
/// judges the records after that offset. To go by the highest version repeated would not do: after
/// a late repeat of an older version, a reader without the records in between would accept a
/// record with that parent, and all others would not.
#[value]
#[derive(Default)]
pub struct ConfigurationFold {
    current: Option<Adopted>,
    in_force: Option<InForce>,
    next_offset: LogOffset,
    refreshed_to: LogOffset,
    gap: Option<Gap>,
}

/// What a reader holds that lacks older records.
#[value]
struct Gap {
    /// The first offset read after the gap.
    end_offset: LogOffset,
    /// The records since then that may have been accepted.
    pending: Vec<Adopted>,
}

impl ConfigurationFold {
    /// Creates the fold of a log of which nothing has been read; its first offset is 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current configuration.
    pub fn current(&self) -> Option<&Adopted> {
        self.current.as_ref()
    }

    /// Returns the version of the current configuration.
    pub fn version(&self) -> Option<ConfigurationVersion> {
        self.current.as_ref().map(|current| current.version)
    }

    /// Returns the latest configuration that this reader could read.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Returns the first offset that has not been taken into account.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns whether the current version is known for certain as of `next_offset`.
    pub fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Takes note of the first offset that the log keeps; to be called before each batch.
    pub fn log_begins_at(&mut self, first_kept_offset: LogOffset) {
        if first_kept_offset > self.next_offset {
            self.next_offset = first_kept_offset;
            self.gap = Some(Gap {
                end_offset: first_kept_offset,
                pending: Vec::new(),
            });
        }
    }

    /// Takes note that everything before `next_offset` was read; to be called after each batch.
    pub fn read_to(&mut self, next_offset: LogOffset) {
        self.next_offset = self.next_offset.max(next_offset);
    }

    /// Decides that there was no configuration in the records that were cut off.
    ///
    /// To be called by a reader at the end of the log that knows of no version from the log or
    /// from any peer. Changes nothing if a version is known.
    pub fn assume_empty(&mut self) {
        if self.current.is_some() {
            return;
        }
        if let Some(gap) = self.gap.take() {
            self.replay(None, gap.pending);
        }
    }

    /// Folds a record of the log.
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

    /// Takes over what a peer says is current: `version`, accepted at that offset.
    pub fn adopt_from_peer(
        &mut self,
        version: ConfigurationVersion,
        record: ConfigurationRecord,
    ) -> FoldOutcome {
        if !record.is_intact() {
            return FoldOutcome::RejectedHash;
        }
        let adopted = Adopted { version, record };
        if version >= self.next_offset {
            // The version was current right after its own offset, so nothing before it matters.
            self.next_offset = version + 1;
            self.gap = None;
            self.adopt(adopted);
            return FoldOutcome::Learned { version };
        }
        self.learn(version + 1, adopted)
    }

    /// Returns whether the current configuration should be repeated in the log.
    ///
    /// `kept` are the offsets that the log keeps. It should once the last repeat lies in the older
    /// half of them. As a log may drop quiet records by age, repeat also at fixed times.
    pub fn needs_refresh(&self, kept: Range<LogOffset>) -> bool {
        let middle = kept.start + (kept.end.saturating_sub(kept.start)) / 2;
        self.current.is_some() && self.is_complete() && self.refreshed_to < middle
    }

    /// Returns the record that repeats the current configuration; `record_id` is a random number.
    ///
    /// A reader that lacks records returns `None`, since it must not vouch for a version.
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
        let candidate = Adopted {
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
        let outcome = self.learn(read_to, Adopted { version, record });
        if outcome != FoldOutcome::RejectedRefresh && outcome != FoldOutcome::RejectedHash {
            self.refreshed_to = self.refreshed_to.max(read_to);
        }
        outcome
    }

    /// Takes in that `told` was current when everything before `read_to` had been read.
    fn learn(&mut self, read_to: LogOffset, told: Adopted) -> FoldOutcome {
        match self.gap.take() {
            None => self.compare(&told),
            Some(gap) if read_to >= gap.end_offset => {
                let later = gap.pending.into_iter();
                let later = later.filter(|change| change.version >= read_to).collect();
                self.replay(Some(told), later);
                self.learned()
            }
            Some(gap) => {
                self.gap = Some(gap);
                self.adopt_if_higher(told);
                self.learned()
            }
        }
    }

    fn compare(&self, told: &Adopted) -> FoldOutcome {
        let Some(current) = &self.current else {
            return FoldOutcome::RejectedRefresh;
        };
        if told.version > current.version {
            FoldOutcome::RejectedRefresh
        } else if told.version < current.version {
            FoldOutcome::Stale
        } else if told.record.body_hash == current.record.body_hash {
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

    fn replay(&mut self, base: Option<Adopted>, changes: Vec<Adopted>) {
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

    fn adopt_if_higher(&mut self, told: Adopted) {
        if self.version().is_none_or(|version| version < told.version) {
            self.adopt(told);
        }
    }

    fn adopt(&mut self, adopted: Adopted) {
        if let Some(configuration) = read_body(&adopted.record) {
            self.in_force = Some(InForce {
                version: adopted.version,
                configuration,
            });
        }
        self.current = Some(adopted);
    }
}

/// Reads a body; one of a newer form may mean something else even where it can be read.
fn read_body(record: &ConfigurationRecord) -> Option<Configuration> {
    if record.schema_version > SCHEMA_VERSION {
        return None;
    }
    Configuration::parse(&record.body, "configuration").ok()
}
