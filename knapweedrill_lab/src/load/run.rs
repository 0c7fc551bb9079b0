//! Runs a scenario and measures it.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use hdrhistogram::Histogram;

use super::callers::Callers;
use super::counters::CounterSums;
use super::options::{LoadOptions, policy_name};
use super::outcome::ObservedJob;
use super::scenario::{ENTRY_COUNT, MINION_SLOTS, MINION_SPEEDS_PERCENT};
use super::usage::ProcessUsage;
use super::{
    Disturbance, FlowReport, LoadReport, MessageReport, Plan, PlannedJob, RefusalReport,
    RoleUsageReport, TimedDisturbance, TimesReport,
};
use crate::checker::{self, History};
use crate::harness::{Cluster, ClusterBuilder, EntryApi, JobOutcome, MinionSpec};
use crate::ideal::SlotSpeeds;
use crate::wall_clock::wall_us;

const SIGNIFICANT_DIGITS: u8 = 3;

/// The counters of messages that flow without work.
const UPKEEP_COUNTERS: [&str; 3] = [
    "messages.roster",
    "messages.configuration",
    "messages.session",
];

/// The configuration of the teams and kinds of a run.
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

/// What the processes counted and used up to a time.
struct Reading {
    counters: CounterSums,
    roles: BTreeMap<&'static str, Vec<ProcessUsage>>,
}

/// What a phase of a run gave.
struct Phase {
    observed: Vec<ObservedJob>,
    began_us: u64,
    elapsed: Duration,
    counters: CounterSums,
    usage: Vec<(&'static str, Vec<ProcessUsage>)>,
}

/// Runs a scenario on real processes and returns what was measured.
///
/// # Errors
///
/// Returns an error if the processes can't be started or a minion does not tell its starts.
pub fn run(options: &LoadOptions) -> Result<LoadReport> {
    let flows = options.scenario.flows();
    let plan = Plan::new(flows, options.seed, options.duration, options.hint_sigma);
    let mut cluster = start_cluster(options)?;
    let alone = match plan.alone() {
        Some(alone_plan) => {
            let phase = run_phase(&mut cluster, &alone_plan, "alone", &[])?;
            Some((alone_plan, phase))
        }
        None => None,
    };
    let disturbances = options.scenario.disturbances(options.duration);
    let phase = run_phase(&mut cluster, &plan, "load", &disturbances)?;
    let mut flows = flow_reports(&plan, &phase, options.duration);
    if let Some((alone_plan, alone_phase)) = &alone {
        let alone_flows = flow_reports(alone_plan, alone_phase, options.duration);
        compare(&mut flows, &alone_flows);
    }
    let mut history = History::new();
    for phase in alone.iter().map(|(_, phase)| phase).chain([&phase]) {
        for job in &phase.observed {
            history.add_submission(job.submission.clone());
        }
    }
    observe_minions(&cluster, &mut history)?;
    let violations = checker::check(&history);
    let late = phase.observed.iter().map(|job| job.late).max();
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
        caller_late_max_us: late.unwrap_or_default().as_micros() as u64,
        failing_minion_start_count: failing_starts(&history, &disturbances, phase.began_us),
        last_start_after_leave_ms: last_start_after_leave(&history),
        violations: violations.violations().map(ToString::to_string).collect(),
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
    disturbances: &[TimedDisturbance],
) -> Result<Phase> {
    let before = Reading::of(cluster);
    let began_us = wall_us();
    let began_at = Instant::now();
    let entries: Vec<EntryApi> = cluster.entries().iter().map(|entry| entry.api()).collect();
    let callers = Callers::new(plan, entries, name);
    let observed = thread::scope(|scope| {
        let calls = scope.spawn(|| callers.run());
        for timed in disturbances {
            thread::sleep((began_at + timed.at).saturating_duration_since(Instant::now()));
            timed.disturbance.inflict(cluster)?;
        }
        calls.join().expect("the callers do not panic")
    })?;
    let elapsed = began_at.elapsed();
    let after = Reading::of(cluster);
    Ok(Phase {
        observed,
        began_us,
        elapsed,
        counters: after.counters.since(&before.counters),
        usage: after.usage_since(&before),
    })
}

impl Reading {
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

fn flow_reports(plan: &Plan, phase: &Phase, duration: Duration) -> Vec<FlowReport> {
    (0..plan.flows.len())
        .map(|flow| {
            let observed = phase.observed.iter();
            let jobs = observed.filter(|job| plan.jobs[job.number].flow == flow);
            flow_report(plan, flow, jobs, duration)
        })
        .collect()
}

fn flow_report<'a>(
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
                let ideal = ideal_of(planned);
                work += planned.tasks.iter().map(|task| task.work).sum::<Duration>();
                let ratio = job.response.as_secs_f64() / ideal.as_secs_f64().max(1e-6);
                record(&mut response_us, job.response.as_micros() as u64);
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
        response_us: times(&response_us),
        response_permille: times(&response_permille),
        throughput_permille: (work.as_secs_f64() * 1_000.0 / duration.as_secs_f64()) as u64,
        throughput_percent_of_alone: None,
        p99_percent_of_alone: None,
    }
}

/// What names a flow in the report.
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

fn ideal_of(job: &PlannedJob) -> Duration {
    let slots = SlotSpeeds::new(MINION_SPEEDS_PERCENT.map(|speed| (speed, MINION_SLOTS)));
    slots.ideal(job.tasks.iter().map(|task| task.work))
}

fn compare(flows: &mut [FlowReport], alone: &[FlowReport]) {
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
    Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is allowed")
}

/// Records a value; the histogram grows with it.
fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram
        .record(value)
        .expect("a histogram that grows takes any value");
}

fn times(histogram: &Histogram<u64>) -> TimesReport {
    TimesReport {
        median: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
    }
}

/// Returns the tasks that were handed out and not started.
fn bounced_count(counters: &CounterSums) -> u64 {
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
        wasted_count: counters.value("messages.return_credit") + bounced_count(counters),
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
            .wrap_err_with(|| format!("{} tells no starts", minion_name(number)))?;
        history.observe_minion(minion_name(number), &starts);
    }
    Ok(())
}

fn failing_starts(
    history: &History,
    disturbances: &[TimedDisturbance],
    began_us: u64,
) -> Option<u64> {
    let (at, minion) = disturbances
        .iter()
        .find_map(|timed| match timed.disturbance {
            Disturbance::FailEverything { minion } => Some((timed.at, minion)),
            _ => None,
        })?;
    let from_us = began_us + at.as_micros() as u64;
    let starts = history.starts_at(&minion_name(minion)).iter();
    Some(starts.filter(|start| start.start_us >= from_us).count() as u64)
}

fn last_start_after_leave(history: &History) -> Option<u64> {
    let departures = history.departures().iter();
    departures
        .map(|departure| {
            let starts = history.starts_at(&departure.minion).iter();
            let last_us = starts.map(|start| start.start_us).max().unwrap_or(0);
            last_us.saturating_sub(departure.announced_us) / 1_000
        })
        .max()
}
