//! One connection to an engine: what is asked on it, and what of its answers can be believed. Free of I/O.
//!
//! A result is gathered page by page and passed on only when it is whole. Answers under ids that are not open here are
//! dropped. What can't be read, or does not fit, spoils the connection: nothing after it can be trusted.

use std::collections::{BTreeMap, HashMap, HashSet};

use violetward::{Load, Micros, Outcome, RequestId};
use violetward_resp::{write_array, Limits, Reader};

use crate::core::{AttemptId, Ending, Launch};

/// Bytes of a whole result.
pub const RESULT_BYTES: usize = 48_000;
/// Bytes of a page.
pub const PAGE_BYTES: usize = 6_000;
/// Pages of a result: whole rows may leave pages half empty, never emptier.
const PAGES: usize = 4 * RESULT_BYTES / PAGE_BYTES;
/// Tabs of a row of three columns.
const TABS: usize = 2;
/// Ids of attempts that ended here without a result and are remembered, so that the same id is not asked again where an
/// old answer, or a second copy of it, may still come.
const RETIRED: usize = 1_024;

/// Something that an engine has told.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    /// An attempt has ended.
    Ended(AttemptId, Ending),
    /// A probe has come back.
    Probed(bool, Load),
}

#[derive(Debug)]
struct Gather {
    pages: usize,
    came: BTreeMap<usize, Vec<u8>>,
    bytes: usize,
    ending: Ending,
}

#[derive(Debug)]
struct Asked {
    attempt: AttemptId,
    gather: Option<Gather>,
}

/// A connection's state.
#[derive(Debug)]
pub struct Link {
    reader: Reader,
    asked: HashMap<String, Asked>,
    probes: HashSet<String>,
    retired: BTreeMap<RequestId, u64>,
    retirements: u64,
    tags: u64,
}

/// The id of a request as text.
pub fn id_text(attempt: AttemptId) -> String {
    format!("{:016x}", attempt.0 .0)
}

impl Default for Link {
    fn default() -> Self {
        Link::new()
    }
}

impl Link {
    /// A fresh connection.
    pub fn new() -> Self {
        // A page and its fields fit; anything longer is no answer of an engine.
        let limits = Limits { max_strings: 8, max_string_bytes: 16 << 10, max_total_bytes: 24 << 10 };
        Link {
            reader: Reader::new(limits),
            asked: HashMap::new(),
            probes: HashSet::new(),
            retired: BTreeMap::new(),
            retirements: 0,
            tags: 0,
        }
    }

    /// Requests and probes that are open.
    pub fn load(&self) -> usize {
        self.asked.len() + self.probes.len()
    }

    /// Whether an attempt may go here: never beside or behind an earlier one of the same request. Answers carry the id of
    /// the request alone, so that what still comes for the earlier one would be taken for the later one's.
    pub fn takes(&self, attempt: AttemptId) -> bool {
        !self.asked.contains_key(&id_text(attempt)) && !self.retired.contains_key(&attempt.0)
    }

    /// A message has begun to come in and is not whole: what is asked now would be answered behind its end, if that comes.
    pub fn is_within(&self) -> bool {
        !self.reader.is_at_array_boundary()
    }

    /// Asks for an attempt; `patience` is how long it will be waited for, in milliseconds.
    pub fn fetch(&mut self, launch: &Launch, class: &str, patience: u64, out: &mut Vec<u8>) {
        let id = id_text(launch.attempt);
        let mut fields = format!("sort={class},patience={}", patience.max(1));
        if let Some(once) = &launch.once {
            fields += &format!(",op={once}");
        }
        if launch.memory_mb >= 1.0 {
            fields += &format!(",mb={}", launch.memory_mb.ceil());
        }
        fields += &format!(",nice={}", launch.rank);
        write_array(out, &[b"fetch", id.as_bytes(), fields.as_bytes(), &launch.body]);
        self.asked.insert(id, Asked { attempt: launch.attempt, gather: None });
    }

    /// Gives an attempt up. False if it is not open here.
    pub fn withdraw(&mut self, attempt: AttemptId, out: &mut Vec<u8>) -> bool {
        let id = id_text(attempt);
        if self.asked.get(&id).is_none_or(|a| a.attempt != attempt) {
            return false;
        }
        let gathers = self.asked.remove(&id).is_some_and(|a| a.gather.is_some());
        write_array(out, &[if gathers { b"done" } else { b"abort" }, id.as_bytes()]);
        self.retire(attempt.0);
        true
    }

    /// Gives an attempt that is out another priority.
    pub fn renice(&mut self, attempt: AttemptId, rank: u8, out: &mut Vec<u8>) {
        let id = id_text(attempt);
        if self.asked.get(&id).is_some_and(|a| a.attempt == attempt && a.gather.is_none()) {
            write_array(out, &[b"renice", id.as_bytes(), rank.to_string().as_bytes()]);
        }
    }

    /// Asks for the engine's health and load; the tag takes it back.
    pub fn probe(&mut self, out: &mut Vec<u8>) -> String {
        self.tags += 1;
        let tag = format!("t{}", self.tags);
        write_array(out, &[b"stats", tag.as_bytes()]);
        self.probes.insert(tag.clone());
        tag
    }

    /// Gives a probe up. False if it has come back.
    pub fn forget_probe(&mut self, tag: &str) -> bool {
        self.probes.remove(tag)
    }

    fn retire(&mut self, id: RequestId) {
        self.retirements += 1;
        self.retired.insert(id, self.retirements);
        if self.retired.len() > RETIRED {
            let newest = self.retirements;
            self.retired.retain(|_, &mut at| newest - at < RETIRED as u64 / 2);
        }
    }

    /// Takes what has come in. What is to be written goes to `out`.
    ///
    /// # Errors
    /// Says why the connection can't be used any more; what is open on it has to be ended with [`Link::broken`].
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>, told: &mut Vec<Told>) -> Result<(), String> {
        self.reader.feed(bytes);
        while let Some(answer) = self.reader.next_array().map_err(|e| e.to_string())? {
            let [id, word, fields, body] = &answer[..] else {
                return Err(format!("an answer of {} parts", answer.len()));
            };
            let id = std::str::from_utf8(id).map_err(|_| "an id that is not UTF-8")?;
            let word = std::str::from_utf8(word).map_err(|_| "a word that is not UTF-8")?;
            let fields = Fields::read(fields)?;
            self.answer(id, word, &fields, body, out, told)?;
        }
        Ok(())
    }

    fn answer(
        &mut self,
        id: &str,
        word: &str,
        fields: &Fields<'_>,
        body: &[u8],
        out: &mut Vec<u8>,
        told: &mut Vec<Told>,
    ) -> Result<(), String> {
        if self.probes.contains(id) {
            let good = match word {
                "yes" => true,
                "no" => false,
                _ => return Err("a probe that is answered neither yes nor no".into()),
            };
            self.probes.remove(id);
            told.push(Told::Probed(good, fields.load()));
            return Ok(());
        }
        let Some(asked) = self.asked.get_mut(id) else {
            // Late, doubled or meant for nobody.
            return Ok(());
        };
        if word == "error" {
            tracing::debug!(id, fields = ?fields.0, body = %String::from_utf8_lossy(body), "error");
        }
        let end = |outcome| Ending { load: fields.load(), ..Ending::of(outcome) };
        let ending = match word {
            "ok" if asked.gather.is_some() => return Ok(()),
            "ok" => {
                let pages: usize = fields.number("batches")?.ok_or("a good end without its pages")?;
                if !(1..=PAGES).contains(&pages) {
                    return Err(format!("a result of {pages} pages"));
                }
                let work = fields.number::<f64>("cpu")?.filter(|ms| (0.0..1e9).contains(ms));
                let ending = Ending {
                    work: work.map(|ms| (ms * 1e3) as Micros),
                    memory_mb: fields.number::<f64>("used")?.filter(|mb| (0.0..1e9).contains(mb)),
                    ..end(Outcome::Ok)
                };
                asked.gather = Some(Gather { pages, came: BTreeMap::new(), bytes: 0, ending });
                for page in 1..pages {
                    write_array(out, &[b"more", id.as_bytes(), page.to_string().as_bytes()]);
                }
                None
            }
            "batch" => None,
            "refused" | "stale" if asked.gather.is_some() => {
                return Err("a request that was served and is said never to have run".into());
            }
            "refused" => Some(end(Outcome::Full)),
            "stale" => Some(end(Outcome::Moot)),
            "error" => Some(end(Outcome::Error)),
            _ => return Err("an answer with a word that does not exist".into()),
        };
        if let Some(ending) = ending {
            let attempt = asked.attempt;
            self.asked.remove(id);
            self.retire(attempt.0);
            told.push(Told::Ended(attempt, ending));
            return Ok(());
        }
        let page =
            if word == "ok" { 0 } else { fields.number("batch")?.ok_or("a page without its number")? };
        let Some(gather) = &mut asked.gather else {
            return Err("a page before the result's end".into());
        };
        if page >= gather.pages || (page == 0 && word != "ok") {
            return Err(format!("page {page} of {}", gather.pages));
        }
        check_page(body)?;
        if gather.came.contains_key(&page) {
            // A second copy.
            return Ok(());
        }
        gather.bytes += body.len();
        if gather.bytes > RESULT_BYTES {
            return Err("a result that is too long".into());
        }
        gather.came.insert(page, body.to_vec());
        if gather.came.len() == gather.pages {
            write_array(out, &[b"done", id.as_bytes()]);
            let asked = self.asked.remove(id);
            if let Some(Asked { attempt, gather: Some(gather) }) = asked {
                let mut result = Vec::with_capacity(gather.bytes);
                gather.came.values().for_each(|page| result.extend_from_slice(page));
                told.push(Told::Ended(attempt, Ending { result, ..gather.ending }));
            }
        }
        Ok(())
    }

    /// Ends what is open: the connection is of no further use. All of it was written, and may have run.
    pub fn broken(&mut self, outcome: Outcome, told: &mut Vec<Told>) {
        let asked = std::mem::take(&mut self.asked);
        let mut asked: Vec<_> = asked.into_values().map(|a| a.attempt).collect();
        // The same order at every run.
        asked.sort_unstable();
        told.extend(asked.into_iter().map(|attempt| Told::Ended(attempt, Ending::of(outcome))));
        let probes = std::mem::take(&mut self.probes);
        told.extend(probes.into_iter().map(|_| Told::Probed(false, Load::default())));
    }
}

/// Whole rows of three columns in UTF-8, no longer than a page.
fn check_page(body: &[u8]) -> Result<(), String> {
    if body.len() > PAGE_BYTES {
        return Err("a page that is too long".into());
    }
    if !body.is_empty() && body.last() != Some(&b'\n') {
        return Err("a page that ends within a row".into());
    }
    let text = std::str::from_utf8(body).map_err(|_| "a page that is not UTF-8")?;
    if text.lines().any(|row| row.bytes().filter(|&b| b == b'\t').count() != TABS) {
        return Err("a row that has not three columns".into());
    }
    Ok(())
}

/// Fields of an answer: `name=value,name=value`, or `-` for none.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn read(bytes: &'a [u8]) -> Result<Self, String> {
        let text = std::str::from_utf8(bytes).map_err(|_| "fields that are not UTF-8")?;
        if text == "-" || text.is_empty() {
            return Ok(Fields(Vec::new()));
        }
        let pairs = text.split(',').map(|pair| pair.split_once('=').ok_or("a field without a value"));
        Ok(Fields(pairs.collect::<Result<_, _>>()?))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        self.get(name).map(|v| v.parse().map_err(|_| format!("{name} that is no number"))).transpose()
    }

    /// The load report: `name:value;name:value`, under the names of the settings or the short ones of the sockets.
    fn load(&self) -> Load {
        let mut values = BTreeMap::new();
        for pair in self.get("l").unwrap_or_default().split(';') {
            let Some((name, value)) = pair.split_once(':') else { continue };
            let name = match name {
                "util" => "load_share",
                "inflight" => "concurrent",
                other => other,
            };
            // What is absurd is left out; the rest of the report stands.
            if let Some(value) = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) {
                values.insert(name.to_owned(), value);
            }
        }
        violetward_settings::load_from_stats(&values)
    }
}
