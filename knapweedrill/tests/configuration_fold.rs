//! All readers of the log agree on the current configuration, at whatever offset they start.

use knapweedrill::contract::{
    AppendOutcome, AppendTracker, ConfigurationFold, ConfigurationRecord, FoldOutcome,
};
use proptest::prelude::*;

const VALID: &str =
    "[service a]\n[kind k]\nservice = a\ndeadline_ms = 9\n[team t]\nshare_percent = 1\n";

fn change(record_id: u64, parent: Option<u64>) -> ConfigurationRecord {
    ConfigurationRecord::new(record_id, parent, format!("{VALID}; {record_id}\n"))
}

/// A step of the writers of the log.
#[derive(Debug, Clone)]
enum Step {
    /// A writer whose view lags by this many records appends a change.
    Change { lag: usize },
    /// A writer whose view lags by this many records appends a refresh.
    Refresh { lag: usize },
    /// A record whose body does not match its hash.
    Damaged,
    /// A record that is not a configuration record.
    Other,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_usize).prop_map(|lag| Step::Change { lag }),
        3 => (0..6_usize).prop_map(|lag| Step::Refresh { lag }),
        1 => Just(Step::Damaged),
        2 => Just(Step::Other),
    ]
}

/// Returns the records of a log, and the folds before each offset and at the end.
fn write_log(steps: &[Step]) -> (Vec<Option<ConfigurationRecord>>, Vec<ConfigurationFold>) {
    let mut log = Vec::new();
    let mut folds = vec![ConfigurationFold::new()];
    for (offset, step) in (0_u64..).zip(steps) {
        let seen = |lag: usize| &folds[folds.len().saturating_sub(1 + lag)];
        let record = match step {
            Step::Change { lag } => Some(change(offset, seen(*lag).version())),
            Step::Refresh { lag } => seen(*lag).refresh_record(offset),
            Step::Damaged => Some(ConfigurationRecord {
                body: String::new(),
                ..change(offset, seen(0).version())
            }),
            Step::Other => None,
        };
        let mut fold = folds[folds.len() - 1].clone();
        if let Some(record) = record.clone() {
            fold.apply(offset, record);
        }
        fold.advance_to(offset + 1);
        log.push(record);
        folds.push(fold);
    }
    (log, folds)
}

fn is_usable(record: &Option<ConfigurationRecord>, start: u64) -> bool {
    record
        .as_ref()
        .is_some_and(|record| record.refresh_of.is_some() && record.read_to >= start)
}

proptest! {
    #[test]
    fn readers_agree_on_version_and_body_from_any_start(
        steps in prop::collection::vec(step(), 1..60),
        start in 0..60_usize,
        resume in 0..60_usize,
    ) {
        let (log, folds) = write_log(&steps);
        let start = start.min(log.len());
        let mut fold = if resume < start { folds[resume].clone() } else { ConfigurationFold::new() };
        fold.set_log_start(start as u64);
        let mut last_version = fold.version();
        for (offset, record) in log.iter().enumerate().skip(start) {
            if let Some(record) = record.clone() {
                fold.apply(offset as u64, record);
            }
            fold.advance_to(offset as u64 + 1);
            prop_assert!(fold.version() >= last_version);
            last_version = fold.version();
            // A complete reader agrees with the reader of the whole log at every offset.
            if fold.is_complete() {
                prop_assert_eq!(fold.version(), folds[offset + 1].version());
            } else {
                prop_assert!(fold.version() <= folds[offset + 1].version());
            }
        }
        let has_base = log[start..].iter().any(|record| is_usable(record, start as u64));
        prop_assert!(!has_base || fold.is_complete());
        if fold.is_complete() {
            let body = |fold: &ConfigurationFold| fold.current().map(|c| c.record.body.clone());
            prop_assert_eq!(body(&fold), body(&folds[log.len()]));
        }
    }

    #[test]
    fn reader_that_adopts_from_a_peer_at_any_offset_agrees(
        steps in prop::collection::vec(step(), 1..60),
        start in 0..60_usize,
        join in 0..60_usize,
        peer in 0..60_usize,
    ) {
        let (log, folds) = write_log(&steps);
        let start = start.min(log.len());
        let join = join.clamp(start, log.len());
        let mut fold = ConfigurationFold::new();
        fold.set_log_start(start as u64);
        for offset in start..=log.len() {
            let last_version = fold.version();
            if offset == join && let Some(reported) = folds[peer.min(log.len())].current().cloned() {
                fold.adopt_from_peer(reported.version, reported.record);
                prop_assert!(fold.version() >= Some(reported.version));
            }
            if let Some(Some(record)) = log.get(offset) {
                fold.apply(offset as u64, record.clone());
            }
            prop_assert!(fold.version() >= last_version);
        }
        if fold.is_complete() {
            prop_assert_eq!(fold.version(), folds[log.len()].version());
        }
    }

    #[test]
    fn first_of_several_concurrent_records_is_accepted(count in 1..9_u64) {
        let mut fold = ConfigurationFold::new();
        let outcomes: Vec<_> = (0..count).map(|id| fold.apply(id, change(id, None))).collect();
        prop_assert_eq!(outcomes[0], FoldOutcome::Accepted { version: 0 });
        for outcome in &outcomes[1..] {
            prop_assert_eq!(*outcome, FoldOutcome::RejectedParent { current: Some(0) });
        }
    }
}

#[test]
fn late_refresh_of_an_older_version_is_stale() {
    let mut fold = ConfigurationFold::new();
    fold.apply(0, change(1, None));
    let late = fold.refresh_record(2).unwrap();
    fold.apply(1, change(3, Some(0)));
    assert_eq!(fold.apply(2, late), FoldOutcome::Stale);
    assert_eq!(fold.version(), Some(1));
}

#[test]
fn newer_schema_becomes_current_while_the_last_readable_version_stays_in_force() {
    let mut fold = ConfigurationFold::new();
    fold.apply(0, change(1, None));
    let newer = ConfigurationRecord {
        schema_version: 99,
        ..change(2, Some(0))
    };
    assert_eq!(fold.apply(1, newer), FoldOutcome::Accepted { version: 1 });
    assert_eq!(fold.version(), Some(1));
    assert_eq!(fold.in_force().unwrap().version, 0);
    assert_eq!(
        fold.apply(2, change(3, Some(1))),
        FoldOutcome::Accepted { version: 2 }
    );
    assert_eq!(fold.in_force().unwrap().version, 2);
}

#[test]
fn refresh_is_due_once_the_last_one_is_in_the_older_half_of_the_log() {
    let mut fold = ConfigurationFold::new();
    fold.apply(0, change(1, None));
    assert!(!fold.needs_refresh(0..1));
    fold.advance_to(100);
    assert!(fold.needs_refresh(0..100));
    let refresh = fold.refresh_record(2).unwrap();
    assert_eq!(fold.apply(100, refresh), FoldOutcome::Refreshed);
    assert!(!fold.needs_refresh(50..150));
    assert!(fold.needs_refresh(51..152));
}

#[test]
fn first_configuration_after_retention_is_accepted_once_the_log_is_assumed_empty() {
    let mut fold = ConfigurationFold::new();
    fold.set_log_start(50);
    assert_eq!(fold.apply(60, change(1, None)), FoldOutcome::Pending);
    assert!(fold.refresh_record(2).is_none());
    fold.assume_empty();
    assert_eq!(fold.version(), Some(60));
}

#[test]
fn lost_append_response_is_resolved_by_reading_the_log() {
    let mut fold = ConfigurationFold::new();
    let (winner, loser) = (change(1, None), change(2, None));
    let mut trackers = [
        AppendTracker::new(1),
        AppendTracker::new(2),
        AppendTracker::new(3),
    ];
    for (offset, record) in (0..).zip([winner, loser]) {
        let outcome = fold.apply(offset, record.clone());
        for tracker in &mut trackers {
            tracker.observe(&record, outcome);
        }
    }
    let outcomes = trackers.map(|tracker| tracker.outcome(&fold));
    let accepted = AppendOutcome::Accepted { version: 0 };
    assert_eq!(
        outcomes,
        [accepted, AppendOutcome::Rejected, AppendOutcome::Unknown]
    );
}
