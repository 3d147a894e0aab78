//! Conversions of gossip messages.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use lavenderflow_core::catalog::{Document, DocumentKey};
use lavenderflow_core::freshness::Confirmation;
use lavenderflow_core::gate::ServiceOffer;
use lavenderflow_core::gossip::Exchange;
use lavenderflow_core::id::Revision;
use lavenderflow_core::roster::{Member, Suspicion};

use super::ConvertError;
use crate::wire;

impl From<&Exchange> for wire::Exchange {
    fn from(exchange: &Exchange) -> Self {
        let [member_summary, document_summary, doubt_summary] = exchange.summaries;
        Self {
            sender: exchange.sender,
            incarnation: exchange.incarnation,
            members: exchange.members.iter().map(Into::into).collect(),
            doubts: exchange.suspicions.iter().map(Into::into).collect(),
            documents: exchange.documents.iter().map(Into::into).collect(),
            member_digests: exchange.member_digests.clone(),
            document_digests: exchange.document_digests.clone(),
            announced: exchange.announced.iter().map(announcement).collect(),
            requested: exchange.requested.iter().map(ToString::to_string).collect(),
            confirmations: exchange.confirmations.iter().map(confirmation).collect(),
            member_summary,
            document_summary,
            doubt_summary,
        }
    }
}

impl TryFrom<wire::Exchange> for Exchange {
    type Error = ConvertError;

    fn try_from(exchange: wire::Exchange) -> Result<Self, Self::Error> {
        let members: Result<_, _> = exchange.members.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            sender: exchange.sender,
            incarnation: exchange.incarnation,
            members: members?,
            suspicions: exchange.doubts.into_iter().map(Into::into).collect(),
            documents: exchange.documents.into_iter().map(Into::into).collect(),
            member_digests: exchange.member_digests,
            document_digests: exchange.document_digests,
            announced: exchange.announced.into_iter().map(|a| (a.key.into(), a.revision)).collect(),
            requested: exchange.requested.into_iter().map(Into::into).collect(),
            confirmations: exchange
                .confirmations
                .into_iter()
                .map(|c| (c.source.into(), Duration::from_millis(c.age_ms)))
                .collect(),
            summaries: [exchange.member_summary, exchange.document_summary, exchange.doubt_summary],
        })
    }
}

fn confirmation((source, age): &Confirmation) -> wire::Confirmation {
    // Milliseconds of an age fit into 64 bits.
    wire::Confirmation { source: source.to_string(), age_ms: age.as_millis() as u64 }
}

fn announcement((key, revision): &(DocumentKey, Revision)) -> wire::Announcement {
    wire::Announcement { key: key.to_string(), revision: *revision }
}

impl From<&Member> for wire::Member {
    fn from(member: &Member) -> Self {
        let phase = if member.leaving { wire::Phase::Leaving } else { wire::Phase::Serving };
        Self {
            node: member.node,
            incarnation: member.incarnation,
            version: member.version,
            name: member.name.clone(),
            peer: member.peer_address.to_string(),
            callers: member.caller_address.to_string(),
            zone: member.zone.to_string(),
            phase: phase.into(),
            detached: member.detached,
            offers: member.offers.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::Member> for Member {
    type Error = ConvertError;

    fn try_from(member: wire::Member) -> Result<Self, Self::Error> {
        Ok(Self {
            node: member.node,
            incarnation: member.incarnation,
            version: member.version,
            detached: member.detached,
            leaving: member.phase() == wire::Phase::Leaving,
            peer_address: parse_address("peer", &member.peer)?,
            caller_address: parse_address("callers", &member.callers)?,
            name: member.name,
            zone: member.zone.into(),
            offers: member.offers.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<&ServiceOffer> for wire::Offer {
    fn from(offer: &ServiceOffer) -> Self {
        Self {
            service: offer.service.to_string(),
            slots: offer.slots,
            condition: wire::Condition::from(offer.condition).into(),
            evidence: offer.evidence,
        }
    }
}

impl From<wire::Offer> for ServiceOffer {
    fn from(offer: wire::Offer) -> Self {
        Self {
            slots: offer.slots,
            condition: offer.condition().into(),
            evidence: offer.evidence,
            service: offer.service.into(),
        }
    }
}

impl From<&Suspicion> for wire::Doubt {
    fn from(suspicion: &Suspicion) -> Self {
        Self {
            observer: suspicion.observer,
            subject: suspicion.subject,
            incarnation: suspicion.incarnation,
            version: suspicion.version,
            raised: suspicion.raised,
        }
    }
}

impl From<wire::Doubt> for Suspicion {
    fn from(suspicion: wire::Doubt) -> Self {
        Self {
            observer: suspicion.observer,
            subject: suspicion.subject,
            incarnation: suspicion.incarnation,
            version: suspicion.version,
            raised: suspicion.raised,
        }
    }
}

impl From<&Document> for wire::Document {
    fn from(document: &Document) -> Self {
        Self {
            key: document.key.to_string(),
            revision: document.revision,
            value: Bytes::copy_from_slice(&document.text),
        }
    }
}

impl From<wire::Document> for Document {
    fn from(document: wire::Document) -> Self {
        Self {
            key: document.key.into(),
            revision: document.revision,
            text: document.value.as_ref().into(),
        }
    }
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConvertError> {
    text.parse().map_err(|_| ConvertError::invalid(field, text, "an IP address and port"))
}
