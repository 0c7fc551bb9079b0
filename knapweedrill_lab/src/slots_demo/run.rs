//! Runs the demo from start to end.

use std::collections::BTreeMap;
use std::io::{IsTerminal, stderr};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use indicatif::ProgressBar;
use knapweedrill::common::{Incarnation, ProcessName};

use super::caller::{Caller, CallerRecord, EntryChoice};
use super::configuration::CONFIGURATION;
use super::messages::MessageCounts;
use super::observer::{Observed, Observer};
use super::response::{Fleet, summarize};
use super::scenario::{self, STOPPING_ENTRY};
use super::shares::shares;
use super::workload::{JobSource, streams};
use super::{DemoOptions, DemoReport};
use crate::checker::{self, CONFIGURATION_DELAY_MAX, History, PlannedStop};
use crate::harness::{ChildProcess, Cluster, ClusterBuilder, MinionSpec};
use crate::ideal::SlotSpeeds;
use crate::wall_clock::wall_us;

pub(super) const ENTRY_COUNT: usize = 3;
pub(super) const MINION_COUNT: usize = 10;

const FAILURE_DOMAIN_COUNT: usize = 3;
const SLOT_COUNT: u32 = 8;

/// The speeds of the minions of each service.
const SPEEDS_PERCENT: [u32; MINION_COUNT / 2] = [200, 150, 100, 75, 50];

/// The time after a bound in which what was observed of it comes in.
const BOUND_MARGIN: Duration = Duration::from_secs(2);

/// How long a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the demo and tells what it found.
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
    let observer = Observer::new(observed(&cluster));
    let observer = thread::spawn(move || observer.run(&end));
    let callers = start_callers(&cluster, options, start, &bar);
    let stop_begun_us = scenario::play(
        &mut cluster,
        start,
        options.duration,
        &mut history,
        |entry| messages.add_process(entry),
    )?;
    let record = join_callers(callers);

    bar.set_message("observing");
    // The bound within which a configuration is in force has to pass before the observer ends.
    let bound_end = scenario::race_time(start, options.duration) + CONFIGURATION_DELAY_MAX;
    scenario::sleep_until(bound_end + BOUND_MARGIN);
    drop(end_observing);
    let observer = observer.join().expect("the observer does not panic");
    let incarnations = observer.incarnations();
    history.merge(observer.into_history());
    count_messages(&cluster, &mut messages)?;

    bar.set_message("stopping as planned");
    let stops = Stops {
        incarnations,
        history: &mut history,
    };
    let unclean_stops = stops.stop_all(&mut cluster, stop_begun_us)?;
    for submission in record.submissions {
        history.add_submission(submission);
    }
    bar.finish_and_clear();
    Ok(DemoReport::new(
        summarize(&record.samples, &fleet()),
        messages,
        shares(&history),
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

fn fleet() -> Fleet {
    let slots = SlotSpeeds::new(SPEEDS_PERCENT.map(|speed_percent| (speed_percent, SLOT_COUNT)));
    Fleet {
        embossing: slots.clone(),
        spares: slots,
    }
}

fn observed(cluster: &Cluster) -> Vec<Observed> {
    let entries = cluster.entries().iter().enumerate();
    let entries = entries.map(|(number, entry)| Observed {
        name: format!("entry-{number}"),
        api: entry.api(),
    });
    let minions = cluster.minions().iter().enumerate();
    let sidecars = minions.map(|(number, minion)| Observed {
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
) -> Vec<thread::JoinHandle<CallerRecord>> {
    let entries: Vec<EntryChoice> = cluster
        .entries()
        .iter()
        .enumerate()
        .map(|(number, entry)| EntryChoice {
            name: format!("entry-{number}"),
            api: entry.api(),
        })
        .collect();
    let until = start + options.duration;
    let numbered = streams().into_iter().enumerate();
    numbered
        .map(|(number, stream)| {
            let source = JobSource::new(stream, number, options.seed);
            let caller = Caller::new(stream, source, entries.clone());
            let bar = bar.clone();
            thread::spawn(move || caller.run(until, || bar.inc(1)))
        })
        .collect()
}

fn join_callers(callers: Vec<thread::JoinHandle<CallerRecord>>) -> CallerRecord {
    let mut all = CallerRecord::default();
    for caller in callers {
        let record = caller.join().expect("a caller does not panic");
        all.submissions.extend(record.submissions);
        all.samples.extend(record.samples);
    }
    all
}

/// Adds the messages of the processes that still run.
fn count_messages(cluster: &Cluster, messages: &mut MessageCounts) -> Result<()> {
    for entry in &cluster.entries()[..STOPPING_ENTRY] {
        messages.add_process(entry.api())?;
    }
    for minion in cluster.minions() {
        messages.add_process(minion.sidecar_api())?;
    }
    Ok(())
}

/// Stops the processes as planned and notes it.
struct Stops<'a> {
    incarnations: BTreeMap<ProcessName, Incarnation>,
    history: &'a mut History,
}

impl Stops<'_> {
    /// Stops entries, sidecars, minions and the log, in this order.
    ///
    /// Returns the names of the processes whose exit status was not 0.
    fn stop_all(mut self, cluster: &mut Cluster, first_begun_us: u64) -> Result<Vec<ProcessName>> {
        let mut unclean = Vec::new();
        self.note(format!("entry-{STOPPING_ENTRY}"), None, first_begun_us);
        unclean.extend(wait_stopped(cluster.entry(STOPPING_ENTRY).process())?);
        for number in 0..STOPPING_ENTRY {
            self.note(format!("entry-{number}"), None, wall_us());
            unclean.extend(stop(cluster.entry(number).process())?);
        }
        for number in 0..cluster.minions().len() {
            let name = format!("minion-{number}");
            let starts = cluster.minion(number).starts()?;
            self.history.observe_minion(name.clone(), &starts);
            self.note(format!("sidecar-{number}"), Some(name), wall_us());
            unclean.extend(stop(cluster.minion(number).sidecar())?);
            unclean.extend(stop(cluster.minion(number).minion())?);
        }
        unclean.extend(stop(cluster.log().process())?);
        Ok(unclean)
    }

    fn note(&mut self, process: ProcessName, minion: Option<ProcessName>, begun_us: u64) {
        if let Some(incarnation) = self.incarnations.get(&process).copied() {
            self.history.add_planned_stop(PlannedStop {
                process,
                incarnation,
                minion,
                requested_us: begun_us,
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
