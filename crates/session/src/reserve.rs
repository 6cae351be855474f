//! Which statements go before new work. An open transaction holds locks and memory on its engine: what lets it end helps
//! everybody there, and refusing it behind new work would keep the engine full of transactions that wait. But a reserve without
//! a bound would let sessions push the engine over, so that only what ends a transaction always has it.

use crate::kind::Kind;
use crate::table::Holds;

/// Whether a statement may use the reserve: it is admitted if it can be done by its deadline, whatever the debt of its class.
/// `in_flight` counts the statements on that engine that use it now, and `most` bounds them.
pub fn applies(kind: &Kind, holds: Holds, in_flight: u32, most: u32) -> bool {
    match kind {
        Kind::Commit | Kind::Rollback => true,
        Kind::Leave => false,
        // Temporary tables alone hold no locks that others wait for.
        _ => holds.transaction && in_flight < most,
    }
}
