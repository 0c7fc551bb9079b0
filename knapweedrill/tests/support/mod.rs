//! Fixtures shared by several test files.

// Each test file uses only some of the fixtures.
#![allow(dead_code)]

pub(crate) mod bench;

use std::time::Duration;

use knapweedrill::common::{Incarnation, JobId, TaskIndex};
use knapweedrill::contract::Class;
use knapweedrill::job::TaskId;
use knapweedrill::message::{Demand, Start};

/// Returns the start of a task of job 1.
pub(crate) fn start(owner: Incarnation, index: TaskIndex, team: &str, class: Class) -> Start {
    start_of(1, owner, index, team, class)
}

/// Returns the start of a task.
pub(crate) fn start_of(
    job: JobId,
    owner: Incarnation,
    index: TaskIndex,
    team: &str,
    class: Class,
) -> Start {
    Start {
        task: TaskId { owner, job, index },
        generation: 0,
        attempt: 0,
        team: team.to_owned(),
        class,
        kind: "relief".to_owned(),
        expected_run_time: Duration::from_millis(100),
        time_to_deadline: Duration::from_secs(10),
        uses_credit: false,
        payload: Vec::new(),
    }
}

/// Returns a demand with an expected run time of 100 ms.
pub(crate) fn demand(team: &str, class: Class, task_count: u32) -> Demand {
    Demand {
        team: team.to_owned(),
        class,
        task_count,
        expected_run_time: Duration::from_millis(100),
    }
}
