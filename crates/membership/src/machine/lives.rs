//! Lives: proof that a process holds its name now, and a second process of this one's name.

use super::*;

impl Membership {
    /// Whether a death or a good-bye is that of an earlier process of a name whose present one has proved its instance_id here.
    pub(super) fn is_from_older_instance(&self, record: &Record) -> bool {
        let Some(member) = self.members.get(&record.name).filter(|_| !self.config.plain_swim) else {
            return false;
        };
        let proved = |instance_id| {
            self.peers
                .get(&record.name)
                .is_some_and(|lives| lives.iter().any(|p| p.instance_id == instance_id))
        };
        record.state > State::Suspect
            && record.incarnation == member.record.incarnation
            && record.instance_id != member.record.instance_id
            && proved(member.record.instance_id)
    }

    pub(super) fn merge_own_record(&mut self, record: &Record) {
        if record.instance_id == self.own.instance_id {
            let accused = record.state != State::Alive && record.incarnation >= self.own.incarnation;
            if accused && !self.left {
                self.refute(record.incarnation);
            }
            return;
        }
        if record.precedence() < self.own.precedence() && self.announced {
            return;
        }
        if record.state > State::Suspect || record.address == self.own.address {
            // An earlier process of this name: it is gone, or could not have let go of the address otherwise.
            (self.name_conflict, self.name_taken) = (None, false);
            self.own.incarnation = self.own.incarnation.max(record.incarnation) + 1;
            self.enqueue_update(self.own.name.clone());
        } else if self.name_conflict.is_none() && self.now >= self.next_conflict_check_at {
            self.next_conflict_check_at = self.now + SYNC_INTERVAL_PERIODS * self.config.probe_interval;
            // Somebody else may live under this name. It is asked itself before anything else is said.
            let nonce = draw(&mut self.rng);
            self.name_conflict =
                Some((record.address, record.instance_id, nonce, self.now + 2 * self.config.probe_interval));
            self.send(record.address, Kind::Challenge(nonce), Vec::new());
            self.own.incarnation = self.own.incarnation.max(record.incarnation);
        }
    }

    /// The other process with this name has not answered: the name is free.
    pub(super) fn expire_name_conflict(&mut self) {
        if self.name_conflict.is_some_and(|r| r.3 <= self.now) {
            self.name_conflict = None;
            self.name_taken = false;
            self.own.incarnation += 1;
            self.enqueue_update(self.own.name.clone());
        }
    }

    /// The other process with this name lives. Who is settled keeps the name; of two that are, the greater instance_id does.
    pub(super) fn resolve_name_conflict(&mut self, address: SocketAddr, instance_id: u64) {
        self.name_conflict = None;
        self.effects.push_back(Effect::Changed(Change::NameConflict(address)));
        if self.announced && self.own.instance_id > instance_id {
            self.own.incarnation += 1;
            self.enqueue_update(self.own.name.clone());
        } else {
            self.name_taken = true;
            self.announced = false;
            self.updates.remove(&self.own.name);
        }
        self.update_standing();
    }

    /// A process that is not known yet must prove that it is no echo: its words count from then on.
    pub(super) fn challenge(&mut self, datagram: &Datagram, from: SocketAddr) {
        let asked = self.challenges.get(&datagram.from);
        // A flood under invented names is bounded by the members that may be.
        if asked.is_some_and(|q| q.instance_id == datagram.instance_id)
            || self.challenges.len() >= MAX_PENDING.max(self.config.max_members)
        {
            return;
        }
        let nonce = draw(&mut self.rng);
        let until = self.now + self.config.probe_interval;
        self.challenges.insert(
            datagram.from.clone(),
            PendingChallenge { instance_id: datagram.instance_id, nonce, until },
        );
        self.send(from, Kind::Challenge(nonce), Vec::new());
    }

    pub(super) fn accept_proof(
        &mut self,
        datagram: &Datagram,
        nonce: u64,
        from: SocketAddr,
    ) -> Result<(), Rejection> {
        let asked = self.challenges.get(&datagram.from);
        if !asked.is_some_and(|q| q.instance_id == datagram.instance_id && q.nonce == nonce) {
            return Err(Rejection::Replayed);
        }
        self.challenges.remove(&datagram.from);
        let known = self.members.contains_key(&datagram.from);
        if !known && self.peers.len() >= self.config.max_members {
            return Ok(());
        }
        let peers = self.peers.entry(datagram.from.clone()).or_default();
        if peers.len() >= MAX_INSTANCES_PER_NAME {
            peers.remove(0);
        }
        let (instance_id, highest, address) = (datagram.instance_id, datagram.number, from);
        peers.push(Peer { instance_id, address, proved: self.now, highest, seen: 1 });
        self.last_received_at = self.now;
        if self.members.get(&datagram.from).is_some_and(|m| m.record.instance_id == datagram.instance_id) {
            // ShareInputs already by what others tell: what it said before was dropped, and comes again with its next round.
            return Ok(());
        }
        // It has just come: both sides tell each other what they know.
        let digest = self.digest();
        self.send(from, Kind::Digest(digest, true), Vec::new());
        Ok(())
    }
}
