//! The threads that call the minion.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crossbeam::channel::{self, Receiver, Sender};
use knapweedrill::common::Attempt;
use knapweedrill::job::TaskId;

use super::call::{CallEnd, MinionCall};

/// Runs calls, each on a thread of its own, and keeps the threads for later calls.
///
/// The sidecar never has more calls under way than the minion has slots, which bounds the number
/// of threads.
#[derive(Debug)]
pub struct CallPool<F> {
    calls: Sender<MinionCall>,
    queue: Receiver<MinionCall>,
    /// How many calls were begun and have not ended.
    open_count: Arc<AtomicUsize>,
    thread_count: AtomicUsize,
    on_end: Arc<F>,
}

impl<F> CallPool<F>
where
    F: Fn(TaskId, Attempt, CallEnd) + Send + Sync + 'static,
{
    /// Creates a pool without threads; `on_end` gets the end of each call.
    pub fn new(on_end: F) -> Self {
        let (calls, queue) = channel::unbounded();
        Self {
            calls,
            queue,
            open_count: Arc::default(),
            thread_count: AtomicUsize::new(0),
            on_end: Arc::new(on_end),
        }
    }

    /// Begins a call.
    ///
    /// # Errors
    ///
    /// Fails if a thread is needed and none can be started; then the call is not made.
    pub fn begin(&self, call: MinionCall) -> eyre::Result<()> {
        // A call counts from here on and not from when a thread takes it, so that a call never
        // waits behind another one for a thread that only seemed idle.
        let open_count = self.open_count.fetch_add(1, Ordering::AcqRel) + 1;
        if open_count > self.thread_count.load(Ordering::Acquire)
            && let Err(error) = self.add_thread()
        {
            self.open_count.fetch_sub(1, Ordering::AcqRel);
            return Err(error);
        }
        self.calls
            .send(call)
            .map_err(|_| eyre::eyre!("the queue of calls is closed"))
    }

    fn add_thread(&self) -> eyre::Result<()> {
        let queue = self.queue.clone();
        let open_count = Arc::clone(&self.open_count);
        let on_end = Arc::clone(&self.on_end);
        thread::Builder::new()
            .name("minion-call".into())
            .spawn(move || {
                for call in queue {
                    let end = call.run();
                    open_count.fetch_sub(1, Ordering::AcqRel);
                    on_end(call.start.task, call.start.attempt, end);
                }
            })?;
        self.thread_count.fetch_add(1, Ordering::AcqRel);
        Ok(())
    }
}
