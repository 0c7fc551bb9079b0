//! Starts, stops and faults of processes.

use std::time::Duration;

use knapweedrill::common::Incarnation;
use knapweedrill::contract::Configuration;
use knapweedrill::entry::{Entry, EntryEvent, EntrySettings};
use knapweedrill::sidecar::{Sidecar, SidecarEvent, SidecarSettings};
use rand::RngExt;

use super::World;
use super::network::millis;
use super::node::{Node, minion_notice};

const CONFIGURATION: &str = "\
[service embossing]
ejected_max_percent = 50
[kind proof]
service = embossing
class = normal
idempotent = true
deadline_ms = 8000
[team tin-a]
share_percent = 25
[team tin-b]
share_percent = 25
";
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
const RESULT_RETENTION: Duration = Duration::from_millis(500);

impl World {
    fn new_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    pub(super) fn add_entry(&mut self) {
        let incarnation = self.new_incarnation();
        let settings = EntrySettings::new().seed(incarnation);
        let entry = Entry::new(incarnation, settings, self.now);
        let node = Node::Entry {
            entry: Box::new(entry),
            actions: Vec::new(),
            is_stopping: false,
        };
        for other in self.entries() {
            self.network.connect(incarnation, other, self.now);
        }
        self.nodes.insert(incarnation, node);
        let configuration = configuration();
        let event = EntryEvent::ConfigurationChanged {
            version: 1,
            configuration,
        };
        self.handle_entry_event(incarnation, event);
        self.send_heartbeats();
    }

    pub(super) fn add_sidecar(&mut self) {
        let incarnation = self.new_incarnation();
        let sidecar = Sidecar::new(incarnation, sidecar_settings(self.timing.prefetch_count));
        let node = Node::Sidecar {
            sidecar: Box::new(sidecar),
            actions: Vec::new(),
            calls: Vec::new(),
            is_stopping: false,
        };
        self.nodes.insert(incarnation, node);
        self.handle_sidecar_event(
            incarnation,
            SidecarEvent::ConfigurationChanged(configuration()),
        );
        self.handle_sidecar_event(incarnation, SidecarEvent::MinionAnnounced(minion_notice()));
        self.send_heartbeats();
    }

    pub(super) fn inject_faults(&mut self) {
        let faults = self.faults;
        if self.chance(faults.disconnects) {
            self.disconnect_any();
        }
        if self.chance(faults.entry_kills) {
            let target = self.choose(&self.entries());
            self.kill_entry(target);
        }
        if self.chance(faults.sidecar_kills) {
            let target = self.choose(&self.sidecars());
            self.kill_sidecar(target);
        }
        if self.chance(faults.freezes) {
            self.freeze_any();
        }
        if self.chance(faults.entry_stops) {
            self.stop_entry();
        }
        if self.chance(faults.sidecar_stops) {
            let target = self.choose(&self.sidecars());
            self.stop_sidecar(target);
        }
    }

    fn disconnect_any(&mut self) {
        let pairs = self.network.open_links();
        if pairs.is_empty() {
            return;
        }
        let link_key = pairs[self.random.random_range(0..pairs.len())];
        self.disconnect(link_key);
    }

    fn disconnect(&mut self, link_key: (Incarnation, Incarnation)) {
        let frozen = &self.frozen_until;
        let is_frozen = |node| frozen.contains_key(&node);
        self.network.disconnect(
            link_key,
            self.now,
            &self.timing,
            &mut self.random,
            is_frozen,
        );
    }

    fn kill_entry(&mut self, target: Option<Incarnation>) {
        let Some(target) = target else { return };
        self.nodes.remove(&target);
        self.network.remove(target, false, self.now);
        let jobs = self.observations.remove_calls(target);
        self.add_entry();
        for job in jobs {
            self.submit(job);
        }
    }

    fn kill_sidecar(&mut self, target: Option<Incarnation>) {
        let Some(target) = target else { return };
        self.nodes.remove(&target);
        self.network.remove(target, false, self.now);
        self.lost_sidecars
            .push((target, self.now + HEARTBEAT_TIMEOUT));
        self.add_sidecar();
    }

    /// Freezes a process. A freeze longer than the heartbeat timeout also closes its links, which
    /// the peers detect one after another.
    fn freeze_any(&mut self) {
        let nodes: Vec<Incarnation> = self.nodes.keys().copied().collect();
        let Some(target) = self.choose(&nodes) else {
            return;
        };
        let freeze_duration = millis(&mut self.random, 500..=9000);
        self.frozen_until.insert(target, self.now + freeze_duration);
        for link_key in self.network.open_links() {
            let is_affected = link_key.0 == target || link_key.1 == target;
            if is_affected && freeze_duration > HEARTBEAT_TIMEOUT {
                self.disconnect(link_key);
            }
        }
    }

    fn stop_entry(&mut self) {
        let Some(target) = self.choose(&self.entries()) else {
            return;
        };
        if let Some(Node::Entry { is_stopping, .. }) = self.nodes.get_mut(&target) {
            if std::mem::replace(is_stopping, true) {
                return;
            }
            self.handle_entry_event(target, EntryEvent::Stop);
            for other in self.entries() {
                if other != target {
                    self.handle_entry_event(other, EntryEvent::EntryStopping { entry: target });
                }
            }
            self.add_entry();
        }
    }

    fn stop_sidecar(&mut self, target: Option<Incarnation>) {
        let Some(target) = target else { return };
        if let Some(Node::Sidecar { is_stopping, .. }) = self.nodes.get_mut(&target) {
            if std::mem::replace(is_stopping, true) {
                return;
            }
            self.handle_sidecar_event(target, SidecarEvent::Stop);
            self.add_sidecar();
        }
    }

    pub(super) fn remove_entry(&mut self, entry: Incarnation) {
        self.nodes.remove(&entry);
        self.network.remove(entry, true, self.now);
        for job in self.observations.remove_calls(entry) {
            let text = format!("the planned stop of {entry} interrupted a call about job {job}");
            self.observations.violations.push(text);
        }
    }

    pub(super) fn remove_sidecar(&mut self, sidecar: Incarnation) {
        self.nodes.remove(&sidecar);
        self.network.remove(sidecar, true, self.now);
        self.lost_sidecars
            .push((sidecar, self.now + HEARTBEAT_TIMEOUT));
    }
}

/// Returns settings under which results expire at a sidecar before some sessions reopen.
fn sidecar_settings(prefetch_count: u32) -> SidecarSettings {
    SidecarSettings::new()
        .result_retention(RESULT_RETENTION)
        .prefetch_count(prefetch_count)
}

fn configuration() -> Configuration {
    Configuration::parse(CONFIGURATION, "test").expect("the configuration is valid")
}
