//! What a gateway does about a lost site: events in, [`Effect`]s out.
//!
//! - **Opening.** When a site goes, the projection from what was known *before* it went says at once which classes of whom are
//!   refused in part ([`Limit`]) and which share this gateway takes. Nobody has to find that out by overload.
//! - **Steering.** Afterwards own evidence alone moves the limits, a step at a time, along the order of the projection: what
//!   earns least for its work is cut first, what earns most is let in first. Newer summaries are heeded only where own
//!   evidence says the same: a wrong one costs a step, not a collapse.
//! - **Return.** An engine that comes back is met with at most [`Act::turn`] of what it can do: `1/N` times the ramp, counted
//!   from this gateway's own sight of the return, which is never earlier than the return itself.
//!
//! **The invariant.** With `N` gateways configured and no more than that, the turns of all at a returning site add up to at
//! most what the ramp allows at that true time, and shares to at most `widest`, whatever each believes. *Argument:* each
//! part is capped by its own `1/N` (`widest/N`), so that no belief of others enters; a ramp that begins later is lower.

use std::collections::{BTreeMap, VecDeque};

use crate::projection::{Known, Learned, Loss, Projection};
use crate::state::{Change, Micros, State, Why};

/// What stays fixed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Gateways that the configuration names.
    pub gateways: u32,
    /// Sites.
    pub sites: usize,
    /// The most that all shares may add up to.
    pub widest: f64,
    /// What a cold engine can do at its start against a warm one, and the span over which it warms.
    pub cold_from: f64,
    /// See `cold_from`.
    pub cold_span: Micros,
    /// Waits, as a part of the aim, under which limits loosen and over which they tighten.
    pub low: f64,
    /// See `low`.
    pub high: f64,
    /// The part of all work asked for that limits move by in one step, and the time between two.
    pub step: f64,
    /// See `step`.
    pub every: Micros,
}

/// How much of a class is let in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// The clients' site and the class, by place.
    pub site: usize,
    /// See `site`.
    pub class: usize,
    /// The part that is let in, 0 to 1.
    pub keep: f64,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The share of the fleet is at least this; `None`: as membership says.
    Share(Option<f64>),
    /// These limits hold in place of earlier ones: the first is the last to be refused. Empty: none.
    Narrow(Vec<Limit>),
    /// Limits, share and turns are as before any loss.
    Settled,
}

struct Steered {
    limit: Limit,
    /// Work asked for.
    work: f64,
    guest: bool,
}

impl Steered {
    fn is_like(&self, other: &Steered) -> bool {
        (self.limit.class, self.guest) == (other.limit.class, other.guest)
    }
}

/// So many requests of a silent site's clients show that they come here.
const COME: u32 = 5;

/// Acts on losses. See the module's documentation.
pub struct Act {
    terms: Terms,
    known: Option<Known>,
    /// What came to be known since something is not whole.
    newer: Option<Known>,
    learned: Learned,
    sites: Vec<(State, Why, Micros)>,
    /// Requests of the clients of a site that came here while nothing was heard of it.
    came: Vec<u32>,
    steered: Vec<Steered>,
    opening: Option<Projection>,
    share: Option<f64>,
    moved: Micros,
    credit: BTreeMap<(usize, usize), f64>,
    effects: VecDeque<Effect>,
}

impl Act {
    /// Nothing is lost, nothing known.
    pub fn new(terms: Terms, learned: Learned, now: Micros) -> Act {
        Act {
            terms,
            known: None,
            newer: None,
            learned,
            sites: vec![(State::Whole, Why::default(), now); terms.sites],
            came: vec![0; terms.sites],
            steered: Vec::new(),
            opening: None,
            share: None,
            moved: now,
            credit: BTreeMap::new(),
            effects: VecDeque::new(),
        }
    }

    /// The next effect.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// What was learned of projections.
    pub fn learned(&mut self) -> &mut Learned {
        &mut self.learned
    }

    /// The projection that the present limits opened with.
    pub fn opening(&self) -> Option<&Projection> {
        self.opening.as_ref()
    }

    /// What is known now. While every site is whole it becomes what the next loss is met with; else it waits.
    pub fn know(&mut self, known: Known) {
        if self.sites.iter().all(|s| s.0 == State::Whole) {
            self.known = Some(known);
            self.newer = None;
        } else {
            self.newer = Some(known);
        }
    }

    /// The state of a site has changed.
    pub fn site(&mut self, now: Micros, change: Change) {
        if change.site >= self.sites.len() {
            return;
        }
        let was = self.loss();
        self.sites[change.site] = (change.state, change.why, now);
        if !is_silent(&self.sites[change.site]) {
            self.came[change.site] = 0;
        }
        self.turned(now, &was);
        self.settle(now);
    }

    /// Meets what is lost now and was not.
    fn turned(&mut self, now: Micros, was: &Loss) {
        let loss = self.loss();
        if loss == *was {
            return;
        }
        self.share(&loss);
        let at = |of: &[bool], site: usize| of.get(site).copied().unwrap_or(false);
        let goes = |site: usize| {
            let fewer = loss_of(&loss, site) < loss_of(was, site) - 1e-9;
            fewer || (at(&loss.guests, site) && !at(&was.guests, site))
        };
        if (0..self.terms.sites).any(goes) {
            self.open(now, &loss);
        }
    }

    /// What is lost. Engines that are away are of no use, whatever the site is called: for them nobody waits. Clients of a site
    /// of which nothing is heard are reckoned with once it is known to be dead, or once they have come here: until then it may
    /// be cut off, and they with it.
    fn loss(&self) -> Loss {
        let part = |s: &(State, Why, Micros)| match (s.0, s.1.engines) {
            (State::Lost | State::CutOff, _) => 0.0,
            (State::Whole, _) => 1.0,
            (_, (all, away)) if all + s.1.drained > 0 => {
                f64::from(all.saturating_sub(away)) / f64::from(all + s.1.drained)
            }
            _ => 1.0,
        };
        let dead = |s: &(State, Why, Micros)| {
            let gone = s.1.gateways.0 > 0 && s.1.gateways.0 == s.1.gateways.1;
            s.0 == State::Lost || (s.0 == State::PartlyLost && gone)
        };
        let both = || self.sites.iter().zip(self.came.iter().map(|&came| came >= COME));
        Loss {
            engines: self.sites.iter().map(part).collect(),
            guests: both().map(|(s, come)| dead(s) || (is_silent(s) && come)).collect(),
            absent: both().map(|(s, come)| is_silent(s) && !come).collect(),
        }
    }

    /// Sites whose gateways are gone leave their part to the others; one that may itself be cut off takes no more than its even part.
    fn share(&mut self, loss: &Loss) {
        let known = self.known.as_ref();
        let n = f64::from(self.terms.gateways.max(1));
        let gone: u32 = known.map_or(0, |k| {
            let of = |(at, _): &(usize, _)| loss.guests.get(*at).copied().unwrap_or(false);
            k.sites.iter().enumerate().filter(of).map(|(_, s)| s.1).sum()
        });
        let doubt = self.sites.iter().any(|s| is_silent(s) || (s.0.is_away() && s.1.own_doubt));
        let share = (gone > 0 && !doubt).then(|| {
            let left = f64::from(self.terms.gateways.saturating_sub(gone).max(1));
            (1.0 / left).min(self.terms.widest / n)
        });
        if std::mem::replace(&mut self.share, share) != share {
            self.effects.push_back(Effect::Share(share));
        }
    }

    /// Meets a loss with what was known before it.
    fn open(&mut self, now: Micros, loss: &Loss) {
        let Some(known) = self.known.as_ref() else { return };
        let projection = known.project(loss, &self.learned, now);
        let old = std::mem::take(&mut self.steered);
        for l in &projection.lines {
            // What ends late was let in as well: to refuse what would be wasted is the gain.
            let keep = if l.asked > 0.0 { (l.served / l.asked).clamp(0.0, 1.0) } else { 1.0 };
            let before = old.iter().find(|o| (o.limit.site, o.limit.class) == (l.site, l.class));
            // A further loss opens nothing that was shut.
            let keep = before.map_or(keep, |o| keep.min(o.limit.keep));
            let work = l.asked * known.classes[l.class].worth / l.density.max(1e-12);
            let guest = loss.guests.get(l.site).copied().unwrap_or(false);
            self.steered.push(Steered { limit: Limit { site: l.site, class: l.class, keep }, work, guest });
        }
        self.opening = Some(projection);
        self.moved = now;
        self.tell();
    }

    fn tell(&mut self) {
        self.effects.push_back(Effect::Narrow(self.steered.iter().map(|s| s.limit).collect()));
    }

    /// Own evidence: the wait that requests find at the engines that are left, as a part of the tightest aim.
    pub fn pressure(&mut self, now: Micros, wait: f64) {
        if self.steered.is_empty() || now < self.moved + self.terms.every {
            return;
        }
        let all: f64 = self.steered.iter().map(|s| s.work).sum();
        let mut step = all * self.terms.step;
        if wait > self.terms.high {
            self.moved = now;
            // What came to be known since the loss may say by how much: heeded as own evidence agrees.
            if let Some(newer) = self.newer.take() {
                let loss = self.loss();
                let kept = self.known.replace(newer);
                let p = self.known.as_ref().map(|k| k.project(&loss, &self.learned, now));
                self.known = kept;
                let lines = p.into_iter().flat_map(|p| p.lines);
                let wanted: f64 = lines
                    .map(|l| {
                        let part = if l.asked > 0.0 { l.served / l.asked } else { 1.0 };
                        let own =
                            self.steered.iter().find(|s| (s.limit.site, s.limit.class) == (l.site, l.class));
                        own.map_or(0.0, |s| (s.limit.keep - part).max(0.0) * s.work)
                    })
                    .sum();
                step = step.max(wanted.min(all * self.terms.step * 4.0));
            }
            // Clients that stand alike are refused alike.
            for like in self.steered.chunk_by_mut(Steered::is_like).collect::<Vec<_>>().into_iter().rev() {
                let kept: f64 = like.iter().map(|s| s.limit.keep * s.work).sum();
                let cut = step.min(kept);
                like.iter_mut().for_each(|s| s.limit.keep *= 1.0 - cut / kept.max(1e-12));
                step -= cut;
            }
            self.tell();
        } else if wait < self.terms.low && self.steered.iter().any(|s| s.limit.keep < 1.0) {
            self.moved = now;
            for like in self.steered.chunk_by_mut(Steered::is_like) {
                let shut: f64 = like.iter().map(|s| (1.0 - s.limit.keep) * s.work).sum();
                let more = step.min(shut);
                let part = if more < shut { more / shut } else { 1.0 };
                like.iter_mut().for_each(|s| s.limit.keep += (1.0 - s.limit.keep) * part);
                step -= more;
            }
            self.tell();
            self.settle(now);
        }
    }

    /// What was seen for a span of the present loss: by class and clients' site, requests asked for and served. What is projected
    /// is corrected by it from now on.
    pub fn seen(&mut self, now: Micros, span: Micros, rows: &[((usize, usize), f64, f64)]) {
        if let Some(opening) = &self.opening {
            opening.teach(&mut self.learned, now, span, rows);
        }
    }

    /// Ends the limits once nothing is lost and nothing is refused any more.
    fn settle(&mut self, _now: Micros) {
        let calm = |s: &(State, Why, Micros)| matches!(s.0, State::Whole | State::Doubtful);
        let open = self.steered.iter().all(|s| s.limit.keep >= 1.0);
        if self.sites.iter().all(calm) && open && self.opening.take().is_some() {
            self.steered.clear();
            self.credit.clear();
            if let Some(newer) = self.newer.take() {
                self.known = Some(newer);
            }
            self.effects.push_back(Effect::Settled);
        }
    }

    /// The part of what a site's engines can do that this gateway may take: `None` where nothing holds it back.
    pub fn turn(&self, now: Micros, site: usize) -> Option<f64> {
        let (state, _, since) = self.sites.get(site)?;
        let even = 1.0 / f64::from(self.terms.gateways.max(1));
        match state {
            State::Lost | State::CutOff => Some(0.0),
            State::Returning => {
                let part = now.saturating_sub(*since) as f64 / self.terms.cold_span.max(1) as f64;
                let ramp = self.terms.cold_from + (1.0 - self.terms.cold_from) * part.min(1.0);
                Some(even * ramp)
            }
            _ => None,
        }
    }

    /// What a loss would cost by what is known now; `None` before anything is.
    pub fn project(&self, now: Micros, loss: &Loss) -> Option<Projection> {
        Some(self.known.as_ref()?.project(loss, &self.learned, now))
    }

    /// The limits that hold.
    pub fn limits(&self) -> impl Iterator<Item = Limit> + '_ {
        self.steered.iter().map(|s| s.limit)
    }

    /// By class, the parts of requests that are let in: of a site's own clients, and of guests; of all others' clients where none
    /// are guests.
    pub fn parts(&self, classes: usize, own: usize) -> [Vec<f64>; 2] {
        let any = self.steered.iter().any(|s| s.guest && s.limit.site != own);
        let part = |class: usize, of: &dyn Fn(&Steered) -> bool| {
            let (kept, all) = self
                .steered
                .iter()
                .filter(|s| s.limit.class == class && of(s))
                .fold((0.0, 0.0), |(kept, all), s| (kept + s.limit.keep * s.work, all + s.work));
            if all > 0.0 {
                (kept / all).clamp(0.0, 1.0)
            } else {
                1.0
            }
        };
        let others = |s: &Steered| s.limit.site != own && (s.guest || !any);
        let by = |of: &dyn Fn(&Steered) -> bool| (0..classes).map(|class| part(class, of)).collect();
        [by(&|s: &Steered| s.limit.site == own), by(&others)]
    }

    /// Requests of a site's clients have come here.
    pub fn came(&mut self, now: Micros, site: usize, requests: u32) {
        if self.sites.get(site).is_some_and(is_silent) && self.came[site] < COME {
            let was = self.loss();
            self.came[site] = self.came[site].saturating_add(requests);
            self.turned(now, &was);
        }
    }

    /// Whether a request of a class is let in; `site` is its client's, where that is known. Of any run of requests of one line
    /// as many are let in as its part says, to within one.
    pub fn admit(&mut self, now: Micros, class: usize, site: Option<usize>) -> bool {
        site.iter().for_each(|&site| self.came(now, site, 1));
        let of = |s: &&Steered| s.limit.class == class && site.is_none_or(|at| at == s.limit.site);
        let (kept, all) = self
            .steered
            .iter()
            .filter(of)
            .fold((0.0, 0.0), |(kept, all), s| (kept + s.limit.keep * s.work, all + s.work));
        if all <= 0.0 || kept >= all * (1.0 - 1e-9) {
            return true;
        }
        let credit = self.credit.entry((class, site.unwrap_or(usize::MAX))).or_insert(0.5);
        *credit += kept / all;
        let admitted = *credit >= 1.0;
        *credit -= f64::from(u8::from(admitted));
        admitted
    }
}

/// Nothing of it is heard, and it is not known to be dead.
fn is_silent(s: &(State, Why, Micros)) -> bool {
    s.0 == State::CutOff || (s.0 == State::Doubtful && s.1.engines.0 > 0 && s.1.engines.0 == s.1.engines.1)
}

fn loss_of(loss: &Loss, site: usize) -> f64 {
    loss.engines.get(site).copied().unwrap_or(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sim::{measured, Setting};

    const S: Micros = 1_000_000;

    fn terms() -> Terms {
        let (low, high) = (0.3, 0.8);
        let (cold_from, cold_span) = (0.3, 8 * S);
        Terms {
            gateways: 6,
            sites: 3,
            widest: 2.0,
            cold_from,
            cold_span,
            low,
            high,
            step: 0.02,
            every: S / 2,
        }
    }

    fn act(load: f64) -> Act {
        let mut act = Act::new(terms(), Learned::new(S, 10), 0);
        act.know(measured(&Setting::usual(load)));
        act
    }

    fn change(site: usize, state: State, away: u32, gone: u32) -> Change {
        let why = Why { engines: (2, away), gateways: (2, gone), ..Why::default() };
        Change { site, was: State::Whole, state, why }
    }

    fn limits(act: &mut Act) -> Vec<Limit> {
        let mut last = Vec::new();
        while let Some(effect) = act.effect() {
            if let Effect::Narrow(limits) = effect {
                last = limits;
            }
        }
        last
    }

    fn keep(limits: &[Limit], site: usize, class: usize) -> f64 {
        limits.iter().find(|l| (l.site, l.class) == (site, class)).map_or(1.0, |l| l.keep)
    }

    #[test]
    fn a_loss_opens_with_shares_and_limits_at_once_and_own_clients_go_first() {
        let mut act = act(0.9);
        act.site(S, change(0, State::Lost, 2, 2));
        assert_eq!(act.effect(), Some(Effect::Share(Some(0.25))));
        let limits = limits(&mut act);
        assert!(keep(&limits, 1, 0) > 0.99 && keep(&limits, 1, 2) < 0.5, "{limits:?}");
        assert!(keep(&limits, 0, 2) <= keep(&limits, 1, 2) && keep(&limits, 0, 1) <= keep(&limits, 1, 1));
    }

    #[test]
    fn what_was_told_since_the_loss_is_not_what_it_is_met_with() {
        let mut act = act(0.3);
        act.site(S, change(0, State::Doubtful, 1, 0));
        act.know(measured(&Setting::usual(5.0)));
        act.site(2 * S, change(0, State::Lost, 2, 2));
        assert!(limits(&mut act).iter().all(|l| l.keep > 0.95));
    }

    #[test]
    fn a_site_that_may_only_be_cut_off_gives_no_share_and_its_clients_are_awaited_only_when_they_come() {
        let mut act = act(0.9);
        act.site(S, change(0, State::CutOff, 2, 2));
        let before = limits(&mut act);
        assert_eq!(act.share, None);
        assert!((0..COME).all(|_| act.admit(2 * S, 0, Some(0))));
        let after = limits(&mut act);
        assert!(!before.is_empty() && before.iter().all(|l| l.site != 0), "{before:?}");
        assert!(keep(&after, 1, 2) < 0.5 && act.share.is_none(), "{before:?} {after:?}");
    }

    #[test]
    fn shares_and_turns_stay_within_one_gateways_part_whatever_is_believed() {
        for seed in 0..50 {
            let mut dice = seed;
            let mut act = act(0.9);
            let mut now = 0;
            for _ in 0..200 {
                now += crate::sim::draw(&mut dice) % S;
                let all = [
                    State::Whole,
                    State::Doubtful,
                    State::PartlyLost,
                    State::CutOff,
                    State::Lost,
                    State::Returning,
                ];
                let mut pick = |n: u64| (crate::sim::draw(&mut dice) % n) as usize;
                let site = pick(3);
                act.site(now, change(site, all[pick(6)], pick(3) as u32, pick(3) as u32));
                while let Some(effect) = act.effect() {
                    match effect {
                        Effect::Share(Some(share)) => assert!(share <= 2.0 / 6.0 + 1e-12, "{share}"),
                        Effect::Narrow(limits) => {
                            assert!(limits.iter().all(|l| (0.0..=1.0).contains(&l.keep)))
                        }
                        _ => {}
                    }
                }
                for site in 0..3 {
                    assert!(act.turn(now, site).is_none_or(|t| t <= 1.0 / 6.0 + 1e-12));
                }
            }
        }
    }

    #[test]
    fn limits_follow_own_evidence_a_step_at_a_time_and_end_when_all_is_let_in() {
        let mut act = act(0.9);
        act.site(S, change(0, State::Lost, 2, 2));
        let opened = limits(&mut act);
        act.pressure(2 * S, 2.0);
        let tighter = limits(&mut act);
        assert!(keep(&tighter, 1, 2) < keep(&opened, 1, 2) && keep(&tighter, 1, 0) == keep(&opened, 1, 0));
        act.pressure(2 * S + 1, 2.0);
        assert!(act.effect().is_none(), "not before the last step can show");
        act.site(3 * S, change(0, State::Returning, 0, 0));
        act.site(12 * S, change(0, State::Whole, 0, 0));
        let mut settled = false;
        for n in 0..200 {
            act.pressure((13 + n) * S, 0.0);
            settled |= std::iter::from_fn(|| act.effect()).any(|e| e == Effect::Settled);
        }
        assert!(settled && act.admit(300 * S, 2, Some(0)));
    }

    #[test]
    fn a_lying_summary_is_heeded_a_step_at_most_and_only_with_own_evidence() {
        let mut act = act(0.6);
        act.site(S, change(0, State::Lost, 2, 2));
        let opened = limits(&mut act);
        act.know(measured(&Setting::usual(6.0)));
        act.pressure(2 * S, 0.5);
        assert!(limits(&mut act).is_empty());
        act.pressure(3 * S, 1.0);
        let after = limits(&mut act);
        let work = |limits: &[Limit]| -> f64 { (0..3).map(|class| keep(limits, 1, class)).sum() };
        assert!(work(&opened) - work(&after) < 1.0, "{opened:?} {after:?}");
    }

    #[test]
    fn as_many_are_let_in_as_the_limit_says() {
        let mut act = act(0.9);
        act.site(S, change(0, State::Lost, 2, 2));
        let part = keep(&limits(&mut act), 1, 2);
        let n = (0..1_000).filter(|_| act.admit(2 * S, 2, Some(1))).count() as f64;
        assert!((n - part * 1_000.0).abs() <= 1.0, "{n} of {part}");
    }
}
