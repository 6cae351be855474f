//! A hierarchical timing wheel (Varghese and Lauck, 1987): setting, unsetting and firing a timer take constant time,
//! however many are set. Free of I/O and clock; time is counted in ticks.
//!
//! Five levels of 64 slots: a timer lies in the level where its deadline first differs from now, and falls to lower
//! levels as its time comes near. Entries are linked through a slab, so that unsetting leaves nothing behind.

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 5;
const NONE: u32 = u32::MAX;

/// A timer that is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    deadline: u64,
    value: Option<T>,
    generation: u32,
    slot: u16,
    next: u32,
    previous: u32,
}

/// Timers that carry a value each.
#[derive(Debug)]
pub struct TimerWheel<T> {
    now: u64,
    heads: Vec<u32>,
    /// Which slots of a level hold anything, a bit each.
    full: [u64; LEVELS],
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
    count: usize,
}

impl<T> TimerWheel<T> {
    /// A wheel whose time is `now`.
    pub fn new(now: u64) -> Self {
        let heads = vec![NONE; SLOTS * LEVELS];
        TimerWheel { now, heads, full: [0; LEVELS], entries: Vec::new(), free: Vec::new(), count: 0 }
    }

    /// Timers that are set.
    pub fn len(&self) -> usize {
        self.count
    }

    /// None is set.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Sets a timer. One that is due already fires with the next tick; one beyond the last level fires at its end and
    /// should be set again.
    pub fn schedule(&mut self, deadline: u64, value: T) -> TimerKey {
        let index = self.free.pop().unwrap_or_else(|| {
            let entry =
                Entry { deadline: 0, value: None, generation: 0, slot: 0, next: NONE, previous: NONE };
            self.entries.push(entry);
            (self.entries.len() - 1) as u32
        });
        let entry = &mut self.entries[index as usize];
        (entry.deadline, entry.value) = (deadline, Some(value));
        self.link(index);
        self.count += 1;
        TimerKey { index, generation: self.entries[index as usize].generation }
    }

    /// Changes the value of a timer that is still set.
    pub fn get_mut(&mut self, key: TimerKey) -> Option<&mut T> {
        let entry = self.entries.get_mut(key.index as usize).filter(|e| e.generation == key.generation)?;
        entry.value.as_mut()
    }

    /// Unsets a timer; its value, if it has not fired.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.index as usize)?;
        if entry.generation != key.generation || entry.value.is_none() {
            return None;
        }
        self.unlink(key.index);
        Some(self.take(key.index))
    }

    /// A tick at which something may be due, and before which nothing is. Exact within the first level, else when the
    /// next slot has to be looked at.
    pub fn next_tick(&self) -> Option<u64> {
        let mut best: Option<u64> = None;
        for level in 0..LEVELS {
            if self.full[level] == 0 {
                continue;
            }
            let shift = BITS * level as u32;
            let here = (self.now >> shift) as u32 & (SLOTS as u32 - 1);
            // Slots from the one after this on; on the first level this one is past as well.
            let ahead = self.full[level].rotate_right(here).trailing_zeros();
            let base = self.now >> shift;
            let at = (base + u64::from(ahead)) << shift;
            let at = at.max(self.now + 1);
            best = Some(best.map_or(at, |b| b.min(at)));
        }
        best
    }

    /// Lets time pass; values of timers that are due are added to `fired`.
    pub fn advance(&mut self, now: u64, fired: &mut Vec<T>) {
        while self.now < now {
            // Empty stretches are passed over.
            let Some(next) = self.next_tick().filter(|&n| n <= now) else {
                self.now = now;
                return;
            };
            self.now = next;
            for level in (1..LEVELS).rev() {
                let shift = BITS * level as u32;
                if self.now & ((1 << shift) - 1) == 0 {
                    self.fall(level, fired);
                }
            }
            let slot = (self.now & (SLOTS as u64 - 1)) as usize;
            while self.heads[slot] != NONE {
                let index = self.heads[slot];
                self.unlink(index);
                fired.push(self.take(index));
            }
        }
    }

    /// Moves what lies in the current slot of a level to lower ones, or fires it.
    fn fall(&mut self, level: usize, fired: &mut Vec<T>) {
        let here = (self.now >> (BITS * level as u32)) as usize & (SLOTS - 1);
        let slot = level * SLOTS + here;
        let mut index = std::mem::replace(&mut self.heads[slot], NONE);
        self.full[level] &= !(1 << here);
        while index != NONE {
            let next = self.entries[index as usize].next;
            if self.entries[index as usize].deadline <= self.now {
                fired.push(self.take(index));
            } else {
                self.link(index);
            }
            index = next;
        }
    }

    fn link(&mut self, index: u32) {
        let deadline = self.entries[index as usize].deadline.max(self.now + 1);
        let differ = (deadline ^ self.now) >> BITS;
        let mut level = if differ == 0 { 0 } else { ((63 - differ.leading_zeros()) / BITS + 1) as usize };
        let mut at = deadline;
        if level >= LEVELS {
            // Too far: the last slot before this one of the last level, to be looked at again then.
            level = LEVELS - 1;
            let shift = BITS * level as u32;
            at = ((self.now >> shift) + SLOTS as u64 - 1) << shift;
        }
        let here = (at >> (BITS * level as u32)) as usize & (SLOTS - 1);
        let slot = level * SLOTS + here;
        let head = self.heads[slot];
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.next, entry.previous) = (slot as u16, head, NONE);
        if head != NONE {
            self.entries[head as usize].previous = index;
        }
        self.heads[slot] = index;
        self.full[level] |= 1 << here;
    }

    fn unlink(&mut self, index: u32) {
        let entry = &self.entries[index as usize];
        let (slot, next, previous) = (usize::from(entry.slot), entry.next, entry.previous);
        if next != NONE {
            self.entries[next as usize].previous = previous;
        }
        if previous != NONE {
            self.entries[previous as usize].next = next;
        } else {
            self.heads[slot] = next;
        }
        if self.heads[slot] == NONE {
            self.full[slot / SLOTS] &= !(1 << (slot % SLOTS));
        }
    }

    fn take(&mut self, index: u32) -> T {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(index);
        self.count -= 1;
        entry.value.take().expect("a linked entry has a value")
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    #[test]
    fn it_fires_what_a_sorted_map_fires_at_the_same_ticks() {
        let mut dice = 0x9e37_79b9_7f4a_7c15u64;
        let mut draw = |n: u64| {
            dice ^= dice >> 12;
            dice ^= dice << 25;
            dice ^= dice >> 27;
            dice.wrapping_mul(0x2545_f491_4f6c_dd1d) % n
        };
        let mut wheel = TimerWheel::new(1_000_003);
        let mut plain: BTreeMap<(u64, u64), TimerKey> = BTreeMap::new();
        let mut now = 1_000_003;
        for n in 0..60_000u64 {
            let far = [10, 100, 5_000, 400_000, 20_000_000][draw(5) as usize];
            let deadline = now + draw(far);
            plain.insert((deadline.max(now + 1), n), wheel.schedule(deadline, n));
            if draw(3) == 0 {
                let at = draw(plain.len() as u64) as usize % 50;
                if let Some((&name, &key)) = plain.iter().nth(at) {
                    plain.remove(&name);
                    assert_eq!(wheel.cancel(key), Some(name.1));
                    assert_eq!(wheel.cancel(key), None);
                }
            }
            now += draw(40) * draw(2) * draw(2) * if draw(100) == 0 { 1_000 } else { 1 };
            let mut fired = Vec::new();
            wheel.advance(now, &mut fired);
            fired.sort_unstable();
            let later = plain.split_off(&(now + 1, 0));
            let mut due: Vec<u64> = plain.into_keys().map(|k| k.1).collect();
            due.sort_unstable();
            plain = later;
            assert_eq!(fired, due, "at {now}");
            assert_eq!(wheel.len(), plain.len());
            if let Some((first, _)) = plain.keys().next() {
                let next = wheel.next_tick().expect("something is set");
                assert!(next > now && next <= *first, "{next} is after {first}");
            }
        }
    }

    #[test]
    fn what_is_unset_leaves_nothing_behind() {
        let mut wheel = TimerWheel::new(0);
        for _ in 0..10_000 {
            let key = wheel.schedule(120_000, ());
            wheel.cancel(key);
        }
        assert_eq!((wheel.entries.len(), wheel.next_tick()), (1, None));
    }
}
