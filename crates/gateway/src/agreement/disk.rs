//! A voter's disk: the file of its votes, made, replaced, read and written.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::PoisonError;
use std::time::Duration;

use violetward_agreement::wire::{self, Spoilt};
use violetward_agreement::Kept;
use violetward_store::file::AtomicFiles;
use violetward_store::medium::Directory;
use violetward_store::StoreError;

use super::asking::fetch_status_since;
use super::SettingsAgreement;
use crate::config::AgreementTerms;

/// The file of what is kept, the one that it becomes when it cannot be used, and the one that a process holds locked.
const KEPT: &str = "agreement.kept";
const ASIDE: &str = "agreement.spoilt";
const LOCK: &str = "agreement.lock";
/// Octets of the longest file that is read: twice what the versions that are kept can come to.
const LONGEST: usize = 2 * violetward_agreement::KEPT * wire::CONTENT;
/// Between two tries to write what a disk did not take.
const WRITE_AGAIN: Duration = Duration::from_secs(1);

/// Takes the folder for this process alone.
pub(super) fn open(terms: &AgreementTerms) -> Result<AtomicFiles<Directory>, StoreError> {
    AtomicFiles::open(Directory::new(&terms.folder, LOCK)?)
}

/// What keeps a folder's file from being used.
pub(super) fn unusable(terms: &AgreementTerms, why: StoreError) -> String {
    format!("{}: {why}", terms.folder.display())
}

/// Makes the file of a voter that has never voted.
///
/// # Errors
/// If there is one already, or it cannot be written.
pub fn init_votes(terms: &AgreementTerms) -> Result<PathBuf, String> {
    let file = terms.folder.join(KEPT);
    if file.exists() {
        return Err(format!("{} is there already; it holds this gateway's votes", file.display()));
    }
    let bytes = wire::keep(&Kept::default(), terms.fingerprint(), 0);
    open(terms).and_then(|mut folder| folder.replace(KEPT, &bytes)).map_err(|e| unusable(terms, e))?;
    Ok(file)
}

/// Makes a new file for a voter that has lost its own, from what a quorum of the other voters say: it votes again from the
/// version on on which it cannot have voted.
///
/// # Errors
/// If too few of them answer, there is a file that can be used, or the new one cannot be written.
pub async fn replace_votes(terms: &AgreementTerms, others: &[SocketAddr]) -> Result<PathBuf, String> {
    let file = terms.folder.join(KEPT);
    let mut folder = open(terms).map_err(|e| unusable(terms, e))?;
    if read(&mut folder, terms).is_ok() {
        return Err(format!("{} is good; it holds this gateway's votes", file.display()));
    }
    let mut newest: BTreeMap<String, u64> = BTreeMap::new();
    for &address in others {
        let standing =
            fetch_status_since(address, u64::MAX).await.map_err(|why| format!("{address}: {why}"))?;
        if standing.votes && standing.voters == terms.voters && standing.name != terms.name {
            newest.insert(standing.name, standing.newest);
        }
    }
    let quorum = terms.voters.len() / 2 + 1;
    if newest.len() < quorum {
        return Err(format!("{} other voters answer; at least {quorum} have to", newest.len()));
    }
    let newest: Vec<u64> = newest.into_values().collect();
    let kept = Kept { abstain: violetward_agreement::abstain_through(&newest), ..Kept::default() };
    // Greater than any count of its earlier file, which the others remember.
    let writes = violetward_net::Clock::new().now();
    let aside = if file.exists() { folder.set_aside(KEPT, ASIDE) } else { Ok(()) };
    aside
        .and_then(|()| folder.replace(KEPT, &wire::keep(&kept, terms.fingerprint(), writes)))
        .map_err(|e| unusable(terms, e))?;
    Ok(file)
}

/// Reads what was kept; what keeps this one from voting, if something does.
pub(super) fn read(
    folder: &mut AtomicFiles<Directory>,
    terms: &AgreementTerms,
) -> Result<(Kept, u64), String> {
    let file = terms.folder.join(KEPT);
    let shown = file.display();
    let bytes = folder.read(KEPT, LONGEST).map_err(|e| format!("{shown}: {e}"))?.ok_or_else(|| {
        format!("{shown} is not there. A voter that was never started needs `violetward settings init`; one that lost its file, `violetward settings replace`")
    })?;
    wire::kept(&bytes, terms.fingerprint()).map_err(|why: Spoilt| format!("{shown}: {why}"))
}

impl SettingsAgreement {
    /// Writes what is kept, on a thread of its own: a disk that stalls must not hold up statements. Goes on until it is done.
    pub(super) async fn keep(&self, bytes: Vec<u8>) {
        // A gateway that does not vote has nothing to keep, and one whose file is spoilt must not hide that.
        let Some(folder) = self.folder.clone().filter(|_| !self.stays.get()) else { return };
        loop {
            let (done, wait) = async_channel::bounded(1);
            let (folder, copy) = (folder.clone(), bytes.clone());
            let thread = std::thread::Builder::new().name("keep".into());
            let begun = thread.spawn(move || {
                let mut folder = folder.lock().unwrap_or_else(PoisonError::into_inner);
                drop(done.try_send(folder.replace(KEPT, &copy)));
            });
            let result = match begun {
                Ok(_) => wait.recv().await.unwrap_or_else(|_| Err(std::io::Error::other("no end").into())),
                Err(e) => Err(e.into()),
            };
            match result {
                Ok(()) => {
                    *self.trouble.borrow_mut() = None;
                    return;
                }
                Err(e) => {
                    let file = self.terms.folder.join(KEPT);
                    tracing::error!("{}: {e}; nothing is voted on meanwhile", file.display());
                    *self.trouble.borrow_mut() = Some(e.to_string());
                    violetward_net::sleep(WRITE_AGAIN).await;
                }
            }
        }
    }
}
