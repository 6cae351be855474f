//! Requests of operators about the settings: how they are signed, sent and answered.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use violetward_agreement::{Outcome, ProposeError};
use violetward_net::Connection;
use violetward_statement::http::{Headers, Limits};

use super::report::{change_lines, ProposalReport, SettingsStatus};
use super::{parse_content, SettingsAgreement};
use crate::host::Host;

/// Maximum time that an operator's command waits for the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Path of the operators' requests.
pub const SETTINGS_PATH: &str = "/v1/settings";
/// Header with the newest version at the time of the proposal.
pub const AFTER_HEADER: &str = "X-Violetward-After";
/// Header with the name of the key that signed the proposal.
pub const KEY_HEADER: &str = "X-Violetward-Key";
/// Header with the proposal's authentication code in hexadecimal digits.
pub const CODE_HEADER: &str = "X-Violetward-Code";
/// The content that is signed to confirm that a gateway's wall clock is right.
const CLOCK_STATEMENT: &[u8] = b"the wall clock is right";

/// The authentication code of a proposal, computed over the version it follows, the dry-run flag and its
/// content.
fn proposal_mac(secret: &str, after: u64, dry_run: bool, content: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("a key of any length is valid");
    mac.update(&after.to_be_bytes());
    mac.update(&[u8::from(dry_run)]);
    mac.update(content);
    mac
}

impl SettingsAgreement {
    /// Whether an operator's key signed this content.
    fn is_signed(&self, content: &[u8], after: u64, dry_run: bool, key: &str, code: &str) -> bool {
        let digits = (0..code.len() / 2).map(|i| code.get(2 * i..2 * i + 2));
        let code: Option<Vec<u8>> = digits.map(|d| u8::from_str_radix(d?, 16).ok()).collect();
        let operator = self.terms.operator_keys.iter().find(|(name, _)| name == key);
        let verifies = |secret: &str, code: &[u8]| {
            proposal_mac(secret, after, dry_run, content).verify_slice(code).is_ok()
        };
        operator.zip(code).is_some_and(|((_, secret), code)| verifies(secret, &code))
    }

    /// Takes an operator's confirmation that this gateway's wall clock, which was set, is right. Returns
    /// the status and the text of the answer.
    pub fn confirm_clock(&self, host: &Host, after: u64, key: &str, code: &str) -> (u16, &'static str) {
        if !self.is_signed(CLOCK_STATEMENT, after, false, key, code) {
            return (403, "no operator's key signed this");
        }
        // A confirmation holds only for the newest version, so that an old one cannot be replayed.
        if after != self.member.borrow().voter().history().newest().0 {
            return (409, "it was said for another version than the newest");
        }
        match &*host.windows.borrow() {
            Some(windows) => windows.confirm_clock(),
            None => return (404, "this gateway holds no windows"),
        }
        (200, "windows go by the wall clock again")
    }

    /// Takes an operator's proposal, or with `dry_run` only reports what it would change. Returns the
    /// status and the report of the answer.
    pub async fn handle_proposal(
        &self,
        host: &Rc<Host>,
        content: &[u8],
        after: u64,
        dry_run: bool,
        key: &str,
        code: &str,
    ) -> (u16, ProposalReport) {
        let report = |outcome: &str, number, text: String, changes| ProposalReport {
            outcome: outcome.to_owned(),
            number,
            text,
            changes,
        };
        if !self.is_signed(content, after, dry_run, key, code) {
            return (403, report("not allowed", None, "no operator's key signed this".into(), vec![]));
        }
        let (newest, before) = {
            let member = self.member.borrow();
            let history = member.voter().history();
            let (newest, _) = history.newest();
            let before =
                history.get(newest).and_then(|v| parse_content(&v.content, &self.names, &self.floor).ok());
            (newest, before.unwrap_or_default())
        };
        let rules = match parse_content(content, &self.names, &self.floor) {
            Ok(rules) => rules,
            Err(why) => return (422, report("unfit", None, why, vec![])),
        };
        let changes = change_lines(&before.differences(&rules));
        if dry_run {
            // Whether the content is fit at present, as far as this gateway knows.
            if let Err(why) = self.member.borrow().fit(content) {
                return (422, report("unfit", None, why, changes));
            }
            return (200, report("would commit", Some(newest + 1), String::new(), changes));
        }
        let (sender, receiver) = async_channel::bounded(1);
        let begun = self.with_member(host, |member, now| {
            let begun = member.propose(now, content, Some(after));
            if begun.is_ok() {
                *self.proposal_reply.borrow_mut() = Some(sender);
            }
            begun
        });
        match begun {
            Ok(()) => {}
            Err(ProposeError::NotVoter(voters)) => {
                let text = format!("this gateway does not vote; ask one of {}", voters.join(", "));
                return (409, report("not a voter", None, text, changes));
            }
            Err(ProposeError::Unfit(why)) => return (422, report("unfit", None, why, changes)),
            Err(ProposeError::Busy) => {
                return (409, report("busy", None, "another proposal is under way here".into(), changes))
            }
            Err(ProposeError::Stale(newest)) => {
                let text = format!("it was made for version {after}, but {newest} is the newest");
                return (409, report("stale", Some(newest), text, changes));
            }
        }
        match receiver.recv().await.unwrap_or(Outcome::Unknown) {
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

async fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: Headers,
    body: &[u8],
) -> Result<Vec<u8>, String> {
    let exchange = async {
        let limits = Limits { body: 16 << 20, ..Limits::default() };
        let mut connection = Connection::connect(address, limits).await.map_err(|e| e.to_string())?;
        let mut all_headers = Headers::default();
        all_headers.push("Host", address.to_string());
        headers.iter().for_each(|(name, value)| all_headers.push(name, value));
        connection.call(method, path, &all_headers, body).await.map_err(|e| e.to_string())
    };
    let message = violetward_net::timeout(REQUEST_TIMEOUT, exchange).await.ok_or("no answer")??;
    match message.status() {
        200 | 409 | 422 | 504 if method == "POST" => Ok(message.body),
        200 => Ok(message.body),
        _ => Err(String::from_utf8_lossy(&message.body).trim().to_owned()),
    }
}

/// Gets a resource of a gateway.
pub(crate) async fn http_get(address: SocketAddr, path: &str) -> Result<Vec<u8>, String> {
    request(address, "GET", path, Headers::default(), b"").await
}

/// Gets a gateway's status of the settings.
///
/// # Errors
/// The gateway's answer if it is not a status, or why there is none.
pub async fn fetch_status(address: SocketAddr) -> Result<SettingsStatus, String> {
    fetch_status_since(address, 0).await
}

/// Gets a gateway's status of the settings with the versions from the number `since` on only.
///
/// # Errors
/// The gateway's answer if it is not a status, or why there is none.
pub async fn fetch_status_since(address: SocketAddr, since: u64) -> Result<SettingsStatus, String> {
    let body =
        request(address, "GET", &format!("{SETTINGS_PATH}?since={since}"), Headers::default(), b"").await?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Proposes a content as the version after `after`, or with `dry_run` gets what it would change.
///
/// # Errors
/// The gateway's answer if it is not a report, or why there is none.
pub async fn propose(
    address: SocketAddr,
    content: &[u8],
    after: u64,
    dry_run: bool,
    key: &(String, String),
) -> Result<ProposalReport, String> {
    let headers = signature_headers(content, after, dry_run, key);
    let path = if dry_run { format!("{SETTINGS_PATH}?dry") } else { SETTINGS_PATH.to_owned() };
    let body = request(address, "POST", &path, headers, content).await?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Confirms that the wall clock of a gateway, which was set, is right. Returns the text of the answer.
///
/// # Errors
/// Why the gateway rejects the confirmation or does not answer.
pub async fn confirm_clock(address: SocketAddr, key: &(String, String)) -> Result<String, String> {
    let after = fetch_status_since(address, u64::MAX).await?.newest;
    let headers = signature_headers(CLOCK_STATEMENT, after, false, key);
    let body = request(address, "POST", &format!("{SETTINGS_PATH}?clock"), headers, b"").await?;
    Ok(String::from_utf8_lossy(&body).trim().to_owned())
}

/// The headers that sign an operator's request.
fn signature_headers(content: &[u8], after: u64, dry_run: bool, key: &(String, String)) -> Headers {
    let mut headers = Headers::default();
    headers.push(AFTER_HEADER, after.to_string());
    headers.push(KEY_HEADER, key.0.clone());
    let code = proposal_mac(&key.1, after, dry_run, content).finalize().into_bytes();
    let digits = code.iter().map(|b| format!("{b:02x}")).collect::<String>();
    headers.push(CODE_HEADER, digits);
    headers
}
