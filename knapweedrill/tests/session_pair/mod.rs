//! The sessions of an entry and a sidecar, for tests of what they send each other.

use std::net::SocketAddr;
use std::time::Instant;

use knapweedrill::dispatch::message::{Message, Role};
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::{JobName, TaskName};

/// The side of the entry.
pub(crate) const ENTRY: usize = 0;

/// The side of the sidecar.
pub(crate) const SIDECAR: usize = 1;

const ENTRY_INCARNATION: u64 = 11;

pub(crate) const SIDECAR_INCARNATION: u64 = 22;

/// The task of all orders.
pub(crate) const TASK: TaskName = TaskName {
    job: JobName(1),
    step: 0,
    index: 0,
};

/// Returns the address of a side.
pub(crate) fn address(side: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + side as u16))
}

/// Returns the order to stop a placement of the task.
pub(crate) fn stop_order(attempt: u64) -> Message {
    Message::Stop {
        task: TASK,
        attempt,
    }
}

/// Returns the sessions of both sides. The entry has begun to open one with the sidecar.
pub(crate) fn sessions_of_both_sides(now: Instant) -> [Sessions; 2] {
    let mut sides = [Role::Entry, Role::Sidecar].map(|role| {
        let identity = Identity {
            incarnation: match role {
                Role::Entry => ENTRY_INCARNATION,
                Role::Sidecar => SIDECAR_INCARNATION,
            },
            role,
            started_at: now,
        };
        Sessions::new(identity, SessionSettings::default())
    });
    sides[ENTRY].open(address(SIDECAR), now);
    sides
}
