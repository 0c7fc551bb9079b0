//! Brings faults in from outside, and takes them away.

use std::sync::atomic::Ordering;

use eyre::Result;

use super::run::{STOP_TIMEOUT, Soak};
use super::trouble::{SLOW, Target, Trouble};
use crate::harness::ChildProcess;
use crate::stand_in::fault_proxy::{DatagramFaults, StreamProxy};
use crate::stand_in::platform::{MinionFaults, StoreFault};

impl Soak<'_> {
    /// Brings in a fault; returns whether it could come.
    pub(super) fn begin(&mut self, trouble: Trouble) -> Result<bool> {
        match trouble {
            Trouble::Kill(target) | Trouble::Stop(target) | Trouble::Freeze(target) => {
                if !self.down.insert(target) {
                    return Ok(false);
                }
                if let Target::Entry(index) = target {
                    self.callers.are_ready[usize::from(index)].store(false, Ordering::Relaxed);
                }
                let Some(process) = self.process(target) else {
                    return Ok(false);
                };
                match trouble {
                    Trouble::Kill(_) => process.kill()?,
                    Trouble::Stop(_) => process.terminate()?,
                    _ => process.freeze()?,
                }
            }
            Trouble::DisturbDatagrams(entry) => {
                let faults = DatagramFaults::new()
                    .drop_percent(15)
                    .duplicate_percent(10)
                    .reorder(20, SLOW);
                self.set_datagrams(entry, faults, faults);
            }
            Trouble::CutDatagrams(entry) => {
                let all = DatagramFaults::new().drop_percent(100);
                self.set_datagrams(entry, all, all);
            }
            Trouble::CutDatagramsOneWay(entry) => {
                let others = DatagramFaults::new().drop_requests();
                self.set_datagrams(entry, others, DatagramFaults::new().drop_responses());
            }
            Trouble::SilenceStore(target) => self.with_store(target, StreamProxy::blackhole),
            Trouble::CutStore(target) => self.with_store(target, StreamProxy::disconnect),
            Trouble::StoreBusy => self.site.store.set_fault(StoreFault::Unavailable),
            Trouble::StoreSilent => self.site.store.set_fault(StoreFault::NoResponse),
            Trouble::CompactStore => self.site.store.compact("keyed.op"),
            Trouble::LoseOrders(minion) => self.set_minion(
                minion,
                MinionFaults {
                    delayed_start_permille: 100,
                    lost_response_permille: 150,
                    ..MinionFaults::default()
                },
            ),
            Trouble::FailTasks(minion) => self.set_minion(
                minion,
                MinionFaults {
                    failed_task_permille: 700,
                    ..MinionFaults::default()
                },
            ),
            Trouble::MuteMinion(minion) => self.set_minion(
                minion,
                MinionFaults {
                    ignores_holds: true,
                    ..MinionFaults::default()
                },
            ),
            Trouble::SilenceMinion(minion) => self.with_minion(minion, StreamProxy::blackhole),
            Trouble::SilenceMinionOneWay(minion) => {
                self.with_minion(minion, StreamProxy::blackhole_requests);
            }
            Trouble::CutMinion(minion) => self.with_minion(minion, StreamProxy::disconnect),
            Trouble::SlowMinion(minion) => self.with_minion(minion, |proxy| proxy.set_delay(SLOW)),
            Trouble::CutCallers(entry) => self.with_callers(entry, StreamProxy::disconnect),
            Trouble::SilenceCallers(entry) => self.with_callers(entry, StreamProxy::blackhole),
            Trouble::Configure => {
                self.version += 3;
                let route = format!("/route-{}/", self.version);
                let prefixes = ["/urgent/", "/normal/", "/bulk/", &route];
                self.site.write_configuration(self.version, &prefixes);
            }
        }
        Ok(true)
    }

    /// Takes a fault away.
    pub(super) fn end(&mut self, trouble: Trouble) -> Result<()> {
        match trouble {
            Trouble::Kill(target) | Trouble::Stop(target) => {
                if let Some(process) = self.process(target) {
                    // The grace of a planned stop may not be over yet.
                    process.wait_exit(STOP_TIMEOUT)?;
                }
                self.start(target)?;
                self.down.remove(&target);
            }
            Trouble::Freeze(target) => {
                if let Some(process) = self.process(target) {
                    process.thaw()?;
                }
                self.down.remove(&target);
            }
            Trouble::DisturbDatagrams(entry)
            | Trouble::CutDatagrams(entry)
            | Trouble::CutDatagramsOneWay(entry) => {
                self.set_datagrams(entry, DatagramFaults::new(), DatagramFaults::new());
            }
            Trouble::SilenceStore(target) | Trouble::CutStore(target) => {
                self.with_store(target, StreamProxy::restore);
            }
            Trouble::StoreBusy | Trouble::StoreSilent => {
                self.site.store.set_fault(StoreFault::None);
            }
            Trouble::LoseOrders(minion)
            | Trouble::FailTasks(minion)
            | Trouble::MuteMinion(minion) => self.set_minion(minion, MinionFaults::default()),
            Trouble::SilenceMinion(minion)
            | Trouble::SilenceMinionOneWay(minion)
            | Trouble::CutMinion(minion)
            | Trouble::SlowMinion(minion) => self.with_minion(minion, StreamProxy::restore),
            Trouble::CutCallers(entry) | Trouble::SilenceCallers(entry) => {
                self.with_callers(entry, StreamProxy::restore);
            }
            Trouble::CompactStore | Trouble::Configure => {}
        }
        Ok(())
    }

    pub(super) fn start(&mut self, target: Target) -> Result<()> {
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

    /// Sets what goes wrong with the datagrams of an entry: with those of others that begin to talk to it,
    /// and with those of processes that it talks to.
    fn set_datagrams(&self, entry: u8, called: DatagramFaults, calling: DatagramFaults) {
        let own = usize::from(entry);
        let address = self.site.entry_ip(own);
        for other in 0..self.site.entry_count() {
            let Some(proxies) = self.site.entry_proxies(other) else {
                continue;
            };
            if other == own {
                proxies.datagrams.set_faults(called);
            } else {
                proxies.datagrams.set_client_faults(address, calling);
            }
        }
        for sidecar in 0..self.site.minions.len() {
            if let Some(proxies) = self.site.sidecar_proxies(sidecar) {
                proxies.datagrams.set_client_faults(address, calling);
            }
        }
    }

    fn set_minion(&self, minion: u8, faults: MinionFaults) {
        self.site.minions[usize::from(minion)].set_faults(faults);
    }

    fn with_store(&self, target: Target, change: impl Fn(&StreamProxy)) {
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

    fn with_minion(&self, minion: u8, change: impl Fn(&StreamProxy)) {
        let proxies = self.site.sidecar_proxies(usize::from(minion));
        proxies
            .map(|proxies| &proxies.minion)
            .into_iter()
            .for_each(change);
    }

    pub(super) fn with_callers(&self, entry: u8, change: impl Fn(&StreamProxy)) {
        let proxies = self.site.entry_proxies(usize::from(entry));
        proxies
            .map(|proxies| &proxies.callers)
            .into_iter()
            .for_each(change);
    }
}
