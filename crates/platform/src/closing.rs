//! Client connections that are being closed in an orderly way: served no more, but their sockets are still open.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use futures_lite::future;
use violetward_net::Duplex;

/// How long a connection may take from the end of its service to its close. A client on the platform sees the end of
/// the stream within milliseconds; the rest of the time is for one that is slow to take its last answer.
const CLOSE_TIME: Duration = Duration::from_millis(500);

/// The connections that are being closed, oldest first. Each still holds a descriptor, so their number is bounded.
pub struct ClosingConnections {
    most: usize,
    next: Cell<u64>,
    /// Told when a connection has to be closed at once.
    cut_off: RefCell<BTreeMap<u64, Rc<Event>>>,
}

impl ClosingConnections {
    /// None yet, and up to `most` at a time.
    pub fn new(most: usize) -> Self {
        ClosingConnections { most, next: Cell::new(0), cut_off: RefCell::default() }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.cut_off.borrow().len()
    }

    /// Closes a connection in an orderly way; the caller drops it afterwards. Where there are too many, the one that
    /// has been closing for longest is cut off.
    pub async fn finish(&self, duplex: &Duplex) {
        let number = self.next.replace(self.next.get() + 1);
        let cut_off = Rc::new(Event::new());
        let listener = cut_off.listen();
        self.cut_off.borrow_mut().insert(number, cut_off);
        self.cut_off_oldest();
        future::or(duplex.finish(CLOSE_TIME), listener).await;
        self.cut_off.borrow_mut().remove(&number);
    }

    fn cut_off_oldest(&self) {
        let mut connections = self.cut_off.borrow_mut();
        while connections.len() > self.most {
            let Some((_, oldest)) = connections.pop_first() else { return };
            oldest.notify(1);
        }
    }
}
