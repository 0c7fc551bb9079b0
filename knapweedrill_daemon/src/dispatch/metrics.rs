//! What a process counts, as text for whoever collects it.

use std::time::Duration;

use eyre::{Result, WrapErr};
use knapweedrill::dispatch::entry::{Answer, RefusedBecause};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// The port at which metrics are served, as the deploy file names it.
pub(super) const METRICS_PORT: u16 = 9_464;

/// The path at which metrics are served.
pub(super) const METRICS_PATH: &str = "/metrics";

/// The bounds of answer times, in seconds: from a quick task to the longest patience.
const SECONDS: [f64; 9] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 3.6];

/// What a process counts.
#[derive(Debug, Clone)]
pub(super) struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    answer_seconds: HistogramVec,
    levels: IntGaugeVec,
}

impl Metrics {
    /// Creates counters that stand at 0.
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
            .buckets(SECONDS.to_vec()),
            &["queue", "answer"],
        );
        let levels = IntGaugeVec::new(
            Opts::new("knapweedrill_level", "Levels that rise and fall, by name."),
            &["name"],
        );
        let metrics = Self {
            registry: Registry::new(),
            answers: answers.wrap_err("the counter of answers")?,
            answer_seconds: answer_seconds.wrap_err("the histogram of answers")?,
            levels: levels.wrap_err("the levels")?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.answers.clone()))?;
        registry.register(Box::new(metrics.answer_seconds.clone()))?;
        registry.register(Box::new(metrics.levels.clone()))?;
        Ok(metrics)
    }

    /// Counts the answer to a caller.
    pub(super) fn count_answer(&self, queue: &str, answer: Answer, time: Duration) {
        let (answer, reason) = names(answer);
        self.answers
            .with_label_values(&[queue, answer, reason])
            .inc();
        self.answer_seconds
            .with_label_values(&[queue, answer])
            .observe(time.as_secs_f64());
    }

    /// Sets a level.
    pub(super) fn set_level(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.levels.with_label_values(&[name]).set(value);
    }

    /// Returns all figures as text.
    pub(super) fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| {
                log::error!(error:% = error; "metrics can't be written");
                String::new()
            })
    }
}

fn names(answer: Answer) -> (&'static str, &'static str) {
    match answer {
        Answer::Completed => ("completed", ""),
        Answer::Failed => ("failed", ""),
        Answer::Cancelled => ("cancelled", ""),
        Answer::GivenUp => ("given-up", ""),
        Answer::NoQueue => ("no-queue", ""),
        Answer::Refused { because, .. } => (
            "refused",
            match because {
                RefusedBecause::NoConfiguration => "no-configuration",
                RefusedBecause::Overload => "overload",
                RefusedBecause::Waited => "waited",
                RefusedBecause::NoMinion => "no-minion",
                RefusedBecause::NotOffered => "not-offered",
                RefusedBecause::Stopping => "stopping",
            },
        ),
    }
}
