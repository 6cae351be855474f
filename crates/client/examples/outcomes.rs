//! Runs the script that both libraries run, and prints how each statement ended: `outcomes ADDRESS`.

use std::time::Duration;

use violetward_client::resend::{Budget, Effect};
use violetward_client::{Client, Ending, Options, Query};

fn main() {
    let address = std::env::args().nth(1).and_then(|a| a.parse().ok()).expect("outcomes ADDRESS:PORT");
    let client = Client::new(&[address], Options::default(), Budget::default());
    let load = |mark: &str| Query {
        effect: Effect::Keyed,
        class: Some("load".into()),
        key: Some("m1".into()),
        mark: Some(mark.into()),
        ..Query::new("INSERT INTO loads VALUES (1, 'a line')")
    };
    let lookup = |sql: &str, deadline| Query {
        effect: Effect::Repeatable,
        class: Some("lookup".into()),
        deadline: Some(Duration::from_millis(deadline)),
        ..Query::new(sql)
    };
    let script = [
        lookup("SELECT id FROM players ORDER BY id LIMIT 3", 4000),
        lookup("SELECT * FROM nowhere", 4000),
        lookup("SELEKT 1", 4000),
        lookup("SELECT 1 /*sim work=9000*/", 400),
        load("r1"),
        load("r1"),
        Query { class: Some("notice".into()), ..Query::new("INSERT INTO loads VALUES (2, 'once')") },
    ];
    async_io::block_on(async {
        for query in script {
            let word = match client.run(&query).await {
                Ok(_) => "served".to_owned(),
                Err(Ending::Refused { .. }) => "refused".into(),
                Err(Ending::Failed { .. }) => "failed".into(),
                Err(Ending::Declined { name, .. }) => format!("declined {name}"),
                Err(Ending::Unknown { .. }) => "unknown".into(),
            };
            println!("{word}");
        }
    });
}
