//! Counts of the messages that the processes sent.

use eyre::Result;
use knapweedrill_daemon::telemetry::Counter;
use knapweedrill_derive::message;

use crate::harness::EntryApi;

/// The counters of messages that tasks cause.
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

/// The counters of messages that are sent without tasks as well.
const UPKEEP_MESSAGES: [Counter; 3] = [
    Counter::RosterMessages,
    Counter::ConfigurationMessages,
    Counter::SessionMessages,
];

/// Counts of the messages that processes sent and of the tasks that they started.
#[message]
#[derive(Copy, Default)]
pub struct MessageCounts {
    /// The number of tasks that were started.
    pub task_count: u64,
    /// The number of messages that tasks caused.
    pub work_count: u64,
    /// The number of messages that maintain sessions, rosters and configurations.
    pub upkeep_count: u64,
    /// The number of messages that had no effect.
    pub wasted_count: u64,
}

impl MessageCounts {
    /// Adds the counters of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not report its metrics.
    pub(super) fn add_process(&mut self, api: EntryApi) -> Result<()> {
        let metrics: serde_json::Value = api.get("/v1/metrics")?.json()?;
        let count = |counter: Counter| counter_value(&metrics, counter.name());
        self.task_count += count(Counter::TasksStarted);
        self.work_count += WORK_MESSAGES.into_iter().map(count).sum::<u64>();
        self.upkeep_count += UPKEEP_MESSAGES.into_iter().map(count).sum::<u64>();
        self.wasted_count += count(Counter::MessagesWasted);
        Ok(())
    }
}

/// Returns the value of a counter in a metrics response, or 0 if it is missing.
fn counter_value(metrics: &serde_json::Value, name: &str) -> u64 {
    let counters = metrics["counters"].as_array().into_iter().flatten();
    counters
        .filter(|metric| metric["name"] == name)
        .filter_map(|metric| metric["value"].as_u64())
        .sum()
}
