//! The state machines of three gateways whose messages are delivered immediately: replication, fencing,
//! takeover, and messages that are malformed, late or find no room.

use violetward_custody::{
    Effect, InFlightAttempt, Incarnation, Member, MemberState, Permission, Record, RepeatSafety, Settings,
    StatementKey, StoredMarksError, TakeoverNode, Usage,
};

/// One second in microseconds.
const SECOND: u64 = 1_000_000;

fn incarnation(gateway: usize) -> Incarnation {
    Incarnation { name: format!("g{gateway}"), number: 100 + gateway as u64 }
}

fn key(number: u64) -> StatementKey {
    StatementKey { accepted_by: incarnation(0), number }
}

fn record(number: u64) -> Record {
    Record {
        key: key(number),
        version: 0,
        body: b"select 1".to_vec(),
        repeat: RepeatSafety::Unsafe,
        remaining_wait: 60 * SECOND,
        attempts: 0,
        in_flight: None,
        pages_delivered: 0,
        ending: None,
    }
}

fn attempt() -> InFlightAttempt {
    InFlightAttempt {
        number: 0,
        engine: "e1".into(),
        next_uri: None,
        next_page: 0,
        elapsed: 0,
        timeout: SECOND,
    }
}

/// Three gateways whose messages are delivered immediately.
struct ThreeGateways {
    nodes: Vec<TakeoverNode>,
    now: u64,
    /// The effects of each gateway that were not carried out here.
    effects: Vec<(usize, Effect)>,
    /// The records that were sent: sender, receiver and bytes.
    sent_records: Vec<(usize, String, Vec<u8>)>,
    /// The bytes that each gateway stored last.
    stored_marks: Vec<Option<Vec<u8>>>,
    /// The gateway that no message passes to or from.
    partitioned: Option<usize>,
    /// The gateway that stands still; messages to it are lost.
    stopped: Option<usize>,
}

impl ThreeGateways {
    fn new(max_replica_records: usize) -> ThreeGateways {
        let members: Vec<Member> = (0..3)
            .map(|gateway| Member {
                incarnation: incarnation(gateway),
                site: format!("s{gateway}"),
                state: MemberState::Alive,
            })
            .collect();
        let node = |gateway: usize| {
            let settings = Settings {
                incarnation: incarnation(gateway),
                site: format!("s{gateway}"),
                voters: (0..3).map(|voter| format!("g{voter}")).collect(),
                lease: 3 * SECOND,
                drift_ppm: 200,
                action_margin: 0,
                replicas: 2,
                max_replica_records,
                max_replica_bytes: 1 << 20,
            };
            let mut node = TakeoverNode::new(settings, None, SECOND).expect("a first start");
            node.update_members(SECOND, members.clone());
            node
        };
        let mut gateways = ThreeGateways {
            nodes: (0..3).map(node).collect(),
            now: SECOND,
            effects: Vec::new(),
            sent_records: Vec::new(),
            stored_marks: vec![None; 3],
            partitioned: None,
            stopped: None,
        };
        gateways.run(SECOND);
        assert!(gateways.nodes.iter().all(|node| node.may_act(gateways.now)));
        gateways
    }

    fn deliver_all(&mut self) {
        let mut gateway = 0;
        while gateway < 3 {
            let Some(effect) = self.nodes[gateway].next_effect() else {
                gateway += 1;
                continue;
            };
            match effect {
                Effect::SendDatagram(to, bytes) => self.deliver_message(&format!("g{gateway}"), &to, &bytes),
                Effect::SendRecords(to, bytes) => {
                    self.deliver_message(&format!("g{gateway}"), &to, &bytes);
                    self.sent_records.push((gateway, to, bytes));
                }
                Effect::StoreMarks(bytes) => {
                    self.stored_marks[gateway] = Some(bytes);
                    self.nodes[gateway].marks_stored(self.now);
                }
                other => self.effects.push((gateway, other)),
            }
            gateway = 0;
        }
    }

    fn deliver_message(&mut self, from: &str, to: &str, bytes: &[u8]) {
        let gateway: usize = to[1..].parse().expect("a number");
        if self
            .partitioned
            .is_some_and(|partitioned| partitioned == gateway || from == format!("g{partitioned}"))
            || self.stopped == Some(gateway)
        {
            return;
        }
        self.nodes[gateway].handle_message(self.now, from, bytes);
    }

    /// Sets the states of the other two gateways according to the membership of one gateway.
    fn set_membership(&mut self, gateway: usize, others: [(usize, MemberState); 2]) {
        let member =
            |(other, state)| Member { incarnation: incarnation(other), site: format!("s{other}"), state };
        let mut members: Vec<Member> = others.map(member).into();
        members.push(member((gateway, MemberState::Alive)));
        self.nodes[gateway].update_members(self.now, members);
        self.deliver_all();
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 5_000;
            for gateway in (0..3).filter(|gateway| self.stopped != Some(*gateway)) {
                self.nodes[gateway].wake(self.now);
            }
            self.deliver_all();
        }
    }
}

#[test]
fn an_unsafe_attempt_waits_until_both_replicas_have_its_intent() {
    let mut gateways = ThreeGateways::new(100);
    assert_eq!(gateways.nodes[0].add_statement(gateways.now, record(1)).len(), 2);
    assert_eq!(gateways.nodes[0].request_attempt(gateways.now, &key(1), 1, attempt()), Permission::Pending);
    gateways.deliver_all();
    assert!(gateways.effects.contains(&(0, Effect::StartAttempt(key(1), 1))));
    assert_eq!(
        (gateways.nodes[1].usage().replica_records, gateways.nodes[2].usage().replica_records),
        (1, 1)
    );
}

#[test]
fn a_gateway_with_another_message_format_gets_a_reply_and_is_not_used_as_a_replica() {
    let mut gateways = ThreeGateways::new(100);
    // A message of a later format is answered with the supported format, and changes nothing.
    gateways.nodes[0].handle_message(gateways.now, "g1", &[9, 6, 1, 2, 3]);
    let answer = std::iter::from_fn(|| gateways.nodes[0].next_effect())
        .find(|effect| matches!(effect, Effect::SendDatagram(..)));
    assert_eq!(answer, Some(Effect::SendDatagram("g1".into(), vec![1, 255])));
    gateways.nodes[0].add_statement(gateways.now, record(1));
    gateways.nodes[0].request_attempt(gateways.now, &key(1), 1, attempt());
    // One replica has the record; the attempt does not wait for the other, which supports another format
    // only.
    while let Some(effect) = gateways.nodes[0].next_effect() {
        match effect {
            Effect::SendRecords(to, bytes) if to == "g2" => gateways.deliver_message("g0", "g2", &bytes),
            Effect::SendRecords(..) => gateways.nodes[0].handle_message(gateways.now, "g1", &[0, 255]),
            _ => {}
        }
    }
    gateways.deliver_all();
    assert!(gateways.effects.contains(&(0, Effect::StartAttempt(key(1), 1))));
    assert_eq!(gateways.nodes[1].usage().replica_records, 0);
}

#[test]
fn malformed_messages_change_nothing() {
    let mut gateways = ThreeGateways::new(100);
    gateways.nodes[0].add_statement(gateways.now, record(1));
    gateways.nodes[0].request_attempt(gateways.now, &key(1), 1, attempt());
    gateways.deliver_all();
    let sent: Vec<Vec<u8>> = gateways.sent_records.iter().map(|(_, _, bytes)| bytes.clone()).collect();
    for bytes in sent {
        for cut in 0..bytes.len() {
            gateways.nodes[1].handle_message(gateways.now, "g0", &bytes[..cut]);
        }
        // A length beyond the end of the message is rejected.
        for at in 14..bytes.len() {
            let mut corrupted = bytes.clone();
            corrupted[at] = 0xff;
            gateways.nodes[2].handle_message(gateways.now, "g7", &corrupted);
        }
    }
    assert_eq!(gateways.nodes[1].usage().replica_records, 1);
    let before = gateways.nodes[2].usage().replica_records;
    assert_eq!(before, 1, "a gateway that is in no replica list cannot change the record");
}

#[test]
fn a_late_batch_does_not_revive_a_finished_statement() {
    let mut gateways = ThreeGateways::new(100);
    gateways.nodes[0].add_statement(gateways.now, record(1));
    gateways.nodes[0].request_attempt(gateways.now, &key(1), 1, attempt());
    gateways.deliver_all();
    let late = gateways.sent_records.clone();
    gateways.nodes[0].finish_statement(gateways.now, &key(1));
    gateways.run(SECOND);
    assert_eq!(
        (gateways.nodes[1].usage().replica_records, gateways.nodes[2].usage().replica_records),
        (0, 0)
    );
    for (from, to, bytes) in late {
        gateways.deliver_message(&format!("g{from}"), &to, &bytes);
    }
    assert_eq!(
        (gateways.nodes[1].usage().replica_records, gateways.nodes[2].usage().replica_records),
        (0, 0)
    );
}

#[test]
fn a_replica_without_room_declines_and_attempts_are_still_permitted() {
    let mut gateways = ThreeGateways::new(2);
    for number in 1..=5 {
        gateways.nodes[0].add_statement(gateways.now, record(number));
        let permission = gateways.nodes[0].request_attempt(gateways.now, &key(number), 1, attempt());
        gateways.deliver_all();
        gateways.run(SECOND / 10);
        // Once both have declined, no replica is selected for a while.
        let is_permitted_later = gateways.effects.contains(&(0, Effect::StartAttempt(key(number), 1)));
        assert_eq!(
            (permission, is_permitted_later),
            if number < 4 { (Permission::Pending, true) } else { (Permission::Granted, false) },
            "statement {number}"
        );
    }
    assert_eq!(
        (gateways.nodes[1].usage().replica_records, gateways.nodes[2].usage().replica_records),
        (2, 2)
    );
    assert!(gateways.effects.contains(&(0, Effect::Unreplicated(key(5)))));
}

#[test]
fn damaged_and_foreign_stored_marks_are_rejected() {
    let mut gateways = ThreeGateways::new(2);
    gateways.nodes[0].add_statement(gateways.now, record(1));
    gateways.run(SECOND);
    let before = gateways.stored_marks[1].clone();
    gateways.partitioned = Some(2);
    gateways.set_membership(1, [(0, MemberState::Alive), (2, MemberState::Dead)]);
    gateways.run(5 * SECOND);
    let stored = gateways.stored_marks[1].clone().filter(|stored| Some(stored) != before.as_ref());
    let stored = stored.expect("marks are stored");
    let start = |bytes: &[u8]| {
        let settings = Settings {
            incarnation: Incarnation { name: "g1".into(), number: 7 },
            site: String::new(),
            voters: vec!["g1".into()],
            lease: SECOND,
            drift_ppm: 200,
            action_margin: 0,
            replicas: 2,
            max_replica_records: 1,
            max_replica_bytes: 1,
        };
        TakeoverNode::new(settings, Some(bytes), 0).err()
    };
    assert_eq!(start(&stored), None);
    for at in 0..stored.len() {
        let mut corrupted = stored.clone();
        corrupted[at] ^= 4;
        assert!(start(&corrupted).is_some(), "bit flipped in byte {at}");
        assert!(start(&stored[..at]).is_some(), "truncated to {at} bytes");
    }
    assert_eq!(start(b"something else"), Some(StoredMarksError::Foreign));
}

#[test]
fn a_process_that_looks_dead_is_fenced_only_by_a_quorum_and_once_its_lease_has_expired() {
    let mut gateways = ThreeGateways::new(100);
    gateways.partitioned = Some(1);
    gateways.set_membership(1, [(0, MemberState::Dead), (2, MemberState::Dead)]);
    gateways.nodes[1].request_fencing(gateways.now, &incarnation(0), 0);
    gateways.run(20 * SECOND);
    assert!(!gateways.nodes[1].is_fenced(&incarnation(0), 0), "a partitioned gateway has no quorum");
    assert!(gateways.nodes[0].may_act(gateways.now), "the gateway on the other side keeps its lease");
    gateways.partitioned = Some(0);
    gateways.set_membership(1, [(0, MemberState::Dead), (2, MemberState::Alive)]);
    gateways.nodes[1].request_fencing(gateways.now, &incarnation(0), 0);
    gateways.run(SECOND);
    assert!(gateways.nodes[0].may_act(gateways.now), "its lease is still valid");
    assert!(!gateways.nodes[1].is_fenced(&incarnation(0), 0));
    gateways.run(4 * SECOND);
    assert!(!gateways.nodes[0].may_act(gateways.now));
    assert!(gateways.nodes[1].is_fenced(&incarnation(0), 0));
    assert!(!gateways.nodes[1].is_fenced(&incarnation(0), 1), "its next term is not fenced");
}

#[test]
fn a_fenced_process_returns_statements_that_no_other_gateway_has() {
    let mut gateways = ThreeGateways::new(100);
    gateways.partitioned = Some(0);
    gateways.nodes[0].add_statement(gateways.now, record(1));
    assert_eq!(gateways.nodes[0].request_attempt(gateways.now, &key(1), 1, attempt()), Permission::Pending);
    gateways.set_membership(1, [(0, MemberState::Dead), (2, MemberState::Alive)]);
    gateways.nodes[1].request_fencing(gateways.now, &incarnation(0), 0);
    gateways.run(6 * SECOND);
    assert!(gateways.nodes[1].is_fenced(&incarnation(0), 0));
    assert_eq!(gateways.nodes[1].usage(), Usage::default());
    gateways.partitioned = None;
    gateways.set_membership(1, [(0, MemberState::Alive), (2, MemberState::Alive)]);
    gateways.run(4 * SECOND);
    let taken_over = |done: &(usize, Effect)| match done {
        (gateway, Effect::TakenOver(record)) if *gateway > 0 && record.key == key(1) => {
            Some((record.attempts, record.in_flight.is_none()))
        }
        _ => None,
    };
    // The attempt was never permitted, so the record that was taken over has none.
    assert_eq!(gateways.effects.iter().filter_map(taken_over).collect::<Vec<_>>(), [(0, true)]);
    assert!(gateways.effects.contains(&(0, Effect::Relinquished(key(1)))));
    assert!(!gateways.effects.iter().any(|effect| matches!(effect, (_, Effect::StartAttempt(..)))));
}

#[test]
fn a_statement_is_safely_replicated_once_others_have_it() {
    let mut gateways = ThreeGateways::new(100);
    gateways.nodes[0].add_statement(gateways.now, record(1));
    assert!(!gateways.nodes[0].is_safely_replicated(gateways.now, &key(1), gateways.now));
    // The first record is sent without the delay of later ones.
    gateways.run(5_000);
    assert!(gateways.nodes[0].is_safely_replicated(gateways.now, &key(1), gateways.now));
    // One replica does not answer: the other one and a lease granted again since then suffice.
    gateways.partitioned = Some(2);
    let since = gateways.now;
    gateways.nodes[0].add_statement(since, record(2));
    gateways.run(5_000);
    assert!(!gateways.nodes[0].is_safely_replicated(gateways.now, &key(2), since));
    gateways.run(3 * SECOND / 2);
    assert!(gateways.nodes[0].is_safely_replicated(gateways.now, &key(2), since));
    // Partitioned from both others, before and after membership notices that.
    gateways.partitioned = Some(0);
    let since = gateways.now;
    gateways.nodes[0].add_statement(since, record(3));
    gateways.run(2 * SECOND);
    assert!(!gateways.nodes[0].is_safely_replicated(gateways.now, &key(3), since));
    gateways.set_membership(0, [(1, MemberState::Dead), (2, MemberState::Dead)]);
    gateways.nodes[0].add_statement(gateways.now, record(4));
    assert!(!gateways.nodes[0].is_safely_replicated(gateways.now, &key(3), since));
    assert!(!gateways.nodes[0].is_safely_replicated(gateways.now, &key(4), gateways.now));
}

#[test]
fn statements_of_a_restarted_process_are_taken_over_once_its_lease_has_expired() {
    let mut gateways = ThreeGateways::new(100);
    gateways.nodes[0].add_statement(gateways.now, record(1));
    gateways.run(SECOND / 10);
    gateways.partitioned = Some(0);
    // The process was restarted at once, without having been declared dead.
    let restarted = Incarnation { number: 200, ..incarnation(0) };
    for gateway in [1, 2] {
        let member = |incarnation| Member { incarnation, site: "s0".into(), state: MemberState::Alive };
        gateways.nodes[gateway].update_members(
            gateways.now,
            vec![member(incarnation(1)), member(incarnation(2)), member(restarted.clone())],
        );
    }
    gateways.run(3 * SECOND + SECOND / 5);
    let taken_over =
        |effect: &&(usize, Effect)| matches!(&effect.1, Effect::TakenOver(record) if record.key == key(1));
    assert_eq!(gateways.effects.iter().filter(taken_over).count(), 1);
}

/// A voter that stood still and missed a running gateway's renewals fenced it as soon as it went on.
#[test]
fn a_voter_that_stood_still_listens_before_it_fences() {
    let mut kept_lease = 0;
    for offset in 0..20 {
        let mut gateways = ThreeGateways::new(100);
        gateways.nodes[0].add_statement(gateways.now, record(1));
        gateways.run(3 * SECOND + offset * SECOND / 20);
        // A renewal of the gateway may be lost, so that this voter has heard it less recently than the others.
        gateways.partitioned = Some(0);
        gateways.run(SECOND / 5);
        gateways.partitioned = None;
        gateways.set_membership(1, [(0, MemberState::Dead), (2, MemberState::Alive)]);
        gateways.stopped = Some(2);
        gateways.run(12 * SECOND / 5);
        gateways.stopped = None;
        kept_lease += u32::from(gateways.nodes[2].may_act(gateways.now));
        let before = gateways.stored_marks[2].clone();
        gateways.run(4 * SECOND);
        assert_eq!(
            gateways.stored_marks[2], before,
            "offset {offset}: fenced a gateway that holds its lease"
        );
        assert!(gateways.nodes[0].may_act(gateways.now), "offset {offset}");
    }
    assert!(kept_lease > 0, "the voter has always stood still for longer than its lease");
}
