//! The scenarios.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use eyre::{Report, eyre};
use knapweedrill::contract::Class;
use knapweedrill_derive::value;

use super::{Disturbance, FlowPlan, TimedDisturbance};

/// The speeds of the minions in per cent, spread 1 to 4.
pub(super) const MINION_SPEEDS_PERCENT: [u32; 10] = [50, 60, 70, 80, 100, 110, 130, 150, 170, 200];
/// The slots of each minion.
pub(super) const MINION_SLOTS: u32 = 8;
/// How many entries there are.
pub(super) const ENTRY_COUNT: usize = 3;

const TEAMS: [&str; 4] = ["tin-a", "tin-b", "tin-c", "tin-d"];
/// The part of the fleet that each team may claim.
const TEAM_SHARE: f64 = 0.25;
const DEFAULT_HINT_SIGMA: f64 = 0.3;
/// A lognormal whose usual error is a factor of ten.
const TEN_TIMES_SIGMA: f64 = std::f64::consts::LN_10;

/// What a run is about.
#[value]
#[derive(Copy, Eq)]
pub enum Scenario {
    /// Few jobs, so that most find the fleet idle.
    Light,
    /// All teams together use 80 % of the fleet.
    Busy,
    /// One team asks for 20 times its share, the others for 60 % of theirs.
    RivalFlood,
    /// A flood of bulk work, then one of urgent work, beside a steady team.
    BulkThenUrgent,
    /// Two minions turn slow and more tasks are long.
    Stragglers,
    /// A minion fails everything from a fifth of the run on.
    FailingMinion,
    /// Declared run times are off by a factor of ten.
    WrongHints,
    /// Callers cancel most jobs of a rush.
    CancelWave,
    /// Half of the minions leave.
    HalfLeave,
    /// An entry is killed under load.
    EntryLost,
    /// Jobs of 440 tasks.
    LargeJobs,
    /// Tasks of no length, as many as an entry starts.
    StartRate,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 12] = [
        Self::Light,
        Self::Busy,
        Self::RivalFlood,
        Self::BulkThenUrgent,
        Self::Stragglers,
        Self::FailingMinion,
        Self::WrongHints,
        Self::CancelWave,
        Self::HalfLeave,
        Self::EntryLost,
        Self::LargeJobs,
        Self::StartRate,
    ];

    /// Returns its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Light => "light",
            Self::Busy => "busy",
            Self::RivalFlood => "rival-flood",
            Self::BulkThenUrgent => "bulk-then-urgent",
            Self::Stragglers => "stragglers",
            Self::FailingMinion => "failing-minion",
            Self::WrongHints => "wrong-hints",
            Self::CancelWave => "cancel-wave",
            Self::HalfLeave => "half-leave",
            Self::EntryLost => "entry-lost",
            Self::LargeJobs => "large-jobs",
            Self::StartRate => "start-rate",
        }
    }

    /// Returns how far hints are off.
    pub(super) fn hint_sigma(self) -> f64 {
        match self {
            Self::WrongHints => TEN_TIMES_SIGMA,
            _ => DEFAULT_HINT_SIGMA,
        }
    }

    /// Returns the flows.
    pub(super) fn flows(self) -> Vec<FlowPlan> {
        match self {
            Self::Light => mixed(0.05),
            Self::Busy
            | Self::Stragglers
            | Self::FailingMinion
            | Self::WrongHints
            | Self::EntryLost => {
                let long_percent = if self == Self::Stragglers { 6 } else { 3 };
                let load = if self == Self::Busy { 0.8 } else { 0.5 };
                let flows = mixed(load).into_iter();
                flows.map(|flow| flow.long_percent(long_percent)).collect()
            }
            Self::HalfLeave => mixed(0.3),
            Self::RivalFlood => rival_flood(),
            Self::BulkThenUrgent => bulk_then_urgent(),
            Self::CancelWave => {
                let rush = FlowPlan::new(TEAMS[0], Class::Normal)
                    .tasks(60, 200)
                    .load(2.0, fleet_speed())
                    .cancelled_percent(90)
                    .rival();
                let others = steady(Class::Normal, 0.6);
                std::iter::once(rush).chain(others).collect()
            }
            Self::LargeJobs => vec![
                FlowPlan::new(TEAMS[0], Class::Normal)
                    .tasks(440, 440)
                    .load(0.2, fleet_speed()),
            ],
            Self::StartRate => vec![
                FlowPlan::new(TEAMS[0], Class::Normal)
                    .tasks(440, 440)
                    .empty_tasks()
                    .jobs_per_second(10.0),
            ],
        }
    }

    /// Returns what goes wrong in a run of that length.
    pub(super) fn disturbances(self, duration: Duration) -> Vec<TimedDisturbance> {
        let fifth = duration / 5;
        let timed = |disturbance| TimedDisturbance {
            at: fifth,
            disturbance,
        };
        match self {
            Self::Stragglers => (8..10)
                .map(|minion| {
                    timed(Disturbance::Slow {
                        minion,
                        run_time_percent: 500,
                    })
                })
                .collect(),
            Self::FailingMinion => vec![timed(Disturbance::FailEverything { minion: 9 })],
            Self::HalfLeave => (0..MINION_SPEEDS_PERCENT.len())
                .step_by(2)
                .map(|minion| timed(Disturbance::Leave { minion }))
                .collect(),
            Self::EntryLost => vec![timed(Disturbance::KillEntry { entry: 2 })],
            _ => Vec::new(),
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Scenario {
    type Err = Report;

    fn from_str(name: &str) -> Result<Self, Report> {
        let mut scenarios = Self::ALL.into_iter();
        scenarios
            .find(|scenario| scenario.name() == name)
            .ok_or_else(|| {
                let names: Vec<&str> = Self::ALL.iter().map(|known| known.name()).collect();
                eyre!("no scenario {name}; there are {}", names.join(", "))
            })
    }
}

/// Returns the speed of all slots of the fleet; 1 is that of a slot of speed 100 %.
pub(super) fn fleet_speed() -> f64 {
    let percent: u32 = MINION_SPEEDS_PERCENT.iter().sum();
    f64::from(percent * MINION_SLOTS) / 100.0
}

/// Returns flows of all teams that use a part of the fleet, one class to a team.
fn mixed(load: f64) -> Vec<FlowPlan> {
    let classes = [Class::Urgent, Class::Normal, Class::Normal, Class::Bulk];
    TEAMS
        .iter()
        .zip(classes)
        .map(|(team, class)| FlowPlan::new(*team, class).load(load * TEAM_SHARE, fleet_speed()))
        .collect()
}

/// Returns flows of all teams but the first that use a part of their shares.
fn steady(class: Class, part_of_share: f64) -> impl Iterator<Item = FlowPlan> {
    TEAMS[1..].iter().map(move |team| {
        FlowPlan::new(*team, class).load(part_of_share * TEAM_SHARE, fleet_speed())
    })
}

fn rival_flood() -> Vec<FlowPlan> {
    let rival = FlowPlan::new(TEAMS[0], Class::Normal)
        .tasks(60, 200)
        .load(20.0 * TEAM_SHARE, fleet_speed())
        .rival();
    std::iter::once(rival)
        .chain(steady(Class::Normal, 0.6))
        .collect()
}

fn bulk_then_urgent() -> Vec<FlowPlan> {
    let flood = |class| {
        FlowPlan::new(TEAMS[0], class)
            .tasks(60, 200)
            .load(5.0, fleet_speed())
            .rival()
    };
    vec![
        flood(Class::Bulk).during(0, 50),
        flood(Class::Urgent).during(50, 100),
        FlowPlan::new(TEAMS[1], Class::Urgent).load(0.6 * TEAM_SHARE, fleet_speed()),
        FlowPlan::new(TEAMS[2], Class::Bulk).load(0.6 * TEAM_SHARE, fleet_speed()),
    ]
}
