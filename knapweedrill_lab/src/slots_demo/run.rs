//! Runs the demo from the start of the system to the check of its history.

use std::collections::BTreeMap;
use std::io::{IsTerminal, stderr};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use indicatif::ProgressBar;
use knapweedrill::common::{Incarnation, ProcessName};

use super::caller::{Caller, CallerObservations, EntryEndpoint};
use super::configuration::CONFIGURATION;
use super::messages::MessageCounts;
use super::observer::{ObservedProcess, Observer};
use super::response::{ServiceSlots, summarize};
use super::scenario::{self, STOPPING_ENTRY};
use super::shares::team_shares;
use super::workload::{JobGenerator, streams};
use super::{DemoOptions, DemoReport};
use crate::checker::{self, CONFIGURATION_DELAY_MAX, History, PlannedStop};
use crate::harness::{ChildProcess, Cluster, ClusterBuilder, MinionSpec};
use crate::ideal::SlotSpeeds;
use crate::wall_clock::wall_us;

pub(super) const ENTRY_COUNT: usize = 3;
pub(super) const MINION_COUNT: usize = 10;

const FAILURE_DOMAIN_COUNT: usize = 3;
const SLOT_COUNT: u32 = 8;

/// The speeds of the minions of each service, in per cent of the standard speed.
const SPEEDS_PERCENT: [u32; MINION_COUNT / 2] = [200, 150, 100, 75, 50];

/// How long after the end of [`CONFIGURATION_DELAY_MAX`] the observer polls for the last time.
const OBSERVATION_MARGIN: Duration = Duration::from_secs(2);

/// The maximum duration of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the demo and returns its report.
///
/// # Errors
///
/// Returns an error if the system can't be started, called or stopped.
pub fn run(options: &DemoOptions) -> Result<DemoReport> {
    let bar = progress_bar();
    bar.set_message("starting 24 processes");
    let mut cluster = start_cluster()?;
    let mut messages = MessageCounts::default();
    let mut history = History::new();

    bar.set_message("callers submit");
    let start = Instant::now();
    let (end_observing, end) = mpsc::channel::<()>();
    let observer = Observer::new(observed_processes(&cluster));
    let observer = thread::spawn(move || observer.run(&end));
    let callers = start_callers(&cluster, options, start, &bar);
    let stop_requested_us = scenario::run(
        &mut cluster,
        start,
        options.duration,
        &mut history,
        |entry| messages.add_process(entry),
    )?;
    let caller_observations = join_callers(callers);

    bar.set_message("observing");
    // The observer runs until the configuration of the race has to be in force everywhere.
    let in_force_by = scenario::race_time(start, options.duration) + CONFIGURATION_DELAY_MAX;
    scenario::sleep_until(in_force_by + OBSERVATION_MARGIN);
    drop(end_observing);
    let observer = observer.join().expect("the observer does not panic");
    let incarnations = observer.incarnations();
    history.merge(observer.into_history());
    count_messages(&cluster, &mut messages)?;

    bar.set_message("stopping as planned");
    let planned_stops = PlannedStops {
        incarnations,
        history: &mut history,
    };
    let unclean_stops = planned_stops.stop_all(&mut cluster, stop_requested_us)?;
    for submission in caller_observations.submissions {
        history.add_submission(submission);
    }
    bar.finish_and_clear();
    Ok(DemoReport::new(
        summarize(&caller_observations.samples, &service_slots()),
        messages,
        team_shares(&history),
        &checker::check(&history),
        unclean_stops,
    ))
}

fn progress_bar() -> ProgressBar {
    if !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new_spinner();
    bar.enable_steady_tick(Duration::from_millis(100));
    bar
}

fn start_cluster() -> Result<Cluster> {
    let minions = ["embossing", "spares"].into_iter().flat_map(|service| {
        SPEEDS_PERCENT.map(|speed_percent| {
            MinionSpec::new()
                .service(service)
                .slots(SLOT_COUNT)
                .speed_percent(speed_percent)
        })
    });
    let builder = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .failure_domains(FAILURE_DOMAIN_COUNT)
        .configuration(CONFIGURATION);
    minions
        .fold(builder, ClusterBuilder::minion)
        .start()
        .wrap_err("the system did not start")
}

fn service_slots() -> ServiceSlots {
    let slots = SlotSpeeds::new(SPEEDS_PERCENT.map(|speed_percent| (speed_percent, SLOT_COUNT)));
    ServiceSlots {
        embossing: slots.clone(),
        spares: slots,
    }
}

fn observed_processes(cluster: &Cluster) -> Vec<ObservedProcess> {
    let entries = cluster.entries().iter().enumerate();
    let entries = entries.map(|(number, entry)| ObservedProcess {
        name: format!("entry-{number}"),
        api: entry.api(),
    });
    let minions = cluster.minions().iter().enumerate();
    let sidecars = minions.map(|(number, minion)| ObservedProcess {
        name: format!("sidecar-{number}"),
        api: minion.sidecar_api(),
    });
    entries.chain(sidecars).collect()
}

fn start_callers(
    cluster: &Cluster,
    options: &DemoOptions,
    start: Instant,
    bar: &ProgressBar,
) -> Vec<thread::JoinHandle<CallerObservations>> {
    let entries: Vec<EntryEndpoint> = cluster
        .entries()
        .iter()
        .enumerate()
        .map(|(number, entry)| EntryEndpoint {
            name: format!("entry-{number}"),
            api: entry.api(),
        })
        .collect();
    let until = start + options.duration;
    let numbered = streams().into_iter().enumerate();
    numbered
        .map(|(number, stream)| {
            let generator = JobGenerator::new(stream, number, options.seed);
            let caller = Caller::new(stream, generator, entries.clone());
            let bar = bar.clone();
            thread::spawn(move || caller.run(until, || bar.inc(1)))
        })
        .collect()
}

fn join_callers(callers: Vec<thread::JoinHandle<CallerObservations>>) -> CallerObservations {
    let mut all = CallerObservations::default();
    for caller in callers {
        let observations = caller.join().expect("a caller does not panic");
        all.submissions.extend(observations.submissions);
        all.samples.extend(observations.samples);
    }
    all
}

/// Adds the messages of the processes that are still running.
fn count_messages(cluster: &Cluster, messages: &mut MessageCounts) -> Result<()> {
    for entry in &cluster.entries()[..STOPPING_ENTRY] {
        messages.add_process(entry.api())?;
    }
    for minion in cluster.minions() {
        messages.add_process(minion.sidecar_api())?;
    }
    Ok(())
}

/// Stops the processes as planned and records the planned stops in the history.
struct PlannedStops<'a> {
    incarnations: BTreeMap<ProcessName, Incarnation>,
    history: &'a mut History,
}

impl PlannedStops<'_> {
    /// Stops the entries, then each sidecar with its minion, then the log.
    ///
    /// `first_requested_us` is when the first entry was asked to stop, in microseconds since the
    /// Unix epoch. Returns the names of the processes whose exit status was not 0.
    fn stop_all(
        mut self,
        cluster: &mut Cluster,
        first_requested_us: u64,
    ) -> Result<Vec<ProcessName>> {
        let mut unclean = Vec::new();
        self.record(format!("entry-{STOPPING_ENTRY}"), None, first_requested_us);
        unclean.extend(wait_stopped(cluster.entry(STOPPING_ENTRY).process())?);
        for number in 0..STOPPING_ENTRY {
            self.record(format!("entry-{number}"), None, wall_us());
            unclean.extend(stop(cluster.entry(number).process())?);
        }
        for number in 0..cluster.minions().len() {
            let name = format!("minion-{number}");
            let starts = cluster.minion(number).starts()?;
            self.history.observe_minion(name.clone(), &starts);
            self.record(format!("sidecar-{number}"), Some(name), wall_us());
            unclean.extend(stop(cluster.minion(number).sidecar())?);
            unclean.extend(stop(cluster.minion(number).minion())?);
        }
        unclean.extend(stop(cluster.log().process())?);
        Ok(unclean)
    }

    /// Records a planned stop, unless the incarnation of the process is unknown.
    fn record(&mut self, process: ProcessName, minion: Option<ProcessName>, requested_us: u64) {
        if let Some(incarnation) = self.incarnations.get(&process).copied() {
            self.history.add_planned_stop(PlannedStop {
                process,
                incarnation,
                minion,
                requested_us,
            });
        }
    }
}

fn stop(process: &mut ChildProcess) -> Result<Option<ProcessName>> {
    process.terminate()?;
    wait_stopped(process)
}

fn wait_stopped(process: &mut ChildProcess) -> Result<Option<ProcessName>> {
    let status = process.wait_exit(STOP_TIMEOUT)?;
    Ok((!status.success()).then(|| process.name().to_owned()))
}
