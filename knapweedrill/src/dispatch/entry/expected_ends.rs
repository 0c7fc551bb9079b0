//! When the runs that an entry has ordered are expected to end.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::common::Incarnation;
use crate::dispatch::Attempt;

/// A run whose end has not been reported.
#[derive(Debug, Clone, Copy)]
struct ExpectedEnd {
    attempt: Attempt,
    ends_at: Instant,
    run_time: Duration,
    millicores: u32,
}

impl ExpectedEnd {
    /// Returns the time until the run ends, or `None` if it takes so much longer than estimated that
    /// nothing is known: estimates are off by up to 40 %, but some runs take seven times as long.
    fn ends_in(&self, now: Instant) -> Option<Duration> {
        if now <= self.ends_at {
            return Some(self.ends_at.saturating_duration_since(now));
        }
        let latest = self.ends_at + self.run_time / 2;
        (now < latest).then(|| latest.saturating_duration_since(now) / 2)
    }
}

/// The runs that an entry has ordered, with the ends that their estimates give.
#[derive(Debug, Default)]
pub(super) struct ExpectedEnds {
    by_sidecar: HashMap<Incarnation, Vec<ExpectedEnd>>,
}

impl ExpectedEnds {
    /// Records a run that starts now.
    pub(super) fn insert(
        &mut self,
        sidecar: Incarnation,
        attempt: Attempt,
        run_time: Duration,
        millicores: u32,
        now: Instant,
    ) {
        self.by_sidecar
            .entry(sidecar)
            .or_default()
            .push(ExpectedEnd {
                attempt,
                ends_at: now + run_time,
                run_time,
                millicores,
            });
    }

    /// Removes a run that has ended.
    pub(super) fn remove(&mut self, sidecar: Incarnation, attempt: Attempt) {
        if let Some(ends) = self.by_sidecar.get_mut(&sidecar) {
            ends.retain(|end| end.attempt != attempt);
            if ends.is_empty() {
                self.by_sidecar.remove(&sidecar);
            }
        }
    }

    /// Returns the time until a run ends, if that is known.
    pub(super) fn ends_in(
        &self,
        sidecar: Incarnation,
        attempt: Attempt,
        now: Instant,
    ) -> Option<Duration> {
        let ends = self.by_sidecar.get(&sidecar)?;
        let end = ends.iter().find(|end| end.attempt == attempt)?;
        end.ends_in(now)
    }

    /// Returns the time until the runs at some sidecars have left `millicores`, or `None` if they do
    /// not use that much.
    pub(super) fn room_in(
        &self,
        sidecars: &[Incarnation],
        millicores: u64,
        now: Instant,
    ) -> Option<Duration> {
        let at_sidecars = sidecars.iter().filter_map(|it| self.by_sidecar.get(it));
        let mut ends: Vec<(Duration, u32)> = at_sidecars
            .flatten()
            .filter_map(|end| Some((end.ends_in(now)?, end.millicores)))
            .collect();
        ends.sort_unstable();
        let mut room = 0;
        ends.into_iter().find_map(|(ends_in, end_millicores)| {
            room += u64::from(end_millicores);
            (room >= millicores).then_some(ends_in)
        })
    }
}
