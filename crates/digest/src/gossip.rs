//! Which pages go to whom, and when.

use std::collections::{BTreeMap, VecDeque};

use crate::page::{Page, MAX_DATAGRAM_BYTES};
use crate::{Cell, Digest, Micros, PageBuilder, Summary};

/// How fast pages go out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GossipConfig {
    /// Octets a second at most, but for one datagram; a round takes as long as that makes it.
    pub bytes_per_second: f64,
    /// A round takes no less than this.
    pub round_interval: Micros,
    /// How often a gateway passes on each version of another one's page.
    pub forwards_per_version: u32,
}

impl Default for GossipConfig {
    fn default() -> Self {
        GossipConfig { bytes_per_second: 16_384.0, round_interval: 2_000_000, forwards_per_version: 1 }
    }
}

/// Tells this gateway's pages to each other one once a round, in an order drawn anew, and passes on others' pages in what room that
/// leaves: to those that their origin does not reach, or not now.
#[derive(Debug, Clone)]
pub struct GossipScheduler {
    pace: GossipConfig,
    dice: u64,
    /// Who is still to be told in this round, and when the next datagram may go; when the next round may begin.
    rest: VecDeque<String>,
    due: Micros,
    round: Micros,
    /// How often each page was passed on, of which version; and those that come next, until when that order is good enough.
    passed: BTreeMap<Key, (u64, u32)>,
    next: (VecDeque<Key>, Micros),
}

impl GossipScheduler {
    /// Begins at once; `seed` is drawn by chance.
    pub fn new(pace: GossipConfig, seed: u64, now: Micros) -> GossipScheduler {
        GossipScheduler {
            pace,
            dice: seed,
            rest: VecDeque::new(),
            due: now,
            round: now,
            passed: BTreeMap::new(),
            next: (VecDeque::new(), 0),
        }
    }

    /// When it wants to be woken.
    pub fn next_poll_at(&self) -> Micros {
        if self.rest.is_empty() {
            self.due.max(self.round)
        } else {
            self.due
        }
    }

    /// Time has passed; gives datagrams to be sent, and to whom. `members` are the other gateways that live. At the beginning of
    /// a round this gateway's own pages are made anew from `sums` and are merged into the digest.
    pub fn poll(
        &mut self,
        now: Micros,
        members: impl FnOnce() -> Vec<String>,
        sums: impl FnOnce() -> Vec<(Cell, Summary)>,
        own: &mut PageBuilder,
        digest: &mut Digest,
    ) -> Vec<(String, Vec<u8>)> {
        let mut out = Vec::new();
        if self.rest.is_empty() && now >= self.next_poll_at() {
            digest.evict_expired(now);
            for page in own.build_pages(now, sums()) {
                digest.merge(now, page);
            }
            self.begin(now, members(), digest);
        }
        // Who stood still does not make up for it in one burst.
        self.due = self.due.max(now.saturating_sub(self.pace.round_interval / 2));
        while now >= self.due {
            let Some(to) = self.rest.pop_front() else { break };
            let datagrams = self.fill(now, &to, own.origin(), digest);
            let octets: usize = datagrams.iter().map(Vec::len).sum();
            self.due += (octets as f64 / self.pace.bytes_per_second * 1e6).ceil() as Micros;
            out.extend(datagrams.into_iter().map(|datagram| (to.clone(), datagram)));
        }
        out
    }

    fn begin(&mut self, now: Micros, mut members: Vec<String>, digest: &Digest) {
        for at in (1..members.len()).rev() {
            let drawn = self.draw() as usize % (at + 1);
            members.swap(at, drawn);
        }
        self.rest = members.into();
        self.round = now + self.pace.round_interval;
        let held: BTreeMap<_, _> = digest.pages().map(|page| (key(page), page.version)).collect();
        self.passed.retain(|key, (version, _)| held.get(key) == Some(version));
    }

    /// All own pages, and others' in the room that is left.
    fn fill(&mut self, now: Micros, to: &str, own: &str, digest: &Digest) -> Vec<Vec<u8>> {
        let mut datagrams = vec![Vec::with_capacity(MAX_DATAGRAM_BYTES)];
        for page in digest.pages_of(own) {
            if datagrams.last().is_some_and(|last| last.len() + page.encoded_len() > MAX_DATAGRAM_BYTES) {
                datagrams.push(Vec::with_capacity(MAX_DATAGRAM_BYTES));
            }
            datagrams.iter_mut().last().iter_mut().for_each(|last| page.encode(now, last));
        }
        if now >= self.next.1 {
            self.next = (self.order(own, digest), now + self.pace.round_interval);
        }
        for _ in 0..self.next.0.len() {
            let Some(last) = datagrams.last_mut() else { break };
            let Some(page) = self.next.0.front().map(|key| digest.get(key)) else { break };
            if let Some(page) = page.filter(|page| page.origin != to) {
                if last.len() + page.encoded_len() > MAX_DATAGRAM_BYTES {
                    break;
                }
                page.encode(now, last);
                let passed = self.passed.entry(key(page)).or_insert((page.version, 0));
                *passed = (page.version, if passed.0 == page.version { passed.1 + 1 } else { 1 });
            }
            self.next.0.pop_front();
        }
        datagrams.retain(|datagram| !datagram.is_empty());
        datagrams
    }

    /// Others' pages that are to be passed on: those that were least, the youngest first.
    fn order(&self, own: &str, digest: &Digest) -> VecDeque<Key> {
        let times = |page: &Page| match self.passed.get(&key(page)) {
            Some((version, times)) if *version == page.version => *times,
            _ => 0,
        };
        let mut order: Vec<(u32, std::cmp::Reverse<Micros>, &Page)> = digest
            .pages()
            .filter(|page| page.origin != own)
            .map(|page| (times(page), std::cmp::Reverse(page.said), page))
            .filter(|entry| entry.0 < self.pace.forwards_per_version)
            .collect();
        order.sort_by_key(|(times, said, _)| (*times, *said));
        order.into_iter().map(|(_, _, page)| key(page)).collect()
    }

    /// The next number of a sequence (SplitMix64).
    fn draw(&mut self) -> u64 {
        self.dice = self.dice.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.dice;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

type Key = (String, u8);

fn key(page: &Page) -> Key {
    (page.origin.clone(), page.number)
}
