//! Routes draws and grants between the borrower, the lender and the root of a node and other nodes.

use super::borrower::BorrowerStep;
use super::fallback::FallbackLimits;
use super::lender::{LenderStep, Source};
use super::message::{Draw, DrawRole, Grant};
use super::root::TAKEOVER_DELAY;
use super::{AllowanceAction, Allowances, Origin, SentDraw};
use crate::prelude::*;

impl Allowances {
    pub(super) fn update_placement(&mut self, has_changed: bool, now: Instant) -> bool {
        if has_changed {
            self.lenders_changed_at = now;
        }
        if self.update_share(now) || has_changed {
            self.update_roots(now);
        }
        has_changed
    }

    /// Lowers the share at once, or raises it after a delay; returns whether it has changed.
    pub(super) fn update_share(&mut self, now: Instant) -> bool {
        let share = if self.is_isolated { 0.0 } else { self.placement.share() };
        if share <= self.share {
            self.raised_at = now + TAKEOVER_DELAY;
        }
        let has_changed = share < self.share || (share > self.share && now >= self.raised_at);
        if has_changed {
            self.share = share;
        }
        has_changed
    }

    pub(super) fn update_roots(&mut self, now: Instant) {
        for (organisation, allowance) in &self.allowances {
            let first = self.placement.roots(organisation).first().copied();
            let (root, former) = self.roots.entry(organisation.clone()).or_default();
            if *root != first {
                *former = root.take();
                *root = first;
            }
            let allowance = (first == Some(self.own)).then_some((*allowance, self.share));
            self.root.update(organisation, allowance, self.lenders_changed_at, now);
        }
    }

    pub(super) fn receive(&mut self, source: Source, draw: Draw, now: Instant) {
        if draw.role == DrawRole::Lender {
            let organisation = draw.organisation.clone();
            let step = self.lender.draw(source, draw, now);
            self.follow_lender(&organisation, step, now);
            return;
        }
        if self.update_share(now) {
            self.update_roots(now);
        }
        if let Some(grant) = self.root.grant(&draw, now).filter(|_| self.share > 0.0) {
            self.counts.lent += u64::from(grant.tokens);
            self.answer(source, grant, now);
            return;
        }
        // A node that has just become the root relays to the former one.
        let (root, former) = self.roots.get(&draw.organisation).copied().unwrap_or_default();
        let next = root.filter(|node| *node != self.own).or(former);
        let next = next.filter(|node| {
            *node != self.own && self.placement.is_reachable(*node) && !self.is_silent(*node, now)
        });
        match next.filter(|_| draw.role == DrawRole::Root) {
            Some(node) => {
                let origin = Origin::Relay(source, draw.serial);
                let Draw { organisation, wanted, ahead, .. } = draw;
                let wanted = (wanted, ahead);
                self.send(node, origin, DrawRole::FinalRoot, &organisation, wanted, now);
            }
            None => self.answer(source, Grant { serial: draw.serial, ..Grant::unavailable() }, now),
        }
    }

    pub(super) fn answer(&mut self, source: Source, grant: Grant, now: Instant) {
        match source {
            Source::Peer(reply) => self.actions.push(AllowanceAction::Reply(reply, grant)),
            Source::Own => self.settle(grant, now),
        }
    }

    /// Passes a grant on to the part of this node that drew it.
    pub(super) fn settle(&mut self, grant: Grant, now: Instant) {
        let Some(sent) = self.sent.swap_remove(&grant.serial) else { return };
        let SentDraw { origin, organisation, sent_at, is_void, .. } = sent;
        if grant.unavailable || is_void {
            return self.fail(origin, &organisation, true, now);
        }
        let deadline = sent_at + grant.life;
        match origin {
            Origin::Borrower => {
                let step = self.borrower.granted(&organisation, grant, deadline, now);
                self.follow_borrower(&organisation, step, now);
            }
            Origin::Lender { .. } => {
                let step = self.lender.granted(&organisation, grant, deadline, now);
                self.follow_lender(&organisation, step, now);
            }
            Origin::Relay(source, serial) => {
                let life = deadline.saturating_duration_since(now);
                self.answer(source, Grant { serial, life, ..grant }, now);
            }
        }
    }

    pub(super) fn fail(
        &mut self,
        origin: Origin,
        organisation: &OrganisationName,
        has_responded: bool,
        now: Instant,
    ) {
        match origin {
            Origin::Borrower => {
                let limits = self.fallback_limits(organisation, 1);
                let step = self.borrower.failed(organisation, has_responded, limits, now);
                self.counts.fallbacks += u64::from(step.wanted.is_none());
                self.follow_borrower(organisation, step, now);
            }
            Origin::Lender { wanted, .. } => {
                let nodes = self.placement.zone_size();
                let limits = self.fallback_limits(organisation, nodes);
                // The others of the zone have another lender if this one is cut off alone.
                let step = match limits.filter(|_| !self.is_isolated) {
                    Some(limits) => {
                        self.counts.fallbacks += 1;
                        self.lender.grant_fallback(organisation, limits, wanted.0, now)
                    }
                    None => self.lender.granted(organisation, Grant::unavailable(), now, now),
                };
                self.follow_lender(organisation, step, now);
            }
            Origin::Relay(source, serial) => {
                self.answer(source, Grant { serial, ..Grant::unavailable() }, now);
            }
        }
    }

    fn fallback_limits(
        &self,
        organisation: &OrganisationName,
        nodes: usize,
    ) -> Option<FallbackLimits> {
        let allowance = self.allowances.get(organisation)?;
        Some(FallbackLimits::new(*allowance, nodes, self.placement.size()))
    }

    pub(super) fn follow_borrower(
        &mut self,
        organisation: &OrganisationName,
        step: BorrowerStep,
        now: Instant,
    ) {
        let decisions = step.decisions.into_iter();
        self.actions.extend(decisions.map(|(r, d)| AllowanceAction::Decide(r, d)));
        let Some(wanted) = step.wanted else { return };
        let lenders = self.placement.lenders(organisation);
        match lenders.into_iter().find(|node| !self.is_silent(*node, now)) {
            Some(node) => {
                self.send(node, Origin::Borrower, DrawRole::Lender, organisation, (wanted, 0), now);
            }
            None => self.fail(Origin::Borrower, organisation, true, now),
        }
    }

    pub(super) fn follow_lender(
        &mut self,
        organisation: &OrganisationName,
        step: LenderStep,
        now: Instant,
    ) {
        if let Some(wanted) = step.wanted {
            self.draw_from_root(organisation, wanted, 0, now);
        }
        for (source, grant) in step.grants {
            self.answer(source, grant, now);
        }
    }

    /// Draws from the root, or from another node that passes the draw on if it can reach the root.
    pub(super) fn draw_from_root(
        &mut self,
        organisation: &OrganisationName,
        wanted: (u32, u32),
        tried: u32,
        now: Instant,
    ) {
        let roots = self.placement.roots(organisation);
        let mut candidates = roots.into_iter().enumerate();
        let usable = candidates.find(|(index, node)| {
            !self.is_silent(*node, now) && (*index == 0 || *node != self.own)
        });
        let origin = Origin::Lender { tried, wanted };
        match usable {
            Some((_, node)) => self.send(node, origin, DrawRole::Root, organisation, wanted, now),
            None => self.fail(origin, organisation, true, now),
        }
    }

    pub(super) fn send(
        &mut self,
        node: NodeId,
        origin: Origin,
        role: DrawRole,
        organisation: &OrganisationName,
        (wanted, ahead): (u32, u32),
        now: Instant,
    ) {
        let (serial, organisation) = (self.next_serial, organisation.clone());
        self.next_serial += 1;
        let draw = Draw { serial, organisation: organisation.clone(), wanted, ahead, role };
        let sent = SentDraw { origin, organisation, node, sent_at: now, is_void: false };
        self.sent.insert(serial, sent);
        if node == self.own {
            self.receive(Source::Own, draw, now);
        } else {
            self.counts.draws += 1;
            self.actions.push(AllowanceAction::Send(node, draw));
        }
    }

    pub(super) fn is_silent(&self, node: NodeId, now: Instant) -> bool {
        self.silent.get(&node).is_some_and(|end| now < *end)
    }
}
