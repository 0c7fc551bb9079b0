//! Cancelled and ended jobs: what an entry remembers of them, and how other entries learn of cancels.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::answer::{Answer, CallerId};
use super::answer_cache::AnswerCache;
use super::cancel_answer::CancelAnswer;
use super::cancel_spread::CancelSpread;
use super::cancelled_names::CancelledNames;
use crate::dispatch::{CancelOutcome, JobName, Notice};

/// The jobs that have ended or were cancelled, and the cancels that other entries have yet to confirm.
#[derive(Debug)]
pub(super) struct Cancels {
    answer_cache: AnswerCache,
    names: CancelledNames,
    spread: CancelSpread,
}

impl Cancels {
    /// Creates a memory without jobs. `first_number` differs between incarnations of an entry.
    pub(super) fn new(first_number: u32) -> Self {
        Self {
            answer_cache: AnswerCache::default(),
            names: CancelledNames::default(),
            spread: CancelSpread::new(first_number),
        }
    }

    /// Returns the number of names of cancelled jobs that are remembered.
    pub(super) fn name_count(&self) -> usize {
        self.names.len()
    }

    /// Returns the answer to a submission of a job that has ended or was cancelled.
    ///
    /// The first of both counts: the memory of cancelled names takes the answer of a job that had
    /// ended, and a cancelled job has no other end.
    pub(super) fn answer_to(&self, name: JobName) -> Option<Answer> {
        let cancelled = self.names.answer(name);
        cancelled.or_else(|| self.answer_cache.get(name))
    }

    /// Records the end of a job with an answer that repeated requests get as well.
    pub(super) fn record_end(&mut self, name: JobName, answer: Answer, now: Instant) {
        self.answer_cache.insert(name, answer, now);
    }

    /// Records a cancel, and returns whether this entry has had the job. `outcome` tells whether it has
    /// it now.
    pub(super) fn record_cancel(
        &mut self,
        name: JobName,
        outcome: CancelOutcome,
        now: Instant,
    ) -> CancelOutcome {
        // A job that ended before its cancel keeps its answer.
        let answer = self.answer_cache.get(name).unwrap_or(Answer::Cancelled);
        self.names.insert(name, answer, outcome, now)
    }

    /// Tells the other entries of a cancel. Unless `outcome` settles it, the caller waits for their
    /// answers, at most until `answer_by`.
    pub(super) fn tell(
        &mut self,
        caller: CallerId,
        name: JobName,
        outcome: CancelOutcome,
        answer_by: Instant,
        now: Instant,
    ) {
        let number = self.spread.tell(name, now);
        if outcome != CancelOutcome::Stopped {
            self.spread.wait(caller, number, name, answer_by);
        }
    }

    /// Returns the callers whose cancel is settled or has waited for long enough, with their answers.
    pub(super) fn take_answers(&mut self, now: Instant) -> Vec<(CallerId, CancelAnswer)> {
        let answers = self.spread.take_answers(now);
        let unconfirmed =
            |(_, answer): &&(CallerId, CancelAnswer)| *answer == CancelAnswer::Unconfirmed;
        let unconfirmed_count = answers.iter().filter(unconfirmed).count();
        if unconfirmed_count > 0 {
            log::info!(cancels = unconfirmed_count; "cancels answered before all entries have confirmed them");
        }
        answers
    }

    /// Handles an acknowledgement, and returns the callers that wait for jobs that the sender has
    /// stopped.
    pub(super) fn handle_acknowledgement(
        &mut self,
        from: SocketAddr,
        number: u64,
        outcomes: &[CancelOutcome],
        now: Instant,
    ) -> Vec<CallerId> {
        let stopped = self.spread.handle_acknowledgement(from, number, outcomes);
        for name in &stopped {
            self.names
                .insert(*name, Answer::Cancelled, CancelOutcome::Stopped, now);
        }
        self.spread.take_stopped(&stopped)
    }

    /// Adds another entry. `is_entry` says whether the address is certain to be one of an entry.
    pub(super) fn add_peer(&mut self, address: SocketAddr, is_entry: bool) {
        self.spread.add_receiver(address, is_entry);
    }

    /// Removes the other entries for which `is_peer` returns false, if there are more than
    /// `peer_count`.
    pub(super) fn retain_peers(&mut self, peer_count: usize, is_peer: impl Fn(SocketAddr) -> bool) {
        if self.spread.receiver_count() > peer_count {
            self.spread.retain_receivers(is_peer);
        }
    }

    /// Records that another entry has been heard from.
    pub(super) fn record_heard(&mut self, from: SocketAddr) {
        self.spread.record_heard(from);
    }

    /// Records that another entry has told all its cancels.
    pub(super) fn record_told(&mut self, from: SocketAddr) {
        self.spread.record_told(from);
    }

    /// Handles the request of another entry for all cancels.
    pub(super) fn handle_request(&mut self, from: SocketAddr) {
        self.spread.handle_request(from);
    }

    /// Returns the notices to send.
    pub(super) fn take_outgoing(&mut self, now: Instant) -> Vec<(SocketAddr, Notice)> {
        self.spread.take_outgoing(now)
    }

    /// Forgets what is older than its retention.
    pub(super) fn expire(
        &mut self,
        answer_retention: Duration,
        name_retention: Duration,
        now: Instant,
    ) {
        self.answer_cache.evict_expired(now, answer_retention);
        self.names.forget_expired(now, name_retention);
        self.spread.forget_expired(now, name_retention);
    }
}
