//! Starts, signals and observes child processes.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::error::Error;

/// Held while a process is spawned and while a port is probed. Until it executes its program, a
/// child holds copies of all open sockets, so a port that was probed during a spawn would stay in
/// use.
pub(crate) static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with arguments and environment variables. Its log is off unless `RUST_LOG`
    /// is set for this process.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start(
        program: &Path,
        arguments: &[String],
        variables: &[(&str, String)],
    ) -> Result<Self, Error> {
        let mut command = command(program, arguments, variables);
        if std::env::var_os("RUST_LOG").is_none() {
            command.env("RUST_LOG", "off");
        }
        spawn(&mut command)
    }

    /// Starts a program and returns a channel with the lines of its log.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start_logged(
        program: &Path,
        arguments: &[String],
        variables: &[(&str, String)],
    ) -> Result<(Self, Receiver<String>), Error> {
        let mut command = command(program, arguments, variables);
        command.env("RUST_LOG", "info").stdout(Stdio::piped());
        let mut process = spawn(&mut command)?;
        let (sender, lines) = channel();
        if let Some(output) = process.child.stdout.take() {
            let lines = BufReader::new(output).lines().map_while(Result::ok);
            // The output is read to its end even when the receiver is gone, so that the process
            // does not block on a full pipe.
            std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        }
        Ok((process, lines))
    }

    /// Makes the process reload its settings (`SIGHUP`).
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn reload(&self) -> Result<(), Error> {
        self.signal(Signal::HUP)
    }

    /// Stops the process gracefully (`SIGTERM`).
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Kills the process (`SIGKILL`) and waits for its end.
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Suspends the process (`SIGSTOP`) until [`Process::thaw`].
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Resumes a frozen process (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn thaw(&self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Returns the exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// The status of the process cannot be read.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, Error> {
        Ok(self.child.try_wait()?)
    }

    /// Returns the ids of the processes that this process has started.
    pub fn children(&self) -> Vec<u32> {
        let entries = std::fs::read_dir("/proc").into_iter().flatten().flatten();
        let ids = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
        ids.filter(|id| parent(*id) == Some(self.child.id())).collect()
    }

    /// Returns whether the process handles SIGHUP by now, which would end it before.
    pub fn handles_reload(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        caught.is_some_and(|mask| mask & 1 != 0)
    }

    /// Returns the resident memory of the process.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim()
            .trim_end_matches(" kB")
            .trim()
            .parse::<u64>()
            .ok()
            .map(|kilobytes| kilobytes * 1024)
    }

    /// Returns the number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?.count())
    }

    /// Returns the CPU time that the process has used.
    pub fn cpu_time(&self) -> Option<Duration> {
        /// Clock ticks per second on Linux.
        const TICKS_PER_SECOND: u64 = 100;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        Ok(kill_process(pid.ok_or(Error::Stopped)?, signal)?)
    }
}

/// Returns the fields of a process after its name; `None` once it has ended.
fn stat(id: u32) -> Option<String> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    Some(stat.rsplit_once(')')?.1.trim().to_owned())
}

fn parent(id: u32) -> Option<u32> {
    stat(id)?.split_whitespace().nth(1)?.parse().ok()
}

/// Returns whether a process runs; one that has ended but was not waited for does not.
pub fn is_running(id: u32) -> bool {
    stat(id).is_some_and(|stat| !stat.starts_with(['Z', 'X']))
}

fn command(program: &Path, arguments: &[String], variables: &[(&str, String)]) -> Command {
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null());
    command.envs(variables.iter().map(|(name, value)| (*name, value)));
    command
}

fn spawn(command: &mut Command) -> Result<Process, Error> {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Process { child: command.spawn()? })
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors mean that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
