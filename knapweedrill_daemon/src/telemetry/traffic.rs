//! Metrics of the traffic on links and in heartbeats.

use knapweedrill::link::LinkTableCounts;
use knapweedrill::message::MessageKind;
use knapweedrill_wire::{DatagramSocket, KindCounts, Links};

use super::{Counter, Metrics};

/// Publishes the message and byte totals of a process's links and datagrams.
///
/// Messages that carry tasks, results or callers' requests count as task traffic; all other
/// messages and the heartbeats count as control traffic.
pub fn publish_traffic(metrics: &Metrics, links: &Links, datagrams: &DatagramSocket) {
    let mut tasks = KindCounts::default();
    let mut control = KindCounts::default();
    for kind in MessageKind::ALL {
        let counts = links.kind_counts(kind);
        let (messages, bytes) = message_counters(kind);
        metrics.raise_to(messages, counts.frames_sent_count);
        metrics.raise_to(bytes, counts.bytes_sent_count);
        let total = if kind.is_task_traffic() {
            &mut tasks
        } else {
            &mut control
        };
        accumulate(total, &counts);
    }
    publish_datagrams(metrics, datagrams, &mut control);
    metrics.raise_to(Counter::TaskMessagesSent, tasks.frames_sent_count);
    metrics.raise_to(Counter::TaskBytesSent, tasks.bytes_sent_count);
    metrics.raise_to(Counter::TaskMessagesReceived, tasks.frames_received_count);
    metrics.raise_to(Counter::TaskBytesReceived, tasks.bytes_received_count);
    metrics.raise_to(Counter::ControlMessagesSent, control.frames_sent_count);
    metrics.raise_to(Counter::ControlBytesSent, control.bytes_sent_count);
    metrics.raise_to(
        Counter::ControlMessagesReceived,
        control.frames_received_count,
    );
    metrics.raise_to(Counter::ControlBytesReceived, control.bytes_received_count);
    let counts = links.counts();
    metrics.raise_to(Counter::FramesMalformed, counts.frames_malformed_count);
    metrics.raise_to(
        Counter::ConnectionsRefused,
        counts.connections_refused_count,
    );
}

/// Publishes the totals of sessions opened, sessions replaced after silence and frames fenced.
pub fn publish_sessions(metrics: &Metrics, counts: LinkTableCounts) {
    metrics.raise_to(Counter::SessionsOpened, counts.opened_session_count);
    metrics.raise_to(Counter::ConnectionsSilent, counts.silent_session_count);
    metrics.raise_to(Counter::FramesFenced, counts.fenced_frame_count);
}

fn publish_datagrams(metrics: &Metrics, datagrams: &DatagramSocket, control: &mut KindCounts) {
    let counts = datagrams.counts();
    metrics.raise_to(Counter::DatagramsSent, counts.datagrams_sent_count);
    metrics.raise_to(Counter::DatagramBytesSent, counts.bytes_sent_count);
    metrics.raise_to(Counter::DatagramsReceived, counts.datagrams_received_count);
    let sidecar_bytes = counts.announcement_bytes_received_count;
    metrics.raise_to(Counter::SidecarDatagramBytesReceived, sidecar_bytes);
    metrics.raise_to(
        Counter::EntryDatagramBytesReceived,
        counts.bytes_received_count.saturating_sub(sidecar_bytes),
    );
    metrics.raise_to(
        Counter::DatagramsMalformed,
        counts.datagrams_malformed_count,
    );
    control.frames_sent_count += counts.datagrams_sent_count;
    control.bytes_sent_count += counts.bytes_sent_count;
    control.frames_received_count += counts.datagrams_received_count;
    control.bytes_received_count += counts.bytes_received_count;
}

fn accumulate(total: &mut KindCounts, counts: &KindCounts) {
    total.frames_sent_count += counts.frames_sent_count;
    total.bytes_sent_count += counts.bytes_sent_count;
    total.frames_received_count += counts.frames_received_count;
    total.bytes_received_count += counts.bytes_received_count;
}

/// Returns the counters of messages sent and bytes sent of a kind of message.
fn message_counters(kind: MessageKind) -> (Counter, Counter) {
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
