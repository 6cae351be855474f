//! The ledger of the memory that a process holds for its peers.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// Messages of clients that have not been received completely.
    Input,
    /// Answers that clients have not taken yet.
    Answers,
    /// Messages from and to engines.
    Engines,
    /// Connections themselves: their state and their tasks.
    Connections,
}

impl Holding {
    /// All holdings, in the order of their indices.
    pub const ALL: [Holding; 4] = [Holding::Input, Holding::Answers, Holding::Engines, Holding::Connections];

    fn index(self) -> usize {
        self as usize
    }
}

/// Sums the memory that is charged to it, in bytes. Belongs to one thread.
pub struct MemoryLedger {
    limit: usize,
    used: [Cell<usize>; Holding::ALL.len()],
}

impl MemoryLedger {
    /// A ledger with a limit for all holdings together.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryLedger { limit, used: Default::default() })
    }

    /// The limit for all holdings together.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// What is charged in all.
    pub fn used(&self) -> usize {
        self.used.iter().map(Cell::get).sum()
    }

    /// What is charged for one holding.
    pub fn used_for(&self, holding: Holding) -> usize {
        self.used[holding.index()].get()
    }

    /// By how much the limit is exceeded.
    pub fn excess(&self) -> usize {
        self.used().saturating_sub(self.limit)
    }

    /// Opens a charge of zero bytes.
    pub fn charge(self: &Rc<Self>, holding: Holding) -> Charge {
        Charge { ledger: self.clone(), holding, bytes: Cell::new(0) }
    }
}

impl fmt::Debug for MemoryLedger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut ledger = f.debug_struct("MemoryLedger");
        ledger.field("limit", &self.limit);
        for holding in Holding::ALL {
            ledger.field(&format!("{holding:?}").to_lowercase(), &self.used_for(holding));
        }
        ledger.finish()
    }
}

/// The bytes of one holder, which are given back when it is dropped.
#[derive(Debug)]
pub struct Charge {
    ledger: Rc<MemoryLedger>,
    holding: Holding,
    bytes: Cell<usize>,
}

impl Charge {
    /// Replaces what is charged.
    pub fn set(&self, bytes: usize) {
        let used = &self.ledger.used[self.holding.index()];
        used.set(used.get() - self.bytes.replace(bytes) + bytes);
    }

    /// What is charged.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}
