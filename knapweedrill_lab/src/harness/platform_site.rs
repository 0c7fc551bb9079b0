//! A site of the platform on this machine: its stand-ins and the real processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use hyper::Method;
use knapweedrill::dispatch::Resources;
use knapweedrill_wire::{HttpCall, HttpClient};
use serde_json::{Value, json};

use super::{
    ChildProcess, EntryProxies, ScratchDirectory, SidecarProxies, find_binary, wait_until,
};
use crate::stand_in::platform::{MinionServer, QueueConfiguration, Store, configuration_text};

/// The ports of a process; each process has a loopback address of its own.
const CALLERS_PORT: u16 = 28_161;
const REGISTRATION_PORT: u16 = 28_166;
const READINESS_PORT: u16 = 28_167;
const MINION_PORT: u16 = 28_165;
const INTERNAL_PORTS: (u16, u16) = (28_720, 28_735);

/// How long a site has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// How long callers say that they wait, in milliseconds.
const CALLER_PATIENCE_MS: u64 = 3_000;

/// How much longer they wait.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// The host and service of the queues of a site.
pub const HOST: &str = "orders.example";
const SERVICE: &str = "desk";

/// How long tasks take on the minions of a site behind proxies, in percent: one in four is more than
/// twice as fast as the others, as on the users' sites.
const RUN_TIMES_PERCENT: [u64; 4] = [55, 120, 120, 120];

/// Numbers the sites of a process, so that their addresses differ.
static SITE_COUNT: AtomicU8 = AtomicU8::new(1);

/// A site of the platform: stand-ins of its store and minions, and real entries and sidecars.
pub struct PlatformSite {
    /// The store.
    pub store: Store,
    /// The minions.
    pub minions: Vec<MinionServer>,
    entries: Vec<Option<ChildProcess>>,
    sidecars: Vec<Option<ChildProcess>>,
    /// The proxies in front of the entries; none if the processes talk directly.
    entry_proxies: Vec<EntryProxies>,
    sidecar_proxies: Vec<SidecarProxies>,
    site: (u8, u8),
    directory: ScratchDirectory,
}

/// The answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteAnswer {
    /// The status.
    pub status: u16,
    /// After how many seconds to come back.
    pub retry_after: Option<String>,
    /// The body.
    pub body: String,
}

impl PlatformSite {
    /// Starts a site; callers may come at once to entries with a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub fn start(entry_count: u8, minion_count: u8) -> Result<Self> {
        let mut site = Self::create(entry_count, minion_count)?;
        site.start_processes()?;
        Ok(site)
    }

    /// Starts a site whose processes talk through proxies to callers, the store, their minions and
    /// each other. Minions differ in speed. `seed` decides what goes wrong with datagrams.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or proxy can't be started.
    pub fn start_behind_proxies(entry_count: u8, minion_count: u8, seed: u64) -> Result<Self> {
        let mut site = Self::create(entry_count, minion_count)?;
        let store = site.store.address();
        for index in 0..entry_count {
            let machine = ip(site.site, entry_host(index));
            let callers = SocketAddr::new(machine, CALLERS_PORT);
            let datagrams = SocketAddr::new(machine, INTERNAL_PORTS.0);
            let seed = seed << 8 | u64::from(index);
            let proxies = EntryProxies::start(machine, callers, datagrams, store, seed)?;
            let told = proxies.datagrams.address().to_string();
            site.store.set_rewrite(&datagrams.to_string(), &told);
            site.entry_proxies.push(proxies);
        }
        for (index, minion) in (0..).zip(&site.minions) {
            let machine = ip(site.site, sidecar_host(index));
            let datagrams = SocketAddr::new(machine, INTERNAL_PORTS.0);
            let seed = seed << 8 | u64::from(index) << 16;
            let proxies = SidecarProxies::start(machine, minion.address(), datagrams, store, seed)?;
            let told = proxies.datagrams.address().to_string();
            site.store.set_rewrite(&datagrams.to_string(), &told);
            site.sidecar_proxies.push(proxies);
            minion.set_run_time_percent(
                RUN_TIMES_PERCENT[usize::from(index) % RUN_TIMES_PERCENT.len()],
            );
        }
        site.start_processes()?;
        Ok(site)
    }

    fn start_processes(&mut self) -> Result<()> {
        for index in (0..).take(self.entries.len()) {
            self.start_entry(index)?;
        }
        for index in (0..).take(self.sidecars.len()) {
            self.start_sidecar(index)?;
        }
        Ok(())
    }

    /// Creates the stand-ins of a site.
    fn create(entry_count: u8, minion_count: u8) -> Result<Self> {
        let number = SITE_COUNT.fetch_add(1, Ordering::Relaxed);
        let process = u8::try_from(std::process::id() % 200).unwrap_or(0) + 20;
        let site = (process, number);
        let epoch = Instant::now();
        let capacity = Resources {
            cpu_millicores: 64_000,
            memory_mib: 131_072,
            accelerator_count: 0,
        };
        let store = Store::start(SocketAddr::new(ip(site, 1), MINION_PORT))?;
        let minions = (0..minion_count).map(|index| {
            let machine = ip(site, sidecar_host(index));
            let listen = SocketAddr::new(machine, MINION_PORT);
            let sidecar = SocketAddr::new(machine, REGISTRATION_PORT);
            MinionServer::start(listen, sidecar, SERVICE, capacity, epoch)
        });
        Ok(Self {
            store,
            minions: minions.collect::<std::io::Result<_>>()?,
            entries: (0..entry_count).map(|_| None).collect(),
            sidecars: (0..minion_count).map(|_| None).collect(),
            entry_proxies: Vec::new(),
            sidecar_proxies: Vec::new(),
            site,
            directory: ScratchDirectory::create()?,
        })
    }

    /// Returns how many entries there are.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the proxies in front of an entry.
    pub fn entry_proxies(&self, entry: usize) -> Option<&EntryProxies> {
        self.entry_proxies.get(entry)
    }

    /// Returns the proxies of a sidecar.
    pub fn sidecar_proxies(&self, sidecar: usize) -> Option<&SidecarProxies> {
        self.sidecar_proxies.get(sidecar)
    }

    /// Returns where callers reach an entry.
    pub fn callers_address(&self, entry: usize) -> SocketAddr {
        let direct = SocketAddr::new(self.entry_ip(entry), CALLERS_PORT);
        let proxies = self.entry_proxies.get(entry);
        proxies.map_or(direct, |proxies| proxies.callers.address())
    }

    /// Returns the folder with what the processes have written.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Writes a configuration with three queues of unlike urgency, and waits until it is in force
    /// and all entries reach minions.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub fn configure(&self, version: u64) -> Result<()> {
        self.write_configuration(version, &["/urgent/", "/normal/", "/bulk/"]);
        for index in 0..self.entries.len() {
            self.wait_ready(index)?;
        }
        Ok(())
    }

    /// Writes a configuration; the first queue is the most urgent.
    pub fn write_configuration(&self, version: u64, prefixes: &[&str]) {
        let queues: Vec<_> = (0..)
            .zip(prefixes)
            .map(|(priority, prefix)| QueueConfiguration {
                host: HOST.into(),
                path_prefix: (*prefix).into(),
                service: SERVICE.into(),
                priority,
            })
            .collect();
        let text = configuration_text(version, &queues);
        self.store.write("keyed.op", "config", text.as_bytes());
    }

    /// Waits until an entry takes callers.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub fn wait_ready(&self, entry: usize) -> Result<()> {
        wait_until("a ready entry", READY_TIMEOUT, || self.is_ready(entry))
    }

    /// Returns whether an entry takes callers.
    pub fn is_ready(&self, entry: usize) -> bool {
        let address = SocketAddr::new(self.entry_ip(entry), READINESS_PORT);
        let answer = attohttpc::get(format!("http://{address}/v1/ready")).send();
        answer.is_ok_and(|answer| answer.status().as_u16() == 200)
    }

    /// Returns the loopback address of an entry.
    pub fn entry_ip(&self, entry: usize) -> IpAddr {
        ip(self.site, entry_host(u8::try_from(entry).unwrap_or(0)))
    }

    /// Returns the process of an entry.
    pub fn entry_mut(&mut self, entry: usize) -> Option<&mut ChildProcess> {
        self.entries[entry].as_mut()
    }

    /// Returns the process of a sidecar.
    pub fn sidecar_mut(&mut self, sidecar: usize) -> Option<&mut ChildProcess> {
        self.sidecars[sidecar].as_mut()
    }

    /// Returns the id of the process of an entry.
    pub fn entry_id(&self, entry: usize) -> Option<u32> {
        self.entries[entry].as_ref().map(ChildProcess::id)
    }

    /// Returns the id of the process of a sidecar.
    pub fn sidecar_id(&self, sidecar: usize) -> Option<u32> {
        self.sidecars[sidecar].as_ref().map(ChildProcess::id)
    }

    /// Starts an entry, or starts it again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_entry(&mut self, index: u8) -> Result<()> {
        let machine = ip(self.site, entry_host(index));
        let listen = json!({
            "Front": SocketAddr::new(machine, CALLERS_PORT).to_string(),
            "Readiness": SocketAddr::new(machine, READINESS_PORT).to_string(),
            "Control": SocketAddr::new(machine, REGISTRATION_PORT).to_string(),
        });
        let name = format!("entry-{index}");
        let proxies = self.entry_proxies.get(usize::from(index));
        let store = proxies.map(|proxies| proxies.store.address());
        let process = self.start_process(&name, "entry", machine, &listen, "", store)?;
        self.entries[usize::from(index)] = Some(process);
        Ok(())
    }

    /// Starts a sidecar, or starts it again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_sidecar(&mut self, index: u8) -> Result<()> {
        let machine = ip(self.site, sidecar_host(index));
        let listen = json!({"Control": SocketAddr::new(machine, REGISTRATION_PORT).to_string()});
        let proxies = self.sidecar_proxies.get(usize::from(index));
        let direct = SocketAddr::new(machine, MINION_PORT);
        let minion = proxies.map_or(direct, |proxies| proxies.minion.address());
        let store = proxies.map(|proxies| proxies.store.address());
        let own = format!("app = \"{minion}\"\nService = \"{SERVICE}\"\n");
        let name = format!("sidecar-{index}");
        let process = self.start_process(&name, "sidecar", machine, &listen, &own, store)?;
        self.sidecars[usize::from(index)] = Some(process);
        Ok(())
    }

    /// Hands a job of one step in and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn submit(&self, entry: usize, path: &str, tasks: u32, run_ms: u64) -> Result<SiteAnswer> {
        let spec = json!({"run_ms": run_ms, "cpu": 6_000, "memory": 64}).to_string();
        let body = json!({
            "Spec": spec,
            "BestEffort": true,
            "Steps": [{"Count": tasks, "Cpu": 6_000, "MemMb": 64, "EstimateMs": run_ms}],
        });
        self.post(entry, HOST, path, &body)
    }

    /// Sends a request with a body and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn post(&self, entry: usize, host: &str, path: &str, body: &Value) -> Result<SiteAnswer> {
        let patience = Duration::from_millis(CALLER_PATIENCE_MS) + ANSWER_MARGIN;
        self.post_for(entry, host, path, body, patience)
    }

    /// Sends a request with a body, and leaves after `patience` if there is no answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn post_for(
        &self,
        entry: usize,
        host: &str,
        path: &str,
        body: &Value,
        patience: Duration,
    ) -> Result<SiteAnswer> {
        let address = self.callers_address(entry);
        let call = HttpCall {
            method: Method::POST,
            path: path.to_owned(),
            headers: vec![
                ("host", host.to_owned()),
                ("x-knapweedrill-deadline-ms", CALLER_PATIENCE_MS.to_string()),
            ],
            content_type: "application/json",
            body: body.to_string().into_bytes(),
            timeout: patience,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("can't start a runtime")?;
        let client = HttpClient::new(address, Duration::ZERO, 1);
        let answer = runtime
            .block_on(client.call(call))
            .wrap_err("no answer from the entry")?;
        let retry_after = answer.headers.get("retry-after");
        Ok(SiteAnswer {
            status: answer.status.as_u16(),
            retry_after: retry_after
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        })
    }

    /// Returns what a process wrote to standard output.
    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.path().join(format!("{name}.stdout")))
            .unwrap_or_default()
    }

    /// Returns the pairs of runs of one task that overlap, which there must not be.
    pub fn overlapping_runs(&self) -> Vec<String> {
        let mut runs: Vec<_> = self.minions.iter().flat_map(MinionServer::runs).collect();
        runs.sort_unstable();
        let pairs = runs.windows(2).filter(|pair| {
            let ((first, _, first_end), (second, second_begin, _)) = (pair[0], pair[1]);
            first == second && second_begin < first_end
        });
        pairs.map(|pair| format!("{pair:?}")).collect()
    }

    fn start_process(
        &self,
        name: &str,
        role: &str,
        machine: IpAddr,
        listen: &Value,
        own: &str,
        store: Option<SocketAddr>,
    ) -> Result<ChildProcess> {
        let (first, last) = INTERNAL_PORTS;
        let listen: String = listen
            .as_object()
            .into_iter()
            .flatten()
            .map(|(key, value)| format!("{key} = {value}\n"))
            .collect();
        let store = store.unwrap_or_else(|| self.store.address());
        let settings = format!(
            "NodeName = \"{name}\"\nIp = \"{machine}\"\nZone = \"zone-a\"\n\
             InternalPorts = [{first},{last}]\nSeeds = []\n{own}\
             [Listen]\n{listen}\
             [Bounds]\nGraceS = 3\nHoldMaxMs = 1000\nStopTimeoutMs = 50\nRetransmitMs = 1300\n\
             [platform]\nAddress = \"{store}\"\n"
        );
        let file = self.directory.path().join(format!("{name}.toml"));
        std::fs::write(&file, settings).wrap_err("can't write the settings")?;
        start_on_platform(name, role, &file, self.directory.path())
    }
}

fn start_on_platform(
    name: &str,
    role: &str,
    settings: &Path,
    directory: &Path,
) -> Result<ChildProcess> {
    let program = find_binary("knapweedrilld").or_else(|_| find_binary("knapweedrill-lab"))?;
    let mut arguments = vec![role.to_owned()];
    if program.ends_with("knapweedrill-lab") {
        arguments.insert(0, "daemon".to_owned());
    }
    let variable = ("KNAPWEEDRILL_NODE_FILE", settings.as_os_str());
    ChildProcess::start_with_output(name, &program, arguments, directory, variable)
}

fn ip((process, site): (u8, u8), host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, process, site, host))
}

fn entry_host(index: u8) -> u8 {
    10 + index
}

fn sidecar_host(index: u8) -> u8 {
    100 + index
}
