//! The product's own dialect of headers, status codes and announcements.

use std::time::Duration;

use lavenderflow_core::gate::UpstreamSignals;
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::upstream::Announcement;
use lavenderflow_schema::convert::{ConvertError, configuration};
use lavenderflow_schema::credential;
use lavenderflow_schema::dialect::{
    Completion, Dialect, HeaderError, Headers, RequestMetadata, ResponseClass, UpstreamCall,
    find_header, parse_rate, set_header,
};

use super::header;

/// Path to which upstreams send announcements.
const ANNOUNCEMENTS_PATH: &str = "/v1/upstreams";

/// Schemes of the `Authorization` header that carry a key.
const KEY_SCHEMES: [&str; 2] = ["bearer", "token"];

/// The dialect that is used where the platform has none of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn parse_request(&self, headers: &[(String, String)]) -> Result<RequestMetadata, HeaderError> {
        let ticket = find_header(headers, header::TICKET).map(str::parse).transpose()?;
        let timeout = find_header(headers, header::DEADLINE).map(str::parse).transpose();
        let timeout: Option<u64> = timeout.map_err(|_| HeaderError::Deadline)?;
        Ok(RequestMetadata {
            id: find_header(headers, header::REQUEST_ID).map(str::to_owned),
            timeout: timeout.map(Duration::from_millis),
            ticket,
            organisation: find_header(headers, header::ORGANISATION).map(Into::into),
            key: credential::key_digest(headers, &KEY_SCHEMES),
        })
    }

    fn set_forward_headers(&self, headers: &mut Headers, id: &str) {
        set_header(headers, header::REQUEST_ID, id);
    }

    fn set_upstream_headers(&self, headers: &mut Headers, call: &UpstreamCall<'_>) {
        set_header(headers, header::DEADLINE, call.remaining.as_millis().to_string());
        headers.retain(|(name, _)| !name.eq_ignore_ascii_case(header::ORGANISATION));
        if let Some(organisation) = call.organisation {
            set_header(headers, header::ORGANISATION, organisation);
        }
    }

    fn classify_response(
        &self,
        id: &str,
        status: u16,
        headers: &[(String, String)],
    ) -> ResponseClass {
        let named = find_header(headers, header::REQUEST_ID);
        if named.is_some_and(|named| named != id) {
            return ResponseClass::Foreign;
        }
        if status == 503 && find_header(headers, header::OUTCOME) == Some("not-run") {
            ResponseClass::NotRun { reason: Reason::Shed, is_named: named.is_some() }
        } else {
            // Plain HTTP servers do not know the header.
            ResponseClass::Answer { is_named: true }
        }
    }

    fn parse_signals(&self, headers: &[(String, String)]) -> UpstreamSignals {
        UpstreamSignals {
            rate: parse_rate(find_header(headers, header::RATE_LIMIT)),
            leaving: find_header(headers, header::LEAVING).is_some_and(|value| value == "1"),
        }
    }

    fn response_status(&self, _: Outcome, reason: Reason) -> u16 {
        reason.status()
    }

    fn set_response_headers(&self, headers: &mut Headers, completion: &Completion) {
        // Only the proxy issues tickets, so one from an upstream is dropped.
        headers.retain(|(name, _)| !name.eq_ignore_ascii_case(header::TICKET));
        set_header(headers, header::REQUEST_ID, completion.id.as_str());
        if completion.outcome == Outcome::NotRun {
            set_header(headers, header::NEXT_NODES, completion.next_nodes.as_str());
            let retry = completion.retry_after.unwrap_or(Duration::from_secs(1)).as_secs().max(1);
            set_header(headers, "retry-after", retry.to_string());
        }
        if completion.reason == Reason::UnknownKey {
            set_header(headers, "www-authenticate", "Bearer");
        }
        if completion.reason == Reason::Leaving {
            set_header(headers, "connection", "close");
        }
        set_header(headers, header::OUTCOME, completion.outcome.name());
        set_header(headers, header::REASON, completion.reason.name());
        if let Some(ticket) = completion.ticket {
            set_header(headers, header::TICKET, ticket.to_string());
        }
    }

    fn cancels_on_close(&self) -> bool {
        false
    }

    fn parse_announcement(&self, path: &str, text: &[u8]) -> Result<Announcement, ConvertError> {
        if path == ANNOUNCEMENTS_PATH {
            configuration::parse_announcement(text)
        } else {
            Err(ConvertError::invalid("path", path, ANNOUNCEMENTS_PATH))
        }
    }
}
