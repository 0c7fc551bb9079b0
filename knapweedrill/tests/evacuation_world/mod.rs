//! Entries, sidecars and minions in failure domains, on a network without loss and with a clock that
//! is advanced by hand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, QueuePolicy};
use knapweedrill::dispatch::entry::{
    Answer, DomainChange, Entry, EntryAction, EntrySettings, EvacuationUpdate, Source, StepRequest,
    Submission,
};
use knapweedrill::dispatch::message::{
    Message, MinionProfile, PlacementOutcome, RefusalCause, Role,
};
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::sidecar::{
    EndKind, EndedRun, HoldAnswer, HoldCall, MinionHeartbeat, OrderAnswer, RunKey, Sidecar,
    SidecarAction, SidecarEndpoint, SidecarSettings, first_fencing_token,
};
use knapweedrill::dispatch::{JobName, Packet, Resources, SidecarRecord};
use smallvec::SmallVec;

/// The number of tasks that fit on a minion.
const TASKS_PER_MINION: u32 = 4;

/// The run time and the estimate of each task, in milliseconds.
pub(crate) const RUN_MS: u64 = 50;

/// A minion that carries out each order at once.
#[derive(Default)]
struct Minion {
    /// The runs, and when each ends.
    running: Vec<(RunKey, u64)>,
    ended: Vec<EndedRun>,
    end_count: u64,
    /// A hold call without an answer, and until when it may wait.
    hold: Option<(HoldCall, u64)>,
    started_unix_ms: u64,
    sequence: u64,
    start_count: usize,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    now_ms: u64,
    domains: Vec<String>,
    pub(crate) entries: Vec<Entry>,
    sidecars: Vec<SidecarEndpoint>,
    minions: Vec<Minion>,
    next_id: u64,
    jobs: BTreeMap<u64, JobName>,
    pub(crate) answers: BTreeMap<JobName, Answer>,
    pub(crate) refusals: Vec<RefusalCause>,
    /// The datagrams of an entry that are held back.
    held: Option<(usize, Vec<(SocketAddr, Packet)>)>,
    /// The number of datagrams with a message on an evacuation.
    pub(crate) evacuation_message_count: usize,
}

impl World {
    /// Creates entries, and a sidecar with its minion in each of these failure domains, and waits for
    /// their sessions.
    pub(crate) fn new(entry_count: usize, domains: &[&str]) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            now_ms: 0,
            domains: domains.iter().map(|domain| (*domain).to_owned()).collect(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            minions: Vec::new(),
            next_id: 0,
            jobs: BTreeMap::new(),
            answers: BTreeMap::new(),
            refusals: Vec::new(),
            held: None,
            evacuation_message_count: 0,
        };
        for index in 0..domains.len() {
            let sidecar = world.new_sidecar(index);
            world.sidecars.push(sidecar);
            world.minions.push(Minion::default());
            world.register_minion(index);
        }
        for index in 0..entry_count {
            let entry = world.new_entry(index, entry_count);
            world.entries.push(entry);
        }
        for index in 0..entry_count {
            world.configure(index);
        }
        world.advance(1_500);
        world
    }

    fn identity(&mut self, role: Role) -> Identity {
        self.next_id += 1;
        Identity {
            incarnation: self.next_id,
            role,
            started_at: self.now,
        }
    }

    fn new_sidecar(&mut self, index: usize) -> SidecarEndpoint {
        let identity = self.identity(Role::Sidecar);
        let uptime = Duration::from_secs(1_000) + Duration::from_millis(self.now_ms);
        let sidecar = Sidecar::new(SidecarSettings::default(), first_fencing_token(uptime, 1));
        let sessions = Sessions::new(identity, SessionSettings::default());
        SidecarEndpoint::new(
            sidecar,
            sessions,
            format!("vm-{index}"),
            address(Role::Sidecar, index),
        )
    }

    fn new_entry(&mut self, index: usize, entry_count: usize) -> Entry {
        let identity = self.identity(Role::Entry);
        let settings = EntrySettings {
            seed: identity.incarnation,
            ..EntrySettings::default()
        };
        let sessions = Sessions::new(identity, SessionSettings::default());
        let mut entry = Entry::new(settings, sessions);
        for peer in (0..entry_count).filter(|peer| *peer != index) {
            entry.add_peer(address(Role::Entry, peer), None);
        }
        for sidecar in 0..self.domains.len() {
            entry.add_sidecar(
                SidecarRecord {
                    vm: format!("vm-{sidecar}"),
                    address: address(Role::Sidecar, sidecar),
                    service: "service".into(),
                    capacity: resources(TASKS_PER_MINION),
                    labels: Vec::new(),
                },
                Source::First,
            );
        }
        entry
    }

    /// Gives an entry its configuration, without which it serves nobody.
    pub(crate) fn configure(&mut self, entry: usize) {
        self.entries[entry].configure(configuration(), "test", self.now);
    }

    /// Replaces an entry by one that knows its peers and nothing else, and has no configuration.
    pub(crate) fn restart_entry(&mut self, index: usize) {
        let entry_count = self.entries.len();
        self.entries[index] = self.new_entry(index, entry_count);
    }

    /// Replaces a sidecar by one that knows nothing but its minion.
    pub(crate) fn restart_sidecar(&mut self, index: usize) {
        self.sidecars[index] = self.new_sidecar(index);
        self.minions[index].hold = None;
        self.send_heartbeat(index);
    }

    /// Replaces a minion by one that registers in a failure domain.
    pub(crate) fn replace_minion(&mut self, index: usize, domain: &str) {
        self.domains[index] = domain.into();
        self.register_minion(index);
    }

    fn register_minion(&mut self, index: usize) {
        let start_count = self.minions[index].start_count;
        self.minions[index] = Minion {
            started_unix_ms: self.now_ms + 1,
            start_count,
            ..Minion::default()
        };
        self.send_heartbeat(index);
    }

    fn send_heartbeat(&mut self, index: usize) {
        let minion = &mut self.minions[index];
        minion.sequence += 1;
        let heartbeat = MinionHeartbeat {
            profile: MinionProfile {
                instance: format!("minion-{index}"),
                service: "service".into(),
                capacity: resources(TASKS_PER_MINION),
                labels: Vec::new(),
                failure_domain: self.domains[index].clone(),
            },
            started_unix_ms: minion.started_unix_ms,
            sequence: minion.sequence,
            is_draining: false,
        };
        let sidecar = self.sidecars[index].sidecar_mut();
        sidecar.heartbeat_received(heartbeat, self.now);
    }

    /// Lets an entry read the whole set of evacuated failure domains from the store.
    pub(crate) fn read_snapshot(&mut self, entry: usize, revision: u64, domains: &[&str]) {
        let update = EvacuationUpdate::Snapshot {
            revision,
            domains: domains.iter().map(|domain| (*domain).to_owned()).collect(),
        };
        self.entries[entry].update_evacuations(update, self.now);
    }

    /// Lets an entry read one record of the log from the store.
    pub(crate) fn read_record(
        &mut self,
        entry: usize,
        offset: u64,
        domain: &str,
        is_evacuated: bool,
    ) {
        let update = EvacuationUpdate::Changes {
            revision: offset + 1,
            changes: vec![DomainChange {
                offset,
                domain: domain.into(),
                is_evacuated,
            }],
        };
        self.entries[entry].update_evacuations(update, self.now);
    }

    /// Submits a job to an entry.
    pub(crate) fn submit(&mut self, entry: usize, task_count: u32) -> JobName {
        self.next_id += 1;
        let (caller, name) = (self.next_id, JobName(self.next_id));
        self.jobs.insert(caller, name);
        let submission = Submission {
            name,
            host: "host".into(),
            path: "/jobs/1".into(),
            spec: "work".into(),
            steps: vec![StepRequest {
                task_count,
                resources: resources(1),
                estimate: Duration::from_millis(RUN_MS),
                after: SmallVec::new(),
                required_label: None,
                per_minion_max: None,
                data_rack: None,
            }],
            caller_timeout: Duration::from_millis(1_500),
            is_supported: true,
        };
        self.entries[entry].submit(caller, submission, self.now);
        self.settle();
        name
    }

    /// Returns how many tasks the minions of each failure domain have started.
    pub(crate) fn starts(&self) -> BTreeMap<&str, usize> {
        let mut starts = BTreeMap::new();
        for (domain, minion) in self.domains.iter().zip(&self.minions) {
            *starts.entry(domain.as_str()).or_default() += minion.start_count;
        }
        starts
    }

    /// Returns how many tasks the minions of the failure domains have started since `before`.
    pub(crate) fn starts_since(&self, before: &BTreeMap<String, usize>) -> BTreeMap<&str, usize> {
        let starts = self.starts().into_iter();
        starts
            .map(|(domain, count)| (domain, count - before.get(domain).unwrap_or(&0)))
            .collect()
    }

    /// Returns the same as [`starts`](Self::starts), to be kept.
    pub(crate) fn count_starts(&self) -> BTreeMap<String, usize> {
        let starts = self.starts().into_iter();
        starts
            .map(|(domain, count)| (domain.to_owned(), count))
            .collect()
    }

    pub(crate) fn sidecar(&self, index: usize) -> &Sidecar {
        self.sidecars[index].sidecar()
    }

    /// Holds back what an entry sends from now on.
    pub(crate) fn hold_datagrams_of(&mut self, entry: usize) {
        self.held = Some((entry, Vec::new()));
    }

    /// Delivers what was held back.
    pub(crate) fn release_datagrams(&mut self) {
        let Some((entry, datagrams)) = self.held.take() else {
            return;
        };
        for (to, packet) in datagrams {
            self.deliver(address(Role::Entry, entry), to, packet);
        }
    }

    /// Advances by steps of a millisecond.
    pub(crate) fn advance(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.now_ms += 1;
            self.now += Duration::from_millis(1);
            for entry in &mut self.entries {
                entry.set_callers_known_at(self.now, self.now);
                if self.now_ms.is_multiple_of(10) {
                    entry.tick(self.now);
                }
            }
            for index in 0..self.minions.len() {
                self.end_runs(index);
                self.answer_hold(index);
                self.sidecars[index].sidecar_mut().tick(self.now);
            }
            self.settle();
        }
    }

    /// Delivers and carries out all that is sent now.
    fn settle(&mut self) {
        for _ in 0..4 {
            for index in 0..self.entries.len() {
                self.entries[index].place_waiting(self.now);
                self.carry_out(index);
                for (to, packet) in self.entries[index].poll(self.now) {
                    match &mut self.held {
                        Some((entry, held)) if *entry == index => held.push((to, packet)),
                        _ => self.deliver(address(Role::Entry, index), to, packet),
                    }
                }
            }
            for index in 0..self.sidecars.len() {
                let outgoing = self.sidecars[index].poll(self.now);
                for order in outgoing.orders {
                    self.carry_out_order(index, order);
                }
                for (to, packet) in outgoing.datagrams {
                    self.deliver(address(Role::Sidecar, index), to, packet);
                }
            }
        }
    }

    fn carry_out(&mut self, entry: usize) {
        for action in self.entries[entry].take_actions() {
            match action {
                EntryAction::Answer { caller, answer, .. } => {
                    self.answers.insert(self.jobs[&caller], answer);
                }
                EntryAction::Count(PlacementOutcome::Refused(cause)) => self.refusals.push(cause),
                EntryAction::Count(_) | EntryAction::AnswerCancel { .. } => {}
            }
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, packet: Packet) {
        if let Packet::Session(envelope) = &packet {
            let is_on_evacuation =
                |message: &Message| matches!(message, Message::Evacuation { .. });
            let is_counted = envelope.messages.iter().any(is_on_evacuation);
            self.evacuation_message_count += usize::from(is_counted);
        }
        let port = usize::from(to.port());
        if port >= SIDECAR_PORT {
            self.sidecars[port - SIDECAR_PORT].receive(from, packet, self.now);
        } else {
            self.entries[port - ENTRY_PORT].receive(from, packet, self.now);
        }
    }

    fn carry_out_order(&mut self, index: usize, order: SidecarAction) {
        let minion = &mut self.minions[index];
        let sidecar = self.sidecars[index].sidecar_mut();
        let clock_ms = Some(self.now_ms);
        match order {
            SidecarAction::Start(start) => {
                minion.start_count += 1;
                minion.running.push((start.run, self.now_ms + RUN_MS));
                sidecar.start_answered(start.call, OrderAnswer::Accepted, clock_ms, self.now);
            }
            SidecarAction::Stop(stop) => {
                if let Some(run) = minion.running.iter_mut().find(|run| run.0 == stop.run) {
                    run.1 = self.now_ms;
                }
                sidecar.stop_answered(stop.call, OrderAnswer::Accepted, clock_ms, self.now);
            }
            SidecarAction::Hold(hold) => {
                let until_ms = self.now_ms + hold.wait_ms;
                minion
                    .ended
                    .retain(|end| end.number > hold.acknowledged_end);
                minion.hold = Some((hold, until_ms));
            }
            SidecarAction::Send(..) => panic!("the endpoint sends messages itself"),
        }
    }

    fn end_runs(&mut self, index: usize) {
        let minion = &mut self.minions[index];
        let over = minion
            .running
            .extract_if(.., |(_, end_ms)| *end_ms <= self.now_ms);
        for (run, _) in over {
            minion.end_count += 1;
            minion.ended.push(EndedRun {
                number: minion.end_count,
                run,
                kind: EndKind::Done,
            });
        }
    }

    fn answer_hold(&mut self, index: usize) {
        let minion = &mut self.minions[index];
        let is_due = |hold: &mut (HoldCall, u64)| hold.1 <= self.now_ms || !minion.ended.is_empty();
        let Some((hold, _)) = minion.hold.take_if(is_due) else {
            return;
        };
        let answer = HoldAnswer {
            started_unix_ms: minion.started_unix_ms,
            clock_ms: self.now_ms,
            running: minion.running.iter().map(|(run, _)| (*run, 50)).collect(),
            ended: minion.ended.clone(),
            has_more: false,
            malformed_ends: Vec::new(),
        };
        let sidecar = self.sidecars[index].sidecar_mut();
        sidecar.hold_answered(hold.call, Some(answer), self.now);
    }
}

const ENTRY_PORT: usize = 10_000;
const SIDECAR_PORT: usize = 20_000;

fn address(role: Role, index: usize) -> SocketAddr {
    let first = match role {
        Role::Entry => ENTRY_PORT,
        Role::Sidecar => SIDECAR_PORT,
    };
    let port = u16::try_from(first + index).expect("few processes");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn resources(tasks: u32) -> Resources {
    Resources {
        cpu_millicores: 1_000 * tasks,
        memory_mib: 100 * tasks,
        accelerator_count: 0,
    }
}

fn configuration() -> Configuration {
    Configuration {
        version: 1,
        queues: vec![Queue {
            name: "queue".into(),
            host: "host".into(),
            path_prefix: "/jobs/".into(),
            service: "service".into(),
            policy: QueuePolicy {
                priority: 0,
                attempt_count_max: 1,
                stretch_permille: 1_600,
                target_latency: Duration::from_millis(60),
            },
            has_advice: false,
        }],
        body_bytes_max: 1_000,
    }
}
