//! Operators' questions and proposals: how they are signed, asked and answered.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use violetward_agreement::{Declined, Outcome};
use violetward_net::Connection;
use violetward_statement::http::{Headers, Limits};

use super::report::{shown, ProposalReport, SettingsStatus};
use super::{check, SettingsAgreement};
use crate::host::Host;

/// How long an operator's command waits for its answer.
const ASK: Duration = Duration::from_secs(10);
/// Path and headers of the operators' questions.
pub const SETTINGS_PATH: &str = "/v1/settings";
/// The newest version that the proposal was made for.
pub const AFTER_HEADER: &str = "X-Violetward-After";
/// The name of the key, and the code of the proposal in hexadecimal digits.
pub const KEY_HEADER: &str = "X-Violetward-Key";
/// See `KEY`.
pub const CODE_HEADER: &str = "X-Violetward-Code";
/// What is signed to say that a gateway's wall clock is right.
const CLOCK: &[u8] = b"the wall clock is right";

/// The code of a proposal: over the version that it was made for and its content.
fn code(secret: &str, after: u64, dry: bool, content: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any length will do");
    mac.update(&after.to_be_bytes());
    mac.update(&[u8::from(dry)]);
    mac.update(content);
    mac
}

impl SettingsAgreement {
    /// Whether an operator's key signed this.
    fn signed(&self, content: &[u8], after: u64, dry: bool, key: &str, given: &str) -> bool {
        let given = (0..given.len() / 2).map(|i| given.get(2 * i..2 * i + 2));
        let given: Option<Vec<u8>> = given.map(|d| u8::from_str_radix(d?, 16).ok()).collect();
        let known = self.terms.operator_keys.iter().find(|(name, _)| name == key);
        let fits = |secret: &str, given: &[u8]| code(secret, after, dry, content).verify_slice(given).is_ok();
        known.zip(given).is_some_and(|((_, secret), given)| fits(secret, &given))
    }

    /// An operator says that this gateway's wall clock, which was set, is right. The status to answer with, and the words.
    pub fn confirm_clock(&self, host: &Host, after: u64, key: &str, given: &str) -> (u16, &'static str) {
        if !self.signed(CLOCK, after, false, key, given) {
            return (403, "no operator's key signed this");
        }
        // What was said at another time says nothing of now: versions tell the times apart.
        if after != self.member.borrow().voter().history().newest().0 {
            return (409, "it was said for another version than the newest");
        }
        match &*host.windows.borrow() {
            Some(windows) => windows.confirm_clock(),
            None => return (404, "this gateway holds no windows"),
        }
        (200, "windows go by the wall clock again")
    }

    /// Takes an operator's proposal, or only tells what it would change. The status to answer with, and the report.
    pub async fn handle_proposal(
        &self,
        host: &Rc<Host>,
        content: &[u8],
        after: u64,
        dry: bool,
        key: &str,
        given: &str,
    ) -> (u16, ProposalReport) {
        let report = |outcome: &str, number, text: String, changes| ProposalReport {
            outcome: outcome.to_owned(),
            number,
            text,
            changes,
        };
        if !self.signed(content, after, dry, key, given) {
            return (403, report("not allowed", None, "no operator's key signed this".into(), vec![]));
        }
        let (newest, before) = {
            let member = self.member.borrow();
            let history = member.voter().history();
            let (newest, _) = history.newest();
            let before = history.get(newest).and_then(|v| check(&v.content, &self.names, &self.floor).ok());
            (newest, before.unwrap_or_default())
        };
        let rules = match check(content, &self.names, &self.floor) {
            Ok(rules) => rules,
            Err(why) => return (422, report("unfit", None, why, vec![])),
        };
        let changes = shown(&before.differences(&rules));
        if dry {
            // Whether it is fit as things are, as far as this gateway can tell.
            if let Err(why) = self.member.borrow().fit(content) {
                return (422, report("unfit", None, why, changes));
            }
            return (200, report("would commit", Some(newest + 1), String::new(), changes));
        }
        let (send, wait) = async_channel::bounded(1);
        let begun = self.with(host, |member, now| {
            let begun = member.propose(now, content, Some(after));
            if begun.is_ok() {
                *self.waiting.borrow_mut() = Some(send);
            }
            begun
        });
        match begun {
            Ok(()) => {}
            Err(Declined::NotVoter(voters)) => {
                let text = format!("this gateway does not vote; ask one of {}", voters.join(", "));
                return (409, report("not a voter", None, text, changes));
            }
            Err(Declined::Unfit(why)) => return (422, report("unfit", None, why, changes)),
            Err(Declined::Busy) => {
                return (409, report("busy", None, "another proposal is under way here".into(), changes))
            }
            Err(Declined::Stale(newest)) => {
                let text = format!("it was made for version {after}, but {newest} is the newest");
                return (409, report("stale", Some(newest), text, changes));
            }
        }
        match wait.recv().await.unwrap_or(Outcome::Unknown) {
            Outcome::Committed(number) => (200, report("committed", Some(number), String::new(), changes)),
            Outcome::Conflict(number) => {
                let text = format!("another proposal became version {number}");
                (409, report("conflict", Some(number), text, changes))
            }
            Outcome::Unfit(why) => (422, report("unfit", None, why, changes)),
            Outcome::Unknown => {
                let text =
                    "no quorum answered in time; it may still become a version: see the history".into();
                (504, report("unknown", None, text, changes))
            }
        }
    }
}

async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: Headers,
    body: &[u8],
) -> Result<Vec<u8>, String> {
    let asked = async {
        let limits = Limits { body: 16 << 20, ..Limits::default() };
        let mut connection = Connection::connect(address, limits).await.map_err(|e| e.to_string())?;
        let mut all = Headers::default();
        all.push("Host", address.to_string());
        headers.iter().for_each(|(name, value)| all.push(name, value));
        connection.call(method, path, &all, body).await.map_err(|e| e.to_string())
    };
    let message = violetward_net::timeout(ASK, asked).await.ok_or("no answer")??;
    match message.status() {
        200 | 409 | 422 | 504 if method == "POST" => Ok(message.body),
        200 => Ok(message.body),
        _ => Err(String::from_utf8_lossy(&message.body).trim().to_owned()),
    }
}

/// What a gateway answers to a question for one of its resources.
pub(crate) async fn http_get(address: SocketAddr, path: &str) -> Result<Vec<u8>, String> {
    call(address, "GET", path, Headers::default(), b"").await
}

/// Asks a gateway how it stands.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn fetch_status(address: SocketAddr) -> Result<SettingsStatus, String> {
    fetch_status_since(address, 0).await
}

/// The same, with the versions from a number on alone.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn fetch_status_since(address: SocketAddr, since: u64) -> Result<SettingsStatus, String> {
    let body =
        call(address, "GET", &format!("{SETTINGS_PATH}?since={since}"), Headers::default(), b"").await?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Proposes a content as the version after `after`, or has told what it would change.
///
/// # Errors
/// What the gateway answers instead of a report, or why it does not.
pub async fn propose(
    address: SocketAddr,
    content: &[u8],
    after: u64,
    dry: bool,
    key: &(String, String),
) -> Result<ProposalReport, String> {
    let headers = signature(content, after, dry, key);
    let path = if dry { format!("{SETTINGS_PATH}?dry") } else { SETTINGS_PATH.to_owned() };
    let body = call(address, "POST", &path, headers, content).await?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Says that the wall clock of the gateway there, which was set, is right. What it answers.
///
/// # Errors
/// Why it does not believe that, or does not answer.
pub async fn confirm_clock(address: SocketAddr, key: &(String, String)) -> Result<String, String> {
    let after = fetch_status_since(address, u64::MAX).await?.newest;
    let headers = signature(CLOCK, after, false, key);
    let body = call(address, "POST", &format!("{SETTINGS_PATH}?clock"), headers, b"").await?;
    Ok(String::from_utf8_lossy(&body).trim().to_owned())
}

/// The headers of what an operator signs.
fn signature(content: &[u8], after: u64, dry: bool, key: &(String, String)) -> Headers {
    let mut headers = Headers::default();
    headers.push(AFTER_HEADER, after.to_string());
    headers.push(KEY_HEADER, key.0.clone());
    let code = code(&key.1, after, dry, content).finalize().into_bytes();
    let digits = code.iter().map(|b| format!("{b:02x}")).collect::<String>();
    headers.push(CODE_HEADER, digits);
    headers
}
