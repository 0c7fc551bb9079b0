//! The whole path of jobs through real entry and sidecar processes, with stand-ins for the
//! platform's store and minions.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill_lab::harness::{HOST, PlatformSite, wait_until};
use knapweedrill_lab::stand_in::platform::{MinionFaults, StoreFault};
use serde_json::json;

const SECOND: Duration = Duration::from_secs(1);

/// Starts a site whose entries are ready with the configuration of version 3.
fn start_site(entries: u8, minions: u8) -> PlatformSite {
    let site = PlatformSite::start(entries, minions).expect("the site starts");
    site.configure(3).expect("the entries become ready");
    site
}

/// Returns the path of a job in the queue of a prefix.
fn path(prefix: &str, number: u64) -> String {
    format!("/{prefix}/{number:016x}")
}

#[test]
fn jobs_of_all_queues_are_completed() {
    let site = start_site(2, 2);
    for number in 0..12 {
        let prefix = ["urgent", "normal", "bulk"][number as usize % 3];
        let response = site
            .submit(number as usize % 2, &path(prefix, number), 3, 40)
            .expect("the entry responds");
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "{\"State\":\"completed\"}")
        );
    }
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
}

#[test]
fn requests_that_cannot_be_served_get_the_status_of_the_cause() {
    let site = PlatformSite::start(1, 1).expect("the site starts");
    let job = json!({
        "Spec": "{\"run_ms\":10,\"cpu\":100,\"memory\":1}",
        "BestEffort": true,
        "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 10}],
    });
    wait_until("an entry that accepts requests", 5 * SECOND, || {
        site.post(0, HOST, &path("normal", 1), &job).is_ok()
    })
    .expect("the entry accepts requests");
    let status = |host: &str, path: &str, body: &serde_json::Value| {
        site.post(0, host, path, body)
            .expect("the entry responds")
            .status
    };
    assert_eq!(
        status(HOST, &path("normal", 1), &job),
        503,
        "no configuration is in force yet"
    );
    site.configure(3).expect("the entry becomes ready");
    assert_eq!(status(HOST, &path("unknown", 1), &job), 404);
    assert_eq!(status("other.example", &path("normal", 1), &job), 404);
    assert_eq!(status(HOST, "/normal/short", &job), 400);
    assert_eq!(status(HOST, &path("normal", 1), &json!("no job")), 400);
    let large = json!({"Spec": "x".repeat(70_000)});
    assert_eq!(status(HOST, &path("normal", 1), &large), 413);
    for kind in ["LongRunning", "BestEffort"] {
        let mut unsupported = job.clone();
        unsupported[kind] = json!(kind == "LongRunning");
        assert_eq!(
            status(HOST, &path("normal", 2), &unsupported),
            503,
            "{kind}"
        );
    }
    let mut oversized = job.clone();
    oversized["Steps"][0]["Cpu"] = json!(900_000);
    assert_eq!(status(HOST, &path("normal", 3), &oversized), 503);
    assert_eq!(status(HOST, &path("normal", 4), &job), 200);
    assert!(
        site.minions[0]
            .runs()
            .iter()
            .all(|(task, ..)| task.job.0 == 4)
    );
}

#[test]
fn malformed_minion_heartbeats_are_rejected_without_effect() {
    let site = start_site(1, 1);
    let sidecar = SocketAddr::new(site.minions[0].address().ip(), 28_166);
    let put = |name: &str, body: &str| {
        let url = format!("http://{sidecar}/v1/instances/{name}");
        let response = attohttpc::put(url).text(body.to_owned()).send();
        response.expect("the sidecar responds").status().as_u16()
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
    let response = site
        .submit(0, &path("normal", 1), 2, 20)
        .expect("the entry responds");
    assert_eq!(response.status, 200);
}

/// Guards against a heartbeat of another writer that replaces the minion.
#[test]
fn heartbeat_of_another_writer_does_not_replace_the_minion() {
    let site = start_site(1, 1);
    let minion_ip = site.minions[0].address().ip();
    let url = format!("http://{minion_ip}:28166/v1/instances/i-odd");
    let heartbeat = |address: &str| {
        let body = json!({
            "Service": "desk",
            "Address": address,
            "State": "ready",
            "Capacity": {"Cpu": 64_000, "MemMb": 131_072},
            "Seq": u64::MAX,
            "born": u64::MAX,
        });
        let response = attohttpc::put(&url).text(body.to_string()).send();
        response.expect("the sidecar responds").status().as_u16()
    };
    assert_eq!(heartbeat(&format!("{minion_ip}:70000")), 400);
    assert_eq!(heartbeat(&format!("{minion_ip}:0")), 400);
    assert_eq!(heartbeat("127.0.0.1:8080"), 400);
    let response = site
        .submit(0, &path("normal", 1), 2, 20)
        .expect("the entry responds");
    assert_eq!(response.status, 200);
}

/// Guards against an odd record that ends a process that reads its topic, stops it from following
/// the topic, or takes the place of another record.
#[test]
fn odd_records_in_the_store_hide_no_other() {
    let mut site = start_site(1, 1);
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let sidecar = |vm: &str, address: &str| {
        json!({
            "vm": vm,
            "address": address,
            "service": "desk",
            "capacity": {"cpu_millicores": 64_000, "memory_mib": 131_072, "accelerator_count": 0},
            "labels": [],
        })
        .to_string()
    };
    let values = [
        String::new(),
        "null".into(),
        "127.0.0.1:70000".into(),
        "127.0.0.1:0".into(),
        format!("{{\"vm\":{nested}}}"),
        nested,
        "{\"vm\":1e999}".into(),
        sidecar("odd", "127.0.0.1:70000"),
        sidecar("odd", "127.0.0.1:0"),
    ];
    let impostor = sidecar("sidecar-0", "127.0.0.9:7720");
    let write_odd_records = || {
        for topic in ["entries", "sidecars"].map(|name| format!("keyed.knapweedrill-{name}")) {
            for (number, value) in values.iter().enumerate() {
                site.store
                    .write(&topic, &format!("odd {number}&"), value.as_bytes());
            }
            site.store.write(&topic, "odd bytes", &[0xff, 0xfe, 0]);
            site.store.write(&topic, "", b"odd key");
        }
        // The newest records of the keys are read in any order.
        for number in 0..20 {
            let key = format!("impostor {number}");
            site.store
                .write("keyed.knapweedrill-sidecars", &key, impostor.as_bytes());
        }
        for value in &values[..7] {
            site.store.write("keyed.op", "config", value.as_bytes());
        }
    };
    write_odd_records();
    std::thread::sleep(2 * SECOND);
    site.configure(5)
        .expect("the entry follows the operator's topic");
    let status = |site: &PlatformSite, number| {
        let response = site.submit(0, &path("normal", number), 2, 20);
        response.expect("the entry responds").status
    };
    assert_eq!(status(&site, 1), 200);
    // A process that starts reads the newest record of each key.
    site.entry_mut(0)
        .expect("the process was started")
        .kill()
        .expect("the process ends");
    site.start_entry(0).expect("the entry starts");
    site.wait_ready(0).expect("the entry becomes ready");
    assert_eq!(status(&site, 2), 200);
}

#[test]
fn new_configuration_is_in_force_within_two_seconds() {
    let site = start_site(2, 1);
    site.write_configuration(9, &["/other/"]);
    wait_until(
        "a response from the new queue at both entries",
        2 * SECOND,
        || {
            (0..2).all(|entry| {
                let old = site.submit(entry, &path("normal", 1), 1, 5);
                let new = site.submit(entry, &path("other", 2), 1, 5);
                old.is_ok_and(|old| old.status == 404) && new.is_ok_and(|new| new.status == 200)
            })
        },
    )
    .expect("the configuration is in force");
}

#[test]
fn entry_rejected_by_the_store_gets_the_configuration_from_its_peer() {
    let site = start_site(2, 1);
    site.store
        .set_fault(StoreFault::RejectsClient(site.entry_ip(0)));
    site.write_configuration(9, &["/other/"]);
    wait_until(
        "a response from the new queue at the rejected entry",
        2 * SECOND,
        || {
            let new = site.submit(0, &path("other", 2), 1, 5);
            new.is_ok_and(|new| new.status == 200)
        },
    )
    .expect("the configuration is in force");
}

#[test]
fn new_configuration_is_found_after_a_compaction_of_the_store() {
    let site = start_site(1, 1);
    site.write_configuration(5, &["/normal/"]);
    site.store.compact("keyed.op");
    site.write_configuration(9, &["/other/"]);
    wait_until("a response from the new queue", 2 * SECOND, || {
        let new = site.submit(0, &path("other", 2), 1, 5);
        new.is_ok_and(|new| new.status == 200)
    })
    .expect("the configuration is in force");
}

#[test]
fn jobs_are_completed_while_the_store_does_not_respond() {
    let site = start_site(1, 2);
    site.store.set_fault(StoreFault::NoResponse);
    thread::sleep(SECOND);
    for number in 0..5 {
        let response = site
            .submit(0, &path("normal", number), 2, 20)
            .expect("the entry responds");
        assert_eq!(response.status, 200);
    }
}

#[test]
fn sidecar_restarted_while_the_store_is_unavailable_is_rediscovered() {
    let mut site = start_site(1, 1);
    site.store.set_fault(StoreFault::Unavailable);
    let sidecar = site.sidecar_mut(0).expect("the process was started");
    sidecar.kill().expect("the process ends");
    site.start_sidecar(0).expect("the process starts");
    wait_until("a completed job", 6 * SECOND, || {
        let response = site.submit(0, &path("normal", 7), 1, 5);
        response.is_ok_and(|response| response.status == 200)
    })
    .expect("the entry finds the sidecar");
}

#[test]
fn delayed_starts_and_lost_responses_cause_no_overlapping_runs() {
    let site = start_site(2, 3);
    for minion in &site.minions {
        minion.set_faults(MinionFaults {
            delayed_start_permille: 60,
            lost_response_permille: 60,
            failed_task_permille: 30,
            ignores_holds: false,
        });
    }
    let completed_count = submit_for(&site, 5 * SECOND);
    assert!(
        completed_count > 50,
        "only {completed_count} jobs completed"
    );
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
}

#[test]
fn runs_of_a_killed_entry_end_before_its_callers_resubmit() {
    let mut site = start_site(2, 2);
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
        // The scope waits for the caller, which loses its connection when the entry is killed.
        let id = entry_process_id(shared);
        kill(id);
    });
    thread::sleep(Duration::from_millis(1_200));
    assert!(
        site.minions
            .iter()
            .all(|minion| minion.running().is_empty())
    );
    site.entry_mut(0)
        .expect("the process was started")
        .kill()
        .expect("the process ends");
    let response = site
        .submit(1, &path("normal", number), 4, 20)
        .expect("the entry responds");
    assert_eq!(response.status, 200);
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
}

#[test]
fn killed_sidecar_causes_no_overlapping_runs() {
    let mut site = start_site(2, 3);
    thread::scope(|scope| {
        for caller in 0..4 {
            let shared = &site;
            scope.spawn(move || {
                for number in 0..6 {
                    // Any outcome is allowed as long as no task runs twice at the same time.
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
        kill(sidecar_process_id(&site));
    });
    site.sidecar_mut(0)
        .expect("the process was started")
        .kill()
        .expect("the process ends");
    site.start_sidecar(0).expect("the process starts");
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
    let response = site
        .submit(0, &path("normal", 0xfff), 2, 20)
        .expect("the entry responds");
    assert_eq!(response.status, 200);
}

#[test]
fn planned_stop_answers_accepted_jobs() {
    let mut site = start_site(2, 2);
    thread::scope(|scope| {
        let shared = &site;
        let caller = scope.spawn(move || shared.submit(0, &path("normal", 5), 2, 1_000));
        thread::sleep(Duration::from_millis(200));
        terminate(entry_process_id(shared));
        let response = caller
            .join()
            .expect("the thread does not panic")
            .expect("the entry responds");
        assert_eq!(response.status, 200);
    });
    let entry = site.entry_mut(0).expect("the process was started");
    let status = entry
        .wait_exit(4 * SECOND)
        .expect("the entry ends within 4 s");
    assert!(status.success());
}

/// Guards against requests in the last moments of an entry that get no answer.
#[test]
fn entry_that_ends_refuses_requests_at_once() {
    let site = start_site(1, 1);
    let mut stream = TcpStream::connect(site.callers_address(0)).expect("the entry listens");
    stream.set_nodelay(true).expect("the option can be set");
    stream
        .set_read_timeout(Some(SECOND))
        .expect("the timeout can be set");
    let request = format!("GET /normal/ HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    terminate(entry_process_id(&site));
    let mut statuses = Vec::new();
    // An entry without jobs ends 1.5 s after it was asked to stop.
    let end = Instant::now() + 4 * SECOND;
    while Instant::now() < end && stream.write_all(request.as_bytes()).is_ok() {
        let mut response = [0; 1_024];
        match stream.read(&mut response) {
            Ok(length) if length >= 12 => {
                statuses.push(String::from_utf8_lossy(&response[9..12]).into_owned());
            }
            _ => break,
        }
        thread::sleep(Duration::from_millis(5));
    }
    assert!(statuses.contains(&"200".to_owned()), "{statuses:?}");
    assert_eq!(statuses.last().map(String::as_str), Some("503"));
}

#[test]
fn runs_of_a_disconnected_caller_are_stopped() {
    let site = start_site(1, 1);
    let body = json!({
        "Spec": "{\"run_ms\":4000,\"cpu\":100,\"memory\":1}",
        "BestEffort": true,
        "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 4000}],
    });
    let timeout = Duration::from_millis(400);
    let result = site.post_with_timeout(0, HOST, &path("bulk", 1), &body, timeout);
    assert!(
        result.is_err(),
        "the caller disconnects before the response"
    );
    wait_until("the end of the run", SECOND, || {
        site.minions[0].running().is_empty()
    })
    .expect("the run is stopped");
    assert!(!site.minions[0].runs().is_empty(), "the task was started");
}

/// Cancels a job and returns the status code of the response.
fn cancel(site: &PlatformSite, entry: usize, path: &str) -> u16 {
    let mut connection =
        TcpStream::connect(site.callers_address(entry)).expect("the entry accepts the connection");
    connection
        .set_read_timeout(Some(SECOND))
        .expect("the timeout is set");
    let head = format!("DELETE {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    connection
        .write_all(head.as_bytes())
        .expect("the request is sent");
    let mut response = String::new();
    connection
        .read_to_string(&mut response)
        .expect("the entry responds within a second");
    let status = response.split(' ').nth(1).expect("a status line");
    status.parse().expect("a status code")
}

/// A client repeats a cancel at another entry, and copies of the submission arrive later.
#[test]
fn cancel_at_another_entry_counts_for_good() {
    let site = start_site(2, 2);
    let body = json!({
        "Spec": "{\"run_ms\":2500,\"cpu\":100,\"memory\":1}",
        "BestEffort": true,
        "Steps": [{"Count": 2, "Cpu": 100, "MemMb": 1, "EstimateMs": 2500}],
    });
    let (job, unknown) = (path("bulk", 1), path("bulk", 2));
    let has_runs = || {
        site.minions
            .iter()
            .any(|minion| !minion.running().is_empty())
    };
    let run_count = || -> usize { site.minions.iter().map(|minion| minion.runs().len()).sum() };
    let submit = |entry| {
        let response = site.post(entry, HOST, &job, &body);
        let response = response.expect("the entry responds");
        (response.status, response.body)
    };
    let cancelled = (200, "{\"State\":\"cancelled\"}".to_owned());
    thread::scope(|scope| {
        let submission = scope.spawn(|| submit(0));
        wait_until("the runs of the job", 2 * SECOND, has_runs).expect("the job runs");
        assert_eq!(cancel(&site, 1, &job), 200);
        let answer = submission.join().expect("the thread does not panic");
        assert_eq!(answer, cancelled);
    });
    wait_until("the end of the runs", SECOND, || !has_runs()).expect("the runs are stopped");
    let started_count = run_count();
    assert_eq!([submit(0), submit(1)], [cancelled.clone(), cancelled]);
    assert_eq!(cancel(&site, 0, &unknown), 410);
    assert_eq!(run_count(), started_count);
}

/// Submits jobs from four callers for a while, and returns the number of completed jobs.
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
                        let response = site.submit(caller as usize % 2, &job, 3, 30);
                        completed_count +=
                            usize::from(response.is_ok_and(|response| response.status == 200));
                    }
                    completed_count
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("the thread does not panic"))
            .sum()
    })
}

fn entry_process_id(site: &PlatformSite) -> u32 {
    site.entry_id(0).expect("the process was started")
}

fn sidecar_process_id(site: &PlatformSite) -> u32 {
    site.sidecar_id(0).expect("the process was started")
}

fn kill(id: u32) {
    signal(id, rustix::process::Signal::KILL);
}

fn terminate(id: u32) {
    signal(id, rustix::process::Signal::TERM);
}

fn signal(id: u32, signal: rustix::process::Signal) {
    let id = i32::try_from(id).expect("process ids fit into 31 bits");
    let id = rustix::process::Pid::from_raw(id).expect("process ids are not 0");
    rustix::process::kill_process(id, signal).expect("the process is a child of the test");
}

/// The header of the request declares a body over the limit; the body itself is never sent.
#[test]
fn declared_body_size_over_the_limit_is_rejected_at_once() {
    let site = start_site(1, 1);
    let mut stream = TcpStream::connect(site.callers_address(0)).expect("the entry listens");
    stream
        .set_read_timeout(Some(SECOND))
        .expect("the timeout can be set");
    let path = path("normal", 1);
    let header =
        format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 90000000\r\n\r\n");
    stream
        .write_all(header.as_bytes())
        .expect("the header is sent");
    let mut response = [0; 12];
    stream
        .read_exact(&mut response)
        .expect("the entry responds within a second");
    assert_eq!(&response, b"HTTP/1.1 413");
}

/// Guards against processes that start again and use a drained minion: they must learn from the
/// store that it is draining.
#[test]
fn drained_minion_stays_unused_after_restarts_of_all_processes() {
    let mut site = start_site(2, 2);
    site.minions[0].drain();
    // Until the store has it, only the next heartbeat of the minion can tell the new processes.
    wait_until("a record of the draining minion", 5 * SECOND, || {
        let log = site.stdout_of("sidecar-0");
        let drained_at = log.find("\"is_draining\":true");
        drained_at.is_some_and(|at| log[at..].contains("store confirmed the record"))
    })
    .expect("the sidecar stores that the minion is draining");
    wait_until("a minion that gets no more runs", 5 * SECOND, || {
        let before = site.minions[0].runs().len();
        (0..4).for_each(|number| {
            // The jobs may be refused.
            let _ = site.submit(0, &path("normal", 100 + number), 2, 5);
        });
        site.minions[0].runs().len() == before && site.minions[0].running().is_empty()
    })
    .expect("the entry learns that the minion is draining");
    let before = site.minions[0].runs().len();
    site.store.compact("keyed.knapweedrill-sidecars");
    site.store.compact("keyed.op");
    for index in 0..2 {
        let entry = site
            .entry_mut(usize::from(index))
            .expect("the process was started");
        entry.kill().expect("the process ends");
        let sidecar = site
            .sidecar_mut(usize::from(index))
            .expect("the process was started");
        sidecar.kill().expect("the process ends");
        site.start_sidecar(index).expect("the process starts");
        site.start_entry(index).expect("the process starts");
    }
    for entry in 0..2 {
        site.wait_ready(entry).expect("the entry becomes ready");
    }
    let completed_count = submit_for(&site, 4 * SECOND);
    assert!(
        completed_count > 20,
        "only {completed_count} jobs completed"
    );
    assert_eq!(site.minions[0].runs().len(), before);
    assert!(!site.minions[1].runs().is_empty());
}

/// Returns the value of a level of a process, or `None` if it can't be read.
fn level(site: &PlatformSite, entry: usize, name: &str) -> Option<u64> {
    let url = format!("http://{}:9464/metrics", site.entry_ip(entry));
    let text = attohttpc::get(url).send().ok()?.text().ok()?;
    let prefix = format!("knapweedrill_level{{name=\"{name}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix))?;
    line.parse().ok()
}

/// Writes a record of the operator on a zone, and waits until both entries have read it.
fn write_evacuation(site: &PlatformSite, value: &[u8]) {
    let revision = level(site, 0, "evacuation_revision").expect("the entry has metrics");
    site.store.write("keyed.op", "evacuate/zone-b", value);
    wait_until("entries that know of the record", 3 * SECOND, || {
        (0..2).all(|entry| level(site, entry, "evacuation_revision") > Some(revision))
    })
    .expect("the entries read the record");
}

/// Guards against an evacuation that does not reach the processes, that an odd value of its record hides,
/// that an entry forgets which starts while the store is down, or that never ends.
#[test]
fn evacuated_minion_gets_no_starts_until_its_zone_is_returned() {
    let mut site = start_site(2, 2);
    site.minions[1].set_zone("zone-b");
    let nested = format!("{}7{}", "[".repeat(40), "]".repeat(40));
    write_evacuation(&site, nested.as_bytes());
    let is_evacuated = |site: &PlatformSite| {
        let ip = site.minions[1].address().ip();
        let text = attohttpc::get(format!("http://{ip}:9464/metrics")).send();
        let text = text.and_then(attohttpc::Response::text).unwrap_or_default();
        text.contains("knapweedrill_level{name=\"evacuated\"} 1")
    };
    wait_until("an evacuated minion", 5 * SECOND, || is_evacuated(&site))
        .expect("the sidecar is told");
    let before = site.minions[1].runs().len();
    assert!(submit_for(&site, SECOND) > 0);
    assert_eq!(site.minions[1].runs().len(), before);
    // One entry starts while the store is down.
    site.store.set_fault(StoreFault::Unavailable);
    let entry = site.entry_mut(0).expect("the process was started");
    entry.kill().expect("the process ends");
    site.start_entry(0).expect("the process starts");
    site.wait_ready(0).expect("the entry becomes ready");
    assert!(submit_for(&site, SECOND) > 0);
    assert_eq!(site.minions[1].runs().len(), before);
    wait_until("metrics of the entry", 3 * SECOND, || {
        level(&site, 0, "evacuated_domains") == Some(1)
    })
    .expect("the entry knows of the evacuation");
    site.store.set_fault(StoreFault::None);
    write_evacuation(&site, b"");
    wait_until("runs at the minion", 5 * SECOND, || {
        submit_for(&site, SECOND / 5);
        site.minions[1].runs().len() > before
    })
    .expect("the minion is back in service");
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
}
