//! What is told of the sites: to operators at `/v1/sites`, and to the log.

use super::*;

/// What it costs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Counts {
    /// Datagrams and octets of summaries and of witnesses' words sent, and taken.
    pub sent: (u64, u64),
    /// See `sent`.
    pub taken: (u64, u64),
    /// Datagrams that could not be read.
    pub unread: u64,
    /// Engines probed.
    pub probes: u64,
    /// Microseconds spent on looks and on what was heard.
    pub spent: u64,
}

/// A site, as `/v1/sites` tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SiteStatus {
    /// Its name.
    pub name: String,
    /// `whole`, `doubtful`, `partly-lost`, `cut-off`, `lost` or `returning`.
    pub state: String,
    /// Since when, microseconds since the Unix epoch.
    pub since: u64,
    /// By what evidence.
    pub why: String,
    /// For how long it would have to answer after a loss, microseconds.
    pub held_back: u64,
    /// The part of what its engines can do that this gateway may take; `None`: nothing holds it back.
    pub turn: Option<f64>,
}

/// A change of a site's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteChange {
    /// When, microseconds since the Unix epoch.
    pub at: u64,
    /// The site.
    pub site: String,
    /// The state before.
    pub was: String,
    /// The state.
    pub state: String,
    /// By what evidence.
    pub why: String,
}

/// One class of one site's clients in a forecast, requests a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForecastLine {
    /// Whose clients.
    pub site: String,
    /// The class.
    pub class: String,
    /// Asked for.
    pub asked: f64,
    /// Served in time.
    pub served: f64,
    /// The least and the most of it, as demand varies.
    pub range: (f64, f64),
    /// Let in and ended too late.
    pub wasted: f64,
    /// By neighbour: served, and core seconds a second there.
    pub at: Vec<(String, f64, f64)>,
}

/// What a loss would cost, or was thought to cost when it came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// When it was made, microseconds since the Unix epoch.
    pub at: u64,
    /// Sites of which engines are lost.
    pub lost: Vec<String>,
    /// Worth a second asked for, served, and the range of that.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// See `asked`.
    pub range: (f64, f64),
    /// Core seconds a second that are left.
    pub room: f64,
    /// Worth a second that each site's own clients lose.
    pub displaced: Vec<(String, f64)>,
    /// The first one is kept first, the last one refused first.
    pub lines: Vec<ForecastLine>,
}

/// What `/v1/sites` tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SitesStatus {
    /// This gateway and its site.
    pub name: String,
    /// See `name`.
    pub site: String,
    /// What follows from a loss is done, not only told.
    pub acts: bool,
    /// All sites.
    pub sites: Vec<SiteStatus>,
    /// The least share of the fleet that a loss gives this gateway, and the share in force.
    pub share: (Option<f64>, f64),
    /// Parts of requests that are let in, by class: of own clients and of guests. Empty: all.
    pub keep: BTreeMap<String, (f64, f64)>,
    /// For the loss of each site, what it would cost.
    pub projected: Vec<Forecast>,
    /// What the present limits opened with, or the last ones did.
    pub opening: Option<Forecast>,
    /// The last changes of states.
    pub changes: Vec<SiteChange>,
    /// Gateways of which summaries are known.
    pub origins: usize,
    /// What it costs.
    pub counts: Counts,
}

impl std::fmt::Display for SitesStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for s in &self.sites {
            write!(f, "\nsite {:<12} {:<12} {}", s.name, s.state, s.why)?;
        }
        for (class, (own, guests)) in &self.keep {
            write!(f, "\nlet in of {class}: {own:.3} of own clients, {guests:.3} of guests")?;
        }
        for p in &self.projected {
            let part = if p.asked > 0.0 { p.served / p.asked } else { 1.0 };
            write!(f, "\nwithout {}: {:.1}% of the worth would be kept", p.lost.join(", "), part * 100.0)?;
        }
        Ok(())
    }
}

impl Outage {
    pub(super) fn forecast(&self, host: &Host, p: &Projection, at: u64) -> Forecast {
        let lost = p.loss.engines.iter().enumerate().filter(|(_, left)| **left < 1.0);
        let lost = lost.map(|(site, _)| self.name(site)).collect();
        let class = |n: usize| host.config.names.classes.get(n).cloned().unwrap_or_default();
        let line = |l: &violetward_site::projection::Line| ForecastLine {
            site: self.name(l.site),
            class: class(l.class),
            asked: l.asked,
            served: l.served,
            range: l.range,
            wasted: l.wasted,
            at: l.parts.iter().map(|p| (self.name(p.site), p.served, p.work)).collect(),
        };
        Forecast {
            at,
            lost,
            asked: p.asked,
            served: p.served,
            range: p.range,
            room: p.room,
            displaced: p.displaced.iter().enumerate().map(|(site, &d)| (self.name(site), d)).collect(),
            lines: p.lines.iter().map(line).collect(),
        }
    }

    /// What is known.
    pub fn status(&self, host: &Rc<Host>) -> SitesStatus {
        let (now, inner) = (host.now(), self.inner.borrow());
        let row = |site: usize| {
            let (state, since, why) =
                inner.watch.state(site).unwrap_or((State::Whole, now, Default::default()));
            SiteStatus {
                name: self.name(site),
                state: state.word().into(),
                since,
                why: why.to_string(),
                held_back: inner.watch.held_back(site),
                turn: inner.act.turn(now, site),
            }
        };
        let all = 0..self.terms.sites.len();
        let classes = host.config.names.classes.iter().enumerate();
        let part = |kept: &Vec<f64>, n: usize| kept.get(n).copied().unwrap_or(1.0);
        let keep = classes.map(|(n, c)| (c.clone(), (part(&inner.keep[0], n), part(&inner.keep[1], n))));
        let project = |site: usize| Some(self.forecast(host, &inner.act.project(now, &Loss::of(site))?, now));
        SitesStatus {
            name: inner.own.origin().to_owned(),
            site: self.name(self.terms.own_site),
            acts: self.terms.enforce,
            sites: all.clone().map(row).collect(),
            share: (self.least.get(), self.effective_share(self.peers.standing_and_share().1)),
            keep: if inner.keep[0].is_empty() { BTreeMap::new() } else { keep.collect() },
            projected: all.filter_map(project).collect(),
            opening: inner.opening.clone(),
            changes: inner.changes.iter().cloned().collect(),
            origins: inner.digest.origin_count(),
            counts: inner.counts,
        }
    }
}

/// Asks a gateway how the sites stand.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn fetch_status(address: SocketAddr) -> Result<SitesStatus, String> {
    crate::fetch::get_json(address, "/v1/sites").await
}
