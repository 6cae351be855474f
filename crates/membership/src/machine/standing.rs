//! Where this member stands, and its share.

use super::*;

impl Membership {
    pub(super) fn update_standing(&mut self) {
        let alone = ISOLATION_PERIODS * self.config.probe_interval;
        let others = self.config.configured_gateways > 1
            || self.members.values().any(|m| m.record.state != State::Left);
        let standing = if self.name_taken {
            Standing::Doubled
        } else if self.paused_at.is_some() {
            Standing::Waking
        } else if !self.announced {
            Standing::Joining
        } else if others && self.now >= self.last_received_at + alone {
            Standing::CutOff
        } else if others
            && self.now >= self.last_answered_at + alone
            && self.living_members().next().is_some()
        {
            Standing::Unheard
        } else if others && self.living_members().next().is_none() {
            // Everybody is dead, or this one is alone on its side.
            Standing::CutOff
        } else {
            Standing::Whole
        };
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.effects.push_back(Effect::Changed(Change::Standing(standing)));
        }
        if std::mem::take(&mut self.inputs_changed) {
            let living = self.living_members().count() as u32 + 1;
            let gone = self.members.values().filter(|m| m.record.state == State::Left).count();
            let mine = self.own.demand.total();
            let all: f64 = mine + self.living_members().map(|m| m.record.demand.total()).sum::<f64>();
            let members = (self.members.len() + 1 - gone) as u32;
            self.share_inputs =
                ShareInputs { members, living, load: (all > 0.0).then(|| mine / all), ..self.share_inputs };
        }
        self.share_inputs.standing = standing;
        let known = self.share_inputs;
        let share = self.share.next(self.now, &known);
        // Narrowing is told at once, widening in steps worth telling.
        if share < self.announced_share || share > self.announced_share * 1.02 {
            self.announced_share = share;
            self.effects.push_back(Effect::Share(share));
        }
    }
}
