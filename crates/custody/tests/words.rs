//! What custodians say and keep, where it is not what it should be: other formats, spoilt octets, late
//! sendings, no room, a gateway that is cut off.

use violetward_custody::{
    Effect, Incarnation, Member, MemberState, Out, Permission, Record, Repeat, Settings, StatementKey,
    StoredMarksError, TakeoverNode, Usage,
};

const SECOND: u64 = 1_000_000;

fn life(n: usize) -> Incarnation {
    Incarnation { name: format!("g{n}"), life: 100 + n as u64 }
}

fn key(number: u64) -> StatementKey {
    StatementKey { taken_by: life(0), number }
}

fn record(number: u64) -> Record {
    Record {
        key: key(number),
        version: 0,
        body: b"select 1".to_vec(),
        repeat: Repeat::Unsafe,
        left: 60 * SECOND,
        attempts: 0,
        out: None,
        passed: 0,
        ending: None,
    }
}

fn out() -> Out {
    Out { number: 0, engine: "e1".into(), next: None, page: 0, sent: 0, within: SECOND }
}

/// Three gateways whose sayings come at once.
struct Three {
    all: Vec<TakeoverNode>,
    now: u64,
    /// What was done besides saying, by whom, and all sendings.
    done: Vec<(usize, Effect)>,
    sent: Vec<(usize, String, Vec<u8>)>,
    /// Nothing passes between this one and the others.
    cut_off: Option<usize>,
}

impl Three {
    fn new(most: usize) -> Three {
        let members: Vec<Member> = (0..3)
            .map(|n| Member { incarnation: life(n), site: format!("s{n}"), state: MemberState::Alive })
            .collect();
        let custodian = |n: usize| {
            let terms = Settings {
                incarnation: life(n),
                site: format!("s{n}"),
                voters: (0..3).map(|v| format!("g{v}")).collect(),
                lease: 3 * SECOND,
                drift_ppm: 200,
                action_margin: 0,
                replicas: 2,
                max_replica_records: most,
                max_replica_bytes: 1 << 20,
            };
            let mut custodian = TakeoverNode::new(terms, None, SECOND).expect("a first start");
            custodian.update_members(SECOND, members.clone());
            custodian
        };
        let mut three = Three {
            all: (0..3).map(custodian).collect(),
            now: SECOND,
            done: Vec::new(),
            sent: Vec::new(),
            cut_off: None,
        };
        three.run(SECOND);
        assert!(three.all.iter().all(|c| c.may_act(three.now)));
        three
    }

    fn deliver(&mut self) {
        let mut n = 0;
        while n < 3 {
            let Some(effect) = self.all[n].next_effect() else {
                n += 1;
                continue;
            };
            match effect {
                Effect::SendDatagram(to, bytes) => self.hear(&format!("g{n}"), &to, &bytes),
                Effect::SendRecords(to, bytes) => {
                    self.hear(&format!("g{n}"), &to, &bytes);
                    self.sent.push((n, to, bytes));
                }
                Effect::StoreMarks(_) => self.all[n].marks_stored(self.now),
                other => self.done.push((n, other)),
            }
            n = 0;
        }
    }

    fn hear(&mut self, from: &str, to: &str, bytes: &[u8]) {
        let n: usize = to[1..].parse().expect("a number");
        if self.cut_off.is_some_and(|cut| cut == n || from == format!("g{cut}")) {
            return;
        }
        self.all[n].handle_message(self.now, from, bytes);
    }

    /// One of them sees the others so.
    fn sees(&mut self, n: usize, others: [(usize, MemberState); 2]) {
        let of = |(o, state)| Member { incarnation: life(o), site: format!("s{o}"), state };
        let mut members: Vec<Member> = others.map(of).into();
        members.push(of((n, MemberState::Alive)));
        self.all[n].update_members(self.now, members);
        self.deliver();
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 5_000;
            (0..3).for_each(|n| self.all[n].wake(self.now));
            self.deliver();
        }
    }
}

#[test]
fn an_intent_waits_for_both_guardians() {
    let mut three = Three::new(100);
    assert_eq!(three.all[0].add_statement(three.now, record(1)).len(), 2);
    assert_eq!(three.all[0].request_attempt(three.now, &key(1), 1, out()), Permission::Pending);
    three.deliver();
    assert!(three.done.contains(&(0, Effect::StartAttempt(key(1), 1))));
    assert_eq!((three.all[1].usage().replica_records, three.all[2].usage().replica_records), (1, 1));
}

#[test]
fn a_program_that_reads_another_format_is_told_and_is_no_guardian() {
    let mut three = Three::new(100);
    // What a later format says is answered with the one that is known here, and changes nothing.
    three.all[0].handle_message(three.now, "g1", &[9, 6, 1, 2, 3]);
    let answer =
        std::iter::from_fn(|| three.all[0].next_effect()).find(|e| matches!(e, Effect::SendDatagram(..)));
    assert_eq!(answer, Some(Effect::SendDatagram("g1".into(), vec![1, 255])));
    three.all[0].add_statement(three.now, record(1));
    three.all[0].request_attempt(three.now, &key(1), 1, out());
    // One guardian has the record; the other one says that it reads another format, and is not waited for.
    while let Some(effect) = three.all[0].next_effect() {
        match effect {
            Effect::SendRecords(to, bytes) if to == "g2" => three.hear("g0", "g2", &bytes),
            Effect::SendRecords(..) => three.all[0].handle_message(three.now, "g1", &[0, 255]),
            _ => {}
        }
    }
    three.deliver();
    assert!(three.done.contains(&(0, Effect::StartAttempt(key(1), 1))));
    assert_eq!(three.all[1].usage().replica_records, 0);
}

#[test]
fn octets_that_are_spoilt_change_nothing_and_stop_nobody() {
    let mut three = Three::new(100);
    three.all[0].add_statement(three.now, record(1));
    three.all[0].request_attempt(three.now, &key(1), 1, out());
    three.deliver();
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
    assert_eq!(before, 1, "a stranger is in no chain");
}

#[test]
fn a_sending_that_comes_late_brings_nothing_back() {
    let mut three = Three::new(100);
    three.all[0].add_statement(three.now, record(1));
    three.all[0].request_attempt(three.now, &key(1), 1, out());
    three.deliver();
    let late = three.sent.clone();
    three.all[0].finish_statement(three.now, &key(1));
    three.run(SECOND);
    assert_eq!((three.all[1].usage().replica_records, three.all[2].usage().replica_records), (0, 0));
    for (from, to, bytes) in late {
        three.hear(&format!("g{from}"), &to, &bytes);
    }
    assert_eq!((three.all[1].usage().replica_records, three.all[2].usage().replica_records), (0, 0));
}

#[test]
fn without_room_a_guardian_declines_and_the_statement_goes_on_with_the_other_word() {
    let mut three = Three::new(2);
    for number in 1..=5 {
        three.all[0].add_statement(three.now, record(number));
        let leave = three.all[0].request_attempt(three.now, &key(number), 1, out());
        three.deliver();
        three.run(SECOND / 10);
        // Once both have said that they have no room they are not even asked.
        let word = three.done.contains(&(0, Effect::StartAttempt(key(number), 1)));
        assert_eq!(
            (leave, word),
            if number < 4 { (Permission::Pending, true) } else { (Permission::Granted, false) },
            "{number}"
        );
    }
    assert_eq!((three.all[1].usage().replica_records, three.all[2].usage().replica_records), (2, 2));
    assert!(three.done.contains(&(0, Effect::Unreplicated(key(5)))));
}

#[test]
fn marks_that_were_kept_are_told_spoilt_foreign_or_of_another_format() {
    let mut three = Three::new(2);
    let gone = |state| Member { incarnation: life(2), site: "s2".into(), state };
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
    let kept = kept.expect("a mark is kept");
    let start = |bytes: &[u8]| {
        let terms = Settings {
            incarnation: Incarnation { name: "g1".into(), life: 7 },
            site: String::new(),
            voters: vec!["g1".into()],
            lease: SECOND,
            drift_ppm: 200,
            action_margin: 0,
            replicas: 2,
            max_replica_records: 1,
            max_replica_bytes: 1,
        };
        TakeoverNode::new(terms, Some(bytes), 0).err()
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
fn one_that_looks_dead_is_over_only_once_a_quorum_says_so_and_its_grant_has_run_out() {
    let mut three = Three::new(100);
    three.cut_off = Some(1);
    three.sees(1, [(0, MemberState::Dead), (2, MemberState::Dead)]);
    three.all[1].request_fencing(three.now, &life(0), 0);
    three.run(20 * SECOND);
    assert!(!three.all[1].is_fenced(&life(0), 0), "the one that is cut off cannot know");
    assert!(three.all[0].may_act(three.now), "it goes on");
    three.cut_off = Some(0);
    three.sees(1, [(0, MemberState::Dead), (2, MemberState::Alive)]);
    three.all[1].request_fencing(three.now, &life(0), 0);
    three.run(SECOND);
    assert!(three.all[0].may_act(three.now), "its lease still runs");
    assert!(!three.all[1].is_fenced(&life(0), 0));
    three.run(4 * SECOND);
    assert!(!three.all[0].may_act(three.now));
    assert!(three.all[1].is_fenced(&life(0), 0));
    assert!(!three.all[1].is_fenced(&life(0), 1), "its next term is another matter");
}

#[test]
fn what_nobody_else_has_heard_of_is_given_back_by_a_process_that_was_ended() {
    let mut three = Three::new(100);
    three.cut_off = Some(0);
    three.all[0].add_statement(three.now, record(1));
    assert_eq!(three.all[0].request_attempt(three.now, &key(1), 1, out()), Permission::Pending);
    three.sees(1, [(0, MemberState::Dead), (2, MemberState::Alive)]);
    three.all[1].request_fencing(three.now, &life(0), 0);
    three.run(6 * SECOND);
    assert!(three.all[1].is_fenced(&life(0), 0));
    assert_eq!(three.all[1].usage(), Usage::default());
    three.cut_off = None;
    three.sees(1, [(0, MemberState::Alive), (2, MemberState::Alive)]);
    three.run(4 * SECOND);
    let adopted = |done: &(usize, Effect)| match done {
        (n, Effect::TakenOver(record)) if *n > 0 && record.key == key(1) => {
            Some((record.attempts, record.out.is_none()))
        }
        _ => None,
    };
    // What it had meant to do and had no leave for was never done.
    assert_eq!(three.done.iter().filter_map(adopted).collect::<Vec<_>>(), [(0, true)]);
    assert!(three.done.contains(&(0, Effect::Relinquished(key(1)))));
    assert!(!three.done.iter().any(|d| matches!(d, (_, Effect::StartAttempt(..)))));
}

#[test]
fn a_client_is_told_that_its_statement_is_taken_once_others_have_it() {
    let mut three = Three::new(100);
    three.all[0].add_statement(three.now, record(1));
    assert!(!three.all[0].is_safely_replicated(three.now, &key(1), three.now));
    // Not held back like later words.
    three.run(5_000);
    assert!(three.all[0].is_safely_replicated(three.now, &key(1), three.now));
    // One keeper is silent: the other one and a tenure that was granted anew will do.
    three.cut_off = Some(2);
    let since = three.now;
    three.all[0].add_statement(since, record(2));
    three.run(5_000);
    assert!(!three.all[0].is_safely_replicated(three.now, &key(2), since));
    three.run(3 * SECOND / 2);
    assert!(three.all[0].is_safely_replicated(three.now, &key(2), since));
    // Cut off from all, whether membership knows of that or not.
    three.cut_off = Some(0);
    let since = three.now;
    three.all[0].add_statement(since, record(3));
    three.run(2 * SECOND);
    assert!(!three.all[0].is_safely_replicated(three.now, &key(3), since));
    three.sees(0, [(1, MemberState::Dead), (2, MemberState::Dead)]);
    three.all[0].add_statement(three.now, record(4));
    assert!(!three.all[0].is_safely_replicated(three.now, &key(3), since));
    assert!(!three.all[0].is_safely_replicated(three.now, &key(4), three.now));
}

#[test]
fn what_a_process_held_that_came_back_under_its_name_waits_for_its_grant_alone() {
    let mut three = Three::new(100);
    three.all[0].add_statement(three.now, record(1));
    three.run(SECOND / 10);
    three.cut_off = Some(0);
    // It started anew at once, and nobody had it for dead before.
    let new = Incarnation { life: 200, ..life(0) };
    for n in [1, 2] {
        let of = |life| Member { incarnation: life, site: "s0".into(), state: MemberState::Alive };
        three.all[n].update_members(three.now, vec![of(life(1)), of(life(2)), of(new.clone())]);
    }
    three.run(3 * SECOND + SECOND / 5);
    let adopted = |d: &&(usize, Effect)| matches!(&d.1, Effect::TakenOver(record) if record.key == key(1));
    assert_eq!(three.done.iter().filter(adopted).count(), 1);
}
