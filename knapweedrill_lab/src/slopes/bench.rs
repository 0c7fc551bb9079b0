//! A single real daemon among stand-ins.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;

use super::observation::MetricsAnswer;
use crate::harness::{
    AddressPlan, ChildProcess, DaemonRole, DaemonSettings, EntryApi, HTTP_PORT, LINK_PORT,
    LOG_PORT, MINION_PORT, ScratchDirectory, find_binary, wait_until,
};

/// How long a process has to start, and stand-ins to be known.
const TIMEOUT: Duration = Duration::from_secs(8);

/// The service of the only minions.
pub(super) const SERVICE: &str = "embossing";

/// The slots of a minion.
pub(super) const SLOT_COUNT: u32 = 64;

/// Settings that keep the time line, which is bounded, out of the measured memory.
const NO_EVENTS: &str = "\n[limits]\nevent_count = 0\n";

/// A single real daemon among stand-ins.
#[derive(Debug)]
pub struct Bench {
    // Processes go before the directory that they write to.
    daemon: ChildProcess,
    _others: Vec<ChildProcess>,
    api: EntryApi,
    link_address: SocketAddr,
    _directory: ScratchDirectory,
}

impl Bench {
    /// Starts an entry with a log, and applies a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or the configuration is not accepted.
    pub fn entry(configuration: &str) -> Result<Self> {
        let directory = ScratchDirectory::create()?;
        let plan = AddressPlan::new();
        let log = plan.next_address(LOG_PORT);
        let arguments = ["log", "--listen", &log.to_string()].map(str::to_owned);
        let program = find_binary("knapweedrill-lab")?;
        let log_process = ChildProcess::start("log", &program, arguments, directory.path())?;
        let role = DaemonRole::Entry { log };
        let bench = Self::start("entry", role, plan, directory, vec![log_process])?;
        wait_until("the first configuration", TIMEOUT, || {
            bench.api.expect_configuration(configuration).is_ok()
        })?;
        wait_until("readiness of the entry", TIMEOUT, || bench.api.is_ready())?;
        Ok(bench)
    }

    /// Starts a sidecar with a minion.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn sidecar() -> Result<Self> {
        let directory = ScratchDirectory::create()?;
        let plan = AddressPlan::new();
        let role = DaemonRole::Sidecar {
            service: SERVICE.to_owned(),
        };
        let mut bench = Self::start("sidecar", role, plan, directory, Vec::new())?;
        let arguments = [
            "minion",
            "--listen",
            &plan.next_address(MINION_PORT).to_string(),
            "--sidecar",
            &bench.api.address().to_string(),
            "--service",
            SERVICE,
            "--slots",
            &SLOT_COUNT.to_string(),
        ]
        .map(str::to_owned);
        let program = find_binary("knapweedrill-lab")?;
        let minion = ChildProcess::start("minion", &program, arguments, bench._directory.path())?;
        bench._others.push(minion);
        Ok(bench)
    }

    fn start(
        name: &str,
        role: DaemonRole,
        plan: AddressPlan,
        directory: ScratchDirectory,
        others: Vec<ChildProcess>,
    ) -> Result<Self> {
        let ip = plan.next_ip();
        let http = SocketAddr::from((ip, HTTP_PORT));
        let link_address = SocketAddr::from((ip, LINK_PORT));
        // A process needs a seed; its own address leads to nobody else.
        let settings = DaemonSettings::new(name, role, http, link_address)
            .seeds([link_address])
            .to_ini();
        let path = directory.path().join(format!("{name}.ini"));
        fs::write(&path, settings + NO_EVENTS)?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let program = find_binary("knapweedrilld")?;
        let daemon = ChildProcess::start(name, &program, arguments, directory.path())?;
        let bench = Self {
            daemon,
            _others: others,
            api: EntryApi::new(http),
            link_address,
            _directory: directory,
        };
        wait_until("the daemon", TIMEOUT, || bench.metrics().is_ok())?;
        Ok(bench)
    }

    /// Returns the HTTP interface of the daemon.
    pub fn api(&self) -> EntryApi {
        self.api
    }

    /// Returns the address of the daemon's links.
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Returns the process id of the daemon.
    pub fn process_id(&self) -> u32 {
        self.daemon.id()
    }

    /// Returns the metrics of the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer.
    pub fn metrics(&self) -> Result<MetricsAnswer> {
        self.api.get("/v1/metrics")?.json()
    }

    /// Waits until a metric has reached a value.
    ///
    /// # Errors
    ///
    /// Returns an error if it has not in time.
    pub fn wait_for(&self, metric: &str, value: u64) -> Result<()> {
        let what = format!("{metric} of at least {value}");
        wait_until(&what, TIMEOUT, || {
            self.metrics()
                .is_ok_and(|metrics| metrics.value(metric) >= value)
        })
    }
}

/// Returns a configuration with some teams and kinds of work.
pub(super) fn configuration(team_count: usize, kind_count: usize) -> String {
    let mut text = format!("[service {SERVICE}]\nejected_max_percent = 50\n");
    for kind in 0..kind_count {
        text += &format!(
            "[kind kind-{kind}]\nservice = {SERVICE}\nclass = normal\nidempotent = true\n\
             deadline_ms = 600000\n"
        );
    }
    for team in 0..team_count {
        text += &format!("[team team-{team}]\nshare_percent = 1\ncap_percent = 100\n");
    }
    text + "[limits]\ntasks_per_job = 1000\nqueued_tasks = 1000000\n"
}
