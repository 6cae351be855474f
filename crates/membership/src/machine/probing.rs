//! Probing of the members in turn, with helpers for unanswered probes, and the local health penalty.

use super::*;

impl Membership {
    /// Probes the next member. Each cycle covers all living members in a random order.
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
                let started_at = self.now;
                self.probe = Some(Probe {
                    number,
                    target,
                    started_at,
                    round: 0,
                    next_round_at: started_at,
                    helper_responded: false,
                });
                self.run_probe_round();
                return;
            }
        }
        self.probe = None;
    }

    /// Runs the next round of the current probe if it is due, or ends the probe.
    pub(super) fn continue_probe(&mut self) {
        if self.probe.as_ref().is_some_and(|p| p.next_round_at <= self.now) {
            self.run_probe_round();
        }
    }

    fn run_probe_round(&mut self) {
        let rounds = if self.config.plain_swim { 2 } else { PROBE_ROUNDS };
        let interval = self.scaled_period();
        let Some(probe) = &mut self.probe else { return };
        if probe.round >= rounds {
            return self.probe_failed();
        }
        let (number, target, round) = (probe.number, probe.target.clone(), probe.round);
        probe.round += 1;
        probe.next_round_at = probe.started_at + interval * u64::from(probe.round) / u64::from(rounds);
        let link_bad = self.members.get(&target).is_some_and(|m| m.link != Link::Good);
        // Every probe tells a suspected member of the suspicion, so that it can refute it.
        let suspicion = self.members.get(&target).map(|m| m.record.clone());
        let suspicion = suspicion.filter(|r| r.state == State::Suspect).into_iter().collect();
        if round == 0 || !self.config.plain_swim {
            self.send_to(&target, Kind::Ping(number), suspicion);
        }
        // Over a link known to be bad, helpers are asked in the first round already.
        if round > 0 || (link_bad && !self.config.plain_swim) {
            for helper in self.random_members(PROBE_HELPERS, &target) {
                self.send_to(&helper, Kind::ProbeRequest(number, target.clone()), Vec::new());
            }
        }
    }

    /// Up to `n` random living members with good links, without the excluded one.
    pub(super) fn random_members(&mut self, n: usize, excluded: &str) -> Vec<String> {
        let mut names: Vec<String> = self
            .living_members()
            .filter(|m| m.record.name != excluded && m.link == Link::Good)
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
            // Neither the target nor any helper answered, so the fault may be local.
            self.health_penalty =
                (self.health_penalty + if probe.helper_responded { 0 } else { 1 }).min(MAX_HEALTH_PENALTY);
            if self.paused_at.is_some() || self.standing != Standing::Whole {
                return;
            }
        }
        let accuser = name_hash(&self.own.name);
        let Some(member) = self.members.get(&probe.target) else { return };
        let record = Record { accuser, state: State::Suspect, ..member.record.clone() };
        if member.record.state <= State::Suspect {
            self.counts.suspicions += 1;
            self.merge_record(record);
        }
    }

    /// Ends the probe on an answer of the target, received directly or through a helper. `heard` tells
    /// whether the target recently received a datagram directly from this member.
    pub(super) fn probe_succeeded(&mut self, number: u32, direct: bool, heard: bool) {
        let Some(probe) = self.probe.take_if(|p| p.number == number) else { return };
        self.health_penalty = self.health_penalty.saturating_sub(1);
        self.record_answer();
        let mut new_link = None;
        if let Some(member) = self.members.get_mut(&probe.target) {
            let link = match (direct, heard) {
                (true, _) => Link::Good,
                // The target received the ping, but its answer arrived only through a helper.
                (false, true) => Link::Inbound,
                (false, false) => Link::Outbound,
            };
            // A single indirect answer may be due to delay; two in a row show that the link is cut.
            member.consecutive_indirect_answers =
                if direct { 0 } else { member.consecutive_indirect_answers + 1 };
            let conclusive = direct || member.consecutive_indirect_answers > 1;
            if conclusive && std::mem::replace(&mut member.link, link) != link {
                new_link = Some(link);
            }
        }
        if let Some(link) = new_link.filter(|_| !self.config.plain_swim) {
            self.effects.push_back(Effect::Changed(Change::Link(probe.target, link)));
        }
    }

    /// Notes that another member has answered, which ends the caution after a pause.
    pub(super) fn record_answer(&mut self) {
        self.last_answered_at = self.now;
        self.paused_at = None;
        self.update_standing();
    }
}
