use std::collections::BTreeMap;

use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::{Answer, CallerId, CancelAnswer};

/// What the simulation has recorded for the assertions of a test.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    pub(crate) answers: BTreeMap<JobName, Vec<Answer>>,
    /// Starts that a minion accepted, without repeated calls for the same run.
    pub(crate) started_count: u64,
    /// The job and the time in milliseconds of each of these starts.
    pub(crate) starts: Vec<(JobName, u64)>,
    /// The answers to cancels by caller, with their time in milliseconds.
    pub(crate) cancel_answers: BTreeMap<CallerId, (u64, CancelAnswer)>,
    pub(crate) resubmitted_count: u64,
    /// Jobs whose caller lost its connection to the entry, once per lost connection.
    pub(crate) unanswered: Vec<JobName>,
    /// Datagrams and bytes per node; lost datagrams count as sent.
    pub(crate) sent_counts: Vec<u64>,
    pub(crate) received_counts: Vec<u64>,
    pub(crate) sent_bytes: Vec<u64>,
}
