//! The lower bound on the response time of a job.

use std::time::Duration;

use knapweedrill_derive::value;

/// The speed at which a task takes its nominal run time, in per cent.
const NORMAL_SPEED_PERCENT: f64 = 100.0;

/// The speeds of the slots that a job may use, the fastest first.
#[value]
pub struct SlotSpeeds {
    speeds: Vec<f64>,
}

impl SlotSpeeds {
    /// Creates the list from the minions, each given by its speed in per cent and its slot count.
    pub fn new(minions: impl IntoIterator<Item = (u32, u32)>) -> Self {
        let mut speeds = Vec::new();
        for (speed_percent, slot_count) in minions {
            let speed = f64::from(speed_percent) / NORMAL_SPEED_PERCENT;
            speeds.extend((0..slot_count).map(|_| speed));
        }
        speeds.sort_by(|a, b| b.total_cmp(a));
        Self { speeds }
    }

    /// Returns the minimum response time of a job that has all slots to itself.
    ///
    /// `run_times` are the run times of its tasks at speed 100 %. The result is the bound for
    /// uniform machines: for each `n`, the `n` longest tasks take at least their total run time
    /// divided by the total speed of the `n` fastest slots, and all tasks take at least their
    /// total run time divided by the total speed of all slots.
    /// Source: Horvath, Lam, Sethi, "A level algorithm for preemptive scheduling", 1977.
    ///
    /// # Panics
    ///
    /// Panics if there are tasks and no slots.
    pub fn ideal_response_time(&self, run_times: impl IntoIterator<Item = Duration>) -> Duration {
        let mut run_times: Vec<Duration> = run_times.into_iter().collect();
        if run_times.is_empty() {
            return Duration::ZERO;
        }
        assert!(
            !self.speeds.is_empty(),
            "a job with tasks needs at least one slot"
        );
        run_times.sort_by(|a, b| b.cmp(a));
        let total_work_s = run_times.iter().sum::<Duration>().as_secs_f64();
        let mut work_s = 0.0;
        let mut speed = 0.0;
        let mut bound_s = 0.0_f64;
        for (run_time, slot_speed) in run_times.iter().zip(&self.speeds) {
            work_s += run_time.as_secs_f64();
            speed += slot_speed;
            bound_s = bound_s.max(work_s / speed);
        }
        Duration::from_secs_f64(bound_s.max(total_work_s / speed))
    }
}
