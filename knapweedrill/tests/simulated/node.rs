//! Simulated processes.

use std::net::SocketAddr;
use std::time::Instant;

use knapweedrill::common::{Attempt, Incarnation};
use knapweedrill::entry::{Entry, EntryAction};
use knapweedrill::job::TaskId;
use knapweedrill::minion::{Announcement, MinionState};
use knapweedrill::sidecar::{MinionNotice, RunResult, Sidecar, SidecarAction};

pub(super) const SERVICE: &str = "embossing";
pub(super) const SLOT_COUNT: u32 = 2;

/// A process: its state machine and its pending actions.
pub(super) enum Node {
    Entry {
        entry: Box<Entry>,
        actions: Vec<EntryAction>,
        is_stopping: bool,
    },
    Sidecar {
        sidecar: Box<Sidecar>,
        actions: Vec<SidecarAction>,
        calls: Vec<RunningCall>,
        is_stopping: bool,
    },
}

/// A call to the minion of a sidecar that has not ended.
#[derive(Debug, Clone)]
pub(super) struct RunningCall {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) started_at: Instant,
    pub(super) ends_at: Instant,
    pub(super) result: RunResult,
}

pub(super) fn announcement(sidecar: Incarnation, state: MinionState) -> Announcement {
    Announcement {
        name: format!("sidecar-{sidecar}"),
        sidecar,
        link_address: address(),
        http_address: address(),
        service: SERVICE.into(),
        worker: "worker".into(),
        failure_domain: "a".into(),
        slots: SLOT_COUNT,
        speed_hint_percent: 100,
        state,
    }
}

pub(super) fn minion_notice() -> MinionNotice {
    MinionNotice {
        service: SERVICE.into(),
        address: address(),
        slots: SLOT_COUNT,
        speed_hint_percent: 100,
        state: MinionState::Serving,
    }
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 7000).into()
}
