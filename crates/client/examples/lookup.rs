//! A member app's look-up with a deadline: `lookup ADDRESS PLAYER`

use std::time::Duration;

use violetward_client::resend::{Budget, Effect};
use violetward_client::{Client, Ending, Options, Query};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let address = arguments.next().and_then(|a| a.parse().ok()).expect("lookup ADDRESS:PORT PLAYER");
    let player: u32 = arguments.next().and_then(|p| p.parse().ok()).unwrap_or(7);
    let client =
        Client::new(&[address], Options { source: "app".into(), ..Options::default() }, Budget::default());
    let query = Query {
        effect: Effect::Repeatable,
        class: Some("lookup".into()),
        deadline: Some(Duration::from_millis(1500)),
        ..Query::new(format!("SELECT name, price FROM players WHERE id = {player}"))
    };
    match async_io::block_on(client.run(&query)) {
        Ok(rows) => println!("{:?}: {:?}", rows.columns, rows.rows),
        Err(Ending::Refused { retry_after, .. }) => println!("busy; come back in {retry_after:?}"),
        Err(ending) => println!("{ending}"),
    }
}
