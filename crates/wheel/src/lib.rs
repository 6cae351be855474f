//! A hierarchical timing wheel (Varghese and Lauck, 1987). Scheduling, cancelling and firing a timer take
//! constant time, independent of the number of pending timers. Does no I/O and reads no clock: the caller
//! supplies the time in ticks.
//!
//! The wheel has five levels of 64 slots. A slot of level `n` spans 64^n ticks. A timer is stored on the
//! level of the highest 6-bit group in which its deadline differs from the current tick, and moves to lower
//! levels as the deadline approaches. The timers of a slot form a doubly linked list of slab entries, so a
//! cancelled timer frees its entry at once.

/// Bits of a tick that select the slot on one level.
const SLOT_BITS: u32 = 6;
const SLOTS_PER_LEVEL: usize = 1 << SLOT_BITS;
const LEVELS: usize = 5;
/// Marks the end of a linked list.
const NO_ENTRY: u32 = u32::MAX;

/// Identifies a scheduled timer. A key becomes invalid when its timer fires or is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    deadline: u64,
    /// `None` while the entry is free.
    value: Option<T>,
    /// Incremented when the entry is freed, so that old keys do not match its next timer.
    generation: u32,
    /// Index into [`TimerWheel::heads`].
    slot: u16,
    next: u32,
    previous: u32,
}

/// A set of pending timers, each of which carries a value.
#[derive(Debug)]
pub struct TimerWheel<T> {
    /// The current tick.
    now: u64,
    /// Per slot, level by level: the first entry of its list.
    heads: Vec<u32>,
    /// Per level: a bit mask of the slots that are not empty.
    occupied: [u64; LEVELS],
    entries: Vec<Entry<T>>,
    /// Indexes of unused entries.
    free: Vec<u32>,
    /// Number of pending timers.
    pending: usize,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel whose current tick is `now`.
    pub fn new(now: u64) -> Self {
        let heads = vec![NO_ENTRY; SLOTS_PER_LEVEL * LEVELS];
        TimerWheel { now, heads, occupied: [0; LEVELS], entries: Vec::new(), free: Vec::new(), pending: 0 }
    }

    /// Returns the number of pending timers.
    pub fn len(&self) -> usize {
        self.pending
    }

    /// Returns whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending == 0
    }

    /// Schedules a timer. A deadline that has already passed fires on the next tick. A deadline beyond the
    /// range of the wheel is kept on the last level and re-examined each time its slot comes up, until it is
    /// due.
    pub fn schedule(&mut self, deadline: u64, value: T) -> TimerKey {
        let index = self.free.pop().unwrap_or_else(|| {
            let entry = Entry {
                deadline: 0,
                value: None,
                generation: 0,
                slot: 0,
                next: NO_ENTRY,
                previous: NO_ENTRY,
            };
            self.entries.push(entry);
            (self.entries.len() - 1) as u32
        });
        let entry = &mut self.entries[index as usize];
        (entry.deadline, entry.value) = (deadline, Some(value));
        self.link(index);
        self.pending += 1;
        TimerKey { index, generation: self.entries[index as usize].generation }
    }

    /// Returns the value of a timer that is still pending.
    pub fn get_mut(&mut self, key: TimerKey) -> Option<&mut T> {
        let entry = self.entries.get_mut(key.index as usize).filter(|e| e.generation == key.generation)?;
        entry.value.as_mut()
    }

    /// Cancels a timer. Returns its value, or `None` if the timer has already fired or been cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.index as usize)?;
        if entry.generation != key.generation || entry.value.is_none() {
            return None;
        }
        self.unlink(key.index);
        Some(self.free_entry(key.index))
    }

    /// Returns a tick before which no timer is due. On the first level it is the exact deadline of the next
    /// timer; on higher levels it is the tick at which the next occupied slot must be redistributed to lower
    /// levels.
    pub fn next_tick(&self) -> Option<u64> {
        let mut earliest: Option<u64> = None;
        for level in 0..LEVELS {
            if self.occupied[level] == 0 {
                continue;
            }
            let shift = SLOT_BITS * level as u32;
            let slot_number = self.now >> shift;
            let current_slot = slot_number as u32 & (SLOTS_PER_LEVEL as u32 - 1);
            // The rotation moves the current slot to bit 0, so the lowest set bit is the distance to the next
            // occupied slot.
            let distance = self.occupied[level].rotate_right(current_slot).trailing_zeros();
            let tick = (slot_number + u64::from(distance)) << shift;
            let tick = tick.max(self.now + 1);
            earliest = Some(earliest.map_or(tick, |other| other.min(tick)));
        }
        earliest
    }

    /// Advances the current tick to `now` and appends the values of all timers that are due to `fired`.
    pub fn advance(&mut self, now: u64, fired: &mut Vec<T>) {
        while self.now < now {
            // Skips ranges without timers.
            let Some(next) = self.next_tick().filter(|&n| n <= now) else {
                self.now = now;
                return;
            };
            self.now = next;
            for level in (1..LEVELS).rev() {
                let shift = SLOT_BITS * level as u32;
                if self.now & ((1 << shift) - 1) == 0 {
                    self.cascade(level, fired);
                }
            }
            let slot = (self.now & (SLOTS_PER_LEVEL as u64 - 1)) as usize;
            while self.heads[slot] != NO_ENTRY {
                let index = self.heads[slot];
                self.unlink(index);
                fired.push(self.free_entry(index));
            }
        }
    }

    /// Moves the timers of the current slot of `level` to lower levels. Timers that are due fire.
    fn cascade(&mut self, level: usize, fired: &mut Vec<T>) {
        let slot_in_level = (self.now >> (SLOT_BITS * level as u32)) as usize & (SLOTS_PER_LEVEL - 1);
        let slot = level * SLOTS_PER_LEVEL + slot_in_level;
        let mut index = std::mem::replace(&mut self.heads[slot], NO_ENTRY);
        self.occupied[level] &= !(1 << slot_in_level);
        while index != NO_ENTRY {
            let next = self.entries[index as usize].next;
            if self.entries[index as usize].deadline <= self.now {
                fired.push(self.free_entry(index));
            } else {
                self.link(index);
            }
            index = next;
        }
    }

    /// Inserts an entry into the slot of its deadline.
    fn link(&mut self, index: u32) {
        let deadline = self.entries[index as usize].deadline.max(self.now + 1);
        let differing_bits = (deadline ^ self.now) >> SLOT_BITS;
        let mut level = match differing_bits {
            0 => 0,
            bits => ((63 - bits.leading_zeros()) / SLOT_BITS + 1) as usize,
        };
        let mut tick = deadline;
        if level >= LEVELS {
            // Beyond the range of the wheel: uses the slot of the last level that comes up latest.
            level = LEVELS - 1;
            let shift = SLOT_BITS * level as u32;
            tick = ((self.now >> shift) + SLOTS_PER_LEVEL as u64 - 1) << shift;
        }
        let slot_in_level = (tick >> (SLOT_BITS * level as u32)) as usize & (SLOTS_PER_LEVEL - 1);
        let slot = level * SLOTS_PER_LEVEL + slot_in_level;
        let head = self.heads[slot];
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.next, entry.previous) = (slot as u16, head, NO_ENTRY);
        if head != NO_ENTRY {
            self.entries[head as usize].previous = index;
        }
        self.heads[slot] = index;
        self.occupied[level] |= 1 << slot_in_level;
    }

    /// Removes an entry from the list of its slot.
    fn unlink(&mut self, index: u32) {
        let entry = &self.entries[index as usize];
        let (slot, next, previous) = (usize::from(entry.slot), entry.next, entry.previous);
        if next != NO_ENTRY {
            self.entries[next as usize].previous = previous;
        }
        if previous != NO_ENTRY {
            self.entries[previous as usize].next = next;
        } else {
            self.heads[slot] = next;
        }
        if self.heads[slot] == NO_ENTRY {
            self.occupied[slot / SLOTS_PER_LEVEL] &= !(1 << (slot % SLOTS_PER_LEVEL));
        }
    }

    /// Returns an unlinked entry to the free list and its value to the caller.
    fn free_entry(&mut self, index: u32) -> T {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(index);
        self.pending -= 1;
        entry.value.take().expect("a pending entry has a value")
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    #[test]
    fn timers_fire_at_the_same_ticks_as_in_a_sorted_map() {
        let mut random_state = 0x9e37_79b9_7f4a_7c15u64;
        let mut random_below = |bound: u64| {
            random_state ^= random_state >> 12;
            random_state ^= random_state << 25;
            random_state ^= random_state >> 27;
            random_state.wrapping_mul(0x2545_f491_4f6c_dd1d) % bound
        };
        let mut wheel = TimerWheel::new(1_000_003);
        let mut expected: BTreeMap<(u64, u64), TimerKey> = BTreeMap::new();
        let mut now = 1_000_003;
        for id in 0..60_000u64 {
            let max_delay = [10, 100, 5_000, 400_000, 20_000_000][random_below(5) as usize];
            let deadline = now + random_below(max_delay);
            expected.insert((deadline.max(now + 1), id), wheel.schedule(deadline, id));
            if random_below(3) == 0 {
                let position = random_below(expected.len() as u64) as usize % 50;
                if let Some((&entry, &key)) = expected.iter().nth(position) {
                    expected.remove(&entry);
                    assert_eq!(wheel.cancel(key), Some(entry.1));
                    assert_eq!(wheel.cancel(key), None);
                }
            }
            now += random_below(40)
                * random_below(2)
                * random_below(2)
                * if random_below(100) == 0 { 1_000 } else { 1 };
            let mut fired = Vec::new();
            wheel.advance(now, &mut fired);
            fired.sort_unstable();
            let pending = expected.split_off(&(now + 1, 0));
            let mut due: Vec<u64> = expected.into_keys().map(|(_, id)| id).collect();
            due.sort_unstable();
            expected = pending;
            assert_eq!(fired, due, "at tick {now}");
            assert_eq!(wheel.len(), expected.len());
            if let Some(((first_deadline, _), _)) = expected.first_key_value() {
                let next = wheel.next_tick().expect("a timer is pending");
                assert!(next > now && next <= *first_deadline, "next tick {next} is after {first_deadline}");
            }
        }
    }

    #[test]
    fn a_cancelled_timer_frees_its_entry() {
        let mut wheel = TimerWheel::new(0);
        for _ in 0..10_000 {
            let key = wheel.schedule(120_000, ());
            wheel.cancel(key);
        }
        assert_eq!((wheel.entries.len(), wheel.next_tick()), (1, None));
    }
}
