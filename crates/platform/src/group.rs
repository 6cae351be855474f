//! Finds the group of tables that a statement reads or writes, from the statement's text.
//!
//! The group is the number after the last underscore in the schema's name. Strings, comments and the schema
//! of staging tables are ignored.

/// The schema whose tables belong to no group.
const STAGING: &str = "staging";

enum Token<'a> {
    Word(&'a str),
    Dot,
    Other,
}

/// The tokens of a statement. Comments are skipped, strings yield [`Token::Other`], and quoted names lose
/// their quotes.
struct Tokens<'a> {
    rest: &'a str,
}

impl<'a> Tokens<'a> {
    /// Removes the text up to a byte position, which must be a character boundary, and returns it.
    fn split_off(&mut self, at: usize) -> &'a str {
        let (head, rest) = self.rest.split_at(at.min(self.rest.len()));
        self.rest = rest;
        head
    }

    /// Skips a comment, which may contain nested ones. An unterminated comment extends to the end of the
    /// statement.
    fn skip_comment(&mut self) {
        let bytes = self.rest.as_bytes();
        let (mut at, mut depth) = (2, 1);
        while depth > 0 && at < bytes.len() {
            match &bytes[at..bytes.len().min(at + 2)] {
                b"/*" => (at, depth) = (at + 2, depth + 1),
                b"*/" => (at, depth) = (at + 2, depth - 1),
                _ => at += 1,
            }
        }
        self.split_off(at);
    }

    /// Removes quoted text, in which the quote is doubled, and returns it without the outer quotes.
    fn take_quoted(&mut self, quote: u8) -> &'a str {
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
        self.split_off(at + 1);
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
                    self.split_off(end);
                }
                (b'/', Some(b'*')) => self.skip_comment(),
                (b'\'', _) => {
                    self.take_quoted(b'\'');
                    return Some(Token::Other);
                }
                (quote @ (b'"' | b'`'), _) => return Some(Token::Word(self.take_quoted(quote))),
                (b'.', _) => {
                    self.split_off(1);
                    return Some(Token::Dot);
                }
                (b, _) if b.is_ascii_whitespace() => {
                    self.split_off(1);
                }
                _ => {
                    let is_name = |c: char| c.is_alphanumeric() || c == '_' || c == '$';
                    let end = self.rest.find(|c| !is_name(c)).unwrap_or(self.rest.len());
                    if end > 0 {
                        return Some(Token::Word(self.split_off(end)));
                    }
                    let size = self.rest.chars().next().map_or(1, char::len_utf8);
                    self.split_off(size);
                    return Some(Token::Other);
                }
            }
        }
    }
}

/// The number after the last underscore of a schema's name.
fn schema_group(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case(STAGING) {
        return None;
    }
    let (_, digits) = schema.rsplit_once('_')?;
    digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse().ok()).flatten()
}

/// The group of a statement's tables; `None` if it names none. A name in the position of a table takes
/// precedence over other qualified names, which may be columns of a table that is named like a schema.
pub fn table_group(statement: &str) -> Option<u64> {
    let mut tokens = Tokens { rest: statement }.peekable();
    let mut other_position = None;
    let mut at_table = false;
    while let Some(token) = tokens.next() {
        let Token::Word(first) = token else {
            // These leave `at_table` as it is: a comma continues the list of tables, a bracket may begin one.
            continue;
        };
        // The last two parts of a qualified name are the schema and the table; a catalog may precede them.
        let (mut schema, mut table) = (first, None);
        while matches!(tokens.peek(), Some(Token::Dot)) {
            tokens.next();
            if let Some(Token::Word(_)) = tokens.peek() {
                if let Some(Token::Word(next)) = tokens.next() {
                    (schema, table) = (table.unwrap_or(schema), Some(next));
                }
            }
        }
        if table.is_none() {
            let keywords = ["from", "join", "into", "update", "table"];
            at_table = keywords.iter().any(|word| first.eq_ignore_ascii_case(word));
            continue;
        }
        match schema_group(schema) {
            Some(group) if at_table => return Some(group),
            Some(group) => other_position = other_position.or(Some(group)),
            None => {}
        }
        at_table = false;
    }
    other_position
}

#[cfg(test)]
mod tests {
    use super::table_group;

    #[test]
    fn group_is_the_number_in_the_schema_name() {
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
        for (statement, expected) in cases {
            assert_eq!(table_group(statement), expected, "{statement}");
        }
    }
}
