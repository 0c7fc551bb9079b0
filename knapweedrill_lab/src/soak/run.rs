//! Runs a soak test.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};

use super::callers::{CallerState, submit_until_stopped};
use super::checks::{check_fault_free_phase, check_responses, slowest_request};
use super::fault::Target;
use super::scheduled_fault::{ScheduledFault, random_schedule};
use super::{SoakOptions, SoakReport};
use crate::harness::{ChildProcess, PlatformSite, wait_until};
use crate::stand_in::fault_proxy::StreamProxy;
use crate::stand_in::platform::MinionServer;

/// How often due faults are injected and cleared.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often the guarantees and the readiness of the entries are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum time to recover after the last fault, as specified by the platform.
const RECOVERY_DELAY_MAX: Duration = Duration::from_secs(12);

/// The maximum time until a configuration is in force on all entries, as specified by the platform.
const CONFIGURATION_DELAY_MAX: Duration = Duration::from_secs(2);

/// The maximum time for which a draining minion may still receive tasks, as specified by the
/// platform.
const LEAVE_DELAY_MAX: Duration = Duration::from_secs(2);

/// The maximum time for a process to stop: the grace period of the site and a margin for an
/// overloaded machine.
pub(super) const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// The time after the last job in which all remaining runs end.
const REMAINING_RUNS_MAX: Duration = Duration::from_secs(3);

/// Runs a soak test and returns its report. If a check fails, the logs of the processes are kept in
/// `target/soak`.
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
    let callers = CallerState {
        addresses: entries
            .clone()
            .map(|entry| site.callers_address(entry))
            .collect(),
        entry_readiness: entries.map(|_| AtomicBool::new(true)).collect(),
        is_stopping: AtomicBool::new(false),
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
    let fault_free_since = thread::scope(|scope| {
        let threads: Vec<_> = (0..options.caller_count)
            .map(|caller| scope.spawn(move || submit_until_stopped(callers, caller, options.seed)))
            .collect();
        let fault_free_since = soak.run_phases(options);
        callers.is_stopping.store(true, Ordering::Relaxed);
        for thread in threads {
            jobs.extend(thread.join().expect("callers do not panic"));
        }
        fault_free_since
    })?;
    thread::sleep(REMAINING_RUNS_MAX);
    let runs: Vec<_> = soak
        .site
        .minions
        .iter()
        .flat_map(MinionServer::runs)
        .collect();
    let mut report = soak.report;
    report.violations.extend(soak.site.overlapping_runs());
    report.violations.extend(check_responses(&jobs, &runs));
    report
        .violations
        .extend(check_fault_free_phase(&jobs, fault_free_since));
    report.violations.sort();
    report.violations.dedup();
    report.job_count = jobs.len();
    report.completed_count = jobs.iter().filter(|job| job.is_completed()).count();
    report.run_count = runs.len();
    if !report.is_passed() {
        report
            .violations
            .push(format!("slowest request: {:?}", slowest_request(&jobs)));
        keep_logs(soak.site.directory(), options.seed)?;
    }
    Ok(report)
}

/// Copies the logs of the processes to `target/soak`.
fn keep_logs(directory: &Path, seed: u64) -> Result<()> {
    let kept = Path::new("target/soak").join(format!("seed-{seed}"));
    std::fs::create_dir_all(&kept).wrap_err("can't create the directory for the logs")?;
    for file in std::fs::read_dir(directory).wrap_err("can't list the logs")? {
        let file = file.wrap_err("can't list the logs")?;
        std::fs::copy(file.path(), kept.join(file.file_name())).wrap_err("can't copy a log")?;
    }
    Ok(())
}

/// A running soak test.
pub(super) struct Soak<'a> {
    pub(super) site: PlatformSite,
    pub(super) callers: &'a CallerState,
    /// Processes that are stopped or suspended by a fault.
    pub(super) down: HashSet<Target>,
    /// The version of the newest configuration.
    pub(super) version: u64,
    report: SoakReport,
}

impl Soak<'_> {
    /// Runs the phase with faults and then the fault-free phase; returns when the latter began.
    fn run_phases(&mut self, options: &SoakOptions) -> Result<Instant> {
        let started_at = Instant::now();
        let schedule = random_schedule(options);
        let mut active: Vec<ScheduledFault> = Vec::new();
        let mut upcoming = schedule.into_iter().peekable();
        let mut next_check = started_at;
        while started_at.elapsed() < options.duration {
            while let Some(scheduled) = upcoming.next_if(|next| next.start <= started_at.elapsed())
            {
                if self.inject(scheduled.fault)? {
                    let line = format!(
                        "{:?} to {:?}: {:?}",
                        scheduled.start, scheduled.end, scheduled.fault
                    );
                    self.report.faults.push(line);
                    active.push(scheduled);
                }
            }
            let ended: Vec<_> = active
                .extract_if(.., |scheduled| scheduled.end <= started_at.elapsed())
                .collect();
            for scheduled in ended {
                self.clear(scheduled.fault)?;
            }
            if Instant::now() >= next_check {
                next_check = Instant::now() + CHECK_INTERVAL;
                self.check_invariants();
            }
            thread::sleep(POLL_INTERVAL);
        }
        for scheduled in active {
            self.clear(scheduled.fault)?;
        }
        self.run_fault_free_phase()
    }

    /// Checks for overlapping runs and processes that exited, and updates which entries are ready.
    fn check_invariants(&mut self) {
        let overlapping = self.site.overlapping_runs();
        self.report.violations.extend(overlapping);
        for (entry, is_ready) in self.callers.entry_readiness.iter().enumerate() {
            let index = u8::try_from(entry).unwrap_or(u8::MAX);
            // A request to a suspended process would block until its timeout.
            let is_up = !self.down.contains(&Target::Entry(index));
            is_ready.store(is_up && self.site.is_ready(entry), Ordering::Relaxed);
            if is_up {
                self.check_running(Target::Entry(index));
            }
        }
        for index in (0..).take(self.site.minions.len()) {
            if !self.down.contains(&Target::Sidecar(index)) {
                self.check_running(Target::Sidecar(index));
            }
        }
    }

    fn check_running(&mut self, target: Target) {
        if self
            .process(target)
            .is_some_and(|process| !process.is_running())
        {
            self.report
                .violations
                .push(format!("{target:?} exited unexpectedly"));
        }
    }

    fn run_fault_free_phase(&mut self) -> Result<Instant> {
        let faults_ended_at = Instant::now();
        for entry in 0..self.callers.addresses.len() {
            if let Err(error) = self.site.wait_ready(entry) {
                self.report
                    .violations
                    .push(format!("entry {entry}: {error}"));
            }
        }
        // Black-holed connections stay so, and requests on them would time out. Closing them makes
        // the callers open new ones.
        for entry in (0..).take(self.callers.addresses.len()) {
            self.update_caller_proxy(entry, StreamProxy::disconnect);
            self.update_caller_proxy(entry, StreamProxy::restore);
        }
        while faults_ended_at.elapsed() < RECOVERY_DELAY_MAX / 2 {
            self.check_invariants();
            thread::sleep(CHECK_INTERVAL);
        }
        let fault_free_since = Instant::now();
        self.check_configuration()?;
        self.check_drain();
        for index in (0..).take(self.callers.addresses.len()) {
            self.replace_entry(index)?;
        }
        Ok(fault_free_since)
    }

    /// Checks that all entries serve a new queue within [`CONFIGURATION_DELAY_MAX`].
    fn check_configuration(&mut self) -> Result<()> {
        self.version += 7;
        let route = format!("/route-{}/", self.version);
        let version = self.version;
        self.site
            .write_configuration(version, &["/urgent/", "/normal/", "/bulk/", &route]);
        let is_in_force = || {
            (0..self.callers.addresses.len()).all(|entry| {
                let path = format!("{route}{:016x}", u64::MAX - entry as u64);
                let response = self.site.submit(entry, &path, 1, 5);
                response.is_ok_and(|response| response.status != 404)
            })
        };
        if wait_until("the new queue", CONFIGURATION_DELAY_MAX, is_in_force).is_err() {
            self.report.violations.push(format!(
                "configuration version {version} is not in force on all entries"
            ));
        }
        Ok(())
    }

    /// Checks that no run starts on a draining minion after [`LEAVE_DELAY_MAX`].
    fn check_drain(&mut self) {
        let last = &self.site.minions[self.site.minions.len() - 1];
        last.drain();
        thread::sleep(LEAVE_DELAY_MAX);
        let count_before = last.runs().len();
        thread::sleep(LEAVE_DELAY_MAX / 2);
        let count_after = last.runs().len();
        if count_after > count_before {
            let started_count = count_after - count_before;
            self.report
                .violations
                .push(format!("{started_count} runs started on a draining minion"));
        }
    }

    /// Terminates an entry gracefully and restarts it while callers keep submitting jobs.
    fn replace_entry(&mut self, index: u8) -> Result<()> {
        let target = Target::Entry(index);
        let Some(process) = self.process(target) else {
            return Ok(());
        };
        process.terminate()?;
        let requested_at = Instant::now();
        while self.process(target).is_some_and(ChildProcess::is_running) {
            self.callers.entry_readiness[usize::from(index)]
                .store(self.site.is_ready(usize::from(index)), Ordering::Relaxed);
            if requested_at.elapsed() > STOP_TIMEOUT {
                self.report
                    .violations
                    .push(format!("{target:?} did not stop within {STOP_TIMEOUT:?}"));
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.start_process(target)?;
        self.site.wait_ready(usize::from(index))?;
        self.check_invariants();
        Ok(())
    }
}
