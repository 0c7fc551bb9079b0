//! The planned stop of an entry, and the hand-over of its keys to another entry.

use std::time::Instant;

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::event::EventKind;
use crate::job::Failure;
use crate::message::{HandOver, Message, RetainedKey, RetainedOutcome};

use super::EntryAction;
use super::core::Entry;
use super::key_table::KeyTable;

/// The size of the answers in one part, in bytes; a single key may exceed it.
const PART_BYTES: usize = 1 << 20;

/// The largest number of keys in one part.
const PART_KEY_COUNT: usize = 10_000;

/// A planned stop in progress.
#[value]
pub(super) struct PlannedStop {
    deadline_at: Instant,
    phase: StopPhase,
}

/// The phase of a planned stop.
#[value]
enum StopPhase {
    /// Live jobs are running to their end.
    FinishingJobs,
    /// The keys were sent to the successor, which has not acknowledged all parts.
    HandingOver {
        successor: Incarnation,
        part_count: u32,
        acknowledged_count: u32,
    },
    /// Only relayed requests are left.
    Done,
}

impl Entry {
    /// Begins a planned stop, unless one is in progress.
    pub(super) fn stop(&mut self, now: Instant) {
        if self.stopping.is_none() {
            self.stopping = Some(PlannedStop {
                deadline_at: now + self.settings.shutdown_deadline,
                phase: StopPhase::FinishingJobs,
            });
        }
    }

    /// Advances a planned stop to its next phase if the current one is complete or overdue.
    pub(super) fn advance_stop(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let Some(stopping) = &self.stopping else {
            return;
        };
        let is_overdue = now >= stopping.deadline_at;
        match &stopping.phase {
            StopPhase::FinishingJobs if self.jobs.is_empty() => self.begin_hand_over(actions),
            StopPhase::FinishingJobs if is_overdue => {
                self.fail_live_jobs(now, actions);
                self.begin_hand_over(actions);
            }
            StopPhase::HandingOver {
                part_count,
                acknowledged_count,
                ..
            } if part_count == acknowledged_count || is_overdue => self.end_hand_over(),
            StopPhase::Done if self.relays.is_idle() || is_overdue => {
                actions.push(EntryAction::Stopped);
            }
            _ => {}
        }
    }

    fn fail_live_jobs(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        for job in jobs {
            let failure = Failure::ShuttingDown;
            self.end_job(job, RetainedOutcome::Failed { failure }, now, actions);
        }
    }

    /// Sends the keys to a successor, or skips the hand-over if there is none.
    fn begin_hand_over(&mut self, actions: &mut Vec<EntryAction>) {
        let Some(successor) = self.successor() else {
            self.end_hand_over();
            return;
        };
        let mut part_count = self.send_keys(successor, self.incarnation, &self.keys, actions);
        // Keys that were taken over from other stopped entries are handed on as well.
        for (stopped, keys) in &self.relays.taken_over_keys {
            part_count += self.send_keys(successor, *stopped, keys, actions);
        }
        self.set_phase(StopPhase::HandingOver {
            successor,
            part_count,
            acknowledged_count: 0,
        });
    }

    /// Sends the keys of an owner, and returns the number of parts.
    fn send_keys(
        &self,
        successor: Incarnation,
        owner: Incarnation,
        table: &KeyTable,
        actions: &mut Vec<EntryAction>,
    ) -> u32 {
        let keys = table.retained_keys();
        actions.push(EntryAction::Record(EventKind::KeysHandedOver {
            to: successor,
            key_count: u32::try_from(keys.len()).unwrap_or(u32::MAX),
        }));
        let parts = split_into_parts(keys);
        let part_count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        for (part, keys) in (0..).zip(parts) {
            actions.push(EntryAction::Send {
                peer: successor,
                message: Message::HandOver(HandOver {
                    from: owner,
                    part,
                    is_last: part + 1 == part_count,
                    expired_up_to: table.expired_up_to(),
                    keys,
                }),
            });
        }
        part_count
    }

    /// Restarts the hand-over if the session with the successor closed.
    pub(super) fn restart_hand_over(&mut self, entry: Incarnation) {
        let is_broken = self.stopping.as_ref().is_some_and(|stopping| {
            matches!(stopping.phase, StopPhase::HandingOver { successor, .. } if successor == entry)
        });
        if is_broken {
            self.set_phase(StopPhase::FinishingJobs);
        }
    }

    fn successor(&self) -> Option<Incarnation> {
        self.entries
            .iter()
            .copied()
            .find(|entry| !self.relays.is_stopping(*entry))
    }

    fn end_hand_over(&mut self) {
        self.set_phase(StopPhase::Done);
    }

    fn set_phase(&mut self, phase: StopPhase) {
        if let Some(stopping) = &mut self.stopping {
            stopping.phase = phase;
        }
    }

    /// Counts a part that the successor has acknowledged.
    pub(super) fn hand_over_acknowledged(&mut self, from: Incarnation) {
        if from != self.incarnation && !self.relays.taken_over_keys.contains_key(&from) {
            return;
        }
        if let Some(PlannedStop {
            phase: StopPhase::HandingOver {
                acknowledged_count, ..
            },
            ..
        }) = &mut self.stopping
        {
            *acknowledged_count += 1;
        }
    }

    /// Handles one part of the keys of a stopping entry.
    pub(super) fn handle_hand_over(
        &mut self,
        peer: Incarnation,
        part: HandOver,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if part.part == 0 {
            let keys = KeyTable::new(self.settings.answer_bytes_max, self.settings.key_count_max);
            self.incoming
                .insert(part.from, IncomingKeys { keys, next_part: 0 });
        }
        // A missing part would make a key look unused, so the parts are taken in order only.
        let Some(incoming) = self.incoming.get_mut(&part.from) else {
            return;
        };
        if incoming.next_part != part.part {
            return;
        }
        incoming.insert_part(&part, now);
        actions.push(EntryAction::Send {
            peer,
            message: Message::HandOverTaken {
                from: part.from,
                part: part.part,
            },
        });
        if part.is_last {
            self.finish_take_over(part.from, actions);
        }
    }

    /// Completes the takeover of a stopped entry's keys and announces it to the other entries.
    fn finish_take_over(&mut self, stopped: Incarnation, actions: &mut Vec<EntryAction>) {
        let Some(IncomingKeys { keys, .. }) = self.incoming.remove(&stopped) else {
            return;
        };
        actions.push(EntryAction::Record(EventKind::KeysTakenOver {
            from: stopped,
            key_count: u32::try_from(keys.key_count()).unwrap_or(u32::MAX),
        }));
        self.relays.taken_over_keys.insert(stopped, keys);
        for entry in &self.entries {
            actions.push(EntryAction::Send {
                peer: *entry,
                message: Message::AnswersFor { stopped },
            });
        }
    }
}

/// Splits keys into parts that each fit into a frame.
fn split_into_parts(keys: Vec<RetainedKey>) -> Vec<Vec<RetainedKey>> {
    let mut parts = vec![Vec::new()];
    let mut part_bytes = 0;
    for key in keys {
        let key_bytes = size_bytes(&key);
        let is_full = parts
            .last()
            .is_some_and(|part| part.len() >= PART_KEY_COUNT)
            || part_bytes + key_bytes > PART_BYTES;
        if is_full {
            parts.push(Vec::new());
            part_bytes = 0;
        }
        part_bytes += key_bytes;
        if let Some(part) = parts.last_mut() {
            part.push(key);
        }
    }
    parts
}

fn size_bytes(key: &RetainedKey) -> usize {
    match &key.outcome {
        RetainedOutcome::Complete { results } => results.iter().map(Vec::len).sum(),
        _ => 0,
    }
}

/// The keys that are being received from a stopping entry.
#[value]
pub(super) struct IncomingKeys {
    keys: KeyTable,
    next_part: u32,
}

impl IncomingKeys {
    fn insert_part(&mut self, part: &HandOver, now: Instant) {
        self.next_part += 1;
        self.keys.set_expired_up_to(part.expired_up_to);
        for key in &part.keys {
            let outcome = key.outcome.clone();
            self.keys
                .insert_ended(key.generation, key.job, key.content_hash, outcome, now);
        }
    }
}
