//! Tells the story of a job from the logs of all processes.

use std::io::{BufRead, Write};

use eyre::{Result, WrapErr};
use serde_json::Value;

/// A line of a log that speaks of the job.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    /// The process that wrote it, if the log names processes.
    process: String,
    /// When, as the process wrote it; such texts sort by time.
    time: String,
    level: String,
    message: String,
    details: Vec<(String, String)>,
}

/// The order in which a job goes through the system. Clocks of machines differ by milliseconds,
/// so lines that are that close are put into this order.
const STAGES: [&str; 9] = [
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

/// How close two lines of different processes are whose order may be that of their clocks.
const CLOCK_DIFFERENCE_MS: i64 = 5;

/// Reads logs and writes what they say of a job, all processes together.
///
/// A line is a JSON object; what stands before it, such as the name of the process, is kept. A
/// line that can't be read is passed over.
///
/// # Errors
///
/// Fails if the logs can't be read or the story can't be written.
pub fn explain(job: &str, logs: impl BufRead, mut out: impl Write) -> Result<usize> {
    let mut lines = Vec::new();
    for line in logs.lines() {
        let line = line.wrap_err("the logs can't be read")?;
        // Most lines speak of other jobs and need not be parsed.
        if line.contains(job) {
            lines.extend(read_line(&line, job));
        }
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    put_close_lines_in_order(&mut lines);
    for line in &lines {
        let details: Vec<_> = line
            .details
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        writeln!(
            out,
            "{} {:<18} {:<5} {}  {}",
            line.time,
            line.process,
            line.level,
            line.message,
            details.join(" ")
        )?;
    }
    Ok(lines.len())
}

fn read_line(line: &str, job: &str) -> Option<Line> {
    let begin = line.find('{')?;
    let value: Value = serde_json::from_str(&line[begin..]).ok()?;
    let details = value.get("kvs")?.as_object()?;
    if details.get("job").map(text).as_deref() != Some(job) {
        return None;
    }
    let field = |name: &str| value.get(name).map(text).unwrap_or_default();
    let process = line[..begin].split_whitespace().last().unwrap_or_default();
    let others = details.iter().filter(|(key, _)| *key != "job");
    Some(Line {
        process: process.to_owned(),
        time: field("timestamp"),
        level: field("level"),
        message: field("message"),
        details: others
            .map(|(key, value)| (key.clone(), text(value)))
            .collect(),
    })
}

fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Puts lines of different processes that are close in time into the order of the stages.
fn put_close_lines_in_order(lines: &mut [Line]) {
    for end in 1..lines.len() {
        let mut position = end;
        while position > 0 && is_wrong_order(&lines[position - 1], &lines[position]) {
            lines.swap(position - 1, position);
            position -= 1;
        }
    }
}

fn is_wrong_order(first: &Line, second: &Line) -> bool {
    let is_close = match (millis_of_day(&first.time), millis_of_day(&second.time)) {
        (Some(first), Some(second)) => second - first <= CLOCK_DIFFERENCE_MS,
        _ => false,
    };
    first.process != second.process && is_close && stage(first) > stage(second)
}

fn stage(line: &Line) -> usize {
    let position = STAGES.iter().position(|stage| *stage == line.message);
    position.unwrap_or(STAGES.len())
}

/// Reads the time of day of a text like `2026-12-04T08:59:16.921385+00:00`.
fn millis_of_day(time: &str) -> Option<i64> {
    let (_, time) = time.split_once('T')?;
    let number = |range: std::ops::Range<usize>| time.get(range)?.parse::<i64>().ok();
    let seconds = number(0..2)? * 3_600 + number(3..5)? * 60 + number(6..8)?;
    Some(seconds * 1_000 + number(9..12)?)
}
