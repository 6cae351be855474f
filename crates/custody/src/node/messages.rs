//! Decoding of messages from other gateways, and their dispatch.

use super::{Effect, TakeoverNode};
use crate::voter::LeaseAnswer;
use crate::wire::{unsupported_format_reply, DecodeError, Message, Participant, ProcessTerm};
use crate::{Incarnation, Micros};

impl TakeoverNode {
    /// Handles a datagram, or records from a stream, of a gateway whose name the transport has authenticated.
    pub fn handle_message(&mut self, now: Micros, from: &str, bytes: &[u8]) {
        let (process, message) = match Message::decode(bytes) {
            Ok(decoded) => decoded,
            Err(error) => return self.handle_undecodable(now, from, error),
        };
        let incarnation = Incarnation { name: from.to_owned(), number: process.incarnation_number };
        self.detect_standstill(now);
        if !self.learn_term(&incarnation, process.term) {
            return;
        }
        let sender = Participant { incarnation, term: process.term };
        if let Some(peer) = self.peers.get_mut(&sender) {
            peer.last_heard = now;
        }
        self.handle_decoded(now, sender, message);
        self.advance(now);
    }

    fn handle_undecodable(&mut self, now: Micros, from: &str, error: DecodeError) {
        match error {
            DecodeError::Malformed => {}
            DecodeError::UnknownFormat(format) => {
                self.log(format!(
                    "{from} sent a message of format {format}, which this version does not support"
                ));
                self.effects.push_back(Effect::SendDatagram(from.to_owned(), unsupported_format_reply()));
            }
            DecodeError::PeerFormat(format) => {
                self.log(format!(
                    "{from} supports only message format {format} and is not used as a replica"
                ));
                self.exclude_incompatible_gateway(now, from);
            }
        }
    }

    fn handle_decoded(&mut self, now: Micros, sender: Participant, message: Message) {
        let from = sender.incarnation.name.clone();
        match message {
            Message::LeaseRequest(requested_at) => self.answer_lease_request(now, &sender, requested_at),
            Message::LeaseGrant(requested_at) => {
                if self.is_voter(&from) && requested_at <= now {
                    self.handle_lease_answer(now, &from, requested_at, &LeaseAnswer::Granted);
                }
            }
            Message::Fenced(through) => {
                if self.is_voter(&from) {
                    self.handle_lease_answer(now, &from, 0, &LeaseAnswer::Fenced(through));
                }
            }
            Message::LeaseHeld => self.record_heard(now, &sender, true),
            Message::TermAnnouncement => {}
            Message::TermQuery => self.send_message(&from, &Message::TermAnnouncement),
            Message::MarksQuery(asked_at) => self.answer_marks_query(now, &from, asked_at),
            Message::StoredMarks { asked_at, marks } => {
                self.learn_stored_marks(now, &from, asked_at, &marks);
            }
            Message::FenceRequest(participants) => {
                self.handle_fence_request(now, &from, participants);
            }
            Message::FenceMarks(marks) => self.handle_fence_marks(now, &from, marks),
            Message::Batch { to, number, records, ended } => {
                if self.is_local(to) {
                    self.handle_batch(now, sender, number, records, ended);
                } else {
                    self.send_message(&from, &Message::TermAnnouncement);
                }
            }
            Message::Acknowledgement { to, number, rejected } => {
                if self.is_local(to) {
                    self.handle_acknowledgement(now, &sender, number, &rejected);
                }
            }
        }
    }

    fn is_local(&self, process: ProcessTerm) -> bool {
        process == self.local.process_term()
    }

    /// Votes on a lease request as a voter.
    pub(super) fn vote_on_lease(&mut self, now: Micros, participant: &Participant) -> LeaseAnswer {
        let voter = self.voter.as_mut();
        let answer = voter.map_or(LeaseAnswer::NoAnswer, |voter| voter.request_lease(now, participant));
        self.begin_storing_marks();
        answer
    }

    fn answer_lease_request(&mut self, now: Micros, sender: &Participant, requested_at: Micros) {
        let to = &sender.incarnation.name;
        self.record_heard(now, sender, false);
        match self.vote_on_lease(now, sender) {
            LeaseAnswer::Granted => self.send_message(to, &Message::LeaseGrant(requested_at)),
            LeaseAnswer::Fenced(through) => self.send_message(to, &Message::Fenced(through)),
            LeaseAnswer::NoAnswer => {}
        }
    }
}
