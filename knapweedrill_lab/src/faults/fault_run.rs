//! A cluster under load whose history is collected.

use std::thread;
use std::time::Duration;

use eyre::{Result, ensure, eyre};
use knapweedrill::api::EventsResponse;
use knapweedrill::common::{Incarnation, ProcessName};

use super::{CallPlan, Callers, FaultCase, FaultReport, Seed};
use crate::checker::{History, PlannedStop, Submission};
use crate::harness::{Cluster, ClusterBuilder, EntryApi, JobOutcome, JobRequest, wait_until};
use crate::stand_in::minion::TaskPayload;
use crate::wall_clock::wall_us;

/// How long processes may still tell of what they did after the last answer.
const SETTLE: Duration = Duration::from_millis(300);
const BALANCER_DELAY: Duration = Duration::from_millis(200);
const STOP_TIMEOUT: Duration = Duration::from_secs(25);
const SERVING_TIMEOUT: Duration = Duration::from_secs(10);

/// A cluster under load whose history is collected.
#[derive(Debug)]
pub struct FaultRun {
    case: FaultCase,
    seed: Seed,
    callers: Option<Callers>,
    /// The cluster.
    pub cluster: Cluster,
    /// What was observed so far.
    pub history: History,
}

impl FaultRun {
    /// Starts a cluster without callers, and waits until every entry gets jobs done.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster does not start.
    pub fn start(case: FaultCase, seed: Seed, cluster: ClusterBuilder) -> Result<Self> {
        let cluster = cluster.start()?;
        wait_serving(&cluster)?;
        Ok(Self {
            case,
            seed,
            callers: None,
            cluster,
            history: History::new(),
        })
    }

    /// Starts callers of all entries, and lets them run for a while.
    pub fn start_callers(&mut self, plan: &CallPlan, warm_up: Duration) {
        let entries = self.cluster.entries().iter().enumerate();
        let entries: Vec<_> = entries
            .map(|(number, entry)| (entry_name(number), entry.api()))
            .collect();
        self.callers = Some(Callers::start(plan, self.seed, entries));
        thread::sleep(warm_up);
    }

    /// Returns the callers, if they run.
    pub fn callers(&self) -> Option<&Callers> {
        self.callers.as_ref()
    }

    /// Returns the run of an entry's process.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry hands out no token.
    pub fn entry_incarnation(&mut self, number: usize) -> Result<Incarnation> {
        Ok(self.cluster.entry(number).api().owner()?.incarnation)
    }

    /// Collects what an entry knows, and kills it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end.
    pub fn kill_entry(&mut self, number: usize) -> Result<()> {
        self.collect_events(self.cluster.entries()[number].api());
        self.cluster.entry(number).process().kill()
    }

    /// Collects what a sidecar knows, and kills it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end.
    pub fn kill_sidecar(&mut self, number: usize) -> Result<()> {
        self.collect_events(self.cluster.minions()[number].sidecar_api());
        self.cluster.minion(number).sidecar().kill()
    }

    /// Collects what a minion ran, and kills it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end.
    pub fn kill_minion(&mut self, number: usize) -> Result<()> {
        self.collect_starts(number);
        self.cluster.minion(number).minion().kill()
    }

    /// Notes that an entry is asked to stop now, and asks it.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry can't be reached or signalled.
    pub fn stop_entry(&mut self, number: usize) -> Result<()> {
        let incarnation = self.entry_incarnation(number)?;
        self.note_planned_stop(entry_name(number), incarnation, None);
        self.cluster.entry(number).process().terminate()
    }

    /// Stops an entry as planned; its callers turn away a moment later, as a balancer would.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry can't be signalled, or does not end well within 25 s.
    pub fn retire_entry(&mut self, number: usize) -> Result<()> {
        self.collect_events(self.cluster.entries()[number].api());
        self.stop_entry(number)?;
        thread::sleep(BALANCER_DELAY);
        if let Some(callers) = self.callers() {
            callers.remove_entry(&entry_name(number));
        }
        let process = self.cluster.entry(number).process();
        let status = process.wait_exit(STOP_TIMEOUT)?;
        ensure!(status.success(), "{} ended with {status}", process.name());
        Ok(())
    }

    /// Waits until an entry gets jobs done.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not within `timeout`.
    pub fn wait_entry_serves(&mut self, number: usize, timeout: Duration) -> Result<()> {
        wait_serves(self.cluster.entry(number).api(), timeout)
    }

    /// Notes that a sidecar is asked to stop now, and asks it.
    ///
    /// # Errors
    ///
    /// Returns an error if the sidecar can't be reached or signalled.
    pub fn stop_sidecar(&mut self, number: usize) -> Result<()> {
        let api = self.cluster.minions()[number].sidecar_api();
        let answer: EventsResponse = api.get("/v1/events")?.json()?;
        let event = answer.events.first();
        let incarnation = event
            .ok_or_else(|| eyre!("the sidecar tells no event"))?
            .incarnation;
        let minion = Some(minion_name(number));
        self.note_planned_stop(sidecar_name(number), incarnation, minion);
        self.cluster.minion(number).sidecar().terminate()
    }

    fn note_planned_stop(
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

    /// Collects what every process that answers has to tell.
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

    /// Stops the callers, collects everything once more and checks the history.
    ///
    /// # Errors
    ///
    /// Returns an error if a caller panicked.
    pub fn finish(mut self) -> Result<FaultReport> {
        self.stop_callers()?;
        thread::sleep(SETTLE);
        self.collect();
        Ok(FaultReport::new(self.case, self.seed, &self.history))
    }

    /// Stops the callers and takes in what they saw.
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

    /// Adds submissions that the case made itself.
    pub fn add_submissions(&mut self, submissions: impl IntoIterator<Item = Submission>) {
        for submission in submissions {
            self.history.add_submission(submission);
        }
    }

    /// Takes in the events of a process; one that does not answer has been killed or frozen.
    pub fn collect_events(&mut self, api: EntryApi) {
        let answer = api
            .get("/v1/events")
            .and_then(|answer| answer.json::<EventsResponse>());
        if let Ok(answer) = answer {
            self.history.add_events(answer.events);
        }
    }

    /// Takes in the starts of a minion; one that does not answer has been killed or frozen.
    pub fn collect_starts(&mut self, number: usize) {
        if let Ok(starts) = self.cluster.minions()[number].starts() {
            self.history.observe_minion(minion_name(number), &starts);
        }
    }
}

/// Waits until every entry gets a job done on the minions.
fn wait_serving(cluster: &Cluster) -> Result<()> {
    if cluster.minions().is_empty() {
        return Ok(());
    }
    for entry in cluster.entries() {
        wait_serves(entry.api(), SERVING_TIMEOUT)?;
    }
    Ok(())
}

fn wait_serves(api: EntryApi, timeout: Duration) -> Result<()> {
    let mut try_number = 0;
    wait_until("an entry that serves", timeout, || {
        try_number += 1;
        is_served(api, &format!("probe-{try_number}"))
    })
}

fn is_served(api: EntryApi, key: &str) -> bool {
    let payload = TaskPayload::new(Duration::ZERO, key);
    let job = JobRequest::new("tin-a", "proof").task(&payload);
    let answer = api.owner().and_then(|token| api.submit(&token, key, &job));
    answer.is_ok_and(|answer| answer.outcome == JobOutcome::Complete)
}

/// Returns the name of an entry.
pub(super) fn entry_name(number: usize) -> ProcessName {
    format!("entry-{number}")
}

/// Returns the name of a minion.
pub(super) fn minion_name(number: usize) -> ProcessName {
    format!("minion-{number}")
}

/// Returns the name of a sidecar.
pub(super) fn sidecar_name(number: usize) -> ProcessName {
    format!("sidecar-{number}")
}
