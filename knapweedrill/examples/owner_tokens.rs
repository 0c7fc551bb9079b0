//! Owner tokens and the key table: how a resubmission is told from a new job.
//!
//! An owner mints tokens. A caller sends a token and a key of its own with a job, and repeats both
//! unchanged when it submits the job again. The owner looks the pair up before it starts anything:
//! a job that runs is attached to, one that ended gets its kept answer, and a key whose generation
//! was dropped is answered "expired" and never run again.
//!
//! Run it with `cargo run -p knapweedrill --example owner_tokens`.

use std::time::{Duration, Instant};

use knapweedrill::entry::{KeyTable, Lookup, TokenMint};
use knapweedrill::message::KeptState;

const ANSWER_BYTES_MAX: usize = 1 << 20;
const KEY_COUNT_MAX: usize = 1_000;
const KEPT_TIME: Duration = Duration::from_secs(600);

fn main() {
    let now = Instant::now();
    let mut mint = TokenMint::new(0xA11CE, now);
    let mut keys = KeyTable::new(ANSWER_BYTES_MAX, KEY_COUNT_MAX);

    // A sidecar that joins starts a new generation, so the token names it.
    mint.join(0x51DE, now);
    let token = mint.current();
    println!("the owner hands out {token}");

    // The token, the team and the caller's key name the job.
    let job = token.job_id("tin-a", "order-20411");
    let content_hash = 42;
    assert_eq!(keys.lookup(token.generation, job), Lookup::New);
    keys.begin(token.generation, job, content_hash, now);

    // The same submission again, through whichever entry: it attaches and starts nothing.
    let again = token.job_id("tin-a", "order-20411");
    assert_eq!(
        keys.lookup(token.generation, again),
        Lookup::Live { content_hash }
    );

    // After its end the kept answer is repeated.
    let state = KeptState::Complete {
        results: vec![b"embossed".to_vec()],
    };
    keys.end(token.generation, job, state.clone(), now);
    let ended = keys.lookup(token.generation, job);
    assert!(matches!(ended, Lookup::Ended { state: kept, .. } if *kept == state));

    // Keys are dropped by whole generations; what was dropped is never run again.
    keys.expire(KEPT_TIME, now + 2 * KEPT_TIME);
    println!("much later: {:?}", keys.lookup(token.generation, job));
}
