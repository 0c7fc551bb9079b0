//! Fixture that runs the CLI against a cluster.
#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use knapweedrill_lab::harness::{
    Cluster, ClusterBuilder, MinionSpec, ScratchDirectory, find_binary,
};
use knapweedrill_lab::stand_in::minion::TaskPayload;

/// A cluster, and a directory for files that the CLI reads.
pub(crate) struct CliFixture {
    pub(crate) cluster: Cluster,
    directory: ScratchDirectory,
}

/// The exit status and the output of a run of the CLI.
#[derive(Debug)]
pub(crate) struct CliOutput {
    pub(crate) status: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl CliFixture {
    /// Starts a cluster of two entries and two minions.
    pub(crate) fn start() -> Self {
        let cluster = ClusterBuilder::new()
            .entries(2)
            .minions(2, &MinionSpec::new())
            .start()
            .expect("the cluster starts");
        Self {
            cluster,
            directory: ScratchDirectory::create().expect("the temporary directory is created"),
        }
    }

    /// Runs the CLI with the addresses of all entries.
    pub(crate) fn run(&self, arguments: &[&str]) -> CliOutput {
        let entries: Vec<String> = self
            .cluster
            .entries()
            .iter()
            .map(|entry| entry.api().address().to_string())
            .collect();
        let entries = entries.join(",");
        run_cli(&[&["--entry", entries.as_str()], arguments].concat())
    }

    /// Writes a file for the CLI to read and returns its path.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.directory.path().join(name);
        fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    }
}

impl CliOutput {
    /// Returns the value of an option that `submit` prints on stderr for later commands.
    ///
    /// # Panics
    ///
    /// Panics if the output lacks the option.
    pub(crate) fn submit_option(&self, option: &str) -> String {
        let mut words = self.stderr.split_whitespace();
        words
            .find(|word| *word == option)
            .unwrap_or_else(|| panic!("no {option} in {self:?}"));
        words.next().expect("the option has a value").to_owned()
    }

    /// Parses stdout as JSON.
    ///
    /// # Panics
    ///
    /// Panics if stdout is not valid JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Asserts that the exit status is `status`.
    pub(crate) fn expect_status(self, status: i32) -> Self {
        assert_eq!(self.status, status, "{self:?}");
        self
    }
}

/// Runs the CLI to its end.
pub(crate) fn run_cli(arguments: &[&str]) -> CliOutput {
    let program = find_binary("knapweedrill-lab").expect("cargo builds the binary for the tests");
    let output: Output = Command::new(program)
        .arg("cli")
        .args(arguments)
        .output()
        .expect("the CLI starts");
    CliOutput {
        status: output
            .status
            .code()
            .expect("the CLI is not killed by a signal"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the payload of a task that runs for `run_ms` milliseconds and returns `echo`.
pub(crate) fn payload(run_ms: u64, echo: &str) -> String {
    TaskPayload::new(Duration::from_millis(run_ms), echo).to_json()
}
