//! What is believed of others: suspicion, death, and records that are told.

use super::*;

impl Membership {
    /// The time of suspicion with so many accusers.
    pub(super) fn suspicion_timeout(&self, accusers: usize) -> Micros {
        let n = self.share_inputs.living as usize;
        let least = SUSPICION_MIN_PERIODS * (n as f64).log10().max(1.0) * self.config.probe_interval as f64;
        if self.config.plain_swim {
            return least as Micros;
        }
        let most = least * SUSPICION_MAX_FACTOR;
        let k = MAX_CONFIRMATIONS.min(n.saturating_sub(2));
        if k == 0 {
            return least as Micros;
        }
        let part = (accusers as f64).ln() / (k as f64 + 1.0).ln();
        (most - (most - least) * part).max(least) as Micros
    }

    pub(super) fn suspicion_deadline(&self, member: &Member) -> Option<Micros> {
        let suspect = member.record.state == State::Suspect;
        // Nobody is given up by one that has not been answered since it stood still.
        suspect.then(|| member.since + self.suspicion_timeout(member.accusers.len().max(1)))
    }

    pub(super) fn declare_expired_suspects(&mut self) {
        if self.paused_at.is_some()
            || (!self.config.plain_swim && matches!(self.standing, Standing::CutOff | Standing::Unheard))
        {
            return;
        }
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        let over = suspects.filter(|m| self.suspicion_deadline(m).is_some_and(|at| at <= self.now));
        let over: Vec<Record> = over
            .map(|m| Record { state: State::Dead, accuser: mark(&self.own.name), ..m.record.clone() })
            .collect();
        for record in over {
            self.counts.declared_dead += 1;
            self.merge_record(record);
        }
    }

    pub(super) fn enqueue_update(&mut self, name: String) {
        self.updates.insert(name, 0);
    }

    pub(super) fn refute(&mut self, accused: u32) {
        self.counts.refutations += 1;
        self.own.incarnation = self.own.incarnation.max(accused) + 1;
        self.enqueue_update(self.own.name.clone());
    }

    /// Takes in what somebody tells of a member.
    pub(super) fn merge_record(&mut self, record: Record) {
        if record.name == self.own.name {
            return self.merge_own_record(&record);
        }
        let name = record.name.clone();
        if self.is_from_older_instance(&record) {
            // It is told, and counts up: everybody believes that.
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
            // A name that nobody vouches for any more is not worth a place; nor is one beyond the bound.
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
                let member =
                    Member { record, since: now, accusers, link: Link::Good, indirect: 0, heard: None };
                self.members.insert(name, member);
                self.inputs_changed = true;
            }
            return;
        };
        let (old, new) = (member.record.precedence(), record.precedence());
        // What it tells of itself beyond its instance_id only grows, whatever is believed of that.
        let newer = (record.incarnation, record.metadata_version)
            > (member.record.incarnation, member.record.metadata_version);
        if newer && record.instance_id == member.record.instance_id {
            (member.record.demand, member.record.cuts) = (record.demand, record.cuts.clone());
            member.record.metadata_version = record.metadata_version;
            self.inputs_changed = true;
            if new <= old {
                self.updates.insert(record.name.clone(), 0);
            }
        }
        if new > old {
            let was = member.record.state;
            let again = was == State::Suspect && record.state == State::Suspect;
            let kept = (member.record.demand, member.record.cuts.clone(), member.record.metadata_version);
            let same_life = member.record.instance_id == record.instance_id;
            member.record = record;
            if same_life && !newer {
                (member.record.demand, member.record.cuts, member.record.metadata_version) = kept;
            }
            if member.record.state != was || again {
                member.since = now;
            }
            member.accusers.clear();
            if member.record.state == State::Suspect {
                member.accusers.push(member.record.accuser);
            }
            if member.record.state > State::Suspect {
                member.link = Link::Good;
            }
            self.inputs_changed |= was != member.record.state;
            let (name, state, incarnation) =
                (member.record.name.clone(), member.record.state, member.record.incarnation);
            if was != state {
                self.effects.push_back(Effect::Changed(Change::Member {
                    name: name.clone(),
                    previous: Some(was),
                    state,
                    incarnation,
                }));
            }
            self.enqueue_update(name);
        } else if new == old && record.state == State::Suspect {
            // Somebody else got no answer either: the time of suspicion shrinks, and that is news while it does.
            if !member.accusers.contains(&record.accuser) && member.accusers.len() <= MAX_CONFIRMATIONS {
                member.accusers.push(record.accuser);
                member.record.accuser = record.accuser;
                self.enqueue_update(record.name);
            }
        }
    }
}
