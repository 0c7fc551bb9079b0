//! The model of a platform minion.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::sidecar::{
    EndKind, HoldCall, OrderAnswer, RunKey, StartCall, StopCall,
};
use knapweedrill::dispatch::{JobName, Resources, TaskName};
use knapweedrill_lab::stand_in::platform::{MinionModel, TaskProfile};

const ROOM: Resources = Resources {
    cpu_millicores: 1_000,
    memory_mib: 64,
    accelerator_count: 0,
};

fn run(index: u32) -> RunKey {
    RunKey {
        task: TaskName {
            job: JobName(1),
            step: 0,
            index,
        },
        number: 1,
    }
}

/// Returns a minion with a run of 300 ms and a lease until 500 ms after its start.
fn minion_with_a_run(drift_permille: u64) -> MinionModel {
    let capacity = Resources {
        cpu_millicores: 8_000,
        memory_mib: 1_024,
        accelerator_count: 0,
    };
    let mut minion = MinionModel::new("minion".into(), capacity, drift_permille, 0);
    start(&mut minion, 0, 300, 0);
    minion
}

/// Returns an order to start a run with a lease until 500 ms after the minion's start.
fn start_call(index: u32) -> StartCall {
    StartCall {
        call: 1,
        run: run(index),
        spec: String::new(),
        lease_end_ms: 500,
        fencing_token: 1,
        instance: "minion".into(),
        started_unix_ms: 0,
        timeout: Duration::ZERO,
        send_until: Instant::now(),
    }
}

/// Starts a run with a lease until 500 ms after the minion's start.
fn start(minion: &mut MinionModel, index: u32, run_ms: u64, now_ms: u64) {
    let call = start_call(index);
    let profile = TaskProfile {
        run_ms,
        room: ROOM,
        fails: false,
        hangs: false,
    };
    assert_eq!(minion.start(&call, profile, now_ms), OrderAnswer::Accepted);
}

/// A suspended process detects the end of runs late. The reported end must still be the time at
/// which it was due.
#[test]
fn an_end_detected_late_is_reported_with_its_due_time() {
    let mut minion = minion_with_a_run(0);
    let finished = minion.advance(2_600);
    let ends: Vec<_> = finished
        .iter()
        .map(|run| (run.ended_ms, run.kind))
        .collect();
    assert_eq!(ends, [(300, EndKind::Done)]);
}

#[test]
fn a_run_lapses_at_the_expiry_of_its_lease() {
    let mut minion = minion_with_a_run(0);
    start(&mut minion, 1, 900, 10);
    let finished = minion.advance(2_600);
    let last = finished.last().expect("both have ended");
    assert_eq!((last.ended_ms, last.kind), (500, EndKind::Lapsed));
}

#[test]
fn a_hold_does_not_shorten_the_lease() {
    let mut minion = minion_with_a_run(20);
    let hold = HoldCall {
        call: 2,
        lease_end_ms: Some(200),
        fencing_token: 1,
        acknowledged_end: 0,
        wait_ms: 0,
        instance: "minion".into(),
        started_unix_ms: 0,
        timeout: Duration::ZERO,
    };
    assert!(minion.hold(&hold, 10), "the hold is accepted");
    assert!(minion.advance(299).is_empty());
    assert_eq!(minion.advance(300).len(), 1);
}

/// Guards against a check of claims that overlooks orders that would still start a run, or takes
/// those that are refused for such.
#[test]
fn orders_would_start_runs_only_if_the_minion_accepts_them_as_new() {
    let mut minion = minion_with_a_run(0);
    assert!(minion.would_start(&start_call(1), 10));
    assert!(
        !minion.would_start(&start_call(1), 500),
        "the lease is over"
    );
    assert!(!minion.would_start(&start_call(0), 10), "it runs");
    let stranger = StartCall {
        instance: "another".into(),
        ..start_call(1)
    };
    assert!(!minion.would_start(&stranger, 10));
    let stop = StopCall {
        call: 2,
        run: run(1),
        fencing_token: 1,
        instance: "minion".into(),
        timeout: Duration::ZERO,
    };
    assert_eq!(minion.stop(&stop, 10), OrderAnswer::Accepted);
    assert!(!minion.would_start(&start_call(1), 20), "it was stopped");
    let fencing = StopCall {
        run: run(2),
        fencing_token: 2,
        ..stop
    };
    assert_eq!(minion.stop(&fencing, 20), OrderAnswer::Accepted);
    assert!(!minion.would_start(&start_call(3), 30), "it is fenced");
}
