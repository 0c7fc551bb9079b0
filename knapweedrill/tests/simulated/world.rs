//! A run of entries and sidecars under faults.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedrill::common::{Incarnation, RequestId};
use knapweedrill::contract::Configuration;
use knapweedrill::entry::{Entry, EntryAction, EntryEvent, EntrySettings, Requester};
use knapweedrill::job::{TaskFailure, TaskOutcome};
use knapweedrill::message::{Role, SlotReport, Start};
use knapweedrill::minion::{Announcement, MinionState};
use knapweedrill::sidecar::{RunResult, Sidecar, SidecarAction, SidecarEvent, SidecarSettings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::caller::{CallerJob, Observations, PendingCall, Tally};
use super::network::{Delivery, Network, millis};
use super::node::{Node, RunningCall, announcement, minion_notice};

const CONFIGURATION: &str = "\
[service embossing]
ejected_max_percent = 50
[kind proof]
service = embossing
class = normal
idempotent = true
deadline_ms = 8000
[team tin-a]
share_percent = 25
[team tin-b]
share_percent = 25
";
const ENTRY_COUNT: usize = 3;
const SIDECAR_COUNT: usize = 3;
const STEP: Duration = Duration::from_millis(5);
const BEAT_STEPS: u32 = 40;
const TICK_STEPS: u32 = 10;
const LOST_AFTER: Duration = Duration::from_secs(2);
const RESULT_MEMORY: Duration = Duration::from_millis(500);
/// How many of the latest jobs are submitted again or cancelled.
const RECENT_JOB_COUNT: usize = 12;

/// How often each fault comes, in 10,000 steps.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) cuts: u32,
    pub(crate) entry_kills: u32,
    pub(crate) entry_stops: u32,
    pub(crate) sidecar_kills: u32,
    pub(crate) sidecar_stops: u32,
    pub(crate) freezes: u32,
    pub(crate) cancels: u32,
}

/// A run of entries and sidecars under faults.
pub(crate) struct World {
    now: Instant,
    random: StdRng,
    faults: Faults,
    nodes: BTreeMap<Incarnation, Node>,
    network: Network,
    frozen_until: BTreeMap<Incarnation, Instant>,
    gone_sidecars: Vec<(Incarnation, Instant)>,
    observations: Observations,
    next_incarnation: Incarnation,
    next_request: RequestId,
    step_count: u32,
}

/// Running.
impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let mut world = Self {
            now: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            faults,
            nodes: BTreeMap::new(),
            network: Network::default(),
            frozen_until: BTreeMap::new(),
            gone_sidecars: Vec::new(),
            observations: Observations::default(),
            next_incarnation: 1,
            next_request: 1,
            step_count: 0,
        };
        for _ in 0..ENTRY_COUNT {
            world.add_entry();
        }
        for _ in 0..SIDECAR_COUNT {
            world.add_sidecar();
        }
        world
    }

    /// Runs under faults and load for a while, and then without until all is answered.
    pub(crate) fn run(&mut self, loaded: Duration, quiet: Duration) {
        let until = self.now + loaded;
        while self.now < until {
            self.make_faults();
            self.make_calls();
            self.step();
        }
        let until = self.now + quiet;
        while self.now < until {
            self.step();
        }
        for call in self.observations.pending.values() {
            let text = format!("a call about job {} is never answered", call.job);
            self.observations.violations.push(text);
        }
    }

    /// Returns what broke a promise.
    pub(crate) fn violations(&self) -> &[String] {
        &self.observations.violations
    }

    /// Returns how often each kind of answer came.
    pub(crate) fn tally(&self) -> Tally {
        self.observations.tally
    }

    fn step(&mut self) {
        self.now += STEP;
        self.step_count += 1;
        let now = self.now;
        self.frozen_until.retain(|_, until| *until > now);
        let frozen = self.frozen_until.clone();
        self.network.reopen(now, |node| frozen.contains_key(&node));
        if self.step_count.is_multiple_of(BEAT_STEPS) {
            self.beat();
        }
        if self.step_count.is_multiple_of(TICK_STEPS) {
            self.tick();
        }
        self.end_calls();
        let is_frozen = |node| frozen.contains_key(&node);
        while let Some((from, to, delivery)) =
            self.network.next_due(now, &mut self.random, is_frozen)
        {
            self.deliver(from, to, delivery);
        }
    }

    fn is_frozen(&self, node: Incarnation) -> bool {
        self.frozen_until.contains_key(&node)
    }

    fn chance(&mut self, in_ten_thousand: u32) -> bool {
        self.random.random_range(0..10_000) < in_ten_thousand
    }

    fn choose(&mut self, candidates: &[Incarnation]) -> Option<Incarnation> {
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.random.random_range(0..candidates.len())])
    }

    fn entries(&self) -> Vec<Incarnation> {
        let entries = self.nodes.iter();
        let entries = entries.filter(|(_, node)| matches!(node, Node::Entry { .. }));
        entries.map(|(incarnation, _)| *incarnation).collect()
    }

    fn sidecars(&self) -> Vec<Incarnation> {
        let sidecars = self.nodes.iter();
        let sidecars = sidecars.filter(|(_, node)| matches!(node, Node::Sidecar { .. }));
        sidecars.map(|(incarnation, _)| *incarnation).collect()
    }
}

/// Processes that come and go.
impl World {
    fn new_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn add_entry(&mut self) {
        let incarnation = self.new_incarnation();
        let settings = EntrySettings::new().seed(incarnation);
        let entry = Entry::new(incarnation, settings, self.now);
        let node = Node::Entry {
            entry: Box::new(entry),
            actions: Vec::new(),
            stops: false,
        };
        for other in self.entries() {
            self.network.connect(incarnation, other, self.now);
        }
        self.nodes.insert(incarnation, node);
        let configuration = configuration();
        let event = EntryEvent::Configured {
            version: 1,
            configuration,
        };
        self.tell_entry(incarnation, event);
        self.beat();
    }

    fn add_sidecar(&mut self) {
        let incarnation = self.new_incarnation();
        let sidecar = Sidecar::new(incarnation, sidecar_settings());
        let node = Node::Sidecar {
            sidecar: Box::new(sidecar),
            actions: Vec::new(),
            calls: Vec::new(),
            stops: false,
        };
        self.nodes.insert(incarnation, node);
        self.tell_sidecar(incarnation, SidecarEvent::Configured(configuration()));
        self.tell_sidecar(incarnation, SidecarEvent::Minion(minion_notice()));
        self.beat();
    }

    fn make_faults(&mut self) {
        let faults = self.faults;
        if self.chance(faults.cuts) {
            self.cut_any();
        }
        if self.chance(faults.entry_kills) {
            let victim = self.choose(&self.entries());
            self.kill_entry(victim);
        }
        if self.chance(faults.sidecar_kills) {
            let victim = self.choose(&self.sidecars());
            self.kill_sidecar(victim);
        }
        if self.chance(faults.freezes) {
            self.freeze_any();
        }
        if self.chance(faults.entry_stops) {
            self.stop_entry();
        }
        if self.chance(faults.sidecar_stops) {
            let victim = self.choose(&self.sidecars());
            self.stop_sidecar(victim);
        }
    }

    fn cut_any(&mut self) {
        let pairs = self.network.open_pairs();
        if pairs.is_empty() {
            return;
        }
        let pair = pairs[self.random.random_range(0..pairs.len())];
        self.cut(pair);
    }

    fn cut(&mut self, pair: (Incarnation, Incarnation)) {
        let frozen = &self.frozen_until;
        let is_frozen = |node| frozen.contains_key(&node);
        self.network
            .cut(pair, self.now, &mut self.random, is_frozen);
    }

    fn kill_entry(&mut self, victim: Option<Incarnation>) {
        let Some(victim) = victim else { return };
        self.nodes.remove(&victim);
        self.network.remove(victim, false, self.now);
        let jobs = self.observations.break_calls(victim);
        self.add_entry();
        for job in jobs {
            self.submit(job);
        }
    }

    fn kill_sidecar(&mut self, victim: Option<Incarnation>) {
        let Some(victim) = victim else { return };
        self.nodes.remove(&victim);
        self.network.remove(victim, false, self.now);
        self.gone_sidecars.push((victim, self.now + LOST_AFTER));
        self.add_sidecar();
    }

    /// Freezes a process; the others give up the links to it one after another.
    fn freeze_any(&mut self) {
        let nodes: Vec<Incarnation> = self.nodes.keys().copied().collect();
        let Some(victim) = self.choose(&nodes) else {
            return;
        };
        let span = millis(&mut self.random, 500..=9000);
        self.frozen_until.insert(victim, self.now + span);
        for pair in self.network.open_pairs() {
            let touches = pair.0 == victim || pair.1 == victim;
            if touches && span > LOST_AFTER {
                self.cut(pair);
            }
        }
    }

    fn stop_entry(&mut self) {
        let Some(victim) = self.choose(&self.entries()) else {
            return;
        };
        if let Some(Node::Entry { stops, .. }) = self.nodes.get_mut(&victim) {
            if std::mem::replace(stops, true) {
                return;
            }
            self.tell_entry(victim, EntryEvent::Stop);
            for other in self.entries() {
                if other != victim {
                    self.tell_entry(other, EntryEvent::EntryStopping { entry: victim });
                }
            }
            self.add_entry();
        }
    }

    fn stop_sidecar(&mut self, victim: Option<Incarnation>) {
        let Some(victim) = victim else { return };
        if let Some(Node::Sidecar { stops, .. }) = self.nodes.get_mut(&victim) {
            if std::mem::replace(stops, true) {
                return;
            }
            self.tell_sidecar(victim, SidecarEvent::Stop);
            self.add_sidecar();
        }
    }

    fn entry_ended(&mut self, entry: Incarnation) {
        self.nodes.remove(&entry);
        self.network.remove(entry, true, self.now);
        for job in self.observations.break_calls(entry) {
            let text = format!("the planned stop of {entry} cut a call about job {job}");
            self.observations.violations.push(text);
        }
    }

    fn sidecar_ended(&mut self, sidecar: Incarnation) {
        self.nodes.remove(&sidecar);
        self.network.remove(sidecar, true, self.now);
        self.gone_sidecars.push((sidecar, self.now + LOST_AFTER));
    }
}

/// Callers.
impl World {
    fn make_calls(&mut self) {
        if self.chance(800) {
            self.new_job();
        }
        let job_count = self.observations.jobs.len();
        let recent = job_count.saturating_sub(RECENT_JOB_COUNT)..job_count;
        if recent.is_empty() {
            return;
        }
        if self.chance(400) {
            let job = self.random.random_range(recent.clone());
            self.submit(job);
        }
        if self.chance(self.faults.cancels) {
            let job = self.random.random_range(recent);
            let request = self.observations.jobs[job].cancellation();
            self.request(job, request);
        }
    }

    fn new_job(&mut self) {
        let Some(owner) = self.choose(&self.entries()) else {
            return;
        };
        let Some(Node::Entry { entry, .. }) = self.nodes.get(&owner) else {
            return;
        };
        let Some(token) = entry.owner_token() else {
            return;
        };
        let task_count = self.random.random_range(1..=8);
        let run_ms: Vec<u64> = (0..task_count)
            .map(|_| self.random.random_range(10..=200))
            .collect();
        let number = self.observations.jobs.len();
        let job = CallerJob::new(number, token, &run_ms);
        self.observations.jobs.push(job);
        self.submit(number);
    }

    fn submit(&mut self, job: usize) {
        let request = self.observations.jobs[job].submission();
        self.request(job, request);
    }

    fn request(&mut self, job: usize, request: knapweedrill::entry::CallerRequest) {
        let entries: Vec<Incarnation> = self
            .entries()
            .into_iter()
            .filter(|entry| {
                let node = self.nodes.get(entry);
                matches!(node, Some(Node::Entry { stops: false, .. })) && !self.is_frozen(*entry)
            })
            .collect();
        let Some(entry) = self.choose(&entries) else {
            return;
        };
        let number = self.next_request;
        self.next_request += 1;
        let call = PendingCall { entry, job };
        self.observations.pending.insert(number, call);
        let requester = Requester::Caller { request: number };
        self.tell_entry(entry, EntryEvent::Request { requester, request });
    }
}

/// What reaches the state machines, and what they want done.
impl World {
    fn beat(&mut self) {
        for sidecar in self.sidecars() {
            if !self.is_frozen(sidecar) {
                self.tell_sidecar(sidecar, SidecarEvent::Minion(minion_notice()));
                self.announce(sidecar);
            }
        }
        let now = self.now;
        let lost: Vec<Incarnation> = self
            .gone_sidecars
            .extract_if(.., |(_, at)| *at <= now)
            .map(|(sidecar, _)| sidecar)
            .collect();
        for sidecar in lost {
            for entry in self.entries() {
                self.tell_entry(entry, EntryEvent::MinionLost { sidecar });
            }
        }
    }

    fn announce(&mut self, sidecar: Incarnation) {
        let Some((announcement, report)) = self.announcement(sidecar) else {
            return;
        };
        for entry in self.entries() {
            if self.is_frozen(entry) {
                continue;
            }
            let event = EntryEvent::Minion {
                announcement: announcement.clone(),
            };
            self.tell_entry(entry, event);
            self.tell_entry(entry, EntryEvent::SlotsReported { sidecar, report });
            self.network.connect(entry, sidecar, self.now);
        }
    }

    fn announcement(&self, incarnation: Incarnation) -> Option<(Announcement, SlotReport)> {
        let Some(Node::Sidecar { sidecar, .. }) = self.nodes.get(&incarnation) else {
            return None;
        };
        let state: MinionState = sidecar.minion_state(self.now);
        let report = sidecar.slot_report(self.now);
        Some((announcement(incarnation, state), report))
    }

    fn tick(&mut self) {
        for entry in self.entries() {
            if !self.is_frozen(entry) {
                self.tell_entry(entry, EntryEvent::Tick);
            }
        }
        for sidecar in self.sidecars() {
            if !self.is_frozen(sidecar) {
                self.tell_sidecar(sidecar, SidecarEvent::Tick);
            }
        }
    }

    fn end_calls(&mut self) {
        let now = self.now;
        for incarnation in self.sidecars() {
            if self.is_frozen(incarnation) {
                continue;
            }
            let Some(Node::Sidecar { calls, .. }) = self.nodes.get_mut(&incarnation) else {
                continue;
            };
            let ended: Vec<RunningCall> =
                calls.extract_if(.., |call| call.ends_at <= now).collect();
            for call in ended {
                let event = SidecarEvent::CallEnded {
                    task: call.task,
                    attempt: call.attempt,
                    result: call.result,
                    run_time: now.duration_since(call.began_at),
                };
                self.tell_sidecar(incarnation, event);
            }
        }
    }

    fn deliver(&mut self, peer: Incarnation, to: Incarnation, delivery: Delivery) {
        let role = match self.role_of(peer) {
            Some(role) => role,
            // Only the role of a process that opens a session is asked for, and it runs.
            None => Role::Entry,
        };
        match self.nodes.get(&to) {
            Some(Node::Entry { .. }) => {
                let event = match delivery {
                    Delivery::Up(_) => EntryEvent::PeerUp { peer, role },
                    Delivery::Down => EntryEvent::PeerDown { peer },
                    Delivery::Message(message) => EntryEvent::Message { peer, message },
                };
                self.tell_entry(to, event);
            }
            Some(Node::Sidecar { .. }) => {
                let event = match delivery {
                    Delivery::Up(_) => SidecarEvent::PeerUp { peer },
                    Delivery::Down => SidecarEvent::PeerDown { peer },
                    Delivery::Message(message) => SidecarEvent::Message { peer, message },
                };
                self.tell_sidecar(to, event);
            }
            None => {}
        }
    }

    fn role_of(&self, peer: Incarnation) -> Option<Role> {
        self.nodes.get(&peer).map(|node| match node {
            Node::Entry { .. } => Role::Entry,
            Node::Sidecar { .. } => Role::Sidecar,
        })
    }

    fn tell_entry(&mut self, incarnation: Incarnation, event: EntryEvent) {
        let now = self.now;
        let Some(Node::Entry { entry, actions, .. }) = self.nodes.get_mut(&incarnation) else {
            return;
        };
        entry.handle(event, now, actions);
        entry.flush(now, actions);
        for action in std::mem::take(actions) {
            self.do_entry(incarnation, action);
        }
    }

    fn do_entry(&mut self, entry: Incarnation, action: EntryAction) {
        match action {
            EntryAction::Respond { request, response } => {
                self.observations.note_answer(request, response);
            }
            EntryAction::Send { peer, message } => {
                let due = self.due();
                self.network.send(entry, peer, message, due);
            }
            EntryAction::Stopped => self.entry_ended(entry),
            EntryAction::Record(_) | EntryAction::Count(_) => {}
        }
    }

    fn tell_sidecar(&mut self, incarnation: Incarnation, event: SidecarEvent) {
        let now = self.now;
        let Some(Node::Sidecar {
            sidecar, actions, ..
        }) = self.nodes.get_mut(&incarnation)
        else {
            return;
        };
        sidecar.handle(event, now, actions);
        sidecar.flush(now, actions);
        for action in std::mem::take(actions) {
            self.do_sidecar(incarnation, action);
        }
    }

    fn do_sidecar(&mut self, sidecar: Incarnation, action: SidecarAction) {
        match action {
            SidecarAction::Send { peer, message } => {
                let due = self.due();
                self.network.send(sidecar, peer, message, due);
            }
            SidecarAction::Run(start) => self.call_minion(sidecar, start),
            SidecarAction::AnnounceNow => self.announce(sidecar),
            SidecarAction::Stopped => self.sidecar_ended(sidecar),
            // A call that is given up goes on at the minion.
            SidecarAction::Abandon(_) | SidecarAction::Record(_) | SidecarAction::Count(_) => {}
        }
    }

    fn call_minion(&mut self, sidecar: Incarnation, start: Start) {
        let result = if self.chance(100) {
            RunResult::NotSent
        } else if self.chance(30) {
            let failure = TaskFailure::ConnectionLost;
            RunResult::Sent(TaskOutcome::Failed { failure })
        } else {
            let result = start.payload.clone();
            RunResult::Sent(TaskOutcome::Done { result })
        };
        if result != RunResult::NotSent {
            self.observations.note_start(start.task, sidecar);
        }
        let run = start.expected.max(Duration::from_millis(1));
        if let Some(Node::Sidecar { calls, .. }) = self.nodes.get_mut(&sidecar) {
            calls.push(RunningCall {
                task: start.task,
                attempt: start.attempt,
                began_at: self.now,
                ends_at: self.now + run,
                result,
            });
        }
    }

    /// Returns when a message that is sent now arrives.
    fn due(&mut self) -> Instant {
        let slow = self.chance(200);
        let delay_ms = if slow { 50..=400 } else { 0..=4 };
        self.now + millis(&mut self.random, delay_ms)
    }
}

/// Returns settings under which a sidecar forgets results before some sessions open again.
fn sidecar_settings() -> SidecarSettings {
    SidecarSettings::new().result_memory(RESULT_MEMORY)
}

fn configuration() -> Configuration {
    Configuration::parse(CONFIGURATION, "test").expect("the configuration is valid")
}
