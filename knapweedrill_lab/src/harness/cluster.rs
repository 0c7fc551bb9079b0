//! A cluster of daemon processes with stand-ins for the log and the minions.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use knapweedrill::api::{MinionView, ShowResponse};
use knapweedrill::entry::PlacementPolicy;
use knapweedrill::minion::MinionState;

use super::{
    AddressAllocator, ChildProcess, ClusterBuilder, DaemonRole, DaemonSettings, EntryApi,
    HTTP_PORT, LINK_PORT, LOG_PORT, LinkProxy, LogNode, MINION_PORT, MinionNode, MinionSpec,
    PROXY_PORT_OFFSET, ScratchDirectory, find_binary, wait_until,
};

use crate::stand_in::fault_proxy::StreamProxy;

const LAB_BINARY: &str = "knapweedrill-lab";
/// How long the processes of a cluster have to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry process of a cluster.
#[derive(Debug)]
pub struct EntryNode {
    process: ChildProcess,
    ip: Ipv4Addr,
    link_proxy: Option<LinkProxy>,
}

impl EntryNode {
    /// Returns the process of the entry.
    pub fn process(&mut self) -> &mut ChildProcess {
        &mut self.process
    }

    /// Returns a client of the entry's HTTP interface.
    pub fn api(&self) -> EntryApi {
        EntryApi::new(SocketAddr::from((self.ip, HTTP_PORT)))
    }

    /// Returns the proxies in front of the entry's links, or `None` without proxies.
    pub fn link_proxy(&self) -> Option<&LinkProxy> {
        self.link_proxy.as_ref()
    }

    /// Returns the address on which the entry listens for links, behind any proxy.
    pub fn link_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, LINK_PORT))
    }
}

/// A cluster of processes on this machine; dropping it kills them all.
#[derive(Debug)]
pub struct Cluster {
    // Fields are dropped in order of declaration: the processes before the directory they write to.
    entries: Vec<EntryNode>,
    minions: Vec<MinionNode>,
    log: LogNode,
    address_allocator: AddressAllocator,
    seeds: Vec<SocketAddr>,
    failure_domain_count: usize,
    placement: PlacementPolicy,
    has_proxies: bool,
    started_daemon_count: usize,
    directory: ScratchDirectory,
}

impl ClusterBuilder {
    /// Starts the processes.
    ///
    /// Unless built [without a configuration](Self::without_configuration), applies it and waits
    /// until every daemon is ready and every entry is linked to all entries and minions.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started, exits, or a step takes longer than 20 s.
    pub fn start(self) -> Result<Cluster> {
        let mut cluster = Cluster::start_log(&self)?;
        let ips: Vec<Ipv4Addr> = (0..self.entry_count)
            .map(|_| cluster.address_allocator.next_ip())
            .collect();
        cluster.seeds = ips
            .iter()
            .map(|ip| cluster.advertised_link_address(*ip))
            .collect();
        for ip in ips {
            cluster.start_entry_at(ip)?;
        }
        for minion in &self.minions {
            cluster.start_minion(minion)?;
        }
        if let Some(text) = &self.configuration {
            cluster.apply_first_configuration(text)?;
            cluster.wait_ready(READY_TIMEOUT)?;
            cluster.wait_all_linked()?;
            cluster.ensure_all_running()?;
        }
        Ok(cluster)
    }
}

impl Cluster {
    /// Returns the entry with the given number; numbers start at 0.
    ///
    /// # Panics
    ///
    /// Panics if there is no such entry.
    pub fn entry(&mut self, number: usize) -> &mut EntryNode {
        &mut self.entries[number]
    }

    /// Returns the entries in the order of their start.
    pub fn entries(&self) -> &[EntryNode] {
        &self.entries
    }

    /// Returns the minion with the given number; numbers start at 0.
    ///
    /// # Panics
    ///
    /// Panics if there is no such minion.
    pub fn minion(&mut self, number: usize) -> &mut MinionNode {
        &mut self.minions[number]
    }

    /// Returns the minions in the order of their start.
    pub fn minions(&self) -> &[MinionNode] {
        &self.minions
    }

    /// Returns the log that the entries share.
    pub fn log(&mut self) -> &mut LogNode {
        &mut self.log
    }

    /// Returns the allocator for the addresses of further processes.
    pub fn address_allocator(&self) -> AddressAllocator {
        self.address_allocator
    }

    /// Starts another entry and returns its number, without waiting for it to become ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_entry(&mut self) -> Result<usize> {
        let ip = self.address_allocator.next_ip();
        self.start_entry_at(ip)
    }

    /// Starts another minion and its sidecar and returns the minion's number, without waiting for
    /// them to become ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub fn start_minion(&mut self, spec: &MinionSpec) -> Result<usize> {
        let number = self.minions.len();
        let ip = self.address_allocator.next_ip();
        let address = SocketAddr::from((ip, MINION_PORT));
        let sidecar_address = SocketAddr::from((ip, HTTP_PORT));
        let sidecar = self.start_sidecar(number, ip, spec)?;
        let minion_proxy = self.start_minion_proxy(address)?;
        let advertised = minion_proxy.as_ref().map_or(address, StreamProxy::address);
        let minion = self.start_upstream(number, address, advertised, sidecar_address, spec)?;
        let link_proxy = self.start_link_proxy(ip)?;
        let node = MinionNode::new(minion, address, sidecar, sidecar_address);
        self.minions
            .push(node.with_proxies(link_proxy, minion_proxy));
        Ok(number)
    }

    /// Waits until every running entry and every running sidecar is ready.
    ///
    /// Processes that have exited are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error that names the process that is not ready within `timeout`.
    pub fn wait_ready(&mut self, timeout: Duration) -> Result<()> {
        for entry in &mut self.entries {
            let api = entry.api();
            wait_process_ready(&mut entry.process, api, timeout)?;
        }
        for minion in &mut self.minions {
            let api = minion.sidecar_api();
            wait_process_ready(minion.sidecar(), api, timeout)?;
        }
        Ok(())
    }

    fn start_log(builder: &ClusterBuilder) -> Result<Self> {
        let directory = ScratchDirectory::create()?;
        let address_allocator = AddressAllocator::new();
        let address = address_allocator.next_address(LOG_PORT);
        let retention = builder.retention_records.to_string();
        let listen = address.to_string();
        let arguments = [
            "log",
            "--listen",
            &listen,
            "--retention-records",
            &retention,
        ];
        let process = start_lab_process("log", &arguments, &directory)?;
        Ok(Self {
            entries: Vec::new(),
            minions: Vec::new(),
            log: LogNode::new(process, address),
            address_allocator,
            seeds: Vec::new(),
            failure_domain_count: builder.failure_domain_count,
            placement: builder.placement,
            has_proxies: builder.has_proxies,
            started_daemon_count: 0,
            directory,
        })
    }

    fn start_entry_at(&mut self, ip: Ipv4Addr) -> Result<usize> {
        let number = self.entries.len();
        let role = DaemonRole::Entry {
            log: self.log.address(),
        };
        let process = self.start_daemon(&format!("entry-{number}"), role, ip, None)?;
        let link_proxy = self.start_link_proxy(ip)?;
        self.entries.push(EntryNode {
            process,
            ip,
            link_proxy,
        });
        Ok(number)
    }

    fn start_sidecar(
        &mut self,
        number: usize,
        ip: Ipv4Addr,
        spec: &MinionSpec,
    ) -> Result<ChildProcess> {
        let role = DaemonRole::Sidecar {
            service: spec.service.clone(),
        };
        let name = format!("sidecar-{number}");
        self.start_daemon(&name, role, ip, spec.failure_domain)
    }

    fn start_upstream(
        &self,
        number: usize,
        address: SocketAddr,
        advertised: SocketAddr,
        sidecar: SocketAddr,
        spec: &MinionSpec,
    ) -> Result<ChildProcess> {
        let listen = address.to_string();
        let advertised = advertised.to_string();
        let sidecar = sidecar.to_string();
        let slot_count = spec.slot_count.to_string();
        let speed_percent = spec.speed_percent.to_string();
        let arguments = [
            "minion",
            "--listen",
            &listen,
            "--advertised",
            &advertised,
            "--sidecar",
            &sidecar,
            "--service",
            &spec.service,
            "--slots",
            &slot_count,
            "--speed-percent",
            &speed_percent,
        ];
        start_lab_process(&format!("minion-{number}"), &arguments, &self.directory)
    }

    fn start_daemon(
        &mut self,
        name: &str,
        role: DaemonRole,
        ip: Ipv4Addr,
        failure_domain: Option<usize>,
    ) -> Result<ChildProcess> {
        let default_domain = self.started_daemon_count % self.failure_domain_count + 1;
        self.started_daemon_count += 1;
        let http = SocketAddr::from((ip, HTTP_PORT));
        let link = SocketAddr::from((ip, LINK_PORT));
        let settings = DaemonSettings::new(name, role, http, link)
            .link_advertised(self.advertised_link_address(ip))
            .worker(format!("worker-{}", self.started_daemon_count))
            .failure_domain(format!("fd-{}", failure_domain.unwrap_or(default_domain)))
            .seeds(self.seeds.iter().copied())
            .placement(self.placement);
        let path = self.directory.path().join(format!("{name}.ini"));
        fs::write(&path, settings.to_ini())
            .wrap_err_with(|| format!("can't write {}", path.display()))?;
        let path = path.display().to_string();
        start_lab_process(name, &["daemon", "--settings", &path], &self.directory)
    }

    /// Returns the advertised link address of the daemon at `ip`: that of its proxy, if it has one.
    fn advertised_link_address(&self, ip: Ipv4Addr) -> SocketAddr {
        let offset = if self.has_proxies {
            PROXY_PORT_OFFSET
        } else {
            0
        };
        SocketAddr::from((ip, LINK_PORT + offset))
    }

    fn start_link_proxy(&self, ip: Ipv4Addr) -> Result<Option<LinkProxy>> {
        if !self.has_proxies {
            return Ok(None);
        }
        let target = SocketAddr::from((ip, LINK_PORT));
        Ok(Some(LinkProxy::start(
            self.advertised_link_address(ip),
            target,
        )?))
    }

    fn start_minion_proxy(&self, target: SocketAddr) -> Result<Option<StreamProxy>> {
        if !self.has_proxies {
            return Ok(None);
        }
        let listen = SocketAddr::new(target.ip(), target.port() + PROXY_PORT_OFFSET);
        Ok(Some(StreamProxy::start(listen, target)?))
    }

    /// Waits until every entry has links to all entries and to the sidecars of all minions.
    ///
    /// Readiness does not suffice: an entry is ready once it is linked to the minions it knows of,
    /// and may discover others later.
    fn wait_all_linked(&self) -> Result<()> {
        let minion_count = self.minions.len();
        let entry_count = self.entries.len();
        for (number, entry) in self.entries.iter().enumerate() {
            let api = entry.api();
            let what = format!("links from entry-{number} to all entries and minions");
            wait_until(&what, READY_TIMEOUT, || {
                linked_counts(api).is_ok_and(|linked| {
                    linked.entry_count >= entry_count && linked.minion_count >= minion_count
                })
            })?;
        }
        Ok(())
    }

    /// Returns an error if a process has exited during the start of the cluster.
    fn ensure_all_running(&mut self) -> Result<()> {
        ensure_running(self.log.process())?;
        for entry in &mut self.entries {
            ensure_running(&mut entry.process)?;
        }
        for minion in &mut self.minions {
            ensure_running(minion.sidecar())?;
            ensure_running(minion.minion())?;
        }
        Ok(())
    }

    /// Applies the configuration, with retries until the first entry has started and accepts it.
    fn apply_first_configuration(&mut self, text: &str) -> Result<()> {
        let Some(entry) = self.entries.first() else {
            return Ok(());
        };
        let api = entry.api();
        wait_until(
            "acceptance of the first configuration",
            READY_TIMEOUT,
            || api.expect_configuration(text).is_ok(),
        )
    }
}

fn start_lab_process(
    name: &str,
    arguments: &[&str],
    directory: &ScratchDirectory,
) -> Result<ChildProcess> {
    let program = find_binary(LAB_BINARY)?;
    let arguments = arguments.iter().map(|argument| (*argument).to_owned());
    ChildProcess::start(name, &program, arguments, directory.path())
}

/// Numbers of processes that an entry has links to; the entry itself is included.
struct LinkedCounts {
    entry_count: usize,
    minion_count: usize,
}

/// Returns the numbers of entries and serving minions that the entry does not suspect.
fn linked_counts(api: EntryApi) -> Result<LinkedCounts> {
    let shown: ShowResponse = api.get("/v1/show")?.json()?;
    let is_linked =
        |minion: &&MinionView| minion.state == MinionState::Serving && !minion.is_suspect;
    Ok(LinkedCounts {
        entry_count: shown
            .entries
            .iter()
            .filter(|entry| !entry.is_suspect)
            .count(),
        minion_count: shown.minions.iter().filter(is_linked).count(),
    })
}

fn ensure_running(process: &mut ChildProcess) -> Result<()> {
    let is_running = process.is_running();
    let stderr = process.stderr();
    ensure!(
        is_running,
        "{} exited; its stderr: {stderr}",
        process.name()
    );
    Ok(())
}

/// Waits until the process is ready or has exited.
fn wait_process_ready(process: &mut ChildProcess, api: EntryApi, timeout: Duration) -> Result<()> {
    let what = format!("readiness of {}", process.name());
    wait_until(&what, timeout, || !process.is_running() || api.is_ready())
}
