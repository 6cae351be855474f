//! Datagrams that are not what they say: forged, replayed, cut, too long, of invented names, of other keys and formats.

use std::net::SocketAddr;

use proptest::prelude::*;
use violetward_membership::sim::test_config;
use violetward_membership::wire::{CutLink, Datagram, Kind, MAX_DATAGRAM_BYTES};
use violetward_membership::{Demand, Effect, Key, Keys, Membership, Record, Rejection, State};

const PERIOD: u64 = 200_000;

fn ring(names: &[&str]) -> Keys {
    let key = |name: &&str| Key {
        name: (*name).into(),
        secret: format!("the secret of {name}, long enough").into(),
    };
    Keys::new(names.iter().map(key).collect()).expect("a ring")
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, n], 7000))
}

fn record(name: &str) -> Record {
    Record {
        name: name.into(),
        site: "south".into(),
        address: address(9),
        instance_id: 7,
        incarnation: 3,
        state: State::Suspect,
        accuser: 5,
        metadata_version: 9,
        demand: Demand::from_work(&[1200.0, 0.0, 3.0]),
        cuts: vec![CutLink { peer_hash: 77, outbound: true }],
    }
}

fn member(keys: Keys) -> Membership {
    let mut t = test_config(0, 4, PERIOD, false);
    (t.keys, t.max_members) = (keys, 16);
    Membership::new(t, 1, 0)
}

fn sent(member: &mut Membership) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut all = Vec::new();
    while let Some(effect) = member.next_effect() {
        if let Effect::Send(to, bytes) = effect {
            all.push((to, bytes));
        }
    }
    all
}

fn sealed(
    keys: &Keys,
    from: &str,
    instance_id: u64,
    number: u64,
    kind: Kind,
    records: Vec<Record>,
) -> Vec<u8> {
    let mut out = Vec::new();
    Datagram { from: from.into(), instance_id, number, kind, records }.seal(keys, &mut out);
    out
}

/// A peer that proves itself and is believed from then on.
fn proved(member: &mut Membership, keys: &Keys, from: &str, instance_id: u64) {
    member.handle_datagram(10, address(1), &sealed(keys, from, instance_id, 1, Kind::Ping(1), vec![]));
    let asked = sent(member);
    let nonce = asked.iter().find_map(|(_, bytes)| match Datagram::open(keys, bytes) {
        Ok(Some(Datagram { kind: Kind::Challenge(nonce), .. })) => Some(nonce),
        _ => None,
    });
    let proof = Kind::ChallengeResponse(nonce.expect("a instance_id that is not known is asked for a proof"));
    member.handle_datagram(20, address(1), &sealed(keys, from, instance_id, 2, proof, vec![]));
    sent(member);
}

#[test]
fn what_is_written_is_read_and_fits() {
    let keys = ring(&["a"]);
    let kinds = [
        Kind::Ping(1),
        Kind::Ack(2, true),
        Kind::ProbeRequest(3, "g7".into()),
        Kind::RelayedPing(4, "g8".into()),
        Kind::RelayedAck(5, "g8".into(), false),
        Kind::ProbeReport(6, None),
        Kind::ProbeReport(7, Some(true)),
        Kind::Challenge(8),
        Kind::ChallengeResponse(9),
        Kind::Digest([10; 16], true),
        Kind::Records,
        Kind::Payload(vec![3; 700], 4),
    ];
    for kind in kinds {
        let whole =
            Datagram { from: "g1".into(), instance_id: 1, number: 2, kind, records: vec![record("g2")] };
        let mut out = Vec::new();
        assert_eq!(whole.seal(&keys, &mut out), 1);
        assert_eq!(Datagram::open(&keys, &out), Ok(Some(whole)));
    }
    let many = (0..200).map(|n| record(&format!("member-{n}"))).collect();
    let mut out = Vec::new();
    let told = Datagram { from: "g1".into(), instance_id: 1, number: 2, kind: Kind::Records, records: many }
        .seal(&keys, &mut out);
    assert!(
        told > 10 && told < 200 && out.len() <= MAX_DATAGRAM_BYTES,
        "{told} records in {} octets",
        out.len()
    );
}

#[test]
fn forged_cut_long_and_foreign_ones_are_counted_and_change_nothing() {
    let keys = ring(&["a"]);
    let mut m = member(keys.clone());
    proved(&mut m, &keys, "g1", 11);
    let good =
        sealed(&keys, "g1", 11, 3, Kind::Records, vec![Record { state: State::Alive, ..record("g2") }]);
    let mut forged = good.clone();
    forged[30] ^= 1;
    let before = m.counts.rejected;
    m.handle_datagram(30, address(1), &forged);
    m.handle_datagram(30, address(1), &good[..20]);
    m.handle_datagram(30, address(1), &[0; MAX_DATAGRAM_BYTES + 1]);
    m.handle_datagram(30, address(1), &sealed(&ring(&["b"]), "g1", 11, 4, Kind::Records, vec![record("g3")]));
    let new: Vec<u64> = m.counts.rejected.iter().zip(before).map(|(a, b)| a - b).collect();
    // Unreadable ones are forged ones: the code is looked at first.
    assert_eq!(new.iter().sum::<u64>(), 4, "{new:?}");
    assert_eq!((new[Rejection::Oversized as usize], new[Rejection::UnknownKey as usize]), (1, 1));
    assert!(m.members().next().is_none() && sent(&mut m).is_empty());
    m.handle_datagram(40, address(1), &good);
    assert_eq!(m.member_state("g2"), Some(State::Alive));
}

#[test]
fn what_was_seen_before_counts_once_and_an_echo_of_an_earlier_life_never() {
    let keys = ring(&["a"]);
    let mut m = member(keys.clone());
    proved(&mut m, &keys, "g1", 11);
    let ping = sealed(&keys, "g1", 11, 5, Kind::Ping(1), vec![]);
    m.handle_datagram(30, address(1), &ping);
    assert_eq!(sent(&mut m).len(), 1);
    m.handle_datagram(31, address(1), &ping);
    assert_eq!(m.counts.rejected[Rejection::Replayed as usize], 1);
    assert!(sent(&mut m).is_empty());
    // Out of order is no replay.
    m.handle_datagram(32, address(1), &sealed(&keys, "g1", 11, 4, Kind::Ping(2), vec![]));
    assert_eq!(sent(&mut m).len(), 1);
    // An earlier process's words: asked for a proof, never believed, whatever the wall clock says.
    let old = sealed(&keys, "g1", 10, 900, Kind::Records, vec![record("g3")]);
    for _ in 0..50 {
        m.handle_datagram(40, address(1), &old);
    }
    assert_eq!(sent(&mut m).len(), 1, "one question at a time");
    assert_eq!(m.member_state("g3"), None);
}

#[test]
fn a_flood_of_invented_names_is_bounded() {
    let keys = ring(&["a"]);
    let mut m = member(keys.clone());
    for n in 0..10_000u64 {
        m.handle_datagram(
            n,
            address(1),
            &sealed(&keys, &format!("x{n}"), n, 1, Kind::Ping(1), vec![record(&format!("y{n}"))]),
        );
    }
    let held = m.entry_counts();
    assert!(held.iter().all(|&h| h <= 64), "{held:?}");
    // Questions leave after a period: then others can prove themselves again.
    m.handle_wake(400_000);
    assert_eq!(m.entry_counts()[2], 0);
    assert!(sent(&mut m).len() <= 70, "one question for each name, and so many at once");
    proved(&mut m, &keys, "x9999", 9999);
    for n in 0..100 {
        let told = (0..20).map(|i| Record { state: State::Alive, ..record(&format!("z{n}-{i}")) }).collect();
        m.handle_datagram(410_000, address(1), &sealed(&keys, "x9999", 9999, 10 + n, Kind::Records, told));
    }
    assert!(
        m.entry_counts()[0] > 0,
        "what a proved member tells of is taken in: {:?}, {:?}",
        m.entry_counts(),
        m.counts
    );
    assert!(m.entry_counts()[0] <= 16, "{:?}", m.entry_counts());
}

#[test]
fn a_key_changes_in_service_with_one_member_late() {
    // The new key is believed everywhere before it signs anywhere; the late member still signs with the old one.
    let (old, both, new) = (ring(&["a"]), ring(&["a", "b"]), ring(&["b", "a"]));
    let mut m = member(old);
    m.set_keys(both);
    proved(&mut m, &new, "g1", 11);
    m.set_keys(new.clone());
    m.handle_datagram(50, address(1), &sealed(&ring(&["a"]), "g1", 11, 9, Kind::Ping(1), vec![]));
    let answer = sent(&mut m);
    assert_eq!(answer.len(), 1);
    assert!(Datagram::open(&new, &answer[0].1).is_ok());
    assert_eq!(Datagram::open(&ring(&["a"]), &answer[0].1), Err(Rejection::UnknownKey));
}

proptest! {
    #[test]
    fn nothing_that_comes_in_breaks_it(bytes in proptest::collection::vec(any::<u8>(), 0..1400), at in 0usize..200, bit in 0u8..8) {
        let keys = ring(&["a"]);
        let mut m = member(keys.clone());
        m.handle_datagram(1, address(1), &bytes);
        let mut good = sealed(&keys, "g1", 11, 3, Kind::Records, vec![record("g2")]);
        let at = at % good.len();
        good[at] ^= 1 << bit;
        prop_assert!(Datagram::open(&keys, &good).is_err());
    }

    #[test]
    fn demand_is_told_to_within_a_fifth(work in 1.0f64..1e9) {
        let told = Demand::from_work(&[work]).total();
        prop_assert!((told / work - 1.0).abs() < 0.2, "{work} told as {told}");
    }
}
