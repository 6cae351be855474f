//! The order in which peers make room.

use std::cmp::Reverse;
use std::time::Duration;

/// What the rule looks at in a peer's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// The peer has sent a complete request that could be used.
    pub has_sent_request: bool,
    /// Accepted requests whose answers are owed.
    pub open_requests: usize,
    /// The memory that its unfinished message takes, in bytes.
    pub unfinished_bytes: usize,
    /// How long its message has been unfinished.
    pub unfinished_for: Duration,
}

/// How early a peer makes room: the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShedOrder(u8, Reverse<usize>, Reverse<Duration>);

/// The place of a peer among those that may make room.
///
/// A peer that has sent nothing of use goes before one that has, and one with open requests goes last. Among
/// equals the one that takes most memory goes first, so that a peer with a small message keeps its connection
/// however many others there are; then the one that has taken it for longest.
pub fn shed_order(peer: &PeerState) -> ShedOrder {
    let class = match peer {
        PeerState { open_requests: 1.., .. } => 2,
        PeerState { has_sent_request: true, .. } => 1,
        _ => 0,
    };
    ShedOrder(class, Reverse(peer.unfinished_bytes), Reverse(peer.unfinished_for))
}
