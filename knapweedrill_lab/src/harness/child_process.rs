//! A process that the harness started.

use std::ffi::OsStr;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

use super::wait_until;

/// How long a signal may take to have its effect.
const SIGNAL_TIMEOUT: Duration = Duration::from_secs(10);

/// A process that the harness started; it is killed when this is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    exit_status: Option<ExitStatus>,
    stderr_path: PathBuf,
}

impl ChildProcess {
    /// Starts `program`, with its stderr going to a file in `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start(
        name: impl Into<String>,
        program: &Path,
        arguments: impl IntoIterator<Item = String>,
        directory: &Path,
    ) -> Result<Self> {
        let mut command = Command::new(program);
        command.args(arguments).stdout(Stdio::null());
        Self::spawn(name.into(), command, directory)
    }

    /// Starts `program` with a variable in its environment, with its stdout and stderr going to
    /// files in `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_with_output(
        name: impl Into<String>,
        program: &Path,
        arguments: impl IntoIterator<Item = String>,
        directory: &Path,
        (variable, value): (&str, &OsStr),
    ) -> Result<Self> {
        let name = name.into();
        let stdout = open_output(&directory.join(format!("{name}.stdout")))?;
        let mut command = Command::new(program);
        command.args(arguments).env(variable, value).stdout(stdout);
        Self::spawn(name, command, directory)
    }

    fn spawn(name: String, mut command: Command, directory: &Path) -> Result<Self> {
        let stderr_path = directory.join(format!("{name}.stderr"));
        let child = command
            .stdin(Stdio::null())
            .stderr(open_output(&stderr_path)?)
            .spawn()
            .wrap_err_with(|| format!("can't start {}", command.get_program().display()))?;
        Ok(Self {
            name,
            child,
            exit_status: None,
            stderr_path,
        })
    }

    /// Returns the name it was given.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what it wrote to stderr so far.
    pub fn stderr(&self) -> String {
        fs::read(&self.stderr_path)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }

    /// Returns whether it has not exited; a frozen process runs.
    pub fn is_running(&mut self) -> bool {
        self.poll_exit().is_none()
    }

    /// Kills it at once and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not end.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)?;
        self.wait_exit(SIGNAL_TIMEOUT).map(|_| ())
    }

    /// Asks it to stop as planned.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Freezes it, and waits until all its threads stand still.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent or does not take effect.
    pub fn freeze(&mut self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let pid = self.pid()?;
        let what = format!("the freeze of {}", self.name);
        wait_until(&what, SIGNAL_TIMEOUT, || {
            is_stopped(pid) || !self.is_running()
        })
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn thaw(&mut self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not end within `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        wait_until(&what, timeout, || self.poll_exit().is_some())?;
        self.exit_status
            .ok_or_else(|| eyre!("{} has no exit status", self.name))
    }

    fn poll_exit(&mut self) -> Option<ExitStatus> {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait().ok().flatten();
        }
        self.exit_status
    }

    fn pid(&self) -> Result<Pid> {
        let id = i32::try_from(self.child.id()).wrap_err("the process id is out of range")?;
        Pid::from_raw(id).ok_or_else(|| eyre!("{} has no process id", self.name))
    }

    fn signal(&mut self, signal: Signal) -> Result<()> {
        // Once the process is waited for, its id may belong to another.
        if self.poll_exit().is_some() {
            return Ok(());
        }
        kill_process(self.pid()?, signal).wrap_err_with(|| format!("can't signal {}", self.name))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if self.is_running() {
            // The process may end on its own between the two steps.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Opens a file for output; a process that is started again under its name adds to it.
fn open_output(path: &Path) -> Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .wrap_err_with(|| format!("can't write {}", path.display()))
}

/// Returns whether a child stands still, without taking the notice of it away.
fn is_stopped(pid: Pid) -> bool {
    let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
    matches!(waitid(WaitId::Pid(pid), options), Ok(Some(status)) if status.stopped())
}
