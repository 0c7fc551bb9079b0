//! The state of a sidecar, as known to an entry.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use super::placer::Candidate;
use super::queue::QueuedTask;
use crate::common::Generation;
use crate::job::TaskId;
use crate::message::{SlotReport, TaskInDoubt};
use crate::minion::{Announcement, MinionSpeed, MinionState};

/// How long after a start a heartbeat may still not cover it.
const START_ARRIVAL_MAX: Duration = Duration::from_millis(50);

/// The state of a sidecar and its minion, as known to an entry.
#[value]
pub(super) struct SidecarView {
    pub(super) announcement: Announcement,
    pub(super) report: SlotReport,
    /// Whether a link session is open.
    pub(super) is_connected: bool,
    /// When the last session closed, while no session is open.
    pub(super) disconnected_at: Option<Instant>,
    /// Whether heartbeats arrive in time.
    pub(super) is_alive: bool,
    /// The number of starts that were sent on the current session.
    pub(super) starts_sent_count: u64,
    /// When the last start was sent.
    pub(super) last_start_sent_at: Option<Instant>,
    /// The attempts that were handed to the sidecar and have not ended.
    pub(super) outstanding: HashMap<TaskId, OutstandingTask>,
    /// When demand was last advertised to the sidecar, if that is still valid.
    pub(super) demands_sent_at: Option<Instant>,
    /// The speed of the minion, estimated from the tasks that it ran.
    pub(super) speed: MinionSpeed,
}

/// An attempt that was handed to a sidecar and has not ended.
#[value]
pub(super) struct OutstandingTask {
    pub(super) generation: Generation,
    /// The task, which is queued again if the sidecar does not start it.
    pub(super) queued: QueuedTask,
}

impl SidecarView {
    pub(super) fn new(announcement: Announcement) -> Self {
        let speed = MinionSpeed::new(announcement.speed_hint_percent);
        Self {
            announcement,
            speed,
            report: SlotReport::default(),
            is_connected: false,
            disconnected_at: None,
            is_alive: true,
            starts_sent_count: 0,
            last_start_sent_at: None,
            outstanding: HashMap::new(),
            demands_sent_at: None,
        }
    }

    /// Stores a new announcement; a changed speed hint resets the estimated speed.
    pub(super) fn update_announcement(&mut self, announcement: Announcement) {
        if announcement.speed_hint_percent != self.announcement.speed_hint_percent {
            self.speed = MinionSpeed::new(announcement.speed_hint_percent);
        }
        self.announcement = announcement;
    }

    /// Returns whether the sidecar accepts new tasks.
    pub(super) fn is_usable(&self) -> bool {
        self.is_connected && self.is_alive && self.announcement.state == MinionState::Serving
    }

    /// Returns the number of free slots, less the starts that the last report does not cover.
    pub(super) fn free_count(&self) -> u32 {
        let unreported_count = self
            .starts_sent_count
            .saturating_sub(self.report.starts_received_count);
        let unreported_count = u32::try_from(unreported_count).unwrap_or(u32::MAX);
        self.report.free_count.saturating_sub(unreported_count)
    }

    /// Returns the minion as a placement candidate.
    pub(super) fn candidate(&self) -> Candidate {
        Candidate {
            sidecar: self.announcement.sidecar,
            slot_count: self.announcement.slots,
            free_count: self.free_count(),
            outstanding_count: self.outstanding_count(),
            speed_percent: self.speed.percent(),
        }
    }

    /// Returns the number of attempts that the sidecar has not ended.
    pub(super) fn outstanding_count(&self) -> u32 {
        u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX)
    }

    /// Stores the slot report of a heartbeat.
    ///
    /// A heartbeat does not say which starts it covers, so it is used only if the last start was
    /// sent more than `START_ARRIVAL_MAX` ago.
    pub(super) fn handle_heartbeat(&mut self, report: SlotReport, now: Instant) {
        let covers_all_starts = self
            .last_start_sent_at
            .is_none_or(|sent| now.duration_since(sent) > START_ARRIVAL_MAX);
        if self.is_connected && covers_all_starts {
            self.report = report;
            self.report.starts_received_count = self.starts_sent_count;
        }
    }

    /// Resets the counters of a session after one opened.
    pub(super) fn session_opened(&mut self) {
        self.is_connected = true;
        self.disconnected_at = None;
        self.starts_sent_count = 0;
        self.report.starts_received_count = 0;
        self.demands_sent_at = None;
    }

    /// Records that the session closed.
    pub(super) fn session_closed(&mut self, now: Instant) {
        self.is_connected = false;
        self.disconnected_at = Some(now);
    }

    /// Returns the attempts to reconcile with the sidecar after it reconnected.
    pub(super) fn tasks_in_doubt(&self) -> Vec<TaskInDoubt> {
        self.outstanding
            .iter()
            .map(|(task, attempt)| TaskInDoubt {
                task: *task,
                generation: attempt.generation,
                attempt: attempt.queued.attempt,
            })
            .collect()
    }
}
