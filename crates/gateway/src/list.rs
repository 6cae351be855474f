//! The file that lists the engines. A damaged record does not affect the valid ones.

use std::collections::BTreeMap;

use violetward::*;

use crate::forms::{self, Checker, Form, Mistake};
pub use crate::record::{engine_id, hash, zone_id, EngineRecord};
use crate::terms::Names;

/// The result of parsing the file.
#[derive(Debug, Default)]
pub struct ParsedList {
    /// Valid records by name.
    pub records: BTreeMap<String, EngineRecord>,
    /// Names of damaged records, whose previous state is kept.
    pub damaged: Vec<String>,
    /// All mistakes found.
    pub mistakes: Vec<Mistake>,
}

/// Parses `(engine NAME (address A) (kind K) (zone Z) (cell N) (state up|draining) (came-up MILLISECONDS))`
/// records. `came-up` counts from the Unix epoch; 0 or absence means long ago.
///
/// # Errors
///
/// If the text is not a sequence of S-expressions. Nothing of it is used then, and the previous list stays in
/// force.
pub fn parse(text: &str, names: &Names) -> Result<ParsedList, Mistake> {
    let data = forms::read(text)?;
    let mut checker = Checker::default();
    let mut parsed = ParsedList::default();
    for datum in &data {
        let Some(form) = checker.form(datum.as_ref()) else { continue };
        if form.name != "engine" {
            checker.at(&form, format!("expected (engine NAME ...), found ({} ...)", form.name));
            continue;
        }
        let Some(name) = checker.name(&form) else { continue };
        let mistakes_before = checker.mistakes.len();
        let record = parse_record(&mut checker, &form, &name, names);
        if parsed.records.contains_key(&name) || parsed.damaged.contains(&name) {
            checker.at(&form, format!("engine {name} is listed twice; the first record counts"));
            continue;
        }
        match record {
            Some(record) if checker.mistakes.len() == mistakes_before => {
                parsed.records.insert(name, record);
            }
            _ => parsed.damaged.push(name),
        }
    }
    parsed.mistakes = checker.mistakes;
    Ok(parsed)
}

/// Parses the fields of one engine. Mistakes are added to the checker.
fn parse_record(checker: &mut Checker, form: &Form<'_>, name: &str, names: &Names) -> Option<EngineRecord> {
    let fields = checker.fields(form, 1, &["address", "kind", "zone", "cell", "state", "came-up", "weight"]);
    let field = fields.need(checker, "address").cloned()?;
    let address = checker.word(&field, "an address and port")?.parse().ok();
    if address.is_none() {
        checker.at(&field, "address: expected an address and port such as \"127.0.0.1:9001\"");
    }
    let kind = fields.word(checker, "kind", names.kinds.first().map_or("", |k| k));
    let kind = names.kinds.iter().position(|k| *k == kind);
    if kind.is_none() {
        checker.at(
            form,
            format!("engine {name}: its kind is not in the configuration: {}", names.kinds.join(", ")),
        );
    }
    let zone = fields.word(checker, "zone", names.zones.first().map_or("", |z| z));
    let zone = zone_id(&zone, names);
    let cell = fields.whole(checker, "cell", (0, u64::MAX), 0);
    let states = [("up", Listed::Up), ("draining", Listed::Draining), ("removed", Listed::Removed)];
    let listed =
        fields.get("state").cloned().map_or(Some(Listed::Up), |state| checker.choice(&state, &states))?;
    let came_up = fields.whole(checker, "came-up", (0, 1 << 53), 0).saturating_mul(1000);
    let weight = fields.number(checker, "weight", (0.0, 1e6), 1.0);
    let entry = EngineEntry {
        engine: engine_id(name),
        came_up,
        weight,
        kind: KindId(kind?),
        zone,
        cell: CellId(cell),
        listed,
    };
    Some(EngineRecord { name: name.to_owned(), address: address?, entry })
}

/// The new list: valid records, and the previous state of damaged ones.
pub fn merge(old: &BTreeMap<String, EngineRecord>, parsed: &ParsedList) -> BTreeMap<String, EngineRecord> {
    let mut new = parsed.records.clone();
    for name in &parsed.damaged {
        if let Some(known) = old.get(name) {
            new.insert(name.clone(), known.clone());
        }
    }
    new
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        Names { kinds: vec!["m8".into()], zones: vec!["a".into()], ..Names::default() }
    }

    #[test]
    fn a_damaged_record_keeps_its_previous_state_and_affects_no_other() {
        let good = "(engine e1 (address \"127.0.0.1:1\") (kind m8))\n(engine e2 (address \"127.0.0.1:2\"))";
        let old = parse(good, &names()).unwrap().records;
        let bad = "(engine e1 (address \"nowhere\"))\n(engine e2 (address \"127.0.0.1:2\") (state draining))";
        let parsed = parse(bad, &names()).unwrap();
        assert_eq!(parsed.damaged, ["e1"]);
        assert_eq!((parsed.mistakes[0].line, parsed.mistakes[0].column), (1, 12));
        let new = merge(&old, &parsed);
        assert_eq!(new["e1"], old["e1"]);
        assert_eq!(new["e2"].entry.listed, Listed::Draining);
    }

    #[test]
    fn a_truncated_text_is_rejected() {
        assert!(parse("(engine e1 (address \"127.0.0.1:1\")", &names()).is_err());
    }
}
