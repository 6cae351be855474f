//! What a gateway is told, as plain data: no syntax, no I/O. The configuration is read into it ([`crate::config`]).

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use violetward::{Micros, Settings};

/// All that `violetward serve` needs to know.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Where statements are taken.
    pub listen: SocketAddr,
    /// The file that lists the engines.
    pub engines: PathBuf,
    /// The name of the zone, if that file is a zone's master file; else it holds S-expressions.
    pub origin: Option<violetward_dns::name::Name>,
    /// Where that zone is served and updated by DNS messages, and the keys of updates.
    pub zone_server: Option<(SocketAddr, Vec<violetward_dns::tsig::Key>)>,
    /// A notebook kernel beside the statement API, if one is wanted.
    pub kernel: Option<KernelConfig>,
    /// The other gateways, where this one is to know of them.
    pub peers: Option<PeerTerms>,
    /// Settings on which the gateways agree, where they are to.
    pub agreement: Option<AgreementTerms>,
    /// Windows of maintenance, where they are held.
    pub windows: Option<WindowTerms>,
    /// Statements that outlive their gateway, where some are to.
    pub custody: Option<CustodyTerms>,
    /// The sites and how their loss is met, where that is wanted.
    pub sites: Option<SiteTerms>,
    /// How the host carries things out.
    pub host: HostLimits,
    /// Sessions that live on one engine.
    pub sessions: SessionTerms,
    /// How a statement's class and estimates are read.
    pub selection: Selection,
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of classes, kinds, tenants and zones, in the order of their numbers.
    pub names: Names,
    /// Rule 3: nothing new to an engine later than this after it was told gone.
    pub drain_grace: Duration,
}

/// Membership among gateways; see `docs/membership.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerTerms {
    /// Where datagrams are taken.
    pub listen: SocketAddr,
    /// Where others reach that, if not there.
    pub advertise: Option<SocketAddr>,
    /// This gateway's name, the same after a restart.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Where members may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// Where to send what is for a member, in place of the address that it tells.
    pub address_overrides: std::collections::BTreeMap<String, SocketAddr>,
    /// The keys: the first signs, all are believed.
    pub keys: violetward_membership::Keys,
    /// The file that they came from; it is watched.
    pub key_file: Option<PathBuf>,
    /// Between two probes.
    pub probe_interval: Duration,
    /// Members that are known at once.
    pub max_members: usize,
    /// What all shares may add up to at most, and how much of an even share one widens by in a second.
    pub max_total_share: f64,
    /// See `widest`.
    pub share_growth_per_s: f64,
}

/// Agreement on settings; see `docs/agreement.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct AgreementTerms {
    /// This gateway's name, as membership has it.
    pub name: String,
    /// The names of the gateways that vote.
    pub voters: Vec<String>,
    /// Where votes are kept.
    pub folder: PathBuf,
    /// How long a lease lasts.
    pub lease: Duration,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift_ppm: u64,
    /// The longest time from the last look at the lease to the end of what is sent on it.
    pub lease_check_margin: Duration,
    /// What every version has to allow: classes, and engines that they may go to.
    pub floor: (Vec<String>, Vec<String>),
    /// How long the first lease is waited for before clients are served without one.
    pub startup_wait: Duration,
    /// Names and secrets of the keys that sign proposals.
    pub operator_keys: Vec<(String, String)>,
    /// A mark of how windows are judged, where they are held.
    pub windows_fingerprint: Option<u64>,
}

/// Windows of maintenance; see `docs/windows.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowTerms {
    /// Where profiles of demand are kept.
    pub folder: PathBuf,
    /// How what remains is judged.
    pub cover: violetward_windows::cover::Terms,
    /// What a window takes beyond its own span.
    pub margins: violetward_windows::find::Margins,
    /// How old what is known of the fleet may be.
    pub max_fleet_age: Duration,
    /// Between two samples of demand, and how profiles learn from them.
    pub sample_interval: Duration,
    /// See `sample`.
    pub profile: violetward_windows::profile::Terms,
}

impl WindowTerms {
    /// A mark of what gateways must have in common.
    pub fn fingerprint(&self) -> u64 {
        fnv1a(&format!("{:?}", (self.cover, self.margins)))
    }
}

impl AgreementTerms {
    /// A mark of all that gateways must have in common.
    pub fn fingerprint(&self) -> u64 {
        let (mut classes, mut engines) = self.floor.clone();
        classes.sort();
        engines.sort();
        let common = (&self.voters, self.lease, self.drift_ppm, self.lease_check_margin, classes, engines);
        match self.windows_fingerprint {
            None => fnv1a(&format!("{common:?}")),
            Some(windows) => fnv1a(&format!("{common:?} {windows}")),
        }
    }

    /// The bound *T* in microseconds.
    pub fn switch_bound_micros(&self) -> u64 {
        let terms = violetward_agreement::Terms {
            me: 0,
            voters: self.voters.len() as u16,
            votes: false,
            lease: micros(self.lease),
            drift: self.drift_ppm,
            check: micros(self.lease_check_margin),
            plant: violetward_agreement::Plant::None,
        };
        terms.bound()
    }
}

/// Sessions that live on one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SessionTerms {
    /// Bounds.
    pub limits: violetward_session::table::Limits,
    /// Statements of open transactions that go before new work, for one engine at once; what ends a transaction always does.
    pub transaction_reserve: u32,
    /// Keys that sign what clients carry; without them sessions end with this process.
    pub keys: Option<violetward_session::token::Keys>,
    /// The file that the keys came from; it is watched.
    pub key_file: Option<PathBuf>,
}

/// Names behind the module's numbers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones, this gateway's first.
    pub zones: Vec<String>,
}

/// Bounds and spans of the host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostLimits {
    /// How often the list of engines is looked at.
    pub list_poll_interval: Duration,
    /// How long before the client's deadline an answer must be fixed.
    pub reply_margin: Duration,
    /// The longest that a poll is held.
    pub max_poll_wait: Duration,
    /// A client that has not polled for so long is let go.
    pub abandon_timeout: Duration,
    /// How long the end of a statement can still be asked for.
    pub ended_retention: Duration,
    /// Bytes of rows held for one statement before its engine is no longer asked for more.
    pub row_buffer_bytes: usize,
    /// Bytes of a statement's text and of an engine's page, at most.
    pub max_statement_bytes: usize,
    /// See `statement_bytes`.
    pub max_page_bytes: usize,
    /// Statements open at once; further ones are refused.
    pub max_open_statements: usize,
    /// Client connections at once; further ones are closed with 503 before anything is taken.
    pub max_connections: usize,
    /// A request must be whole within this span of its first byte.
    pub request_timeout: Duration,
    /// An idle client connection is closed after this span.
    pub connection_idle_timeout: Duration,
    /// A stream that an engine has begun and does not go on with is broken off after this span.
    pub stream_idle_timeout: Duration,
    /// How often an engine's load is asked for; zero leaves that to the module's probes.
    pub status_poll_interval: Duration,
    /// A probe fails after this span.
    pub probe_timeout: Duration,
    /// A connection to an engine fails after this span.
    pub connect_timeout: Duration,
    /// Longest stay after SIGTERM.
    pub drain_timeout: Duration,
    /// Session properties by which engines hear of memory, priority and the key of repeats; empty: not told.
    pub grant_property: String,
    /// See `grant_property`.
    pub priority_property: String,
    /// See `grant_property`.
    pub repeat_property: String,
}

/// How a statement's class, key, group and tenant are read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Selection {
    /// The first that fits decides.
    pub selectors: Vec<Selector>,
    /// Prefixes of client tags that name the order key, the group of tables and the tenant.
    pub key_tag: String,
    /// See `key_tag`.
    pub group_tag: String,
    /// See `key_tag`.
    pub tenant_tag: String,
    /// Prefix of the client tag that marks a statement: a further try with the same mark is a repeat to the engines.
    pub repeat_tag: String,
}

/// Conditions that must all hold; an empty list holds always.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Selector {
    /// The class chosen.
    pub class: usize,
    /// Any of these sources.
    pub sources: Vec<String>,
    /// Any of these users.
    pub users: Vec<String>,
    /// Any of these tags.
    pub tags: Vec<String>,
    /// Any of these first words.
    pub first_words: Vec<String>,
}

/// Custody of statements among gateways; see `docs/custody.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct CustodyTerms {
    /// The names of the gateways that grant tenures.
    pub voters: Vec<String>,
    /// How long a tenure lasts.
    pub lease: Duration,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift_ppm: u64,
    /// The longest time from the last look at the tenure to the end of what is done on it.
    pub lease_check_margin: Duration,
    /// Guardians of a statement.
    pub guardians: usize,
    /// Where marks of ended lives are kept.
    pub folder: PathBuf,
    /// For each class, whether its statements are to outlive their gateway.
    pub protected_classes: Vec<bool>,
    /// Without a guardian, what is to be protected is refused.
    pub refuse_unguarded: bool,
    /// Records kept for others, and octets of them.
    pub most: (usize, usize),
}

/// A site: its gateways and which engines are there.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteConfig {
    /// Its name, as membership has it.
    pub name: String,
    /// Gateways that stand there.
    pub gateways: u32,
    /// Zones whose engines are there.
    pub zones: Vec<String>,
    /// Engines that are there, whatever their zone.
    pub engines: Vec<String>,
}

/// The loss of a site; see `docs/site-loss.md`. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteTerms {
    /// All sites, in the same order at every gateway: summaries name them by place.
    pub sites: Vec<SiteConfig>,
    /// This gateway's own, by place.
    pub own_site: usize,
    /// What follows from a loss is done; else it is only told.
    pub enforce: bool,
    /// Prefix of the client tag that names a client's site; without the tag it is this gateway's.
    pub site_tag: String,
    /// How states are told from evidence.
    pub detection: violetward_site::state::Terms,
    /// How fast summaries go out.
    pub gossip: violetward_digest::GossipConfig,
    /// Over how long demand is averaged.
    pub demand_window: Micros,
    /// The part of all work by which limits move at once, and the time between two moves.
    pub limit_step: f64,
    /// See `step`.
    pub limit_interval: Micros,
    /// Waits, as parts of the aim, under which limits loosen and over which they tighten.
    pub loosen_below: f64,
    /// See `low`.
    pub tighten_above: f64,
    /// How long clients that are turned away by a limit should stay away, spread by half.
    pub retry_after: Micros,
    /// Part of the engines' cores that can be filled.
    pub max_utilization: f64,
}

/// How the notebook front is set up.
#[derive(Debug, Clone, PartialEq)]
pub struct KernelConfig {
    /// Where the connection file is written.
    pub connection_file: PathBuf,
    /// The user that cells run as, for selectors and engines.
    pub user: String,
    /// Rows shown of a result; the rest is counted.
    pub max_rows: usize,
}

/// FNV-1a, 64 bits: the same at every gateway and in every build.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

pub(crate) fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}
