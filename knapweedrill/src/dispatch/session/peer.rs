//! One side of a session.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::SessionSettings;
use super::envelope::{Envelope, MessageNumber, SessionNumber};
use super::sessions::Identity;
use crate::common::Incarnation;
use crate::dispatch::message::{Message, Role, SidecarStatus, StampMs};

/// How many messages a datagram carries at the most: twelve orders of 4 KB, the longest there
/// are, stay below the 64 KiB of a datagram.
const MESSAGE_COUNT_MAX: usize = 12;

/// How many messages may be on their way without an acknowledgement.
const WINDOW_MESSAGE_COUNT: usize = 10 * MESSAGE_COUNT_MAX;

/// How many former incarnations of a process are remembered, so that their late datagrams are
/// told from those of a new one. More than the restarts that late datagrams can span.
const FORMER_COUNT: usize = 8;

/// How many beats a session without work may miss.
const IDLE_BEATS_MISSED_MAX: u32 = 3;

/// What happened on a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEvent {
    /// The other process can be talked to.
    Up(Incarnation, Role),
    /// The session is over: another process has the address, or the other side has forgotten the
    /// session or opened a new one.
    Gone(Incarnation),
    /// Nothing has been heard for a while.
    Silent(Incarnation),
    /// Something was heard again.
    Heard(Incarnation),
    /// A message arrived.
    Message(Incarnation, Message),
    /// The newest state arrived, with the number of our messages that it takes account of.
    Status(Incarnation, SidecarStatus, MessageNumber),
}

/// The events of one datagram.
pub(super) type SessionEvents = SmallVec<[SessionEvent; 4]>;

/// The session with the process at one address.
#[derive(Debug)]
pub(super) struct Peer {
    settings: SessionSettings,
    session: SessionNumber,
    /// The earliest time at which the table of sessions is going to look at this one.
    pub(super) scheduled_at: Option<Instant>,
    /// Whether something has happened since the table has looked at this session.
    pub(super) is_touched: bool,
    opened_at: Instant,
    remote: Option<Incarnation>,
    former: VecDeque<Incarnation>,
    /// Messages that were not acknowledged; the first has the number `acknowledged` + 1.
    outbox: VecDeque<Message>,
    acknowledged: MessageNumber,
    sent: MessageNumber,
    resend_at: Option<Instant>,
    resend_after: Duration,
    /// Since when a message has had no acknowledgement.
    unacknowledged_since: Option<Instant>,
    received: MessageNumber,
    acknowledge_at: Option<Instant>,
    /// The newest stamp of the other side, and when it arrived.
    remote_stamp: Option<(StampMs, Instant)>,
    /// The newest stamp of our own that the other side has named.
    echo_ms: StampMs,
    heard_at: Option<Instant>,
    /// Since when the session has had work.
    busy_since: Option<Instant>,
    is_silent: bool,
    status: Option<SidecarStatus>,
    is_status_new: bool,
    sent_at: Option<Instant>,
}

impl Peer {
    pub(super) fn new(settings: SessionSettings, session: SessionNumber, now: Instant) -> Self {
        Self {
            settings,
            session,
            scheduled_at: None,
            is_touched: false,
            opened_at: now,
            remote: None,
            former: VecDeque::new(),
            outbox: VecDeque::new(),
            acknowledged: 0,
            sent: 0,
            resend_at: None,
            resend_after: settings.resend_after,
            unacknowledged_since: None,
            received: 0,
            acknowledge_at: None,
            remote_stamp: None,
            echo_ms: 0,
            heard_at: None,
            busy_since: None,
            is_silent: false,
            status: None,
            is_status_new: false,
            sent_at: None,
        }
    }

    pub(super) fn remote(&self) -> Option<Incarnation> {
        self.remote
    }

    pub(super) fn echo_ms(&self) -> StampMs {
        self.echo_ms
    }

    pub(super) fn remote_stamp(&self) -> Option<(StampMs, Instant)> {
        self.remote_stamp
    }

    /// Adds a message to those under way and returns its number.
    pub(super) fn push(&mut self, message: Message) -> MessageNumber {
        self.outbox.push_back(message);
        self.acknowledged + self.outbox.len() as MessageNumber
    }

    /// Sets the state that the other side is told; returns whether it is new.
    pub(super) fn set_status(&mut self, status: SidecarStatus) -> bool {
        let is_new = self.status != Some(status);
        self.status = Some(status);
        self.is_status_new |= is_new;
        is_new
    }

    /// Says whether the other side has work of ours or we have work of it; returns whether that
    /// is new.
    pub(super) fn set_busy(&mut self, is_busy: bool, now: Instant) -> bool {
        let is_new = is_busy != self.busy_since.is_some();
        if is_new {
            self.busy_since = is_busy.then_some(now);
        }
        is_new
    }

    /// Returns the number of the session.
    pub(super) fn session(&self) -> SessionNumber {
        self.session
    }

    /// Returns when something was last heard, or when the session was opened.
    pub(super) fn heard_at(&self) -> Instant {
        self.heard_at.unwrap_or(self.opened_at)
    }

    pub(super) fn receive(
        &mut self,
        envelope: Envelope,
        own: &Identity,
        now: Instant,
    ) -> SessionEvents {
        let mut events = SessionEvents::new();
        if self.former.contains(&envelope.from) {
            return events;
        }
        self.meet(&envelope, now, &mut events);
        if envelope.to != own.incarnation {
            // A greeting, or meant for the process that was here before: answered at once.
            self.acknowledge_at = Some(now);
            self.note_heard(envelope.from, now, &mut events);
            return events;
        }
        self.note_heard(envelope.from, now, &mut events);
        let is_newest = self
            .remote_stamp
            .is_none_or(|(stamp, _)| envelope.stamp_ms >= stamp);
        if self
            .remote_stamp
            .is_none_or(|(stamp, _)| envelope.stamp_ms > stamp)
        {
            self.remote_stamp = Some((envelope.stamp_ms, now));
        }
        // A stamp that was never sent can't have come back.
        if envelope.echo_ms <= own.stamp_ms(now) {
            self.echo_ms = self.echo_ms.max(envelope.echo_ms);
        }
        self.take_acknowledgement(envelope.received, now);
        self.take_messages(envelope.first, envelope.messages, now, &mut events);
        if let Some(status) = envelope.status.filter(|_| is_newest) {
            events.push(SessionEvent::Status(
                envelope.from,
                status,
                envelope.received,
            ));
        }
        events
    }

    fn meet(&mut self, envelope: &Envelope, now: Instant, events: &mut SessionEvents) {
        if self.remote == Some(envelope.from) && self.session == envelope.session {
            return;
        }
        if let Some(old) = self.remote {
            if old != envelope.from {
                self.former.push_back(old);
                if self.former.len() > FORMER_COUNT {
                    self.former.pop_front();
                }
            }
            events.push(SessionEvent::Gone(old));
        }
        *self = Self {
            remote: Some(envelope.from),
            former: std::mem::take(&mut self.former),
            scheduled_at: self.scheduled_at,
            is_touched: self.is_touched,
            status: self.status,
            is_status_new: true,
            ..Self::new(self.settings, envelope.session, now)
        };
        events.push(SessionEvent::Up(envelope.from, envelope.role));
    }

    fn note_heard(&mut self, from: Incarnation, now: Instant, events: &mut SessionEvents) {
        self.heard_at = Some(now);
        if std::mem::take(&mut self.is_silent) {
            events.push(SessionEvent::Heard(from));
        }
    }

    fn take_acknowledgement(&mut self, received: MessageNumber, now: Instant) {
        let known = self.acknowledged + self.outbox.len() as MessageNumber;
        if received <= self.acknowledged || received > known {
            return;
        }
        for _ in self.acknowledged..received {
            self.outbox.pop_front();
        }
        self.acknowledged = received;
        self.sent = self.sent.max(received);
        self.resend_after = self.settings.resend_after;
        self.resend_at = (self.sent > self.acknowledged).then(|| now + self.resend_after);
        self.unacknowledged_since = self.resend_at.map(|_| now);
    }

    fn take_messages(
        &mut self,
        first: MessageNumber,
        messages: Vec<Message>,
        now: Instant,
        events: &mut SessionEvents,
    ) {
        let Some(from) = self.remote.filter(|_| !messages.is_empty()) else {
            return;
        };
        self.acknowledge_at
            .get_or_insert(now + self.settings.acknowledge_after);
        if first > self.received + 1 {
            // Something before these was lost; it will be sent again, and these after it.
            return;
        }
        let known_count = usize::try_from(self.received + 1 - first).unwrap_or(usize::MAX);
        for message in messages.into_iter().skip(known_count) {
            self.received += 1;
            events.push(SessionEvent::Message(from, message));
        }
    }

    /// Notices silence.
    pub(super) fn check_silence(&mut self, own: &Identity, now: Instant) -> Option<SessionEvent> {
        let remote = self.remote?;
        if self.is_silent || self.silence_at(own).is_none_or(|at| at >= now) {
            return None;
        }
        self.is_silent = true;
        Some(SessionEvent::Silent(remote))
    }

    /// Returns after which moment the other side counts as out of reach.
    fn silence_at(&self, own: &Identity) -> Option<Instant> {
        let heard_at = self.heard_at?;
        let at = match self.busy_since.or(self.unacknowledged_since) {
            Some(since) => heard_at.max(since) + self.settings.silent_after,
            None => heard_at + self.idle_beat_of(own.role.other()) * IDLE_BEATS_MISSED_MAX,
        };
        Some(at)
    }

    /// Returns the pause between datagrams that a role sends on a session without work.
    fn idle_beat_of(&self, role: Role) -> Duration {
        match role {
            Role::Entry => self.settings.keep_beat,
            Role::Sidecar => self.settings.idle_beat,
        }
    }

    fn beat(&self, own: &Identity) -> Duration {
        match self.busy_since {
            Some(_) => self.settings.busy_beat,
            None => self.idle_beat_of(own.role),
        }
    }

    /// Returns the shortest pause before a datagram that tells nothing but a new state. Whoever has no
    /// work here is told less often.
    fn status_pause(&self, own: &Identity) -> Duration {
        match self.busy_since {
            Some(_) => self.settings.status_every,
            None => self.beat(own) / 2,
        }
    }

    /// Returns when the session has to be looked at again if nothing happens before.
    pub(super) fn next_due(&self, own: &Identity, now: Instant) -> Instant {
        let sent_before = |pause: Duration| self.sent_at.map_or(now, |at| at + pause);
        if self.remote.is_none() || self.is_silent {
            return sent_before(self.settings.greet_every);
        }
        if self.has_unsent() {
            return now;
        }
        let status = self
            .is_status_new
            .then(|| sent_before(self.status_pause(own)));
        let dues = [
            self.resend_at,
            self.acknowledge_at,
            status,
            self.silence_at(own),
        ];
        let beat = sent_before(self.beat(own));
        dues.into_iter().flatten().fold(beat, Instant::min)
    }

    /// Returns the datagrams that are due.
    pub(super) fn poll(&mut self, own: &Identity, now: Instant) -> SmallVec<[Envelope; 1]> {
        let mut envelopes = SmallVec::new();
        if self.remote.is_none() || self.is_silent {
            if self.has_passed(self.settings.greet_every, now) {
                envelopes.push(self.envelope(own, now, 0, 0));
            }
            return envelopes;
        }
        if self.resend_at.is_some_and(|at| at <= now) {
            self.sent = self.acknowledged;
            self.resend_after = (self.resend_after * 2).min(self.settings.resend_after_max);
            self.resend_at = None;
        }
        while self.has_unsent() {
            let from = usize::try_from(self.sent - self.acknowledged).unwrap_or(usize::MAX);
            let count = (self.outbox.len() - from).min(MESSAGE_COUNT_MAX);
            envelopes.push(self.envelope(own, now, from, count));
            self.sent += count as MessageNumber;
            self.resend_at.get_or_insert(now + self.resend_after);
            self.unacknowledged_since.get_or_insert(now);
        }
        let is_due = self.acknowledge_at.is_some_and(|at| at <= now)
            || self.has_passed(self.beat(own), now)
            || (self.is_status_new && self.has_passed(self.status_pause(own), now));
        if envelopes.is_empty() && is_due {
            envelopes.push(self.envelope(own, now, 0, 0));
        }
        envelopes
    }

    fn has_unsent(&self) -> bool {
        let sent = self.sent - self.acknowledged;
        sent < self.outbox.len() as MessageNumber && sent < WINDOW_MESSAGE_COUNT as MessageNumber
    }

    fn has_passed(&self, pause: Duration, now: Instant) -> bool {
        self.sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= pause)
    }

    fn envelope(&mut self, own: &Identity, now: Instant, from: usize, count: usize) -> Envelope {
        self.sent_at = Some(now);
        self.acknowledge_at = None;
        self.is_status_new = false;
        Envelope {
            from: own.incarnation,
            role: own.role,
            to: self.remote.unwrap_or(0),
            session: self.session,
            is_closing: false,
            stamp_ms: own.stamp_ms(now),
            echo_ms: self.remote_stamp.map_or(0, |(stamp, _)| stamp),
            received: self.received,
            first: self.acknowledged + from as MessageNumber + 1,
            messages: self.outbox.iter().skip(from).take(count).cloned().collect(),
            status: self.status,
        }
    }
}
