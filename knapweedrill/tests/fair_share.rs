//! Fair sharing of a minion's slots: guaranteed shares, spare capacity and caps.

use std::time::{Duration, Instant};

use knapweedrill::contract::{Class, FairShare, Flow, Team};
use proptest::prelude::*;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(5);

fn team(name: &str, share_percent: u32, cap_percent: u32) -> Team {
    Team {
        name: name.to_owned(),
        share_percent,
        cap_percent,
    }
}

/// A flow that submits tasks to a [`Simulation`] at a constant rate.
struct Source {
    flow: Flow,
    task_run_time: Duration,
    /// The arrival rate.
    tasks_per_s: f64,
    /// The period in which tasks arrive, relative to the start.
    active: std::ops::Range<Duration>,
    arrived_count: f64,
    started_count: u32,
    used: Duration,
}

impl Source {
    fn new(team: &str, class: Class, run_ms: u64, tasks_per_s: f64) -> Self {
        Self {
            flow: Flow::new(team, class),
            task_run_time: Duration::from_millis(run_ms),
            tasks_per_s,
            active: Duration::ZERO..Duration::MAX,
            arrived_count: 0.0,
            started_count: 0,
            used: Duration::ZERO,
        }
    }

    fn active(mut self, from_s: u64, to_s: u64) -> Self {
        self.active = Duration::from_secs(from_s)..Duration::from_secs(to_s);
        self
    }

    fn is_waiting(&self) -> bool {
        self.arrived_count >= f64::from(self.started_count + 1)
    }
}

/// Simulates the tasks of several sources on the slots of one minion.
struct Simulation {
    fair_share: FairShare,
    slot_count: usize,
    sources: Vec<Source>,
    running: Vec<(usize, Duration)>,
    epoch: Instant,
}

impl Simulation {
    fn new(slot_count: u32, teams: &[Team], sources: Vec<Source>) -> Self {
        let mut fair_share = FairShare::new(slot_count);
        fair_share.set_teams(teams);
        Self {
            fair_share,
            slot_count: slot_count as usize,
            sources,
            running: Vec::new(),
            epoch: Instant::now(),
        }
    }

    fn run(mut self, length: Duration) -> Self {
        let mut at = Duration::ZERO;
        while at < length {
            self.step(at);
            at += STEP;
        }
        self
    }

    fn step(&mut self, at: Duration) {
        let now = self.epoch + at;
        for (index, started) in std::mem::take(&mut self.running) {
            let source = &mut self.sources[index];
            if at - started < source.task_run_time {
                self.running.push((index, started));
                continue;
            }
            source.used += source.task_run_time;
            self.fair_share
                .record_end(&source.flow, source.task_run_time, now);
        }
        for source in &mut self.sources {
            if source.active.contains(&at) {
                source.arrived_count += source.tasks_per_s * STEP.as_secs_f64();
            }
        }
        while self.running.len() < self.slot_count {
            let waiting: Vec<usize> = (0..self.sources.len())
                .filter(|&index| self.sources[index].is_waiting())
                .collect();
            let flows = waiting.iter().map(|&index| &self.sources[index].flow);
            let Some(chosen) = self.fair_share.choose(flows, now) else {
                break;
            };
            let index = waiting[chosen];
            self.fair_share.record_start(&self.sources[index].flow, now);
            self.sources[index].started_count += 1;
            self.running.push((index, at));
        }
    }

    fn used_s(&self, index: usize) -> f64 {
        self.sources[index].used.as_secs_f64()
    }
}

#[test_case(Class::Bulk; "of bulk work")]
#[test_case(Class::Normal; "of normal work")]
#[test_case(Class::Urgent; "of urgent work")]
fn flood_does_not_reduce_the_work_done_for_teams_within_their_share(flood: Class) {
    let teams = ["a", "b", "c", "d"].map(|name| team(name, 25, 100));
    // Each of the other teams submits work for nine tenths of its two slots.
    let mut sources = ["a", "b", "c"]
        .map(|name| Source::new(name, Class::Normal, 250, 7.2))
        .into_iter()
        .collect::<Vec<_>>();
    sources.push(Source::new("d", flood, 250, 160.0));
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(60));
    for index in 0..3 {
        let kept = simulation.used_s(index) / (60.0 * 1.8);
        assert!(kept >= 0.95, "team {index} kept {kept}");
    }
}

#[test]
fn longer_tasks_get_no_larger_share() {
    let teams = [team("long", 50, 100), team("short", 50, 100)];
    let sources = vec![
        Source::new("long", Class::Normal, 2_000, 40.0),
        Source::new("short", Class::Normal, 50, 1_000.0),
    ];
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(120));
    let part = simulation.used_s(1) / (120.0 * 8.0);
    assert!((0.45..=0.55).contains(&part), "short tasks got {part}");
}

#[test]
fn idle_team_accumulates_at_most_one_second_of_its_share() {
    let teams = [team("busy", 50, 100), team("idle", 50, 100)];
    let sources = vec![
        Source::new("busy", Class::Normal, 100, 200.0),
        Source::new("idle", Class::Normal, 100, 200.0).active(60, 600),
        // The team has an account before it becomes idle.
        Source::new("idle", Class::Normal, 100, 10.0).active(0, 1),
    ];
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(70));
    let after_s = simulation.used_s(1);
    // Half of eight slots for ten seconds, plus at most one second of balance on either side.
    assert!((36.0..=49.0).contains(&after_s), "used {after_s}");
}

#[test]
fn idle_team_accumulates_no_spare_capacity() {
    let sources = vec![
        Source::new("busy", Class::Normal, 100, 200.0),
        Source::new("idle", Class::Normal, 100, 200.0).active(60, 600),
        Source::new("idle", Class::Normal, 100, 10.0).active(0, 1),
    ];
    let simulation = Simulation::new(8, &[], sources).run(Duration::from_secs(70));
    let after_s = simulation.used_s(1);
    assert!((36.0..=44.0).contains(&after_s), "used {after_s}");
}

#[test]
fn use_of_spare_capacity_does_not_reduce_the_guaranteed_share() {
    let teams = [team("early", 50, 100), team("late", 50, 100)];
    let sources = vec![
        Source::new("early", Class::Normal, 100, 200.0),
        Source::new("late", Class::Urgent, 100, 400.0).active(60, 600),
    ];
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(70));
    let kept_s = 80.0 - simulation.used_s(1);
    // Four slots for ten seconds, of which up to two seconds pass until the balances are equal.
    assert!(kept_s >= 32.0, "kept {kept_s}");
}

#[test]
fn tasks_shorter_than_the_mean_are_charged_their_measured_run_time() {
    let teams = [team("mixed", 50, 100), team("even", 50, 100)];
    let sources = vec![
        Source::new("mixed", Class::Normal, 950, 2.0),
        Source::new("mixed", Class::Normal, 50, 200.0),
        Source::new("even", Class::Normal, 100, 200.0),
    ];
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(120));
    let part = simulation.used_s(2) / (120.0 * 8.0);
    assert!((0.45..=0.55).contains(&part), "the even team got {part}");
}

#[test]
fn cap_limits_the_only_team() {
    let teams = [team("capped", 0, 25)];
    let sources = vec![Source::new("capped", Class::Urgent, 100, 200.0)];
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(60));
    let slots = simulation.used_s(0) / 60.0;
    assert!((1.9..=2.1).contains(&slots), "used {slots} slots");
}

#[test]
fn cap_below_one_slot_is_kept_on_average() {
    let teams = [team("capped", 1, 1)];
    let sources = vec![Source::new("capped", Class::Normal, 500, 10.0)];
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(600));
    let slots = simulation.used_s(0) / 600.0;
    assert!((0.07..=0.09).contains(&slots), "used {slots} slots");
}

#[test]
fn more_teams_than_slots_get_their_shares() {
    let names: Vec<String> = (0..72).map(|index| format!("team-{index}")).collect();
    let teams: Vec<Team> = names.iter().map(|name| team(name, 1, 100)).collect();
    let sources = names
        .iter()
        .map(|name| Source::new(name, Class::Normal, 200, 5.0))
        .collect();
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(180));
    let even_s = 180.0 * 8.0 / 72.0;
    for index in 0..72 {
        let part = simulation.used_s(index) / even_s;
        assert!((0.9..=1.1).contains(&part), "team {index} got {part}");
    }
}

#[test]
fn team_without_a_share_gets_only_spare_capacity() {
    let teams = [team("named", 100, 100)];
    let sources = vec![
        Source::new("named", Class::Bulk, 100, 200.0),
        Source::new("unnamed", Class::Urgent, 100, 200.0),
    ];
    let simulation = Simulation::new(8, &teams, sources).run(Duration::from_secs(60));
    let part = simulation.used_s(0) / (60.0 * 8.0);
    assert!(part >= 0.95, "the named team got {part}");
}

#[test]
fn spare_capacity_goes_to_the_most_urgent_class() {
    let sources = vec![
        Source::new("a", Class::Bulk, 100, 200.0).active(1, 10),
        Source::new("b", Class::Urgent, 100, 200.0),
    ];
    let simulation = Simulation::new(8, &[], sources).run(Duration::from_secs(10));
    assert_eq!(simulation.sources[0].started_count, 0);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn urgent_work_of_a_team_precedes_its_own_bulk_work(
        uses in prop::collection::vec((0..3_usize, 0..2_usize, 1..900_u64), 0..60),
    ) {
        let mut fair_share = FairShare::new(8);
        fair_share.set_teams(&[team("a", 30, 100), team("b", 5, 100)]);
        let mut now = Instant::now();
        for (class, name, run_ms) in uses {
            let flow = Flow::new(["a", "b"][name], Class::ALL[class]);
            fair_share.record_start(&flow, now);
            now += Duration::from_millis(run_ms);
            fair_share.record_end(&flow, Duration::from_millis(run_ms), now);
            for name in ["a", "b"] {
                let flows = [Flow::new(name, Class::Bulk), Flow::new(name, Class::Urgent)];
                prop_assert_eq!(fair_share.choose(&flows, now), Some(1));
            }
        }
    }
}
