//! The threads that run a node's asynchronous tasks.

use std::thread;

use tokio::runtime::{Builder, Runtime};

use crate::error::NodeError;

/// Runs the network task, the HTTP task and the main loop.
///
/// On a machine with several cores each of them has a thread of its own. With a single core they
/// share the calling thread: each message between two threads would cost a switch between them.
///
/// # Examples
///
/// ```
/// use lavenderflow::executor::Executor;
/// use tokio::sync::oneshot;
///
/// for threads in [1, 3] {
///     let executor = Executor::new(threads)?;
///     let (sender, receiver) = oneshot::channel();
///     executor.start("sender", async { drop(sender.send(7)) })?;
///     assert_eq!(executor.run(receiver), Ok(7));
/// }
/// # Ok::<(), lavenderflow::error::NodeError>(())
/// ```
#[derive(Debug)]
pub struct Executor {
    main: Runtime,
    is_shared: bool,
}

impl Executor {
    /// Creates an executor for a number of threads: with 1 all tasks share the calling thread, and
    /// 0 chooses by the number of cores.
    ///
    /// # Errors
    ///
    /// The runtime cannot be started.
    pub fn new(threads: u64) -> Result<Self, NodeError> {
        let is_shared = match threads {
            0 => thread::available_parallelism().is_ok_and(|cores| cores.get() == 1),
            threads => threads == 1,
        };
        Ok(Self { main: runtime()?, is_shared })
    }

    /// Starts a task. On the shared thread it runs while [`Executor::run`] does.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        &self,
        name: &str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> Result<(), NodeError> {
        if self.is_shared {
            self.main.spawn(task);
            return Ok(());
        }
        let runtime = runtime()?;
        let builder = thread::Builder::new().name(name.to_owned());
        builder.spawn(move || runtime.block_on(task)).map_err(NodeError::Thread)?;
        Ok(())
    }

    /// Runs a future on the calling thread until it completes.
    pub fn run<T>(&self, future: impl Future<Output = T>) -> T {
        self.main.block_on(future)
    }
}

fn runtime() -> Result<Runtime, NodeError> {
    Builder::new_current_thread().enable_all().build().map_err(NodeError::Runtime)
}
