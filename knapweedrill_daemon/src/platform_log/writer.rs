//! Appending to the log off the control thread.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::{self, Receiver, Sender};
use eyre::WrapErr;
use knapweedrill::common::LogOffset;

use super::{AppendError, LogRecord, PlatformLog};

/// How many appends may wait.
const QUEUE_COUNT: usize = 64;

/// A record that waits to be appended.
#[derive(Debug)]
struct Append {
    id: u64,
    record: LogRecord,
}

/// Appends records on a thread of its own.
#[derive(Debug, Clone)]
pub struct LogWriter {
    appends: Sender<Append>,
}

impl LogWriter {
    /// Starts the thread; `on_end` gets each record's number and offset.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(
        log: Arc<dyn PlatformLog>,
        on_end: impl Fn(u64, Result<LogOffset, AppendError>) + Send + 'static,
    ) -> eyre::Result<Self> {
        let (appends, queue) = channel::bounded(QUEUE_COUNT);
        thread::Builder::new()
            .name("log-append".into())
            .spawn(move || append_all(&*log, &queue, &on_end))
            .wrap_err("can't start the thread that appends to the log")?;
        Ok(Self { appends })
    }

    /// Appends a record; returns whether there was room for it in the queue.
    pub fn append(&self, id: u64, record: LogRecord) -> bool {
        self.appends.try_send(Append { id, record }).is_ok()
    }
}

fn append_all(
    log: &dyn PlatformLog,
    queue: &Receiver<Append>,
    on_end: &impl Fn(u64, Result<LogOffset, AppendError>),
) {
    for append in queue {
        let result = match serde_json::to_string(&append.record) {
            Ok(body) => log.append(&body),
            Err(error) => Err(AppendError::NotAppended(error.to_string())),
        };
        on_end(append.id, result);
    }
}
