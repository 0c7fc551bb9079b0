//! Topics of the store that a process follows and writes to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use knapweedrill::dispatch::SidecarRecord;
use knapweedrill::dispatch::sidecar::{KnownMinion, StoredRecord};
use knapweedrill_platform::{Page, Record, StoreClient, StoreError};
use tokio::sync::watch;

use super::metrics::Metrics;

/// The topic with the addresses of entries, keyed by the names of their VMs.
pub(super) const ENTRIES_TOPIC: &str = "keyed.knapweedrill-entries";

/// The topic with the records of sidecars, keyed by the names of their VMs.
pub(super) const SIDECARS_TOPIC: &str = "keyed.knapweedrill-sidecars";

/// The first and the maximum delay before a failed call of the store is retried. The first is a few
/// response times of the store; with the maximum, a process catches up within half a second of the
/// store's recovery.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// The timing of reads from a topic.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadTiming {
    /// The maximum time that a read waits in the store for new records (long polling).
    pub(super) wait: Duration,
    /// The pause after a read that returned records. If many processes append one record each, it
    /// batches them; without it, the number of calls would grow with records times readers.
    pub(super) pause: Duration,
}

/// Follows a topic without end: calls `on_page` with the newest record of each key and then with the
/// new records. The gauge `store_reachable:<topic>` reports whether the store responds.
pub(super) async fn follow_topic(
    store: Arc<StoreClient>,
    topic: &'static str,
    timing: ReadTiming,
    metrics: Metrics,
    on_page: impl Fn(Page),
) {
    let gauge = format!("store_reachable:{topic}");
    let mut backoff = Backoff::new();
    let mut next_offset = None;
    loop {
        let page = match next_offset {
            None => store.newest(topic).await,
            Some(from) => store.read(topic, from, timing.wait).await,
        };
        let is_reachable = matches!(page, Ok(_) | Err(StoreError::RecordsRemoved));
        metrics.set_gauge(&gauge, u64::from(is_reachable));
        match page {
            Ok(page) => {
                backoff.reset(topic);
                next_offset = Some(page.next_offset);
                let has_records = !page.records.is_empty();
                on_page(page);
                if has_records {
                    tokio::time::sleep(timing.pause).await;
                }
            }
            Err(StoreError::RecordsRemoved) => {
                log::info!(topic; "records are no longer retained, reading the newest of each key");
                next_offset = None;
            }
            Err(error) => backoff.wait(topic, error).await,
        }
    }
}

/// Writes the address of this entry to the store, and retries until the store confirms it.
pub(super) async fn publish_entry_address(
    store: Arc<StoreClient>,
    name: String,
    address: SocketAddr,
) {
    let record = Record {
        key: name,
        value: address.to_string().into_bytes(),
    };
    let mut backoff = Backoff::new();
    while let Err(error) = store.append(ENTRIES_TOPIC, &record).await {
        backoff.wait(ENTRIES_TOPIC, error).await;
    }
    log::info!(address:% = address; "store confirmed the address of the entry");
}

/// Writes the record of a sidecar to the store each time it changes, retries until the store
/// confirms it, and then calls `on_confirmed`.
pub(super) async fn publish_sidecar_records(
    store: Arc<StoreClient>,
    mut records: watch::Receiver<Option<StoredRecord>>,
    on_confirmed: impl Fn(SidecarRecord),
) {
    let mut backoff = Backoff::new();
    let mut confirmed = None;
    loop {
        let newest = records.borrow_and_update().clone();
        let Some(record) = newest.filter(|record| confirmed.as_ref() != Some(record)) else {
            if records.changed().await.is_err() {
                return;
            }
            continue;
        };
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!(error:% = error; "can't encode the record of the sidecar");
                return;
            }
        };
        let key = record.sidecar.vm.clone();
        match store.append(SIDECARS_TOPIC, &Record { key, value }).await {
            Ok(()) => {
                backoff.reset(SIDECARS_TOPIC);
                log::info!(
                    address:% = record.sidecar.address; "store confirmed the record of the sidecar"
                );
                on_confirmed(record.sidecar.clone());
                confirmed = Some(record);
            }
            Err(error) => backoff.wait(SIDECARS_TOPIC, error).await,
        }
    }
}

/// Reads what an earlier sidecar process on the VM `vm` has recorded of its minion, and retries until
/// the store responds. Returns `None` if there is no such record.
pub(super) async fn read_known_minion(store: Arc<StoreClient>, vm: &str) -> Option<KnownMinion> {
    let mut backoff = Backoff::new();
    let page = loop {
        match store.newest(SIDECARS_TOPIC).await {
            Ok(page) => break page,
            Err(error) => backoff.wait(SIDECARS_TOPIC, error).await,
        }
    };
    let record = page.records.into_iter().find(|record| record.key == vm)?;
    let stored: StoredRecord = serde_json::from_slice(&record.value).ok()?;
    stored.known_minion()
}

/// Parses the record of a sidecar, or returns `None` if it is malformed or has the key of another VM.
pub(super) fn parse_sidecar_record(record: &Record) -> Option<SidecarRecord> {
    let sidecar: SidecarRecord = serde_json::from_slice(&record.value).ok()?;
    (sidecar.vm == record.key).then_some(sidecar)
}

/// Parses the address of an entry, or returns `None` if it is malformed or has no port.
pub(super) fn parse_entry_address(record: &Record) -> Option<SocketAddr> {
    let text = std::str::from_utf8(&record.value).ok()?;
    let address: SocketAddr = text.parse().ok()?;
    (address.port() > 0).then_some(address)
}

/// Exponential backoff with jitter, so that processes do not retry all at the same time.
struct Backoff {
    delay_max: Duration,
    is_failing: bool,
}

impl Backoff {
    fn new() -> Self {
        Self {
            delay_max: RETRY_DELAYS.0,
            is_failing: false,
        }
    }

    /// Logs the first of consecutive failures and waits for the next delay.
    async fn wait(&mut self, topic: &str, error: StoreError) {
        if !std::mem::replace(&mut self.is_failing, true) {
            log::warn!(topic, failure:% = error; "store is unavailable");
        }
        let jitter = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.delay_max.mul_f64(jitter)).await;
        self.delay_max = (self.delay_max * 2).min(RETRY_DELAYS.1);
    }

    /// Logs the end of consecutive failures and returns to the first delay.
    fn reset(&mut self, topic: &str) {
        if std::mem::replace(&mut self.is_failing, false) {
            log::info!(topic; "store is available again");
        }
        self.delay_max = RETRY_DELAYS.0;
    }
}
