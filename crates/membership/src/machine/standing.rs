//! Where this member stands, and its share.

use super::*;

impl Membership {
    pub(super) fn restand(&mut self) {
        let alone = ALONE * self.terms.period;
        let others = self.terms.fleet > 1 || self.members.values().any(|m| m.record.state != State::Left);
        let standing = if self.doubled {
            Standing::Doubled
        } else if self.asleep.is_some() {
            Standing::Waking
        } else if !self.announced {
            Standing::Joining
        } else if others && self.now >= self.heard + alone {
            Standing::CutOff
        } else if others && self.now >= self.answered + alone && self.living().next().is_some() {
            Standing::Unheard
        } else if others && self.living().next().is_none() {
            // Everybody is dead, or this one is alone on its side.
            Standing::CutOff
        } else {
            Standing::Whole
        };
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.effects.push_back(Effect::Told(Change::Standing(standing)));
        }
        if std::mem::take(&mut self.changed) {
            let living = self.living().count() as u32 + 1;
            let gone = self.members.values().filter(|m| m.record.state == State::Left).count();
            let mine = self.me.demand.total();
            let all: f64 = mine + self.living().map(|m| m.record.demand.total()).sum::<f64>();
            let members = (self.members.len() + 1 - gone) as u32;
            self.known = Known { members, living, load: (all > 0.0).then(|| mine / all), ..self.known };
        }
        self.known.standing = standing;
        let known = self.known;
        let share = self.share.next(self.now, &known);
        // Narrowing is told at once, widening in steps worth telling.
        if share < self.told_share || share > self.told_share * 1.02 {
            self.told_share = share;
            self.effects.push_back(Effect::Share(share));
        }
    }
}
