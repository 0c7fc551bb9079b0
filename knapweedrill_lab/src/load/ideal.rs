//! The response that the work of a job allows at best.

use std::time::Duration;

/// Returns the least response of a job that has all slots to itself.
///
/// It is the larger of all work over all speed, and the maximum over k of the work of the k
/// longest tasks over the speed of the k fastest slots.
pub fn ideal_response(
    works: impl IntoIterator<Item = Duration>,
    slot_speeds_percent: impl IntoIterator<Item = u32>,
) -> Duration {
    let mut works: Vec<f64> = works.into_iter().map(|work| work.as_secs_f64()).collect();
    let mut speeds: Vec<f64> = slot_speeds_percent
        .into_iter()
        .map(|percent| f64::from(percent) / 100.0)
        .collect();
    works.sort_by(|a, b| b.total_cmp(a));
    speeds.sort_by(|a, b| b.total_cmp(a));
    let all_s = works.iter().sum::<f64>() / speeds.iter().sum::<f64>();
    let mut work_s = 0.0;
    let mut speed = 0.0;
    let mut ideal_s = all_s;
    for (task_work, slot_speed) in works.iter().zip(&speeds) {
        work_s += task_work;
        speed += slot_speed;
        ideal_s = ideal_s.max(work_s / speed);
    }
    Duration::from_secs_f64(ideal_s)
}
