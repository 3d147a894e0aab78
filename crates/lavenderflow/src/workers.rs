//! A pool of threads that grows with the work, up to a limit.

use std::sync::atomic::{AtomicIsize, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Stack of a worker; workers keep buffers on the heap.
const STACK_BYTES: usize = 256 * 1024;

/// Hands each job to a free thread.
pub struct Workers<J> {
    name: &'static str,
    max: usize,
    count: usize,
    // Free threads minus jobs that wait for one.
    idle: Arc<AtomicIsize>,
    jobs: Sender<J>,
    queue: Arc<Mutex<Receiver<J>>>,
    run: Arc<dyn Fn(J) + Send + Sync>,
}

impl<J: Send + 'static> Workers<J> {
    /// Creates a pool without threads.
    pub fn new(name: &'static str, max: usize, run: impl Fn(J) + Send + Sync + 'static) -> Self {
        let (jobs, queue) = mpsc::channel();
        Self {
            name,
            max,
            count: 0,
            idle: Arc::default(),
            jobs,
            queue: Arc::new(Mutex::new(queue)),
            run: Arc::new(run),
        }
    }

    /// Runs a job on a free thread or a new one.
    ///
    /// # Errors
    ///
    /// Returns the job when all threads are busy and no more may be started.
    pub fn submit(&mut self, job: J) -> Result<(), J> {
        if self.idle.fetch_sub(1, Ordering::AcqRel) > 0 {
            return self.jobs.send(job).map_err(|error| error.0);
        }
        self.idle.fetch_add(1, Ordering::AcqRel);
        if self.count >= self.max {
            return Err(job);
        }
        self.spawn(job)
    }

    fn spawn(&mut self, job: J) -> Result<(), J> {
        // The job travels in a cell, so that it survives when the thread cannot be started.
        let cell = Arc::new(Mutex::new(Some(job)));
        let first = Arc::clone(&cell);
        let (queue, run, idle) =
            (Arc::clone(&self.queue), Arc::clone(&self.run), Arc::clone(&self.idle));
        let builder = thread::Builder::new().name(self.name.to_owned()).stack_size(STACK_BYTES);
        let started = builder.spawn(move || {
            let mut job = take(&first);
            while let Some(next) = job {
                run(next);
                idle.fetch_add(1, Ordering::AcqRel);
                let receiver = queue.lock().unwrap_or_else(PoisonError::into_inner);
                job = receiver.recv().ok();
            }
        });
        match started {
            Ok(_) => {
                self.count += 1;
                Ok(())
            }
            Err(fault) => {
                log::error!("event=thread-failed pool={} fault={fault:?}", self.name);
                take(&cell).map_or(Ok(()), Err)
            }
        }
    }
}

fn take<J>(cell: &Mutex<Option<J>>) -> Option<J> {
    cell.lock().unwrap_or_else(PoisonError::into_inner).take()
}
