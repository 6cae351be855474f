//! The table against plain reference models, tokens against changed bytes, and the small decisions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use proptest::prelude::*;
use violetward_session::index::Index;
use violetward_session::kind::Kind;
use violetward_session::recipe::Recipe;
use violetward_session::reserve;
use violetward_session::table::*;
use violetward_session::token::{Key, Keys, Token, TokenError};

const S: Micros = 1_000_000;

fn cases() -> u32 {
    std::env::var("VIOLETWARD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(200)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        ..ProptestConfig::default()
    }
}

fn limits() -> Limits {
    Limits {
        idle: Duration::from_secs(10),
        locks_idle: Duration::from_secs(3),
        absolute: Duration::from_secs(40),
        finish_within: Duration::from_secs(5),
        most: 40,
        most_a_user: 12,
        most_an_engine: 20,
    }
}

fn binding(engine: u64, epoch: &str, holds: Holds) -> Binding {
    Binding { engine, epoch: epoch.into(), inner: "s1".into(), holds, finishing: false }
}

const TX: Holds = Holds { transaction: true, tables: false };
const TABLES: Holds = Holds { transaction: false, tables: true };

/// What a session is, plainly.
#[derive(Debug, Clone)]
struct Plain {
    user: u64,
    engine: u64,
    epoch: u64,
    holds: Holds,
    opened: Micros,
    used: Micros,
    until: Micros,
    running: Option<u64>,
    transaction: u64,
    aborted: Option<u64>,
}

#[derive(Debug, Clone)]
enum Step {
    Open { user: u64, engine: u64, epoch: u64, tx: bool, until: u64 },
    Enter { which: usize, user: u64, rolls_back: bool, tx: u64, tables: bool },
    Leave { which: usize, how: u8 },
    Pass { ms: u64 },
    Lose { engine: u64 },
    Epoch { engine: u64, epoch: u64 },
    Drain { engine: u64, drains: bool },
    End { which: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u64, 0..3u64, 0..2u64, any::<bool>(), 1..60u64)
            .prop_map(|(user, engine, epoch, tx, until)| Step::Open { user, engine, epoch, tx, until }),
        4 => (0..50usize, 0..4u64, any::<bool>(), 0..3u64, any::<bool>())
            .prop_map(|(which, user, rolls_back, tx, tables)| Step::Enter { which, user, rolls_back, tx, tables }),
        4 => (0..50usize, 0..5u8).prop_map(|(which, how)| Step::Leave { which, how }),
        3 => (1..4000u64).prop_map(|ms| Step::Pass { ms }),
        1 => (0..3u64).prop_map(|engine| Step::Lose { engine }),
        1 => (0..3u64, 0..2u64).prop_map(|(engine, epoch)| Step::Epoch { engine, epoch }),
        1 => (0..3u64, any::<bool>()).prop_map(|(engine, drains)| Step::Drain { engine, drains }),
        1 => (0..50usize).prop_map(|which| Step::End { which }),
    ]
}

/// A number as the gateways make them: spread over 64 bits.
fn number(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_table_does_what_a_plain_map_does(steps in prop::collection::vec(step(), 1..200)) {
        let mut now = 1_700_000_000 * S;
        let mut table = Table::new(limits(), 0);
        let mut plain: BTreeMap<u64, Plain> = BTreeMap::new();
        let mut gone: HashMap<u64, Why> = HashMap::new();
        let mut draining: HashMap<u64, Micros> = HashMap::new();
        let (mut next, mut statement) = (0u64, 0u64);
        let pick = |plain: &BTreeMap<u64, Plain>, which: usize| plain.keys().nth(which % plain.len().max(1)).copied();
        for step in steps {
            match step {
                Step::Open { user, engine, epoch, tx, until } => {
                    next += 1;
                    let holds = if tx { TX } else { TABLES };
                    let here = plain.values().filter(|p| p.engine == engine && p.epoch == epoch).count();
                    let of_user = plain.values().filter(|p| p.user == user).count();
                    let expected = match () {
                        _ if plain.len() >= 40 => Err(Full::Gateway),
                        _ if of_user >= 12 => Err(Full::User),
                        _ if here >= 20 => Err(Full::Engine),
                        _ => Ok(()),
                    };
                    let until = now + until * S;
                    let b = binding(engine, &epoch.to_string(), holds);
                    prop_assert_eq!(table.open(now, number(next), &user.to_string(), &b, until, None), expected);
                    if expected.is_ok() {
                        let p = Plain { user, engine, epoch, holds, opened: now, used: now, until, running: None, transaction: 0, aborted: None };
                        plain.insert(next, p);
                    }
                }
                Step::Enter { which, user, rolls_back, tx, tables } => {
                    let Some(n) = pick(&plain, which) else { continue };
                    statement += 1;
                    let p = plain.get_mut(&n).unwrap();
                    let carried = Holds { transaction: tx > 0, tables };
                    if p.user == user && p.running.is_none() {
                        p.aborted = p.aborted.filter(|&within| within == 0 || within == tx);
                        p.transaction = tx;
                        p.holds = if carried.is_nothing() { p.holds } else { carried };
                    }
                    let expected = match () {
                        _ if p.user != user => Err(Denied::NotYours),
                        _ if p.running.is_some() => Err(Denied::Busy),
                        _ if p.aborted.is_some() && !rolls_back => Err(Denied::Aborted),
                        _ => Ok(()),
                    };
                    let got = table.enter(now, number(n), &user.to_string(), statement, carried, tx, rolls_back);
                    prop_assert_eq!(got.clone().map(|_| ()), expected);
                    if let Ok(b) = got {
                        (p.running, p.used) = (Some(statement), now);
                        prop_assert_eq!((b.engine, b.epoch, b.holds), (p.engine, p.epoch.to_string(), p.holds));
                        prop_assert_eq!(b.finishing, draining.contains_key(&p.engine));
                    }
                }
                Step::Leave { which, how } => {
                    let Some(n) = pick(&plain, which) else { continue };
                    let p = plain.get_mut(&n).unwrap();
                    let Some(running) = p.running else {
                        // An end of no statement changes nothing.
                        table.leave(now, number(n), 7_777_777, Left::Unsure);
                        continue;
                    };
                    let left = [Left::Untouched, Left::Unsure, Left::Holding(TX), Left::Holding(TABLES), Left::Holding(Holds::default())][how as usize];
                    table.leave(now, number(n), running, left);
                    (p.running, p.used) = (None, now);
                    match left {
                        Left::Unsure => p.aborted = Some(p.transaction),
                        Left::Holding(h) => (p.holds, p.aborted) = (h, p.aborted.filter(|&within| within == 0 || h.transaction)),
                        Left::Untouched => {}
                    }
                    if p.holds.is_nothing() {
                        plain.remove(&n);
                        gone.insert(n, Why::Ended);
                    }
                }
                Step::Pass { ms } => {
                    now += ms * 1000;
                    let mut lost: Vec<(u64, Why)> = table.advance(now).into_iter().map(|l| (l.session, l.why)).collect();
                    lost.sort();
                    // Limits are kept to a tick of the wheel, ten milliseconds.
                    let tick = |t: Micros| t / 10_000;
                    let mut expected = Vec::new();
                    for (&n, p) in &plain {
                        let idle = if p.holds.transaction { 3 } else { 10 } * S;
                        let mut due = (p.until.min(p.opened + 40 * S), Why::Absolute);
                        if p.running.is_none() {
                            due = due.min((p.used + idle, Why::Idle));
                        }
                        if let Some(since) = draining.get(&p.engine) {
                            due = due.min((since + 5 * S, Why::Drained));
                        }
                        if tick(due.0) <= tick(now) {
                            expected.push((number(n), due.1));
                            gone.insert(n, due.1);
                        }
                    }
                    expected.sort();
                    prop_assert_eq!(&lost, &expected);
                    plain.retain(|n, _| !expected.iter().any(|e| e.0 == number(*n)));
                }
                Step::Lose { engine } => {
                    let lost = table.lose(now, engine, None, Why::Removed).len();
                    let before = plain.len();
                    plain.retain(|n, p| p.engine != engine || { gone.insert(*n, Why::Removed); false });
                    prop_assert_eq!(lost, before - plain.len());
                }
                Step::Epoch { engine, epoch } => {
                    let lost = table.lose(now, engine, Some(&epoch.to_string()), Why::Restarted).len();
                    let before = plain.len();
                    plain.retain(|n, p| p.engine != engine || p.epoch == epoch || { gone.insert(*n, Why::Restarted); false });
                    prop_assert_eq!(lost, before - plain.len());
                }
                Step::Drain { engine, drains } => {
                    prop_assert!(table.drains(now, engine, drains).is_empty());
                    if drains { draining.entry(engine).or_insert(now); } else { draining.remove(&engine); }
                }
                Step::End { which } => {
                    let Some(n) = pick(&plain, which) else { continue };
                    let p = plain.remove(&n).unwrap();
                    let loss = table.end(now, number(n), Why::Ended).unwrap();
                    prop_assert_eq!((loss.running, loss.binding.engine), (p.running, p.engine));
                    gone.insert(n, Why::Ended);
                }
            }
            prop_assert_eq!(table.len(), plain.len());
            if table.is_empty() {
                continue;
            }
            prop_assert!(table.next_wake().is_some(), "every session has a limit");
        }
        for (n, why) in gone {
            // What is gone is told as gone until its token could not come back, and never lives again.
            let denied = table.enter(now, number(n), "0", 1, TX, 1, true).unwrap_err();
            prop_assert!(matches!(denied, Denied::Unknown) || matches!(denied, Denied::Gone(w, _) if w == why));
        }
    }

    #[test]
    fn the_index_does_what_a_hash_map_does(steps in prop::collection::vec((any::<bool>(), 0..300u64, 0..1000u32), 1..600), shift in 0..60u32) {
        // Numbers that differ only in a few bits collide on purpose.
        let (mut index, mut plain) = (Index::default(), HashMap::new());
        for (put, number, place) in steps {
            let number = number << shift;
            if put {
                index.insert(number, place);
                plain.insert(number, place);
            } else {
                prop_assert_eq!(index.remove(number), plain.remove(&number));
            }
            prop_assert_eq!(index.len(), plain.len());
        }
        for number in (0..300).map(|n| n << shift) {
            prop_assert_eq!(index.get(number), plain.get(&number).copied());
        }
    }

    #[test]
    fn a_token_with_any_byte_changed_is_not_believed(at in 0..400usize, to in any::<u8>(), engine in "[a-ząćę0-9.-]{0,40}", inner in ".{0,60}") {
        let token = Token { session: 7, user: "u".into(), engine, epoch: "e1".into(), inner, holds: TX, until: 100 };
        let signed = keys(&["one"]).sign(&token);
        prop_assert_eq!(keys(&["one"]).open(99, "u", &signed), Ok(token));
        let mut bytes = signed.clone().into_bytes();
        let at = at % bytes.len();
        let same = bytes[at].eq_ignore_ascii_case(&to);
        bytes[at] = to;
        if let (Ok(changed), false) = (String::from_utf8(bytes), same) {
            prop_assert!(keys(&["one"]).open(99, "u", &changed).is_err());
        }
    }

    #[test]
    fn no_text_is_too_strange(text in ".{0,300}", sql in ".{0,300}") {
        prop_assert!(keys(&["one"]).open(0, "u", &text).is_err());
        Kind::of(&sql);
    }
}

fn keys(names: &[&str]) -> Keys {
    let key =
        |n: &&str| Key { name: n.to_string(), secret: format!("a secret of {n}, long enough").into_bytes() };
    Keys::new(names.iter().map(key).collect()).unwrap()
}

#[test]
fn tokens_are_bound_to_their_user_their_time_and_their_keys() {
    let token = Token {
        session: u64::MAX,
        user: "anna".into(),
        engine: "e1".into(),
        epoch: "x".into(),
        inner: "s9".into(),
        holds: Holds { transaction: true, tables: true },
        until: 50,
    };
    let signed = keys(&["one", "two"]).sign(&token);
    assert!(signed.starts_with("1.one."), "the first key signs");
    assert_eq!(keys(&["three", "one"]).open(49, "anna", &signed), Ok(token), "any key is believed");
    let open = |k: &[&str], now, user, text: &str| keys(k).open(now, user, text).unwrap_err();
    assert_eq!(open(&["two"], 0, "anna", &signed), TokenError::UnknownKey);
    assert_eq!(open(&["one"], 50, "anna", &signed), TokenError::Stale);
    assert_eq!(open(&["one"], 0, "eve", &signed), TokenError::NotYours);
    assert_eq!(open(&["one"], 0, "anna", &"x".repeat(5000)), TokenError::Malformed);
    assert_eq!(open(&["one"], 0, "anna", "a-plain-transaction-id"), TokenError::Malformed);
    let other =
        Keys::new(vec![Key { name: "one".into(), secret: b"quite another secret".to_vec() }]).unwrap();
    assert_eq!(other.open(0, "anna", &signed).unwrap_err(), TokenError::Forged);
    for (name, secret) in [("one", "short"), ("", "sixteen bytes and"), ("a.b", "sixteen bytes and")] {
        assert!(Keys::new(vec![Key { name: name.into(), secret: secret.into() }]).is_err());
    }
    assert!(Keys::new(Vec::new()).is_err());
}

#[test]
fn statements_are_told_apart_by_their_words() {
    for (sql, kind) in [
        ("START TRANSACTION READ ONLY", Kind::Start),
        ("/* START */ start /* x */ transaction", Kind::Start),
        ("COMMIT WORK", Kind::Commit),
        ("-- a word\nROLLBACK", Kind::Rollback),
        ("CREATE TEMPORARY TABLE t (a INTEGER)", Kind::Temporary),
        ("create temp table t as select 1", Kind::Temporary),
        ("CREATE TABLE temporary (a INTEGER)", Kind::Other),
        ("RESET SESSION engine_session", Kind::Leave),
        ("RESET SESSION other", Kind::Other),
        ("SELECT 'COMMIT'", Kind::Other),
        ("", Kind::Other),
    ] {
        assert_eq!(Kind::of(sql), kind, "{sql}");
    }
}

#[test]
fn what_ends_a_transaction_always_has_the_reserve_and_the_rest_is_bounded() {
    assert!(reserve::applies(&Kind::Commit, TX, 1000, 0) && reserve::applies(&Kind::Rollback, TX, 1000, 0));
    assert!(reserve::applies(&Kind::Other, TX, 3, 4) && !reserve::applies(&Kind::Other, TX, 4, 4));
    assert!(!reserve::applies(&Kind::Other, TABLES, 0, 4), "tables alone hold no locks");
}

#[test]
fn a_hundred_thousand_sessions_end_at_one_moment_and_leave_nothing_behind() {
    let limits = Limits { most_a_user: 1 << 20, most_an_engine: 1 << 20, most: 1 << 20, ..Limits::default() };
    let mut table = Table::new(limits, 0);
    let now = 1_700_000_000 * S;
    for n in 1..=100_000 {
        let user = (n % 977).to_string();
        table.open(now, number(n), &user, &binding(n % 7, "a", TX), now + 3600 * S, None).unwrap();
    }
    assert_eq!(table.lose(now, 3, None, Why::Removed).len(), 14_286);
    let lost = table.advance(now + 31 * S);
    assert_eq!((lost.len(), table.len()), (100_000 - 14_286, 0));
    assert!(lost.iter().all(|l| l.why == Why::Idle) && table.next_wake().is_none());
    assert!(table.may_open("1").is_ok());
    // Their places in the slab are used again.
    let bytes = table.bytes();
    for n in 200_001..=300_000 {
        table.open(now, number(n), "u", &binding(1, "b", TABLES), now + 3600 * S, None).unwrap();
    }
    assert_eq!(table.bytes(), bytes);
}

#[test]
fn a_recipe_holds_what_made_the_tables_and_nothing_else_or_nothing() {
    let mut recipe = Recipe::default();
    let make = "CREATE TEMPORARY TABLE t AS SELECT 1 AS a";
    recipe.served(make, false);
    recipe.served("SELECT * FROM t", false);
    recipe.served("INSERT INTO loads SELECT a FROM t", false);
    recipe.served("INSERT INTO t VALUES (2)", false);
    assert_eq!(recipe.statements().unwrap(), [make, "INSERT INTO t VALUES (2)"]);
    let mut rolled_back = recipe.clone();
    rolled_back.served("INSERT INTO loads VALUES (1)", true);
    assert!(rolled_back.statements().is_some(), "a real table's is not its affair");
    rolled_back.served("DELETE FROM t", true);
    assert_eq!(rolled_back.statements(), None);
    let mut unsure = recipe.clone();
    unsure.unsure();
    unsure.served(make, false);
    assert_eq!(unsure.statements(), None);
    for n in 0..100 {
        recipe.served(&format!("INSERT INTO t VALUES ({n})"), false);
    }
    assert_eq!(recipe.statements(), None, "bounded: a part would be a wrong table");
    assert_eq!(Recipe::default().statements(), None);
}
