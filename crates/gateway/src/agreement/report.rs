//! A gateway's status of the settings, and the outcome of a proposal.

use serde::{Deserialize, Serialize};
use violetward_agreement::Version;

use super::{parse_content, SettingsAgreement};
use crate::rules::{Difference, Rules};

/// A version of the settings in `/v1/settings`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct VersionRow {
    /// Number of the version.
    pub number: u64,
    /// The hash of its content and of its predecessor's hash.
    pub hash: String,
    /// The version's content.
    pub content: String,
    /// Its changes as this gateway reads them; a line that begins with `+` allows something new.
    pub changes: Vec<String>,
}

/// The answer of `/v1/settings`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SettingsStatus {
    /// Name of this gateway.
    pub name: String,
    /// The newest version known to this gateway; 0: none.
    pub newest: u64,
    /// The range of versions that this gateway acts on; `None`: it has no lease and does what the floor
    /// allows.
    pub acts: Option<(u64, u64)>,
    /// Since when it acts on them, in microseconds since the Unix epoch by its clock.
    pub since: u64,
    /// Until when it may act without renewing its lease, by the same clock.
    pub until: Option<u64>,
    /// Time without a lease since the start of the gateway, in microseconds.
    pub without_lease: u64,
    /// Names of the gateways that vote.
    pub voters: Vec<String>,
    /// Whether this gateway votes.
    pub votes: bool,
    /// Why it does not vote, if it is a voter.
    pub trouble: Option<String>,
    /// Number of leases granted by this gateway that may still be in force.
    pub grants: usize,
    /// Whether it grants nothing yet after its start.
    pub silent: bool,
    /// The bound *T* in microseconds: see [`crate::terms::AgreementTerms::switch_bound_micros`].
    pub bound: u64,
    /// Messages received, unreadable, and of gateways with other terms.
    pub counts: [u64; 3],
    /// The stored versions, the oldest first.
    pub history: Vec<VersionRow>,
}

/// The outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ProposalReport {
    /// `committed`, `would commit`, `conflict`, `stale`, `unfit`, `unknown`, `busy` or `not a voter`.
    pub outcome: String,
    /// Number of the version concerned, if there is one.
    pub number: Option<u64>,
    /// Explanation for people.
    pub text: String,
    /// The changes of the proposal.
    pub changes: Vec<String>,
}

pub(super) fn change_lines(changes: &[Difference]) -> Vec<String> {
    changes.iter().map(|c| format!("{} {}", if c.widens { '+' } else { '-' }, c.description)).collect()
}

impl SettingsAgreement {
    /// The status of the settings, with the versions from the number `since` on.
    pub fn status(&self, now: u64, since: u64) -> SettingsStatus {
        let member = self.member.borrow();
        let voter = member.voter();
        let (grants, silent) = voter.grant_status(now);
        let history = voter.history();
        let parse =
            |v: &Version| parse_content(&v.content, &self.names, &Rules::floor(&[], &[], &self.names));
        let row = |v: &Version| {
            let before = history.get(v.number - 1).and_then(|v| parse(v).ok()).unwrap_or_default();
            let changes = match parse(v) {
                Ok(rules) => change_lines(&before.differences(&rules)),
                Err(why) => vec![format!("! cannot be read here: {why}")],
            };
            let content = String::from_utf8_lossy(&v.content).into_owned();
            VersionRow { number: v.number, hash: format!("{:016x}", v.hash), content, changes }
        };
        let (earlier, from) = self.time_without_lease.get();
        let current = if self.applied_range.get().is_none() { now.saturating_sub(from) } else { 0 };
        SettingsStatus {
            name: self.terms.name.clone(),
            newest: voter.history().newest().0,
            acts: self.applied_range.get(),
            since: self.applied_at.get(),
            until: voter.usable_until(now),
            without_lease: earlier + current,
            voters: self.terms.voters.clone(),
            votes: voter.votes(),
            trouble: self.trouble.borrow().clone(),
            grants,
            silent,
            bound: self.terms.switch_bound_micros(),
            counts: member.counts,
            history: history.versions().iter().filter(|v| v.number >= since).map(row).collect(),
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
