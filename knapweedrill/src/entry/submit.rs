//! Requests about jobs that this entry owns.

use std::time::{Duration, Instant};

use smallvec::smallvec;

use crate::common::{Generation, JobId};
use crate::contract::{Class, OwnerToken};
use crate::event::EventKind;
use crate::job::{Failure, JobSpec, Refusal, TaskId};
use crate::message::KeptState;

use super::core::Entry;
use super::key_table::Lookup;
use super::live_job::{LiveJob, LiveTask, LiveTaskState, Waiter};
use super::queue::QueuedTask;
use super::timers::Timer;
use super::{CallerRequest, CallerResponse, EntryAction, EntryCounter, EntryTimer, Requester};

/// When a caller may try again whose service has no minion or whose entry is stopping.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl Entry {
    /// Deals with a request that carries one of this entry's tokens.
    pub(super) fn own_request(
        &mut self,
        requester: Requester,
        request: CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let job = request.job_id();
        match request {
            CallerRequest::Submit {
                token, spec, wait, ..
            } => self.submit(requester, token, job, spec, wait, now, actions),
            CallerRequest::Status { token, wait, .. } => {
                let response = self.known_response(token, job, None);
                match response {
                    Some(response) => self.respond(requester, response, actions),
                    None => self.attach(requester, job, wait, now, actions),
                }
            }
            CallerRequest::Cancel { token, .. } => {
                self.cancel(job, now, actions);
                let response = self
                    .known_response(token, job, None)
                    .unwrap_or(CallerResponse::Unknown);
                self.respond(requester, response, actions);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn submit(
        &mut self,
        requester: Requester,
        token: OwnerToken,
        job: JobId,
        spec: JobSpec,
        wait: Duration,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let content_hash = spec.content_hash();
        match self.known_response(token, job, Some(content_hash)) {
            None => {
                actions.push(EntryAction::Count(EntryCounter::JobAttached));
                actions.push(EntryAction::Record(EventKind::JobAttached { job }));
                self.attach(requester, job, wait, now, actions);
            }
            Some(CallerResponse::Unknown) => {
                self.submit_new(requester, token, job, spec, wait, now, actions);
            }
            Some(response) => self.respond(requester, response, actions),
        }
    }

    /// Returns the answer that is known at once, or nothing while the job is live.
    fn known_response(
        &self,
        token: OwnerToken,
        job: JobId,
        content_hash: Option<u64>,
    ) -> Option<CallerResponse> {
        let is_reuse = |known: u64| content_hash.is_some_and(|hash| hash != known);
        match self.keys.lookup(token.generation, job) {
            Lookup::Live { content_hash } | Lookup::Ended { content_hash, .. }
                if is_reuse(content_hash) =>
            {
                Some(CallerResponse::failed(Failure::KeyReused))
            }
            Lookup::Live { .. } => None,
            Lookup::Ended { state, .. } => Some(state.clone().into()),
            Lookup::Expired => Some(CallerResponse::failed(Failure::KeyExpired)),
            Lookup::New if self.mint.has_expired(token.generation) => {
                Some(CallerResponse::failed(Failure::KeyExpired))
            }
            Lookup::New if !self.mint.is_genuine(token) => Some(CallerResponse::Invalid {
                message: format!("owner token {token} was never handed out"),
            }),
            Lookup::New => Some(CallerResponse::Unknown),
        }
    }

    fn attach(
        &mut self,
        requester: Requester,
        job: JobId,
        wait: Duration,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let until = now + wait;
        let Some(live) = self.jobs.get_mut(&job) else {
            self.respond(requester, CallerResponse::Unknown, actions);
            return;
        };
        live.waiters.push(Waiter { requester, until });
        self.timers.set(until, Timer::Wait { job, requester });
    }

    #[allow(clippy::too_many_arguments)]
    fn submit_new(
        &mut self,
        requester: Requester,
        token: OwnerToken,
        job: JobId,
        spec: JobSpec,
        wait: Duration,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Err(message) = self.check_spec(&spec) {
            self.respond(requester, CallerResponse::Invalid { message }, actions);
            return;
        }
        let content_hash = spec.content_hash();
        if let Some((refusal, retry_after)) = self.refusal(&spec, token.generation) {
            self.refuse(
                requester,
                token.generation,
                job,
                content_hash,
                refusal,
                retry_after,
                now,
                actions,
            );
            return;
        }
        self.keys.begin(token.generation, job, content_hash, now);
        actions.push(EntryAction::Count(EntryCounter::JobAccepted));
        actions.push(EntryAction::Record(EventKind::JobAccepted {
            job,
            token,
            task_count: u32::try_from(spec.tasks.len()).unwrap_or(u32::MAX),
        }));
        let tasks = self.queued_tasks(job, &spec);
        let live = self.live_job(job, token.generation, spec, now);
        self.timers.set(live.deadline_at, Timer::Deadline { job });
        self.enqueue(&live, tasks, now);
        self.jobs.insert(job, live);
        self.attach(requester, job, wait, now, actions);
    }

    /// Refuses a job, and keeps the refusal, so that a second copy of the request is not run.
    #[allow(clippy::too_many_arguments)]
    fn refuse(
        &mut self,
        requester: Requester,
        generation: Generation,
        job: JobId,
        content_hash: u64,
        refusal: Refusal,
        retry_after: Option<Duration>,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let state = KeptState::NotRun {
            refusal,
            retry_after,
        };
        self.keys
            .insert(generation, job, content_hash, state.clone(), now);
        actions.push(EntryAction::Count(EntryCounter::JobNotRun));
        actions.push(EntryAction::Record(EventKind::JobNotRun { job, refusal }));
        self.respond(requester, state.into(), actions);
    }

    /// Checks what the configuration has to say about a job.
    fn check_spec(&self, spec: &JobSpec) -> Result<(), String> {
        let limits = &self.configuration.limits;
        if self.version.is_none() {
            return Ok(());
        }
        if self.configuration.kind(&spec.kind).is_none() {
            return Err(format!("kind '{}' is not configured", spec.kind));
        }
        if self.configuration.team(&spec.team).is_none() {
            return Err(format!("team '{}' is not configured", spec.team));
        }
        if spec.tasks.is_empty() {
            return Err("a job needs at least one task".to_owned());
        }
        if spec.tasks.len() > limits.tasks_per_job as usize {
            return Err(format!(
                "the job has {} tasks; at most {} are allowed",
                spec.tasks.len(),
                limits.tasks_per_job
            ));
        }
        let payload_max = limits.payload_bytes as usize;
        if let Some(index) = spec
            .tasks
            .iter()
            .position(|task| task.payload.len() > payload_max)
        {
            return Err(format!(
                "the payload of task {index} has {} bytes; at most {payload_max} are allowed",
                spec.tasks[index].payload.len()
            ));
        }
        Ok(())
    }

    /// Returns why a well-formed job cannot be taken now, if so.
    fn refusal(
        &self,
        spec: &JobSpec,
        generation: Generation,
    ) -> Option<(Refusal, Option<Duration>)> {
        if self.version.is_none() {
            return Some((Refusal::NotReady, Some(RETRY_AFTER)));
        }
        if self.stopping.is_some() {
            return Some((Refusal::ShuttingDown, Some(Duration::ZERO)));
        }
        let service = &self.configuration.kind(&spec.kind)?.service;
        if !self.has_sidecar(service) {
            return Some((Refusal::NoMinion, Some(RETRY_AFTER)));
        }
        if !self.has_sidecar_for(service, generation) {
            return Some((Refusal::TokenNeeded, Some(Duration::ZERO)));
        }
        self.overload(service, spec)
            .map(|refused| (refused.refusal, refused.retry_after))
    }

    pub(super) fn class_of(&self, spec: &JobSpec) -> Class {
        spec.class
            .or(self.configuration.kind(&spec.kind).map(|kind| kind.class))
            .unwrap_or_default()
    }

    pub(super) fn deadline_of(&self, spec: &JobSpec) -> Duration {
        let kind = self.configuration.kind(&spec.kind);
        let deadline_max = self.configuration.limits.deadline_max;
        spec.deadline
            .or(kind.map(|kind| kind.deadline))
            .unwrap_or(deadline_max)
            .min(deadline_max)
    }

    fn queued_tasks(&self, job: JobId, spec: &JobSpec) -> Vec<QueuedTask> {
        (0..)
            .zip(&spec.tasks)
            .map(|(index, task)| QueuedTask {
                task: TaskId {
                    owner: self.incarnation,
                    job,
                    index,
                },
                attempt: 0,
                expected: self.run_times.expected(&spec.kind, task.hint),
                payload: task.payload.clone(),
            })
            .collect()
    }

    fn live_job(&self, job: JobId, generation: Generation, spec: JobSpec, now: Instant) -> LiveJob {
        let kind = self.configuration.kind(&spec.kind);
        let deadline = self.deadline_of(&spec);
        let class = self.class_of(&spec);
        let tasks = spec
            .tasks
            .iter()
            .map(|task| LiveTask {
                hint: task.hint,
                attempt: 0,
                state: LiveTaskState::Queued,
            })
            .collect();
        LiveJob {
            job,
            generation,
            team: spec.team,
            service: kind.map(|kind| kind.service.clone()).unwrap_or_default(),
            kind: spec.kind,
            class,
            accepted_at: now,
            deadline_at: now + deadline,
            tasks,
            waiters: smallvec![],
            ended_count: 0,
            out_count: 0,
            may_have_started: false,
        }
    }

    fn cancel(&mut self, job: JobId, now: Instant, actions: &mut Vec<EntryAction>) {
        let Some(live) = self.jobs.get(&job) else {
            return;
        };
        let state = if live.has_certainly_not_run() {
            KeptState::NotRun {
                refusal: Refusal::Cancelled,
                retry_after: None,
            }
        } else {
            KeptState::Failed {
                failure: Failure::Cancelled,
            }
        };
        self.end_job(job, state, now, actions);
    }

    /// Takes note that a requester no longer waits.
    pub(super) fn hang_up(&mut self, requester: Requester) {
        self.relays.hang_up(requester);
    }

    /// Tells a requester whose wait is over that the job goes on.
    pub(super) fn end_wait(
        &mut self,
        job: JobId,
        requester: Requester,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.get_mut(&job) else {
            return;
        };
        let waiting_count = live.waiters.len();
        live.waiters
            .retain(|waiter| waiter.requester != requester || waiter.until > now);
        if live.waiters.len() == waiting_count {
            return;
        }
        let response = CallerResponse::Running {
            ended_count: live.ended_count,
            task_count: live.task_count(),
        };
        self.respond(requester, response, actions);
    }

    /// Ends a job whose deadline has passed.
    pub(super) fn end_overdue_job(
        &mut self,
        job: JobId,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.get(&job) else {
            return;
        };
        let state = if live.has_certainly_not_run() {
            KeptState::NotRun {
                refusal: Refusal::DeadlineExceeded,
                retry_after: None,
            }
        } else {
            KeptState::Failed {
                failure: Failure::DeadlineExceeded,
            }
        };
        self.end_job(job, state, now, actions);
    }

    /// Ends a live job and tells everybody who waits for it.
    pub(super) fn end_job(
        &mut self,
        job: JobId,
        state: KeptState,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.jobs.remove(&job) else {
            return;
        };
        self.dequeue(&live);
        actions.push(EntryAction::Time {
            timer: EntryTimer::JobResponse,
            duration: now.saturating_duration_since(live.accepted_at),
        });
        for sidecar in live.sidecars() {
            self.send_cancel(sidecar, job, actions);
        }
        self.keys.end(live.generation, job, state.clone(), now);
        note_end(job, &state, actions);
        for waiter in &live.waiters {
            self.respond(waiter.requester, state.clone().into(), actions);
        }
    }
}

fn note_end(job: JobId, state: &KeptState, actions: &mut Vec<EntryAction>) {
    let (counter, event) = match state {
        KeptState::Complete { .. } | KeptState::CompleteEvicted => {
            (EntryCounter::JobCompleted, EventKind::JobCompleted { job })
        }
        KeptState::Failed { failure } => (
            EntryCounter::JobFailed,
            EventKind::JobFailed {
                job,
                failure: *failure,
            },
        ),
        KeptState::NotRun { refusal, .. } => (
            EntryCounter::JobNotRun,
            EventKind::JobNotRun {
                job,
                refusal: *refusal,
            },
        ),
    };
    actions.push(EntryAction::Count(counter));
    actions.push(EntryAction::Record(event));
}
