//! How long a put and a get take: `cargo run --release -p violetward-store --example puts -- FOLDER`.

use std::time::Instant;

use violetward_store::file::FileStore;
use violetward_store::Store;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::args().nth(1).ok_or("which folder?")?;
    let mut store = FileStore::open(folder.as_ref())?;
    for (name, length) in [("small", 1_000), ("large", 64_000)] {
        let (mut puts, mut gets) = (vec![], vec![]);
        for n in 0..500u32 {
            let bytes = vec![n as u8; length];
            let begun = Instant::now();
            store.put(name, &bytes)?;
            puts.push(begun.elapsed().as_micros());
            let begun = Instant::now();
            store.get(name)?;
            gets.push(begun.elapsed().as_micros());
        }
        for (what, mut times) in [("put", puts), ("get", gets)] {
            times.sort_unstable();
            let at = |part: usize| times[times.len() * part / 100];
            println!("{what} of {length} octets: median {} us, 99th {} us", at(50), at(99));
        }
    }
    Ok(())
}
