//! A transport that signs nothing, with one fault. Without a fault it breaks only what needs signatures.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use violetward_contracts::transport::Ground;
use violetward_transport::sim::Interceptor;
use violetward_transport::{
    Messages, Records, SendError, MAX_MESSAGE_BYTES, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES, MAX_RECORD_BYTES,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Alters,
    WrongSender,
    TakesTooLong,
    Loses,
    Misleads,
    Unbounded,
    Blocks,
    LetsGoNewest,
    Doubles,
    Reorders,
    EndUntold,
}

type Shared<T> = Rc<RefCell<T>>;

/// All that is under way.
#[derive(Default)]
struct Air {
    boxes: [VecDeque<(String, Vec<u8>)>; 3],
    meddler: Option<Interceptor>,
    /// Octets under way on each stream, by direction, not read yet; and streams of which one end is gone.
    pipes: Vec<[VecDeque<u8>; 2]>,
    closed: Vec<bool>,
    count: usize,
}

pub struct Plain {
    fault: Fault,
    air: Shared<Air>,
    posts: Vec<PlainPost>,
}

impl Plain {
    pub fn new(fault: Fault) -> Plain {
        let air = Shared::<Air>::default();
        let posts = (0..3).map(|me| PlainPost { me, fault, air: air.clone() }).collect();
        Plain { fault, air, posts }
    }
}

impl Ground for Plain {
    type Post = PlainPost;
    type Stream = PlainStream;

    fn post(&mut self, n: usize) -> &mut PlainPost {
        &mut self.posts[n]
    }

    fn connect(&mut self, from: usize, to: usize) -> Result<(PlainStream, PlainStream), SendError> {
        let mut air = self.air.borrow_mut();
        air.pipes.push(Default::default());
        air.closed.push(false);
        let wrong = usize::from(self.fault == Fault::WrongSender);
        let stream = |end, me: usize, other: usize| PlainStream {
            id: air.pipes.len() - 1,
            end,
            names: [format!("g{me}"), format!("g{}", (other + wrong) % 3)],
            fault: self.fault,
            air: self.air.clone(),
            held: None,
        };
        Ok((stream(0, from, to), stream(1, to, from)))
    }

    fn pass(&mut self) {}

    fn meddle(&mut self, meddler: Option<Interceptor>) -> bool {
        self.air.borrow_mut().meddler = meddler;
        true
    }

    fn inject(&mut self, to: usize, bytes: Vec<u8>) -> bool {
        self.posts[to].come(&bytes);
        true
    }
}

pub struct PlainPost {
    me: usize,
    fault: Fault,
    air: Shared<Air>,
}

impl PlainPost {
    /// What comes begins with its sender's number.
    fn come(&self, bytes: &[u8]) {
        if let Some((from, says)) = bytes.split_first() {
            self.air.borrow_mut().boxes[self.me].push_back((format!("g{from}"), says.to_vec()));
        }
    }
}

impl Messages for PlainPost {
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError> {
        if bytes.len() > MAX_MESSAGE_BYTES && self.fault != Fault::TakesTooLong {
            return Err(SendError::TooLong);
        }
        let air = &mut *self.air.borrow_mut();
        let to = to[1..].parse::<usize>().ok().filter(|&to| to < 3).ok_or(SendError::UnknownGateway)?;
        if self.fault == Fault::Blocks && air.boxes.iter().any(|b| b.len() >= MAX_QUEUED_MESSAGES) {
            return Err(SendError::QueueFull);
        }
        air.count += 1;
        let third = air.count % 3 == 0;
        let mut raw = [&[self.me as u8], bytes].concat();
        if let Some(meddle) = &mut air.meddler {
            meddle(&format!("g{}", self.me), &format!("g{to}"), &mut raw);
        }
        let (from, mut says) = (raw[0], raw[1..].to_vec());
        let sender = format!("g{}", (from + u8::from(third && self.fault == Fault::WrongSender)) % 3);
        if let (true, Fault::Alters, Some(last)) = (third, self.fault, says.last_mut()) {
            *last ^= 1;
        }
        let to = if third && self.fault == Fault::Misleads { (to + 1) % 3 } else { to };
        if third && self.fault == Fault::Loses {
            return Ok(());
        }
        air.boxes[to].push_back((sender, says));
        if air.boxes[to].len() > MAX_QUEUED_MESSAGES && self.fault != Fault::Unbounded {
            if self.fault == Fault::LetsGoNewest {
                air.boxes[to].pop_back();
            } else {
                air.boxes[to].pop_front();
            }
        }
        Ok(())
    }

    fn next(&mut self) -> Option<(String, Vec<u8>)> {
        self.air.borrow_mut().boxes[self.me].pop_front()
    }
}

pub struct PlainStream {
    id: usize,
    end: usize,
    names: [String; 2],
    fault: Fault,
    air: Shared<Air>,
    held: Option<Vec<u8>>,
}

impl Drop for PlainStream {
    fn drop(&mut self) {
        self.air.borrow_mut().closed[self.id] = true;
    }
}

impl Records for PlainStream {
    fn send(&mut self, record: &[u8]) -> Result<(), SendError> {
        if record.len() > MAX_RECORD_BYTES && self.fault != Fault::TakesTooLong {
            return Err(SendError::TooLong);
        }
        if self.is_closed() {
            return Err(SendError::Closed);
        }
        let air = &mut *self.air.borrow_mut();
        let full =
            |pipes: &[VecDeque<u8>; 2]| pipes.iter().any(|p| p.len() + record.len() > MAX_QUEUED_BYTES);
        let is_full = match self.fault {
            Fault::Unbounded => false,
            Fault::Blocks => air.pipes.iter().flatten().any(|p| p.len() > MAX_QUEUED_BYTES / 2),
            _ => full(&air.pipes[self.id]),
        };
        if is_full {
            return Err(SendError::QueueFull);
        }
        air.count += 1;
        let third = air.count % 3 == 0;
        let mut frame = (record.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(record);
        let mut raw = match self.fault {
            Fault::Alters if third && !record.is_empty() => {
                *frame.last_mut().expect("an octet") ^= 1;
                frame
            }
            Fault::Loses if third => Vec::new(),
            Fault::Doubles if third => frame.repeat(2),
            Fault::Reorders if third && self.held.is_none() => {
                self.held = Some(frame);
                Vec::new()
            }
            _ => [frame, self.held.take().unwrap_or_default()].concat(),
        };
        if let Some(meddle) = &mut air.meddler {
            meddle(&self.names[0], &self.names[1], &mut raw);
        }
        air.pipes[self.id][1 - self.end].extend(raw);
        Ok(())
    }

    fn next(&mut self) -> Option<Vec<u8>> {
        let pipe = &mut self.air.borrow_mut().pipes[self.id][self.end];
        let head: Vec<u8> = pipe.iter().take(4).copied().collect();
        let length = u32::from_be_bytes(head.try_into().ok()?) as usize;
        (pipe.len() >= 4 + length).then(|| pipe.drain(..4 + length).skip(4).collect())
    }

    fn peer(&self) -> &str {
        &self.names[1]
    }

    fn is_closed(&self) -> bool {
        self.fault != Fault::EndUntold && self.air.borrow().closed[self.id]
    }
}
