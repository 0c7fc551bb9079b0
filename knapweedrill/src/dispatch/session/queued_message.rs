//! A message that waits for its acknowledgement.

use std::time::Instant;

use crate::dispatch::Attempt;
use crate::dispatch::TaskName;
use crate::dispatch::message::Message;

/// A message that the other side has not acknowledged.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    message: Message,
    /// From when on the other side refuses the message, if it is a start order.
    void_at: Option<Instant>,
}

impl QueuedMessage {
    pub(super) fn new(message: Message, void_at: Option<Instant>) -> Self {
        let void_at = void_at.filter(|_| matches!(message, Message::Start(_)));
        Self { message, void_at }
    }

    /// Returns the encoded size of the message.
    pub(super) fn bytes(&self) -> usize {
        postcard::experimental::serialized_size(&self.message).unwrap_or_default()
    }

    pub(super) fn message(&self) -> &Message {
        &self.message
    }

    /// Makes the message void at once if it is the start order of a placement.
    pub(super) fn cancel_start(&mut self, task: TaskName, attempt: Attempt, now: Instant) -> bool {
        let is_match = matches!(
            &self.message,
            Message::Start(order) if order.task == task && order.attempt == attempt
        );
        if is_match {
            self.void_at = Some(now);
        }
        is_match
    }

    /// Replaces a start order that is void at an instant by its withdrawal, which keeps its number.
    pub(super) fn withdraw_if_void(&mut self, at: Instant) {
        if let Message::Start(order) = &self.message
            && self.void_at.is_some_and(|void_at| void_at <= at)
        {
            self.message = Message::Withdrawn {
                task: order.task,
                attempt: order.attempt,
            };
        }
    }
}
