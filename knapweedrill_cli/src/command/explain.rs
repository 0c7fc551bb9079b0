//! Prints the log lines of a job, merged from the logs of all processes.

use std::io::{BufRead, Write};

use eyre::{Result, WrapErr};
use serde_json::Value;

/// A parsed log line of the job.
#[derive(Debug, Clone, PartialEq)]
struct LogLine {
    /// The process that wrote the line, or empty if the line has no prefix that names it.
    process: String,
    /// The timestamp in RFC 3339 format, whose lexical order is the order in time.
    timestamp: String,
    level: String,
    message: String,
    fields: Vec<(String, String)>,
}

/// The log messages of a job in causal order, which decides the order of lines of different
/// processes whose timestamps differ by at most [`CLOCK_SKEW_MAX_MS`].
const STAGE_MESSAGES: [&str; 9] = [
    "admitted",
    "task placed",
    "start refused",
    "task turned down",
    "start without an answer",
    "run started",
    "run stands still, it is stopped",
    "run ended without success",
    "task ended",
];

/// The largest clock skew that is corrected, in milliseconds; clocks of machines differ by
/// milliseconds.
const CLOCK_SKEW_MAX_MS: i64 = 5;

/// Reads the logs of all processes, writes the lines of `job` sorted by timestamp and corrected for
/// clock skew, and returns their count.
///
/// A log line is a JSON object, optionally after a prefix whose last word is the name of the
/// process. Lines that are not in this format are skipped.
///
/// # Errors
///
/// Returns an error if the logs cannot be read or the output cannot be written.
pub fn explain(job: &str, logs: impl BufRead, mut out: impl Write) -> Result<usize> {
    let mut lines = Vec::new();
    for line in logs.lines() {
        let line = line.wrap_err("failed to read the logs")?;
        // Most lines belong to other jobs and need no parsing.
        if line.contains(job) {
            lines.extend(parse_line(&line, job));
        }
    }
    lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    correct_clock_skew(&mut lines);
    for line in &lines {
        let fields: Vec<_> = line
            .fields
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        writeln!(
            out,
            "{} {:<18} {:<5} {}  {}",
            line.timestamp,
            line.process,
            line.level,
            line.message,
            fields.join(" ")
        )?;
    }
    Ok(lines.len())
}

fn parse_line(line: &str, job: &str) -> Option<LogLine> {
    let json_start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[json_start..]).ok()?;
    let fields = value.get("kvs")?.as_object()?;
    if fields.get("job").map(text).as_deref() != Some(job) {
        return None;
    }
    let field = |name: &str| value.get(name).map(text).unwrap_or_default();
    let process = line[..json_start]
        .split_whitespace()
        .last()
        .unwrap_or_default();
    let other_fields = fields.iter().filter(|(key, _)| *key != "job");
    Some(LogLine {
        process: process.to_owned(),
        timestamp: field("timestamp"),
        level: field("level"),
        message: field("message"),
        fields: other_fields
            .map(|(key, value)| (key.clone(), text(value)))
            .collect(),
    })
}

fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Moves lines of different processes whose timestamps are within the clock skew into causal
/// order.
fn correct_clock_skew(lines: &mut [LogLine]) {
    for end in 1..lines.len() {
        let mut position = end;
        while position > 0 && is_out_of_order(&lines[position - 1], &lines[position]) {
            lines.swap(position - 1, position);
            position -= 1;
        }
    }
}

fn is_out_of_order(first: &LogLine, second: &LogLine) -> bool {
    let is_within_skew = match (
        millis_of_day(&first.timestamp),
        millis_of_day(&second.timestamp),
    ) {
        (Some(first), Some(second)) => second - first <= CLOCK_SKEW_MAX_MS,
        _ => false,
    };
    first.process != second.process && is_within_skew && stage(first) > stage(second)
}

fn stage(line: &LogLine) -> usize {
    let position = STAGE_MESSAGES
        .iter()
        .position(|message| *message == line.message);
    position.unwrap_or(STAGE_MESSAGES.len())
}

/// Returns the time of day, in milliseconds, of a timestamp such as
/// `2026-12-04T08:59:16.921385+00:00`.
fn millis_of_day(timestamp: &str) -> Option<i64> {
    let (_, time) = timestamp.split_once('T')?;
    let number = |range: std::ops::Range<usize>| time.get(range)?.parse::<i64>().ok();
    let seconds = number(0..2)? * 3_600 + number(3..5)? * 60 + number(6..8)?;
    Some(seconds * 1_000 + number(9..12)?)
}
