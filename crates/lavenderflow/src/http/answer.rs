//! Writes answers to callers.

use std::io::{self, Write};
use std::str::FromStr;

use bytes::Bytes;
use tiny_http::{Header, Request, Response, StatusCode};

use super::header;
use crate::net::body::AnswerParts;
use crate::net::drive::{Reply, ReplyBody};

/// What is not a chunk's size: it makes a caller see that the answer broke off.
const INVALID_CHUNK: &[u8] = b"cut\r\n";

/// Writes a reply. A body that breaks off is an error for the caller, never a short success.
///
/// # Errors
///
/// The caller is gone.
pub fn write(request: Request, reply: Reply, extra: &[(String, String)]) -> io::Result<()> {
    let mut headers = extra.to_vec();
    headers.push((header::OUTCOME.to_owned(), reply.outcome.name().to_owned()));
    headers.push((header::REASON.to_owned(), reply.reason.name().to_owned()));
    if let Some(ticket) = reply.ticket {
        headers.push((header::TICKET.to_owned(), ticket.to_string()));
    }
    // An upstream does not speak for the proxy.
    let own = [header::OUTCOME, header::REASON, header::TICKET, header::REQUEST_ID];
    headers.extend(reply.headers.into_iter().filter(|(name, _)| {
        !header::is_hop_by_hop(name) && !own.iter().any(|own| own.eq_ignore_ascii_case(name))
    }));
    match reply.body {
        ReplyBody::Whole(body) => write_whole(request, reply.status, &headers, body),
        ReplyBody::Parts(first, parts) => {
            write_parts(request.into_writer(), reply.status, &headers, &first, parts)
        }
    }
}

fn write_whole(
    request: Request,
    status: u16,
    headers: &[(String, String)],
    body: Bytes,
) -> io::Result<()> {
    let length = body.len();
    let fields = headers
        .iter()
        .filter_map(|(name, value)| Header::from_str(&format!("{name}: {value}")).ok());
    let response = Response::new(
        StatusCode(status),
        fields.collect(),
        io::Cursor::new(body),
        Some(length),
        None,
    );
    request.respond(response.with_chunked_threshold(usize::MAX))
}

fn write_parts(
    mut writer: impl Write,
    status: u16,
    headers: &[(String, String)],
    first: &Bytes,
    mut parts: AnswerParts,
) -> io::Result<()> {
    let reason = StatusCode(status).default_reason_phrase();
    let mut head = format!("HTTP/1.1 {status} {reason}\r\ntransfer-encoding: chunked\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    writer.write_all(head.as_bytes())?;
    write_chunk(&mut writer, first)?;
    while let Some(part) = parts.blocking_recv() {
        let Ok(data) = part else {
            writer.write_all(INVALID_CHUNK)?;
            return writer.flush();
        };
        write_chunk(&mut writer, &data)?;
    }
    writer.write_all(b"0\r\n\r\n")?;
    writer.flush()
}

fn write_chunk(writer: &mut impl Write, data: &Bytes) -> io::Result<()> {
    // An empty chunk would end the body.
    if data.is_empty() {
        return Ok(());
    }
    write!(writer, "{:x}\r\n", data.len())?;
    writer.write_all(data)?;
    writer.write_all(b"\r\n")?;
    writer.flush()
}
