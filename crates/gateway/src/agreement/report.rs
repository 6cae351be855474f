//! What a gateway tells of the settings, and what comes of a proposal.

use serde::{Deserialize, Serialize};
use violetward_agreement::Version;

use super::{check, SettingsAgreement};
use crate::rules::{Difference, Rules};

/// A version, as `/v1/settings` tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct VersionRow {
    /// Its number.
    pub number: u64,
    /// The hash of its content and of its predecessor's hash.
    pub hash: String,
    /// Its content.
    pub content: String,
    /// What it changed, as this gateway reads it; a line that begins with `+` lets something in anew.
    pub changes: Vec<String>,
}

/// What `/v1/settings` tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SettingsStatus {
    /// This gateway.
    pub name: String,
    /// The newest version that it knows; 0: none.
    pub newest: u64,
    /// The range of versions that it acts on; `None`: it has no lease and does what the floor allows.
    pub acts: Option<(u64, u64)>,
    /// Since when, and until when it may without a renewal: microseconds since the Unix epoch, by its clock.
    pub since: u64,
    /// See `since`.
    pub until: Option<u64>,
    /// How long it was without a lease since its start, microseconds.
    pub without_lease: u64,
    /// Those that vote, and whether this one does.
    pub voters: Vec<String>,
    /// See `voters`.
    pub votes: bool,
    /// What keeps it from voting.
    pub trouble: Option<String>,
    /// Grants that it remembers, and whether it keeps still after its start.
    pub grants: usize,
    /// See `grants`.
    pub silent: bool,
    /// The bound in microseconds.
    pub bound: u64,
    /// Sayings taken, unreadable, of gateways with other terms.
    pub counts: [u64; 3],
    /// The versions that it keeps, the oldest first.
    pub history: Vec<VersionRow>,
}

/// What a proposal leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ProposalReport {
    /// `committed`, `would commit`, `conflict`, `stale`, `unfit`, `unknown`, `busy` or `not a voter`.
    pub outcome: String,
    /// The version, where there is one.
    pub number: Option<u64>,
    /// More for people.
    pub text: String,
    /// What it changes.
    pub changes: Vec<String>,
}

pub(super) fn shown(changes: &[Difference]) -> Vec<String> {
    changes.iter().map(|c| format!("{} {}", if c.widens { '+' } else { '-' }, c.description)).collect()
}

impl SettingsAgreement {
    /// What is known, with the versions from a number on.
    pub fn status(&self, now: u64, since: u64) -> SettingsStatus {
        let member = self.member.borrow();
        let voter = member.voter();
        let (grants, silent) = voter.granting(now);
        let history = voter.history();
        let read = |v: &Version| check(&v.content, &self.names, &Rules::floor(&[], &[], &self.names));
        let row = |v: &Version| {
            let before = history.get(v.number - 1).and_then(|v| read(v).ok()).unwrap_or_default();
            let changes = match read(v) {
                Ok(rules) => shown(&before.differences(&rules)),
                Err(why) => vec![format!("! cannot be read here: {why}")],
            };
            let content = String::from_utf8_lossy(&v.content).into_owned();
            VersionRow { number: v.number, hash: format!("{:016x}", v.hash), content, changes }
        };
        let (total, from) = self.lapsed.get();
        let open = if self.applied.get().is_none() { now.saturating_sub(from) } else { 0 };
        SettingsStatus {
            name: self.terms.name.clone(),
            newest: voter.history().newest().0,
            acts: self.applied.get(),
            since: self.since.get(),
            until: voter.until(now),
            without_lease: total + open,
            voters: self.terms.voters.clone(),
            votes: voter.votes(),
            trouble: self.trouble.borrow().clone(),
            grants,
            silent,
            bound: self.terms.switch_bound_micros(),
            counts: member.counts,
            history: history.all().iter().filter(|v| v.number >= since).map(row).collect(),
        }
    }
}

impl std::fmt::Display for SettingsStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.acts {
            Some((low, top)) if low == top => writeln!(f, "{} acts on version {top}", self.name)?,
            Some((low, top)) => {
                writeln!(f, "{} acts on what all versions from {low} to {top} allow", self.name)?
            }
            None => writeln!(f, "{} has no lease: it does what the floor allows", self.name)?,
        }
        let vote = match (&self.trouble, self.votes) {
            (Some(why), _) => format!("does not vote: {why}"),
            (None, true) => format!("votes; {} grants are out", self.grants),
            (None, false) => "does not vote".into(),
        };
        writeln!(f, "it {vote}; voters: {}", self.voters.join(" "))?;
        write!(
            f,
            "newest version {}; {:.1} s without a lease since its start; T {:.1} s",
            self.newest,
            self.without_lease as f64 / 1e6,
            self.bound as f64 / 1e6
        )
    }
}
