//! Cases of the second review. `cases-2 CASE PROGRAM RECORD` runs a case against the program and
//! exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod client;
mod deployment;
mod early;
mod endpoint;
mod heads;
mod ordinary;
mod refusal;
mod stray;
mod trickle;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// What was sent, answered and run.
pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    pub fn write(&mut self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        writeln!(self.file, "{time:8.3} {text}").expect("a record");
    }
}

/// A case; returns whether the rule was broken.
type Case = fn(&Path, bool, &mut Record) -> bool;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, name, address] = arguments.as_slice()
        && name == heads::CROWD
        && let Ok(address) = address.parse()
    {
        heads::drive_crowd(address);
    }
    let [_, name, program, record] = arguments.as_slice() else {
        eprintln!("usage: cases-2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let case: Case = match name.as_str() {
        "early" => early::run,
        "heads" => heads::run,
        "refusal" => refusal::run,
        "stray" => stray::run,
        "trickle" => trickle::run,
        _ => {
            eprintln!("no case {name}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let program = PathBuf::from(program);
    let Ok(file) = File::create(record) else { return ExitCode::from(2) };
    let mut record = Record { file, started: Instant::now() };
    record.write(&format!("case={name} trouble={has_trouble}"));
    // A panic is a step that failed before the rule could be judged.
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let is_broken = case(&program, has_trouble, &mut record);
        record.write(if is_broken { "the rule was broken" } else { "the rule held" });
        is_broken
    }));
    match ended {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
