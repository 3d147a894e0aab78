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
const MAX_WAITING: usize = 4096;
/// Lines that are written in one go.
const BATCH: usize = 256;
/// Window over which the lines of an event are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest sleep while nothing is logged.
const MAX_WAIT: Duration = Duration::from_secs(3600);
/// Lines of one event per window. A VM of a fifth of a core serves about a hundred requests a
/// second, with a few attempts each.
const MAX_LINES: u32 = 500;
/// Events that are told apart; lines of any others share one count.
const MAX_EVENTS: usize = 128;
/// Longest time to wait for the last lines to be written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What goes to the thread that writes.
#[derive(Debug)]
enum Message {
    /// A line, and how many were left out before it because the channel was full.
    Line { text: Vec<u8>, lost: u64 },
    /// Everything before this is to be written.
    Flush(SyncSender<()>),
}

/// The end of the channel that the logger writes lines to.
#[derive(Debug)]
struct LineSender {
    lines: SyncSender<Message>,
    // Lines that found the channel full since the last one that did not.
    lost: AtomicU64,
}

impl Write for LineSender {
    /// Takes one line; the logger writes each of them in one call.
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let lost = self.lost.swap(0, Ordering::Relaxed);
        if self.lines.try_send(Message::Line { text: text.to_vec(), lost }).is_err() {
            self.lost.fetch_add(lost + 1, Ordering::Relaxed);
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
struct Limiter {
    counts: IndexMap<String, Count>,
    since: Instant,
    most: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    written: u32,
    left_out: u64,
}

impl Limiter {
    fn new(now: Instant, most: u32) -> Self {
        Self { counts: IndexMap::new(), since: now, most }
    }

    /// Tells whether a line may be written.
    fn allows(&mut self, line: &[u8]) -> bool {
        let event = event(line);
        let is_known = self.counts.contains_key(event);
        let event = if is_known || self.counts.len() < MAX_EVENTS { event } else { "" };
        let count = self.counts.entry(event.to_owned()).or_default();
        let is_allowed = count.written < self.most;
        if is_allowed {
            count.written += 1;
        } else {
            count.left_out += 1;
        }
        is_allowed
    }

    fn has_left_out(&self) -> bool {
        self.counts.values().any(|count| count.left_out > 0)
    }

    /// Begins a new window when that is due; returns what the last one left out, by event.
    fn turn(&mut self, now: Instant) -> Vec<(String, u64)> {
        if now < self.since + WINDOW {
            return Vec::new();
        }
        self.since = now;
        let counts = std::mem::take(&mut self.counts).into_iter();
        counts
            .map(|(event, count)| (event, count.left_out))
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
    messages: Receiver<Message>,
    output: W,
    clock: SharedClock,
    limiter: Limiter,
    // Lines that found the channel full and that are not reported yet.
    lost: u64,
}

impl<W: Write> LineWriter<W> {
    /// Writes lines until all senders are gone.
    fn run(mut self) {
        loop {
            let mut batch = Vec::new();
            let mut flushes = Vec::new();
            // Without anything to report there is no reason to wake up.
            let is_pending = self.lost > 0 || self.limiter.has_left_out();
            let wait = if is_pending { WINDOW } else { MAX_WAIT };
            match self.messages.recv_timeout(wait) {
                Ok(message) => self.take(message, &mut batch, &mut flushes),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for _ in 1..BATCH {
                let Ok(message) = self.messages.try_recv() else { break };
                self.take(message, &mut batch, &mut flushes);
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

    fn take(&mut self, message: Message, batch: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) {
        match message {
            Message::Line { text, lost } => {
                self.lost += lost;
                self.report(batch);
                if self.limiter.allows(&text) {
                    batch.extend(text);
                }
            }
            Message::Flush(done) => flushes.push(done),
        }
    }

    /// Adds lines about what was left out, once per window.
    fn report(&mut self, batch: &mut Vec<u8>) {
        let now = self.clock.now();
        let is_due = now >= self.limiter.since + WINDOW;
        for (event, count) in self.limiter.turn(now) {
            let text = format!("event=log-left-out reason=limit kind={event} count={count}\n");
            batch.extend(text.into_bytes());
        }
        if is_due && self.lost > 0 {
            let count = std::mem::take(&mut self.lost);
            let text = format!("event=log-left-out reason=slow-output count={count}\n");
            batch.extend(text.into_bytes());
        }
    }
}

/// The log of a process.
#[derive(Debug)]
pub struct Log {
    lines: SyncSender<Message>,
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
        let (lines, messages) = sync_channel(MAX_WAITING);
        let limiter = Limiter::new(clock.now(), MAX_LINES);
        let writer = LineWriter { messages, output, clock, limiter, lost: 0 };
        let builder = thread::Builder::new().name("log".to_owned());
        builder.spawn(move || writer.run()).map_err(NodeError::Thread)?;
        Ok((Self { lines: lines.clone() }, LineSender { lines, lost: AtomicU64::new(0) }))
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
        let (log, lines) = Self::start(output, clock)?;
        builder().target(Target::Pipe(Box::new(lines))).init();
        Ok(log)
    }

    /// Waits until the lines so far are written, but not for long.
    pub fn finish(&self) {
        let (done, is_done) = sync_channel(1);
        // An output that does not take lines any more must not keep the process from ending.
        if self.lines.try_send(Message::Flush(done)).is_ok() {
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Returns a logger whose level the environment can change.
pub fn builder() -> Builder {
    Builder::from_env(Env::default().default_filter_or("info"))
}
