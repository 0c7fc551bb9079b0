//! Owner tokens and the key table: idempotent submission of jobs.
//!
//! An owner mints tokens. A caller submits a job with a token and an idempotency key of its own,
//! and repeats both unchanged when it resubmits the job. The owner looks the pair up before it
//! starts any task: a resubmission attaches to a job in flight, and a job that has ended is
//! answered with the kept answer. A key whose generation was dropped is answered as expired, and
//! its job is not run again.
//!
//! Run it with `cargo run -p knapweedrill --example owner_tokens`.

use std::time::{Duration, Instant};

use knapweedrill::entry::{KeyLookup, KeyTable, TokenMint};
use knapweedrill::message::RetainedOutcome;

const ANSWER_BYTES_MAX: usize = 1 << 20;
const KEY_COUNT_MAX: usize = 1_000;
const KEY_RETENTION: Duration = Duration::from_secs(600);

fn main() {
    let now = Instant::now();
    let mut mint = TokenMint::new(0xA11CE, now);
    let mut keys = KeyTable::new(ANSWER_BYTES_MAX, KEY_COUNT_MAX);

    // A sidecar that joins starts a new generation, so tokens minted from now on cover it.
    mint.add_sidecar(0x51DE, now);
    let token = mint.current();
    println!("current owner token: {token}");

    // The token, the team and the caller's idempotency key identify the job.
    let job = token.job_id("tin-a", "order-20411");
    let content_hash = 42;
    assert_eq!(keys.lookup(token.generation, job), KeyLookup::New);
    keys.insert_live(token.generation, job, content_hash, now);

    // A resubmission through any entry attaches to the job in flight and starts no task.
    let resubmitted_job = token.job_id("tin-a", "order-20411");
    assert_eq!(
        keys.lookup(token.generation, resubmitted_job),
        KeyLookup::Live { content_hash }
    );

    // After the job has ended, a resubmission gets the kept answer.
    let state = RetainedOutcome::Complete {
        results: vec![b"embossed".to_vec()],
    };
    keys.record_end(token.generation, job, state.clone(), now);
    let ended = keys.lookup(token.generation, job);
    assert!(matches!(ended, KeyLookup::Ended { outcome: kept, .. } if *kept == state));

    // Keys expire by whole generations. A job whose key has expired is never run again.
    keys.expire(KEY_RETENTION, now + 2 * KEY_RETENTION);
    println!(
        "after the generation has expired: {:?}",
        keys.lookup(token.generation, job)
    );
}
