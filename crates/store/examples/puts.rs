//! Measures the latency of writes and reads in a directory: `cargo run --release -p violetward-store
//! --example puts -- DIRECTORY`.

use std::time::Instant;

use violetward_store::file::FileStore;
use violetward_store::Store;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let directory = std::env::args().nth(1).ok_or("usage: puts DIRECTORY")?;
    let mut store = FileStore::open(directory.as_ref())?;
    for (name, length) in [("small", 1_000), ("large", 64_000)] {
        let (mut put_times, mut get_times) = (vec![], vec![]);
        for n in 0..500u32 {
            let bytes = vec![n as u8; length];
            let started = Instant::now();
            store.put(name, &bytes)?;
            put_times.push(started.elapsed().as_micros());
            let started = Instant::now();
            store.get(name)?;
            get_times.push(started.elapsed().as_micros());
        }
        for (operation, mut times) in [("put", put_times), ("get", get_times)] {
            times.sort_unstable();
            let percentile = |percent: usize| times[times.len() * percent / 100];
            println!(
                "{operation} of {length} bytes: median {} us, 99th percentile {} us",
                percentile(50),
                percentile(99)
            );
        }
    }
    Ok(())
}
