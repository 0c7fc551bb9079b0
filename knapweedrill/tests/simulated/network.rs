//! Links that delay messages, disconnect and reconnect.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::message::Message;
use rand::RngExt;
use rand::rngs::StdRng;

use super::Timing;

/// A notification or a message that a process receives over a link.
#[derive(Debug, Clone)]
pub(super) enum Delivery {
    /// A session opened, with its number.
    Connected(u64),
    /// The session closed.
    Disconnected,
    Message(Message),
}

#[derive(Debug, Clone)]
struct QueuedDelivery {
    due_at: Instant,
    delivery: Delivery,
}

/// One direction of a link, and the session that its sender considers open.
#[derive(Debug, Default)]
struct Direction {
    deliveries: VecDeque<QueuedDelivery>,
    sender_session: Option<u64>,
}

/// A link between two processes.
#[derive(Debug)]
struct Link {
    session: u64,
    is_open: bool,
    reopen_at: Instant,
}

type LinkKey = (Incarnation, Incarnation);

/// All links. Messages in one direction of a link keep their order, others do not.
#[derive(Debug, Default)]
pub(super) struct Network {
    links: BTreeMap<LinkKey, Link>,
    directions: BTreeMap<LinkKey, Direction>,
}

impl Network {
    /// Adds a link, unless it exists; it opens at the next call of [`Network::reopen`].
    pub(super) fn connect(&mut self, one: Incarnation, other: Incarnation, now: Instant) {
        self.links.entry(link_key(one, other)).or_insert(Link {
            session: 0,
            is_open: false,
            reopen_at: now,
        });
    }

    /// Opens the closed links whose outage is over, between processes that are not frozen.
    pub(super) fn reopen(&mut self, now: Instant, is_frozen: impl Fn(Incarnation) -> bool) {
        for ((one, other), link) in &mut self.links {
            if link.is_open || link.reopen_at > now || is_frozen(*one) || is_frozen(*other) {
                continue;
            }
            link.is_open = true;
            link.session += 1;
            for direction in [(*one, *other), (*other, *one)] {
                let direction = self.directions.entry(direction).or_default();
                direction.push(now, Delivery::Connected(link.session));
            }
        }
    }

    /// Sends a message, which is lost unless the sender's session is the open one.
    pub(super) fn send(
        &mut self,
        from: Incarnation,
        to: Incarnation,
        message: Message,
        due_at: Instant,
    ) {
        let Some(link) = self.links.get(&link_key(from, to)) else {
            return;
        };
        let direction = self.directions.entry((from, to)).or_default();
        if link.is_open && direction.sender_session == Some(link.session) {
            direction.push(due_at, Delivery::Message(message));
        }
    }

    /// Closes a link: each direction loses some messages in flight, and each end is notified.
    pub(super) fn disconnect(
        &mut self,
        (one, other): LinkKey,
        now: Instant,
        timing: &Timing,
        random: &mut StdRng,
        is_frozen: impl Fn(Incarnation) -> bool,
    ) {
        let Some(link) = self.links.get_mut(&link_key(one, other)) else {
            return;
        };
        if !link.is_open {
            return;
        }
        link.is_open = false;
        link.reopen_at = now + millis(random, timing.outage_ms.clone());
        for (from, to) in [(one, other), (other, one)] {
            let direction = self.directions.entry((from, to)).or_default();
            // A frozen process keeps its receive buffer and reads it when it resumes.
            if !is_frozen(to) {
                direction.drop_tail(random);
            }
            direction.push(
                now + millis(random, timing.detection_ms.clone()),
                Delivery::Disconnected,
            );
        }
    }

    /// Removes a process, and notifies its peers that their sessions closed.
    pub(super) fn remove(&mut self, gone: Incarnation, delivers_in_flight: bool, now: Instant) {
        let peers: Vec<Incarnation> = self
            .links
            .extract_if(.., |(one, other), _| *one == gone || *other == gone)
            .map(|((one, other), _)| if one == gone { other } else { one })
            .collect();
        for peer in peers {
            self.directions.remove(&(peer, gone));
            let direction = self.directions.entry((gone, peer)).or_default();
            if !delivers_in_flight {
                direction.deliveries.retain(|queued| queued.due_at <= now);
            }
            direction.push(now, Delivery::Disconnected);
        }
    }

    /// Takes a delivery that is due, from a random direction.
    ///
    /// Returns the sender, the receiver and the delivery.
    pub(super) fn next_due(
        &mut self,
        now: Instant,
        random: &mut StdRng,
        is_frozen: impl Fn(Incarnation) -> bool,
    ) -> Option<(Incarnation, Incarnation, Delivery)> {
        let ready: Vec<LinkKey> = self
            .directions
            .iter()
            .filter(|((_, to), direction)| direction.is_due(now) && !is_frozen(*to))
            .map(|(ends, _)| *ends)
            .collect();
        if ready.is_empty() {
            return None;
        }
        let (from, to) = ready[random.random_range(0..ready.len())];
        let queued = self
            .directions
            .get_mut(&(from, to))?
            .deliveries
            .pop_front()?;
        let session = match &queued.delivery {
            Delivery::Connected(session) => Some(Some(*session)),
            Delivery::Disconnected => Some(None),
            Delivery::Message(_) => None,
        };
        if let Some(session) = session {
            let back = self.directions.entry((to, from)).or_default();
            back.sender_session = session;
        }
        Some((from, to, queued.delivery))
    }

    /// Returns the links that are open.
    pub(super) fn open_links(&self) -> Vec<LinkKey> {
        let open = self.links.iter().filter(|(_, link)| link.is_open);
        open.map(|(ends, _)| *ends).collect()
    }
}

impl Direction {
    fn push(&mut self, due_at: Instant, delivery: Delivery) {
        let last = self.deliveries.back().map_or(due_at, |last| last.due_at);
        self.deliveries.push_back(QueuedDelivery {
            due_at: due_at.max(last),
            delivery,
        });
    }

    fn is_due(&self, now: Instant) -> bool {
        self.deliveries
            .front()
            .is_some_and(|queued| queued.due_at <= now)
    }

    /// Drops the messages from a random position on; session notifications are kept.
    fn drop_tail(&mut self, random: &mut StdRng) {
        let retained_count = random.random_range(0..=self.deliveries.len());
        let mut position = 0;
        self.deliveries.retain(|queued| {
            position += 1;
            position <= retained_count || !matches!(queued.delivery, Delivery::Message(_))
        });
    }
}

fn link_key(one: Incarnation, other: Incarnation) -> LinkKey {
    (one.min(other), one.max(other))
}

/// Returns a random duration from a range of milliseconds.
pub(super) fn millis(random: &mut StdRng, span_ms: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(span_ms))
}
