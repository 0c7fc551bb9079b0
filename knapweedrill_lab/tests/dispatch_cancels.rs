//! A cancel counts at whichever entry it arrives, and for good, on a simulated system.

mod dispatch_simulation;

use dispatch_simulation::{FaultSettings, Simulation};
use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::{Answer, CallerId, CancelAnswer, Submission};
use test_case::test_case;

const ENTRY_COUNT: usize = 3;

/// The run time of the first step, in milliseconds. Its job is cancelled at the beginning, so that
/// the second step would start later than any bound below.
const FIRST_STEP_MS: u64 = 2_400;

/// The timeout of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 6_000;

/// How long a job lives before it is cancelled, in milliseconds.
const AGE_MS: u64 = 200;

/// The longest time until a cancel is answered, in milliseconds: the setting of the entry and a
/// tick.
const ANSWER_MAX_MS: u64 = 450;

/// How many names an entry remembers at most.
const REMEMBERED_COUNT_MAX: usize = 16_384;

const LOSSY: FaultSettings = FaultSettings {
    lost_datagram_permille: 200,
    lost_packet_permille: 0,
    datagram_bytes_max: None,
    link_bytes_per_ms: None,
    degraded_link_node: None,
    datagram_delay_max_ms: 10,
    delayed_call_permille: 0,
    lost_response_permille: 0,
    response_delay_max_ms: 0,
    failed_task_permille: 0,
    machine_fault_permille: 0,
    renames_minions: false,
    extra_faults: &[],
};

/// Returns a system of three entries in which entry 0 runs the first step of a job.
fn system_with_job(seed: u64, faults: FaultSettings) -> (Simulation, Submission) {
    let mut simulation = Simulation::new(ENTRY_COUNT, 4, seed, faults);
    simulation.warm_up();
    let submission = simulation.submit_two_steps_to(0, FIRST_STEP_MS, CALLER_TIMEOUT_MS);
    simulation.advance(AGE_MS);
    let minions = simulation.minions_of(submission.name);
    assert!(
        !minions.is_empty(),
        "{}",
        simulation.trace_of(submission.name)
    );
    (simulation, submission)
}

fn last_start_ms(simulation: &Simulation, job: JobName) -> Option<u64> {
    let starts = simulation.observations.starts.iter();
    let of_job = starts.filter(|(started, _)| *started == job);
    of_job.map(|(_, at_ms)| *at_ms).max()
}

/// Asserts that no task of a job has started later than `bound_ms` after its cancel.
fn assert_no_start(simulation: &Simulation, job: JobName, cancelled_ms: u64, bound_ms: u64) {
    let last_ms = last_start_ms(simulation, job);
    assert!(
        last_ms.is_none_or(|at_ms| at_ms <= cancelled_ms + bound_ms),
        "a task started at {last_ms:?} ms, cancelled at {cancelled_ms} ms\n{}",
        simulation.trace_of(job)
    );
}

/// Returns the answer to a cancel, which must have arrived within the bound.
fn cancel_answer(simulation: &Simulation, caller: CallerId, cancelled_ms: u64) -> CancelAnswer {
    let answers = &simulation.observations.cancel_answers;
    let (at_ms, answer) = *answers.get(&caller).expect("the cancel was answered");
    assert!(
        at_ms <= cancelled_ms + ANSWER_MAX_MS,
        "answered at {at_ms} ms, sent at {cancelled_ms} ms"
    );
    answer
}

fn answers(simulation: &Simulation, job: JobName) -> &[Answer] {
    simulation
        .observations
        .answers
        .get(&job)
        .map_or(&[], Vec::as_slice)
}

/// A client repeats a cancel at another entry than the one that has the job.
#[test_case(FaultSettings::default(), 20, 60; "nothing lost")]
#[test_case(LOSSY, 100, 1_500; "200 permille of all datagrams lost")]
fn cancel_at_another_entry_stops_the_job(faults: FaultSettings, seeds: u64, bound_ms: u64) {
    for seed in 1..=seeds {
        let (mut simulation, submission) = system_with_job(seed, faults);
        let job = submission.name;
        let cancelled_ms = simulation.now_ms();
        let caller = simulation.cancel(1, job);
        simulation.advance(bound_ms);
        assert_eq!(
            answers(&simulation, job),
            [Answer::Cancelled],
            "seed {seed}\n{}",
            simulation.trace_of(job)
        );
        simulation.advance(4_000);
        assert_no_start(&simulation, job, cancelled_ms, bound_ms);
        assert_eq!(simulation.minions_of(job), [0; 0], "seed {seed}");
        let answer = cancel_answer(&simulation, caller, cancelled_ms);
        assert_ne!(answer, CancelAnswer::NoSuchJob, "seed {seed}");
        if faults.lost_datagram_permille == 0 {
            assert_eq!(answer, CancelAnswer::Stopped, "seed {seed}");
        }
    }
}

/// Copies of a submission arrive seconds after its job was cancelled.
#[test_case(0; "cancelled at the entry of the job")]
#[test_case(1; "cancelled at another entry")]
fn late_copies_of_a_cancelled_submission_start_nothing(cancelling_entry: usize) {
    for seed in 1..=10 {
        let (mut simulation, submission) = system_with_job(seed, FaultSettings::default());
        let job = submission.name;
        let cancelled_ms = simulation.now_ms();
        simulation.cancel(cancelling_entry, job);
        for _ in 0..3 {
            simulation.advance(3_800);
            for entry in 0..ENTRY_COUNT {
                simulation.submit_copy(entry, &submission);
            }
            simulation.advance(1_000);
        }
        assert_no_start(&simulation, job, cancelled_ms, 60);
        assert_eq!(
            answers(&simulation, job),
            [Answer::Cancelled; 10],
            "seed {seed}"
        );
    }
}

/// An entry starts after the cancel, and a copy of the submission reaches it.
#[test_case(0, 0; "the entry of the job")]
#[test_case(2, 0; "another entry")]
#[test_case(2, 200; "another entry, 200 permille of all datagrams lost")]
fn entry_that_starts_later_knows_the_cancel(restarted: usize, lost_datagram_permille: u32) {
    for seed in 1..=20 {
        let (mut simulation, submission) = system_with_job(seed, FaultSettings::default());
        let job = submission.name;
        let cancelled_ms = simulation.now_ms();
        simulation.cancel(1, job);
        simulation.advance(300);
        simulation.faults.lost_datagram_permille = lost_datagram_permille;
        simulation.kill(restarted, 500);
        simulation.advance(2_500);
        simulation.submit_copy(restarted, &submission);
        simulation.advance(2_000);
        assert_no_start(&simulation, job, cancelled_ms, 60);
        assert_eq!(
            answers(&simulation, job),
            [Answer::Cancelled; 2],
            "seed {seed}"
        );
    }
}

/// A cancel overtakes the submission that it belongs to.
#[test]
fn cancel_before_its_submission_counts() {
    for entry in 0..ENTRY_COUNT {
        let (mut simulation, submission) = system_with_job(1, FaultSettings::default());
        let later = Submission {
            name: JobName(u64::MAX - 1),
            ..submission
        };
        let cancelled_ms = simulation.now_ms();
        let caller = simulation.cancel(1, later.name);
        simulation.advance(100);
        assert_eq!(
            cancel_answer(&simulation, caller, cancelled_ms),
            CancelAnswer::NoSuchJob
        );
        simulation.submit_copy(entry, &later);
        simulation.advance(1_000);
        assert_eq!(last_start_ms(&simulation, later.name), None);
        assert_eq!(answers(&simulation, later.name), [Answer::Cancelled]);
    }
}

/// A job that has completed keeps its answer, also after the time for which answers are kept.
#[test]
fn completed_job_keeps_its_answer_after_a_cancel() {
    let mut simulation = Simulation::new(ENTRY_COUNT, 4, 1, FaultSettings::default());
    simulation.warm_up();
    let submission = simulation.submit_two_steps_to(0, 100, CALLER_TIMEOUT_MS);
    let job = submission.name;
    simulation.advance(1_000);
    simulation.assert_completed(job);
    let started_count = simulation.observations.started_count;
    let cancelled_ms = simulation.now_ms();
    let caller = simulation.cancel(0, job);
    simulation.advance(500);
    assert_eq!(
        cancel_answer(&simulation, caller, cancelled_ms),
        CancelAnswer::NoSuchJob
    );
    for _ in 0..2 {
        simulation.submit_copy(0, &submission);
        simulation.advance(8_000);
    }
    assert_eq!(answers(&simulation, job), [Answer::Completed; 3]);
    assert_eq!(simulation.observations.started_count, started_count);
}

/// A client sends its cancel to two entries, and once more after the answers.
#[test]
fn repeated_cancels_get_the_same_answer() {
    let (mut simulation, submission) = system_with_job(1, FaultSettings::default());
    let cancelled_ms = simulation.now_ms();
    let mut callers = vec![
        simulation.cancel(1, submission.name),
        simulation.cancel(2, submission.name),
    ];
    simulation.advance(100);
    callers.extend((0..ENTRY_COUNT).map(|entry| simulation.cancel(entry, submission.name)));
    simulation.advance(100);
    for caller in callers {
        assert_eq!(
            cancel_answer(&simulation, caller, cancelled_ms),
            CancelAnswer::Stopped
        );
    }
    assert_eq!(answers(&simulation, submission.name), [Answer::Cancelled]);
}

/// A client cancels jobs that nobody knows, far more than an entry remembers.
#[test]
fn cancels_of_unknown_jobs_are_cheap() {
    let mut simulation = Simulation::new(ENTRY_COUNT, 4, 1, FaultSettings::default());
    simulation.warm_up();
    let sent_before = simulation.observations.sent_counts.clone();
    let mut names = (1 << 40..).map(JobName);
    for _ in 0..10_000 {
        for name in names.by_ref().take(10) {
            simulation.cancel(0, name);
        }
        simulation.advance(1);
    }
    simulation.advance(500);
    let answers = &simulation.observations.cancel_answers;
    let unknown = answers
        .values()
        .filter(|(_, answer)| *answer == CancelAnswer::NoSuchJob);
    assert_eq!((answers.len(), unknown.count()), (100_000, 100_000));
    for (entry, before) in sent_before.iter().enumerate().take(ENTRY_COUNT) {
        let count = simulation.entry(entry).map(|it| it.cancelled_name_count());
        assert_eq!(count, Some(REMEMBERED_COUNT_MAX));
        let sent = simulation.observations.sent_counts[entry] - before;
        assert!(sent < 25_000, "entry {entry} sent {sent} datagrams");
    }
    simulation.advance(121_000);
    let count = simulation.entry(0).map(|it| it.cancelled_name_count());
    assert_eq!(count, Some(0));
}

/// The entry of the job stands still when the cancel arrives at another one.
#[test]
fn frozen_entry_stops_the_job_when_it_is_awake() {
    for seed in 1..=20 {
        let (mut simulation, submission) = system_with_job(seed, FaultSettings::default());
        let job = submission.name;
        simulation.freeze(0, 4_000);
        simulation.advance(50);
        let cancelled_ms = simulation.now_ms();
        let caller = simulation.cancel(1, job);
        simulation.advance(600);
        assert_eq!(
            cancel_answer(&simulation, caller, cancelled_ms),
            CancelAnswer::Unconfirmed
        );
        simulation.advance(8_000);
        assert_no_start(&simulation, job, cancelled_ms, 0);
        assert_eq!(
            answers(&simulation, job),
            [Answer::Cancelled],
            "seed {seed}"
        );
    }
}

/// An entry that stands still delays neither the stop of a job elsewhere nor the answer, and its
/// notices are few.
#[test]
fn frozen_bystander_delays_no_cancel() {
    let (mut simulation, submission) = system_with_job(1, FaultSettings::default());
    let job = submission.name;
    simulation.freeze(2, 10_000);
    simulation.advance(50);
    let cancelled_ms = simulation.now_ms();
    let caller = simulation.cancel(1, job);
    let unknown = simulation.cancel(1, JobName(u64::MAX - 1));
    simulation.advance(60);
    assert_eq!(
        cancel_answer(&simulation, caller, cancelled_ms),
        CancelAnswer::Stopped
    );
    simulation.advance(400);
    assert_eq!(
        cancel_answer(&simulation, unknown, cancelled_ms),
        CancelAnswer::Unconfirmed
    );
    simulation.advance(10_000);
    simulation.submit_copy(2, &submission);
    simulation.advance(1_000);
    assert_no_start(&simulation, job, cancelled_ms, 60);
    assert_eq!(answers(&simulation, job), [Answer::Cancelled; 2]);
}

/// An entry that is gone for good is told at a bounded rate and for a bounded time.
#[test]
fn repeats_to_an_entry_that_is_gone_are_bounded() {
    let sent_to_gone = |is_cancelled: bool| {
        let mut simulation = Simulation::new(2, 4, 1, FaultSettings::default());
        simulation.warm_up();
        simulation.kill(1, 1_000_000);
        simulation.advance(10_000);
        let before = simulation.observations.sent_counts[0];
        if is_cancelled {
            simulation.cancel(0, JobName(u64::MAX - 1));
        }
        simulation.advance(120_000);
        let within = simulation.observations.sent_counts[0] - before;
        simulation.advance(60_000);
        (within, simulation.observations.sent_counts[0] - before)
    };
    let (within, all) = sent_to_gone(true);
    let (idle_within, idle_all) = sent_to_gone(false);
    let (repeats, all_repeats) = (within.abs_diff(idle_within), all.abs_diff(idle_all));
    assert!(repeats <= 140, "{repeats} repeats in 120 s");
    assert!(all_repeats <= 140, "{all_repeats} repeats in 180 s");
}
