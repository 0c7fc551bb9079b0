//! Timeouts of calls to minions that lose, delay and withhold answers.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::sidecar::ResponseTimes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);

/// The response time of a minion without faults.
const USUAL: Duration = Duration::from_millis(2);

/// One call at a time to a minion; each is sent as soon as the one before has ended.
struct Caller {
    now: Instant,
    times: ResponseTimes,
    timed_out_count: u32,
}

impl Caller {
    fn new() -> Self {
        let mut caller = Self {
            now: Instant::now(),
            times: ResponseTimes::default(),
            timed_out_count: 0,
        };
        for _ in 0..50 {
            caller.call(Some(USUAL));
        }
        caller
    }

    /// Makes a call that the minion answers after `response_time`, or never. Returns its duration.
    fn call(&mut self, response_time: Option<Duration>) -> Duration {
        let timeout = self.times.timeout(self.now);
        let sent_at = self.now;
        match response_time.filter(|time| *time <= timeout) {
            Some(time) => {
                self.now += time;
                self.times.record_response(time);
            }
            None => {
                self.now += timeout;
                self.times.record_loss(sent_at);
                self.timed_out_count += 1;
            }
        }
        self.now - sent_at
    }
}

/// An urgent task takes 60 ms and has 100 ms to spare, so a lost order has to be noticed early.
#[test_case(0.05, 30; "one in twenty")]
#[test_case(0.25, 15; "a quarter")]
#[test_case(0.5, 13; "half of the orders unanswered")]
fn lost_order_is_noticed_the_sooner_the_more_are_lost(lost_share: f64, mean_max_ms: u32) {
    let mut random = SmallRng::seed_from_u64(1);
    let mut caller = Caller::new();
    let calls = (0..1_000).map(|_| {
        let is_answered = !random.random_bool(lost_share);
        caller.call(is_answered.then_some(USUAL))
    });
    let lost: Vec<_> = calls.filter(|duration| *duration > USUAL).collect();
    let mean = lost.iter().sum::<Duration>() / u32::try_from(lost.len()).expect("few calls");
    assert!(
        mean < mean_max_ms * MS,
        "{mean:?} for each of {} calls",
        lost.len()
    );
}

/// A minion that is ten times slower loses nothing, so repeated calls only add to its work.
#[test]
fn minion_that_turns_ten_times_slower_is_waited_for_after_a_few_calls() {
    let mut caller = Caller::new();
    for _ in 0..200 {
        caller.call(Some(10 * USUAL));
    }
    assert!(
        caller.timed_out_count <= 6,
        "{} calls were given up",
        caller.timed_out_count
    );
}

/// The minion stands still, and answers at once afterwards.
#[test]
fn minion_that_stands_still_for_300_ms_gets_few_calls() {
    let mut caller = Caller::new();
    let usual_timeout = caller.times.timeout(caller.now);
    let resumes_at = caller.now + 300 * MS;
    while caller.now < resumes_at {
        caller.call(None);
    }
    assert!(
        caller.timed_out_count <= 16,
        "{} calls",
        caller.timed_out_count
    );
    assert!(caller.times.timeout(caller.now) >= 2 * usual_timeout);
    for _ in 0..50 {
        caller.call(Some(USUAL));
    }
    assert!(caller.times.timeout(caller.now) >= usual_timeout * 3 / 4);
}

/// The sidecar gets no processor time for 200 ms and then reads an answer that has been there all
/// the while.
#[test]
fn pause_of_the_sidecar_is_forgotten_within_fifty_answers() {
    let mut caller = Caller::new();
    caller.times.record_response(200 * MS);
    assert!(caller.times.timeout(caller.now) <= 80 * MS);
    for _ in 0..50 {
        caller.call(Some(USUAL));
    }
    assert!(caller.times.timeout(caller.now) <= 40 * MS);
}

#[test]
fn time_without_an_answer_counts_from_the_first_call_and_ends_with_any_answer() {
    let mut caller = Caller::new();
    let lost_at = caller.now;
    caller.times.record_loss(lost_at + 5 * MS);
    caller.times.record_loss(lost_at);
    assert_eq!(caller.times.unanswered_for(lost_at + 90 * MS), 90 * MS);
    caller.times.record_sign_of_life();
    assert_eq!(
        caller.times.unanswered_for(lost_at + 90 * MS),
        Duration::ZERO
    );
}
