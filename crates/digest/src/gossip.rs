//! Selects which pages are sent to which gateway, and when.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use crate::page::{Page, MAX_DATAGRAM_BYTES};
use crate::{Cell, Digest, Micros, PageBuilder, Summary};

/// How fast a gateway sends pages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GossipConfig {
    /// Limit on bytes sent per second. It can be exceeded by the datagrams of one recipient, which are sent
    /// together. If the pages of a round need longer than `round_interval` at this rate, the round is extended.
    pub bytes_per_second: f64,
    /// Minimum duration of a round.
    pub round_interval: Micros,
    /// How often this gateway forwards each version of another gateway's page.
    pub forwards_per_version: u32,
}

impl Default for GossipConfig {
    fn default() -> Self {
        GossipConfig { bytes_per_second: 16_384.0, round_interval: 2_000_000, forwards_per_version: 1 }
    }
}

/// Schedules the exchange of pages. In each round it sends this gateway's pages to every other gateway, in
/// random order. Free space in these datagrams is filled with pages of other gateways, so that they also
/// reach gateways that their origin cannot reach directly.
#[derive(Debug, Clone)]
pub struct GossipScheduler {
    config: GossipConfig,
    random_state: u64,
    /// Gateways that have not been sent to in this round.
    recipients: VecDeque<String>,
    /// Earliest time of the next datagram.
    next_send_at: Micros,
    /// Earliest time of the next round.
    next_round_at: Micros,
    /// Per page: the version that was forwarded last and how often it was forwarded.
    forwards: BTreeMap<PageKey, (u64, u32)>,
    /// The next pages to forward, in this order.
    forward_queue: VecDeque<PageKey>,
    /// When `forward_queue` has to be rebuilt.
    forward_queue_expires_at: Micros,
}

impl GossipScheduler {
    /// Creates a scheduler whose first round starts at `now`. The seed should be random.
    pub fn new(config: GossipConfig, seed: u64, now: Micros) -> GossipScheduler {
        GossipScheduler {
            config,
            random_state: seed,
            recipients: VecDeque::new(),
            next_send_at: now,
            next_round_at: now,
            forwards: BTreeMap::new(),
            forward_queue: VecDeque::new(),
            forward_queue_expires_at: 0,
        }
    }

    /// Returns when [`poll`](Self::poll) has to be called next.
    pub fn next_poll_at(&self) -> Micros {
        if self.recipients.is_empty() {
            self.next_send_at.max(self.next_round_at)
        } else {
            self.next_send_at
        }
    }

    /// Returns the datagrams that are due, each with the name of its recipient.
    ///
    /// At the start of a round, expired pages are removed from `digest`, and this gateway's pages are rebuilt
    /// from `local_cells` and merged into it. `members` returns the names of the other gateways that are
    /// alive.
    pub fn poll(
        &mut self,
        now: Micros,
        members: impl FnOnce() -> Vec<String>,
        local_cells: impl FnOnce() -> Vec<(Cell, Summary)>,
        builder: &mut PageBuilder,
        digest: &mut Digest,
    ) -> Vec<(String, Vec<u8>)> {
        let mut outgoing = Vec::new();
        if self.recipients.is_empty() && now >= self.next_poll_at() {
            digest.evict_expired(now);
            for page in builder.build_pages(now, local_cells()) {
                digest.merge(now, page);
            }
            self.start_round(now, members(), digest);
        }
        // Limits the burst after a pause of the process to half a round.
        self.next_send_at = self.next_send_at.max(now.saturating_sub(self.config.round_interval / 2));
        while now >= self.next_send_at {
            let Some(recipient) = self.recipients.pop_front() else { break };
            let datagrams = self.build_datagrams(now, &recipient, builder.origin(), digest);
            let bytes: usize = datagrams.iter().map(Vec::len).sum();
            self.next_send_at += (bytes as f64 / self.config.bytes_per_second * 1e6).ceil() as Micros;
            outgoing.extend(datagrams.into_iter().map(|datagram| (recipient.clone(), datagram)));
        }
        outgoing
    }

    fn start_round(&mut self, now: Micros, mut members: Vec<String>, digest: &Digest) {
        // Fisher-Yates shuffle.
        for last in (1..members.len()).rev() {
            let chosen = self.next_random() as usize % (last + 1);
            members.swap(last, chosen);
        }
        self.recipients = members.into();
        self.next_round_at = now + self.config.round_interval;
        let stored: BTreeMap<_, _> = digest.pages().map(|page| (page_key(page), page.version)).collect();
        self.forwards.retain(|key, (version, _)| stored.get(key) == Some(version));
    }

    /// Builds the datagrams for one recipient: all pages of this gateway, then pages of others in the
    /// remaining space.
    fn build_datagrams(
        &mut self,
        now: Micros,
        recipient: &str,
        own_name: &str,
        digest: &Digest,
    ) -> Vec<Vec<u8>> {
        let mut datagrams = vec![Vec::with_capacity(MAX_DATAGRAM_BYTES)];
        for page in digest.pages_of(own_name) {
            if datagrams.last().is_some_and(|last| last.len() + page.encoded_len() > MAX_DATAGRAM_BYTES) {
                datagrams.push(Vec::with_capacity(MAX_DATAGRAM_BYTES));
            }
            if let Some(last) = datagrams.last_mut() {
                page.encode(now, last);
            }
        }
        if now >= self.forward_queue_expires_at {
            self.forward_queue = self.pages_to_forward(own_name, digest);
            self.forward_queue_expires_at = now + self.config.round_interval;
        }
        for _ in 0..self.forward_queue.len() {
            let Some(last) = datagrams.last_mut() else { break };
            let Some(page) = self.forward_queue.front().map(|key| digest.get(key)) else { break };
            if let Some(page) = page.filter(|page| page.origin != recipient) {
                if last.len() + page.encoded_len() > MAX_DATAGRAM_BYTES {
                    break;
                }
                page.encode(now, last);
                let (version, count) = self.forwards.entry(page_key(page)).or_insert((page.version, 0));
                *count = if *version == page.version { *count + 1 } else { 1 };
                *version = page.version;
            }
            self.forward_queue.pop_front();
        }
        datagrams.retain(|datagram| !datagram.is_empty());
        datagrams
    }

    /// Returns the pages of other gateways that still have to be forwarded: the least often forwarded first,
    /// among these the newest first.
    fn pages_to_forward(&self, own_name: &str, digest: &Digest) -> VecDeque<PageKey> {
        let forward_count = |page: &Page| match self.forwards.get(&page_key(page)) {
            Some((version, count)) if *version == page.version => *count,
            _ => 0,
        };
        let mut candidates: Vec<(u32, Reverse<Micros>, &Page)> = digest
            .pages()
            .filter(|page| page.origin != own_name)
            .map(|page| (forward_count(page), Reverse(page.created_at), page))
            .filter(|(count, _, _)| *count < self.config.forwards_per_version)
            .collect();
        candidates.sort_by_key(|(count, created_at, _)| (*count, *created_at));
        candidates.into_iter().map(|(_, _, page)| page_key(page)).collect()
    }

    /// Returns the next number of the pseudorandom sequence (SplitMix64).
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

/// Origin and number of a page.
type PageKey = (String, u8);

fn page_key(page: &Page) -> PageKey {
    (page.origin.clone(), page.number)
}
