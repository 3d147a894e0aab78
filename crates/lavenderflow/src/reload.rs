//! Notices that the settings file has changed, by a signal or without one.
//!
//! Settings that can change while a node runs come into force at once. The others are logged and
//! wait for the next start. A file that cannot be used changes nothing.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;

use lavenderflow_platform::node_file::{self, NodeFile};
use lavenderflow_schema::settings::NodeSettings;

use crate::actor::lifecycle::StopTimes;
use crate::error::NodeError;
use crate::prelude::*;

/// Interval at which the file is read: a change must be in force within two seconds.
const CHECK: Duration = Duration::from_secs(1);

/// The settings that can change while a node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Profile of services without a stored one.
    pub profile: Profile,
    /// Repeats per service that the fleet may make beside the profiles' share.
    pub burst: u64,
    /// How a stop goes.
    pub stop: StopTimes,
}

impl Tuning {
    /// Returns the tuning that a settings file asks for.
    pub fn of(node_file: &NodeFile) -> Self {
        let NodeSettings { notice, linger, stop: timeout, burst, .. } = node_file.settings;
        Self {
            profile: node_file.profile.clone(),
            burst,
            stop: StopTimes { notice, linger, timeout },
        }
    }
}

/// Asks for a look at the settings file.
#[derive(Clone, Debug)]
pub struct Reloader(Sender<()>);

impl Reloader {
    /// Starts the thread that owns the file, as it was at the start.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(path: PathBuf, known: NodeFile, mailbox: Mailbox) -> Result<Self, NodeError> {
        let (sender, asked) = channel();
        let mut watch = FileWatch { path, known, fault: None, mailbox };
        let builder = thread::Builder::new().name("settings".to_owned());
        builder.spawn(move || watch.run(&asked)).map_err(NodeError::Thread)?;
        Ok(Self(sender))
    }

    /// Asks for a look now.
    pub fn reload(&self) {
        if self.0.send(()).is_err() {
            log::warn!("event=reload-failed fault=ended");
        }
    }
}

struct FileWatch {
    path: PathBuf,
    known: NodeFile,
    // Why the file could not be used the last time.
    fault: Option<String>,
    mailbox: Mailbox,
}

impl FileWatch {
    fn run(&mut self, asked: &Receiver<()>) {
        loop {
            match asked.recv_timeout(CHECK) {
                Ok(()) => self.look(true),
                Err(RecvTimeoutError::Timeout) => self.look(false),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn look(&mut self, is_asked: bool) {
        match node_file::read(&self.path) {
            Ok(node_file) => {
                self.fault = None;
                if is_asked || node_file != self.known {
                    self.take(node_file);
                }
            }
            // Once is enough for each fault of the file.
            Err(fault) => {
                let fault = fault.to_string();
                if is_asked || self.fault.as_ref() != Some(&fault) {
                    log::error!("event=reload-failed fault={fault}");
                }
                self.fault = Some(fault);
            }
        }
    }

    fn take(&mut self, node_file: NodeFile) {
        let (old, new) = (Tuning::of(&self.known), Tuning::of(&node_file));
        let changed = names(&[
            ("profile", old.profile != new.profile),
            ("burst", old.burst != new.burst),
            ("stop", old.stop != new.stop),
        ]);
        let (was, is) = (&self.known, &node_file);
        let later = names(&[
            ("addresses", addresses(was) != addresses(is)),
            ("store", was.settings.store != is.settings.store),
            ("name", was.settings.name != is.settings.name),
            ("zone", was.settings.zone != is.settings.zone),
            ("upstream", (&was.dialect, was.upstream) != (&is.dialect, is.upstream)),
        ]);
        log::info!("event=reload changed={changed} at_next_start={later}");
        self.known = node_file;
        if old != new {
            self.mailbox.send_blocking(Message::ApplySettings(Box::new(new)));
        }
    }
}

fn addresses(node_file: &NodeFile) -> impl PartialEq {
    let settings = &node_file.settings;
    let NodeFile { ready, announcements, .. } = *node_file;
    (settings.callers, settings.peers, settings.admin, ready, announcements)
}

/// Returns the names that are set, separated by commas.
fn names(flags: &[(&str, bool)]) -> String {
    let set: Vec<&str> =
        flags.iter().filter(|(_, is_set)| *is_set).map(|(name, _)| *name).collect();
    if set.is_empty() { "none".to_owned() } else { set.join(",") }
}
