//! The end of a gateway: it goes on for as long as its front may still send requests, then takes no more, answers what
//! it has, and closes each connection behind its last answer.

use std::rc::Rc;
use std::time::Duration;

use crate::host::Host;

/// How long after SIGTERM requests are still taken. The platform's front sends new connections for up to 0.4 s and
/// requests for 0.2 s more; what it sends later than 0.7 s has to be answered before the process is killed, so that
/// nothing with a deadline of its own may be taken by then.
const STILL_TAKING: Duration = Duration::from_millis(650);
/// How often it is looked whether all has ended.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Ends a gateway; returns once every request has its answer and every connection is closed. Each part of that is
/// bounded: a request by its deadline, an answer that is not read and a frame that does not end by the sweep of
/// connections, a close by its own time.
pub async fn stop(host: &Rc<Host>) {
    host.begin_stop();
    tracing::info!(open = host.look(crate::core::Core::open), "stopping: what comes still gets its answer");
    violetward_net::sleep(STILL_TAKING).await;
    host.begin_drain();
    while !has_ended(host) {
        violetward_net::sleep(LOOK_EVERY).await;
    }
}

/// Nothing is listened on, and no connection of a client is left.
fn has_ended(host: &Host) -> bool {
    let connections = host.clients.borrow().len() + host.closing.count();
    !host.listening.get() && connections == 0 && host.look(crate::core::Core::open) == 0
}
