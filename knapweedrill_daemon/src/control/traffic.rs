//! What went over the wire, as metrics.

use knapweedrill::link::LinkTableCounts;
use knapweedrill_wire::{DatagramCounts, LinkCounts};

use crate::telemetry::{Counter, Metrics};

/// Publishes the counts of links.
pub(super) fn publish_links(metrics: &Metrics, links: &LinkCounts, sessions: &LinkTableCounts) {
    metrics.raise_to(Counter::FramesSent, links.frames_sent_count);
    metrics.raise_to(Counter::FramesReceived, links.frames_received_count);
    metrics.raise_to(Counter::FramesMalformed, links.frames_malformed_count);
    metrics.raise_to(Counter::LinkBytesSent, links.bytes_sent_count);
    metrics.raise_to(Counter::ConnectionsRefused, links.connections_refused_count);
    metrics.raise_to(Counter::SessionsOpened, sessions.sessions_opened_count);
    metrics.raise_to(Counter::FramesFenced, sessions.frames_fenced_count);
}

/// Publishes the counts of heartbeats.
pub(super) fn publish_datagrams(metrics: &Metrics, datagrams: &DatagramCounts) {
    metrics.raise_to(Counter::DatagramBytesSent, datagrams.bytes_sent_count);
    metrics.raise_to(
        Counter::DatagramBytesReceived,
        datagrams.bytes_received_count,
    );
    metrics.raise_to(
        Counter::DatagramsMalformed,
        datagrams.datagrams_malformed_count,
    );
}
