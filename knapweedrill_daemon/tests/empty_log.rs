//! When an entry may assume that the records deleted by retention contained no configuration.

use std::time::{Duration, Instant};

use knapweedrill::contract::ConfigurationRecord;
use knapweedrill_daemon::control::ConfigurationTracker;
use knapweedrill_daemon::platform_log::{LogEntry, LogPage, LogRecord, TailEvent};
use knapweedrill_daemon::telemetry::Timeline;

const BODY: &str =
    "[service a]\n[kind k]\nservice = a\ndeadline_ms = 9\n[team t]\nshare_percent = 1\n";

/// The oldest offset that the log keeps; its record has no parent.
const FIRST_OFFSET: u64 = 5;

const LONG_WAIT: Duration = Duration::from_secs(10);

struct Reader {
    tracker: ConfigurationTracker,
    timeline: Timeline,
    now: Instant,
}

impl Reader {
    /// Creates a reader that has read one record and can't know whether it was accepted.
    fn new() -> Self {
        let mut reader = Self {
            tracker: ConfigurationTracker::new(),
            timeline: Timeline::new("entry-0", 1, 10),
            now: Instant::now(),
        };
        let record = LogRecord::Configuration(ConfigurationRecord::new(1, None, BODY));
        let body = serde_json::to_string(&record).expect("the record can be encoded as JSON");
        reader.read(vec![LogEntry {
            offset: FIRST_OFFSET,
            body,
        }]);
        reader
    }

    fn read(&mut self, records: Vec<LogEntry>) {
        let page = LogPage {
            first_offset: FIRST_OFFSET,
            next_offset: FIRST_OFFSET + 1,
            records,
        };
        self.tracker
            .handle_log_event(TailEvent::Page(page), &self.timeline);
    }

    fn lose_log(&mut self) {
        self.tracker
            .handle_log_event(TailEvent::Unreachable, &self.timeline);
    }

    /// Advances the clock by `wait` and returns the version that is current afterwards.
    fn version_after(&mut self, wait: Duration, peer_version: Option<u64>) -> Option<u64> {
        self.tracker.resolve_empty_log(peer_version, self.now);
        self.now += wait;
        self.tracker.resolve_empty_log(peer_version, self.now);
        self.tracker.version()
    }
}

#[test]
fn first_record_is_accepted_at_the_end_of_the_log_without_peers() {
    let mut reader = Reader::new();
    reader.read(Vec::new());
    assert_eq!(reader.version_after(LONG_WAIT, None), Some(FIRST_OFFSET));
}

#[test]
fn first_record_is_not_accepted_if_a_peer_reports_a_version() {
    let mut reader = Reader::new();
    reader.read(Vec::new());
    assert_eq!(reader.version_after(LONG_WAIT, Some(3)), None);
}

#[test]
fn first_record_is_not_accepted_before_the_end_of_the_log() {
    let mut reader = Reader::new();
    assert_eq!(reader.version_after(LONG_WAIT, None), None);
}

#[test]
fn outage_of_the_log_restarts_the_wait() {
    let mut reader = Reader::new();
    reader.read(Vec::new());
    reader.lose_log();
    assert_eq!(reader.version_after(LONG_WAIT, None), None);
    reader.read(Vec::new());
    assert_eq!(reader.version_after(Duration::from_millis(500), None), None);
    assert_eq!(reader.version_after(LONG_WAIT, None), Some(FIRST_OFFSET));
}
