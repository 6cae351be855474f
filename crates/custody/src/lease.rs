//! Leases as their holder counts them, and the times that hold on every clock within the allowed drift.
//!
//! A holder counts a lease from when it asked, shortened by the drift; a voter from when it heard, lengthened
//! by it. By any allowed clock the holder's lease ends first.

use std::collections::BTreeMap;

use crate::Micros;

const MILLION: u128 = 1_000_000;
/// More drift than this is counted as this: clocks that are off by a quarter are no clocks.
const MAX_DRIFT_PPM: u64 = 250_000;

/// The times of leases, by one's own clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseTimes {
    /// The nominal duration of a lease.
    pub lease: Micros,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift_ppm: u64,
}

impl LeaseTimes {
    fn drift_within(&self, span: Micros, times: u64) -> Micros {
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM) * times);
        (u128::from(span) * drift).div_ceil(MILLION) as Micros
    }

    /// How long a holder counts a grant, from when it asked.
    pub fn holder_span(&self) -> Micros {
        self.lease - self.drift_within(self.lease, 1)
    }

    /// How long a voter counts a grant, from when it heard the request.
    pub fn voter_span(&self) -> Micros {
        self.lease + self.drift_within(self.lease, 1)
    }

    /// How long to wait by one's own clock until a span has passed on any other clock.
    pub fn wait_for_other_clock(&self, span: Micros) -> Micros {
        span + self.drift_within(span, 2)
    }
}

/// A process's own lease.
pub(crate) struct Lease {
    /// By voter, when the newest request that it has granted was made.
    granted_requests: BTreeMap<String, Micros>,
    quorum: usize,
    /// When the lease was last known to be valid.
    pub last_valid_at: Micros,
    pub expires_at: Micros,
}

impl Lease {
    /// No lease yet.
    pub fn new(now: Micros, quorum: usize) -> Lease {
        Lease { granted_requests: BTreeMap::new(), quorum, last_valid_at: now, expires_at: 0 }
    }

    /// A voter has granted the request that was made at a time. The lease counts from the latest time at or
    /// after which a quorum of voters was asked, and lasts for `holder_span`.
    pub fn add_grant(&mut self, voter: &str, requested_at: Micros, holder_span: Micros) {
        let newest = self.granted_requests.entry(voter.to_owned()).or_default();
        *newest = requested_at.max(*newest);
        let mut newest_first: Vec<Micros> = self.granted_requests.values().copied().collect();
        newest_first.sort_unstable_by(|a, b| b.cmp(a));
        let last_of_quorum = self.quorum.checked_sub(1).and_then(|position| newest_first.get(position));
        if let Some(requested_at) = last_of_quorum {
            self.expires_at = self.expires_at.max(requested_at + holder_span);
        }
    }
}
