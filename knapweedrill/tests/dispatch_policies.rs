//! Placement, admission, health, pace and delay under typical loads and faults.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, QueuePolicy};
use knapweedrill::dispatch::entry::{
    Admission, Backlog, DrainRate, Fleet, RetryPromises, TaskRequirements,
};
use knapweedrill::dispatch::message::{
    CrashRecord, MinionAvailability, MinionProfile, SidecarStatus,
};
use knapweedrill::dispatch::sidecar::{Health, Pace, RetryDelay};
use knapweedrill::dispatch::{JobName, Resources};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);

fn resources(cpu_millicores: u32) -> Resources {
    Resources {
        cpu_millicores,
        memory_mib: 64,
        accelerator_count: 0,
    }
}

fn requirements(cpu_millicores: u32, estimate: Duration) -> TaskRequirements<'static> {
    TaskRequirements {
        service: "service",
        resources: resources(cpu_millicores),
        estimate,
        time_left: Duration::MAX,
        required_label: None,
        preferred_label: None,
    }
}

/// Returns a fleet of minions with the given availability, free CPU in millicores and paces.
fn fleet(minions: &[(MinionAvailability, u32, u32)]) -> Fleet {
    let mut fleet = Fleet::new(500 * MS, 7);
    for (number, (availability, free_millicores, pace_permille)) in (1..).zip(minions) {
        let view = fleet.get_or_insert(number);
        view.set_profile(Some(MinionProfile {
            instance: format!("minion-{number}"),
            service: "service".into(),
            capacity: Resources {
                memory_mib: 131_072,
                ..resources(64_000)
            },
            labels: vec!["a".into(), format!("rack-{number}")],
            failure_domain: String::new(),
        }));
        let status = SidecarStatus {
            free: Resources {
                memory_mib: 131_072,
                ..resources(*free_millicores)
            },
            availability: *availability,
            pace_permille: *pace_permille,
            delay_ms: 0,
            recent_entry_count: 1,
            crashes: CrashRecord::default(),
        };
        view.set_status(status, 0);
    }
    fleet
}

#[test]
fn minion_with_the_lowest_run_time_is_chosen() {
    let mut fleet = fleet(&[
        (MinionAvailability::Ready, 64_000, 1_700),
        (MinionAvailability::Ready, 64_000, 700),
        (MinionAvailability::Ready, 2_000, 500),
    ]);
    let chosen = fleet.choose(&requirements(6_200, 900 * MS), Instant::now(), |_| {
        Some(Duration::ZERO)
    });
    assert_eq!(chosen, Some(2));
}

/// Many minions have turned slow, and the fast ones are full. The choice of a slow minion makes the
/// whole job late, while a fast one will have room soon.
#[test_case(150 * MS, None; "waits while the fast one would be in time")]
#[test_case(500 * MS, Some(1); "goes to the slow one if that is in time")]
#[test_case(50 * MS, Some(1); "goes to the slow one if none is in time")]
fn task_on_a_fleet_of_which_half_turned_slow(time_left: Duration, chosen: Option<u64>) {
    let mut fleet = fleet(&[
        (MinionAvailability::Ready, 64_000, 5_000),
        (MinionAvailability::Ready, 0, 1_000),
    ]);
    let task = TaskRequirements {
        time_left,
        ..requirements(6_200, 60 * MS)
    };
    let place = |fleet: &mut Fleet| fleet.choose(&task, Instant::now(), |_| Some(Duration::ZERO));
    assert_eq!(place(&mut fleet), chosen);
}

/// Several entries place tasks at the same time on a fleet of equal, idle minions.
#[test]
fn entries_do_not_all_choose_the_same_of_equal_minions() {
    let minions = [(MinionAvailability::Ready, 64_000, 1_000); 6];
    let mut fleet = fleet(&minions);
    let mut chosen: Vec<_> = (0..60)
        .filter_map(|_| {
            fleet.choose(&requirements(6_200, 60 * MS), Instant::now(), |_| {
                Some(Duration::ZERO)
            })
        })
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen.len(), 6);
}

/// A minion that fails all tasks but sends good heartbeats always looks free and fast, and would
/// attract all tasks.
#[test]
fn suspect_minion_gets_one_task_at_a_time() {
    let mut fleet = fleet(&[
        (MinionAvailability::Suspect, 64_000, 100),
        (MinionAvailability::Ready, 64_000, 1_000),
        (MinionAvailability::Ready, 64_000, 1_000),
        (MinionAvailability::Ready, 64_000, 1_000),
    ]);
    let now = Instant::now();
    let choose = |fleet: &mut Fleet, now| {
        fleet.choose(&requirements(6_200, 60 * MS), now, |_| Some(Duration::ZERO))
    };
    assert_eq!(choose(&mut fleet, now), Some(1));
    let view = fleet.view_mut(1).expect("the fleet has its view");
    view.record_placement(1, resources(6_200), now);
    assert_ne!(choose(&mut fleet, now), Some(1));
    fleet
        .view_mut(1)
        .expect("the fleet has its view")
        .record_end(resources(6_200));
    assert_ne!(choose(&mut fleet, now + 100 * MS), Some(1));
    assert_eq!(choose(&mut fleet, now + 600 * MS), Some(1));
}

/// Jobs that can't succeed anywhere make many minions suspect.
#[test]
fn all_minions_are_used_when_many_are_suspect() {
    let mut fleet = fleet(&[
        (MinionAvailability::Suspect, 64_000, 1_000),
        (MinionAvailability::Suspect, 64_000, 1_000),
        (MinionAvailability::Ready, 1_000, 1_000),
    ]);
    let now = Instant::now();
    for number in 1..=2 {
        let view = fleet.view_mut(number).expect("the fleet has its view");
        view.record_placement(1, resources(100), now);
    }
    let chosen = fleet.choose(&requirements(6_200, 60 * MS), now, |_| Some(Duration::ZERO));
    assert!(matches!(chosen, Some(1 | 2)), "{chosen:?}");
}

/// Covers a minion that is unavailable and one whose sidecar is silent.
#[test_case(MinionAvailability::Unavailable; "unavailable")]
fn nothing_is_placed_on_a_minion_that_takes_no_tasks(availability: MinionAvailability) {
    let mut fleet = fleet(&[(availability, 64_000, 1_000)]);
    let now = Instant::now();
    assert_eq!(
        fleet.choose(&requirements(100, MS), now, |_| Some(Duration::ZERO)),
        None
    );
    let mut silent = self::fleet(&[(MinionAvailability::Ready, 64_000, 1_000)]);
    silent
        .view_mut(1)
        .expect("the fleet has its view")
        .set_silent(true);
    assert_eq!(
        silent.choose(&requirements(100, MS), now, |_| Some(Duration::ZERO)),
        None
    );
}

/// The newest status of the minion does not account for orders in flight.
#[test]
fn resources_of_orders_in_flight_are_not_allocated_twice() {
    let mut fleet = fleet(&[(MinionAvailability::Ready, 10_000, 1_000)]);
    let now = Instant::now();
    let view = fleet.view_mut(1).expect("the fleet has its view");
    view.record_placement(5, resources(6_200), now);
    assert_eq!(
        fleet.choose(&requirements(6_200, MS), now, |_| Some(Duration::ZERO)),
        None
    );
    let view = fleet.view_mut(1).expect("the fleet has its view");
    let status = SidecarStatus {
        free: Resources {
            memory_mib: 1_000,
            ..resources(10_000)
        },
        availability: MinionAvailability::Ready,
        pace_permille: 1_000,
        delay_ms: 0,
        recent_entry_count: 1,
        crashes: CrashRecord::default(),
    };
    view.set_status(status, 5);
    assert_eq!(
        fleet.choose(&requirements(6_200, MS), now, |_| Some(Duration::ZERO)),
        Some(1)
    );
}

#[test]
fn minion_with_the_data_is_preferred_but_not_waited_for() {
    let choose = |pace_permille, task: &TaskRequirements<'_>| {
        let mut fleet = fleet(&[
            (MinionAvailability::Ready, 64_000, 1_000),
            (MinionAvailability::Ready, 64_000, pace_permille),
        ]);
        fleet.choose(task, Instant::now(), |_| Some(Duration::ZERO))
    };
    let mut task = requirements(6_200, 100 * MS);
    task.preferred_label = Some("rack-2");
    assert_eq!(choose(1_150, &task), Some(2));
    task.preferred_label = Some("rack-9");
    assert_eq!(choose(1_400, &task), Some(1));
    task.required_label = Some("rack-9");
    assert_eq!(choose(1_000, &task), None);
}

/// Guards against the penalty of half an estimate where the deployment names the true factor, and
/// against a task that waits without a limit because a full minion with its data would be in time.
#[test_case(None, 1_000, Some(2); "half an estimate without a factor")]
#[test_case(None, 2_000, Some(1); "without a factor no more than half an estimate")]
#[test_case(Some(2_000), 1_500, Some(2); "whole estimate by the factor")]
#[test_case(Some(1_100), 1_500, Some(1); "tenth of an estimate by the factor")]
fn minion_without_the_data_is_slower_by_the_factor(
    factor_permille: Option<u32>,
    pace_there: u32,
    expected: Option<u64>,
) {
    let mut fleet = fleet(&[
        (MinionAvailability::Ready, 64_000, 1_000),
        (MinionAvailability::Ready, 64_000, pace_there),
    ])
    .with_remote_run_factor(factor_permille);
    let mut task = requirements(6_200, 100 * MS);
    task.preferred_label = Some("rack-2");
    for _ in 0..20 {
        let chosen = fleet.choose(&task, Instant::now(), |_| Some(Duration::ZERO));
        assert_eq!(chosen, expected);
    }
}

#[test]
fn task_whose_rack_is_full_is_placed_elsewhere_although_it_will_be_late() {
    let mut fleet = fleet(&[
        (MinionAvailability::Ready, 64_000, 1_000),
        (MinionAvailability::Ready, 1_000, 1_000),
    ])
    .with_remote_run_factor(Some(2_000));
    let task = TaskRequirements {
        time_left: 1_500 * MS,
        preferred_label: Some("rack-2"),
        ..requirements(6_200, 900 * MS)
    };
    let chosen = fleet.choose(&task, Instant::now(), |_| Some(Duration::ZERO));
    assert_eq!(chosen, Some(1));
}

/// A burst of long tasks fills the fleet.
#[test]
fn job_that_would_miss_its_objective_is_refused() {
    let admission = |work_ahead_millicore_ms| Admission {
        work_ahead_millicore_ms,
        share_millicores: 200_000,
        link_delay: Duration::ZERO,
        slack: 180 * MS,
        ..Admission::default()
    };
    assert!(admission(0).is_admitted());
    // The entry's share is 200 cores, so 200 cores times 180 ms of work fit ahead of the job.
    assert!(admission(200_000 * 180).is_admitted());
    assert!(!admission(200_000 * 182).is_admitted());
}

#[test]
fn job_without_slack_is_admitted_while_nothing_waits() {
    let admission = Admission {
        work_ahead_millicore_ms: 0,
        share_millicores: 0,
        link_delay: 5 * MS,
        slack: Duration::ZERO,
        ..Admission::default()
    };
    assert!(admission.is_admitted());
}

#[test_case(100, 100, 180, true; "both in time")]
#[test_case(100, 190, 180, false; "the link takes too long")]
#[test_case(190, 100, 180, false; "the minions take too long")]
fn job_waits_for_the_minions_and_the_link(
    minion_ms: u64,
    link_ms: u64,
    slack_ms: u64,
    is_admitted: bool,
) {
    let admission = Admission {
        work_ahead_millicore_ms: 1_000 * minion_ms,
        share_millicores: 1_000,
        link_delay: Duration::from_millis(link_ms),
        slack: Duration::from_millis(slack_ms),
        ..Admission::default()
    };
    assert_eq!(admission.is_admitted(), is_admitted);
}

/// Guards against jobs of a low priority that are admitted as if they had the whole share, while
/// urgent jobs go on arriving ahead of them; and against none being admitted any more.
#[test_case(0, 200_000; "no urgent load")]
#[test_case(150_000, 50_000; "urgent load leaves a quarter")]
#[test_case(500_000, 40_000; "urgent load exceeds the share, the floor is left")]
fn lower_priority_counts_on_what_higher_ones_leave(higher_millicores: u64, left_millicores: u64) {
    let admission = |work_ahead_millicore_ms| Admission {
        work_ahead_millicore_ms,
        share_millicores: 200_000,
        higher_arrival_millicores: higher_millicores,
        slack: 600 * MS,
        ..Admission::default()
    };
    assert_eq!(admission(1).rate_millicores(), left_millicores);
    assert!(admission(left_millicores * 600).is_admitted());
    assert!(!admission(left_millicores * 602).is_admitted());
}

/// Guards against urgent jobs that are admitted to the capacity that the floors of waiting, less
/// urgent jobs take: a burst of all kinds of jobs.
#[test_case(0, 200_000; "nothing less urgent waits")]
#[test_case(1, 160_000; "one lower priority waits")]
#[test_case(2, 120_000; "two lower priorities wait")]
#[test_case(9, 80_000; "the floors never take more than three fifths")]
fn admission_counts_on_what_the_floors_leave(lower_waiting_count: u64, left_millicores: u64) {
    let admission = Admission {
        share_millicores: 200_000,
        lower_waiting_count,
        ..Admission::default()
    };
    assert_eq!(admission.rate_millicores(), left_millicores);
}

/// Guards against the refusals of a busy entry whose peers are idle: its share counts them like
/// itself, while the sidecars give it what they leave.
#[test_case(0, 100_000; "nothing waited recently")]
#[test_case(60_000, 100_000; "less than the share")]
#[test_case(350_000, 350_000; "idle entries lend their part")]
#[test_case(900_000, 400_000; "many long tasks were placed at once")]
fn busy_entry_counts_on_what_it_was_given(drain_millicores: u64, rate_millicores: u64) {
    let admission = Admission {
        share_millicores: 100_000,
        drain_millicores,
        capacity_millicores: 400_000,
        ..Admission::default()
    };
    assert_eq!(admission.rate_millicores(), rate_millicores);
}

/// Guards against an entry that goes on counting on capacity after the demand has moved to another
/// one, or that refuses for long after it has moved here. 40 cores are placed while work waits.
#[test]
fn drain_rate_follows_the_demand_within_its_window() {
    let begin = Instant::now();
    let mut drain = DrainRate::default();
    let mut place = |from_ms: u32, until_ms: u32, waits: bool| {
        for at_ms in (from_ms..until_ms).step_by(5) {
            drain.record_placed(40_000 * 5, begin + MS * at_ms);
            if waits {
                drain.record_left_waiting();
            }
            drain.end_round();
        }
        drain.millicores(begin + MS * until_ms)
    };
    // What is placed while nothing waits only shows the demand.
    assert_eq!(place(0, 300, false), 0);
    let rate = place(300, 600, true);
    assert!((34_000..=44_000).contains(&rate), "{rate}");
    // The demand is elsewhere for a while.
    assert!((1..34_000).contains(&place(600, 750, false)));
    assert_eq!(place(750, 905, false), 0);
    let rate = place(905, 1_205, true);
    assert!((34_000..=44_000).contains(&rate), "{rate}");
}

/// Guards against refusals while minions are free: jobs wait for one full rack, so that the wait of
/// all looks long.
#[test_case(34_000, true; "free for the job beside all that waits")]
#[test_case(33_999, false; "not free for all of it")]
fn job_is_admitted_into_free_capacity(free_millicores: u64, is_admitted: bool) {
    let admission = Admission {
        work_ahead_millicore_ms: 1_000_000,
        share_millicores: 1_000,
        free_millicores,
        waiting_millicores: 30_000,
        needed_millicores: 4_000,
        slack: 96 * MS,
        ..Admission::default()
    };
    assert_eq!(admission.is_admitted(), is_admitted);
    let behind_a_full_link = Admission {
        link_delay: 97 * MS,
        ..admission
    };
    assert!(!behind_a_full_link.is_admitted());
}

/// Returns the retry delays, in seconds, of callers that are refused at the same time.
fn retry_delays_s(backlog: Backlog, caller_count: usize) -> Vec<u64> {
    let now = Instant::now();
    let mut random = SmallRng::seed_from_u64(3);
    let mut promises = RetryPromises::default();
    (0..caller_count)
        .map(|_| promises.promise(&backlog, &mut random, now).as_secs())
        .collect()
}

/// Guards against callers that return before the backlog has drained and are refused again.
#[test_case(0, 1..=2; "nothing waits")]
#[test_case(900, 1..=2; "less than a second")]
#[test_case(1_100, 2..=3; "more than a second")]
#[test_case(4_500, 5..=5; "nearly the maximum")]
#[test_case(60_000, 5..=5; "more than the maximum")]
fn refused_caller_returns_after_the_backlog(wait_ms: u64, delays_s: RangeInclusive<u64>) {
    let backlog = Backlog {
        waiting_millicore_ms: 200_000 * wait_ms,
        job_millicore_ms: 240_000,
        rate_millicores: 200_000,
    };
    let delay_s = retry_delays_s(backlog, 1)[0];
    assert!(delays_s.contains(&delay_s), "{delay_s}");
}

/// Guards against a second overload by callers that all return at the same time: a burst is refused
/// at once, and only 4 s of it fit into the capacity.
#[test]
fn refused_callers_return_at_the_rate_of_the_capacity() {
    let backlog = Backlog {
        waiting_millicore_ms: 200_000 * 500,
        job_millicore_ms: 200_000 * 10,
        rate_millicores: 200_000,
    };
    let delays_s = retry_delays_s(backlog, 450);
    for delay_s in 2..=4 {
        let count = delays_s[..350].iter().filter(|it| **it == delay_s);
        let count = count.count();
        assert!(
            (70..=130).contains(&count),
            "{count} return after {delay_s} s"
        );
    }
    // The first to be refused come first.
    let sum = |delays: &[u64]| delays.iter().sum::<u64>();
    assert!(sum(&delays_s[..50]) < sum(&delays_s[200..250]));
    // Those that do not fit are spread as well.
    for delay_s in 1..=5 {
        let count = delays_s.iter().filter(|it| **it == delay_s).count();
        assert!(count <= 200, "{count} return after {delay_s} s");
    }
    assert_eq!(delays_s, retry_delays_s(backlog, 450), "a seed repeats");
}

/// Guards against long jobs that are refused for all the urgent work ahead of them although their floor
/// carries them: a sustained overload by urgent jobs.
#[test_case(Some(20_000_000), true; "little of its own priority waits")]
#[test_case(Some(30_000_000), false; "too much of its own priority waits")]
#[test_case(None, false; "without floors")]
fn job_waits_for_its_own_priority_at_the_rate_of_the_floor(
    floor_work_millicore_ms: Option<u64>,
    is_admitted: bool,
) {
    let admission = Admission {
        work_ahead_millicore_ms: 100_000_000,
        share_millicores: 200_000,
        higher_arrival_millicores: 200_000,
        floor_work_millicore_ms,
        slack: 600 * MS,
        ..Admission::default()
    };
    assert_eq!(admission.is_admitted(), is_admitted);
}

#[test]
fn minion_is_suspect_after_failures_of_several_jobs_in_a_row() {
    let mut health = Health::default();
    for job in 0..3 {
        assert!(!health.is_suspect());
        health.record(JobName(job), true);
    }
    assert!(health.is_suspect());
    for job in 3..6 {
        health.record(JobName(job), false);
    }
    assert!(!health.is_suspect());
}

#[test]
fn failures_of_a_single_job_do_not_make_a_minion_suspect() {
    let mut health = Health::default();
    for _ in 0..12 {
        health.record(JobName(1), true);
    }
    assert!(!health.is_suspect());
}

#[test]
fn minion_that_fails_every_other_job_is_suspect() {
    let mut health = Health::default();
    for job in 0..12 {
        health.record(JobName(job), job % 2 == 1);
    }
    assert!(health.is_suspect());
}

#[test]
fn queue_is_selected_by_host_and_longest_prefix() {
    let queue = |name: &str, host: &str, prefix: &str| Queue {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        service: "service".into(),
        policy: QueuePolicy {
            priority: 0,
            attempt_count_max: 1,
            stretch_permille: 1_600,
            target_latency: 60 * MS,
        },
        has_advice: false,
    };
    let configuration = Configuration {
        version: 1,
        queues: vec![
            queue("short", "a.example", "/jobs/"),
            queue("long", "a.example", "/jobs/urgent/"),
            queue("other", "b.example", "/jobs/urgent/"),
        ],
        body_bytes_max: 1,
    };
    let name = |host, path| {
        configuration
            .queue(host, path)
            .map(|queue| queue.name.as_str())
    };
    assert_eq!(name("a.example", "/jobs/1"), Some("short"));
    assert_eq!(name("A.example", "/jobs/urgent/1"), Some("long"));
    assert_eq!(name("b.example", "/jobs/urgent/1"), Some("other"));
    assert_eq!(name("b.example", "/jobs/1"), None);
    let policy = configuration.queues[0].policy;
    assert_eq!(policy.objective(100 * MS), 220 * MS);
}

/// Several entries place tasks on equal minions by statuses that are some milliseconds old, while
/// most of the free CPU is on a few of the minions.
#[test]
fn minions_with_more_free_cpu_are_chosen_more_often() {
    let mut fleet = fleet(&[
        (MinionAvailability::Ready, 6_500, 1_000),
        (MinionAvailability::Ready, 6_500, 1_050),
        (MinionAvailability::Ready, 40_000, 1_100),
        (MinionAvailability::Ready, 40_000, 1_150),
    ]);
    let spacious_count = (0..400)
        .filter_map(|_| {
            fleet.choose(&requirements(6_200, 60 * MS), Instant::now(), |_| {
                Some(Duration::ZERO)
            })
        })
        .filter(|chosen| [3, 4].contains(chosen))
        .count();
    // Three quarters of all pairs contain a minion with more free CPU; a single random choice would
    // hit one in half of the cases.
    assert!(
        (260..=340).contains(&spacious_count),
        "{spacious_count} of 400"
    );
}

/// The estimates are off by 40 to 50 %, and the delay to and from the minion is a large share of
/// the short tasks.
#[test]
fn pace_converges_with_inaccurate_estimates() {
    let mut pace = Pace::default();
    let off_percent = [60, 150, 100, 80, 140, 70, 130, 90, 75, 105];
    for round in 0..40 {
        let percent = off_percent[round % off_percent.len()];
        pace.record(900 * MS, 900 * MS * percent / 100);
        pace.record(72 * MS, 60 * MS * percent / 100);
        if round >= 10 {
            assert!((850..=1_200).contains(&pace.permille()), "{pace:?}");
        }
    }
}

/// A minion becomes four times as slow; about twenty of its runs end before it is avoided.
#[test]
fn pace_adapts_to_a_minion_that_becomes_slow() {
    let mut pace = Pace::default();
    for _ in 0..60 {
        pace.record(200 * MS, 200 * MS);
    }
    for _ in 0..20 {
        pace.record(800 * MS, 200 * MS);
    }
    assert!(pace.permille() > 2_500, "{pace:?}");
}

/// Half of the minions lose a third of their answers, which delays short urgent tasks far more than
/// long ones.
#[test]
fn short_tasks_avoid_minions_that_lose_answers() {
    let mut fleet = fleet(&[(MinionAvailability::Ready, 64_000, 1_000); 4]);
    for lossy in [1, 2] {
        let status = SidecarStatus {
            free: Resources {
                memory_mib: 131_072,
                ..resources(64_000)
            },
            availability: MinionAvailability::Ready,
            pace_permille: 1_000,
            delay_ms: 40,
            recent_entry_count: 1,
            crashes: CrashRecord::default(),
        };
        fleet.get_or_insert(lossy).set_status(status, 0);
    }
    let mut lossy_count = |estimate| {
        (0..100)
            .filter_map(|_| {
                fleet.choose(&requirements(6_200, estimate), Instant::now(), |_| {
                    Some(Duration::ZERO)
                })
            })
            .filter(|chosen| [1, 2].contains(chosen))
            .count()
    };
    assert_eq!(lossy_count(60 * MS), 0);
    assert!(lossy_count(900 * MS) > 25, "long tasks use all minions");
}

#[test]
fn delay_rises_with_lost_answers_and_falls_after_them() {
    let mut delay = RetryDelay::default();
    let mut answer = |count: usize, has_loss: fn(usize) -> bool| {
        for index in 0..count {
            let (start, end) = if has_loss(index) { (42, 80) } else { (1, 0) };
            delay.record_start(start * MS);
            delay.record_end(end * MS);
        }
        delay.as_millis()
    };
    assert!(answer(60, |_| false) <= 1);
    let lossy_ms = answer(60, |index| index % 3 == 0);
    assert!((20..=70).contains(&lossy_ms), "{lossy_ms}");
    assert!(answer(100, |_| false) <= 2);
}
