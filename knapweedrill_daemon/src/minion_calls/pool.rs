//! The thread pool for calls to the minion.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::{self, Receiver, Sender};
use eyre::WrapErr;
use knapweedrill::common::Attempt;
use knapweedrill::job::TaskId;

use super::call::{CompletedCall, MinionCall};

/// A pool of threads that make blocking calls to the minion, one call per thread at a time.
///
/// The pool has at least as many threads as calls in flight, so no call is queued behind another.
/// The owner reports each call that has ended with [`CallPool::record_end`], which keeps the count
/// on the owner's thread, without synchronisation. The sidecar never has more calls in flight than
/// the minion has slots, which bounds the number of threads.
#[derive(Debug)]
pub struct CallPool<F> {
    calls: Sender<MinionCall>,
    queue: Receiver<MinionCall>,
    running_count: usize,
    thread_count: usize,
    on_end: Arc<F>,
}

impl<F> CallPool<F>
where
    F: Fn(TaskId, Attempt, CompletedCall) + Send + Sync + 'static,
{
    /// Creates a pool without threads. The pool's threads call `on_end` for each call that ends.
    pub fn new(on_end: F) -> Self {
        let (calls, queue) = channel::unbounded();
        Self {
            calls,
            queue,
            running_count: 0,
            thread_count: 0,
            on_end: Arc::new(on_end),
        }
    }

    /// Starts a call on an idle thread, or on a new thread if all are busy.
    ///
    /// # Errors
    ///
    /// Returns an error if a new thread is needed and can't be started; the call is then not made.
    pub fn submit(&mut self, call: MinionCall) -> eyre::Result<()> {
        if self.running_count == self.thread_count {
            self.add_thread()?;
        }
        self.running_count += 1;
        self.calls
            .send(call)
            .wrap_err("cannot queue the call to the minion: all threads of the pool have ended")
    }

    /// Records that a call has ended, which marks its thread as idle.
    pub fn record_end(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
    }

    /// Returns the number of threads, idle ones included.
    pub fn thread_count(&self) -> usize {
        self.thread_count
    }

    fn add_thread(&mut self) -> eyre::Result<()> {
        let queue = self.queue.clone();
        let on_end = Arc::clone(&self.on_end);
        thread::Builder::new()
            .name("minion-call".into())
            .spawn(move || run_calls(&queue, &*on_end))
            .wrap_err("cannot start a thread for calls to the minion")?;
        self.thread_count += 1;
        Ok(())
    }
}

fn run_calls(queue: &Receiver<MinionCall>, on_end: &impl Fn(TaskId, Attempt, CompletedCall)) {
    for call in queue {
        let completed = call.run();
        on_end(call.start.task, call.start.attempt, completed);
    }
}
