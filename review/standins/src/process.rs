//! A child process that is killed when it is dropped.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::give_up;

pub struct Process {
    child: Child,
}

impl Process {
    pub fn start(program: &Path, argument: &str, variables: &[(&str, String)]) -> Self {
        let mut command = Command::new(program);
        command.arg(argument).stdin(Stdio::null());
        command.envs(variables.iter().map(|(name, value)| (*name, value)));
        if std::env::var_os("RUST_LOG").is_none() {
            command.env("RUST_LOG", "off");
        }
        let child = command.spawn().unwrap_or_else(|fault| give_up(&format!("node: {fault}")));
        note_id(child.id());
        Self { child }
    }

    /// Sends a signal by its name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        if !sent.is_ok_and(|status| status.success()) {
            give_up(&format!("signal {name}"));
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors mean that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the id of a process to the list of those that `case.sh` ends if this program could not.
fn note_id(id: u32) {
    let folder = std::env::var_os("CASE_FOLDER").map(PathBuf::from).unwrap_or_default();
    let file = OpenOptions::new().create(true).append(true).open(folder.join("processes"));
    if file.and_then(|mut file| writeln!(file, "{id}")).is_err() {
        give_up("the list of processes");
    }
}
