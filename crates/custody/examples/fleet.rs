//! What takeover costs: a fleet at rest and with statements, one gateway killed, and all of them restarted in
//! turn.

use std::time::Instant;

use violetward_custody::sim::{Case, Fleet};
use violetward_custody::{
    Effect, InFlightAttempt, Incarnation, Member, MemberState, Record, RepeatSafety, Settings, StatementKey,
    TakeoverNode,
};

const SECOND: u64 = 1_000_000;

fn at(times: &[u64], part: usize) -> f64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    times.get(times.len().saturating_sub(1) * part / 100).map_or(0.0, |&t| t as f64 / 1_000.0)
}

fn sent(fleet: &Fleet) -> [u64; 4] {
    let counts = fleet.counts();
    [counts.datagrams, counts.datagram_bytes, counts.record_sends, counts.record_bytes]
}

fn fleet(gateways: usize, unsafe_percent: u64, statements: usize) {
    let case = Case {
        gateways,
        voters: 5,
        sites: 3,
        lease: 3 * SECOND,
        drift_ppm: 200,
        max_loss_per_mille: 0,
        body_bytes: 600,
        unsafe_percent,
        max_replica_records: 20_000,
        ..Case::default()
    };
    let mut fleet = Fleet::new(case, 7);
    fleet.run(10 * SECOND);
    let start = sent(&fleet);
    fleet.run(30 * SECOND);
    let rest: Vec<f64> =
        sent(&fleet).iter().zip(start).map(|(a, b)| (a - b) as f64 / 30.0 / gateways as f64).collect();
    println!(
        "{gateways} gateways at rest, a gateway and second: {:.1} datagrams, {:.0} octets",
        rest[0], rest[1]
    );
    let start = sent(&fleet);
    fleet.schedule_statements(statements, 0, 10 * SECOND);
    fleet.run(40 * SECOND);
    let cost: Vec<f64> = sent(&fleet).iter().zip(start).map(|(a, b)| (a - b) as f64).collect();
    let less = |i: usize| (cost[i] - rest[i] * 40.0 * gateways as f64) / statements as f64;
    println!(
        "{statements} statements, {unsafe_percent} of 100 unsafe, each: {:.1} datagrams of {:.0} octets, {:.1} sendings of {:.0} octets; intent to word {:.1} ms, {:.1} ms (99th)",
        less(0), less(1) / less(0), less(2), less(3) / less(2).max(0.01), at(&fleet.counts().intent_delays, 50), at(&fleet.counts().intent_delays, 99)
    );
    fleet.schedule_statements(statements, 0, 2 * SECOND);
    fleet.run(2 * SECOND);
    let before = fleet.owned_statements();
    let n = (0..gateways).max_by_key(|&n| before[n]).unwrap_or(0);
    fleet.kill_process(n);
    fleet.run(6 * SECOND);
    let after = &fleet.counts().takeover_delays;
    println!(
        "g{n} killed with {} in hand: {} adopted, {:.0} ms after its fall at the median, {:.0} ms the last",
        before[n],
        after.len(),
        at(after, 50),
        at(after, 100)
    );
    fleet.run(40 * SECOND);
    let lost = fleet.finish().map(|counts| [counts.accepted, counts.ended, counts.lost]);
    println!("taken, ended, lost: {lost:?}");
}

const MICROBENCH_GATEWAYS: usize = 300;
/// The gateway that accepts the statements.
const OWNER: usize = 9;

fn incarnation(gateway: usize) -> Incarnation {
    Incarnation { name: format!("g{gateway}"), number: gateway as u64 + 1 }
}

/// Gateways whose messages arrive at once.
struct DirectFleet {
    nodes: Vec<TakeoverNode>,
    now: u64,
}

impl DirectFleet {
    fn new() -> DirectFleet {
        let now = SECOND;
        let site = |gateway: usize| format!("s{}", gateway % 3);
        let node = |gateway: usize| {
            let settings = Settings {
                incarnation: incarnation(gateway),
                site: site(gateway),
                voters: (0..5).map(|voter| format!("g{voter}")).collect(),
                lease: 3_600 * SECOND,
                drift_ppm: 200,
                action_margin: 0,
                replicas: 2,
                max_replica_records: 10_000,
                max_replica_bytes: 1 << 30,
            };
            TakeoverNode::new(settings, None, now).ok()
        };
        let member = |gateway: usize| Member {
            incarnation: incarnation(gateway),
            site: site(gateway),
            state: MemberState::Alive,
        };
        let members: Vec<Member> = (0..MICROBENCH_GATEWAYS).map(member).collect();
        let mut fleet = DirectFleet { nodes: (0..MICROBENCH_GATEWAYS).filter_map(node).collect(), now };
        fleet.nodes.iter_mut().for_each(|node| node.update_members(now, members.clone()));
        fleet.wake_all();
        fleet.wake_all();
        fleet.now += 100_000;
        fleet.wake_all();
        fleet
    }

    fn wake_all(&mut self) {
        (0..MICROBENCH_GATEWAYS).for_each(|gateway| self.wake(gateway));
    }

    fn wake(&mut self, gateway: usize) {
        self.nodes[gateway].wake(self.now);
        self.deliver_from(gateway);
    }

    /// Carries out the effects of a gateway, and of those that its messages reach.
    fn deliver_from(&mut self, first: usize) {
        let mut touched = vec![first];
        while let Some(gateway) = touched.pop() {
            while let Some(effect) = self.nodes[gateway].next_effect() {
                match effect {
                    Effect::SendDatagram(to, bytes) | Effect::SendRecords(to, bytes) => {
                        let to: usize = to[1..].parse().unwrap_or(0);
                        self.nodes[to].handle_message(self.now, &format!("g{gateway}"), &bytes);
                        touched.push(to);
                    }
                    Effect::StoreMarks(_) => {
                        self.nodes[gateway].marks_stored(self.now);
                        touched.push(gateway);
                    }
                    _ => {}
                }
            }
        }
    }

    /// A statement from its acceptance to its end.
    fn run_statement(&mut self, number: u64, repeat: RepeatSafety) {
        self.now += 1_000;
        let key = StatementKey { accepted_by: incarnation(OWNER), number };
        let record = Record {
            key: key.clone(),
            version: 0,
            body: vec![0; 600],
            repeat,
            remaining_wait: 60 * SECOND,
            attempts: 0,
            in_flight: None,
            pages_delivered: 0,
            ending: None,
        };
        let attempt = InFlightAttempt {
            number: 0,
            engine: "e".into(),
            next_uri: None,
            next_page: 0,
            elapsed: 0,
            timeout: SECOND,
        };
        self.nodes[OWNER].add_statement(self.now, record);
        self.nodes[OWNER].request_attempt(self.now, &key, 1, attempt);
        self.deliver_from(OWNER);
        self.nodes[OWNER].finish_statement(self.now, &key);
        self.wake(OWNER);
    }
}

/// What a statement costs its owner and its replicas, in microseconds.
fn microseconds(repeat: RepeatSafety, count: u64) {
    let mut fleet = DirectFleet::new();
    let started = Instant::now();
    (1..=count).for_each(|number| fleet.run_statement(number, repeat));
    let each = started.elapsed().as_secs_f64() * 1e6 / count as f64;
    println!("{repeat:?}: {each:.1} microseconds a statement, at its owner and its replicas together");
}

fn main() {
    for (gateways, statements) in [(24, 3_000), (300, 3_000)] {
        fleet(gateways, 0, statements);
        fleet(gateways, 100, statements);
    }
    microseconds(RepeatSafety::Safe, 20_000);
    microseconds(RepeatSafety::Unsafe, 20_000);
}
