//! The configuration fold: deterministic configuration versions from an append-only log.
//!
//! Operators append complete configuration files, each with the version that it replaces. Every
//! reader applies the records in log order and rejects a record whose parent is not the current
//! version. All readers reach the same result, so concurrent operators need no lock: the first
//! record wins.
//!
//! Run it with `cargo run -p knapweedrill --example configuration_fold`.

use knapweedrill::contract::{ConfigurationFold, ConfigurationRecord, FoldOutcome};

fn configuration_file(share_percent: u32) -> String {
    format!(
        "[service embossing]\n\
         [kind proof]\nservice = embossing\ndeadline_ms = 30000\n\
         [team tin-a]\nshare_percent = {share_percent}\n"
    )
}

fn main() {
    let mut fold = ConfigurationFold::new();
    fold.set_log_start(0);

    // The first record has no parent. The version of a record is its offset in the log.
    let first = ConfigurationRecord::new(1, None, configuration_file(25));
    assert_eq!(fold.apply(0, first), FoldOutcome::Accepted { version: 0 });

    // Two operators replace version 0 concurrently. Both records are in the log; the second is
    // rejected.
    let winner = ConfigurationRecord::new(2, Some(0), configuration_file(30));
    let loser = ConfigurationRecord::new(3, Some(0), configuration_file(40));
    assert_eq!(fold.apply(1, winner), FoldOutcome::Accepted { version: 1 });
    let outcome = fold.apply(2, loser);
    println!("outcome of the second operator: {outcome:?}");

    assert_eq!(fold.version(), Some(1));
    let in_force = fold.in_force().expect("the configuration file is valid");
    println!("configuration in force: version {}", in_force.version);
}
