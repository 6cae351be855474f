//! Runs the script that both libraries run, and prints how each statement ended: `outcomes ADDRESS` over the statement
//! protocol, `outcomes --kernel FILE` over the kernel protocol.

use std::time::Duration;

use violetward_client::resend::{Budget, Effect};
use violetward_client::{Client, Ending, KernelClient, Options, Query};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let kernel = match arguments.first().map(String::as_str) {
        Some("--kernel") => arguments.get(1).map(std::path::PathBuf::from),
        _ => None,
    };
    let address = arguments.first().and_then(|a| a.parse().ok());
    let client = Client::new(&address.into_iter().collect::<Vec<_>>(), Options::default(), Budget::default());
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
        let mut cells = match &kernel {
            Some(file) => Some(KernelClient::connect(file).await.expect("a kernel that answers")),
            None => None,
        };
        for query in script {
            let end = match &mut cells {
                Some(cells) => cells.run(&query).await,
                None => client.run(&query).await,
            };
            let word = match end {
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
