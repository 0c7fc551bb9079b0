//! What a run measured.

use std::fmt;

use knapweedrill::common::TeamName;
use knapweedrill::contract::Class;
use knapweedrill_derive::message;

/// What a run measured.
#[message]
pub struct LoadReport {
    /// The scenario.
    pub scenario: String,
    /// How tasks were placed.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// For how long jobs arrived.
    pub duration_ms: u64,
    /// How far hints were off, as the standard deviation of the logarithm, in thousandths.
    pub hint_sigma_permille: u32,
    /// The flows.
    pub flows: Vec<FlowReport>,
    /// The messages between processes.
    pub messages: MessageReport,
    /// What the processes used, by role.
    pub usage: Vec<RoleUsageReport>,
    /// The tasks that each minion started, the slowest minion first.
    pub minion_start_counts: Vec<u64>,
    /// Tasks that were started per second.
    pub starts_per_second: u64,
    /// How late a caller took a job up at worst; the callers are too few if it is large.
    pub caller_late_max_us: u64,
    /// The starts on the minion that was made to fail, after it was.
    pub failing_minion_start_count: Option<u64>,
    /// The last start on a leaving minion, after it announced that it leaves.
    pub last_start_after_leave_ms: Option<u64>,
    /// What the checker found; empty if every promise was kept.
    pub violations: Vec<String>,
}

/// The median and the 99th percentile.
#[message]
#[derive(Copy, Default)]
pub struct TimesReport {
    /// The median.
    pub median: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// What was measured of one team and class.
#[message]
pub struct FlowReport {
    /// The team.
    pub team: TeamName,
    /// The class.
    pub class: Class,
    /// Whether the others were also measured without it.
    pub is_rival: bool,
    /// The jobs that were due.
    pub job_count: u64,
    /// The jobs that were answered complete.
    pub complete_count: u64,
    /// The jobs that failed.
    pub failed_count: u64,
    /// The jobs without an answer, or with one that tells that they go on.
    pub open_count: u64,
    /// The jobs that were not run, by reason.
    pub refusals: Vec<RefusalReport>,
    /// The response of complete jobs from the time they were due, in microseconds.
    pub response_us: TimesReport,
    /// The same in thousandths of the ideal.
    pub response_permille: TimesReport,
    /// The work of complete jobs for each second of the run, in thousandths of a slot of speed 1.
    pub throughput_permille: u64,
    /// The throughput in per cent of that without rivals.
    pub throughput_percent_of_alone: Option<u64>,
    /// The 99th percentile of the response in per cent of that without rivals.
    pub p99_percent_of_alone: Option<u64>,
}

/// How many jobs were not run for a reason.
#[message]
pub struct RefusalReport {
    /// The reason.
    pub reason: String,
    /// How many.
    pub job_count: u64,
}

/// The messages between processes.
#[message]
pub struct MessageReport {
    /// The tasks that were started.
    pub started_count: u64,
    /// Messages that start tasks.
    pub start_count: u64,
    /// Messages that report tasks.
    pub report_count: u64,
    /// Messages that only tell demands.
    pub demand_count: u64,
    /// Messages that only grant credits.
    pub slot_count: u64,
    /// Messages that return credits.
    pub return_count: u64,
    /// Messages that cancel jobs.
    pub cancel_count: u64,
    /// Messages that settle tasks in doubt.
    pub settle_count: u64,
    /// Messages between entries about requests.
    pub relay_count: u64,
    /// Messages that keep sessions.
    pub upkeep_count: u64,
    /// Starts that were not run, and messages that return credits.
    pub wasted_count: u64,
}

impl MessageReport {
    /// Returns the sum of all kinds.
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

/// What the processes of a role used.
#[message]
pub struct RoleUsageReport {
    /// The role.
    pub role: String,
    /// How many processes there were.
    pub process_count: u64,
    /// The processor time of all of them, in microseconds for each task.
    pub cpu_us_per_task: u64,
    /// The processor time of one on the mean, in thousandths of a core.
    pub cpu_permille: u64,
    /// The resident memory of the largest.
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
            permille(u64::from(self.hint_sigma_permille)),
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
            permille(self.response_permille.median),
            permille(self.response_permille.p99),
            permille(self.throughput_permille)
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
        let per_task = |count: u64| permille(count * 1_000 / self.started_count.max(1));
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
            permille(self.cpu_permille),
            self.resident_max_kib
        )
    }
}

fn permille(value: u64) -> String {
    format!("{}.{:03}", value / 1_000, value % 1_000)
}
