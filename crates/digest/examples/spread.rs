//! Simulates a fleet of gateways that exchange pages over a lossy network, and reports what a gateway sends
//! and how old its knowledge of the others is.
//!
//! `cargo run --release -p violetward-digest --example spread -- [MEMBERS] [CELLS] [LOSS] [CUT]`
//!
//! `MEMBERS` is the number of gateways, `CELLS` the number of cells per gateway and `LOSS` the share of
//! datagrams lost. `CUT` percent of the gateways cannot reach every third gateway.

use violetward_digest::{
    Cell, Digest, DigestConfig, GossipConfig, GossipScheduler, Page, PageBuilder, Summary, MAX_DATAGRAM_BYTES,
};
use violetward_transport::sim::{splitmix64, EventQueue, LinkConditions, SeededRng};

const SECOND: u64 = 1_000_000;

/// The results of a simulation.
pub struct Report {
    /// Mean number of bytes that a member sends per second.
    pub mean_bytes_per_second: f64,
    /// Most bytes that a member sent in one second.
    pub max_bytes_per_second: usize,
    /// Ages of the pages of other members, in seconds: median, 99th percentile, maximum.
    pub page_ages_s: [f64; 3],
    /// Number of pages missing, summed over all members.
    pub missing_pages: usize,
    /// Largest total size of the pages of one member, in bytes.
    pub max_own_page_bytes: usize,
}

struct Member {
    builder: PageBuilder,
    digest: Digest,
    scheduler: GossipScheduler,
    /// Bytes sent in each second.
    sent_bytes: Vec<usize>,
}

/// Simulates a fleet for `seconds`. The first 60 s, at most half of the time, do not count towards the bytes
/// sent. The page ages are taken at the end. `cut_percent` of the members, those of the lowest numbers,
/// cannot reach every third member.
pub fn simulate(
    members: usize,
    cells: usize,
    loss: f64,
    cut_percent: usize,
    seconds: u64,
    seed: u64,
) -> Report {
    let network = LinkConditions { loss, delay: (500, 50_000), duplicates: 0.01, corrupted: 0.0 };
    let (mut random, mut queue) = (SeededRng(seed), EventQueue::new(0));
    let name = |n: usize| format!("gateway-{n:03}");
    let mut fleet: Vec<Member> = (0..members)
        .map(|n| Member {
            builder: PageBuilder::new(&name(n), 1 + (cells / 24).min(7) as u8, 1),
            digest: Digest::new(DigestConfig::default()),
            scheduler: GossipScheduler::new(GossipConfig::default(), splitmix64(&mut random.0), 0),
            sent_bytes: vec![0; seconds as usize + 1],
        })
        .collect();
    let local_cells = |n: usize| {
        let cell = move |c: usize| Cell {
            class: (c % 4) as u16,
            group: Some(0x1234_5678_9abc * (c as u64 + 1)),
            kind: Some((c % 3) as u16),
            zone: Some((c % 2) as u16),
            site: Some((n % 4) as u16),
        };
        let summary = Summary {
            demand: 1_000.0,
            cost_ratio: 1.2,
            cost_weight: 5_000.0,
            headroom: 9_000.0,
            round_trip_us: 800.0,
        };
        (0..cells).map(move |c| (cell(c), summary)).collect::<Vec<_>>()
    };
    let is_cut = |from: usize, to: usize| from * 100 < cut_percent * members && (from + to) % 3 == 0;
    // An event with an empty datagram polls the scheduler of the member.
    (0..members).for_each(|n| queue.push(splitmix64(&mut random.0) % SECOND, (n, Vec::new())));
    while let Some((n, datagram)) = queue.pop(seconds * SECOND) {
        let now = queue.now;
        let member = &mut fleet[n];
        if !datagram.is_empty() {
            for page in Page::decode_datagram(&datagram, now).expect("a valid datagram") {
                member.builder.observe(&page);
                member.digest.merge(now, page);
            }
            continue;
        }
        let others = || (0..members).filter(|&other| other != n).map(name).collect();
        let outgoing =
            member.scheduler.poll(now, others, || local_cells(n), &mut member.builder, &mut member.digest);
        queue.push(member.scheduler.next_poll_at().max(now + 1), (n, Vec::new()));
        for (recipient, datagram) in outgoing {
            assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
            fleet[n].sent_bytes[(now / SECOND) as usize] += datagram.len();
            let recipient: usize = recipient["gateway-".len()..].parse().expect("a member number");
            if !is_cut(n, recipient) {
                let copies = network.transmit(&mut random, datagram);
                copies.into_iter().for_each(|(delay, copy)| queue.push(now + delay, (recipient, copy)));
            }
        }
    }
    report(&fleet, name, seconds)
}

fn report(fleet: &[Member], name: impl Fn(usize) -> String, seconds: u64) -> Report {
    let end = seconds * SECOND;
    let (mut ages_s, mut missing_pages, mut max_own_page_bytes) = (Vec::new(), 0, 0);
    for (n, member) in fleet.iter().enumerate() {
        let others_pages = member.digest.pages().filter(|p| p.origin() != name(n));
        let others_ages_s: Vec<f64> = others_pages.map(|p| p.age(end) as f64 / 1e6).collect();
        let own_pages = member.digest.pages().filter(|p| p.origin() == name(n));
        let (own_count, own_bytes) =
            own_pages.fold((0, 0), |(count, bytes), page| (count + 1, bytes + page.encoded_len()));
        max_own_page_bytes = max_own_page_bytes.max(own_bytes);
        missing_pages += (fleet.len() - 1) * own_count - others_ages_s.len();
        ages_s.extend(others_ages_s);
    }
    ages_s.sort_by(f64::total_cmp);
    let quantile = |q: f64| ages_s[((ages_s.len() - 1) as f64 * q) as usize];
    let counted_from = 60.min(seconds as usize / 2);
    let counted_seconds =
        || fleet.iter().flat_map(|m| &m.sent_bytes[counted_from..seconds as usize]).copied();
    let member_seconds = (fleet.len() * (seconds as usize - counted_from)) as f64;
    Report {
        mean_bytes_per_second: counted_seconds().sum::<usize>() as f64 / member_seconds,
        max_bytes_per_second: counted_seconds().max().unwrap_or(0),
        page_ages_s: [quantile(0.5), quantile(0.99), quantile(1.0)],
        missing_pages,
        max_own_page_bytes,
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let mut next_arg = |default: f64| args.next().and_then(|arg| arg.parse().ok()).unwrap_or(default);
    let (members, cells, loss, cut_percent) =
        (next_arg(300.0) as usize, next_arg(12.0) as usize, next_arg(0.05), next_arg(0.0) as usize);
    let started = std::time::Instant::now();
    let report = simulate(members, cells, loss, cut_percent, 180, 1);
    let [median_s, percentile_99_s, max_s] = report.page_ages_s;
    println!(
        "{members} members with {cells} cells each ({} bytes of own pages), loss {loss}, \
         {cut_percent}% of members cut off from a third: \
         {:.0} bytes per member and second (maximum {}), \
         page age: median {median_s:.1} s, 99th percentile {percentile_99_s:.1} s, maximum {max_s:.1} s, \
         missing pages: {}; simulated in {:.1} s",
        report.max_own_page_bytes,
        report.mean_bytes_per_second,
        report.max_bytes_per_second,
        report.missing_pages,
        started.elapsed().as_secs_f64()
    );
}
