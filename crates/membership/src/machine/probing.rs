//! Probes: one member after another, helpers beside a probe that stays unanswered, local health.

use super::*;

impl Membership {
    pub(super) fn begin(&mut self) {
        if self.order.is_empty() {
            self.order = self.living().map(|m| m.record.name.clone()).collect();
            for i in (1..self.order.len()).rev() {
                let j = (draw(&mut self.dice) % (i as u64 + 1)) as usize;
                self.order.swap(i, j);
            }
        }
        while let Some(target) = self.order.pop() {
            if self.state(&target).is_some_and(|s| s <= State::Suspect) {
                self.probes = self.probes.wrapping_add(1);
                let number = self.probes;
                let began = self.now;
                self.probe = Some(Probe { number, target, began, round: 0, next: began, helped: false });
                self.round();
                return;
            }
        }
        self.probe = None;
    }

    /// The next round of the probe that is out, or its end.
    pub(super) fn go_on(&mut self) {
        if self.probe.as_ref().is_some_and(|p| p.next <= self.now) {
            self.round();
        }
    }

    fn round(&mut self) {
        let rounds = if self.terms.plain { 2 } else { ROUNDS };
        let span = self.span();
        let Some(probe) = &mut self.probe else { return };
        if probe.round >= rounds {
            return self.failed();
        }
        let (number, target, round) = (probe.number, probe.target.clone(), probe.round);
        probe.round += 1;
        probe.next = probe.began + span * u64::from(probe.round) / u64::from(rounds);
        let bad = self.members.get(&target).is_some_and(|m| m.link != Link::Good);
        // The one that is suspected hears of it from everybody who asks it.
        let about = self.members.get(&target).map(|m| m.record.clone());
        let about = about.filter(|r| r.state == State::Suspect).into_iter().collect();
        if round == 0 || !self.terms.plain {
            self.send_to(&target, Kind::Ping(number), about);
        }
        // A link that is known to be bad is not waited for.
        if round > 0 || (bad && !self.terms.plain) {
            for helper in self.some(HELPERS, &target) {
                self.send_to(&helper, Kind::Ask(number, target.clone()), Vec::new());
            }
        }
    }

    /// Some members that live, others than one.
    pub(super) fn some(&mut self, n: usize, not: &str) -> Vec<String> {
        let mut names: Vec<String> = self
            .living()
            .filter(|m| m.record.name != not && m.link == Link::Good)
            .map(|m| m.record.name.clone())
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < n && !names.is_empty() {
            let at = (draw(&mut self.dice) % names.len() as u64) as usize;
            chosen.push(names.swap_remove(at));
        }
        chosen
    }

    fn failed(&mut self) {
        let Some(probe) = self.probe.take() else { return };
        self.counts.failed += 1;
        if !self.terms.plain {
            // No answer, and nobody who was asked said a word: the fault may well be here.
            self.ill = (self.ill + if probe.helped { 0 } else { 1 }).min(ILL);
            if self.asleep.is_some() || self.standing != Standing::Whole {
                return;
            }
        }
        let me = name_hash(&self.me.name);
        let Some(member) = self.members.get(&probe.target) else { return };
        let record = Record { by: me, state: State::Suspect, ..member.record.clone() };
        if member.record.state <= State::Suspect {
            self.counts.suspected += 1;
            self.merge(record);
        }
    }

    pub(super) fn succeeded(&mut self, number: u32, direct: bool, hears: bool) {
        let Some(probe) = self.probe.take_if(|p| p.number == number) else { return };
        self.ill = self.ill.saturating_sub(1);
        self.was_answered();
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
        if let Some(link) = changed.filter(|_| !self.terms.plain) {
            self.effects.push_back(Effect::Told(Change::Link(probe.target, link)));
        }
    }

    pub(super) fn was_answered(&mut self) {
        self.answered = self.now;
        self.asleep = None;
        self.restand();
    }
}
