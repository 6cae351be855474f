//! News that rides along, and digests by which two members find what they know differently.

use super::*;

impl Membership {
    /// Asks somebody whether they believe the same: one that lives, now and then one that does not, or a seed.
    pub(super) fn sync(&mut self) {
        let digest = self.digest();
        let turn = draw(&mut self.dice) % 4;
        let dead: Vec<String> = self
            .members
            .values()
            .filter(|m| m.record.state > State::Suspect)
            .map(|m| m.record.name.clone())
            .collect();
        if !self.joined || self.living().next().is_none() {
            // Nobody is known: seeds are asked, a few at a time.
            self.ask_seeds(HELPERS, digest);
        } else if turn == 1 && !self.terms.plain {
            // Members that start at once may meet in groups that know nothing of each other: seeds bring them together.
            self.ask_seeds(1, digest);
        } else if turn == 0 && !dead.is_empty() && !self.terms.plain {
            // Two halves of a cut believe each other dead: somebody has to ask.
            let at = (draw(&mut self.dice) % dead.len() as u64) as usize;
            self.send_to(&dead[at].clone(), Kind::Digest(digest, true), Vec::new());
        } else if let Some(name) = self.some(1, "").pop() {
            self.send_to(&name, Kind::Digest(digest, true), Vec::new());
        }
    }

    fn ask_seeds(&mut self, n: usize, digest: [u32; BUCKETS]) {
        let seeds = self.terms.seeds.clone();
        let from = (draw(&mut self.dice) % seeds.len().max(1) as u64) as usize;
        for seed in seeds.iter().cycle().skip(from).take(seeds.len().min(n)) {
            if *seed != self.me.address {
                self.send(*seed, Kind::Digest(digest, true), Vec::new());
            }
        }
    }

    /// Sends what lies in parts that differ.
    pub(super) fn differ(&mut self, to: SocketAddr, theirs: &[u32; BUCKETS]) {
        let mine = self.digest();
        let mut records: Vec<Record> = self
            .members
            .values()
            .map(|m| m.record.clone())
            .chain(self.announced.then(|| self.me.clone()))
            .filter(|r| mine[bucket(&r.name)] != theirs[bucket(&r.name)])
            .collect();
        if records.is_empty() {
            self.send(to, Kind::News, Vec::new());
            return;
        }
        // What finds no room in one exchange goes with a later one: each begins elsewhere.
        let from = (draw(&mut self.dice) % records.len() as u64) as usize;
        records.rotate_left(from);
        for _ in 0..CHUNKS {
            let told = self.send(to, Kind::News, records.clone());
            records.drain(..told.min(records.len()));
            if records.is_empty() {
                break;
            }
        }
    }

    /// News that ride on a datagram: what was sent on least often first.
    pub(super) fn riders(&mut self) -> Vec<Record> {
        let n = self.members.len() as u32 + 1;
        let most = SPREAD * (u32::BITS - n.leading_zeros());
        self.news.retain(|_, sent| *sent < most);
        let mut names: Vec<(u32, u64, String)> =
            self.news.iter().map(|(name, &sent)| (sent, draw(&mut self.dice), name.clone())).collect();
        names.sort();
        names.truncate(RIDERS);
        let mut records = Vec::new();
        for (_, _, name) in names {
            let record = if name == self.me.name {
                self.announced.then(|| self.me.clone())
            } else {
                self.members.get(&name).map(|m| m.record.clone())
            };
            if let Some(record) = record {
                records.push(record);
                self.news.entry(name).and_modify(|sent| *sent += 1);
            }
        }
        records
    }
}
