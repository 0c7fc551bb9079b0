//! The measurements of a load run.

use std::fmt;

use knapweedrill::common::TeamName;
use knapweedrill::contract::Class;
use knapweedrill_derive::message;

/// The measurements of a load run.
#[message]
pub struct LoadReport {
    /// The name of the scenario.
    pub scenario: String,
    /// The name of the placement policy.
    pub policy: String,
    /// The seed of the plan.
    pub seed: u64,
    /// The time during which jobs arrived.
    pub duration_ms: u64,
    /// The error of run-time hints: the standard deviation of the natural logarithm of hint over
    /// run time, in thousandths.
    pub hint_sigma_permille: u32,
    /// The measurements of each flow.
    pub flows: Vec<FlowReport>,
    /// The messages that processes exchanged.
    pub messages: MessageReport,
    /// The processor time and memory of the processes, by role.
    pub usage: Vec<RoleUsageReport>,
    /// The number of tasks that each minion started, the slowest minion first.
    pub minion_start_counts: Vec<u64>,
    /// The mean rate of task starts.
    pub starts_per_second: u64,
    /// The maximum time from when a job was due until a caller thread picked it up.
    ///
    /// A large value means that there were too few caller threads.
    pub caller_late_max_us: u64,
    /// The number of starts on the failing minion after the fault was injected.
    pub failing_minion_start_count: Option<u64>,
    /// The latest start on a leaving minion, counted from its announcement to leave.
    pub last_start_after_leave_ms: Option<u64>,
    /// The violations that the checker found; empty if every guarantee held.
    pub violations: Vec<String>,
}

/// The median and the 99th percentile of a distribution, in the unit of the field that holds them.
#[message]
#[derive(Copy, Default)]
pub struct Percentiles {
    /// The 50th percentile.
    pub median: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// The measurements of a flow.
#[message]
pub struct FlowReport {
    /// The team that submits the jobs.
    pub team: TeamName,
    /// The priority class of the jobs.
    pub class: Class,
    /// Whether the other flows were also measured without this one, as a baseline.
    pub is_rival: bool,
    /// The number of jobs that were due.
    pub job_count: u64,
    /// The number of jobs that completed.
    pub complete_count: u64,
    /// The number of jobs that failed.
    pub failed_count: u64,
    /// The number of jobs without a final answer: none came, or the job still ran or was unknown.
    pub open_count: u64,
    /// The jobs that failed or were not run, by reason.
    pub refusals: Vec<RefusalReport>,
    /// The response time of complete jobs, counted from when they were due, in microseconds.
    pub response_us: Percentiles,
    /// The response time of complete jobs in thousandths of the ideal response time.
    pub response_permille: Percentiles,
    /// The work of complete jobs per second of the run, in thousandths of a slot of speed 100 %.
    pub throughput_permille: u64,
    /// The throughput in per cent of the throughput without rivals.
    pub throughput_percent_of_alone: Option<u64>,
    /// The 99th percentile of the response time in per cent of that without rivals.
    pub p99_percent_of_alone: Option<u64>,
}

/// The number of jobs that failed or were not run for a reason.
#[message]
pub struct RefusalReport {
    /// The outcome and the reason of the answer, such as `not run: overloaded`.
    pub reason: String,
    /// The number of jobs with this reason.
    pub job_count: u64,
}

/// The number of messages that processes exchanged, by kind.
#[message]
pub struct MessageReport {
    /// The number of tasks that were started.
    pub started_count: u64,
    /// Messages that start tasks.
    pub start_count: u64,
    /// Messages that report on tasks.
    pub report_count: u64,
    /// Messages that carry only demands.
    pub demand_count: u64,
    /// Messages that carry only slot credits.
    pub slot_count: u64,
    /// Messages that return credits.
    pub return_count: u64,
    /// Messages that cancel jobs.
    pub cancel_count: u64,
    /// Messages that resolve tasks of unknown outcome.
    pub settle_count: u64,
    /// Messages that relay requests between entries.
    pub relay_count: u64,
    /// Messages that maintain sessions, the roster and the configuration.
    pub upkeep_count: u64,
    /// Tasks that were handed out and not started, and messages that return credits.
    pub wasted_count: u64,
}

impl MessageReport {
    /// Returns the number of messages of all kinds.
    pub fn total_count(&self) -> u64 {
        self.start_count
            + self.report_count
            + self.demand_count
            + self.slot_count
            + self.return_count
            + self.cancel_count
            + self.settle_count
            + self.relay_count
            + self.upkeep_count
    }
}

/// The processor time and memory of the processes of a role.
#[message]
pub struct RoleUsageReport {
    /// The name of the role.
    pub role: String,
    /// The number of processes.
    pub process_count: u64,
    /// The processor time of all processes per started task, in microseconds.
    pub cpu_us_per_task: u64,
    /// The mean processor time of a process, in thousandths of a core.
    pub cpu_permille: u64,
    /// The resident memory of the process that uses most.
    pub resident_max_kib: u64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} / {}, seed {}, {} s, hints off by sigma {}",
            self.scenario,
            self.policy,
            self.seed,
            self.duration_ms / 1_000,
            format_permille(u64::from(self.hint_sigma_permille)),
        )?;
        for flow in &self.flows {
            writeln!(f, "  {flow}")?;
        }
        writeln!(f, "  {}", self.messages)?;
        for usage in &self.usage {
            writeln!(f, "  {usage}")?;
        }
        writeln!(f, "  starts by minion: {:?}", self.minion_start_counts)?;
        write!(f, "  {} starts/s", self.starts_per_second)?;
        writeln!(f, ", callers late by up to {} us", self.caller_late_max_us)?;
        if let Some(start_count) = self.failing_minion_start_count {
            writeln!(f, "  failing minion: {start_count} starts after it failed")?;
        }
        if let Some(last_ms) = self.last_start_after_leave_ms {
            writeln!(f, "  leaving minions: last start after {last_ms} ms")?;
        }
        match self.violations.as_slice() {
            [] => writeln!(f, "  checker: clean"),
            violations => {
                writeln!(f, "  checker: {} violations", violations.len())?;
                violations
                    .iter()
                    .try_for_each(|violation| writeln!(f, "    {violation}"))
            }
        }
    }
}

impl fmt::Display for FlowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:?}: {} jobs, {} complete, {} failed, {} open; ",
            self.team,
            self.class,
            self.job_count,
            self.complete_count,
            self.failed_count,
            self.open_count
        )?;
        write!(
            f,
            "response {} / {} ms, {} / {} of ideal; {} work/s",
            self.response_us.median / 1_000,
            self.response_us.p99 / 1_000,
            format_permille(self.response_permille.median),
            format_permille(self.response_permille.p99),
            format_permille(self.throughput_permille)
        )?;
        if let Some(percent) = self.throughput_percent_of_alone {
            write!(f, "; throughput {percent} % of alone")?;
        }
        if let Some(percent) = self.p99_percent_of_alone {
            write!(f, ", p99 {percent} % of alone")?;
        }
        self.refusals
            .iter()
            .try_for_each(|refusal| write!(f, "; {} {}", refusal.job_count, refusal.reason))
    }
}

impl fmt::Display for MessageReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_task = |count: u64| format_permille(count * 1_000 / self.started_count.max(1));
        let total_count = self.total_count();
        write!(
            f,
            "{} tasks, {} messages a task (start {}, reports {}, demands {}, slots {}, return {}, \
             cancel {}, settle {}, relay {}, upkeep {}), wasted {:.1} %",
            self.started_count,
            per_task(total_count),
            per_task(self.start_count),
            per_task(self.report_count),
            per_task(self.demand_count),
            per_task(self.slot_count),
            per_task(self.return_count),
            per_task(self.cancel_count),
            per_task(self.settle_count),
            per_task(self.relay_count),
            per_task(self.upkeep_count),
            self.wasted_count as f64 * 100.0 / total_count.max(1) as f64,
        )
    }
}

impl fmt::Display for RoleUsageReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} x {}: {} us a task, {} of a core each, at most {} KiB",
            self.process_count,
            self.role,
            self.cpu_us_per_task,
            format_permille(self.cpu_permille),
            self.resident_max_kib
        )
    }
}

/// Formats a value in thousandths as a decimal number.
fn format_permille(value: u64) -> String {
    format!("{}.{:03}", value / 1_000, value % 1_000)
}
