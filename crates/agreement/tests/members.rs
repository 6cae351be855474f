//! Simulated histories of agreement among several gateways: see [`violetward_agreement::sim`].

use violetward_agreement::sim::{splitmix64, Event, Fleet};
use violetward_agreement::wire::PeerMessage;
use violetward_agreement::{Message, Outcome, ProposeError};

const LEASE_MICROS: u64 = 2_000_000;
const MILLISECOND_MICROS: u64 = 1_000;

fn fleet(count: usize, voters: usize, seed: u64) -> Fleet {
    Fleet::new(count, voters, LEASE_MICROS, 20_000, seed)
}

#[test]
fn version_is_in_use_everywhere_soon_after_its_proposal() {
    let mut fleet = fleet(5, 3, 1);
    fleet.run(LEASE_MICROS);
    assert!(fleet.all_use(0), "{:?}", fleet.usable_ranges());
    assert_eq!(fleet.propose(1, b"one"), Ok(()));
    assert_eq!(fleet.propose(1, b"two"), Err(ProposeError::Busy));
    assert!(matches!(fleet.propose(4, b"two"), Err(ProposeError::NotVoter(v)) if v.len() == 3));
    assert!(matches!(fleet.propose(0, b"unfit"), Err(ProposeError::Unfit(_))));
    // A few round trips suffice; no lease has to expire.
    fleet.run(300 * MILLISECOND_MICROS);
    assert!(fleet.all_use(1), "{:?}", fleet.usable_ranges());
    assert_eq!(fleet.nodes[1].outcomes, [Outcome::Committed(1)]);
}

#[test]
fn paused_gateway_delays_the_next_version_no_longer_than_its_lease() {
    let mut fleet = fleet(4, 3, 2);
    fleet.run(LEASE_MICROS);
    fleet.nodes[3].paused_until = fleet.now + 20_000 * MILLISECOND_MICROS;
    fleet.propose(0, b"one").unwrap();
    fleet.run(300 * MILLISECOND_MICROS);
    // The paused gateway may still apply the old version alone, so the others do only what both allow.
    assert_eq!(fleet.usable_ranges()[..3], [Some((0, 1)); 3]);
    let bound = 2 * LEASE_MICROS;
    fleet.run(bound);
    assert_eq!(fleet.usable_ranges(), [Some((1, 1)), Some((1, 1)), Some((1, 1)), None]);
    fleet.run(20_000 * MILLISECOND_MICROS);
    assert!(fleet.all_use(1), "{:?}", fleet.usable_ranges());
}

#[test]
fn minority_commits_nothing_and_stops_acting_after_its_lease() {
    let mut fleet = fleet(5, 5, 3);
    fleet.run(LEASE_MICROS);
    for (a, b) in (0..2).flat_map(|a| (2..5).map(move |b| (a, b))) {
        (fleet.blocked[a][b], fleet.blocked[b][a]) = (true, true);
    }
    fleet.propose(0, b"minority").unwrap();
    fleet.propose(3, b"majority").unwrap();
    fleet.run(6_000 * MILLISECOND_MICROS);
    assert_eq!(fleet.usable_ranges(), [None, None, Some((1, 1)), Some((1, 1)), Some((1, 1))]);
    assert_eq!(fleet.nodes[0].outcomes, [Outcome::Unknown]);
    fleet.blocked.iter_mut().flatten().for_each(|cut| *cut = false);
    fleet.run(2 * LEASE_MICROS);
    assert!(fleet.all_use(1) && fleet.committed[&1] == b"majority", "{:?}", fleet.usable_ranges());
}

#[test]
fn concurrent_proposals_give_one_version_and_one_conflict() {
    for seed in 0..20 {
        let mut fleet = fleet(3, 3, seed);
        fleet.run(LEASE_MICROS);
        fleet.propose(0, b"one").unwrap();
        fleet.propose(2, b"other").unwrap();
        fleet.run(6_000 * MILLISECOND_MICROS);
        let both = [fleet.nodes[0].outcomes.clone(), fleet.nodes[2].outcomes.clone()].concat();
        assert!(
            both.contains(&Outcome::Committed(1)) && both.contains(&Outcome::Conflict(1)),
            "{seed}: {both:?}"
        );
        assert!(fleet.all_use(1));
    }
}

#[test]
fn long_content_is_fetched_in_chunks_despite_losses() {
    let mut fleet = fleet(4, 3, 4);
    fleet.run(LEASE_MICROS);
    fleet.loss_per_mille = 200;
    let long: Vec<u8> = (0..30_000u32).map(|n| n as u8).collect();
    fleet.propose(0, &long).unwrap();
    fleet.run(20_000 * MILLISECOND_MICROS);
    fleet.loss_per_mille = 0;
    fleet.run(2 * LEASE_MICROS);
    assert!(fleet.all_use(1) && fleet.committed[&1] == long, "{:?}", fleet.usable_ranges());
}

#[test]
fn voter_with_a_corrupt_file_does_not_vote_and_still_learns_versions() {
    let mut fleet = fleet(3, 3, 5);
    fleet.run(LEASE_MICROS);
    fleet.propose(0, b"one").unwrap();
    fleet.run(LEASE_MICROS);
    fleet.nodes[2].member = None;
    fleet.nodes[2].disk[20] ^= 1;
    fleet.start(2);
    fleet.nodes[1].member = None;
    fleet.propose(0, b"two").unwrap();
    fleet.run(6_000 * MILLISECOND_MICROS);
    assert_eq!(fleet.nodes[0].outcomes.last(), Some(&Outcome::Unknown), "one voter is not a quorum of three");
    assert_eq!(fleet.usable_ranges()[0], None);
    fleet.start(1);
    fleet.run(3 * LEASE_MICROS);
    let newest = fleet.committed.len() as u64;
    assert!(fleet.all_use(newest), "{:?}", fleet.usable_ranges());
    let result = fleet.nodes[2].member.as_mut().map(|m| m.propose(0, b"three", None));
    assert!(matches!(result, Some(Err(ProposeError::NotVoter(_)))));
}

#[test]
fn voter_with_an_old_copy_of_its_file_stops_voting() {
    let mut fleet = fleet(3, 3, 7);
    fleet.run(LEASE_MICROS);
    let old = fleet.nodes[2].disk.clone();
    fleet.propose(0, b"one").unwrap();
    fleet.run(LEASE_MICROS);
    let try_propose = |fleet: &mut Fleet| fleet.nodes[2].member.as_mut().map(|m| m.propose(0, b"x", None));
    fleet.nodes[2].member = None;
    fleet.start(2);
    fleet.run(3 * LEASE_MICROS);
    assert!(
        !matches!(try_propose(&mut fleet), Some(Err(ProposeError::NotVoter(_)))),
        "its current file is valid"
    );
    fleet.run(3 * LEASE_MICROS);
    fleet.nodes[2].member = None;
    fleet.nodes[2].disk = old;
    fleet.start(2);
    fleet.run(3 * LEASE_MICROS);
    assert!(matches!(try_propose(&mut fleet), Some(Err(ProposeError::NotVoter(_)))));
    let newest = fleet.committed.len() as u64;
    assert!(fleet.all_use(newest), "it still learns versions: {:?}", fleet.usable_ranges());
}

#[test]
fn voter_with_an_old_copy_of_its_file_stops_before_it_votes() {
    let mut fleet = fleet(3, 3, 9);
    fleet.run(LEASE_MICROS);
    let old = fleet.nodes[2].disk.clone();
    // Voters 0 and 2 commit a version that voter 1 does not learn.
    for other in [0, 2] {
        (fleet.blocked[1][other], fleet.blocked[other][1]) = (true, true);
    }
    fleet.propose(0, b"one").unwrap();
    fleet.run(LEASE_MICROS);
    assert_eq!(fleet.committed.len(), 1);
    (fleet.blocked[1][2], fleet.blocked[2][1]) = (false, false);
    fleet.nodes[2].member = None;
    fleet.nodes[2].disk = old;
    fleet.start(2);
    // With the vote of voter 2 this would become another version with the same number. Voter 0, which knows
    // of its later vote, reports that late, since messages from voter 2 to voter 0 are lost at first.
    fleet.blocked[2][0] = true;
    fleet.propose(1, b"other").unwrap();
    fleet.run(200 * MILLISECOND_MICROS);
    fleet.blocked[2][0] = false;
    fleet.run(3 * LEASE_MICROS);
    assert_eq!(fleet.committed[&1], b"one");
    assert_ne!(fleet.nodes[1].outcomes, [Outcome::Committed(1)]);
}

#[test]
fn voter_that_lost_its_file_votes_again_on_later_versions() {
    let mut fleet = fleet(3, 3, 8);
    fleet.run(LEASE_MICROS);
    fleet.propose(0, b"one").unwrap();
    fleet.run(LEASE_MICROS);
    assert!(fleet.replace(2));
    fleet.run(2 * LEASE_MICROS);
    // Two versions are committed without its vote; the next one needs it.
    for content in [b"2", b"3"] {
        fleet.propose(0, content).unwrap();
        fleet.run(LEASE_MICROS);
    }
    fleet.nodes[1].member = None;
    fleet.propose(0, b"4").unwrap();
    fleet.run(2 * LEASE_MICROS);
    assert_eq!(fleet.committed.len(), 4, "{:?}", fleet.nodes[0].outcomes);
    assert!(!fleet.replace(2), "one other voter is not a quorum");
}

#[test]
fn replayed_lease_requests_do_not_delay_a_version() {
    let mut fleet = fleet(2, 1, 6);
    fleet.run(LEASE_MICROS);
    let request = PeerMessage::Protocol(7, 1, Message::LeaseRequest(0, 1, 99)).encode();
    fleet.propose(0, b"one").unwrap();
    for _ in 0..200 {
        fleet.schedule(fleet.now, 0, Event::Datagram("g1".into(), request.clone()));
        fleet.run(20 * MILLISECOND_MICROS);
    }
    assert!(fleet.all_use(1), "{:?}", fleet.usable_ranges());
}

/// Random partitions, pauses, crashes and losses at the same time, with proposals throughout.
#[test]
fn no_contradiction_in_random_histories() {
    let (mut histories, mut versions) = (0, 0);
    for seed in 0..60 {
        let mut fleet = fleet(5, 3, 1000 + seed);
        let mut rng = seed;
        for round in 0..60 {
            let n = splitmix64(&mut rng) as usize % 5;
            match splitmix64(&mut rng) % 8 {
                0 => fleet.nodes[n].paused_until = fleet.now + splitmix64(&mut rng) % (4 * LEASE_MICROS),
                1 => fleet.nodes[n].member = None,
                2 => fleet.loss_per_mille = splitmix64(&mut rng) % 400,
                3 => {
                    let m = splitmix64(&mut rng) as usize % 5;
                    fleet.blocked[n][m] = true;
                }
                5 if n < 3 => drop(fleet.replace(n)),
                4 => fleet.blocked.iter_mut().flatten().for_each(|cut| *cut = false),
                _ => {}
            }
            if splitmix64(&mut rng) % 3 == 0 {
                let dead: Vec<usize> = (0..5).filter(|&g| fleet.nodes[g].member.is_none()).collect();
                dead.into_iter().for_each(|g| fleet.start(g));
            }
            let proposer = splitmix64(&mut rng) as usize % 3;
            if fleet.nodes[proposer].member.is_some() && fleet.nodes[proposer].paused_until <= fleet.now {
                fleet.propose(proposer, format!("{seed} {round}").as_bytes()).ok();
            }
            fleet.run(splitmix64(&mut rng) % 800 * MILLISECOND_MICROS);
        }
        fleet.loss_per_mille = 0;
        fleet.blocked.iter_mut().flatten().for_each(|cut| *cut = false);
        fleet.nodes.iter_mut().for_each(|g| g.paused_until = 0);
        (0..5)
            .filter(|&g| fleet.nodes[g].member.is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|g| fleet.start(g));
        fleet.run(8 * LEASE_MICROS);
        let newest = *fleet.committed.keys().last().expect("some version is committed");
        assert!(fleet.all_use(newest), "seed {seed}: {newest}, {:?}", fleet.usable_ranges());
        histories += 1;
        versions += fleet.committed.len();
    }
    println!("{histories} histories, {versions} versions");
    assert!(versions > 600, "too few versions for a meaningful check: {versions}");
}

#[test]
fn time_dependent_content_needs_a_quorum_before_the_vote_and_blocks_no_number() {
    let mut fleet = fleet(4, 3, 9);
    fleet.run(LEASE_MICROS);
    // Accepted by voter 0 alone.
    *fleet.fitness.borrow_mut() = Box::new(|n, content, before| match content {
        b"mine" if n > 0 => Err("not by my books".to_owned()),
        b"next" if before.is_none_or(|b| b.content != b"plain") => Err("follows another one".to_owned()),
        b"plain" => Ok(false),
        _ => Ok(true),
    });
    fleet.propose(0, b"mine").unwrap();
    fleet.run(2_000 * MILLISECOND_MICROS);
    assert!(matches!(&fleet.nodes[0].outcomes[..], [Outcome::Unfit(why)] if why.contains("not by my books")));
    // It got no votes, so the other two voters can commit the next one without voter 2.
    fleet.nodes[2].member = None;
    fleet.propose(0, b"plain").unwrap();
    fleet.run(2_000 * MILLISECOND_MICROS);
    assert!(matches!(fleet.propose(1, b"mine"), Err(ProposeError::Unfit(_))));
    fleet.propose(1, b"next").unwrap();
    fleet.run(3 * LEASE_MICROS);
    assert_eq!(fleet.committed, [(1, b"plain".to_vec()), (2, b"next".to_vec())].into());
}
