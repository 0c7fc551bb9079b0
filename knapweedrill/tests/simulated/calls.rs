//! Callers that submit, resubmit and cancel jobs.

use knapweedrill::common::Incarnation;
use knapweedrill::entry::{CallerRequest, EntryEvent, Requester};
use rand::RngExt;

use super::World;
use super::caller::{CallerJob, PendingCall};
use super::node::Node;

/// The number of latest jobs that may be resubmitted or cancelled.
const RECENT_JOB_COUNT: usize = 12;

impl World {
    pub(super) fn issue_requests(&mut self) {
        if self.chance(800) {
            self.submit_new_job();
        }
        let job_count = self.observations.jobs.len();
        let recent = job_count.saturating_sub(RECENT_JOB_COUNT)..job_count;
        if recent.is_empty() {
            return;
        }
        if self.chance(400) {
            let job = self.random.random_range(recent.clone());
            self.submit(job);
        }
        if self.chance(self.faults.cancels) {
            let job = self.random.random_range(recent);
            let request = self.observations.jobs[job].cancellation();
            self.request(job, request);
        }
    }

    fn submit_new_job(&mut self) {
        let Some(owner) = self.choose(&self.entries()) else {
            return;
        };
        let Some(Node::Entry { entry, .. }) = self.nodes.get(&owner) else {
            return;
        };
        let Some(token) = entry.owner_token() else {
            return;
        };
        let task_count = self.random.random_range(1..=8);
        let run_ms: Vec<u64> = (0..task_count)
            .map(|_| self.random.random_range(self.timing.task_ms.clone()))
            .collect();
        let number = self.observations.jobs.len();
        let job = CallerJob::new(number, token, &run_ms);
        self.observations.jobs.push(job);
        self.submit(number);
    }

    pub(super) fn submit(&mut self, job: usize) {
        let request = self.observations.jobs[job].submission();
        self.request(job, request);
    }

    fn request(&mut self, job: usize, request: CallerRequest) {
        let entries: Vec<Incarnation> = self
            .entries()
            .into_iter()
            .filter(|entry| {
                let node = self.nodes.get(entry);
                matches!(
                    node,
                    Some(Node::Entry {
                        is_stopping: false,
                        ..
                    })
                ) && !self.is_frozen(*entry)
            })
            .collect();
        let Some(entry) = self.choose(&entries) else {
            return;
        };
        let number = self.next_request;
        self.next_request += 1;
        let call = PendingCall { entry, job };
        self.observations.pending.insert(number, call);
        let requester = Requester::Caller { request: number };
        self.handle_entry_event(entry, EntryEvent::Request { requester, request });
    }
}
