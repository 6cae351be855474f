//! Histories of whole gateways' parts: see [`violetward_agreement::sim`].

use violetward_agreement::sim::{splitmix64, Event, Fleet};
use violetward_agreement::wire::PeerMessage;
use violetward_agreement::{Message, Outcome, ProposeError};

const LEASE: u64 = 2_000_000;
const MS: u64 = 1_000;

fn fleet(count: usize, voters: usize, seed: u64) -> Fleet {
    Fleet::new(count, voters, LEASE, 20_000, seed)
}

#[test]
fn a_version_is_acted_on_by_all_soon_after_it_is_proposed() {
    let mut fleet = fleet(5, 3, 1);
    fleet.run(LEASE);
    assert!(fleet.all_use(0), "{:?}", fleet.usable_ranges());
    assert_eq!(fleet.propose(1, b"one"), Ok(()));
    assert_eq!(fleet.propose(1, b"two"), Err(ProposeError::Busy));
    assert!(matches!(fleet.propose(4, b"two"), Err(ProposeError::NotVoter(v)) if v.len() == 3));
    assert!(matches!(fleet.propose(0, b"unfit"), Err(ProposeError::Unfit(_))));
    // A few ways there and back, no lease's time.
    fleet.run(300 * MS);
    assert!(fleet.all_use(1), "{:?}", fleet.usable_ranges());
    assert_eq!(fleet.nodes[1].outcomes, [Outcome::Committed(1)]);
}

#[test]
fn one_that_stands_still_delays_the_next_version_by_its_lease_and_no_longer() {
    let mut fleet = fleet(4, 3, 2);
    fleet.run(LEASE);
    fleet.nodes[3].paused_until = fleet.now + 20_000 * MS;
    fleet.propose(0, b"one").unwrap();
    fleet.run(300 * MS);
    // It may act on the old version alone, or wake and do so: the others do only what both allow.
    assert_eq!(fleet.usable_ranges()[..3], [Some((0, 1)); 3]);
    let bound = 2 * LEASE;
    fleet.run(bound);
    assert_eq!(fleet.usable_ranges(), [Some((1, 1)), Some((1, 1)), Some((1, 1)), None]);
    fleet.run(20_000 * MS);
    assert!(fleet.all_use(1), "{:?}", fleet.usable_ranges());
}

#[test]
fn a_minority_commits_nothing_and_acts_on_nothing_after_its_lease() {
    let mut fleet = fleet(5, 5, 3);
    fleet.run(LEASE);
    for (a, b) in (0..2).flat_map(|a| (2..5).map(move |b| (a, b))) {
        (fleet.blocked[a][b], fleet.blocked[b][a]) = (true, true);
    }
    fleet.propose(0, b"minority").unwrap();
    fleet.propose(3, b"majority").unwrap();
    fleet.run(6_000 * MS);
    assert_eq!(fleet.usable_ranges(), [None, None, Some((1, 1)), Some((1, 1)), Some((1, 1))]);
    assert_eq!(fleet.nodes[0].outcomes, [Outcome::Unknown]);
    fleet.blocked.iter_mut().flatten().for_each(|cut| *cut = false);
    fleet.run(2 * LEASE);
    assert!(fleet.all_use(1) && fleet.committed[&1] == b"majority", "{:?}", fleet.usable_ranges());
}

#[test]
fn two_proposals_at_once_become_one_version_and_a_conflict() {
    for seed in 0..20 {
        let mut fleet = fleet(3, 3, seed);
        fleet.run(LEASE);
        fleet.propose(0, b"one").unwrap();
        fleet.propose(2, b"other").unwrap();
        fleet.run(6_000 * MS);
        let both = [fleet.nodes[0].outcomes.clone(), fleet.nodes[2].outcomes.clone()].concat();
        assert!(
            both.contains(&Outcome::Committed(1)) && both.contains(&Outcome::Conflict(1)),
            "{seed}: {both:?}"
        );
        assert!(fleet.all_use(1));
    }
}

#[test]
fn a_long_content_is_fetched_in_parts_though_many_get_lost() {
    let mut fleet = fleet(4, 3, 4);
    fleet.run(LEASE);
    fleet.loss_per_mille = 200;
    let long: Vec<u8> = (0..30_000u32).map(|n| n as u8).collect();
    fleet.propose(0, &long).unwrap();
    fleet.run(20_000 * MS);
    fleet.loss_per_mille = 0;
    fleet.run(2 * LEASE);
    assert!(fleet.all_use(1) && fleet.committed[&1] == long, "{:?}", fleet.usable_ranges());
}

#[test]
fn one_without_its_file_does_not_vote_and_still_follows() {
    let mut fleet = fleet(3, 3, 5);
    fleet.run(LEASE);
    fleet.propose(0, b"one").unwrap();
    fleet.run(LEASE);
    fleet.nodes[2].member = None;
    fleet.nodes[2].disk[20] ^= 1;
    fleet.start(2);
    fleet.nodes[1].member = None;
    fleet.propose(0, b"two").unwrap();
    fleet.run(6_000 * MS);
    assert_eq!(fleet.nodes[0].outcomes.last(), Some(&Outcome::Unknown), "one voter is no quorum of three");
    assert_eq!(fleet.usable_ranges()[0], None);
    fleet.start(1);
    fleet.run(3 * LEASE);
    let newest = fleet.committed.len() as u64;
    assert!(fleet.all_use(newest), "{:?}", fleet.usable_ranges());
    let trouble = fleet.nodes[2].member.as_mut().map(|m| m.propose(0, b"three", None));
    assert!(matches!(trouble, Some(Err(ProposeError::NotVoter(_)))));
}

#[test]
fn one_whose_file_is_an_old_copy_is_told_so_and_does_not_vote() {
    let mut fleet = fleet(3, 3, 7);
    fleet.run(LEASE);
    let old = fleet.nodes[2].disk.clone();
    fleet.propose(0, b"one").unwrap();
    fleet.run(LEASE);
    let told = |fleet: &mut Fleet| fleet.nodes[2].member.as_mut().map(|m| m.propose(0, b"x", None));
    fleet.nodes[2].member = None;
    fleet.start(2);
    fleet.run(3 * LEASE);
    assert!(!matches!(told(&mut fleet), Some(Err(ProposeError::NotVoter(_)))), "its own file is good");
    fleet.run(3 * LEASE);
    fleet.nodes[2].member = None;
    fleet.nodes[2].disk = old;
    fleet.start(2);
    fleet.run(3 * LEASE);
    assert!(matches!(told(&mut fleet), Some(Err(ProposeError::NotVoter(_)))));
    let newest = fleet.committed.len() as u64;
    assert!(fleet.all_use(newest), "it follows all the same: {:?}", fleet.usable_ranges());
}

#[test]
fn one_with_an_old_copy_is_told_before_it_votes() {
    let mut fleet = fleet(3, 3, 9);
    fleet.run(LEASE);
    let old = fleet.nodes[2].disk.clone();
    // The first and the third commit a version of which the second hears nothing, then and later.
    for other in [0, 2] {
        (fleet.blocked[1][other], fleet.blocked[other][1]) = (true, true);
    }
    fleet.propose(0, b"one").unwrap();
    fleet.run(LEASE);
    assert_eq!(fleet.committed.len(), 1);
    (fleet.blocked[1][2], fleet.blocked[2][1]) = (false, false);
    fleet.nodes[2].member = None;
    fleet.nodes[2].disk = old;
    fleet.start(2);
    // With the third one's vote this would become another version with the same number. What the first one remembers of it
    // comes late.
    fleet.blocked[2][0] = true;
    fleet.propose(1, b"other").unwrap();
    fleet.run(200 * MS);
    fleet.blocked[2][0] = false;
    fleet.run(3 * LEASE);
    assert_eq!(fleet.committed[&1], b"one");
    assert_ne!(fleet.nodes[1].outcomes, [Outcome::Committed(1)]);
}

#[test]
fn one_that_lost_its_file_votes_again_on_what_it_cannot_have_voted_on() {
    let mut fleet = fleet(3, 3, 8);
    fleet.run(LEASE);
    fleet.propose(0, b"one").unwrap();
    fleet.run(LEASE);
    assert!(fleet.replace(2));
    fleet.run(2 * LEASE);
    // Two versions go through without it, the third needs it.
    for content in [b"2", b"3"] {
        fleet.propose(0, content).unwrap();
        fleet.run(LEASE);
    }
    fleet.nodes[1].member = None;
    fleet.propose(0, b"4").unwrap();
    fleet.run(2 * LEASE);
    assert_eq!(fleet.committed.len(), 4, "{:?}", fleet.nodes[0].outcomes);
    assert!(!fleet.replace(2), "one other is no quorum");
}

#[test]
fn an_echo_of_an_old_question_keeps_no_version_from_being_acted_on() {
    let mut fleet = fleet(2, 1, 6);
    fleet.run(LEASE);
    let asked = PeerMessage::Protocol(7, 1, Message::LeaseRequest(0, 1, 99)).encode();
    fleet.propose(0, b"one").unwrap();
    for _ in 0..200 {
        fleet.at(fleet.now, 0, Event::Datagram("g1".into(), asked.clone()));
        fleet.run(20 * MS);
    }
    assert!(fleet.all_use(1), "{:?}", fleet.usable_ranges());
}

/// All at once: cuts, pauses, kills and loss drawn from seeds, with proposals all the while.
#[test]
fn nothing_contradicts_in_drawn_histories() {
    let (mut full, mut versions) = (0, 0);
    for seed in 0..60 {
        let mut fleet = fleet(5, 3, 1000 + seed);
        let mut rng = seed;
        for round in 0..60 {
            let n = splitmix64(&mut rng) as usize % 5;
            match splitmix64(&mut rng) % 8 {
                0 => fleet.nodes[n].paused_until = fleet.now + splitmix64(&mut rng) % (4 * LEASE),
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
            let by = splitmix64(&mut rng) as usize % 3;
            if fleet.nodes[by].member.is_some() && fleet.nodes[by].paused_until <= fleet.now {
                fleet.propose(by, format!("{seed} {round}").as_bytes()).ok();
            }
            fleet.run(splitmix64(&mut rng) % 800 * MS);
        }
        fleet.loss_per_mille = 0;
        fleet.blocked.iter_mut().flatten().for_each(|cut| *cut = false);
        fleet.nodes.iter_mut().for_each(|g| g.paused_until = 0);
        (0..5)
            .filter(|&g| fleet.nodes[g].member.is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|g| fleet.start(g));
        fleet.run(8 * LEASE);
        let newest = *fleet.committed.keys().last().expect("some version is committed");
        assert!(fleet.all_use(newest), "seed {seed}: {newest}, {:?}", fleet.usable_ranges());
        full += 1;
        versions += fleet.committed.len();
    }
    println!("{full} histories, {versions} versions");
    assert!(versions > 600, "too few versions to show anything: {versions}");
}

#[test]
fn what_depends_on_the_moment_is_voted_on_once_a_quorum_finds_it_fit_and_leaves_no_number_stuck() {
    let mut fleet = fleet(4, 3, 9);
    fleet.run(LEASE);
    // Fit at the first voter alone.
    *fleet.fitness.borrow_mut() = Box::new(|n, content, before| match content {
        b"mine" if n > 0 => Err("not by my books".to_owned()),
        b"next" if before.is_none_or(|b| b.content != b"plain") => Err("follows another one".to_owned()),
        b"plain" => Ok(false),
        _ => Ok(true),
    });
    fleet.propose(0, b"mine").unwrap();
    fleet.run(2_000 * MS);
    assert!(matches!(&fleet.nodes[0].outcomes[..], [Outcome::Unfit(why)] if why.contains("not by my books")));
    // Nobody has voted for it: with the third one gone the other two go on.
    fleet.nodes[2].member = None;
    fleet.propose(0, b"plain").unwrap();
    fleet.run(2_000 * MS);
    assert!(matches!(fleet.propose(1, b"mine"), Err(ProposeError::Unfit(_))));
    fleet.propose(1, b"next").unwrap();
    fleet.run(3 * LEASE);
    assert_eq!(fleet.committed, [(1, b"plain".to_vec()), (2, b"next".to_vec())].into());
}
