//! The threads that call the minion.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::{self, Receiver, Sender};
use eyre::WrapErr;
use knapweedrill::common::Attempt;
use knapweedrill::job::TaskId;

use super::call::{CallEnd, MinionCall};

/// Runs calls, each on a thread of its own, and keeps the threads for later calls.
///
/// The owner tells the pool of each end that it has heard of, so the pool counts calls without
/// sharing the count: with a thread for each call that has not ended, none waits for another. The
/// sidecar never has more calls under way than the minion has slots, which bounds the threads.
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
    F: Fn(TaskId, Attempt, CallEnd) + Send + Sync + 'static,
{
    /// Creates a pool without threads; `on_end` gets the end of each call.
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

    /// Begins a call.
    ///
    /// # Errors
    ///
    /// Fails if a thread is needed and none can be started; then the call is not made.
    pub fn begin(&mut self, call: MinionCall) -> eyre::Result<()> {
        if self.running_count == self.thread_count {
            self.add_thread()?;
        }
        self.running_count += 1;
        self.calls
            .send(call)
            .wrap_err("the queue of calls is closed")
    }

    /// Takes note that the end of a call has been heard of.
    pub fn ended(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
    }

    /// Returns how many threads the pool has.
    pub fn thread_count(&self) -> usize {
        self.thread_count
    }

    fn add_thread(&mut self) -> eyre::Result<()> {
        let queue = self.queue.clone();
        let on_end = Arc::clone(&self.on_end);
        thread::Builder::new()
            .name("minion-call".into())
            .spawn(move || run_all(&queue, &*on_end))
            .wrap_err("can't start a thread for a call of the minion")?;
        self.thread_count += 1;
        Ok(())
    }
}

fn run_all(queue: &Receiver<MinionCall>, on_end: &impl Fn(TaskId, Attempt, CallEnd)) {
    for call in queue {
        let end = call.run();
        on_end(call.start.task, call.start.attempt, end);
    }
}
