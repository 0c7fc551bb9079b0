//! The messages that the processes sent.

use eyre::Result;
use knapweedrill_daemon::telemetry::Counter;
use knapweedrill_derive::message;

use crate::harness::EntryApi;

/// The counters of messages that work causes.
const WORK_MESSAGES: [Counter; 9] = [
    Counter::StartMessages,
    Counter::ReportsMessages,
    Counter::DemandsMessages,
    Counter::SlotsMessages,
    Counter::ReturnCreditMessages,
    Counter::CancelMessages,
    Counter::SettleMessages,
    Counter::RelayMessages,
    Counter::HandOverMessages,
];

/// The counters of messages that flow without work.
const UPKEEP_MESSAGES: [Counter; 3] = [
    Counter::RosterMessages,
    Counter::ConfigurationMessages,
    Counter::SessionMessages,
];

/// The messages that processes sent, and the tasks that they started.
#[message]
#[derive(Copy, Default)]
pub struct MessageCounts {
    /// Tasks that were started.
    pub task_count: u64,
    /// Messages that work caused.
    pub work_count: u64,
    /// Messages that keep sessions, rosters and configurations.
    pub upkeep_count: u64,
    /// Messages that had no effect.
    pub wasted_count: u64,
}

impl MessageCounts {
    /// Adds what a process tells of itself.
    pub(super) fn add_process(&mut self, api: EntryApi) -> Result<()> {
        let metrics: serde_json::Value = api.get("/v1/metrics")?.json()?;
        let count = |counter: Counter| reading(&metrics, counter.name());
        self.task_count += count(Counter::TasksStarted);
        self.work_count += WORK_MESSAGES.into_iter().map(count).sum::<u64>();
        self.upkeep_count += UPKEEP_MESSAGES.into_iter().map(count).sum::<u64>();
        self.wasted_count += count(Counter::MessagesWasted);
        Ok(())
    }
}

fn reading(metrics: &serde_json::Value, name: &str) -> u64 {
    let counters = metrics["counters"].as_array().into_iter().flatten();
    counters
        .filter(|reading| reading["name"] == name)
        .filter_map(|reading| reading["value"].as_u64())
        .sum()
}
