//! The record of a script: what was sent, answered and run, with the time in milliseconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The start or end of a run at a minion.
#[derive(Debug, Clone)]
pub struct RunEvent {
    pub at_ms: u64,
    pub minion: String,
    pub task: String,
    /// How the run ended, or `None` if it has started.
    pub end: Option<&'static str>,
}

#[derive(Clone)]
pub struct Record {
    shared: Arc<Mutex<Contents>>,
    begin: Instant,
}

struct Contents {
    file: File,
    runs: Vec<RunEvent>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let contents = Contents {
            file: File::create(path)?,
            runs: Vec::new(),
        };
        Ok(Self {
            shared: Arc::new(Mutex::new(contents)),
            begin: Instant::now(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let at_ms = self.now_ms();
        let mut contents = self.shared.lock().unwrap();
        let _ = writeln!(contents.file, "{at_ms:>7} ms  {text}");
        println!("{at_ms:>7} ms  {text}");
    }

    pub fn start(&self, minion: &str, task: &str, run: u64) {
        self.run_event(minion, task, run, None);
    }

    pub fn end(&self, minion: &str, task: &str, run: u64, how: &'static str) {
        self.run_event(minion, task, run, Some(how));
    }

    fn run_event(&self, minion: &str, task: &str, run: u64, end: Option<&'static str>) {
        let what = end.map_or("starts".to_owned(), |how| format!("ends {how}"));
        self.note(&format!("{minion}: task {task} run {run} {what}"));
        let event = RunEvent {
            at_ms: self.now_ms(),
            minion: minion.to_owned(),
            task: task.to_owned(),
            end,
        };
        self.shared.lock().unwrap().runs.push(event);
    }

    /// Returns the starts and ends of the runs of a job, by its name in the names of tasks.
    pub fn runs_of(&self, job: &str) -> Vec<RunEvent> {
        let contents = self.shared.lock().unwrap();
        let of_job = |event: &&RunEvent| event.task.split('.').next() == Some(job);
        contents.runs.iter().filter(of_job).cloned().collect()
    }

    /// Returns all starts and ends of runs.
    pub fn runs(&self) -> Vec<RunEvent> {
        self.shared.lock().unwrap().runs.clone()
    }
}
