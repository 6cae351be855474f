//! Messages that come from other gateways.

use super::{Effect, TakeoverNode};
use crate::tenure::LeaseAnswer;
use crate::wire::{self, DecodeError, Message, Participant};
use crate::{Incarnation, Micros};

impl TakeoverNode {
    /// A datagram or a sending, from a gateway that has proved its name.
    pub fn handle_message(&mut self, now: Micros, from: &str, bytes: &[u8]) {
        let (life, term, said) = match Message::read(bytes) {
            Ok(read) => read,
            Err(DecodeError::Malformed) => return,
            Err(DecodeError::UnknownFormat(n)) => {
                self.effects
                    .push_back(Effect::Log(format!("{from} speaks format {n}, which is not known here")));
                return self.effects.push_back(Effect::SendDatagram(from.to_owned(), wire::other_format()));
            }
            Err(DecodeError::PeerFormat(format)) => {
                self.effects.push_back(Effect::Log(format!("{from} reads format {format}: no guardian")));
                return self.exclude_incompatible_gateway(now, from);
            }
        };
        let life = Incarnation { name: from.to_owned(), life };
        if !self.learn_term(&life, term) {
            return;
        }
        let sender = Participant { life, term };
        if let Some(peer) = self.peers.get_mut(&sender) {
            peer.heard = now;
        }
        match said {
            Message::LeaseRequest(asked) => {
                let answer = self.voter.as_mut().map_or(LeaseAnswer::Silence, |v| v.asked(now, &sender));
                self.store_marks();
                match answer {
                    LeaseAnswer::Granted => self.send_message(from, &Message::LeaseGrant(asked)),
                    LeaseAnswer::Fenced(through) => self.send_message(from, &Message::Fenced(through)),
                    LeaseAnswer::Silence => {}
                }
            }
            Message::LeaseGrant(asked) if self.settings.voters.iter().any(|v| v == from) && asked <= now => {
                self.handle_lease_answer(now, from, asked, &LeaseAnswer::Granted);
            }
            Message::Fenced(through) if self.settings.voters.iter().any(|v| v == from) => {
                self.handle_lease_answer(now, from, 0, &LeaseAnswer::Fenced(through));
            }
            Message::LeaseGrant(_) | Message::Fenced(_) | Message::TermAnnouncement => {}
            Message::TermQuery => self.send_message(from, &Message::TermAnnouncement),
            Message::MarksQuery(asked) => self.answer_marks_query(now, from, asked),
            Message::StoredMarks { asked, kept } => self.learn_stored_marks(now, from, asked, &kept),
            Message::FenceRequest(who) => self.handle_fence_request(now, from, who),
            Message::FenceMarks(marks) => self.handle_fence_marks(now, from, marks),
            Message::Batch { to, .. } if to != (self.local.life.life, self.local.term) => {
                self.send_message(from, &Message::TermAnnouncement)
            }
            Message::Batch { number, records, ends, .. } => {
                self.handle_batch(now, sender, number, records, ends)
            }
            Message::Acknowledgement { to, number, not } => {
                if to == (self.local.life.life, self.local.term) {
                    self.handle_acknowledgement(now, &sender, number, &not);
                }
            }
        }
        self.advance(now);
    }
}
