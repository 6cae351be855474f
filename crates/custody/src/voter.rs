//! A voter: it grants leases, fences participants, and stores its fences before it tells them.
//!
//! What a voter tells as still running of a lease is never less, by any allowed clock, than what the holder
//! still counts.

use std::collections::{BTreeMap, BTreeSet};

use crate::lease::LeaseTimes;
use crate::wire::stored_marks::{decode_marks, encode_marks, Fence, StoredMarksError};
use crate::wire::{FenceMark, Participant};
use crate::{Incarnation, InjectedFault, Micros};

/// Grants, fences and waiting replies that a voter holds at once; further ones are not given.
const MAX_REMEMBERED: usize = 4_096;
/// A term that has held no lease for so long ends by itself; fences older than that may be dropped.
pub(crate) const TERM_ENDS_ALONE_AFTER: Micros = 3_600_000_000;

struct Grant {
    incarnation_number: u64,
    term: u32,
    until: Micros,
}

/// What a voter answers to a request for a lease.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LeaseAnswer {
    Granted,
    /// The terms of that incarnation are fenced through this one.
    Fenced(u32),
    Silence,
}

struct FenceState {
    through_term: u32,
    since: Micros,
}

/// Fences that one write stores, and who is told of which once it is complete.
#[derive(Default)]
struct PendingWrite {
    fenced: BTreeSet<Incarnation>,
    replies: Vec<(String, Participant)>,
}

/// The voter of one process.
pub(crate) struct Voter {
    times: LeaseTimes,
    /// By name of gateway.
    grants: BTreeMap<String, Grant>,
    fences: BTreeMap<Incarnation, FenceState>,
    /// Nothing is granted before: grants of before the start may still run.
    silent_until: Micros,
    /// Something is stored.
    has_stored: bool,
    /// A write is under way.
    is_writing: bool,
    /// The first write of all is due, whatever is fenced.
    first_write_due: bool,
    current_write: PendingWrite,
    next_write: PendingWrite,
    /// Nothing was stored before: it learns first what the other voters have.
    recovery: Option<Recovery>,
}

/// The state of a voter that has stored nothing: it starts for the first time, or has lost its disk, and with
/// it fences that still count.
struct Recovery {
    voters: usize,
    /// Other voters that have stored nothing either.
    empty_voters: BTreeSet<String>,
    /// Other voters that have told their fences, asked after the startup silence.
    answered_voters: BTreeSet<String>,
}

impl Recovery {
    fn new(voters: usize) -> Recovery {
        Recovery { voters, empty_voters: BTreeSet::new(), answered_voters: BTreeSet::new() }
    }

    /// No voter has stored anything: the fleet starts for the first time.
    fn is_first_start(&self) -> bool {
        self.empty_voters.len() == self.voters - 1
    }

    /// Every quorum with this voter in it has one voter that has told its fences, or all others have
    /// answered.
    fn is_complete(&self) -> bool {
        let quorum = self.voters / 2 + 1;
        let known = self.answered_voters.union(&self.empty_voters).count();
        let all_answered = known == self.voters - 1 && !self.answered_voters.is_empty();
        self.is_first_start() || all_answered || self.answered_voters.len() > self.voters - quorum
    }
}

impl Voter {
    /// A voter that starts, with what it had stored: `None` if that is nothing.
    pub fn new(
        times: LeaseTimes,
        stored: Option<&[u8]>,
        now: Micros,
        voters: usize,
        fault: InjectedFault,
    ) -> Result<Voter, StoredMarksError> {
        let fences = stored.map_or(Ok(Vec::new()), |bytes| decode_marks(bytes, MAX_REMEMBERED))?;
        let fences = if fault == InjectedFault::MarksNotStored { Vec::new() } else { fences };
        let recovers = stored.is_none() && voters > 1 && fault != InjectedFault::VotesWithoutMarks;
        let silent = fault != InjectedFault::NoStartupSilence && (stored.is_some() || recovers);
        let state =
            |fence: Fence| (fence.incarnation, FenceState { through_term: fence.through_term, since: now });
        Ok(Voter {
            times,
            grants: BTreeMap::new(),
            fences: fences.into_iter().map(state).collect(),
            silent_until: if silent { now + times.wait_for_other_clock(times.lease) } else { 0 },
            has_stored: stored.is_some(),
            is_writing: false,
            // Stored before the first grant, so that the next start is known to be none of a new fleet.
            first_write_due: stored.is_none(),
            current_write: PendingWrite::default(),
            next_write: PendingWrite::default(),
            recovery: recovers.then(|| Recovery::new(voters)),
        })
    }

    /// Whether this voter has to learn the other voters' fences before it takes part.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// The fences for a voter that has none stored, in the format of the file; empty while this one recovers
    /// too.
    pub fn marks_for_recovery(&self) -> Vec<u8> {
        if self.is_recovering() {
            return Vec::new();
        }
        self.encoded_fences()
    }

    fn encoded_fences(&self) -> Vec<u8> {
        let fence = |(incarnation, state): (&Incarnation, &FenceState)| Fence {
            incarnation: incarnation.clone(),
            through_term: state.through_term,
        };
        let fences: Vec<Fence> = self.fences.iter().map(fence).collect();
        encode_marks(&fences)
    }

    /// Another voter has answered the query made at a time with its marks; empty if it has stored nothing.
    ///
    /// Only answers to queries after the startup silence count: by then each quorum that counts a fence of
    /// this voter from before its loss is whole.
    pub fn learn_marks(&mut self, now: Micros, from: &str, asked_at: Micros, marks: &[u8]) {
        let Some(recovery) = &mut self.recovery else { return };
        if marks.is_empty() {
            recovery.empty_voters.insert(from.to_owned());
        } else if asked_at >= self.silent_until {
            let Ok(fences) = decode_marks(marks, MAX_REMEMBERED) else { return };
            recovery.answered_voters.insert(from.to_owned());
            for Fence { incarnation, through_term } in fences {
                let state = FenceState { through_term, since: now };
                let known = self.fences.entry(incarnation).or_insert(state);
                known.through_term = known.through_term.max(through_term);
            }
        }
        if recovery.is_complete() {
            if recovery.is_first_start() {
                self.silent_until = 0;
            }
            self.recovery = None;
        }
    }

    /// A participant asks for a lease.
    pub fn request_lease(&mut self, now: Micros, who: &Participant) -> LeaseAnswer {
        let fence = self.fences.get(&who.incarnation);
        if let Some(fence) = fence.filter(|fence| fence.through_term >= who.term) {
            return LeaseAnswer::Fenced(fence.through_term);
        }
        if !self.has_stored || self.is_recovering() || now < self.silent_until {
            return LeaseAnswer::Silence;
        }
        let Participant { incarnation: Incarnation { name, number: incarnation_number }, term } = who;
        let new = Grant {
            incarnation_number: *incarnation_number,
            term: *term,
            until: now + self.times.voter_span(),
        };
        let Some(grant) = self.grants.get_mut(name) else {
            if !self.has_room_for_grant(now) {
                return LeaseAnswer::Silence;
            }
            self.grants.insert(name.clone(), new);
            return LeaseAnswer::Granted;
        };
        // A later term proves the earlier one over; of another incarnation only time does.
        let runs =
            grant.until > now && (grant.incarnation_number != *incarnation_number || grant.term > *term);
        if runs || (grant.incarnation_number == *incarnation_number && grant.term > *term) {
            return LeaseAnswer::Silence;
        }
        let before = std::mem::replace(grant, new);
        if before.incarnation_number != *incarnation_number {
            let incarnation = Incarnation { name: name.clone(), number: before.incarnation_number };
            self.add_fence(now, &Participant { incarnation, term: before.term });
        }
        LeaseAnswer::Granted
    }

    fn has_room_for_grant(&mut self, now: Micros) -> bool {
        if self.grants.len() >= MAX_REMEMBERED {
            self.grants.retain(|_, grant| grant.until > now);
        }
        self.grants.len() < MAX_REMEMBERED
    }

    /// Fences a participant, to be stored with the next write. Returns whether there was room for it.
    fn add_fence(&mut self, now: Micros, who: &Participant) -> bool {
        let known = self.fences.get(&who.incarnation);
        if known.is_some_and(|fence| fence.through_term >= who.term) {
            return true;
        }
        if known.is_none() && self.fences.len() >= MAX_REMEMBERED {
            self.drop_old_fences(now);
            if self.fences.len() >= MAX_REMEMBERED {
                return false;
            }
        }
        let fence = FenceState { through_term: who.term, since: now };
        self.fences.insert(who.incarnation.clone(), fence);
        self.next_write.fenced.insert(who.incarnation.clone());
        true
    }

    fn drop_old_fences(&mut self, now: Micros) {
        let needed = TERM_ENDS_ALONE_AFTER + 2 * self.times.lease;
        let span = self.times.wait_for_other_clock(self.times.wait_for_other_clock(needed));
        self.fences.retain(|_, fence| now < fence.since + span);
    }

    /// A gateway wants participants fenced: returns those whose fences are stored already; for the others the reply comes from
    /// [`Voter::write_completed`].
    pub fn fence(&mut self, now: Micros, from: &str, who: Vec<Participant>) -> Vec<FenceMark> {
        let mut marks = Vec::new();
        if self.is_recovering() {
            return marks;
        }
        for participant in who {
            if !self.add_fence(now, &participant) {
                continue;
            }
            match self.unfinished_write_of(&participant.incarnation) {
                None => marks.push(self.fence_mark(now, participant)),
                Some(write) if write.replies.len() < MAX_REMEMBERED => {
                    write.replies.push((from.to_owned(), participant));
                }
                Some(_) => {}
            }
        }
        marks
    }

    /// The last write that has to complete before the fence of an incarnation is stored.
    fn unfinished_write_of(&mut self, incarnation: &Incarnation) -> Option<&mut PendingWrite> {
        let writes = [&mut self.next_write, &mut self.current_write];
        writes.into_iter().find(|write| write.fenced.contains(incarnation))
    }

    fn fence_mark(&self, now: Micros, participant: Participant) -> FenceMark {
        let Participant { incarnation, term } = &participant;
        let grant = self.grants.get(&incarnation.name);
        let grant =
            grant.filter(|grant| grant.incarnation_number == incarnation.number && grant.term <= *term);
        let until = grant.map_or(0, |grant| grant.until).max(self.silent_until);
        FenceMark { participant, remaining: until.saturating_sub(now) }
    }

    /// The bytes that are to be stored now, if any; [`Voter::write_completed`] follows.
    pub fn begin_write(&mut self) -> Option<Vec<u8>> {
        let nothing_new = self.next_write.fenced.is_empty() && !self.first_write_due;
        if self.is_recovering() || self.is_writing || nothing_new {
            return None;
        }
        self.is_writing = true;
        self.first_write_due = false;
        self.current_write = std::mem::take(&mut self.next_write);
        Some(self.encoded_fences())
    }

    /// The bytes are stored: returns which gateway is told of which fence.
    pub fn write_completed(&mut self, now: Micros) -> Vec<(String, FenceMark)> {
        self.is_writing = false;
        self.has_stored = true;
        let PendingWrite { replies, .. } = std::mem::take(&mut self.current_write);
        replies.into_iter().map(|(to, participant)| (to, self.fence_mark(now, participant))).collect()
    }
}
