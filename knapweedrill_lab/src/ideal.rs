//! The ideal response time of a job.

use std::time::Duration;

use knapweedrill_derive::value;

/// The speed at which a task takes its stated run time, in per cent.
const NORMAL_SPEED_PERCENT: f64 = 100.0;

/// The slots that a job may use, the fastest first.
#[value]
pub struct SlotSpeeds {
    speeds: Vec<f64>,
}

impl SlotSpeeds {
    /// Creates the slots of minions, each given by its speed in per cent and its slot count.
    pub fn new(minions: impl IntoIterator<Item = (u32, u32)>) -> Self {
        let mut speeds = Vec::new();
        for (speed_percent, slot_count) in minions {
            let speed = f64::from(speed_percent) / NORMAL_SPEED_PERCENT;
            speeds.extend((0..slot_count).map(|_| speed));
        }
        speeds.sort_by(|a, b| b.total_cmp(a));
        Self { speeds }
    }

    /// Returns how long a job takes at least if it has all the slots to itself.
    ///
    /// `run_times` are those of the tasks at speed 100 %. The bound is that of uniform machines:
    /// the `n` longest tasks take no less than their sum over the speeds of the `n` fastest
    /// slots, for each `n`, and all tasks no less than their sum over all the slots.
    /// Source: Horvath, Lam, Sethi, "A level algorithm for preemptive scheduling", 1977.
    ///
    /// # Panics
    ///
    /// Panics if there are tasks and no slots.
    pub fn ideal(&self, run_times: impl IntoIterator<Item = Duration>) -> Duration {
        let mut run_times: Vec<Duration> = run_times.into_iter().collect();
        if run_times.is_empty() {
            return Duration::ZERO;
        }
        assert!(!self.speeds.is_empty(), "a job needs a slot");
        run_times.sort_by(|a, b| b.cmp(a));
        let all = run_times.iter().sum::<Duration>().as_secs_f64();
        let mut work = 0.0;
        let mut speed = 0.0;
        let mut longest = 0.0_f64;
        for (run_time, slot_speed) in run_times.iter().zip(&self.speeds) {
            work += run_time.as_secs_f64();
            speed += slot_speed;
            longest = longest.max(work / speed);
        }
        Duration::from_secs_f64(longest.max(all / speed))
    }
}
