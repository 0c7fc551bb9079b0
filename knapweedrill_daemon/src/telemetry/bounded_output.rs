//! Log lines on a stream that may be slow or blocked.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};

/// How many lines of level info and below a process writes in a second. At 10 to 15 us a line it
/// is about one percent of a core; a busy entry with 50 jobs a second writes about 600.
const LINES_PER_SECOND: u64 = 800;

/// How many lines wait for the stream, about a megabyte.
const WAITING_LINE_COUNT: usize = 2_048;

/// The places among them that are kept for warnings and errors.
const KEPT_FOR_FAILURES: usize = 512;

/// How often the process says how many lines it left out.
const LEFT_OUT_EVERY: Duration = Duration::from_secs(1);

/// Writes log lines on a thread of its own and never waits for it.
///
/// Lines beyond the budget are left out, successes before failures, and counted.
#[derive(Debug)]
pub struct BoundedOutput<L> {
    layout: L,
    lines: Sender<Vec<u8>>,
    budget: Mutex<Budget>,
    left_out: Arc<AtomicU64>,
}

#[derive(Debug)]
struct Budget {
    second: Instant,
    written: u64,
}

impl<L: Layout> BoundedOutput<L> {
    /// Starts the thread that writes to `stream`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(layout: L, stream: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, waiting) = bounded(WAITING_LINE_COUNT);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        thread::Builder::new()
            .name("log-writer".into())
            .spawn(move || write_all(&waiting, stream, &counted))?;
        let budget = Mutex::new(Budget {
            second: Instant::now(),
            written: 0,
        });
        Ok(Self {
            layout,
            lines,
            budget,
            left_out,
        })
    }

    fn is_in_budget(&self, level: Level) -> bool {
        if level >= Level::Warn {
            return true;
        }
        if self.lines.len() >= WAITING_LINE_COUNT - KEPT_FOR_FAILURES {
            return false;
        }
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.second.elapsed() >= Duration::from_secs(1) {
            budget.second = Instant::now();
            budget.written = 0;
        }
        budget.written += 1;
        budget.written <= LINES_PER_SECOND
    }
}

impl<L: Layout> Append for BoundedOutput<L> {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        if !self.is_in_budget(record.level()) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line)
        {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_all(lines: &Receiver<Vec<u8>>, mut stream: impl Write, left_out: &AtomicU64) {
    let mut said_at = Instant::now();
    loop {
        let line = match lines.recv_timeout(LEFT_OUT_EVERY) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // A stream that is closed takes no more lines; there is nowhere left to say so.
        let _ = stream.write_all(&line);
        if said_at.elapsed() >= LEFT_OUT_EVERY {
            said_at = Instant::now();
            let count = left_out.swap(0, Ordering::Relaxed);
            if count > 0 {
                let _ = writeln!(
                    stream,
                    "{{\"level\":\"WARN\",\"message\":\"log lines left out\",\"kvs\":{{\"lines\":{count}}}}}"
                );
            }
        }
    }
}
