//! The local end of one session.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::SessionSettings;
use super::envelope::{Envelope, MessageNumber, SessionNumber};
use super::queued_message::QueuedMessage;
use super::round_trip::RoundTrip;
use super::sessions::Identity;
use crate::common::Incarnation;
use crate::dispatch::message::{Message, Role, SidecarStatus, StampMs};
use crate::dispatch::units::millis;

/// The maximum number of messages in a datagram. Twelve orders of 4 KB, the longest there are, fit
/// into the 64 KiB of a datagram.
const DATAGRAM_MESSAGE_COUNT_MAX: usize = 12;

/// The send window: the maximum number of unacknowledged messages in flight.
const SEND_WINDOW_MESSAGE_COUNT: usize = 10 * DATAGRAM_MESSAGE_COUNT_MAX;

/// The number of former incarnations of a process that are remembered, to drop their late
/// datagrams. More than the restarts that a late datagram can span.
const FORMER_INCARNATION_COUNT_MAX: usize = 8;

/// The time after which an acknowledgement of a stop order counts as late and is logged.
const LATE_STOP_AFTER: Duration = Duration::from_millis(600);

/// The number of heartbeats that the other side of a session without work may miss.
const MISSED_IDLE_HEARTBEAT_COUNT_MAX: u32 = 3;

/// A change of a session, or data that arrived on it, with the incarnation of the other process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEvent {
    /// The session is established; messages can be sent.
    Connected(Incarnation, Role),
    /// The session has ended: the other side closed, dropped or replaced it, it expired, or another
    /// process has taken over the address.
    Disconnected(Incarnation),
    /// The other side has sent nothing for longer than the silence timeout.
    Silent(Incarnation),
    /// A datagram arrived after the session was reported silent.
    Resumed(Incarnation),
    /// A message arrived, in order and for the first time.
    Message(Incarnation, Message),
    /// A status arrived, with the number of the last of our messages that it accounts for.
    Status(Incarnation, SidecarStatus, MessageNumber),
}

/// A stop order that the other side has not acknowledged.
#[derive(Debug)]
struct PendingStop {
    number: MessageNumber,
    queued_at: Instant,
    /// The stamp to echo when the order was queued, or 0 if there was none.
    stamp_ms: StampMs,
}

/// The events caused by one datagram.
pub(super) type SessionEvents = SmallVec<[SessionEvent; 4]>;

/// The session with the process at one address.
#[derive(Debug)]
pub(super) struct Peer {
    settings: SessionSettings,
    session: SessionNumber,
    /// The earliest entry of this session in the timer queue.
    pub(super) scheduled_at: Option<Instant>,
    /// Whether the session has changed since it was last polled.
    pub(super) is_dirty: bool,
    opened_at: Instant,
    remote: Option<Incarnation>,
    former_incarnations: VecDeque<Incarnation>,
    /// Unacknowledged messages; the first has the number `acknowledged + 1`.
    outbox: VecDeque<QueuedMessage>,
    /// The stop orders among them.
    pending_stops: VecDeque<PendingStop>,
    acknowledged: MessageNumber,
    sent: MessageNumber,
    retransmit_at: Option<Instant>,
    /// By how often the retransmission timeout has been doubled since the last progress.
    backoff_count: u32,
    round_trip: RoundTrip,
    /// The message whose round trip is measured, and when it was first sent.
    timed: Option<(MessageNumber, Instant)>,
    /// The stamp of the last retransmission, and the last message that was sent before it.
    repeated: Option<(StampMs, MessageNumber)>,
    /// Since when a sent message has been waiting for an acknowledgement.
    unacknowledged_since: Option<Instant>,
    received: MessageNumber,
    /// Messages that arrived before an earlier one.
    early: BTreeMap<MessageNumber, Message>,
    acknowledge_at: Option<Instant>,
    /// The newest stamp of the other side that was within the limit when the next one arrived, and
    /// its time of arrival.
    remote_stamp: Option<(StampMs, Instant)>,
    /// The first newer stamp, which counts once its arrival is within the limit.
    next_remote_stamp: Option<(StampMs, Instant)>,
    /// The newest stamp of the other side that has arrived.
    arrived_stamp_ms: StampMs,
    /// The newest of our own stamps that the other side has echoed.
    echo_ms: StampMs,
    last_received_at: Option<Instant>,
    /// Since when the session has had work, that is, placements that have not ended.
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
            is_dirty: false,
            opened_at: now,
            remote: None,
            former_incarnations: VecDeque::new(),
            outbox: VecDeque::new(),
            pending_stops: VecDeque::new(),
            acknowledged: 0,
            sent: 0,
            retransmit_at: None,
            backoff_count: 0,
            round_trip: RoundTrip::default(),
            timed: None,
            repeated: None,
            unacknowledged_since: None,
            received: 0,
            early: BTreeMap::new(),
            acknowledge_at: None,
            remote_stamp: None,
            next_remote_stamp: None,
            arrived_stamp_ms: 0,
            echo_ms: 0,
            last_received_at: None,
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

    /// Returns the newest known stamp of the other side that arrived before a limit, and its time of
    /// arrival. Without a limit it is the newest of all.
    pub(super) fn remote_stamp(&self, limit: Option<Instant>) -> Option<(StampMs, Instant)> {
        let is_within =
            |(_, arrived_at): &(StampMs, Instant)| limit.is_none_or(|limit| *arrived_at <= limit);
        self.next_remote_stamp
            .filter(is_within)
            .or(self.remote_stamp)
    }

    /// Records the arrival of a stamp.
    ///
    /// Of those beyond the limit only the first is kept: later ones would move ahead of a limit that
    /// lags by a constant time, so that none would ever count.
    fn record_stamp(&mut self, stamp_ms: StampMs, limit: Option<Instant>, now: Instant) {
        if stamp_ms <= self.arrived_stamp_ms {
            return;
        }
        self.arrived_stamp_ms = stamp_ms;
        let counting = self.remote_stamp(limit);
        if self.next_remote_stamp.is_none() || counting == self.next_remote_stamp {
            self.remote_stamp = counting;
            self.next_remote_stamp = Some((stamp_ms, now));
        }
    }

    /// Queues a message and returns its number and its encoded size in bytes.
    pub(super) fn push(
        &mut self,
        message: Message,
        stamp_limit: Option<Instant>,
        now: Instant,
    ) -> (MessageNumber, u64) {
        let number = self.acknowledged + self.outbox.len() as MessageNumber + 1;
        if let Message::Stop { task, attempt } = message {
            let mut orders = self.outbox.iter_mut().rev();
            orders.any(|queued| queued.cancel_start(task, attempt, now));
            self.pending_stops.push_back(PendingStop {
                number,
                queued_at: now,
                stamp_ms: self.echo_stamp_ms(stamp_limit),
            });
        }
        let stamp = self.remote_stamp(stamp_limit);
        let void_at = stamp.map(|(_, arrived_at)| arrived_at + self.settings.order_age_max);
        let queued = QueuedMessage::new(message, void_at);
        let bytes = queued.bytes() as u64;
        self.outbox.push_back(queued);
        (number, bytes)
    }

    /// Returns the stamp to echo. A sidecar takes an echo as proof that the entry still wanted its
    /// runs after that stamp, which is no longer true once a stop order is pending.
    fn echo_stamp_ms(&self, limit: Option<Instant>) -> StampMs {
        let stamp_ms = self.remote_stamp(limit).map_or(0, |(stamp_ms, _)| stamp_ms);
        let pending = self.pending_stops.front();
        pending.map_or(stamp_ms, |stop| stop.stamp_ms.min(stamp_ms))
    }

    /// Returns when the oldest stop order without an acknowledgement was queued.
    pub(super) fn stop_pending_since(&self) -> Option<Instant> {
        self.pending_stops.front().map(|stop| stop.queued_at)
    }

    /// Sets the status to send to the other side, and returns whether it differs from the last.
    pub(super) fn set_status(&mut self, status: SidecarStatus) -> bool {
        let is_new = self.status != Some(status);
        self.status = Some(status);
        self.is_status_new |= is_new;
        is_new
    }

    /// Sets whether the session has work, and returns whether that has changed.
    pub(super) fn set_busy(&mut self, is_busy: bool, now: Instant) -> bool {
        let is_new = is_busy != self.busy_since.is_some();
        if is_new {
            self.busy_since = is_busy.then_some(now);
        }
        is_new
    }

    /// Returns the number of the last message that has been sent.
    pub(super) fn last_sent(&self) -> MessageNumber {
        self.sent
    }

    /// Returns the number of messages without an acknowledgement.
    pub(super) fn queued_message_count(&self) -> usize {
        self.outbox.len()
    }

    /// Returns the number of the session.
    pub(super) fn session(&self) -> SessionNumber {
        self.session
    }

    /// Returns when the last datagram arrived, or when the session was opened if none has.
    pub(super) fn last_received_at(&self) -> Instant {
        self.last_received_at.unwrap_or(self.opened_at)
    }

    pub(super) fn receive(
        &mut self,
        envelope: Envelope,
        own: &Identity,
        stamp_limit: Option<Instant>,
        now: Instant,
    ) -> SessionEvents {
        let mut events = SessionEvents::new();
        if self.former_incarnations.contains(&envelope.from) {
            return events;
        }
        self.adopt_session(&envelope, now, &mut events);
        if envelope.to != own.incarnation {
            // A hello, or a datagram for the previous process at this address: answered at once, so
            // that the sender learns our incarnation.
            self.acknowledge_at = Some(now);
            self.record_arrival(envelope.from, now, &mut events);
            return events;
        }
        self.record_arrival(envelope.from, now, &mut events);
        let is_newest = envelope.stamp_ms >= self.arrived_stamp_ms;
        self.record_stamp(envelope.stamp_ms, stamp_limit, now);
        // Ignores an echo of a stamp that this process can't have sent yet.
        if envelope.echo_ms <= own.stamp_ms(now) {
            self.echo_ms = self.echo_ms.max(envelope.echo_ms);
        }
        self.handle_acknowledgement(&envelope, own, now);
        self.accept_messages(envelope.first, envelope.messages, now, &mut events);
        if let Some(status) = envelope.status.filter(|_| is_newest) {
            events.push(SessionEvent::Status(
                envelope.from,
                status,
                envelope.received,
            ));
        }
        events
    }

    fn adopt_session(&mut self, envelope: &Envelope, now: Instant, events: &mut SessionEvents) {
        if self.remote == Some(envelope.from) && self.session == envelope.session {
            return;
        }
        if let Some(old) = self.remote {
            if old != envelope.from {
                self.former_incarnations.push_back(old);
                if self.former_incarnations.len() > FORMER_INCARNATION_COUNT_MAX {
                    self.former_incarnations.pop_front();
                }
            }
            events.push(SessionEvent::Disconnected(old));
        }
        *self = Self {
            remote: Some(envelope.from),
            former_incarnations: std::mem::take(&mut self.former_incarnations),
            scheduled_at: self.scheduled_at,
            is_dirty: self.is_dirty,
            status: self.status,
            is_status_new: true,
            ..Self::new(self.settings, envelope.session, now)
        };
        events.push(SessionEvent::Connected(envelope.from, envelope.role));
    }

    fn record_arrival(&mut self, from: Incarnation, now: Instant, events: &mut SessionEvents) {
        self.last_received_at = Some(now);
        if std::mem::take(&mut self.is_silent) {
            events.push(SessionEvent::Resumed(from));
        }
    }

    fn handle_acknowledgement(&mut self, envelope: &Envelope, own: &Identity, now: Instant) {
        let received = envelope.received;
        let known = self.acknowledged + self.outbox.len() as MessageNumber;
        if received <= self.acknowledged || received > known {
            return;
        }
        for _ in self.acknowledged..received {
            self.outbox.pop_front();
        }
        self.drop_acknowledged_stops(received, now);
        self.acknowledged = received;
        self.sent = self.sent.max(received);
        self.measure_round_trip(received, envelope.echo_ms, own, now);
        self.backoff_count = 0;
        let is_next_lost = self
            .repeated
            .is_some_and(|(stamp_ms, last)| envelope.echo_ms >= stamp_ms && received < last);
        let delay = if is_next_lost {
            Duration::ZERO
        } else {
            self.retransmit_delay()
        };
        self.retransmit_at = (self.sent > self.acknowledged).then(|| now + delay);
        self.unacknowledged_since = self.retransmit_at.map(|_| now);
    }

    /// Measures the round trip of the timed message once it is acknowledged. The newest stamp that
    /// the other side echoes tells which transmission of a repeated message had arrived.
    fn measure_round_trip(
        &mut self,
        received: MessageNumber,
        echo_ms: StampMs,
        own: &Identity,
        now: Instant,
    ) {
        let Some((_, sent_at)) = self.timed.take_if(|(number, _)| *number <= received) else {
            return;
        };
        let sent_at = match echo_ms {
            0 => sent_at,
            _ => sent_at.max(own.instant_from_stamp(echo_ms, now)),
        };
        self.round_trip
            .record(now.saturating_duration_since(sent_at));
    }

    /// Returns how long to wait for the acknowledgement of a message before it is repeated.
    fn retransmit_delay(&self) -> Duration {
        let delay = self.round_trip.timeout(self.settings.retransmit_delay);
        let factor = 2_u32.saturating_pow(self.backoff_count);
        // While a stop order waits to be repeated, the runs of this entry count down their silence.
        delay
            .saturating_mul(factor)
            .min(self.settings.retransmit_delay_max)
    }

    fn drop_acknowledged_stops(&mut self, received: MessageNumber, now: Instant) {
        while let Some(stop) = self
            .pending_stops
            .pop_front_if(|stop| stop.number <= received)
        {
            let delay = now.saturating_duration_since(stop.queued_at);
            if delay > LATE_STOP_AFTER {
                log::warn!(
                    process:% = self.remote.unwrap_or(0), delay_ms = millis(delay);
                    "stop order acknowledged late"
                );
            }
        }
    }

    fn accept_messages(
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
            .get_or_insert(now + self.settings.acknowledgement_delay);
        let last = self.received + SEND_WINDOW_MESSAGE_COUNT as MessageNumber;
        for (number, message) in (first..=last).zip(messages) {
            if number > self.received {
                self.early.entry(number).or_insert(message);
            }
        }
        while let Some(message) = self.early.remove(&(self.received + 1)) {
            self.received += 1;
            events.push(SessionEvent::Message(from, message));
        }
    }

    /// Returns an event if the other side has become silent.
    pub(super) fn check_silence(&mut self, own: &Identity, now: Instant) -> Option<SessionEvent> {
        let remote = self.remote?;
        if self.is_silent || self.silence_at(own).is_none_or(|at| at >= now) {
            return None;
        }
        self.is_silent = true;
        Some(SessionEvent::Silent(remote))
    }

    /// Returns the time after which the other side counts as unreachable.
    fn silence_at(&self, own: &Identity) -> Option<Instant> {
        let last_received_at = self.last_received_at?;
        let at = match self.busy_since.or(self.unacknowledged_since) {
            Some(since) => last_received_at.max(since) + self.settings.silence_timeout,
            None => {
                last_received_at
                    + self.idle_heartbeat_period(own.role.peer()) * MISSED_IDLE_HEARTBEAT_COUNT_MAX
            }
        };
        Some(at)
    }

    /// Returns the period of the heartbeats that a role sends on a session without work.
    fn idle_heartbeat_period(&self, role: Role) -> Duration {
        match role {
            Role::Entry => self.settings.entry_idle_heartbeat_period,
            Role::Sidecar => self.settings.sidecar_idle_heartbeat_period,
        }
    }

    fn heartbeat_period(&self, own: &Identity) -> Duration {
        match self.busy_since {
            Some(_) => self.settings.busy_heartbeat_period,
            None => self.idle_heartbeat_period(own.role),
        }
    }

    /// Returns the shortest interval before a datagram that carries only a changed status. It is
    /// longer while the session has no work.
    fn status_interval(&self, own: &Identity) -> Duration {
        match self.busy_since {
            Some(_) => self.settings.status_interval_min,
            None => self.heartbeat_period(own) / 2,
        }
    }

    /// Returns when the session has to be polled next if nothing changes before.
    pub(super) fn next_due(&self, own: &Identity, now: Instant) -> Instant {
        let after_last_send = |interval: Duration| self.sent_at.map_or(now, |at| at + interval);
        if self.remote.is_none() || self.is_silent {
            return after_last_send(self.settings.hello_interval);
        }
        if self.has_unsent() {
            return now;
        }
        let status = self
            .is_status_new
            .then(|| after_last_send(self.status_interval(own)));
        let dues = [
            self.retransmit_at,
            self.acknowledge_at,
            status,
            self.silence_at(own),
        ];
        let heartbeat = after_last_send(self.heartbeat_period(own));
        dues.into_iter().flatten().fold(heartbeat, Instant::min)
    }

    /// Returns the datagrams that are due.
    pub(super) fn poll(
        &mut self,
        own: &Identity,
        stamp_limit: Option<Instant>,
        now: Instant,
    ) -> SmallVec<[Envelope; 1]> {
        let echo_ms = self.echo_stamp_ms(stamp_limit);
        let mut envelopes = SmallVec::new();
        if self.remote.is_none() || self.is_silent {
            if self.has_passed(self.settings.hello_interval, now) {
                envelopes.push(self.envelope(own, echo_ms, now, 0, 0));
            }
            return envelopes;
        }
        if self.retransmit_at.is_some_and(|at| at <= now) {
            let sent = usize::try_from(self.sent - self.acknowledged).unwrap_or(usize::MAX);
            let count = sent.min(DATAGRAM_MESSAGE_COUNT_MAX);
            envelopes.push(self.envelope(own, echo_ms, now, 0, count));
            self.repeated = Some((own.stamp_ms(now), self.sent));
            self.backoff_count += 1;
            self.retransmit_at = Some(now + self.retransmit_delay());
        }
        while self.has_unsent() {
            let from = usize::try_from(self.sent - self.acknowledged).unwrap_or(usize::MAX);
            let count = (self.outbox.len() - from).min(DATAGRAM_MESSAGE_COUNT_MAX);
            envelopes.push(self.envelope(own, echo_ms, now, from, count));
            self.sent += count as MessageNumber;
            self.timed.get_or_insert((self.sent, now));
            let retransmit_delay = self.retransmit_delay();
            self.retransmit_at.get_or_insert(now + retransmit_delay);
            self.unacknowledged_since.get_or_insert(now);
        }
        let is_due = self.acknowledge_at.is_some_and(|at| at <= now)
            || self.has_passed(self.heartbeat_period(own), now)
            || (self.is_status_new && self.has_passed(self.status_interval(own), now));
        if envelopes.is_empty() && is_due {
            envelopes.push(self.envelope(own, echo_ms, now, 0, 0));
        }
        envelopes
    }

    fn has_unsent(&self) -> bool {
        let sent = self.sent - self.acknowledged;
        sent < self.outbox.len() as MessageNumber
            && sent < SEND_WINDOW_MESSAGE_COUNT as MessageNumber
    }

    fn has_passed(&self, interval: Duration, now: Instant) -> bool {
        self.sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }

    fn envelope(
        &mut self,
        own: &Identity,
        echo_ms: StampMs,
        now: Instant,
        from: usize,
        count: usize,
    ) -> Envelope {
        self.sent_at = Some(now);
        self.acknowledge_at = None;
        self.is_status_new = false;
        let mut messages = Vec::with_capacity(count);
        // The other direction may be free, so that an order takes as long as a round trip.
        let transit = self
            .round_trip
            .smoothed()
            .min(self.settings.order_age_max / 2);
        for queued in self.outbox.iter_mut().skip(from).take(count) {
            queued.withdraw_if_void(now + transit);
            messages.push(queued.message().clone());
        }
        Envelope {
            from: own.incarnation,
            role: own.role,
            to: self.remote.unwrap_or(0),
            session: self.session,
            is_closing: false,
            stamp_ms: own.stamp_ms(now),
            echo_ms,
            received: self.received,
            first: self.acknowledged + from as MessageNumber + 1,
            messages,
            status: self.status,
        }
    }
}
