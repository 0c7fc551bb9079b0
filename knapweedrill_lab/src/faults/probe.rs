//! A job that a case submits itself, so that it can expect a certain answer.

use std::time::Duration;

use eyre::Result;
use knapweedrill::common::ProcessName;
use knapweedrill::contract::OwnerToken;

use super::FaultRun;
use super::fault_run::entry_name;
use crate::checker::{RecordingClient, Submission};
use crate::harness::{EntryApi, JobOutcome, JobRequest};
use crate::stand_in::minion::TaskPayload;

const TASK_COUNT: u32 = 6;
const TASK_RUN: Duration = Duration::from_millis(30);

/// A job that a case submits itself; it is not idempotent.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    token: OwnerToken,
    key: String,
    request: JobRequest,
}

impl Probe {
    /// Makes a job that an entry is to own.
    pub(super) fn new(run: &FaultRun, owner: usize, key: &str) -> Result<Self> {
        let request = JobRequest::new("tin-a", "release").wait(Duration::from_secs(20));
        let request = (0..TASK_COUNT).fold(request, |request, index| {
            request.task(&TaskPayload::new(TASK_RUN, format!("{key}-{index}")))
        });
        Ok(Self {
            token: run.cluster.entries()[owner].api().owner()?,
            key: key.to_owned(),
            request,
        })
    }

    /// Submits the job through an entry and returns what was observed.
    pub(super) fn call(&self, entry: ProcessName, api: EntryApi) -> Submission {
        RecordingClient::new(entry, api).idempotent(false).submit(
            self.token,
            &self.key,
            &self.request,
        )
    }

    /// Submits the job through an entry, notes it in the history and returns the outcome.
    pub(super) fn submit(&self, run: &mut FaultRun, entry: usize) -> Option<JobOutcome> {
        let api = run.cluster.entry(entry).api();
        let submission = self.call(entry_name(entry), api);
        let outcome = submission.answer.outcome();
        run.add_submissions([submission]);
        outcome
    }
}
