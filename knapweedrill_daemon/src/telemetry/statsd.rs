//! Publishing of metrics by StatsD datagrams.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted as _, Gauged as _, QueuingMetricSink, StatsdClient};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use eyre::{Result, WrapErr as _};

use super::{Metrics, MetricsSnapshot};

const PREFIX: &str = "knapweedrill";
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
const QUEUE_CAPACITY_COUNT: usize = 4096;

/// Publishes the metrics once a second, until it is dropped.
///
/// Without an address it does nothing.
#[derive(Debug)]
pub struct StatsdFlusher {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Collects what a [`StatsdFlusher`] needs.
#[derive(Debug)]
pub struct StatsdFlusherBuilder {
    metrics: Arc<Metrics>,
    address: Option<SocketAddr>,
    process: String,
    role: String,
}

impl StatsdFlusher {
    /// Begins with the metrics to publish.
    pub fn builder(metrics: Arc<Metrics>) -> StatsdFlusherBuilder {
        StatsdFlusherBuilder {
            metrics,
            address: None,
            process: String::new(),
            role: String::new(),
        }
    }
}

impl StatsdFlusherBuilder {
    /// Sets the address of the StatsD server.
    pub fn address(mut self, address: Option<SocketAddr>) -> Self {
        self.address = address;
        self
    }

    /// Sets the name of the process, the tag `process`.
    pub fn process(mut self, name: impl Into<String>) -> Self {
        self.process = name.into();
        self
    }

    /// Sets the role of the process, the tag `role`.
    pub fn role(mut self, role: impl Into<String>) -> Self {
        self.role = role.into();
        self
    }

    /// Starts the thread that publishes.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket or no thread can be had.
    pub fn start(self) -> Result<StatsdFlusher> {
        let Some(address) = self.address else {
            return Ok(StatsdFlusher {
                stop: None,
                thread: None,
            });
        };
        let client = self.client(address)?;
        let (stop, stopped) = bounded(0);
        let metrics = self.metrics;
        let thread = thread::Builder::new()
            .name("statsd".to_owned())
            .spawn(move || publish_until_stopped(&metrics, &client, &stopped))
            .wrap_err("cannot start the thread that publishes metrics")?;
        Ok(StatsdFlusher {
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    fn client(&self, address: SocketAddr) -> Result<StatsdClient> {
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(local).wrap_err("cannot open a UDP socket for metrics")?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .wrap_err_with(|| format!("cannot send metrics to {address}"))?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY_COUNT);
        Ok(StatsdClient::builder(PREFIX, queue)
            .with_tag("process", &self.process)
            .with_tag("role", &self.role)
            .build())
    }
}

impl Drop for StatsdFlusher {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by its own hook.
            let _ = thread.join();
        }
    }
}

fn publish_until_stopped(metrics: &Metrics, client: &StatsdClient, stopped: &Receiver<()>) {
    let mut last = MetricsSnapshot::default();
    loop {
        let is_stopped = stopped.recv_timeout(FLUSH_INTERVAL) != Err(RecvTimeoutError::Timeout);
        let now = metrics.snapshot();
        publish(client, &last, &now);
        last = now;
        if is_stopped {
            return;
        }
    }
}

/// Sends what changed since the last time, and every gauge.
///
/// A datagram that cannot be sent is lost, as StatsD allows; the next one carries the next
/// second.
fn publish(client: &StatsdClient, last: &MetricsSnapshot, now: &MetricsSnapshot) {
    for reading in now.counters.iter().chain(&now.timers) {
        if reading.name.ends_with(".max_us") {
            let _ = client.gauge(&reading.name, reading.value);
            continue;
        }
        let before = last.value(&reading.name).unwrap_or_default();
        let grown = reading.value - before;
        if grown > 0 {
            let _ = client.count(&reading.name, i64::try_from(grown).unwrap_or(i64::MAX));
        }
    }
    for reading in &now.gauges {
        let _ = client.gauge(&reading.name, reading.value);
    }
    let _ = client.flush();
}
