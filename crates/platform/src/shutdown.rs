//! Graceful shutdown: the gateway keeps serving for as long as the platform's front end may still send
//! requests. Then it drains: it accepts no more requests, answers the open ones, and closes each connection
//! after its last answer.

use std::rc::Rc;
use std::time::Duration;

use crate::host::Host;

/// How long after SIGTERM requests are still accepted. The platform's front end opens new connections for
/// up to 0.4 s and sends requests for 0.2 s more. Requests that come later than 0.7 s must be answered before
/// the process is killed, so they may not be accepted with a deadline of their own.
const STOP_GRACE: Duration = Duration::from_millis(650);
/// How often the end of the drain is checked.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Shuts a gateway down; returns once every request is answered and every client connection is closed. Each
/// part has a time-out: requests their deadlines, unread answers and incomplete frames those of the
/// connection, and the orderly close its own.
pub async fn stop(host: &Rc<Host>) {
    host.begin_stop();
    tracing::info!(
        open = host.read_core(crate::core::Core::open_requests),
        "stopping: what comes still gets its answer"
    );
    violetward_net::sleep(STOP_GRACE).await;
    host.begin_drain();
    while !is_drained(host) {
        violetward_net::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Whether the listener is closed and no client connection and no open request is left.
fn is_drained(host: &Host) -> bool {
    let connections = host.clients.borrow().len() + host.closing.count();
    !host.listening.get() && connections == 0 && host.read_core(crate::core::Core::open_requests) == 0
}
