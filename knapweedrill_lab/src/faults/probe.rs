//! A job that a fault case submits itself to check its outcome.

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
const RUN_TIME: Duration = Duration::from_millis(30);

/// A job of a non-idempotent kind that a fault case submits itself.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    token: OwnerToken,
    key: String,
    request: JobRequest,
}

impl Probe {
    /// Creates a job with a token of the entry `owner`.
    pub(super) fn new(run: &FaultRun, owner: usize, key: &str) -> Result<Self> {
        let request = JobRequest::new("tin-a", "release").wait(Duration::from_secs(20));
        let request = (0..TASK_COUNT).fold(request, |request, index| {
            request.task(&TaskPayload::new(RUN_TIME, format!("{key}-{index}")))
        });
        Ok(Self {
            token: run.cluster.entries()[owner].api().owner()?,
            key: key.to_owned(),
            request,
        })
    }

    /// Submits the job through an entry and returns the record of the submission.
    pub(super) fn submit_through(&self, entry: ProcessName, api: EntryApi) -> Submission {
        RecordingClient::new(entry, api).idempotent(false).submit(
            self.token,
            &self.key,
            &self.request,
        )
    }

    /// Submits the job through an entry, adds it to the history and returns the outcome.
    pub(super) fn submit_and_record(&self, run: &mut FaultRun, entry: usize) -> Option<JobOutcome> {
        let api = run.cluster.entry(entry).api();
        let submission = self.submit_through(entry_name(entry), api);
        let outcome = submission.answer.outcome();
        run.add_submissions([submission]);
        outcome
    }
}
