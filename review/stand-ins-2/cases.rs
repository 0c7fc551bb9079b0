//! The scripts of the cases.

use std::io::{self, Read, Write};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{ACK_MS, CANCEL_MS, GRACE_S, Plan, RETRANSMIT_MS, Site};

/// Runs a case and returns whether its rule held.
pub fn run(case: &str, has_trouble: bool, record: &Record) -> io::Result<bool> {
    match case {
        "cancel-then-restart" => cancel_then_restart(has_trouble, record),
        "cancel-missed-by-restart" => cancel_missed_by_restart(has_trouble, record),
        "cancel-during-cut" => cancel_during_cut(has_trouble, record),
        "cancel-on-same-channel" => cancel_on_same_channel(has_trouble, record),
        "upper-case-id" => upper_case_id(has_trouble, record),
        "fraction-in-bounds" => fraction_in_bounds(has_trouble, record),
        "leave-behind-requests" => leave_behind_requests(has_trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Returns a job of steps that follow each other, with one task of 1 s each.
fn chain(step_count: usize) -> String {
    let step = |index: usize| {
        let after = match index {
            0 => String::new(),
            _ => format!(",\"After\":[{}]", index - 1),
        };
        format!("{{\"Count\":1,\"Cpu\":1000,\"MemMb\":64,\"EstimateMs\":1000{after}}}")
    };
    let steps: Vec<String> = (0..step_count).map(step).collect();
    format!("{{\"Spec\":\"ms=1000\",\"BestEffort\":true,\"Steps\":[{}]}}", steps.join(","))
}

/// Returns the name of a job that this run of the script has not used.
fn job_name(number: u64) -> String {
    let id = u64::from(std::process::id());
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + id * 0x1_0000 + number)
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn other(text: &str) -> io::Error {
    io::Error::other(text.to_owned())
}

/// Returns whether no task of a job has started later than `cancel_ms` after the cancel was
/// acknowledged, or after it counts without that.
fn has_no_late_start(record: &Record, job: &str, acknowledged_ms: u64) -> bool {
    let starts = record.runs_of(job).into_iter().filter(|event| event.end.is_none());
    let late: Vec<_> = starts.filter(|it| it.at_ms > acknowledged_ms + CANCEL_MS).collect();
    for start in &late {
        record.note(&format!(
            "UNASKED: {} started task {} {} ms after the cancel was acknowledged",
            start.minion,
            start.task,
            start.at_ms - acknowledged_ms
        ));
    }
    late.is_empty()
}

/// The entry that has acknowledged a cancel is stopped and started again, as in a rolling restart.
/// A copy of the submission arrives there, seconds after its 2xx response.
fn cancel_then_restart(has_trouble: bool, record: &Record) -> io::Result<bool> {
    let mut site = Site::start(Plan::default(), record.clone())?;
    let (job, body) = (job_name(1), chain(4));
    let client = site.client(0);
    let (sent_job, sent_body) = (job.clone(), body.clone());
    let submission =
        thread::spawn(move || client.request("POST", &sent_job, &sent_body, 20_000));
    sleep_ms(400);
    let cancelled = site.request(1, "DELETE", &job, "", 4_000);
    let acknowledged_ms = record.now_ms();
    if !cancelled.is_some_and(|(status, _)| status / 100 == 2 || status == 410) {
        return Err(other("the cancel was not acknowledged"));
    }
    let submitted = submission.join().map_err(|_| other("the client has failed"))?;
    if !submitted.is_some_and(|(status, _)| status == 200) {
        return Err(other("the submission has no 2xx response"));
    }
    if has_trouble {
        let name = "front-zone-a-1";
        site.signal(name, "TERM");
        site.wait_end(name, Duration::from_secs(GRACE_S));
        sleep_ms(500);
        site.start_entry(1)?;
        site.wait_ready(1)?;
    }
    let copy_ms = acknowledged_ms + 7_000;
    sleep_ms(copy_ms.saturating_sub(record.now_ms()));
    record.note("a copy of the submission arrives");
    site.request(1, "POST", &job, &body, 8_000);
    Ok(has_no_late_start(record, &job, acknowledged_ms))
}

/// The entry of a job is cut off from the other entries and the store when the job is cancelled at
/// another entry.
fn cancel_during_cut(has_trouble: bool, record: &Record) -> io::Result<bool> {
    let plan = Plan {
        has_proxy: true,
        ..Plan::default()
    };
    let site = Site::start(plan, record.clone())?;
    let (job, body) = (job_name(2), chain(12));
    let client = site.client(0);
    let (sent_job, sent_body) = (job.clone(), body);
    let submission =
        thread::spawn(move || client.request("POST", &sent_job, &sent_body, 30_000));
    sleep_ms(400);
    let cut_until = Instant::now() + Duration::from_millis(5_500);
    if has_trouble {
        record.note("entry 0 is cut off from the other entries and the store");
        site.set_cut(0, true);
    }
    sleep_ms(300);
    let cancelled = site.request(1, "DELETE", &job, "", 4_000);
    let acknowledged_ms = record.now_ms();
    if !cancelled.is_some_and(|(status, _)| status / 100 == 2 || status == 410) {
        return Err(other("the cancel was not acknowledged"));
    }
    thread::sleep(cut_until.saturating_duration_since(Instant::now()));
    if has_trouble {
        site.set_cut(0, false);
        record.note("the cut has ended");
    }
    sleep_ms(3_000);
    let _ = submission.join();
    Ok(has_no_late_start(record, &job, acknowledged_ms))
}

/// An entry that knows a cancel is restarted while it is cut off from the other entries and the store.
/// A copy of the submission arrives there after the cut.
fn cancel_missed_by_restart(has_trouble: bool, record: &Record) -> io::Result<bool> {
    let plan = Plan {
        has_proxy: true,
        ..Plan::default()
    };
    let mut site = Site::start(plan, record.clone())?;
    let (job, body) = (job_name(4), chain(4));
    let client = site.client(0);
    let (sent_job, sent_body) = (job.clone(), body.clone());
    let submission =
        thread::spawn(move || client.request("POST", &sent_job, &sent_body, 20_000));
    sleep_ms(400);
    let cancelled = site.request(1, "DELETE", &job, "", 4_000);
    let acknowledged_ms = record.now_ms();
    if !cancelled.is_some_and(|(status, _)| status / 100 == 2 || status == 410) {
        return Err(other("the cancel was not acknowledged"));
    }
    let submitted = submission.join().map_err(|_| other("the client has failed"))?;
    if !submitted.is_some_and(|(status, _)| status == 200) {
        return Err(other("the submission has no 2xx response"));
    }
    sleep_ms(300);
    if has_trouble {
        let name = "front-zone-a-2";
        record.note("entry 2 is cut off from the other entries and the store, and restarted");
        site.set_cut(2, true);
        let cut_until = Instant::now() + Duration::from_millis(5_500);
        site.signal(name, "KILL");
        site.wait_end(name, Duration::from_secs(1));
        sleep_ms(300);
        site.start_entry(2)?;
        thread::sleep(cut_until.saturating_duration_since(Instant::now()));
        site.set_cut(2, false);
        record.note("the cut has ended");
        site.wait_ready(2)?;
    }
    let copy_ms = acknowledged_ms + 8_000;
    sleep_ms(copy_ms.saturating_sub(record.now_ms()));
    record.note("a copy of the submission arrives");
    site.request(2, "POST", &job, &body, 8_000);
    Ok(has_no_late_start(record, &job, acknowledged_ms))
}

/// The number of jobs that follow the first one on a channel: 255 KB.
const FOLLOWING_JOB_COUNT: u64 = 60;

/// The length of the longest `Spec`.
const SPEC_BYTES_MAX: usize = 4_000;

/// How long clients wait for an answer.
const BUDGET_MS: u64 = 4_000;

/// The clients, how many of them leave, and when.
const CLIENT_COUNT: u64 = 5;
const LEAVING_COUNT: u64 = 2;
const LEAVES_AFTER_MS: u64 = 400;

/// Clients send a job and many others behind it on the same channel. Some leave before their time
/// budget, and send the first job again to another entry.
fn leave_behind_requests(has_trouble: bool, record: &Record) -> io::Result<bool> {
    let site = Site::start(Plan::default(), record.clone())?;
    let jobs: Vec<String> = (0..CLIENT_COUNT).map(|number| job_name(0x100 + number)).collect();
    let clients = jobs.iter().zip(0..).map(|(job, index)| {
        let (first, again) = (site.client(0), site.client(1));
        let (job, record) = (job.clone(), record.clone());
        let leaves = has_trouble && index < LEAVING_COUNT;
        thread::spawn(move || -> io::Result<()> {
            let body = plain_job(2, 3_300, "");
            let mut requests = first.text("POST", &job, &body, BUDGET_MS);
            for number in 0..FOLLOWING_JOB_COUNT {
                let name = job_name(0x1000 + index * 0x1000 + number);
                let body = plain_job(1, 1, &"x".repeat(SPEC_BYTES_MAX - 5));
                requests.push_str(&first.text("POST", &name, &body, BUDGET_MS));
            }
            record.note(&format!(
                "client: POST of job {job} to entry 0, and of {FOLLOWING_JOB_COUNT} others behind it"
            ));
            if !leaves {
                let answer = first.send_and_wait(&requests, BUDGET_MS)?;
                record.note(&format!("client: job {job} at entry 0: {answer}"));
                return Ok(());
            }
            first.send_and_leave(&requests, LEAVES_AFTER_MS)?;
            record.note(&format!("client: has closed the channel of job {job} without an answer"));
            sleep_ms(RETRANSMIT_MS);
            again.request("POST", &job, &body, BUDGET_MS);
            Ok(())
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        client.join().map_err(|_| other("a client has failed"))??;
    }
    sleep_ms(500);
    let overlaps: Vec<bool> = jobs.iter().map(|job| has_no_overlap(record, job)).collect();
    Ok(overlaps.iter().all(|held| *held))
}

/// Returns a job of one step, whose tasks run for a time.
fn plain_job(task_count: u64, run_ms: u64, filler: &str) -> String {
    format!(
        "{{\"Spec\":\"ms={run_ms};{filler}\",\"BestEffort\":true,\"Steps\":[{{\"Count\":{task_count},\
         \"Cpu\":1000,\"MemMb\":64,\"EstimateMs\":{run_ms}}}]}}"
    )
}

/// Returns whether no task of a job ran twice at the same time.
fn has_no_overlap(record: &Record, job: &str) -> bool {
    let mut running: Vec<(String, String, u64)> = Vec::new();
    let mut held = true;
    for event in record.runs_of(job) {
        if event.end.is_some() {
            running.retain(|(task, minion, _)| *task != event.task || *minion != event.minion);
            continue;
        }
        for (task, minion, since_ms) in &running {
            if *task == event.task {
                held = false;
                record.note(&format!(
                    "TWICE: {task} starts on {} at {} ms while it runs on {minion} since {since_ms} ms",
                    event.minion, event.at_ms
                ));
            }
        }
        running.push((event.task, event.minion, event.at_ms));
    }
    held
}

/// A client cancels a job on the channel on which it waits for the answer to its submission.
fn cancel_on_same_channel(has_trouble: bool, record: &Record) -> io::Result<bool> {
    let site = Site::start(Plan::default(), record.clone())?;
    let job = job_name(5);
    let client = site.client(0);
    let submission = client.text("POST", &job, &chain(14), 30_000);
    let cancel = client.text("DELETE", &job, "", 30_000);
    let mut channel = client.open()?;
    record.note(&format!("client: POST of job {job} to entry 0"));
    channel.write_all(submission.as_bytes())?;
    sleep_ms(400);
    let sent_ms = record.now_ms();
    if has_trouble {
        record.note("client: DELETE of the job on the same channel");
        channel.write_all(cancel.as_bytes())?;
    } else {
        site.request(0, "DELETE", &job, "", 4_000);
    }
    channel.set_read_timeout(Some(Duration::from_millis(20_000)))?;
    let mut answers = Vec::new();
    let wanted = if has_trouble { 2 } else { 1 };
    while count_of(&answers, b"HTTP/1.1 ") < wanted {
        let mut chunk = [0; 4_096];
        let count = channel.read(&mut chunk)?;
        if count == 0 {
            return Err(other("the channel was closed"));
        }
        answers.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&chunk[..count]).replace("\r\n", " | ");
        record.note(&format!("client: on the channel of the submission: {text}"));
    }
    // A cancel without a confirmation counts from AckMs after it was sent.
    Ok(has_no_late_start(record, &job, sent_ms + ACK_MS))
}

fn count_of(bytes: &[u8], part: &[u8]) -> usize {
    bytes.windows(part.len()).filter(|window| *window == part).count()
}

/// Clients write the hexadecimal digits of their ids in upper case.
fn upper_case_id(has_trouble: bool, record: &Record) -> io::Result<bool> {
    let site = Site::start(Plan::default(), record.clone())?;
    let case = |name: String| if has_trouble { name.to_ascii_uppercase() } else { name };
    let jobs: Vec<String> = (10..14).map(|number| case(job_name(0xabc0 + number))).collect();
    for job in &jobs {
        site.request(0, "POST", job, &chain(1), 8_000);
    }
    let is_known = |task: &str| jobs.iter().any(|job| task.split('.').next() == Some(job));
    let starts = record.runs().into_iter().filter(|event| event.end.is_none());
    let unknown: Vec<_> = starts.filter(|event| !is_known(&event.task)).collect();
    for start in &unknown {
        let (minion, task) = (&start.minion, &start.task);
        record.note(&format!("UNASKED: {minion} was told to start {task}, which no client sent"));
    }
    Ok(unknown.is_empty())
}

/// A figure of `Bounds` in the settings is a fraction.
fn fraction_in_bounds(has_trouble: bool, record: &Record) -> io::Result<bool> {
    let plan = Plan {
        stop_timeout_ms: if has_trouble { "49.5" } else { "50" },
        ..Plan::default()
    };
    let mut site = Site::start_processes(plan, record.clone())?;
    sleep_ms(8_000);
    let ended = site.ended();
    for process in &ended {
        record.note(&format!("FAULT: ended by itself: {process}"));
    }
    for entry in 0..3 {
        let job = job_name(20 + u64::from(entry));
        let answer = site.request(entry, "POST", &job, &chain(1), 4_000);
        if ended.is_empty() && answer.is_none_or(|(status, _)| status != 200) {
            return Err(other("the processes run, but a request is not served"));
        }
    }
    Ok(ended.is_empty())
}
