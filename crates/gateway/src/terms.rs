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
    pub zone_front: Option<(SocketAddr, Vec<violetward_dns::tsig::Key>)>,
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
    pub via: std::collections::BTreeMap<String, SocketAddr>,
    /// The keys: the first signs, all are believed.
    pub keys: violetward_membership::Keys,
    /// The file that they came from; it is watched.
    pub key_file: Option<PathBuf>,
    /// Between two probes.
    pub period: Duration,
    /// Members that are known at once.
    pub most: usize,
    /// What all shares may add up to at most, and how much of an even share one widens by in a second.
    pub widest: f64,
    /// See `widest`.
    pub widen: f64,
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
    pub drift: u64,
    /// The longest time from the last look at the lease to the end of what is sent on it.
    pub check: Duration,
    /// What every version has to allow: classes, and engines that they may go to.
    pub floor: (Vec<String>, Vec<String>),
    /// How long the first lease is waited for before clients are served without one.
    pub wait_at_start: Duration,
    /// Names and secrets of the keys that sign proposals.
    pub operators: Vec<(String, String)>,
    /// A mark of how windows are judged, where they are held.
    pub windows: Option<u64>,
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
    pub fresh: Duration,
    /// Between two samples of demand, and how profiles learn from them.
    pub sample: Duration,
    /// See `sample`.
    pub profile: violetward_windows::profile::Terms,
}

impl WindowTerms {
    /// A mark of what gateways must have in common.
    pub fn mark(&self) -> u64 {
        hash(&format!("{:?}", (self.cover, self.margins)))
    }
}

impl AgreementTerms {
    /// A mark of all that gateways must have in common.
    pub fn mark(&self) -> u64 {
        let (mut classes, mut engines) = self.floor.clone();
        classes.sort();
        engines.sort();
        let common = (&self.voters, self.lease, self.drift, self.check, classes, engines);
        match self.windows {
            None => hash(&format!("{common:?}")),
            Some(windows) => hash(&format!("{common:?} {windows}")),
        }
    }

    /// The bound *T* in microseconds.
    pub fn bound(&self) -> u64 {
        let terms = violetward_agreement::Terms {
            me: 0,
            voters: self.voters.len() as u16,
            votes: false,
            lease: micros(self.lease),
            drift: self.drift,
            check: micros(self.check),
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
    pub reserve: u32,
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
    pub list_every: Duration,
    /// How long before the client's deadline an answer must be fixed.
    pub reply_margin: Duration,
    /// The longest that a poll is held.
    pub long_poll: Duration,
    /// A client that has not polled for so long is let go.
    pub abandon_after: Duration,
    /// How long the end of a statement can still be asked for.
    pub keep_ended: Duration,
    /// Bytes of rows held for one statement before its engine is no longer asked for more.
    pub buffer: usize,
    /// Bytes of a statement's text and of an engine's page, at most.
    pub statement_bytes: usize,
    /// See `statement_bytes`.
    pub page_bytes: usize,
    /// Statements open at once; further ones are refused.
    pub most_open: usize,
    /// Client connections at once; further ones are closed with 503 before anything is taken.
    pub most_connections: usize,
    /// A request must be whole within this span of its first byte.
    pub request_within: Duration,
    /// An idle client connection is closed after this span.
    pub idle_connection: Duration,
    /// A stream that an engine has begun and does not go on with is broken off after this span.
    pub stream_idle: Duration,
    /// How often an engine's load is asked for; zero leaves that to the module's probes.
    pub status_every: Duration,
    /// A probe fails after this span.
    pub probe_within: Duration,
    /// A connection to an engine fails after this span.
    pub connect_within: Duration,
    /// Longest stay after SIGTERM.
    pub drain_within: Duration,
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
    pub drift: u64,
    /// The longest time from the last look at the tenure to the end of what is done on it.
    pub check: Duration,
    /// Guardians of a statement.
    pub copies: usize,
    /// Where marks of ended lives are kept.
    pub folder: PathBuf,
    /// For each class, whether its statements are to outlive their gateway.
    pub protect: Vec<bool>,
    /// Without a guardian, what is to be protected is refused.
    pub refuses: bool,
    /// Records kept for others, and octets of them.
    pub most: (usize, usize),
}

/// A site: its gateways and which engines are there.
#[derive(Debug, Clone, PartialEq)]
pub struct SitePlace {
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
    pub sites: Vec<SitePlace>,
    /// This gateway's own, by place.
    pub own: usize,
    /// What follows from a loss is done; else it is only told.
    pub acts: bool,
    /// Prefix of the client tag that names a client's site; without the tag it is this gateway's.
    pub tag: String,
    /// How states are told from evidence.
    pub watch: violetward_site::state::Terms,
    /// How fast summaries go out.
    pub pace: violetward_digest::GossipConfig,
    /// Over how long demand is averaged.
    pub average: Micros,
    /// The part of all work by which limits move at once, and the time between two moves.
    pub step: f64,
    /// See `step`.
    pub every: Micros,
    /// Waits, as parts of the aim, under which limits loosen and over which they tighten.
    pub low: f64,
    /// See `low`.
    pub high: f64,
    /// How long clients that are turned away by a limit should stay away, spread by half.
    pub stay_away: Micros,
    /// Part of the engines' cores that can be filled.
    pub fill: f64,
}

/// How the notebook front is set up.
#[derive(Debug, Clone, PartialEq)]
pub struct KernelConfig {
    /// Where the connection file is written.
    pub connection_file: PathBuf,
    /// The user that cells run as, for selectors and engines.
    pub user: String,
    /// Rows shown of a result; the rest is counted.
    pub rows: usize,
}

/// FNV-1a, 64 bits: the same at every gateway and in every build.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

pub(crate) fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}
