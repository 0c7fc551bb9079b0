//! Processes that come and go.

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
const LOST_AFTER: Duration = Duration::from_secs(2);
const RESULT_MEMORY: Duration = Duration::from_millis(500);

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
            stops: false,
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
        self.tell_entry(incarnation, event);
        self.beat();
    }

    pub(super) fn add_sidecar(&mut self) {
        let incarnation = self.new_incarnation();
        let sidecar = Sidecar::new(incarnation, sidecar_settings(self.timing.prefetch_count));
        let node = Node::Sidecar {
            sidecar: Box::new(sidecar),
            actions: Vec::new(),
            calls: Vec::new(),
            stops: false,
        };
        self.nodes.insert(incarnation, node);
        self.tell_sidecar(incarnation, SidecarEvent::Configured(configuration()));
        self.tell_sidecar(incarnation, SidecarEvent::Minion(minion_notice()));
        self.beat();
    }

    pub(super) fn make_faults(&mut self) {
        let faults = self.faults;
        if self.chance(faults.cuts) {
            self.cut_any();
        }
        if self.chance(faults.entry_kills) {
            let victim = self.choose(&self.entries());
            self.kill_entry(victim);
        }
        if self.chance(faults.sidecar_kills) {
            let victim = self.choose(&self.sidecars());
            self.kill_sidecar(victim);
        }
        if self.chance(faults.freezes) {
            self.freeze_any();
        }
        if self.chance(faults.entry_stops) {
            self.stop_entry();
        }
        if self.chance(faults.sidecar_stops) {
            let victim = self.choose(&self.sidecars());
            self.stop_sidecar(victim);
        }
    }

    fn cut_any(&mut self) {
        let pairs = self.network.open_pairs();
        if pairs.is_empty() {
            return;
        }
        let pair = pairs[self.random.random_range(0..pairs.len())];
        self.cut(pair);
    }

    fn cut(&mut self, pair: (Incarnation, Incarnation)) {
        let frozen = &self.frozen_until;
        let is_frozen = |node| frozen.contains_key(&node);
        self.network
            .cut(pair, self.now, &self.timing, &mut self.random, is_frozen);
    }

    fn kill_entry(&mut self, victim: Option<Incarnation>) {
        let Some(victim) = victim else { return };
        self.nodes.remove(&victim);
        self.network.remove(victim, false, self.now);
        let jobs = self.observations.break_calls(victim);
        self.add_entry();
        for job in jobs {
            self.submit(job);
        }
    }

    fn kill_sidecar(&mut self, victim: Option<Incarnation>) {
        let Some(victim) = victim else { return };
        self.nodes.remove(&victim);
        self.network.remove(victim, false, self.now);
        self.gone_sidecars.push((victim, self.now + LOST_AFTER));
        self.add_sidecar();
    }

    /// Freezes a process; the others give up the links to it one after another.
    fn freeze_any(&mut self) {
        let nodes: Vec<Incarnation> = self.nodes.keys().copied().collect();
        let Some(victim) = self.choose(&nodes) else {
            return;
        };
        let span = millis(&mut self.random, 500..=9000);
        self.frozen_until.insert(victim, self.now + span);
        for pair in self.network.open_pairs() {
            let touches = pair.0 == victim || pair.1 == victim;
            if touches && span > LOST_AFTER {
                self.cut(pair);
            }
        }
    }

    fn stop_entry(&mut self) {
        let Some(victim) = self.choose(&self.entries()) else {
            return;
        };
        if let Some(Node::Entry { stops, .. }) = self.nodes.get_mut(&victim) {
            if std::mem::replace(stops, true) {
                return;
            }
            self.tell_entry(victim, EntryEvent::Stop);
            for other in self.entries() {
                if other != victim {
                    self.tell_entry(other, EntryEvent::EntryStopping { entry: victim });
                }
            }
            self.add_entry();
        }
    }

    fn stop_sidecar(&mut self, victim: Option<Incarnation>) {
        let Some(victim) = victim else { return };
        if let Some(Node::Sidecar { stops, .. }) = self.nodes.get_mut(&victim) {
            if std::mem::replace(stops, true) {
                return;
            }
            self.tell_sidecar(victim, SidecarEvent::Stop);
            self.add_sidecar();
        }
    }

    pub(super) fn entry_ended(&mut self, entry: Incarnation) {
        self.nodes.remove(&entry);
        self.network.remove(entry, true, self.now);
        for job in self.observations.break_calls(entry) {
            let text = format!("the planned stop of {entry} cut a call about job {job}");
            self.observations.violations.push(text);
        }
    }

    pub(super) fn sidecar_ended(&mut self, sidecar: Incarnation) {
        self.nodes.remove(&sidecar);
        self.network.remove(sidecar, true, self.now);
        self.gone_sidecars.push((sidecar, self.now + LOST_AFTER));
    }
}

/// Returns settings under which a sidecar forgets results before some sessions open again.
fn sidecar_settings(prefetch_count: u32) -> SidecarSettings {
    SidecarSettings::new()
        .result_memory(RESULT_MEMORY)
        .prefetch_count(prefetch_count)
}

fn configuration() -> Configuration {
    Configuration::parse(CONFIGURATION, "test").expect("the configuration is valid")
}
