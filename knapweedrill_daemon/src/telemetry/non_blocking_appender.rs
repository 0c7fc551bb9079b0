//! A log appender that never blocks the threads that log.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};

/// Rate limit of lines at level info and below. At 10 to 15 us a line, 800 lines take about one
/// percent of a core; a busy entry with 50 jobs a second writes about 600.
const INFO_LINES_PER_SECOND: u64 = 800;

/// Capacity of the queue in front of the stream; the lines in a full queue take about 1 MB.
const QUEUE_CAPACITY_COUNT: usize = 2_048;

/// Places in the queue that only warnings and errors may take.
const RESERVED_FOR_WARNINGS_COUNT: usize = 512;

/// Interval at which the number of dropped lines is written to the stream.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Log appender that queues lines for a writer thread and never waits for the stream.
///
/// Lines at level info and below are dropped beyond a rate limit and when the queue is nearly
/// full; warnings and errors are dropped only when the queue is full. Dropped lines are counted,
/// and the count is written to the stream.
#[derive(Debug)]
pub struct NonBlockingAppender<L> {
    layout: L,
    queue: Sender<Vec<u8>>,
    rate_window: Mutex<RateWindow>,
    dropped_count: Arc<AtomicU64>,
}

/// Number of lines that counted towards the rate limit in the current one-second window.
#[derive(Debug)]
struct RateWindow {
    started_at: Instant,
    line_count: u64,
}

impl<L: Layout> NonBlockingAppender<L> {
    /// Starts the thread that writes to `stream`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(layout: L, stream: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, queued_lines) = bounded(QUEUE_CAPACITY_COUNT);
        let dropped_count = Arc::new(AtomicU64::new(0));
        let writer_dropped_count = Arc::clone(&dropped_count);
        thread::Builder::new()
            .name("log-writer".into())
            .spawn(move || write_lines(&queued_lines, stream, &writer_dropped_count))?;
        let rate_window = Mutex::new(RateWindow {
            started_at: Instant::now(),
            line_count: 0,
        });
        Ok(Self {
            layout,
            queue,
            rate_window,
            dropped_count,
        })
    }

    fn admits(&self, level: Level) -> bool {
        if level >= Level::Warn {
            return true;
        }
        if self.queue.len() >= QUEUE_CAPACITY_COUNT - RESERVED_FOR_WARNINGS_COUNT {
            return false;
        }
        let mut window = self
            .rate_window
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if window.started_at.elapsed() >= Duration::from_secs(1) {
            window.started_at = Instant::now();
            window.line_count = 0;
        }
        window.line_count += 1;
        window.line_count <= INFO_LINES_PER_SECOND
    }
}

impl<L: Layout> Append for NonBlockingAppender<L> {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        if !self.admits(record.level()) {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.queue.try_send(line)
        {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, mut stream: impl Write, dropped_count: &AtomicU64) {
    let mut reported_at = Instant::now();
    loop {
        let line = match queue.recv_timeout(DROP_REPORT_INTERVAL) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // A write error on the log stream can't be logged anywhere, so it is ignored.
        let _ = stream.write_all(&line);
        if reported_at.elapsed() >= DROP_REPORT_INTERVAL {
            reported_at = Instant::now();
            let count = dropped_count.swap(0, Ordering::Relaxed);
            if count > 0 {
                let _ = writeln!(
                    stream,
                    "{{\"level\":\"WARN\",\"message\":\"log lines left out\",\"kvs\":{{\"lines\":{count}}}}}"
                );
            }
        }
    }
}
