//! Polls the list of engines by DNS over UDP.

mod order;
mod queries;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;

use crate::host::Host;
use order::ListOrder;
use queries::Queries;

/// The interval of queries. By the rules of the platform, a gateway knows of a change once an answer contains
/// it, and at the latest 1.5 s after it happened. Several queries within that time allow for lost answers.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// How long an answer is awaited before the next query is sent, less [`BACKOFF_STEP`].
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// By how much the wait for an answer grows with each consecutive query without one. The wait never exceeds
/// [`QUERY_INTERVAL`]: changes during an outage count as known soon after the resolver is back.
const BACKOFF_STEP: Duration = Duration::from_millis(30);
/// The number of consecutive queries without an answer after which the failure is logged.
const FAILURES_LOGGED: u32 = 8;
/// How long to wait after a query could not be sent.
const SEND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

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

    /// Polls the list and passes on newer ones than that with the given number. Never returns.
    pub async fn follow(self: Rc<Self>, host: Rc<Host>, list_number: u32) {
        let mut order = ListOrder::after(list_number);
        let mut queries = Queries::to(self.address.get());
        let mut failures = 0u32;
        loop {
            let address_changed = self.address_changed.listen();
            if queries.address() != self.address.get() {
                // Answers from the old address are no longer valid.
                queries.set_address(self.address.get());
                failures = 0;
            }
            let polling = async {
                let failed = poll_once(&mut queries, &host, failures, &mut order).await;
                failures = if failed { failures.saturating_add(1) } else { 0 };
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

/// Sends one query and handles answers until the next one is due; true if no valid answer came.
async fn poll_once(queries: &mut Queries, host: &Rc<Host>, failures: u32, order: &mut ListOrder) -> bool {
    let started = Instant::now();
    // After the first failures the next query is sent earlier: a lost answer must not delay the news of a
    // change much.
    let timeout = ANSWER_TIMEOUT + BACKOFF_STEP * failures.saturating_add(1).min(FAILURES_LOGGED);
    let timeout = if queries.send(started) { timeout.min(QUERY_INTERVAL) } else { SEND_RETRY_INTERVAL };
    let mut next_query = started + timeout;
    let mut failed = true;
    while let Some((list, asked)) = queries.receive_until(next_query, &host.config.names).await {
        if failures >= FAILURES_LOGGED && failed {
            tracing::info!(address = %queries.address(), failures, "resolver answers again");
        }
        // Counted from the query: answers to earlier ones must not put off the next one.
        (failed, next_query) = (false, started + QUERY_INTERVAL);
        if order.accept(list.number, asked, Instant::now()) {
            host.update_list(list, false);
        } else {
            host.note_unchanged_list();
        }
        host.confirm_list(asked);
    }
    failed
}
