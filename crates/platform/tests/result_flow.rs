//! When the further pages of results are requested, with seeded random readers and no sockets.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetward::{EngineId, RequestId};
use violetward_platform::core::{AttemptId, ClientId};
use violetward_platform::link::{ResultSize, PAGE_MAX_BYTES, RESULT_MAX_BYTES};
use violetward_platform::result_flow::{ResultFlow, UnreadBytes};

const ENGINE: EngineId = EngineId(1);
const LIMIT_BYTES: usize = 1 << 20;

/// Bytes that clients have not taken yet.
#[derive(Default)]
struct Unread(HashMap<ClientId, usize>);

impl UnreadBytes for Unread {
    fn of_client(&self, client: ClientId) -> usize {
        self.0.get(&client).copied().unwrap_or(0)
    }

    fn of_all(&self) -> usize {
        self.0.values().sum()
    }
}

fn attempt(number: u64) -> AttemptId {
    AttemptId(RequestId(number), 0)
}

fn random_size(rng: &mut StdRng) -> ResultSize {
    let pages: usize = rng.random_range(1..8);
    ResultSize { first_page: rng.random_range(1..PAGE_MAX_BYTES), rest_max: pages * PAGE_MAX_BYTES }
}

/// Guards against memory that grows with the number of clients, and against results that are never requested.
#[test]
fn requested_results_stay_within_the_limit_and_all_are_requested_once_clients_read() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut flow, mut unread) = (ResultFlow::new(LIMIT_BYTES), Unread::default());
        let (mut open, mut requested) = (HashMap::new(), Vec::new());
        let mut next = 0;
        for step in 0..2_000 {
            // After the first half nothing begins, and all clients read.
            let is_over = step >= 1_000;
            match rng.random_range(0..4) {
                0 | 1 if !is_over && flow.bytes() + unread.of_all() < LIMIT_BYTES / 2 => {
                    let (client, size) = (ClientId(rng.random_range(0..20)), random_size(&mut rng));
                    flow.begin(attempt(next), ENGINE, client, size);
                    open.insert(attempt(next), (client, size));
                    next += 1;
                }
                2 if !requested.is_empty() => {
                    let done = requested.swap_remove(rng.random_range(0..requested.len()));
                    let (client, size): (ClientId, ResultSize) = open.remove(&done).expect("an open result");
                    flow.end(done);
                    let bytes = size.first_page + size.rest_max;
                    assert!(
                        flow.has_room(bytes, &unread),
                        "seed {seed}: no room for a result that was requested"
                    );
                    *unread.0.entry(client).or_default() += bytes;
                }
                _ => {
                    let reading = |client: &ClientId| is_over || client.0 % 3 != 0;
                    unread.0.retain(|client, _| !reading(client) || !rng.random_bool(0.5));
                }
            }
            while let Some((_, next)) = flow.next_request(&unread) {
                requested.push(next);
            }
            let total = flow.bytes() + unread.of_all();
            assert!(total <= LIMIT_BYTES, "seed {seed}, step {step}: {total} bytes");
        }
        assert!(open.is_empty(), "seed {seed}: {} results were never requested", open.len());
        assert_eq!(flow.bytes(), 0, "seed {seed}");
    }
}

/// Guards against one slow client that takes the memory of all.
#[test]
fn results_of_a_client_that_does_not_read_leave_room_for_those_of_another() {
    let (mut flow, unread) = (ResultFlow::new(LIMIT_BYTES), Unread::default());
    let size = ResultSize { first_page: PAGE_MAX_BYTES, rest_max: RESULT_MAX_BYTES - PAGE_MAX_BYTES };
    (0..32).for_each(|number| flow.begin(attempt(number), ENGINE, ClientId(1), size));
    flow.begin(attempt(32), ENGINE, ClientId(2), size);
    let requested: Vec<_> = std::iter::from_fn(|| flow.next_request(&unread)).map(|next| next.1).collect();
    assert!((1..=8).contains(&(requested.len() - 1)), "{} results were requested", requested.len());
    assert!(requested.contains(&attempt(32)) && flow.is_waiting(attempt(31)));
}

/// Guards against a limit below one result that blocks it for good.
#[test]
fn a_result_larger_than_the_limit_is_requested_alone() {
    let (mut flow, unread) = (ResultFlow::new(1_000), Unread::default());
    let size = ResultSize { first_page: 900, rest_max: RESULT_MAX_BYTES };
    (0..2).for_each(|number| flow.begin(attempt(number), ENGINE, ClientId(number), size));
    assert_eq!(flow.next_request(&unread), Some((ENGINE, attempt(0))));
    assert_eq!(flow.next_request(&unread), None);
    flow.end(attempt(0));
    assert_eq!(flow.next_request(&unread), Some((ENGINE, attempt(1))));
}
