//! Status of the sites for operators at `/v1/sites` and for the log.

use super::*;

/// Costs of monitoring the sites.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Counts {
    /// Datagrams sent to other gateways, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams received from other gateways, and their bytes.
    pub taken: (u64, u64),
    /// Malformed datagrams.
    pub unread: u64,
    /// Probes of engines.
    pub probes: u64,
    /// Time spent on updates and on received messages, in microseconds.
    pub spent: u64,
}

/// A site in the answer of `/v1/sites`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SiteStatus {
    /// Name of the site.
    pub name: String,
    /// `whole`, `doubtful`, `partly-lost`, `cut-off`, `lost` or `returning`.
    pub state: String,
    /// Time of the last change of state, in microseconds since the Unix epoch.
    pub since: u64,
    /// The evidence for the state.
    pub why: String,
    /// How long the site would have to answer after a loss before it counts as returning, in microseconds.
    pub held_back: u64,
    /// Part of the capacity of its engines that this gateway may use; `None` without a limit.
    pub turn: Option<f64>,
}

/// A change of a site's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteChange {
    /// Time of the change, in microseconds since the Unix epoch.
    pub at: u64,
    /// Name of the site.
    pub site: String,
    /// The previous state.
    pub was: String,
    /// The new state.
    pub state: String,
    /// The evidence for the state.
    pub why: String,
}

/// Forecast for one class of the clients of one site, in requests per second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForecastLine {
    /// Site of the clients.
    pub site: String,
    /// The class.
    pub class: String,
    /// Requests received.
    pub asked: f64,
    /// Requests served in time.
    pub served: f64,
    /// Lower and upper bound of `served` as demand varies.
    pub range: (f64, f64),
    /// Requests admitted but ended too late.
    pub wasted: f64,
    /// By site that serves them: requests served, and core seconds per second used there.
    pub at: Vec<(String, f64, f64)>,
}

/// Forecast of the effect of a loss, made for a possible loss or when a loss began.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// Time at which it was made, in microseconds since the Unix epoch.
    pub at: u64,
    /// Sites that lose engines.
    pub lost: Vec<String>,
    /// Worth of the received requests per second.
    pub asked: f64,
    /// Worth of the served requests per second.
    pub served: f64,
    /// Lower and upper bound of `served` as demand varies.
    pub range: (f64, f64),
    /// Remaining capacity in core seconds per second.
    pub room: f64,
    /// Worth per second that the clients of each site lose.
    pub displaced: Vec<(String, f64)>,
    /// Classes and sites in the order in which they are kept; the last one is refused first.
    pub lines: Vec<ForecastLine>,
}

/// The answer of `/v1/sites`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SitesStatus {
    /// Name of this gateway.
    pub name: String,
    /// Site of this gateway.
    pub site: String,
    /// Whether shares and limits are applied, and not only reported.
    pub acts: bool,
    /// All sites.
    pub sites: Vec<SiteStatus>,
    /// Minimum share of the fleet that a loss gives this gateway, and the share in force.
    pub share: (Option<f64>, f64),
    /// Admitted parts of requests by class: of the site's own clients, and of guests. Empty if all are
    /// admitted.
    pub keep: BTreeMap<String, (f64, f64)>,
    /// Forecasts of the loss of each site.
    pub projected: Vec<Forecast>,
    /// Forecast with which the current or last limits began.
    pub opening: Option<Forecast>,
    /// The latest changes of states.
    pub changes: Vec<SiteChange>,
    /// Number of gateways whose summaries are known.
    pub origins: usize,
    /// Costs of monitoring the sites.
    pub counts: Counts,
}

impl std::fmt::Display for SitesStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for s in &self.sites {
            write!(f, "\nsite {:<12} {:<12} {}", s.name, s.state, s.why)?;
        }
        for (class, (own, guests)) in &self.keep {
            write!(f, "\nadmitted of {class}: {own:.3} of own clients, {guests:.3} of guests")?;
        }
        for p in &self.projected {
            let part = if p.asked > 0.0 { p.served / p.asked } else { 1.0 };
            write!(f, "\nwithout {}: {:.1}% of the worth would be served", p.lost.join(", "), part * 100.0)?;
        }
        Ok(())
    }
}

impl SiteMonitor {
    pub(super) fn forecast(&self, host: &Host, p: &Projection, at: u64) -> Forecast {
        let lost = p.loss.engines.iter().enumerate().filter(|(_, left)| **left < 1.0);
        let lost = lost.map(|(site, _)| self.site_name(site)).collect();
        let class = |n: usize| host.config.names.classes.get(n).cloned().unwrap_or_default();
        let line = |l: &violetward_site::projection::Line| ForecastLine {
            site: self.site_name(l.site),
            class: class(l.class),
            asked: l.asked,
            served: l.served,
            range: l.range,
            wasted: l.wasted,
            at: l.parts.iter().map(|p| (self.site_name(p.site), p.served, p.work)).collect(),
        };
        Forecast {
            at,
            lost,
            asked: p.asked,
            served: p.served,
            range: p.range,
            room: p.room,
            displaced: p.displaced.iter().enumerate().map(|(site, &d)| (self.site_name(site), d)).collect(),
            lines: p.lines.iter().map(line).collect(),
        }
    }

    /// The answer of `/v1/sites`.
    pub fn status(&self, host: &Rc<Host>) -> SitesStatus {
        let (now, inner) = (host.now(), self.inner.borrow());
        let row = |site: usize| {
            let (state, since, why) =
                inner.watch.state(site).unwrap_or((State::Whole, now, Default::default()));
            SiteStatus {
                name: self.site_name(site),
                state: state.word().into(),
                since,
                why: why.to_string(),
                held_back: inner.watch.held_back(site),
                turn: inner.act.turn(now, site),
            }
        };
        let sites = 0..self.terms.sites.len();
        let classes = host.config.names.classes.iter().enumerate();
        let admitted_part = |parts: &Vec<f64>, n: usize| parts.get(n).copied().unwrap_or(1.0);
        let keep = classes.map(|(n, c)| {
            (c.clone(), (admitted_part(&inner.admitted[0], n), admitted_part(&inner.admitted[1], n)))
        });
        let project = |site: usize| Some(self.forecast(host, &inner.act.project(now, &Loss::of(site))?, now));
        SitesStatus {
            name: inner.own_pages.origin().to_owned(),
            site: self.site_name(self.terms.own_site),
            acts: self.terms.enforce,
            sites: sites.clone().map(row).collect(),
            share: (self.min_share.get(), self.effective_share(self.peers.standing_and_share().1)),
            keep: if inner.admitted[0].is_empty() { BTreeMap::new() } else { keep.collect() },
            projected: sites.filter_map(project).collect(),
            opening: inner.opening.clone(),
            changes: inner.changes.iter().cloned().collect(),
            origins: inner.digest.origin_count(),
            counts: inner.counts,
        }
    }
}

/// Fetches the status of the sites from a gateway.
///
/// # Errors
/// If the gateway does not answer, or answers something else.
pub async fn fetch_status(address: SocketAddr) -> Result<SitesStatus, String> {
    crate::fetch::get_json(address, "/v1/sites").await
}
