//! The whole path on the stand-ins of the platform, with real processes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill_lab::harness::{HOST, PlatformSite, wait_until};
use knapweedrill_lab::stand_in::platform::{MinionFaults, StoreFault};
use serde_json::json;

const SECONDS: Duration = Duration::from_secs(1);

fn site(entries: u8, minions: u8) -> PlatformSite {
    let site = PlatformSite::start(entries, minions).expect("the site starts");
    site.configure(3).expect("the entries get ready");
    site
}

fn path(prefix: &str, number: u64) -> String {
    format!("/{prefix}/{number:016x}")
}

#[test]
fn jobs_of_all_queues_are_completed() {
    let site = site(2, 2);
    for number in 0..12 {
        let prefix = ["urgent", "normal", "bulk"][number as usize % 3];
        let answer = site
            .submit(number as usize % 2, &path(prefix, number), 3, 40)
            .expect("an answer");
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "{\"State\":\"completed\"}")
        );
    }
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
}

#[test]
fn requests_that_can_not_be_served_get_their_honest_answer() {
    let site = PlatformSite::start(1, 1).expect("the site starts");
    let job = json!({
        "Spec": "{\"run_ms\":10,\"cpu\":100,\"memory\":1}",
        "BestEffort": true,
        "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 10}],
    });
    wait_until("an entry that listens", 5 * SECONDS, || {
        site.post(0, HOST, &path("normal", 1), &job).is_ok()
    })
    .expect("the entry listens");
    let status = |host: &str, path: &str, body: &serde_json::Value| {
        site.post(0, host, path, body).expect("an answer").status
    };
    assert_eq!(
        status(HOST, &path("normal", 1), &job),
        503,
        "no configuration yet"
    );
    site.configure(3).expect("the entry gets ready");
    assert_eq!(status(HOST, &path("unknown", 1), &job), 404);
    assert_eq!(status("other.example", &path("normal", 1), &job), 404);
    assert_eq!(status(HOST, "/normal/short", &job), 400);
    assert_eq!(status(HOST, &path("normal", 1), &json!("no job")), 400);
    let large = json!({"Spec": "x".repeat(70_000)});
    assert_eq!(status(HOST, &path("normal", 1), &large), 413);
    for kind in ["LongRunning", "BestEffort"] {
        let mut not_offered = job.clone();
        not_offered[kind] = json!(kind == "LongRunning");
        assert_eq!(
            status(HOST, &path("normal", 2), &not_offered),
            503,
            "{kind}"
        );
    }
    let mut too_wide = job.clone();
    too_wide["Steps"][0]["Cpu"] = json!(900_000);
    assert_eq!(status(HOST, &path("normal", 3), &too_wide), 503);
    assert_eq!(status(HOST, &path("normal", 4), &job), 200);
    assert!(
        site.minions[0]
            .runs()
            .iter()
            .all(|(task, ..)| task.job.0 == 4)
    );
}

#[test]
fn heartbeats_of_other_writers_harm_nothing() {
    let site = site(1, 1);
    let sidecar = SocketAddr::new(site.minions[0].address().ip(), 28_166);
    let put = |name: &str, body: &str| {
        let url = format!("http://{sidecar}/v1/instances/{name}");
        let answer = attohttpc::put(url).text(body.to_owned()).send();
        answer.expect("an answer").status().as_u16()
    };
    assert_eq!(put("i-1", "{\"Service\":\"desk\""), 400);
    assert_eq!(
        put(
            "i-2",
            "{\"Service\":\"desk\",\"State\":\"asleep\",\"Seq\":1}"
        ),
        400
    );
    assert_eq!(put("", "{}"), 400);
    let answer = site
        .submit(0, &path("normal", 1), 2, 20)
        .expect("an answer");
    assert_eq!(answer.status, 200);
}

#[test]
fn a_new_configuration_is_in_force_within_its_bound() {
    let site = site(2, 1);
    site.write_configuration(9, &["/other/"]);
    wait_until("the new queue at both entries", 2 * SECONDS, || {
        (0..2).all(|entry| {
            let old = site.submit(entry, &path("normal", 1), 1, 5);
            let new = site.submit(entry, &path("other", 2), 1, 5);
            old.is_ok_and(|old| old.status == 404) && new.is_ok_and(|new| new.status == 200)
        })
    })
    .expect("the configuration is in force");
}

#[test]
fn an_entry_that_the_store_turns_away_gets_the_configuration_from_its_peer() {
    let site = site(2, 1);
    site.store
        .set_fault(StoreFault::RejectsClient(site.entry_ip(0)));
    site.write_configuration(9, &["/other/"]);
    wait_until(
        "the new queue at the entry that is turned away",
        2 * SECONDS,
        || {
            let new = site.submit(0, &path("other", 2), 1, 5);
            new.is_ok_and(|new| new.status == 200)
        },
    )
    .expect("the configuration is in force");
}

#[test]
fn the_configuration_outlives_a_compaction_of_the_store() {
    let site = site(1, 1);
    site.write_configuration(5, &["/normal/"]);
    site.store.compact("keyed.op");
    site.write_configuration(9, &["/other/"]);
    wait_until("the new queue", 2 * SECONDS, || {
        let new = site.submit(0, &path("other", 2), 1, 5);
        new.is_ok_and(|new| new.status == 200)
    })
    .expect("the configuration is in force");
}

#[test]
fn jobs_are_served_while_the_store_is_down() {
    let site = site(1, 2);
    site.store.set_fault(StoreFault::NoResponse);
    thread::sleep(SECONDS);
    for number in 0..5 {
        let answer = site
            .submit(0, &path("normal", number), 2, 20)
            .expect("an answer");
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn a_sidecar_that_starts_while_the_store_is_down_is_found_again() {
    let mut site = site(1, 1);
    site.store.set_fault(StoreFault::Unavailable);
    let sidecar = site.sidecar_mut(0).expect("it was started");
    sidecar.kill().expect("it dies");
    site.start_sidecar(0).expect("it starts");
    wait_until("a completed job", 6 * SECONDS, || {
        let answer = site.submit(0, &path("normal", 7), 1, 5);
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .expect("the sidecar was found");
}

#[test]
fn late_and_lost_orders_run_nothing_twice() {
    let site = site(2, 3);
    for minion in &site.minions {
        minion.set_faults(MinionFaults {
            delayed_start_permille: 60,
            lost_response_permille: 60,
            failed_task_permille: 30,
            ignores_holds: false,
        });
    }
    let completed_count = submit_for(&site, 5 * SECONDS);
    assert!(
        completed_count > 50,
        "only {completed_count} jobs completed"
    );
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
}

#[test]
fn runs_of_a_killed_entry_end_before_its_callers_return() {
    let mut site = site(2, 2);
    let number = 0xabc;
    thread::scope(|scope| {
        let shared = &site;
        let caller = scope.spawn(move || shared.submit(0, &path("normal", number), 4, 2_500));
        thread::sleep(Duration::from_millis(400));
        drop(caller);
        assert!(
            shared
                .minions
                .iter()
                .any(|minion| !minion.running().is_empty())
        );
        // The scope waits for the caller, whose channel breaks with the entry.
        let id = shared_entry_id(shared);
        kill(id);
    });
    thread::sleep(Duration::from_millis(1_200));
    assert!(
        site.minions
            .iter()
            .all(|minion| minion.running().is_empty())
    );
    site.entry_mut(0)
        .expect("it was started")
        .kill()
        .expect("it is gone");
    let answer = site
        .submit(1, &path("normal", number), 4, 20)
        .expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
}

#[test]
fn a_killed_sidecar_costs_no_second_run() {
    let mut site = site(2, 3);
    thread::scope(|scope| {
        for caller in 0..4 {
            let shared = &site;
            scope.spawn(move || {
                for number in 0..6 {
                    // Whatever the answer, no task may run twice.
                    let _ = shared.submit(
                        caller % 2,
                        &path("normal", (caller as u64) << 8 | number),
                        3,
                        300,
                    );
                }
            });
        }
        thread::sleep(Duration::from_millis(500));
        kill(shared_sidecar_id(&site));
    });
    site.sidecar_mut(0)
        .expect("it was started")
        .kill()
        .expect("it is gone");
    site.start_sidecar(0).expect("it starts");
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
    let answer = site
        .submit(0, &path("normal", 0xfff), 2, 20)
        .expect("an answer");
    assert_eq!(answer.status, 200);
}

#[test]
fn a_planned_stop_answers_what_was_taken() {
    let mut site = site(2, 2);
    thread::scope(|scope| {
        let shared = &site;
        let caller = scope.spawn(move || shared.submit(0, &path("normal", 5), 2, 1_000));
        thread::sleep(Duration::from_millis(200));
        terminate(shared_entry_id(shared));
        let answer = caller.join().expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200);
    });
    let entry = site.entry_mut(0).expect("it was started");
    let status = entry
        .wait_exit(4 * SECONDS)
        .expect("it ends within its grace");
    assert!(status.success());
}

#[test]
fn a_caller_that_leaves_has_its_runs_stopped() {
    let site = site(1, 1);
    let body = json!({
        "Spec": "{\"run_ms\":4000,\"cpu\":100,\"memory\":1}",
        "BestEffort": true,
        "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 4000}],
    });
    let patience = Duration::from_millis(400);
    let left = site.post_with_timeout(0, HOST, &path("bulk", 1), &body, patience);
    assert!(left.is_err(), "the caller leaves before the answer");
    wait_until("the end of the run", SECONDS, || {
        site.minions[0].running().is_empty()
    })
    .expect("the run is stopped");
    assert!(!site.minions[0].runs().is_empty(), "it has run");
}

/// Submits jobs from several callers for a while and returns how many were completed.
fn submit_for(site: &PlatformSite, duration: Duration) -> usize {
    let end = Instant::now() + duration;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..4_u64)
            .map(|caller| {
                scope.spawn(move || {
                    let mut completed_count = 0;
                    for number in 0.. {
                        if Instant::now() >= end {
                            break;
                        }
                        let job = path("normal", caller << 32 | number);
                        let answer = site.submit(caller as usize % 2, &job, 3, 30);
                        completed_count +=
                            usize::from(answer.is_ok_and(|answer| answer.status == 200));
                    }
                    completed_count
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("no panic"))
            .sum()
    })
}

fn shared_entry_id(site: &PlatformSite) -> u32 {
    site.entry_id(0).expect("it was started")
}

fn shared_sidecar_id(site: &PlatformSite) -> u32 {
    site.sidecar_id(0).expect("it was started")
}

fn kill(id: u32) {
    signal(id, rustix::process::Signal::KILL);
}

fn terminate(id: u32) {
    signal(id, rustix::process::Signal::TERM);
}

fn signal(id: u32, signal: rustix::process::Signal) {
    let id = i32::try_from(id).expect("process ids are small");
    let id = rustix::process::Pid::from_raw(id).expect("process ids are not 0");
    rustix::process::kill_process(id, signal).expect("the process is a child of the test");
}

/// The head of the request says that the body is far too large; the body itself never comes.
#[test]
fn a_body_that_is_declared_too_large_is_refused_at_once() {
    let site = site(1, 1);
    let mut stream = TcpStream::connect(site.callers_address(0)).expect("the entry listens");
    stream
        .set_read_timeout(Some(SECONDS))
        .expect("the time-out can be set");
    let path = path("normal", 1);
    let head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 90000000\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let mut answer = [0; 12];
    stream
        .read_exact(&mut answer)
        .expect("an answer within a second");
    assert_eq!(&answer, b"HTTP/1.1 413");
}

/// Whoever starts anew reads of the drained minion in the store, and must not use it.
#[test]
fn a_drained_minion_stays_unused_over_restarts_of_all_processes() {
    let mut site = site(2, 2);
    site.minions[0].drain();
    wait_until("a minion that gets no more runs", 5 * SECONDS, || {
        let before = site.minions[0].runs().len();
        (0..4).for_each(|number| {
            // Refusals are fine here.
            let _ = site.submit(0, &path("normal", 100 + number), 2, 5);
        });
        site.minions[0].runs().len() == before && site.minions[0].running().is_empty()
    })
    .expect("the minion is known to leave");
    let before = site.minions[0].runs().len();
    site.store.compact("keyed.knapweedrill-sidecars");
    site.store.compact("keyed.op");
    for index in 0..2 {
        let entry = site.entry_mut(usize::from(index)).expect("it was started");
        entry.kill().expect("it dies");
        let sidecar = site
            .sidecar_mut(usize::from(index))
            .expect("it was started");
        sidecar.kill().expect("it dies");
        site.start_sidecar(index).expect("it starts");
        site.start_entry(index).expect("it starts");
    }
    for entry in 0..2 {
        site.wait_ready(entry).expect("the entry gets ready");
    }
    let completed_count = submit_for(&site, 4 * SECONDS);
    assert!(completed_count > 20, "only {completed_count} jobs");
    assert_eq!(site.minions[0].runs().len(), before);
    assert!(!site.minions[1].runs().is_empty());
}
