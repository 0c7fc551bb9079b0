//! The log appender limits the rate of lines and doesn't block on a stalled stream.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill_daemon::telemetry::NonBlockingAppender;
use logforth::Append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};

/// Stream that keeps what is written to it.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("the writer thread has not panicked")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Stream on which every write blocks forever.
struct BlockedStream;

impl Write for BlockedStream {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        loop {
            thread::park();
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn append(appender: &impl Append, level: Level, text: &str) {
    let result = appender.append(
        &Record::builder()
            .level(level)
            .payload(format_args!("{text}"))
            .build(),
        &[],
    );
    result.expect("lines are queued or dropped, never refused");
}

#[test]
fn info_lines_beyond_the_rate_limit_are_dropped_and_reported_but_warnings_are_kept() {
    let stream = SharedBuffer::default();
    let appender = NonBlockingAppender::start(JsonLayout::default(), stream.clone())
        .expect("the writer thread starts");
    for _ in 0..2_000 {
        append(&appender, Level::Info, "success");
    }
    append(&appender, Level::Warn, "failure");
    thread::sleep(Duration::from_millis(1_300));
    let text = String::from_utf8(
        stream
            .0
            .lock()
            .expect("the writer thread has not panicked")
            .clone(),
    )
    .expect("the lines are UTF-8");
    let successes = text.matches("\"success\"").count();
    assert!((1..=1_000).contains(&successes), "{successes} lines");
    assert_eq!(text.matches("\"failure\"").count(), 1);
    assert!(text.contains("log lines left out"), "{text}");
    assert!(
        text.lines()
            .all(|line| line.starts_with('{') && line.ends_with('}'))
    );
}

#[test]
fn blocked_stream_does_not_block_the_logging_thread() {
    let appender = NonBlockingAppender::start(JsonLayout::default(), BlockedStream)
        .expect("the writer thread starts");
    let started_at = Instant::now();
    for _ in 0..20_000 {
        append(&appender, Level::Warn, "failure");
    }
    assert!(started_at.elapsed() < Duration::from_secs(5));
}
