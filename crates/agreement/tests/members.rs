//! Histories of whole gateways' parts: see [`violetward_agreement::sim`].

use violetward_agreement::sim::{splitmix64, Fleet, What};
use violetward_agreement::wire::Said;
use violetward_agreement::{Declined, Message, Outcome};

const LEASE: u64 = 2_000_000;
const MS: u64 = 1_000;

fn fleet(count: usize, voters: usize, seed: u64) -> Fleet {
    Fleet::new(count, voters, LEASE, 20_000, seed)
}

#[test]
fn a_version_is_acted_on_by_all_soon_after_it_is_proposed() {
    let mut world = fleet(5, 3, 1);
    world.run(LEASE);
    assert!(world.all_on(0), "{:?}", world.acts());
    assert_eq!(world.propose(1, b"one"), Ok(()));
    assert_eq!(world.propose(1, b"two"), Err(Declined::Busy));
    assert!(matches!(world.propose(4, b"two"), Err(Declined::NotVoter(v)) if v.len() == 3));
    assert!(matches!(world.propose(0, b"unfit"), Err(Declined::Unfit(_))));
    // A few ways there and back, no lease's time.
    world.run(300 * MS);
    assert!(world.all_on(1), "{:?}", world.acts());
    assert_eq!(world.nodes[1].outcomes, [Outcome::Committed(1)]);
}

#[test]
fn one_that_stands_still_delays_the_next_version_by_its_lease_and_no_longer() {
    let mut world = fleet(4, 3, 2);
    world.run(LEASE);
    world.nodes[3].still = world.now + 20_000 * MS;
    world.propose(0, b"one").unwrap();
    world.run(300 * MS);
    // It may act on the old version alone, or wake and do so: the others do only what both allow.
    assert_eq!(world.acts()[..3], [Some((0, 1)); 3]);
    let bound = 2 * LEASE;
    world.run(bound);
    assert_eq!(world.acts(), [Some((1, 1)), Some((1, 1)), Some((1, 1)), None]);
    world.run(20_000 * MS);
    assert!(world.all_on(1), "{:?}", world.acts());
}

#[test]
fn a_minority_commits_nothing_and_acts_on_nothing_after_its_lease() {
    let mut world = fleet(5, 5, 3);
    world.run(LEASE);
    for (a, b) in (0..2).flat_map(|a| (2..5).map(move |b| (a, b))) {
        (world.cut[a][b], world.cut[b][a]) = (true, true);
    }
    world.propose(0, b"minority").unwrap();
    world.propose(3, b"majority").unwrap();
    world.run(6_000 * MS);
    assert_eq!(world.acts(), [None, None, Some((1, 1)), Some((1, 1)), Some((1, 1))]);
    assert_eq!(world.nodes[0].outcomes, [Outcome::Unknown]);
    world.cut.iter_mut().flatten().for_each(|cut| *cut = false);
    world.run(2 * LEASE);
    assert!(world.all_on(1) && world.contents[&1] == b"majority", "{:?}", world.acts());
}

#[test]
fn two_proposals_at_once_become_one_version_and_a_conflict() {
    for seed in 0..20 {
        let mut world = fleet(3, 3, seed);
        world.run(LEASE);
        world.propose(0, b"one").unwrap();
        world.propose(2, b"other").unwrap();
        world.run(6_000 * MS);
        let both = [world.nodes[0].outcomes.clone(), world.nodes[2].outcomes.clone()].concat();
        assert!(
            both.contains(&Outcome::Committed(1)) && both.contains(&Outcome::Conflict(1)),
            "{seed}: {both:?}"
        );
        assert!(world.all_on(1));
    }
}

#[test]
fn a_long_content_is_fetched_in_parts_though_many_get_lost() {
    let mut world = fleet(4, 3, 4);
    world.run(LEASE);
    world.loss = 200;
    let long: Vec<u8> = (0..30_000u32).map(|n| n as u8).collect();
    world.propose(0, &long).unwrap();
    world.run(20_000 * MS);
    world.loss = 0;
    world.run(2 * LEASE);
    assert!(world.all_on(1) && world.contents[&1] == long, "{:?}", world.acts());
}

#[test]
fn one_without_its_file_does_not_vote_and_still_follows() {
    let mut world = fleet(3, 3, 5);
    world.run(LEASE);
    world.propose(0, b"one").unwrap();
    world.run(LEASE);
    world.nodes[2].member = None;
    world.nodes[2].disk[20] ^= 1;
    world.start(2);
    world.nodes[1].member = None;
    world.propose(0, b"two").unwrap();
    world.run(6_000 * MS);
    assert_eq!(world.nodes[0].outcomes.last(), Some(&Outcome::Unknown), "one voter is no quorum of three");
    assert_eq!(world.acts()[0], None);
    world.start(1);
    world.run(3 * LEASE);
    let newest = world.contents.len() as u64;
    assert!(world.all_on(newest), "{:?}", world.acts());
    let trouble = world.nodes[2].member.as_mut().map(|m| m.propose(0, b"three", None));
    assert!(matches!(trouble, Some(Err(Declined::NotVoter(_)))));
}

#[test]
fn one_whose_file_is_an_old_copy_is_told_so_and_does_not_vote() {
    let mut world = fleet(3, 3, 7);
    world.run(LEASE);
    let old = world.nodes[2].disk.clone();
    world.propose(0, b"one").unwrap();
    world.run(LEASE);
    let told = |world: &mut Fleet| world.nodes[2].member.as_mut().map(|m| m.propose(0, b"x", None));
    world.nodes[2].member = None;
    world.start(2);
    world.run(3 * LEASE);
    assert!(!matches!(told(&mut world), Some(Err(Declined::NotVoter(_)))), "its own file is good");
    world.run(3 * LEASE);
    world.nodes[2].member = None;
    world.nodes[2].disk = old;
    world.start(2);
    world.run(3 * LEASE);
    assert!(matches!(told(&mut world), Some(Err(Declined::NotVoter(_)))));
    let newest = world.contents.len() as u64;
    assert!(world.all_on(newest), "it follows all the same: {:?}", world.acts());
}

#[test]
fn one_with_an_old_copy_is_told_before_it_votes() {
    let mut world = fleet(3, 3, 9);
    world.run(LEASE);
    let old = world.nodes[2].disk.clone();
    // The first and the third commit a version of which the second hears nothing, then and later.
    for other in [0, 2] {
        (world.cut[1][other], world.cut[other][1]) = (true, true);
    }
    world.propose(0, b"one").unwrap();
    world.run(LEASE);
    assert_eq!(world.contents.len(), 1);
    (world.cut[1][2], world.cut[2][1]) = (false, false);
    world.nodes[2].member = None;
    world.nodes[2].disk = old;
    world.start(2);
    // With the third one's vote this would become another version with the same number. What the first one remembers of it
    // comes late.
    world.cut[2][0] = true;
    world.propose(1, b"other").unwrap();
    world.run(200 * MS);
    world.cut[2][0] = false;
    world.run(3 * LEASE);
    assert_eq!(world.contents[&1], b"one");
    assert_ne!(world.nodes[1].outcomes, [Outcome::Committed(1)]);
}

#[test]
fn one_that_lost_its_file_votes_again_on_what_it_cannot_have_voted_on() {
    let mut world = fleet(3, 3, 8);
    world.run(LEASE);
    world.propose(0, b"one").unwrap();
    world.run(LEASE);
    assert!(world.replace(2));
    world.run(2 * LEASE);
    // Two versions go through without it, the third needs it.
    for content in [b"2", b"3"] {
        world.propose(0, content).unwrap();
        world.run(LEASE);
    }
    world.nodes[1].member = None;
    world.propose(0, b"4").unwrap();
    world.run(2 * LEASE);
    assert_eq!(world.contents.len(), 4, "{:?}", world.nodes[0].outcomes);
    assert!(!world.replace(2), "one other is no quorum");
}

#[test]
fn an_echo_of_an_old_question_keeps_no_version_from_being_acted_on() {
    let mut world = fleet(2, 1, 6);
    world.run(LEASE);
    let asked = Said::Protocol(7, 1, Message::Ask(0, 1, 99)).write();
    world.propose(0, b"one").unwrap();
    for _ in 0..200 {
        world.at(world.now, 0, What::Comes("g1".into(), asked.clone()));
        world.run(20 * MS);
    }
    assert!(world.all_on(1), "{:?}", world.acts());
}

/// All at once: cuts, pauses, kills and loss drawn from seeds, with proposals all the while.
#[test]
fn nothing_contradicts_in_drawn_histories() {
    let (mut full, mut versions) = (0, 0);
    for seed in 0..60 {
        let mut world = fleet(5, 3, 1000 + seed);
        let mut dice = seed;
        for round in 0..60 {
            let n = splitmix64(&mut dice) as usize % 5;
            match splitmix64(&mut dice) % 8 {
                0 => world.nodes[n].still = world.now + splitmix64(&mut dice) % (4 * LEASE),
                1 => world.nodes[n].member = None,
                2 => world.loss = splitmix64(&mut dice) % 400,
                3 => {
                    let m = splitmix64(&mut dice) as usize % 5;
                    world.cut[n][m] = true;
                }
                5 if n < 3 => drop(world.replace(n)),
                4 => world.cut.iter_mut().flatten().for_each(|cut| *cut = false),
                _ => {}
            }
            if splitmix64(&mut dice) % 3 == 0 {
                let dead: Vec<usize> = (0..5).filter(|&g| world.nodes[g].member.is_none()).collect();
                dead.into_iter().for_each(|g| world.start(g));
            }
            let by = splitmix64(&mut dice) as usize % 3;
            if world.nodes[by].member.is_some() && world.nodes[by].still <= world.now {
                world.propose(by, format!("{seed} {round}").as_bytes()).ok();
            }
            world.run(splitmix64(&mut dice) % 800 * MS);
        }
        world.loss = 0;
        world.cut.iter_mut().flatten().for_each(|cut| *cut = false);
        world.nodes.iter_mut().for_each(|g| g.still = 0);
        (0..5)
            .filter(|&g| world.nodes[g].member.is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|g| world.start(g));
        world.run(8 * LEASE);
        let newest = *world.contents.keys().last().expect("some version is committed");
        assert!(world.all_on(newest), "seed {seed}: {newest}, {:?}", world.acts());
        full += 1;
        versions += world.contents.len();
    }
    println!("{full} histories, {versions} versions");
    assert!(versions > 600, "too few versions to show anything: {versions}");
}

#[test]
fn what_depends_on_the_moment_is_voted_on_once_a_quorum_finds_it_fit_and_leaves_no_number_stuck() {
    let mut world = fleet(4, 3, 9);
    world.run(LEASE);
    // Fit at the first voter alone.
    *world.fitness.borrow_mut() = Box::new(|n, content, before| match content {
        b"mine" if n > 0 => Err("not by my books".to_owned()),
        b"next" if before.is_none_or(|b| b.content != b"plain") => Err("follows another one".to_owned()),
        b"plain" => Ok(false),
        _ => Ok(true),
    });
    world.propose(0, b"mine").unwrap();
    world.run(2_000 * MS);
    assert!(matches!(&world.nodes[0].outcomes[..], [Outcome::Unfit(why)] if why.contains("not by my books")));
    // Nobody has voted for it: with the third one gone the other two go on.
    world.nodes[2].member = None;
    world.propose(0, b"plain").unwrap();
    world.run(2_000 * MS);
    assert!(matches!(world.propose(1, b"mine"), Err(Declined::Unfit(_))));
    world.propose(1, b"next").unwrap();
    world.run(3 * LEASE);
    assert_eq!(world.contents, [(1, b"plain".to_vec()), (2, b"next".to_vec())].into());
}
