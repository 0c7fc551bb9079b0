//! A simulated system of entries, sidecars and minions, with faults drawn from a seed.
//!
//! Time passes in steps of a millisecond. Datagrams are lost, doubled and delayed; machines are
//! cut off, freeze, and lose their processes; orders to minions are lost, answered late or
//! carried out late. The world checks after each step what must hold at all times.

#![allow(dead_code, reason = "each test file uses a part of the world")]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, QueuePolicy};
use knapweedrill::dispatch::entry::{
    Answer, CallerId, Entry, EntryAction, EntrySettings, Source, StepRequest, Submission,
};
use knapweedrill::dispatch::message::{MinionProfile, Role};
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::sidecar::{
    HoldCall, MinionHeartbeat, OrderAnswer, Sidecar, SidecarAction, SidecarEndpoint,
    SidecarSettings, StartCall, StopCall,
};
use knapweedrill::dispatch::{JobName, Packet, Resources, SidecarRecord, TaskName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use knapweedrill_lab::stand_in::platform::{MinionModel as Minion, TaskProfile};

/// How long a call of a minion has, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 40;

/// The pause between heartbeats of a minion, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

/// The pause of a caller before it hands a job in again after a failure, in milliseconds.
const RESUBMISSION_MS: u64 = 1_300;

/// How many tasks fit on a minion.
const TASKS_PER_MINION: u32 = 6;

/// What can go wrong; shares are in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) datagrams_lost_permille: u32,
    pub(crate) datagram_delay_max_ms: u64,
    /// Orders that get no answer and are carried out 2 to 6 s later.
    pub(crate) orders_late_permille: u32,
    /// Orders that are carried out and get no answer.
    pub(crate) answers_lost_permille: u32,
    /// Tasks that fail.
    pub(crate) tasks_failed_permille: u32,
    /// Faults of machines and processes in a second, in thousandths.
    pub(crate) disturbances_permille: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    Cut,
    Freeze,
    Kill,
    MinionCrash,
    MinionDrain,
}

#[derive(Debug)]
struct Node {
    address: SocketAddr,
    entry: Option<Entry>,
    sidecar: Option<SidecarEndpoint>,
    cut_until_ms: u64,
    frozen_until_ms: u64,
    down_until_ms: u64,
    inbox: Vec<(SocketAddr, Packet)>,
    next_tick_ms: u64,
}

#[derive(Debug)]
enum CallContent {
    Start(StartCall),
    Stop(StopCall),
    Hold(HoldCall),
}

#[derive(Debug)]
struct PendingCall {
    /// The sidecar's machine, and which life of its process gave the order.
    node: usize,
    life: u64,
    content: CallContent,
    is_carried_out: bool,
    carry_out_ms: u64,
    answer_by_ms: u64,
    is_answered: bool,
    accepted_hold_until_ms: Option<u64>,
}

#[derive(Debug)]
struct Caller {
    job: JobName,
    entry: usize,
    entry_life: u64,
    submission: Submission,
    patience_end_ms: u64,
}

/// What the world has seen.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) answers: BTreeMap<JobName, Vec<Answer>>,
    pub(crate) started_count: u64,
    pub(crate) resubmitted_count: u64,
    pub(crate) unanswered: Vec<JobName>,
    /// How many datagrams each node has sent and got, and how many bytes it has sent.
    pub(crate) sent_counts: Vec<u64>,
    pub(crate) received_counts: Vec<u64>,
    pub(crate) sent_bytes: Vec<u64>,
}

/// The simulated system.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) faults: Faults,
    pub(crate) seen: Seen,
    epoch: Instant,
    now_ms: u64,
    random: SmallRng,
    nodes: Vec<Node>,
    entry_count: usize,
    minions: Vec<Minion>,
    heartbeats: Vec<(u64, u64, bool)>,
    hanging: HashSet<usize>,
    datagrams: BTreeMap<(u64, u64), (usize, SocketAddr, Packet)>,
    calls: Vec<PendingCall>,
    lives: Vec<u64>,
    next_id: u64,
    callers: HashMap<(usize, CallerId), Caller>,
    resubmissions: Vec<(u64, Submission)>,
    /// Starts of each job, by the entry's life that owns it.
    begun: HashSet<JobName>,
    works: HashMap<TaskName, TaskProfile>,
    work_default: TaskProfile,
    /// What happened, for the message of a failure.
    trace: Vec<(u64, Option<JobName>, String)>,
}

impl World {
    pub(crate) fn new(entry_count: usize, sidecar_count: usize, seed: u64, faults: Faults) -> Self {
        let epoch = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let work_default = TaskProfile {
            run_ms: 100,
            room: task_room(),
            fails: false,
            hangs: false,
        };
        let capacity = Resources {
            cpu_millicores: 1_000 * TASKS_PER_MINION,
            memory_mib: 100 * TASKS_PER_MINION,
            accelerator_count: 0,
        };
        let minions = (0..sidecar_count)
            .map(|index| {
                let drift = random.random_range(0..=20);
                Minion::new(format!("minion-{index}-0"), capacity, drift, 0)
            })
            .collect();
        let mut world = Self {
            faults,
            seen: Seen {
                sent_counts: vec![0; entry_count + sidecar_count],
                received_counts: vec![0; entry_count + sidecar_count],
                sent_bytes: vec![0; entry_count + sidecar_count],
                ..Seen::default()
            },
            epoch,
            now_ms: 0,
            random,
            nodes: Vec::new(),
            entry_count,
            minions,
            heartbeats: vec![(1, 1, false); sidecar_count],
            hanging: HashSet::new(),
            datagrams: BTreeMap::new(),
            calls: Vec::new(),
            lives: vec![0; entry_count + sidecar_count],
            next_id: 0,
            callers: HashMap::new(),
            resubmissions: Vec::new(),
            begun: HashSet::new(),
            works: HashMap::new(),
            work_default,
            trace: Vec::new(),
        };
        for index in 0..entry_count + sidecar_count {
            let address = address(index);
            world.nodes.push(Node {
                address,
                entry: None,
                sidecar: None,
                cut_until_ms: 0,
                frozen_until_ms: 0,
                down_until_ms: 0,
                inbox: Vec::new(),
                next_tick_ms: 0,
            });
            world.begin_process(index);
        }
        world
    }

    /// Lets the system find itself, without faults.
    pub(crate) fn settle(&mut self) {
        let faults = std::mem::take(&mut self.faults);
        self.advance(2_500);
        self.faults = faults;
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub(crate) fn random(&mut self) -> &mut SmallRng {
        &mut self.random
    }

    pub(crate) fn entry(&self, index: usize) -> Option<&Entry> {
        self.nodes[index].entry.as_ref()
    }

    pub(crate) fn set_work(&mut self, task: TaskName, work: TaskProfile) {
        self.works.insert(task, work);
    }

    /// Lets all tasks run that long.
    pub(crate) fn set_run_ms(&mut self, run_ms: u64) {
        self.work_default.run_ms = run_ms;
    }

    pub(crate) fn kill(&mut self, node: usize, down_ms: u64) {
        self.end_process(node, down_ms);
    }

    pub(crate) fn freeze(&mut self, node: usize, for_ms: u64) {
        self.nodes[node].frozen_until_ms = self.now_ms + for_ms;
    }

    pub(crate) fn cut(&mut self, node: usize, for_ms: u64) {
        self.nodes[node].cut_until_ms = self.now_ms + for_ms;
    }

    /// Lets all tasks that a minion begins from now on stand still.
    pub(crate) fn hang_tasks_of(&mut self, minion: usize) {
        self.hanging.insert(minion);
    }

    pub(crate) fn drain(&mut self, minion: usize) {
        self.heartbeats[minion].2 = true;
        self.heartbeats[minion].0 = self.now_ms;
    }

    /// Lets a minion tell its sidecar of itself only after a while.
    pub(crate) fn register_after(&mut self, minion: usize, pause_ms: u64) {
        self.heartbeats[minion].0 = self.now_ms + pause_ms;
    }

    pub(crate) fn has_runs_at(&self, minion: usize) -> bool {
        self.minions[minion].running().next().is_some()
    }

    /// Hands a job of one step in, at a random entry that is up.
    pub(crate) fn submit(&mut self, tasks: u32, patience_ms: u64) -> JobName {
        self.submit_with(tasks, patience_ms, |_| {})
    }

    /// Hands a job of one step in that was changed, at a random entry that is up.
    pub(crate) fn submit_with(
        &mut self,
        tasks: u32,
        patience_ms: u64,
        change: impl FnOnce(&mut StepRequest),
    ) -> JobName {
        self.next_id += 1;
        let name = JobName(self.next_id);
        let mut submission = Submission {
            name,
            host: "host".into(),
            path: format!("/jobs/{name}"),
            spec: "what to run".into(),
            steps: vec![StepRequest {
                task_count: tasks,
                room: task_room(),
                estimate: Duration::from_millis(self.work_default.run_ms),
                after: SmallVec::new(),
                required_label: None,
                per_minion_max: None,
                data_rack: None,
            }],
            caller_timeout: Duration::from_millis(patience_ms),
            is_supported: true,
        };
        change(&mut submission.steps[0]);
        self.hand_in(submission);
        name
    }

    /// Checks that a job was answered once, as completed.
    ///
    /// # Panics
    ///
    /// Panics with the story of the job if it was not.
    pub(crate) fn assert_completed(&self, job: JobName) {
        let answers = self.seen.answers.get(&job).map(Vec::as_slice);
        let story = self.story(job);
        assert_eq!(answers, Some(&[Answer::Completed][..]), "{story}");
    }

    /// Returns the minions at which runs of a job are.
    pub(crate) fn minions_of(&self, job: JobName) -> Vec<usize> {
        let minions = self.minions.iter().enumerate();
        minions
            .filter(|(_, minion)| minion.running().any(|run| run.task.job == job))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns how many sidecars each entry has sessions with.
    pub(crate) fn session_counts(&self) -> Vec<usize> {
        let entries = self.nodes.iter().filter_map(|node| node.entry.as_ref());
        entries.map(Entry::session_count).collect()
    }

    /// Returns how many entries each sidecar has sessions with.
    pub(crate) fn sharer_counts(&self) -> Vec<usize> {
        let sidecars = self.nodes.iter().filter_map(|node| node.sidecar.as_ref());
        sidecars
            .map(|endpoint| endpoint.sidecar().entries().count())
            .collect()
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.step();
        }
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    fn step(&mut self) {
        self.now_ms += 1;
        self.disturb();
        self.beat();
        self.carry_out_calls();
        for minion in &mut self.minions {
            minion.advance(self.now_ms);
        }
        self.answer_holds();
        self.time_calls_out();
        self.deliver();
        self.hand_in_again();
        for index in 0..self.nodes.len() {
            self.run_process(index);
        }
        self.check();
    }

    fn check(&self) {
        let mut places: HashMap<TaskName, usize> = HashMap::new();
        for (index, minion) in self.minions.iter().enumerate() {
            assert!(
                minion.used().fits_into(minion.capacity),
                "minion {index} is over its capacity at {} ms",
                self.now_ms
            );
            for run in minion.running() {
                if let Some(other) = places.insert(run.task, index) {
                    panic!(
                        "task {:?} runs at minions {other} and {index} at {} ms\n{}",
                        run.task,
                        self.now_ms,
                        self.story(run.task.job)
                    );
                }
            }
        }
    }

    /// Returns what happened to a job, and to machines in the last seconds.
    pub(crate) fn story(&self, job: JobName) -> String {
        let matters = |(at, of, _): &&(u64, Option<JobName>, String)| match of {
            Some(of) => *of == job,
            None => *at + 6_000 > self.now_ms,
        };
        let lines = self.trace.iter().filter(matters);
        lines
            .map(|(at, _, text)| format!("{at:>7} ms  {text}\n"))
            .collect()
    }

    /// Returns the stories of the jobs whose callers still wait.
    pub(crate) fn waiting_stories(&self) -> String {
        let waiting = self.callers.values();
        waiting.map(|caller| self.story(caller.job)).collect()
    }

    fn note(&mut self, job: Option<JobName>, text: String) {
        self.trace.push((self.now_ms, job, text));
    }

    fn disturb(&mut self) {
        let permille = self.faults.disturbances_permille;
        if permille == 0 || self.random.random_range(0..1_000_000) >= permille {
            return;
        }
        let node = self.random.random_range(0..self.nodes.len());
        let for_ms = self.random.random_range(100..4_000);
        let kind = match self.random.random_range(0..5) {
            0 => Disturbance::Cut,
            1 => Disturbance::Freeze,
            2 => Disturbance::Kill,
            3 => Disturbance::MinionCrash,
            _ => Disturbance::MinionDrain,
        };
        self.note(None, format!("{kind:?} of node {node} for {for_ms} ms"));
        match kind {
            Disturbance::Cut => self.cut(node, for_ms),
            Disturbance::Freeze => self.freeze(node, for_ms),
            Disturbance::Kill => self.end_process(node, for_ms),
            Disturbance::MinionCrash | Disturbance::MinionDrain => {
                let minion = self.random.random_range(0..self.minions.len());
                if kind == Disturbance::MinionDrain {
                    self.drain(minion);
                } else {
                    self.rebirth(minion);
                }
            }
        }
    }

    /// Lets a minion crash and begin a new life, at times under its old name.
    fn rebirth(&mut self, index: usize) {
        self.note(None, format!("minion {index} crashes"));
        let old = &self.minions[index];
        let (capacity, drift) = (old.capacity, old.drift_permille);
        let instance = if self.random.random_bool(0.5) {
            old.instance.clone()
        } else {
            format!("minion-{index}-{}", self.now_ms)
        };
        self.minions[index] = Minion::new(instance, capacity, drift, self.now_ms);
        self.heartbeats[index] = (self.now_ms + 300, 1, false);
    }

    fn beat(&mut self) {
        for index in 0..self.minions.len() {
            let (due_ms, sequence, is_draining) = self.heartbeats[index];
            if due_ms > self.now_ms {
                continue;
            }
            self.heartbeats[index] = (self.now_ms + HEARTBEAT_MS, sequence + 1, is_draining);
            let minion = &self.minions[index];
            let report = MinionHeartbeat {
                profile: MinionProfile {
                    instance: minion.instance.clone(),
                    service: "service".into(),
                    capacity: minion.capacity,
                    labels: labels(index),
                },
                started_unix_ms: minion.started_unix_ms,
                sequence,
                is_draining,
            };
            let now = self.now();
            let node = &mut self.nodes[self.entry_count + index];
            if node.frozen_until_ms <= self.now_ms
                && let Some(sidecar) = &mut node.sidecar
            {
                sidecar.sidecar_mut().heartbeat_received(report, now);
            }
        }
    }

    fn is_late(&mut self) -> bool {
        self.random.random_range(0..1_000) < self.faults.orders_late_permille
    }

    fn add_call(&mut self, node: usize, content: CallContent) {
        let timeout_ms = match &content {
            CallContent::Hold(call) => call.wait_ms + CALL_TIMEOUT_MS,
            _ => CALL_TIMEOUT_MS,
        };
        let is_late = self.is_late();
        let delay_ms = if is_late {
            self.random.random_range(2_000..6_000)
        } else {
            self.random.random_range(0..3)
        };
        let is_lost = self.random.random_range(0..1_000) < self.faults.answers_lost_permille;
        self.calls.push(PendingCall {
            node,
            life: self.lives[node],
            content,
            is_carried_out: false,
            carry_out_ms: self.now_ms + delay_ms,
            answer_by_ms: self.now_ms + timeout_ms,
            is_answered: is_lost,
            accepted_hold_until_ms: None,
        });
    }

    fn carry_out_calls(&mut self) {
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if call.is_carried_out || call.carry_out_ms > self.now_ms {
                continue;
            }
            call.is_carried_out = true;
            let minion = &mut self.minions[call.node - self.entry_count];
            let answer = match &call.content {
                CallContent::Start(start) => {
                    let work = self.works.get(&start.run.task).copied();
                    let mut work = work.unwrap_or(self.work_default);
                    let permille = self.faults.tasks_failed_permille;
                    work.hangs |= self.hanging.contains(&(call.node - self.entry_count));
                    work.fails |= self.random.random_range(0..1_000) < permille;
                    let before = minion.running().any(|run| run == start.run);
                    let answer = minion.start(start, work, self.now_ms);
                    let place = call.node - self.entry_count;
                    let text = format!("start {:?} at minion {place}: {answer:?}", start.run);
                    self.trace
                        .push((self.now_ms, Some(start.run.task.job), text));
                    if answer == OrderAnswer::Accepted && !before {
                        self.begun.insert(start.run.task.job);
                        self.seen.started_count += 1;
                    }
                    Some(answer)
                }
                CallContent::Stop(stop) => {
                    let answer = minion.stop(stop, self.now_ms);
                    let place = call.node - self.entry_count;
                    let text = format!("stop {:?} at minion {place}: {answer:?}", stop.run);
                    self.trace
                        .push((self.now_ms, Some(stop.run.task.job), text));
                    Some(answer)
                }
                CallContent::Hold(hold) => {
                    if minion.hold(hold, self.now_ms) {
                        call.accepted_hold_until_ms = Some(self.now_ms + hold.wait_ms);
                    }
                    None
                }
            };
            if let Some(answer) = answer {
                let clock_ms = Some(minion.clock_ms(self.now_ms));
                self.answer_order(call, answer, clock_ms);
            }
        }
        calls.append(&mut self.calls);
        self.calls = calls;
    }

    fn answer_order(&mut self, call: &mut PendingCall, answer: OrderAnswer, clock: Option<u64>) {
        if call.is_answered {
            return;
        }
        call.is_answered = true;
        let now = self.now();
        let Some(endpoint) = self.sidecar_of(call) else {
            return;
        };
        match &call.content {
            CallContent::Start(start) => {
                endpoint
                    .sidecar_mut()
                    .start_answered(start.call, answer, clock, now);
            }
            CallContent::Stop(stop) => {
                endpoint
                    .sidecar_mut()
                    .stop_answered(stop.call, answer, clock, now);
            }
            CallContent::Hold(_) => {}
        }
    }

    /// Returns the sidecar that gave an order, if that process still lives.
    fn sidecar_of(&mut self, call: &PendingCall) -> Option<&mut SidecarEndpoint> {
        let is_same = self.lives[call.node] == call.life;
        let sidecar = self.nodes[call.node].sidecar.as_mut();
        sidecar.filter(|_| is_same)
    }

    fn answer_holds(&mut self) {
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            let (Some(until_ms), CallContent::Hold(hold)) =
                (call.accepted_hold_until_ms, &call.content)
            else {
                continue;
            };
            let minion = &self.minions[call.node - self.entry_count];
            let is_due = until_ms <= self.now_ms || minion.has_unacknowledged_ends();
            if call.is_answered || !is_due || minion.instance != hold.instance {
                continue;
            }
            call.is_answered = true;
            let answer = minion.hold_answer(self.now_ms);
            let (number, now) = (hold.call, self.now());
            if let Some(endpoint) = self.sidecar_of(call) {
                endpoint
                    .sidecar_mut()
                    .hold_answered(number, Some(answer), now);
            }
        }
        self.calls = calls;
    }

    fn time_calls_out(&mut self) {
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if call.answer_by_ms != self.now_ms {
                continue;
            }
            // Without effect on calls whose answer has arrived: their number is forgotten.
            call.is_answered = true;
            let now = self.now();
            let Some(endpoint) = self.sidecar_of(call) else {
                continue;
            };
            let sidecar = endpoint.sidecar_mut();
            match &call.content {
                CallContent::Start(start) => {
                    sidecar.start_answered(start.call, OrderAnswer::NoAnswer, None, now);
                }
                CallContent::Stop(stop) => {
                    sidecar.stop_answered(stop.call, OrderAnswer::NoAnswer, None, now);
                }
                CallContent::Hold(hold) => sidecar.hold_answered(hold.call, None, now),
            }
        }
        let now_ms = self.now_ms;
        calls.retain(|call| !call.is_carried_out || call.answer_by_ms > now_ms);
        calls.append(&mut self.calls);
        self.calls = calls;
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.datagrams.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let (to, from, packet) = entry.remove();
            let node = &mut self.nodes[to];
            let is_there = node.entry.is_some() || node.sidecar.is_some();
            self.seen.received_counts[to] += 1;
            if is_there && node.cut_until_ms <= self.now_ms {
                node.inbox.push((from, packet));
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        self.seen.sent_counts[from] += 1;
        let bytes = postcard::to_stdvec(&packet).expect("packets can be encoded");
        self.seen.sent_bytes[from] += bytes.len() as u64;
        let lost = self.random.random_range(0..1_000) < self.faults.datagrams_lost_permille;
        if lost || self.nodes[from].cut_until_ms > self.now_ms {
            return;
        }
        let Some(to) = node_at(to).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        let delay_ms = 1 + self
            .random
            .random_range(0..=self.faults.datagram_delay_max_ms);
        self.next_id += 1;
        let key = (self.now_ms + delay_ms, self.next_id);
        self.datagrams.insert(key, (to, address(from), packet));
    }

    fn run_process(&mut self, index: usize) {
        if self.nodes[index].down_until_ms == self.now_ms {
            self.begin_process(index);
        }
        if self.nodes[index].frozen_until_ms > self.now_ms {
            return;
        }
        let now = self.now();
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        let inbox = std::mem::take(&mut node.inbox);
        let is_tick = node.next_tick_ms <= now_ms;
        if is_tick {
            node.next_tick_ms = now_ms + 10;
        }
        let mut datagrams = Vec::new();
        let mut orders = Vec::new();
        let mut answers = Vec::new();
        if let Some(entry) = &mut node.entry {
            for (from, packet) in inbox {
                entry.receive(from, packet, now);
            }
            if is_tick {
                entry.tick(now);
            }
            entry.place_waiting(now);
            answers = entry.take_actions();
            datagrams = entry.poll(now);
        } else if let Some(endpoint) = &mut node.sidecar {
            endpoint.sidecar_mut().tick(now);
            for (from, packet) in inbox {
                endpoint.receive(from, packet, now);
            }
            endpoint.sidecar_mut().tick(now);
            let outgoing = endpoint.poll(now);
            datagrams = outgoing.datagrams;
            orders = outgoing.orders;
        }
        for (to, packet) in datagrams {
            self.send(index, to, packet);
        }
        for order in orders {
            match order {
                SidecarAction::Start(call) => self.add_call(index, CallContent::Start(call)),
                SidecarAction::Stop(call) => self.add_call(index, CallContent::Stop(call)),
                SidecarAction::Hold(call) => self.add_call(index, CallContent::Hold(call)),
                SidecarAction::Send(..) => panic!("messages are sent by the endpoint"),
            }
        }
        for action in answers {
            if let EntryAction::Answer { caller, answer, .. } = action {
                self.take_answer(index, caller, answer);
            }
        }
    }

    fn take_answer(&mut self, entry: usize, caller: CallerId, answer: Answer) {
        let Some(caller) = self.callers.remove(&(entry, caller)) else {
            panic!("a caller was answered twice at {} ms", self.now_ms);
        };
        self.note(
            Some(caller.job),
            format!("entry {entry} answers {answer:?}"),
        );
        if matches!(answer, Answer::Refused { .. }) {
            assert!(
                !self.begun.contains(&caller.job) || self.was_resubmitted(caller.job),
                "{} was refused at {} ms, but a task of it has begun",
                caller.job,
                self.now_ms
            );
        }
        let answers = self.seen.answers.entry(caller.job).or_default();
        answers.push(answer);
        if answer == Answer::GivenUp {
            self.resubmit(caller.submission);
        }
    }

    fn was_resubmitted(&self, job: JobName) -> bool {
        self.seen
            .answers
            .get(&job)
            .is_some_and(|answers| !answers.is_empty())
            || self.seen.unanswered.contains(&job)
    }

    fn resubmit(&mut self, submission: Submission) {
        self.seen.resubmitted_count += 1;
        self.resubmissions
            .push((self.now_ms + RESUBMISSION_MS, submission));
    }

    fn hand_in_again(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.resubmissions)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        self.resubmissions = later;
        for (_, submission) in due {
            self.hand_in(submission);
        }
    }

    fn hand_in(&mut self, submission: Submission) {
        let up: Vec<usize> = (0..self.entry_count)
            .filter(|index| self.nodes[*index].entry.is_some())
            .collect();
        if up.is_empty() {
            return;
        }
        let index = up[self.random.random_range(0..up.len())];
        self.next_id += 1;
        let id = self.next_id;
        self.note(Some(submission.name), format!("handed in at entry {index}"));
        let now = self.now();
        let patience_ms = submission.caller_timeout.as_millis() as u64;
        self.callers.insert(
            (index, id),
            Caller {
                job: submission.name,
                entry: index,
                entry_life: self.lives[index],
                submission: submission.clone(),
                patience_end_ms: self.now_ms + patience_ms,
            },
        );
        let entry = self.nodes[index].entry.as_mut().expect("the entry is up");
        entry.submit(id, submission, now);
    }

    fn end_process(&mut self, index: usize, down_ms: u64) {
        let node = &mut self.nodes[index];
        node.entry = None;
        node.sidecar = None;
        node.inbox.clear();
        node.down_until_ms = self.now_ms + down_ms.max(1);
        self.lives[index] += 1;
        // The channels of its callers break.
        let broken: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.entry == index)
            .map(|(key, _)| *key)
            .collect();
        for key in broken {
            if let Some(caller) = self.callers.remove(&key) {
                self.seen.unanswered.push(caller.job);
                self.resubmit(caller.submission);
            }
        }
    }

    fn begin_process(&mut self, index: usize) {
        self.next_id += 1;
        let is_entry = index < self.entry_count;
        let identity = Identity {
            incarnation: self.random.random_range(1..u64::MAX),
            role: if is_entry { Role::Entry } else { Role::Sidecar },
            started_at: self.now(),
        };
        let sessions = Sessions::new(identity, SessionSettings::default());
        self.lives[index] += 1;
        let seed = self.next_id;
        let token = self.now_ms + 1;
        let now = self.now();
        let entry_count = self.entry_count;
        let node_count = self.nodes.len().max(entry_count + self.minions.len());
        let node = &mut self.nodes[index];
        if is_entry {
            let settings = EntrySettings {
                seed,
                ..EntrySettings::default()
            };
            let mut entry = Entry::new(settings, sessions);
            entry.configure(configuration(), "test", now);
            for other in (0..entry_count).filter(|other| *other != index) {
                entry.add_peer(address(other), None);
            }
            for sidecar in entry_count..node_count {
                entry.add_sidecar(place(sidecar, entry_count), Source::First);
            }
            node.entry = Some(entry);
        } else {
            let sidecar = Sidecar::new(SidecarSettings::default(), token);
            let vm = format!("vm-{index}");
            let endpoint = SidecarEndpoint::new(sidecar, sessions, vm, address(index));
            node.sidecar = Some(endpoint);
        }
    }
}

/// Returns what each task takes up.
pub(crate) fn task_room() -> Resources {
    Resources {
        cpu_millicores: 1_000,
        memory_mib: 100,
        accelerator_count: 0,
    }
}

/// Returns a configuration with one queue.
pub(crate) fn configuration() -> Configuration {
    Configuration {
        version: 1,
        queues: vec![Queue {
            name: "queue".into(),
            host: "host".into(),
            path_prefix: "/jobs/".into(),
            service: "service".into(),
            policy: QueuePolicy {
                priority: 1,
                attempt_count_max: 3,
                stretch_permille: 1_600,
                target_latency: Duration::from_millis(60),
            },
            has_advice: false,
        }],
        body_bytes_max: 262_144,
    }
}

fn place(index: usize, entry_count: usize) -> SidecarRecord {
    SidecarRecord {
        vm: format!("vm-{index}"),
        address: address(index),
        service: "service".into(),
        capacity: Resources {
            cpu_millicores: 1_000 * TASKS_PER_MINION,
            memory_mib: 100 * TASKS_PER_MINION,
            accelerator_count: 0,
        },
        labels: labels(index - entry_count),
    }
}

/// Returns the labels of a minion: its kind, and a rack that no other has.
pub(crate) fn labels(minion: usize) -> Vec<String> {
    vec!["kind".into(), format!("rack-{minion}")]
}

fn node_at(address: SocketAddr) -> Option<usize> {
    usize::from(address.port()).checked_sub(10_000)
}

fn address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("few nodes");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
