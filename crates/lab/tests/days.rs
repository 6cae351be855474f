//! Days with processes of their own: the seven rules hold, seen from the sockets.

use std::process::Command;

fn lab(arguments: &[&str]) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_violetward-lab")).args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{text}{}", String::from_utf8_lossy(&out.stderr));
    text
}

#[test]
fn gateways_that_are_killed_rolled_or_stalled_lose_nothing_and_run_nothing_twice() {
    for trouble in ["balancer_crash", "balancer_roll", "answer_lost"] {
        let text = lab(&["replay", trouble, "--slack-ms", "800"]);
        let row = text.lines().find(|l| l.contains("| module")).expect("a row");
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let number = |i: usize| cells[i].parse::<f64>().unwrap();
        assert!(number(3) > 300.0 && number(9) == 0.0, "{row}");
        assert!(cells[11] == "kept" && number(10) > 0.8, "{row}");
    }
}

#[test]
fn a_storm_of_library_clients_stays_within_the_budgets() {
    let text = lab(&["storm", "--clients", "1000", "--seconds", "5"]);
    assert!(text.contains("loads that took effect twice: 0"), "{text}");
}
