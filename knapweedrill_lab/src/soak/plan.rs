//! Which faults come when.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::SoakOptions;
use super::trouble::Trouble;

/// The pauses between faults, in milliseconds: short beside how long they last, so that they overlap.
const PAUSE_MS: std::ops::Range<u64> = 60..700;

/// How long faults last, in milliseconds: from below every time-out of the system to beyond all.
const LENGTH_MS: std::ops::Range<u64> = 80..3_500;

/// A fault from its begin to its end, counted from the begin of the soak.
#[derive(Debug, Clone, Copy)]
pub(super) struct Step {
    pub(super) begin: Duration,
    pub(super) end: Duration,
    pub(super) trouble: Trouble,
}

/// Draws the faults of a soak, in the order of their begin. Some come in series: the same kind again
/// and again.
pub(super) fn draw(options: &SoakOptions) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut steps: Vec<Step> = Vec::new();
    let mut begin = Duration::ZERO;
    loop {
        begin += Duration::from_millis(random.random_range(PAUSE_MS));
        if begin >= options.duration {
            return steps;
        }
        let again = steps.last().filter(|_| random.random_bool(0.15));
        let trouble = match again {
            Some(step) => step.trouble,
            None => Trouble::draw(&mut random, options),
        };
        let length = Duration::from_millis(random.random_range(LENGTH_MS));
        steps.push(Step {
            begin,
            end: (begin + length).min(options.duration),
            trouble,
        });
    }
}
