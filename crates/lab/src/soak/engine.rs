//! The engines of a soak: each answers late, not at all, twice, in part or by a reset, and notes what it is sent.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetward_resp::{write_array, Limits, Reader};
use violetward_standin::platform::{page, Listed};

use super::record::{Event, Records};
use super::schedule::Day;

/// All engines there have been.
#[derive(Clone)]
pub struct Fleet {
    engines: Arc<Mutex<Vec<Engine>>>,
    records: Records,
    seed: u64,
}

struct Engine {
    address: SocketAddrV4,
    draining: bool,
    gone: bool,
    started_ms: u64,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Starts the engines of a day's beginning.
    pub fn start(day: &Day, records: &Records) -> std::io::Result<Fleet> {
        let fleet = Fleet { engines: Arc::default(), records: records.clone(), seed: day.seed };
        for _ in 0..day.engines {
            fleet.add(0)?;
        }
        Ok(fleet)
    }

    /// A new engine comes.
    pub fn join(&self) -> std::io::Result<()> {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.add(now.as_millis() as u64)
    }

    fn add(&self, started_ms: u64) -> std::io::Result<()> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let SocketAddr::V4(address) = listener.local_addr()? else { unreachable!("it is bound to IPv4") };
        let connections = Arc::<Mutex<Vec<TcpStream>>>::default();
        let engine =
            Engine { address, draining: false, gone: false, started_ms, connections: connections.clone() };
        let mut engines = lock(&self.engines);
        let number = engines.len();
        engines.push(engine);
        let fleet = self.clone();
        std::thread::spawn(move || {
            for (turn, socket) in (0u64..).zip(listener.incoming().flatten()) {
                if lock(&fleet.engines)[number].gone {
                    return;
                }
                lock(&connections).extend(socket.try_clone().ok());
                let rng = StdRng::seed_from_u64(fleet.seed ^ (number as u64) << 32 ^ turn);
                let records = fleet.records.clone();
                std::thread::spawn(move || Connection { engine: number, socket, rng, records }.serve());
            }
        });
        Ok(())
    }

    /// An engine begins to drain; one stays.
    pub fn drain(&self, number: usize) {
        let mut engines = lock(&self.engines);
        if engines.iter().filter(|e| !e.draining && !e.gone).count() > 2 && !engines[number].draining {
            engines[number].draining = true;
            self.records.note(Event::Drains { engine: number });
        }
    }

    /// An engine vanishes, if another one stays.
    pub fn vanish(&self, number: usize) {
        let mut engines = lock(&self.engines);
        if engines.iter().filter(|e| !e.draining && !e.gone).count() > 2 && !engines[number].gone {
            engines[number].gone = true;
            self.records.note(Event::Drains { engine: number });
            lock(&engines[number].connections)
                .drain(..)
                .for_each(|socket| drop(socket.shutdown(Shutdown::Both)));
            // The thread that takes connections finds out with the next one.
            TcpStream::connect(engines[number].address).ok();
        }
    }

    /// The list as it is now.
    pub fn listed(&self) -> Vec<Listed> {
        let engines = lock(&self.engines);
        let there = engines.iter().enumerate().filter(|(_, engine)| !engine.gone);
        let listed = there.map(|(number, engine)| Listed {
            id: format!("e-{number}"),
            address: engine.address,
            draining: engine.draining,
            started_ms: engine.started_ms,
        });
        listed.collect()
    }
}

/// A connection to an engine. Gateways give each request one of its own where they can, so that one answer at a time is
/// as late as its own work.
struct Connection {
    engine: usize,
    socket: TcpStream,
    rng: StdRng,
    records: Records,
}

impl Connection {
    fn serve(mut self) {
        let mut reader =
            Reader::new(Limits { max_string_bytes: 1 << 20, max_total_bytes: 1 << 21, max_strings: 16 });
        let mut bytes = [0; 16 << 10];
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) | Err(_) => return,
                Ok(read) => reader.feed(&bytes[..read]),
            }
            let came = Instant::now();
            while let Ok(Some(command)) = reader.next_array() {
                let words: Vec<String> =
                    command.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect();
                if !self.obey(came, &words) {
                    return;
                }
            }
        }
    }

    /// Carries out a command; false if the connection is to end.
    fn obey(&mut self, came: Instant, words: &[String]) -> bool {
        match &words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["fetch", id, fields, _] => self.fetch(came, id, fields),
            ["more", id, number] => {
                let body = page(id, number.parse().unwrap_or(0));
                self.say([id, "batch", &format!("batch={number}"), &body], 1)
            }
            ["stats" | "alive", tag] => self.say([tag, "yes", "l=util:0.25", ""], 1),
            _ => true,
        }
    }

    fn fetch(&mut self, came: Instant, id: &str, fields: &str) -> bool {
        let number = u64::from_str_radix(id, 16).unwrap_or(0);
        let told = fields.split(',').find_map(|field| field.strip_prefix("patience=")?.parse().ok());
        let patience = Duration::from_millis(told.unwrap_or(0));
        self.records.note_at(came, Event::Fetched { id: number, engine: self.engine, patience });
        let work = Duration::from_millis(self.rng.random_range(2..120));
        let body = page(id, 0);
        let good = [id, "ok", "batches=1,cpu=20.5,used=64.0,l=util:0.25", &body];
        match self.rng.random_range(0..100) {
            // Hangs.
            0..3 => true,
            3 => false,
            4 => {
                let mut answer = Vec::new();
                write_array(&mut answer, &good.map(str::as_bytes));
                self.socket.write_all(&answer[..answer.len() / 2]).ok();
                false
            }
            5..7 => {
                self.records.note(Event::TurnedAway { id: number });
                self.say([id, "refused", "-", ""], 1)
            }
            7 => self.say([id, "error", "l=util:0.25", ""], 1),
            8 => self.say(good, 2),
            9..11 => {
                std::thread::sleep(8 * work);
                self.say(good, 1)
            }
            _ => {
                std::thread::sleep(work);
                self.say(good, 1)
            }
        }
    }

    fn say(&mut self, words: [&str; 4], times: usize) -> bool {
        let mut answer = Vec::new();
        write_array(&mut answer, &words.map(str::as_bytes));
        self.socket.write_all(&answer.repeat(times)).is_ok()
    }
}
