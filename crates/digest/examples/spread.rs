//! Pages of a whole fleet on a simulated network: what a member sends, and how old what it knows of the others is.
//! `cargo run --release -p violetward-digest --example spread -- [MEMBERS] [MAX_CELLS_PER_PAGE] [LOSS] [CUT]`; `CUT` members of hundred do not
//! reach one other in three.

use violetward_digest::{
    Cell, Digest, DigestConfig, GossipConfig, GossipScheduler, Page, PageBuilder, Summary, MAX_DATAGRAM_BYTES,
};
use violetward_transport::sim::{draw, Dice, Queue, Weather};

const SECOND: u64 = 1_000_000;

/// What a fleet has shown.
pub struct Shown {
    /// Octets sent, a member and second.
    pub octets: f64,
    /// The same in the worst second of a member.
    pub worst: usize,
    /// Ages of what members know of each other, seconds: median, 99th, oldest.
    pub ages: [f64; 3],
    /// Pages that somebody does not know.
    pub unknown: usize,
    /// Octets of an own page.
    pub page: usize,
}

struct Member {
    own: PageBuilder,
    digest: Digest,
    spread: GossipScheduler,
    sent: Vec<usize>,
}

/// Plays a fleet for so many seconds: after the first 60 s, octets are counted; ages are taken at the end.
pub fn play(members: usize, cells: usize, loss: f64, cut: usize, seconds: u64, seed: u64) -> Shown {
    let weather = Weather { loss, delay: (500, 50_000), copies: 0.01, spoilt: 0.0 };
    let (mut dice, mut queue) = (Dice(seed), Queue::new(0));
    let name = |n: usize| format!("gateway-{n:03}");
    let mut fleet: Vec<Member> = (0..members)
        .map(|n| Member {
            own: PageBuilder::new(&name(n), 1 + (cells / 24).min(7) as u8, 1),
            digest: Digest::new(DigestConfig::default()),
            spread: GossipScheduler::new(GossipConfig::default(), draw(&mut dice.0), 0),
            sent: vec![0; seconds as usize + 1],
        })
        .collect();
    let sums = |n: usize| {
        let cell = move |c: usize| Cell {
            class: (c % 4) as u16,
            group: Some(0x1234_5678_9abc * (c as u64 + 1)),
            kind: Some((c % 3) as u16),
            zone: Some((c % 2) as u16),
            site: Some((n % 4) as u16),
        };
        let says = Summary {
            demand: 1_000.0,
            cost_ratio: 1.2,
            cost_weight: 5_000.0,
            headroom: 9_000.0,
            round_trip_us: 800.0,
        };
        (0..cells).map(move |c| (cell(c), says)).collect::<Vec<_>>()
    };
    let is_cut = |from: usize, to: usize| from * 100 < cut * members && (from + to) % 3 == 0;
    (0..members).for_each(|n| queue.push(draw(&mut dice.0) % SECOND, (n, Vec::new())));
    while let Some((n, bytes)) = queue.pop(seconds * SECOND) {
        let now = queue.now;
        let member = &mut fleet[n];
        if !bytes.is_empty() {
            for page in Page::decode_datagram(&bytes, now).expect("a datagram of ours") {
                member.own.observe(&page);
                member.digest.merge(now, page);
            }
            continue;
        }
        let others = || (0..members).filter(|&o| o != n).map(name).collect();
        let out = member.spread.poll(now, others, || sums(n), &mut member.own, &mut member.digest);
        queue.push(member.spread.next_poll_at().max(now + 1), (n, Vec::new()));
        for (to, bytes) in out {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            fleet[n].sent[(now / SECOND) as usize] += bytes.len();
            let to: usize = to[8..].parse().expect("a number");
            if !is_cut(n, to) {
                let copies = weather.carry(&mut dice, bytes);
                copies.into_iter().for_each(|(delay, bytes)| queue.push(now + delay, (to, bytes)));
            }
        }
    }
    let end = seconds * SECOND;
    let (mut ages, mut unknown, mut page) = (Vec::new(), 0, 0);
    for (n, member) in fleet.iter().enumerate() {
        let known = member.digest.pages().filter(|p| p.origin() != name(n));
        let known: Vec<f64> = known.map(|p| p.age(end) as f64 / 1e6).collect();
        let pages = member.digest.pages().filter(|p| p.origin() == name(n));
        let (count, octets) = pages.fold((0, 0), |sum, p| (sum.0 + 1, sum.1 + p.encoded_len()));
        page = page.max(octets);
        unknown += (members - 1) * count - known.len();
        ages.extend(known);
    }
    ages.sort_by(f64::total_cmp);
    let at = |part: f64| ages[((ages.len() - 1) as f64 * part) as usize];
    let from = 60.min(seconds as usize / 2);
    let counted: Vec<&[usize]> = fleet.iter().map(|m| &m.sent[from..seconds as usize]).collect();
    let all: usize = counted.iter().flat_map(|c| c.iter()).sum();
    let per = (members * (seconds as usize - from)) as f64;
    Shown {
        octets: all as f64 / per,
        worst: counted.iter().flat_map(|c| c.iter()).copied().max().unwrap_or(0),
        ages: [at(0.5), at(0.99), at(1.0)],
        unknown,
        page,
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let mut next = |or: f64| args.next().and_then(|a| a.parse().ok()).unwrap_or(or);
    let (members, cells, loss, cut) =
        (next(300.0) as usize, next(12.0) as usize, next(0.05), next(0.0) as usize);
    let began = std::time::Instant::now();
    let shown = play(members, cells, loss, cut, 180, 1);
    println!(
        "{members} members, {cells} cells each ({} octets), loss {loss}, {cut}% cut from a third: {:.0} octets a member and second \
         (worst second {}), ages median {:.1} s, 99th {:.1} s, oldest {:.1} s, unknown {}; {:.1} s of processor time",
        shown.page,
        shown.octets,
        shown.worst,
        shown.ages[0],
        shown.ages[1],
        shown.ages[2],
        shown.unknown,
        began.elapsed().as_secs_f64()
    );
}
