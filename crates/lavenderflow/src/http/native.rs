//! The product's own header fields and statuses.

use std::time::Duration;

use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::upstream::Announcement;
use lavenderflow_schema::convert::{ConvertError, configuration};
use lavenderflow_schema::dialect::{
    CallerFields, Dialect, Ending, FieldError, Fields, Judgement, find, set,
};

use super::header;

/// Path to which upstreams send announcements.
const ANNOUNCEMENTS: &str = "/v1/upstreams";

/// The fields that callers, nodes and upstreams use where the platform has none of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn read(&self, fields: &[(String, String)]) -> Result<CallerFields, FieldError> {
        let ticket = find(fields, header::TICKET).map(str::parse).transpose()?;
        let deadline = find(fields, header::DEADLINE).map(str::parse).transpose();
        let deadline: Option<u64> = deadline.map_err(|_| FieldError::Deadline)?;
        Ok(CallerFields {
            id: find(fields, header::REQUEST_ID).map(str::to_owned),
            deadline: deadline.map(Duration::from_millis),
            ticket,
            organisation: find(fields, header::ORGANISATION).map(Into::into),
        })
    }

    fn forward(&self, fields: &mut Fields, id: &str) {
        set(fields, header::REQUEST_ID, id);
    }

    fn run(&self, fields: &mut Fields, _: &str, remaining: Duration) {
        set(fields, header::DEADLINE, remaining.as_millis().to_string());
    }

    fn judge(&self, _: &str, status: u16, fields: &[(String, String)]) -> Judgement {
        if status == 503 && find(fields, header::OUTCOME) == Some("not-run") {
            Judgement::NotRun(Reason::Shed)
        } else {
            Judgement::Answer
        }
    }

    fn status(&self, _: Outcome, reason: Reason) -> u16 {
        reason.status()
    }

    fn answer(&self, fields: &mut Fields, ending: &Ending) {
        // An upstream does not speak for the proxy.
        fields.retain(|(name, _)| !name.eq_ignore_ascii_case(header::TICKET));
        set(fields, header::REQUEST_ID, ending.id.as_str());
        if ending.outcome == Outcome::NotRun {
            set(fields, header::NEXT, ending.next.as_str());
            let retry = ending.retry.unwrap_or(Duration::from_secs(1)).as_secs().max(1);
            set(fields, "retry-after", retry.to_string());
        }
        if ending.reason == Reason::Leaving {
            set(fields, "connection", "close");
        }
        set(fields, header::OUTCOME, ending.outcome.name());
        set(fields, header::REASON, ending.reason.name());
        if let Some(ticket) = ending.ticket {
            set(fields, header::TICKET, ticket.to_string());
        }
    }

    fn stops_when_closed(&self) -> bool {
        false
    }

    fn announcement(&self, path: &str, text: &[u8]) -> Result<Announcement, ConvertError> {
        if path == ANNOUNCEMENTS {
            configuration::announcement(text)
        } else {
            Err(ConvertError::invalid("path", path, ANNOUNCEMENTS))
        }
    }
}
