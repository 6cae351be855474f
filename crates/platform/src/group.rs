//! The group of tables that a statement reads or writes, from its text.
//!
//! It is the number behind the last underscore in the name of the schema. Strings and comments do not count, and
//! neither does the schema of staging tables.

/// The schema whose tables belong to no group.
const STAGING: &str = "staging";

enum Token<'a> {
    Word(&'a str),
    Dot,
    Other,
}

/// Tokens of a statement: strings and comments are passed over, names lose their quotes.
struct Tokens<'a> {
    rest: &'a str,
}

impl<'a> Tokens<'a> {
    /// Cuts at a byte position that is known to lie between two characters.
    fn cut(&mut self, at: usize) -> &'a str {
        let (head, rest) = self.rest.split_at(at.min(self.rest.len()));
        self.rest = rest;
        head
    }

    /// Passes over a comment that may hold others; one without an end takes all that is left.
    fn comment(&mut self) {
        let bytes = self.rest.as_bytes();
        let (mut at, mut depth) = (2, 1);
        while depth > 0 && at < bytes.len() {
            match &bytes[at..bytes.len().min(at + 2)] {
                b"/*" => (at, depth) = (at + 2, depth + 1),
                b"*/" => (at, depth) = (at + 2, depth - 1),
                _ => at += 1,
            }
        }
        self.cut(at);
    }

    /// Passes over what stands in quotes, which are doubled inside; gives it without the outer ones.
    fn quoted(&mut self, quote: u8) -> &'a str {
        let bytes = self.rest.as_bytes();
        let mut at = 1;
        while at < bytes.len() {
            if bytes[at] == quote {
                if bytes.get(at + 1) != Some(&quote) {
                    break;
                }
                at += 1;
            }
            at += 1;
        }
        let inner = &self.rest[1..at.min(bytes.len())];
        self.cut(at + 1);
        inner
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let bytes = self.rest.as_bytes();
            match (*bytes.first()?, bytes.get(1)) {
                (b'-', Some(b'-')) => {
                    let end = self.rest.find('\n').unwrap_or(self.rest.len());
                    self.cut(end);
                }
                (b'/', Some(b'*')) => self.comment(),
                (b'\'', _) => {
                    self.quoted(b'\'');
                    return Some(Token::Other);
                }
                (quote @ (b'"' | b'`'), _) => return Some(Token::Word(self.quoted(quote))),
                (b'.', _) => {
                    self.cut(1);
                    return Some(Token::Dot);
                }
                (b, _) if b.is_ascii_whitespace() => {
                    self.cut(1);
                }
                _ => {
                    let named = |c: char| c.is_alphanumeric() || c == '_' || c == '$';
                    let end = self.rest.find(|c| !named(c)).unwrap_or(self.rest.len());
                    if end > 0 {
                        return Some(Token::Word(self.cut(end)));
                    }
                    let size = self.rest.chars().next().map_or(1, char::len_utf8);
                    self.cut(size);
                    return Some(Token::Other);
                }
            }
        }
    }
}

/// The number behind the last underscore of a schema's name.
fn number(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case(STAGING) {
        return None;
    }
    let (_, digits) = schema.rsplit_once('_')?;
    digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse().ok()).flatten()
}

/// The group of a statement's tables; `None` if it names none. What stands where tables stand goes before what may be
/// a column of a table that is named like a schema.
pub fn group(statement: &str) -> Option<u64> {
    let mut tokens = Tokens { rest: statement }.peekable();
    let mut elsewhere = None;
    let mut at_table = false;
    while let Some(token) = tokens.next() {
        let Token::Word(first) = token else {
            // A comma goes on with the list of tables, a bracket may begin one; neither is worth telling apart.
            continue;
        };
        let mut parts = (first, None);
        while matches!(tokens.peek(), Some(Token::Dot)) {
            tokens.next();
            if let Some(Token::Word(_)) = tokens.peek() {
                if let Some(Token::Word(next)) = tokens.next() {
                    // The schema is the last name but one: a catalog may stand before it.
                    parts = (parts.1.unwrap_or(parts.0), Some(next));
                }
            }
        }
        if parts.1.is_none() {
            let keywords = ["from", "join", "into", "update", "table"];
            at_table = keywords.iter().any(|word| first.eq_ignore_ascii_case(word));
            continue;
        }
        match number(parts.0) {
            Some(group) if at_table => return Some(group),
            Some(group) => elsewhere = elsewhere.or(Some(group)),
            None => {}
        }
        at_table = false;
    }
    elsewhere
}

#[cfg(test)]
mod tests {
    use super::group;

    #[test]
    fn the_group_is_the_number_of_the_schema() {
        let cases = [
            ("select * from sales_17.orders", Some(17)),
            ("SELECT a FROM \"sales_17\".\"orders\" o WHERE o.x = 'eu_3.t'", Some(17)),
            ("insert into eu_4.t select * from staging.load_9", Some(4)),
            ("insert into staging.x_1 select * from eu_4.t", Some(4)),
            ("select t_1.a from sales_17.orders t_1", Some(17)),
            ("-- from a_1.b\nselect 1 from /* a_2.b /* c_3.d */ e_4.f */ g_5.h", Some(5)),
            ("select 'it''s from a_1.b' from c_2.d", Some(2)),
            ("select 1 from hive.sales_17.orders", Some(17)),
            ("select 1 from dual", None),
            ("select 1 /* from a_1.b", None),
            ("select 1 from 'a_1.b", None),
            ("merge a_6.b using c", Some(6)),
            ("select \u{17c}\u{f3}\u{142}\u{107} from \u{17c}_8.t\u{119}", Some(8)),
            ("from a_99999999999999999999.b", None),
            ("\"", None),
            ("a_1..b_2.", Some(1)),
        ];
        for (statement, wanted) in cases {
            assert_eq!(group(statement), wanted, "{statement}");
        }
    }
}
