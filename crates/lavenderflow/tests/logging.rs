//! The log limits the lines of each event, never blocks its callers and counts dropped lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use lavenderflow::logging::Log;
use lavenderflow_core::clock::{ManualClock, SharedClock};

/// Maximum time to wait for lines to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// An output that sends what is written to a channel, and that can be made to block.
struct Output {
    written: Sender<Vec<u8>>,
    // Each write waits for one message, or until the sender is dropped.
    permits: Option<Receiver<()>>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(permits) = &self.permits {
            // Once the sender is dropped, writes no longer block.
            let _ = permits.recv();
        }
        self.written.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn clock() -> Arc<ManualClock> {
    Arc::new(ManualClock::new(Instant::now()))
}

/// Writes a line in one call, as the logger does.
fn log_line(output: &mut impl Write, line: &str) {
    output.write_all(format!("INFO {line}\n").as_bytes()).expect("a written line");
}

/// Returns everything that is written, up to and including the write that contains `end`.
fn read_until(written: &Receiver<Vec<u8>>, end: &str) -> String {
    let mut text = String::new();
    while !text.contains(end) {
        let bytes =
            written.recv_timeout(WRITE_TIMEOUT).unwrap_or_else(|_| panic!("no {end} in {text}"));
        text.push_str(std::str::from_utf8(&bytes).expect("text"));
    }
    text
}

/// Returns how many lines were dropped for a reason, according to the log.
fn dropped_count(text: &str, reason: &str) -> u64 {
    let lines = text.lines().filter(|line| line.contains(&format!("reason={reason}")));
    lines.filter_map(|line| line.rsplit_once("count=")?.1.parse::<u64>().ok()).sum()
}

#[test]
fn lines_of_one_event_are_limited_and_counted_without_affecting_others() {
    let (written, lines) = channel();
    let clock = clock();
    let shared = Arc::clone(&clock) as SharedClock;
    let (log, mut output) = Log::start(Output { written, permits: None }, shared).expect("log");
    for number in 0..3000 {
        log_line(&mut output, &format!("event=refused request={number}"));
    }
    log_line(&mut output, "event=stopped");
    log.flush();
    let text = read_until(&lines, "event=stopped");
    assert_eq!(text.matches("event=refused").count(), 500);
    clock.advance(Duration::from_secs(1));
    log_line(&mut output, "event=refused request=last");
    log.flush();
    let text = read_until(&lines, "request=last");
    assert!(text.contains("event=log-left-out reason=limit kind=refused count=2500"), "{text}");
}

#[test]
fn a_blocked_output_does_not_block_callers_and_dropped_lines_are_counted() {
    let (written, lines) = channel();
    let (permits, received) = channel();
    let clock = clock();
    let shared = Arc::clone(&clock) as SharedClock;
    let output = Output { written, permits: Some(received) };
    let (log, mut output) = Log::start(output, shared).expect("log");
    let start = Instant::now();
    // Spread over 100 events, the lines stay within the limit per event, so only the blocked output
    // limits them.
    for number in 0..50_000 {
        log_line(&mut output, &format!("event=kind-{} number={number}", number % 100));
    }
    log.flush();
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    // Once the output is unblocked, the log reports the number of dropped lines.
    drop(permits);
    let (mut text, mut sent) = (String::new(), 50_000);
    let accounted_for = |text: &str| {
        let kept = text.matches("event=kind-").count() + text.matches("event=again").count();
        kept as u64 + dropped_count(text, "slow-output") + dropped_count(text, "limit")
    };
    while accounted_for(&text) < sent {
        assert!(
            start.elapsed() < WRITE_TIMEOUT,
            "{} of {sent} lines accounted for",
            accounted_for(&text)
        );
        clock.advance(Duration::from_secs(1));
        log_line(&mut output, "event=again");
        sent += 1;
        log.flush();
        text.extend(lines.try_iter().map(|bytes| String::from_utf8(bytes).expect("text")));
    }
    assert_eq!(accounted_for(&text), sent);
    assert!(
        dropped_count(&text, "slow-output") > 0,
        "no line was dropped because of the slow output"
    );
}
