//! An index from random 64-bit numbers to 32-bit places: open addressing with linear probing, and deletion by shifting back, so
//! that nothing is left behind. The numbers are random already and are not hashed again; twelve bytes an entry.

const FREE: u32 = u32::MAX;

/// The index.
#[derive(Debug, Clone)]
pub struct Index {
    numbers: Vec<u64>,
    places: Vec<u32>,
    count: usize,
}

impl Default for Index {
    fn default() -> Self {
        Index { numbers: vec![0; 16], places: vec![FREE; 16], count: 0 }
    }
}

impl Index {
    /// Entries.
    pub fn len(&self) -> usize {
        self.count
    }

    /// It holds none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.numbers.capacity() * 8 + self.places.capacity() * 4
    }

    fn mask(&self) -> usize {
        self.numbers.len() - 1
    }

    /// Where a number is, or the free slot at which it would be.
    fn slot(&self, number: u64) -> usize {
        let mut at = number as usize & self.mask();
        while self.places[at] != FREE && self.numbers[at] != number {
            at = (at + 1) & self.mask();
        }
        at
    }

    /// The place of a number.
    pub fn get(&self, number: u64) -> Option<u32> {
        let place = self.places[self.slot(number)];
        (place != FREE).then_some(place)
    }

    /// Sets the place of a number, which must not be `u32::MAX`.
    pub fn insert(&mut self, number: u64, place: u32) {
        debug_assert!(place != FREE, "the mark of a free slot");
        if (self.count + 1) * 4 > self.numbers.len() * 3 {
            self.grow();
        }
        let at = self.slot(number);
        self.count += usize::from(self.places[at] == FREE);
        (self.numbers[at], self.places[at]) = (number, place);
    }

    /// Takes a number out.
    pub fn remove(&mut self, number: u64) -> Option<u32> {
        let mut hole = self.slot(number);
        let removed = self.places[hole];
        if removed == FREE {
            return None;
        }
        self.count -= 1;
        let mut at = hole;
        loop {
            at = (at + 1) & self.mask();
            if self.places[at] == FREE {
                break;
            }
            // An entry may move into the hole if that lies between its home and here.
            let home = self.numbers[at] as usize & self.mask();
            let (from_home, from_hole) = (at.wrapping_sub(home), at.wrapping_sub(hole));
            if from_home & self.mask() >= from_hole & self.mask() {
                (self.numbers[hole], self.places[hole]) = (self.numbers[at], self.places[at]);
                hole = at;
            }
        }
        self.places[hole] = FREE;
        Some(removed)
    }

    fn grow(&mut self) {
        let size = self.numbers.len() * 2;
        let numbers = std::mem::replace(&mut self.numbers, vec![0; size]);
        let places = std::mem::replace(&mut self.places, vec![FREE; size]);
        for (number, place) in numbers.into_iter().zip(places).filter(|(_, place)| *place != FREE) {
            let at = self.slot(number);
            (self.numbers[at], self.places[at]) = (number, place);
        }
    }
}
