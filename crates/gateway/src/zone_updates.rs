//! The zone that lists the engines, served and changed by DNS messages: queries, transfers, and updates signed with a known key. Free
//! of I/O and clock.

use std::collections::VecDeque;

use violetward_dns::message::{Entry, Message, Opcode, Question, Rcode};
use violetward_dns::record::{Type, IN};
use violetward_dns::tsig::{self, Key, Seconds};
use violetward_dns::zone::Zone;

use crate::membership::EngineRegistry;
use crate::terms::Names;

/// Signatures that are remembered against replays, for as long as one could be believed.
const REMEMBERED: usize = 10_000;
const BELIEVED_FOR: Seconds = 600;

/// What a message leads to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Messages to be sent back; none to what is no question at all.
    pub answers: Vec<Vec<u8>>,
    /// The zone has changed: the list is to be told to the core.
    pub changed: bool,
    /// For the log.
    pub log_line: Option<String>,
}

/// Answers for one zone.
#[derive(Debug, Default)]
pub struct ZoneUpdates {
    keys: Vec<Key>,
    seen: VecDeque<(Seconds, Vec<u8>)>,
}

impl ZoneUpdates {
    /// Believes updates signed with one of these keys; without any, none.
    pub fn new(keys: Vec<Key>) -> Self {
        ZoneUpdates { keys, seen: VecDeque::new() }
    }

    /// Takes a message. `stream` says that it came over TCP, where transfers are answered.
    pub fn handle_message(
        &mut self,
        now: Seconds,
        bytes: &[u8],
        stream: bool,
        registry: &mut EngineRegistry,
        names: &Names,
    ) -> Outcome {
        let Ok(message) = Message::read(bytes) else {
            // Not even a header to answer to, or an answer to nobody.
            let question = bytes.len() >= 12 && bytes[2] & 0x80 == 0;
            let mut answer = bytes.get(..12).unwrap_or_default().to_vec();
            if !question {
                return Outcome::default();
            }
            (answer[2], answer[3]) = (bytes[2] & 0x78 | 0x80, Rcode::FORMERR.0);
            answer[4..12].fill(0);
            return Outcome { answers: vec![answer], ..Outcome::default() };
        };
        if message.response {
            return Outcome::default();
        }
        match message.opcode {
            Opcode::QUERY => {
                Outcome { answers: self.query(&message, stream, registry), ..Outcome::default() }
            }
            Opcode::UPDATE => self.update(now, bytes, &message, registry, names),
            _ => Outcome { answers: vec![message.answer(Rcode::NOTIMP).write()], ..Outcome::default() },
        }
    }

    fn query(&self, message: &Message, stream: bool, registry: &EngineRegistry) -> Vec<Vec<u8>> {
        let refused = |code: Rcode| vec![message.answer(code).write()];
        let (Some(zone), [question]) = (registry.zone(), message.questions.as_slice()) else {
            return refused(Rcode::REFUSED);
        };
        if !question.name.is_within(zone.origin()) || question.class != IN {
            return refused(Rcode::REFUSED);
        }
        if question.kind == Type::AXFR {
            // A datagram has no room for it; who may ask is restricted by the listening address alone.
            return if stream { transfer(message, zone) } else { refused(Rcode::REFUSED) };
        }
        vec![lookup(message, question, zone).write()]
    }

    fn update(
        &mut self,
        now: Seconds,
        bytes: &[u8],
        message: &Message,
        registry: &mut EngineRegistry,
        names: &Names,
    ) -> Outcome {
        let verified = match tsig::verify(bytes, &self.keys, now, None) {
            Ok(verified) => verified,
            Err(why) => {
                let code = if why == tsig::TsigError::Unsigned { Rcode::REFUSED } else { Rcode::NOTAUTH };
                let said = Some(format!("an update is not believed: {why}"));
                return Outcome {
                    answers: vec![message.answer(code).write()],
                    changed: false,
                    log_line: said,
                };
            }
        };
        while self.seen.front().is_some_and(|(at, _)| at + BELIEVED_FOR < now)
            || self.seen.len() >= REMEMBERED
        {
            self.seen.pop_front();
        }
        let replayed = self.seen.iter().any(|(_, mac)| *mac == verified.mac);
        let unsigned = Message::read(&verified.message).ok();
        let result = match unsigned {
            // What was done once is not done again: what came in between would be undone.
            Some(_) if replayed => Err(Rcode::REFUSED),
            Some(update) => registry.apply_update(&update, names),
            None => Err(Rcode::FORMERR),
        };
        self.seen.push_back((now, verified.mac.clone()));
        let (code, said) = match &result {
            Ok(told) => {
                (Rcode::NOERROR, format!("an update by {} is done {}", verified.key, told.join("; ")))
            }
            Err(code) if replayed => (*code, "an update that has come before is not done again".to_owned()),
            Err(code) => (*code, format!("an update by {} is refused with code {}", verified.key, code.0)),
        };
        let mut answer = message.answer(code);
        answer.questions = message.questions.clone();
        let key = self.keys.iter().find(|k| k.name == verified.key);
        let answer = answer.write();
        let answer = key.map_or(answer.clone(), |key| tsig::sign(&answer, key, now, Some(&verified.mac)).0);
        Outcome { answers: vec![answer], changed: result.is_ok(), log_line: Some(said) }
    }
}

fn lookup(message: &Message, question: &Question, zone: &Zone) -> Message {
    let mut answer = message.answer(Rcode::NOERROR);
    let wanted = |kind: Type| question.kind == Type::ANY || question.kind == kind || kind == Type::CNAME;
    for (kind, set) in zone.of(&question.name).filter(|(kind, _)| wanted(*kind)) {
        answer.answers.extend(set.data.iter().map(|data| Entry {
            name: question.name.clone(),
            kind,
            class: IN,
            ttl: set.ttl,
            data: Some(data.clone()),
        }));
    }
    if answer.answers.is_empty() {
        // A name that only leads to others exists too (RFC 8020).
        answer.rcode = if zone.exists(&question.name) { Rcode::NOERROR } else { Rcode::NXDOMAIN };
        let soa = zone.records().next().filter(|r| r.data.kind() == Type::SOA);
        answer.authorities.extend(soa.map(Entry::from));
    }
    answer
}

/// The whole zone, its start at both ends (RFC 5936, section 2.2), in messages of a bounded size.
fn transfer(message: &Message, zone: &Zone) -> Vec<Vec<u8>> {
    let mut records: Vec<Entry> = zone.records().map(Entry::from).collect();
    records.extend(records.first().cloned());
    let whole = records.chunks(100).map(|some| {
        let mut answer = message.answer(Rcode::NOERROR);
        answer.answers = some.to_vec();
        answer.write()
    });
    whole.collect()
}
