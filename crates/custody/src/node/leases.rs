//! This gateway's lease: requests to the voters, checks before actions, and the change to the next term once
//! this one is fenced.

use std::collections::BTreeSet;

use super::tombstones::Tombstone;
use super::{Effect, InjectedFault, TakeoverNode, RETURN_WINDOW};
use crate::lease::Lease;
use crate::voter::{LeaseAnswer, MAX_TERM_WITHOUT_LEASE};
use crate::wire::Message;
use crate::{Micros, StatementKey};

/// Requests per lease duration while the lease allows actions.
const RENEWALS_PER_LEASE: u64 = 3;
/// Requests per lease duration while it does not.
const REQUESTS_PER_LEASE: u64 = 8;
/// A process that has not run for this part of a lease has stood still; it requests its lease more often.
const STANDSTILLS_PER_LEASE: u64 = 2;

impl TakeoverNode {
    /// Whether this gateway may start attempts and report endings: its lease stays valid for at least
    /// [`Settings::action_margin`]. The caller checks this immediately before the action.
    ///
    /// [`Settings::action_margin`]: super::Settings::action_margin
    pub fn may_act(&self, now: Micros) -> bool {
        let valid = now + self.settings.action_margin < self.lease.expires_at;
        valid || self.fault == InjectedFault::ActsWithoutLease
    }

    /// Begins the next term if this one is fenced or has held no lease for [`MAX_TERM_WITHOUT_LEASE`].
    pub(super) fn check_lease(&mut self, now: Micros) {
        let is_valid = now < self.lease.expires_at;
        if is_valid {
            self.lease.last_valid_at = now;
        }
        let is_abandoned = now > self.lease.last_valid_at + MAX_TERM_WITHOUT_LEASE;
        if !is_valid && (self.term_fenced || is_abandoned) && !self.handed_over {
            self.begin_next_term(now);
        }
    }

    pub(super) fn renew_lease(&mut self, now: Micros) {
        if self.renew_at > now || self.handed_over {
            return;
        }
        let requests = if self.may_act(now) { RENEWALS_PER_LEASE } else { REQUESTS_PER_LEASE };
        self.renew_at = now + self.settings.lease / requests;
        self.request_lease(now);
    }

    /// Updates whether the lease allows actions; if it does again, queues the statements that waited for it.
    pub(super) fn update_lease_held(&mut self, now: Micros) {
        let may_act = self.may_act(now);
        if may_act && !self.lease_held {
            self.to_review.extend(self.awaiting_replicas.iter().cloned());
        }
        self.lease_held = may_act;
    }

    /// Lets the contact with the voters begin anew if this process has stood still since it last ran.
    pub(super) fn detect_standstill(&mut self, now: Micros) {
        if now > self.latest_time + self.settings.lease / STANDSTILLS_PER_LEASE {
            self.lease.restart_contact(now);
        }
    }

    fn request_lease(&mut self, now: Micros) {
        let is_held = now < self.lease.expires_at;
        for voter in self.settings.voters.clone() {
            if voter == self.local.incarnation.name {
                let local = self.local.clone();
                self.record_heard(now, &local, is_held);
                let answer = self.vote_on_lease(now, &local);
                self.handle_lease_answer(now, &voter, now, &answer);
            } else {
                self.send_message(&voter, &Message::LeaseRequest(now));
                if is_held {
                    self.send_message(&voter, &Message::LeaseHeld);
                }
            }
        }
    }

    pub(super) fn handle_lease_answer(
        &mut self,
        now: Micros,
        voter: &str,
        requested_at: Micros,
        answer: &LeaseAnswer,
    ) {
        match answer {
            LeaseAnswer::Granted => {
                let from_receipt = self.fault == InjectedFault::LeaseFromReceipt;
                let counted_from = if from_receipt { now } else { requested_at };
                self.lease.add_grant(now, voter, counted_from, self.lease_times.holder_span());
            }
            LeaseAnswer::Fenced(through) if *through >= self.local.term => self.term_fenced = true,
            LeaseAnswer::Fenced(_) | LeaseAnswer::NoAnswer => {}
        }
    }

    /// Ends this term and begins the next one. Other gateways may own the statements of this term by now;
    /// those that no other gateway is known to have are returned, the others are dropped.
    fn begin_next_term(&mut self, now: Micros) {
        let others: BTreeSet<String> = self
            .statements_by_participant
            .keys()
            .map(|participant| participant.incarnation.name.clone())
            .collect();
        let keys: Vec<StatementKey> = self.statements.keys().cloned().collect();
        self.local.term += 1;
        self.declined.clear();
        self.peers.clear();
        self.awaiting_replicas.clear();
        keys.into_iter().for_each(|key| self.drop_statement_of_previous_term(now, key));
        self.term_fenced = false;
        self.lease = Lease::new(now, self.quorum());
        self.renew_at = now;
        others.iter().for_each(|name| self.send_message(name, &Message::TermAnnouncement));
        let term = self.local.term;
        self.log(format!("term {} is over; term {term} begins with no owned statements", term - 1));
    }

    fn drop_statement_of_previous_term(&mut self, now: Micros, key: StatementKey) {
        let Some(statement) = self.statements.get(&key) else { return };
        let owned = statement.ownership().filter(|ownership| ownership.pending_takeover.is_none());
        let has_no_known_replica = owned
            .is_some_and(|ownership| ownership.progress.iter().all(|progress| progress.acked_version == 0));
        if owned.is_some_and(|ownership| !ownership.resigning) {
            self.effects.push_back(Effect::Relinquished(key.clone()));
        }
        if has_no_known_replica && now < self.lease.last_valid_at + RETURN_WINDOW {
            return self.return_statement(now, &key);
        }
        let replicas = statement.successor_incarnations();
        self.remove_statement(&key);
        let in_term = self.local.term - 1;
        self.add_tombstone(key, Tombstone::Moved { in_term, replicas });
    }

    /// Completes the hand-over once no statement is owned: ends the term, so that the gateways that use this
    /// one as a replica learn of it.
    pub(super) fn complete_hand_over(&mut self, now: Micros) {
        self.handed_over = true;
        self.begin_next_term(now);
    }
}
