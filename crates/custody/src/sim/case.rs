//! The parameters of a simulated history, and its counts.

use super::{MILLISECOND, SECOND};
use crate::{InjectedFault, Micros};

/// The parameters of one history.
#[derive(Debug, Clone)]
pub struct Case {
    /// Number of gateways; the first ones are voters.
    pub gateways: usize,
    /// Number of voters.
    pub voters: usize,
    /// Number of sites over which the gateways are distributed.
    pub sites: usize,
    /// Nominal duration of a lease.
    pub lease: Micros,
    /// Rate in parts per million by which the clocks alternately run fast and slow.
    pub drift_ppm: u64,
    /// Number of statements, accepted within the first three quarters of `fault_span`.
    pub statements: usize,
    /// Number of faults within `fault_span`.
    pub faults: usize,
    /// How long faults occur.
    pub fault_span: Micros,
    /// Maximum number of lost datagrams per thousand.
    pub max_loss_per_mille: u64,
    /// Number of replicas of a statement, not counting its owner.
    pub replicas: usize,
    /// Maximum number of records that a gateway holds for others.
    pub max_replica_records: usize,
    /// Size of a statement's body.
    pub body_bytes: usize,
    /// Percentage of statements that are unsafe to repeat.
    pub unsafe_percent: u64,
    /// The fault injected into the state machine.
    pub injected_fault: InjectedFault,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            gateways: 6,
            voters: 3,
            sites: 2,
            lease: SECOND,
            drift_ppm: 10_000,
            statements: 16,
            faults: 8,
            fault_span: 8 * SECOND,
            max_loss_per_mille: 100,
            replicas: 2,
            max_replica_records: 1_000,
            body_bytes: 300,
            unsafe_percent: 50,
            injected_fault: InjectedFault::None,
        }
    }
}

impl Case {
    /// Draws the parameters from a seed: 3 to 12 gateways, one to three replicas, gateways with little room
    /// for records, networks with and without loss.
    pub fn drawn(seed: u64) -> Case {
        let mut random_state = seed ^ 0x5eed;
        let mut one_of =
            |choices: &[u64]| choices[(next_random(&mut random_state) % choices.len() as u64) as usize];
        let case = Case {
            gateways: one_of(&[3, 5, 6, 9, 12]) as usize,
            voters: one_of(&[3, 3, 5]) as usize,
            sites: one_of(&[1, 2, 3]) as usize,
            lease: one_of(&[500, 1_000, 2_000]) * MILLISECOND,
            drift_ppm: one_of(&[200, 10_000, 50_000]),
            statements: one_of(&[8, 16, 32]) as usize,
            faults: one_of(&[2, 6, 12]) as usize,
            max_loss_per_mille: one_of(&[0, 50, 250]),
            replicas: one_of(&[1, 2, 2, 3]) as usize,
            max_replica_records: one_of(&[2, 1_000, 1_000]) as usize,
            body_bytes: one_of(&[0, 300, 3_000]) as usize,
            ..Case::default()
        };
        Case { voters: case.voters.min(case.gateways), ..case }
    }
}

/// Counts of what happened in a history.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Statements that gateways accepted.
    pub accepted: u64,
    /// Statements whose clients received an ending.
    pub ended: u64,
    /// Statements whose clients received no ending.
    pub lost: u64,
    /// Attempts that were sent to an engine.
    pub attempts: u64,
    /// Statements that were taken over.
    pub takeovers: u64,
    /// Statements that a gateway stopped acting for.
    pub relinquished: u64,
    /// Intents that had to wait for replicas.
    pub awaited_intents: u64,
    /// Processes killed.
    pub kills: u64,
    /// Processes paused.
    pub pauses: u64,
    /// Network partitions, of one direction or both.
    pub partitions: u64,
    /// Running processes that another one wrongly believed dead.
    pub false_suspicions: u64,
    /// Hand-overs before a planned end of a process.
    pub hand_overs: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of these datagrams.
    pub datagram_bytes: u64,
    /// Messages sent over streams, most of them batches of records.
    pub record_sends: u64,
    /// Bytes of these messages.
    pub record_bytes: u64,
    /// For each takeover from a killed owner, the time since the owner failed.
    pub takeover_delays: Vec<Micros>,
    /// For each intent that had to wait, the time until its permission.
    pub intent_delays: Vec<Micros>,
}

impl Counts {
    /// Adds the counts of another history.
    pub fn add(&mut self, other: Counts) {
        self.accepted += other.accepted;
        self.ended += other.ended;
        self.lost += other.lost;
        self.attempts += other.attempts;
        self.takeovers += other.takeovers;
        self.relinquished += other.relinquished;
        self.awaited_intents += other.awaited_intents;
        self.kills += other.kills;
        self.pauses += other.pauses;
        self.partitions += other.partitions;
        self.false_suspicions += other.false_suspicions;
        self.hand_overs += other.hand_overs;
        self.datagrams += other.datagrams;
        self.datagram_bytes += other.datagram_bytes;
        self.record_sends += other.record_sends;
        self.record_bytes += other.record_bytes;
        self.takeover_delays.extend(other.takeover_delays);
        self.intent_delays.extend(other.intent_delays);
    }
}

/// The next number of a pseudo-random sequence (splitmix64).
pub(super) fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}
