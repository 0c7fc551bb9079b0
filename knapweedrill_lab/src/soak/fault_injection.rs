//! Injects and clears faults.

use std::sync::atomic::Ordering;

use eyre::Result;

use super::fault::{ADDED_LATENCY, Fault, Target};
use super::run::{STOP_TIMEOUT, Soak};
use crate::harness::ChildProcess;
use crate::stand_in::fault_proxy::{DatagramFaults, StreamProxy};
use crate::stand_in::platform::{MinionFaults, StoreFault};

impl Soak<'_> {
    /// Injects a fault. Returns whether it took effect: a process that is already stopped or
    /// suspended is left as it is.
    pub(super) fn inject(&mut self, fault: Fault) -> Result<bool> {
        match fault {
            Fault::Kill(target) | Fault::Stop(target) | Fault::Freeze(target) => {
                if !self.down.insert(target) {
                    return Ok(false);
                }
                if let Target::Entry(index) = target {
                    self.callers.entry_readiness[usize::from(index)]
                        .store(false, Ordering::Relaxed);
                }
                let Some(process) = self.process(target) else {
                    return Ok(false);
                };
                match fault {
                    Fault::Kill(_) => process.kill()?,
                    Fault::Stop(_) => process.terminate()?,
                    _ => process.freeze()?,
                }
            }
            Fault::DegradeDatagrams(entry) => {
                let faults = DatagramFaults::new()
                    .drop_percent(15)
                    .duplicate_percent(10)
                    .reorder(20, ADDED_LATENCY);
                self.set_datagram_faults(entry, faults, faults);
            }
            Fault::DropDatagrams(entry) => {
                let all = DatagramFaults::new().drop_percent(100);
                self.set_datagram_faults(entry, all, all);
            }
            Fault::DropInboundDatagrams(entry) => {
                let as_server = DatagramFaults::new().drop_requests();
                let as_client = DatagramFaults::new().drop_responses();
                self.set_datagram_faults(entry, as_server, as_client);
            }
            Fault::BlackholeStore(target) => {
                self.update_store_proxy(target, StreamProxy::blackhole)
            }
            Fault::DisconnectStore(target) => {
                self.update_store_proxy(target, StreamProxy::disconnect)
            }
            Fault::StoreUnavailable => self.site.store.set_fault(StoreFault::Unavailable),
            Fault::StoreUnresponsive => self.site.store.set_fault(StoreFault::NoResponse),
            Fault::CompactStore => self.site.store.compact("keyed.op"),
            Fault::LoseOrderResponses(minion) => self.set_minion_faults(
                minion,
                MinionFaults {
                    delayed_start_permille: 100,
                    lost_response_permille: 150,
                    ..MinionFaults::default()
                },
            ),
            Fault::FailTasks(minion) => self.set_minion_faults(
                minion,
                MinionFaults {
                    failed_task_permille: 700,
                    ..MinionFaults::default()
                },
            ),
            Fault::IgnoreHolds(minion) => self.set_minion_faults(
                minion,
                MinionFaults {
                    ignores_holds: true,
                    ..MinionFaults::default()
                },
            ),
            Fault::BlackholeMinion(minion) => {
                self.update_minion_proxy(minion, StreamProxy::blackhole)
            }
            Fault::BlackholeMinionRequests(minion) => {
                self.update_minion_proxy(minion, StreamProxy::blackhole_requests);
            }
            Fault::DisconnectMinion(minion) => {
                self.update_minion_proxy(minion, StreamProxy::disconnect)
            }
            Fault::SlowMinion(minion) => {
                self.update_minion_proxy(minion, |proxy| proxy.set_delay(ADDED_LATENCY))
            }
            Fault::DisconnectCallers(entry) => {
                self.update_caller_proxy(entry, StreamProxy::disconnect)
            }
            Fault::BlackholeCallers(entry) => {
                self.update_caller_proxy(entry, StreamProxy::blackhole)
            }
            Fault::ChangeConfiguration => {
                self.version += 3;
                let route = format!("/route-{}/", self.version);
                let prefixes = ["/urgent/", "/normal/", "/bulk/", &route];
                self.site.write_configuration(self.version, &prefixes);
            }
        }
        Ok(true)
    }

    /// Clears a fault.
    pub(super) fn clear(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Kill(target) | Fault::Stop(target) => {
                if let Some(process) = self.process(target) {
                    // The grace period of a planned stop may still be running.
                    process.wait_exit(STOP_TIMEOUT)?;
                }
                self.start_process(target)?;
                self.down.remove(&target);
            }
            Fault::Freeze(target) => {
                if let Some(process) = self.process(target) {
                    process.thaw()?;
                }
                self.down.remove(&target);
            }
            Fault::DegradeDatagrams(entry)
            | Fault::DropDatagrams(entry)
            | Fault::DropInboundDatagrams(entry) => {
                self.set_datagram_faults(entry, DatagramFaults::new(), DatagramFaults::new());
            }
            Fault::BlackholeStore(target) | Fault::DisconnectStore(target) => {
                self.update_store_proxy(target, StreamProxy::restore);
            }
            Fault::StoreUnavailable | Fault::StoreUnresponsive => {
                self.site.store.set_fault(StoreFault::None);
            }
            Fault::LoseOrderResponses(minion)
            | Fault::FailTasks(minion)
            | Fault::IgnoreHolds(minion) => self.set_minion_faults(minion, MinionFaults::default()),
            Fault::BlackholeMinion(minion)
            | Fault::BlackholeMinionRequests(minion)
            | Fault::DisconnectMinion(minion)
            | Fault::SlowMinion(minion) => self.update_minion_proxy(minion, StreamProxy::restore),
            Fault::DisconnectCallers(entry) | Fault::BlackholeCallers(entry) => {
                self.update_caller_proxy(entry, StreamProxy::restore);
            }
            Fault::CompactStore | Fault::ChangeConfiguration => {}
        }
        Ok(())
    }

    pub(super) fn start_process(&mut self, target: Target) -> Result<()> {
        match target {
            Target::Entry(index) => self.site.start_entry(index),
            Target::Sidecar(index) => self.site.start_sidecar(index),
        }
    }

    pub(super) fn process(&mut self, target: Target) -> Option<&mut ChildProcess> {
        match target {
            Target::Entry(index) => self.site.entry_mut(usize::from(index)),
            Target::Sidecar(index) => self.site.sidecar_mut(usize::from(index)),
        }
    }

    /// Sets the faults for the datagrams of an entry: `as_server` for exchanges that other
    /// processes initiate, `as_client` for those that the entry initiates.
    fn set_datagram_faults(&self, entry: u8, as_server: DatagramFaults, as_client: DatagramFaults) {
        let own = usize::from(entry);
        let address = self.site.entry_ip(own);
        for other in 0..self.site.entry_count() {
            let Some(proxies) = self.site.entry_proxies(other) else {
                continue;
            };
            if other == own {
                proxies.datagrams.set_faults(as_server);
            } else {
                proxies.datagrams.set_client_faults(address, as_client);
            }
        }
        for sidecar in 0..self.site.minions.len() {
            if let Some(proxies) = self.site.sidecar_proxies(sidecar) {
                proxies.datagrams.set_client_faults(address, as_client);
            }
        }
    }

    fn set_minion_faults(&self, minion: u8, faults: MinionFaults) {
        self.site.minions[usize::from(minion)].set_faults(faults);
    }

    fn update_store_proxy(&self, target: Target, change: impl Fn(&StreamProxy)) {
        let proxy = match target {
            Target::Entry(index) => self
                .site
                .entry_proxies(usize::from(index))
                .map(|proxies| &proxies.store),
            Target::Sidecar(index) => self
                .site
                .sidecar_proxies(usize::from(index))
                .map(|proxies| &proxies.store),
        };
        proxy.into_iter().for_each(change);
    }

    fn update_minion_proxy(&self, minion: u8, change: impl Fn(&StreamProxy)) {
        let proxies = self.site.sidecar_proxies(usize::from(minion));
        proxies
            .map(|proxies| &proxies.minion)
            .into_iter()
            .for_each(change);
    }

    pub(super) fn update_caller_proxy(&self, entry: u8, change: impl Fn(&StreamProxy)) {
        let proxies = self.site.entry_proxies(usize::from(entry));
        proxies
            .map(|proxies| &proxies.callers)
            .into_iter()
            .for_each(change);
    }
}
