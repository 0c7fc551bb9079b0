//! Threads for work that may block on a client.

use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded, unbounded};
use crossbeam::select;

const IDLE_TIME: Duration = Duration::from_secs(5);

type Job = Box<dyn FnOnce() + Send>;

/// Runs each job on a thread of its own and keeps idle threads for later jobs.
///
/// No job waits for another, since a job may block until another one has run: the answer to a
/// pipelined request is written after that to the request before it. The bound on the requests
/// in flight bounds the threads.
#[derive(Debug, Clone)]
pub(super) struct ThreadPool {
    /// Has no capacity, so it takes a job only if an idle thread waits for it.
    to_idle: Sender<Job>,
    from_idle: Receiver<Job>,
    /// Jobs for which a thread is on its way.
    to_new: Sender<Job>,
    from_new: Receiver<Job>,
}

impl ThreadPool {
    /// Creates a pool without threads.
    pub(super) fn new() -> Self {
        let (to_idle, from_idle) = bounded(0);
        let (to_new, from_new) = unbounded();
        Self {
            to_idle,
            from_idle,
            to_new,
            from_new,
        }
    }

    /// Runs a job, without blocking.
    ///
    /// If the system refuses a thread, the job waits for one that becomes idle: dropping it here
    /// would answer its request, which may block.
    pub(super) fn run(&self, job: impl FnOnce() + Send + 'static) {
        let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) =
            self.to_idle.try_send(Box::new(job))
        else {
            return;
        };
        // The pool holds the receiver as well, so the channel is open.
        let _ = self.to_new.send(job);
        self.start_thread();
    }

    fn start_thread(&self) {
        let from_idle = self.from_idle.clone();
        let from_new = self.from_new.clone();
        let started = thread::Builder::new()
            .name("http".to_owned())
            .spawn(move || run_jobs(&from_idle, &from_new));
        if let Err(error) = started {
            log::error!(error:% = error; "the system refuses a thread for HTTP");
        }
    }
}

fn run_jobs(from_idle: &Receiver<Job>, from_new: &Receiver<Job>) {
    loop {
        let job = select! {
            recv(from_new) -> job => job,
            recv(from_idle) -> job => job,
            default(IDLE_TIME) => return,
        };
        let Ok(job) = job else {
            return;
        };
        job();
    }
}
