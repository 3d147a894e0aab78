//! Processes of nodes.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::error::Error;

/// Held while a process is started and while a port is tried. A process that is being started has
/// all open sockets of this one for a moment, so a port that was tried meanwhile would stay taken.
pub(crate) static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// A process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with arguments and variables. It logs only if this process is told to.
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

    /// Starts a program whose log comes line by line over a channel.
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
            // The output is read to its end, whether or not anybody listens.
            std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        }
        Ok((process, lines))
    }

    /// Tells the process that its settings have changed.
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn reload(&self) -> Result<(), Error> {
        self.signal(Signal::HUP)
    }

    /// Stops the process gracefully.
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Kills the process.
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops the process from running until [`Process::thaw`].
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn thaw(&self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Returns how the process ended, if it has.
    ///
    /// # Errors
    ///
    /// The process cannot be looked at.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, Error> {
        Ok(self.child.try_wait()?)
    }

    /// Returns the memory that the process holds, in bytes.
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

    /// Returns the processor time that the process has used.
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
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
