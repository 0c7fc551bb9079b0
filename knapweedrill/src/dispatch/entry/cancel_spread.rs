//! Telling all other entries of cancelled jobs.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::cancel_receiver::CancelReceiver;
use super::{CallerId, CancelAnswer};
use crate::dispatch::{CancelOutcome, JobName, Notice};

/// The maximum number of names in a notice, so that it fits into one packet.
pub(super) const NAMES_PER_NOTICE_MAX: usize = 128;

/// The maximum number of cancels of this entry that others are told of.
const TOLD_COUNT_MAX: usize = 16_384;

/// A caller that waits until other entries have answered.
#[derive(Debug)]
struct WaitingCancel {
    number: u64,
    name: JobName,
    caller: CallerId,
    answer_by: Instant,
}

/// The cancels that callers sent to this entry, which it tells all other entries of.
///
/// The cancels are numbered. Each receiver acknowledges them in order, and gets a notice with the
/// next ones only after that or after a delay, so that its cost is bounded by the number of
/// cancels and of round trips.
#[derive(Debug)]
pub(super) struct CancelSpread {
    /// The cancels by number, from `first_number` on.
    cancels: VecDeque<(Instant, JobName)>,
    first_number: u64,
    /// Sorted, as notices are sent in this order.
    receivers: BTreeMap<SocketAddr, CancelReceiver>,
    /// The waiting callers by number.
    waiting: VecDeque<WaitingCancel>,
    outgoing: Vec<(SocketAddr, Notice)>,
    /// Whether receivers are still asked for their cancels.
    has_open_requests: bool,
}

impl CancelSpread {
    /// Creates a spread without cancels. `first_number` differs between incarnations of an entry,
    /// so that late acknowledgements fit none of its notices.
    pub(super) fn new(first_number: u32) -> Self {
        Self {
            cancels: VecDeque::new(),
            first_number: u64::from(first_number),
            receivers: BTreeMap::new(),
            waiting: VecDeque::new(),
            outgoing: Vec::new(),
            has_open_requests: false,
        }
    }

    /// Adds another entry. `is_entry` says whether the address is certain to be one of an entry.
    pub(super) fn add_receiver(&mut self, address: SocketAddr, is_entry: bool) {
        let first_number = self.first_number;
        let receiver = self
            .receivers
            .entry(address)
            .or_insert_with(|| CancelReceiver::new(first_number, is_entry));
        receiver.is_entry |= is_entry;
        self.has_open_requests |= receiver.has_open_request();
    }

    /// Returns the number of receivers.
    pub(super) fn receiver_count(&self) -> usize {
        self.receivers.len()
    }

    /// Removes the receivers for which `is_known` returns false.
    pub(super) fn retain_receivers(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.receivers.retain(|address, _| is_known(*address));
    }

    /// Records that another entry has been heard from.
    pub(super) fn record_heard(&mut self, from: SocketAddr) {
        if let Some(receiver) = self.receivers.get_mut(&from) {
            receiver.record_heard();
        }
    }

    /// Tells all receivers of a cancel and returns its number.
    pub(super) fn tell(&mut self, name: JobName, now: Instant) -> u64 {
        if self.cancels.len() >= TOLD_COUNT_MAX {
            self.forget_oldest();
        }
        self.cancels.push_back((now, name));
        self.end_number() - 1
    }

    /// Lets a caller wait for the answers to a cancel, at most until `answer_by`.
    pub(super) fn wait(
        &mut self,
        caller: CallerId,
        number: u64,
        name: JobName,
        answer_by: Instant,
    ) {
        self.waiting.push_back(WaitingCancel {
            number,
            name,
            caller,
            answer_by,
        });
    }

    /// Handles an acknowledgement and returns the names of the jobs that the sender has stopped.
    pub(super) fn handle_acknowledgement(
        &mut self,
        from: SocketAddr,
        number: u64,
        outcomes: &[CancelOutcome],
    ) -> Vec<JobName> {
        let end_number = self.end_number();
        let Some(receiver) = self.receivers.get_mut(&from) else {
            return Vec::new();
        };
        receiver.is_entry = true;
        let count = outcomes.len() as u64;
        let is_next = number == receiver.next_number && number >= self.first_number;
        if !is_next || count == 0 || count > end_number - number {
            return Vec::new();
        }
        receiver.next_number += count;
        receiver.reset_delay();
        let position = usize::try_from(number - self.first_number).unwrap_or(usize::MAX);
        let acknowledged = self.cancels.iter().skip(position).zip(outcomes);
        acknowledged
            .filter(|(_, outcome)| **outcome == CancelOutcome::Stopped)
            .map(|((_, name), _)| *name)
            .collect()
    }

    /// Handles the request of another entry to be told of all cancels, also of those that it has
    /// acknowledged: it has started since.
    pub(super) fn handle_request(&mut self, from: SocketAddr) {
        let Some(receiver) = self.receivers.get_mut(&from) else {
            return;
        };
        receiver.is_entry = true;
        receiver.next_number = self.first_number;
        receiver.reset_delay();
        if self.cancels.is_empty() {
            let notice = Notice::Cancel {
                number: self.first_number,
                is_complete: true,
                names: Vec::new(),
            };
            self.outgoing.push((from, notice));
        }
    }

    /// Records that another entry tells this one of all its cancels.
    pub(super) fn record_told(&mut self, from: SocketAddr) {
        if let Some(receiver) = self.receivers.get_mut(&from) {
            receiver.record_told();
        }
    }

    /// Removes and returns the waiting callers of jobs that another entry has stopped.
    pub(super) fn take_stopped(&mut self, stopped: &[JobName]) -> Vec<CallerId> {
        let stopped: HashSet<JobName> = stopped.iter().copied().collect();
        if stopped.is_empty() {
            return Vec::new();
        }
        let mut callers = Vec::new();
        self.waiting.retain(|waiting| {
            let is_stopped = stopped.contains(&waiting.name);
            if is_stopped {
                callers.push(waiting.caller);
            }
            !is_stopped
        });
        callers
    }

    /// Removes and returns the callers that need not wait any longer, with their answers.
    pub(super) fn take_answers(&mut self, now: Instant) -> Vec<(CallerId, CancelAnswer)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let entries = self.receivers.values().filter(|it| it.is_entry);
        let acknowledged = entries.map(|it| it.next_number).min().unwrap_or(u64::MAX);
        let mut answers = Vec::new();
        while let Some(waiting) = self.waiting.front() {
            let answer = if waiting.number < self.first_number {
                // Forgotten early; not all receivers need have been told.
                CancelAnswer::Unconfirmed
            } else if waiting.number < acknowledged {
                CancelAnswer::NoSuchJob
            } else if waiting.answer_by <= now {
                CancelAnswer::Unconfirmed
            } else {
                break;
            };
            answers.push((waiting.caller, answer));
            self.waiting.pop_front();
        }
        answers
    }

    /// Forgets the cancels that are older than `retention`.
    pub(super) fn forget_expired(&mut self, now: Instant, retention: Duration) {
        while let Some((at, _)) = self.cancels.front() {
            if now.saturating_duration_since(*at) < retention {
                return;
            }
            self.forget_oldest();
        }
    }

    /// Returns the notices that are due, each with its receiver.
    pub(super) fn take_outgoing(&mut self, now: Instant) -> Vec<(SocketAddr, Notice)> {
        if self.cancels.is_empty() && !self.has_open_requests {
            return std::mem::take(&mut self.outgoing);
        }
        let end_number = self.end_number();
        self.has_open_requests = false;
        for (address, receiver) in &mut self.receivers {
            if receiver.take_request_permit(now) {
                self.outgoing.push((*address, Notice::CancelsRequest));
            }
            self.has_open_requests |= receiver.has_open_request();
            receiver.next_number = receiver.next_number.max(self.first_number);
            if receiver.next_number >= end_number || !receiver.take_send_permit(now) {
                continue;
            }
            let position = usize::try_from(receiver.next_number - self.first_number);
            let cancels = self.cancels.iter().skip(position.unwrap_or(usize::MAX));
            let names = cancels.take(NAMES_PER_NOTICE_MAX).map(|(_, name)| *name);
            let notice = Notice::Cancel {
                number: receiver.next_number,
                is_complete: receiver.next_number == self.first_number,
                names: names.collect(),
            };
            self.outgoing.push((*address, notice));
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the number that the next cancel gets.
    fn end_number(&self) -> u64 {
        self.first_number + self.cancels.len() as u64
    }

    fn forget_oldest(&mut self) {
        if self.cancels.pop_front().is_some() {
            self.first_number += 1;
        }
    }
}
