//! The gateway's configuration as plain data, without syntax and I/O. [`crate::config`] reads it from text.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use violetward::{Micros, Settings};

/// The whole configuration of `violetward serve`.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Address of the statement API.
    pub listen: SocketAddr,
    /// The file that lists the engines.
    pub engines: PathBuf,
    /// Name of the zone if that file is a DNS master file; `None` if the file holds S-expressions.
    pub origin: Option<violetward_dns::name::Name>,
    /// Address at which that zone is served and updated by DNS messages, and the keys that sign updates.
    pub zone_server: Option<(SocketAddr, Vec<violetward_dns::tsig::Key>)>,
    /// Notebook kernel that runs beside the statement API.
    pub kernel: Option<KernelConfig>,
    /// Membership among the gateways.
    pub peers: Option<PeerTerms>,
    /// Agreement among the gateways on settings.
    pub agreement: Option<AgreementTerms>,
    /// Windows of maintenance.
    pub windows: Option<WindowTerms>,
    /// Custody of statements that outlive their gateway.
    pub custody: Option<CustodyTerms>,
    /// The sites and the response to the loss of one.
    pub sites: Option<SiteTerms>,
    /// Limits and time-outs of the host.
    pub host: HostLimits,
    /// Sessions that are bound to one engine.
    pub sessions: SessionTerms,
    /// How a statement's class, key, group and tenant are determined.
    pub selection: Selection,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, kinds, tenants and zones, indexed by their numbers.
    pub names: Names,
    /// Maximum time after an engine is listed as draining or removed during which new work may still go to
    /// it. The service promises that drains are kept.
    pub drain_grace: Duration,
}

/// Membership among gateways; see `docs/membership.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerTerms {
    /// Address at which this gateway receives datagrams.
    pub listen: SocketAddr,
    /// Address at which other members reach this gateway, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// This gateway's name; it stays the same across restarts.
    pub name: String,
    /// This gateway's site.
    pub site: String,
    /// Addresses of members to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Addresses by member name that replace the ones the members advertise.
    pub address_overrides: std::collections::BTreeMap<String, SocketAddr>,
    /// The keys: the first one signs, all of them verify.
    pub keys: violetward_membership::Keys,
    /// File that the keys came from; it is watched for changes.
    pub key_file: Option<PathBuf>,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Maximum number of members known at once.
    pub max_members: usize,
    /// Maximum sum of all gateways' shares.
    pub max_total_share: f64,
    /// Part of an even share by which a gateway's share may grow per second.
    pub share_growth_per_s: f64,
}

/// Agreement on settings; see `docs/agreement.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct AgreementTerms {
    /// This gateway's name in membership.
    pub name: String,
    /// Names of the gateways that vote.
    pub voters: Vec<String>,
    /// Folder of the file that holds this gateway's votes.
    pub folder: PathBuf,
    /// Duration of a lease.
    pub lease: Duration,
    /// Maximum rate error of any gateway's clock, in parts per million.
    pub drift_ppm: u64,
    /// Maximum time from the last check of the lease to the end of the sending that relies on it.
    pub lease_check_margin: Duration,
    /// Classes, and engines for them, that every version of the settings must allow.
    pub floor: (Vec<String>, Vec<String>),
    /// How long to wait at the start for the first lease before clients are served without one.
    pub startup_wait: Duration,
    /// Names and secrets of the keys that sign proposals.
    pub operator_keys: Vec<(String, String)>,
    /// Fingerprint of the terms of maintenance windows, if windows are configured.
    pub windows_fingerprint: Option<u64>,
}

/// Windows of maintenance; see `docs/windows.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowTerms {
    /// Folder of the stored demand profiles.
    pub folder: PathBuf,
    /// When the engines that remain are sufficient.
    pub cover: violetward_windows::cover::Terms,
    /// Time that a window takes before and after its own span.
    pub margins: violetward_windows::find::Margins,
    /// Maximum age of the information on the fleet.
    pub max_fleet_age: Duration,
    /// Time between two samples of demand.
    pub sample_interval: Duration,
    /// How profiles learn from the samples.
    pub profile: violetward_windows::profile::Terms,
}

impl WindowTerms {
    /// Hash of the terms that must be equal at all gateways.
    pub fn fingerprint(&self) -> u64 {
        fnv1a(&format!("{:?}", (self.cover, self.margins)))
    }
}

impl AgreementTerms {
    /// Hash of the terms that must be equal at all gateways.
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

    /// The bound *T*: time after a quorum has learned of a version until no gateway acts on an earlier one
    /// alone.
    pub fn switch_bound_micros(&self) -> u64 {
        let terms = violetward_agreement::Terms {
            me: 0,
            voters: self.voters.len() as u16,
            votes: false,
            lease: micros(self.lease),
            drift_ppm: self.drift_ppm,
            lease_check_margin: micros(self.lease_check_margin),
            fault: violetward_agreement::InjectedFault::None,
        };
        terms.switch_bound()
    }
}

/// Sessions that are bound to one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SessionTerms {
    /// Time-outs and maximum counts of sessions.
    pub limits: violetward_session::table::Limits,
    /// Maximum number of statements of open transactions that go before new work at one engine at once.
    /// Statements that end a transaction always go before new work.
    pub transaction_reserve: u32,
    /// Keys that sign the session tokens of clients; without keys sessions end with this process.
    pub keys: Option<violetward_session::token::Keys>,
    /// File that the keys came from; it is watched for changes.
    pub key_file: Option<PathBuf>,
}

/// Names of what the decision module knows by numbers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones, this gateway's own first.
    pub zones: Vec<String>,
}

/// Limits and time-outs of the host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostLimits {
    /// Time between two checks of the engine list's file.
    pub list_poll_interval: Duration,
    /// How long before the client's deadline the answer must be decided.
    pub reply_margin: Duration,
    /// Maximum time for which a client's poll is held open.
    pub max_poll_wait: Duration,
    /// A statement whose client has not polled for this long is abandoned.
    pub abandon_timeout: Duration,
    /// How long the outcome of an ended statement stays available.
    pub ended_retention: Duration,
    /// Bytes of rows buffered for one statement above which no further pages are requested from its engine.
    pub row_buffer_bytes: usize,
    /// Maximum size of a statement's text.
    pub max_statement_bytes: usize,
    /// Maximum size of an engine's page.
    pub max_page_bytes: usize,
    /// Maximum number of open statements; further ones are refused.
    pub max_open_statements: usize,
    /// Maximum number of client connections; further ones are closed with 503 before a request is read.
    pub max_connections: usize,
    /// The memory of the process that is meant for clients, in bytes.
    pub memory_bytes: usize,
    /// Maximum time from the first byte of a request to its last.
    pub request_timeout: Duration,
    /// Time after which an idle client connection is closed.
    pub connection_idle_timeout: Duration,
    /// Time without data after which a response stream of an engine is aborted.
    pub stream_idle_timeout: Duration,
    /// Time between two queries of an engine's load; zero leaves them to the decision module's probes.
    pub status_poll_interval: Duration,
    /// Time after which a probe has failed.
    pub probe_timeout: Duration,
    /// Time after which an attempt to connect to an engine has failed.
    pub connect_timeout: Duration,
    /// Maximum time from SIGTERM to the end of the process.
    pub drain_timeout: Duration,
    /// Session property that passes the memory grant to engines; empty: it is not passed.
    pub grant_property: String,
    /// Session property that passes the priority; empty: it is not passed.
    pub priority_property: String,
    /// Session property that passes the key by which engines recognize repeats; empty: it is not passed.
    pub repeat_property: String,
}

impl HostLimits {
    /// Maximum memory of requests that clients have not sent completely, in bytes: a quarter of the memory. The
    /// rest is for statements, their results, connections and what an allocator loses.
    pub fn unfinished_max_bytes(&self) -> usize {
        self.memory_bytes / 4
    }
}

/// How a statement's class, key, group and tenant are determined.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Selection {
    /// The first selector that matches determines the class.
    pub selectors: Vec<Selector>,
    /// Prefix of the client tag that names the order key.
    pub key_tag: String,
    /// Prefix of the client tag that names the group of tables.
    pub group_tag: String,
    /// Prefix of the client tag that names the tenant.
    pub tenant_tag: String,
    /// Prefix of the client tag that identifies a statement: a later statement with the same identifier is a
    /// repeat to the engines.
    pub repeat_tag: String,
}

/// Selects a class if all of its conditions hold. A condition with an empty list always holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Selector {
    /// The selected class.
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
    /// Names of the gateways that grant tenures.
    pub voters: Vec<String>,
    /// Duration of a tenure.
    pub lease: Duration,
    /// Maximum rate error of any gateway's clock, in parts per million.
    pub drift_ppm: u64,
    /// Maximum time from the last check of the tenure to the end of the action that relies on it.
    pub lease_check_margin: Duration,
    /// Number of guardians of a statement.
    pub guardians: usize,
    /// Folder of the stored records of ended gateway processes.
    pub folder: PathBuf,
    /// For each class, whether its statements outlive their gateway.
    pub protected_classes: Vec<bool>,
    /// Whether statements of protected classes are refused while there is no guardian.
    pub refuse_unguarded: bool,
    /// Maximum number of records kept for other gateways.
    pub max_records: usize,
    /// Maximum size of these records together.
    pub max_record_bytes: usize,
}

/// A site with its gateways and engines.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteConfig {
    /// Name of the site in membership.
    pub name: String,
    /// Number of gateways at the site.
    pub gateways: u32,
    /// Zones whose engines belong to the site.
    pub zones: Vec<String>,
    /// Engines that belong to the site regardless of their zone.
    pub engines: Vec<String>,
}

/// The loss of a site; see `docs/site-loss.md`. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteTerms {
    /// All sites, in the same order at every gateway: summaries refer to a site by its index.
    pub sites: Vec<SiteConfig>,
    /// Index of this gateway's own site.
    pub own_site: usize,
    /// Whether the limits that follow from a loss are enforced; otherwise they are only reported.
    pub enforce: bool,
    /// Prefix of the client tag that names a client's site; without the tag it is this gateway's site.
    pub site_tag: String,
    /// How the states of sites are derived from evidence.
    pub detection: violetward_site::state::Terms,
    /// Rate and size of the summaries that are sent.
    pub gossip: violetward_digest::GossipConfig,
    /// Span over which demand is averaged.
    pub demand_window: Micros,
    /// Part of all work by which the limits change in one step.
    pub limit_step: f64,
    /// Time between two changes of the limits.
    pub limit_interval: Micros,
    /// Waiting time, as a part of the class's aim, below which the limits are loosened.
    pub loosen_below: f64,
    /// Waiting time, as a part of the class's aim, above which the limits are tightened.
    pub tighten_above: f64,
    /// Retry delay for clients refused by a limit, spread randomly by half.
    pub retry_after: Micros,
    /// Part of the engines' cores that can be used.
    pub max_utilization: f64,
}

/// Configuration of the notebook kernel.
#[derive(Debug, Clone, PartialEq)]
pub struct KernelConfig {
    /// Path at which the connection file is written.
    pub connection_file: PathBuf,
    /// User name under which notebook cells run, for selectors and engines.
    pub user: String,
    /// Maximum number of rows shown of a result; further rows are only counted.
    pub max_rows: usize,
}

/// 64-bit FNV-1a hash, equal at every gateway and in every build.
pub fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

pub(crate) fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}
