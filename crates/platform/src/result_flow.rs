//! Decides when the further pages of a result are requested from its engine.
//!
//! A result that its client is slow to take waits at its engine, page by page, and not in this process: pages
//! are requested while little waits for the client, and while everything that waits for all clients stays within
//! the memory set aside for it. Without I/O and clock.

use std::collections::{HashMap, VecDeque};

use violetward::EngineId;

use crate::core::{AttemptId, ClientId};
use crate::link::{ResultSize, RESULT_MAX_BYTES};

/// Bytes that may wait for one client, or be on their way to it, before further results for it are requested:
/// enough to keep a fast link busy while an engine answers.
const CLIENT_WINDOW_BYTES: usize = 4 * RESULT_MAX_BYTES;

/// Bytes of answers that clients have not taken yet.
pub trait UnreadBytes {
    /// Those of one client.
    fn of_client(&self, client: ClientId) -> usize;
    /// Those of all clients.
    fn of_all(&self) -> usize;
}

/// A result of which some pages are still to come.
#[derive(Debug, Clone, Copy)]
struct BegunResult {
    engine: EngineId,
    client: ClientId,
    size: ResultSize,
    is_requested: bool,
}

impl BegunResult {
    /// The bytes that it takes up, or may take up before it is complete.
    fn bytes(&self) -> usize {
        self.size.first_page + if self.is_requested { self.size.rest_max } else { 0 }
    }
}

/// The results of which some pages are still to come.
#[derive(Debug)]
pub struct ResultFlow {
    max_bytes: usize,
    results: HashMap<AttemptId, BegunResult>,
    /// The results whose further pages were not requested, in order. May contain results that have ended.
    waiting: VecDeque<AttemptId>,
    /// The sum of [`BegunResult::bytes`].
    bytes: usize,
    /// How many results were requested and have not ended.
    requested: usize,
    /// The part of `bytes` that belongs to requested results, by client.
    requested_bytes: HashMap<ClientId, usize>,
}

impl ResultFlow {
    /// No results; `max_bytes` bounds what waits for all clients.
    pub fn new(max_bytes: usize) -> Self {
        ResultFlow {
            max_bytes,
            results: HashMap::new(),
            waiting: VecDeque::new(),
            bytes: 0,
            requested: 0,
            requested_bytes: HashMap::new(),
        }
    }

    /// Bytes of the pages that have come or were requested.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a result waits for its further pages to be requested.
    pub fn is_waiting(&self, attempt: AttemptId) -> bool {
        self.results.get(&attempt).is_some_and(|result| !result.is_requested)
    }

    /// Notes that the first page of a result has come.
    pub fn begin(&mut self, attempt: AttemptId, engine: EngineId, client: ClientId, size: ResultSize) {
        self.end(attempt);
        let result = BegunResult { engine, client, size, is_requested: false };
        self.bytes += result.bytes();
        self.results.insert(attempt, result);
        self.waiting.push_back(attempt);
    }

    /// Notes that a result is complete, or no longer wanted.
    pub fn end(&mut self, attempt: AttemptId) {
        let Some(result) = self.results.remove(&attempt) else { return };
        self.bytes -= result.bytes();
        if result.is_requested {
            self.requested -= 1;
            self.add_requested_bytes(result.client, -(result.bytes() as isize));
        } else {
            self.waiting.retain(|&waiting| waiting != attempt);
        }
    }

    /// The next result whose further pages are to be requested now. It counts as requested from here on.
    pub fn next_request(&mut self, unread: &impl UnreadBytes) -> Option<(EngineId, AttemptId)> {
        if self.waiting.is_empty() {
            return None;
        }
        let unread_of_all = unread.of_all();
        let fits = |attempt: &AttemptId| self.fits(&self.results[attempt], unread, unread_of_all);
        let index = self.waiting.iter().position(fits)?;
        let attempt = self.waiting.remove(index)?;
        let result = self.results.get_mut(&attempt)?;
        result.is_requested = true;
        let result = *result;
        self.bytes += result.size.rest_max;
        self.requested += 1;
        self.add_requested_bytes(result.client, result.bytes() as isize);
        Some((result.engine, attempt))
    }

    /// Whether the further pages of a result can be requested now. One result for each client, and one in all,
    /// can always be: a limit below the size of a result must not block it for good.
    fn fits(&self, result: &BegunResult, unread: &impl UnreadBytes, unread_of_all: usize) -> bool {
        let requested = self.requested_bytes.get(&result.client).copied().unwrap_or(0);
        let of_client = unread.of_client(result.client) + requested;
        let rest = result.size.rest_max;
        let fits_client = of_client == 0 || of_client + result.size.first_page + rest <= CLIENT_WINDOW_BYTES;
        let alone = self.requested == 0 && unread_of_all == 0;
        fits_client && (alone || unread_of_all + self.bytes + rest <= self.max_bytes)
    }

    fn add_requested_bytes(&mut self, client: ClientId, change: isize) {
        let bytes = self.requested_bytes.entry(client).or_default();
        *bytes = bytes.saturating_add_signed(change);
        if *bytes == 0 {
            self.requested_bytes.remove(&client);
        }
    }

    /// Whether a complete result may wait for its client: together with all that waits for clients, or was
    /// requested, it is within the limit, or nothing else is there.
    pub fn has_room(&self, result_bytes: usize, unread: &impl UnreadBytes) -> bool {
        let others = unread.of_all() + self.bytes;
        others == 0 || others + result_bytes <= self.max_bytes
    }
}
