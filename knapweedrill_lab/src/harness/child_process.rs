//! Control of a child process.

use std::ffi::OsStr;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

use super::wait_until;

/// How long a process has to react to a signal.
const SIGNAL_TIMEOUT: Duration = Duration::from_secs(10);

/// A child process of the harness; dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    exit_status: Option<ExitStatus>,
    stderr_path: PathBuf,
}

impl ChildProcess {
    /// Starts `program` and redirects its stderr to a file in `directory`.
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

    /// Starts `program` with an additional environment variable and redirects its stdout and stderr
    /// to files in `directory`.
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

    /// Returns the name of the process in error messages and output file names.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the content of the stderr file, or an empty string if it can't be read.
    pub fn stderr(&self) -> String {
        fs::read(&self.stderr_path)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }

    /// Returns whether the process has not exited; true also while it is frozen.
    pub fn is_running(&mut self) -> bool {
        self.poll_exit().is_none()
    }

    /// Sends `SIGKILL` and waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent or the process does not exit within 10 s.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)?;
        self.wait_exit(SIGNAL_TIMEOUT).map(|_| ())
    }

    /// Sends `SIGTERM`, which starts a planned stop, and returns without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends `SIGHUP`, which says that the settings file has changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn reload(&mut self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Sends `SIGSTOP` and waits until all threads of the process are stopped, or it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent or does not take effect.
    pub fn freeze(&mut self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let pid = self.pid()?;
        let what = format!("stop of {} by SIGSTOP", self.name);
        wait_until(&what, SIGNAL_TIMEOUT, || {
            is_stopped(pid) || !self.is_running()
        })
    }

    /// Resumes a frozen process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn thaw(&mut self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for the process to exit and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit within `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let what = format!("exit of {}", self.name);
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
        let id =
            i32::try_from(self.child.id()).wrap_err("the process id does not fit into an i32")?;
        Pid::from_raw(id).ok_or_else(|| eyre!("the process id of {} is 0", self.name))
    }

    fn signal(&mut self, signal: Signal) -> Result<()> {
        // The operating system may reuse the process id once the process has been waited for.
        if self.poll_exit().is_some() {
            return Ok(());
        }
        kill_process(self.pid()?, signal).wrap_err_with(|| format!("can't signal {}", self.name))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if self.is_running() {
            // Both calls may fail if the process exits by itself in the meantime.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Opens an output file for appending, so that a restarted process keeps the earlier output.
fn open_output(path: &Path) -> Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .wrap_err_with(|| format!("can't write {}", path.display()))
}

/// Returns whether a child process is stopped, without consuming its wait status.
fn is_stopped(pid: Pid) -> bool {
    let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
    matches!(waitid(WaitId::Pid(pid), options), Ok(Some(status)) if status.stopped())
}
