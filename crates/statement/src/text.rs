//! The little that is read of a statement's text: its first word and the table that it names first.

/// Words of a statement: comments and quoted text are passed over, quoted names are kept.
pub fn words(sql: &str) -> impl Iterator<Item = String> + '_ {
    let mut chars = sql.chars().peekable();
    std::iter::from_fn(move || loop {
        let c = chars.next()?;
        match c {
            '-' if chars.peek() == Some(&'-') => {
                chars.by_ref().find(|&c| c == '\n');
            }
            '/' if chars.peek() == Some(&'*') => {
                let mut last = ' ';
                chars.next();
                chars.by_ref().find(|&c| std::mem::replace(&mut last, c) == '*' && c == '/');
            }
            '\'' => {
                chars.by_ref().find(|&c| c == '\'');
            }
            '"' => return Some(chars.by_ref().take_while(|&c| c != '"').collect()),
            c if c.is_alphanumeric() || c == '_' => {
                let mut word = String::from(c);
                while let Some(c) = chars.next_if(|&c| c.is_alphanumeric() || c == '_' || c == '.') {
                    word.push(c);
                }
                let mut word = word.to_lowercase();
                if word.ends_with('.') && chars.next_if(|&c| c == '"').is_some() {
                    word.extend(chars.by_ref().take_while(|&c| c != '"'));
                }
                return Some(word);
            }
            _ => {}
        }
    })
}

/// The statement's first word, in lower case.
pub fn first_word(sql: &str) -> String {
    words(sql).next().unwrap_or_default()
}

/// The table that follows the first `from`, `into`, `update` or `table`.
pub fn first_table(sql: &str) -> Option<String> {
    let mut words = words(sql);
    words.find(|w| matches!(w.as_str(), "from" | "into" | "update" | "table"))?;
    words.find(|w| !matches!(w.as_str(), "if" | "not" | "exists" | "only"))
}
