//! The minion of the platform, as the lab plays it.

use knapweedrill::dispatch::sidecar::{EndKind, HoldCall, OrderAnswer, RunKey, StartCall};
use knapweedrill::dispatch::{JobName, Resources, TaskName};
use knapweedrill_lab::stand_in::platform::{MinionModel, Work};

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

/// A minion with a run of 300 ms, whose lease ends 500 ms after its birth.
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

/// Starts a run under a lease that ends 500 ms after the minion's birth.
fn start(minion: &mut MinionModel, index: u32, run_ms: u64, now_ms: u64) {
    let call = StartCall {
        call: 1,
        run: run(index),
        spec: String::new(),
        lease_end_ms: 500,
        fencing_token: 1,
        instance: "minion".into(),
    };
    let work = Work {
        run_ms,
        room: ROOM,
        fails: false,
        hangs: false,
    };
    assert_eq!(minion.start(&call, work, now_ms), OrderAnswer::Accepted);
}

/// A machine that stands still looks at its runs late; they ended when they were due all the same.
#[test]
fn an_end_that_is_noticed_late_is_told_for_when_it_was_due() {
    let mut minion = minion_with_a_run(0);
    let past = minion.advance(2_600);
    let ends: Vec<_> = past.iter().map(|past| (past.ended_ms, past.how)).collect();
    assert_eq!(ends, [(300, EndKind::Done)]);
}

#[test]
fn a_run_without_a_lease_lapses_when_the_lease_was_over() {
    let mut minion = minion_with_a_run(0);
    start(&mut minion, 1, 900, 10);
    let past = minion.advance(2_600);
    let last = past.last().expect("both have ended");
    assert_eq!((last.ended_ms, last.how), (500, EndKind::Lapsed));
}

#[test]
fn a_slow_clock_makes_the_lease_longer() {
    let mut minion = minion_with_a_run(20);
    let hold = HoldCall {
        call: 2,
        lease_end_ms: Some(200),
        fencing_token: 1,
        acknowledged_end: 0,
        wait_ms: 0,
        instance: "minion".into(),
    };
    assert!(minion.hold(&hold, 10), "a lease never becomes shorter");
    assert!(minion.advance(299).is_empty());
    assert_eq!(minion.advance(300).len(), 1);
}
