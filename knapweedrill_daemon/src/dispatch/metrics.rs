//! Metrics of a process, served in the Prometheus text format.

use std::time::Duration;

use eyre::{Result, WrapErr};
use knapweedrill::dispatch::entry::{Answer, RackWaitCounts, RefusalReason};
use knapweedrill::dispatch::message::{PlacementOutcome, RefusalCause, RunEnd};
use knapweedrill::dispatch::session::{SentKind, SentMessages};
use knapweedrill::dispatch::sidecar::OrderAnswer;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use super::client_limits::{BudgetCounts, BudgetUsage};

/// The port at which metrics are served; the deployment file names the same port.
pub(super) const METRICS_PORT: u16 = 9_464;

/// The path at which metrics are served.
pub(super) const METRICS_PATH: &str = "/metrics";

/// The bucket bounds of duration histograms, in seconds: from a short task to the longest timeout
/// of callers.
const DURATION_BUCKETS_S: [f64; 9] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 3.6];

/// The interval at which gauges are updated, well below the scrape interval.
pub(super) const GAUGE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The metrics of a process. Clones share their values.
#[derive(Debug, Clone)]
pub(super) struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    answer_seconds: HistogramVec,
    placements: IntCounterVec,
    run_seconds: HistogramVec,
    minion_calls: IntCounterVec,
    sent_messages: IntCounterVec,
    sent_message_bytes: IntCounterVec,
    rack_waits: IntCounterVec,
    rack_wait_milliseconds: IntCounter,
    client_limits: IntCounterVec,
    gauges: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the Prometheus library rejects a metric.
    pub(super) fn new() -> Result<Self> {
        let answers = IntCounterVec::new(
            Opts::new("knapweedrill_answers_total", "Answers to callers."),
            &["queue", "answer", "reason"],
        );
        let answer_seconds = HistogramVec::new(
            HistogramOpts::new(
                "knapweedrill_answer_seconds",
                "Time from request to answer.",
            )
            .buckets(DURATION_BUCKETS_S.to_vec()),
            &["queue", "answer"],
        );
        let placements = IntCounterVec::new(
            Opts::new(
                "knapweedrill_placements_total",
                "Placements of tasks by how they ended.",
            ),
            &["outcome"],
        );
        let run_seconds = HistogramVec::new(
            HistogramOpts::new(
                "knapweedrill_run_seconds",
                "Time from order to end of runs, as their sidecar knows it.",
            )
            .buckets(DURATION_BUCKETS_S.to_vec()),
            &["outcome"],
        );
        let minion_calls = IntCounterVec::new(
            Opts::new("knapweedrill_minion_calls_total", "Calls of the minion."),
            &["call", "answer"],
        );
        let sent_messages = IntCounterVec::new(
            Opts::new(
                "knapweedrill_sent_messages_total",
                "Messages sent to sidecars, by kind.",
            ),
            &["kind"],
        );
        let sent_message_bytes = IntCounterVec::new(
            Opts::new(
                "knapweedrill_sent_message_bytes_total",
                "Size of the messages sent to sidecars, by kind.",
            ),
            &["kind"],
        );
        let rack_waits = IntCounterVec::new(
            Opts::new(
                "knapweedrill_rack_waits_total",
                "Tasks that waited for the rack of their data, by how the wait ended.",
            ),
            &["outcome"],
        );
        let rack_wait_milliseconds = IntCounter::new(
            "knapweedrill_rack_wait_milliseconds_total",
            "Time that tasks waited for the rack of their data.",
        );
        let client_limits = IntCounterVec::new(
            Opts::new(
                "knapweedrill_client_limits_total",
                "Requests refused and connections closed because of a limit for clients.",
            ),
            &["action"],
        );
        let gauges = IntGaugeVec::new(
            Opts::new("knapweedrill_level", "Levels that rise and fall, by name."),
            &["name"],
        );
        let metrics = Self {
            registry: Registry::new(),
            answers: answers.wrap_err("can't create the counter of answers")?,
            answer_seconds: answer_seconds.wrap_err("can't create the histogram of answers")?,
            placements: placements.wrap_err("can't create the counter of placements")?,
            run_seconds: run_seconds.wrap_err("can't create the histogram of runs")?,
            minion_calls: minion_calls.wrap_err("can't create the counter of minion calls")?,
            sent_messages: sent_messages.wrap_err("can't create the counter of sent messages")?,
            sent_message_bytes: sent_message_bytes
                .wrap_err("can't create the counter of sent bytes")?,
            rack_waits: rack_waits.wrap_err("can't create the counter of rack waits")?,
            rack_wait_milliseconds: rack_wait_milliseconds
                .wrap_err("can't create the counter of the time waited for racks")?,
            client_limits: client_limits.wrap_err("can't create the counter of client limits")?,
            gauges: gauges.wrap_err("can't create the gauges")?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.answers.clone()))?;
        registry.register(Box::new(metrics.answer_seconds.clone()))?;
        registry.register(Box::new(metrics.placements.clone()))?;
        registry.register(Box::new(metrics.run_seconds.clone()))?;
        registry.register(Box::new(metrics.minion_calls.clone()))?;
        registry.register(Box::new(metrics.sent_messages.clone()))?;
        registry.register(Box::new(metrics.sent_message_bytes.clone()))?;
        registry.register(Box::new(metrics.rack_waits.clone()))?;
        registry.register(Box::new(metrics.rack_wait_milliseconds.clone()))?;
        registry.register(Box::new(metrics.client_limits.clone()))?;
        registry.register(Box::new(metrics.gauges.clone()))?;
        Ok(metrics)
    }

    /// Counts an answer to a caller and records its response time.
    pub(super) fn count_answer(&self, queue: &str, answer: Answer, time: Duration) {
        let (answer, reason) = answer_labels(answer);
        self.answers
            .with_label_values(&[queue, answer, reason])
            .inc();
        self.answer_seconds
            .with_label_values(&[queue, answer])
            .observe(time.as_secs_f64());
    }

    /// Counts the outcome of a placement and records the run time of an ended run.
    pub(super) fn count_placement(&self, outcome: PlacementOutcome) {
        let name = match outcome {
            PlacementOutcome::Refused(cause) => refusal_label(cause),
            PlacementOutcome::Ended { end, run_time } => {
                let name = end_label(end);
                self.run_seconds
                    .with_label_values(&[name])
                    .observe(run_time.as_secs_f64());
                name
            }
        };
        self.placements.with_label_values(&[name]).inc();
    }

    /// Counts a call of the minion by operation and answer.
    pub(super) fn count_minion_call(&self, call: &str, answer: &str) {
        self.minion_calls.with_label_values(&[call, answer]).inc();
    }

    /// Updates the counters of sent messages to the counts since the start of the process.
    pub(super) fn update_sent_messages(&self, sent: &SentMessages) {
        for kind in SentKind::ALL {
            let label = [sent_kind_label(kind)];
            let count = sent.count(kind);
            let messages = self.sent_messages.with_label_values(&label);
            messages.inc_by(count.messages.saturating_sub(messages.get()));
            let bytes = self.sent_message_bytes.with_label_values(&label);
            bytes.inc_by(count.bytes.saturating_sub(bytes.get()));
        }
    }

    /// Updates the counters of the tasks that waited for their rack to the counts since the start of
    /// the process.
    pub(super) fn update_rack_waits(&self, counts: RackWaitCounts) {
        let outcomes = [
            ("placed", counts.placed),
            ("given-up", counts.given_up),
            ("ended", counts.ended),
        ];
        for (outcome, count) in outcomes {
            let counter = self.rack_waits.with_label_values(&[outcome]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        let counter = &self.rack_wait_milliseconds;
        let waited_ms = u64::try_from(counts.waited.as_millis()).unwrap_or(u64::MAX);
        counter.inc_by(waited_ms.saturating_sub(counter.get()));
    }

    /// Updates what clients use, and how often they were refused or closed since the start of the process.
    pub(super) fn update_clients(&self, usage: BudgetUsage, counts: &BudgetCounts) {
        self.set_gauge("client_connections", usage.connection_count as u64);
        self.set_gauge("client_large_bytes", usage.large_bytes);
        for (action, count) in [
            ("request-refused", counts.refused_requests),
            ("connection-refused", counts.refused_connections),
            ("closed-head", counts.closed_for_head),
            ("closed-memory", counts.closed_for_memory),
            ("closed-connections", counts.closed_for_connections),
        ] {
            let counter = self.client_limits.with_label_values(&[action]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Sets the gauge with this name.
    pub(super) fn set_gauge(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(super) fn encode(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| {
                log::error!(error:% = error; "can't encode the metrics");
                String::new()
            })
    }
}

fn sent_kind_label(kind: SentKind) -> &'static str {
    match kind {
        SentKind::Start => "start",
        SentKind::RepeatedStart => "repeated-start",
        SentKind::Withdrawal => "withdrawal",
        SentKind::Stop => "stop",
        SentKind::Other => "other",
    }
}

fn end_label(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::Lost => "lost",
        RunEnd::Crashed => "crashed",
        RunEnd::CrashedUnconfirmed => "crashed-unconfirmed",
    }
}

fn refusal_label(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::NoRoom => "refused-no-room",
        RefusalCause::Draining => "refused-draining",
        RefusalCause::NoMinion => "refused-no-minion",
        RefusalCause::OtherService => "refused-other-service",
        RefusalCause::OtherLabels => "refused-other-labels",
        RefusalCause::Stale => "refused-stale",
        RefusalCause::Unhealthy => "refused-unhealthy",
        RefusalCause::NotAlone => "refused-not-alone",
        RefusalCause::Evacuated => "refused-evacuated",
    }
}

/// Returns the label value for the answer of a minion to an order.
pub(super) fn order_answer_label(answer: &OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::Superseded => "old",
        OrderAnswer::LeaseExpired => "late",
        OrderAnswer::NoRoom => "no-room",
        OrderAnswer::Fenced => "fenced",
        OrderAnswer::Unhealthy => "unhealthy",
        OrderAnswer::OtherIncarnation => "other-life",
        OrderAnswer::Malformed => "malformed",
        OrderAnswer::NoAnswer => "none",
        OrderAnswer::NotSent => "not-sent",
        OrderAnswer::Unchecked => "unchecked",
        OrderAnswer::Overdue => "overdue",
    }
}

/// Returns the values of the labels `answer` and `reason`.
fn answer_labels(answer: Answer) -> (&'static str, &'static str) {
    match answer {
        Answer::Completed => ("completed", ""),
        Answer::Failed => ("failed", ""),
        Answer::Cancelled => ("cancelled", ""),
        Answer::GivenUp => ("given-up", ""),
        Answer::NoQueue => ("no-queue", ""),
        Answer::Refused { reason, .. } => (
            "refused",
            match reason {
                RefusalReason::NoConfiguration => "no-configuration",
                RefusalReason::Overload => "overload",
                RefusalReason::Waited => "waited",
                RefusalReason::NoMinion => "no-minion",
                RefusalReason::NotOffered => "not-offered",
                RefusalReason::Stopping => "stopping",
                RefusalReason::StoodStill => "stood-still",
                RefusalReason::Evacuated => "evacuated",
            },
        ),
    }
}
