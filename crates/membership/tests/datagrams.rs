//! Encoding of datagrams, and rejection of invalid ones: forged, replayed, truncated, oversized, from
//! invented names or signed with other keys.

use std::net::SocketAddr;

use proptest::prelude::*;
use violetward_membership::sim::test_config;
use violetward_membership::wire::{CutLink, Datagram, Kind, MAX_DATAGRAM_BYTES};
use violetward_membership::{Demand, Effect, Key, Keys, Membership, Record, Rejection, State};

const PERIOD_US: u64 = 200_000;
const MAX_MEMBERS: usize = 16;

fn key_ring(names: &[&str]) -> Keys {
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

fn new_member(keys: Keys) -> Membership {
    let mut config = test_config(0, 4, PERIOD_US, false);
    (config.keys, config.max_members) = (keys, MAX_MEMBERS);
    Membership::new(config, 1, 0)
}

fn sent_datagrams(member: &mut Membership) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut datagrams = Vec::new();
    while let Some(effect) = member.next_effect() {
        if let Effect::Send(to, bytes) = effect {
            datagrams.push((to, bytes));
        }
    }
    datagrams
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

/// Lets a peer answer its challenge, so that its datagrams are accepted from then on.
fn verify_peer(member: &mut Membership, keys: &Keys, from: &str, instance_id: u64) {
    member.handle_datagram(10, address(1), &sealed(keys, from, instance_id, 1, Kind::Ping(1), vec![]));
    let answers = sent_datagrams(member);
    let nonce = answers.iter().find_map(|(_, bytes)| match Datagram::open(keys, bytes) {
        Ok(Some(Datagram { kind: Kind::Challenge(nonce), .. })) => Some(nonce),
        _ => None,
    });
    let proof = Kind::ChallengeResponse(nonce.expect("an unknown process is challenged"));
    member.handle_datagram(20, address(1), &sealed(keys, from, instance_id, 2, proof, vec![]));
    sent_datagrams(member);
}

#[test]
fn datagrams_survive_a_round_trip_and_fit_the_maximum_size() {
    let keys = key_ring(&["a"]);
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
        let datagram =
            Datagram { from: "g1".into(), instance_id: 1, number: 2, kind, records: vec![record("g2")] };
        let mut out = Vec::new();
        assert_eq!(datagram.seal(&keys, &mut out), 1);
        assert_eq!(Datagram::open(&keys, &out), Ok(Some(datagram)));
    }
    let records = (0..200).map(|n| record(&format!("member-{n}"))).collect();
    let mut out = Vec::new();
    let included = Datagram { from: "g1".into(), instance_id: 1, number: 2, kind: Kind::Records, records }
        .seal(&keys, &mut out);
    assert!(
        included > 10 && included < 200 && out.len() <= MAX_DATAGRAM_BYTES,
        "{included} records in {} bytes",
        out.len()
    );
}

#[test]
fn forged_truncated_oversized_and_foreign_datagrams_are_counted_and_ignored() {
    let keys = key_ring(&["a"]);
    let mut member = new_member(keys.clone());
    verify_peer(&mut member, &keys, "g1", 11);
    let good =
        sealed(&keys, "g1", 11, 3, Kind::Records, vec![Record { state: State::Alive, ..record("g2") }]);
    let mut forged = good.clone();
    forged[30] ^= 1;
    let before = member.counts.rejected;
    member.handle_datagram(30, address(1), &forged);
    member.handle_datagram(30, address(1), &good[..20]);
    member.handle_datagram(30, address(1), &[0; MAX_DATAGRAM_BYTES + 1]);
    member.handle_datagram(
        30,
        address(1),
        &sealed(&key_ring(&["b"]), "g1", 11, 4, Kind::Records, vec![record("g3")]),
    );
    let rejected: Vec<u64> = member.counts.rejected.iter().zip(before).map(|(a, b)| a - b).collect();
    // Authentication codes are checked before decoding, so unreadable datagrams count as forged if they are
    // long enough to hold a code.
    assert_eq!(rejected.iter().sum::<u64>(), 4, "{rejected:?}");
    assert_eq!((rejected[Rejection::Oversized as usize], rejected[Rejection::UnknownKey as usize]), (1, 1));
    assert!(member.members().next().is_none() && sent_datagrams(&mut member).is_empty());
    member.handle_datagram(40, address(1), &good);
    assert_eq!(member.member_state("g2"), Some(State::Alive));
}

#[test]
fn replays_are_rejected_and_earlier_processes_are_never_believed() {
    let keys = key_ring(&["a"]);
    let mut member = new_member(keys.clone());
    verify_peer(&mut member, &keys, "g1", 11);
    let ping = sealed(&keys, "g1", 11, 5, Kind::Ping(1), vec![]);
    member.handle_datagram(30, address(1), &ping);
    assert_eq!(sent_datagrams(&mut member).len(), 1);
    member.handle_datagram(31, address(1), &ping);
    assert_eq!(member.counts.rejected[Rejection::Replayed as usize], 1);
    assert!(sent_datagrams(&mut member).is_empty());
    // A datagram that arrives out of order is accepted.
    member.handle_datagram(32, address(1), &sealed(&keys, "g1", 11, 4, Kind::Ping(2), vec![]));
    assert_eq!(sent_datagrams(&mut member).len(), 1);
    // Datagrams of an earlier process are answered with a challenge and never accepted; this does not rely on
    // wall clocks.
    let old = sealed(&keys, "g1", 10, 900, Kind::Records, vec![record("g3")]);
    for _ in 0..50 {
        member.handle_datagram(40, address(1), &old);
    }
    assert_eq!(sent_datagrams(&mut member).len(), 1, "one pending challenge per name");
    assert_eq!(member.member_state("g3"), None);
}

#[test]
fn memory_is_bounded_under_a_flood_of_invented_names() {
    let keys = key_ring(&["a"]);
    let mut member = new_member(keys.clone());
    for n in 0..10_000u64 {
        member.handle_datagram(
            n,
            address(1),
            &sealed(&keys, &format!("x{n}"), n, 1, Kind::Ping(1), vec![record(&format!("y{n}"))]),
        );
    }
    let counts = member.entry_counts();
    assert!(counts.iter().all(|&count| count <= 64), "{counts:?}");
    // Challenges expire after a period, so that other processes can be verified again.
    member.handle_wake(400_000);
    assert_eq!(member.entry_counts()[2], 0);
    assert!(
        sent_datagrams(&mut member).len() <= 70,
        "one challenge per name, up to the maximum of pending challenges"
    );
    verify_peer(&mut member, &keys, "x9999", 9999);
    for n in 0..100 {
        let records =
            (0..20).map(|i| Record { state: State::Alive, ..record(&format!("z{n}-{i}")) }).collect();
        member.handle_datagram(
            410_000,
            address(1),
            &sealed(&keys, "x9999", 9999, 10 + n, Kind::Records, records),
        );
    }
    assert!(
        member.entry_counts()[0] > 0,
        "records from a verified member are merged: {:?}, {:?}",
        member.entry_counts(),
        member.counts
    );
    assert!(member.entry_counts()[0] <= MAX_MEMBERS, "{:?}", member.entry_counts());
}

#[test]
fn keys_are_rotated_while_one_member_is_late() {
    // Every member accepts the new key before any signs with it; the late member still signs with the old
    // key.
    let (old, both, new) = (key_ring(&["a"]), key_ring(&["a", "b"]), key_ring(&["b", "a"]));
    let mut member = new_member(old);
    member.set_keys(both);
    verify_peer(&mut member, &new, "g1", 11);
    member.set_keys(new.clone());
    member.handle_datagram(50, address(1), &sealed(&key_ring(&["a"]), "g1", 11, 9, Kind::Ping(1), vec![]));
    let answer = sent_datagrams(&mut member);
    assert_eq!(answer.len(), 1);
    assert!(Datagram::open(&new, &answer[0].1).is_ok());
    assert_eq!(Datagram::open(&key_ring(&["a"]), &answer[0].1), Err(Rejection::UnknownKey));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic_and_a_flipped_bit_is_rejected(
        bytes in proptest::collection::vec(any::<u8>(), 0..1400),
        at in 0usize..200,
        bit in 0u8..8,
    ) {
        let keys = key_ring(&["a"]);
        let mut member = new_member(keys.clone());
        member.handle_datagram(1, address(1), &bytes);
        let mut good = sealed(&keys, "g1", 11, 3, Kind::Records, vec![record("g2")]);
        let at = at % good.len();
        good[at] ^= 1 << bit;
        prop_assert!(Datagram::open(&keys, &good).is_err());
    }

    #[test]
    fn demand_is_encoded_with_an_error_below_a_fifth(work in 1.0f64..1e9) {
        let decoded = Demand::from_work(&[work]).total();
        prop_assert!((decoded / work - 1.0).abs() < 0.2, "{work} decoded as {decoded}");
    }
}
