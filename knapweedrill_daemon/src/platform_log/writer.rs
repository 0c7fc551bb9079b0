//! Asynchronous appends to the log, so that the control thread does not block.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::{self, Receiver, Sender};
use eyre::WrapErr;
use knapweedrill::common::LogOffset;

use super::{AppendError, LogRecord, PlatformLog};

/// Capacity of the queue of pending appends.
const QUEUE_CAPACITY: usize = 64;

/// A queued record.
#[derive(Debug)]
struct PendingAppend {
    id: u64,
    record: LogRecord,
}

/// A cloneable handle to the thread that appends records in order.
#[derive(Debug, Clone)]
pub struct LogWriter {
    appends: Sender<PendingAppend>,
}

impl LogWriter {
    /// Starts the thread. `on_result` is called on it with the ID and the result of each append.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(
        log: Arc<dyn PlatformLog>,
        on_result: impl Fn(u64, Result<LogOffset, AppendError>) + Send + 'static,
    ) -> eyre::Result<Self> {
        let (appends, queue) = channel::bounded(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("log-append".into())
            .spawn(move || append_all(&*log, &queue, &on_result))
            .wrap_err("can't start the thread that appends to the log")?;
        Ok(Self { appends })
    }

    /// Queues a record. Returns `false` if the queue is full.
    pub fn append(&self, id: u64, record: LogRecord) -> bool {
        self.appends.try_send(PendingAppend { id, record }).is_ok()
    }
}

fn append_all(
    log: &dyn PlatformLog,
    queue: &Receiver<PendingAppend>,
    on_result: &impl Fn(u64, Result<LogOffset, AppendError>),
) {
    for append in queue {
        let result = match serde_json::to_string(&append.record) {
            Ok(body) => log.append(&body),
            Err(error) => Err(AppendError::NotAppended(error.to_string())),
        };
        on_result(append.id, result);
    }
}
