use std::collections::HashMap;

use knapweedrill::dispatch::Packet;
use knapweedrill::dispatch::message::Message;
use knapweedrill::dispatch::session::SessionSettings;

use super::{PACKET_BYTES, Simulation};

/// The bytes of a packet besides the datagram: headers of UDP, IP and Ethernet.
const PACKET_OVERHEAD_BYTES: u64 = 46;

/// The rate of a link and the length of the queue in front of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkRate {
    pub(crate) bits_per_s: u64,
    /// The bytes that may wait; what does not fit is dropped.
    pub(crate) queue_bytes_max: u64,
    /// The bytes of an answer to a caller, which takes its turn on the link as well.
    pub(crate) answer_bytes: u64,
}

/// What a node has handed to its link, by kind; a datagram with messages counts as its first one.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct LinkUse {
    pub(crate) start_bytes: u64,
    pub(crate) start_count: u64,
    pub(crate) stop_bytes: u64,
    pub(crate) other_bytes: u64,
    pub(crate) dropped_bytes: u64,
    pub(crate) wait_max_ms: u64,
}

/// A link that sends datagrams one after the other.
#[derive(Debug)]
struct Link {
    rate: LinkRate,
    /// When all that waits has been sent, in microseconds.
    free_at_us: u64,
    usage: LinkUse,
}

/// The links of nodes that send at a limited rate.
#[derive(Debug, Default)]
pub(super) struct LinkRates {
    links: HashMap<usize, Link>,
    /// The rates that the settings of nodes name, in bytes a second.
    known_bytes_per_s: HashMap<usize, u64>,
}

impl Simulation {
    /// Limits the rate at which a node sends. The queue survives the processes of the node, and
    /// what is in it arrives.
    pub(crate) fn set_link_rate(&mut self, node: usize, rate: LinkRate) {
        let link = Link {
            rate,
            free_at_us: 0,
            usage: LinkUse::default(),
        };
        self.link_rates.links.insert(node, link);
    }

    /// Limits the rate at which a node sends, and starts its process anew with that rate in its
    /// settings.
    pub(crate) fn set_known_link_rate(&mut self, node: usize, rate: LinkRate) {
        self.set_link_rate(node, rate);
        let known = &mut self.link_rates.known_bytes_per_s;
        known.insert(node, rate.bits_per_s / 8);
        self.start_process(node);
    }

    /// Returns the settings of the sessions of a process that starts now.
    pub(super) fn session_settings(&self, node: usize) -> SessionSettings {
        SessionSettings {
            link_bytes_per_s: self.link_rates.known_bytes_per_s.get(&node).copied(),
            ..SessionSettings::default()
        }
    }

    /// Returns what a node with a limited rate has sent.
    pub(crate) fn link_use(&self, node: usize) -> LinkUse {
        let link = self.link_rates.links.get(&node);
        link.map_or_else(LinkUse::default, |link| link.usage)
    }

    /// Returns how long a datagram that is handed over now waits and is sent, in milliseconds.
    pub(crate) fn link_wait_ms(&self, node: usize) -> u64 {
        let link = self.link_rates.links.get(&node);
        link.map_or(0, |link| {
            link.free_at_us.saturating_sub(self.now_ms * 1_000) / 1_000
        })
    }

    /// Puts an answer to a caller into the queue of the link of its entry. That the answer arrives
    /// later is not modelled.
    pub(super) fn occupy_link(&mut self, entry: usize) {
        let now_us = self.now_ms * 1_000;
        if let Some(link) = self.link_rates.links.get_mut(&entry) {
            let sending_us = link.rate.answer_bytes * 8_000_000 / link.rate.bits_per_s;
            link.free_at_us = link.free_at_us.max(now_us) + sending_us;
        }
    }

    /// Returns how long a datagram takes to leave its node in milliseconds, or `None` if the queue
    /// of the link is full.
    pub(super) fn enqueue_at_link(
        &mut self,
        node: usize,
        packet: &Packet,
        datagram_bytes: u64,
    ) -> Option<u64> {
        let Some(link) = self.link_rates.links.get_mut(&node) else {
            return Some(0);
        };
        let packet_count = datagram_bytes.div_ceil(PACKET_BYTES);
        let bytes = datagram_bytes + packet_count * PACKET_OVERHEAD_BYTES;
        let now_us = self.now_ms * 1_000;
        let waiting_us = link.free_at_us.saturating_sub(now_us);
        let waiting_bytes = waiting_us * link.rate.bits_per_s / 8_000_000;
        if waiting_bytes + bytes > link.rate.queue_bytes_max {
            link.usage.dropped_bytes += bytes;
            return None;
        }
        let sending_us = bytes * 8_000_000 / link.rate.bits_per_s;
        link.free_at_us = link.free_at_us.max(now_us) + sending_us;
        let delay_ms = (link.free_at_us - now_us) / 1_000;
        link.usage.record(packet, bytes, delay_ms);
        Some(delay_ms)
    }
}

impl LinkUse {
    fn record(&mut self, packet: &Packet, bytes: u64, wait_ms: u64) {
        self.wait_max_ms = self.wait_max_ms.max(wait_ms);
        let messages = match packet {
            Packet::Session(envelope) => envelope.messages.as_slice(),
            Packet::Notice(_) => &[],
        };
        let is_start = |message: &&Message| matches!(message, Message::Start(_));
        self.start_count += messages.iter().filter(is_start).count() as u64;
        match messages.first() {
            Some(Message::Start(_)) => self.start_bytes += bytes,
            Some(Message::Stop { .. }) => self.stop_bytes += bytes,
            Some(
                Message::Report(_)
                | Message::Minion(_)
                | Message::Withdrawn { .. }
                | Message::Evacuation { .. },
            )
            | None => self.other_bytes += bytes,
        }
    }
}
