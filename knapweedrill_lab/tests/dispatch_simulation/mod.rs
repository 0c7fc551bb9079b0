//! A simulation of entries, sidecars and minions with faults that are drawn from a seed.
//!
//! Time advances in steps of one millisecond. Datagrams are lost and delayed; nodes are isolated,
//! frozen and killed; minions crash and drain; calls to minions lose their response or are executed
//! late. The invariants are checked after each step.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]

mod call_content;
mod caller;
mod cancels;
#[path = "../claim_observer/mod.rs"]
mod claim_observer;
mod claims;
mod clock_reading;
mod close_moments;
mod deadly_jobs;
mod departure;
mod fault;
mod fault_settings;
mod link_faults;
pub(crate) mod link_rate;
mod node;
mod observations;
mod pending_call;
mod process_clock;
mod response;
mod resubmission;
pub(crate) mod shortage;
mod slow_traffic;
mod step_costs;
mod trace_digest;
mod wide_faults;
mod zones;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::{Range, RangeInclusive};
use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, QueuePolicy};
use knapweedrill::dispatch::entry::{
    Answer, CallerId, Entry, EntryAction, EntrySettings, Pause, Source, StepRequest, Submission,
};
use knapweedrill::dispatch::message::{MinionProfile, Role};
use knapweedrill::dispatch::session::{Identity, Sessions};
use knapweedrill::dispatch::sidecar::{
    HoldFailure, MinionHeartbeat, OrderAnswer, Sidecar, SidecarAction, SidecarEndpoint,
    SidecarSettings, first_fencing_token,
};
use knapweedrill::dispatch::{JobName, Packet, Resources, SidecarRecord, TaskName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use knapweedrill_lab::stand_in::platform::{MinionModel as Minion, TaskProfile};

use call_content::CallContent;
use caller::Caller;
use claim_observer::PlacementId;
use claims::{Claims, SidecarOutput, lost_placements};
pub(crate) use clock_reading::ClockReading;
use deadly_jobs::DeadlyJobs;
use departure::Departure;
pub(crate) use fault::Fault;
pub(crate) use fault_settings::FaultSettings;
use link_faults::LinkFaults;
use link_rate::LinkRates;
use node::Node;
use observations::Observations;
use pending_call::PendingCall;
pub(crate) use process_clock::ProcessClock;
use response::Response;
use resubmission::Resubmission;
use slow_traffic::SlowTraffic;
use step_costs::{RoundOutput, StepCosts};
use trace_digest::TraceDigest;
use zones::Zones;

/// The period of the heartbeats of a minion, in milliseconds.
const HEARTBEAT_PERIOD_MS: u64 = 1_500;

/// The delay before a caller resubmits a job that was given up or whose connection was lost, in
/// milliseconds.
const RESUBMISSION_DELAY_MS: u64 = 1_300;

/// How long a running entry takes to notice a broken connection, in milliseconds.
const DEPARTURE_DELAY_MS: RangeInclusive<u64> = 1..=20;

/// The shortest pause after which an entry may have input that it has not handled yet, in
/// milliseconds.
const BACKLOG_PAUSE_MIN_MS: u64 = 20;

/// The time after which minions carry out orders that they leave unanswered, in milliseconds.
const LATE_ORDER_DELAY_MS: Range<u64> = 2_000..12_000;

/// The time between the kill of an entry and the freeze of sidecars that follows it, in
/// milliseconds.
const FREEZE_AFTER_KILL_MS: Range<u64> = 300..600;

/// The bytes of a datagram that one packet carries.
const PACKET_BYTES: u64 = 1_472;

/// How long a datagram may wait for the link of its sender before it is dropped, in milliseconds.
const LINK_QUEUE_MAX_MS: u64 = 500;

/// The kinds of faults that are always drawn.
const USUAL_FAULTS: [Fault; 5] = [
    Fault::Isolate,
    Fault::Freeze,
    Fault::Kill,
    Fault::MinionCrash,
    Fault::MinionDrain,
];

/// How long the machines have run at the beginning, in milliseconds.
const UPTIME_MS: u64 = 1_000_000;

/// The number of tasks that fit on a minion.
const TASKS_PER_MINION: u32 = 6;

/// The simulated entries, sidecars, minions and callers, and the network between them.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) faults: FaultSettings,
    pub(crate) observations: Observations,
    pub(crate) process_clock: ProcessClock,
    pub(crate) clock_reading: ClockReading,
    pub(crate) links: LinkFaults,
    link_rates: LinkRates,
    claims: Claims,
    /// By how much the clock from which a sidecar takes its fencing token may have jumped back, in
    /// milliseconds.
    pub(crate) clock_jump_max_ms: u64,
    pub(crate) step_costs: StepCosts,
    pub(crate) slow_traffic: SlowTraffic,
    zones: Zones,
    epoch: Instant,
    now_ms: u64,
    random: SmallRng,
    nodes: Vec<Node>,
    entry_count: usize,
    entry_settings: EntrySettings,
    /// The configuration of entries that start.
    configuration: Configuration,
    minions: Vec<Minion>,
    /// For each minion: the due time of its next heartbeat in milliseconds, the sequence number of
    /// that heartbeat, and whether the minion is draining.
    heartbeats: Vec<(u64, u64, bool)>,
    /// The minions whose new runs never end by themselves.
    hanging_minions: HashSet<usize>,
    /// The minions that leave starts and stops unanswered, and until when, in milliseconds.
    late_order_minions: HashMap<usize, u64>,
    /// Datagrams in flight, by delivery time in milliseconds and sending order: the receiving node,
    /// the sender and the content.
    datagrams: BTreeMap<(u64, u64), (usize, SocketAddr, Packet)>,
    /// For each node, until when its link is busy, in milliseconds.
    links_busy_until_ms: Vec<u64>,
    calls: Vec<PendingCall>,
    /// Responses on their way to sidecars: when they arrive, in milliseconds, the node, and the
    /// generation of the process that made the call.
    responses: Vec<(u64, usize, u64, Response)>,
    /// When most sidecars freeze, and for how long, in milliseconds.
    sidecar_freezes: Vec<(u64, u64)>,
    /// A counter for each node that grows whenever its process starts or stops.
    process_generations: Vec<u64>,
    next_id: u64,
    /// The waiting callers by entry and caller.
    callers: BTreeMap<(usize, CallerId), Caller>,
    /// Callers without a connection that still count as waiting at their entry.
    departures: Vec<Departure>,
    /// Callers that left before they were answered.
    departed_callers: HashSet<CallerId>,
    resubmissions: Vec<Resubmission>,
    /// The entry that callers choose as long as it runs.
    chosen_entry: Option<usize>,
    /// Jobs of which at least one task has started.
    started_jobs: HashSet<JobName>,
    /// The profiles of tasks that differ from the default.
    task_profiles: HashMap<TaskName, TaskProfile>,
    default_profile: TaskProfile,
    racks: Racks,
    /// The specification of new jobs.
    spec: String,
    pub(crate) deadly_jobs: DeadlyJobs,
    /// Events by time in milliseconds, for the messages of failed assertions; those without a job
    /// concern a node or a minion.
    trace: Vec<(u64, Option<JobName>, String)>,
    /// What the simulation has done, if a test compares two plays.
    trace_digest: Option<TraceDigest>,
}

/// The racks of the minions.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Racks {
    pub(crate) minions_per_rack: usize,
    /// What entries know of how much longer a task takes outside of its rack.
    pub(crate) remote_run_factor_permille: Option<u32>,
}

impl Default for Racks {
    fn default() -> Self {
        Self {
            minions_per_rack: 1,
            remote_run_factor_permille: None,
        }
    }
}

impl Racks {
    /// Returns the labels of a minion: one that all have, and its rack.
    pub(crate) fn labels(self, minion: usize) -> Vec<String> {
        vec![
            "kind".into(),
            format!("rack-{}", minion / self.minions_per_rack),
        ]
    }
}

impl Simulation {
    pub(crate) fn new(
        entry_count: usize,
        sidecar_count: usize,
        seed: u64,
        faults: FaultSettings,
    ) -> Self {
        let settings = EntrySettings::default();
        Self::with_entry_settings(entry_count, sidecar_count, seed, faults, settings)
    }

    /// Creates a simulation whose entries have these settings, but for their seeds.
    pub(crate) fn with_entry_settings(
        entry_count: usize,
        sidecar_count: usize,
        seed: u64,
        faults: FaultSettings,
        entry_settings: EntrySettings,
    ) -> Self {
        let racks = Racks::default();
        Self::with_racks_and_settings(
            entry_count,
            sidecar_count,
            seed,
            faults,
            (entry_settings, racks),
        )
    }

    /// Creates a simulation with racks of several minions, or in which a task takes longer outside of
    /// its rack.
    pub(crate) fn with_racks(
        entry_count: usize,
        sidecar_count: usize,
        seed: u64,
        faults: FaultSettings,
        racks: Racks,
    ) -> Self {
        let settings = (EntrySettings::default(), racks);
        Self::with_racks_and_settings(entry_count, sidecar_count, seed, faults, settings)
    }

    fn with_racks_and_settings(
        entry_count: usize,
        sidecar_count: usize,
        seed: u64,
        faults: FaultSettings,
        (entry_settings, racks): (EntrySettings, Racks),
    ) -> Self {
        let epoch = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let default_profile = TaskProfile {
            run_ms: 100,
            room: task_resources(),
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
        let mut simulation = Self {
            faults,
            observations: Observations {
                sent_counts: vec![0; entry_count + sidecar_count],
                received_counts: vec![0; entry_count + sidecar_count],
                sent_bytes: vec![0; entry_count + sidecar_count],
                ..Observations::default()
            },
            process_clock: ProcessClock::default(),
            clock_reading: ClockReading::default(),
            links: LinkFaults::default(),
            link_rates: LinkRates::default(),
            claims: Claims::new(seed),
            clock_jump_max_ms: 0,
            step_costs: StepCosts::default(),
            slow_traffic: SlowTraffic::default(),
            zones: Zones::default(),
            epoch,
            now_ms: 0,
            random,
            nodes: Vec::new(),
            entry_count,
            entry_settings,
            configuration: configuration(),
            minions,
            heartbeats: vec![(1, 1, false); sidecar_count],
            hanging_minions: HashSet::new(),
            late_order_minions: HashMap::new(),
            datagrams: BTreeMap::new(),
            links_busy_until_ms: vec![0; entry_count + sidecar_count],
            calls: Vec::new(),
            responses: Vec::new(),
            sidecar_freezes: Vec::new(),
            process_generations: vec![0; entry_count + sidecar_count],
            next_id: 0,
            callers: BTreeMap::new(),
            departures: Vec::new(),
            departed_callers: HashSet::new(),
            resubmissions: Vec::new(),
            chosen_entry: None,
            started_jobs: HashSet::new(),
            task_profiles: HashMap::new(),
            default_profile,
            racks,
            spec: "what to run".into(),
            deadly_jobs: DeadlyJobs::default(),
            trace: Vec::new(),
            trace_digest: None,
        };
        for index in 0..entry_count + sidecar_count {
            let address = address(index);
            simulation.nodes.push(Node {
                address,
                entry: None,
                sidecar: None,
                isolated_until_ms: 0,
                frozen_until_ms: 0,
                traffic_stall_ms: 0..0,
                suspended_since_ms: None,
                suspended_ms: 0,
                down_until_ms: 0,
                inbox: Vec::new(),
                unread_submissions: Vec::new(),
                unread_heartbeats: Vec::new(),
                unread_responses: Vec::new(),
                next_tick_ms: 0,
                last_run_ms: 0,
                callers_known_ms: 0,
                callers_known_again_ms: 0,
                suspended_before_ms: 0,
                clock_reading_ms: None,
            });
            simulation.start_process(index);
        }
        simulation
    }

    /// Advances by 2.5 s without faults, so that minions register and entries establish their
    /// sessions.
    pub(crate) fn warm_up(&mut self) {
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

    pub(crate) fn set_task_profile(&mut self, task: TaskName, profile: TaskProfile) {
        self.task_profiles.insert(task, profile);
    }

    /// Sets the run time of all tasks without a profile of their own and the estimate of new jobs.
    pub(crate) fn set_run_ms(&mut self, run_ms: u64) {
        self.default_profile.run_ms = run_ms;
    }

    /// Sets the run time of the first tasks of a job of one step.
    pub(crate) fn set_run_ms_of(&mut self, job: JobName, tasks: u32, run_ms: u64) {
        let profile = TaskProfile {
            run_ms,
            ..self.default_profile
        };
        for index in 0..tasks {
            self.set_task_profile(
                TaskName {
                    job,
                    step: 0,
                    index,
                },
                profile,
            );
        }
    }

    /// Sets the length of the specification of new jobs.
    pub(crate) fn set_spec_bytes(&mut self, spec_bytes: usize) {
        self.spec = "x".repeat(spec_bytes);
    }

    /// Sets how much slower than real time the clocks of all minions run. Called before time
    /// advances.
    pub(crate) fn slow_minion_clocks(&mut self, drift_permille: u64) {
        for minion in &mut self.minions {
            minion.drift_permille = drift_permille;
        }
    }

    /// Kills the process on a node, and starts it again after `down_ms`.
    pub(crate) fn kill(&mut self, node: usize, down_ms: u64) {
        self.record_event(None, format!("node {node} killed for {down_ms} ms"));
        self.stop_process(node, down_ms);
    }

    pub(crate) fn freeze(&mut self, node: usize, for_ms: u64) {
        self.record_event(None, format!("node {node} freezes for {for_ms} ms"));
        self.nodes[node].frozen_until_ms = self.now_ms + for_ms;
    }

    /// Suspends the machine of a node: its process is frozen, and its steady clock stands still.
    /// Datagrams wait in the inbox.
    pub(crate) fn suspend(&mut self, node: usize, for_ms: u64) {
        self.record_event(None, format!("node {node} suspended for {for_ms} ms"));
        let node = &mut self.nodes[node];
        node.frozen_until_ms = self.now_ms + for_ms;
        node.suspended_since_ms.get_or_insert(self.now_ms);
    }

    /// Stalls the traffic thread of an entry: it does not notice that callers leave, while the event
    /// loop goes on.
    pub(crate) fn stall_traffic(&mut self, entry: usize, for_ms: u64) {
        self.record_event(
            None,
            format!("traffic of entry {entry} stalls for {for_ms} ms"),
        );
        self.nodes[entry].traffic_stall_ms = self.now_ms..self.now_ms + for_ms;
    }

    pub(crate) fn isolate(&mut self, node: usize, for_ms: u64) {
        self.record_event(None, format!("node {node} isolated for {for_ms} ms"));
        self.nodes[node].isolated_until_ms = self.now_ms + for_ms;
    }

    /// Breaks the connections of all callers of an entry. The entry notices a little later, or after
    /// it has been frozen, and the callers resubmit their jobs to other entries.
    pub(crate) fn disconnect_callers(&mut self, entry: usize) {
        self.record_event(None, format!("entry {entry} loses its callers"));
        let node = &self.nodes[entry];
        let delay_range_ms = if node.suspended_since_ms.is_some() {
            // The end of a connection is transmitted again with pauses that double.
            1..=(node.frozen_until_ms - self.now_ms).max(1)
        } else {
            DEPARTURE_DELAY_MS
        };
        let delay_ms = self.random.random_range(delay_range_ms);
        for (id, caller) in self.remove_callers_of(entry) {
            self.departures.push(Departure {
                entry,
                entry_generation: caller.entry_generation,
                caller: id,
                job: caller.job,
                delay_ms,
                due_ms: self.now_ms + delay_ms,
            });
            self.departed_callers.insert(id);
            self.observations.unanswered.push(caller.job);
            self.schedule_resubmission(caller.submission, Some(entry));
        }
    }

    /// Makes a minion leave all starts and stops unanswered for a while and carry them out seconds
    /// later. It answers holds.
    pub(crate) fn delay_orders(&mut self, minion: usize, for_ms: u64) {
        self.record_event(
            None,
            format!("minion {minion} delays orders for {for_ms} ms"),
        );
        self.late_order_minions.insert(minion, self.now_ms + for_ms);
    }

    /// Makes all tasks that a minion starts from now on hang.
    pub(crate) fn hang_tasks_at(&mut self, minion: usize) {
        self.hanging_minions.insert(minion);
    }

    /// Makes a minion announce in a heartbeat at once that it is draining.
    pub(crate) fn drain(&mut self, minion: usize) {
        self.record_event(None, format!("minion {minion} drains"));
        self.heartbeats[minion].2 = true;
        self.heartbeats[minion].0 = self.now_ms;
    }

    /// Delays the next heartbeat of a minion, so that a new one registers with its sidecar late.
    pub(crate) fn delay_registration(&mut self, minion: usize, delay_ms: u64) {
        self.heartbeats[minion].0 = self.now_ms + delay_ms;
    }

    pub(crate) fn has_runs_at(&self, minion: usize) -> bool {
        self.minions[minion].running().next().is_some()
    }

    /// Submits a job of one step to a random running entry.
    pub(crate) fn submit(&mut self, tasks: u32, caller_timeout_ms: u64) -> JobName {
        self.submit_with(tasks, caller_timeout_ms, |_| {})
    }

    /// Submits a job of one step to a random running entry, after `change` has edited the step.
    pub(crate) fn submit_with(
        &mut self,
        tasks: u32,
        caller_timeout_ms: u64,
        change: impl FnOnce(&mut StepRequest),
    ) -> JobName {
        self.submit_to("/jobs/", tasks, caller_timeout_ms, change)
    }

    /// Submits a job of one step to the queue with this path prefix, at a random running entry.
    pub(crate) fn submit_to(
        &mut self,
        path_prefix: &str,
        tasks: u32,
        caller_timeout_ms: u64,
        change: impl FnOnce(&mut StepRequest),
    ) -> JobName {
        let mut submission = self.new_submission(path_prefix, tasks, caller_timeout_ms);
        change(&mut submission.steps[0]);
        let name = submission.name;
        self.submit_to_random_entry(submission, None);
        name
    }

    /// Returns the submission of a new job of one step.
    fn new_submission(
        &mut self,
        path_prefix: &str,
        tasks: u32,
        caller_timeout_ms: u64,
    ) -> Submission {
        self.next_id += 1;
        let name = JobName(self.next_id);
        Submission {
            name,
            host: "host".into(),
            path: format!("{path_prefix}{name}"),
            spec: self.spec.clone(),
            steps: vec![StepRequest {
                task_count: tasks,
                resources: task_resources(),
                estimate: Duration::from_millis(self.default_profile.run_ms),
                after: SmallVec::new(),
                required_label: None,
                per_minion_max: None,
                data_rack: None,
            }],
            caller_timeout: Duration::from_millis(caller_timeout_ms),
            is_supported: true,
        }
    }

    /// Asserts that a job was answered exactly once, as completed.
    ///
    /// # Panics
    ///
    /// Panics with the trace of the job if it was not.
    pub(crate) fn assert_completed(&self, job: JobName) {
        let answers = self.observations.answers.get(&job).map(Vec::as_slice);
        let trace = self.trace_of(job);
        assert_eq!(answers, Some(&[Answer::Completed][..]), "{trace}");
    }

    /// Returns the minions that run tasks of a job.
    pub(crate) fn minions_of(&self, job: JobName) -> Vec<usize> {
        let minions = self.minions.iter().enumerate();
        minions
            .filter(|(_, minion)| minion.running().any(|run| run.task.job == job))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the entry at which the caller of a job waits.
    pub(crate) fn entry_of(&self, job: JobName) -> Option<usize> {
        let mut callers = self.callers.values();
        Some(callers.find(|caller| caller.job == job)?.entry)
    }

    /// Returns the node of the sidecar of a minion.
    pub(crate) fn sidecar_node(&self, minion: usize) -> usize {
        self.entry_count + minion
    }

    /// Returns the number of sidecars that each running entry has a session with.
    pub(crate) fn sessions_per_entry(&self) -> Vec<usize> {
        let entries = self.nodes.iter().filter_map(|node| node.entry.as_ref());
        entries.map(Entry::session_count).collect()
    }

    /// Returns the number of entries that each running sidecar has a session with.
    pub(crate) fn entries_per_sidecar(&self) -> Vec<usize> {
        let sidecars = self.nodes.iter().filter_map(|node| node.sidecar.as_ref());
        sidecars
            .map(|endpoint| endpoint.sidecar().entries().count())
            .collect()
    }

    /// Returns whether each sidecar takes tasks for its minion.
    pub(crate) fn take_all_minions_tasks(&self) -> bool {
        let mut sidecars = self.nodes[self.entry_count..].iter();
        sidecars.all(|node| {
            let sidecar = node.sidecar.as_ref().map(SidecarEndpoint::sidecar);
            sidecar.is_some_and(|it| it.status().availability.takes_tasks())
        })
    }

    /// Advances the time step by step.
    pub(crate) fn advance(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.step();
        }
    }

    /// Returns the time on the clock of the process on a node, in milliseconds.
    fn process_now_ms(&self, node: usize) -> u64 {
        let node = &self.nodes[node];
        if let Some(reading_ms) = node.clock_reading_ms {
            return reading_ms;
        }
        let since_ms = node.suspended_since_ms.unwrap_or(self.now_ms);
        match self.process_clock {
            ProcessClock::Steady => since_ms - node.suspended_ms,
            ProcessClock::CountsSuspension => self.now_ms,
        }
    }

    /// Returns the time on the clock of the process on a node.
    fn process_now(&self, node: usize) -> Instant {
        self.epoch + Duration::from_millis(self.process_now_ms(node))
    }

    fn resume_machines(&mut self) {
        for node in &mut self.nodes {
            if node.frozen_until_ms <= self.now_ms
                && let Some(since_ms) = node.suspended_since_ms.take()
            {
                node.suspended_ms += self.now_ms - since_ms;
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        self.resume_machines();
        self.inject_random_fault();
        self.follow_operator();
        self.freeze_sidecars_when_due();
        self.read_waiting_input();
        self.crash_minions_of_deadly_jobs();
        self.send_heartbeats();
        self.run_traffic();
        self.execute_calls();
        for minion in &mut self.minions {
            minion.advance(self.now_ms);
        }
        self.respond_to_holds();
        self.expire_calls();
        self.deliver_responses();
        self.deliver_datagrams();
        self.notice_departures();
        self.submit_due_resubmissions();
        for index in 0..self.nodes.len() {
            self.run_process(index);
        }
        self.check_invariants();
        self.check_claimed_runs();
        self.digest_step();
    }

    /// Checks that no minion exceeds its capacity and no task runs at two minions.
    fn check_invariants(&self) {
        let mut minion_of_task: HashMap<TaskName, usize> = HashMap::new();
        for (index, minion) in self.minions.iter().enumerate() {
            assert!(
                minion.used().fits_into(minion.capacity),
                "minion {index} exceeds its capacity at {} ms",
                self.now_ms
            );
            for run in minion.running() {
                if let Some(other) = minion_of_task.insert(run.task, index) {
                    panic!(
                        "seed {}: task {:?} runs at both minion {other} and minion {index} at {} ms\n{}",
                        self.claims.seed,
                        run.task,
                        self.now_ms,
                        self.trace_of(run.task.job)
                    );
                }
            }
        }
    }

    /// Returns the events of a job, and those of nodes and minions in the last 6 s.
    pub(crate) fn trace_of(&self, job: JobName) -> String {
        let is_relevant = |(at, of, _): &&(u64, Option<JobName>, String)| match of {
            Some(of) => *of == job,
            None => *at + 6_000 > self.now_ms,
        };
        let lines = self.trace.iter().filter(is_relevant);
        lines
            .map(|(at, _, text)| format!("{at:>7} ms  {text}\n"))
            .collect()
    }

    /// Returns the traces of the jobs whose callers still wait.
    pub(crate) fn traces_of_waiting_jobs(&self) -> String {
        let waiting = self.callers.values();
        waiting.map(|caller| self.trace_of(caller.job)).collect()
    }

    fn record_event(&mut self, job: Option<JobName>, text: String) {
        self.trace.push((self.now_ms, job, text));
    }

    fn inject_random_fault(&mut self) {
        let permille = self.faults.machine_fault_permille;
        if permille == 0 || self.random.random_range(0..1_000_000) >= permille {
            return;
        }
        let node = self.random.random_range(0..self.nodes.len());
        let for_ms = self.random.random_range(100..4_000);
        let extra = self.faults.extra_faults;
        let kind = self
            .random
            .random_range(0..USUAL_FAULTS.len() + extra.len());
        let mut kinds = USUAL_FAULTS.iter().chain(extra);
        let fault = *kinds.nth(kind).expect("the kind is in the list");
        let entry = node % self.entry_count;
        match fault {
            Fault::Isolate => self.isolate(node, for_ms),
            Fault::Freeze => self.freeze(node, for_ms),
            Fault::Kill => self.kill(node, for_ms),
            Fault::MinionCrash | Fault::MinionDrain => {
                let minion = self.random.random_range(0..self.minions.len());
                if fault == Fault::MinionDrain {
                    self.drain(minion);
                } else {
                    self.restart_minion(minion);
                }
            }
            Fault::Suspend => self.suspend(node, for_ms),
            Fault::DisconnectCallers => self.disconnect_callers(entry),
            Fault::FreezeAndDisconnect => {
                self.freeze(entry, for_ms);
                self.disconnect_callers(entry);
            }
            Fault::SuspendAndDisconnect => {
                self.suspend(entry, for_ms);
                self.disconnect_callers(entry);
            }
            Fault::DelayOrders => {
                let minion = self.random.random_range(0..self.minions.len());
                self.delay_orders(minion, for_ms);
            }
            Fault::KillThenFreezeSidecars => {
                self.kill(entry, for_ms);
                let pause_ms = self.random.random_range(FREEZE_AFTER_KILL_MS);
                self.sidecar_freezes.push((self.now_ms + pause_ms, for_ms));
            }
        }
    }

    /// Freezes two in three sidecars if that is due.
    fn freeze_sidecars_when_due(&mut self) {
        for (at_ms, for_ms) in std::mem::take(&mut self.sidecar_freezes) {
            if at_ms > self.now_ms {
                self.sidecar_freezes.push((at_ms, for_ms));
                continue;
            }
            for node in self.entry_count..self.nodes.len() {
                if self.random.random_range(0..3) > 0 {
                    self.freeze(node, for_ms);
                }
            }
        }
    }

    /// Makes a minion crash and start anew; with a chance of one half it keeps its instance name,
    /// unless minions change their names.
    fn restart_minion(&mut self, index: usize) {
        let instance = if self.random.random_bool(0.5) && !self.faults.renames_minions {
            self.minions[index].instance.clone()
        } else {
            format!("minion-{index}-{}", self.now_ms)
        };
        self.restart_minion_as(index, instance);
    }

    /// Makes a minion crash and start anew under the same instance name.
    pub(crate) fn restart_minion_under_its_name(&mut self, index: usize) {
        self.restart_minion_as(index, self.minions[index].instance.clone());
    }

    fn restart_minion_as(&mut self, index: usize, instance: String) {
        self.record_event(
            None,
            format!("minion {index} crashes, restarts as {instance}"),
        );
        let old = &self.minions[index];
        let (capacity, drift) = (old.capacity, old.drift_permille);
        self.minions[index] = Minion::new(instance, capacity, drift, self.now_ms);
        self.heartbeats[index] = (self.now_ms + 300, 1, false);
    }

    fn send_heartbeats(&mut self) {
        for index in 0..self.minions.len() {
            let (due_ms, sequence, is_draining) = self.heartbeats[index];
            if due_ms > self.now_ms {
                continue;
            }
            self.heartbeats[index] = (self.now_ms + HEARTBEAT_PERIOD_MS, sequence + 1, is_draining);
            let minion = &self.minions[index];
            let report = MinionHeartbeat {
                profile: MinionProfile {
                    instance: minion.instance.clone(),
                    service: "service".into(),
                    capacity: minion.capacity,
                    labels: self.racks.labels(index),
                    failure_domain: self.zones.domain(index),
                },
                started_unix_ms: minion.started_unix_ms,
                sequence,
                is_draining,
            };
            self.deliver_heartbeat(index, report);
        }
    }

    fn deliver_heartbeat(&mut self, minion: usize, report: MinionHeartbeat) {
        let node_index = self.entry_count + minion;
        let now = self.process_now(node_index);
        let node = &mut self.nodes[node_index];
        if node.frozen_until_ms > self.now_ms {
            node.unread_heartbeats.push(report);
        } else if let Some(sidecar) = &mut node.sidecar {
            if report.profile.instance == self.minions[minion].instance {
                let action_count = sidecar.sidecar().pending_actions().len();
                self.claims
                    .record_incarnation(node_index, report.started_unix_ms, action_count);
            }
            sidecar.sidecar_mut().heartbeat_received(report, now);
        }
    }

    /// Sends the sidecar of a minion a heartbeat of another instance, which claims to have started
    /// now, while the minion goes on.
    pub(crate) fn report_successor(&mut self, minion: usize) {
        self.record_event(None, format!("a successor of minion {minion} reports"));
        let report = MinionHeartbeat {
            profile: MinionProfile {
                instance: format!("successor-{minion}"),
                service: "service".into(),
                capacity: self.minions[minion].capacity,
                labels: self.racks.labels(minion),
                failure_domain: self.zones.domain(minion),
            },
            started_unix_ms: self.now_ms + 1,
            sequence: 1,
            is_draining: false,
        };
        self.deliver_heartbeat(minion, report);
    }

    /// Lets sidecars that are no longer frozen read what their minions sent meanwhile. Heartbeats,
    /// which arrive on other connections, may overtake responses.
    fn read_waiting_input(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].frozen_until_ms > self.now_ms {
                continue;
            }
            if self.clock_reading == ClockReading::PerEvent {
                self.act_by_old_clock_reading(index);
            }
            let now = self.process_now(index);
            let node = &mut self.nodes[index];
            let heartbeats = std::mem::take(&mut node.unread_heartbeats);
            let responses = std::mem::take(&mut node.unread_responses);
            let Some(endpoint) = &mut node.sidecar else {
                continue;
            };
            if heartbeats.is_empty() && responses.is_empty() {
                continue;
            }
            // Timeouts are overdue after a pause and handled first.
            endpoint.sidecar_mut().tick(now);
            for heartbeat in heartbeats {
                let started_ms = heartbeat.started_unix_ms;
                let action_count = endpoint.sidecar().pending_actions().len();
                self.claims
                    .record_incarnation(index, started_ms, action_count);
                endpoint.sidecar_mut().heartbeat_received(heartbeat, now);
            }
            for response in responses {
                let action_count = endpoint.sidecar().pending_actions().len();
                self.claims.record_response(index, &response, action_count);
                response.deliver_to(endpoint.sidecar_mut(), now);
            }
        }
    }

    /// Draws whether the next call to a minion is delayed.
    fn draw_is_delayed(&mut self) -> bool {
        self.random.random_range(0..1_000) < self.faults.delayed_call_permille
    }

    /// Returns whether a minion carries an order out late and without an answer.
    fn is_late_order(&self, minion: usize, content: &CallContent) -> bool {
        let until_ms = self.late_order_minions.get(&minion);
        let is_delaying = until_ms.is_some_and(|until_ms| *until_ms > self.now_ms);
        is_delaying && !matches!(content, CallContent::Hold(_))
    }

    fn send_call(&mut self, node: usize, content: CallContent, placement: Option<PlacementId>) {
        self.digest_call(node, &content);
        let timeout = match &content {
            CallContent::Start(call) => call.timeout,
            CallContent::Stop(call) => call.timeout,
            CallContent::Hold(call) => call.timeout + Duration::from_millis(call.wait_ms),
        };
        let timeout_ms = timeout.as_millis() as u64;
        let is_delayed = self.draw_is_delayed();
        let is_late_order = self.is_late_order(node - self.entry_count, &content);
        let delay_ms = if is_late_order {
            self.random.random_range(LATE_ORDER_DELAY_MS)
        } else if is_delayed {
            self.random.random_range(2_000..6_000)
        } else {
            self.random.random_range(0..3)
        };
        let is_lost = self.random.random_range(0..1_000) < self.faults.lost_response_permille;
        self.calls.push(PendingCall {
            node,
            generation: self.process_generations[node],
            content,
            placement,
            sent_ms: self.now_ms,
            is_executed: false,
            execute_at_ms: self.now_ms + delay_ms,
            response_deadline_ms: self.now_ms + timeout_ms,
            is_resolved: is_lost || is_late_order,
            accepted_hold_until_ms: None,
        });
    }

    fn execute_calls(&mut self) {
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if call.is_executed || call.execute_at_ms > self.now_ms {
                continue;
            }
            call.is_executed = true;
            if self.is_minion_down(call.node) {
                self.refuse_call(call);
                continue;
            }
            let minion = &mut self.minions[call.node - self.entry_count];
            if call.is_hold_of_other(&minion.instance) {
                self.fail_hold(call, HoldFailure::OtherIncarnation);
                continue;
            }
            let answer = match &call.content {
                CallContent::Start(start) => {
                    let profile = self.task_profiles.get(&start.run.task).copied();
                    let mut profile = profile.unwrap_or(self.default_profile);
                    let permille = self.faults.failed_task_permille;
                    profile.hangs |= self
                        .hanging_minions
                        .contains(&(call.node - self.entry_count));
                    profile.fails |= self.random.random_range(0..1_000) < permille;
                    let was_running = minion.running().any(|run| run == start.run);
                    let answer = minion.start(start, profile, self.now_ms);
                    let index = call.node - self.entry_count;
                    let text = format!("start {:?} at minion {index}: {answer:?}", start.run);
                    self.trace
                        .push((self.now_ms, Some(start.run.task.job), text));
                    if answer == OrderAnswer::Accepted && !was_running {
                        self.started_jobs.insert(start.run.task.job);
                        self.zones.record_start(index, self.now_ms);
                        self.observations.started_count += 1;
                        self.observations
                            .starts
                            .push((start.run.task.job, self.now_ms));
                        if let Some(placement) = call.placement {
                            let run = start.run;
                            self.claims
                                .observer
                                .record_start(index, run, placement, call.sent_ms);
                        }
                        self.deadly_jobs
                            .record_start(start.run.task, index, self.now_ms);
                    }
                    Some(answer)
                }
                CallContent::Stop(stop) => {
                    let answer = minion.stop(stop, self.now_ms);
                    let index = call.node - self.entry_count;
                    let text = format!("stop {:?} at minion {index}: {answer:?}", stop.run);
                    self.trace
                        .push((self.now_ms, Some(stop.run.task.job), text));
                    Some(answer)
                }
                CallContent::Hold(hold) => {
                    if minion.hold(hold, self.now_ms) {
                        call.accepted_hold_until_ms = Some(self.now_ms + hold.wait_ms);
                    } else {
                        self.fail_hold(call, HoldFailure::Fenced);
                    }
                    None
                }
            };
            if let Some(answer) = answer {
                let minion = &self.minions[call.node - self.entry_count];
                let clock_ms = Some(minion.clock_ms(self.now_ms));
                self.deliver_response(call, answer, clock_ms);
            }
        }
        calls.append(&mut self.calls);
        self.calls = calls;
    }

    fn deliver_response(
        &mut self,
        call: &mut PendingCall,
        answer: OrderAnswer,
        clock_ms: Option<u64>,
    ) {
        if call.is_resolved {
            return;
        }
        call.is_resolved = true;
        match &call.content {
            CallContent::Start(start) => {
                self.respond(call, Response::Start(start.call, answer, clock_ms));
            }
            CallContent::Stop(stop) => {
                self.respond(call, Response::Stop(stop.call, answer, clock_ms));
            }
            CallContent::Hold(_) => {}
        }
    }

    /// Passes a response to the sidecar that made the call, if its process is still the same. A
    /// frozen sidecar reads it when it wakes up.
    fn respond(&mut self, call: &PendingCall, response: Response) {
        let delay_max_ms = self.faults.response_delay_max_ms;
        if delay_max_ms > 0 {
            let due_ms = self.now_ms + self.random.random_range(0..=delay_max_ms);
            let responses = &mut self.responses;
            responses.push((due_ms, call.node, call.generation, response));
        } else {
            self.respond_to(call.node, call.generation, response);
        }
    }

    /// Delivers the responses that arrive now, in any order.
    fn deliver_responses(&mut self) {
        let now_ms = self.now_ms;
        let due = self
            .responses
            .extract_if(.., |(due_ms, ..)| *due_ms <= now_ms);
        let mut due: Vec<_> = due.collect();
        while !due.is_empty() {
            let index = self.random.random_range(0..due.len());
            let (_, node, generation, response) = due.swap_remove(index);
            self.respond_to(node, generation, response);
        }
    }

    fn deliver_to_process(&mut self, node_index: usize, generation: u64, response: Response) {
        if self.process_generations[node_index] != generation {
            return;
        }
        let now = self.process_now(node_index);
        let node = &mut self.nodes[node_index];
        if node.frozen_until_ms > self.now_ms {
            node.unread_responses.push(response);
        } else if let Some(endpoint) = &mut node.sidecar {
            let action_count = endpoint.sidecar().pending_actions().len();
            self.claims
                .record_response(node_index, &response, action_count);
            response.deliver_to(endpoint.sidecar_mut(), now);
        }
    }

    fn respond_to_holds(&mut self) {
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            let (Some(until_ms), CallContent::Hold(hold)) =
                (call.accepted_hold_until_ms, &call.content)
            else {
                continue;
            };
            if !call.is_resolved && self.is_minion_down(call.node) {
                self.refuse_call(call);
                continue;
            }
            let minion = &self.minions[call.node - self.entry_count];
            let is_due = until_ms <= self.now_ms || minion.has_unacknowledged_ends();
            if call.is_resolved || !is_due || minion.instance != hold.instance {
                continue;
            }
            call.is_resolved = true;
            let answer = minion.hold_answer(self.now_ms);
            let response = Response::Hold(hold.call, Some(answer));
            self.respond(call, response);
        }
        self.calls = calls;
    }

    fn expire_calls(&mut self) {
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if call.response_deadline_ms != self.now_ms {
                continue;
            }
            let frozen_until_ms = self.nodes[call.node].frozen_until_ms;
            if frozen_until_ms > self.now_ms {
                // The process notices when it wakes up, after it has read the response.
                call.response_deadline_ms = frozen_until_ms;
                continue;
            }
            // The sidecar ignores this if the response has arrived, as it has then removed the
            // number of the call.
            call.is_resolved = true;
            let response = match &call.content {
                CallContent::Start(start) => {
                    Response::Start(start.call, OrderAnswer::NoAnswer, None)
                }
                CallContent::Stop(stop) => Response::Stop(stop.call, OrderAnswer::NoAnswer, None),
                CallContent::Hold(hold) => Response::Hold(hold.call, None),
            };
            self.respond(call, response);
        }
        let now_ms = self.now_ms;
        calls.retain(|call| !call.is_executed || call.response_deadline_ms > now_ms);
        calls.append(&mut self.calls);
        self.calls = calls;
    }

    fn deliver_datagrams(&mut self) {
        while let Some(entry) = self.datagrams.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let (to, from, packet) = entry.remove();
            let node = &mut self.nodes[to];
            let is_up = node.entry.is_some() || node.sidecar.is_some();
            self.observations.received_counts[to] += 1;
            if is_up && node.isolated_until_ms <= self.now_ms {
                node.inbox.push((from, packet));
            }
        }
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        self.observations.sent_counts[from] += 1;
        let bytes = postcard::to_stdvec(&packet).expect("packets can be encoded");
        self.digest_datagram(from, to, &bytes);
        let bytes_count = bytes.len() as u64;
        self.observations.sent_bytes[from] += bytes_count;
        let is_lost = self.random.random_range(0..1_000) < self.faults.lost_datagram_permille
            || self.draw_is_packet_lost(from, bytes_count);
        if is_lost || self.nodes[from].isolated_until_ms > self.now_ms {
            return;
        }
        let Some(queue_ms) = self.wait_for_link(from, bytes_count) else {
            return;
        };
        let Some(rate_delay_ms) = self.enqueue_at_link(from, &packet, bytes_count) else {
            return;
        };
        let queue_ms = queue_ms + rate_delay_ms;
        let Some(to) = node_index(to).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        if self.is_link_cut(from, to) {
            return;
        }
        for delay_ms in self.draw_delays_ms() {
            self.next_id += 1;
            let key = (self.now_ms + queue_ms + delay_ms, self.next_id);
            let datagram = (to, address(from), packet.clone());
            self.datagrams.insert(key, datagram);
        }
    }

    fn is_link_degraded(&self, node: usize) -> bool {
        let degraded = self.faults.degraded_link_node;
        degraded.is_none_or(|degraded| degraded == node)
    }

    /// Draws whether any packet of a datagram is lost.
    fn draw_is_packet_lost(&mut self, node: usize, datagram_bytes: u64) -> bool {
        if !self.is_link_degraded(node) {
            return false;
        }
        let is_too_long = |bytes_max| datagram_bytes > bytes_max;
        if self.faults.datagram_bytes_max.is_some_and(is_too_long) {
            return true;
        }
        let permille = self.faults.lost_packet_permille;
        permille > 0
            && (0..datagram_bytes.div_ceil(PACKET_BYTES))
                .any(|_| self.random.random_range(0..1_000) < permille)
    }

    /// Returns how long a datagram takes to leave its node in milliseconds, or `None` if it is
    /// dropped because too much waits.
    fn wait_for_link(&mut self, node: usize, datagram_bytes: u64) -> Option<u64> {
        let bytes_per_ms = self.faults.link_bytes_per_ms;
        let Some(bytes_per_ms) = bytes_per_ms.filter(|_| self.is_link_degraded(node)) else {
            return Some(0);
        };
        let begins_ms = self.links_busy_until_ms[node].max(self.now_ms);
        if begins_ms - self.now_ms > LINK_QUEUE_MAX_MS {
            return None;
        }
        self.links_busy_until_ms[node] = begins_ms + datagram_bytes / bytes_per_ms;
        Some(self.links_busy_until_ms[node] - self.now_ms)
    }

    fn run_process(&mut self, index: usize) {
        if self.nodes[index].down_until_ms == self.now_ms {
            self.start_process(index);
        }
        if self.nodes[index].frozen_until_ms > self.now_ms {
            return;
        }
        self.end_slow_round(index);
        self.act_by_old_clock_reading(index);
        if self.stand_still_within_batch(index) {
            return;
        }
        let now = self.process_now(index);
        let now_ms = self.process_now_ms(index);
        let has_step_costs = self.has_step_costs();
        let node = &mut self.nodes[index];
        let inbox = std::mem::take(&mut node.inbox);
        let is_tick = node.next_tick_ms <= now_ms;
        if is_tick {
            node.next_tick_ms = now_ms + 10;
        }
        let mut datagrams = Vec::new();
        let mut sidecar_actions = Vec::new();
        let mut entry_actions = Vec::new();
        let mut claims = SidecarOutput::default();
        let mut lost = Vec::new();
        let pause = Pause {
            duration: Duration::from_millis(now_ms - node.last_run_ms),
            suspended: match self.process_clock {
                ProcessClock::Steady => Duration::ZERO,
                ProcessClock::CountsSuspension => {
                    Duration::from_millis(node.suspended_ms - node.suspended_before_ms)
                }
            },
        };
        if now_ms - node.last_run_ms > BACKLOG_PAUSE_MIN_MS {
            node.callers_known_again_ms = now_ms + DEPARTURE_DELAY_MS.end() + 1;
        }
        if has_step_costs {
            // The probe of the last round has been answered.
            node.callers_known_ms = node.last_run_ms;
        } else if now_ms >= node.callers_known_again_ms {
            node.callers_known_ms = now_ms;
        }
        node.last_run_ms = now_ms;
        node.suspended_before_ms = node.suspended_ms;
        if let Some(entry) = &mut node.entry {
            entry.handle_pause(pause, now);
            let stall_ms = &node.traffic_stall_ms;
            let stalled = Duration::from_millis(if stall_ms.contains(&self.now_ms) {
                self.now_ms - stall_ms.start
            } else {
                0
            });
            let unknown = Duration::from_millis(now_ms - node.callers_known_ms);
            let known_at = now.checked_sub(stalled.max(unknown)).unwrap_or(now);
            entry.set_callers_known_at(known_at, now);
            for (from, packet) in inbox {
                entry.receive(from, packet, now);
            }
            for (caller, submission) in node.unread_submissions.drain(..) {
                entry.submit(caller, submission, now);
            }
            if is_tick {
                let open: Vec<_> = entry.placements().collect();
                entry.tick(now);
                lost = lost_placements(&open, entry);
            }
            entry.place_waiting(now);
            entry_actions = entry.take_actions();
            datagrams = entry.poll(now);
        } else if let Some(endpoint) = &mut node.sidecar {
            endpoint.sidecar_mut().tick(now);
            for (from, packet) in inbox {
                endpoint.receive(from, packet, now);
            }
            endpoint.sidecar_mut().tick(now);
            claims = self.claims.output_of(index, endpoint.sidecar());
            let outgoing = endpoint.poll(now);
            datagrams = outgoing.datagrams;
            sidecar_actions = outgoing.orders;
        }
        let output = RoundOutput {
            datagrams,
            sidecar_actions,
            entry_actions,
            claims,
            lost,
        };
        self.end_round(index, output);
    }

    fn send_output(&mut self, index: usize, output: RoundOutput) {
        for (to, packet) in output.datagrams {
            self.send_datagram(index, to, packet);
        }
        for action in output.sidecar_actions {
            match action {
                SidecarAction::Start(call) => {
                    let placement = output.claims.starts.get(&call.call).copied();
                    self.add_call(index, CallContent::Start(call), placement);
                }
                SidecarAction::Stop(call) => self.add_call(index, CallContent::Stop(call), None),
                SidecarAction::Hold(call) => self.add_call(index, CallContent::Hold(call), None),
                SidecarAction::Send(..) => panic!("the endpoint sends messages itself"),
            }
        }
        self.check_reports(index, output.claims.reports);
        self.check_lost(index, output.lost);
        self.carry_out(index, output.entry_actions);
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Answer { caller, answer, .. } => {
                    self.occupy_link(entry);
                    self.handle_answer(entry, caller, answer);
                }
                EntryAction::AnswerCancel { caller, answer } => {
                    let answers = &mut self.observations.cancel_answers;
                    let earlier = answers.insert(caller, (self.now_ms, answer));
                    assert_eq!(earlier, None, "entry {entry} answers a cancel twice");
                }
                EntryAction::Count(_) => {}
            }
        }
    }

    fn handle_answer(&mut self, entry: usize, caller: CallerId, answer: Answer) {
        if self.departed_callers.contains(&caller) {
            return;
        }
        let Some(caller) = self.callers.remove(&(entry, caller)) else {
            panic!(
                "entry {entry} answers a caller that does not wait at {} ms",
                self.now_ms
            );
        };
        self.record_event(
            Some(caller.job),
            format!("entry {entry} answers {answer:?}"),
        );
        if matches!(answer, Answer::Refused { .. }) {
            assert!(
                !self.started_jobs.contains(&caller.job) || self.was_resubmitted(caller.job),
                "job {} is refused at {} ms although one of its tasks has started",
                caller.job,
                self.now_ms
            );
        }
        let answers = self.observations.answers.entry(caller.job).or_default();
        answers.push(answer);
        if answer == Answer::GivenUp {
            self.schedule_resubmission(caller.submission, None);
        }
    }

    /// Returns whether an earlier submission of a job was answered or lost its connection.
    fn was_resubmitted(&self, job: JobName) -> bool {
        self.observations
            .answers
            .get(&job)
            .is_some_and(|answers| !answers.is_empty())
            || self.observations.unanswered.contains(&job)
    }

    fn schedule_resubmission(&mut self, submission: Submission, avoided_entry: Option<usize>) {
        self.observations.resubmitted_count += 1;
        self.resubmissions.push(Resubmission {
            due_ms: self.now_ms + RESUBMISSION_DELAY_MS,
            submission,
            avoided_entry,
        });
    }

    /// Tells running entries which callers have left.
    fn notice_departures(&mut self) {
        for mut departure in std::mem::take(&mut self.departures) {
            let node = &self.nodes[departure.entry];
            let blocked_until_ms = node.frozen_until_ms.max(node.traffic_stall_ms.end);
            if blocked_until_ms > self.now_ms {
                departure.due_ms = blocked_until_ms + departure.delay_ms;
            }
            if departure.due_ms > self.now_ms {
                self.departures.push(departure);
                continue;
            }
            if self.process_generations[departure.entry] != departure.entry_generation {
                continue;
            }
            let text = format!("entry {} learns that the caller left", departure.entry);
            self.record_event(Some(departure.job), text);
            let now = self.process_now(departure.entry);
            if let Some(entry) = &mut self.nodes[departure.entry].entry {
                entry.caller_left(departure.caller, departure.job, now);
            }
        }
    }

    fn submit_due_resubmissions(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.resubmissions)
            .into_iter()
            .partition(|resubmission| resubmission.due_ms <= now_ms);
        self.resubmissions = later;
        for resubmission in due {
            self.submit_to_random_entry(resubmission.submission, resubmission.avoided_entry);
        }
    }

    /// Submits a job to a random running entry, if possible not to `avoided_entry`; if there is
    /// none, the job is dropped.
    fn submit_to_random_entry(&mut self, submission: Submission, avoided_entry: Option<usize>) {
        let mut running: Vec<usize> = (0..self.entry_count)
            .filter(|index| self.nodes[*index].entry.is_some())
            .collect();
        if running.len() > 1 {
            running.retain(|index| Some(*index) != avoided_entry);
        }
        if let Some(chosen) = self.chosen_entry
            && self.nodes[chosen].entry.is_some()
        {
            running = vec![chosen];
        }
        if running.is_empty() {
            return;
        }
        let index = running[self.random.random_range(0..running.len())];
        self.submit_to_entry(index, submission);
    }

    fn submit_to_entry(&mut self, index: usize, submission: Submission) {
        self.next_id += 1;
        let id = self.next_id;
        self.record_event(Some(submission.name), format!("submitted to entry {index}"));
        let now = self.process_now(index);
        let caller_timeout_ms = submission.caller_timeout.as_millis() as u64;
        self.callers.insert(
            (index, id),
            Caller {
                job: submission.name,
                entry: index,
                entry_generation: self.process_generations[index],
                submission: submission.clone(),
                timeout_at_ms: self.now_ms + caller_timeout_ms,
            },
        );
        let node = &mut self.nodes[index];
        if node.frozen_until_ms > self.now_ms {
            node.unread_submissions.push((id, submission));
            return;
        }
        let entry = node.entry.as_mut().expect("the entry runs");
        entry.submit(id, submission, now);
    }

    fn stop_process(&mut self, index: usize, down_ms: u64) {
        let node = &mut self.nodes[index];
        node.entry = None;
        node.sidecar = None;
        node.inbox.clear();
        node.unread_submissions.clear();
        node.unread_heartbeats.clear();
        node.unread_responses.clear();
        node.clock_reading_ms = None;
        node.down_until_ms = self.now_ms + down_ms.max(1);
        self.process_generations[index] += 1;
        // Its callers lose their connections.
        for (_, caller) in self.remove_callers_of(index) {
            self.observations.unanswered.push(caller.job);
            self.schedule_resubmission(caller.submission, None);
        }
    }

    /// Removes and returns the callers of an entry, in the order of their arrival.
    fn remove_callers_of(&mut self, entry: usize) -> Vec<(CallerId, Caller)> {
        let is_of_entry = |_: &(usize, CallerId), caller: &mut Caller| caller.entry == entry;
        let removed = self.callers.extract_if(.., is_of_entry);
        let mut removed: Vec<_> = removed.map(|((_, id), caller)| (id, caller)).collect();
        removed.sort_by_key(|(id, _)| *id);
        removed
    }

    fn start_process(&mut self, index: usize) {
        self.next_id += 1;
        let is_entry = index < self.entry_count;
        let identity = Identity {
            incarnation: self.random.random_range(1..u64::MAX),
            role: if is_entry { Role::Entry } else { Role::Sidecar },
            started_at: self.process_now(index),
        };
        self.claims.record_process(index, identity.incarnation);
        let sessions = Sessions::new(identity, self.session_settings(index));
        self.process_generations[index] += 1;
        let seed = self.next_id;
        // Draws nothing without jumps, so that the other draws of a seed stay as they are.
        let jump_ms = match self.clock_jump_max_ms {
            0 => 0,
            max_ms => self.random.random_range(0..=max_ms),
        };
        let uptime = Duration::from_millis(UPTIME_MS + self.now_ms - jump_ms);
        let token = first_fencing_token(uptime, seed as u16);
        let now = self.process_now(index);
        let entry_count = self.entry_count;
        let node_count = self.nodes.len().max(entry_count + self.minions.len());
        let node = &mut self.nodes[index];
        if is_entry {
            let settings = EntrySettings {
                seed,
                remote_run_factor_permille: self.racks.remote_run_factor_permille,
                ..self.entry_settings
            };
            let mut entry = Entry::new(settings, sessions);
            if self.zones.is_used() {
                // It reads the store or hears from a peer later.
                self.zones.restart_reader(index);
            }
            entry.configure(self.configuration.clone(), "test", now);
            for other in (0..entry_count).filter(|other| *other != index) {
                entry.add_peer(address(other), None);
            }
            for sidecar in entry_count..node_count {
                let labels = self.racks.labels(sidecar - entry_count);
                entry.add_sidecar(sidecar_record(sidecar, labels), Source::First);
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

/// Returns the resources that each task needs.
pub(crate) fn task_resources() -> Resources {
    Resources {
        cpu_millicores: 1_000,
        memory_mib: 100,
        accelerator_count: 0,
    }
}

/// Returns a configuration with two queues of the same policy.
pub(crate) fn configuration() -> Configuration {
    let queue = |name: &str, path_prefix: &str| Queue {
        name: name.into(),
        host: "host".into(),
        path_prefix: path_prefix.into(),
        service: "service".into(),
        policy: QueuePolicy {
            priority: 1,
            attempt_count_max: 3,
            stretch_permille: 1_600,
            target_latency: Duration::from_millis(60),
        },
        has_advice: false,
    };
    Configuration {
        version: 1,
        queues: vec![queue("queue", "/jobs/"), queue("other", "/other/")],
        body_bytes_max: 262_144,
    }
}

fn sidecar_record(index: usize, labels: Vec<String>) -> SidecarRecord {
    SidecarRecord {
        vm: format!("vm-{index}"),
        address: address(index),
        service: "service".into(),
        capacity: Resources {
            cpu_millicores: 1_000 * TASKS_PER_MINION,
            memory_mib: 100 * TASKS_PER_MINION,
            accelerator_count: 0,
        },
        labels,
    }
}

fn node_index(address: SocketAddr) -> Option<usize> {
    usize::from(address.port()).checked_sub(10_000)
}

fn address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("the port of the node fits into 16 bits");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
