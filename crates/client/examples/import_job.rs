//! An import job: loads one match under its key, and tries again only where that is harmless. `import_job ADDRESS MATCH`

use std::time::Duration;

use violetward_client::resend::{Budget, Effect};
use violetward_client::{Client, Ending, Options, Query};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let address = arguments.next().and_then(|a| a.parse().ok()).expect("import_job ADDRESS:PORT MATCH");
    let number: u32 = arguments.next().and_then(|m| m.parse().ok()).unwrap_or(1);
    let options = Options { source: "import".into(), may_resend: true, ..Options::default() };
    let client = Client::new(&[address], options, Budget::default());
    async_io::block_on(async {
        for line in 1..=3 {
            let query = Query {
                effect: Effect::Keyed,
                class: Some("load".into()),
                key: Some(format!("match-{number}")),
                mark: Some(format!("match-{number}-line-{line}")),
                deadline: Some(Duration::from_secs(10)),
                ..Query::new(format!("INSERT INTO loads VALUES ({number}, 'line {line}')"))
            };
            match client.run(&query).await {
                Ok(rows) => println!("line {line}: {:?} after {} sends", rows.update, rows.sends),
                Err(Ending::Unknown { message }) => {
                    println!("line {line}: to be looked at by hand: {message}")
                }
                Err(ending) => println!("line {line}: {ending}"),
            }
        }
    });
}
