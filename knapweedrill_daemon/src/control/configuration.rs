//! The configuration of a process, from the log and from peers.

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

/// How long a process waits for a configuration that it asked a peer for.
const PULL_INTERVAL: Duration = Duration::from_millis(200);

/// How long an entry with an empty log waits for peers that know a configuration.
const EMPTY_LOG_PATIENCE: Duration = Duration::from_secs(2);

/// Keeps the configuration of a process current.
#[derive(Debug, Default)]
pub struct ConfigurationKeeper {
    fold: ConfigurationFold,
    told: Option<ConfigurationVersion>,
    read_backs: Vec<ReadBackOf>,
    presences: Vec<LogRecord>,
    kept: Option<(LogOffset, LogOffset)>,
    is_log_lost: bool,
    is_at_log_end: bool,
    empty_since: Option<Instant>,
    pulled_at: Option<Instant>,
    rejected_count: u64,
}

#[derive(Debug)]
struct ReadBackOf {
    record_id: u64,
    read_back: AppendTracker,
}

impl ConfigurationKeeper {
    /// Creates a keeper that knows no configuration.
    pub fn new() -> Self {
        Self {
            fold: ConfigurationFold::new(),
            ..Self::default()
        }
    }

    /// Returns the version that is current.
    pub fn version(&self) -> Option<ConfigurationVersion> {
        self.fold.version()
    }

    /// Returns the configuration by which the process works; an empty one if there is none.
    pub fn configuration(&self) -> Configuration {
        self.fold
            .in_force()
            .map(|in_force| in_force.configuration.clone())
            .unwrap_or_default()
    }

    /// Takes in what the log had to say, and returns whether the version has changed.
    pub fn take_log_news(&mut self, news: TailEvent, timeline: &Timeline) -> bool {
        match news {
            TailEvent::Unreachable => self.note_log(true, timeline),
            TailEvent::Page(page) => {
                self.note_log(false, timeline);
                self.fold_page(page, timeline);
            }
        }
        self.take_change()
    }

    /// Takes over what a peer says is current, and returns whether the version has changed.
    pub fn adopt(&mut self, version: ConfigurationVersion, record: ConfigurationRecord) -> bool {
        self.fold.adopt_from_peer(version, record);
        self.take_change()
    }

    /// Returns the entries that have put presence records into the log since the last call.
    pub fn take_presences(&mut self) -> Vec<LogRecord> {
        std::mem::take(&mut self.presences)
    }

    /// Decides that there is no configuration yet if log and peers have known none for a while.
    ///
    /// `peer_version` is the newest version that a live peer has named. All the while the log has
    /// to answer and be read to its end, since what is not read may hold a configuration.
    pub fn settle_empty_log(&mut self, peer_version: Option<ConfigurationVersion>, now: Instant) {
        let is_known = self.fold.version().is_some() || peer_version.is_some();
        if is_known || self.is_log_lost || !self.is_at_log_end {
            self.empty_since = None;
            return;
        }
        let since = *self.empty_since.get_or_insert(now);
        if now.duration_since(since) > EMPTY_LOG_PATIENCE {
            self.fold.assume_empty();
        }
    }

    /// Returns the message that brings a peer up to date, if it is behind.
    pub fn push_for(&self, have: Option<ConfigurationVersion>) -> Option<Message> {
        let current = self.fold.current()?;
        (have < Some(current.version)).then(|| Message::ConfigurationPush {
            version: current.version,
            record: current.record.clone(),
        })
    }

    /// Asks a process that has a newer configuration for it, if none was asked just now.
    pub fn pull(&mut self, source: Option<ConfigurationSource>, peers: &mut Peers, now: Instant) {
        let is_due = self
            .pulled_at
            .is_none_or(|at| now.duration_since(at) > PULL_INTERVAL);
        let Some(source) = source.filter(|_| is_due) else {
            return;
        };
        self.pulled_at = Some(now);
        let have = self.version();
        peers.send(source.peer, Message::ConfigurationPull { have }, now);
    }

    /// Returns the record that repeats the configuration before retention cuts it off, if due.
    pub fn due_refresh(&self, record_id: u64) -> Option<ConfigurationRecord> {
        let (first, next) = self.kept?;
        if self.is_log_lost || !self.fold.needs_refresh(first..next) {
            return None;
        }
        self.fold.refresh_record(record_id)
    }

    /// Looks out for a record that is being appended.
    pub fn watch(&mut self, record_id: u64) {
        self.read_backs.push(ReadBackOf {
            record_id,
            read_back: AppendTracker::new(record_id),
        });
    }

    /// Returns what became of a record that is looked out for.
    pub fn fate(&self, record_id: u64) -> AppendOutcome {
        self.read_backs
            .iter()
            .find(|watched| watched.record_id == record_id)
            .map_or(AppendOutcome::Unknown, |watched| {
                watched.read_back.outcome(&self.fold)
            })
    }

    /// Looks out for a record no longer.
    pub fn unwatch(&mut self, record_id: u64) {
        self.read_backs
            .retain(|watched| watched.record_id != record_id);
    }

    /// Puts the change on the time line and counts it.
    pub fn record_in_force(&self, timeline: &Timeline, metrics: &Metrics) {
        let Some(version) = self.fold.version() else {
            return;
        };
        log::info!(version; "configuration in force");
        timeline.record(EventKind::ConfigurationInForce { version });
        metrics.add(Counter::ConfigurationsInForce, 1);
        metrics.set(Gauge::ConfigurationVersion, version);
    }

    /// Returns how many records of the log were void.
    pub fn rejected_count(&self) -> u64 {
        self.rejected_count
    }

    fn note_log(&mut self, is_lost: bool, timeline: &Timeline) {
        if self.is_log_lost == is_lost {
            return;
        }
        self.is_log_lost = is_lost;
        if is_lost {
            log::warn!("the log of the platform does not answer; going on without it");
            timeline.record(EventKind::LogLost);
        } else {
            log::info!("the log of the platform answers");
            timeline.record(EventKind::LogFound);
        }
    }

    fn fold_page(&mut self, page: LogPage, timeline: &Timeline) {
        self.fold.set_log_start(page.first_offset);
        self.kept = Some((page.first_offset, page.next_offset));
        self.is_at_log_end = page.is_at_end();
        let mut read_to = self.fold.next_offset();
        for entry in page.records {
            read_to = entry.offset + 1;
            match serde_json::from_str(&entry.body) {
                Ok(LogRecord::Configuration(record)) => {
                    self.fold_record(entry.offset, record, timeline);
                }
                Ok(presence @ LogRecord::Presence(_)) => self.presences.push(presence),
                Err(_) => {
                    log::warn!(offset = entry.offset; "skipped a record that is not ours");
                }
            }
        }
        self.fold.advance_to(read_to);
    }

    fn fold_record(&mut self, offset: LogOffset, record: ConfigurationRecord, timeline: &Timeline) {
        let outcome = self.fold.apply(offset, record.clone());
        for watched in &mut self.read_backs {
            watched.read_back.observe(&record, outcome);
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
    fn take_change(&mut self) -> bool {
        let version = self.fold.version();
        let is_changed = version != self.told;
        self.told = version;
        is_changed
    }
}

/// Tells the configuration in force.
pub(super) fn configuration_reply(keeper: &ConfigurationKeeper) -> HttpResponse {
    let current = keeper.fold.current();
    let in_force = keeper.fold.in_force().map(|in_force| in_force.version);
    let answer = ConfigurationResponse {
        version: keeper.version(),
        schema_version: current.map(|current| current.record.schema_version),
        body_hash: current.map(|current| current.record.body_hash.clone()),
        body: current.map(|current| current.record.body.clone()),
        is_understood: in_force == keeper.version(),
    };
    HttpResponse::json(OK, &answer)
}
