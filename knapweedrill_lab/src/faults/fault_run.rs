//! A cluster under load and its recorded history.

use std::thread;
use std::time::Duration;

use eyre::{Result, ensure, eyre};
use knapweedrill::api::EventsResponse;
use knapweedrill::common::{Incarnation, ProcessName};

use super::{CallerWorkload, Callers, FaultCase, FaultReport, Seed};
use crate::checker::{History, PlannedStop, Submission};
use crate::harness::{Cluster, ClusterBuilder, EntryApi, JobOutcome, JobRequest, wait_until};
use crate::stand_in::minion::TaskPayload;
use crate::wall_clock::wall_us;

/// How long processes may take to record their events after the last response.
const EVENT_DELAY: Duration = Duration::from_millis(300);
/// How long callers still use an entry that stops, as behind a load balancer.
const BALANCER_DELAY: Duration = Duration::from_millis(200);
const STOP_TIMEOUT: Duration = Duration::from_secs(25);
const SERVING_TIMEOUT: Duration = Duration::from_secs(10);

/// A cluster under load and its recorded history.
#[derive(Debug)]
pub struct FaultRun {
    case: FaultCase,
    seed: Seed,
    callers: Option<Callers>,
    /// The processes under test.
    pub cluster: Cluster,
    /// The observations so far.
    pub history: History,
}

impl FaultRun {
    /// Starts a cluster without callers and waits until every entry completes jobs.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster does not start, or an entry completes no job in time.
    pub fn start(case: FaultCase, seed: Seed, cluster: ClusterBuilder) -> Result<Self> {
        let cluster = cluster.start()?;
        wait_all_serving(&cluster)?;
        Ok(Self {
            case,
            seed,
            callers: None,
            cluster,
            history: History::new(),
        })
    }

    /// Starts callers of all entries and waits for `warm_up`.
    pub fn start_callers(&mut self, workload: &CallerWorkload, warm_up: Duration) {
        let entries = self.cluster.entries().iter().enumerate();
        let entries: Vec<_> = entries
            .map(|(number, entry)| (entry_name(number), entry.api()))
            .collect();
        self.callers = Some(Callers::start(workload, self.seed, entries));
        thread::sleep(warm_up);
    }

    /// Returns the callers while they run.
    pub fn callers(&self) -> Option<&Callers> {
        self.callers.as_ref()
    }

    /// Returns the incarnation of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry issues no token.
    pub fn entry_incarnation(&mut self, number: usize) -> Result<Incarnation> {
        Ok(self.cluster.entry(number).api().owner()?.incarnation)
    }

    /// Collects the events of an entry and kills it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end.
    pub fn kill_entry(&mut self, number: usize) -> Result<()> {
        self.collect_events(self.cluster.entries()[number].api());
        self.cluster.entry(number).process().kill()
    }

    /// Collects the events of a sidecar and kills it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end.
    pub fn kill_sidecar(&mut self, number: usize) -> Result<()> {
        self.collect_events(self.cluster.minions()[number].sidecar_api());
        self.cluster.minion(number).sidecar().kill()
    }

    /// Collects the task starts of a minion and kills it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end.
    pub fn kill_minion(&mut self, number: usize) -> Result<()> {
        self.collect_starts(number);
        self.cluster.minion(number).minion().kill()
    }

    /// Records a planned stop of an entry and sends it the signal to stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry can't be reached or signalled.
    pub fn stop_entry(&mut self, number: usize) -> Result<()> {
        let incarnation = self.entry_incarnation(number)?;
        self.record_planned_stop(entry_name(number), incarnation, None);
        self.cluster.entry(number).process().terminate()
    }

    /// Stops an entry as planned; callers stop using it 200 ms later, as behind a load balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry can't be reached or signalled, or does not exit with status 0
    /// within 25 s.
    pub fn retire_entry(&mut self, number: usize) -> Result<()> {
        self.collect_events(self.cluster.entries()[number].api());
        self.stop_entry(number)?;
        thread::sleep(BALANCER_DELAY);
        if let Some(callers) = self.callers() {
            callers.remove_entry(&entry_name(number));
        }
        let process = self.cluster.entry(number).process();
        let status = process.wait_exit(STOP_TIMEOUT)?;
        ensure!(status.success(), "{} exited with {status}", process.name());
        Ok(())
    }

    /// Waits until an entry completes a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry completes no job within `timeout`.
    pub fn wait_entry_serving(&mut self, number: usize, timeout: Duration) -> Result<()> {
        wait_serving(self.cluster.entry(number).api(), timeout)
    }

    /// Records a planned stop of a sidecar and sends it the signal to stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the sidecar can't be reached or signalled.
    pub fn stop_sidecar(&mut self, number: usize) -> Result<()> {
        let api = self.cluster.minions()[number].sidecar_api();
        let response: EventsResponse = api.get("/v1/events")?.json()?;
        let event = response.events.first();
        let incarnation = event
            .ok_or_else(|| {
                eyre!("sidecar-{number} reports no events, so its incarnation is unknown")
            })?
            .incarnation;
        let minion = Some(minion_name(number));
        self.record_planned_stop(sidecar_name(number), incarnation, minion);
        self.cluster.minion(number).sidecar().terminate()
    }

    fn record_planned_stop(
        &mut self,
        process: ProcessName,
        incarnation: Incarnation,
        minion: Option<ProcessName>,
    ) {
        self.history.add_planned_stop(PlannedStop {
            process,
            incarnation,
            minion,
            requested_us: wall_us(),
        });
    }

    /// Collects the events and task starts of all processes that respond.
    pub fn collect(&mut self) {
        let entries = self.cluster.entries().iter().map(|entry| entry.api());
        let sidecars = self
            .cluster
            .minions()
            .iter()
            .map(|minion| minion.sidecar_api());
        let apis: Vec<EntryApi> = entries.chain(sidecars).collect();
        for api in apis {
            self.collect_events(api);
        }
        for number in 0..self.cluster.minions().len() {
            self.collect_starts(number);
        }
    }

    /// Stops the callers, collects all observations once more and checks the history.
    ///
    /// # Errors
    ///
    /// Returns an error if a caller panicked.
    pub fn finish(mut self) -> Result<FaultReport> {
        self.stop_callers()?;
        thread::sleep(EVENT_DELAY);
        self.collect();
        Ok(FaultReport::new(self.case, self.seed, &self.history))
    }

    /// Stops the callers and adds their submissions to the history.
    ///
    /// # Errors
    ///
    /// Returns an error if a caller panicked.
    pub fn stop_callers(&mut self) -> Result<()> {
        let submissions = match self.callers.take() {
            Some(callers) => callers.stop()?,
            None => Vec::new(),
        };
        self.add_submissions(submissions);
        Ok(())
    }

    /// Adds submissions that the case itself made to the history.
    pub fn add_submissions(&mut self, submissions: impl IntoIterator<Item = Submission>) {
        for submission in submissions {
            self.history.add_submission(submission);
        }
    }

    /// Collects the events of a process, unless it does not respond since it is killed or frozen.
    pub fn collect_events(&mut self, api: EntryApi) {
        let response = api
            .get("/v1/events")
            .and_then(|response| response.json::<EventsResponse>());
        if let Ok(response) = response {
            self.history.add_events(response.events);
        }
    }

    /// Collects the task starts of a minion, unless it does not respond since it is killed or
    /// frozen.
    pub fn collect_starts(&mut self, number: usize) {
        if let Ok(starts) = self.cluster.minions()[number].starts() {
            self.history.observe_minion(minion_name(number), &starts);
        }
    }
}

/// Waits until every entry completes a job, unless the cluster has no minions.
fn wait_all_serving(cluster: &Cluster) -> Result<()> {
    if cluster.minions().is_empty() {
        return Ok(());
    }
    for entry in cluster.entries() {
        wait_serving(entry.api(), SERVING_TIMEOUT)?;
    }
    Ok(())
}

fn wait_serving(api: EntryApi, timeout: Duration) -> Result<()> {
    let mut attempt_number = 0;
    wait_until("completion of a probe job", timeout, || {
        attempt_number += 1;
        completes_job(api, &format!("probe-{attempt_number}"))
    })
}

fn completes_job(api: EntryApi, key: &str) -> bool {
    let payload = TaskPayload::new(Duration::ZERO, key);
    let job = JobRequest::new("tin-a", "proof").task(&payload);
    let response = api.owner().and_then(|token| api.submit(&token, key, &job));
    response.is_ok_and(|response| response.outcome == JobOutcome::Complete)
}

/// Returns the process name of an entry.
pub(super) fn entry_name(number: usize) -> ProcessName {
    format!("entry-{number}")
}

/// Returns the process name of a minion.
pub(super) fn minion_name(number: usize) -> ProcessName {
    format!("minion-{number}")
}

/// Returns the process name of a sidecar.
pub(super) fn sidecar_name(number: usize) -> ProcessName {
    format!("sidecar-{number}")
}
