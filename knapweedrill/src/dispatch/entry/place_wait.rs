//! How long a task waits for room on the rack that holds its data.

use std::time::Duration;

/// How much earlier than its gain a wait ends: the interval at which an entry looks at waiting tasks
/// when nothing else happens.
const TICK_MARGIN: Duration = Duration::from_millis(10);

/// Where a task is placed, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceDecision {
    /// It is placed now; its rack has room.
    There,
    /// It is placed now, wherever there is room.
    Elsewhere,
    /// It is held back for room on its rack, for at most this time from now on.
    Wait(Duration),
}

/// The inputs of the decision for one task. Times that lie ahead are relative to now.
#[derive(Debug, Clone, Copy)]
pub struct PlaceWait {
    /// The factor by which the task takes longer outside of its rack, in thousandths.
    pub remote_run_factor_permille: u32,
    /// Whether a minion on the rack has room for the task.
    pub has_rack_room: bool,
    /// The mean run time on the minions of the rack, by their paces; `None` if none is usable.
    pub rack_run_time: Option<Duration>,
    /// The run time on the minion elsewhere that the task would get, by its pace and without the
    /// factor; `None` if none is usable.
    pub elsewhere_run_time: Option<Duration>,
    /// The time until runs of this entry on the rack have left room for the line, by their
    /// estimates; `None` if they do not leave that much.
    pub own_room_in: Option<Duration>,
    /// The CPU on the rack that the tasks of other entries use, in millicores.
    pub others_millicores: u64,
    /// How long this entry has seen the rack without room.
    pub full_for: Duration,
    /// The CPU that the tasks ahead in the line for the rack and the waiting tasks of the same step
    /// need, with this one, in millicores.
    pub line_millicores: u64,
    /// How long the task has waited for the rack.
    pub waited: Duration,
    /// The longest wait by the first decision for the task, if this is a later one.
    pub first_wait_max: Option<Duration>,
    /// How long the run may take so that the job meets its objective.
    pub time_left: Duration,
    /// The time until the last of the tasks of the same step that are placed elsewhere ends.
    pub siblings_end_in: Duration,
    /// Whether a task of the service that is ahead in the order found no room, although this one
    /// might.
    pub has_unserved_work: bool,
    /// Whether other tasks of the service found no room a short time ago, and so can use what this
    /// one leaves elsewhere.
    pub is_short: bool,
}

impl PlaceWait {
    /// Returns where the task is placed.
    pub fn decide(&self) -> PlaceDecision {
        if self.has_rack_room {
            return PlaceDecision::There;
        }
        if self.has_unserved_work {
            return PlaceDecision::Elsewhere;
        }
        let wait_max = self.wait_max();
        match self.expected_wait() {
            Some(expected) if expected <= wait_max && !wait_max.is_zero() => {
                PlaceDecision::Wait(wait_max)
            }
            _ => PlaceDecision::Elsewhere,
        }
    }

    /// Returns how much earlier the step ends if the task starts on its rack now rather than
    /// elsewhere: the step is not done before its other tasks. In a shortage each run elsewhere takes
    /// capacity from other tasks, so that the run itself counts.
    pub fn gain(&self) -> Duration {
        let (Some(there), Some(elsewhere)) = (self.rack_run_time, self.elsewhere_run_time) else {
            return Duration::ZERO;
        };
        let elsewhere = elsewhere * self.remote_run_factor_permille / 1_000;
        let end = if self.is_short {
            there
        } else {
            there.max(self.siblings_end_in)
        };
        elsewhere.saturating_sub(end)
    }

    /// Returns the longest further wait that can pay: less than the gain, within the time left, and
    /// within what the first decision allowed.
    fn wait_max(&self) -> Duration {
        let run_time = self.rack_run_time.unwrap_or_default();
        let until_late = self.time_left.saturating_sub(run_time);
        let by_gain = self.gain().min(until_late).saturating_sub(TICK_MARGIN);
        match self.first_wait_max {
            Some(first) => by_gain.min(first.saturating_sub(self.waited)),
            None => by_gain,
        }
    }

    /// Returns the expected time until the task finds room on its rack, or `None` if nothing there
    /// is expected to end.
    ///
    /// Ends of other entries' runs are only known as a rate, and those entries have tasks for the
    /// room as well. The longer the rack has been full, the longer it is expected to stay so.
    fn expected_wait(&self) -> Option<Duration> {
        let run_time = self.rack_run_time?;
        let by_others = (self.others_millicores > 0).then(|| {
            let run_ms = run_time.as_millis();
            let room_in_ms =
                run_ms * u128::from(self.line_millicores) / u128::from(self.others_millicores);
            let room_in = Duration::from_millis(u64::try_from(room_in_ms).unwrap_or(u64::MAX));
            room_in.max(self.full_for)
        });
        [self.own_room_in, by_others].into_iter().flatten().min()
    }
}
