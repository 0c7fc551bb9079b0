//! Metrics, their publication over StatsD, and the timeline of events.

use std::collections::HashSet;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use knapweedrill::common::HybridTime;
use knapweedrill::event::EventKind;
use knapweedrill_daemon::telemetry::{Counter, Gauge, Metrics, StatsdFlusher, Timeline, Timer};

#[test]
fn metric_names_are_unique() {
    let names = Counter::ALL
        .iter()
        .map(|counter| counter.name())
        .chain(Gauge::ALL.iter().map(|gauge| gauge.name()))
        .chain(Timer::ALL.iter().map(|timer| timer.name()));
    let mut seen = HashSet::new();
    for name in names {
        assert!(seen.insert(name), "{name} is the name of two metrics");
    }
}

#[test]
fn snapshot_holds_counters_gauges_and_timers() {
    let metrics = Metrics::new();
    metrics.add(Counter::TasksStarted, 3);
    metrics.set(Gauge::FreeSlots, 8);
    metrics.record_duration(Timer::TaskRun, Duration::from_millis(2));
    metrics.record_duration(Timer::TaskRun, Duration::from_millis(5));
    let snapshot = metrics.snapshot();
    assert_eq!(snapshot.value("tasks.started"), Some(3));
    assert_eq!(snapshot.value("slots.free"), Some(8));
    assert_eq!(snapshot.value("tasks.run.count"), Some(2));
    assert_eq!(snapshot.value("tasks.run.total_us"), Some(7_000));
    assert_eq!(snapshot.value("tasks.run.max_us"), Some(5_000));
    assert_eq!(snapshot.value("tasks.done"), Some(0));
}

#[test]
fn flusher_sends_metrics_with_process_and_role_tags() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let metrics = Arc::new(Metrics::new());
    let flusher = StatsdFlusher::builder(Arc::clone(&metrics))
        .address(Some(server.local_addr().unwrap()))
        .process("entry-1")
        .role("entry")
        .start()
        .unwrap();
    metrics.add(Counter::JobsAccepted, 2);
    metrics.set(Gauge::QueuedTasks, 7);
    metrics.record_duration(Timer::JobResponse, Duration::from_millis(3));
    drop(flusher);
    let lines = [
        "knapweedrill.jobs.accepted:2|c|#process:entry-1,role:entry",
        "knapweedrill.queue.tasks:7|g|#process:entry-1,role:entry",
        "knapweedrill.jobs.response.count:1|c|#process:entry-1,role:entry",
        "knapweedrill.jobs.response.total_us:3000|c|#process:entry-1,role:entry",
        "knapweedrill.jobs.response.max_us:3000|g|#process:entry-1,role:entry",
    ];
    let mut text = String::new();
    let mut buffer = [0; 2048];
    while !lines.iter().all(|line| text.contains(line)) {
        let length = server
            .recv(&mut buffer)
            .expect("all metrics arrive within the read timeout");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
}

#[test]
fn flusher_without_address_starts_and_stops() {
    let flusher = StatsdFlusher::builder(Arc::new(Metrics::new()))
        .start()
        .unwrap();
    drop(flusher);
}

#[test]
fn events_recorded_after_observe_have_later_timestamps() {
    let timeline = Timeline::new("entry-1", 7, 2);
    let received = HybridTime {
        wall_us: u64::MAX - 1,
        logical_count: 4,
    };
    timeline.observe(received);
    assert!(timeline.record(EventKind::ProcessStarted) > received);
    assert!(timeline.stamp() > received);
}

#[test]
fn timeline_keeps_the_latest_events() {
    let timeline = Timeline::new("entry-1", 7, 2);
    timeline.record(EventKind::ProcessStarted);
    timeline.record(EventKind::StopBegun);
    timeline.record(EventKind::StopEnded);
    let events = timeline.snapshot();
    assert_eq!(events.len(), 2);
    assert_eq!(events[0].kind, EventKind::StopBegun);
    assert!(events[0].at < events[1].at);
    assert_eq!(events[1].process, "entry-1");
    assert_eq!(timeline.dropped_count(), 1);
}
