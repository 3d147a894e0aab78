//! Writes log lines without ever holding up whoever logs.
//!
//! Lines go over a bounded channel to one thread, which owns the output. A line that finds the
//! channel full is left out, and so is one whose event has used up its lines of this second. How
//! many were left out is itself logged.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;

use env_logger::{Builder, Env, Target};
use indexmap::IndexMap;
use lavenderflow_core::clock::SharedClock;

use crate::error::NodeError;
use crate::prelude::*;

/// Lines that wait for the output: about a second of the most that is let through.
const CHANNEL_CAPACITY: usize = 4096;
/// Lines that are written in one go.
const MAX_BATCH_LINES: usize = 256;
/// Window over which the lines of an event are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);
/// Longest sleep while nothing is logged.
const IDLE_WAIT: Duration = Duration::from_secs(3600);
/// Lines of one event per window. A VM of a fifth of a core serves about a hundred requests a
/// second, with a few attempts each.
const MAX_LINES_PER_EVENT: u32 = 500;
/// Events that are told apart; lines of any others share one count.
const MAX_TRACKED_EVENTS: usize = 128;
/// Longest time to wait for the last lines to be written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What goes to the thread that writes.
#[derive(Debug)]
enum WriterMessage {
    /// A line, and how many were left out before it because the channel was full.
    Line { text: Vec<u8>, dropped: u64 },
    /// Everything before this is to be written.
    Flush(SyncSender<()>),
}

/// The end of the channel that the logger writes lines to.
#[derive(Debug)]
struct LineSender {
    sender: SyncSender<WriterMessage>,
    // Lines that found the channel full since the last one that did not.
    dropped: AtomicU64,
}

impl Write for LineSender {
    /// Takes one line; the logger writes each of them in one call.
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if self.sender.try_send(WriterMessage::Line { text: text.to_vec(), dropped }).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(text.len())
    }

    /// Does nothing, since the logger flushes after each line.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lets the lines of each event through up to a limit per window.
#[derive(Debug)]
struct RateLimiter {
    counts: IndexMap<String, EventCount>,
    window_start: Instant,
    max_lines: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct EventCount {
    written: u32,
    dropped: u64,
}

impl RateLimiter {
    fn new(now: Instant, max_lines: u32) -> Self {
        Self { counts: IndexMap::new(), window_start: now, max_lines }
    }

    /// Tells whether a line may be written.
    fn allows(&mut self, line: &[u8]) -> bool {
        let event = event(line);
        let is_known = self.counts.contains_key(event);
        let event = if is_known || self.counts.len() < MAX_TRACKED_EVENTS { event } else { "" };
        let count = self.counts.entry(event.to_owned()).or_default();
        let is_allowed = count.written < self.max_lines;
        if is_allowed {
            count.written += 1;
        } else {
            count.dropped += 1;
        }
        is_allowed
    }

    fn has_dropped(&self) -> bool {
        self.counts.values().any(|count| count.dropped > 0)
    }

    /// Begins a new window when that is due; returns what the last one left out, by event.
    fn roll_window(&mut self, now: Instant) -> Vec<(String, u64)> {
        if now < self.window_start + LIMIT_WINDOW {
            return Vec::new();
        }
        self.window_start = now;
        let counts = std::mem::take(&mut self.counts).into_iter();
        counts
            .map(|(event, count)| (event, count.dropped))
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}

/// Returns the event that a line is of; empty when it names none.
fn event(line: &[u8]) -> &str {
    const KEY: &[u8] = b"event=";
    let start = line.windows(KEY.len()).position(|window| window == KEY);
    let rest = start.map_or(&[][..], |start| &line[start + KEY.len()..]);
    let end = rest.iter().position(u8::is_ascii_whitespace).unwrap_or(rest.len());
    std::str::from_utf8(&rest[..end]).unwrap_or("")
}

/// Owns the output and what was left out.
struct LineWriter<W> {
    messages: Receiver<WriterMessage>,
    output: W,
    clock: SharedClock,
    limiter: RateLimiter,
    // Lines that found the channel full and that are not reported yet.
    dropped: u64,
}

impl<W: Write> LineWriter<W> {
    /// Writes lines until all senders are gone.
    fn run(mut self) {
        loop {
            let mut batch = Vec::new();
            let mut flushes = Vec::new();
            // Without anything to report there is no reason to wake up.
            let is_pending = self.dropped > 0 || self.limiter.has_dropped();
            let wait = if is_pending { LIMIT_WINDOW } else { IDLE_WAIT };
            match self.messages.recv_timeout(wait) {
                Ok(message) => self.receive(message, &mut batch, &mut flushes),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for _ in 1..MAX_BATCH_LINES {
                let Ok(message) = self.messages.try_recv() else { break };
                self.receive(message, &mut batch, &mut flushes);
            }
            self.report(&mut batch);
            // There is nowhere to report that the output is gone.
            let _ = self.output.write_all(&batch).and_then(|()| self.output.flush());
            for flush in flushes {
                // Who asked may have stopped waiting.
                let _ = flush.try_send(());
            }
        }
    }

    fn receive(
        &mut self,
        message: WriterMessage,
        batch: &mut Vec<u8>,
        flushes: &mut Vec<SyncSender<()>>,
    ) {
        match message {
            WriterMessage::Line { text, dropped } => {
                self.dropped += dropped;
                self.report(batch);
                if self.limiter.allows(&text) {
                    batch.extend(text);
                }
            }
            WriterMessage::Flush(done) => flushes.push(done),
        }
    }

    /// Adds lines about what was left out, once per window.
    fn report(&mut self, batch: &mut Vec<u8>) {
        let now = self.clock.now();
        let is_due = now >= self.limiter.window_start + LIMIT_WINDOW;
        for (event, count) in self.limiter.roll_window(now) {
            let text = format!("event=log-left-out reason=limit kind={event} count={count}\n");
            batch.extend(text.into_bytes());
        }
        if is_due && self.dropped > 0 {
            let count = std::mem::take(&mut self.dropped);
            let text = format!("event=log-left-out reason=slow-output count={count}\n");
            batch.extend(text.into_bytes());
        }
    }
}

/// The log of a process.
#[derive(Debug)]
pub struct Log {
    sender: SyncSender<WriterMessage>,
}

impl Log {
    /// Starts to log to an output, which may block.
    ///
    /// # Errors
    ///
    /// The thread that writes cannot be started.
    pub fn start(
        output: impl Write + Send + 'static,
        clock: SharedClock,
    ) -> Result<(Self, impl Write + Send + 'static), NodeError> {
        let (sender, messages) = sync_channel(CHANNEL_CAPACITY);
        let limiter = RateLimiter::new(clock.now(), MAX_LINES_PER_EVENT);
        let writer = LineWriter { messages, output, clock, limiter, dropped: 0 };
        let builder = thread::Builder::new().name("log".to_owned());
        builder.spawn(move || writer.run()).map_err(NodeError::Thread)?;
        Ok((Self { sender: sender.clone() }, LineSender { sender, dropped: AtomicU64::new(0) }))
    }

    /// Makes the process log to an output.
    ///
    /// # Errors
    ///
    /// The thread that writes cannot be started.
    pub fn install(
        output: impl Write + Send + 'static,
        clock: SharedClock,
    ) -> Result<Self, NodeError> {
        let (log, writer) = Self::start(output, clock)?;
        builder().target(Target::Pipe(Box::new(writer))).init();
        Ok(log)
    }

    /// Waits until the lines so far are written, but not for long.
    pub fn finish(&self) {
        let (done, is_done) = sync_channel(1);
        // An output that does not take lines any more must not keep the process from ending.
        if self.sender.try_send(WriterMessage::Flush(done)).is_ok() {
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Returns a logger whose level the environment can change.
pub fn builder() -> Builder {
    Builder::from_env(Env::default().default_filter_or("info"))
}
