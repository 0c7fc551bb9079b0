//! Runs a scenario and measures it.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use hdrhistogram::Histogram;

use super::callers::Callers;
use super::counters::CounterSums;
use super::observed_job::ObservedJob;
use super::options::{LoadOptions, policy_name};
use super::scenario::{ENTRY_COUNT, MINION_SLOTS, MINION_SPEEDS_PERCENT};
use super::usage::ProcessUsage;
use super::{
    Fault, FlowReport, LoadReport, MessageReport, Percentiles, Plan, PlannedJob, RefusalReport,
    RoleUsageReport, ScheduledFault,
};
use crate::checker::{self, History};
use crate::harness::{Cluster, ClusterBuilder, EntryApi, JobOutcome, MinionSpec};
use crate::ideal::SlotSpeeds;
use crate::wall_clock::wall_us;

const SIGNIFICANT_DIGITS: u8 = 3;

/// The counters of messages that are sent even if there are no tasks.
const UPKEEP_COUNTERS: [&str; 3] = [
    "messages.roster",
    "messages.configuration",
    "messages.session",
];

/// The configuration of the services, kinds and teams of a run.
const CONFIGURATION: &str = "\
[service embossing]
ejected_max_percent = 50
[kind release]
service = embossing
class = urgent
idempotent = false
deadline_ms = 30000
[kind proof]
service = embossing
class = normal
idempotent = true
deadline_ms = 30000
[kind catalogue]
service = embossing
class = bulk
idempotent = true
deadline_ms = 30000
[team tin-a]
share_percent = 25
cap_percent = 100
[team tin-b]
share_percent = 25
cap_percent = 100
[team tin-c]
share_percent = 25
cap_percent = 100
[team tin-d]
share_percent = 25
cap_percent = 100
[limits]
tasks_per_job = 1000
queued_tasks = 100000
";

/// The counters and the resource usage of all processes at one time.
struct UsageSnapshot {
    counters: CounterSums,
    roles: BTreeMap<&'static str, Vec<ProcessUsage>>,
}

/// The measurements of one phase of a run, with or without rivals.
struct Phase {
    observed: Vec<ObservedJob>,
    started_us: u64,
    elapsed: Duration,
    counters: CounterSums,
    usage: Vec<(&'static str, Vec<ProcessUsage>)>,
}

/// Runs a scenario on real processes and returns the measurements.
///
/// If the scenario has rivals, the plan without them runs first as a baseline.
///
/// # Errors
///
/// Returns an error if the processes can't be started or a minion does not list its starts.
pub fn run(options: &LoadOptions) -> Result<LoadReport> {
    let flows = options.scenario.flows();
    let plan = Plan::new(flows, options.seed, options.duration, options.hint_sigma);
    let mut cluster = start_cluster(options)?;
    let alone = match plan.without_rivals() {
        Some(alone_plan) => {
            let phase = run_phase(&mut cluster, &alone_plan, "alone", &[])?;
            Some((alone_plan, phase))
        }
        None => None,
    };
    let faults = options.scenario.faults(options.duration);
    let phase = run_phase(&mut cluster, &plan, "load", &faults)?;
    let mut flows = report_flows(&plan, &phase, options.duration);
    if let Some((alone_plan, alone_phase)) = &alone {
        let alone_flows = report_flows(alone_plan, alone_phase, options.duration);
        set_percent_of_alone(&mut flows, &alone_flows);
    }
    let mut history = History::new();
    for phase in alone.iter().map(|(_, phase)| phase).chain([&phase]) {
        for job in &phase.observed {
            history.add_submission(job.submission.clone());
        }
    }
    observe_minions(&cluster, &mut history)?;
    let checked = checker::check(&history);
    let pickup_delay_max = phase.observed.iter().map(|job| job.pickup_delay).max();
    let messages = message_report(&phase.counters);
    Ok(LoadReport {
        scenario: options.scenario.name().to_owned(),
        policy: policy_name(options.policy).to_owned(),
        seed: options.seed,
        duration_ms: options.duration.as_millis() as u64,
        hint_sigma_permille: (options.hint_sigma * 1_000.0) as u32,
        flows,
        usage: usage_reports(&phase, messages.started_count),
        minion_start_counts: (0..cluster.minions().len())
            .map(|number| history.starts_at(&minion_name(number)).len() as u64)
            .collect(),
        starts_per_second: (messages.started_count as f64 / phase.elapsed.as_secs_f64()) as u64,
        messages,
        caller_late_max_us: pickup_delay_max.unwrap_or_default().as_micros() as u64,
        failing_minion_start_count: failing_minion_start_count(&history, &faults, phase.started_us),
        last_start_after_leave_ms: last_start_after_leave_ms(&history),
        violations: checked.violations().map(ToString::to_string).collect(),
    })
}

fn start_cluster(options: &LoadOptions) -> Result<Cluster> {
    let builder = ClusterBuilder::new()
        .entries(ENTRY_COUNT)
        .configuration(CONFIGURATION)
        .placement(options.policy);
    let minions = MINION_SPEEDS_PERCENT.iter();
    let builder = minions.fold(builder, |builder, speed_percent| {
        let spec = MinionSpec::new()
            .slots(MINION_SLOTS)
            .speed_percent(*speed_percent);
        builder.minion(spec)
    });
    builder.start()
}

fn run_phase(
    cluster: &mut Cluster,
    plan: &Plan,
    name: &str,
    faults: &[ScheduledFault],
) -> Result<Phase> {
    let before = UsageSnapshot::of(cluster);
    let started_us = wall_us();
    let started_at = Instant::now();
    let entries: Vec<EntryApi> = cluster.entries().iter().map(|entry| entry.api()).collect();
    let callers = Callers::new(plan, entries, name);
    let observed = thread::scope(|scope| {
        let caller_thread = scope.spawn(|| callers.run());
        for scheduled in faults {
            thread::sleep((started_at + scheduled.at).saturating_duration_since(Instant::now()));
            scheduled.fault.inject(cluster)?;
        }
        caller_thread.join().expect("the callers do not panic")
    })?;
    let elapsed = started_at.elapsed();
    let after = UsageSnapshot::of(cluster);
    Ok(Phase {
        observed,
        started_us,
        elapsed,
        counters: after.counters.since(&before.counters),
        usage: after.usage_since(&before),
    })
}

impl UsageSnapshot {
    fn of(cluster: &mut Cluster) -> Self {
        let mut counters = CounterSums::default();
        let mut roles: BTreeMap<&'static str, Vec<ProcessUsage>> = BTreeMap::new();
        let entry_count = cluster.entries().len();
        for number in 0..entry_count {
            counters.add(cluster.entry(number).api());
            let pid = cluster.entry(number).process().id();
            roles
                .entry("entry")
                .or_default()
                .push(ProcessUsage::of(pid));
        }
        let minion_count = cluster.minions().len();
        for number in 0..minion_count {
            let node = cluster.minion(number);
            counters.add(node.sidecar_api());
            let sidecar = ProcessUsage::of(node.sidecar().id());
            roles.entry("sidecar").or_default().push(sidecar);
            let minion = ProcessUsage::of(node.minion().id());
            roles.entry("minion stand-in").or_default().push(minion);
        }
        Self { counters, roles }
    }

    fn usage_since(&self, earlier: &Self) -> Vec<(&'static str, Vec<ProcessUsage>)> {
        let roles = self.roles.iter();
        roles
            .map(|(role, usages)| {
                let before = &earlier.roles[role];
                let pairs = usages.iter().zip(before);
                (
                    *role,
                    pairs.map(|(after, before)| *after - *before).collect(),
                )
            })
            .collect()
    }
}

fn report_flows(plan: &Plan, phase: &Phase, duration: Duration) -> Vec<FlowReport> {
    (0..plan.flows.len())
        .map(|flow| {
            let observed = phase.observed.iter();
            let jobs = observed.filter(|job| plan.jobs[job.number].flow == flow);
            report_flow(plan, flow, jobs, duration)
        })
        .collect()
}

fn report_flow<'a>(
    plan: &Plan,
    flow: usize,
    jobs: impl Iterator<Item = &'a ObservedJob>,
    duration: Duration,
) -> FlowReport {
    let mut response_us = histogram();
    let mut response_permille = histogram();
    let mut refusals: BTreeMap<String, u64> = BTreeMap::new();
    let mut work = Duration::ZERO;
    let (mut job_count, mut complete_count, mut failed_count, mut open_count) = (0, 0, 0, 0);
    for job in jobs {
        job_count += 1;
        let answer = &job.submission.answer;
        match answer.outcome() {
            Some(JobOutcome::Complete) => {
                complete_count += 1;
                let planned = &plan.jobs[job.number];
                let ideal = ideal_response_time(planned);
                work += planned.tasks.iter().map(|task| task.work).sum::<Duration>();
                let ratio = job.response_time.as_secs_f64() / ideal.as_secs_f64().max(1e-6);
                record(&mut response_us, job.response_time.as_micros() as u64);
                record(&mut response_permille, (ratio * 1_000.0) as u64);
            }
            Some(JobOutcome::Failed) => {
                failed_count += 1;
                let reason = format!("failed: {}", answer.reason().unwrap_or("unknown"));
                *refusals.entry(reason).or_default() += 1;
            }
            Some(JobOutcome::NotRun) => {
                let reason = format!("not run: {}", answer.reason().unwrap_or("unknown"));
                *refusals.entry(reason).or_default() += 1;
            }
            Some(JobOutcome::Running | JobOutcome::Unknown) | None => open_count += 1,
        }
    }
    let FlowReportKey {
        team,
        class,
        is_rival,
    } = FlowReportKey::of(plan, flow);
    FlowReport {
        team,
        class,
        is_rival,
        job_count,
        complete_count,
        failed_count,
        open_count,
        refusals: refusals
            .into_iter()
            .map(|(reason, job_count)| RefusalReport { reason, job_count })
            .collect(),
        response_us: percentiles(&response_us),
        response_permille: percentiles(&response_permille),
        throughput_permille: (work.as_secs_f64() * 1_000.0 / duration.as_secs_f64()) as u64,
        throughput_percent_of_alone: None,
        p99_percent_of_alone: None,
    }
}

/// The fields that identify a flow in the report.
struct FlowReportKey {
    team: String,
    class: knapweedrill::contract::Class,
    is_rival: bool,
}

impl FlowReportKey {
    fn of(plan: &Plan, flow: usize) -> Self {
        let flow = &plan.flows[flow];
        Self {
            team: flow.team.clone(),
            class: flow.class,
            is_rival: flow.is_rival,
        }
    }
}

/// Returns the minimum response time of a job that has the whole fleet to itself.
fn ideal_response_time(job: &PlannedJob) -> Duration {
    let slots = SlotSpeeds::new(MINION_SPEEDS_PERCENT.map(|speed| (speed, MINION_SLOTS)));
    slots.ideal_response_time(job.tasks.iter().map(|task| task.work))
}

/// Fills in the results of flows in per cent of those without rivals.
fn set_percent_of_alone(flows: &mut [FlowReport], alone: &[FlowReport]) {
    for (flow, alone) in flows.iter_mut().zip(alone) {
        if flow.is_rival {
            continue;
        }
        let percent = |value: u64, of: u64| (of > 0).then(|| value * 100 / of);
        flow.throughput_percent_of_alone =
            percent(flow.throughput_permille, alone.throughput_permille);
        flow.p99_percent_of_alone = percent(flow.response_us.p99, alone.response_us.p99);
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("3 significant digits are supported")
}

/// Records a value, resizing the histogram if needed.
fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram
        .record(value)
        .expect("a histogram that resizes itself accepts any value");
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        median: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
    }
}

/// Returns the number of tasks that were handed out and not started.
fn unstarted_count(counters: &CounterSums) -> u64 {
    let started_count = counters.value("tasks.started");
    counters
        .value("tasks.handed_out")
        .saturating_sub(started_count)
}

fn message_report(counters: &CounterSums) -> MessageReport {
    MessageReport {
        started_count: counters.value("tasks.started"),
        start_count: counters.value("messages.start"),
        report_count: counters.value("messages.reports"),
        demand_count: counters.value("messages.demands"),
        slot_count: counters.value("messages.slots"),
        return_count: counters.value("messages.return_credit"),
        cancel_count: counters.value("messages.cancel"),
        settle_count: counters.value("messages.settle"),
        relay_count: counters.value("messages.relay"),
        upkeep_count: UPKEEP_COUNTERS
            .iter()
            .map(|name| counters.value(name))
            .sum(),
        wasted_count: counters.value("messages.return_credit") + unstarted_count(counters),
    }
}

fn usage_reports(phase: &Phase, task_count: u64) -> Vec<RoleUsageReport> {
    let elapsed_us = phase.elapsed.as_micros().max(1) as u64;
    let roles = phase.usage.iter();
    roles
        .map(|(role, usages)| {
            let process_count = usages.len() as u64;
            let cpu_us: u64 = usages.iter().map(|usage| usage.cpu_us).sum();
            let resident = usages.iter().map(|usage| usage.resident_kib).max();
            RoleUsageReport {
                role: (*role).to_owned(),
                process_count,
                cpu_us_per_task: cpu_us / task_count.max(1),
                cpu_permille: cpu_us * 1_000 / elapsed_us / process_count.max(1),
                resident_max_kib: resident.unwrap_or(0),
            }
        })
        .collect()
}

fn minion_name(number: usize) -> String {
    format!("minion-{number}")
}

fn observe_minions(cluster: &Cluster, history: &mut History) -> Result<()> {
    for (number, minion) in cluster.minions().iter().enumerate() {
        let starts = minion
            .starts()
            .wrap_err_with(|| format!("can't read the starts of {}", minion_name(number)))?;
        history.observe_minion(minion_name(number), &starts);
    }
    Ok(())
}

/// Returns the number of starts on the failing minion after its fault was injected.
fn failing_minion_start_count(
    history: &History,
    faults: &[ScheduledFault],
    started_us: u64,
) -> Option<u64> {
    let (at, minion) = faults.iter().find_map(|scheduled| match scheduled.fault {
        Fault::FailEverything { minion } => Some((scheduled.at, minion)),
        _ => None,
    })?;
    let from_us = started_us + at.as_micros() as u64;
    let starts = history.starts_at(&minion_name(minion)).iter();
    Some(starts.filter(|start| start.start_us >= from_us).count() as u64)
}

/// Returns the longest time from a leave announcement to the last start on that minion.
fn last_start_after_leave_ms(history: &History) -> Option<u64> {
    let departures = history.departures().iter();
    departures
        .map(|departure| {
            let starts = history.starts_at(&departure.minion).iter();
            let last_us = starts.map(|start| start.start_us).max().unwrap_or(0);
            last_us.saturating_sub(departure.announced_us) / 1_000
        })
        .max()
}
