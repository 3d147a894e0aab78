//! The fleet actor's part of the node status.

use lavenderflow_core::catalog::Rejection;
use stakker::{Actor, CX, call};
use tokio::sync::oneshot;

use super::FleetActor;
use crate::actor::gate::GateActor;
use crate::prelude::*;
use crate::status::{MemberStatus, RejectedStatus, Status};

impl FleetActor {
    /// Creates a status with the members and the configuration, and passes it on to the entry.
    pub fn status(
        &mut self,
        _: CX![],
        state: &'static str,
        gate: Actor<GateActor>,
        reply: oneshot::Sender<Status>,
    ) {
        let mut revisions: IndexMap<String, Revision> = self
            .catalog
            .documents()
            .iter()
            .map(|(key, document)| (key.to_string(), document.revision))
            .collect();
        revisions.sort_keys();
        let rejected = self.catalog.rejected().into_iter();
        let rejected = rejected.map(|Rejection { key, revision, fault }| RejectedStatus {
            key,
            revision,
            fault,
        });
        let status = Status {
            node: self.roster.local().name.clone(),
            zone: self.roster.local().zone.to_string(),
            state: state.to_owned(),
            members: self.members(),
            revisions,
            rejected: rejected.collect(),
            ..Status::default()
        };
        let entry = &self.entry;
        call!([entry], status(status, gate, reply));
    }

    fn members(&self) -> Vec<MemberStatus> {
        let members = self.roster.members().iter().map(|(node, member)| {
            let state = match (self.roster.is_expelled(*node), member.leaving) {
                (true, _) => "expelled",
                (false, true) => "leaving",
                (false, false) => "alive",
            };
            MemberStatus {
                id: format!("{node:x}"),
                name: member.name.clone(),
                zone: member.zone.to_string(),
                callers: member.caller_address.to_string(),
                state: state.to_owned(),
            }
        });
        let mut members: Vec<MemberStatus> = members.collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }
}
