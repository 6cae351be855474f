//! What a client of the statement protocol carries from one statement to the next, as answers' headers tell it: its session
//! properties, prepared statements, catalog and schema, and its transaction. Free of I/O.

use crate::session::{decode, Context};

/// Properties and prepared statements that one client may carry.
const MOST: usize = 256;

/// What is carried.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Carried {
    /// The open transaction.
    pub transaction: Option<String>,
    /// Session properties, decoded.
    pub session: Vec<(String, String)>,
    /// Prepared statements, still encoded.
    pub prepared: Vec<(String, String)>,
    /// Catalog and schema.
    pub catalog: Option<String>,
    /// See `catalog`.
    pub schema: Option<String>,
}

impl Carried {
    /// It carries nothing.
    pub fn is_empty(&self) -> bool {
        *self == Carried::default()
    }

    /// Takes a header of an answer; others are passed over.
    pub fn take(&mut self, name: &str, value: &str) {
        let put = |list: &mut Vec<(String, String)>, name: &str, value: String| {
            list.retain(|(n, _)| n != name);
            if list.len() < MOST {
                list.push((name.to_owned(), value));
            }
        };
        let pair = value.split_once('=').map(|(n, v)| (n.trim(), v.trim()));
        match (name.to_ascii_lowercase().as_str(), pair) {
            ("x-trino-set-session", Some((name, value))) => {
                if let Some(value) = decode(value) {
                    put(&mut self.session, name, value);
                }
            }
            ("x-trino-clear-session", _) => self.session.retain(|(n, _)| n != value.trim()),
            ("x-trino-added-prepare", Some((name, text))) => put(&mut self.prepared, name, text.to_owned()),
            ("x-trino-deallocated-prepare", _) => self.prepared.retain(|(n, _)| n != value.trim()),
            ("x-trino-set-catalog", _) => self.catalog = Some(value.to_owned()),
            ("x-trino-set-schema", _) => self.schema = Some(value.to_owned()),
            ("x-trino-started-transaction-id", _) => self.transaction = Some(value.to_owned()),
            ("x-trino-clear-transaction-id", _) => self.transaction = None,
            _ => {}
        }
    }

    /// Puts what is carried into a statement's context; what that says itself stands.
    pub fn put(&self, context: &mut Context) {
        for (name, value) in &self.session {
            if context.property(name).is_none() {
                context.session.push((name.clone(), value.clone()));
            }
        }
        context.prepared.extend(self.prepared.iter().cloned());
        context.catalog = context.catalog.take().or_else(|| self.catalog.clone());
        context.schema = context.schema.take().or_else(|| self.schema.clone());
        let transaction = || self.transaction.clone().unwrap_or_else(|| "NONE".into());
        context.transaction = context.transaction.take().or_else(|| Some(transaction()));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_answers_say_travels_with_the_next_statement() {
        let mut carried = Carried::default();
        for (name, value) in [
            ("X-Trino-Set-Session", "a=x%20y"),
            ("X-Trino-Set-Session", "b=1"),
            ("x-trino-clear-session", "b"),
            ("X-Trino-Added-Prepare", "p=SELECT+1"),
            ("X-Trino-Set-Schema", "league"),
            ("X-Trino-Started-Transaction-Id", "t"),
            ("X-Else", "x"),
        ] {
            carried.take(name, value);
        }
        let mut context = Context::default();
        carried.put(&mut context);
        assert_eq!(context.session, [("a".to_owned(), "x y".to_owned())]);
        assert_eq!(context.prepared, [("p".to_owned(), "SELECT+1".to_owned())]);
        assert_eq!((context.schema.as_deref(), context.transaction.as_deref()), (Some("league"), Some("t")));
        carried.take("X-Trino-Clear-Transaction-Id", "true");
        carried.take("X-Trino-Deallocated-Prepare", "p");
        assert!(carried.transaction.is_none() && carried.prepared.is_empty() && !carried.is_empty());
        (0..1000).for_each(|n| carried.take("X-Trino-Set-Session", &format!("p{n}=1")));
        assert_eq!(carried.session.len(), MOST, "bounded");
    }
}
