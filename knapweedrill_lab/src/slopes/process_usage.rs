//! Processor time and memory of a process.

use std::fs;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

/// The name of the control thread of a daemon.
const CONTROL_THREAD: &str = "control";

/// The length of a tick of the kernel's accounting in `/proc/PID/stat`.
///
/// Source: proc(5); `USER_HZ` is 100 on every Linux architecture in use.
const TICK: Duration = Duration::from_millis(10);

/// The position of the user time in `/proc/PID/stat`, counted behind the program's name.
const USER_TIME_FIELD: usize = 11;

/// What a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time of the control thread.
    pub control: Duration,
    /// Processor time of all threads.
    pub total: Duration,
    /// Memory in use.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is gone.
    pub fn read(process_id: u32) -> Result<Self> {
        Ok(Self {
            control: control_time(process_id)?,
            total: total_time(process_id)?,
            resident_bytes: resident_bytes(process_id)?,
        })
    }
}

fn total_time(process_id: u32) -> Result<Duration> {
    let text = read(&format!("/proc/{process_id}/stat"))?;
    let (_, fields) = text
        .rsplit_once(')')
        .ok_or_else(|| eyre!("unexpected form of /proc/{process_id}/stat"))?;
    let ticks: u32 = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u32>().ok())
        .sum();
    Ok(TICK * ticks)
}

/// Returns the time of the control thread, which the scheduler's statistics give exactly.
fn control_time(process_id: u32) -> Result<Duration> {
    for entry in fs::read_dir(format!("/proc/{process_id}/task"))? {
        let path = entry?.path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim_end() != CONTROL_THREAD {
            continue;
        }
        let text = fs::read_to_string(path.join("schedstat"))?;
        let first = text.split_whitespace().next().unwrap_or_default();
        return Ok(Duration::from_nanos(first.parse()?));
    }
    Err(eyre!("process {process_id} has no control thread"))
}

fn resident_bytes(process_id: u32) -> Result<u64> {
    let text = read(&format!("/proc/{process_id}/status"))?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or_else(|| eyre!("process {process_id} tells no memory"))?;
    let kibibytes: u64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kibibytes << 10)
}

fn read(path: &str) -> Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("can't read {path}"))
}
