//! Lives: proof that a process holds its name now, and a second process of this one's name.

use super::*;

impl Membership {
    /// Whether a death or a good-bye is that of an earlier process of a name whose present one has proved its life here.
    pub(super) fn is_of_another(&self, record: &Record) -> bool {
        let Some(member) = self.members.get(&record.name).filter(|_| !self.terms.plain) else { return false };
        let proved =
            |life| self.peers.get(&record.name).is_some_and(|lives| lives.iter().any(|p| p.life == life));
        record.state > State::Suspect
            && record.incarnation == member.record.incarnation
            && record.life != member.record.life
            && proved(member.record.life)
    }

    pub(super) fn told_of_me(&mut self, record: &Record) {
        if record.life == self.me.life {
            let accused = record.state != State::Alive && record.incarnation >= self.me.incarnation;
            if accused && !self.left {
                self.refute(record.incarnation);
            }
            return;
        }
        if record.rank() < self.me.rank() && self.announced {
            return;
        }
        if record.state > State::Suspect || record.address == self.me.address {
            // An earlier process of this name: it is gone, or could not have let go of the address otherwise.
            (self.rival, self.doubled) = (None, false);
            self.me.incarnation = self.me.incarnation.max(record.incarnation) + 1;
            self.spread(self.me.name.clone());
        } else if self.rival.is_none() && self.now >= self.next_rival {
            self.next_rival = self.now + SYNC * self.terms.period;
            // Somebody else may live under this name. It is asked itself before anything else is said.
            let nonce = draw(&mut self.dice);
            self.rival = Some((record.address, record.life, nonce, self.now + 2 * self.terms.period));
            self.send(record.address, Kind::Challenge(nonce), Vec::new());
            self.me.incarnation = self.me.incarnation.max(record.incarnation);
        }
    }

    /// The other process with this name has not answered: the name is free.
    pub(super) fn rival_silent(&mut self) {
        if self.rival.is_some_and(|r| r.3 <= self.now) {
            self.rival = None;
            self.doubled = false;
            self.me.incarnation += 1;
            self.spread(self.me.name.clone());
        }
    }

    /// The other process with this name lives. Who is settled keeps the name; of two that are, the greater life does.
    pub(super) fn rival_lives(&mut self, address: SocketAddr, life: u64) {
        self.rival = None;
        self.effects.push_back(Effect::Told(Change::Rival(address)));
        if self.announced && self.me.life > life {
            self.me.incarnation += 1;
            self.spread(self.me.name.clone());
        } else {
            self.doubled = true;
            self.announced = false;
            self.news.remove(&self.me.name);
        }
        self.restand();
    }

    /// A process that is not known yet must prove that it is no echo: its words count from then on.
    pub(super) fn ask_for_proof(&mut self, datagram: &Datagram, from: SocketAddr) {
        let asked = self.questions.get(&datagram.from);
        // A flood under invented names is bounded by the members that may be.
        if asked.is_some_and(|q| q.life == datagram.life)
            || self.questions.len() >= AT_ONCE.max(self.terms.most)
        {
            return;
        }
        let nonce = draw(&mut self.dice);
        let until = self.now + self.terms.period;
        self.questions.insert(datagram.from.clone(), Question { life: datagram.life, nonce, until });
        self.send(from, Kind::Challenge(nonce), Vec::new());
    }

    pub(super) fn proved(
        &mut self,
        datagram: &Datagram,
        nonce: u64,
        from: SocketAddr,
    ) -> Result<(), Refused> {
        let asked = self.questions.get(&datagram.from);
        if !asked.is_some_and(|q| q.life == datagram.life && q.nonce == nonce) {
            return Err(Refused::Replayed);
        }
        self.questions.remove(&datagram.from);
        let known = self.members.contains_key(&datagram.from);
        if !known && self.peers.len() >= self.terms.most {
            return Ok(());
        }
        let peers = self.peers.entry(datagram.from.clone()).or_default();
        if peers.len() >= LIVES {
            peers.remove(0);
        }
        let (life, highest, address) = (datagram.life, datagram.number, from);
        peers.push(Peer { life, address, proved: self.now, highest, seen: 1 });
        self.heard = self.now;
        if self.members.get(&datagram.from).is_some_and(|m| m.record.life == datagram.life) {
            // Known already by what others tell: what it said before was dropped, and comes again with its next round.
            return Ok(());
        }
        // It has just come: both sides tell each other what they know.
        let digest = self.digest();
        self.send(from, Kind::Digest(digest, true), Vec::new());
        Ok(())
    }
}
