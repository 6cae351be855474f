//! Probes: one member after another, helpers beside a probe that stays unanswered, local health.

use super::*;

impl Membership {
    pub(super) fn start_probe(&mut self) {
        if self.probe_order.is_empty() {
            self.probe_order = self.living_members().map(|m| m.record.name.clone()).collect();
            for i in (1..self.probe_order.len()).rev() {
                let j = (draw(&mut self.rng) % (i as u64 + 1)) as usize;
                self.probe_order.swap(i, j);
            }
        }
        while let Some(target) = self.probe_order.pop() {
            if self.member_state(&target).is_some_and(|s| s <= State::Suspect) {
                self.last_probe_number = self.last_probe_number.wrapping_add(1);
                let number = self.last_probe_number;
                let began = self.now;
                self.probe = Some(Probe { number, target, began, round: 0, next: began, helped: false });
                self.run_probe_round();
                return;
            }
        }
        self.probe = None;
    }

    /// The next round of the probe that is out, or its end.
    pub(super) fn continue_probe(&mut self) {
        if self.probe.as_ref().is_some_and(|p| p.next <= self.now) {
            self.run_probe_round();
        }
    }

    fn run_probe_round(&mut self) {
        let rounds = if self.config.plain_swim { 2 } else { PROBE_ROUNDS };
        let span = self.scaled_period();
        let Some(probe) = &mut self.probe else { return };
        if probe.round >= rounds {
            return self.probe_failed();
        }
        let (number, target, round) = (probe.number, probe.target.clone(), probe.round);
        probe.round += 1;
        probe.next = probe.began + span * u64::from(probe.round) / u64::from(rounds);
        let bad = self.members.get(&target).is_some_and(|m| m.link != Link::Good);
        // The one that is suspected hears of it from everybody who asks it.
        let about = self.members.get(&target).map(|m| m.record.clone());
        let about = about.filter(|r| r.state == State::Suspect).into_iter().collect();
        if round == 0 || !self.config.plain_swim {
            self.send_to(&target, Kind::Ping(number), about);
        }
        // A link that is known to be bad is not waited for.
        if round > 0 || (bad && !self.config.plain_swim) {
            for helper in self.random_members(PROBE_HELPERS, &target) {
                self.send_to(&helper, Kind::ProbeRequest(number, target.clone()), Vec::new());
            }
        }
    }

    /// Some members that live, others than one.
    pub(super) fn random_members(&mut self, n: usize, not: &str) -> Vec<String> {
        let mut names: Vec<String> = self
            .living_members()
            .filter(|m| m.record.name != not && m.link == Link::Good)
            .map(|m| m.record.name.clone())
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < n && !names.is_empty() {
            let at = (draw(&mut self.rng) % names.len() as u64) as usize;
            chosen.push(names.swap_remove(at));
        }
        chosen
    }

    fn probe_failed(&mut self) {
        let Some(probe) = self.probe.take() else { return };
        self.counts.failed_probes += 1;
        if !self.config.plain_swim {
            // No answer, and nobody who was asked said a word: the fault may well be here.
            self.health_penalty =
                (self.health_penalty + if probe.helped { 0 } else { 1 }).min(MAX_HEALTH_PENALTY);
            if self.paused_at.is_some() || self.standing != Standing::Whole {
                return;
            }
        }
        let me = mark(&self.own.name);
        let Some(member) = self.members.get(&probe.target) else { return };
        let record = Record { accuser: me, state: State::Suspect, ..member.record.clone() };
        if member.record.state <= State::Suspect {
            self.counts.suspicions += 1;
            self.merge_record(record);
        }
    }

    pub(super) fn probe_succeeded(&mut self, number: u32, direct: bool, hears: bool) {
        let Some(probe) = self.probe.take_if(|p| p.number == number) else { return };
        self.health_penalty = self.health_penalty.saturating_sub(1);
        self.record_answer();
        let mut changed = None;
        if let Some(member) = self.members.get_mut(&probe.target) {
            let link = match (direct, hears) {
                (true, _) => Link::Good,
                // It heard this one's own ping, but its answer came only by another's hand.
                (false, true) => Link::Inbound,
                (false, false) => Link::Outbound,
            };
            // One slow answer is no cut: two indirect ones in a row are.
            member.indirect = if direct { 0 } else { member.indirect + 1 };
            let certain = direct || member.indirect > 1;
            if certain && std::mem::replace(&mut member.link, link) != link {
                changed = Some(link);
            }
        }
        if let Some(link) = changed.filter(|_| !self.config.plain_swim) {
            self.effects.push_back(Effect::Changed(Change::Link(probe.target, link)));
        }
    }

    pub(super) fn record_answer(&mut self) {
        self.last_answered_at = self.now;
        self.paused_at = None;
        self.update_standing();
    }
}
