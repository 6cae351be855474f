//! Knowledge of the fleet: the summaries of this gateway, and the sum of those of all gateways.

use super::*;

impl SiteMonitor {
    /// Sends this gateway's summaries to other gateways in turn, and updates the knowledge that projections
    /// use.
    pub(super) fn exchange_summaries(
        &self,
        host: &Rc<Host>,
        inner: &mut Inner,
        now: Micros,
        messages: &mut Vec<(String, Vec<u8>)>,
    ) {
        if now >= inner.gossip.next_poll_at() {
            let is_live = |s: &violetward_membership::MemberView| s.record.state <= MemberState::Suspect;
            let members = || {
                self.peers.members().into_iter().filter(is_live).map(|s| s.record.name).collect::<Vec<_>>()
            };
            let summaries = self.own_summaries(host, inner);
            let out = inner.gossip.poll(now, members, || summaries, &mut inner.own_pages, &mut inner.digest);
            for (to, pages) in out {
                let mut bytes = vec![MESSAGE_TAG, SUMMARIES_MESSAGE];
                bytes.extend(pages);
                inner.counts.sent = (inner.counts.sent.0 + 1, inner.counts.sent.1 + bytes.len() as u64);
                messages.push((to, bytes));
            }
        }
        if now >= inner.last_knowledge_update + self.terms.gossip.round_interval {
            inner.last_knowledge_update = now;
            // The total demand that one gateway announces counts for at most twice the median of all
            // gateways.
            let mut announced: BTreeMap<String, f64> = BTreeMap::new();
            for page in inner.digest.pages() {
                *announced.entry(page.origin().to_owned()).or_default() +=
                    page.cells().map(|c| c.1.demand).sum::<f64>();
            }
            inner
                .digest
                .set_max_demand_per_origin(bound_of(&announced.values().copied().collect::<Vec<_>>()));
            if let Some(known) = self.fleet_knowledge(host, inner, now) {
                inner.act.know(known);
            }
        }
    }

    /// This gateway's summaries: demand by class and site of the clients, ratio of actual to estimated cost
    /// by class and site of the engines, and round trip time by site.
    fn own_summaries(&self, host: &Rc<Host>, inner: &Inner) -> Vec<(DigestCell, Summary)> {
        let (rates, costs) = host.with_core_deferred(|core, _| match core.observations() {
            Some(s) => (s.rates().collect::<Vec<_>>(), s.costs().collect::<Vec<_>>()),
            None => Default::default(),
        });
        let site_id = |n: usize| u16::try_from(n).ok();
        let mut cells: Vec<(DigestCell, Summary)> = Vec::new();
        for ((class, site), rate) in rates {
            let cell = DigestCell { site: site_id(site), ..DigestCell::for_class(class as u16) };
            cells.push((cell, Summary { demand: rate.work, ..Summary::default() }));
        }
        let mut by_site: BTreeMap<(usize, usize), Cost> = BTreeMap::new();
        for ((class, engine), cost) in costs {
            let Some(e) = inner.engines.get(&engine) else { continue };
            let sum = by_site.entry((class, e.site)).or_default();
            *sum = sum.plus(cost);
        }
        for ((class, site), cost) in by_site {
            let cell = DigestCell { zone: site_id(site), ..DigestCell::for_class(class as u16) };
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
            let round_trips: Vec<f64> =
                inner.engines.values().filter(|e| e.site == site).filter_map(|e| e.round_trip_us).collect();
            if !round_trips.is_empty() {
                let mean = round_trips.iter().sum::<f64>() / round_trips.len() as f64;
                let own = site_id(self.terms.own_site);
                let cell = DigestCell { zone: site_id(site), site: own, ..DigestCell::for_class(NO_CLASS) };
                cells.push((cell, Summary { round_trip_us: mean, ..Summary::default() }));
            }
        }
        cells
    }

    /// Knowledge of the fleet from summaries, the engine list and this gateway's own measurements. `None` if
    /// it does not suffice for a projection.
    fn fleet_knowledge(&self, host: &Rc<Host>, inner: &Inner, now: Micros) -> Option<Known> {
        let settings = &host.config.settings;
        let observed = host.with_core_deferred(|core, _| {
            let observations = core.observations()?;
            Some((observations.rates().collect::<Vec<_>>(), observations.costs().collect::<Vec<_>>()))
        });
        let (rates, costs) = observed?;
        let view = inner.digest.aggregate(now);
        let class_ratios = cost_ratios(&view, settings.classes.len());
        let mut mean_work = Vec::new();
        let mut traits = Vec::new();
        for (n, class) in settings.classes.iter().enumerate() {
            let (requests, work_sum, work_squares) = rates
                .iter()
                .filter(|r| r.0 .0 == n)
                .fold((0.0, 0.0, 0.0), |s, (_, t)| (s.0 + t.requests, s.1 + t.work, s.2 + t.squares));
            let threads = f64::from(class.threads.max(1));
            // A class that was never requested here is assumed to take a quarter of its target response time.
            let work = if work_sum > 0.0 {
                work_sum / requests / 1e3
            } else {
                class.latency_target as f64 / 4e6 * threads
            };
            let spread =
                if work_sum > 0.0 { (work_squares * requests / (work_sum * work_sum)).max(1.0) } else { 1.0 };
            let cost =
                costs.iter().filter(|c| c.0 .0 == n).fold(Cost::default(), |sum, (_, cost)| sum.plus(*cost));
            // Actual work, so that gateways whose clients estimate differently compute the same.
            let work =
                work * if cost.estimated > 0.0 { cost.actual / cost.estimated } else { class_ratios[n] };
            mean_work.push(work);
            traits.push(Traits {
                aim: class.latency_target + (class.target_stretch.max(0.0) * work / threads * 1e6) as Micros,
                late_worth: class.late_worth,
                attempts: 1.0,
                spread,
                error: cost.log_ratio_deviation(),
            });
        }
        let (mut demand, mut ratios, mut round_trips) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        for (cell, aggregate) in &view {
            let (class, client_site, engine_site) =
                (usize::from(cell.class), cell.site.map(usize::from), cell.zone.map(usize::from));
            let is_site = |n: usize| n < self.terms.sites.len();
            match (client_site, engine_site) {
                (Some(from), Some(to)) if cell.class == NO_CLASS && is_site(from) && is_site(to) => {
                    round_trips.insert((from, to), aggregate.round_trip_us as Micros);
                }
                (Some(site), None) if class < mean_work.len() && is_site(site) && aggregate.demand > 0.0 => {
                    let rate = aggregate.demand / 1e3 * class_ratios[class] / mean_work[class];
                    // Deviation of the mean over the averaging window for Poisson arrivals. Summaries do not
                    // tell how far arrivals deviate from that.
                    let deviation = (rate / (self.terms.demand_window as f64 / 1e6)).sqrt();
                    demand.push(Demand { site, class, mean: rate, deviation, bursts: 1.0 });
                }
                (None, Some(site))
                    if class < mean_work.len() && is_site(site) && aggregate.cost_ratio > 0.0 =>
                {
                    ratios.insert((class, site), aggregate.cost_ratio / class_ratios[class]);
                }
                _ => {}
            }
        }
        let mut rooms: BTreeMap<(usize, usize), u32> = BTreeMap::new();
        for e in inner.engines.values().filter(|e| !e.drained) {
            *rooms.entry((e.site, e.kind)).or_default() += 1;
        }
        // Without an engine list, which may not have been read yet, the capacity is unknown.
        if rooms.is_empty() {
            return None;
        }
        let names = &host.config.names;
        let classes = settings.classes.iter().enumerate().map(|(n, c)| Class {
            name: names.classes.get(n).cloned().unwrap_or_default(),
            worth: c.worth,
            work: mean_work[n],
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
            k: ratios,
            crossing: round_trips,
            connections: BTreeMap::new(),
            cold: BTreeMap::new(),
            fill: self.terms.max_utilization,
        })
    }
}

/// Ratio of actual to estimated cost of each class over all sites, weighted by the cost it was learned from;
/// 1 without data.
fn cost_ratios(view: &BTreeMap<DigestCell, CellAggregate>, classes: usize) -> Vec<f64> {
    let mut sums = vec![(0.0, 0.0); classes];
    let has_ratio =
        |(cell, aggregate): &(&DigestCell, &CellAggregate)| cell.zone.is_some() && aggregate.cost_ratio > 0.0;
    for (cell, aggregate) in view.iter().filter(has_ratio) {
        if let Some((sum, weight)) = sums.get_mut(usize::from(cell.class)) {
            *sum += aggregate.cost_ratio * aggregate.cost_weight;
            *weight += aggregate.cost_weight;
        }
    }
    sums.into_iter().map(|(sum, weight)| if weight > 0.0 { sum / weight } else { 1.0 }).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cost_ratio_of_a_class_is_the_weighted_mean_of_its_sites_or_one_without_data() {
        let cell = |class, zone| DigestCell { zone, ..DigestCell::for_class(class) };
        let aggregate = |cost_ratio, weight| CellAggregate {
            demand: 0.0,
            cost_ratio,
            cost_weight: weight,
            headroom: 0.0,
            round_trip_us: 0.0,
            origins: 1,
            age: 0,
        };
        let view = [
            (cell(0, Some(0)), aggregate(0.5, 30.0)),
            (cell(0, Some(1)), aggregate(2.0, 10.0)),
            (cell(0, None), aggregate(9.0, 90.0)),
            (cell(NO_CLASS, Some(0)), aggregate(9.0, 90.0)),
        ];
        let ratios = cost_ratios(&view.into_iter().collect(), 2);
        assert!((ratios[0] - 0.875).abs() < 1e-9 && ratios[1] == 1.0, "{ratios:?}");
    }
}
