//! Reads the processor time and memory of processes from `/proc`.

use std::fs;
use std::ops::Sub;

use knapweedrill_derive::value;

/// The length of a clock tick in `/proc/PID/stat`.
const CLOCK_TICK_US: u64 = 10_000;
/// The index of the user time among the fields after the command name; the system time is next.
const USER_TIME_FIELD: usize = 11;

/// The processor time and memory of a process.
#[value]
#[derive(Copy, Default)]
pub(super) struct ProcessUsage {
    /// The user and system time since its start.
    pub(super) cpu_us: u64,
    /// The resident memory at the time of reading.
    pub(super) resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process; all values are 0 if it has ended.
    pub(super) fn of(pid: u32) -> Self {
        Self {
            cpu_us: cpu_us(pid).unwrap_or(0),
            resident_kib: resident_kib(pid).unwrap_or(0),
        }
    }
}

impl Sub for ProcessUsage {
    type Output = Self;

    /// Returns the usage since an earlier reading; the memory is that of the later reading.
    fn sub(self, earlier: Self) -> Self {
        Self {
            cpu_us: self.cpu_us.saturating_sub(earlier.cpu_us),
            resident_kib: self.resident_kib,
        }
    }
}

fn cpu_us(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = text.rsplit_once(')')?;
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: u64 = times.filter_map(|field| field.parse::<u64>().ok()).sum();
    Some(ticks * CLOCK_TICK_US)
}

fn resident_kib(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
