//! What goes over links and datagrams, as metrics.

use knapweedrill::link::LinkTableCounts;
use knapweedrill::message::MessageKind;
use knapweedrill_wire::{Datagrams, KindCounts, Links};

use super::{Counter, Metrics};

/// Publishes what has gone over the links and datagrams of a process.
///
/// Task traffic is what carries tasks, results and callers' requests; the rest and all heartbeats
/// are control traffic.
pub fn publish_traffic(metrics: &Metrics, links: &Links, datagrams: &Datagrams) {
    let mut tasks = KindCounts::default();
    let mut control = KindCounts::default();
    for kind in MessageKind::ALL {
        let counts = links.kind_counts(kind);
        let (messages, bytes) = counters_of(kind);
        metrics.raise(messages, counts.frames_sent_count);
        metrics.raise(bytes, counts.bytes_sent_count);
        let sum = if kind.is_task_traffic() {
            &mut tasks
        } else {
            &mut control
        };
        add(sum, &counts);
    }
    publish_datagrams(metrics, datagrams, &mut control);
    metrics.raise(Counter::TaskMessagesSent, tasks.frames_sent_count);
    metrics.raise(Counter::TaskBytesSent, tasks.bytes_sent_count);
    metrics.raise(Counter::TaskMessagesReceived, tasks.frames_received_count);
    metrics.raise(Counter::TaskBytesReceived, tasks.bytes_received_count);
    metrics.raise(Counter::ControlMessagesSent, control.frames_sent_count);
    metrics.raise(Counter::ControlBytesSent, control.bytes_sent_count);
    metrics.raise(
        Counter::ControlMessagesReceived,
        control.frames_received_count,
    );
    metrics.raise(Counter::ControlBytesReceived, control.bytes_received_count);
    let counts = links.counts();
    metrics.raise(Counter::FramesMalformed, counts.frames_malformed_count);
    metrics.raise(
        Counter::ConnectionsRefused,
        counts.connections_refused_count,
    );
}

/// Publishes what became of the sessions of a process.
pub fn publish_sessions(metrics: &Metrics, counts: LinkTableCounts) {
    metrics.raise(Counter::SessionsOpened, counts.sessions_opened_count);
    metrics.raise(Counter::ConnectionsSilent, counts.sessions_silent_count);
    metrics.raise(Counter::FramesFenced, counts.frames_fenced_count);
}

fn publish_datagrams(metrics: &Metrics, datagrams: &Datagrams, control: &mut KindCounts) {
    let counts = datagrams.counts();
    metrics.raise(Counter::DatagramsSent, counts.datagrams_sent_count);
    metrics.raise(Counter::DatagramBytesSent, counts.bytes_sent_count);
    metrics.raise(Counter::DatagramsReceived, counts.datagrams_received_count);
    let sidecar_bytes = counts.announcement_bytes_received_count;
    metrics.raise(Counter::SidecarDatagramBytesReceived, sidecar_bytes);
    metrics.raise(
        Counter::EntryDatagramBytesReceived,
        counts.bytes_received_count.saturating_sub(sidecar_bytes),
    );
    metrics.raise(
        Counter::DatagramsMalformed,
        counts.datagrams_malformed_count,
    );
    control.frames_sent_count += counts.datagrams_sent_count;
    control.bytes_sent_count += counts.bytes_sent_count;
    control.frames_received_count += counts.datagrams_received_count;
    control.bytes_received_count += counts.bytes_received_count;
}

fn add(sum: &mut KindCounts, counts: &KindCounts) {
    sum.frames_sent_count += counts.frames_sent_count;
    sum.bytes_sent_count += counts.bytes_sent_count;
    sum.frames_received_count += counts.frames_received_count;
    sum.bytes_received_count += counts.bytes_received_count;
}

fn counters_of(kind: MessageKind) -> (Counter, Counter) {
    match kind {
        MessageKind::Start => (Counter::StartMessages, Counter::StartBytes),
        MessageKind::Reports => (Counter::ReportsMessages, Counter::ReportsBytes),
        MessageKind::Demands => (Counter::DemandsMessages, Counter::DemandsBytes),
        MessageKind::Slots => (Counter::SlotsMessages, Counter::SlotsBytes),
        MessageKind::ReturnCredit => (Counter::ReturnCreditMessages, Counter::ReturnCreditBytes),
        MessageKind::Cancel => (Counter::CancelMessages, Counter::CancelBytes),
        MessageKind::Settle => (Counter::SettleMessages, Counter::SettleBytes),
        MessageKind::Relay => (Counter::RelayMessages, Counter::RelayBytes),
        MessageKind::HandOver => (Counter::HandOverMessages, Counter::HandOverBytes),
        MessageKind::Roster => (Counter::RosterMessages, Counter::RosterBytes),
        MessageKind::Configuration => (Counter::ConfigurationMessages, Counter::ConfigurationBytes),
        MessageKind::Session => (Counter::SessionMessages, Counter::SessionBytes),
    }
}
