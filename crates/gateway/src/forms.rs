//! Reads S-expressions and reports each error with its position. Independent of the meaning of the forms.

use std::fmt;
use std::time::Duration;

use lexpr::datum::Ref;
use lexpr::{Datum, Parser};
use violetward_statement::session;

/// Durations of a week or more are rejected.
const MAX_DURATION: Duration = Duration::from_secs(7 * 86_400);

/// An error in a file and its position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong, and what was expected.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// One form `(name argument ...)`.
#[derive(Clone)]
pub struct Form<'a> {
    /// The first word of the form.
    pub name: String,
    /// The arguments after the name.
    pub args: Vec<Ref<'a>>,
    /// Line and column, from 1.
    position: (usize, usize),
}

impl Form<'static> {
    /// A form without arguments.
    pub fn empty(name: &str) -> Self {
        Form { name: name.to_owned(), args: Vec::new(), position: (1, 1) }
    }
}

impl<'a> Form<'a> {
    /// The same form, at the same position, with other arguments.
    pub fn with_args(&self, args: Vec<Ref<'a>>) -> Form<'a> {
        Form { args, ..self.clone() }
    }
}

/// Collects the errors of one file.
#[derive(Debug, Default)]
pub struct Checker {
    /// The errors found so far.
    pub diagnostics: Vec<Diagnostic>,
}

/// Reads the top-level data of a text.
///
/// # Errors
/// The first position at which the text is not an S-expression.
pub fn read(text: &str) -> Result<Vec<Datum>, Diagnostic> {
    let mut parser = Parser::from_str(text);
    let mut all = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(Some(datum)) => all.push(datum),
            Ok(None) => return Ok(all),
            Err(e) => {
                let (line, column) = e.location().map_or((1, 1), |at| (at.line(), at.column()));
                return Err(Diagnostic {
                    line,
                    column: column.max(1),
                    message: format!("not an S-expression: {e}"),
                });
            }
        }
    }
}

fn position(datum: &Ref<'_>) -> (usize, usize) {
    let start = datum.span().start();
    (start.line(), start.column() + 1)
}

/// A value as it is quoted in a message, shortened if it is long.
fn excerpt(datum: &Ref<'_>) -> String {
    const MAX_CHARS: usize = 40;
    let text = datum.value().to_string();
    if text.chars().count() > MAX_CHARS {
        text.chars().take(MAX_CHARS).chain("...".chars()).collect()
    } else {
        text
    }
}

impl Checker {
    /// Reports an error at the position of a form.
    pub fn error_at(&mut self, form: &Form<'_>, message: impl Into<String>) {
        self.push_error(form.position, message.into());
    }

    fn push_error(&mut self, (line, column): (usize, usize), message: String) {
        self.diagnostics.push(Diagnostic { line, column, message });
    }

    /// Reads a form; reports a datum that is not a form.
    pub fn form<'a>(&mut self, datum: Ref<'a>) -> Option<Form<'a>> {
        let position = position(&datum);
        let mut items = match datum.list_iter() {
            Some(items) => items.collect::<Vec<_>>().into_iter(),
            None => {
                self.push_error(
                    position,
                    format!("expected a form like (name value), found {}", excerpt(&datum)),
                );
                return None;
            }
        };
        let name = items.next().and_then(|first| word(&first));
        match name {
            Some(name) => Some(Form { name, args: items.collect(), position }),
            None => {
                self.push_error(position, "expected a form that begins with a name".into());
                None
            }
        }
    }

    /// Reads the arguments of a form, without the first `skip`, as fields; reports unknown and repeated ones.
    pub fn fields<'a>(&mut self, form: &Form<'a>, skip: usize, known: &[&str]) -> Fields<'a> {
        let fields: Vec<Form<'a>> = form.args.iter().skip(skip).filter_map(|d| self.form(*d)).collect();
        for (i, field) in fields.iter().enumerate() {
            if !known.contains(&field.name.as_str()) {
                let message =
                    format!("{} is not known in {}; known: {}", field.name, form.name, known.join(", "));
                self.push_error(field.position, message);
            } else if fields[..i].iter().any(|f| f.name == field.name) {
                self.push_error(field.position, format!("{} stands twice in {}", field.name, form.name));
            }
        }
        Fields { form: form.clone(), fields }
    }

    /// The only argument of a form. `expected` describes it in the error.
    pub fn single_arg<'a>(&mut self, form: &Form<'a>, expected: &str) -> Option<Ref<'a>> {
        match form.args.as_slice() {
            [one] => Some(*one),
            _ => {
                self.error_at(form, format!("{}: expected {expected}", form.name));
                None
            }
        }
    }

    /// Parses the only argument of a form. `expected` describes it in the error.
    fn parse_arg<T>(
        &mut self,
        form: &Form<'_>,
        expected: &str,
        read: impl Fn(&Ref<'_>) -> Option<T>,
    ) -> Option<T> {
        let datum = self.single_arg(form, expected)?;
        let value = read(&datum);
        if value.is_none() {
            self.push_error(
                position(&datum),
                format!("{}: expected {expected}, found {}", form.name, excerpt(&datum)),
            );
        }
        value
    }

    /// The only argument as a word: a string or a symbol.
    pub fn word(&mut self, form: &Form<'_>, expected: &str) -> Option<String> {
        self.parse_arg(form, expected, word)
    }

    /// The first argument as a name.
    pub fn name(&mut self, form: &Form<'_>) -> Option<String> {
        let name = form.args.first().and_then(word);
        if name.is_none() {
            self.error_at(form, format!("{}: expected a name first", form.name));
        }
        name
    }

    /// All arguments as words.
    pub fn words(&mut self, form: &Form<'_>) -> Vec<String> {
        if form.args.is_empty() {
            self.error_at(form, format!("{}: expected at least one word", form.name));
        }
        let args = form.args.clone();
        let read_word = |d: Ref<'_>| {
            let found = word(&d);
            if found.is_none() {
                self.push_error(
                    position(&d),
                    format!("{}: expected a word, found {}", form.name, excerpt(&d)),
                );
            }
            found
        };
        args.into_iter().filter_map(read_word).collect()
    }

    /// The only argument as a number within bounds.
    pub fn number(&mut self, form: &Form<'_>, least: f64, most: f64) -> Option<f64> {
        let expected = format!("a number from {least} to {most}");
        self.parse_arg(form, &expected, |d| d.value().as_f64().filter(|n| (least..=most).contains(n)))
    }

    /// The only argument as an integer within bounds.
    pub fn integer(&mut self, form: &Form<'_>, least: u64, most: u64) -> Option<u64> {
        let expected = format!("a whole number from {least} to {most}");
        self.parse_arg(form, &expected, |d| d.value().as_u64().filter(|n| (least..=most).contains(n)))
    }

    /// The only argument as a duration under a week, a string such as `"250ms"`.
    pub fn duration(&mut self, form: &Form<'_>) -> Option<Duration> {
        let read = |d: &Ref<'_>| {
            word(d).and_then(|w| session::duration(&w)).filter(|duration| *duration < MAX_DURATION)
        };
        self.parse_arg(form, "a span such as \"250ms\" or \"1.5s\"", read)
    }

    /// The only argument as a size in bytes, a string such as `"16GB"`.
    pub fn size(&mut self, form: &Form<'_>) -> Option<u64> {
        self.parse_arg(form, "a size such as \"512kB\" or \"16GB\"", |d| {
            word(d).and_then(|w| session::bytes(&w))
        })
    }

    /// The only argument as a flag, `yes` or `no`.
    pub fn flag(&mut self, form: &Form<'_>) -> Option<bool> {
        self.parse_arg(form, "yes or no", |d| match word(d)?.as_str() {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// The only argument as one of the given words.
    pub fn choice<T: Copy>(&mut self, form: &Form<'_>, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|c| c.0).collect();
        let expected = format!("one of {}", names.join(", "));
        self.parse_arg(form, &expected, |d| {
            let w = word(d)?;
            choices.iter().find(|c| c.0 == w).map(|c| c.1)
        })
    }
}

fn word(datum: &Ref<'_>) -> Option<String> {
    let value = datum.value();
    value.as_str().or_else(|| value.as_symbol()).map(str::to_owned)
}

/// The arguments of a form, read as fields `(name value ...)`.
pub struct Fields<'a> {
    /// The form that the fields belong to.
    pub form: Form<'a>,
    fields: Vec<Form<'a>>,
}

impl<'a> Fields<'a> {
    /// The field of this name.
    pub fn get(&self, name: &str) -> Option<&Form<'a>> {
        self.fields.iter().find(|f| f.name == name)
    }

    /// The field of this name; reports an error if it is missing.
    pub fn require(&self, checker: &mut Checker, name: &str) -> Option<&Form<'a>> {
        let found = self.get(name);
        if found.is_none() {
            checker.error_at(&self.form, format!("{} needs ({name} ...)", self.form.name));
        }
        found
    }

    /// The value of a field as a duration, or the default if it is missing or invalid.
    pub fn duration(&self, checker: &mut Checker, name: &str, default: Duration) -> Duration {
        self.get(name).and_then(|f| checker.duration(f)).unwrap_or(default)
    }

    /// The value of a field as an integer, or the default.
    pub fn integer(&self, checker: &mut Checker, name: &str, bounds: (u64, u64), default: u64) -> u64 {
        self.get(name).and_then(|f| checker.integer(f, bounds.0, bounds.1)).unwrap_or(default)
    }

    /// The value of a field as a number, or the default.
    pub fn number(&self, checker: &mut Checker, name: &str, bounds: (f64, f64), default: f64) -> f64 {
        self.get(name).and_then(|f| checker.number(f, bounds.0, bounds.1)).unwrap_or(default)
    }

    /// The value of a field as a flag, or the default.
    pub fn flag(&self, checker: &mut Checker, name: &str, default: bool) -> bool {
        self.get(name).and_then(|f| checker.flag(f)).unwrap_or(default)
    }

    /// The value of a field as a size in bytes, or the default.
    pub fn size(&self, checker: &mut Checker, name: &str, default: u64) -> u64 {
        self.get(name).and_then(|f| checker.size(f)).unwrap_or(default)
    }

    /// The value of a field as a word, or the default.
    pub fn word(&self, checker: &mut Checker, name: &str, default: &str) -> String {
        self.get(name).and_then(|f| checker.word(f, "a word")).unwrap_or_else(|| default.to_owned())
    }
}
