//! How long records and ended statements are remembered.

use std::collections::BTreeSet;

use super::entry::{Entry, Past};
use super::{Custodian, LINGER, MS, PEERS};
use crate::wire::{Actor, Said};
use crate::{Life, Micros, StatementKey};

/// One in a chain that has said nothing for so long is asked which term it is in.
const SILENT: Micros = 5_000 * MS;
/// Statements that have ended, or went elsewhere, that are remembered.
const PAST: usize = 16_384;
/// A process that is not listed and of which nothing is held leaves after so long, and with it the number of its last sending.
const FORGOTTEN: Micros = 600_000 * MS;

impl Custodian {
    pub(super) fn forget(&mut self, key: &StatementKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        for link in &entry.links {
            self.unref(key, &link.actor);
        }
        self.ready.remove(&(entry.deadline, key.clone()));
        self.expiry.remove(&(entry.deadline.saturating_add(LINGER), key.clone()));
        // Few are given back; the time at which one leaves is none that follows from it.
        if entry.held().is_some() && entry.links[entry.at].actor != self.me {
            self.expiry.retain(|(_, k)| k != key);
        }
        self.forwards.remove(key);
        self.waiting.remove(key);
        self.looks.remove(key);
        if entry.held().is_none() {
            self.kept = (self.kept.0 - 1, self.kept.1.saturating_sub(entry.octets()));
        }
        Some(entry)
    }

    pub(super) fn remember(&mut self, key: StatementKey, past: Past) {
        if self.past.insert(key.clone(), past).is_none() {
            self.past_order.push_back((key, self.now));
        }
        while self.past_order.len() > PAST {
            if let Some((old, at)) = self.past_order.pop_front() {
                self.past.remove(&old);
                self.forgot = at + 1;
            }
        }
    }

    pub(super) fn unref(&mut self, key: &StatementKey, actor: &Actor) {
        if let Some(keys) = self.refs.get_mut(actor) {
            keys.remove(key);
            if keys.is_empty() {
                self.refs.remove(actor);
            }
        }
    }

    /// One in the chain never acts for this statement.
    pub(super) fn gone(&mut self, key: &StatementKey, actor: &Actor) {
        if let Some(link) =
            self.entries.get_mut(key).and_then(|e| e.links.iter_mut().find(|l| l.actor == *actor))
        {
            link.gone = true;
        }
        self.unref(key, actor);
    }

    pub(super) fn swept(&mut self, now: Micros) {
        while let Some((at, key)) = self.expiry.first().cloned().filter(|e| e.0 <= now) {
            self.expiry.remove(&(at, key.clone()));
            self.forget(&key);
        }
        self.declined.retain(|_, until| now < *until);
        self.wanted.retain(|_, until| now < *until);
        // One may have become a guardian again that membership has said nothing new of: it tells its next term.
        let lacking = self.entries.iter().filter(|(_, e)| self.lacks(now, e)).map(|(k, _)| k.clone());
        let lacking: Vec<StatementKey> = lacking.collect();
        self.looks.extend(lacking);
        self.missed(now);
        // One that was ended and lives has said so, but that may have been lost.
        let silent = |a: &&Actor| self.peers.get(a).is_none_or(|p| p.heard + SILENT <= now);
        let mut silent: BTreeSet<String> =
            self.refs.keys().filter(silent).map(|a| a.life.name.clone()).collect();
        // One that lives, and was ended by others, is a guardian again once its next term is known.
        let ended = self.candidates.iter().filter(|c| self.surely_over(&c.2, 0));
        silent.extend(ended.map(|c| c.2.name.clone()));
        silent.iter().for_each(|name| self.say(name, &Said::Which));
        let (refs, lives, wanted) = (&self.refs, &self.lives, &self.wanted);
        let known = |life: &Life| {
            lives.contains_key(life) || refs.keys().chain(wanted.keys()).any(|a| a.life == *life)
        };
        self.unlisted.retain(|life, _| known(life));
        self.other.retain(|life| lives.contains_key(life));
        self.peers.retain(|a, p| known(&a.life) || now < p.heard + FORGOTTEN);
        if self.over.len() > PEERS {
            self.over.retain(|life, _| known(life));
        }
    }
}
