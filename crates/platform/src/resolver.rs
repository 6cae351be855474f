//! Polls the list of engines by DNS over UDP.

mod queries;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;

use crate::engine_evidence::{AnswerTimes, EngineEvidence};
use crate::host::Host;
use crate::list::List;
use queries::{Queries, Received};

/// The interval of queries while answers are good: the grace in which a drain must be heeded, counted from when
/// an answer could have told of it, is long enough for two.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// How long an answer is awaited before the first repeated query.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// How long after an answer that can't be used the first repeated query is sent.
const BAD_ANSWER_PAUSE: Duration = Duration::from_millis(10);
/// The longest interval of repeated queries. The wait doubles with each consecutive failure up to this: changes
/// during an outage count as known soon after the resolver is back.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The number of consecutive queries without a good answer after which the failure is logged.
const FAILURES_LOGGED: u32 = 8;

/// The resolver that the list of engines comes from.
pub struct Resolver {
    address: Cell<SocketAddr>,
    /// Notified when the address changes.
    address_changed: Event,
    /// Notified after every [`FAILURES_LOGGED`] consecutive queries without an answer.
    silent: Event,
}

impl Resolver {
    /// Creates a resolver with the given address.
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Resolver { address: Cell::new(address), address_changed: Event::new(), silent: Event::new() })
    }

    /// Changes the address.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
        self.address_changed.notify(usize::MAX);
    }

    /// The present address.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Waits until the resolver has not answered for a while.
    pub(crate) async fn wait_for_silence(&self) {
        self.silent.listen().await;
    }

    /// Polls the list and passes on what changes from the initial one. Never returns.
    pub async fn follow(self: Rc<Self>, host: Rc<Host>, initial: List) {
        let mut evidence = EngineEvidence::new(initial);
        let mut queries = Queries::to(self.address.get());
        let (mut failures, mut doubts) = (0u32, 0u32);
        loop {
            let address_changed = self.address_changed.listen();
            if queries.address() != self.address.get() {
                // Answers from the old address are no longer valid.
                queries.set_address(self.address.get());
                (failures, doubts) = (0, 0);
            }
            let polling = async {
                let poll = Poll { failures, doubts };
                (failures, doubts) = match poll.run(&mut queries, &host, &mut evidence).await {
                    PollOutcome::Confirmed => (0, 0),
                    PollOutcome::Doubtful => (0, doubts.saturating_add(1)),
                    PollOutcome::Failed => (failures.saturating_add(1), doubts),
                };
            };
            future::or(address_changed, polling).await;
            if failures > 0 && failures % FAILURES_LOGGED == 0 {
                self.silent.notify(usize::MAX);
            }
            if failures == FAILURES_LOGGED {
                let address = queries.address();
                tracing::warn!(%address, why = queries.last_error(), "no good answer of the resolver: the old list stands");
            }
        }
    }
}

/// The wait before the next query after a number of consecutive failures.
fn retry_interval(first: Duration, failures: u32) -> Duration {
    first.saturating_mul(1 << failures.min(FAILURES_LOGGED)).min(MAX_RETRY_INTERVAL)
}

/// How a poll ended. The greatest outcome of its answers counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PollOutcome {
    /// No valid answer came.
    Failed,
    /// A valid answer came, and it does not tell which list is the present one.
    Doubtful,
    /// The present list is known.
    Confirmed,
}

/// One query, and the answers that come until the next one is due.
struct Poll {
    /// How many polls before it failed in a row.
    failures: u32,
    /// How many polls since the present list was last known were doubtful.
    doubts: u32,
}

impl Poll {
    async fn run(
        &self,
        queries: &mut Queries,
        host: &Rc<Host>,
        evidence: &mut EngineEvidence,
    ) -> PollOutcome {
        let started = Instant::now();
        queries.send(started);
        let mut next_query = started + retry_interval(ANSWER_TIMEOUT, self.failures);
        let mut outcome = PollOutcome::Failed;
        while let Some(received) = queries.receive_until(next_query, &host.config.names).await {
            let now = Instant::now();
            let answer = take_answer(received, host, evidence, now);
            if self.failures >= FAILURES_LOGGED && answer > outcome && outcome == PollOutcome::Failed {
                tracing::info!(address = %queries.address(), failures = self.failures, "resolver answers again");
            }
            outcome = outcome.max(answer);
            next_query = match (outcome, answer) {
                // Counted from the query: answers to earlier ones must not put off the next one.
                (PollOutcome::Confirmed, _) => started + QUERY_INTERVAL,
                (_, PollOutcome::Doubtful) => now + retry_interval(BAD_ANSWER_PAUSE, self.doubts),
                _ => next_query.min(now + retry_interval(BAD_ANSWER_PAUSE, self.failures)),
            };
        }
        outcome
    }
}

/// Handles an answer.
fn take_answer(
    received: Received,
    host: &Rc<Host>,
    evidence: &mut EngineEvidence,
    now: Instant,
) -> PollOutcome {
    let Received::List(list, asked) = received else { return PollOutcome::Failed };
    let judgement = evidence.take(&list, AnswerTimes { asked, received: now });
    match judgement.change {
        Some(change) => host.update_list(change, false),
        None if judgement.is_current => host.note_unchanged_list(),
        None => {}
    }
    if !judgement.is_current {
        return PollOutcome::Doubtful;
    }
    host.confirm_list(asked);
    PollOutcome::Confirmed
}
