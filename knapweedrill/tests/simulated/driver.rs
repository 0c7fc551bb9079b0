//! Delivery of events to the state machines, and execution of their actions.

use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::entry::{EntryAction, EntryEvent};
use knapweedrill::job::{TaskFailure, TaskOutcome};
use knapweedrill::message::{Role, SlotReport, Start};
use knapweedrill::minion::{Announcement, MinionState};
use knapweedrill::sidecar::{RunResult, SidecarAction, SidecarEvent};

use super::World;
use super::network::{Delivery, millis};
use super::node::{Node, RunningCall, announcement, minion_notice};

impl World {
    pub(super) fn send_heartbeats(&mut self) {
        for sidecar in self.sidecars() {
            if !self.is_frozen(sidecar) {
                self.handle_sidecar_event(sidecar, SidecarEvent::MinionAnnounced(minion_notice()));
                self.announce(sidecar);
            }
        }
        let now = self.now;
        let lost: Vec<Incarnation> = self
            .lost_sidecars
            .extract_if(.., |(_, at)| *at <= now)
            .map(|(sidecar, _)| sidecar)
            .collect();
        for sidecar in lost {
            for entry in self.entries() {
                self.handle_entry_event(entry, EntryEvent::MinionLost { sidecar });
            }
        }
    }

    fn announce(&mut self, sidecar: Incarnation) {
        let Some((announcement, report)) = self.announcement(sidecar) else {
            return;
        };
        for entry in self.entries() {
            if self.is_frozen(entry) {
                continue;
            }
            let event = EntryEvent::MinionAnnounced {
                announcement: announcement.clone(),
            };
            self.handle_entry_event(entry, event);
            self.handle_entry_event(entry, EntryEvent::SlotsReported { sidecar, report });
            self.network.connect(entry, sidecar, self.now);
        }
    }

    fn announcement(&self, incarnation: Incarnation) -> Option<(Announcement, SlotReport)> {
        let Some(Node::Sidecar { sidecar, .. }) = self.nodes.get(&incarnation) else {
            return None;
        };
        let state: MinionState = sidecar.minion_state(self.now);
        let report = sidecar.slot_report(self.now);
        Some((announcement(incarnation, state), report))
    }

    pub(super) fn tick(&mut self) {
        for entry in self.entries() {
            if !self.is_frozen(entry) {
                self.handle_entry_event(entry, EntryEvent::Tick);
            }
        }
        for sidecar in self.sidecars() {
            if !self.is_frozen(sidecar) {
                self.handle_sidecar_event(sidecar, SidecarEvent::Tick);
            }
        }
    }

    pub(super) fn end_calls(&mut self) {
        let now = self.now;
        for incarnation in self.sidecars() {
            if self.is_frozen(incarnation) {
                continue;
            }
            let Some(Node::Sidecar { calls, .. }) = self.nodes.get_mut(&incarnation) else {
                continue;
            };
            let ended: Vec<RunningCall> =
                calls.extract_if(.., |call| call.ends_at <= now).collect();
            for call in ended {
                let event = SidecarEvent::CallEnded {
                    task: call.task,
                    attempt: call.attempt,
                    result: call.result,
                    run_time: now.duration_since(call.started_at),
                };
                self.handle_sidecar_event(incarnation, event);
            }
        }
    }

    pub(super) fn deliver(&mut self, peer: Incarnation, to: Incarnation, delivery: Delivery) {
        let role = match self.role_of(peer) {
            Some(role) => role,
            // Only `Delivery::Connected` uses the role, and its sender exists.
            None => Role::Entry,
        };
        match self.nodes.get(&to) {
            Some(Node::Entry { .. }) => {
                let event = match delivery {
                    Delivery::Connected(_) => EntryEvent::PeerConnected { peer, role },
                    Delivery::Disconnected => EntryEvent::PeerDisconnected { peer },
                    Delivery::Message(message) => EntryEvent::Message { peer, message },
                };
                self.handle_entry_event(to, event);
            }
            Some(Node::Sidecar { .. }) => {
                let event = match delivery {
                    Delivery::Connected(_) => SidecarEvent::PeerConnected { peer },
                    Delivery::Disconnected => SidecarEvent::PeerDisconnected { peer },
                    Delivery::Message(message) => SidecarEvent::Message { peer, message },
                };
                self.handle_sidecar_event(to, event);
            }
            None => {}
        }
    }

    fn role_of(&self, peer: Incarnation) -> Option<Role> {
        self.nodes.get(&peer).map(|node| match node {
            Node::Entry { .. } => Role::Entry,
            Node::Sidecar { .. } => Role::Sidecar,
        })
    }

    pub(super) fn handle_entry_event(&mut self, incarnation: Incarnation, event: EntryEvent) {
        let now = self.now;
        let Some(Node::Entry { entry, actions, .. }) = self.nodes.get_mut(&incarnation) else {
            return;
        };
        entry.handle(event, now, actions);
        entry.flush(now, actions);
        for action in std::mem::take(actions) {
            self.apply_entry_action(incarnation, action);
        }
    }

    fn apply_entry_action(&mut self, entry: Incarnation, action: EntryAction) {
        match action {
            EntryAction::Respond { request, response } => {
                self.observations.record_response(request, response);
            }
            EntryAction::Send { peer, message } => {
                let arrival_time = self.arrival_time();
                self.network.send(entry, peer, message, arrival_time);
            }
            EntryAction::Stopped => self.remove_entry(entry),
            EntryAction::Record(_) | EntryAction::Count(_) | EntryAction::RecordDuration { .. } => {
            }
        }
    }

    pub(super) fn handle_sidecar_event(&mut self, incarnation: Incarnation, event: SidecarEvent) {
        let now = self.now;
        let Some(Node::Sidecar {
            sidecar, actions, ..
        }) = self.nodes.get_mut(&incarnation)
        else {
            return;
        };
        sidecar.handle(event, now, actions);
        sidecar.flush(now, actions);
        for action in std::mem::take(actions) {
            self.apply_sidecar_action(incarnation, action);
        }
    }

    fn apply_sidecar_action(&mut self, sidecar: Incarnation, action: SidecarAction) {
        match action {
            SidecarAction::Send { peer, message } => {
                let arrival_time = self.arrival_time();
                self.network.send(sidecar, peer, message, arrival_time);
            }
            SidecarAction::Run(start) => self.call_minion(sidecar, start),
            SidecarAction::AnnounceNow => self.announce(sidecar),
            SidecarAction::Stopped => self.remove_sidecar(sidecar),
            // An abandoned call continues at the minion.
            SidecarAction::CancelCalls(_) | SidecarAction::Record(_) | SidecarAction::Count(_) => {}
        }
    }

    fn call_minion(&mut self, sidecar: Incarnation, start: Start) {
        let result = if self.chance(100) {
            RunResult::NotSent
        } else if self.chance(30) {
            let failure = TaskFailure::ConnectionLost;
            RunResult::Sent(TaskOutcome::Failed { failure })
        } else {
            let result = start.payload.clone();
            RunResult::Sent(TaskOutcome::Done { result })
        };
        if result != RunResult::NotSent {
            self.observations.record_start(start.task, sidecar);
        }
        let run = start.expected_run_time.max(Duration::from_millis(1));
        if let Some(Node::Sidecar { calls, .. }) = self.nodes.get_mut(&sidecar) {
            calls.push(RunningCall {
                task: start.task,
                attempt: start.attempt,
                started_at: self.now,
                ends_at: self.now + run,
                result,
            });
        }
    }

    /// Returns the arrival time of a message that is sent now.
    fn arrival_time(&mut self) -> Instant {
        let slow = self.chance(200);
        let delay_ms = if slow { 50..=400 } else { 0..=4 };
        self.now + millis(&mut self.random, delay_ms)
    }
}
