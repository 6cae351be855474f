//! The standing of this member and its share of the fleet.

use super::*;

impl Membership {
    /// Recomputes the standing and the share, and reports changes.
    pub(super) fn update_standing(&mut self) {
        let timeout = ISOLATION_PERIODS * self.config.probe_interval;
        let expects_others = self.config.configured_gateways > 1
            || self.members.values().any(|m| m.record.state != State::Left);
        let standing = if self.name_taken {
            Standing::Doubled
        } else if self.paused_at.is_some() {
            Standing::Waking
        } else if !self.announced {
            Standing::Joining
        } else if expects_others && self.now >= self.last_received_at + timeout {
            Standing::CutOff
        } else if expects_others
            && self.now >= self.last_answered_at + timeout
            && self.living_members().next().is_some()
        {
            Standing::Unheard
        } else if expects_others && self.living_members().next().is_none() {
            // All others are dead, or this member is alone on its side of a partition.
            Standing::CutOff
        } else {
            Standing::Whole
        };
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.effects.push_back(Effect::Changed(Change::Standing(standing)));
        }
        if std::mem::take(&mut self.inputs_changed) {
            let living = self.living_members().count() as u32 + 1;
            let left = self.members.values().filter(|m| m.record.state == State::Left).count();
            let own_demand = self.own.demand.total();
            let total_demand: f64 =
                own_demand + self.living_members().map(|m| m.record.demand.total()).sum::<f64>();
            let members = (self.members.len() + 1 - left) as u32;
            self.share_inputs = ShareInputs {
                members,
                living,
                load: (total_demand > 0.0).then(|| own_demand / total_demand),
                ..self.share_inputs
            };
        }
        self.share_inputs.standing = standing;
        let inputs = self.share_inputs;
        let share = self.share.update(self.now, &inputs);
        // A decrease is reported at once, an increase only if it is significant.
        if share < self.announced_share || share > self.announced_share * SHARE_REPORT_FACTOR {
            self.announced_share = share;
            self.effects.push_back(Effect::Share(share));
        }
    }
}
