//! Confinement of queues whose jobs crash minions.
//!
//! Answers this pattern: a part of the jobs of one queue crashes each minion that starts them, so
//! that most of the fleet restarts again and again and no queue is served. Once minions crash at
//! several times and most of the crashes are attributed to one queue, its jobs are on trial: each
//! runs alone on a minion of a small part of the fleet. All other jobs keep to the rest.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Add;
use std::time::{Duration, Instant};

use super::SidecarView;
use super::admission::AdmissionReason;
use super::directory::Directory;
use super::fleet::Fleet;
use super::job::Job;
use super::jobs::Jobs;
use super::waiting_work::WaitingWork;
use crate::common::{Incarnation, ServiceName};
use crate::dispatch::QueueTag;
use crate::dispatch::configuration::Configuration;
use crate::dispatch::message::CrashRecord;
use crate::dispatch::session::Sessions;

/// How long a crash counts as evidence against a queue.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(3);

/// Crashes that follow each other by less than this count as one: minions that fail together, such
/// as those of a rack, say nothing about tasks.
const SEPARATE_AFTER: Duration = Duration::from_millis(80);

/// The number of separate crashes, of as many minions, that confine a queue.
const CRASH_COUNT_MIN: usize = 3;

/// The number of jobs that have to pass their trial in a row, at all minions together and without a
/// crash that is attributed to their queue, before the confinement ends.
const PASSED_COUNT_MIN: u32 = 30;

/// The time without such a crash after which the confinement ends regardless of trials.
const QUIET_PERIOD: Duration = Duration::from_secs(10);

/// One minion in this many belongs to the part of the fleet for trials.
const PART_DIVISOR: usize = 4;

/// The minimum number of minions of a service for a confinement.
const MINION_COUNT_MIN: usize = 3;

/// How often the parts of the fleet for trials are worked out anew.
const PARTS_INTERVAL: Duration = Duration::from_millis(100);

/// A new job is admitted while fewer than one in this many minions for trials have another job
/// waiting.
const WAITING_DIVISOR: usize = 2;

/// Where the tasks of a job may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lane {
    /// On all minions.
    Any,
    /// On the minions for trials, one job at a time on each.
    Trial,
    /// On the minions that are not for trials.
    Rest,
}

/// A crash of a minion that is attributed to a queue.
#[derive(Debug, Clone, Copy)]
struct Crash {
    at: Instant,
    sidecar: Incarnation,
    queue: QueueTag,
}

/// The state of a confined queue.
#[derive(Debug, Clone, Copy)]
struct ConfinedQueue {
    last_crash_at: Instant,
    /// The number of jobs that have passed their trial since the last crash.
    passed_count: u32,
}

/// The queues whose jobs are on trial, and the evidence against queues.
#[derive(Debug, Default)]
pub(super) struct Confinement {
    /// What each sidecar has reported last.
    known: HashMap<Incarnation, CrashRecord>,
    recent: VecDeque<Crash>,
    confined: HashMap<QueueTag, ConfinedQueue>,
    /// The services of the confined queues, with the sidecars in their parts for trials.
    parts: HashMap<ServiceName, HashSet<Incarnation>>,
    parts_updated_at: Option<Instant>,
}

impl Confinement {
    /// Returns whether any queue is confined.
    pub(super) fn is_active(&self) -> bool {
        !self.confined.is_empty()
    }

    /// Returns where the waiting tasks of a job may be placed.
    pub(super) fn lane(&self, job: &Job) -> Lane {
        let has_part = |part: &HashSet<Incarnation>| !part.is_empty();
        if !self.parts.get(&job.service).is_some_and(has_part) {
            Lane::Any
        } else if self.confined.contains_key(&job.queue_tag) {
            Lane::Trial
        } else {
            Lane::Rest
        }
    }

    /// Returns whether a sidecar is in the lane of a job.
    pub(super) fn is_in_lane(&self, lane: Lane, sidecar: Incarnation) -> bool {
        let is_in_part = || self.parts.values().any(|part| part.contains(&sidecar));
        match lane {
            Lane::Any => true,
            Lane::Trial => is_in_part(),
            Lane::Rest => !is_in_part(),
        }
    }

    /// Decides whether a new job can be on trial soon: there is a minion for it, and few others
    /// wait.
    pub(super) fn trial_reason(&self, job: &Job, jobs: &Jobs, fleet: &Fleet) -> AdmissionReason {
        let minion_count = self.trial_minion_count(job, fleet);
        let waiting_count = self.waiting_for_trial(jobs).count();
        if waiting_count < minion_count.div_ceil(WAITING_DIVISOR) {
            AdmissionReason::TrialCapacity
        } else {
            AdmissionReason::NoTrialCapacity
        }
    }

    /// Returns the number of usable minions for the trial of a job.
    pub(super) fn trial_minion_count(&self, job: &Job, fleet: &Fleet) -> usize {
        let usable = fleet.usable(&job.service);
        usable
            .filter(|sidecar| self.is_in_lane(Lane::Trial, *sidecar))
            .count()
    }

    /// Returns the estimated work of the jobs that wait for a trial.
    pub(super) fn waiting_trial_work(&self, jobs: &Jobs) -> WaitingWork {
        let works = self.waiting_for_trial(jobs).map(Job::waiting_work);
        works.fold(WaitingWork::default(), WaitingWork::add)
    }

    /// Returns the jobs that wait for a trial.
    pub(super) fn waiting_for_trial<'a>(&self, jobs: &'a Jobs) -> impl Iterator<Item = &'a Job> {
        let names = self.is_active().then(|| jobs.waiting().names());
        names
            .into_iter()
            .flatten()
            .filter_map(|name| jobs.get(name))
            .filter(|job| self.lane(job) == Lane::Trial)
    }

    /// Records the crashes that a sidecar reports in its status.
    pub(super) fn record_status(
        &mut self,
        sidecar: Incarnation,
        crashes: CrashRecord,
        now: Instant,
    ) {
        let Some(known) = self.known.insert(sidecar, crashes) else {
            return;
        };
        let passed_count = crashes.passed_count.saturating_sub(known.passed_count);
        for confined in self.confined.values_mut() {
            confined.passed_count += passed_count;
        }
        let is_new = known.count < crashes.count;
        let Some(queue) = crashes.queue.filter(|_| is_new) else {
            return;
        };
        log::warn!(sidecar:% = sidecar, queue, crashes = crashes.count; "minion crashed");
        self.recent.push_back(Crash {
            at: now,
            sidecar,
            queue,
        });
        if let Some(confined) = self.confined.get_mut(&queue) {
            confined.last_crash_at = now;
            confined.passed_count = 0;
        } else if self.has_pattern(queue) {
            log::warn!(queue; "queue confined: its jobs crash minions");
            let confined = ConfinedQueue {
                last_crash_at: now,
                passed_count: 0,
            };
            self.confined.insert(queue, confined);
            self.parts_updated_at = None;
        }
    }

    /// Forgets old evidence, ends confinements that are over and updates the parts for trials.
    pub(super) fn tick(
        &mut self,
        configuration: Option<&Configuration>,
        directory: &Directory,
        sessions: &Sessions,
        fleet: &Fleet,
        now: Instant,
    ) {
        let is_old = |crash: &Crash| now.saturating_duration_since(crash.at) >= EVIDENCE_RETENTION;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        self.known
            .retain(|sidecar, _| fleet.view(*sidecar).is_some());
        self.confined.retain(|queue, confined| {
            let is_quiet = now.saturating_duration_since(confined.last_crash_at) >= QUIET_PERIOD;
            let is_over = is_quiet || confined.passed_count >= PASSED_COUNT_MIN;
            if is_over {
                log::info!(queue = *queue, passed = confined.passed_count; "confinement ended");
            }
            !is_over
        });
        if !self.is_active() {
            self.parts.clear();
            return;
        }
        let is_recent = |at| now.saturating_duration_since(at) < PARTS_INTERVAL;
        if self.parts_updated_at.is_some_and(is_recent) {
            return;
        }
        self.parts_updated_at = Some(now);
        let queues = configuration.map_or(&[][..], |configuration| &configuration.queues);
        self.parts = queues
            .iter()
            .filter(|queue| self.confined.contains_key(&queue.tag()))
            .map(|queue| {
                let addresses = trial_part(directory, &queue.service);
                let is_in_part = |sidecar: &Incarnation| {
                    let address = sessions.address(*sidecar);
                    address.is_some_and(|address| addresses.contains(&address))
                };
                let known = fleet.views().map(SidecarView::incarnation);
                (queue.service.clone(), known.filter(is_in_part).collect())
            })
            .collect();
    }

    /// Returns whether minions crash again and again with most of the crashes attributed to a queue.
    fn has_pattern(&self, queue: QueueTag) -> bool {
        let mut separate_count = 0;
        let mut of_queue_count = 0;
        let mut minions: HashSet<Incarnation> = HashSet::new();
        let mut last_at: Option<Instant> = None;
        for crash in &self.recent {
            let is_separate =
                last_at.is_none_or(|at| crash.at.saturating_duration_since(at) >= SEPARATE_AFTER);
            last_at = Some(crash.at);
            if crash.queue == queue {
                of_queue_count += 1;
                separate_count += usize::from(is_separate);
                minions.insert(crash.sidecar);
            }
        }
        separate_count >= CRASH_COUNT_MIN
            && minions.len() >= CRASH_COUNT_MIN
            && of_queue_count * 2 > self.recent.len()
    }
}

/// Returns the addresses of the sidecars of a service in the part for trials, the same at all
/// entries that know the same sidecars.
fn trial_part(directory: &Directory, service: &str) -> HashSet<SocketAddr> {
    let of_service = directory.page(0).filter(|record| record.service == service);
    let mut ranked: Vec<_> = of_service
        .map(|record| {
            (
                blake3::hash(record.vm.as_bytes()).as_bytes().to_owned(),
                record.address,
            )
        })
        .collect();
    if ranked.len() < MINION_COUNT_MIN {
        return HashSet::new();
    }
    ranked.sort_unstable();
    ranked.truncate(ranked.len().div_ceil(PART_DIVISOR));
    ranked.into_iter().map(|(_, address)| address).collect()
}
