//! What an entry tells the sidecars of the work that waits.

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

fn told(updates: &[SidecarDemands]) -> Vec<(Incarnation, u32)> {
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
fn each_sidecar_hears_of_its_part() {
    let mut board = DemandTracker::new();
    let updates = board.update(&waiting(4, 40));
    assert_eq!(told(&updates), [(0, 10), (1, 10), (2, 10), (3, 10)]);
}

#[test]
fn single_task_is_told_to_few_sidecars() {
    let mut board = DemandTracker::new();
    assert_eq!(board.update(&waiting(10, 1)).len(), 3);
}

#[test]
fn nothing_is_repeated_while_parts_last() {
    let mut board = DemandTracker::new();
    board.update(&waiting(4, 40));
    board.tasks_handed_out(2, &flow(), 1);
    assert_eq!(board.update(&waiting(4, 39)), vec![]);
}

#[test]
fn sidecar_whose_part_ran_out_hears_of_what_is_left() {
    let mut board = DemandTracker::new();
    board.update(&waiting(4, 40));
    for _ in 0..10 {
        board.tasks_handed_out(2, &flow(), 1);
    }
    assert_eq!(told(&board.update(&waiting(4, 30))), [(2, 8)]);
}

#[test]
fn sidecars_hear_when_nothing_waits_any_more() {
    let mut board = DemandTracker::new();
    board.update(&waiting(3, 3));
    board.tasks_handed_out(0, &flow(), 1);
    assert_eq!(told(&board.update(&waiting(3, 0))), [(1, 0), (2, 0)]);
    assert_eq!(board.update(&waiting(3, 0)), vec![]);
}

#[test]
fn new_session_hears_everything_again() {
    let mut board = DemandTracker::new();
    board.update(&waiting(3, 30));
    board.reset_sidecar(1);
    assert_eq!(told(&board.update(&waiting(3, 30))), [(1, 10)]);
}
