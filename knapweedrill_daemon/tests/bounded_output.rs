//! Log lines are bounded in number, and a blocked stream blocks nobody.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill_daemon::telemetry::BoundedOutput;
use logforth::Append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

struct Blocked;

impl Write for Blocked {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        loop {
            thread::park();
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn append(output: &impl Append, level: Level, text: &str) {
    let taken = output.append(
        &Record::builder()
            .level(level)
            .payload(format_args!("{text}"))
            .build(),
        &[],
    );
    taken.expect("lines are taken or left out");
}

#[test]
fn lines_beyond_the_budget_are_left_out_and_counted_but_failures_are_kept() {
    let lines = Lines::default();
    let output = BoundedOutput::start(JsonLayout::default(), lines.clone()).expect("it starts");
    for _ in 0..2_000 {
        append(&output, Level::Info, "success");
    }
    append(&output, Level::Warn, "failure");
    thread::sleep(Duration::from_millis(1_300));
    let text = String::from_utf8(lines.0.lock().expect("no panic").clone()).expect("text");
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
fn a_blocked_stream_blocks_nobody() {
    let output = BoundedOutput::start(JsonLayout::default(), Blocked).expect("it starts");
    let begin = Instant::now();
    for _ in 0..20_000 {
        append(&output, Level::Warn, "failure");
    }
    assert!(begin.elapsed() < Duration::from_secs(5));
}
