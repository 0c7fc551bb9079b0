//! What an entry knows of a sidecar.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use super::placement::Candidate;
use super::queue::QueuedTask;
use crate::common::Generation;
use crate::job::TaskId;
use crate::message::{SlotReport, TaskInDoubt};
use crate::minion::{Announcement, MinionSpeed, MinionState};

/// How long a start takes at the most, in all likelihood, to show in heartbeats.
const START_SETTLE_TIME: Duration = Duration::from_millis(50);

/// What an entry knows of a sidecar and its minion.
#[value]
pub(super) struct SidecarView {
    pub(super) announcement: Announcement,
    pub(super) report: SlotReport,
    /// Whether a link session is up.
    pub(super) is_up: bool,
    /// Since when no session has been up.
    pub(super) down_since: Option<Instant>,
    /// Whether heartbeats arrive.
    pub(super) is_heard: bool,
    /// How many starts were sent on the current session.
    pub(super) starts_sent_count: u64,
    /// When the last of them was sent.
    pub(super) start_sent_at: Option<Instant>,
    /// The attempts that are with the sidecar.
    pub(super) out: HashMap<TaskId, OutTask>,
    /// When the sidecar was last told what waits.
    pub(super) told_at: Option<Instant>,
    /// How fast the minion is, as learned from the tasks that it ran.
    pub(super) speed: MinionSpeed,
}

/// An attempt that is with a sidecar.
#[value]
pub(super) struct OutTask {
    pub(super) generation: Generation,
    /// The task, to be queued again if it comes back fenced.
    pub(super) queued: QueuedTask,
}

impl SidecarView {
    pub(super) fn new(announcement: Announcement) -> Self {
        let speed = MinionSpeed::new(announcement.speed_hint_percent);
        Self {
            announcement,
            speed,
            report: SlotReport::default(),
            is_up: false,
            down_since: None,
            is_heard: true,
            starts_sent_count: 0,
            start_sent_at: None,
            out: HashMap::new(),
            told_at: None,
        }
    }

    /// Takes in what the sidecar announces; a new hint of the speed replaces what was learned.
    pub(super) fn announced(&mut self, announcement: Announcement) {
        if announcement.speed_hint_percent != self.announcement.speed_hint_percent {
            self.speed = MinionSpeed::new(announcement.speed_hint_percent);
        }
        self.announcement = announcement;
    }

    /// Returns whether the sidecar takes new tasks.
    pub(super) fn is_usable(&self) -> bool {
        self.is_up && self.is_heard && self.announcement.state == MinionState::Serving
    }

    /// Returns how many slots are free, less the starts that the report does not cover yet.
    pub(super) fn free_count(&self) -> u32 {
        let unseen = self
            .starts_sent_count
            .saturating_sub(self.report.starts_received_count);
        let unseen = u32::try_from(unseen).unwrap_or(u32::MAX);
        self.report.free_count.saturating_sub(unseen)
    }

    /// Returns the minion as one that a task may go to.
    pub(super) fn candidate(&self) -> Candidate {
        Candidate {
            sidecar: self.announcement.sidecar,
            slot_count: self.announcement.slots,
            free_count: self.free_count(),
            outstanding_count: self.out_count(),
            speed_percent: self.speed.percent(),
        }
    }

    /// Returns how many attempts are with the sidecar.
    pub(super) fn out_count(&self) -> u32 {
        u32::try_from(self.out.len()).unwrap_or(u32::MAX)
    }

    /// Takes in the state of the slots from a heartbeat.
    ///
    /// A heartbeat does not say which starts it covers, so it counts only if the last start was
    /// sent long enough ago to have arrived before.
    pub(super) fn take_heartbeat(&mut self, report: SlotReport, now: Instant) {
        let is_settled = self
            .start_sent_at
            .is_none_or(|sent| now.duration_since(sent) > START_SETTLE_TIME);
        if self.is_up && is_settled {
            self.report = report;
            self.report.starts_received_count = self.starts_sent_count;
        }
    }

    /// Notes that a session opened.
    pub(super) fn session_opened(&mut self) {
        self.is_up = true;
        self.down_since = None;
        self.starts_sent_count = 0;
        self.report.starts_received_count = 0;
        self.told_at = None;
    }

    /// Notes that the session closed.
    pub(super) fn session_closed(&mut self, now: Instant) {
        self.is_up = false;
        self.down_since = Some(now);
    }

    /// Returns the attempts whose fate is open after a session broke.
    pub(super) fn tasks_in_doubt(&self) -> Vec<TaskInDoubt> {
        self.out
            .iter()
            .map(|(task, out)| TaskInDoubt {
                task: *task,
                generation: out.generation,
                attempt: out.queued.attempt,
            })
            .collect()
    }
}
