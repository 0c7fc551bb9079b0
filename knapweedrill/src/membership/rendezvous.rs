//! Subsetting by rendezvous hashing.

use std::cmp::Reverse;

use crate::common::Incarnation;

/// Chooses up to `count` of the candidates for `chooser` by rendezvous hashing.
///
/// When one candidate is added or removed, at most one of the chosen changes.
///
/// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
pub fn choose_by_rendezvous(
    chooser: Incarnation,
    candidates: impl IntoIterator<Item = Incarnation>,
    count: usize,
) -> Vec<Incarnation> {
    let mut chosen: Vec<Incarnation> = candidates.into_iter().collect();
    chosen.sort_unstable_by_key(|candidate| Reverse((weight(chooser, *candidate), *candidate)));
    chosen.dedup();
    chosen.truncate(count);
    chosen
}

/// Hashes a pair of incarnations; as these are random, mixing the bits suffices.
///
/// Source: the finalizer of SplitMix64, Steele et al., 2014.
fn weight(chooser: Incarnation, candidate: Incarnation) -> u64 {
    let mut bits = chooser.rotate_left(32) ^ candidate;
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
