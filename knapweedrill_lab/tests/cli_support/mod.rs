//! Runs the command-line tool against a cluster.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use knapweedrill_lab::harness::{
    Cluster, ClusterBuilder, MinionSpec, ScratchDirectory, find_binary,
};
use knapweedrill_lab::stand_in::minion::TaskPayload;

/// A cluster and the tool that calls its entries.
pub(crate) struct Tool {
    pub(crate) cluster: Cluster,
    directory: ScratchDirectory,
}

/// How a run of the tool ended.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) status: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Tool {
    /// Starts a cluster of two entries and two minions.
    pub(crate) fn start() -> Self {
        let cluster = ClusterBuilder::new()
            .entries(2)
            .minions(2, &MinionSpec::new())
            .start()
            .expect("the cluster starts");
        Self {
            cluster,
            directory: ScratchDirectory::create().expect("a temporary directory is made"),
        }
    }

    /// Runs the tool with all entries known to it.
    pub(crate) fn run(&self, arguments: &[&str]) -> Run {
        let entries: Vec<String> = self
            .cluster
            .entries()
            .iter()
            .map(|entry| entry.api().address().to_string())
            .collect();
        let entries = entries.join(",");
        run(&[&["--entry", entries.as_str()], arguments].concat())
    }

    /// Writes a file for the tool to read.
    pub(crate) fn file(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.directory.path().join(name);
        fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    }
}

impl Run {
    /// Returns the value of an option that `submit` prints for later commands.
    pub(crate) fn submit_option(&self, option: &str) -> String {
        let mut words = self.stderr.split_whitespace();
        words
            .find(|word| *word == option)
            .unwrap_or_else(|| panic!("no {option} in {self:?}"));
        words.next().expect("the option has a value").to_owned()
    }

    /// Returns stdout as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Expects that exit status.
    pub(crate) fn expect(self, status: i32) -> Self {
        assert_eq!(self.status, status, "{self:?}");
        self
    }
}

/// Runs the tool.
pub(crate) fn run(arguments: &[&str]) -> Run {
    let program = find_binary("knapweedrill-lab").expect("cargo builds it for the tests");
    let output: Output = Command::new(program)
        .arg("cli")
        .args(arguments)
        .output()
        .expect("the tool starts");
    Run {
        status: output.status.code().expect("the tool exits by itself"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the payload of a task that runs for so many milliseconds.
pub(crate) fn payload(run_ms: u64, echo: &str) -> String {
    TaskPayload::new(Duration::from_millis(run_ms), echo).to_json()
}
