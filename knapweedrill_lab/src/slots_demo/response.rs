//! Response times against the ideal.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedrill::common::KindName;
use knapweedrill_derive::message;

use super::caller::JobSample;
use super::workload::Service;
use crate::harness::JobOutcome;
use crate::ideal::SlotSpeeds;

/// The response times of a kind of work.
#[message]
pub struct ResponseSummary {
    /// The kind.
    pub kind: KindName,
    /// The jobs that were submitted.
    pub job_count: usize,
    /// The jobs that ended complete.
    pub complete_count: usize,
    /// The median response time of the complete jobs, in microseconds.
    pub median_us: u64,
    /// The response time that 99 % of the complete jobs keep, in microseconds.
    pub p99_us: u64,
    /// The median of response time over ideal, in per cent.
    pub ideal_median_percent: u64,
    /// The response time over ideal that 99 % of the complete jobs keep, in per cent.
    pub ideal_p99_percent: u64,
}

/// The slots of each service.
#[derive(Debug, Clone)]
pub(super) struct Fleet {
    pub(super) embossing: SlotSpeeds,
    pub(super) spares: SlotSpeeds,
}

impl Fleet {
    fn slots(&self, service: Service) -> &SlotSpeeds {
        match service {
            Service::Embossing => &self.embossing,
            Service::Spares => &self.spares,
        }
    }
}

/// Summarizes the samples of each kind.
pub(super) fn summarize(samples: &[JobSample], fleet: &Fleet) -> Vec<ResponseSummary> {
    let mut kinds: BTreeMap<&str, Vec<&JobSample>> = BTreeMap::new();
    for sample in samples {
        kinds.entry(&sample.kind).or_default().push(sample);
    }
    kinds
        .into_iter()
        .map(|(kind, samples)| summary(kind, &samples, fleet))
        .collect()
}

fn summary(kind: &str, samples: &[&JobSample], fleet: &Fleet) -> ResponseSummary {
    let complete: Vec<&JobSample> = samples
        .iter()
        .filter(|sample| sample.outcome == Some(JobOutcome::Complete))
        .copied()
        .collect();
    let mut responses_us: Vec<u64> = complete.iter().map(|s| micros(s.response)).collect();
    let mut ratios: Vec<u64> = complete.iter().map(|s| ratio_percent(s, fleet)).collect();
    responses_us.sort_unstable();
    ratios.sort_unstable();
    ResponseSummary {
        kind: kind.to_owned(),
        job_count: samples.len(),
        complete_count: complete.len(),
        median_us: percentile(&responses_us, 50),
        p99_us: percentile(&responses_us, 99),
        ideal_median_percent: percentile(&ratios, 50),
        ideal_p99_percent: percentile(&ratios, 99),
    }
}

fn ratio_percent(sample: &JobSample, fleet: &Fleet) -> u64 {
    let slots = fleet.slots(sample.service);
    let ideal = slots.ideal_response_time(sample.run_times.iter().copied());
    micros(sample.response) * 100 / micros(ideal).max(1)
}

/// Returns the value that `percent` of the sorted values do not exceed.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
