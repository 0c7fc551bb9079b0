//! The configuration fold: one configuration for all readers of an append-only log.
//!
//! Operators append whole files, each with the version that it replaces. Every reader folds the
//! records in the order of the log. A record whose parent is no longer the current version is
//! void for every reader alike, so racing operators need no lock: the first one wins.
//!
//! Run it with `cargo run -p knapweedrill --example configuration_fold`.

use knapweedrill::contract::{ConfigurationFold, ConfigurationRecord, FoldOutcome};

fn file(share_percent: u32) -> String {
    format!(
        "[service embossing]\n\
         [kind proof]\nservice = embossing\ndeadline_ms = 30000\n\
         [team tin-a]\nshare_percent = {share_percent}\n"
    )
}

fn main() {
    let mut fold = ConfigurationFold::new();
    fold.log_begins_at(0);

    // The first file replaces nothing; its version is its offset in the log.
    let first = ConfigurationRecord::new(1, None, file(25));
    assert_eq!(fold.apply(0, first), FoldOutcome::Accepted { version: 0 });

    // Two operators replace version 0. Both records are in the log, and the second is void.
    let winner = ConfigurationRecord::new(2, Some(0), file(30));
    let loser = ConfigurationRecord::new(3, Some(0), file(40));
    assert_eq!(fold.apply(1, winner), FoldOutcome::Accepted { version: 1 });
    let outcome = fold.apply(2, loser);
    println!("the operator who came second is told: {outcome:?}");

    assert_eq!(fold.version(), Some(1));
    let in_force = fold.in_force().expect("the file can be read");
    println!("in force: version {}", in_force.version);
}
