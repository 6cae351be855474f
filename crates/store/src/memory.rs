//! Values in memory, for tests: nothing of it outlasts its process.

use std::collections::BTreeMap;

use crate::{fits, Kept, Store, StoreError, NAMES};

/// A store that keeps all promises but the one that matters: it outlasts nothing.
#[derive(Debug, Default)]
pub struct Memory {
    values: BTreeMap<String, Kept>,
}

impl Store for Memory {
    fn get(&mut self, name: &str) -> Result<Option<Kept>, StoreError> {
        fits(name, 0)?;
        Ok(self.values.get(name).cloned())
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        fits(name, bytes.len())?;
        if !self.values.contains_key(name) && self.values.len() >= NAMES {
            return Err(StoreError::Unfit("there are too many values"));
        }
        let writes = self.values.get(name).map_or(0, |kept| kept.writes) + 1;
        self.values.insert(name.to_owned(), Kept { bytes: bytes.to_vec(), writes });
        Ok(writes)
    }
}
