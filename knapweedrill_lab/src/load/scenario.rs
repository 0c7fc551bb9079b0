//! The scenarios of load runs: their flows and injected faults.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use eyre::{Report, eyre};
use knapweedrill::contract::Class;
use knapweedrill_derive::value;

use super::{Fault, FlowPlan, ScheduledFault};

/// The speeds of the minions in per cent; the fastest is four times as fast as the slowest.
pub(super) const MINION_SPEEDS_PERCENT: [u32; 10] = [50, 60, 70, 80, 100, 110, 130, 150, 170, 200];
/// The number of slots of each minion.
pub(super) const MINION_SLOTS: u32 = 8;
/// The number of entries.
pub(super) const ENTRY_COUNT: usize = 3;

const TEAMS: [&str; 4] = ["tin-a", "tin-b", "tin-c", "tin-d"];
/// The fraction of the fleet that each team is entitled to.
const TEAM_SHARE: f64 = 0.25;
const DEFAULT_HINT_SIGMA: f64 = 0.3;
/// The sigma of a lognormal error in which one standard deviation is a factor of ten.
const TEN_TIMES_SIGMA: f64 = std::f64::consts::LN_10;

/// A combination of flows and faults for a load run.
#[value]
#[derive(Copy, Eq)]
pub enum Scenario {
    /// A load of 5 %, so that most jobs find the fleet idle.
    Light,
    /// All teams together offer a load of 80 % of the fleet.
    Busy,
    /// One team offers 20 times its share, the others 60 % of theirs.
    RivalFlood,
    /// One team floods the fleet with bulk and then urgent work; two others offer a steady load.
    BulkThenUrgent,
    /// Two minions become slow, and the share of long tasks is doubled.
    Stragglers,
    /// A minion fails every task from one fifth of the run on.
    FailingMinion,
    /// The run-time hints are typically off by a factor of ten.
    WrongHints,
    /// Callers cancel most jobs of an overload.
    CancelWave,
    /// Half of the minions leave the fleet during the run.
    HalfLeave,
    /// An entry is killed at half load.
    EntryLost,
    /// Jobs of 440 tasks.
    LargeJobs,
    /// Tasks without work, which measure the rate of starts.
    StartRate,
}

impl Scenario {
    /// All scenarios, in the order of their declaration.
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

    /// Returns the name of the scenario on the command line and in reports.
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

    /// Returns the error of run-time hints: the standard deviation of the natural logarithm of
    /// hint over run time.
    pub(super) fn hint_sigma(self) -> f64 {
        match self {
            Self::WrongHints => TEN_TIMES_SIGMA,
            _ => DEFAULT_HINT_SIGMA,
        }
    }

    /// Returns the flows of jobs that the scenario submits.
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
                let overload = FlowPlan::new(TEAMS[0], Class::Normal)
                    .tasks(60, 200)
                    .load(2.0, fleet_capacity())
                    .cancelled_percent(90)
                    .rival();
                let others = steady(Class::Normal, 0.6);
                std::iter::once(overload).chain(others).collect()
            }
            Self::LargeJobs => vec![
                FlowPlan::new(TEAMS[0], Class::Normal)
                    .tasks(440, 440)
                    .load(0.2, fleet_capacity()),
            ],
            Self::StartRate => vec![
                FlowPlan::new(TEAMS[0], Class::Normal)
                    .tasks(440, 440)
                    .zero_work_tasks()
                    .jobs_per_second(10.0),
            ],
        }
    }

    /// Returns the faults to inject into a run of the given duration.
    pub(super) fn faults(self, duration: Duration) -> Vec<ScheduledFault> {
        let fifth = duration / 5;
        let scheduled = |fault| ScheduledFault { at: fifth, fault };
        match self {
            Self::Stragglers => (8..10)
                .map(|minion| {
                    scheduled(Fault::Slow {
                        minion,
                        run_time_percent: 500,
                    })
                })
                .collect(),
            Self::FailingMinion => vec![scheduled(Fault::FailEverything { minion: 9 })],
            Self::HalfLeave => (0..MINION_SPEEDS_PERCENT.len())
                .step_by(2)
                .map(|minion| scheduled(Fault::Leave { minion }))
                .collect(),
            Self::EntryLost => vec![scheduled(Fault::KillEntry { entry: 2 })],
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
                eyre!(
                    "unknown scenario {name:?}; expected one of {}",
                    names.join(", ")
                )
            })
    }
}

/// Returns the capacity of the fleet, in slots of speed 100 %.
pub(super) fn fleet_capacity() -> f64 {
    let percent: u32 = MINION_SPEEDS_PERCENT.iter().sum();
    f64::from(percent * MINION_SLOTS) / 100.0
}

/// Returns one flow for each team, which together offer `load` as a fraction of the fleet.
///
/// Each team uses one class only.
fn mixed(load: f64) -> Vec<FlowPlan> {
    let classes = [Class::Urgent, Class::Normal, Class::Normal, Class::Bulk];
    TEAMS
        .iter()
        .zip(classes)
        .map(|(team, class)| FlowPlan::new(*team, class).load(load * TEAM_SHARE, fleet_capacity()))
        .collect()
}

/// Returns one flow for each team but the first, each offering a fraction of its share.
fn steady(class: Class, share_fraction: f64) -> impl Iterator<Item = FlowPlan> {
    TEAMS[1..].iter().map(move |team| {
        FlowPlan::new(*team, class).load(share_fraction * TEAM_SHARE, fleet_capacity())
    })
}

fn rival_flood() -> Vec<FlowPlan> {
    let rival = FlowPlan::new(TEAMS[0], Class::Normal)
        .tasks(60, 200)
        .load(20.0 * TEAM_SHARE, fleet_capacity())
        .rival();
    std::iter::once(rival)
        .chain(steady(Class::Normal, 0.6))
        .collect()
}

fn bulk_then_urgent() -> Vec<FlowPlan> {
    let flood = |class| {
        FlowPlan::new(TEAMS[0], class)
            .tasks(60, 200)
            .load(5.0, fleet_capacity())
            .rival()
    };
    vec![
        flood(Class::Bulk).during(0, 50),
        flood(Class::Urgent).during(50, 100),
        FlowPlan::new(TEAMS[1], Class::Urgent).load(0.6 * TEAM_SHARE, fleet_capacity()),
        FlowPlan::new(TEAMS[2], Class::Bulk).load(0.6 * TEAM_SHARE, fleet_capacity()),
    ]
}
