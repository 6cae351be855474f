//! The adapter as a program: what it says to good and to malformed lines.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"NInstances":1,"Classes":[{"AimUs":1000000,"Effect":"repeatable","HardLimitUs":5000000,
"Worth":1}],"Contract":{"ColdFrom":0.3,"ColdUs":1,"FallMultiple":4,"TipAfterUs":1},"Limits":{"AttemptsCap":3},
"FamilyInfo":{"SizeCores":[8],"MemoryByKindMb":[1000],"GrantCap":0.4,"GrantsCount":true},"QuantumUs":5000}"#;

fn run(lines: &[String]) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_violetward-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may have ended at a malformed line before all is written.
    let _ = child.stdin.take().expect("piped").write_all(lines.join("\n").as_bytes());
    let output = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (output.status.success(), text(output.stdout), text(output.stderr))
}

fn batch(news: &str) -> String {
    format!(r#"{{"AtTimeUs":50,"gateways":[{{"I":3,"news":[{news}]}}]}}"#).replace('\n', "")
}

fn start() -> String {
    batch(&format!(
        r#"{{"cmd":"Configure","InitSeed":1,"BootInfo":{SETTINGS}}},
        {{"cmd":"List","Buffer":0,"Lines":[{{"Node":"10.0.0.1:50","Health":"up"}}]}},
        {{"cmd":"Endpoints","Buffer":0,"Kind":"warm_copy","Rev":4}}"#
    ))
}

#[test]
fn a_request_is_dispatched_with_the_wires_names() {
    let request = r#"{"cmd":"Req","Job":"22b1f2355d3a91c4","CostUs":9,"MemMb":10,"DueUs":5000000}"#;
    let (ok, out, _) = run(&[start(), batch(request), r#"{"AtTimeUs":60,"gateways":[]}"#.to_string()]);
    let lines: Vec<&str> = out.lines().collect();
    assert!(ok);
    assert_eq!(lines.len(), 3);
    assert!(lines[1].contains(r#""cmd":"Dispatch","Job":"22b1f2355d3a91c4","Node":"10.0.0.1:50""#), "{out}");
    assert_eq!(lines[2], r#"{"gateways":[]}"#);
}

#[test]
fn a_malformed_line_ends_it_with_one_plain_line() {
    let bad = [
        "{".to_string(),
        batch(r#"{"cmd":"Nonsense"}"#),
        batch(r#"{"cmd":"Req","Job":"22b1f2355d3a91c4"}"#),
        batch(r#"{"cmd":"Req","Job":"short","DueUs":5}"#),
        batch(r#"{"cmd":"Req","Job":7,"DueUs":5}"#),
        batch(r#"{"cmd":"Endpoints","Buffer":9,"Kind":"total","Rev":1}"#),
    ];
    for line in bad {
        let (ok, _, err) = run(&[start(), line.clone()]);
        assert!(!ok, "{line}");
        assert!(err.starts_with("violetward-adapter: line 2: ") && err.lines().count() == 1, "{err}");
    }
}

#[test]
fn notes_load_reports_and_settings_of_the_wire_are_taken_and_odd_ones_ignored() {
    let request = r#"{"cmd":"Req","Job":"22b1f2355d3a91c4","CostUs":9,"MemMb":10,"DueUs":5000000}"#;
    let note =
        |what: &str| format!(r#"{{"cmd":"Note","Job":"22b1f2355d3a91c4","Node":"10.0.0.1:50",{what}}}"#);
    let good = [
        note(r#""Value":0.5,"What":1"#),
        note(r#""Value":12,"What":2,"SendNo":7"#),
        note(r#""Value":1,"What":3"#),
        note(r#""Value":9,"What":3"#),
        note(r#""What":44"#),
        r#"{"cmd":"HealthResult","Node":"10.0.0.9:50","Reason":"ok","ServerStats":{"concurrent":3}}"#
            .to_string(),
    ];
    let lines: Vec<String> =
        [start(), batch(request)].into_iter().chain(good.iter().map(|n| batch(n))).collect();
    let (ok, out, err) = run(&lines);
    assert!(ok && err.is_empty() && out.lines().count() == lines.len(), "{err}");
    for bad in [r#""Value":"much","What":1"#, r#""Value":0.5"#, r#""Value":0.5,"What":-1"#] {
        let (ok, _, err) = run(&[start(), batch(&note(bad))]);
        assert!(!ok && err.starts_with("violetward-adapter: line 2: ") && err.lines().count() == 1, "{err}");
    }
}
