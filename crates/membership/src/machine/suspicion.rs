//! Suspicion and death of members, and merging of the records received about them.

use super::*;

impl Membership {
    /// Suspicion time-out with the given number of accusers: it shrinks from the maximum to the minimum with
    /// the logarithm of their number.
    pub(super) fn suspicion_timeout(&self, accusers: usize) -> Micros {
        let n = self.share_inputs.living as usize;
        let min_timeout =
            SUSPICION_MIN_PERIODS * (n as f64).log10().max(1.0) * self.config.probe_interval as f64;
        if self.config.plain_swim {
            return min_timeout as Micros;
        }
        let max_timeout = min_timeout * SUSPICION_MAX_FACTOR;
        // Only members other than this one and the suspect can confirm the suspicion.
        let confirmations = MAX_CONFIRMATIONS.min(n.saturating_sub(2));
        if confirmations == 0 {
            return min_timeout as Micros;
        }
        let reduction = (accusers as f64).ln() / (confirmations as f64 + 1.0).ln();
        (max_timeout - (max_timeout - min_timeout) * reduction).max(min_timeout) as Micros
    }

    /// When a suspected member is to be declared dead.
    pub(super) fn suspicion_deadline(&self, member: &Member) -> Option<Micros> {
        let suspect = member.record.state == State::Suspect;
        suspect.then(|| member.since + self.suspicion_timeout(member.accusers.len().max(1)))
    }

    pub(super) fn declare_expired_suspects(&mut self) {
        // A member that has not been answered since a pause, or that is cut off or unheard, declares nobody
        // dead.
        if self.paused_at.is_some()
            || (!self.config.plain_swim && matches!(self.standing, Standing::CutOff | Standing::Unheard))
        {
            return;
        }
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        let expired = suspects.filter(|m| self.suspicion_deadline(m).is_some_and(|at| at <= self.now));
        let deaths: Vec<Record> = expired
            .map(|m| Record { state: State::Dead, accuser: name_hash(&self.own.name), ..m.record.clone() })
            .collect();
        for record in deaths {
            self.counts.declared_dead += 1;
            self.merge_record(record);
        }
    }

    /// Schedules the record of a member for gossip.
    pub(super) fn enqueue_update(&mut self, name: String) {
        self.updates.insert(name, 0);
    }

    /// Raises this member's incarnation above the accused one and gossips it.
    pub(super) fn refute(&mut self, accused_incarnation: u32) {
        self.counts.refutations += 1;
        self.own.incarnation = self.own.incarnation.max(accused_incarnation) + 1;
        self.enqueue_update(self.own.name.clone());
    }

    /// Merges a record received from another member or produced here.
    pub(super) fn merge_record(&mut self, record: Record) {
        if record.name == self.own.name {
            return self.merge_own_record(&record);
        }
        let name = record.name.clone();
        if self.is_from_older_instance(&record) {
            // Report it to the member, which refutes it with a higher incarnation that all others accept.
            self.send_to(&name, Kind::Records, vec![record]);
            return;
        }
        self.apply_record(record);
        match self.members.get(&name).map(|m| m.record.state) {
            Some(State::Suspect) => self.suspects.insert(name),
            _ => self.suspects.remove(&name),
        };
    }

    fn apply_record(&mut self, record: Record) {
        let full = self.members.len() >= self.config.max_members;
        let now = self.now;
        let Some(member) = self.members.get_mut(&record.name) else {
            // Unknown members that are dead or have left, and those beyond the maximum, are not added.
            if !full && record.state <= State::Suspect {
                self.effects.push_back(Effect::Changed(Change::Member {
                    name: record.name.clone(),
                    previous: None,
                    state: record.state,
                    incarnation: record.incarnation,
                }));
                self.enqueue_update(record.name.clone());
                let accusers = if record.state == State::Suspect { vec![record.accuser] } else { Vec::new() };
                let name = record.name.clone();
                let member = Member {
                    record,
                    since: now,
                    accusers,
                    link: Link::Good,
                    consecutive_indirect_answers: 0,
                    last_received_at: None,
                };
                self.members.insert(name, member);
                self.inputs_changed = true;
            }
            return;
        };
        let (known_precedence, precedence) = (member.record.precedence(), record.precedence());
        // The metadata version of a process only grows, whichever liveness state takes precedence.
        let newer_metadata = (record.incarnation, record.metadata_version)
            > (member.record.incarnation, member.record.metadata_version);
        if newer_metadata && record.instance_id == member.record.instance_id {
            (member.record.demand, member.record.cuts) = (record.demand, record.cuts.clone());
            member.record.metadata_version = record.metadata_version;
            self.inputs_changed = true;
            if precedence <= known_precedence {
                self.updates.insert(record.name.clone(), 0);
            }
        }
        if precedence > known_precedence {
            let previous = member.record.state;
            let suspected_again = previous == State::Suspect && record.state == State::Suspect;
            let known_metadata =
                (member.record.demand, member.record.cuts.clone(), member.record.metadata_version);
            let same_instance = member.record.instance_id == record.instance_id;
            member.record = record;
            if same_instance && !newer_metadata {
                (member.record.demand, member.record.cuts, member.record.metadata_version) = known_metadata;
            }
            if member.record.state != previous || suspected_again {
                member.since = now;
            }
            member.accusers.clear();
            if member.record.state == State::Suspect {
                member.accusers.push(member.record.accuser);
            }
            if member.record.state > State::Suspect {
                member.link = Link::Good;
            }
            self.inputs_changed |= previous != member.record.state;
            let (name, state, incarnation) =
                (member.record.name.clone(), member.record.state, member.record.incarnation);
            if previous != state {
                self.effects.push_back(Effect::Changed(Change::Member {
                    name: name.clone(),
                    previous: Some(previous),
                    state,
                    incarnation,
                }));
            }
            self.enqueue_update(name);
        } else if precedence == known_precedence && record.state == State::Suspect {
            // A further accuser confirms the suspicion; it is gossiped as long as it shortens the time-out.
            if !member.accusers.contains(&record.accuser) && member.accusers.len() <= MAX_CONFIRMATIONS {
                member.accusers.push(record.accuser);
                member.record.accuser = record.accuser;
                self.enqueue_update(record.name);
            }
        }
    }
}
