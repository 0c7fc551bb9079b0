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
        if !self.reserve_idle_thread() {
            self.add_thread()?;
        }
        self.calls
            .send(call)
            .map_err(|_| eyre::eyre!("the queue of calls is closed"))
    }

    /// Takes an idle thread for the next call, and returns whether there was one.
    ///
    /// The caller takes it, and not the thread itself once it runs: a call that begins in between
    /// would count on the same thread, and wait for the end of the first call.
    fn reserve_idle_thread(&self) -> bool {
        let reserve = |idle_count: usize| idle_count.checked_sub(1);
        let reserved = self
            .idle_count
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, reserve);
        reserved.is_ok()
    }

    /// Adds a thread that is reserved for the next call.
    fn add_thread(&self) -> eyre::Result<()> {
        let queue = self.queue.clone();
        let idle_count = Arc::clone(&self.idle_count);
        let on_end = Arc::clone(&self.on_end);
        thread::Builder::new()
            .name("minion-call".into())
            .spawn(move || {
                for call in queue {
                    let end = call.run();
                    idle_count.fetch_add(1, Ordering::AcqRel);
                    on_end(call.start.task, call.start.attempt, end);
                }
            })?;
        Ok(())
    }
}
