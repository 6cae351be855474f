//! Messages that come from other gateways.

use super::{Custodian, Effect};
use crate::tenure::Answer;
use crate::wire::{self, Actor, Said, Unread};
use crate::{Life, Micros};

impl Custodian {
    /// A datagram or a sending, from a gateway that has proved its name.
    pub fn heard(&mut self, now: Micros, from: &str, bytes: &[u8]) {
        let (life, term, said) = match Said::read(bytes) {
            Ok(read) => read,
            Err(Unread::Bad) => return,
            Err(Unread::Format(n)) => {
                self.effects
                    .push_back(Effect::Log(format!("{from} speaks format {n}, which is not known here")));
                return self.effects.push_back(Effect::Say(from.to_owned(), wire::other_format()));
            }
            Err(Unread::Reads(format)) => {
                self.effects.push_back(Effect::Log(format!("{from} reads format {format}: no guardian")));
                return self.no_guardian(now, from);
            }
        };
        let life = Life { name: from.to_owned(), life };
        if !self.learn(&life, term) {
            return;
        }
        let sender = Actor { life, term };
        if let Some(peer) = self.peers.get_mut(&sender) {
            peer.heard = now;
        }
        match said {
            Said::Ask(asked) => {
                let answer = self.voter.as_mut().map_or(Answer::Nothing, |v| v.asked(now, &sender));
                self.keep();
                match answer {
                    Answer::Granted => self.say(from, &Said::Grant(asked)),
                    Answer::Ended(through) => self.say(from, &Said::Ended(through)),
                    Answer::Nothing => {}
                }
            }
            Said::Grant(asked) if self.terms.voters.iter().any(|v| v == from) && asked <= now => {
                self.answered(now, from, asked, &Answer::Granted);
            }
            Said::Ended(through) if self.terms.voters.iter().any(|v| v == from) => {
                self.answered(now, from, 0, &Answer::Ended(through));
            }
            Said::Grant(_) | Said::Ended(_) | Said::Me => {}
            Said::Which => self.say(from, &Said::Me),
            Said::Tell(asked) => self.tell_marks(now, from, asked),
            Said::Known { asked, kept } => self.marks_known(now, from, asked, &kept),
            Said::End(who) => self.end_asked(now, from, who),
            Said::Marked(marks) => self.marked(now, from, marks),
            Said::Batch { to, .. } if to != (self.me.life.life, self.me.term) => self.say(from, &Said::Me),
            Said::Batch { number, records, ends, .. } => self.batch(now, sender, number, records, ends),
            Said::Ack { to, number, not } => {
                if to == (self.me.life.life, self.me.term) {
                    self.acked(now, &sender, number, &not);
                }
            }
        }
        self.run(now);
    }
}
