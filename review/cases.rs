//! The cases.

use std::io::{Error, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, NoResponse};
use crate::minion::Minion;
use crate::proxy::{Breaker, DatagramProxy, Forwarder, Freeze, Resetter};
use crate::record::Record;
use crate::site::{HOST, SERVICE, SIGCONT, SIGSTOP, Site, free_port, kind};

/// What a case has shown.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

const PREFIX: &str = "/jobs/";
const RETRANSMIT: Duration = Duration::from_millis(1_300);
const CANCEL_MS: u64 = 3_000;

/// Runs a case.
pub fn run(
    case: &str,
    record: &Record,
    scratch: &Path,
    program: &Path,
    has_trouble: bool,
) -> Result<Verdict> {
    let new_site = || Site::new(record, scratch.to_path_buf(), program.to_path_buf());
    record.note(&format!("case {case}, disruption: {has_trouble}"));
    match case {
        "frozen-entry" => frozen_entry(new_site()?, record, has_trouble),
        "unread-channel" => unread_channel(new_site()?, record, has_trouble),
        "cancel-elsewhere" => cancel_elsewhere(new_site()?, record, has_trouble),
        "late-copy" => late_copy(new_site()?, record, has_trouble),
        "lossy-links" => lossy_links(new_site()?, record, has_trouble),
        "next-life" => next_life(new_site()?, record, has_trouble),
        "other-kind" => other_kind(new_site()?, record, has_trouble),
        _ => Err(Error::other(format!("no such case: {case}"))),
    }
}

fn job_body(count: u32, spec: &str, estimates_ms: &[u64], requires: &str) -> String {
    let steps: Vec<String> = estimates_ms
        .iter()
        .enumerate()
        .map(|(index, estimate_ms)| {
            let after = match index {
                0 => String::new(),
                _ => format!(",\"After\":[{}]", index - 1),
            };
            let requires = match requires {
                "" => String::new(),
                label => format!(",\"Requires\":\"{label}\""),
            };
            format!(
                "{{\"Count\":{count},\"Cpu\":500,\"MemMb\":64,\"EstimateMs\":{estimate_ms}{after}{requires}}}"
            )
        })
        .collect();
    format!(
        "{{\"Spec\":\"{spec}\",\"BestEffort\":true,\"Steps\":[{}]}}",
        steps.join(",")
    )
}

fn noted_call(
    record: &Record,
    to: (&str, SocketAddr),
    method: &str,
    id: &str,
    wait: Duration,
    body: &str,
) -> std::result::Result<(u16, String), NoResponse> {
    let (name, address) = to;
    record.note(&format!("sent: {method} {id} to {name}"));
    let path = format!("{PREFIX}{id}");
    let answer = http::call(address, method, &path, HOST, wait, body);
    record.note(&format!("answered: {method} {id} by {name}: {answer:?}"));
    answer
}

/// A machine with an entry stands still for 3.1 s. Requests that its clients sent on open channels
/// reach it 0.3 s after it is awake; the clients have given them up and sent them elsewhere.
fn frozen_entry(mut site: Site, record: &Record, has_trouble: bool) -> Result<Verdict> {
    for _ in 0..2 {
        site.add_entry()?;
    }
    for _ in 0..4 {
        site.add_side(kind(&["a"]))?;
    }
    if !site.configure(1, &[PREFIX]) {
        return Ok(Verdict::NotRun("the entries did not become ready".into()));
    }
    let freeze: Freeze = Arc::default();
    let listen = SocketAddr::new(site.entry_ip(20), 0);
    let forwarder = Forwarder::start(listen, site.entries[0].callers, Arc::clone(&freeze))?;
    let other = site.entries[1].callers;
    // Each client has an open channel, on which it has asked something before.
    let wait = Duration::from_millis(1_500);
    let channels: Vec<TcpStream> = (0..3)
        .map(|_| TcpStream::connect(forwarder.address))
        .collect::<Result<_>>()?;
    for mut channel in &channels {
        let text = http::request_text("GET", PREFIX, HOST, 1_500, "");
        channel.write_all(text.as_bytes())?;
        let answer = http::read_response(channel, wait);
        record.note(&format!("answered: GET {PREFIX} by front-0: {answer:?}"));
    }
    let frozen_at = Instant::now();
    if has_trouble {
        *freeze.lock().unwrap() = Some((frozen_at, None));
        site.entries[0].process.signal(SIGSTOP);
        record.note("front-0 stands still");
    }
    thread::sleep(Duration::from_millis(400));
    let clients: Vec<_> = (1..)
        .zip(channels)
        .map(|(number, channel)| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("{:016x}", 0x5c0e_7a21_d94b_3600_u64 + number);
                // With its head the request is three segments long.
                let spec = format!("cpu=500 ms=900 text={}", "x".repeat(3_500));
                let body = job_body(8, &spec, &[900], "");
                submit_twice(&record, &id, channel, other, wait, &body)
            })
        })
        .collect();
    if has_trouble {
        let awake_at = frozen_at + Duration::from_millis(3_100);
        thread::sleep(awake_at.saturating_duration_since(Instant::now()));
        site.entries[0].process.signal(SIGCONT);
        *freeze.lock().unwrap() = Some((frozen_at, Some(Instant::now())));
        record.note("front-0 is awake");
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(Duration::from_secs(2));
    if answers.iter().any(|status| *status != Some(200)) {
        return Ok(Verdict::NotRun(format!("a job was not run: {answers:?}")));
    }
    Ok(twice_verdict(record))
}

fn twice_verdict(record: &Record) -> Verdict {
    let overlaps = record.overlaps();
    for (first, second) in &overlaps {
        record.note(&format!(
            "TWICE: {} on {} from {} to {:?} ms and on {} from {} to {:?} ms",
            first.task,
            first.minion,
            first.start_ms,
            first.end_ms,
            second.minion,
            second.start_ms,
            second.end_ms
        ));
    }
    match overlaps.len() {
        0 => Verdict::Held("no task ran twice at the same time".into()),
        count => Verdict::Broken(format!("TWICE: {count} tasks ran twice at the same time")),
    }
}

/// Clients send two jobs each on one channel, the second before the first is answered. The channels
/// are reset; the clients send both jobs again, to the other entry.
fn unread_channel(mut site: Site, record: &Record, has_trouble: bool) -> Result<Verdict> {
    for _ in 0..2 {
        site.add_entry()?;
    }
    for _ in 0..4 {
        site.add_side(kind(&["a"]))?;
    }
    if !site.configure(1, &[PREFIX]) {
        return Ok(Verdict::NotRun("the entries did not become ready".into()));
    }
    let listen = SocketAddr::new(site.entry_ip(20), 0);
    let breaker = Breaker::start(listen, site.entries[0].callers)?;
    let other = site.entries[1].callers;
    // The run time of the tasks and the time for which the client waits, in milliseconds.
    let clients: Vec<_> = (1..)
        .zip([(1_400, 1_500), (2_500, 4_000)])
        .map(|(number, (run_ms, wait_ms))| {
            let (record, address) = (record.clone(), breaker.address);
            thread::spawn(move || pipeline(&record, number, (run_ms, wait_ms), address, other))
        })
        .collect();
    thread::sleep(Duration::from_millis(70));
    if has_trouble {
        breaker.reset();
        record.note("the channels of the clients to front-0 are reset");
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(Duration::from_secs(2));
    if !answers.iter().flatten().any(|status| *status == Some(200)) {
        return Ok(Verdict::NotRun(format!("no job was run: {answers:?}")));
    }
    Ok(twice_verdict(record))
}

/// Submits two jobs on one channel. Without responses, submits each again at another entry
/// `RetransmitMs` later. Returns the status of the last responses.
fn pipeline(
    record: &Record,
    number: u64,
    (run_ms, wait_ms): (u64, u64),
    first: SocketAddr,
    other: SocketAddr,
) -> Vec<Option<u16>> {
    let id = |place: u64| format!("{:016x}", 0x7d1e_0000_0000_0000 + 16 * number + place);
    let long = job_body(4, &format!("cpu=500 ms={run_ms}"), &[run_ms], "");
    let jobs = [(id(0), long), (id(1), job_body(1, "cpu=500 ms=60", &[60], ""))];
    let wait = Duration::from_millis(wait_ms);
    let Ok(mut channel) = TcpStream::connect(first) else {
        return Vec::new();
    };
    let _ = channel.set_nodelay(true);
    for (id, body) in &jobs {
        let text = http::request_text("POST", &format!("{PREFIX}{id}"), HOST, wait_ms, body);
        record.note(&format!("sent: POST {id} to front-0"));
        if channel.write_all(text.as_bytes()).is_err() {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let mut unanswered = Vec::new();
    let mut statuses = Vec::new();
    for (id, body) in jobs {
        let answer = match unanswered.is_empty() {
            true => http::read_response(&channel, wait),
            false => Err(NoResponse::Broken),
        };
        record.note(&format!("answered: POST {id} by front-0: {answer:?}"));
        match answer {
            Ok((status, _)) => statuses.push(Some(status)),
            Err(_) => unanswered.push((id, body)),
        }
    }
    drop(channel);
    if unanswered.is_empty() {
        return statuses;
    }
    thread::sleep(RETRANSMIT);
    for (id, body) in unanswered {
        let answer = noted_call(record, ("front-1", other), "POST", &id, wait, &body);
        statuses.push(answer.ok().map(|(status, _)| status));
    }
    statuses
}

/// Submits a job on an open channel. Without a response, closes the channel and submits the job again
/// at another entry `RetransmitMs` later. Returns the status of the last response.
fn submit_twice(
    record: &Record,
    id: &str,
    mut channel: TcpStream,
    other: SocketAddr,
    wait: Duration,
    body: &str,
) -> Option<u16> {
    let path = format!("{PREFIX}{id}");
    let text = http::request_text("POST", &path, HOST, wait.as_millis() as u64, body);
    record.note(&format!("sent: POST {id} to front-0"));
    channel.write_all(text.as_bytes()).ok()?;
    let answer = http::read_response(&channel, wait);
    drop(channel);
    record.note(&format!("answered: POST {id} by front-0: {answer:?}"));
    if let Ok((status, _)) = answer {
        return Some(status);
    }
    thread::sleep(RETRANSMIT);
    let answer = noted_call(record, ("front-1", other), "POST", id, wait, body);
    answer.ok().map(|(status, _)| status)
}

/// Returns the starts of tasks of a job later than `CANCEL_MS` after `cancelled_ms`.
fn starts_after_cancel(record: &Record, id: &str, cancelled_ms: u64) -> Vec<String> {
    let runs = record.runs().into_iter();
    runs.filter(|run| run.task.starts_with(id) && run.start_ms > cancelled_ms + CANCEL_MS)
        .map(|run| format!("{} started {} ms after", run.task, run.start_ms - cancelled_ms))
        .collect()
}

fn cancel_verdict(record: &Record, id: &str, cancelled_ms: u64) -> Verdict {
    let late = starts_after_cancel(record, id, cancelled_ms);
    for start in &late {
        record.note(&format!("UNASKED: {start} the cancel was acknowledged"));
    }
    match late.first() {
        None => Verdict::Held("no task started later than cancel_ms after the cancel".into()),
        Some(first) => Verdict::Broken(format!(
            "UNASKED: {} tasks started later than cancel_ms after the cancel was acknowledged, \
             the first: {first}",
            late.len()
        )),
    }
}

/// The channel of a cancel is reset; the client sends it again, to another entry.
fn cancel_elsewhere(mut site: Site, record: &Record, has_trouble: bool) -> Result<Verdict> {
    for _ in 0..2 {
        site.add_entry()?;
    }
    for _ in 0..3 {
        site.add_side(kind(&["a"]))?;
    }
    if !site.configure(1, &[PREFIX]) {
        return Ok(Verdict::NotRun("the entries did not become ready".into()));
    }
    let id = "5c0e7a21d94b36f8";
    let (first, other) = (site.entries[0].callers, site.entries[1].callers);
    let submitted = record.clone();
    let wait = Duration::from_secs(9);
    let client = thread::spawn(move || {
        let body = job_body(4, "cpu=500 ms=4500,300", &[4_500, 300], "");
        noted_call(&submitted, ("front-0", first), "POST", id, wait, &body)
    });
    thread::sleep(Duration::from_millis(500));
    let wait = Duration::from_millis(1_500);
    let mut answer = Err(NoResponse::Broken);
    if has_trouble {
        let resetter = Resetter::start(SocketAddr::new(site.entry_ip(20), 0))?;
        answer = noted_call(record, ("front-0", resetter.address), "DELETE", id, wait, "");
        if answer.is_ok() {
            return Ok(Verdict::NotRun("the channel of the cancel was not reset".into()));
        }
        answer = noted_call(record, ("front-1", other), "DELETE", id, wait, "").or(answer);
    }
    if !has_trouble {
        answer = noted_call(record, ("front-0", first), "DELETE", id, wait, "").or(answer);
    }
    let cancelled_ms = record.now_ms();
    let is_acknowledged = matches!(answer, Ok((200..300 | 410, _)));
    let _ = client.join();
    thread::sleep(Duration::from_secs(1));
    if !is_acknowledged {
        return Ok(Verdict::Held(format!("the cancel was not acknowledged: {answer:?}")));
    }
    Ok(cancel_verdict(record, id, cancelled_ms))
}

/// A copy of a submission arrives seconds after the 2xx response; its job was cancelled.
fn late_copy(mut site: Site, record: &Record, has_trouble: bool) -> Result<Verdict> {
    for _ in 0..2 {
        site.add_entry()?;
    }
    for _ in 0..3 {
        site.add_side(kind(&["a"]))?;
    }
    if !site.configure(1, &[PREFIX]) {
        return Ok(Verdict::NotRun("the entries did not become ready".into()));
    }
    let id = "5c0e7a21d94b36f8";
    let first = site.entries[0].callers;
    let body = job_body(4, "cpu=500 ms=900", &[900], "");
    let (submitted, copy) = (record.clone(), body.clone());
    let wait = Duration::from_millis(1_500);
    let client = thread::spawn(move || {
        noted_call(&submitted, ("front-0", first), "POST", id, wait, &body)
    });
    thread::sleep(Duration::from_millis(400));
    let answer = noted_call(record, ("front-0", first), "DELETE", id, wait, "");
    let cancelled_ms = record.now_ms();
    if !matches!(answer, Ok((200..300, _))) {
        return Ok(Verdict::NotRun(format!("the cancel had no 2xx: {answer:?}")));
    }
    let answer = client.join().unwrap_or(Err(NoResponse::Broken));
    if !matches!(answer, Ok((200..300, _))) {
        return Ok(Verdict::NotRun(format!("the submission had no 2xx: {answer:?}")));
    }
    thread::sleep(Duration::from_millis(3_800));
    if has_trouble {
        record.note("a copy of the submission arrives");
        let _ = noted_call(record, ("front-0", first), "POST", id, wait, &copy);
    }
    thread::sleep(Duration::from_secs(1));
    Ok(cancel_verdict(record, id, cancelled_ms))
}

/// A minion crashes and comes back as another kind while what its sidecar sends is lost for 0.34 s.
fn other_kind(mut site: Site, record: &Record, has_trouble: bool) -> Result<Verdict> {
    // Records of the sidecar name the proxy, so that its datagrams pass there.
    let sidecar = SocketAddr::new(site.side_ip(0), site.inner_port);
    let listen = SocketAddr::new(site.side_ip(0), free_port(site.side_ip(0)));
    let proxy = DatagramProxy::start(listen, sidecar)?;
    site.store.rewrite(&sidecar.to_string(), &proxy.address.to_string());
    site.add_entry()?;
    site.add_side(kind(&["k1", "r1"]))?;
    site.add_side(kind(&["k2", "r1"]))?;
    site.add_side(kind(&["k2", "r2"]))?;
    if !site.configure(1, &[PREFIX]) {
        return Ok(Verdict::NotRun("the entries did not become ready".into()));
    }
    let entry = site.entries[0].callers;
    // A client every 12 ms, each with a job of one task that requires the label.
    let clients: Vec<_> = (0..250_u64)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(12 * client));
                let id = format!("{:016x}", 0xa100_0000_0000_0000 + client);
                let body = job_body(1, "cpu=500 ms=40 needs=k1", &[40], "k1");
                let wait = Duration::from_millis(1_500);
                let _ = noted_call(&record, ("front-0", entry), "POST", &id, wait, &body);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    let (app, control) = (site.sides[0].app, site.sides[0].control);
    if has_trouble {
        proxy.faults.drops_sent.store(true, Ordering::SeqCst);
        record.note("what side-0 sends is lost");
        if let Some(minion) = site.sides[0].minion.take() {
            minion.crash();
        }
        thread::sleep(Duration::from_millis(120));
        // The new life has another kind.
        let minion = Minion::start("i-0-2", kind(&["k2", "r1"]), app, control, record)?;
        site.sides[0].minion = Some(minion);
        thread::sleep(Duration::from_millis(220));
        proxy.faults.drops_sent.store(false, Ordering::SeqCst);
        record.note("what side-0 sends arrives again");
    }
    for client in clients {
        let _ = client.join();
    }
    let runs = record.runs();
    let wrong: Vec<_> = runs
        .iter()
        .filter(|run| run.spec.contains("needs=k1") && !run.labels.contains(&"k1".to_owned()))
        .collect();
    let right = runs.len() - wrong.len();
    for run in &wrong {
        record.note(&format!("ROUTE: {} requires k1, {} is {:?}", run.task, run.minion, run.labels));
    }
    Ok(match (right, wrong.len()) {
        (0, _) => Verdict::NotRun(format!("no task ran on a minion of {SERVICE} with the label")),
        (_, 0) => Verdict::Held("all tasks ran on minions with the label".into()),
        (_, count) => Verdict::Broken(format!("ROUTE: {count} tasks on a minion without the label")),
    })
}

/// The share of packets that the links of sidecars lose, in millionths, and for how long at a time.
const LOST_PACKETS_PPM: u32 = 37_000;
const LOSSY_FOR: Duration = Duration::from_millis(6_700);

/// Links of sidecars lose packets for 6.7 s at a time, while long jobs are given up and sent again.
fn lossy_links(mut site: Site, record: &Record, has_trouble: bool) -> Result<Verdict> {
    let mut proxies = Vec::new();
    for index in 0..4 {
        let ip = site.side_ip(index);
        let sidecar = SocketAddr::new(ip, site.inner_port);
        let proxy = DatagramProxy::start(SocketAddr::new(ip, free_port(ip)), sidecar)?;
        site.store.rewrite(&sidecar.to_string(), &proxy.address.to_string());
        proxies.push(proxy);
    }
    for _ in 0..2 {
        site.add_entry()?;
    }
    for _ in 0..4 {
        site.add_side(kind(&["a"]))?;
    }
    if !site.configure(1, &[PREFIX]) {
        return Ok(Verdict::NotRun("the entries did not become ready".into()));
    }
    let entries = [site.entries[0].callers, site.entries[1].callers];
    let until = Instant::now() + Duration::from_secs(85);
    let wait = Duration::from_millis(1_500);
    let text = "x".repeat(3_900);
    let mut clients = Vec::new();
    // Short jobs with long texts, whose answers are of no interest.
    for client in 0..70_u64 {
        let text = text.clone();
        clients.push(thread::spawn(move || {
            let spec = format!("cpu=50 ms=30 text={text}");
            let body = job_body(2, &spec, &[30], "");
            let mut number = 0_u64;
            while Instant::now() < until {
                number += 1;
                let path = format!("{PREFIX}{:08x}{number:08x}", 0xf00 + client);
                let address = entries[(client % 2) as usize];
                let _ = http::call(address, "POST", &path, HOST, wait, &body);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    // Jobs that take longer than their clients wait.
    for client in 0..24_u64 {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let body = job_body(4, "cpu=50 ms=3400", &[1_200], "");
            let mut number = 0_u64;
            while Instant::now() < until {
                number += 1;
                let id = format!("{:08x}{number:08x}", 0x7d00_0000 + client);
                for attempt in 0..2 {
                    let place = ((client + attempt) % 2) as usize;
                    let name = format!("front-{place}");
                    let to = (name.as_str(), entries[place]);
                    let answer = noted_call(&record, to, "POST", &id, wait, &body);
                    if matches!(answer, Ok((status, _)) if status != 502 && status != 504) {
                        break;
                    }
                    thread::sleep(RETRANSMIT);
                }
            }
        }));
    }
    while Instant::now() + LOSSY_FOR < until {
        let lost_ppm = if has_trouble { LOST_PACKETS_PPM } else { 0 };
        for lost in [lost_ppm, 0] {
            for proxy in &proxies {
                proxy.faults.lost_packets_ppm.store(lost, Ordering::SeqCst);
            }
            record.note(&format!("the links of the sidecars lose {lost} of 1,000,000 packets"));
            thread::sleep(if lost > 0 { LOSSY_FOR } else { Duration::from_secs(3) });
        }
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    Ok(twice_verdict(record))
}

/// A minion leaves its orders unanswered and crashes, its sidecar stands still, and the next life of
/// the minion, under the same id, carries the orders out.
fn next_life(mut site: Site, record: &Record, has_trouble: bool) -> Result<Verdict> {
    site.add_entry()?;
    for _ in 0..3 {
        site.add_side(kind(&["a"]))?;
    }
    if !site.configure(1, &[PREFIX]) {
        return Ok(Verdict::NotRun("the entries did not become ready".into()));
    }
    let entry = site.entries[0].callers;
    let wait = Duration::from_secs(5);
    if has_trouble {
        if let Some(minion) = &site.sides[0].minion {
            minion.keep_starts();
        }
    }
    let clients: Vec<_> = (0..4_u64)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("{:016x}", 0x7d00_0000_0000_0000 + client);
                let body = job_body(6, "cpu=500 ms=2500", &[2_500], "");
                let _ = noted_call(&record, ("front-0", entry), "POST", &id, wait, &body);
            })
        })
        .collect();
    if has_trouble {
        thread::sleep(Duration::from_millis(50));
        site.sides[0].process.signal(SIGSTOP);
        record.note("side-0 stands still");
        let kept = site.sides[0].minion.take().map(|minion| {
            let kept = minion.kept();
            minion.crash();
            kept
        });
        thread::sleep(Duration::from_millis(1_900));
        let (app, control) = (site.sides[0].app, site.sides[0].control);
        let minion = Minion::start("i-0-1", kind(&["a"]), app, control, record)?;
        thread::sleep(Duration::from_millis(100));
        minion.carry_out(&kept.unwrap_or_default());
        site.sides[0].minion = Some(minion);
        thread::sleep(Duration::from_millis(1_200));
        site.sides[0].process.signal(SIGCONT);
        record.note("side-0 is awake");
    }
    for client in clients {
        let _ = client.join();
    }
    Ok(twice_verdict(record))
}
