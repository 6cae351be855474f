//! The file of a voter's votes: creates, replaces, reads and writes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::PoisonError;
use std::time::Duration;

use violetward_agreement::wire::{self, VoteFileError};
use violetward_agreement::DurableState;
use violetward_store::file::AtomicFiles;
use violetward_store::medium::Directory;
use violetward_store::StoreError;

use super::operators::fetch_status_since;
use super::SettingsAgreement;
use crate::config::AgreementTerms;

/// Name of the file of votes.
const VOTE_FILE: &str = "agreement.kept";
/// Name under which an unusable file of votes is set aside.
const SET_ASIDE_FILE: &str = "agreement.spoilt";
/// Name of the file that the process using the folder holds locked.
const LOCK_FILE: &str = "agreement.lock";
/// Maximum size of a file that is read: twice the maximum size of the stored versions.
const MAX_FILE_BYTES: usize = 2 * violetward_agreement::MAX_VERSIONS * wire::MAX_CONTENT_BYTES;
/// Time between two attempts to write the file.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Opens the folder and locks it for this process.
pub(super) fn open_folder(terms: &AgreementTerms) -> Result<AtomicFiles<Directory>, StoreError> {
    AtomicFiles::open(Directory::new(&terms.folder, LOCK_FILE)?)
}

/// The message that a voter's folder cannot be used.
pub(super) fn unusable(terms: &AgreementTerms, why: StoreError) -> String {
    format!("{}: {why}", terms.folder.display())
}

/// Creates the file of a voter that has never voted.
///
/// # Errors
/// If the file exists already or cannot be written.
pub fn init_votes(terms: &AgreementTerms) -> Result<PathBuf, String> {
    let file = terms.folder.join(VOTE_FILE);
    if file.exists() {
        return Err(format!("{} exists already and holds this gateway's votes", file.display()));
    }
    let bytes = wire::encode_vote_file(&DurableState::default(), terms.fingerprint(), 0);
    open_folder(terms)
        .and_then(|mut folder| folder.replace(VOTE_FILE, &bytes))
        .map_err(|e| unusable(terms, e))?;
    Ok(file)
}

/// Creates a new file for a voter that has lost its own. The voter abstains through the versions on which
/// it may have voted before, according to a quorum of the other voters.
///
/// # Errors
/// If too few of them answer, the existing file is usable, or the new one cannot be written.
pub async fn replace_votes(terms: &AgreementTerms, others: &[SocketAddr]) -> Result<PathBuf, String> {
    let file = terms.folder.join(VOTE_FILE);
    let mut folder = open_folder(terms).map_err(|e| unusable(terms, e))?;
    if read_votes(&mut folder, terms).is_ok() {
        return Err(format!("{} is usable and holds this gateway's votes", file.display()));
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
        return Err(format!("{} other voters answered; at least {quorum} are needed", newest.len()));
    }
    let newest: Vec<u64> = newest.into_values().collect();
    let kept = DurableState {
        abstain_through: violetward_agreement::abstain_through(&newest),
        ..DurableState::default()
    };
    // Greater than any count of writes of the earlier file, which the other voters remember.
    let writes = violetward_net::Clock::new().now();
    let set_aside = if file.exists() { folder.set_aside(VOTE_FILE, SET_ASIDE_FILE) } else { Ok(()) };
    set_aside
        .and_then(|()| folder.replace(VOTE_FILE, &wire::encode_vote_file(&kept, terms.fingerprint(), writes)))
        .map_err(|e| unusable(terms, e))?;
    Ok(file)
}

/// Reads the stored votes and the count of writes.
///
/// # Errors
/// Why this gateway must not vote.
pub(super) fn read_votes(
    folder: &mut AtomicFiles<Directory>,
    terms: &AgreementTerms,
) -> Result<(DurableState, u64), String> {
    let file = terms.folder.join(VOTE_FILE);
    let shown = file.display();
    let bytes =
        folder.read(VOTE_FILE, MAX_FILE_BYTES).map_err(|e| format!("{shown}: {e}"))?.ok_or_else(|| {
            format!(
                "{shown} is not there. A voter that was never started needs `violetward settings init`; \
             one that lost its file, `violetward settings replace`"
            )
        })?;
    wire::decode_vote_file(&bytes, terms.fingerprint())
        .map_err(|why: VoteFileError| format!("{shown}: {why}"))
}

impl SettingsAgreement {
    /// Writes the votes on a separate thread, so that a stalled disk does not delay statements. Repeats
    /// until it succeeds.
    pub(super) async fn write_votes(&self, bytes: Vec<u8>) {
        // A gateway that does not vote has nothing to write. An unusable file must not be overwritten, or
        // the fault would be hidden.
        let Some(folder) = self.folder.clone().filter(|_| !self.file_frozen.get()) else { return };
        loop {
            let (sender, receiver) = async_channel::bounded(1);
            let (folder, copy) = (folder.clone(), bytes.clone());
            let thread = std::thread::Builder::new().name("keep".into());
            let spawned = thread.spawn(move || {
                let mut folder = folder.lock().unwrap_or_else(PoisonError::into_inner);
                drop(sender.try_send(folder.replace(VOTE_FILE, &copy)));
            });
            let result = match spawned {
                Ok(_) => {
                    receiver.recv().await.unwrap_or_else(|_| Err(std::io::Error::other("no end").into()))
                }
                Err(e) => Err(e.into()),
            };
            match result {
                Ok(()) => {
                    *self.trouble.borrow_mut() = None;
                    return;
                }
                Err(e) => {
                    let file = self.terms.folder.join(VOTE_FILE);
                    tracing::error!(
                        "{}: {e}; this gateway does not vote until the file is written",
                        file.display()
                    );
                    *self.trouble.borrow_mut() = Some(e.to_string());
                    violetward_net::sleep(WRITE_RETRY_INTERVAL).await;
                }
            }
        }
    }
}
