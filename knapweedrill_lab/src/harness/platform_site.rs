//! A platform site on this machine: stand-ins for the platform, and entry and sidecar processes.

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

// Ports of the processes; each process has its own loopback address.
const CALLERS_PORT: u16 = 28_161;
const REGISTRATION_PORT: u16 = 28_166;
const READINESS_PORT: u16 = 28_167;
const MINION_PORT: u16 = 28_165;
const INTERNAL_PORTS: (u16, u16) = (28_720, 28_735);

/// How long an entry has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout that callers state in their requests, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 3_000;

/// How much longer than the stated timeout callers wait for the response.
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Host name in the requests that the queues of a site match.
pub const HOST: &str = "orders.example";
/// Service of the queues and minions of a site.
const SERVICE: &str = "desk";

/// Run times on the minions of a site behind proxies, in percent of the nominal run time.
///
/// One minion in four is more than twice as fast as the others, as on the sites of users.
const RUN_TIME_PERCENTS: [u64; 4] = [55, 120, 120, 120];

/// The section `Bounds` in the settings of the processes, unless a test asks for other lines.
const BOUNDS: &str = "GraceS = 3\nHoldMaxMs = 1000\nStopTimeoutMs = 50\nRetransmitMs = 1300";

/// Number of the next site in this process, which is part of its addresses.
static NEXT_SITE: AtomicU8 = AtomicU8::new(1);

/// A platform site: stand-ins for its store and minions, and entry and sidecar processes.
pub struct PlatformSite {
    /// The stand-in for the configuration store.
    pub store: Store,
    /// The stand-ins for the minions, in the order of their sidecars.
    pub minions: Vec<MinionServer>,
    entries: Vec<Option<ChildProcess>>,
    sidecars: Vec<Option<ChildProcess>>,
    /// Empty if the site has no proxies.
    entry_proxies: Vec<EntryProxies>,
    /// Empty if the site has no proxies.
    sidecar_proxies: Vec<SidecarProxies>,
    /// Second and third octet of the addresses of the site.
    subnet: (u8, u8),
    /// Lines of the section `Bounds` in the settings of the processes.
    bounds: String,
    /// Lines of the section `Limits` in the settings of the processes.
    limits: String,
    directory: ScratchDirectory,
}

/// The response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The `Retry-After` header: the seconds after which to retry.
    pub retry_after: Option<String>,
    /// The body as text; invalid UTF-8 is replaced.
    pub body: String,
}

impl PlatformSite {
    /// Starts a site whose processes are connected directly; entries need not be ready on return.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub fn start(entry_count: u8, minion_count: u8) -> Result<Self> {
        Self::start_with_limits(entry_count, minion_count, "")
    }

    /// Starts a site whose processes have these lines in the section `Limits` of their settings;
    /// entries need not be ready on return.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub fn start_with_limits(entry_count: u8, minion_count: u8, limits: &str) -> Result<Self> {
        let mut site = Self::create(entry_count, minion_count)?;
        limits.clone_into(&mut site.limits);
        site.start_processes()?;
        Ok(site)
    }

    /// Starts a site whose processes have these lines in the section `Bounds` of their settings;
    /// entries need not be ready on return.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub fn start_with_bounds(entry_count: u8, minion_count: u8, bounds: &str) -> Result<Self> {
        let mut site = Self::create(entry_count, minion_count)?;
        bounds.clone_into(&mut site.bounds);
        site.start_processes()?;
        Ok(site)
    }

    /// Starts a site with proxies between its processes and callers, the store, the minions and
    /// each other.
    ///
    /// Minions differ in speed. `seed` determines which datagrams are affected by faults.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or proxy can't be started.
    pub fn start_behind_proxies(entry_count: u8, minion_count: u8, seed: u64) -> Result<Self> {
        let mut site = Self::create(entry_count, minion_count)?;
        let store = site.store.address();
        for index in 0..entry_count {
            let ip = site_ip(site.subnet, entry_host(index));
            let callers = SocketAddr::new(ip, CALLERS_PORT);
            let datagrams = SocketAddr::new(ip, INTERNAL_PORTS.0);
            let seed = seed << 8 | u64::from(index);
            let proxies = EntryProxies::start(ip, callers, datagrams, store, seed)?;
            let advertised = proxies.datagrams.address().to_string();
            site.store.set_rewrite(&datagrams.to_string(), &advertised);
            site.entry_proxies.push(proxies);
        }
        for (index, minion) in (0..).zip(&site.minions) {
            let ip = site_ip(site.subnet, sidecar_host(index));
            let datagrams = SocketAddr::new(ip, INTERNAL_PORTS.0);
            let seed = seed << 8 | u64::from(index) << 16;
            let proxies = SidecarProxies::start(ip, minion.address(), datagrams, store, seed)?;
            let advertised = proxies.datagrams.address().to_string();
            site.store.set_rewrite(&datagrams.to_string(), &advertised);
            site.sidecar_proxies.push(proxies);
            minion.set_run_time_percent(
                RUN_TIME_PERCENTS[usize::from(index) % RUN_TIME_PERCENTS.len()],
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

    /// Starts the stand-ins of a site, without entries and sidecars.
    fn create(entry_count: u8, minion_count: u8) -> Result<Self> {
        let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let second_octet = u8::try_from(std::process::id() % 200).unwrap_or(0) + 20;
        let subnet = (second_octet, number);
        let epoch = Instant::now();
        let capacity = Resources {
            cpu_millicores: 64_000,
            memory_mib: 131_072,
            accelerator_count: 0,
        };
        let store = Store::start(SocketAddr::new(site_ip(subnet, 1), MINION_PORT))?;
        let minions = (0..minion_count).map(|index| {
            let ip = site_ip(subnet, sidecar_host(index));
            let listen = SocketAddr::new(ip, MINION_PORT);
            let sidecar = SocketAddr::new(ip, REGISTRATION_PORT);
            MinionServer::start(listen, sidecar, SERVICE, capacity, epoch)
        });
        Ok(Self {
            store,
            minions: minions.collect::<std::io::Result<_>>()?,
            entries: (0..entry_count).map(|_| None).collect(),
            sidecars: (0..minion_count).map(|_| None).collect(),
            entry_proxies: Vec::new(),
            sidecar_proxies: Vec::new(),
            subnet,
            bounds: BOUNDS.to_owned(),
            limits: String::new(),
            directory: ScratchDirectory::create()?,
        })
    }

    /// Returns the number of entries, including stopped ones.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the proxies around an entry, or `None` without proxies.
    pub fn entry_proxies(&self, entry: usize) -> Option<&EntryProxies> {
        self.entry_proxies.get(entry)
    }

    /// Returns the proxies around a sidecar, or `None` without proxies.
    pub fn sidecar_proxies(&self, sidecar: usize) -> Option<&SidecarProxies> {
        self.sidecar_proxies.get(sidecar)
    }

    /// Returns the address for callers of an entry: that of its proxy, if it has one.
    pub fn callers_address(&self, entry: usize) -> SocketAddr {
        let direct = SocketAddr::new(self.entry_ip(entry), CALLERS_PORT);
        let proxies = self.entry_proxies.get(entry);
        proxies.map_or(direct, |proxies| proxies.callers.address())
    }

    /// Returns the address for readiness probes of an entry.
    pub fn readiness_address(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.entry_ip(entry), READINESS_PORT)
    }

    /// Returns the address for registration calls of a sidecar.
    pub fn registration_address(&self, sidecar: usize) -> SocketAddr {
        let host = sidecar_host(u8::try_from(sidecar).unwrap_or(0));
        SocketAddr::new(site_ip(self.subnet, host), REGISTRATION_PORT)
    }

    /// Returns the directory with the settings and output of the processes.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Writes a configuration with three queues of different priority to the store, and waits until
    /// every entry is ready: the configuration is in force and minions are reachable.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry is not ready within 15 s.
    pub fn configure(&self, version: u64) -> Result<()> {
        self.write_configuration(version, &["/urgent/", "/normal/", "/bulk/"]);
        for index in 0..self.entries.len() {
            self.wait_ready(index)?;
        }
        Ok(())
    }

    /// Writes a configuration with one queue for each path prefix to the store; the first queue is
    /// the most urgent.
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

    /// Waits until an entry is ready for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is not ready within 15 s.
    pub fn wait_ready(&self, entry: usize) -> Result<()> {
        let what = format!("readiness of entry-{entry}");
        wait_until(&what, READY_TIMEOUT, || self.is_ready(entry))
    }

    /// Returns whether an entry is ready for callers.
    pub fn is_ready(&self, entry: usize) -> bool {
        let address = self.readiness_address(entry);
        let response = attohttpc::get(format!("http://{address}/v1/ready")).send();
        response.is_ok_and(|response| response.status().as_u16() == 200)
    }

    /// Returns the loopback address of an entry.
    pub fn entry_ip(&self, entry: usize) -> IpAddr {
        site_ip(self.subnet, entry_host(u8::try_from(entry).unwrap_or(0)))
    }

    /// Returns the process of an entry, or `None` before its first start.
    pub fn entry_mut(&mut self, entry: usize) -> Option<&mut ChildProcess> {
        self.entries[entry].as_mut()
    }

    /// Returns the process of a sidecar, or `None` before its first start.
    pub fn sidecar_mut(&mut self, sidecar: usize) -> Option<&mut ChildProcess> {
        self.sidecars[sidecar].as_mut()
    }

    /// Returns the process id of an entry.
    pub fn entry_id(&self, entry: usize) -> Option<u32> {
        self.entries[entry].as_ref().map(ChildProcess::id)
    }

    /// Returns the process id of a sidecar.
    pub fn sidecar_id(&self, sidecar: usize) -> Option<u32> {
        self.sidecars[sidecar].as_ref().map(ChildProcess::id)
    }

    /// Starts or restarts an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_entry(&mut self, index: u8) -> Result<()> {
        let ip = site_ip(self.subnet, entry_host(index));
        let listen = json!({
            "Front": SocketAddr::new(ip, CALLERS_PORT).to_string(),
            "Readiness": SocketAddr::new(ip, READINESS_PORT).to_string(),
            "Control": SocketAddr::new(ip, REGISTRATION_PORT).to_string(),
        });
        let name = format!("entry-{index}");
        let proxies = self.entry_proxies.get(usize::from(index));
        let store = proxies.map(|proxies| proxies.store.address());
        let process = self.start_process(&name, "entry", ip, &listen, "", store)?;
        self.entries[usize::from(index)] = Some(process);
        Ok(())
    }

    /// Starts or restarts a sidecar.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_sidecar(&mut self, index: u8) -> Result<()> {
        let ip = site_ip(self.subnet, sidecar_host(index));
        let listen = json!({"Control": SocketAddr::new(ip, REGISTRATION_PORT).to_string()});
        let proxies = self.sidecar_proxies.get(usize::from(index));
        let direct = SocketAddr::new(ip, MINION_PORT);
        let minion = proxies.map_or(direct, |proxies| proxies.minion.address());
        let store = proxies.map(|proxies| proxies.store.address());
        let role_settings = format!("app = \"{minion}\"\nService = \"{SERVICE}\"\n");
        let name = format!("sidecar-{index}");
        let process = self.start_process(&name, "sidecar", ip, &listen, &role_settings, store)?;
        self.sidecars[usize::from(index)] = Some(process);
        Ok(())
    }

    /// Submits a job with one step of `task_count` tasks and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub fn submit(
        &self,
        entry: usize,
        path: &str,
        task_count: u32,
        run_ms: u64,
    ) -> Result<SiteResponse> {
        let spec = json!({"run_ms": run_ms, "cpu": 6_000, "memory": 64}).to_string();
        let body = json!({
            "Spec": spec,
            "BestEffort": true,
            "Steps": [{"Count": task_count, "Cpu": 6_000, "MemMb": 64, "EstimateMs": run_ms}],
        });
        self.post(entry, HOST, path, &body)
    }

    /// Sends a `POST` request with a JSON body and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within 5 s.
    pub fn post(&self, entry: usize, host: &str, path: &str, body: &Value) -> Result<SiteResponse> {
        let timeout = Duration::from_millis(CALLER_TIMEOUT_MS) + RESPONSE_TIMEOUT_MARGIN;
        self.post_with_timeout(entry, host, path, body, timeout)
    }

    /// Sends a `POST` request with a JSON body and closes the connection if there is no response
    /// within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within `timeout`.
    pub fn post_with_timeout(
        &self,
        entry: usize,
        host: &str,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<SiteResponse> {
        let address = self.callers_address(entry);
        let call = HttpCall {
            method: Method::POST,
            path: path.to_owned(),
            headers: vec![
                ("host", host.to_owned()),
                ("x-knapweedrill-deadline-ms", CALLER_TIMEOUT_MS.to_string()),
            ],
            content_type: "application/json",
            body: body.to_string().into_bytes(),
            timeout,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("can't start a Tokio runtime")?;
        let client = HttpClient::new(address, Duration::ZERO, 1);
        let response = runtime
            .block_on(client.call(call))
            .wrap_err_with(|| format!("no response from entry-{entry}"))?;
        let retry_after = response.headers.get("retry-after");
        Ok(SiteResponse {
            status: response.status.as_u16(),
            retry_after: retry_after
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            body: String::from_utf8_lossy(&response.body).into_owned(),
        })
    }

    /// Returns what a process wrote to stdout, or an empty string if the file can't be read.
    pub fn stdout_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.path().join(format!("{name}.stdout")))
            .unwrap_or_default()
    }

    /// Returns descriptions of overlapping runs of one task; a correct system has none.
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
        ip: IpAddr,
        listen: &Value,
        role_settings: &str,
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
            "NodeName = \"{name}\"\nIp = \"{ip}\"\nZone = \"zone-a\"\n\
             InternalPorts = [{first},{last}]\nSeeds = []\n{role_settings}\
             [Listen]\n{listen}\
             [Bounds]\n{bounds}\n\
             [platform]\nAddress = \"{store}\"\n[Limits]\n{limits}\n",
            bounds = self.bounds,
            limits = self.limits,
        );
        let file = self.directory.path().join(format!("{name}.toml"));
        std::fs::write(&file, settings)
            .wrap_err_with(|| format!("can't write {}", file.display()))?;
        start_on_platform(name, role, &file, self.directory.path())
    }
}

/// Starts a daemon with the path of its settings file in an environment variable, as the platform
/// does.
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

fn site_ip((second_octet, third_octet): (u8, u8), host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, second_octet, third_octet, host))
}

fn entry_host(index: u8) -> u8 {
    10 + index
}

fn sidecar_host(index: u8) -> u8 {
    100 + index
}
