//! Advertising of queued work to sidecars.

mod support;

use knapweedrill::common::Incarnation;
use knapweedrill::contract::{Class, Flow};
use knapweedrill::entry::{DemandTracker, SidecarDemands};
use support::demand;

fn waiting(sidecar_count: u64, task_count: u32) -> Vec<SidecarDemands> {
    let demands = match task_count {
        0 => vec![],
        task_count => vec![demand("a", Class::Normal, task_count)],
    };
    (0..sidecar_count)
        .map(|sidecar| SidecarDemands {
            sidecar,
            slot_count: 8,
            demands: demands.clone(),
        })
        .collect()
}

fn advertised(updates: &[SidecarDemands]) -> Vec<(Incarnation, u32)> {
    updates
        .iter()
        .map(|update| {
            let task_count = update.demands.iter().map(|demand| demand.task_count).sum();
            (update.sidecar, task_count)
        })
        .collect()
}

fn flow() -> Flow {
    Flow::new("a", Class::Normal)
}

#[test]
fn demand_is_shared_among_sidecars_by_slots() {
    let mut tracker = DemandTracker::new();
    let updates = tracker.update(&waiting(4, 40));
    assert_eq!(advertised(&updates), [(0, 10), (1, 10), (2, 10), (3, 10)]);
}

#[test]
fn single_task_is_advertised_to_few_sidecars() {
    let mut tracker = DemandTracker::new();
    assert_eq!(tracker.update(&waiting(10, 1)).len(), 3);
}

#[test]
fn no_update_is_sent_while_shares_last() {
    let mut tracker = DemandTracker::new();
    tracker.update(&waiting(4, 40));
    tracker.tasks_handed_out(2, &flow(), 1);
    assert_eq!(tracker.update(&waiting(4, 39)), vec![]);
}

#[test]
fn sidecar_with_a_used_up_share_gets_an_update() {
    let mut tracker = DemandTracker::new();
    tracker.update(&waiting(4, 40));
    for _ in 0..10 {
        tracker.tasks_handed_out(2, &flow(), 1);
    }
    assert_eq!(advertised(&tracker.update(&waiting(4, 30))), [(2, 8)]);
}

#[test]
fn sidecars_get_an_update_when_no_task_waits() {
    let mut tracker = DemandTracker::new();
    tracker.update(&waiting(3, 3));
    tracker.tasks_handed_out(0, &flow(), 1);
    assert_eq!(
        advertised(&tracker.update(&waiting(3, 0))),
        [(1, 0), (2, 0)]
    );
    assert_eq!(tracker.update(&waiting(3, 0)), vec![]);
}

#[test]
fn demand_is_sent_again_after_a_reset() {
    let mut tracker = DemandTracker::new();
    tracker.update(&waiting(3, 30));
    tracker.reset_sidecar(1);
    assert_eq!(advertised(&tracker.update(&waiting(3, 30))), [(1, 10)]);
}
