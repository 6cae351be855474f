//! What an engine does with its cores, disks and memory: a model without I/O and clock.
//!
//! All statements that have been taken run at once and share cores (by priority) and disks; more threads than the
//! cores carry get less done in all; memory is granted before a statement starts, and one with less than it needs
//! does more work; a load holds its group of tables; an engine that has just started can do little, and falls over
//! if it is pushed. Times are microseconds, work is the time of one thread, memory is megabytes.

use std::collections::{BTreeMap, VecDeque};

/// Microseconds.
pub type Micros = u64;

/// The machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Cores.
    pub cores: f64,
    /// Threads that can read at once without waiting.
    pub disks: f64,
    /// Memory.
    pub memory: f64,
    /// Threads a core beyond which total work falls.
    pub knee: f64,
    /// How fast it falls.
    pub thrash: f64,
    /// Statements at once, at most; further ones are turned away.
    pub sessions: usize,
    /// Groups of tables kept warm, and the part of reading that this saves.
    pub warm_groups: usize,
    /// See `warm_groups`.
    pub warm_gain: f64,
    /// Further work of a statement that gets no memory at all, as a multiple.
    pub spill: f64,
    /// Capacity right after a start.
    pub cold_from: f64,
    /// How long until it is warm.
    pub cold_span: Micros,
    /// Falls over if sent more than this multiple of what it can do,
    pub fall_multiple: f64,
    /// over this span.
    pub fall_span: Micros,
}

impl Default for Machine {
    fn default() -> Self {
        Machine {
            cores: 8.0,
            disks: 6.0,
            memory: 16_384.0,
            knee: 1.7,
            thrash: 0.6,
            sessions: 64,
            warm_groups: 4,
            warm_gain: 0.5,
            spill: 2.5,
            cold_from: 0.3,
            cold_span: 15_000_000,
            fall_multiple: 4.0,
            fall_span: 1_500_000,
        }
    }
}

/// What a statement takes.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its name for the caller.
    pub id: u64,
    /// True work of all its threads.
    pub work: f64,
    /// Threads.
    pub threads: f64,
    /// Part of its work that is reading or writing.
    pub io: f64,
    /// Memory that it needs, and was granted.
    pub need: f64,
    /// See `need`.
    pub grant: f64,
    /// 0 to 3.
    pub priority: u8,
    /// Its group of tables.
    pub group: u64,
    /// It holds its group.
    pub is_load: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// In the line for memory.
    Lines,
    /// A load holds its group.
    Held,
    Runs,
}

#[derive(Debug, Clone)]
struct Running {
    job: Job,
    state: State,
    left: f64,
    all: f64,
    rate: f64,
    /// Threads that read, after what is warm.
    io: f64,
}

/// How a statement stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// It waits for memory or for a load.
    pub waits: bool,
    /// Share done.
    pub done: f64,
}

/// Whether a statement was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// Yes.
    Yes,
    /// Too many are there.
    Full,
    /// The engine was cold, was pushed over by this one, and is down.
    FellOver,
}

/// The engine.
#[derive(Debug, Clone)]
pub struct Model {
    machine: Machine,
    now: Micros,
    started: Micros,
    jobs: BTreeMap<u64, Running>,
    line: VecDeque<u64>,
    warm: VecDeque<u64>,
    granted: f64,
    /// What it was sent while cold: when and how much.
    sent: VecDeque<(Micros, f64)>,
    /// Times slower, for a fault.
    pub slow: f64,
    /// Part of the machine that another program takes, for a fault.
    pub neighbour: f64,
    /// It does nothing at all, for a fault.
    pub frozen: bool,
    /// Smoothed use of cores and disks.
    used: (f64, f64),
}

impl Model {
    /// An engine that started at `started`; long ago means warm.
    pub fn new(machine: Machine, now: Micros, started: Micros) -> Self {
        Model {
            machine,
            now,
            started,
            jobs: BTreeMap::new(),
            line: VecDeque::new(),
            warm: VecDeque::new(),
            granted: 0.0,
            sent: VecDeque::new(),
            slow: 1.0,
            neighbour: 0.0,
            frozen: false,
            used: (0.0, 0.0),
        }
    }

    /// Part of its full capacity that a cold engine has.
    pub fn warmth(&self) -> f64 {
        let age = self.now.saturating_sub(self.started) as f64 / self.machine.cold_span.max(1) as f64;
        (self.machine.cold_from + (1.0 - self.machine.cold_from) * age).min(1.0)
    }

    /// Statements in hand.
    pub fn count(&self) -> usize {
        self.jobs.len()
    }

    /// Shares of cores and disks in use, and of memory granted.
    pub fn load(&self) -> (f64, f64, f64) {
        (self.used.0, self.used.1, self.granted / self.machine.memory.max(1.0))
    }

    /// Forgets what it kept warm.
    pub fn flush(&mut self) {
        self.warm.clear();
    }

    /// Takes a statement. `weight` is what it counts for on a cold engine: the usual work of its class.
    pub fn take(&mut self, now: Micros, job: Job, weight: f64) -> Taken {
        self.advance(now);
        if self.warmth() < 1.0 && self.machine.fall_multiple > 0.0 {
            self.sent.push_back((now, weight));
            let from = now.saturating_sub(self.machine.fall_span);
            while self.sent.front().is_some_and(|s| s.0 < from) {
                self.sent.pop_front();
            }
            let sent: f64 = self.sent.iter().map(|s| s.1).sum();
            let can = self.machine.cores * self.warmth() * self.machine.fall_span as f64;
            if sent > self.machine.fall_multiple * can {
                return Taken::FellOver;
            }
        }
        if self.jobs.len() >= self.machine.sessions {
            return Taken::Full;
        }
        let id = job.id;
        let grant = if job.grant > 0.0 { job.grant } else { job.need * 1.25 }.min(self.machine.memory * 0.4);
        let short = if job.need > 0.0 { (1.0 - grant / job.need).max(0.0) } else { 0.0 };
        let is_warm = self.warm.contains(&job.group);
        let saved = if is_warm { job.io * self.machine.warm_gain } else { 0.0 };
        let all = (job.work * (1.0 - saved) * (1.0 + (self.machine.spill - 1.0) * short)).max(1.0);
        let io = if job.io > 0.0 { (job.io - saved) / (1.0 - saved).max(0.01) } else { 0.0 };
        self.warm.retain(|&g| g != job.group);
        self.warm.push_front(job.group);
        self.warm.truncate(self.machine.warm_groups);
        let job = Job { grant, ..job };
        self.jobs.insert(id, Running { job, state: State::Lines, left: all, all, rate: 0.0, io });
        self.line.push_back(id);
        self.admit();
        Taken::Yes
    }

    /// Ends a statement early; what it held is free.
    pub fn drop_job(&mut self, now: Micros, id: u64) {
        self.advance(now);
        self.remove(id);
        self.admit();
    }

    /// How a statement stands.
    pub fn standing(&self, id: u64) -> Option<Standing> {
        let r = self.jobs.get(&id)?;
        Some(Standing { waits: r.state != State::Runs, done: 1.0 - r.left / r.all })
    }

    /// True work of a statement in the end, spills and warm reading counted.
    pub fn work(&self, id: u64) -> Option<f64> {
        self.jobs.get(&id).map(|r| r.all)
    }

    /// When the next statement is done, if nothing changes.
    pub fn next_end(&self) -> Option<Micros> {
        let ends = self.jobs.values().filter(|r| r.rate > 0.0).map(|r| r.left / r.rate);
        let first = ends.fold(f64::INFINITY, f64::min);
        // A warming engine gets faster: what was worked out is looked at again before long.
        let most = if self.warmth() < 1.0 { 200_000.0 } else { f64::INFINITY };
        let first = first.min(most);
        (first.is_finite() && !self.jobs.is_empty()).then(|| self.now + (first.ceil() as Micros).max(1))
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Micros) {
        let span = now.saturating_sub(self.now) as f64;
        if span > 0.0 {
            for r in self.jobs.values_mut() {
                r.left = (r.left - r.rate * span).max(0.0);
            }
            let (cores, disks) = self.in_use();
            let weight = 1.0 - (-span / 300_000.0).exp();
            self.used.0 += weight * (cores - self.used.0);
            self.used.1 += weight * (disks - self.used.1);
            self.now = now;
        }
        self.share_out();
    }

    /// Statements that are done; they are removed.
    pub fn done(&mut self) -> Vec<u64> {
        let done: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, r)| r.state == State::Runs && r.left < 1.0)
            .map(|(&id, _)| id)
            .collect();
        for &id in &done {
            self.remove(id);
        }
        if !done.is_empty() {
            self.admit();
        }
        done
    }

    fn in_use(&self) -> (f64, f64) {
        let running = self.jobs.values().filter(|r| r.rate > 0.0);
        let (threads, reading) = running
            .fold((0.0, 0.0), |(t, d), r| (t + r.job.threads * (1.0 - 0.5 * r.io), d + r.job.threads * r.io));
        let other = self.neighbour;
        (
            (threads / self.machine.cores + other).min(1.0),
            (reading / self.machine.disks.max(0.1) + other).min(1.0),
        )
    }

    fn remove(&mut self, id: u64) {
        self.line.retain(|&l| l != id);
        if let Some(r) = self.jobs.remove(&id) {
            if r.state != State::Lines {
                self.granted = (self.granted - r.job.grant).max(0.0);
            }
        }
    }

    /// Lets in from the line, by priority and then in turn, whom memory and loads allow.
    fn admit(&mut self) {
        loop {
            let first =
                self.line.iter().copied().enumerate().max_by_key(|&(i, id)| {
                    (self.jobs.get(&id).map_or(0, |r| r.job.priority), usize::MAX - i)
                });
            let Some((_, id)) = first else { break };
            let grant = self.jobs[&id].job.grant;
            if self.granted + grant > self.machine.memory && self.granted > 0.0 {
                break;
            }
            self.granted += grant;
            self.line.retain(|&l| l != id);
            self.jobs.get_mut(&id).expect("it is in the line").state = State::Held;
        }
        // One load at a time on a group, the oldest first.
        let mut held = std::collections::BTreeSet::new();
        for r in self.jobs.values_mut() {
            if r.state == State::Lines {
                continue;
            }
            let free = !r.job.is_load || held.insert(r.job.group);
            r.state = if free { State::Runs } else { State::Held };
        }
        self.share_out();
    }

    /// How fast each statement gets on from now.
    fn share_out(&mut self) {
        let running = self.jobs.values().filter(|r| r.state == State::Runs);
        let (mut threads, mut weighted, mut reading) = (0.0, 0.0, 0.0);
        for r in running {
            threads += r.job.threads;
            weighted += r.job.threads * weight(r.job.priority);
            reading += r.job.threads * r.io;
        }
        let m = &self.machine;
        let cores = m.cores * self.warmth() * (1.0 - self.neighbour).max(0.01) / self.slow.max(0.01);
        let over = threads / (m.knee * m.cores).max(0.01);
        let useful = if over > 1.0 { 1.0 / (1.0 + m.thrash * (over - 1.0)) } else { 1.0 };
        let disks = m.disks * (1.0 - self.neighbour).max(0.01) / self.slow.max(0.01);
        let wait = (reading / disks.max(0.01)).max(1.0);
        let speed = 1.0 / self.slow.max(0.01);
        // Threads that read leave their core to others.
        let busy: f64 = threads - 0.7 * reading;
        let scarce = busy > cores * useful;
        for r in self.jobs.values_mut() {
            let part =
                if scarce { cores * useful * weight(r.job.priority) / weighted.max(0.01) } else { 1.0 };
            let pace = part.min(speed) / (1.0 - r.io + r.io * wait);
            r.rate = if r.state == State::Runs && !self.frozen { r.job.threads * pace } else { 0.0 };
        }
    }
}

fn weight(priority: u8) -> f64 {
    [1.0, 4.0, 8.0, 16.0][usize::from(priority.min(3))]
}

#[cfg(test)]
mod tests {
    use super::*;

    fn job(id: u64, work: f64) -> Job {
        Job {
            id,
            work,
            threads: 1.0,
            io: 0.0,
            need: 10.0,
            grant: 10.0,
            priority: 1,
            group: id,
            is_load: false,
        }
    }

    fn run(model: &mut Model) -> Vec<(Micros, u64)> {
        let mut ends = Vec::new();
        while let Some(at) = model.next_end() {
            model.advance(at);
            ends.extend(model.done().into_iter().map(|id| (at, id)));
        }
        ends
    }

    #[test]
    fn work_takes_its_time_and_cores_are_shared() {
        let machine = Machine { cores: 2.0, knee: 100.0, ..Machine::default() };
        let mut model = Model::new(machine, 100_000_000, 0);
        (0..4).for_each(|id| assert_eq!(model.take(100_000_000, job(id, 1000.0), 0.0), Taken::Yes));
        let ends = run(&mut model);
        assert_eq!(ends.len(), 4);
        assert!(
            (ends[3].0 - 100_000_000).abs_diff(2000) <= 2,
            "four on two cores take twice as long: {ends:?}"
        );
    }

    #[test]
    fn a_statement_without_memory_waits_in_line_and_one_with_too_little_spills() {
        let machine = Machine { memory: 100.0, ..Machine::default() };
        let mut model = Model::new(machine, 100_000_000, 0);
        let big = |id| Job { need: 40.0, grant: 40.0, ..job(id, 1000.0) };
        (0..3).for_each(|id| assert_eq!(model.take(100_000_000, big(id), 0.0), Taken::Yes));
        assert!(model.standing(2).unwrap().waits);
        assert_eq!(model.work(0).unwrap(), 1000.0);
        model.take(100_000_000, Job { grant: 1.0, need: 10.0, ..job(9, 1000.0) }, 0.0);
        assert!(model.work(9).unwrap() > 2000.0);
    }

    #[test]
    fn a_cold_engine_falls_over_when_pushed_and_a_warm_one_does_not() {
        let push = |started| {
            let mut model = Model::new(Machine::default(), 100_000_000, started);
            (0..60)
                .map(|id| model.take(100_000_000, job(id, 300_000.0), 300_000.0))
                .find(|t| *t == Taken::FellOver)
        };
        assert_eq!(push(100_000_000), Some(Taken::FellOver));
        assert_eq!(push(0), None);
    }

    #[test]
    fn loads_of_one_group_take_turns() {
        let mut model = Model::new(Machine::default(), 100_000_000, 0);
        for id in 0..2 {
            model.take(100_000_000, Job { is_load: true, group: 7, ..job(id, 1000.0) }, 0.0);
        }
        let ends = run(&mut model);
        assert!(ends[1].0 >= ends[0].0 + 999);
    }
}
