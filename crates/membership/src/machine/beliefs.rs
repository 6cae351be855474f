//! What is believed of others: suspicion, death, and records that are told.

use super::*;

impl Membership {
    /// The time of suspicion with so many accusers.
    pub(super) fn suspicion(&self, accusers: usize) -> Micros {
        let n = self.known.living as usize;
        let least = SUSPICION.0 * (n as f64).log10().max(1.0) * self.terms.period as f64;
        if self.terms.plain {
            return least as Micros;
        }
        let most = least * SUSPICION.1;
        let k = ACCUSERS.min(n.saturating_sub(2));
        if k == 0 {
            return least as Micros;
        }
        let part = (accusers as f64).ln() / (k as f64 + 1.0).ln();
        (most - (most - least) * part).max(least) as Micros
    }

    pub(super) fn death(&self, member: &Member) -> Option<Micros> {
        let suspect = member.record.state == State::Suspect;
        // Nobody is given up by one that has not been answered since it stood still.
        suspect.then(|| member.since + self.suspicion(member.accusers.len().max(1)))
    }

    pub(super) fn deaths(&mut self) {
        if self.asleep.is_some()
            || (!self.terms.plain && matches!(self.standing, Standing::CutOff | Standing::Unheard))
        {
            return;
        }
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        let over = suspects.filter(|m| self.death(m).is_some_and(|at| at <= self.now));
        let over: Vec<Record> = over
            .map(|m| Record { state: State::Dead, by: name_hash(&self.me.name), ..m.record.clone() })
            .collect();
        for record in over {
            self.counts.declared += 1;
            self.merge(record);
        }
    }

    pub(super) fn spread(&mut self, name: String) {
        self.news.insert(name, 0);
    }

    pub(super) fn refute(&mut self, accused: u32) {
        self.counts.refuted += 1;
        self.me.incarnation = self.me.incarnation.max(accused) + 1;
        self.spread(self.me.name.clone());
    }

    /// Takes in what somebody tells of a member.
    pub(super) fn merge(&mut self, record: Record) {
        if record.name == self.me.name {
            return self.told_of_me(&record);
        }
        let name = record.name.clone();
        if self.is_of_another(&record) {
            // It is told, and counts up: everybody believes that.
            self.send_to(&name, Kind::News, vec![record]);
            return;
        }
        self.believe(record);
        match self.members.get(&name).map(|m| m.record.state) {
            Some(State::Suspect) => self.suspects.insert(name),
            _ => self.suspects.remove(&name),
        };
    }

    fn believe(&mut self, record: Record) {
        let full = self.members.len() >= self.terms.most;
        let now = self.now;
        let Some(member) = self.members.get_mut(&record.name) else {
            // A name that nobody vouches for any more is not worth a place; nor is one beyond the bound.
            if !full && record.state <= State::Suspect {
                self.effects.push_back(Effect::Told(Change::Member {
                    name: record.name.clone(),
                    was: None,
                    state: record.state,
                    incarnation: record.incarnation,
                }));
                self.spread(record.name.clone());
                let accusers = if record.state == State::Suspect { vec![record.by] } else { Vec::new() };
                let name = record.name.clone();
                let member =
                    Member { record, since: now, accusers, link: Link::Good, indirect: 0, heard: None };
                self.members.insert(name, member);
                self.changed = true;
            }
            return;
        };
        let (old, new) = (member.record.rank(), record.rank());
        // What it tells of itself beyond its life only grows, whatever is believed of that.
        let newer = (record.incarnation, record.beat) > (member.record.incarnation, member.record.beat);
        if newer && record.life == member.record.life {
            (member.record.demand, member.record.cuts) = (record.demand, record.cuts.clone());
            member.record.beat = record.beat;
            self.changed = true;
            if new <= old {
                self.news.insert(record.name.clone(), 0);
            }
        }
        if new > old {
            let was = member.record.state;
            let again = was == State::Suspect && record.state == State::Suspect;
            let kept = (member.record.demand, member.record.cuts.clone(), member.record.beat);
            let same_life = member.record.life == record.life;
            member.record = record;
            if same_life && !newer {
                (member.record.demand, member.record.cuts, member.record.beat) = kept;
            }
            if member.record.state != was || again {
                member.since = now;
            }
            member.accusers.clear();
            if member.record.state == State::Suspect {
                member.accusers.push(member.record.by);
            }
            if member.record.state > State::Suspect {
                member.link = Link::Good;
            }
            self.changed |= was != member.record.state;
            let (name, state, incarnation) =
                (member.record.name.clone(), member.record.state, member.record.incarnation);
            if was != state {
                self.effects.push_back(Effect::Told(Change::Member {
                    name: name.clone(),
                    was: Some(was),
                    state,
                    incarnation,
                }));
            }
            self.spread(name);
        } else if new == old && record.state == State::Suspect {
            // Somebody else got no answer either: the time of suspicion shrinks, and that is news while it does.
            if !member.accusers.contains(&record.by) && member.accusers.len() <= ACCUSERS {
                member.accusers.push(record.by);
                member.record.by = record.by;
                self.spread(record.name);
            }
        }
    }
}
