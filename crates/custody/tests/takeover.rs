//! Three gateways whose messages arrive at once: replication, fencing, takeover, and what is malformed, late
//! or without room.

use violetward_custody::{
    Effect, InFlightAttempt, Incarnation, Member, MemberState, Permission, Record, RepeatSafety, Settings,
    StatementKey, StoredMarksError, TakeoverNode, Usage,
};

const SECOND: u64 = 1_000_000;

fn incarnation(n: usize) -> Incarnation {
    Incarnation { name: format!("g{n}"), number: 100 + n as u64 }
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

/// Three gateways whose messages arrive at once.
struct Three {
    all: Vec<TakeoverNode>,
    now: u64,
    /// All other effects, by whom; and all records that were sent.
    done: Vec<(usize, Effect)>,
    sent: Vec<(usize, String, Vec<u8>)>,
    /// Nothing passes between this one and the others.
    partitioned: Option<usize>,
}

impl Three {
    fn new(most: usize) -> Three {
        let members: Vec<Member> = (0..3)
            .map(|n| Member { incarnation: incarnation(n), site: format!("s{n}"), state: MemberState::Alive })
            .collect();
        let node = |n: usize| {
            let settings = Settings {
                incarnation: incarnation(n),
                site: format!("s{n}"),
                voters: (0..3).map(|v| format!("g{v}")).collect(),
                lease: 3 * SECOND,
                drift_ppm: 200,
                action_margin: 0,
                replicas: 2,
                max_replica_records: most,
                max_replica_bytes: 1 << 20,
            };
            let mut node = TakeoverNode::new(settings, None, SECOND).expect("a first start");
            node.update_members(SECOND, members.clone());
            node
        };
        let mut three = Three {
            all: (0..3).map(node).collect(),
            now: SECOND,
            done: Vec::new(),
            sent: Vec::new(),
            partitioned: None,
        };
        three.run(SECOND);
        assert!(three.all.iter().all(|c| c.may_act(three.now)));
        three
    }

    fn deliver_all(&mut self) {
        let mut n = 0;
        while n < 3 {
            let Some(effect) = self.all[n].next_effect() else {
                n += 1;
                continue;
            };
            match effect {
                Effect::SendDatagram(to, bytes) => self.deliver_message(&format!("g{n}"), &to, &bytes),
                Effect::SendRecords(to, bytes) => {
                    self.deliver_message(&format!("g{n}"), &to, &bytes);
                    self.sent.push((n, to, bytes));
                }
                Effect::StoreMarks(_) => self.all[n].marks_stored(self.now),
                other => self.done.push((n, other)),
            }
            n = 0;
        }
    }

    fn deliver_message(&mut self, from: &str, to: &str, bytes: &[u8]) {
        let n: usize = to[1..].parse().expect("a number");
        if self.partitioned.is_some_and(|cut| cut == n || from == format!("g{cut}")) {
            return;
        }
        self.all[n].handle_message(self.now, from, bytes);
    }

    /// What the membership of one of them believes of the others.
    fn set_membership(&mut self, n: usize, others: [(usize, MemberState); 2]) {
        let of = |(o, state)| Member { incarnation: incarnation(o), site: format!("s{o}"), state };
        let mut members: Vec<Member> = others.map(of).into();
        members.push(of((n, MemberState::Alive)));
        self.all[n].update_members(self.now, members);
        self.deliver_all();
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 5_000;
            (0..3).for_each(|n| self.all[n].wake(self.now));
            self.deliver_all();
        }
    }
}

#[test]
fn an_intent_waits_for_both_replicas() {
    let mut three = Three::new(100);
    assert_eq!(three.all[0].add_statement(three.now, record(1)).len(), 2);
    assert_eq!(three.all[0].request_attempt(three.now, &key(1), 1, attempt()), Permission::Pending);
    three.deliver_all();
    assert!(three.done.contains(&(0, Effect::StartAttempt(key(1), 1))));
    assert_eq!((three.all[1].usage().replica_records, three.all[2].usage().replica_records), (1, 1));
}

#[test]
fn a_gateway_of_another_message_format_is_told_and_is_no_replica() {
    let mut three = Three::new(100);
    // A message of a later format is answered with the supported one, and changes nothing.
    three.all[0].handle_message(three.now, "g1", &[9, 6, 1, 2, 3]);
    let answer =
        std::iter::from_fn(|| three.all[0].next_effect()).find(|e| matches!(e, Effect::SendDatagram(..)));
    assert_eq!(answer, Some(Effect::SendDatagram("g1".into(), vec![1, 255])));
    three.all[0].add_statement(three.now, record(1));
    three.all[0].request_attempt(three.now, &key(1), 1, attempt());
    // One replica has the record; the other one supports another format only, and is not awaited.
    while let Some(effect) = three.all[0].next_effect() {
        match effect {
            Effect::SendRecords(to, bytes) if to == "g2" => three.deliver_message("g0", "g2", &bytes),
            Effect::SendRecords(..) => three.all[0].handle_message(three.now, "g1", &[0, 255]),
            _ => {}
        }
    }
    three.deliver_all();
    assert!(three.done.contains(&(0, Effect::StartAttempt(key(1), 1))));
    assert_eq!(three.all[1].usage().replica_records, 0);
}

#[test]
fn malformed_bytes_change_nothing_and_stop_nobody() {
    let mut three = Three::new(100);
    three.all[0].add_statement(three.now, record(1));
    three.all[0].request_attempt(three.now, &key(1), 1, attempt());
    three.deliver_all();
    let sent: Vec<Vec<u8>> = three.sent.iter().map(|s| s.2.clone()).collect();
    for bytes in sent {
        for cut in 0..bytes.len() {
            three.all[1].handle_message(three.now, "g0", &bytes[..cut]);
        }
        // A length that is not there must not be believed.
        for at in 14..bytes.len() {
            let mut turned = bytes.clone();
            turned[at] = 0xff;
            three.all[2].handle_message(three.now, "g7", &turned);
        }
    }
    assert_eq!(three.all[1].usage().replica_records, 1);
    let before = three.all[2].usage().replica_records;
    assert_eq!(before, 1, "a stranger is in no replica list");
}

#[test]
fn a_late_batch_revives_nothing() {
    let mut three = Three::new(100);
    three.all[0].add_statement(three.now, record(1));
    three.all[0].request_attempt(three.now, &key(1), 1, attempt());
    three.deliver_all();
    let late = three.sent.clone();
    three.all[0].finish_statement(three.now, &key(1));
    three.run(SECOND);
    assert_eq!((three.all[1].usage().replica_records, three.all[2].usage().replica_records), (0, 0));
    for (from, to, bytes) in late {
        three.deliver_message(&format!("g{from}"), &to, &bytes);
    }
    assert_eq!((three.all[1].usage().replica_records, three.all[2].usage().replica_records), (0, 0));
}

#[test]
fn a_replica_without_room_declines_and_the_statement_goes_on() {
    let mut three = Three::new(2);
    for number in 1..=5 {
        three.all[0].add_statement(three.now, record(number));
        let permission = three.all[0].request_attempt(three.now, &key(number), 1, attempt());
        three.deliver_all();
        three.run(SECOND / 10);
        // Once both have declined they are not even asked.
        let is_permitted_later = three.done.contains(&(0, Effect::StartAttempt(key(number), 1)));
        assert_eq!(
            (permission, is_permitted_later),
            if number < 4 { (Permission::Pending, true) } else { (Permission::Granted, false) },
            "{number}"
        );
    }
    assert_eq!((three.all[1].usage().replica_records, three.all[2].usage().replica_records), (2, 2));
    assert!(three.done.contains(&(0, Effect::Unreplicated(key(5)))));
}

#[test]
fn stored_marks_that_are_damaged_or_foreign_are_rejected() {
    let mut three = Three::new(2);
    let gone = |state| Member { incarnation: incarnation(2), site: "s2".into(), state };
    three.all[0].add_statement(three.now, record(1));
    three.run(SECOND);
    three.all[1].update_members(three.now, vec![gone(MemberState::Dead)]);
    let mut kept = None;
    for _ in 0..400 {
        three.now += 5_000;
        three.all[1].wake(three.now);
        while let Some(effect) = three.all[1].next_effect() {
            if let Effect::StoreMarks(bytes) = effect {
                three.all[1].marks_stored(three.now);
                kept = Some(bytes);
            }
        }
    }
    let kept = kept.expect("marks are stored");
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
    assert_eq!(start(&kept), None);
    for at in 0..kept.len() {
        let mut turned = kept.clone();
        turned[at] ^= 4;
        assert!(start(&turned).is_some(), "bit of octet {at}");
        assert!(start(&kept[..at]).is_some(), "cut at {at}");
    }
    assert_eq!(start(b"something else"), Some(StoredMarksError::Foreign));
}

#[test]
fn a_process_that_looks_dead_is_fenced_only_by_a_quorum_and_once_its_lease_has_run_out() {
    let mut three = Three::new(100);
    three.partitioned = Some(1);
    three.set_membership(1, [(0, MemberState::Dead), (2, MemberState::Dead)]);
    three.all[1].request_fencing(three.now, &incarnation(0), 0);
    three.run(20 * SECOND);
    assert!(!three.all[1].is_fenced(&incarnation(0), 0), "the partitioned one cannot know");
    assert!(three.all[0].may_act(three.now), "it goes on");
    three.partitioned = Some(0);
    three.set_membership(1, [(0, MemberState::Dead), (2, MemberState::Alive)]);
    three.all[1].request_fencing(three.now, &incarnation(0), 0);
    three.run(SECOND);
    assert!(three.all[0].may_act(three.now), "its lease still runs");
    assert!(!three.all[1].is_fenced(&incarnation(0), 0));
    three.run(4 * SECOND);
    assert!(!three.all[0].may_act(three.now));
    assert!(three.all[1].is_fenced(&incarnation(0), 0));
    assert!(!three.all[1].is_fenced(&incarnation(0), 1), "its next term is another matter");
}

#[test]
fn a_fenced_process_returns_what_nobody_else_has_heard_of() {
    let mut three = Three::new(100);
    three.partitioned = Some(0);
    three.all[0].add_statement(three.now, record(1));
    assert_eq!(three.all[0].request_attempt(three.now, &key(1), 1, attempt()), Permission::Pending);
    three.set_membership(1, [(0, MemberState::Dead), (2, MemberState::Alive)]);
    three.all[1].request_fencing(three.now, &incarnation(0), 0);
    three.run(6 * SECOND);
    assert!(three.all[1].is_fenced(&incarnation(0), 0));
    assert_eq!(three.all[1].usage(), Usage::default());
    three.partitioned = None;
    three.set_membership(1, [(0, MemberState::Alive), (2, MemberState::Alive)]);
    three.run(4 * SECOND);
    let taken_over = |done: &(usize, Effect)| match done {
        (n, Effect::TakenOver(record)) if *n > 0 && record.key == key(1) => {
            Some((record.attempts, record.in_flight.is_none()))
        }
        _ => None,
    };
    // The attempt that had no permission was never made.
    assert_eq!(three.done.iter().filter_map(taken_over).collect::<Vec<_>>(), [(0, true)]);
    assert!(three.done.contains(&(0, Effect::Relinquished(key(1)))));
    assert!(!three.done.iter().any(|d| matches!(d, (_, Effect::StartAttempt(..)))));
}

#[test]
fn a_statement_is_acknowledged_to_its_client_once_others_have_it() {
    let mut three = Three::new(100);
    three.all[0].add_statement(three.now, record(1));
    assert!(!three.all[0].is_safely_replicated(three.now, &key(1), three.now));
    // The first record is not held back like later ones.
    three.run(5_000);
    assert!(three.all[0].is_safely_replicated(three.now, &key(1), three.now));
    // One replica is silent: the other one and a lease that was granted anew suffice.
    three.partitioned = Some(2);
    let since = three.now;
    three.all[0].add_statement(since, record(2));
    three.run(5_000);
    assert!(!three.all[0].is_safely_replicated(three.now, &key(2), since));
    three.run(3 * SECOND / 2);
    assert!(three.all[0].is_safely_replicated(three.now, &key(2), since));
    // Partitioned from all, whether membership knows of that or not.
    three.partitioned = Some(0);
    let since = three.now;
    three.all[0].add_statement(since, record(3));
    three.run(2 * SECOND);
    assert!(!three.all[0].is_safely_replicated(three.now, &key(3), since));
    three.set_membership(0, [(1, MemberState::Dead), (2, MemberState::Dead)]);
    three.all[0].add_statement(three.now, record(4));
    assert!(!three.all[0].is_safely_replicated(three.now, &key(3), since));
    assert!(!three.all[0].is_safely_replicated(three.now, &key(4), three.now));
}

#[test]
fn statements_of_a_restarted_process_are_taken_over_once_its_lease_has_run_out() {
    let mut three = Three::new(100);
    three.all[0].add_statement(three.now, record(1));
    three.run(SECOND / 10);
    three.partitioned = Some(0);
    // It was restarted at once, and nobody believed it dead before.
    let new = Incarnation { number: 200, ..incarnation(0) };
    for n in [1, 2] {
        let of = |incarnation| Member { incarnation, site: "s0".into(), state: MemberState::Alive };
        three.all[n].update_members(three.now, vec![of(incarnation(1)), of(incarnation(2)), of(new.clone())]);
    }
    three.run(3 * SECOND + SECOND / 5);
    let taken_over = |d: &&(usize, Effect)| matches!(&d.1, Effect::TakenOver(record) if record.key == key(1));
    assert_eq!(three.done.iter().filter(taken_over).count(), 1);
}
