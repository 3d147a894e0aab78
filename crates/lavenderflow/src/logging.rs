//! Non-blocking log output with a rate limit.
//!
//! Lines go over a bounded channel to one thread, which owns the output. A line is dropped when the
//! channel is full, or when its event has reached the limit of the current window. The number of
//! dropped lines is logged.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;

use env_logger::{Builder, Env, Target};
use indexmap::IndexMap;
use lavenderflow_core::clock::SharedClock;

use crate::error::NodeError;
use crate::prelude::*;

/// Capacity of the channel in lines, about one second of output at the rate limit.
const CHANNEL_CAPACITY: usize = 4096;
/// Most lines in one write to the output.
const MAX_BATCH_LINES: usize = 256;
/// Time for which lines are collected before they are written, since each write costs a switch of
/// threads.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Window of the rate limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);
/// Longest sleep of the writer while nothing is logged.
const IDLE_WAIT: Duration = Duration::from_secs(3600);
/// Most lines of one event per window. A VM with a fifth of a core serves about 100 requests per
/// second, with a few attempts each.
const MAX_LINES_PER_EVENT: u32 = 500;
/// Most events with a count of their own; the lines of all other events share one count.
const MAX_TRACKED_EVENTS: usize = 128;
/// Longest wait for the last lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to the writer thread.
#[derive(Debug)]
enum WriterMessage {
    /// A line, and the number of lines dropped before it because the channel was full.
    Line { text: Vec<u8>, dropped: u64 },
    /// Asks for a notification once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Sends the logger's lines to the writer thread.
#[derive(Debug)]
struct LineSender {
    sender: SyncSender<WriterMessage>,
    // Lines dropped because of a full channel since the last line that was sent.
    dropped: AtomicU64,
}

impl Write for LineSender {
    /// Sends one line; the logger writes each line in a single call.
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if self.sender.try_send(WriterMessage::Line { text: text.to_vec(), dropped }).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(text.len())
    }

    /// Does nothing, because the logger flushes after each line.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Limits the lines of each event per window.
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

    /// Counts a line and returns whether it may be written.
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

    /// Starts a new window if the current one is over; returns the number of lines dropped in it, by
    /// event.
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

/// Returns the event name of a line, or an empty string if there is none.
fn event(line: &[u8]) -> &str {
    const KEY: &[u8] = b"event=";
    let start = line.windows(KEY.len()).position(|window| window == KEY);
    let rest = start.map_or(&[][..], |start| &line[start + KEY.len()..]);
    let end = rest.iter().position(u8::is_ascii_whitespace).unwrap_or(rest.len());
    std::str::from_utf8(&rest[..end]).unwrap_or("")
}

/// Writes lines to the output, and reports dropped lines.
struct LineWriter<W> {
    messages: Receiver<WriterMessage>,
    output: W,
    clock: SharedClock,
    limiter: RateLimiter,
    // Lines dropped because of a full channel and not reported yet.
    dropped: u64,
}

impl<W: Write> LineWriter<W> {
    /// Writes lines until all senders are dropped.
    fn run(mut self) {
        loop {
            let mut batch = Vec::new();
            let mut flushes = Vec::new();
            // The timeout only serves to report dropped lines.
            let is_pending = self.dropped > 0 || self.limiter.has_dropped();
            let wait = if is_pending { LIMIT_WINDOW } else { IDLE_WAIT };
            match self.messages.recv_timeout(wait) {
                Ok(message) => self.receive(message, &mut batch, &mut flushes),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if flushes.is_empty() {
                thread::sleep(BATCH_TIME);
            }
            for _ in 1..MAX_BATCH_LINES {
                let Ok(message) = self.messages.try_recv() else { break };
                self.receive(message, &mut batch, &mut flushes);
            }
            self.report(&mut batch);
            // A failed write cannot be reported, because the log itself is the output.
            let _ = self.output.write_all(&batch).and_then(|()| self.output.flush());
            for flush in flushes {
                // The receiver may have timed out.
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

    /// Appends lines about dropped lines, once per window.
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
    /// Starts a writer thread for an output, which may block. Returns the log, and the sink that
    /// takes one line per write.
    ///
    /// # Errors
    ///
    /// The writer thread cannot be started.
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

    /// Installs the logger of the process, with an output that may block.
    ///
    /// # Errors
    ///
    /// The writer thread cannot be started.
    pub fn install(
        output: impl Write + Send + 'static,
        clock: SharedClock,
    ) -> Result<Self, NodeError> {
        let (log, writer) = Self::start(output, clock)?;
        builder().target(Target::Pipe(Box::new(writer))).init();
        Ok(log)
    }

    /// Waits, with a timeout, until all earlier lines are written.
    pub fn flush(&self) {
        let (done, is_done) = sync_channel(1);
        // A blocked output must not keep the process from ending.
        if self.sender.try_send(WriterMessage::Flush(done)).is_ok() {
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Returns a logger builder with the level from `RUST_LOG`, by default `info`.
pub fn builder() -> Builder {
    Builder::from_env(Env::default().default_filter_or("info"))
}
