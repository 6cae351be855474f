//! A store in memory, for tests.

use std::collections::BTreeMap;

use crate::{validate, Store, StoreError, StoredValue, MAX_VALUES};

/// A store that keeps all guarantees of [`Store`] except durability.
#[derive(Debug, Default)]
pub struct MemoryStore {
    values: BTreeMap<String, StoredValue>,
}

impl Store for MemoryStore {
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        validate(name, 0)?;
        Ok(self.values.get(name).cloned())
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        validate(name, bytes.len())?;
        if !self.values.contains_key(name) && self.values.len() >= MAX_VALUES {
            return Err(StoreError::Invalid("there are too many values"));
        }
        let writes = self.values.get(name).map_or(0, |value| value.writes) + 1;
        self.values.insert(name.to_owned(), StoredValue { bytes: bytes.to_vec(), writes });
        Ok(writes)
    }
}
