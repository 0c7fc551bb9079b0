//! The configuration of a process, read from the platform log and received from peers.

use std::time::{Duration, Instant};

use knapweedrill::api::ConfigurationResponse;
use knapweedrill::common::LogOffset;
use knapweedrill::contract::{
    AppendOutcome, AppendTracker, Configuration, ConfigurationFold, ConfigurationRecord,
    ConfigurationVersion, FoldOutcome,
};
use knapweedrill::event::EventKind;
use knapweedrill::membership::ConfigurationSource;
use knapweedrill::message::Message;

use super::Peers;
use crate::http::HttpResponse;
use crate::platform_log::{LogPage, LogRecord, TailEvent};
use crate::telemetry::{Counter, Gauge, Metrics, Timeline};

const OK: u16 = 200;

/// The least time between two requests for a newer configuration.
const PULL_INTERVAL: Duration = Duration::from_millis(200);

/// How long an entry waits for a peer with a configuration if the log contains none.
const EMPTY_LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Tracks the newest configuration, from the platform log and from peers.
#[derive(Debug, Default)]
pub struct ConfigurationTracker {
    fold: ConfigurationFold,
    reported_version: Option<ConfigurationVersion>,
    tracked_appends: Vec<TrackedAppend>,
    presence_records: Vec<LogRecord>,
    retained_offsets: Option<(LogOffset, LogOffset)>,
    is_log_unreachable: bool,
    is_at_log_end: bool,
    empty_since: Option<Instant>,
    last_pull_at: Option<Instant>,
    rejected_count: u64,
}

#[derive(Debug)]
struct TrackedAppend {
    record_id: u64,
    tracker: AppendTracker,
}

impl ConfigurationTracker {
    /// Creates a tracker without a configuration.
    pub fn new() -> Self {
        Self {
            fold: ConfigurationFold::new(),
            ..Self::default()
        }
    }

    /// Returns the newest accepted version; `None` if no configuration is known yet.
    pub fn version(&self) -> Option<ConfigurationVersion> {
        self.fold.version()
    }

    /// Returns the configuration in force; an empty one if there is none.
    pub fn configuration(&self) -> Configuration {
        self.fold
            .in_force()
            .map(|in_force| in_force.configuration.clone())
            .unwrap_or_default()
    }

    /// Processes a read of the log and returns whether the version has changed.
    pub fn handle_log_event(&mut self, event: TailEvent, timeline: &Timeline) -> bool {
        match event {
            TailEvent::Unreachable => self.set_log_unreachable(true, timeline),
            TailEvent::Page(page) => {
                self.set_log_unreachable(false, timeline);
                self.fold_page(page, timeline);
            }
        }
        self.take_version_change()
    }

    /// Adopts a peer's configuration if it is newer and returns whether the version has changed.
    pub fn adopt(&mut self, version: ConfigurationVersion, record: ConfigurationRecord) -> bool {
        self.fold.adopt_from_peer(version, record);
        self.take_version_change()
    }

    /// Returns the presence records of entries that were read from the log since the last call.
    pub fn take_presence_records(&mut self) -> Vec<LogRecord> {
        std::mem::take(&mut self.presence_records)
    }

    /// Assumes an empty configuration if neither log nor peers have had one for
    /// `EMPTY_LOG_TIMEOUT`.
    ///
    /// `peer_version` is the newest version that a live peer reports. Throughout that time the log
    /// has to be reachable and read to its end, since an unread record may hold a configuration.
    pub fn resolve_empty_log(&mut self, peer_version: Option<ConfigurationVersion>, now: Instant) {
        let is_known = self.fold.version().is_some() || peer_version.is_some();
        if is_known || self.is_log_unreachable || !self.is_at_log_end {
            self.empty_since = None;
            return;
        }
        let since = *self.empty_since.get_or_insert(now);
        if now.duration_since(since) > EMPTY_LOG_TIMEOUT {
            self.fold.assume_empty();
        }
    }

    /// Returns the message that updates a peer whose version is `have`, or `None` if it is current.
    pub fn push_for(&self, have: Option<ConfigurationVersion>) -> Option<Message> {
        let current = self.fold.current()?;
        (have < Some(current.version)).then(|| Message::ConfigurationPush {
            version: current.version,
            record: current.record.clone(),
        })
    }

    /// Requests a newer configuration from `source`, at most once per `PULL_INTERVAL`.
    pub fn pull(&mut self, source: Option<ConfigurationSource>, peers: &mut Peers, now: Instant) {
        let is_due = self
            .last_pull_at
            .is_none_or(|at| now.duration_since(at) > PULL_INTERVAL);
        let Some(source) = source.filter(|_| is_due) else {
            return;
        };
        self.last_pull_at = Some(now);
        let have = self.version();
        peers.send(source.peer, Message::ConfigurationPull { have }, now);
    }

    /// Returns a record that repeats the configuration, if log retention is about to remove it.
    pub fn due_refresh(&self, record_id: u64) -> Option<ConfigurationRecord> {
        let (first, next) = self.retained_offsets?;
        if self.is_log_unreachable || !self.fold.needs_refresh(first..next) {
            return None;
        }
        self.fold.refresh_record(record_id)
    }

    /// Starts to track the outcome of an append to the log.
    pub fn track_append(&mut self, record_id: u64) {
        self.tracked_appends.push(TrackedAppend {
            record_id,
            tracker: AppendTracker::new(record_id),
        });
    }

    /// Returns the outcome of a tracked append, as far as the log has been read.
    pub fn append_outcome(&self, record_id: u64) -> AppendOutcome {
        self.tracked_appends
            .iter()
            .find(|tracked| tracked.record_id == record_id)
            .map_or(AppendOutcome::Unknown, |tracked| {
                tracked.tracker.outcome(&self.fold)
            })
    }

    /// Stops tracking an append.
    pub fn untrack_append(&mut self, record_id: u64) {
        self.tracked_appends
            .retain(|tracked| tracked.record_id != record_id);
    }

    /// Logs the new version, records it in the timeline and updates the metrics.
    pub fn record_in_force(&self, timeline: &Timeline, metrics: &Metrics) {
        let Some(version) = self.fold.version() else {
            return;
        };
        log::info!(version; "configuration in force");
        timeline.record(EventKind::ConfigurationInForce { version });
        metrics.add(Counter::ConfigurationsInForce, 1);
        metrics.set(Gauge::ConfigurationVersion, version);
    }

    /// Returns the number of configuration records in the log that were rejected.
    pub fn rejected_count(&self) -> u64 {
        self.rejected_count
    }

    fn set_log_unreachable(&mut self, is_unreachable: bool, timeline: &Timeline) {
        if self.is_log_unreachable == is_unreachable {
            return;
        }
        self.is_log_unreachable = is_unreachable;
        if is_unreachable {
            log::warn!("platform log unreachable, continuing with the known configuration");
            timeline.record(EventKind::LogLost);
        } else {
            log::info!("platform log reachable");
            timeline.record(EventKind::LogFound);
        }
    }

    fn fold_page(&mut self, page: LogPage, timeline: &Timeline) {
        self.fold.set_log_start(page.first_offset);
        self.retained_offsets = Some((page.first_offset, page.next_offset));
        self.is_at_log_end = page.is_at_end();
        let mut read_to = self.fold.next_offset();
        for entry in page.records {
            read_to = entry.offset + 1;
            match serde_json::from_str(&entry.body) {
                Ok(LogRecord::Configuration(record)) => {
                    self.fold_record(entry.offset, record, timeline);
                }
                Ok(presence @ LogRecord::Presence(_)) => self.presence_records.push(presence),
                Err(_) => {
                    log::warn!(offset = entry.offset; "log record of unknown format skipped");
                }
            }
        }
        self.fold.advance_to(read_to);
    }

    fn fold_record(&mut self, offset: LogOffset, record: ConfigurationRecord, timeline: &Timeline) {
        let outcome = self.fold.apply(offset, record.clone());
        for tracked in &mut self.tracked_appends {
            tracked.tracker.observe(&record, outcome);
        }
        if matches!(
            outcome,
            FoldOutcome::RejectedParent { .. }
                | FoldOutcome::RejectedHash
                | FoldOutcome::RejectedRefresh
        ) {
            self.rejected_count += 1;
            timeline.record(EventKind::ConfigurationRejected { offset });
        }
    }

    /// Returns whether the version has changed since the last call.
    fn take_version_change(&mut self) -> bool {
        let version = self.fold.version();
        let is_changed = version != self.reported_version;
        self.reported_version = version;
        is_changed
    }
}

/// Builds the HTTP response with the current configuration.
pub(super) fn configuration_response(tracker: &ConfigurationTracker) -> HttpResponse {
    let current = tracker.fold.current();
    let in_force = tracker.fold.in_force().map(|in_force| in_force.version);
    let answer = ConfigurationResponse {
        version: tracker.version(),
        schema_version: current.map(|current| current.record.schema_version),
        body_hash: current.map(|current| current.record.body_hash.clone()),
        body: current.map(|current| current.record.body.clone()),
        is_understood: in_force == tracker.version(),
    };
    HttpResponse::json(OK, &answer)
}
