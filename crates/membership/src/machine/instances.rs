//! Processes behind a name: challenges that verify senders, and conflicts with another process of this
//! member's name.

use super::*;

impl Membership {
    /// Whether the record reports the death or departure of another process than the member's current,
    /// verified one.
    pub(super) fn is_from_older_instance(&self, record: &Record) -> bool {
        let Some(member) = self.members.get(&record.name).filter(|_| !self.config.plain_swim) else {
            return false;
        };
        let is_verified = |instance_id| {
            self.peers
                .get(&record.name)
                .is_some_and(|instances| instances.iter().any(|p| p.instance_id == instance_id))
        };
        record.state > State::Suspect
            && record.incarnation == member.record.incarnation
            && record.instance_id != member.record.instance_id
            && is_verified(member.record.instance_id)
    }

    /// Handles a record about this member's own name.
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
            // An earlier process of this name has ended; one with the same address must have, as this process
            // is bound to the address now.
            (self.name_conflict, self.name_taken) = (None, false);
            self.own.incarnation = self.own.incarnation.max(record.incarnation) + 1;
            self.enqueue_update(self.own.name.clone());
        } else if self.name_conflict.is_none() && self.now >= self.next_conflict_check_at {
            self.next_conflict_check_at = self.now + SYNC_INTERVAL_PERIODS * self.config.probe_interval;
            // Another process may be running under this name. It is challenged before the name is claimed.
            let nonce = draw(&mut self.rng);
            self.name_conflict = Some(NameConflict {
                address: record.address,
                instance_id: record.instance_id,
                nonce,
                expires_at: self.now + NAME_CHALLENGE_PERIODS * self.config.probe_interval,
            });
            self.send(record.address, Kind::Challenge(nonce), Vec::new());
            self.own.incarnation = self.own.incarnation.max(record.incarnation);
        }
    }

    /// Claims the name if the challenged process has not answered in time.
    pub(super) fn expire_name_conflict(&mut self) {
        if self.name_conflict.is_some_and(|conflict| conflict.expires_at <= self.now) {
            self.name_conflict = None;
            self.name_taken = false;
            self.own.incarnation += 1;
            self.enqueue_update(self.own.name.clone());
        }
    }

    /// Decides which process keeps the name after the other one has answered. A process that has not
    /// announced itself yields; of two announced ones, the greater instance id keeps the name.
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

    /// Challenges an unverified process, so that replayed datagrams are not accepted.
    pub(super) fn challenge(&mut self, datagram: &Datagram, from: SocketAddr) {
        let pending = self.challenges.get(&datagram.from);
        // Bounds the memory that a flood of datagrams under invented names can take.
        if pending.is_some_and(|q| q.instance_id == datagram.instance_id)
            || self.challenges.len() >= MAX_PENDING.max(self.config.max_members)
        {
            return;
        }
        let nonce = draw(&mut self.rng);
        let expires_at = self.now + self.config.probe_interval;
        self.challenges.insert(
            datagram.from.clone(),
            PendingChallenge { instance_id: datagram.instance_id, nonce, expires_at },
        );
        self.send(from, Kind::Challenge(nonce), Vec::new());
    }

    /// Checks the answer to a challenge and adds the sender to the verified processes.
    pub(super) fn accept_challenge_response(
        &mut self,
        datagram: &Datagram,
        nonce: u64,
        from: SocketAddr,
    ) -> Result<(), Rejection> {
        let pending = self.challenges.get(&datagram.from);
        if !pending.is_some_and(|q| q.instance_id == datagram.instance_id && q.nonce == nonce) {
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
        let (instance_id, highest_number, address) = (datagram.instance_id, datagram.number, from);
        peers.push(Peer { instance_id, address, verified_at: self.now, highest_number, seen_bits: 1 });
        self.last_received_at = self.now;
        if self.members.get(&datagram.from).is_some_and(|m| m.record.instance_id == datagram.instance_id) {
            // Its record is known from gossip already; its dropped datagrams are repeated in the next probe
            // round.
            return Ok(());
        }
        // A new process: both sides exchange their state.
        let digest = self.digest();
        self.send(from, Kind::Digest(digest, true), Vec::new());
        Ok(())
    }
}
