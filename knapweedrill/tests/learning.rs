//! Estimation of minion speeds and task run times.

use std::time::Duration;

use knapweedrill::entry::RunTimeEstimator;
use knapweedrill::minion::MinionSpeed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const KIND: &str = "relief";

/// Returns a log-normal factor with a median of 1.
fn noise(random: &mut StdRng, sigma: f64) -> f64 {
    // The sum of twelve uniform samples is approximately normal with a variance of 1.
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    (normal * sigma).exp()
}

fn work(random: &mut StdRng) -> Duration {
    Duration::from_secs_f64(0.05 * 20.0_f64.powf(random.random::<f64>()))
}

#[test_case(0.3; "off by sigma 0.3")]
#[test_case(1.0; "off by sigma 1")]
fn speed_converges_despite_inaccurate_estimates(sigma: f64) {
    let mut random = StdRng::seed_from_u64(1);
    let mut speed = MinionSpeed::new(100);
    for _ in 0..200 {
        let work = work(&mut random);
        let expected = work.mul_f64(noise(&mut random, sigma));
        speed.observe(expected, work.div_f64(0.25));
    }
    let error = speed.factor() / 0.25;
    assert!((0.65..=1.5).contains(&error), "off by {error}");
}

#[test]
fn order_of_speeds_is_estimated_from_hints_ten_times_too_long() {
    let mut random = StdRng::seed_from_u64(2);
    let mut estimator = RunTimeEstimator::new();
    let true_speeds = [0.5, 1.0, 2.0];
    let mut speeds = [0; 3].map(|_| MinionSpeed::new(0));
    for _ in 0..300 {
        for (speed, true_speed) in speeds.iter_mut().zip(true_speeds) {
            let work = work(&mut random);
            let hint = Some(work.mul_f64(10.0 * noise(&mut random, 0.3)));
            let run_time = work.div_f64(true_speed);
            speed.observe(estimator.estimate(KIND, hint), run_time);
            estimator.observe(KIND, hint, run_time, speed.percent());
        }
    }
    for (slower, faster) in [(0, 1), (1, 2)] {
        let ratio = speeds[faster].factor() / speeds[slower].factor();
        assert!((1.6..=2.5).contains(&ratio), "ratio {ratio}");
    }
}

#[test]
fn outlier_changes_an_estimated_speed_little() {
    let mut speed = MinionSpeed::new(100);
    for _ in 0..50 {
        speed.observe(Duration::from_millis(100), Duration::from_millis(100));
    }
    speed.observe(Duration::from_millis(100), Duration::from_secs(100));
    assert!(speed.factor() > 0.9);
}

#[test]
fn speed_hint_is_used_until_tasks_have_run() {
    assert_eq!(MinionSpeed::new(250).percent(), 250);
    assert_eq!(MinionSpeed::new(0).percent(), 100);
}

#[test]
fn hint_is_the_estimate_until_tasks_have_run() {
    let hint = Duration::from_millis(700);
    let estimator = RunTimeEstimator::new();
    let expected = estimator.estimate(KIND, Some(hint));
    assert_eq!(expected, hint);
}

#[test]
fn hints_ten_times_too_long_are_corrected() {
    let mut estimator = RunTimeEstimator::new();
    for _ in 0..20 {
        let hint = Some(Duration::from_secs(1));
        estimator.observe(KIND, hint, Duration::from_millis(200), 50);
    }
    let expected = estimator.estimate(KIND, Some(Duration::from_secs(1)));
    assert_eq!(expected.as_millis(), 100);
    let unseen = estimator.estimate(KIND, Some(Duration::from_secs(20)));
    assert_eq!(unseen.as_secs(), 2);
}

#[test]
fn estimate_without_a_hint_is_the_mean_of_the_kind() {
    let mut estimator = RunTimeEstimator::new();
    for _ in 0..20 {
        estimator.observe(KIND, None, Duration::from_millis(300), 100);
    }
    assert_eq!(estimator.estimate(KIND, None).as_millis(), 300);
}

#[test]
fn zero_run_times_and_hints_are_accepted() {
    let mut estimator = RunTimeEstimator::new();
    estimator.observe(KIND, Some(Duration::ZERO), Duration::ZERO, 0);
    let mut speed = MinionSpeed::new(100);
    speed.observe(Duration::ZERO, Duration::ZERO);
    assert_eq!(speed.percent(), 100);
    assert!(estimator.estimate(KIND, Some(Duration::MAX)) <= Duration::from_secs(3600));
}
