//! Measures the cost of takeover: messages of an idle fleet and of statements, takeovers after one gateway is
//! killed, and the CPU time of a statement.

use std::time::Instant;

use violetward_custody::sim::{Case, Fleet};
use violetward_custody::{
    Effect, InFlightAttempt, Incarnation, Member, MemberState, Record, RepeatSafety, Settings, StatementKey,
    TakeoverNode,
};

/// One second in microseconds.
const SECOND: u64 = 1_000_000;

/// A percentile of times in microseconds, in milliseconds.
fn percentile_ms(times: &[u64], percent: usize) -> f64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    times.get(times.len().saturating_sub(1) * percent / 100).map_or(0.0, |&time| time as f64 / 1_000.0)
}

/// Datagrams, their bytes, sends of records and their bytes.
fn traffic(fleet: &Fleet) -> [u64; 4] {
    let counts = fleet.counts();
    [counts.datagrams, counts.datagram_bytes, counts.record_sends, counts.record_bytes]
}

fn measure_fleet(gateways: usize, unsafe_percent: u64, statements: usize) {
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
    let start = traffic(&fleet);
    fleet.run(30 * SECOND);
    let idle_per_gateway_second: Vec<f64> =
        traffic(&fleet).iter().zip(start).map(|(a, b)| (a - b) as f64 / 30.0 / gateways as f64).collect();
    println!(
        "{gateways} idle gateways, per gateway and second: {:.1} datagrams, {:.0} bytes",
        idle_per_gateway_second[0], idle_per_gateway_second[1]
    );
    let start = traffic(&fleet);
    fleet.schedule_statements(statements, 0, 10 * SECOND);
    fleet.run(40 * SECOND);
    let cost: Vec<f64> = traffic(&fleet).iter().zip(start).map(|(a, b)| (a - b) as f64).collect();
    let per_statement =
        |i: usize| (cost[i] - idle_per_gateway_second[i] * 40.0 * gateways as f64) / statements as f64;
    let intent_delays = &fleet.counts().intent_delays;
    println!(
        "{statements} statements, {unsafe_percent} % unsafe, each: {:.1} datagrams of {:.0} bytes, \
         {:.1} sends of {:.0} bytes; intent to permission {:.1} ms (median), {:.1} ms (99th percentile)",
        per_statement(0),
        per_statement(1) / per_statement(0),
        per_statement(2),
        per_statement(3) / per_statement(2).max(0.01),
        percentile_ms(intent_delays, 50),
        percentile_ms(intent_delays, 99)
    );
    fleet.schedule_statements(statements, 0, 2 * SECOND);
    fleet.run(2 * SECOND);
    let owned = fleet.owned_statements();
    let killed = (0..gateways).max_by_key(|&gateway| owned[gateway]).unwrap_or(0);
    fleet.kill_process(killed);
    fleet.run(6 * SECOND);
    let takeover_delays = &fleet.counts().takeover_delays;
    println!(
        "g{killed} killed while it owned {} statements: {} taken over, {:.0} ms \
         (median) and {:.0} ms (last) after the kill",
        owned[killed],
        takeover_delays.len(),
        percentile_ms(takeover_delays, 50),
        percentile_ms(takeover_delays, 100)
    );
    fleet.run(40 * SECOND);
    let outcome = fleet.finish().map(|counts| [counts.accepted, counts.ended, counts.lost]);
    println!("accepted, ended, lost: {outcome:?}");
}

/// Gateways in the fleet of the CPU time measurement.
const MICROBENCH_GATEWAYS: usize = 300;
/// The gateway that accepts the statements.
const OWNER: usize = 9;

fn incarnation(gateway: usize) -> Incarnation {
    Incarnation { name: format!("g{gateway}"), number: gateway as u64 + 1 }
}

/// Gateways whose messages are delivered immediately.
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

    /// Carries out the effects of a gateway, and of the gateways that its messages reach.
    fn deliver_from(&mut self, first: usize) {
        let mut pending = vec![first];
        while let Some(gateway) = pending.pop() {
            while let Some(effect) = self.nodes[gateway].next_effect() {
                match effect {
                    Effect::SendDatagram(to, bytes) | Effect::SendRecords(to, bytes) => {
                        let to: usize = to[1..].parse().unwrap_or(0);
                        self.nodes[to].handle_message(self.now, &format!("g{gateway}"), &bytes);
                        pending.push(to);
                    }
                    Effect::StoreMarks(_) => {
                        self.nodes[gateway].marks_stored(self.now);
                        pending.push(gateway);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Runs a statement from its acceptance to its end.
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

/// Measures the CPU time that a statement costs its owner and its replicas.
fn measure_statement(repeat: RepeatSafety, count: u64) {
    let mut fleet = DirectFleet::new();
    let started = Instant::now();
    (1..=count).for_each(|number| fleet.run_statement(number, repeat));
    let micros_per_statement = started.elapsed().as_secs_f64() * 1e6 / count as f64;
    println!(
        "{repeat:?} to repeat: {micros_per_statement:.1} microseconds per statement, \
         at its owner and its replicas together"
    );
}

fn main() {
    for (gateways, statements) in [(24, 3_000), (300, 3_000)] {
        measure_fleet(gateways, 0, statements);
        measure_fleet(gateways, 100, statements);
    }
    measure_statement(RepeatSafety::Safe, 20_000);
    measure_statement(RepeatSafety::Unsafe, 20_000);
}
