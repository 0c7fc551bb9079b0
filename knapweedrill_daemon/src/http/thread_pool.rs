//! Thread pool for work that may block on a client.

use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded, unbounded};
use crossbeam::select;

const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

type Job = Box<dyn FnOnce() + Send>;

/// Runs each job on its own thread and reuses idle threads.
///
/// A job never waits for another one to end, since a job may block until another one has run: the
/// response to a pipelined request is written after the response to the previous request. The
/// limit of requests in flight also limits the number of threads.
#[derive(Debug, Clone)]
pub(super) struct ThreadPool {
    /// Channel without capacity, which accepts a job only if an idle thread waits for one.
    idle_sender: Sender<Job>,
    idle_receiver: Receiver<Job>,
    /// Channel of the jobs for which a thread is being started.
    new_sender: Sender<Job>,
    new_receiver: Receiver<Job>,
}

impl ThreadPool {
    /// Creates a pool without threads.
    pub(super) fn new() -> Self {
        let (idle_sender, idle_receiver) = bounded(0);
        let (new_sender, new_receiver) = unbounded();
        Self {
            idle_sender,
            idle_receiver,
            new_sender,
            new_receiver,
        }
    }

    /// Runs a job, without blocking.
    ///
    /// If no thread can be started, the job waits for one that becomes idle. Dropping the job here
    /// would send a response, which may block.
    pub(super) fn run(&self, job: impl FnOnce() + Send + 'static) {
        let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) =
            self.idle_sender.try_send(Box::new(job))
        else {
            return;
        };
        // The channel is open, since the pool also holds the receiver.
        let _ = self.new_sender.send(job);
        self.start_thread();
    }

    fn start_thread(&self) {
        let idle_receiver = self.idle_receiver.clone();
        let new_receiver = self.new_receiver.clone();
        let result = thread::Builder::new()
            .name("http".to_owned())
            .spawn(move || run_jobs(&idle_receiver, &new_receiver));
        if let Err(error) = result {
            log::error!(error:% = error; "cannot start an HTTP thread");
        }
    }
}

fn run_jobs(idle_receiver: &Receiver<Job>, new_receiver: &Receiver<Job>) {
    loop {
        let job = select! {
            recv(new_receiver) -> job => job,
            recv(idle_receiver) -> job => job,
            default(IDLE_TIMEOUT) => return,
        };
        let Ok(job) = job else {
            return;
        };
        job();
    }
}
