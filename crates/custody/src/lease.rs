//! The lease of this process, and the durations that account for clock drift.
//!
//! A holder counts a lease from the time of its request, shortened by the drift; a voter counts it from the
//! receipt of the request, lengthened by the drift. On any clock within the allowed drift, the holder's
//! lease therefore ends first.

use std::collections::BTreeMap;

use crate::Micros;

const MILLION: u128 = 1_000_000;
/// Configured drift above this limit is reduced to it: a clock that is off by a quarter is unusable.
const MAX_DRIFT_PPM: u64 = 250_000;

/// Durations of leases as measured on the local clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseTimes {
    /// The nominal duration of a lease.
    pub lease: Micros,
    /// Maximum rate by which any clock may run fast or slow, in parts per million.
    pub drift_ppm: u64,
}

impl LeaseTimes {
    /// The most by which `clocks` drifting clocks together may be off after a span.
    fn max_deviation(&self, span: Micros, clocks: u64) -> Micros {
        let drift_ppm = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM) * clocks);
        (u128::from(span) * drift_ppm).div_ceil(MILLION) as Micros
    }

    /// How long a holder may use a grant, counted from its request.
    pub fn holder_span(&self) -> Micros {
        self.lease - self.max_deviation(self.lease, 1)
    }

    /// How long a voter is bound by a grant, counted from the receipt of the request.
    pub fn voter_span(&self) -> Micros {
        self.lease + self.max_deviation(self.lease, 1)
    }

    /// How long to wait on the local clock until a span has certainly passed on any other clock.
    pub fn wait_for_other_clock(&self, span: Micros) -> Micros {
        span + self.max_deviation(span, 2)
    }
}

/// A span without a gap in which a quorum of voters has granted this process its lease. Between these times it
/// was in contact with a quorum, and heard from every process that was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuorumContact {
    pub since: Micros,
    /// The newest time at which contact is proved: when the newest granted request was sent.
    pub until: Micros,
}

/// The lease of this process.
pub(crate) struct Lease {
    /// By voter, the time of the newest request that the voter has granted.
    granted_requests: BTreeMap<String, Micros>,
    quorum: usize,
    /// When the lease was last known to be valid.
    pub last_valid_at: Micros,
    pub expires_at: Micros,
    contact: Option<QuorumContact>,
}

impl Lease {
    /// A lease that has not been granted yet.
    pub fn new(now: Micros, quorum: usize) -> Lease {
        Lease { granted_requests: BTreeMap::new(), quorum, last_valid_at: now, expires_at: 0, contact: None }
    }

    /// Adds a voter's grant, received now, of the request made at `requested_at`. The lease lasts for
    /// `holder_span` from the latest time such that a quorum of voters has granted requests made then or later.
    pub fn add_grant(&mut self, now: Micros, voter: &str, requested_at: Micros, holder_span: Micros) {
        let newest = self.granted_requests.entry(voter.to_owned()).or_default();
        *newest = requested_at.max(*newest);
        let mut newest_first: Vec<Micros> = self.granted_requests.values().copied().collect();
        newest_first.sort_unstable_by(|a, b| b.cmp(a));
        let oldest_of_quorum = self.quorum.checked_sub(1).and_then(|position| newest_first.get(position));
        if let Some(&requested_at) = oldest_of_quorum {
            self.extend_contact(now, requested_at);
            self.expires_at = self.expires_at.max(requested_at + holder_span);
        }
    }

    fn extend_contact(&mut self, now: Micros, requested_at: Micros) {
        let is_uninterrupted = now < self.expires_at;
        let current = self.contact.filter(|_| is_uninterrupted);
        let contact = current.unwrap_or(QuorumContact { since: requested_at, until: requested_at });
        self.contact = Some(QuorumContact { until: contact.until.max(requested_at), ..contact });
    }

    /// Lets the contact begin anew after this process has stood still: what arrived meanwhile is not read yet.
    pub fn restart_contact(&mut self, now: Micros) {
        if let Some(contact) = &mut self.contact {
            contact.since = now;
        }
    }

    /// The contact with a quorum of voters, while the lease is valid.
    pub fn quorum_contact(&self, now: Micros) -> Option<QuorumContact> {
        self.contact.filter(|_| now < self.expires_at)
    }
}
