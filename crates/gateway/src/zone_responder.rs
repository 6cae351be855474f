//! Answers DNS messages for the zone that lists the engines: queries, transfers, and updates signed with a
//! known key. Performs no I/O and reads no clock.

use std::collections::VecDeque;

use violetward_dns::message::{Entry, Message, Opcode, Question, Rcode};
use violetward_dns::record::{Type, IN};
use violetward_dns::tsig::{self, Key, Seconds};
use violetward_dns::zone::Zone;

use crate::membership::EngineRegistry;
use crate::terms::Names;

/// Maximum number of signatures remembered to recognize replays.
const MAX_REMEMBERED_SIGNATURES: usize = 10_000;
/// Time for which a signature is remembered: none is accepted for longer.
const SIGNATURE_LIFETIME_S: Seconds = 600;
/// Records per message of a zone transfer, so that each message stays within the size limit.
const TRANSFER_RECORDS_PER_MESSAGE: usize = 100;

/// The result of a message.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Messages to send back; none if the message is not a request.
    pub answers: Vec<Vec<u8>>,
    /// Whether the zone has changed, so that the core needs the new list.
    pub changed: bool,
    /// Text for the log.
    pub log_line: Option<String>,
}

/// Answers DNS messages for one zone.
#[derive(Debug, Default)]
pub struct ZoneResponder {
    keys: Vec<Key>,
    /// Times and signatures of recent updates.
    recent_signatures: VecDeque<(Seconds, Vec<u8>)>,
}

impl ZoneResponder {
    /// Accepts updates signed with one of these keys; without keys, no updates.
    pub fn new(keys: Vec<Key>) -> Self {
        ZoneResponder { keys, recent_signatures: VecDeque::new() }
    }

    /// Handles a message. `stream` tells whether it came over TCP, where transfers are answered.
    pub fn handle_message(
        &mut self,
        now: Seconds,
        bytes: &[u8],
        stream: bool,
        registry: &mut EngineRegistry,
        names: &Names,
    ) -> Outcome {
        let Ok(message) = Message::read(bytes) else {
            // A message without a complete header, or a response, gets no answer.
            let is_request = bytes.len() >= 12 && bytes[2] & 0x80 == 0;
            let mut answer = bytes.get(..12).unwrap_or_default().to_vec();
            if !is_request {
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
            // A datagram has no room for a transfer. Access is restricted by the listening address only.
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
                let log_line = Some(format!("an update is rejected: {why}"));
                return Outcome { answers: vec![message.answer(code).write()], changed: false, log_line };
            }
        };
        while self.recent_signatures.front().is_some_and(|(at, _)| at + SIGNATURE_LIFETIME_S < now)
            || self.recent_signatures.len() >= MAX_REMEMBERED_SIGNATURES
        {
            self.recent_signatures.pop_front();
        }
        let replayed = self.recent_signatures.iter().any(|(_, mac)| *mac == verified.mac);
        let unsigned = Message::read(&verified.message).ok();
        let result = match unsigned {
            // A replayed update is not applied again, because it could undo the updates in between.
            Some(_) if replayed => Err(Rcode::REFUSED),
            Some(update) => registry.apply_update(&update, names),
            None => Err(Rcode::FORMERR),
        };
        self.recent_signatures.push_back((now, verified.mac.clone()));
        let (code, log_line) = match &result {
            Ok(changes) => (
                Rcode::NOERROR,
                format!("an update by {} has been applied {}", verified.key, changes.join("; ")),
            ),
            Err(code) if replayed => (*code, "a replayed update is not applied again".to_owned()),
            Err(code) => (*code, format!("an update by {} is refused with code {}", verified.key, code.0)),
        };
        let mut answer = message.answer(code);
        answer.questions = message.questions.clone();
        let key = self.keys.iter().find(|k| k.name == verified.key);
        let answer = answer.write();
        let answer = key.map_or(answer.clone(), |key| tsig::sign(&answer, key, now, Some(&verified.mac)).0);
        Outcome { answers: vec![answer], changed: result.is_ok(), log_line: Some(log_line) }
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
        // A name without records exists if there are names below it (RFC 8020).
        answer.rcode = if zone.exists(&question.name) { Rcode::NOERROR } else { Rcode::NXDOMAIN };
        let soa = zone.records().next().filter(|r| r.data.kind() == Type::SOA);
        answer.authorities.extend(soa.map(Entry::from));
    }
    answer
}

/// The whole zone in messages of limited size. The SOA record is sent first and last (RFC 5936, section 2.2).
fn transfer(message: &Message, zone: &Zone) -> Vec<Vec<u8>> {
    let mut records: Vec<Entry> = zone.records().map(Entry::from).collect();
    records.extend(records.first().cloned());
    let messages = records.chunks(TRANSFER_RECORDS_PER_MESSAGE).map(|chunk| {
        let mut answer = message.answer(Rcode::NOERROR);
        answer.answers = chunk.to_vec();
        answer.write()
    });
    messages.collect()
}
