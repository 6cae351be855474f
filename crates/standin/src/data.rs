//! The league's data in an embedded SQL library, made from a seed, and the little of the protocol's SQL that the
//! library lacks: `PREPARE`, `EXECUTE`, `USE`, `SET SESSION`.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rusqlite::types::{Value, ValueRef};
use rusqlite::Connection;
use serde_json::json;
use violetward_statement::results::{ErrorType, QueryError};
use violetward_statement::session::{self, Context};

/// What a statement gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// The columns as the protocol writes them; none for a statement that is no query.
    pub columns: Option<String>,
    /// Rows, each as a JSON array.
    pub rows: Vec<String>,
    /// What a statement that is no query did, and to how many rows.
    pub update: Option<(String, i64)>,
    /// Changes of the client's session.
    pub session: Vec<(String, String)>,
}

/// The data.
pub struct Data {
    connection: Connection,
}

fn wrong(name: &str, code: u32, why: impl Into<String>) -> QueryError {
    QueryError::new(ErrorType::UserError, code, name, why)
}

impl Data {
    /// Teams, players, matches and points of a league.
    ///
    /// # Errors
    /// The library's, as text.
    pub fn new(seed: u64) -> Result<Self, String> {
        let connection = Connection::open_in_memory().map_err(|e| e.to_string())?;
        let made = make(&connection, &mut StdRng::seed_from_u64(seed));
        made.map_err(|e| e.to_string())?;
        Ok(Data { connection })
    }

    /// A copy, without temporary tables.
    ///
    /// # Errors
    /// The library's, as text.
    pub fn copy(&self) -> Result<Data, String> {
        let mut copy = Data { connection: Connection::open_in_memory().map_err(|e| e.to_string())? };
        copy.copy_from(self)?;
        Ok(copy)
    }

    /// Takes over all tables of another one; temporary ones stay. Not within a transaction.
    ///
    /// # Errors
    /// The library's, as text.
    pub fn copy_from(&mut self, from: &Data) -> Result<(), String> {
        let backup = rusqlite::backup::Backup::new(&from.connection, &mut self.connection);
        backup.and_then(|b| b.step(-1)).map(|_| ()).map_err(|e| e.to_string())
    }

    /// Runs statements that give nothing.
    ///
    /// # Errors
    /// The library's, as text.
    pub fn batch(&self, sql: &str) -> Result<(), String> {
        self.connection.execute_batch(sql).map_err(|e| e.to_string())
    }

    /// Whether a statement changes anything; what cannot be read does not.
    pub fn writes(&self, sql: &str, context: &Context) -> bool {
        match plain(sql, context) {
            Ok(Plain::Sql(sql, _)) => self.connection.prepare(&sql).is_ok_and(|s| !s.readonly()),
            _ => false,
        }
    }

    /// Runs a statement.
    ///
    /// # Errors
    /// What the client is told.
    pub fn run(&self, sql: &str, context: &Context) -> Result<Outcome, QueryError> {
        let (sql, parameters) = match plain(sql, context)? {
            Plain::Session(update, name, value) => {
                let update = Some((update.to_owned(), 0));
                return Ok(Outcome { update, session: vec![(name.to_owned(), value)], ..Outcome::default() });
            }
            Plain::Use(catalog, schema) => {
                let mut session = vec![("X-Trino-Set-Schema".to_owned(), schema)];
                session.extend(catalog.map(|c| ("X-Trino-Set-Catalog".to_owned(), c)));
                return Ok(Outcome { update: Some(("USE".into(), 0)), session, ..Outcome::default() });
            }
            Plain::Sql(sql, parameters) => (sql, parameters),
        };
        let values: Vec<Value> = match parameters {
            Some(list) => self.values(&list)?,
            None => Vec::new(),
        };
        let mut statement = self.connection.prepare(&sql).map_err(refuse)?;
        let parameters = rusqlite::params_from_iter(values);
        if statement.column_count() == 0 {
            let word = violetward_statement::text::first_word(&sql).to_uppercase();
            let count = statement.execute(parameters).map_err(refuse)?;
            let word = if word == "CREATE" || word == "DROP" { format!("{word} TABLE") } else { word };
            return Ok(Outcome { update: Some((word, count as i64)), ..Outcome::default() });
        }
        let names: Vec<String> = statement.column_names().into_iter().map(str::to_owned).collect();
        let mut kinds: Vec<Option<&'static str>> = vec![None; names.len()];
        let mut found = statement.query(parameters).map_err(refuse)?;
        let mut rows = Vec::new();
        while let Some(row) = found.next().map_err(refuse)? {
            let mut out = Vec::with_capacity(names.len());
            for (i, kind) in kinds.iter_mut().enumerate() {
                let value = row.get_ref(i).map_err(refuse)?;
                let (value, found) = match value {
                    ValueRef::Null => (serde_json::Value::Null, None),
                    ValueRef::Integer(n) => (json!(n), Some("bigint")),
                    ValueRef::Real(x) => (json!(x), Some("double")),
                    ValueRef::Text(t) => (json!(String::from_utf8_lossy(t)), Some("varchar")),
                    ValueRef::Blob(b) => (json!(format!("{b:02x?}")), Some("varchar")),
                };
                *kind = match (*kind, found) {
                    (None, found) => found,
                    (Some("bigint"), Some("double")) => Some("double"),
                    (kind, _) => kind,
                };
                out.push(value);
            }
            rows.push(serde_json::to_string(&out).unwrap_or_default());
        }
        let columns: Vec<_> =
            names.iter().zip(&kinds).map(|(name, kind)| column(name, kind.unwrap_or("varchar"))).collect();
        let columns = Some(serde_json::Value::Array(columns).to_string());
        Ok(Outcome { columns, rows, ..Outcome::default() })
    }

    /// The values of a `USING` list.
    fn values(&self, list: &str) -> Result<Vec<Value>, QueryError> {
        let mut statement = self.connection.prepare(&format!("SELECT {list}")).map_err(refuse)?;
        let count = statement.column_count();
        let row = statement.query_row([], |row| (0..count).map(|i| row.get::<_, Value>(i)).collect());
        row.map_err(refuse)
    }
}

fn column(name: &str, kind: &str) -> serde_json::Value {
    let arguments =
        if kind == "varchar" { json!([{ "kind": "LONG", "value": 2_147_483_647 }]) } else { json!([]) };
    json!({ "name": name, "type": kind, "typeSignature": { "rawType": kind, "arguments": arguments } })
}

fn refuse(error: rusqlite::Error) -> QueryError {
    let why = error.to_string();
    match why {
        _ if why.contains("no such table") => wrong("TABLE_NOT_FOUND", 46, why),
        _ if why.contains("no such column") => wrong("COLUMN_NOT_FOUND", 47, why),
        _ if why.contains("no such function") => wrong("FUNCTION_NOT_FOUND", 6, why),
        _ => wrong("SYNTAX_ERROR", 1, why),
    }
}

enum Plain {
    /// Text for the library, and the list of its parameters.
    Sql(String, Option<String>),
    /// A change of the client's session: what it is called, header and value.
    Session(&'static str, &'static str, String),
    Use(Option<String>, String),
}

/// Takes the protocol's own statements apart.
fn plain(sql: &str, context: &Context) -> Result<Plain, QueryError> {
    let sql = sql.trim().trim_end_matches(';');
    let lower = sql.to_ascii_lowercase();
    let after = |words: &str| lower.starts_with(words).then(|| sql[words.len()..].trim());
    let syntax = |why: &str| wrong("SYNTAX_ERROR", 1, why);
    if let Some(rest) = after("execute immediate ") {
        let (text, rest) =
            quoted(rest).ok_or_else(|| syntax("EXECUTE IMMEDIATE needs a quoted statement"))?;
        return Ok(Plain::Sql(text, using(rest)));
    }
    if let Some(rest) = after("execute ") {
        let (name, rest) = rest.split_once(char::is_whitespace).unwrap_or((rest, ""));
        let found = context.prepared.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        let text = found.and_then(|(_, text)| session::decode(text));
        let text =
            text.ok_or_else(|| wrong("NOT_FOUND", 12, format!("there is no prepared statement {name}")))?;
        return Ok(Plain::Sql(text, using(rest)));
    }
    if let Some(rest) = after("prepare ") {
        let (name, rest) = rest.split_once(char::is_whitespace).unwrap_or((rest, ""));
        let text = rest.trim_start();
        let is_from = text.get(..5).is_some_and(|w| w.eq_ignore_ascii_case("from "));
        let text = text.get(5..).filter(|_| is_from).ok_or_else(|| syntax("PREPARE name FROM statement"))?;
        let value = format!("{}={}", session::encode(name), session::encode(text.trim()));
        return Ok(Plain::Session("PREPARE", "X-Trino-Added-Prepare", value));
    }
    if let Some(name) = after("deallocate prepare ") {
        return Ok(Plain::Session("DEALLOCATE", "X-Trino-Deallocated-Prepare", session::encode(name)));
    }
    if let Some(rest) = after("set session ") {
        let (name, value) = rest.split_once('=').ok_or_else(|| syntax("SET SESSION name = value"))?;
        let value = value.trim().trim_matches('\'');
        let value = format!("{}={}", name.trim(), session::encode(value));
        return Ok(Plain::Session("SET SESSION", "X-Trino-Set-Session", value));
    }
    if let Some(name) = after("reset session ") {
        return Ok(Plain::Session("RESET SESSION", "X-Trino-Clear-Session", name.to_owned()));
    }
    if let Some(rest) = after("use ") {
        return Ok(match rest.split_once('.') {
            Some((catalog, schema)) => Plain::Use(Some(catalog.to_owned()), schema.to_owned()),
            None => Plain::Use(None, rest.to_owned()),
        });
    }
    if lower == "show tables" {
        let text = "SELECT name AS \"Table\" FROM sqlite_master WHERE type = 'table' ORDER BY name";
        return Ok(Plain::Sql(text.to_owned(), None));
    }
    Ok(Plain::Sql(sql.to_owned(), None))
}

/// A quoted text at the start, and what follows.
fn quoted(text: &str) -> Option<(String, &str)> {
    let mut out = String::new();
    let mut rest = text.strip_prefix('\'')?;
    loop {
        let at = rest.find('\'')?;
        out.push_str(&rest[..at]);
        rest = &rest[at + 1..];
        match rest.strip_prefix('\'') {
            Some(more) => {
                out.push('\'');
                rest = more;
            }
            None => return Some((out, rest)),
        }
    }
}

fn using(rest: &str) -> Option<String> {
    let rest = rest.trim();
    rest.get(..6).filter(|w| w.eq_ignore_ascii_case("using ")).map(|_| rest[6..].to_owned())
}

fn make(connection: &Connection, dice: &mut StdRng) -> rusqlite::Result<()> {
    connection.execute_batch(
        "CREATE TABLE teams (id INTEGER PRIMARY KEY, name TEXT, town TEXT);
         CREATE TABLE players (id INTEGER PRIMARY KEY, team INTEGER, name TEXT, price REAL);
         CREATE TABLE matches (id INTEGER PRIMARY KEY, round INTEGER, home INTEGER, away INTEGER, score TEXT);
         CREATE TABLE points (player INTEGER, round INTEGER, points INTEGER, minutes INTEGER);
         CREATE INDEX points_of ON points (player, round);
         CREATE TABLE loads (match INTEGER, line TEXT);
         BEGIN;",
    )?;
    let starts = ["Ruch", "Wisla", "Polonia", "Gornik", "Orzel", "Sokol", "Unia", "Czarni"];
    let towns = ["Bielsko", "Tychy", "Sanok", "Mielec", "Nysa", "Opole", "Jaslo", "Zabrze"];
    let (mut team, mut player) = (0, 0);
    for start in starts.iter().take(6) {
        for town in towns.iter().take(3) {
            team += 1;
            connection
                .execute("INSERT INTO teams VALUES (?, ?, ?)", (team, format!("{start} {town}"), town))?;
            for n in 0..18 {
                player += 1;
                let price = (dice.random_range(40..130) as f64) / 10.0;
                let name = format!("Player {player} ({})", n + 1);
                connection.execute("INSERT INTO players VALUES (?, ?, ?, ?)", (player, team, name, price))?;
            }
        }
    }
    let mut insert = connection.prepare("INSERT INTO points VALUES (?, ?, ?, ?)")?;
    for p in 1..=player {
        for round in 1..=20 {
            let minutes: i32 = if dice.random_bool(0.7) { dice.random_range(1..=90) } else { 0 };
            insert.execute((p, round, dice.random_range(0..12) * i32::from(minutes > 0), minutes))?;
        }
    }
    let mut insert = connection.prepare("INSERT INTO matches VALUES (?, ?, ?, ?, ?)")?;
    let mut id = 0;
    for round in 1..=20 {
        for pair in 0..team / 2 {
            id += 1;
            let score = format!("{}:{}", dice.random_range(0..5), dice.random_range(0..5));
            let (home, away) = ((pair * 2 + round) % team + 1, (pair * 2 + round + 1) % team + 1);
            insert.execute((id, round, home, away, score))?;
        }
    }
    connection.execute_batch("COMMIT;")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_gives_the_same_rows_and_prepared_statements_take_values() {
        let sql =
            "EXECUTE IMMEDIATE 'SELECT sum(points) AS p, ''x'' AS q FROM points WHERE player = ?' USING 7";
        let run = |seed| Data::new(seed).unwrap().run(sql, &Context::default()).unwrap();
        assert_eq!(run(3).rows, run(3).rows);
        assert!(run(3).columns.unwrap().contains("bigint"));
        let error = Data::new(1).unwrap().run("SELECT * FROM nowhere", &Context::default()).unwrap_err();
        assert_eq!((error.error_name.as_str(), error.error_type), ("TABLE_NOT_FOUND", ErrorType::UserError));
    }
}
