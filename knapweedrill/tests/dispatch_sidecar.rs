//! Tests of the sidecar state machine against a scripted minion.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::{
    Message, MinionAvailability, MinionProfile, PlacementOutcome, RefusalCause, RunEnd, StartOrder,
};
use knapweedrill::dispatch::sidecar::{
    EndKind, EndedRun, HoldAnswer, HoldCall, HoldFailure, MinionHeartbeat, OrderAnswer, RunKey,
    Sidecar, SidecarAction, SidecarSettings, StartCall, StopCall, first_fencing_token,
};
use knapweedrill::dispatch::{JobName, Resources, TaskName};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);
const ENTRY: u64 = 7;

struct Fixture {
    now: Instant,
    clock_ms: u64,
    /// How much slower than real time the minion's clock runs, in thousandths.
    clock_drift_permille: u32,
    /// The part of `clock_ms` that is less than a millisecond.
    clock_remainder: Duration,
    started_unix_ms: u64,
    sidecar: Sidecar,
    starts: Vec<StartCall>,
    stops: Vec<StopCall>,
    holds: Vec<HoldCall>,
    outcomes: Vec<PlacementOutcome>,
}

impl Fixture {
    /// Creates a sidecar with one connected entry and a minion that has resources for ten tasks.
    fn new() -> Self {
        let mut fixture = Self::with_unanswered_minion(1);
        fixture.advance(MS);
        fixture.answer_hold(Vec::new(), Vec::new());
        fixture.advance(MS);
        fixture
    }

    /// Creates a sidecar with this fencing token whose minion has not answered a call yet.
    fn with_unanswered_minion(fencing_token: u64) -> Self {
        let now = Instant::now();
        let mut fixture = Self {
            now,
            clock_ms: 1_000,
            clock_drift_permille: 0,
            clock_remainder: Duration::ZERO,
            started_unix_ms: 50,
            sidecar: Sidecar::new(SidecarSettings::default(), fencing_token),
            starts: Vec::new(),
            stops: Vec::new(),
            holds: Vec::new(),
            outcomes: Vec::new(),
        };
        fixture.sidecar.entry_connected(ENTRY, now);
        fixture.send_heartbeat();
        fixture
    }

    fn send_heartbeat(&mut self) {
        self.send_heartbeat_with(|_| {});
    }

    /// Sends a heartbeat of the minion that `change` may alter.
    fn send_heartbeat_with(&mut self, change: impl FnOnce(&mut MinionHeartbeat)) {
        let mut heartbeat = MinionHeartbeat {
            profile: MinionProfile {
                instance: "minion".into(),
                service: "service".into(),
                capacity: resources(10),
                labels: Vec::new(),
                failure_domain: String::new(),
            },
            started_unix_ms: self.started_unix_ms,
            sequence: 1,
            is_draining: false,
        };
        change(&mut heartbeat);
        self.sidecar.heartbeat_received(heartbeat, self.now);
    }

    fn availability(&self) -> MinionAvailability {
        self.sidecar.status().availability
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        self.clock_remainder += by - by * self.clock_drift_permille / 1_000;
        self.clock_ms += self.clock_remainder.as_millis() as u64;
        self.clock_remainder -= Duration::from_millis(self.clock_remainder.as_millis() as u64);
        self.sidecar.entry_alive(ENTRY, self.now);
        self.sidecar.tick(self.now);
        self.collect_actions();
    }

    fn collect_actions(&mut self) {
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

    fn order_start(&mut self, index: u32, attempt: u64) {
        self.order_start_with(index, attempt, |_| {});
    }

    /// Orders a start that `change` may alter.
    fn order_start_with(&mut self, index: u32, attempt: u64, change: impl FnOnce(&mut StartOrder)) {
        let mut order = start_order(index, attempt);
        change(&mut order);
        self.sidecar.start(ENTRY, order, self.now, self.now);
        self.collect_actions();
    }

    /// Returns the end of the run in the only outcome that was reported.
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
        self.collect_actions();
    }

    /// Answers starts after 2 ms each, so that the response time of the minion is known.
    fn answer_several_starts(&mut self) {
        for index in 0..20 {
            self.order_start(50, index + 1);
            self.advance(2 * MS);
            self.answer_start(OrderAnswer::NoRoom);
        }
        self.outcomes.clear();
    }

    fn answer_stop(&mut self, answer: OrderAnswer) {
        let call = self.stops.last().expect("a stop was ordered").call;
        self.sidecar.stop_answered(call, answer, None, self.now);
        self.collect_actions();
    }

    /// Lets 2 s pass in which the minion answers holds but no stop order, and has these runs until
    /// their lease expires. Returns the latest lease end that a call carried until then.
    fn latest_lease_end_without_answered_stops(&mut self, running: &[(RunKey, u8)]) -> u64 {
        let mut latest_ms = self.latest_lease_end();
        for _ in 0..200 {
            self.advance(10 * MS);
            if self.clock_ms > latest_ms {
                break;
            }
            latest_ms = latest_ms.max(self.latest_lease_end());
            self.answer_hold(running.to_vec(), Vec::new());
            for stop in std::mem::take(&mut self.stops) {
                self.sidecar
                    .stop_answered(stop.call, OrderAnswer::NoAnswer, None, self.now);
            }
        }
        latest_ms
    }

    /// Returns the latest lease end that a call to the minion has carried.
    fn latest_lease_end(&self) -> u64 {
        let starts = self.starts.iter().map(|call| call.lease_end_ms);
        let holds = self.holds.iter().filter_map(|call| call.lease_end_ms);
        starts.chain(holds).max().unwrap_or(0)
    }

    fn fail_hold(&mut self) {
        let call = self.holds.last().expect("a hold was sent").call;
        self.sidecar.hold_answered(call, None, self.now);
        self.collect_actions();
    }

    /// Lets the connection for the last hold call be refused.
    fn refuse_hold(&mut self) {
        let call = self.holds.last().expect("a hold was sent").call;
        self.sidecar
            .hold_failed(call, HoldFailure::Refused, self.now);
        self.collect_actions();
    }

    /// Lets the connection for the last hold call fail on the sidecar's own machine.
    fn fail_to_connect(&mut self) {
        let call = self.last_hold().call;
        self.sidecar
            .hold_failed(call, HoldFailure::NotSent, self.now);
        self.collect_actions();
    }

    /// Lets another incarnation than the addressed one answer the last hold call.
    fn displace_hold(&mut self) {
        let call = self.last_hold().call;
        self.sidecar
            .hold_failed(call, HoldFailure::OtherIncarnation, self.now);
        self.collect_actions();
    }

    fn instance(&self) -> Option<&str> {
        let minion = self.sidecar.minion();
        minion.map(|minion| minion.instance.as_str())
    }

    fn answer_hold(&mut self, running: Vec<(RunKey, u8)>, ended: Vec<EndedRun>) {
        self.answer_hold_with(|answer| {
            answer.running = running;
            answer.ended = ended;
        });
    }

    /// Answers the last hold call with empty lists that `change` may alter.
    fn answer_hold_with(&mut self, change: impl FnOnce(&mut HoldAnswer)) {
        let mut answer = HoldAnswer {
            started_unix_ms: self.started_unix_ms,
            clock_ms: self.clock_ms,
            running: Vec::new(),
            ended: Vec::new(),
            has_more: false,
            malformed_ends: Vec::new(),
        };
        change(&mut answer);
        let call = self.last_hold().call;
        self.sidecar.hold_answered(call, Some(answer), self.now);
        self.collect_actions();
    }

    /// Lets 500 ms pass in which the minion has these runs, after which no lease that earlier orders
    /// have granted a restarted minion is longer than a new one.
    fn outlast_earlier_leases(&mut self, running: &[(RunKey, u8)]) {
        assert_eq!(self.availability(), MinionAvailability::Unavailable);
        for _ in 0..50 {
            self.advance(10 * MS);
            self.answer_hold(running.to_vec(), Vec::new());
        }
    }

    fn last_hold(&self) -> &HoldCall {
        self.holds.last().expect("a hold was sent")
    }
}

fn resources(tasks: u32) -> Resources {
    Resources {
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
        resources: resources(1),
        estimate: 40 * MS,
        is_movable: true,
        queue: 1,
        is_trial: false,
        service: "service".into(),
        required_label: None,
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
fn run_that_began_late_is_not_treated_as_stalled() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    for _ in 0..2 {
        fixture.advance(42 * MS);
        fixture.answer_start(OrderAnswer::NoAnswer);
    }
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(5 * MS);
    fixture.answer_hold(vec![(run(0), 6)], Vec::new());
    assert_eq!(fixture.stops.len(), 0);
}

#[test]
fn stalled_run_is_stopped_and_reported_to_its_entry() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(90 * MS);
    fixture.answer_hold(vec![(run(0), 1)], Vec::new());
    assert_eq!(fixture.stops.len(), 1);
    fixture.advance(20 * MS);
    let ended = EndedRun {
        number: 1,
        run: run(0),
        kind: EndKind::Stopped,
    };
    fixture.answer_hold(Vec::new(), vec![ended]);
    let end = fixture.only_end();
    assert_eq!(end, RunEnd::Stopped);
}

#[test]
fn start_without_an_answer_is_repeated_with_the_same_run_number() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.advance(40 * MS);
    fixture.answer_start(OrderAnswer::NoAnswer);
    assert_eq!(fixture.starts.len(), 2);
    assert_eq!(fixture.starts[0].run, fixture.starts[1].run);
    // The first order was carried out, and its run has ended since.
    fixture.answer_start(OrderAnswer::Superseded);
    assert_eq!(fixture.starts.len(), 2);
    assert_eq!(fixture.outcomes, []);
}

#[test]
fn run_number_is_raised_if_the_minion_has_seen_it_from_another_process() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Superseded);
    assert!(fixture.starts[1].run.number > fixture.starts[0].run.number);
}

#[test]
fn fencing_token_is_raised_after_a_fenced_start() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Fenced);
    assert!(fixture.starts[1].fencing_token > fixture.starts[0].fencing_token);
}

#[test]
fn refusal_by_the_minion_is_reported_only_if_the_run_cannot_have_started() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::NoRoom);
    assert_eq!(
        fixture.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NoRoom)]
    );
    fixture.order_start(1, 2);
    fixture.advance(40 * MS);
    fixture.answer_start(OrderAnswer::NoAnswer);
    fixture.answer_start(OrderAnswer::NoRoom);
    assert_eq!(fixture.outcomes.len(), 1);
    assert_eq!(fixture.stops.len(), 1);
}

#[test]
fn runs_that_a_restarted_minion_has_accepted_are_not_reported_as_lost() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.order_start(1, 2);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(10 * MS);
    // The second start reached the new incarnation under the same instance name.
    fixture.started_unix_ms += 500;
    fixture.clock_ms = 30;
    fixture.send_heartbeat();
    fixture.advance(MS);
    fixture.answer_hold(vec![(run(1), 10)], Vec::new());
    let end = fixture.only_end();
    assert_eq!(end, RunEnd::Crashed);
    assert_eq!(fixture.sidecar.run_count(), 1);
}

/// Guards against a crash that looks like a lapse, so that entries start a deadly task again.
#[test]
fn crash_is_told_by_refused_connections_and_attributed_to_the_last_run() {
    let mut fixture = Fixture::new();
    for (index, queue) in [(0, 1), (1, 2)] {
        let mut order = start_order(index, u64::from(index) + 1);
        order.queue = queue;
        fixture
            .sidecar
            .start(ENTRY, order, fixture.now, fixture.now);
        fixture.collect_actions();
        fixture.answer_start(OrderAnswer::Accepted);
        fixture.advance(10 * MS);
    }
    for _ in 0..4 {
        let call = fixture.holds.last().expect("a hold was sent").call;
        fixture
            .sidecar
            .hold_failed(call, HoldFailure::Refused, fixture.now);
        fixture.advance(20 * MS);
    }
    let crashes = fixture.sidecar.status().crashes;
    assert_eq!((crashes.count, crashes.queue), (1, Some(2)));
    fixture.advance(700 * MS);
    let is_crash = |outcome: &PlacementOutcome| matches!(outcome, PlacementOutcome::Ended { end, .. } if *end == RunEnd::Crashed);
    assert_eq!(fixture.outcomes.len(), 2);
    assert!(
        fixture.outcomes.iter().all(is_crash),
        "{:?}",
        fixture.outcomes
    );
    // Its new incarnation is no further crash.
    fixture.started_unix_ms += 3_000;
    fixture.send_heartbeat();
    assert_eq!(fixture.sidecar.status().crashes.count, 1);
}

/// Guards against a crash that is seen where a minion only turns calls down or is silent.
#[test]
fn minion_that_leaves_calls_unanswered_has_not_crashed() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    for _ in 0..12 {
        fixture.advance(100 * MS);
        let call = fixture.holds.last().expect("a hold was sent").call;
        fixture
            .sidecar
            .hold_failed(call, HoldFailure::NoAnswer, fixture.now);
        fixture.advance(21 * MS);
    }
    assert_eq!(fixture.only_end(), RunEnd::Lost);
    assert_eq!(fixture.sidecar.status().crashes.count, 0);
}

/// Guards against a failure to connect on the sidecar's own machine, such as too many open
/// descriptors, that counts as a crash of the minion.
#[test]
fn minion_to_which_no_connection_can_be_made_has_not_crashed() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    for _ in 0..60 {
        fixture.advance(20 * MS);
        fixture.fail_to_connect();
    }
    assert_eq!(fixture.only_end(), RunEnd::Lost);
    assert_eq!(fixture.sidecar.status().crashes.count, 0);
}

/// Guards against a job on trial that takes the runs of other jobs down with it.
#[test]
fn job_on_trial_starts_only_where_no_other_job_runs() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    let mut order = start_order(0, 2);
    order.task.job = JobName(2);
    order.is_trial = true;
    fixture
        .sidecar
        .start(ENTRY, order.clone(), fixture.now, fixture.now);
    fixture.collect_actions();
    assert_eq!(
        fixture.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NotAlone)]
    );
    fixture.outcomes.clear();
    order.task = task(1);
    fixture
        .sidecar
        .start(ENTRY, order, fixture.now, fixture.now);
    fixture.collect_actions();
    assert_eq!(fixture.outcomes, [], "a task of the same job may start");
}

#[test]
fn lease_is_renewed_at_once_when_a_run_starts_during_an_idle_hold() {
    let mut fixture = Fixture::new();
    let idle = fixture.holds.last().expect("a hold was sent").clone();
    assert!(idle.wait_ms >= 1_000);
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    let renewing = fixture.holds.last().expect("a hold was sent");
    assert_ne!(renewing.call, idle.call);
    assert!(renewing.wait_ms < 550, "a lease lasts 550 ms");
}

#[test]
fn unreachable_minion_is_unavailable_and_its_runs_are_lost_after_their_lease() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    for _ in 0..12 {
        fixture.advance(100 * MS);
        let call = fixture.holds.last().expect("a hold was sent").call;
        fixture.sidecar.hold_answered(call, None, fixture.now);
        fixture.advance(21 * MS);
    }
    assert_eq!(
        fixture.sidecar.status().availability,
        MinionAvailability::Unavailable
    );
    let end = fixture.only_end();
    assert_eq!(end, RunEnd::Lost);
}

#[test]
fn stale_order_is_refused() {
    let mut fixture = Fixture::new();
    let stamped_at = fixture.now;
    fixture.now += 700 * MS;
    let order = start_order(0, 1);
    fixture.sidecar.start(ENTRY, order, stamped_at, fixture.now);
    fixture.collect_actions();
    assert_eq!(
        fixture.outcomes,
        [PlacementOutcome::Refused(RefusalCause::Stale)]
    );
    assert!(fixture.starts.is_empty());
}

#[test]
fn deregistration_of_a_minion_that_is_not_draining_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.sidecar.minion_left("minion", fixture.now);
    assert_eq!(
        fixture.sidecar.status().availability,
        MinionAvailability::Ready
    );
}

/// Returns a sidecar with a confirmed run, whose minion has just deregistered.
fn deregistered_minion_with_a_run() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.sequence = 30;
        heartbeat.is_draining = true;
    });
    fixture.sidecar.minion_left("minion", fixture.now);
    fixture.advance(MS);
    fixture
}

/// Guards against a task that is placed elsewhere while a minion that has deregistered still runs
/// it.
#[test]
fn runs_of_a_deregistered_minion_are_lost_once_it_refuses_connections() {
    let mut fixture = deregistered_minion_with_a_run();
    fixture.answer_hold(vec![(run(0), 60)], Vec::new());
    assert_eq!(fixture.availability(), MinionAvailability::Unavailable);
    assert!(fixture.outcomes.is_empty(), "{:?}", fixture.outcomes);
    for _ in 0..8 {
        fixture.refuse_hold();
        fixture.advance(20 * MS);
    }
    assert_eq!(fixture.only_end(), RunEnd::Lost);
    assert!(fixture.sidecar.minion().is_none());
}

/// Guards against a task that is placed elsewhere while a minion that has deregistered, and listens no
/// more, still stops its run.
#[test]
fn runs_of_a_deregistered_minion_are_kept_for_the_time_that_a_stop_takes() {
    let mut fixture = deregistered_minion_with_a_run();
    let refused_at = fixture.now;
    while fixture.outcomes.is_empty() {
        fixture.refuse_hold();
        fixture.advance(MS);
    }
    let kept_for = fixture.now - refused_at;
    assert!(kept_for >= 50 * MS, "{kept_for:?}");
    assert!(kept_for <= 100 * MS, "{kept_for:?}");
}

/// Guards against two runs of a task: an order without an answer is carried out after its run was
/// reported as over by its lease, on a lease that later orders have renewed.
#[test]
fn orders_that_follow_the_end_of_a_lease_fence_those_without_an_answer() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    let unanswered = fixture.starts.last().expect("a start was ordered").clone();
    fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now);
    fixture.collect_actions();
    while fixture.outcomes.is_empty() {
        fixture.advance(10 * MS);
        fixture.answer_hold(Vec::new(), Vec::new());
    }
    fixture.advance(MS);
    assert!(fixture.last_hold().fencing_token > unanswered.fencing_token);
}

/// Guards against a task that is placed elsewhere while a minion that has deregistered still runs
/// it, because no connection to it could be made.
#[test]
fn runs_of_a_deregistered_minion_are_kept_until_its_lease_ends_if_no_connection_can_be_made() {
    let mut fixture = deregistered_minion_with_a_run();
    let lease_end_ms = fixture.latest_lease_end();
    while fixture.clock_ms < lease_end_ms + 40 {
        fixture.fail_to_connect();
        assert_eq!(fixture.outcomes, [], "at {}", fixture.clock_ms);
        fixture.advance(10 * MS);
    }
    fixture.advance(100 * MS);
    assert_eq!(fixture.only_end(), RunEnd::Lost);
    assert!(fixture.sidecar.minion().is_none());
}

/// Guards against a lease that outlasts a deregistered minion that no longer answers.
#[test]
fn lease_of_a_deregistered_minion_is_not_renewed() {
    let mut fixture = deregistered_minion_with_a_run();
    let lease_end_ms = fixture.latest_lease_end();
    for _ in 0..10 {
        fixture.answer_hold(vec![(run(0), 60)], Vec::new());
        fixture.advance(20 * MS);
    }
    assert_eq!(fixture.latest_lease_end(), lease_end_ms);
}

/// Guards against moving runs too early, or when nearly done, on a minion that becomes seven times
/// slower.
#[test]
fn run_on_a_slow_minion_is_moved_only_between_grace_period_and_near_completion() {
    let stops_at = |age: Duration, percent| {
        let mut fixture = Fixture::new();
        fixture.order_start(0, 1);
        fixture.answer_start(OrderAnswer::Accepted);
        fixture.advance(age);
        fixture.answer_hold(vec![(run(0), percent)], Vec::new());
        fixture.stops.len()
    };
    assert_eq!(stops_at(70 * MS, 10), 0, "within the grace period");
    assert_eq!(stops_at(84 * MS, 30), 1, "stalled, seven times slower");
    assert_eq!(stops_at(200 * MS, 60), 0, "slow, but nearly done");
}

/// A minion that crashes while its runs are being stopped refuses connections at once. Guards
/// against a busy loop of stop orders.
#[test]
fn stops_are_not_repeated_while_the_minion_is_unreachable() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now);
    fixture.collect_actions();
    fixture.fail_hold();
    for _ in 0..30 {
        fixture.answer_stop(OrderAnswer::NotSent);
        fixture.advance(MS);
    }
    assert_eq!(fixture.stops.len(), 1);
}

/// The minion leaves one stop order unanswered and answers all other calls.
#[test]
fn stop_without_an_answer_is_repeated_after_a_pause() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now);
    fixture.collect_actions();
    fixture.answer_stop(OrderAnswer::NoAnswer);
    fixture.advance(10 * MS);
    assert_eq!(fixture.stops.len(), 1);
    fixture.advance(11 * MS);
    assert_eq!(fixture.stops.len(), 2);
}

/// A minion that is down refuses connections at once. Guards against a busy loop of hold calls.
#[test]
fn hold_calls_to_a_minion_that_is_down_back_off() {
    let mut fixture = Fixture::new();
    for _ in 0..1_000 {
        fixture.fail_hold();
        fixture.advance(MS);
    }
    assert!(
        fixture.holds.len() < 14,
        "{} calls in 1 s",
        fixture.holds.len()
    );
}

#[test]
fn start_that_was_not_sent_is_refused_at_once() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::NotSent);
    assert_eq!(
        fixture.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NoMinion)]
    );
}

/// A minion that leaves calls unanswered leaves checks of new connections unanswered too. Guards
/// against a task that is moved at the first loss, and against a stop of a run that was not ordered.
#[test]
fn start_on_an_unchecked_connection_is_repeated_for_a_while_and_then_refused() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    for repeated in 1..=3 {
        fixture.advance(20 * MS);
        fixture.answer_start(OrderAnswer::Unchecked);
        assert_eq!(fixture.starts.len(), 1 + repeated);
    }
    assert!(fixture.outcomes.is_empty());
    fixture.advance(100 * MS);
    fixture.answer_start(OrderAnswer::Unchecked);
    assert_eq!(
        fixture.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NoMinion)]
    );
    assert!(fixture.stops.is_empty());
}

/// Some answers of the minion are lost, including those that report ended runs.
#[test]
fn hold_wait_is_shorter_while_answers_are_lost() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    let usual_ms = fixture.holds.last().expect("a hold was sent").wait_ms;
    fixture.fail_hold();
    fixture.advance(21 * MS);
    fixture.answer_hold(vec![(run(0), 10)], Vec::new());
    fixture.advance(MS);
    let lossy_ms = fixture.holds.last().expect("a hold was sent").wait_ms;
    assert!(lossy_ms * 5 < usual_ms, "{lossy_ms} of {usual_ms}");
    for _ in 0..200 {
        fixture.advance(10 * MS);
        fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    }
    fixture.advance(MS);
    assert_eq!(
        fixture.holds.last().expect("a hold was sent").wait_ms,
        usual_ms
    );
}

/// An order without an answer may be carried out seconds later by the next incarnation of the
/// minion under the same instance name, which has not seen any fencing token. The first call to it
/// has to carry a higher token than the late order.
#[test]
fn new_life_of_a_minion_is_met_with_a_higher_fencing_token() {
    let mut fixture = Fixture::new();
    fixture.order_start(1, 1);
    fixture.answer_start(OrderAnswer::NoAnswer);
    let before = fixture.starts.iter().map(|call| call.fencing_token).max();
    fixture.started_unix_ms = 90_000;
    fixture.send_heartbeat();
    fixture.advance(MS);
    let hold = fixture
        .holds
        .last()
        .expect("the new incarnation gets a hold call at once");
    assert!(Some(hold.fencing_token) > before, "{hold:?}, {before:?}");
}

#[test]
fn new_life_that_is_seen_in_the_lists_first_is_met_with_a_higher_fencing_token() {
    let mut fixture = Fixture::new();
    fixture.order_start(1, 1);
    fixture.answer_start(OrderAnswer::NoAnswer);
    let before = fixture.starts.iter().map(|call| call.fencing_token).max();
    fixture.started_unix_ms = 90_000;
    fixture.clock_ms = 10;
    fixture.advance(MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    fixture.advance(MS);
    let hold = fixture
        .holds
        .last()
        .expect("the new incarnation gets another hold call at once");
    assert!(Some(hold.fencing_token) > before, "{hold:?}, {before:?}");
}

/// Half of the calls are lost, which makes several in a row common. The minion works all the while.
#[test]
fn minion_that_loses_several_hold_answers_in_a_row_stays_available() {
    let mut fixture = Fixture::new();
    fixture.answer_several_starts();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    for lost_count in [1, 1, 2, 1, 3, 1, 2, 1, 5, 1, 1, 2, 5] {
        for _ in 0..lost_count {
            let hold = fixture.holds.last().expect("a hold was sent");
            fixture.advance(hold.timeout + Duration::from_millis(hold.wait_ms));
            fixture.fail_hold();
            fixture.advance(MS);
        }
        assert_eq!(
            fixture.sidecar.status().availability,
            MinionAvailability::Ready
        );
        fixture.answer_hold(vec![(run(0), 50)], Vec::new());
        fixture.advance(MS);
    }
}

/// The minion leaves orders unanswered but works; an order that gets through in time saves the
/// placement.
#[test]
fn start_is_repeated_for_160_ms_and_then_stopped() {
    let mut fixture = Fixture::new();
    let ordered_at = fixture.now;
    fixture.order_start(0, 1);
    while fixture.stops.is_empty() {
        let timeout = fixture.starts.last().expect("a start was ordered").timeout;
        fixture.advance(timeout);
        fixture.answer_start(OrderAnswer::NoAnswer);
    }
    let repeated_for = fixture.now - ordered_at;
    assert!(
        (160 * MS..240 * MS).contains(&repeated_for),
        "{repeated_for:?}"
    );
    assert!(fixture.starts.len() >= 4, "{} orders", fixture.starts.len());
}

/// A quarter of the orders is lost; waiting for 40 ms each time makes urgent tasks late.
#[test]
fn lost_start_is_repeated_soon_while_many_are_lost() {
    let mut fixture = Fixture::new();
    fixture.answer_several_starts();
    for index in 0..10 {
        fixture.order_start(index, u64::from(index) + 100);
        fixture.advance(40 * MS);
        fixture.answer_start(OrderAnswer::NoAnswer);
        for _ in 0..3 {
            fixture.order_start(50, 100);
            fixture.answer_start(OrderAnswer::NoRoom);
        }
    }
    let order = fixture.starts.last().expect("a start was ordered");
    assert!(order.timeout <= 16 * MS, "{:?}", order.timeout);
}

/// A minion that crashed refuses connections at once, which leaves no doubt that it is away.
#[test]
fn minion_that_refuses_connections_is_unavailable_after_three_calls() {
    let mut fixture = Fixture::new();
    for _ in 0..3 {
        fixture.fail_hold();
        fixture.advance(20 * MS);
    }
    assert_eq!(
        fixture.sidecar.status().availability,
        MinionAvailability::Unavailable
    );
}

/// Guards against leases that grow with the uptime of a minion whose clock is slow: the runs of a
/// lost entry then outlast the delay after which callers resubmit, and a task runs twice.
#[test]
fn lease_on_a_slow_clock_stays_as_short_as_on_an_exact_one() {
    let mut fixture = Fixture::new();
    fixture.clock_drift_permille = 20;
    let lease_ms = SidecarSettings::default().lease.as_millis() as u64;
    let mut longest_ms = 0;
    for _ in 0..300 {
        fixture.advance(137 * MS);
        fixture.answer_hold(Vec::new(), Vec::new());
        fixture.advance(MS);
        let hold = fixture.holds.last().expect("a hold was sent");
        let end_ms = hold.lease_end_ms.expect("the hold renews the lease");
        longest_ms = longest_ms.max(end_ms - fixture.clock_ms);
    }
    assert!(longest_ms <= lease_ms, "lease of {longest_ms} ms");
}

/// Guards against a run that outlives its entry because holds renew the lease while stop orders get
/// no answer: the task then runs a second time at the entry to which its caller returns.
#[test_case(|fixture| fixture.sidecar.entry_disconnected(ENTRY, fixture.now); "entry gone")]
#[test_case(|fixture| fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now); "task given up")]
fn lease_is_not_renewed_while_the_stop_of_an_abandoned_run_has_no_answer(
    abandon: impl Fn(&mut Fixture),
) {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(100 * MS);
    fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    let lease_ms = SidecarSettings::default().lease.as_millis() as u64;
    let bound_ms = fixture.clock_ms + lease_ms;
    abandon(&mut fixture);
    fixture.collect_actions();
    fixture.sidecar.entry_connected(ENTRY + 1, fixture.now);
    let order = start_order(1, 2);
    fixture
        .sidecar
        .start(ENTRY + 1, order, fixture.now, fixture.now);
    fixture.collect_actions();
    let latest_ms = fixture.latest_lease_end_without_answered_stops(&[(run(0), 50)]);
    assert!(
        latest_ms <= bound_ms,
        "renewed {} ms too long",
        latest_ms - bound_ms
    );
}

/// The lease is that of all runs of the minion, so it is renewed again as soon as the abandoned run
/// has certainly ended: by an answer to its stop, or because no order can start it any more.
#[test]
fn lease_is_renewed_again_after_the_abandoned_run_has_ended() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now);
    fixture.collect_actions();
    fixture.advance(10 * MS);
    fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    fixture.advance(MS);
    assert_eq!(fixture.holds.last().expect("a hold").lease_end_ms, None);
    fixture.answer_stop(OrderAnswer::Accepted);
    fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    fixture.advance(MS);
    assert!(fixture.holds.last().expect("a hold").lease_end_ms.is_some());
}

#[test]
fn abandoned_run_without_any_answer_is_reported_once_its_lease_is_over() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now);
    fixture.collect_actions();
    let settings = SidecarSettings::default();
    let lease_and_stop = settings.lease + settings.run_stop_time_max;
    let abandoned_at = fixture.now;
    while fixture.outcomes.is_empty() {
        fixture.advance(10 * MS);
        fixture.answer_hold(Vec::new(), Vec::new());
        assert!(fixture.now < abandoned_at + 1_000 * MS);
    }
    assert!(fixture.now >= abandoned_at + lease_and_stop);
    assert_eq!(fixture.only_end(), RunEnd::Stopped);
    fixture.advance(MS);
    assert_eq!(
        fixture.sidecar.status().availability,
        MinionAvailability::Ready
    );
}

/// Guards against leases on the clock of the last incarnation of a minion, which is far ahead of
/// that of the next: the minion shortens them to its longest lease only, and a run outlives the
/// return of its caller.
#[test]
fn answer_of_the_last_incarnation_sets_no_clock_of_the_next() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    let call = fixture.starts.last().expect("a start was ordered").call;
    fixture.started_unix_ms = 90_000;
    fixture.send_heartbeat();
    let old_clock_ms = Some(50_000);
    let answer = OrderAnswer::Accepted;
    fixture
        .sidecar
        .start_answered(call, answer, old_clock_ms, fixture.now);
    fixture.clock_ms = 10;
    fixture.advance(MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    fixture.advance(MS);
    let hold = fixture.holds.last().expect("a hold was sent");
    let lease_ms = SidecarSettings::default().lease.as_millis() as u64;
    assert!(hold.lease_end_ms <= Some(fixture.clock_ms + lease_ms));
}

fn ended_run(number: u64, index: u32) -> EndedRun {
    EndedRun {
        number,
        run: run(index),
        kind: EndKind::Done,
    }
}

/// Guards against a malformed end that is reported again by each hold call, which then never waits.
#[test]
fn malformed_end_is_acknowledged_by_its_number() {
    let mut fixture = Fixture::new();
    fixture.answer_hold_with(|answer| answer.malformed_ends = vec![Some(3)]);
    fixture.advance(MS);
    assert_eq!(fixture.last_hold().acknowledged_end, 3);
}

/// Guards against hold calls in quick succession while the minion reports an end that can't be
/// acknowledged.
#[test_case(vec![None], Vec::new(); "malformed end without a number")]
#[test_case(vec![Some(u64::MAX)], Vec::new(); "malformed end with a number out of range")]
#[test_case(Vec::new(), vec![ended_run(u64::MAX, 5)]; "end with a number out of range")]
fn hold_calls_pause_while_an_end_is_not_acknowledged(
    malformed_ends: Vec<Option<u64>>,
    ended: Vec<EndedRun>,
) {
    let mut fixture = Fixture::new();
    let before = fixture.holds.len();
    for _ in 0..200 {
        fixture.answer_hold_with(|answer| {
            answer.malformed_ends.clone_from(&malformed_ends);
            answer.ended.clone_from(&ended);
        });
        fixture.advance(MS);
    }
    let count = fixture.holds.len() - before;
    assert!((5..=20).contains(&count), "{count} calls in 200 ms");
}

/// Guards against an odd end that hides those after it: once its number is acknowledged, the minion
/// forgets them.
#[test_case(u64::MAX, 1; "first end")]
#[test_case(u64::MAX, 9; "later end")]
#[test_case(40_000_000, 9; "far ahead")]
fn end_with_a_number_out_of_range_hides_no_later_one(odd: u64, number: u64) {
    let mut fixture = Fixture::new();
    if number > 1 {
        fixture.answer_hold_with(|answer| answer.ended = vec![ended_run(number - 1, 5)]);
        fixture.advance(MS);
    }
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    fixture.answer_hold_with(|answer| {
        answer.running = vec![(run(0), 50)];
        answer.ended = vec![ended_run(odd, 6)];
    });
    fixture.advance(100 * MS);
    assert!(fixture.last_hold().acknowledged_end < number);
    fixture.answer_hold_with(|answer| {
        answer.ended = vec![ended_run(number, 0), ended_run(odd, 6)];
    });
    assert_eq!(fixture.only_end(), RunEnd::Done);
}

/// Guards against an end of an earlier sidecar process that settles a run of this one, which has the
/// same number and whose order the minion has yet to answer.
#[test_case(EndKind::Done; "done")]
#[test_case(EndKind::Failed; "failed")]
#[test_case(EndKind::Lapsed; "lapsed")]
fn minion_takes_no_runs_before_the_ends_of_an_earlier_process_have_been_read(kind: EndKind) {
    let mut fixture = Fixture::new();
    fixture.displace_hold();
    fixture.send_heartbeat_with(|heartbeat| heartbeat.profile.instance = "next".into());
    fixture.advance(MS);
    fixture.answer_hold_with(|answer| {
        answer.ended = vec![ended_run(500, 9)];
        answer.has_more = true;
    });
    fixture.advance(MS);
    fixture.order_start(0, 1);
    let refused = [PlacementOutcome::Refused(RefusalCause::NoMinion)];
    assert_eq!(fixture.outcomes, refused);
    fixture.answer_hold_with(|answer| {
        answer.ended = vec![EndedRun {
            kind,
            ..ended_run(501, 0)
        }];
    });
    fixture.order_start(0, 2);
    fixture.answer_start(OrderAnswer::Superseded);
    let renumbered = fixture.starts.last().expect("a start was ordered").run;
    assert!(renumbered.number > run(0).number);
    fixture.answer_start(OrderAnswer::Accepted);
    assert_eq!(fixture.sidecar.run_count(), 1);
    assert_eq!(fixture.outcomes, refused);
}

/// Guards against a minion that is shut out because its answers are never complete.
#[test]
fn minion_with_a_malformed_row_in_each_answer_is_served() {
    let mut fixture = Fixture::new();
    fixture.displace_hold();
    fixture.send_heartbeat_with(|heartbeat| heartbeat.profile.instance = "next".into());
    for _ in 0..2 {
        fixture.advance(20 * MS);
        fixture.answer_hold_with(|answer| {
            answer.ended = vec![ended_run(1, 9), ended_run(u64::MAX, 8)];
            answer.has_more = true;
        });
    }
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
}

/// Guards against ends that the next incarnation of a minion forgets before they have been read, as a
/// call acknowledges those of the last one. The first call after a broken one may reach it.
#[test]
fn call_to_an_unconfirmed_incarnation_acknowledges_no_ends() {
    let mut fixture = Fixture::new();
    fixture.answer_hold(Vec::new(), vec![ended_run(7, 0)]);
    fixture.advance(MS);
    assert_eq!(fixture.last_hold().acknowledged_end, 7);
    fixture.advance(MS);
    fixture.fail_hold();
    fixture.advance(20 * MS);
    assert_eq!(fixture.last_hold().acknowledged_end, 0);
    fixture.answer_hold(Vec::new(), vec![ended_run(8, 1)]);
    fixture.advance(MS);
    assert_eq!(fixture.last_hold().acknowledged_end, 8);
}

/// Guards against an odd sequence number that makes all later heartbeats look late.
#[test]
fn heartbeat_after_one_with_an_odd_sequence_number_is_applied() {
    let mut fixture = Fixture::new();
    fixture.send_heartbeat_with(|heartbeat| heartbeat.sequence = u64::MAX);
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.sequence = 7;
        heartbeat.is_draining = true;
    });
    assert_eq!(fixture.availability(), MinionAvailability::Unavailable);
}

#[test]
fn late_heartbeat_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.send_heartbeat_with(|heartbeat| heartbeat.sequence = 30);
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.sequence = 29;
        heartbeat.is_draining = true;
    });
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
}

/// Guards against an odd start time that makes the minion look like its own predecessor for good.
#[test]
fn minion_is_served_after_a_heartbeat_with_a_start_in_the_future() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    fixture.send_heartbeat_with(|heartbeat| heartbeat.started_unix_ms = u64::MAX);
    fixture.advance(MS);
    fixture.answer_hold(vec![(run(0), 20)], Vec::new());
    fixture.send_heartbeat_with(|heartbeat| heartbeat.sequence = 9);
    fixture.advance(MS);
    fixture.outlast_earlier_leases(&[(run(0), 90)]);
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
    assert_eq!(fixture.sidecar.run_count(), 1);
    assert_eq!(fixture.outcomes, []);
}

/// Guards against an odd start time in an answer, after which no other answer would be accepted.
#[test]
fn minion_is_served_after_an_answer_with_a_start_in_the_future() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    fixture.answer_hold_with(|answer| {
        answer.started_unix_ms = u64::MAX;
        answer.running = vec![(run(0), 20)];
    });
    fixture.advance(MS);
    fixture.answer_hold(vec![(run(0), 20)], Vec::new());
    fixture.send_heartbeat_with(|heartbeat| heartbeat.sequence = 9);
    fixture.outlast_earlier_leases(&[(run(0), 90)]);
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
    assert_eq!(fixture.outcomes, []);
}

/// Guards against taking the answer to an abandoned call for one of the current incarnation.
#[test]
fn answer_to_a_call_before_the_restart_is_ignored() {
    let mut fixture = Fixture::new();
    let call = fixture.last_hold().call;
    fixture.started_unix_ms = 90_000;
    fixture.send_heartbeat();
    let answer = HoldAnswer {
        started_unix_ms: 50,
        clock_ms: 1_000,
        running: Vec::new(),
        ended: Vec::new(),
        has_more: false,
        malformed_ends: Vec::new(),
    };
    let now = fixture.now;
    fixture.sidecar.hold_answered(call, Some(answer), now);
    assert_eq!(fixture.availability(), MinionAvailability::Unavailable);
    fixture.advance(MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    fixture.outlast_earlier_leases(&[]);
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
}

/// Guards against a minion that is shut out by the heartbeat of another instance that claims a later
/// start and never answers, although the minion does not answer for a while either.
#[test]
fn instance_that_does_not_answer_shuts_no_minion_out() {
    let mut fixture = Fixture::new();
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.profile.instance = "other".into();
        heartbeat.started_unix_ms = u64::MAX;
    });
    for _ in 0..3 {
        fixture.advance(20 * MS);
        fixture.fail_hold();
    }
    assert_eq!(fixture.instance(), Some("minion"));
    fixture.send_heartbeat_with(|heartbeat| heartbeat.sequence = 9);
    fixture.advance(100 * MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.instance(), Some("minion"));
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
}

/// Guards against tasks that are placed again while their minion still runs them, because another
/// instance reports: the successor of a minion that drains, a writer of odd heartbeats, or a
/// heartbeat that was delayed while the wall clock was set back between two starts.
#[test_case(90_000, true; "successor of a draining minion")]
#[test_case(90_000, false; "later start")]
#[test_case(50, false; "same start")]
#[test_case(u64::MAX, false; "start in the future")]
fn heartbeat_of_another_instance_settles_no_runs_of_a_minion_that_answers(
    started_unix_ms: u64,
    is_draining: bool,
) {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.order_start(1, 2);
    fixture.advance(MS);
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.sequence = 30;
        heartbeat.is_draining = is_draining;
    });
    for sequence in 1..4 {
        fixture.send_heartbeat_with(|heartbeat| {
            heartbeat.profile.instance = "another".into();
            heartbeat.started_unix_ms = started_unix_ms;
            heartbeat.sequence = sequence;
        });
        fixture.advance(MS);
        fixture.answer_hold(vec![(run(0), 50), (run(1), 50)], Vec::new());
        fixture.advance(100 * MS);
    }
    fixture.answer_start(OrderAnswer::Accepted);
    assert_eq!(fixture.outcomes, []);
    assert_eq!(fixture.sidecar.run_count(), 2);
    assert_eq!(fixture.sidecar.status().crashes.count, 0);
    assert_eq!(fixture.instance(), Some("minion"));
    fixture.advance(MS);
    fixture.answer_hold(Vec::new(), vec![ended_run(1, 0), ended_run(2, 1)]);
    assert_eq!(fixture.outcomes.len(), 2);
    let has_succeeded = |outcome: &PlacementOutcome| matches!(outcome, PlacementOutcome::Ended { end, .. } if *end == RunEnd::Done);
    assert!(
        fixture.outcomes.iter().all(has_succeeded),
        "{:?}",
        fixture.outcomes
    );
}

/// Returns a sidecar with a confirmed run, beside whose minion another instance has just reported.
fn reported_successor_beside_a_run() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(10 * MS);
    fixture.started_unix_ms = 90_000;
    fixture.send_heartbeat_with(|heartbeat| heartbeat.profile.instance = "successor".into());
    fixture.advance(MS);
    fixture
}

/// Guards against a minion that restarted under another name and is served only after its next
/// heartbeat, or once the lease of its predecessor has ended.
#[test_case(true; "heartbeat first")]
#[test_case(false; "answer to a call first")]
fn successor_is_served_as_soon_as_it_answers_a_call_to_its_predecessor(is_heartbeat_first: bool) {
    let mut fixture = if is_heartbeat_first {
        reported_successor_beside_a_run()
    } else {
        let mut fixture = Fixture::new();
        fixture.order_start(0, 1);
        fixture.answer_start(OrderAnswer::Accepted);
        fixture.advance(MS);
        fixture
    };
    assert_eq!(fixture.outcomes, []);
    fixture.displace_hold();
    assert_eq!(fixture.only_end(), RunEnd::Crashed);
    assert_eq!(fixture.availability(), MinionAvailability::Unavailable);
    if !is_heartbeat_first {
        fixture.started_unix_ms = 90_000;
        fixture.send_heartbeat_with(|heartbeat| heartbeat.profile.instance = "successor".into());
    }
    assert_eq!(fixture.instance(), Some("successor"));
    fixture.advance(MS);
    assert_eq!(fixture.last_hold().instance, "successor");
    fixture.clock_ms = 10;
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
    assert_eq!(fixture.sidecar.status().crashes.count, 1);
}

/// Guards against a successor that is noticed only once a hold call to its predecessor times out.
#[test]
fn first_heartbeat_of_a_successor_asks_at_once_which_instance_is_there() {
    let fixture = reported_successor_beside_a_run();
    let hold = fixture.last_hold();
    assert_eq!((hold.instance.as_str(), hold.wait_ms), ("minion", 0));
    assert_eq!(hold.lease_end_ms, None);
}

/// Guards against a minion that is disturbed by each heartbeat of an instance that is not there.
#[test]
fn later_heartbeats_of_a_successor_cause_no_further_calls() {
    let mut fixture = reported_successor_beside_a_run();
    fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    fixture.advance(MS);
    let count = fixture.holds.len();
    for sequence in 2..20 {
        fixture.send_heartbeat_with(|heartbeat| {
            heartbeat.profile.instance = "successor".into();
            heartbeat.sequence = sequence;
        });
        fixture.advance(MS);
    }
    assert_eq!(fixture.holds.len(), count);
    assert_ne!(fixture.last_hold().lease_end_ms, None);
}

/// Guards against a successor that is taken over from a connection that was refused, which a living
/// minion's network may do as well, before the lease of the minion has ended.
#[test]
fn runs_of_a_minion_that_refuses_connections_last_until_its_lease_ends_beside_a_successor() {
    let mut fixture = reported_successor_beside_a_run();
    let lease_end_ms = fixture.latest_lease_end();
    while fixture.clock_ms < lease_end_ms + 40 {
        fixture.refuse_hold();
        assert_eq!(fixture.outcomes, [], "at {}", fixture.clock_ms);
        fixture.advance(10 * MS);
    }
    fixture.advance(100 * MS);
    assert_eq!(fixture.only_end(), RunEnd::Crashed);
    assert_eq!(fixture.instance(), Some("minion"));
    fixture.displace_hold();
    assert_eq!(fixture.instance(), Some("successor"));
}

/// Guards against a successor that waits for its next heartbeat after its predecessor has left.
#[test]
fn successor_of_a_deregistered_minion_is_served_once_that_has_ended() {
    let mut fixture = deregistered_minion_with_a_run();
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.profile.instance = "successor".into();
        heartbeat.started_unix_ms = 90_000;
    });
    fixture.advance(MS);
    fixture.answer_hold(vec![(run(0), 60)], Vec::new());
    assert_eq!(fixture.instance(), Some("minion"));
    fixture.advance(MS);
    fixture.answer_hold(Vec::new(), vec![ended_run(1, 0)]);
    assert_eq!(fixture.only_end(), RunEnd::Done);
    fixture.advance(MS);
    assert_eq!(fixture.instance(), Some("successor"));
}

/// Guards against a minion that is shut out for good by an instance that registered before it with a
/// later start: the minion answers in its place, at once or after a while without any answer.
#[test_case(0; "at once")]
#[test_case(3; "after calls without an answer")]
fn minion_replaces_a_registered_instance_that_does_not_answer(unanswered_count: u32) {
    let mut fixture = Fixture::new();
    fixture.displace_hold();
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.profile.instance = "odd".into();
        heartbeat.started_unix_ms = u64::MAX;
    });
    assert_eq!(fixture.instance(), Some("odd"));
    for _ in 0..unanswered_count {
        fixture.advance(20 * MS);
        fixture.fail_hold();
    }
    fixture.send_heartbeat_with(|heartbeat| heartbeat.sequence = 9);
    fixture.advance(MS);
    fixture.displace_hold();
    fixture.send_heartbeat_with(|heartbeat| heartbeat.sequence = 10);
    fixture.advance(MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.instance(), Some("minion"));
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
}

/// Guards against replacing a minion that is out of reach while it may still have runs.
#[test]
fn unreachable_minion_with_runs_is_not_replaced_by_an_earlier_one() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    for _ in 0..3 {
        fixture.advance(20 * MS);
        fixture.fail_hold();
    }
    assert_eq!(fixture.availability(), MinionAvailability::Unavailable);
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.profile.instance = "predecessor".into();
        heartbeat.started_unix_ms = 49;
    });
    assert_eq!(fixture.sidecar.run_count(), 1);
    assert_eq!(fixture.outcomes, []);
}

/// Guards against a reading of the clock that is far ahead: leases would last for as long as the
/// minion grants, and the runs of an unreachable minion would never count as ended.
#[test]
fn odd_reading_of_the_clock_is_corrected_by_the_next_answer() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    fixture.answer_hold_with(|answer| {
        answer.clock_ms = 90_000_000_000;
        answer.running = vec![(run(0), 20)];
    });
    fixture.advance(MS);
    fixture.answer_hold(vec![(run(0), 20)], Vec::new());
    fixture.order_start(1, 2);
    fixture.answer_start(OrderAnswer::Accepted);
    let lease_end_ms = fixture
        .starts
        .last()
        .expect("a start was ordered")
        .lease_end_ms;
    assert!(lease_end_ms <= fixture.clock_ms + 600, "{lease_end_ms}");
    for _ in 0..200 {
        fixture.advance(10 * MS);
        fixture.fail_hold();
    }
    assert_eq!(fixture.sidecar.run_count(), 0);
}

/// Guards against a restarted minion that is shut out, or whose runs never count as ended, because
/// the first reading of its clock is odd.
#[test_case(90_000_000; "a day ahead")]
#[test_case(u64::MAX; "out of range")]
fn restarted_minion_is_served_after_an_odd_reading_of_its_clock(odd_clock_ms: u64) {
    let mut fixture = Fixture::new();
    fixture.started_unix_ms += 1_000;
    fixture.clock_ms = 5;
    fixture.send_heartbeat();
    fixture.advance(MS);
    fixture.answer_hold_with(|answer| answer.clock_ms = odd_clock_ms);
    fixture.advance(MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    fixture.outlast_earlier_leases(&[]);
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
}

/// Guards against a lease that is renewed for a run of an earlier sidecar process, because an
/// answer that is not complete did not list it.
#[test]
fn incomplete_answer_does_not_end_orphaned_runs() {
    let mut fixture = Fixture::new();
    fixture.answer_hold(vec![(run(7), 20)], Vec::new());
    fixture.advance(MS);
    let lease_end_ms = fixture.latest_lease_end();
    fixture.answer_hold_with(|answer| answer.has_more = true);
    for _ in 0..10 {
        fixture.advance(20 * MS);
        fixture.answer_hold_with(|answer| answer.has_more = true);
    }
    assert_eq!(fixture.latest_lease_end(), lease_end_ms);
    fixture.advance(MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
}

/// Guards against two runs of a task that leave no trace: a run that is still at its minion after it
/// was reported as over must show in the metrics.
#[test]
fn run_that_was_reported_as_over_and_is_found_at_the_minion_is_counted() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now);
    fixture.collect_actions();
    while fixture.outcomes.is_empty() {
        fixture.advance(10 * MS);
        fixture.answer_hold(vec![(run(0), 20)], Vec::new());
    }
    assert_eq!(fixture.only_end(), RunEnd::Stopped);
    fixture.advance(MS);
    fixture.answer_hold(vec![(run(0), 20), (run(7), 20)], Vec::new());
    fixture.advance(MS);
    fixture.answer_hold(vec![(run(0), 20), (run(7), 20)], Vec::new());
    assert_eq!(fixture.sidecar.false_report_count(), 1);
}

/// Guards against late orders to a minion that has left, carried out by the next one of its name.
#[test]
fn minion_that_returns_under_its_name_gets_a_higher_fencing_token() {
    let mut fixture = Fixture::new();
    let token = fixture.last_hold().fencing_token;
    fixture.send_heartbeat_with(|heartbeat| {
        heartbeat.sequence = 30;
        heartbeat.is_draining = true;
    });
    fixture.sidecar.minion_left("minion", fixture.now);
    fixture.started_unix_ms += 1_000;
    fixture.send_heartbeat();
    fixture.advance(MS);
    assert!(fixture.last_hold().fencing_token > token);
}

/// Guards against a job that is shown as failed because minions crashed beside a task that they had
/// never started.
#[test]
fn run_that_the_minion_never_confirmed_is_no_confirmed_crash() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.order_start(1, 2);
    fixture.answer_start(OrderAnswer::NoAnswer);
    for _ in 0..4 {
        let call = fixture.holds.last().expect("a hold was sent").call;
        fixture
            .sidecar
            .hold_failed(call, HoldFailure::Refused, fixture.now);
        fixture.advance(20 * MS);
    }
    fixture.advance(700 * MS);
    let mut ends: Vec<RunEnd> = fixture
        .outcomes
        .iter()
        .filter_map(|outcome| match outcome {
            PlacementOutcome::Ended { end, .. } => Some(*end),
            PlacementOutcome::Refused(_) => None,
        })
        .collect();
    ends.sort_by_key(|end| *end == RunEnd::CrashedUnconfirmed);
    assert_eq!(ends, [RunEnd::Crashed, RunEnd::CrashedUnconfirmed]);
}

/// Guards against a run that goes on, with a lease that is renewed, because the minion turned its
/// stop order down.
#[test_case(OrderAnswer::Unhealthy; "unhealthy")]
#[test_case(OrderAnswer::Malformed; "unreadable answer")]
fn stop_that_the_minion_turned_down_is_repeated(answer: OrderAnswer) {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now);
    fixture.collect_actions();
    fixture.answer_stop(answer);
    fixture.advance(30 * MS);
    assert_eq!(fixture.stops.len(), 2);
}

/// Guards against a stop that counts for the next incarnation of a minion although the last one
/// answered it: the late start of the run is then never stopped.
#[test]
fn stop_answered_by_the_last_incarnation_is_repeated_to_the_next() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.sidecar.stop(ENTRY, task(0), 1, fixture.now);
    fixture.collect_actions();
    fixture.started_unix_ms = 90_000;
    fixture.send_heartbeat();
    fixture.answer_stop(OrderAnswer::Accepted);
    fixture.advance(30 * MS);
    fixture.answer_hold(vec![(run(0), 1)], Vec::new());
    fixture.advance(30 * MS);
    assert!(fixture.stops.len() >= 2, "{} stops", fixture.stops.len());
}

/// Guards against runs that are reported as ended before the next incarnation of their minion knows
/// a fencing token that keeps it from starting them late.
#[test]
fn restart_seen_in_a_hold_answer_settles_runs_only_with_the_next_answer() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(10 * MS);
    fixture.started_unix_ms = 90_000;
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.outcomes, []);
    fixture.advance(10 * MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.only_end(), RunEnd::Crashed);
}

/// Guards against a refusal that claims that a task never ran while an order for it was in flight.
#[test]
fn run_with_an_order_in_flight_is_not_refused_when_its_minion_is_replaced() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.started_unix_ms = 90_000;
    fixture.send_heartbeat_with(|heartbeat| heartbeat.profile.instance = "another".into());
    fixture.advance(MS);
    assert_eq!(fixture.outcomes, []);
    fixture.displace_hold();
    let [PlacementOutcome::Ended { .. }] = fixture.outcomes[..] else {
        panic!("{:?}", fixture.outcomes);
    };
}

/// Guards against a task on a minion without the label that it requires: the minion has come back as
/// another kind, and the entry that placed the task does not know yet.
#[test]
fn task_is_refused_by_a_minion_without_the_label_that_it_requires() {
    let mut fixture = Fixture::new();
    fixture.order_start_with(0, 1, |order| order.required_label = Some("large".into()));
    assert_eq!(fixture.starts.len(), 0);
    let refused = PlacementOutcome::Refused(RefusalCause::OtherLabels);
    assert_eq!(fixture.outcomes, [refused]);
}

/// Restarts the minion under its name, and answers the first call to the next incarnation when the
/// clock of that has this reading.
fn restart_minion(fixture: &mut Fixture, clock_ms: u64) {
    fixture.started_unix_ms = 90_000;
    fixture.send_heartbeat();
    fixture.advance(MS);
    fixture.clock_ms = clock_ms;
    fixture.answer_hold(Vec::new(), Vec::new());
    fixture.advance(MS);
}

/// Guards against a lease of up to the longest that the minion grants, instead of a usual one: a
/// call that follows a broken one may reach the next incarnation, whose clock is far behind.
#[test]
fn hold_after_one_without_an_answer_carries_no_lease() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    fixture.fail_hold();
    fixture.advance(20 * MS);
    assert_eq!(fixture.last_hold().lease_end_ms, None);
    fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    fixture.advance(MS);
    assert!(fixture.last_hold().lease_end_ms.is_some());
}

/// Guards against a run that outlives its entry because an order to the last incarnation has
/// granted the next one the longest lease.
#[test]
fn restarted_minion_takes_no_runs_while_a_lease_of_earlier_orders_is_longer_than_a_new_one() {
    let mut fixture = Fixture::new();
    restart_minion(&mut fixture, 10);
    let settings = SidecarSettings::default();
    let longest_end_ms = 10 + settings.lease_max.as_millis() as u64;
    while fixture.availability() == MinionAvailability::Unavailable {
        fixture.advance(10 * MS);
        fixture.answer_hold(Vec::new(), Vec::new());
        assert!(fixture.clock_ms < longest_end_ms);
    }
    let new_end_ms = fixture.clock_ms + settings.lease.as_millis() as u64;
    assert!(new_end_ms >= longest_end_ms, "{}", fixture.clock_ms);
}

/// Guards against runs that are reported as lost while the minion has them: the next incarnation
/// may have carried out an order to the last one just before its first answer, long after its start.
#[test]
fn runs_of_a_restarted_minion_are_not_lost_before_the_longest_lease_is_over() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::NoAnswer);
    restart_minion(&mut fixture, 5_000);
    for _ in 0..100 {
        fixture.fail_hold();
        fixture.advance(10 * MS);
        assert_eq!(fixture.outcomes, [], "at {}", fixture.clock_ms);
    }
    for _ in 0..30 {
        fixture.fail_hold();
        fixture.advance(10 * MS);
    }
    assert_eq!(fixture.outcomes.len(), 1);
}

/// Guards against a run that is reported as stopped while its start order is in flight: a sidecar
/// that stood still reads an old answer after it has sent the order, and takes the end of its lease
/// for earlier.
#[test]
fn answer_that_was_read_late_does_not_shorten_the_lease_of_an_order_in_flight() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    let old_clock_ms = fixture.clock_ms;
    for _ in 0..200 {
        fixture.advance(10 * MS);
    }
    fixture.order_start(1, 2);
    fixture.sidecar.stop(ENTRY, task(1), 2, fixture.now);
    fixture.collect_actions();
    fixture.answer_hold_with(|answer| {
        answer.clock_ms = old_clock_ms;
        answer.running = vec![(run(0), 20)];
    });
    fixture.order_start(2, 3);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(MS);
    assert_eq!(fixture.outcomes, []);
    assert_eq!(fixture.sidecar.run_count(), 3);
}

/// Guards against a run that gets the longest lease because its order is sent on the clock of an
/// incarnation that is gone: a hold call had no answer, or the sidecar stood still.
#[test_case(false; "after a hold without an answer")]
#[test_case(true; "after a pause")]
fn start_is_ordered_only_after_the_incarnation_is_confirmed(has_paused: bool) {
    let mut fixture = Fixture::new();
    if has_paused {
        fixture.advance(500 * MS);
    } else {
        fixture.advance(MS);
        fixture.fail_hold();
    }
    fixture.order_start(0, 1);
    assert_eq!(fixture.starts.len(), 0);
    fixture.advance(20 * MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.starts.len(), 1);
    fixture.answer_start(OrderAnswer::Accepted);
    assert_eq!(fixture.outcomes, []);
}

/// Guards against a task that waits at a minion that does not answer.
#[test]
fn start_that_was_not_ordered_in_time_is_refused() {
    let mut fixture = Fixture::new();
    fixture.advance(MS);
    fixture.fail_hold();
    fixture.order_start(0, 1);
    for _ in 0..16 {
        assert_eq!(fixture.outcomes, []);
        fixture.advance(10 * MS);
    }
    assert_eq!(
        fixture.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NoMinion)]
    );
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.starts.len(), 0);
}

/// Guards against a start that is sent when the run may have been reported as lost, and against a
/// minion that counts as silent because of orders that it has not got.
#[test]
fn start_that_waits_in_the_process_is_refused_in_good_time() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    let sent_until = fixture.starts[0].send_until;
    assert!(sent_until <= fixture.now + SidecarSettings::default().lease / 2);
    fixture.advance(150 * MS);
    fixture.advance(60 * MS);
    fixture.answer_start(OrderAnswer::Overdue);
    assert_eq!(
        fixture.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NoMinion)]
    );
    // An earlier order may have been carried out.
    fixture.order_start(1, 2);
    fixture.answer_start(OrderAnswer::NoAnswer);
    fixture.advance(150 * MS);
    fixture.advance(60 * MS);
    fixture.answer_start(OrderAnswer::Overdue);
    assert_eq!((fixture.outcomes.len(), fixture.stops.len()), (1, 1));
}

/// A minion that has seen a fencing token of an earlier sidecar process.
struct FencingMinion {
    token: u64,
}

impl FencingMinion {
    /// Answers the last hold call as far as its token allows it, and returns whether it did.
    fn answer_hold(&mut self, fixture: &mut Fixture) -> bool {
        let hold = fixture.last_hold().clone();
        if hold.fencing_token < self.token {
            fixture
                .sidecar
                .hold_failed(hold.call, HoldFailure::Fenced, fixture.now);
            fixture.collect_actions();
            return false;
        }
        self.token = hold.fencing_token;
        fixture.answer_hold(Vec::new(), Vec::new());
        true
    }
}

/// Guards against a sidecar that hangs for good because its token is lower than that of the last one.
#[test_case(1; "by a millisecond")]
#[test_case(2_400; "by seconds")]
#[test_case(60 * 60 * 1_000; "by an hour")]
#[test_case(10 * 365 * 24 * 60 * 60 * 1_000; "by ten years")]
fn minion_is_served_within_a_second_of_a_refused_fencing_token(jump_ms: u64) {
    let uptime = Duration::from_secs(60);
    let token = first_fencing_token(uptime, 3);
    let earlier_token = first_fencing_token(uptime + Duration::from_millis(jump_ms), 4);
    let mut fixture = Fixture::with_unanswered_minion(token);
    let mut minion = FencingMinion {
        token: earlier_token,
    };
    let begins_at = fixture.now;
    while fixture.availability() != MinionAvailability::Ready {
        fixture.advance(2 * MS);
        minion.answer_hold(&mut fixture);
        let elapsed = fixture.now - begins_at;
        assert!(
            elapsed < 1_000 * MS,
            "not served, {} holds",
            fixture.holds.len()
        );
    }
    // The raised token is not that of the earlier process.
    assert!(minion.token > earlier_token);
}

/// Guards against a lease that is renewed for the runs of another process, and against starts beside
/// them, by a sidecar whose token is refused in the midst of its work.
#[test]
fn sidecar_that_is_fenced_out_renews_no_lease() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.advance(10 * MS);
    let hold = fixture.last_hold().clone();
    let (hold_count, start_count) = (fixture.holds.len(), fixture.starts.len());
    fixture
        .sidecar
        .hold_failed(hold.call, HoldFailure::Fenced, fixture.now);
    fixture.order_start(1, 2);
    for _ in 0..20 {
        fixture.advance(2 * MS);
        let hold = fixture.last_hold().clone();
        fixture
            .sidecar
            .hold_failed(hold.call, HoldFailure::Fenced, fixture.now);
    }
    let holds = &fixture.holds[hold_count..];
    assert!(!holds.is_empty());
    assert!(
        holds.iter().all(|hold| hold.lease_end_ms.is_none()),
        "{holds:?}"
    );
    assert_eq!(fixture.starts.len(), start_count);
    // Once its token is accepted, it knows which runs are there, and goes on.
    fixture.advance(2 * MS);
    fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    fixture.advance(2 * MS);
    assert!(fixture.last_hold().lease_end_ms.is_some());
    assert_eq!(
        fixture.outcomes,
        [PlacementOutcome::Refused(RefusalCause::NoMinion)]
    );
    assert_eq!(fixture.sidecar.run_count(), 1);
}

/// Guards against late orders of an earlier process that the minion carries out because their token
/// is that of the current one.
#[test]
fn processes_never_use_the_same_fencing_token() {
    let tokens_of = |tag: u16| {
        let mut fixture =
            Fixture::with_unanswered_minion(first_fencing_token(Duration::from_secs(5), tag));
        let mut minion = FencingMinion {
            token: u64::MAX >> 12,
        };
        for _ in 0..100 {
            fixture.advance(2 * MS);
            if minion.answer_hold(&mut fixture) {
                // The next incarnation.
                minion.token = 0;
                fixture.started_unix_ms += 1_000;
                fixture.clock_ms = 10;
            }
        }
        let tokens = fixture.holds.iter().map(|hold| hold.fencing_token);
        tokens.collect::<std::collections::BTreeSet<u64>>()
    };
    let (tokens, others) = (tokens_of(6), tokens_of(7));
    assert!(tokens.len() > 20, "{tokens:?}");
    assert!(tokens.is_disjoint(&others), "{tokens:?} {others:?}");
}

/// Guards against a stream of calls to a minion that refuses each token, and against a token that
/// wraps around.
#[test]
fn minion_that_refuses_each_fencing_token_is_unreachable() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    for _ in 0..1_000 {
        fixture.advance(MS);
        let call = fixture.last_hold().call;
        fixture
            .sidecar
            .hold_failed(call, HoldFailure::Fenced, fixture.now);
        fixture.collect_actions();
    }
    assert!(fixture.holds.len() < 160, "{} holds", fixture.holds.len());
    assert!(fixture.last_hold().fencing_token <= i64::MAX as u64);
    assert!(fixture.holds.is_sorted_by_key(|hold| hold.fencing_token));
    assert_eq!(fixture.availability(), MinionAvailability::Unavailable);
    // Another process may have renewed the lease of the run.
    assert_eq!(fixture.outcomes, []);
}

const EVACUATED: PlacementOutcome = PlacementOutcome::Refused(RefusalCause::Evacuated);

/// An entry that was frozen knows an older revision. Guards against an entry that undoes what a newer
/// one has told, and against starts in an evacuated failure domain.
#[test]
fn only_newer_knowledge_ends_an_evacuation() {
    let mut fixture = Fixture::new();
    fixture.sidecar.set_evacuated(ENTRY, 7, true);
    assert_eq!(fixture.availability(), MinionAvailability::Evacuated);
    fixture.order_start(0, 1);
    fixture.sidecar.set_evacuated(ENTRY, 6, false);
    fixture.order_start(1, 2);
    assert_eq!(fixture.outcomes, [EVACUATED; 2]);
    assert_eq!(fixture.starts.len(), 0);
    assert_eq!(fixture.sidecar.evacuation_refusal_count(), 2);
    // An entry that gets no start takes no share of the minion.
    assert_eq!(fixture.sidecar.status().recent_entry_count, 0);
    fixture.sidecar.set_evacuated(ENTRY, 9, false);
    assert_eq!(fixture.availability(), MinionAvailability::Ready);
    fixture.sidecar.set_evacuated(ENTRY, 8, true);
    fixture.order_start(2, 3);
    assert_eq!(fixture.starts.len(), 1);
}

/// Guards against a start of a run whose order waited for an answer of the minion while the failure
/// domain was evacuated.
#[test]
fn deferred_start_is_refused_after_an_evacuation() {
    let mut fixture = Fixture::new();
    fixture.advance(MS);
    fixture.fail_hold();
    fixture.order_start(0, 1);
    fixture.sidecar.set_evacuated(ENTRY, 7, true);
    fixture.advance(20 * MS);
    fixture.answer_hold(Vec::new(), Vec::new());
    assert_eq!(fixture.starts.len(), 0);
    assert_eq!(fixture.outcomes, [EVACUATED]);
}

/// Guards against a repeated order that starts a run after the evacuation, although the minion has turned
/// the first one down.
#[test_case(OrderAnswer::LeaseExpired; "lease expired")]
#[test_case(OrderAnswer::Fenced; "fenced")]
#[test_case(OrderAnswer::Superseded; "superseded")]
#[test_case(OrderAnswer::Unchecked; "not sent on an unchecked connection")]
fn start_that_the_minion_turned_down_is_not_repeated_after_an_evacuation(answer: OrderAnswer) {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.sidecar.set_evacuated(ENTRY, 7, true);
    fixture.answer_start(answer);
    assert_eq!(fixture.starts.len(), 1);
    assert_eq!(fixture.outcomes, [EVACUATED]);
}

/// Guards against a report that a run was not started, although the minion may have carried out its
/// first order before the evacuation.
#[test]
fn start_without_an_answer_is_handled_as_before_after_an_evacuation() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.advance(40 * MS);
    fixture.sidecar.set_evacuated(ENTRY, 7, true);
    fixture.answer_start(OrderAnswer::NoAnswer);
    assert_eq!(fixture.starts.len(), 2);
    fixture.answer_start(OrderAnswer::Accepted);
    assert_eq!(fixture.outcomes, []);
    assert_eq!(fixture.stops.len(), 0);
}

/// Guards against a run that is stopped by the evacuation instead of completing where it is.
#[test]
fn running_task_completes_after_an_evacuation() {
    let mut fixture = Fixture::new();
    fixture.order_start(0, 1);
    fixture.answer_start(OrderAnswer::Accepted);
    fixture.sidecar.set_evacuated(ENTRY, 7, true);
    fixture.advance(10 * MS);
    fixture.answer_hold(vec![(run(0), 50)], Vec::new());
    fixture.advance(10 * MS);
    fixture.answer_hold(Vec::new(), vec![ended_run(1, 0)]);
    assert_eq!(fixture.only_end(), RunEnd::Done);
    assert_eq!(fixture.stops.len(), 0);
}

/// Guards against an unreachable minion that is taken for one that only an evacuation keeps from
/// serving.
#[test]
fn unreachable_minion_is_unavailable_while_it_is_evacuated() {
    let mut fixture = Fixture::with_unanswered_minion(1);
    fixture.sidecar.set_evacuated(ENTRY, 7, true);
    assert_eq!(fixture.availability(), MinionAvailability::Unavailable);
}
