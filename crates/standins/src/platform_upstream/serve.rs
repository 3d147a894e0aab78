//! Serves the connections of an upstream in its mode.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::{Mode, Part, Settings, StateHandle};
use crate::error::Error;
use crate::http::RequestHead;

/// Interval at which a hanging request checks whether the upstream has stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time between a response and a stray one, and the status of that.
const STRAY_DELAY: Duration = Duration::from_millis(8);
const STRAY_STATUS: u16 = 501;

/// Body of the responses after which an upstream closes its connection early.
pub const EARLY_BODY: &str = "part of it";

/// Returns the body of the response to a request.
pub fn response_body(id: &str) -> String {
    format!("answer to {id} ").repeat(20)
}

pub(super) fn serve(
    stream: TcpStream,
    settings: &Settings,
    state: &StateHandle,
) -> Result<(), Error> {
    let peer = stream.peer_addr()?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    // The first refusal, by the modes that repeat it, and the number of refusals.
    let mut refusal: Option<Vec<(&str, String)>> = None;
    let mut refusals = 0;
    // The response of a requested size that was written last.
    let mut written: Option<String> = None;
    loop {
        let head = match (RequestHead::read(&mut reader, peer), written.take()) {
            (Ok(Some(head)), _) => head,
            (Ok(None), _) => return Ok(()),
            // A socket that is closed with unread bytes resets the connection.
            (Err(fault), Some(id)) => {
                record_close(&id, state)?;
                return Err(fault);
            }
            (Err(fault), None) => return Err(fault),
        };
        let id = head.header("lavenderflow-request-id").unwrap_or_default().to_owned();
        if head.header("lavenderflow-expect-instance") != Some(&settings.id) {
            head.read_body(&mut reader, peer)?;
            respond(&mut writer, 421, &[("Lavenderflow-Instance-Id", &settings.id)], "")?;
            continue;
        }
        let mode = state.ask(|state| state.mode)?;
        if mode == Mode::Sheds {
            head.read_body(&mut reader, peer)?;
            write_head(&mut writer, 503, &refusal_headers(Some(&id)), Some(0))?;
            continue;
        }
        if mode == Mode::DripsRefusal {
            head.read_body(&mut reader, peer)?;
            write_head(&mut writer, 503, &refusal_headers(Some(&id)), Some(usize::MAX >> 1))?;
            let _ = Part::FastBody.drip_body(&mut writer);
            return Ok(());
        }
        let (named, most) = match mode {
            Mode::RepeatsRefusal { named } => (named, 1),
            Mode::RepeatsOldRefusal => (true, 2),
            _ => (true, 0),
        };
        if refusals < most {
            head.read_body(&mut reader, peer)?;
            let headers = refusal_headers(named.then_some(&*id));
            write_head(&mut writer, 503, &headers, Some(0))?;
            refusal.get_or_insert(headers);
            refusals += 1;
            continue;
        }
        let (name, headers) = (id.clone(), head.headers.clone());
        state.ask(move |state| {
            let record = state.requests.entry(name).or_default();
            record.run_count += 1;
            record.arrived_at = Some(Instant::now());
            record.headers = headers;
        })?;
        if mode == Mode::RespondsEarly {
            respond_signed(&mut writer, settings, &id, 200, state)?;
        }
        if mode == Mode::ClosesEarly {
            write_head(&mut writer, 200, &signed_headers(settings, &id, state)?, None)?;
            return Ok(writer.write_all(EARLY_BODY.as_bytes())?);
        }
        let received = head.read_body(&mut reader, peer)?;
        let name = id.clone();
        state.ask(move |state| state.requests.entry(name).or_default().body_digest = received)?;
        if mode == Mode::RespondsEarly {
            continue;
        }
        let work = head.query_number("work_ms").map_or(settings.work, Duration::from_millis);
        thread::sleep(work);
        if let (Mode::Healthy, Some(size)) = (mode, head.query_number("size")) {
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            let body: Vec<u8> = response_body(&id).bytes().cycle().take(size).collect();
            let headers = signed_headers(settings, &id, state)?;
            write_head(&mut writer, 200, &headers, Some(body.len()))?;
            if let Err(fault) = writer.write_all(&body) {
                record_close(&id, state)?;
                return Err(fault.into());
            }
            written = Some(id.clone());
            let written_at = Some(Instant::now());
            state
                .ask(move |state| state.requests.entry(id).or_default().written_at = written_at)?;
            continue;
        }
        match mode {
            Mode::Hangs => return hang(&mut writer, &id, state),
            Mode::Endless(part) | Mode::Drips(part) => {
                let headers = signed_headers(settings, &id, state)?;
                let headers: String =
                    headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
                let body = response_body(&id);
                // Sending fails once the node has closed the connection.
                let _ = match mode {
                    Mode::Drips(_) => part.drip(&mut writer, &headers, &body),
                    _ => part.send(&mut writer, &headers, &body),
                };
                return record_close(&id, state);
            }
            Mode::Errors => respond_signed(&mut writer, settings, &id, 500, state)?,
            Mode::ExtraResponse => {
                respond_signed(&mut writer, settings, &id, 200, state)?;
                respond_signed(&mut writer, settings, &id, 200, state)?;
            }
            Mode::Strays => {
                respond_signed(&mut writer, settings, &id, 200, state)?;
                thread::sleep(STRAY_DELAY);
                let headers =
                    [("Lavenderflow-Server-Signature", format!("signed-by-{}", settings.id))];
                write_head(&mut writer, STRAY_STATUS, &headers, Some(0))?;
            }
            Mode::WrongRequestId => respond_signed(&mut writer, settings, "another", 200, state)?,
            Mode::Garbage => writer.write_all(b"\x00\x01 not an answer\r\n\r\n")?,
            Mode::Disconnects => return Ok(writer.shutdown(Shutdown::Both)?),
            Mode::RepeatsRefusal { .. } | Mode::RepeatsOldRefusal => {
                if let Some(headers) = &refusal {
                    write_head(&mut writer, 503, headers, Some(0))?;
                }
                respond_signed(&mut writer, settings, &id, 200, state)?;
            }
            Mode::TruncatesHead => {
                let mut head = Vec::new();
                let body = response_body(&id);
                let headers = signed_headers(settings, &id, state)?;
                write_head(&mut head, 200, &headers, Some(body.len()))?;
                // Each request is cut at another place, the last ones within the final empty line.
                let runs = state.ask(|state| state.requests.len())?;
                let length = head.len() - 1 - runs * 5 % (head.len() - 1);
                writer.write_all(&head[..length])?;
                return Ok(writer.shutdown(Shutdown::Both)?);
            }
            Mode::Truncates => {
                let body = response_body(&id);
                write_head(
                    &mut writer,
                    200,
                    &signed_headers(settings, &id, state)?,
                    Some(body.len()),
                )?;
                writer.write_all(&body.as_bytes()[..body.len() / 2])?;
                return Ok(writer.shutdown(Shutdown::Both)?);
            }
            Mode::CloseDelimited => {
                write_head(&mut writer, 200, &signed_headers(settings, &id, state)?, None)?;
                writer.write_all(response_body(&id).as_bytes())?;
                return Ok(writer.shutdown(Shutdown::Write)?);
            }
            Mode::Unsigned => {
                respond(&mut writer, 200, &[("Lavenderflow-Request-Id", &id)], "made up")?;
            }
            _ => respond_signed(&mut writer, settings, &id, 200, state)?,
        }
    }
}

/// Holds the connection until the client closes it, and records when that happens.
fn hang(stream: &mut TcpStream, id: &str, state: &StateHandle) -> Result<(), Error> {
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    loop {
        match stream.read(&mut [0; 64]) {
            Ok(0) => break,
            Ok(_) => {}
            Err(fault) if fault.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
        if state.ask(|state| state.is_stopped)? {
            return Ok(());
        }
    }
    record_close(id, state)
}

fn record_close(id: &str, state: &StateHandle) -> Result<(), Error> {
    let (name, closed_at) = (id.to_owned(), Some(Instant::now()));
    state.ask(move |state| state.requests.entry(name).or_default().closed_at = closed_at)
}

/// Returns the headers of a signed response.
fn signed_headers(
    settings: &Settings,
    id: &str,
    state: &StateHandle,
) -> Result<Vec<(&'static str, String)>, Error> {
    let mut headers = state.ask(|state| state.response_headers.clone())?;
    headers.push(("Lavenderflow-Request-Id", id.to_owned()));
    headers.push(("Lavenderflow-Server-Signature", format!("signed-by-{}", settings.id)));
    Ok(headers)
}

fn respond_signed(
    writer: &mut TcpStream,
    settings: &Settings,
    id: &str,
    status: u16,
    state: &StateHandle,
) -> Result<(), Error> {
    let body = response_body(id);
    write_head(writer, status, &signed_headers(settings, id, state)?, Some(body.len()))?;
    Ok(writer.write_all(body.as_bytes())?)
}

fn respond(
    writer: &mut TcpStream,
    status: u16,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Result<(), Error> {
    let headers: Vec<(&str, String)> = headers.iter().map(|(n, v)| (*n, (*v).to_owned())).collect();
    write_head(writer, status, &headers, Some(body.len()))?;
    Ok(writer.write_all(body.as_bytes())?)
}

/// Returns the headers of a refusal.
fn refusal_headers(id: Option<&str>) -> Vec<(&'static str, String)> {
    let id = id.map(|id| ("Lavenderflow-Request-Id", id.to_owned()));
    std::iter::once(("Lavenderflow-Not-Executed", "1".to_owned())).chain(id).collect()
}

fn write_head(
    writer: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    length: Option<usize>,
) -> Result<(), Error> {
    let mut head = format!("HTTP/1.1 {status} status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    match length {
        Some(length) => head.push_str(&format!("Content-Length: {length}\r\n\r\n")),
        None => head.push_str("Connection: close\r\n\r\n"),
    }
    Ok(writer.write_all(head.as_bytes())?)
}
