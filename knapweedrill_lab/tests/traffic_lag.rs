//! The lag of the traffic thread of a real entry process, and its gauge.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use knapweedrill_lab::harness::{HOST, PlatformSite, wait_until};
use serde_json::json;

/// The port at which an entry serves its metrics.
const METRICS_PORT: u16 = 9_464;

/// The number of callers that send a request at the same time.
const CALLER_COUNT: usize = 400;

/// The approximate size of these requests.
const REQUEST_BYTES: usize = 60_000;

/// The smallest lag that such a burst causes, well above that of an entry at rest.
const BURST_LAG_MIN_MS: u64 = 20;

/// Returns the value of a level in the metrics of the first entry.
fn level(site: &PlatformSite, name: &str) -> Option<u64> {
    let address = SocketAddr::new(site.entry_ip(0), METRICS_PORT);
    let response = attohttpc::get(format!("http://{address}/metrics")).send();
    let text = response.ok()?.text().ok()?;
    let prefix = format!("knapweedrill_level{{name=\"{name}\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix))?;
    value.parse().ok()
}

/// Returns a large request to a queue that does not exist.
fn large_request() -> Vec<u8> {
    let body = json!({"Padding": vec![1; REQUEST_BYTES / 2]}).to_string();
    let text = format!(
        "POST /unknown/0000000000000001 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    text.into_bytes()
}

/// Guards against a traffic thread that is behind unnoticed, and against a job of a waiting caller
/// that is disturbed by a burst of other requests.
#[test]
fn lag_of_the_traffic_thread_is_measured_while_jobs_run() {
    let site = PlatformSite::start(1, 1).expect("the site starts");
    site.configure(3).expect("the entry becomes ready");
    let request = large_request();
    let (last_byte, most) = request.split_last().expect("the request is not empty");
    let mut streams: Vec<_> = (0..CALLER_COUNT)
        .map(|_| {
            let mut stream =
                TcpStream::connect(site.callers_address(0)).expect("the entry listens");
            stream.write_all(most).expect("the request is sent");
            stream
        })
        .collect();
    thread::scope(|scope| {
        let caller = scope.spawn(|| site.submit(0, "/normal/0000000000000002", 1, 2_500));
        wait_until("a run", Duration::from_secs(2), || {
            !site.minions[0].running().is_empty()
        })
        .expect("the task is started");
        for stream in &mut streams {
            stream
                .write_all(&[*last_byte])
                .expect("the request is sent");
        }
        wait_until("the lag", Duration::from_secs(2), || {
            level(&site, "traffic_lag_ms").is_some_and(|lag_ms| lag_ms >= BURST_LAG_MIN_MS)
        })
        .expect("the gauge shows the lag");
        for stream in &mut streams {
            let mut response = [0; 12];
            stream
                .read_exact(&mut response)
                .expect("the entry responds");
            assert_eq!(&response, b"HTTP/1.1 404");
        }
        let response = caller.join().expect("the thread does not panic");
        assert_eq!(response.expect("the entry responds").status, 200);
    });
    assert_eq!(site.minions[0].runs().len(), 1, "the task runs once");
}
