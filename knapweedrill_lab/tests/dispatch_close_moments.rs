//! Runs of a task at two minions, on a simulated system in which disruptions meet at close moments.
//!
//! The simulation checks at each millisecond that no task runs twice at the same time.

mod dispatch_simulation;

use dispatch_simulation::{ClockReading, FaultSettings, Simulation};
use knapweedrill::dispatch::JobName;
use test_case::test_case;

/// The run time of tasks, in milliseconds; longer than all disruptions that meet at one job.
const RUN_MS: u64 = 3_000;

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 9_000;

/// The time after which all disruptions of a job have ended and its callers are back, in
/// milliseconds.
const SETTLING_MS: u64 = 4_000;

/// Delays of a second disruption, in milliseconds; a sidecar stops the runs of a silent entry after
/// 600 ms.
const PAUSES_MS: [u64; 4] = [1, 150, 300, 590];

/// The number of sidecars that stall with orders unread.
const STALLED_SIDECAR_COUNT: usize = 4;

/// A disruption of the processes and links that a job uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disruption {
    KillEntry,
    StopEntry,
    FreezeEntry,
    SuspendEntry,
    StallEntry,
    IsolateEntry,
    DisconnectCallers,
    KillSidecars,
    FreezeSidecars,
    SuspendSidecars,
    StallSidecars,
    IsolateSidecars,
    CutToSidecars,
    CutFromSidecars,
    RestartMinions,
    DelayOrders,
    DrainMinions,
    ReplaceMachines,
}

/// A job and the processes that it used when it was disrupted first.
#[derive(Debug)]
struct Target {
    job: JobName,
    entry: usize,
    minions: Vec<usize>,
}

/// Returns a simulation of three entries and six sidecars with sessions.
fn warm_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(3, 6, seed, FaultSettings::default());
    simulation.set_run_ms(RUN_MS);
    simulation.warm_up();
    simulation
}

/// Submits a job of two tasks and returns it after `age_ms`. Jobs whose tasks have not started use
/// all minions.
fn submit_job(simulation: &mut Simulation, age_ms: u64) -> Target {
    let job = simulation.submit(2, CALLER_TIMEOUT_MS);
    let entry = simulation.entry_of(job).expect("the caller waits");
    simulation.advance(age_ms);
    let mut minions = simulation.minions_of(job);
    if minions.is_empty() {
        minions = (0..6).collect();
    }
    Target {
        job,
        entry,
        minions,
    }
}

fn disrupt(simulation: &mut Simulation, target: &Target, disruption: Disruption, for_ms: u64) {
    let entry = target.entry;
    match disruption {
        Disruption::KillEntry => return simulation.kill(entry, for_ms),
        Disruption::StopEntry => return simulation.stop_entry(entry, for_ms),
        Disruption::FreezeEntry => return simulation.freeze(entry, for_ms),
        Disruption::SuspendEntry => return simulation.suspend(entry, for_ms),
        Disruption::StallEntry => return simulation.stall_after_clock_reading(entry, for_ms),
        Disruption::IsolateEntry => return simulation.isolate(entry, for_ms),
        Disruption::DisconnectCallers => return simulation.disconnect_callers(entry),
        _ => {}
    }
    for &minion in &target.minions {
        let sidecar = simulation.sidecar_node(minion);
        match disruption {
            Disruption::KillSidecars => simulation.kill(sidecar, for_ms),
            Disruption::FreezeSidecars => simulation.freeze(sidecar, for_ms),
            Disruption::SuspendSidecars => simulation.suspend(sidecar, for_ms),
            Disruption::StallSidecars => simulation.stall_after_clock_reading(sidecar, for_ms),
            Disruption::IsolateSidecars => simulation.isolate(sidecar, for_ms),
            Disruption::CutToSidecars => simulation.cut_link(entry, sidecar, for_ms),
            Disruption::CutFromSidecars => simulation.cut_link(sidecar, entry, for_ms),
            Disruption::RestartMinions => simulation.restart_minion_under_its_name(minion),
            Disruption::DelayOrders => simulation.delay_orders(minion, for_ms),
            Disruption::DrainMinions => simulation.drain(minion),
            Disruption::ReplaceMachines => {
                simulation.deregister(minion);
                simulation.replace_machine(minion, for_ms);
            }
            _ => {}
        }
    }
}

/// The seeds of a run by hand stand in `DISPATCH_SEEDS`, separated by commas.
fn seeds() -> Vec<u64> {
    let seeds = std::env::var("DISPATCH_SEEDS").unwrap_or_else(|_| "1".into());
    let seeds = seeds.split(',').map(str::parse);
    seeds.collect::<Result<_, _>>().expect("seeds are numbers")
}

/// Guards against terms of the bound on a run's end that a second disruption prolongs: at the
/// sending of an order, its arrival, the call to the minion, a stop, or the renewal of a lease.
#[test_case(Disruption::KillEntry, 2_500; "entry killed")]
#[test_case(Disruption::StopEntry, 2_500; "entry stopped")]
#[test_case(Disruption::SuspendEntry, 2_500; "entry suspended")]
#[test_case(Disruption::FreezeEntry, 560; "entry frozen")]
#[test_case(Disruption::StallEntry, 300; "entry stalled")]
#[test_case(Disruption::DisconnectCallers, 0; "callers disconnected")]
#[test_case(Disruption::KillSidecars, 300; "sidecars killed")]
#[test_case(Disruption::StallSidecars, 300; "sidecars stalled")]
#[test_case(Disruption::SuspendSidecars, 300; "sidecars suspended")]
#[test_case(Disruption::CutToSidecars, 560; "links to sidecars cut")]
#[test_case(Disruption::CutFromSidecars, 560; "links from sidecars cut")]
#[test_case(Disruption::RestartMinions, 0; "minions restarted")]
#[test_case(Disruption::ReplaceMachines, 300; "machines replaced")]
fn no_task_runs_twice_when_two_disruptions_meet(first: Disruption, first_ms: u64) {
    let seconds = [
        Disruption::FreezeSidecars,
        Disruption::KillSidecars,
        Disruption::KillEntry,
        Disruption::IsolateEntry,
    ];
    for seed in seeds() {
        let mut simulation = warm_simulation(seed);
        for second in seconds {
            for (job_age_ms, pause_ms) in job_ages_and_pauses_ms() {
                let target = submit_job(&mut simulation, job_age_ms);
                if first == Disruption::ReplaceMachines {
                    disrupt(&mut simulation, &target, Disruption::DrainMinions, 0);
                    simulation.advance(1);
                }
                disrupt(&mut simulation, &target, first, first_ms);
                simulation.advance(pause_ms);
                disrupt(&mut simulation, &target, second, 2_500);
                simulation.advance(SETTLING_MS);
            }
        }
    }
}

/// Returns the age of a job at the first disruption, with its orders in flight or its tasks
/// running, and the pause before the second disruption, in milliseconds.
fn job_ages_and_pauses_ms() -> impl Iterator<Item = (u64, u64)> {
    let in_flight = [(1, 1), (1, 590), (2, 1), (2, 590)];
    in_flight
        .into_iter()
        .chain(PAUSES_MS.map(|pause_ms| (300, pause_ms)))
}

/// Guards against datagrams that are late by seconds, doubled or overtaken and count as signs of
/// life or as fresh orders.
#[test_case(Disruption::KillEntry; "entry killed")]
#[test_case(Disruption::DisconnectCallers; "callers disconnected")]
#[test_case(Disruption::CutToSidecars; "links to sidecars cut")]
#[test_case(Disruption::CutFromSidecars; "links from sidecars cut")]
fn late_and_doubled_datagrams_prolong_no_runs(first: Disruption) {
    for (seed, pause_ms) in (1..).zip(PAUSES_MS) {
        for second in [Disruption::FreezeSidecars, Disruption::KillSidecars] {
            let mut simulation = warm_simulation(seed);
            simulation.links.late_permille = 100;
            simulation.links.duplicate_permille = 300;
            let target = submit_job(&mut simulation, 300);
            disrupt(&mut simulation, &target, first, 600);
            simulation.advance(pause_ms);
            disrupt(&mut simulation, &target, second, 2_500);
            simulation.advance(SETTLING_MS);
        }
    }
}

/// Guards against a task that its own entry places again, as its sidecar is unreachable or gone,
/// beside the return of its caller, to the same entry or another.
#[test_case(Disruption::IsolateSidecars; "sidecars isolated")]
#[test_case(Disruption::KillSidecars; "sidecars killed")]
#[test_case(Disruption::CutFromSidecars; "links from sidecars cut")]
fn task_placed_again_ends_before_its_caller_returns(first: Disruption) {
    for (seed, pause_ms) in (1..).zip([1_000, 1_290, 1_310]) {
        for second in [Disruption::DisconnectCallers, Disruption::StopEntry] {
            for returns_to_same_entry in [false, true] {
                let mut simulation = warm_simulation(seed);
                let target = submit_job(&mut simulation, 300);
                disrupt(&mut simulation, &target, first, 2_500);
                simulation.advance(pause_ms);
                simulation.choose_entry(returns_to_same_entry.then_some(target.entry));
                disrupt(&mut simulation, &target, second, 20);
                simulation.advance(SETTLING_MS);
            }
        }
    }
}

/// Guards against a stalled run whose stop has no answer and whose lease is renewed after its entry
/// or its caller has gone.
#[test_case(Disruption::KillEntry; "entry killed")]
#[test_case(Disruption::IsolateEntry; "entry isolated")]
#[test_case(Disruption::DisconnectCallers; "callers disconnected")]
fn stalled_run_without_an_answer_to_its_stop_ends_in_time(second: Disruption) {
    for (seed, stalled_for_ms) in (1..).zip([60, 100, 130, 200]) {
        for freeze_after_ms in [300, 590] {
            let mut simulation = warm_simulation(seed);
            simulation.set_run_ms(100);
            for minion in 0..6 {
                simulation.hang_tasks_at(minion);
            }
            let target = submit_job(&mut simulation, 30);
            disrupt(&mut simulation, &target, Disruption::DelayOrders, 3_000);
            simulation.advance(stalled_for_ms);
            disrupt(&mut simulation, &target, second, 3_000);
            simulation.advance(freeze_after_ms);
            disrupt(&mut simulation, &target, Disruption::FreezeSidecars, 2_500);
            simulation.advance(SETTLING_MS);
        }
    }
}

/// Lets sidecars stall with unread orders until after their entry has placed the tasks elsewhere.
/// The idle minions answer a hold call shortly before the stall ends.
fn stall_sidecars_with_orders(clock_reading: ClockReading, accepts_false_claims: bool) {
    for seed in 1..=3 {
        for (stall_ms, uptime_ms) in [(1_320, 550), (1_400, 540)] {
            for job_age_ms in 0..3 {
                let mut simulation = warm_simulation(seed);
                simulation.clock_reading = clock_reading;
                if accepts_false_claims {
                    simulation.accept_false_claims();
                }
                simulation.advance(uptime_ms);
                simulation.submit(6, CALLER_TIMEOUT_MS);
                simulation.advance(job_age_ms);
                for minion in 0..STALLED_SIDECAR_COUNT {
                    let node = simulation.sidecar_node(minion);
                    simulation.stall_after_clock_reading(node, stall_ms);
                }
                simulation.advance(SETTLING_MS);
            }
        }
    }
}

/// Shows that the simulation finds what a reading of the clock for each event prevents: an order
/// that looks fresh, and a lease by a reading of the minion's clock that counts as an old one.
#[test]
#[should_panic(expected = "runs at both minion")]
fn old_orders_run_twice_by_one_clock_reading_for_a_batch() {
    stall_sidecars_with_orders(ClockReading::PerBatch, true);
}

/// Shows that the check of claims finds that fault when an entry counts the tasks as lost.
#[test]
#[should_panic(expected = "false claim")]
fn tasks_are_counted_as_lost_too_early_by_one_clock_reading_for_a_batch() {
    stall_sidecars_with_orders(ClockReading::PerBatch, false);
}

/// Guards against orders and clocks of a minion that a sidecar handles by a reading of its clock
/// from before a stall.
#[test]
fn stalled_sidecar_refuses_old_orders_by_a_clock_reading_for_each_event() {
    stall_sidecars_with_orders(ClockReading::PerEvent, false);
}

/// Guards against an entry that wakes up, places tasks or proves itself alive before it learns that
/// their callers have left, and then can't stop them, as it is killed or cut off.
#[test_case(Disruption::KillEntry; "entry killed")]
#[test_case(Disruption::IsolateEntry; "entry isolated")]
fn briefly_frozen_entry_prolongs_no_runs_of_callers_that_have_left(second: Disruption) {
    for seed in 1..=4 {
        for frozen_ms in [100, 200, 300, 400, 500, 590] {
            for freeze_after_ms in [400, 550, 580] {
                let mut simulation = warm_simulation(seed);
                let target = submit_job(&mut simulation, 300);
                disrupt(&mut simulation, &target, Disruption::FreezeEntry, frozen_ms);
                simulation.advance(1);
                disrupt(&mut simulation, &target, Disruption::DisconnectCallers, 0);
                simulation.advance(frozen_ms + 1);
                disrupt(&mut simulation, &target, second, 3_000);
                simulation.advance(freeze_after_ms);
                for minion in simulation.minions_of(target.job) {
                    let node = simulation.sidecar_node(minion);
                    simulation.freeze(node, 3_000);
                }
                simulation.advance(SETTLING_MS);
            }
        }
    }
}

/// Guards against runs of a minion that count as ended when it deregisters, although it ends a
/// little later.
#[test]
fn runs_of_a_leaving_minion_are_not_placed_again_before_it_has_ended() {
    for seed in 1..=6 {
        for end_delay_ms in [0, 3, 5, 10, 100] {
            let mut simulation = warm_simulation(seed);
            let target = submit_job(&mut simulation, 300);
            disrupt(&mut simulation, &target, Disruption::DrainMinions, 0);
            simulation.advance(500);
            for &minion in &target.minions {
                simulation.deregister(minion);
            }
            simulation.advance(end_delay_ms);
            for &minion in &target.minions {
                simulation.replace_machine(minion, 300);
            }
            simulation.advance(SETTLING_MS);
        }
    }
}
