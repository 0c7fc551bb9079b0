//! Response times compared with the ideal ones.

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
    /// The kind of the jobs.
    pub kind: KindName,
    /// The number of jobs that were submitted.
    pub job_count: usize,
    /// The number of jobs that ended complete.
    pub complete_count: usize,
    /// The median response time of the complete jobs, in microseconds.
    pub median_us: u64,
    /// The 99th percentile of the response times of the complete jobs, in microseconds.
    pub p99_us: u64,
    /// The median of the ratio of response time to ideal response time, in per cent.
    pub ideal_median_percent: u64,
    /// The 99th percentile of the ratio of response time to ideal response time, in per cent.
    pub ideal_p99_percent: u64,
}

/// The slots of each service.
#[derive(Debug, Clone)]
pub(super) struct ServiceSlots {
    pub(super) embossing: SlotSpeeds,
    pub(super) spares: SlotSpeeds,
}

impl ServiceSlots {
    fn slots(&self, service: Service) -> &SlotSpeeds {
        match service {
            Service::Embossing => &self.embossing,
            Service::Spares => &self.spares,
        }
    }
}

/// Returns a summary of the samples of each kind.
pub(super) fn summarize(
    samples: &[JobSample],
    service_slots: &ServiceSlots,
) -> Vec<ResponseSummary> {
    let mut kinds: BTreeMap<&str, Vec<&JobSample>> = BTreeMap::new();
    for sample in samples {
        kinds.entry(&sample.kind).or_default().push(sample);
    }
    kinds
        .into_iter()
        .map(|(kind, samples)| summary(kind, &samples, service_slots))
        .collect()
}

fn summary(kind: &str, samples: &[&JobSample], service_slots: &ServiceSlots) -> ResponseSummary {
    let complete: Vec<&JobSample> = samples
        .iter()
        .filter(|sample| sample.outcome == Some(JobOutcome::Complete))
        .copied()
        .collect();
    let mut responses_us: Vec<u64> = complete.iter().map(|s| micros(s.response_time)).collect();
    let mut ratios: Vec<u64> = complete
        .iter()
        .map(|s| ratio_percent(s, service_slots))
        .collect();
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

fn ratio_percent(sample: &JobSample, service_slots: &ServiceSlots) -> u64 {
    let slots = service_slots.slots(sample.service);
    let ideal = slots.ideal_response_time(sample.run_times.iter().copied());
    micros(sample.response_time) * 100 / micros(ideal).max(1)
}

/// Returns the given percentile of the sorted values (nearest rank), or 0 without values.
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
