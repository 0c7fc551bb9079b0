//! Client of the platform log: error mapping and paging.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;
use knapweedrill_daemon::platform_log::{
    AppendError, HttpLog, LogEntry, LogPage, PlatformLog, TailEvent, tail,
};
use test_case::test_case;

/// Starts a server that responds to one request with `status`.
fn serve_once(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request);
        let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    });
    address
}

fn is_not_appended(status: &'static str) -> bool {
    let result = HttpLog::new(serve_once(status)).append("record");
    match result.expect_err("the status is an error") {
        AppendError::NotAppended(_) => true,
        AppendError::Unknown(_) => false,
    }
}

#[test_case("400 Bad Request")]
#[test_case("413 Content Too Large")]
#[test_case("503 Service Unavailable")]
fn rejected_record_is_not_appended(status: &'static str) {
    assert!(is_not_appended(status));
}

#[test_case("408 Request Timeout")]
#[test_case("500 Internal Server Error")]
#[test_case("502 Bad Gateway")]
#[test_case("504 Gateway Timeout")]
fn failure_during_an_append_has_an_unknown_result(status: &'static str) {
    assert!(!is_not_appended(status));
}

/// A log that reports the end of each page as its next offset.
struct PagedLog {
    record_count: u64,
}

const PAGE_RECORD_COUNT: u64 = 10;

impl PlatformLog for PagedLog {
    fn append(&self, _: &str) -> Result<u64, AppendError> {
        Err(AppendError::NotAppended("read only".to_owned()))
    }

    fn read(&self, from: u64) -> eyre::Result<LogPage> {
        let end = (from + PAGE_RECORD_COUNT).min(self.record_count);
        let records = (from..end).map(|offset| LogEntry {
            offset,
            body: String::new(),
        });
        Ok(LogPage {
            first_offset: 0,
            next_offset: end,
            records: records.collect(),
        })
    }
}

#[test]
fn many_pages_are_read_without_pauses() {
    let (sender, pages) = channel::unbounded();
    let is_stopped = Arc::new(AtomicBool::new(false));
    let log = Arc::new(PagedLog { record_count: 500 });
    tail(log, Arc::clone(&is_stopped), move |event| {
        let _ = sender.send(event);
    })
    .expect("a thread starts");
    let started_at = Instant::now();
    let mut read_to = 0;
    while read_to < 500 {
        match pages.recv_timeout(Duration::from_secs(1)) {
            Ok(TailEvent::Page(page)) => read_to = page.next_offset,
            other => panic!("read to {read_to}: {other:?}"),
        }
    }
    // Fifty pages with a pause after each would take 12 s.
    assert!(started_at.elapsed() < Duration::from_secs(3));
    let at_end = pages.recv_timeout(Duration::from_secs(1));
    assert!(matches!(at_end, Ok(TailEvent::Page(page)) if page.is_at_end()));
    is_stopped.store(true, Ordering::Release);
}
