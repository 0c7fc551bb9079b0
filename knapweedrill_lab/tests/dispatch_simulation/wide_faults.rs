use knapweedrill_lab::stand_in::platform::TaskProfile;
use rand::RngExt;
use rand::seq::SliceRandom;

use super::{JobName, Simulation, TaskName};

/// The longest time that a response is usually on its way on days with many kinds of faults, in
/// milliseconds.
const USUAL_RESPONSE_DELAY_MAX_MS: u64 = 3;

/// The longest pause between two jobs for each minion, in milliseconds.
const JOB_PAUSE_MAX_MS: u64 = 1_000;

/// The minions for which the frequency of faults is drawn.
const FLEET_FACTOR_MINIONS: usize = 12;

/// A fault that is drawn at random on days with many kinds of them.
#[derive(Debug, Clone, Copy)]
enum WideFault {
    /// A minion leaves orders unanswered and carries them out seconds later.
    DelayOrders,
    /// The same, and the minion crashes soon after and returns under another name.
    DelayOrdersThenRename,
    /// A minion is replaced by one with another name.
    Rename,
    /// A minion refuses connections for a while and returns under another name.
    DownThenRename,
    /// A minion drains and deregisters while its runs go on, and is replaced seconds later.
    Leave,
    FreezeSidecar,
    /// A sidecar reads its clock and stands still before it acts.
    StallSidecar,
    RestartSidecar,
    RestartEntry,
    FreezeEntry,
    /// An entry reads its clock and stands still before it acts.
    StallEntry,
    /// The machine of a sidecar stands still, and its minion goes on.
    SuspendSidecar,
    /// Datagrams between an entry and some sidecars are lost in one direction.
    CutOneWay,
    IsolateSidecar,
    /// Calls to minions are delayed or lose their answers.
    OddCalls,
    LoseDatagrams,
    /// Datagrams arrive twice or seconds late, overtaken by others.
    LateDatagrams,
    /// An entry and a sidecar don't hear each other for so long that their session ends.
    CutForLong,
}

const ALL: [WideFault; 18] = [
    WideFault::DelayOrders,
    WideFault::DelayOrdersThenRename,
    WideFault::Rename,
    WideFault::DownThenRename,
    WideFault::Leave,
    WideFault::FreezeSidecar,
    WideFault::StallSidecar,
    WideFault::RestartSidecar,
    WideFault::RestartEntry,
    WideFault::FreezeEntry,
    WideFault::StallEntry,
    WideFault::SuspendSidecar,
    WideFault::CutOneWay,
    WideFault::IsolateSidecar,
    WideFault::OddCalls,
    WideFault::LoseDatagrams,
    WideFault::LateDatagrams,
    WideFault::CutForLong,
];

/// What happens later because of a fault.
#[derive(Debug, Clone, Copy)]
enum Sequel {
    Rename(usize),
    Deregister(usize),
    CalmCalls,
    CalmDatagrams,
    CalmLinks,
}

impl Simulation {
    /// Lets a day pass with clusters of faults of some kinds, long tasks, tasks that hang and tasks that stall.
    pub(crate) fn run_wide_day(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        self.faults.response_delay_max_ms = USUAL_RESPONSE_DELAY_MAX_MS;
        let mut sequels: Vec<(u64, Sequel)> = Vec::new();
        let mut faults: Vec<(u64, WideFault)> = Vec::new();
        let mut next_job_ms = self.now_ms;
        let kinds = self.draw_kinds();
        let fleet_factor = self.minions.len().div_ceil(FLEET_FACTOR_MINIONS) as u64;
        let cluster_period_ms = self.random.random_range(300..1_500) / fleet_factor;
        while self.now_ms < end_ms {
            if next_job_ms <= self.now_ms {
                self.submit_wide_job();
                let pause_max_ms = JOB_PAUSE_MAX_MS / self.minions.len() as u64;
                next_job_ms = self.now_ms + self.random.random_range(1..pause_max_ms);
            }
            if self.random.random_range(0..cluster_period_ms) == 0 {
                for _ in 0..self.random.random_range(1..=5) {
                    let at_ms = self.now_ms + self.random.random_range(0..900);
                    faults.push((at_ms, kinds[self.random.random_range(0..kinds.len())]));
                }
            }
            let now_ms = self.now_ms;
            let due: Vec<_> = faults.extract_if(.., |(at, _)| *at <= now_ms).collect();
            for (_, fault) in due {
                self.apply_wide(fault, &mut sequels);
            }
            let due: Vec<_> = sequels.extract_if(.., |(at, _)| *at <= now_ms).collect();
            for (_, sequel) in due {
                self.apply_sequel(sequel);
            }
            self.advance(1);
        }
    }

    /// Returns the kinds of faults of a day. Few kinds meet each other more often.
    fn draw_kinds(&mut self) -> Vec<WideFault> {
        let mut kinds = ALL.to_vec();
        kinds.shuffle(&mut self.random);
        kinds.truncate(self.random.random_range(2..=ALL.len()));
        kinds
    }

    fn submit_wide_job(&mut self) {
        let run_ms = [60, 300, 1_000, 2_000, 4_000][self.random.random_range(0..5)];
        self.set_run_ms(run_ms);
        let tasks = self.random.random_range(1..4);
        let is_estimate_wrong = self.random.random_range(0..8) == 0;
        let hangs = self.random.random_range(0..12) == 0;
        let job = self.submit_with(tasks, 4 * run_ms + 6_000, |step| {
            if is_estimate_wrong {
                step.estimate /= 6;
            }
        });
        if hangs {
            self.hang_first_task(job, run_ms);
        }
    }

    fn hang_first_task(&mut self, job: JobName, run_ms: u64) {
        let profile = TaskProfile {
            run_ms,
            hangs: true,
            ..self.default_profile
        };
        let task = TaskName {
            job,
            step: 0,
            index: 0,
        };
        self.set_task_profile(task, profile);
    }

    fn apply_wide(&mut self, fault: WideFault, sequels: &mut Vec<(u64, Sequel)>) {
        let minion = self.random.random_range(0..self.minions.len());
        let sidecar = self.sidecar_node(minion);
        let entry = self.random.random_range(0..self.entry_count);
        let now_ms = self.now_ms;
        match fault {
            WideFault::DelayOrders => {
                let for_ms = self.random.random_range(100..1_500);
                self.delay_orders(minion, for_ms);
            }
            WideFault::DelayOrdersThenRename => {
                let for_ms = self.random.random_range(100..1_500);
                self.delay_orders(minion, for_ms);
                let pause_ms = self.random.random_range(20..1_500);
                sequels.push((now_ms + pause_ms, Sequel::Rename(minion)));
            }
            WideFault::Rename => self.rename_minion(minion),
            WideFault::DownThenRename => {
                let down_ms = self.random.random_range(50..2_000);
                self.crash_minion_for(minion, down_ms);
            }
            WideFault::Leave => {
                self.drain(minion);
                let drained_ms = now_ms + self.random.random_range(100..2_500);
                sequels.push((drained_ms, Sequel::Deregister(minion)));
                let ended_ms = drained_ms + self.random.random_range(0..4_000);
                sequels.push((ended_ms, Sequel::Rename(minion)));
            }
            WideFault::FreezeSidecar => {
                let for_ms = self.random.random_range(300..3_500);
                self.freeze(sidecar, for_ms);
            }
            WideFault::StallSidecar => {
                let for_ms = self.random.random_range(300..3_500);
                self.stall_after_clock_reading(sidecar, for_ms);
            }
            WideFault::RestartSidecar => {
                let down_ms = self.random.random_range(50..1_500);
                self.kill(sidecar, down_ms);
            }
            WideFault::RestartEntry => {
                let down_ms = self.random.random_range(50..3_000);
                self.kill(entry, down_ms);
            }
            WideFault::FreezeEntry => {
                let for_ms = self.random.random_range(300..3_500);
                self.freeze(entry, for_ms);
            }
            WideFault::StallEntry => {
                let for_ms = self.random.random_range(100..2_500);
                self.stall_after_clock_reading(entry, for_ms);
            }
            WideFault::SuspendSidecar => {
                let for_ms = self.random.random_range(300..3_500);
                self.suspend(sidecar, for_ms);
            }
            WideFault::CutOneWay => {
                let for_ms = self.random.random_range(300..5_000);
                let is_outwards = self.random.random_bool(0.5);
                for node in self.entry_count..self.nodes.len() {
                    if self.random.random_bool(0.6) {
                        let (from, to) = if is_outwards {
                            (entry, node)
                        } else {
                            (node, entry)
                        };
                        self.cut_link(from, to, for_ms);
                    }
                }
            }
            WideFault::IsolateSidecar => {
                let for_ms = self.random.random_range(300..4_000);
                self.isolate(sidecar, for_ms);
            }
            WideFault::OddCalls => {
                self.faults.delayed_call_permille = self.random.random_range(0..300);
                self.faults.lost_response_permille = self.random.random_range(0..300);
                self.faults.response_delay_max_ms = self.random.random_range(0..40);
                let for_ms = self.random.random_range(50..1_000);
                sequels.push((now_ms + for_ms, Sequel::CalmCalls));
            }
            WideFault::LateDatagrams => {
                self.links.duplicate_permille = self.random.random_range(0..300);
                self.links.late_permille = self.random.random_range(0..300);
                let for_ms = self.random.random_range(100..3_000);
                sequels.push((now_ms + for_ms, Sequel::CalmLinks));
            }
            WideFault::CutForLong => {
                let for_ms = self.random.random_range(5_000..15_000);
                if self.random.random_bool(0.7) {
                    self.cut_link(entry, sidecar, for_ms);
                }
                if self.random.random_bool(0.7) {
                    self.cut_link(sidecar, entry, for_ms);
                }
            }
            WideFault::LoseDatagrams => {
                self.faults.lost_datagram_permille = self.random.random_range(20..300);
                self.faults.datagram_delay_max_ms = self.random.random_range(0..60);
                let for_ms = self.random.random_range(100..3_000);
                sequels.push((now_ms + for_ms, Sequel::CalmDatagrams));
            }
        }
    }

    fn apply_sequel(&mut self, sequel: Sequel) {
        match sequel {
            Sequel::Rename(minion) => self.rename_minion(minion),
            Sequel::Deregister(minion) => self.deregister(minion),
            Sequel::CalmCalls => {
                self.faults.delayed_call_permille = 0;
                self.faults.lost_response_permille = 0;
                self.faults.response_delay_max_ms = USUAL_RESPONSE_DELAY_MAX_MS;
            }
            Sequel::CalmLinks => {
                self.links.duplicate_permille = 0;
                self.links.late_permille = 0;
            }
            Sequel::CalmDatagrams => {
                self.faults.lost_datagram_permille = 0;
                self.faults.datagram_delay_max_ms = 0;
            }
        }
    }

    /// Makes a minion crash and start anew under another instance name.
    fn rename_minion(&mut self, minion: usize) {
        self.next_id += 1;
        let instance = format!("minion-{minion}-{}-{}", self.now_ms, self.next_id);
        self.restart_minion_as(minion, instance);
    }

    /// Makes a minion crash, refuse connections for a while and return under another instance name.
    fn crash_minion_for(&mut self, minion: usize, down_ms: u64) {
        self.rename_minion(minion);
        self.keep_minion_down(minion, down_ms);
        self.delay_registration(minion, down_ms);
    }
}
