//! When an entry may decide that the records that retention cut off held no configuration.

use std::time::{Duration, Instant};

use knapweedrill::contract::ConfigurationRecord;
use knapweedrill_daemon::control::ConfigurationKeeper;
use knapweedrill_daemon::platform_log::{LogEntry, LogNews, LogPage, LogRecord};
use knapweedrill_daemon::telemetry::Timeline;

const BODY: &str =
    "[service a]\n[kind k]\nservice = a\ndeadline_ms = 9\n[team t]\nshare_percent = 1\n";

/// The first offset that the log keeps; it holds a record that names no parent.
const FIRST_OFFSET: u64 = 5;

const LONG: Duration = Duration::from_secs(10);

struct Reader {
    keeper: ConfigurationKeeper,
    timeline: Timeline,
    now: Instant,
}

impl Reader {
    /// Creates a reader that found one record and cannot tell whether it was accepted.
    fn new() -> Self {
        let mut reader = Self {
            keeper: ConfigurationKeeper::new(),
            timeline: Timeline::new("entry-0", 1, 10),
            now: Instant::now(),
        };
        let record = LogRecord::Configuration(ConfigurationRecord::new(1, None, BODY));
        let body = serde_json::to_string(&record).expect("the record has a JSON form");
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
        self.keeper
            .take_log_news(LogNews::Page(page), &self.timeline);
    }

    fn lose_log(&mut self) {
        self.keeper
            .take_log_news(LogNews::Unreachable, &self.timeline);
    }

    /// Lets time pass and returns the version that is current then.
    fn version_after(&mut self, wait: Duration, peer_version: Option<u64>) -> Option<u64> {
        self.keeper.settle_empty_log(peer_version, self.now);
        self.now += wait;
        self.keeper.settle_empty_log(peer_version, self.now);
        self.keeper.version()
    }
}

#[test]
fn at_the_end_of_the_log_without_peers_the_first_record_counts() {
    let mut reader = Reader::new();
    reader.read(Vec::new());
    assert_eq!(reader.version_after(LONG, None), Some(FIRST_OFFSET));
}

#[test]
fn a_peer_that_names_a_version_forbids_it() {
    let mut reader = Reader::new();
    reader.read(Vec::new());
    assert_eq!(reader.version_after(LONG, Some(3)), None);
}

#[test]
fn a_log_that_is_not_read_to_its_end_forbids_it() {
    let mut reader = Reader::new();
    assert_eq!(reader.version_after(LONG, None), None);
}

#[test]
fn an_outage_of_the_log_forbids_it_and_the_wait_starts_anew_after_it() {
    let mut reader = Reader::new();
    reader.read(Vec::new());
    reader.lose_log();
    assert_eq!(reader.version_after(LONG, None), None);
    reader.read(Vec::new());
    assert_eq!(reader.version_after(Duration::from_millis(500), None), None);
    assert_eq!(reader.version_after(LONG, None), Some(FIRST_OFFSET));
}
