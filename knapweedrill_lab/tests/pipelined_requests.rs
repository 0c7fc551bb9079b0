//! Callers that send requests on one connection without waiting for the responses in between, at
//! real entry and sidecar processes.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill_lab::harness::{HOST, PlatformSite, wait_until};
use serde_json::json;
use socket2::SockRef;
use test_case::test_case;

/// The time after which a caller submits its job again, as in the settings of the site.
const RESUBMISSION_DELAY: Duration = Duration::from_millis(1_300);

/// How long a run may outlive the connection of its caller in these tests.
const STOP_TIME_MAX: Duration = Duration::from_millis(650);

/// The padding of a request that does not fit into the read buffer of an entry.
const PADDING_BYTES: usize = 60_000;

/// How a caller ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The connection is reset.
    Reset,
    /// The connection is closed.
    Close,
    /// The direction to the entry is closed; the caller no longer sends, but would still read.
    HalfClose,
}

/// Starts a site whose entries are ready.
fn start_site(entries: u8, minions: u8) -> PlatformSite {
    let site = PlatformSite::start(entries, minions).expect("the site starts");
    site.configure(3).expect("the entries become ready");
    site
}

/// Returns the text of a submission of one task.
fn submission(number: u64, run_ms: u64, padding_bytes: usize) -> String {
    let body = json!({
        "Padding": "x".repeat(padding_bytes),
        "Spec": json!({"run_ms": run_ms, "cpu": 100, "memory": 1}).to_string(),
        "BestEffort": true,
        "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": run_ms}],
    })
    .to_string();
    format!(
        "POST /normal/{number:016x} HTTP/1.1\r\nHost: {HOST}\r\nX-Knapweedrill-Deadline-Ms: 3000\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the text of a request without a body.
fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n")
}

/// Opens a connection to the first entry and sends bytes on it.
fn send(site: &PlatformSite, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.callers_address(0)).expect("the entry listens");
    stream.set_nodelay(true).expect("the option can be set");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("the timeout can be set");
    stream
        .write_all(text.as_bytes())
        .expect("the requests are sent");
    stream
}

fn wait_running(site: &PlatformSite, count: usize) {
    wait_until("running tasks", Duration::from_secs(2), || {
        let running = site.minions.iter().map(|minion| minion.running().len());
        running.sum::<usize>() >= count
    })
    .expect("the tasks are started");
}

/// Reads a response and returns its status and body.
fn read_response(reader: &mut impl BufRead) -> (u16, String) {
    let mut read_line = || {
        let mut line = String::new();
        reader.read_line(&mut line).expect("the entry responds");
        line.trim_end().to_owned()
    };
    let status_line = read_line();
    let status = status_line.split(' ').nth(1).expect("a status line");
    let status = status.parse().expect("a numeric status");
    let mut body_bytes = 0;
    loop {
        let line = read_line();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            body_bytes = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; body_bytes];
    reader
        .read_exact(&mut body)
        .expect("the response is complete");
    (status, String::from_utf8(body).expect("a body of text"))
}

/// Guards against a run that goes on because its entry does not read a connection with another
/// request in its buffer, while the caller submits the job to another entry.
#[test_case(End::Reset, 0)]
#[test_case(End::Close, 0)]
#[test_case(End::HalfClose, 0)]
#[test_case(End::Reset, PADDING_BYTES; "reset behind unread data")]
#[test_case(End::Close, PADDING_BYTES; "closed behind unread data")]
fn run_ends_with_the_connection_of_its_caller(end: End, second_padding_bytes: usize) {
    let site = start_site(2, 2);
    let job = submission(1, 2_500, 0);
    let mut stream = send(&site, &job);
    wait_running(&site, 1);
    let second = submission(2, 2_500, second_padding_bytes);
    stream
        .write_all(second.as_bytes())
        .expect("the second request is sent");
    thread::sleep(Duration::from_millis(50));
    let ended_at = Instant::now();
    let socket = SockRef::from(&stream);
    let kept = match end {
        End::Reset => {
            socket
                .set_linger(Some(Duration::ZERO))
                .expect("the option can be set");
            drop(stream);
            None
        }
        End::Close => {
            drop(stream);
            None
        }
        End::HalfClose => {
            stream
                .shutdown(Shutdown::Write)
                .expect("the connection is open");
            Some(stream)
        }
    };
    wait_until("the end of the run", STOP_TIME_MAX, || {
        site.minions
            .iter()
            .all(|minion| minion.running().is_empty())
    })
    .expect("the run is stopped");
    thread::sleep(RESUBMISSION_DELAY.saturating_sub(ended_at.elapsed()));
    let response = site
        .submit(1, &format!("/normal/{:016x}", 1), 1, 20)
        .expect("the entry responds");
    assert_eq!(response.status, 200);
    assert_eq!(site.overlapping_runs(), Vec::<String>::new());
    let jobs: Vec<_> = site
        .minions
        .iter()
        .flat_map(|minion| minion.runs())
        .collect();
    assert!(
        jobs.iter().all(|(task, ..)| task.job.0 == 1),
        "the second job is not started for a caller that has left: {jobs:?}"
    );
    drop(kept);
}

/// Guards against responses that are lost, incomplete or out of order because a request behind them
/// is in the buffer of the entry.
#[test]
fn responses_on_an_open_connection_are_complete_and_in_order() {
    let site = start_site(1, 2);
    let requests = [
        submission(1, 400, 0),
        get("/normal/"),
        submission(2, 10, PADDING_BYTES),
        get("/unknown/"),
        get("/normal/00000000000000ff"),
        submission(3, 200, 0),
        get("/normal/"),
    ];
    let stream = send(&site, &requests.concat());
    let mut reader = BufReader::new(stream);
    let responses: Vec<_> = requests
        .iter()
        .map(|_| read_response(&mut reader))
        .collect();
    let completed = || (200, "{\"State\":\"completed\"}".to_owned());
    let empty_queue = || (200, "{\"Waiting\":0}".to_owned());
    let expected = [
        completed(),
        empty_queue(),
        completed(),
        (404, String::new()),
        (410, String::new()),
        completed(),
        empty_queue(),
    ];
    assert_eq!(responses, expected);
}

/// Guards against a busy loop of the entry on connections whose next request it has not read.
#[test]
fn waiting_connections_with_unread_requests_take_little_processor_time() {
    let site = start_site(1, 2);
    let text = submission(1, 2_500, 0) + &submission(2, 10, PADDING_BYTES);
    let streams: Vec<_> = (0..20)
        .map(|number| {
            let text = text.replacen("/normal/", &format!("/normal/{number:03x}"), 1);
            let text = text.replacen("000000000000001 ", "000000000001 ", 1);
            send(&site, &text)
        })
        .collect();
    wait_running(&site, streams.len());
    let id = site.entry_id(0).expect("the process was started");
    let before = processor_ticks(id);
    thread::sleep(Duration::from_secs(1));
    let ticks = processor_ticks(id) - before;
    assert!(
        ticks < 30,
        "the entry took {ticks} ticks of 10 ms in a second"
    );
}

/// Returns the processor time of a process, in clock ticks.
fn processor_ticks(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    let fields = text.rsplit(')').next().expect("the name is in parentheses");
    // Fields 14 and 15 of the line; the first after the name is field 3.
    let fields = fields.split_whitespace().skip(11).take(2);
    fields
        .map(|field| field.parse::<u64>().expect("a number"))
        .sum()
}
