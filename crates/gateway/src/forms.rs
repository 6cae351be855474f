//! Reads S-expressions with the place of every mistake. Knows nothing of what the forms mean.

use std::fmt;
use std::time::Duration;

use lexpr::datum::Ref;
use lexpr::{Datum, Parser};
use violetward_statement::session;

/// Something in a file that cannot be used, and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong and what was expected.
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
    /// Its first word.
    pub name: String,
    /// The rest.
    pub args: Vec<Ref<'a>>,
    position: (usize, usize),
}

impl Form<'static> {
    /// A form without arguments.
    pub fn empty(name: &str) -> Self {
        Form { name: name.to_owned(), args: Vec::new(), position: (1, 1) }
    }
}

impl<'a> Form<'a> {
    /// The same form, at the same place, with other arguments.
    pub fn with_args(&self, rest: Vec<Ref<'a>>) -> Form<'a> {
        Form { args: rest, ..self.clone() }
    }
}

/// Collects the mistakes of one file.
#[derive(Debug, Default)]
pub struct Checker {
    /// What has been found so far.
    pub diagnostics: Vec<Diagnostic>,
}

/// The top-level data of a text.
///
/// # Errors
/// The place where the text stops being S-expressions.
pub fn read(text: &str) -> Result<Vec<Datum>, Diagnostic> {
    let mut parser = Parser::from_str(text);
    let mut all = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(Some(datum)) => all.push(datum),
            Ok(None) => return Ok(all),
            Err(e) => {
                let (line, column) = e.location().map_or((1, 1), |l| (l.line(), l.column()));
                return Err(Diagnostic {
                    line,
                    column: column.max(1),
                    message: format!("not an S-expression: {e}"),
                });
            }
        }
    }
}

fn place(datum: &Ref<'_>) -> (usize, usize) {
    let start = datum.span().start();
    (start.line(), start.column() + 1)
}

/// How a value is called in a message.
fn shown(datum: &Ref<'_>) -> String {
    let text = datum.value().to_string();
    if text.chars().count() > 40 {
        text.chars().take(40).chain("...".chars()).collect()
    } else {
        text
    }
}

impl Checker {
    /// Notes a mistake at a form.
    pub fn error_at(&mut self, form: &Form<'_>, text: impl Into<String>) {
        self.push_error(form.position, text.into());
    }

    fn push_error(&mut self, (line, column): (usize, usize), text: String) {
        self.diagnostics.push(Diagnostic { line, column, message: text });
    }

    /// Reads a form; notes what is none.
    pub fn form<'a>(&mut self, datum: Ref<'a>) -> Option<Form<'a>> {
        let place = place(&datum);
        let mut items = match datum.list_iter() {
            Some(items) => items.collect::<Vec<_>>().into_iter(),
            None => {
                self.push_error(place, format!("expected a form like (name value), found {}", shown(&datum)));
                return None;
            }
        };
        let name = items.next().and_then(|n| word(&n));
        match name {
            Some(name) => Some(Form { name, args: items.collect(), position: place }),
            None => {
                self.push_error(place, "expected a form that begins with a name".into());
                None
            }
        }
    }

    /// Reads the arguments of a form, from `skip` on, as fields; notes unknown and repeated ones.
    pub fn fields<'a>(&mut self, form: &Form<'a>, skip: usize, known: &[&str]) -> Fields<'a> {
        let forms: Vec<Form<'a>> = form.args.iter().skip(skip).filter_map(|d| self.form(*d)).collect();
        for (i, field) in forms.iter().enumerate() {
            if !known.contains(&field.name.as_str()) {
                let text =
                    format!("{} is not known in {}; known: {}", field.name, form.name, known.join(", "));
                self.push_error(field.position, text);
            } else if forms[..i].iter().any(|f| f.name == field.name) {
                self.push_error(field.position, format!("{} stands twice in {}", field.name, form.name));
            }
        }
        Fields { form: form.clone(), fields: forms }
    }

    /// The one argument of a form.
    pub fn single_arg<'a>(&mut self, form: &Form<'a>, what: &str) -> Option<Ref<'a>> {
        match form.args.as_slice() {
            [one] => Some(*one),
            _ => {
                self.error_at(form, format!("{}: expected {what}", form.name));
                None
            }
        }
    }

    fn parse_arg<T>(
        &mut self,
        form: &Form<'_>,
        what: &str,
        read: impl Fn(&Ref<'_>) -> Option<T>,
    ) -> Option<T> {
        let datum = self.single_arg(form, what)?;
        let value = read(&datum);
        if value.is_none() {
            self.push_error(
                place(&datum),
                format!("{}: expected {what}, found {}", form.name, shown(&datum)),
            );
        }
        value
    }

    /// A word: a string or a symbol.
    pub fn word(&mut self, form: &Form<'_>, what: &str) -> Option<String> {
        self.parse_arg(form, what, word)
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
        let rest = form.args.clone();
        let each = |d: Ref<'_>| {
            let found = word(&d);
            if found.is_none() {
                self.push_error(place(&d), format!("{}: expected a word, found {}", form.name, shown(&d)));
            }
            found
        };
        rest.into_iter().filter_map(each).collect()
    }

    /// A number within bounds.
    pub fn number(&mut self, form: &Form<'_>, least: f64, most: f64) -> Option<f64> {
        let what = format!("a number from {least} to {most}");
        self.parse_arg(form, &what, |d| d.value().as_f64().filter(|n| (least..=most).contains(n)))
    }

    /// A whole number within bounds.
    pub fn integer(&mut self, form: &Form<'_>, least: u64, most: u64) -> Option<u64> {
        let what = format!("a whole number from {least} to {most}");
        self.parse_arg(form, &what, |d| d.value().as_u64().filter(|n| (least..=most).contains(n)))
    }

    /// A span, as a string like `"250ms"`.
    pub fn duration(&mut self, form: &Form<'_>) -> Option<Duration> {
        let read =
            |d: &Ref<'_>| word(d).and_then(|w| session::duration(&w)).filter(|d| d.as_secs() < 86_400 * 7);
        self.parse_arg(form, "a span such as \"250ms\" or \"1.5s\"", read)
    }

    /// A size, as a string like `"16GB"`.
    pub fn size(&mut self, form: &Form<'_>) -> Option<u64> {
        self.parse_arg(form, "a size such as \"512kB\" or \"16GB\"", |d| {
            word(d).and_then(|w| session::bytes(&w))
        })
    }

    /// `yes` or `no`.
    pub fn flag(&mut self, form: &Form<'_>) -> Option<bool> {
        self.parse_arg(form, "yes or no", |d| match word(d)?.as_str() {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// One of some words.
    pub fn choice<T: Copy>(&mut self, form: &Form<'_>, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|c| c.0).collect();
        let what = format!("one of {}", names.join(", "));
        self.parse_arg(form, &what, |d| {
            let w = word(d)?;
            choices.iter().find(|c| c.0 == w).map(|c| c.1)
        })
    }
}

fn word(datum: &Ref<'_>) -> Option<String> {
    let value = datum.value();
    value.as_str().or_else(|| value.as_symbol()).map(str::to_owned)
}

/// The fields of a form.
pub struct Fields<'a> {
    /// The form that they belong to.
    pub form: Form<'a>,
    fields: Vec<Form<'a>>,
}

impl<'a> Fields<'a> {
    /// A field.
    pub fn get(&self, name: &str) -> Option<&Form<'a>> {
        self.fields.iter().find(|f| f.name == name)
    }

    /// A field that must be there.
    pub fn require(&self, checker: &mut Checker, name: &str) -> Option<&Form<'a>> {
        let found = self.get(name);
        if found.is_none() {
            checker.error_at(&self.form, format!("{} needs ({name} ...)", self.form.name));
        }
        found
    }

    /// A span, with a default.
    pub fn duration(&self, checker: &mut Checker, name: &str, default: Duration) -> Duration {
        self.get(name).and_then(|f| checker.duration(f)).unwrap_or(default)
    }

    /// A whole number, with a default.
    pub fn integer(&self, checker: &mut Checker, name: &str, bounds: (u64, u64), default: u64) -> u64 {
        self.get(name).and_then(|f| checker.integer(f, bounds.0, bounds.1)).unwrap_or(default)
    }

    /// A number, with a default.
    pub fn number(&self, checker: &mut Checker, name: &str, bounds: (f64, f64), default: f64) -> f64 {
        self.get(name).and_then(|f| checker.number(f, bounds.0, bounds.1)).unwrap_or(default)
    }

    /// A flag, with a default.
    pub fn flag(&self, checker: &mut Checker, name: &str, default: bool) -> bool {
        self.get(name).and_then(|f| checker.flag(f)).unwrap_or(default)
    }

    /// A size, with a default.
    pub fn size(&self, checker: &mut Checker, name: &str, default: u64) -> u64 {
        self.get(name).and_then(|f| checker.size(f)).unwrap_or(default)
    }

    /// A word, with a default.
    pub fn word(&self, checker: &mut Checker, name: &str, default: &str) -> String {
        self.get(name).and_then(|f| checker.word(f, "a word")).unwrap_or_else(|| default.to_owned())
    }
}
