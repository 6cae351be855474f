//! What is known of the fleet: this gateway's summaries, and what all together say.

use super::*;

impl Outage {
    /// Summaries of what this one sees, in turn to each other gateway; and what all say together.
    pub(super) fn summaries(
        &self,
        host: &Rc<Host>,
        inner: &mut Inner,
        now: Micros,
        said: &mut Vec<(String, Vec<u8>)>,
    ) {
        if now >= inner.spread.next_poll_at() {
            let live = |s: &violetward_membership::MemberView| s.record.state <= Lives::Suspect;
            let members =
                || self.peers.seen().into_iter().filter(live).map(|s| s.record.name).collect::<Vec<_>>();
            let sums = self.sums(host, inner);
            let out = inner.spread.poll(now, members, || sums, &mut inner.own, &mut inner.digest);
            for (to, pages) in out {
                let mut bytes = vec![SAID, PAGES_SAID];
                bytes.extend(pages);
                inner.counts.sent = (inner.counts.sent.0 + 1, inner.counts.sent.1 + bytes.len() as u64);
                said.push((to, bytes));
            }
        }
        if now >= inner.knew + self.terms.gossip.round_interval {
            inner.knew = now;
            // What one gateway says in all counts for twice the median of all at most.
            let mut told: BTreeMap<String, f64> = BTreeMap::new();
            for page in inner.digest.pages() {
                *told.entry(page.origin().to_owned()).or_default() +=
                    page.cells().map(|c| c.1.demand).sum::<f64>();
            }
            inner.digest.set_max_demand_per_origin(bound_of(&told.values().copied().collect::<Vec<_>>()));
            if let Some(known) = self.known(host, inner, now) {
                inner.act.know(known);
            }
        }
    }

    /// This gateway's cells: demand by class and its clients' site, k by class and the engines' site, ways by site.
    fn sums(&self, host: &Rc<Host>, inner: &Inner) -> Vec<(DigestCell, Summary)> {
        let (rates, costs) = host.with_core_deferred(|core, _| match core.observations() {
            Some(s) => (s.rates().collect::<Vec<_>>(), s.costs().collect::<Vec<_>>()),
            None => Default::default(),
        });
        let place = |n: usize| u16::try_from(n).ok();
        let mut cells: Vec<(DigestCell, Summary)> = Vec::new();
        for ((class, site), tally) in rates {
            let cell = DigestCell { site: place(site), ..DigestCell::for_class(class as u16) };
            cells.push((cell, Summary { demand: tally.work, ..Summary::default() }));
        }
        let mut by_site: BTreeMap<(usize, usize), Cost> = BTreeMap::new();
        for ((class, engine), cost) in costs {
            let Some(e) = inner.engines.get(&engine) else { continue };
            let sum = by_site.entry((class, e.site)).or_default();
            *sum = sum.plus(cost);
        }
        for ((class, site), cost) in by_site {
            let cell = DigestCell { zone: place(site), ..DigestCell::for_class(class as u16) };
            cells.push((
                cell,
                Summary {
                    cost_ratio: cost.actual / cost.estimated,
                    cost_weight: cost.estimated,
                    ..Summary::default()
                },
            ));
        }
        for site in 0..self.terms.sites.len() {
            let ways: Vec<f64> =
                inner.engines.values().filter(|e| e.site == site).filter_map(|e| e.way).collect();
            if !ways.is_empty() {
                let crossing = ways.iter().sum::<f64>() / ways.len() as f64;
                let own = place(self.terms.own_site);
                let cell = DigestCell { zone: place(site), site: own, ..DigestCell::for_class(NO_CLASS) };
                cells.push((cell, Summary { round_trip_us: crossing, ..Summary::default() }));
            }
        }
        cells
    }

    /// What is known of the fleet: from summaries, the list and what this gateway measures itself.
    fn known(&self, host: &Rc<Host>, inner: &Inner, now: Micros) -> Option<Known> {
        let settings = &host.config.settings;
        let sights = host.with_core_deferred(|core, _| {
            let s = core.observations()?;
            Some((s.rates().collect::<Vec<_>>(), s.costs().collect::<Vec<_>>()))
        });
        let (rates, costs) = sights?;
        let view = inner.digest.aggregate(now);
        let fleet = k_of(&view, settings.classes.len());
        let mut mean = Vec::new();
        let mut traits = Vec::new();
        for (n, class) in settings.classes.iter().enumerate() {
            let own = rates
                .iter()
                .filter(|r| r.0 .0 == n)
                .fold((0.0, 0.0, 0.0), |s, (_, t)| (s.0 + t.requests, s.1 + t.work, s.2 + t.squares));
            let threads = f64::from(class.threads.max(1));
            // Of what was never asked for here a quarter of the aim is a guess.
            let work =
                if own.1 > 0.0 { own.1 / own.0 / 1e3 } else { class.latency_target as f64 / 4e6 * threads };
            let spread = if own.1 > 0.0 { (own.2 * own.0 / (own.1 * own.1)).max(1.0) } else { 1.0 };
            let cost =
                costs.iter().filter(|c| c.0 .0 == n).fold(Cost::default(), |sum, (_, cost)| sum.plus(*cost));
            // True work, so that one whose clients estimate otherwise reckons what others do.
            let work = work * if cost.estimated > 0.0 { cost.actual / cost.estimated } else { fleet[n] };
            mean.push(work);
            traits.push(Traits {
                aim: class.latency_target + (class.target_stretch.max(0.0) * work / threads * 1e6) as Micros,
                late_worth: class.late_worth,
                attempts: 1.0,
                spread,
                error: cost.log_ratio_deviation(),
            });
        }
        let (mut demand, mut k, mut crossing) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        for (cell, says) in &view {
            let (class, site, at) =
                (usize::from(cell.class), cell.site.map(usize::from), cell.zone.map(usize::from));
            let is_there = |n: usize| n < self.terms.sites.len();
            match (site, at) {
                (Some(from), Some(to)) if cell.class == NO_CLASS && is_there(from) && is_there(to) => {
                    crossing.insert((from, to), says.round_trip_us as Micros);
                }
                (Some(site), None) if class < mean.len() && is_there(site) && says.demand > 0.0 => {
                    let rate = says.demand / 1e3 * fleet[class] / mean[class];
                    // Of the mean over that span; what it varies by beyond Poisson's is not told.
                    let deviation = (rate / (self.terms.demand_window as f64 / 1e6)).sqrt();
                    demand.push(Demand { site, class, mean: rate, deviation, bursts: 1.0 });
                }
                (None, Some(at)) if class < mean.len() && is_there(at) && says.cost_ratio > 0.0 => {
                    k.insert((class, at), says.cost_ratio / fleet[class]);
                }
                _ => {}
            }
        }
        let mut rooms: BTreeMap<(usize, usize), u32> = BTreeMap::new();
        for e in inner.engines.values().filter(|e| !e.drained) {
            *rooms.entry((e.site, e.kind)).or_default() += 1;
        }
        // Without a list nothing is known of what could be served: it may not have been read yet.
        if rooms.is_empty() {
            return None;
        }
        let names = &host.config.names;
        let classes = settings.classes.iter().enumerate().map(|(n, c)| Class {
            name: names.classes.get(n).cloned().unwrap_or_default(),
            worth: c.worth,
            work: mean[n],
            threads: f64::from(c.threads.max(1)),
            memory_mb: 0.0,
            kinds: c.kinds.as_ref().map(|kinds| kinds.iter().map(|k| k.0).collect()),
            sites: c.zones.as_ref().map(|zones| {
                let fits =
                    |site: &usize| inner.engines.values().any(|e| e.site == *site && zones.contains(&e.zone));
                (0..self.terms.sites.len()).filter(fits).collect()
            }),
            bound: false,
        });
        let kinds = settings.kinds.iter().enumerate().map(|(n, kind)| Kind {
            name: names.kinds.get(n).cloned().unwrap_or_default(),
            cores: kind.cores,
            memory_mb: kind.memory_mb,
        });
        Some(Known {
            sites: self.terms.sites.iter().map(|s| (s.name.clone(), s.gateways)).collect(),
            kinds: kinds.collect(),
            rooms: rooms.into_iter().map(|((site, kind), engines)| Room { site, kind, engines }).collect(),
            classes: classes.collect(),
            traits,
            demand,
            k,
            crossing,
            connections: BTreeMap::new(),
            cold: BTreeMap::new(),
            fill: self.terms.max_utilization,
        })
    }
}

/// The k of each class over all sites, weighted by what it was learned from; 1 where nothing was.
fn k_of(view: &BTreeMap<DigestCell, CellAggregate>, classes: usize) -> Vec<f64> {
    let mut sums = vec![(0.0, 0.0); classes];
    for (cell, says) in view.iter().filter(|(cell, says)| cell.zone.is_some() && says.cost_ratio > 0.0) {
        if let Some((sum, weight)) = sums.get_mut(usize::from(cell.class)) {
            (*sum, *weight) = (*sum + says.cost_ratio * says.cost_weight, *weight + says.cost_weight);
        }
    }
    sums.into_iter().map(|(sum, weight)| if weight > 0.0 { sum / weight } else { 1.0 }).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_k_of_a_class_is_that_of_its_sites_by_weight_and_one_where_nothing_was_learned() {
        let cell = |class, zone| DigestCell { zone, ..DigestCell::for_class(class) };
        let says = |k, weight| CellAggregate {
            demand: 0.0,
            cost_ratio: k,
            cost_weight: weight,
            headroom: 0.0,
            round_trip_us: 0.0,
            origins: 1,
            age: 0,
        };
        let view = [
            (cell(0, Some(0)), says(0.5, 30.0)),
            (cell(0, Some(1)), says(2.0, 10.0)),
            (cell(0, None), says(9.0, 90.0)),
            (cell(NO_CLASS, Some(0)), says(9.0, 90.0)),
        ];
        let k = k_of(&view.into_iter().collect(), 2);
        assert!((k[0] - 0.875).abs() < 1e-9 && k[1] == 1.0, "{k:?}");
    }
}
