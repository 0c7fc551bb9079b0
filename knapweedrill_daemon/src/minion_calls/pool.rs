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
    idle_count: Arc<AtomicUsize>,
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
            idle_count: Arc::default(),
            on_end: Arc::new(on_end),
        }
    }

    /// Begins a call.
    ///
    /// # Errors
    ///
    /// Fails if a thread is needed and none can be started; then the call is not made.
    pub fn begin(&self, call: MinionCall) -> eyre::Result<()> {
        if self.idle_count.load(Ordering::Acquire) <= self.calls.len() {
            self.add_thread()?;
        }
        self.calls
            .send(call)
            .map_err(|_| eyre::eyre!("the queue of calls is closed"))
    }

    fn add_thread(&self) -> eyre::Result<()> {
        let queue = self.queue.clone();
        let idle_count = Arc::clone(&self.idle_count);
        let on_end = Arc::clone(&self.on_end);
        idle_count.fetch_add(1, Ordering::AcqRel);
        thread::Builder::new()
            .name("minion-call".into())
            .spawn(move || {
                for call in queue {
                    idle_count.fetch_sub(1, Ordering::AcqRel);
                    let end = call.run();
                    idle_count.fetch_add(1, Ordering::AcqRel);
                    on_end(call.start.task, call.start.attempt, end);
                }
            })?;
        Ok(())
    }
}
