//! Gossip records appended to messages, and state exchange by digests (anti-entropy).

use super::*;

impl Membership {
    /// Sends the digests to a random living member, or now and then to a dead one or to a seed.
    pub(super) fn start_sync(&mut self) {
        let digest = self.digest();
        let choice = draw(&mut self.rng) % 4;
        let dead: Vec<String> = self
            .members
            .values()
            .filter(|m| m.record.state > State::Suspect)
            .map(|m| m.record.name.clone())
            .collect();
        if !self.joined || self.living_members().next().is_none() {
            // No living member is known.
            self.sync_with_seeds(PROBE_HELPERS, digest);
        } else if choice == 1 && !self.config.plain_swim {
            // Members that start at the same time may form groups that do not know each other; a common seed
            // joins them.
            self.sync_with_seeds(1, digest);
        } else if choice == 0 && !dead.is_empty() && !self.config.plain_swim {
            // After a network partition both sides hold each other for dead; contacting the dead rejoins
            // them.
            let at = (draw(&mut self.rng) % dead.len() as u64) as usize;
            self.send_to(&dead[at].clone(), Kind::Digest(digest, true), Vec::new());
        } else if let Some(name) = self.random_members(1, "").pop() {
            self.send_to(&name, Kind::Digest(digest, true), Vec::new());
        }
    }

    fn sync_with_seeds(&mut self, count: usize, digest: [u32; DIGEST_BUCKETS]) {
        let seeds = self.config.seeds.clone();
        let start = (draw(&mut self.rng) % seeds.len().max(1) as u64) as usize;
        for seed in seeds.iter().cycle().skip(start).take(seeds.len().min(count)) {
            if *seed != self.own.address {
                self.send(*seed, Kind::Digest(digest, true), Vec::new());
            }
        }
    }

    /// Sends the records of the buckets whose digests differ.
    pub(super) fn send_differing_records(&mut self, to: SocketAddr, peer_digest: &[u32; DIGEST_BUCKETS]) {
        let own_digest = self.digest();
        let mut records: Vec<Record> = self
            .members
            .values()
            .map(|m| m.record.clone())
            .chain(self.announced.then(|| self.own.clone()))
            .filter(|r| own_digest[bucket(&r.name)] != peer_digest[bucket(&r.name)])
            .collect();
        if records.is_empty() {
            self.send(to, Kind::Records, Vec::new());
            return;
        }
        // A random start, so that records that do not fit are sent in a later exchange.
        let start = (draw(&mut self.rng) % records.len() as u64) as usize;
        records.rotate_left(start);
        for _ in 0..MAX_SYNC_DATAGRAMS {
            let included = self.send(to, Kind::Records, records.clone());
            records.drain(..included.min(records.len()));
            if records.is_empty() {
                break;
            }
        }
    }

    /// Records to append to a datagram: those sent least often first, in random order among equals.
    pub(super) fn piggybacked_records(&mut self) -> Vec<Record> {
        let member_count = self.members.len() as u32 + 1;
        let max_sends = RETRANSMIT_FACTOR * (u32::BITS - member_count.leading_zeros());
        self.updates.retain(|_, sent| *sent < max_sends);
        let mut names: Vec<(u32, u64, String)> =
            self.updates.iter().map(|(name, &sent)| (sent, draw(&mut self.rng), name.clone())).collect();
        names.sort();
        names.truncate(MAX_PIGGYBACKED_RECORDS);
        let mut records = Vec::new();
        for (_, _, name) in names {
            let record = if name == self.own.name {
                self.announced.then(|| self.own.clone())
            } else {
                self.members.get(&name).map(|m| m.record.clone())
            };
            if let Some(record) = record {
                records.push(record);
                self.updates.entry(name).and_modify(|sent| *sent += 1);
            }
        }
        records
    }
}
