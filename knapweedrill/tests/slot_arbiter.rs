//! Tests of the allocation of a minion's slots to entries.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::contract::{Class, Team};
use knapweedrill::message::{Credit, Start};
use knapweedrill::sidecar::{ArbiterSettings, EntryCredits, OfferDecision, SlotArbiter};
use proptest::prelude::*;
use support::{demand, start, start_of};
use test_case::test_case;

const RUN_TIME: Duration = Duration::from_millis(100);

fn arbiter(slot_count: u32, prefetch_count: u32) -> SlotArbiter {
    SlotArbiter::new(ArbiterSettings {
        slot_count,
        prefetch_count,
        ..ArbiterSettings::default()
    })
}

fn credited(mut start: Start) -> Start {
    start.uses_credit = true;
    start
}

fn credit_count(granted: &[EntryCredits], entry: Incarnation) -> u32 {
    granted
        .iter()
        .filter(|credits| credits.entry == entry)
        .flat_map(|credits| &credits.credits)
        .map(|credit| credit.task_count)
        .sum()
}

#[test]
fn uncredited_start_runs_at_once_on_a_free_slot() {
    let now = Instant::now();
    let mut arbiter = arbiter(1, 0);
    let offered = start(1, 0, "a", Class::Normal);
    assert_eq!(
        arbiter.offer(offered.clone(), 1, now),
        OfferDecision::Run(offered)
    );
    let refused = start(1, 1, "a", Class::Normal);
    assert_eq!(
        arbiter.offer(refused.clone(), 1, now),
        OfferDecision::Refuse(refused)
    );
}

#[test]
fn uncredited_start_takes_no_committed_slot() {
    let now = Instant::now();
    let mut arbiter = arbiter(1, 0);
    arbiter.set_demands(1, vec![demand("a", Class::Normal, 1)], now);
    assert_eq!(credit_count(&arbiter.grant_credits(now), 1), 1);
    let rival = start(2, 0, "a", Class::Normal);
    assert_eq!(
        arbiter.offer(rival.clone(), 2, now),
        OfferDecision::Refuse(rival)
    );
    let expected = credited(start(1, 0, "a", Class::Normal));
    assert_eq!(
        arbiter.offer(expected.clone(), 1, now),
        OfferDecision::Run(expected)
    );
}

#[test]
fn uncredited_start_waits_behind_a_committed_slot() {
    let now = Instant::now();
    let mut arbiter = arbiter(1, 1);
    arbiter.set_demands(1, vec![demand("a", Class::Normal, 1)], now);
    arbiter.grant_credits(now);
    let rival = start(2, 0, "a", Class::Normal);
    assert_eq!(arbiter.offer(rival, 2, now), OfferDecision::Wait);
}

#[test]
fn credits_are_distributed_evenly_over_the_entries() {
    let now = Instant::now();
    let mut arbiter = arbiter(6, 0);
    for entry in 1..=3 {
        arbiter.set_demands(entry, vec![demand("a", Class::Normal, 10)], now);
    }
    let granted = arbiter.grant_credits(now);
    for entry in 1..=3 {
        assert_eq!(credit_count(&granted, entry), 2);
    }
}

#[test]
fn demand_repeated_while_credits_are_in_flight_is_not_granted_twice() {
    let now = Instant::now();
    let mut arbiter = arbiter(8, 0);
    arbiter.set_demands(1, vec![demand("a", Class::Normal, 2)], now);
    assert_eq!(credit_count(&arbiter.grant_credits(now), 1), 2);
    arbiter.set_demands(1, vec![demand("a", Class::Normal, 2)], now);
    assert_eq!(credit_count(&arbiter.grant_credits(now), 1), 0);
}

#[test]
fn unused_credit_expires_and_goes_to_another_entry() {
    let now = Instant::now();
    let mut arbiter = arbiter(1, 0);
    arbiter.set_demands(1, vec![demand("a", Class::Normal, 1)], now);
    arbiter.grant_credits(now);
    arbiter.set_demands(2, vec![demand("a", Class::Normal, 1)], now);
    assert_eq!(arbiter.grant_credits(now), vec![]);
    let later = now + ArbiterSettings::default().credit_lifetime;
    assert_eq!(credit_count(&arbiter.grant_credits(later), 2), 1);
}

#[test]
fn unresponsive_entry_gets_no_credit_until_it_responds() {
    let mut now = Instant::now();
    let mut arbiter = arbiter(1, 0);
    arbiter.set_demands(1, vec![demand("a", Class::Normal, 2)], now);
    assert_eq!(credit_count(&arbiter.grant_credits(now), 1), 1);
    now += ArbiterSettings::default().credit_lifetime;
    assert_eq!(arbiter.grant_credits(now), vec![]);
    let late = credited(start(1, 0, "a", Class::Normal));
    assert_eq!(
        arbiter.offer(late.clone(), 1, now),
        OfferDecision::Run(late.clone())
    );
    arbiter.record_end(late.task, RUN_TIME, now + RUN_TIME);
    assert_eq!(credit_count(&arbiter.grant_credits(now + RUN_TIME), 1), 1);
    let left = start(1, 1, "a", Class::Normal);
    arbiter.offer(credited(left), 1, now + RUN_TIME);
    assert_eq!(arbiter.credit_count(), 0);
}

#[test]
fn returned_credit_goes_to_another_entry_at_once() {
    let now = Instant::now();
    let mut arbiter = arbiter(1, 0);
    arbiter.set_demands(1, vec![demand("a", Class::Normal, 1)], now);
    arbiter.grant_credits(now);
    arbiter.set_demands(2, vec![demand("a", Class::Normal, 1)], now);
    arbiter.return_credits(1, 1, now);
    assert_eq!(credit_count(&arbiter.grant_credits(now), 2), 1);
}

#[test]
fn slot_is_reserved_for_urgent_work_ahead_of_a_waiting_bulk_task() {
    let mut now = Instant::now();
    let mut arbiter = arbiter(1, 1);
    let first = start(1, 0, "a", Class::Bulk);
    arbiter.offer(first.clone(), 1, now);
    assert_eq!(
        arbiter.offer(start(1, 1, "a", Class::Bulk), 1, now),
        OfferDecision::Wait
    );
    arbiter.set_demands(2, vec![demand("a", Class::Urgent, 1)], now);
    assert_eq!(
        arbiter.grant_credits(now),
        vec![],
        "no capacity is left yet"
    );
    now += RUN_TIME;
    arbiter.record_end(first.task, RUN_TIME, now);
    assert_eq!(arbiter.next_to_run(now), None);
    assert_eq!(credit_count(&arbiter.grant_credits(now), 2), 1);
    assert_eq!(arbiter.next_to_run(now), None);
    let urgent = credited(start(2, 0, "a", Class::Urgent));
    let offered = arbiter.offer(urgent.clone(), 2, now);
    let is_started =
        offered == OfferDecision::Run(urgent.clone()) || arbiter.next_to_run(now) == Some(urgent);
    assert!(is_started, "the urgent task takes the slot");
    assert_eq!(arbiter.pending_count(), 1, "the bulk task still waits");
}

#[test]
fn waiting_bulk_task_runs_when_the_urgent_entry_becomes_unresponsive() {
    let mut now = Instant::now();
    let mut arbiter = arbiter(1, 1);
    let first = start(1, 0, "a", Class::Bulk);
    arbiter.offer(first.clone(), 1, now);
    arbiter.offer(start(1, 1, "a", Class::Bulk), 1, now);
    arbiter.set_demands(2, vec![demand("a", Class::Urgent, 1)], now);
    arbiter.record_end(first.task, RUN_TIME, now);
    assert_eq!(arbiter.next_to_run(now), None);
    arbiter.grant_credits(now);
    now += ArbiterSettings::default().credit_lifetime;
    assert!(arbiter.next_to_run(now).is_some());
}

#[test]
fn own_commitment_does_not_block_a_capped_task() {
    let mut now = Instant::now();
    let mut arbiter = arbiter(8, 1);
    arbiter.set_teams(&[Team {
        name: "a".to_owned(),
        share_percent: 1,
        cap_percent: 1,
    }]);
    for index in 0..8 {
        arbiter.offer(start(1, index, "b", Class::Normal), 1, now);
    }
    let waiting = start(1, 8, "a", Class::Normal);
    assert_eq!(arbiter.offer(waiting.clone(), 1, now), OfferDecision::Wait);
    now += Duration::from_millis(1);
    arbiter.record_end(start(1, 0, "b", Class::Normal).task, RUN_TIME, now);
    assert_eq!(arbiter.next_to_run(now), Some(waiting));
}

#[test]
fn cancelled_job_leaves_no_accepted_task() {
    let now = Instant::now();
    let mut arbiter = arbiter(1, 3);
    arbiter.offer(start_of(1, 1, 0, "a", Class::Normal), 1, now);
    let cancelled = start_of(2, 1, 0, "a", Class::Normal);
    arbiter.offer(cancelled.clone(), 1, now);
    arbiter.offer(start_of(3, 1, 0, "a", Class::Normal), 1, now);
    assert_eq!(arbiter.cancel(2, now), vec![cancelled]);
    assert_eq!(arbiter.pending_count(), 1);
}

#[test]
fn removed_entry_leaves_no_accepted_task_or_credit() {
    let now = Instant::now();
    let mut arbiter = arbiter(1, 2);
    arbiter.offer(start(1, 0, "a", Class::Normal), 1, now);
    let waiting = start(1, 1, "a", Class::Normal);
    arbiter.offer(waiting.clone(), 1, now);
    arbiter.set_demands(1, vec![demand("a", Class::Normal, 5)], now);
    arbiter.grant_credits(now);
    assert_eq!(arbiter.remove_entry(1, now), vec![waiting]);
    assert_eq!(arbiter.credit_count(), 0);
    assert_eq!(arbiter.grant_credits(now), vec![]);
}

/// The queued tasks of an entry that uses every credit it gets.
#[derive(Debug, Default)]
struct BenchEntry {
    waiting: BTreeMap<(String, Class), u32>,
}

/// A simulation of entries and an arbiter with link delays and a manual clock.
struct Bench {
    arbiter: SlotArbiter,
    entries: Vec<BenchEntry>,
    now: Instant,
    running: Vec<(Start, Instant)>,
    credits_due: VecDeque<(Instant, Incarnation, Credit)>,
    next_index: u32,
    started_count: u32,
    refused_count: u32,
}

const STEP: Duration = Duration::from_millis(1);

impl Bench {
    fn new(arbiter: SlotArbiter, entry_count: usize) -> Self {
        Self {
            arbiter,
            entries: (0..entry_count).map(|_| BenchEntry::default()).collect(),
            now: Instant::now(),
            running: Vec::new(),
            credits_due: VecDeque::new(),
            next_index: 0,
            started_count: 0,
            refused_count: 0,
        }
    }

    fn add_work(&mut self, entry: usize, team: &str, class: Class, task_count: u32) {
        *self.entries[entry]
            .waiting
            .entry((team.to_owned(), class))
            .or_default() += task_count;
        let demands = self.entries[entry]
            .waiting
            .iter()
            .map(|((team, class), count)| demand(team, *class, *count))
            .collect();
        self.arbiter
            .set_demands(entry as Incarnation, demands, self.now);
    }

    /// Advances the clock by one step and returns the tasks that started.
    fn step(&mut self) -> Vec<Start> {
        self.now += STEP;
        let now = self.now;
        for (running, started_at) in std::mem::take(&mut self.running) {
            let run_time = now - started_at;
            if run_time < RUN_TIME {
                self.running.push((running, started_at));
            } else {
                self.arbiter.record_end(running.task, run_time, now);
            }
        }
        let mut started = Vec::new();
        while let Some((_, entry, credit)) = self.credits_due.pop_front_if(|due| due.0 <= now) {
            self.use_credit(entry, &credit, &mut started);
        }
        started.extend(std::iter::from_fn(|| self.arbiter.next_to_run(now)));
        for credits in self.arbiter.grant_credits(now) {
            for credit in credits.credits {
                self.credits_due
                    .push_back((now + 2 * STEP, credits.entry, credit));
            }
        }
        self.started_count += started.len() as u32;
        self.running
            .extend(started.iter().map(|start| (start.clone(), now)));
        started
    }

    fn use_credit(&mut self, entry: Incarnation, credit: &Credit, started: &mut Vec<Start>) {
        let key = (credit.team.clone(), credit.class);
        for _ in 0..credit.task_count {
            let Some(count) = self.entries[entry as usize].waiting.get_mut(&key) else {
                continue;
            };
            if *count == 0 {
                continue;
            }
            *count -= 1;
            self.next_index += 1;
            let offered = credited(start(entry, self.next_index, &credit.team, credit.class));
            match self.arbiter.offer(offered, entry, self.now) {
                OfferDecision::Run(start) => started.push(start),
                OfferDecision::Wait => {}
                OfferDecision::Refuse(_) => self.refused_count += 1,
            }
        }
    }
}

#[test_case(0; "without prefetch")]
#[test_case(1; "with one task of prefetch")]
#[test_case(4; "with four tasks of prefetch")]
fn urgent_work_waits_for_at_most_one_slot_and_a_round_trip_in_a_bulk_flood(prefetch_count: u32) {
    let mut bench = Bench::new(arbiter(8, prefetch_count), 3);
    for entry in 0..3 {
        bench.add_work(entry, "flood", Class::Bulk, 10_000);
    }
    for round in 0..50 {
        for _ in 0..137 {
            bench.step();
        }
        bench.add_work(round % 3, "flood", Class::Urgent, 1);
        let asked_at = bench.now;
        let found = (0..1_000).find(|_| {
            let started = bench.step();
            started.iter().any(|start| start.class == Class::Urgent)
        });
        assert!(found.is_some());
        // If all slots started together, the wait is one run time and a round trip of two steps.
        assert!(bench.now - asked_at <= RUN_TIME + 3 * STEP);
    }
}

#[test_case(0, 90; "without prefetch")]
#[test_case(2, 97; "with two tasks of prefetch")]
fn slots_stay_busy_under_load(prefetch_count: u32, busy_percent: u32) {
    let mut bench = Bench::new(arbiter(8, prefetch_count), 3);
    for entry in 0..3 {
        bench.add_work(entry, "a", Class::Normal, 10_000);
    }
    for _ in 0..10_000 {
        bench.step();
    }
    assert_eq!(bench.refused_count, 0);
    let full_count = 8 * 10_000 / RUN_TIME.as_millis() as u32;
    let percent = bench.started_count * 100 / full_count;
    assert!(
        percent >= busy_percent,
        "the slots were busy for {percent} percent of the time"
    );
}

/// A random call of the arbiter or the passing of time.
#[derive(Debug, Clone)]
enum Step {
    Demands(Incarnation, Class, u32),
    Offer(Incarnation, Class, bool),
    End(usize),
    ReturnCredits(Incarnation, u32),
    EndSession(Incarnation),
    RemoveEntry(Incarnation),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..3_u64;
    let class = prop::sample::select(Class::ALL.to_vec());
    prop_oneof![
        4 => (entry.clone(), class.clone(), 0..20_u32).prop_map(|(e, c, n)| Step::Demands(e, c, n)),
        8 => (entry.clone(), class, any::<bool>()).prop_map(|(e, c, b)| Step::Offer(e, c, b)),
        6 => any::<usize>().prop_map(Step::End),
        1 => (entry.clone(), 0..3_u32).prop_map(|(e, n)| Step::ReturnCredits(e, n)),
        1 => entry.clone().prop_map(Step::EndSession),
        1 => entry.prop_map(Step::RemoveEntry),
        4 => (0..30_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(2), ..ProptestConfig::default() })]

    #[test]
    fn commitments_never_exceed_free_slots_plus_prefetch(
        slot_count in 1..9_u32,
        prefetch_count in 0..4_u32,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut arbiter = arbiter(slot_count, prefetch_count);
        let mut now = Instant::now();
        let mut running: Vec<Start> = Vec::new();
        for (index, step) in steps.into_iter().enumerate() {
            match step {
                Step::Demands(entry, class, count) => {
                    arbiter.set_demands(entry, vec![demand("a", class, count)], now);
                }
                Step::Offer(entry, class, is_credited) => {
                    let mut offered = start(entry, index as u32, "a", class);
                    offered.uses_credit = is_credited;
                    if let OfferDecision::Run(start) = arbiter.offer(offered, entry, now) {
                        running.push(start);
                    }
                }
                Step::End(pick) if !running.is_empty() => {
                    let ended = running.swap_remove(pick % running.len());
                    arbiter.record_end(ended.task, RUN_TIME, now);
                }
                Step::End(_) => {}
                Step::ReturnCredits(entry, count) => arbiter.return_credits(entry, count, now),
                Step::EndSession(entry) => arbiter.end_session(entry, now),
                Step::RemoveEntry(entry) => drop(arbiter.remove_entry(entry, now)),
                Step::Wait(wait_ms) => now += Duration::from_millis(wait_ms),
            }
            running.extend(std::iter::from_fn(|| arbiter.next_to_run(now)));
            arbiter.grant_credits(now);
            prop_assert_eq!(arbiter.running_count() as usize, running.len());
            prop_assert!(arbiter.running_count() <= slot_count);
            prop_assert!(
                arbiter.pending_count() + arbiter.credit_count()
                    <= arbiter.free_count() + prefetch_count
            );
        }
    }
}

#[test]
fn returned_credit_withdraws_the_demand_of_the_entry_for_the_flow() {
    let now = Instant::now();
    let mut arbiter = arbiter(1, 0);
    let bulk = demand("a", Class::Bulk, 3);
    let normal = demand("a", Class::Normal, 3);
    arbiter.set_demands(1, vec![normal.clone(), bulk], now);
    assert_eq!(credit_count(&arbiter.grant_credits(now), 1), 1);

    arbiter.return_credits(1, 1, now);
    let granted = arbiter.grant_credits(now);
    let classes: Vec<Class> = granted
        .iter()
        .flat_map(|credits| &credits.credits)
        .map(|credit| credit.class)
        .collect();
    assert_eq!(classes, [Class::Bulk]);

    arbiter.return_credits(1, 1, now);
    assert!(arbiter.grant_credits(now).is_empty());
    arbiter.set_demands(1, vec![normal], now);
    assert_eq!(credit_count(&arbiter.grant_credits(now), 1), 1);
}
