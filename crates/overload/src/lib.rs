//! Bounds the memory that a process holds for its peers, without I/O and clock.
//!
//! Every buffer that a peer can fill is charged to one [`MemoryLedger`], as allocated and not as received, and is
//! given back when its [`Charge`] is dropped. When the ledger is over its limit, [`shed_order`] tells which peer
//! makes room first: it spares those that behave.
//!
//! ```
//! use violetward_overload::{Holding, MemoryLedger};
//!
//! let ledger = MemoryLedger::new(1_000);
//! let charge = ledger.charge(Holding::Input);
//! charge.set(1_200);
//! assert_eq!(ledger.excess(), 200);
//! drop(charge);
//! assert_eq!(ledger.used(), 0);
//! ```

mod ledger;
mod shed;

pub use ledger::{Charge, Holding, MemoryLedger};
pub use shed::{shed_order, PeerState, ShedOrder};
