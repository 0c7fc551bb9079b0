//! What was sent, answered and run, with times since the start of the script.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run of a task on a minion.
#[derive(Debug, Clone)]
pub struct RunLog {
    pub minion: String,
    pub labels: Vec<String>,
    pub task: String,
    pub run: u64,
    pub spec: String,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    pub how: &'static str,
}

#[derive(Default)]
struct Log {
    notes: Vec<(u64, String)>,
    runs: Vec<RunLog>,
}

/// The record of a script; clones share it.
#[derive(Clone)]
pub struct Record {
    since: Instant,
    log: Arc<Mutex<Log>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            since: Instant::now(),
            log: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    /// Notes an event.
    pub fn note(&self, text: &str) {
        let at = self.now_ms();
        self.log.lock().unwrap().notes.push((at, text.to_owned()));
    }

    /// Notes the start of a run and returns its index.
    pub fn start_run(
        &self,
        minion: &str,
        labels: &[String],
        task: &str,
        run: u64,
        spec: &str,
    ) -> usize {
        let start_ms = self.now_ms();
        let mut log = self.log.lock().unwrap();
        log.runs.push(RunLog {
            minion: minion.to_owned(),
            labels: labels.to_vec(),
            task: task.to_owned(),
            run,
            spec: spec.to_owned(),
            start_ms,
            end_ms: None,
            how: "running",
        });
        log.runs.len() - 1
    }

    /// Notes the end of a run.
    pub fn end_run(&self, index: usize, how: &'static str) {
        let end_ms = self.now_ms();
        let mut log = self.log.lock().unwrap();
        log.runs[index].end_ms = Some(end_ms);
        log.runs[index].how = how;
    }

    pub fn runs(&self) -> Vec<RunLog> {
        self.log.lock().unwrap().runs.clone()
    }

    /// Returns the pairs of runs of one task that were at work at the same time.
    pub fn overlaps(&self) -> Vec<(RunLog, RunLog)> {
        let mut by_task: HashMap<String, Vec<RunLog>> = HashMap::new();
        for run in self.runs() {
            by_task.entry(run.task.clone()).or_default().push(run);
        }
        let is_at_work = |a: &RunLog, b: &RunLog| a.end_ms.is_none_or(|end| end > b.start_ms);
        let mut found = Vec::new();
        for runs in by_task.values() {
            for (index, first) in runs.iter().enumerate() {
                for second in &runs[index + 1..] {
                    if is_at_work(first, second) && is_at_work(second, first) {
                        found.push((first.clone(), second.clone()));
                    }
                }
            }
        }
        found
    }

    /// Writes everything in the order of time.
    pub fn write(&self, file: &Path, verdict: &str) -> std::io::Result<()> {
        let log = self.log.lock().unwrap();
        let mut lines = log.notes.clone();
        // Runs of background load, whose names begin with zeros, are left out.
        for run in log.runs.iter().filter(|run| !run.task.starts_with("0000")) {
            let (name, minion) = (format!("{} run {}", run.task, run.run), &run.minion);
            let spec: String = run.spec.chars().take(60).collect();
            let what = format!("run began: {name} on {minion} {:?}, Spec {spec}", run.labels);
            lines.push((run.start_ms, what));
            if let Some(end_ms) = run.end_ms {
                lines.push((end_ms, format!("run ended: {name} on {minion}: {}", run.how)));
            }
        }
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:>8.3} s  {line}", at as f64 / 1_000.0);
        }
        let _ = writeln!(text, "{verdict}");
        std::fs::write(file, text)
    }
}
