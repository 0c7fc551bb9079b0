//! A sidecar and its minion, one event after the other.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::{
    Condition, Message, MinionProfile, PlacementOutcome, RefusalCause, RunEnd, StartOrder,
};
use knapweedrill::dispatch::sidecar::{
    EndKind, EndedRun, HoldAnswer, HoldCall, MinionHeartbeat, OrderAnswer, RunKey, Sidecar,
    SidecarAction, SidecarSettings, StartCall, StopCall,
};
use knapweedrill::dispatch::{JobName, Room, TaskName};

const MS: Duration = Duration::from_millis(1);
const ENTRY: u64 = 7;

struct Bench {
    now: Instant,
    clock_ms: u64,
    born_ms: u64,
    sidecar: Sidecar,
    starts: Vec<StartCall>,
    stops: Vec<StopCall>,
    holds: Vec<HoldCall>,
    outcomes: Vec<PlacementOutcome>,
}

impl Bench {
    /// A sidecar that knows an entry and a minion with room for ten tasks.
    fn new() -> Self {
        let now = Instant::now();
        let mut bench = Self {
            now,
            clock_ms: 1_000,
            born_ms: 50,
            sidecar: Sidecar::new(SidecarSettings::default(), 1),
            starts: Vec::new(),
            stops: Vec::new(),
            holds: Vec::new(),
            outcomes: Vec::new(),
        };
        bench.sidecar.entry_connected(ENTRY, now);
        bench.report();
        bench.advance(MS);
        bench.answer_hold(Vec::new(), Vec::new());
        bench.advance(MS);
        bench
    }

    fn report(&mut self) {
        let report = MinionHeartbeat {
            profile: MinionProfile {
                instance: "minion".into(),
                service: "service".into(),
                capacity: room(10),
                labels: Vec::new(),
            },
            started_unix_ms: self.born_ms,
            sequence: 1,
            is_draining: false,
        };
        self.sidecar.heartbeat_received(report, self.now);
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        self.clock_ms += by.as_millis() as u64;
        self.sidecar.entry_alive(ENTRY, self.now);
        self.sidecar.tick(self.now);
        self.collect();
    }

    fn collect(&mut self) {
        for action in self.sidecar.take_actions() {
            match action {
                SidecarAction::Start(call) => self.starts.push(call),
                SidecarAction::Stop(call) => self.stops.push(call),
                SidecarAction::Hold(call) => self.holds.push(call),
                SidecarAction::Send(_, Message::Report(report)) => {
                    self.outcomes.push(report.outcome);
                }
                SidecarAction::Send(..) => {}
            }
        }
    }

    fn order(&mut self, index: u32, attempt: u64) {
        let order = start_order(index, attempt);
        self.sidecar.start(ENTRY, order, self.now, self.now);
        self.collect();
    }

    /// Returns how the only run that was reported has ended.
    fn only_end(&self) -> RunEnd {
        let [PlacementOutcome::Ended { end, .. }] = self.outcomes[..] else {
            panic!("{:?}", self.outcomes);
        };
        end
    }

    fn answer_start(&mut self, answer: OrderAnswer) {
        let call = self.starts.last().expect("a start was ordered").call;
        self.sidecar
            .start_answered(call, answer, Some(self.clock_ms), self.now);
        self.collect();
    }

    fn answer_stop(&mut self, answer: OrderAnswer) {
        let call = self.stops.last().expect("a stop was ordered").call;
        self.sidecar.stop_answered(call, answer, None, self.now);
        self.collect();
    }

    fn lose_hold(&mut self) {
        let call = self.holds.last().expect("a hold was sent").call;
        self.sidecar.hold_answered(call, None, self.now);
        self.collect();
    }

    fn answer_hold(&mut self, running: Vec<(RunKey, u8)>, ended: Vec<EndedRun>) {
        let call = self.holds.last().expect("a hold was sent").call;
        let answer = HoldAnswer {
            started_unix_ms: self.born_ms,
            clock_ms: self.clock_ms,
            running,
            ended,
            has_more: false,
        };
        self.sidecar.hold_answered(call, Some(answer), self.now);
        self.collect();
    }
}

fn room(tasks: u32) -> Room {
    Room {
        cpu_millicores: 1_000 * tasks,
        memory_mib: 100 * tasks,
        accelerator_count: 0,
    }
}

fn task(index: u32) -> TaskName {
    TaskName {
        job: JobName(1),
        step: 0,
        index,
    }
}

fn start_order(index: u32, attempt: u64) -> StartOrder {
    StartOrder {
        task: task(index),
        attempt,
        room: room(1),
        estimate: 40 * MS,
        is_movable: true,
        service: "service".into(),
        spec: String::new(),
        sidecar_stamp_ms: 0,
        run_number: 1,
    }
}

fn run(index: u32) -> RunKey {
    RunKey {
        task: task(index),
        number: 1,
    }
}

#[test]
fn run_that_began_late_is_not_taken_for_one_that_stands_still() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    for _ in 0..2 {
        bench.advance(42 * MS);
        bench.answer_start(OrderAnswer::NoAnswer);
    }
    bench.answer_start(OrderAnswer::Accepted);
    bench.advance(5 * MS);
    bench.answer_hold(vec![(run(0), 6)], Vec::new());
    assert_eq!(bench.stops.len(), 0);
}

#[test]
fn run_that_stands_still_is_stopped_and_its_entry_told() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Accepted);
    bench.advance(90 * MS);
    bench.answer_hold(vec![(run(0), 1)], Vec::new());
    assert_eq!(bench.stops.len(), 1);
    bench.advance(20 * MS);
    let ended = EndedRun {
        number: 1,
        run: run(0),
        kind: EndKind::Stopped,
    };
    bench.answer_hold(Vec::new(), vec![ended]);
    let end = bench.only_end();
    assert_eq!(end, RunEnd::Stopped);
}

#[test]
fn start_without_an_answer_is_ordered_again_under_its_number() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.advance(40 * MS);
    bench.answer_start(OrderAnswer::NoAnswer);
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.starts[0].run, bench.starts[1].run);
    // The first was carried out and the run has ended since.
    bench.answer_start(OrderAnswer::Superseded);
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.outcomes, []);
}

#[test]
fn number_that_the_minion_has_seen_in_another_process_is_raised() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Superseded);
    assert!(bench.starts[1].run.number > bench.starts[0].run.number);
}

#[test]
fn token_is_raised_until_the_minion_takes_it() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Fenced);
    assert!(bench.starts[1].fencing_token > bench.starts[0].fencing_token);
}

#[test]
fn refusal_of_the_minion_is_passed_on_only_if_nothing_can_have_begun() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::NoRoom);
    assert_eq!(
        bench.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NoRoom)]
    );
    bench.order(1, 2);
    bench.advance(40 * MS);
    bench.answer_start(OrderAnswer::NoAnswer);
    bench.answer_start(OrderAnswer::NoRoom);
    assert_eq!(bench.outcomes.len(), 1);
    assert_eq!(bench.stops.len(), 1);
}

#[test]
fn runs_that_a_reborn_minion_has_taken_are_not_reported_as_lost() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Accepted);
    bench.order(1, 2);
    bench.answer_start(OrderAnswer::Accepted);
    bench.advance(10 * MS);
    // The second start reached the new life under the same name.
    bench.born_ms += 500;
    bench.clock_ms = 30;
    bench.report();
    bench.advance(MS);
    bench.answer_hold(vec![(run(1), 10)], Vec::new());
    let end = bench.only_end();
    assert_eq!(end, RunEnd::Lost);
    assert_eq!(bench.sidecar.run_count(), 1);
}

#[test]
fn lease_is_renewed_at_once_when_runs_begin_during_an_idle_hold() {
    let mut bench = Bench::new();
    let idle = bench.holds.last().expect("a hold was sent").clone();
    assert!(idle.wait_ms >= 1_000);
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Accepted);
    bench.advance(MS);
    let renewing = bench.holds.last().expect("a hold was sent");
    assert_ne!(renewing.call, idle.call);
    assert!(renewing.wait_ms < 550, "a lease lasts 550 ms");
}

#[test]
fn minion_out_of_reach_takes_no_tasks_and_its_runs_are_lost_after_their_lease() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Accepted);
    for _ in 0..12 {
        bench.advance(100 * MS);
        let call = bench.holds.last().expect("a hold was sent").call;
        bench.sidecar.hold_answered(call, None, bench.now);
        bench.advance(21 * MS);
    }
    assert_eq!(bench.sidecar.status().condition, Condition::Unavailable);
    let end = bench.only_end();
    assert_eq!(end, RunEnd::Lost);
}

#[test]
fn order_that_is_too_old_is_refused() {
    let mut bench = Bench::new();
    let stamped_at = bench.now;
    bench.now += 700 * MS;
    let order = start_order(0, 1);
    bench.sidecar.start(ENTRY, order, stamped_at, bench.now);
    bench.collect();
    assert_eq!(
        bench.outcomes,
        [PlacementOutcome::Refused(RefusalCause::Stale)]
    );
    assert!(bench.starts.is_empty());
}

#[test]
fn late_farewell_of_an_earlier_life_is_not_believed() {
    let mut bench = Bench::new();
    bench.sidecar.minion_left("minion", bench.now);
    assert_eq!(bench.sidecar.status().condition, Condition::Ready);
}

/// Pattern: a minion turns seven times slower in the middle of the day.
#[test]
fn run_on_a_minion_that_turned_slow_is_moved_early_or_not_at_all() {
    let stops_at = |age: Duration, percent| {
        let mut bench = Bench::new();
        bench.order(0, 1);
        bench.answer_start(OrderAnswer::Accepted);
        bench.advance(age);
        bench.answer_hold(vec![(run(0), percent)], Vec::new());
        bench.stops.len()
    };
    assert_eq!(stops_at(70 * MS, 10), 0, "too early to tell");
    assert_eq!(stops_at(84 * MS, 30), 1, "seven times slower");
    assert_eq!(stops_at(200 * MS, 60), 0, "slow, but nearly done");
}

/// Pattern: a minion crashes while it runs tasks of a job that is given up.
#[test]
fn stops_of_a_minion_that_is_gone_are_not_repeated_in_a_spin() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Accepted);
    bench.sidecar.stop(ENTRY, task(0), 1);
    bench.collect();
    bench.lose_hold();
    for _ in 0..30 {
        bench.answer_stop(OrderAnswer::NotSent);
        bench.advance(MS);
    }
    assert_eq!(bench.stops.len(), 1);
}

/// Pattern: the minion leaves a stop unanswered and answers everything else.
#[test]
fn stop_without_an_answer_is_ordered_again_after_a_pause() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Accepted);
    bench.sidecar.stop(ENTRY, task(0), 1);
    bench.collect();
    bench.answer_stop(OrderAnswer::NoAnswer);
    bench.advance(10 * MS);
    assert_eq!(bench.stops.len(), 1);
    bench.advance(11 * MS);
    assert_eq!(bench.stops.len(), 2);
}

/// Pattern: a minion goes down and up by turns; its port refuses connections meanwhile.
#[test]
fn calls_of_a_minion_that_is_down_become_seldom() {
    let mut bench = Bench::new();
    for _ in 0..1_000 {
        bench.lose_hold();
        bench.advance(MS);
    }
    assert!(bench.holds.len() < 14, "{} calls in 1 s", bench.holds.len());
}

#[test]
fn start_that_the_minion_has_not_seen_is_refused_at_once() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::NotSent);
    assert_eq!(
        bench.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NoMinion)]
    );
}

/// Pattern: a share of the minion's answers is lost, those that list ends among them.
#[test]
fn ends_are_asked_for_more_often_while_answers_are_lost() {
    let mut bench = Bench::new();
    bench.order(0, 1);
    bench.answer_start(OrderAnswer::Accepted);
    bench.advance(MS);
    let usual_ms = bench.holds.last().expect("a hold was sent").wait_ms;
    bench.lose_hold();
    bench.advance(21 * MS);
    bench.answer_hold(vec![(run(0), 10)], Vec::new());
    bench.advance(MS);
    let lossy_ms = bench.holds.last().expect("a hold was sent").wait_ms;
    assert!(lossy_ms * 5 < usual_ms, "{lossy_ms} of {usual_ms}");
    for _ in 0..200 {
        bench.advance(10 * MS);
        bench.answer_hold(vec![(run(0), 50)], Vec::new());
    }
    bench.advance(MS);
    assert_eq!(
        bench.holds.last().expect("a hold was sent").wait_ms,
        usual_ms
    );
}

/// An order that got no answer may be carried out seconds later, by the life of the minion that follows
/// under the same name. That life knows no fencing token: the first call to it has to bring a higher one
/// than the late order carries.
#[test]
fn new_life_of_a_minion_is_met_with_a_higher_fencing_token() {
    let mut bench = Bench::new();
    bench.order(1, 1);
    bench.answer_start(OrderAnswer::NoAnswer);
    let before = bench.starts.iter().map(|call| call.fencing_token).max();
    bench.born_ms = 90_000;
    bench.report();
    bench.advance(MS);
    let hold = bench.holds.last().expect("the new life is asked at once");
    assert!(Some(hold.fencing_token) > before, "{hold:?}, {before:?}");
}

#[test]
fn new_life_that_is_seen_in_the_lists_first_is_met_with_a_higher_fencing_token() {
    let mut bench = Bench::new();
    bench.order(1, 1);
    bench.answer_start(OrderAnswer::NoAnswer);
    let before = bench.starts.iter().map(|call| call.fencing_token).max();
    bench.born_ms = 90_000;
    bench.clock_ms = 10;
    bench.advance(MS);
    bench.answer_hold(Vec::new(), Vec::new());
    bench.advance(MS);
    let hold = bench
        .holds
        .last()
        .expect("the new life is asked again at once");
    assert!(Some(hold.fencing_token) > before, "{hold:?}, {before:?}");
}
