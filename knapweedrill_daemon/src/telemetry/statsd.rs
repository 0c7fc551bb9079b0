//! Publication of metrics to a StatsD server over UDP.

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

/// Publishes the metrics every second and once more when it is dropped.
///
/// Without the address of a server it publishes nothing.
#[derive(Debug)]
pub struct StatsdFlusher {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Builder of a [`StatsdFlusher`].
#[derive(Debug)]
pub struct StatsdFlusherBuilder {
    metrics: Arc<Metrics>,
    address: Option<SocketAddr>,
    process: String,
    role: String,
}

impl StatsdFlusher {
    /// Returns a builder for a flusher that publishes `metrics`.
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
    /// Sets the address of the StatsD server; `None` disables publication.
    pub fn address(mut self, address: Option<SocketAddr>) -> Self {
        self.address = address;
        self
    }

    /// Sets the name of the process, sent as the tag `process`.
    pub fn process(mut self, name: impl Into<String>) -> Self {
        self.process = name.into();
        self
    }

    /// Sets the role of the process, sent as the tag `role`.
    pub fn role(mut self, role: impl Into<String>) -> Self {
        self.role = role.into();
        self
    }

    /// Starts the publishing thread, if an address is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket can't be opened or the thread can't be started.
    pub fn start(self) -> Result<StatsdFlusher> {
        let Some(address) = self.address else {
            return Ok(StatsdFlusher {
                stop: None,
                thread: None,
            });
        };
        let client = self.client(address)?;
        let (stop, stop_receiver) = bounded(0);
        let metrics = self.metrics;
        let thread = thread::Builder::new()
            .name("statsd".to_owned())
            .spawn(move || publish_until_stopped(&metrics, &client, &stop_receiver))
            .wrap_err("cannot start the thread that publishes metrics over StatsD")?;
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
        let socket =
            UdpSocket::bind(local).wrap_err("cannot open a UDP socket for StatsD metrics")?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .wrap_err_with(|| format!("cannot create a StatsD client for {address}"))?;
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
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

fn publish_until_stopped(metrics: &Metrics, client: &StatsdClient, stop: &Receiver<()>) {
    let mut last = MetricsSnapshot::default();
    loop {
        let is_stopped = stop.recv_timeout(FLUSH_INTERVAL) != Err(RecvTimeoutError::Timeout);
        let now = metrics.snapshot();
        publish(client, &last, &now);
        last = now;
        if is_stopped {
            return;
        }
    }
}

/// Sends the increments of counters and timers since `last`, and every gauge.
///
/// Send errors are ignored and the increments in that datagram are lost: StatsD gives no delivery
/// guarantee.
fn publish(client: &StatsdClient, last: &MetricsSnapshot, now: &MetricsSnapshot) {
    for metric in now.counters.iter().chain(&now.timers) {
        if metric.name.ends_with(".max_us") {
            let _ = client.gauge(&metric.name, metric.value);
            continue;
        }
        let previous = last.value(&metric.name).unwrap_or_default();
        let increment = metric.value - previous;
        if increment > 0 {
            let _ = client.count(&metric.name, i64::try_from(increment).unwrap_or(i64::MAX));
        }
    }
    for metric in &now.gauges {
        let _ = client.gauge(&metric.name, metric.value);
    }
    let _ = client.flush();
}
