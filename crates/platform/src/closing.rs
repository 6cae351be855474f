//! Client connections that are being closed in an orderly way: no longer served, but with open sockets.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use futures_lite::future;
use violetward_net::Duplex;

/// Time-out for an orderly close. Clients on the platform see the end of the stream within milliseconds; the
/// rest of the time is for clients that are slow to read the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The connections that are being closed. Each still holds a file descriptor, so their number is bounded.
pub struct ClosingConnections {
    max: usize,
    next_number: Cell<u64>,
    /// For each connection, oldest first, the event that ends its orderly close.
    abort_events: RefCell<BTreeMap<u64, Rc<Event>>>,
}

impl ClosingConnections {
    /// An empty set for up to `max` connections.
    pub fn new(max: usize) -> Self {
        ClosingConnections { max, next_number: Cell::new(0), abort_events: RefCell::default() }
    }

    /// The number of connections.
    pub fn count(&self) -> usize {
        self.abort_events.borrow().len()
    }

    /// Closes a connection in an orderly way; the caller drops it afterwards. If there are too many, the
    /// oldest ones are closed at once.
    pub async fn finish(&self, duplex: &Duplex) {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let abort = Rc::new(Event::new());
        let listener = abort.listen();
        self.abort_events.borrow_mut().insert(number, abort);
        self.abort_excess();
        future::or(duplex.finish(CLOSE_TIMEOUT), listener).await;
        self.abort_events.borrow_mut().remove(&number);
    }

    fn abort_excess(&self) {
        let mut events = self.abort_events.borrow_mut();
        while events.len() > self.max {
            let Some((_, oldest)) = events.pop_first() else { return };
            oldest.notify(1);
        }
    }
}
