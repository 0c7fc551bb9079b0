//! Runs a soak from start to end.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};

use super::callers::{CallerPlan, call_until_over};
use super::checks::{check_answers, check_calm, slowest};
use super::plan::{self, Step};
use super::trouble::Target;
use super::{SoakOptions, SoakReport};
use crate::harness::{ChildProcess, PlatformSite, wait_until};
use crate::stand_in::fault_proxy::StreamProxy;
use crate::stand_in::platform::MinionServer;

/// How often the soak looks at its plan, at the promises and at who is ready.
const LOOK_EVERY: Duration = Duration::from_millis(20);
const CHECK_EVERY: Duration = Duration::from_millis(250);

/// How long the system has to recover after the last fault: the platform's bound.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long a configuration may take to be in force everywhere: the platform's bound.
const CONFIGURATION_APPLIES: Duration = Duration::from_secs(2);

/// How long a minion that says that it leaves may still get tasks: the platform's bound.
const DRAIN: Duration = Duration::from_secs(2);

/// How long a process may take to stop: the grace of the site and a margin for a busy machine.
pub(super) const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// What is left running is over after this time.
const LAST_RUNS: Duration = Duration::from_secs(3);

/// Runs a soak.
///
/// # Errors
///
/// Returns an error if the site can't be started or controlled.
pub fn run(options: &SoakOptions) -> Result<SoakReport> {
    let site = PlatformSite::start_behind_proxies(
        options.entry_count,
        options.minion_count,
        options.seed,
    )?;
    site.configure(1)?;
    let entries = 0..usize::from(options.entry_count);
    let callers = CallerPlan {
        addresses: entries
            .clone()
            .map(|entry| site.callers_address(entry))
            .collect(),
        are_ready: entries.map(|_| AtomicBool::new(true)).collect(),
        is_over: AtomicBool::new(false),
    };
    let callers = &callers;
    let mut soak = Soak {
        site,
        callers,
        down: HashSet::new(),
        version: 1,
        report: SoakReport {
            seed: options.seed,
            ..SoakReport::default()
        },
    };
    let mut jobs = Vec::new();
    let calm_since = thread::scope(|scope| {
        let threads: Vec<_> = (0..options.caller_count)
            .map(|caller| scope.spawn(move || call_until_over(callers, caller, options.seed)))
            .collect();
        let played = soak.play(options);
        callers.is_over.store(true, Ordering::Relaxed);
        for thread in threads {
            jobs.extend(thread.join().expect("callers do not panic"));
        }
        played
    })?;
    thread::sleep(LAST_RUNS);
    let runs: Vec<_> = soak
        .site
        .minions
        .iter()
        .flat_map(MinionServer::runs)
        .collect();
    let mut report = soak.report;
    report.violations.extend(soak.site.overlapping_runs());
    report.violations.extend(check_answers(&jobs, &runs));
    report.violations.extend(check_calm(&jobs, calm_since));
    report.violations.sort();
    report.violations.dedup();
    report.job_count = jobs.len();
    report.completed_count = jobs.iter().filter(|job| job.is_completed()).count();
    report.run_count = runs.len();
    if !report.is_passed() {
        report
            .violations
            .push(format!("slowest request {:?}", slowest(&jobs)));
        keep_logs(soak.site.directory(), options.seed)?;
    }
    Ok(report)
}

/// Copies what the processes have written to `target/soak`.
fn keep_logs(directory: &Path, seed: u64) -> Result<()> {
    let kept = Path::new("target/soak").join(format!("seed-{seed}"));
    std::fs::create_dir_all(&kept).wrap_err("can't create the folder for logs")?;
    for file in std::fs::read_dir(directory).wrap_err("can't list the logs")? {
        let file = file.wrap_err("can't list the logs")?;
        std::fs::copy(file.path(), kept.join(file.file_name())).wrap_err("can't copy a log")?;
    }
    Ok(())
}

/// A soak under way.
pub(super) struct Soak<'a> {
    pub(super) site: PlatformSite,
    pub(super) callers: &'a CallerPlan,
    /// Processes that do not run, or stand still.
    pub(super) down: HashSet<Target>,
    /// The newest version of the configuration.
    pub(super) version: u64,
    report: SoakReport,
}

impl Soak<'_> {
    /// Brings in the faults and then plays the calm part; returns when that began.
    fn play(&mut self, options: &SoakOptions) -> Result<Instant> {
        let begin = Instant::now();
        let steps = plan::draw(options);
        let mut under_way: Vec<Step> = Vec::new();
        let mut coming = steps.into_iter().peekable();
        let mut next_check = begin;
        while begin.elapsed() < options.duration {
            while let Some(step) = coming.next_if(|step| step.begin <= begin.elapsed()) {
                if self.begin(step.trouble)? {
                    let line = format!("{:?} to {:?}: {:?}", step.begin, step.end, step.trouble);
                    self.report.troubles.push(line);
                    under_way.push(step);
                }
            }
            let ended: Vec<_> = under_way
                .extract_if(.., |step| step.end <= begin.elapsed())
                .collect();
            for step in ended {
                self.end(step.trouble)?;
            }
            if Instant::now() >= next_check {
                next_check = Instant::now() + CHECK_EVERY;
                self.check();
            }
            thread::sleep(LOOK_EVERY);
        }
        for step in under_way {
            self.end(step.trouble)?;
        }
        self.play_calm()
    }

    /// Looks at the promises, and at who is ready.
    fn check(&mut self) {
        let overlapping = self.site.overlapping_runs();
        self.report.violations.extend(overlapping);
        for (entry, is_ready) in self.callers.are_ready.iter().enumerate() {
            let index = u8::try_from(entry).unwrap_or(u8::MAX);
            // A process that stands still would hold up the look.
            let is_up = !self.down.contains(&Target::Entry(index));
            is_ready.store(is_up && self.site.is_ready(entry), Ordering::Relaxed);
            if is_up {
                self.check_alive(Target::Entry(index));
            }
        }
        for index in (0..).take(self.site.minions.len()) {
            if !self.down.contains(&Target::Sidecar(index)) {
                self.check_alive(Target::Sidecar(index));
            }
        }
    }

    fn check_alive(&mut self, target: Target) {
        if self
            .process(target)
            .is_some_and(|process| !process.is_running())
        {
            self.report
                .violations
                .push(format!("{target:?} has ended by itself"));
        }
    }

    fn play_calm(&mut self) -> Result<Instant> {
        let ended_at = Instant::now();
        for entry in 0..self.callers.addresses.len() {
            if let Err(error) = self.site.wait_ready(entry) {
                self.report
                    .violations
                    .push(format!("entry {entry}: {error}"));
            }
        }
        // Connections that have fallen silent stay so; their callers would wait in vain.
        for entry in (0..).take(self.callers.addresses.len()) {
            self.with_callers(entry, StreamProxy::disconnect);
            self.with_callers(entry, StreamProxy::restore);
        }
        while ended_at.elapsed() < RECOVERY / 2 {
            self.check();
            thread::sleep(CHECK_EVERY);
        }
        let calm_since = Instant::now();
        self.check_configuration()?;
        self.check_drain();
        for index in (0..).take(self.callers.addresses.len()) {
            self.replace_entry(index)?;
        }
        Ok(calm_since)
    }

    /// A new queue serves everywhere within the bound.
    fn check_configuration(&mut self) -> Result<()> {
        self.version += 7;
        let route = format!("/route-{}/", self.version);
        let version = self.version;
        self.site
            .write_configuration(version, &["/urgent/", "/normal/", "/bulk/", &route]);
        let is_in_force = || {
            (0..self.callers.addresses.len()).all(|entry| {
                let path = format!("{route}{:016x}", u64::MAX - entry as u64);
                let answer = self.site.submit(entry, &path, 1, 5);
                answer.is_ok_and(|answer| answer.status != 404)
            })
        };
        if wait_until("the new queue", CONFIGURATION_APPLIES, is_in_force).is_err() {
            self.report
                .violations
                .push(format!("version {version} is not in force everywhere"));
        }
        Ok(())
    }

    /// Nothing begins on a minion that leaves.
    fn check_drain(&mut self) {
        let last = &self.site.minions[self.site.minions.len() - 1];
        last.drain();
        thread::sleep(DRAIN);
        let before = last.runs().len();
        thread::sleep(DRAIN / 2);
        let after = last.runs().len();
        if after > before {
            let begun = after - before;
            self.report
                .violations
                .push(format!("{begun} runs began on a minion that leaves"));
        }
    }

    /// Stops an entry as planned and starts it again, while callers go on.
    fn replace_entry(&mut self, index: u8) -> Result<()> {
        let target = Target::Entry(index);
        let Some(process) = self.process(target) else {
            return Ok(());
        };
        process.terminate()?;
        let asked_at = Instant::now();
        while self.process(target).is_some_and(ChildProcess::is_running) {
            self.callers.are_ready[usize::from(index)]
                .store(self.site.is_ready(usize::from(index)), Ordering::Relaxed);
            if asked_at.elapsed() > STOP_TIMEOUT {
                self.report
                    .violations
                    .push(format!("{target:?} does not stop"));
                break;
            }
            thread::sleep(LOOK_EVERY);
        }
        self.start(target)?;
        self.site.wait_ready(usize::from(index))?;
        self.check();
        Ok(())
    }
}
