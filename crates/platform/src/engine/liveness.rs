//! Tells an engine whose process died from one of which only a connection broke.

use std::rc::Rc;
use std::time::{Duration, Instant};

use violetward::Listed;

use super::dial::dial;
use super::{Connection, Engine};
use crate::host::Host;

/// How often it is checked whether an engine is alive after one of its connections broke.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// How many times that is checked.
const LIVENESS_CHECKS: u32 = 8;

/// Whether an engine's process is alive after one of its connections broke.
///
/// When a process dies, all its connections are reset and new ones are refused. So the process is alive if
/// another connection is still open a moment later, or a new one comes up. It also is if a new one is late,
/// since a refusal would have come by then.
pub(super) async fn is_alive(host: &Rc<Host>, engine: &Rc<Engine>) -> bool {
    let broke = Instant::now();
    let is_open = |c: &Rc<Connection>| c.duplex.borrow().as_ref().is_some_and(|d| d.is_alive());
    for check in 0..LIVENESS_CHECKS {
        violetward_net::sleep(LIVENESS_CHECK_INTERVAL).await;
        if engine.connections.borrow().iter().any(is_open) {
            return true;
        }
        if engine.last_refused.get().is_some_and(|refused| refused >= broke) {
            return false;
        }
        if check == 0 && !engine.is_dialling() && engine.listed.get() == Listed::Up {
            dial(host, engine, true);
        }
    }
    engine.is_dialling()
}
