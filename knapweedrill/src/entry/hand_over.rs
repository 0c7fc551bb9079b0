//! The planned stop of an entry, and taking over the keys of one that stops.

use std::time::Instant;

use knapweedrill_derive::value;

use crate::common::Incarnation;
use crate::event::EventKind;
use crate::job::Failure;
use crate::message::{HandOver, Message, RetainedKey, RetainedOutcome};

use super::EntryAction;
use super::core::Entry;
use super::key_table::KeyTable;

/// How many bytes of answers one part of the keys holds, roughly.
const PART_BYTES: usize = 1 << 20;

/// How many keys one part holds at the most.
const PART_KEY_COUNT: usize = 10_000;

/// A planned stop.
#[value]
pub(super) struct Stopping {
    until: Instant,
    phase: StopPhase,
}

/// How far a planned stop has come.
#[value]
enum StopPhase {
    /// The jobs in flight are being finished.
    Finishing,
    /// The keys are being handed over.
    HandingOver {
        successor: Incarnation,
        part_count: u32,
        taken_count: u32,
    },
    /// Nothing is left but requests that other entries are to answer.
    Done,
}

impl Entry {
    pub(super) fn stop(&mut self, now: Instant) {
        if self.stopping.is_none() {
            self.stopping = Some(Stopping {
                until: now + self.settings.shutdown_deadline,
                phase: StopPhase::Finishing,
            });
        }
    }

    /// Takes a planned stop as far as it can go now.
    pub(super) fn advance_stop(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let Some(stopping) = &self.stopping else {
            return;
        };
        let is_overdue = now >= stopping.until;
        match &stopping.phase {
            StopPhase::Finishing if self.jobs.is_empty() => self.begin_hand_over(actions),
            StopPhase::Finishing if is_overdue => {
                self.fail_live_jobs(now, actions);
                self.begin_hand_over(actions);
            }
            StopPhase::HandingOver {
                part_count,
                taken_count,
                ..
            } if part_count == taken_count || is_overdue => self.end_hand_over(),
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

    /// Sends the keys to a successor, or ends the stop if there is none.
    fn begin_hand_over(&mut self, actions: &mut Vec<EntryAction>) {
        let Some(successor) = self.successor() else {
            self.end_hand_over();
            return;
        };
        let mut part_count = self.send_keys(successor, self.incarnation, &self.keys, actions);
        // The keys taken over from entries that stopped before are this entry's to keep as well.
        for (stopped, keys) in &self.relays.adopted {
            part_count += self.send_keys(successor, *stopped, keys, actions);
        }
        self.set_phase(StopPhase::HandingOver {
            successor,
            part_count,
            taken_count: 0,
        });
    }

    /// Sends the keys of an owner, and returns in how many parts.
    fn send_keys(
        &self,
        successor: Incarnation,
        owner: Incarnation,
        table: &KeyTable,
        actions: &mut Vec<EntryAction>,
    ) -> u32 {
        let keys = table.kept_keys();
        actions.push(EntryAction::Record(EventKind::KeysHandedOver {
            to: successor,
            key_count: u32::try_from(keys.len()).unwrap_or(u32::MAX),
        }));
        let parts = split(keys);
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

    /// Starts the hand-over anew if its successor's session broke.
    pub(super) fn restart_hand_over(&mut self, entry: Incarnation) {
        let is_broken = self.stopping.as_ref().is_some_and(|stopping| {
            matches!(stopping.phase, StopPhase::HandingOver { successor, .. } if successor == entry)
        });
        if is_broken {
            self.set_phase(StopPhase::Finishing);
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

    /// Counts a part of the keys that the successor has taken.
    pub(super) fn hand_over_taken(&mut self, from: Incarnation) {
        if from != self.incarnation && !self.relays.adopted.contains_key(&from) {
            return;
        }
        if let Some(Stopping {
            phase: StopPhase::HandingOver { taken_count, .. },
            ..
        }) = &mut self.stopping
        {
            *taken_count += 1;
        }
    }

    /// Takes over a part of the keys of an entry that stops.
    pub(super) fn take_over(
        &mut self,
        peer: Incarnation,
        part: HandOver,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if part.part == 0 {
            let keys = KeyTable::new(self.settings.answer_bytes, self.settings.key_count);
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
        incoming.take(&part, now);
        actions.push(EntryAction::Send {
            peer,
            message: Message::HandOverTaken {
                from: part.from,
                part: part.part,
            },
        });
        if part.is_last {
            self.adopt(part.from, actions);
        }
    }

    /// Answers for a stopped entry's tokens from now on, and tells the other entries.
    fn adopt(&mut self, stopped: Incarnation, actions: &mut Vec<EntryAction>) {
        let Some(IncomingKeys { keys, .. }) = self.incoming.remove(&stopped) else {
            return;
        };
        actions.push(EntryAction::Record(EventKind::KeysTakenOver {
            from: stopped,
            key_count: u32::try_from(keys.key_count()).unwrap_or(u32::MAX),
        }));
        self.relays.adopted.insert(stopped, keys);
        for entry in &self.entries {
            actions.push(EntryAction::Send {
                peer: *entry,
                message: Message::AnswersFor { stopped },
            });
        }
    }
}

/// Splits keys into parts that fit a frame.
fn split(keys: Vec<RetainedKey>) -> Vec<Vec<RetainedKey>> {
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

/// The keys that are being taken over from an entry that stops.
#[value]
pub(super) struct IncomingKeys {
    keys: KeyTable,
    next_part: u32,
}

impl IncomingKeys {
    fn take(&mut self, part: &HandOver, now: Instant) {
        self.next_part += 1;
        self.keys.set_expired_up_to(part.expired_up_to);
        for key in &part.keys {
            let state = key.outcome.clone();
            self.keys
                .insert(key.generation, key.job, key.content_hash, state, now);
        }
    }
}
