//! What an entry knows of one sidecar and its minion.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::common::Incarnation;
use crate::dispatch::Room;
use crate::dispatch::message::{Condition, MinionProfile, SidecarStatus};
use crate::dispatch::session::MessageNumber;

/// What an entry knows of one sidecar and its minion.
#[derive(Debug)]
pub struct SidecarView {
    incarnation: Incarnation,
    profile: Option<MinionProfile>,
    status: Option<SidecarStatus>,
    /// Orders that the newest status does not account for.
    unconfirmed: VecDeque<(MessageNumber, Room)>,
    is_silent: bool,
    gone_at: Option<Instant>,
    placed_count: usize,
    /// What the placements take up that have not ended.
    placed_room: Room,
    /// Whether it gets no more tasks, since its session is to be closed.
    is_retired: bool,
    probed_at: Option<Instant>,
}

impl SidecarView {
    /// Creates the view of a sidecar that was just met.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            profile: None,
            status: None,
            unconfirmed: VecDeque::new(),
            is_silent: false,
            gone_at: None,
            placed_count: 0,
            placed_room: Room::default(),
            is_retired: false,
            probed_at: None,
        }
    }

    /// Returns the sidecar.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the minion, if there is one.
    pub fn profile(&self) -> Option<&MinionProfile> {
        self.profile.as_ref()
    }

    /// Takes in what the sidecar says of its minion.
    pub fn set_profile(&mut self, profile: Option<MinionProfile>) {
        self.profile = profile;
    }

    /// Takes in the sidecar's newest state, which accounts for our messages up to a number.
    pub fn set_status(&mut self, status: SidecarStatus, acknowledged: MessageNumber) {
        self.status = Some(status);
        while self
            .unconfirmed
            .front()
            .is_some_and(|(number, _)| *number <= acknowledged)
        {
            self.unconfirmed.pop_front();
        }
    }

    /// Takes in that a task was sent there.
    pub fn record_placement(&mut self, number: MessageNumber, room: Room, now: Instant) {
        self.unconfirmed.push_back((number, room));
        self.placed_count += 1;
        self.placed_room = self.placed_room.plus(room);
        if self.is_suspect() {
            self.probed_at = Some(now);
        }
    }

    /// Takes in that a placement there has ended.
    pub fn record_end(&mut self, room: Room) {
        self.placed_count = self.placed_count.saturating_sub(1);
        self.placed_room = self.placed_room.minus(room);
    }

    /// Returns what the placements take up that have not ended.
    pub fn placed_room(&self) -> Room {
        self.placed_room
    }

    /// Says whether the sidecar gets no more tasks, since its session is to be closed.
    pub fn set_retired(&mut self, is_retired: bool) {
        self.is_retired = is_retired;
    }

    /// Returns how many placements have not ended.
    pub fn placed_count(&self) -> usize {
        self.placed_count
    }

    /// Notes whether the sidecar is silent.
    pub fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
    }

    /// Returns whether the sidecar is silent.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Notes that another process has the sidecar's place.
    pub fn set_gone(&mut self, now: Instant) {
        self.gone_at = Some(now);
    }

    /// Returns since when the process is gone.
    pub fn gone_at(&self) -> Option<Instant> {
        self.gone_at
    }

    /// Returns whether tasks may be placed there.
    pub fn is_usable(&self) -> bool {
        !self.is_retired && self.takes_tasks()
    }

    /// Returns whether the minion takes tasks.
    pub fn takes_tasks(&self) -> bool {
        let is_reached = !self.is_silent && self.gone_at.is_none() && self.profile.is_some();
        let takes_tasks = |status: SidecarStatus| status.condition != Condition::Unavailable;
        is_reached && self.status.is_some_and(takes_tasks)
    }

    /// Returns whether the minion fails tasks of several jobs.
    pub fn is_suspect(&self) -> bool {
        self.status
            .is_some_and(|status| status.condition == Condition::Suspect)
    }

    /// Returns whether a suspect minion may be tried.
    pub fn may_be_probed(&self, now: Instant, interval: Duration) -> bool {
        let is_due = |at| now.saturating_duration_since(at) >= interval;
        self.placed_count == 0 && self.probed_at.is_none_or(is_due)
    }

    /// Returns how many entries share the minion, this one included.
    pub fn sharer_count(&self) -> u64 {
        let sharers = self.status.map_or(1, |status| status.sharer_count.max(1));
        sharers.into()
    }

    /// Returns the room that is left, as far as it is known here.
    pub fn free(&self) -> Room {
        let free = self.status.map_or_else(Room::default, |status| status.free);
        self.unconfirmed
            .iter()
            .fold(free, |free, (_, room)| free.minus(*room))
    }

    /// Returns how long a task of that estimate is going to take there.
    pub fn run_time(&self, estimate: Duration) -> Duration {
        let Some(status) = self.status else {
            return estimate;
        };
        let delay = Duration::from_millis(status.delay_ms.into());
        estimate * status.pace_permille / 1_000 + delay
    }
}
