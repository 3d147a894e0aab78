//! Reloads the settings file, on a signal or when a poll finds it changed.
//!
//! Settings that can change while a node runs take effect at once. Changes of other settings are
//! logged and take effect at the next start. An invalid file changes nothing.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;

use lavenderflow_platform::node_file::{self, NodeFile};
use lavenderflow_schema::dialect::Dialect;
use lavenderflow_schema::settings::NodeSettings;
use tokio::sync::watch;

use crate::actor::lifecycle::StopTimes;
use crate::error::NodeError;
use crate::prelude::*;

/// Interval between reads of the file; a change must take effect within 2 s.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The settings that can change while a node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// Profile of services without a stored profile.
    pub profile: Profile,
    /// Retries per service that the fleet may make beyond the share in the profiles.
    pub burst: u64,
    /// Times of a graceful stop.
    pub stop: StopTimes,
}

impl ReloadableSettings {
    /// Returns the reloadable settings of a settings file.
    pub fn from_node_file(node_file: &NodeFile) -> Self {
        let NodeSettings { notice, linger, stop: timeout, burst, .. } = node_file.settings;
        Self {
            profile: node_file.profile.clone(),
            burst,
            stop: StopTimes { notice, linger, timeout },
        }
    }
}

/// Requests reloads of the settings file.
#[derive(Clone, Debug)]
pub struct Reloader(Sender<()>);

impl Reloader {
    /// Starts the thread that reads the file; `known` is its content at the start of the node, and
    /// `dialect` names the service of this VM in requests that begin.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        path: PathBuf,
        known: NodeFile,
        dialect: watch::Sender<Arc<dyn Dialect>>,
        mailbox: Mailbox,
    ) -> Result<Self, NodeError> {
        let (sender, requests) = channel();
        let mut watch = SettingsWatch { path, known, fault: None, dialect, mailbox };
        let builder = thread::Builder::new().name("settings".to_owned());
        builder.spawn(move || watch.run(&requests)).map_err(NodeError::Thread)?;
        Ok(Self(sender))
    }

    /// Requests a reload now.
    pub fn reload(&self) {
        if self.0.send(()).is_err() {
            log::warn!("event=reload-failed fault=ended");
        }
    }
}

struct SettingsWatch {
    path: PathBuf,
    known: NodeFile,
    // The error of the last read, if it failed.
    fault: Option<String>,
    dialect: watch::Sender<Arc<dyn Dialect>>,
    mailbox: Mailbox,
}

impl SettingsWatch {
    fn run(&mut self, requests: &Receiver<()>) {
        loop {
            match requests.recv_timeout(POLL_INTERVAL) {
                Ok(()) => self.check(true),
                Err(RecvTimeoutError::Timeout) => self.check(false),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn check(&mut self, is_requested: bool) {
        match node_file::read(&self.path) {
            Ok(node_file) => {
                self.fault = None;
                if is_requested || node_file != self.known {
                    self.apply(node_file);
                }
            }
            // The same error of consecutive polls is logged once.
            Err(fault) => {
                let fault = fault.to_string();
                if is_requested || self.fault.as_ref() != Some(&fault) {
                    log::error!("event=reload-failed fault={fault}");
                }
                self.fault = Some(fault);
            }
        }
    }

    fn apply(&mut self, node_file: NodeFile) {
        let (old, new) = (
            ReloadableSettings::from_node_file(&self.known),
            ReloadableSettings::from_node_file(&node_file),
        );
        let changed = join_names(&[
            ("profile", old.profile != new.profile),
            ("burst", old.burst != new.burst),
            ("stop", old.stop != new.stop),
            ("service", self.known.dialect.service != node_file.dialect.service),
        ]);
        let (before, after) = (&self.known, &node_file);
        let deferred = join_names(&[
            ("addresses", addresses(before) != addresses(after)),
            ("store", before.settings.store != after.settings.store),
            ("apply-limit", before.apply_limit != after.apply_limit),
            ("name", before.settings.name != after.settings.name),
            ("zone", before.settings.zone != after.settings.zone),
            ("upstream", upstream(before) != upstream(after)),
        ]);
        // Before the log line, so that requests that begin after it name the service.
        self.dialect.send_replace(Arc::new(node_file.dialect.clone()));
        log::info!("event=reload changed={changed} at_next_start={deferred}");
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

fn upstream(node_file: &NodeFile) -> impl PartialEq {
    (node_file.upstream, node_file.dialect.heartbeat_interval)
}

/// Joins the names whose flag is set with commas; returns `none` if there are none.
fn join_names(flags: &[(&str, bool)]) -> String {
    let set: Vec<&str> =
        flags.iter().filter(|(_, is_set)| *is_set).map(|(name, _)| *name).collect();
    if set.is_empty() { "none".to_owned() } else { set.join(",") }
}
