//! Tests of the clock of a process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use knapweedrill_daemon::dispatch::{ProcessClock, time_since_boot};

static SINCE_BOOT_MS: AtomicU64 = AtomicU64::new(50_000);

fn simulated_time_since_boot() -> Duration {
    Duration::from_millis(SINCE_BOOT_MS.load(Ordering::Relaxed))
}

/// Guards against orders and callers' deadlines that look fresh after a suspension of the VM, which
/// starts a task a second time.
#[test]
fn suspension_of_the_vm_counts() {
    let clock = ProcessClock::start(simulated_time_since_boot);
    assert_eq!(clock.now(), clock.started_at());
    SINCE_BOOT_MS.fetch_add(3_000, Ordering::Relaxed);
    assert_eq!(clock.now(), clock.started_at() + Duration::from_secs(3));
    let suspended = clock.suspended();
    assert!(suspended <= Duration::from_secs(3), "{suspended:?}");
    assert!(suspended > Duration::from_secs(2), "{suspended:?}");
}

#[test]
fn clock_of_a_running_vm_advances_with_the_monotonic_clock() {
    let clock = ProcessClock::start(time_since_boot);
    let before = Instant::now();
    std::thread::sleep(Duration::from_millis(20));
    let elapsed = clock.now().saturating_duration_since(clock.started_at());
    assert!(elapsed >= Duration::from_millis(20), "{elapsed:?}");
    assert!(elapsed <= before.elapsed() + Duration::from_millis(100));
}
