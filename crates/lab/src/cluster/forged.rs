//! Pages that nobody should get, and pages asked for more often than need be: tokens that are forged, cut, of a foreign key or of
//! another statement, replays, and statements that ended long ago. Each is asked for at every gateway, and each answer is checked.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hmac::Mac;
use serde_json::Value;
use violetward_membership::Key;
use violetward_net::{sleep, timeout, Pool};
use violetward_standin::server::clock;
use violetward_statement::http::{Headers, Message};
use violetward_statement::results::{PageRef, QueryResults, STATEMENT};

use crate::client::{self, Ask, Record, Seen};

/// What is answered later than that is not answered soon: longer than a gateway holds a poll.
const SOON: Duration = Duration::from_millis(2_500);
/// How long ago a statement ended that ended long ago: longer than the rig's gateways keep one.
pub const LONG_AGO: Duration = Duration::from_secs(12);
/// As `custody` in the gateway: what the code of a page is for.
const USE: &[u8] = b"violetward page";

/// An answer to what should not have been asked.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// What was asked for.
    pub what: &'static str,
    /// At which gateway.
    pub gateway: usize,
    /// The status, if one came soon.
    pub status: Option<u16>,
    /// The page is that of the statement asked for, as its own client has it.
    pub own: bool,
}

impl Answer {
    /// What can't be known gets 404; what was true once gets its own page, or the word that it is over.
    pub fn right(&self) -> bool {
        match (self.what, self.status) {
            ("replayed" | "long ago", Some(200)) => self.own,
            ("replayed" | "long ago", Some(status)) => matches!(status, 404 | 410),
            (_, status) => status == Some(404),
        }
    }
}

/// What came of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// All answers.
    pub answers: Vec<Answer>,
    /// The statements whose tokens were used, as their own client saw them.
    pub records: Vec<Record>,
}

impl Findings {
    /// Answers by what was asked for and what was said.
    pub fn figures(&self) -> Vec<(String, Value)> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for a in &self.answers {
            let said = a.status.map_or_else(|| "nothing".into(), |s| s.to_string());
            *counts.entry(format!("{}: {said}", a.what)).or_default() += 1;
        }
        let counts: serde_json::Map<String, Value> = counts.into_iter().map(|(k, n)| (k, n.into())).collect();
        vec![("answers_to_forged".into(), counts.into())]
    }

    /// What did not hold.
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        for what in ["forged", "replayed", "long ago"] {
            if !self.answers.iter().any(|a| a.what == what) {
                faults.push(("forged", format!("nothing {what} was asked for")));
            }
        }
        let wrong: Vec<&Answer> = self.answers.iter().filter(|a| !a.right()).collect();
        if !wrong.is_empty() {
            faults.push(("forged", format!("{} wrong answers, the first: {:?}", wrong.len(), wrong[0])));
        }
        for r in self.records.iter().filter(|r| r.seen != Seen::Served) {
            faults.push(("forged", format!("{}, whose tokens were used, saw {:?}", r.trace, r.seen)));
        }
        faults
    }
}

async fn call(pool: &Rc<Pool>, method: &str, target: &str) -> Option<Message> {
    let asked = async {
        let mut connection = pool.connect(Duration::from_millis(500)).await.ok()?;
        let mut head = Headers::default();
        head.push("Host", pool.address().to_string());
        connection.call(method, target, &head, b"").await.ok()
    };
    timeout(SOON, asked).await.flatten()
}

fn results(message: &Message) -> Option<QueryResults> {
    serde_json::from_slice(&message.body).ok()
}

/// Addresses that look like a page's and that no gateway has made; `other` is a page of another statement.
pub fn forgeries(target: &str, other: Option<&str>) -> Vec<(&'static str, String)> {
    let Some(page) = PageRef::parse(target) else { return vec![] };
    let Some((code, says)) = page.slug.split_once('.') else { return vec![] };
    let stage = if target.contains("/queued/") { "queued" } else { "executing" };
    let with = |id: &str, slug: &str| format!("{STATEMENT}/{stage}/{id}/{slug}/{}", page.token);
    let mut all = Vec::new();
    for at in [0, 8, 9, code.len() - 1] {
        let turn = |c| if c == '0' { '1' } else { '0' };
        let turned: String =
            code.chars().enumerate().map(|(i, c)| if i == at { turn(c) } else { c }).collect();
        all.push(("forged", with(&page.id, &format!("{turned}.{says}"))));
    }
    // What it says is changed, and its code is not: the time until which it holds, and the first who held it.
    all.push(("forged", with(&page.id, &format!("{code}.f{says}"))));
    all.push(("forged", with(&page.id, &format!("{code}.{}", says.replacen('~', "0~", 1)))));
    for left in [0, 1, code.len() / 2, code.len(), code.len() + 1 + says.len() / 2, page.slug.len() - 1] {
        all.push(("truncated", with(&page.id, &page.slug[..left])));
    }
    let key = Key { name: "old".into(), secret: "not the rig's key at all".into() };
    let made = key.mac(&[USE, page.id.as_bytes(), b"/", says.as_bytes()]).finalize().into_bytes();
    let made: String = made[..16].iter().map(|b| format!("{b:02x}")).collect();
    all.push(("foreign key", with(&page.id, &format!("{}{made}.{says}", &code[..8]))));
    if let Some(foreign) = other.and_then(PageRef::parse) {
        all.push(("of another", with(&foreign.id, &page.slug)));
        all.push(("of another", with(&page.id, &foreign.slug)));
    }
    all.retain(|(_, forged)| forged != target);
    all
}

/// Follows a statement from each gateway to its end, and asks for what the module says in between and long after.
pub async fn play(pools: impl Fn() -> Vec<Rc<Pool>>, asks: Vec<Ask>) -> Findings {
    let mut found = Findings::default();
    let mut ended: Vec<(String, Message)> = Vec::new();
    let mut other: Option<String> = None;
    for ask in asks {
        let pools = pools();
        let pool = pools[ask.record.gateway % pools.len()].clone();
        let mut record = ask.record.clone();
        record.posted = clock();
        record.due = record.posted + ask.patience.as_micros() as u64;
        record.aim += record.posted;
        let mut head = Headers::default();
        head.push("Host", pool.address().to_string());
        ask.context.write(&mut head);
        let posted = async {
            let mut connection = pool.connect(Duration::from_millis(500)).await.ok()?;
            connection.call("POST", STATEMENT, &head, ask.sql.as_bytes()).await.ok()
        };
        let Some(mut message) = timeout(SOON, posted).await.flatten().filter(|m| m.status() == 200) else {
            continue;
        };
        record.taken = Some(clock());
        record.seen = Seen::Lost("no end came".into());
        let mut last = None;
        while clock() < record.due {
            let Some(said) = results(&message) else { break };
            let Some(next) = said.next_uri else {
                record.seen = client::verdict(&said);
                ended.extend(last.map(|last| (last, message)));
                break;
            };
            let target = client::path(&next).to_owned();
            if last.is_none() {
                let stranger = other.replace(target.clone());
                for (what, forged) in forgeries(&target, stranger.as_deref()) {
                    for (gateway, pool) in pools.iter().enumerate() {
                        for method in ["GET", "DELETE"] {
                            let status = call(pool, method, &forged).await.map(|m| m.status());
                            found.answers.push(Answer { what, gateway, status, own: false });
                        }
                    }
                }
            }
            let Some(page) = call(&pool, "GET", &target).await else { break };
            if page.status() != 200 {
                record.seen = Seen::Lost(format!("{} to a poll", page.status()));
                break;
            }
            // The page just got, at all gateways once more, and the one before it.
            for (gateway, pool) in pools.iter().enumerate() {
                for target in last.iter().chain([&target]) {
                    found.answers.push(again("replayed", gateway, pool, target, &page).await);
                }
            }
            (last, message) = (Some(target), page);
        }
        record.ended = clock();
        found.records.push(record);
    }
    sleep(LONG_AGO).await;
    for (target, page) in &ended {
        for (gateway, pool) in pools().iter().enumerate() {
            found.answers.push(again("long ago", gateway, pool, target, page).await);
        }
    }
    found
}

async fn again(what: &'static str, gateway: usize, pool: &Rc<Pool>, target: &str, page: &Message) -> Answer {
    let begun = Instant::now();
    let answer = call(pool, "GET", target).await;
    let id = |m: &Message| results(m).map(|r| r.id);
    let own = answer.as_ref().is_some_and(|a| a.status() == 200 && id(a) == id(page));
    let status = answer.map(|m| m.status()).filter(|_| begun.elapsed() <= SOON);
    Answer { what, gateway, status, own }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_that_gives_away_a_page_or_keeps_silent_is_found() {
        let answer = |what, status, own| Answer { what, gateway: 0, status, own };
        let right = [
            answer("forged", Some(404), false),
            answer("replayed", Some(200), true),
            answer("long ago", Some(410), false),
        ];
        assert!(Findings { answers: right.to_vec(), records: vec![] }.faults().is_empty());
        for wrong in [
            answer("forged", Some(200), true),
            answer("forged", None, false),
            answer("truncated", Some(503), false),
            answer("foreign key", Some(410), false),
            answer("replayed", Some(200), false),
            answer("long ago", None, false),
        ] {
            let answers = right.iter().cloned().chain([wrong.clone()]).collect();
            assert_eq!(Findings { answers, records: vec![] }.faults().len(), 1, "{wrong:?}");
        }
        assert_eq!(Findings::default().faults().len(), 3, "nothing was asked for");
    }

    #[test]
    fn forged_addresses_are_read_as_pages_and_none_is_the_true_one() {
        let page = |id: &str, code: &str| format!("{STATEMENT}/executing/{id}/{code}.f.-.g1~a~0/1");
        let (own, other) = (page("a_1_x", &"0123456789".repeat(4)), page("b_2_x", &"9876543210".repeat(4)));
        let all = forgeries(&own, Some(&other));
        assert!(all.len() >= 15, "{all:?}");
        for what in ["forged", "truncated", "foreign key", "of another"] {
            assert!(all.iter().any(|(w, _)| *w == what), "{what}");
        }
        assert!(all.iter().all(|(_, forged)| *forged != own && *forged != other));
    }
}
