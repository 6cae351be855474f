//! News that rides along, and digests by which two members find what they know differently.

use super::*;

impl Membership {
    /// Asks somebody whether they believe the same: one that lives, now and then one that does not, or a seed.
    pub(super) fn start_sync(&mut self) {
        let digest = self.digest();
        let turn = draw(&mut self.rng) % 4;
        let dead: Vec<String> = self
            .members
            .values()
            .filter(|m| m.record.state > State::Suspect)
            .map(|m| m.record.name.clone())
            .collect();
        if !self.joined || self.living_members().next().is_none() {
            // Nobody is known: seeds are asked, a few at a time.
            self.sync_with_seeds(PROBE_HELPERS, digest);
        } else if turn == 1 && !self.config.plain_swim {
            // Members that start at once may meet in groups that know nothing of each other: seeds bring them together.
            self.sync_with_seeds(1, digest);
        } else if turn == 0 && !dead.is_empty() && !self.config.plain_swim {
            // Two halves of a cut believe each other dead: somebody has to ask.
            let at = (draw(&mut self.rng) % dead.len() as u64) as usize;
            self.send_to(&dead[at].clone(), Kind::Digest(digest, true), Vec::new());
        } else if let Some(name) = self.random_members(1, "").pop() {
            self.send_to(&name, Kind::Digest(digest, true), Vec::new());
        }
    }

    fn sync_with_seeds(&mut self, n: usize, digest: [u32; DIGEST_BUCKETS]) {
        let seeds = self.config.seeds.clone();
        let from = (draw(&mut self.rng) % seeds.len().max(1) as u64) as usize;
        for seed in seeds.iter().cycle().skip(from).take(seeds.len().min(n)) {
            if *seed != self.own.address {
                self.send(*seed, Kind::Digest(digest, true), Vec::new());
            }
        }
    }

    /// Sends what lies in parts that differ.
    pub(super) fn send_differing_records(&mut self, to: SocketAddr, theirs: &[u32; DIGEST_BUCKETS]) {
        let mine = self.digest();
        let mut records: Vec<Record> = self
            .members
            .values()
            .map(|m| m.record.clone())
            .chain(self.announced.then(|| self.own.clone()))
            .filter(|r| mine[bucket(&r.name)] != theirs[bucket(&r.name)])
            .collect();
        if records.is_empty() {
            self.send(to, Kind::Records, Vec::new());
            return;
        }
        // What finds no room in one exchange goes with a later one: each begins elsewhere.
        let from = (draw(&mut self.rng) % records.len() as u64) as usize;
        records.rotate_left(from);
        for _ in 0..MAX_SYNC_DATAGRAMS {
            let told = self.send(to, Kind::Records, records.clone());
            records.drain(..told.min(records.len()));
            if records.is_empty() {
                break;
            }
        }
    }

    /// News that ride on a datagram: what was sent on least often first.
    pub(super) fn piggybacked_records(&mut self) -> Vec<Record> {
        let n = self.members.len() as u32 + 1;
        let most = RETRANSMIT_FACTOR * (u32::BITS - n.leading_zeros());
        self.updates.retain(|_, sent| *sent < most);
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
