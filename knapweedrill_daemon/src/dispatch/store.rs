//! What a process reads from the store and writes to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use knapweedrill::dispatch::SidecarRecord;
use knapweedrill_platform::{Record, StoreClient, StoreError};
use tokio::sync::watch;

use super::metrics::Metrics;

/// The topic in which entries tell where they are, by the names of their machines.
pub(super) const ENTRIES_TOPIC: &str = "keyed.knapweedrill-entries";

/// The topic in which sidecars tell where they are, by the names of their machines.
pub(super) const SIDECARS_TOPIC: &str = "keyed.knapweedrill-sidecars";

/// The pauses between attempts while the store does not answer. The first is some answers long,
/// the longest lets a process catch up within half a second of the store's return.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// How often a topic is read.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadPace {
    /// How long the store may let a call wait for news.
    pub(super) wait: Duration,
    /// The pause after news. Where each of many processes adds a record, it keeps the calls from growing
    /// with the number of records times that of readers.
    pub(super) pause: Duration,
}

/// Reads a topic for ever, and calls `on_record` for the newest record of each key and then for
/// each new one; the metrics tell whether the store answers.
pub(super) async fn follow(
    store: Arc<StoreClient>,
    topic: &'static str,
    pace: ReadPace,
    metrics: Metrics,
    on_record: impl Fn(Record),
) {
    let level = format!("store_reachable:{topic}");
    let mut pause = Backoff::new();
    let mut next = None;
    loop {
        let page = match next {
            None => store.newest(topic).await,
            Some(from) => store.read(topic, from, pace.wait).await,
        };
        let is_reached = matches!(page, Ok(_) | Err(StoreError::RecordsRemoved));
        metrics.set_level(&level, u64::from(is_reached));
        match page {
            Ok(page) => {
                pause.succeeded(topic);
                next = Some(page.next_offset);
                let has_news = !page.records.is_empty();
                page.records.into_iter().for_each(&on_record);
                if has_news {
                    tokio::time::sleep(pace.pause).await;
                }
            }
            Err(StoreError::RecordsRemoved) => {
                log::info!(topic; "records were removed, the newest are read");
                next = None;
            }
            Err(failure) => pause.wait(topic, failure).await,
        }
    }
}

/// Tells where this entry is, until the store has confirmed it.
pub(super) async fn tell_address(store: Arc<StoreClient>, name: String, address: SocketAddr) {
    let record = Record {
        key: name,
        value: address.to_string().into_bytes(),
    };
    let mut pause = Backoff::new();
    while let Err(failure) = store.append(ENTRIES_TOPIC, &record).await {
        pause.wait(ENTRIES_TOPIC, failure).await;
    }
    log::info!(address:% = address; "address told to the store");
}

/// Tells where a sidecar is each time that changes, until the store has confirmed it, and calls
/// `on_confirmed` then.
pub(super) async fn tell_places(
    store: Arc<StoreClient>,
    mut places: watch::Receiver<Option<SidecarRecord>>,
    on_confirmed: impl Fn(SidecarRecord),
) {
    let mut pause = Backoff::new();
    let mut confirmed = None;
    loop {
        let newest = places.borrow_and_update().clone();
        let Some(place) = newest.filter(|place| confirmed.as_ref() != Some(place)) else {
            if places.changed().await.is_err() {
                return;
            }
            continue;
        };
        let value = match serde_json::to_vec(&place) {
            Ok(value) => value,
            Err(error) => {
                log::error!(error:% = error; "place of the sidecar can't be encoded");
                return;
            }
        };
        let key = place.vm.clone();
        match store.append(SIDECARS_TOPIC, &Record { key, value }).await {
            Ok(()) => {
                pause.succeeded(SIDECARS_TOPIC);
                log::info!(address:% = place.address; "place told to the store");
                on_confirmed(place.clone());
                confirmed = Some(place);
            }
            Err(failure) => pause.wait(SIDECARS_TOPIC, failure).await,
        }
    }
}

/// Reads where a sidecar is.
pub(super) fn read_place(record: &Record) -> Option<SidecarRecord> {
    serde_json::from_slice(&record.value).ok()
}

/// Reads the address that an entry has told.
pub(super) fn read_address(record: &Record) -> Option<SocketAddr> {
    let text = std::str::from_utf8(&record.value).ok()?;
    text.parse().ok()
}

/// Pauses that grow while the store does not answer, each drawn at random so that processes do
/// not come back all at once.
struct Backoff {
    longest: Duration,
    is_failing: bool,
}

impl Backoff {
    fn new() -> Self {
        Self {
            longest: RETRY_PAUSES.0,
            is_failing: false,
        }
    }

    async fn wait(&mut self, topic: &str, failure: StoreError) {
        if !std::mem::replace(&mut self.is_failing, true) {
            log::warn!(topic, failure:% = failure; "store lost");
        }
        let share = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.longest.mul_f64(share)).await;
        self.longest = (self.longest * 2).min(RETRY_PAUSES.1);
    }

    fn succeeded(&mut self, topic: &str) {
        if std::mem::replace(&mut self.is_failing, false) {
            log::info!(topic; "store regained");
        }
        self.longest = RETRY_PAUSES.0;
    }
}
