//! What stands on membership (its `Kind::Said`) under the contracts of messages: members on a simulated network.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use violetward_contracts::transport::{forged_messages, messages, Ground};
use violetward_membership::sim::test_config;
use violetward_membership::wire::MAX_PAYLOAD_BYTES;
use violetward_membership::{Effect, Membership};
use violetward_transport::sim::{EventQueue, Interceptor, LinkConditions, SeededRng};
use violetward_transport::{local, Messages, SendError};

const SECOND: u64 = 1_000_000;

struct Fleet {
    members: Vec<Membership>,
    come: Vec<VecDeque<(String, Vec<u8>)>>,
    queue: EventQueue<(usize, SocketAddr, Vec<u8>)>,
    dice: SeededRng,
    weather: LinkConditions,
    meddler: Option<Interceptor>,
}

impl Fleet {
    fn carry_out(&mut self, n: usize) {
        while let Some(effect) = self.members[n].next_effect() {
            match effect {
                Effect::Send(to, mut bytes) => {
                    let Some(other) = (0..3).find(|&o| test_config(o, 3, SECOND, false).address == to) else {
                        continue;
                    };
                    if let Some(meddle) = &mut self.meddler {
                        meddle(&format!("g{n}"), &format!("g{other}"), &mut bytes);
                    }
                    let from = test_config(n, 3, SECOND, false).address;
                    for (delay, bytes) in self.weather.transmit(&mut self.dice, bytes) {
                        self.queue.push(self.queue.now + delay, (other, from, bytes));
                    }
                }
                Effect::Received(from, bytes) => self.come[n].push_back((from, bytes)),
                Effect::Changed(_) | Effect::Share(_) => {}
            }
        }
    }

    fn run(&mut self, span: u64) {
        let until = self.queue.now + span;
        while self.queue.now < until {
            let step = (self.queue.now + 1_000).min(until);
            while let Some((n, from, bytes)) = self.queue.pop(step) {
                let now = self.queue.now;
                self.members[n].handle_datagram(now, from, &bytes);
                self.carry_out(n);
            }
            self.queue.now = step;
            for n in 0..3 {
                if self.members[n].next_wake() <= step {
                    self.members[n].handle_wake(step);
                    self.carry_out(n);
                }
            }
        }
    }
}

struct Post(usize, Rc<RefCell<Fleet>>);

impl Messages for Post {
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError> {
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return Err(SendError::TooLong);
        }
        let fleet = &mut *self.1.borrow_mut();
        let now = fleet.queue.now;
        let sent = fleet.members[self.0].send_payload(now, to, bytes);
        fleet.carry_out(self.0);
        sent.then_some(()).ok_or(SendError::UnknownGateway)
    }

    fn next(&mut self) -> Option<(String, Vec<u8>)> {
        self.1.borrow_mut().come[self.0].pop_front()
    }
}

struct Members(Rc<RefCell<Fleet>>, Vec<Post>);

fn members(loss: f64) -> impl Fn(u64) -> Members {
    move |seed| {
        let fleet = Rc::new(RefCell::new(Fleet {
            members: (0..3)
                .map(|n| Membership::new(test_config(n, 3, SECOND, false), seed ^ n as u64, SECOND))
                .collect(),
            come: vec![VecDeque::new(); 3],
            queue: EventQueue::new(SECOND),
            dice: SeededRng(seed),
            weather: LinkConditions::default(),
            meddler: None,
        }));
        // Until they know each other and have proved their lives.
        fleet.borrow_mut().run(20 * SECOND);
        fleet.borrow_mut().weather =
            LinkConditions { loss, duplicates: 0.2, corrupted: loss, ..LinkConditions::default() };
        let posts = (0..3).map(|n| Post(n, fleet.clone())).collect();
        Members(fleet, posts)
    }
}

impl Ground for Members {
    type Post = Post;
    type Stream = local::Stream;

    fn post(&mut self, n: usize) -> &mut Post {
        &mut self.1[n]
    }

    /// Membership has no streams.
    fn connect(&mut self, _: usize, _: usize) -> Result<(local::Stream, local::Stream), SendError> {
        Err(SendError::UnknownGateway)
    }

    fn pass(&mut self) {
        self.0.borrow_mut().run(20_000);
    }

    fn meddle(&mut self, meddler: Option<Interceptor>) -> bool {
        self.0.borrow_mut().meddler = meddler;
        true
    }

    fn inject(&mut self, to: usize, bytes: Vec<u8>) -> bool {
        let fleet = &mut *self.0.borrow_mut();
        fleet.queue.push(fleet.queue.now, (to, ([10, 9, 9, 9], 7000).into(), bytes));
        true
    }

    fn loses(&self) -> bool {
        self.0.borrow().weather.loss > 0.0
    }

    fn longest(&self) -> usize {
        MAX_PAYLOAD_BYTES
    }
}

#[test]
fn what_stands_on_membership_keeps_the_contracts_of_messages() {
    for loss in [0.0, 0.2] {
        messages(40, members(loss)).unwrap();
        forged_messages(40, members(loss)).unwrap();
    }
}
