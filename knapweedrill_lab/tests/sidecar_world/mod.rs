//! A simulation of one sidecar and its minion, with entries that are scripted at random.
//!
//! Time advances in steps of one millisecond. After each step, the world checks what the sidecar has
//! reported, and how long abandoned runs last, against what runs at the minion.

mod call_content;
#[path = "../claim_observer/mod.rs"]
mod claim_observer;
mod claims;
mod fault;
mod input;
mod leave;
mod pending_call;
mod placement;
mod tally;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::{
    Message, MinionProfile, PlacementOutcome, RunEnd, StartOrder,
};
use knapweedrill::dispatch::sidecar::{
    HoldFailure, MinionHeartbeat, OrderAnswer, RunKey, Sidecar, SidecarAction, SidecarSettings,
    first_fencing_token,
};
use knapweedrill::dispatch::{JobName, Resources, TaskName};
use knapweedrill_lab::stand_in::platform::{MinionModel, TaskProfile};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use call_content::CallContent;
use claim_observer::ClaimObserver;
use fault::Fault;
use input::Input;
use leave::Leave;
use pending_call::PendingCall;
use placement::Placement;
pub(crate) use tally::Tally;

/// The entries that order runs.
const ENTRIES: [u64; 3] = [7, 8, 9];

/// The number of tasks that the entries order again and again.
const TASK_COUNT: u32 = 5;

/// The uptime of the minion at the beginning, in milliseconds: its clock is far ahead of that of
/// the next incarnation.
const UPTIME_MS: u64 = 40_000;

/// How long a run may go on after it had to begin to end, in milliseconds: a lease of 550 ms on a
/// clock that is 2 % slow, 50 ms for the stop, and 3 ms for the steps of the simulation.
const RUN_OVERTIME_MAX_MS: u64 = 561 + 50 + 3;

/// How long a run may go on that the next incarnation of the minion has started from an order to the
/// last one, once it has got a call of a sidecar that knows of it: the longest lease on a clock that
/// is 2 % slow, 50 ms for the stop, and 3 ms for the steps of the simulation.
const INHERITED_LEASE_MAX_MS: u64 = 1_021 + 50 + 3;

/// How long the sidecar lets the runs of a silent entry go on, in milliseconds.
const ENTRY_SILENCE_MS: u64 = 600;

/// How long the messages of entries are on their way, in milliseconds; they arrive in order.
const SESSION_DELAY_MS: std::ops::Range<u64> = 1..2;

/// The number of events in the trace of a violation.
const TRACE_EVENT_COUNT: usize = 160;

/// An input with the time of its arrival and the process that gets it.
type Arrival = (u64, u64, Input);

/// One sidecar, its minion, and the entries.
#[derive(Debug)]
pub(crate) struct SidecarWorld {
    origin: Instant,
    now_ms: u64,
    random: SmallRng,
    sidecar: Option<Sidecar>,
    process: u64,
    process_starts_ms: u64,
    frozen_until_ms: u64,
    /// The process that has used each fencing token.
    token_processes: HashMap<u64, u64>,
    minion: MinionModel,
    minion_down_until_ms: u64,
    minion_name_count: u32,
    /// How often a minion that has crashed returns under its name.
    kept_name_permille: u32,
    fault_kinds: &'static [Fault],
    heartbeat_due_ms: u64,
    heartbeat_sequence: u64,
    /// When the sidecar learned of the incarnation that started at that time.
    learned_ms: HashMap<u64, u64>,
    /// When the current incarnation has carried out the first call of a process that knew of it.
    fenced_ms: Option<u64>,
    calls: Vec<PendingCall>,
    /// What is on its way to the sidecar.
    inputs: Vec<Arrival>,
    placements: Vec<Placement>,
    /// The placement of each run that the minion has started, with the time when its order was sent.
    runs: HashMap<RunKey, (usize, u64)>,
    counted: HashSet<(RunKey, u64)>,
    silent_until_ms: HashMap<u64, u64>,
    alive_at_ms: HashMap<u64, u64>,
    /// The time of each scheduled fault.
    faults: Vec<(u64, Fault)>,
    delay_until_ms: u64,
    loss_until_ms: u64,
    slow_until_ms: u64,
    crashes_at_next_call: bool,
    order_delay_until_ms: u64,
    leave: Option<Leave>,
    trace: Vec<(u64, String)>,
    claims: ClaimObserver,
    seed: u64,
    tally: Tally,
}

impl SidecarWorld {
    /// Creates a world in which the minion has run for 40 s; its clock is slow for odd seeds.
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            origin: Instant::now(),
            now_ms: UPTIME_MS,
            random: SmallRng::seed_from_u64(seed),
            sidecar: None,
            process: 0,
            process_starts_ms: UPTIME_MS,
            frozen_until_ms: 0,
            token_processes: HashMap::new(),
            minion: MinionModel::new("minion-0".into(), resources(4), seed % 2 * 20, 0),
            minion_down_until_ms: 0,
            minion_name_count: 0,
            kept_name_permille: 700,
            fault_kinds: &Fault::USUAL,
            heartbeat_due_ms: UPTIME_MS,
            heartbeat_sequence: 1,
            learned_ms: HashMap::new(),
            fenced_ms: None,
            calls: Vec::new(),
            inputs: Vec::new(),
            placements: Vec::new(),
            runs: HashMap::new(),
            counted: HashSet::new(),
            silent_until_ms: HashMap::new(),
            alive_at_ms: HashMap::new(),
            faults: Vec::new(),
            delay_until_ms: 0,
            loss_until_ms: 0,
            slow_until_ms: 0,
            crashes_at_next_call: false,
            order_delay_until_ms: 0,
            leave: None,
            trace: Vec::new(),
            claims: ClaimObserver::default(),
            seed,
            tally: Tally::default(),
        };
        world.tally.incarnation_count = 1;
        world
    }

    /// Creates a world in which minions leave and never return under their names.
    pub(crate) fn with_renamed_minions(seed: u64) -> Self {
        Self {
            kept_name_permille: 0,
            fault_kinds: &Fault::WITH_LEAVES,
            ..Self::new(seed)
        }
    }

    /// Lets the minion list runs that are being stopped neither as active nor as ended.
    pub(crate) fn without_stopping_runs_in_lists(mut self) -> Self {
        self.minion.lists_stopping_runs = false;
        self
    }

    /// Sets the instant from which time counts, so that the events of two worlds can be compared.
    pub(crate) fn with_origin(mut self, origin: Instant) -> Self {
        self.origin = origin;
        self
    }

    /// Lets time pass, with faults, and returns what happened.
    pub(crate) fn run(mut self, for_ms: u64) -> Tally {
        self.advance(for_ms);
        self.tally.false_claim_count = self.claims.inherited_count() as u32;
        self.tally
    }

    /// Lets time pass, with faults, and returns all events with their times in milliseconds.
    pub(crate) fn run_for_events(mut self, for_ms: u64) -> Vec<(u64, String)> {
        self.advance(for_ms);
        self.trace
    }

    fn advance(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        self.draw_faults();
        self.go_on_with_leave();
        self.start_process();
        self.act_as_entries();
        self.send_heartbeat();
        self.execute_calls();
        self.minion.advance(self.now_ms);
        self.answer_holds();
        self.expire_calls();
        self.run_process();
        self.note_silent_entries();
        self.check();
        self.check_claimed_runs();
    }

    fn now(&self) -> Instant {
        self.instant(self.now_ms)
    }

    fn instant(&self, at_ms: u64) -> Instant {
        self.origin + Duration::from_millis(at_ms)
    }

    fn is_frozen(&self) -> bool {
        self.frozen_until_ms > self.now_ms
    }

    fn is_minion_down(&self) -> bool {
        self.minion_down_until_ms > self.now_ms
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.random.random_range(0..1_000) < permille
    }

    fn record(&mut self, text: String) {
        self.trace.push((self.now_ms, text));
    }

    /// Schedules up to four faults within half a second, and applies those that are due.
    fn draw_faults(&mut self) {
        if self.random.random_range(0..1_200) == 0 {
            let kinds = self.fault_kinds;
            for _ in 0..self.random.random_range(1..=4) {
                let at_ms = self.now_ms + self.random.random_range(0..500);
                let fault = kinds[self.random.random_range(0..kinds.len())];
                self.faults.push((at_ms, fault));
            }
        }
        let now_ms = self.now_ms;
        let due: Vec<Fault> = self
            .faults
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .map(|(_, fault)| fault)
            .collect();
        for fault in due {
            self.apply(fault);
        }
    }

    fn apply(&mut self, fault: Fault) {
        self.record(format!("fault {fault:?}"));
        let entry = ENTRIES[self.random.random_range(0..ENTRIES.len())];
        match fault {
            Fault::FreezeSidecar => {
                let for_ms = self.random.random_range(100..3_000);
                self.record(format!("sidecar freezes for {for_ms} ms"));
                self.frozen_until_ms = self.frozen_until_ms.max(self.now_ms + for_ms);
            }
            Fault::KillSidecar => self.kill_sidecar(),
            Fault::CrashMinion => {
                let down_ms = self.random.random_range(3..900);
                let keeps_name = self.chance(self.kept_name_permille);
                self.crash_minion(down_ms, keeps_name);
            }
            Fault::RestartMinion => {
                let down_ms = self.random.random_range(1..10);
                let keeps_name = self.kept_name_permille > 0;
                self.crash_minion(down_ms, keeps_name);
            }
            Fault::SilenceEntry => {
                let until_ms = self.now_ms + self.random.random_range(300..3_000);
                self.silent_until_ms.insert(entry, until_ms);
            }
            Fault::DisconnectEntry => self.send_input(SESSION_DELAY_MS, Input::Disconnected(entry)),
            Fault::StopAll => {
                for index in self.open_placements() {
                    self.send_input(SESSION_DELAY_MS, Input::Stop(index));
                }
            }
            Fault::DelayCalls => {
                self.delay_until_ms = self.now_ms + self.random.random_range(20..800);
            }
            Fault::LoseAnswers => {
                self.loss_until_ms = self.now_ms + self.random.random_range(20..800);
            }
            Fault::SlowAnswers => {
                self.slow_until_ms = self.now_ms + self.random.random_range(20..800);
            }
            Fault::CrashAtNextCall => self.crashes_at_next_call = true,
            Fault::Leave => self.begin_leave(),
            Fault::DelayOrders => {
                self.order_delay_until_ms = self.now_ms + self.random.random_range(50..1_500);
            }
            Fault::ForeignHeartbeat => self.send_foreign_heartbeat(),
        }
    }

    fn kill_sidecar(&mut self) {
        if self.sidecar.take().is_none() {
            return;
        }
        let pause_ms = self.random.random_range(20..1_500);
        self.process_starts_ms = self.now_ms + pause_ms;
        self.frozen_until_ms = 0;
        self.inputs.clear();
        for index in self.open_placements() {
            self.abandon(index);
        }
    }

    fn start_process(&mut self) {
        if self.sidecar.is_some() || self.process_starts_ms > self.now_ms {
            return;
        }
        self.process += 1;
        let token = first_fencing_token(Duration::from_millis(self.now_ms), self.process as u16);
        let mut sidecar = Sidecar::new(SidecarSettings::default(), token);
        for entry in ENTRIES {
            sidecar.entry_connected(entry, self.now());
            self.alive_at_ms.insert(entry, self.now_ms);
        }
        self.sidecar = Some(sidecar);
        self.record(format!("sidecar process {} starts", self.process));
    }

    /// Ends this incarnation of the minion; the next one starts after the pause.
    fn crash_minion(&mut self, down_ms: u64, keeps_name: bool) {
        if self.is_minion_down() {
            return;
        }
        if !keeps_name {
            self.minion_name_count += 1;
        }
        self.minion_down_until_ms = self.now_ms + down_ms;
        let name = format!("minion-{}", self.minion_name_count);
        self.record(format!("minion crashes, back as {name} in {down_ms} ms"));
        let drift = self.minion.drift_permille;
        let lists_stopping_runs = self.minion.lists_stopping_runs;
        self.minion = MinionModel::new(name, resources(4), drift, self.minion_down_until_ms);
        self.minion.lists_stopping_runs = lists_stopping_runs;
        self.fenced_ms = None;
        self.leave = None;
        self.tally.incarnation_count += 1;
        self.heartbeat_sequence = 1;
        self.heartbeat_due_ms = self.minion_down_until_ms + self.random.random_range(0..300);
        // The connections of the calls in flight break.
        for index in 0..self.calls.len() {
            self.fail_call(index, HoldFailure::NoAnswer);
        }
    }

    fn open_placements(&self) -> Vec<usize> {
        let open = self.placements.iter().enumerate();
        open.filter(|(_, placement)| placement.reported.is_none())
            .filter(|(_, placement)| placement.abandoned_ms.is_none())
            .map(|(index, _)| index)
            .collect()
    }

    fn abandon(&mut self, index: usize) {
        self.abandon_at(index, self.now_ms);
    }

    fn abandon_at(&mut self, index: usize, at_ms: u64) {
        let placement = &mut self.placements[index];
        if placement.reported.is_none() && placement.abandoned_ms.is_none() {
            placement.abandoned_ms = Some(at_ms);
            self.tally.abandoned_count += 1;
            self.record(format!("placement {index} has to end since {at_ms} ms"));
        }
    }

    fn act_as_entries(&mut self) {
        if self.sidecar.is_none() {
            return;
        }
        for entry in ENTRIES {
            let silent_until_ms = self.silent_until_ms.get(&entry).copied().unwrap_or(0);
            if silent_until_ms > self.now_ms {
                continue;
            }
            if self.chance(15) {
                let stamp = self.now();
                self.alive_at_ms.insert(entry, self.now_ms);
                self.send_input(SESSION_DELAY_MS, Input::Alive(entry, stamp));
            }
            if self.chance(6) {
                self.order_run(entry);
            }
        }
        if self.chance(2) {
            let open = self.open_placements();
            if !open.is_empty() {
                let index = open[self.random.random_range(0..open.len())];
                self.send_input(SESSION_DELAY_MS, Input::Stop(index));
            }
        }
    }

    fn order_run(&mut self, entry: u64) {
        let task = task(self.random.random_range(0..TASK_COUNT));
        let attempt = self.placements.len() as u64 + 1;
        let order = StartOrder {
            task,
            attempt,
            resources: resources(1),
            estimate: Duration::from_millis(400),
            is_movable: self.chance(500),
            queue: 1,
            is_trial: false,
            service: "service".into(),
            required_label: None,
            spec: String::new(),
            sidecar_stamp_ms: 0,
            run_number: self.random.random_range(1..3),
        };
        self.placements.push(Placement {
            entry,
            task,
            attempt,
            process: self.process,
            is_received: false,
            reported: None,
            abandoned_ms: None,
        });
        let stamped_at = self.instant(self.alive_at_ms[&entry]);
        self.send_input(SESSION_DELAY_MS, Input::Start(entry, order, stamped_at));
    }

    fn send_input(&mut self, delay_ms: std::ops::Range<u64>, input: Input) {
        let at_ms = self.now_ms + self.random.random_range(delay_ms);
        self.inputs.push((at_ms, self.process, input));
    }

    fn send_heartbeat(&mut self) {
        if self.is_minion_down() || self.heartbeat_due_ms > self.now_ms {
            return;
        }
        let heartbeat = MinionHeartbeat {
            profile: MinionProfile {
                instance: self.minion.instance.clone(),
                service: "service".into(),
                capacity: self.minion.capacity,
                labels: Vec::new(),
                failure_domain: String::new(),
            },
            started_unix_ms: self.minion.started_unix_ms,
            sequence: self.heartbeat_sequence,
            is_draining: self.leave.is_some(),
        };
        self.heartbeat_sequence += 1;
        self.heartbeat_due_ms = self.now_ms + self.random.random_range(200..1_500);
        let delay_ms = match self.chance(200) {
            true => 100..3_000,
            false => 0..4,
        };
        self.send_input(delay_ms, Input::Heartbeat(heartbeat));
    }

    /// Sends a heartbeat of an instance that is not there, with a later start than the minion's.
    fn send_foreign_heartbeat(&mut self) {
        let heartbeat = MinionHeartbeat {
            profile: MinionProfile {
                instance: "foreign".into(),
                service: "service".into(),
                capacity: self.minion.capacity,
                labels: Vec::new(),
                failure_domain: String::new(),
            },
            started_unix_ms: self.now_ms + 1,
            sequence: 1,
            is_draining: false,
        };
        self.send_input(0..4, Input::Heartbeat(heartbeat));
    }

    fn add_call(&mut self, content: CallContent) {
        let (placement, token) = match &content {
            CallContent::Start(call) => (self.placement_of(call.run.task), call.fencing_token),
            CallContent::Stop(call) => (None, call.fencing_token),
            CallContent::Hold(call) => (None, call.fencing_token),
        };
        let process = *self.token_processes.entry(token).or_insert(self.process);
        assert_eq!(process, self.process, "two processes use the token {token}");
        let is_order = !matches!(content, CallContent::Hold(_));
        let is_late = self.delay_until_ms > self.now_ms && self.chance(700)
            || self.order_delay_until_ms > self.now_ms && is_order
            || self.chance(10);
        let is_lost = self.loss_until_ms > self.now_ms && self.chance(700) || self.chance(20);
        let is_slow = self.slow_until_ms > self.now_ms;
        let delay_ms = match is_late {
            true => self.random.random_range(2_000..12_000),
            false => self.random.random_range(0..3),
        };
        let answer_delay_ms = self.random.random_range(0..if is_slow { 30 } else { 3 });
        let timeout_ms = content.timeout().as_millis() as u64;
        if self.crashes_at_next_call || self.chance(2) {
            self.crashes_at_next_call = false;
            self.faults
                .push((self.now_ms + delay_ms.min(3), Fault::RestartMinion));
        }
        self.record(format!("sent, late {is_late}, lost {is_lost}: {content:?}"));
        self.calls.push(PendingCall {
            content,
            process: self.process,
            placement,
            sent_ms: self.now_ms,
            execute_at_ms: self.now_ms + delay_ms,
            expires_ms: self.now_ms + timeout_ms,
            answer_delay_ms,
            is_executed: false,
            is_resolved: false,
            is_answer_lost: is_lost || is_late,
            is_late,
            hold_until_ms: None,
        });
    }

    /// Returns the placement of the task that the sidecar has not reported; it accepts one at a
    /// time.
    fn placement_of(&self, task: TaskName) -> Option<usize> {
        self.placements.iter().rposition(|placement| {
            placement.task == task
                && placement.process == self.process
                && placement.is_received
                && placement.reported.is_none()
        })
    }

    fn execute_calls(&mut self) {
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            if call.is_executed || call.execute_at_ms > self.now_ms {
                continue;
            }
            if self.is_minion_down() {
                if call.is_late {
                    self.calls[index].execute_at_ms += 1;
                } else {
                    self.calls[index].is_executed = true;
                    self.fail_call(index, HoldFailure::Refused);
                }
                continue;
            }
            self.calls[index].is_executed = true;
            self.execute(index);
        }
    }

    fn execute(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let content = self.calls[index].content.clone();
        let clock_ms = Some(self.minion.clock_ms(now_ms));
        let sent_ms = self.calls[index].sent_ms;
        let learned_ms = self.learned_ms.get(&self.minion.started_unix_ms);
        if learned_ms.is_some_and(|learned_ms| *learned_ms < sent_ms) {
            self.fenced_ms.get_or_insert(now_ms);
        }
        let input = match content {
            CallContent::Start(call) => {
                let profile = TaskProfile {
                    run_ms: self.random.random_range(40..3_000),
                    room: resources(1),
                    fails: self.chance(50),
                    hangs: self.chance(100),
                };
                let was_running = self.minion.running().any(|run| run == call.run);
                let answer = self.minion.start(&call, profile, now_ms);
                if answer == OrderAnswer::Accepted && !was_running {
                    let pending = &self.calls[index];
                    let placement = pending.placement.expect("a start belongs to a placement");
                    let sent_ms = pending.sent_ms;
                    self.runs.insert(call.run, (placement, sent_ms));
                    let id = self.placement_id(placement);
                    self.claims.record_start(0, call.run, id, sent_ms);
                    self.tally.started_count += 1;
                }
                self.record(format!("start {}: {answer:?} at {clock_ms:?}", call.call));
                Input::StartAnswered(call.call, answer, clock_ms)
            }
            CallContent::Stop(call) => {
                let answer = self.minion.stop(&call, now_ms);
                self.record(format!("stop {}: {answer:?} at {clock_ms:?}", call.call));
                Input::StopAnswered(call.call, answer, clock_ms)
            }
            CallContent::Hold(call) if call.instance != self.minion.instance => {
                self.record(format!("hold {}: other incarnation", call.call));
                Input::HoldFailed(call.call, HoldFailure::OtherIncarnation)
            }
            CallContent::Hold(call) => {
                let is_accepted = self.minion.hold(&call, now_ms);
                self.record(format!("hold {}: {is_accepted} at {clock_ms:?}", call.call));
                let pending = &mut self.calls[index];
                pending.hold_until_ms = is_accepted.then_some(now_ms + call.wait_ms);
                if is_accepted || call.instance != self.minion.instance {
                    return;
                }
                Input::HoldFailed(call.call, HoldFailure::Fenced)
            }
        };
        self.answer(index, input);
    }

    fn answer(&mut self, index: usize, input: Input) {
        let call = &mut self.calls[index];
        if call.is_resolved || call.is_answer_lost {
            return;
        }
        call.is_resolved = true;
        let at_ms = self.now_ms + call.answer_delay_ms;
        self.inputs.push((at_ms, call.process, input));
    }

    fn answer_holds(&mut self) {
        for index in 0..self.calls.len() {
            let (Some(until_ms), CallContent::Hold(hold)) =
                (self.calls[index].hold_until_ms, &self.calls[index].content)
            else {
                continue;
            };
            let number = hold.call;
            if until_ms <= self.now_ms || self.minion.has_unacknowledged_ends() {
                self.calls[index].hold_until_ms = None;
                let answer = self.minion.hold_answer(self.now_ms);
                self.answer(index, Input::HoldAnswered(number, answer));
            }
        }
    }

    fn expire_calls(&mut self) {
        for index in 0..self.calls.len() {
            if self.calls[index].expires_ms <= self.now_ms && !self.calls[index].is_resolved {
                self.fail_call(index, HoldFailure::NoAnswer);
            }
        }
        self.calls
            .retain(|call| !call.is_resolved || !call.is_executed);
    }

    /// Tells the sidecar that a call has no answer.
    fn fail_call(&mut self, index: usize, failure: HoldFailure) {
        let call = &mut self.calls[index];
        if call.is_resolved {
            return;
        }
        call.is_resolved = true;
        call.hold_until_ms = None;
        let answer = match failure {
            HoldFailure::Refused | HoldFailure::NotSent => OrderAnswer::NotSent,
            HoldFailure::OtherIncarnation => OrderAnswer::OtherIncarnation,
            HoldFailure::NoAnswer | HoldFailure::Fenced => OrderAnswer::NoAnswer,
        };
        let input = match &call.content {
            CallContent::Start(start) => Input::StartAnswered(start.call, answer, None),
            CallContent::Stop(stop) => Input::StopAnswered(stop.call, answer, None),
            CallContent::Hold(hold) => Input::HoldFailed(hold.call, failure),
        };
        self.inputs.push((self.now_ms, call.process, input));
    }

    /// Lets the sidecar process handle what has arrived, in any order, unless it is frozen.
    fn run_process(&mut self) {
        if self.is_frozen() || self.sidecar.is_none() {
            return;
        }
        let (now, now_ms, process) = (self.now(), self.now_ms, self.process);
        let due: Vec<Arrival> = self
            .inputs
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms)
            .collect();
        let due = self.shuffle(due);
        self.tick();
        for (_, of, input) in due {
            if of == process {
                self.handle(input, now);
            }
        }
        self.tick();
    }

    /// Returns the inputs in a random order, in which those of entries keep theirs.
    fn shuffle(&mut self, inputs: Vec<Arrival>) -> Vec<Arrival> {
        let (of_entries, mut others): (Vec<_>, Vec<_>) = inputs
            .into_iter()
            .partition(|(_, _, input)| input.is_of_entry());
        others.shuffle(&mut self.random);
        let mut of_entries = VecDeque::from(of_entries);
        let mut shuffled = Vec::new();
        while !of_entries.is_empty() || !others.is_empty() {
            let left = of_entries.len() + others.len();
            let next = match self.random.random_range(0..left) < others.len() {
                true => others.pop(),
                false => of_entries.pop_front(),
            };
            shuffled.extend(next);
        }
        shuffled
    }

    fn tick(&mut self) {
        let now = self.now();
        if let Some(sidecar) = &mut self.sidecar {
            sidecar.tick(now);
        }
        self.collect_actions();
    }

    fn handle(&mut self, input: Input, now: Instant) {
        match &input {
            Input::Alive(..) => {}
            Input::Start(_, order, _) => {
                let index = order.attempt as usize - 1;
                self.placements[index].is_received = true;
                self.record(format!(
                    "got the order of placement {index}, {:?}",
                    order.task
                ));
            }
            input => self.record(format!("got {input:?}")),
        }
        let started_ms = match &input {
            Input::Heartbeat(heartbeat) => Some(heartbeat.started_unix_ms),
            Input::HoldAnswered(_, answer) => Some(answer.started_unix_ms),
            _ => None,
        };
        if let Some(started_ms) = started_ms {
            self.learned_ms.entry(started_ms).or_insert(self.now_ms);
            self.claims.record_incarnation(self.process, started_ms);
        }
        match input {
            Input::Stop(index) => {
                self.abandon(index);
                let (entry, task, attempt) = {
                    let placement = &self.placements[index];
                    (placement.entry, placement.task, placement.attempt)
                };
                if let Some(sidecar) = &mut self.sidecar {
                    sidecar.stop(entry, task, attempt, now);
                }
            }
            Input::Disconnected(entry) => {
                for index in self.open_placements() {
                    let placement = &self.placements[index];
                    if placement.entry == entry && placement.is_received {
                        self.abandon(index);
                    }
                }
                if let Some(sidecar) = &mut self.sidecar {
                    sidecar.entry_disconnected(entry, now);
                    sidecar.entry_connected(entry, now);
                }
                self.alive_at_ms.insert(entry, self.now_ms);
            }
            input => {
                if let Some(sidecar) = &mut self.sidecar {
                    input.deliver_to(sidecar, now);
                }
            }
        }
        self.collect_actions();
    }

    fn collect_actions(&mut self) {
        let Some(sidecar) = &mut self.sidecar else {
            return;
        };
        let actions = sidecar.take_actions();
        for action in actions {
            match action {
                SidecarAction::Start(call) => self.add_call(CallContent::Start(call)),
                SidecarAction::Stop(call) => self.add_call(CallContent::Stop(call)),
                SidecarAction::Hold(call) => self.add_call(CallContent::Hold(call)),
                SidecarAction::Send(_, Message::Report(report)) => {
                    let index = report.attempt as usize - 1;
                    self.record(format!("placement {index} reported: {:?}", report.outcome));
                    self.count_outcome(&report.outcome);
                    self.check_claim(index, report.outcome);
                    let placement = &mut self.placements[index];
                    assert_eq!(placement.task, report.task);
                    placement
                        .reported
                        .get_or_insert((self.now_ms, report.outcome));
                }
                SidecarAction::Send(..) => {}
            }
        }
    }

    fn count_outcome(&mut self, outcome: &PlacementOutcome) {
        match outcome {
            PlacementOutcome::Ended {
                end: RunEnd::Done, ..
            } => self.tally.done_count += 1,
            _ => self.tally.other_outcome_count += 1,
        }
    }

    /// Abandons the placements of entries that have been silent for too long.
    fn note_silent_entries(&mut self) {
        for index in self.open_placements() {
            let alive_at_ms = self.alive_at_ms[&self.placements[index].entry];
            // Signs of life are up to 3 ms on their way.
            if self.now_ms > alive_at_ms + ENTRY_SILENCE_MS + 4 {
                self.abandon_at(index, alive_at_ms + ENTRY_SILENCE_MS + 4);
            }
        }
    }

    fn check(&mut self) {
        for (run, started_ms) in self.minion.running_since().collect::<Vec<_>>() {
            let (index, sent_ms) = self.runs[&run];
            // The order went to an earlier incarnation.
            let is_of_earlier_incarnation = sent_ms < self.minion.started_unix_ms;
            let placement = &self.placements[index];
            if let Some((reported_ms, outcome)) = &placement.reported {
                let started_unix_ms = self.minion.started_unix_ms;
                let id = self.placement_id(index);
                if !is_of_earlier_incarnation || self.claims.could_know(id, started_unix_ms) {
                    panic!(
                        "placement {index}, reported as {outcome:?} at {reported_ms} ms, has run \
                         {run:?} since {started_ms} ms, now {} ms\n{}",
                        self.now_ms,
                        self.trace_text()
                    );
                }
                let is_new = self.counted.insert((run, started_ms));
                self.tally.unknown_incarnation_count += u32::from(is_new);
            }
            let Some(abandoned_ms) = self.placements[index].abandoned_ms else {
                continue;
            };
            if self.now_ms <= abandoned_ms + RUN_OVERTIME_MAX_MS {
                continue;
            }
            let has_inherited_lease = self
                .fenced_ms
                .is_none_or(|fenced_ms| self.now_ms <= fenced_ms + INHERITED_LEASE_MAX_MS);
            if !is_of_earlier_incarnation || !has_inherited_lease {
                panic!(
                    "placement {index} had to end since {abandoned_ms} ms and has run {run:?} since \
                     {started_ms} ms, now {} ms\n{}",
                    self.now_ms,
                    self.trace_text()
                );
            }
            let is_new = self.counted.insert((run, started_ms));
            self.tally.long_lease_count += u32::from(is_new);
        }
    }

    fn trace_text(&self) -> String {
        let first = self.trace.len().saturating_sub(TRACE_EVENT_COUNT);
        self.trace[first..]
            .iter()
            .map(|(at_ms, text)| format!("{at_ms:>7} ms  {text}\n"))
            .collect()
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
