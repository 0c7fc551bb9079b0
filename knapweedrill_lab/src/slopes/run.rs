//! A run over all subjects.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Instant;

use eyre::{Result, WrapErr};
use knapweedrill::message::Role;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde::{Deserialize, Serialize};

use super::{Build, Scale, Series, Subject, SweepReport, entry_sweeps, sidecar_sweeps};

type Sweep = fn(&Scale) -> Result<Series>;

const SWEEPS: &[(Role, &str, Sweep)] = &[
    (Role::Entry, "minions", entry_sweeps::minions),
    (Role::Entry, "entries", entry_sweeps::entries),
    (
        Role::Entry,
        "teams with changing demand",
        entry_sweeps::teams,
    ),
    (Role::Entry, "queued tasks", entry_sweeps::queued_tasks),
    (Role::Entry, "jobs in flight", entry_sweeps::jobs_in_flight),
    (Role::Entry, "kept keys", entry_sweeps::kept_keys),
    (
        Role::Entry,
        "configuration bytes in force a second",
        entry_sweeps::configuration_bytes,
    ),
    (Role::Entry, "changes a second", entry_sweeps::changes),
    (Role::Entry, "starts a second", entry_sweeps::starts),
    (Role::Sidecar, "entries", sidecar_sweeps::entries),
    (
        Role::Sidecar,
        "teams with changing demand",
        sidecar_sweeps::teams,
    ),
    (Role::Sidecar, "starts a second", sidecar_sweeps::start_rate),
    (
        Role::Sidecar,
        "remembered tasks",
        sidecar_sweeps::remembered_tasks,
    ),
];

/// The slopes of all subjects.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlopesReport {
    /// How the programs were built.
    pub build: Build,
    /// The load of the machine over the last minute when the run began.
    pub load_average: String,
    /// The processors of the machine.
    pub processor_count: usize,
    /// How long the run took, in seconds.
    pub seconds: f64,
    /// The sweeps.
    pub sweeps: Vec<SweepReport>,
    /// The sweeps that could not be measured, and why.
    pub failures: BTreeMap<String, String>,
}

/// Measures the slopes of all subjects.
///
/// A sweep that cannot be measured is told in the report, and the others go on.
///
/// # Errors
///
/// Returns an error if the process may not open enough descriptors.
pub fn measure(scale: &Scale) -> Result<SlopesReport> {
    raise_descriptor_limit()?;
    let began = Instant::now();
    let mut report = SlopesReport {
        build: Build::current(),
        load_average: std::fs::read_to_string("/proc/loadavg").unwrap_or_default(),
        processor_count: std::thread::available_parallelism().map_or(0, usize::from),
        seconds: 0.0,
        sweeps: Vec::new(),
        failures: BTreeMap::new(),
    };
    for (role, grows_with, sweep) in SWEEPS {
        eprintln!(
            "{:.0} s: {role:?}, by {grows_with}",
            began.elapsed().as_secs_f64()
        );
        let subject = Subject {
            role: *role,
            grows_with,
        };
        let repetitions: Result<Vec<Series>> =
            (0..scale.repetition_count).map(|_| sweep(scale)).collect();
        match repetitions {
            Ok(repetitions) => report.sweeps.push(SweepReport::new(subject, &repetitions)),
            Err(error) => {
                eprintln!("{role:?}, by {grows_with}: {error:#}");
                let name = format!("{role:?}: {grows_with}");
                report.failures.insert(name, format!("{error:#}"));
            }
        }
    }
    report.seconds = began.elapsed().as_secs_f64();
    Ok(report)
}

/// Raises the limit of open descriptors, of which each stand-in takes a few.
fn raise_descriptor_limit() -> Result<()> {
    let limit = getrlimit(Resource::Nofile);
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current: limit.maximum,
            maximum: limit.maximum,
        },
    )
    .wrap_err("can't raise the limit of open descriptors")
}

impl fmt::Display for SlopesReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} processors, load {}, {:.0} s",
            self.processor_count,
            self.load_average.trim_end(),
            self.seconds
        )?;
        for sweep in &self.sweeps {
            writeln!(
                f,
                "\n{:?}, by {} (at {:?})",
                sweep.role, sweep.grows_with, sweep.sizes
            )?;
            for (quantity, slope) in &sweep.slopes {
                writeln!(
                    f,
                    "  {quantity:30} {:>12.5} each ({:.5} to {:.5}), from {:>12.2}, residual {:.3}",
                    slope.fit.slope,
                    slope.slope_min,
                    slope.slope_max,
                    slope.fit.intercept,
                    slope.fit.residual
                )?;
            }
        }
        for (sweep, error) in &self.failures {
            writeln!(f, "\n{sweep}: not measured: {error}")?;
        }
        Ok(())
    }
}
