//! Runs the adapter as a process and checks its replies to valid and to malformed lines.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"NInstances":1,"Classes":[{"AimUs":1000000,"Effect":"repeatable",
"HardLimitUs":5000000,"Worth":1}],"Contract":{"ColdFrom":0.3,"ColdUs":1,"FallMultiple":4,"TipAfterUs":1},"Limits":{"AttemptsCap":3},
"FamilyInfo":{"SizeCores":[8],"MemoryByKindMb":[1000],"GrantCap":0.4,"GrantsCount":true},"QuantumUs":5000}"#;

/// Feeds the lines to an adapter and returns whether it succeeded, its standard output and its standard
/// error.
fn run_adapter(lines: &[String]) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_violetward-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit at a malformed line before all input is written.
    let _ = child.stdin.take().expect("piped").write_all(lines.join("\n").as_bytes());
    let output = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (output.status.success(), text(output.stdout), text(output.stderr))
}

/// One input line with events for gateway 3.
fn batch(events: &str) -> String {
    format!(r#"{{"AtTimeUs":50,"gateways":[{{"I":3,"news":[{events}]}}]}}"#).replace('\n', "")
}

/// The line that configures the gateway and gives it a list of one engine.
fn setup() -> String {
    batch(&format!(
        r#"{{"cmd":"Configure","InitSeed":1,"BootInfo":{SETTINGS}}},
        {{"cmd":"List","Buffer":0,"Lines":[{{"Node":"10.0.0.1:50","Health":"up"}}]}},
        {{"cmd":"Endpoints","Buffer":0,"Kind":"warm_copy","Rev":4}}"#
    ))
}

#[test]
fn dispatch_carries_the_job_and_node_of_the_input() {
    let request = r#"{"cmd":"Req","Job":"22b1f2355d3a91c4","CostUs":9,"MemMb":10,"DueUs":5000000}"#;
    let (success, stdout, _) =
        run_adapter(&[setup(), batch(request), r#"{"AtTimeUs":60,"gateways":[]}"#.to_string()]);
    let lines: Vec<&str> = stdout.lines().collect();
    assert!(success);
    assert_eq!(lines.len(), 3);
    assert!(
        lines[1].contains(r#""cmd":"Dispatch","Job":"22b1f2355d3a91c4","Node":"10.0.0.1:50""#),
        "{stdout}"
    );
    assert_eq!(lines[2], r#"{"gateways":[]}"#);
}

#[test]
fn malformed_line_ends_the_adapter_with_one_error_line() {
    let malformed = [
        "{".to_string(),
        batch(r#"{"cmd":"Nonsense"}"#),
        batch(r#"{"cmd":"Req","Job":"22b1f2355d3a91c4"}"#),
        batch(r#"{"cmd":"Req","Job":"short","DueUs":5}"#),
        batch(r#"{"cmd":"Req","Job":7,"DueUs":5}"#),
        batch(r#"{"cmd":"Endpoints","Buffer":9,"Kind":"total","Rev":1}"#),
    ];
    for line in malformed {
        let (success, _, stderr) = run_adapter(&[setup(), line.clone()]);
        assert!(!success, "{line}");
        assert!(
            stderr.starts_with("violetward-adapter: line 2: ") && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}

#[test]
fn notes_and_load_reports_are_accepted_and_unknown_codes_ignored() {
    let request = r#"{"cmd":"Req","Job":"22b1f2355d3a91c4","CostUs":9,"MemMb":10,"DueUs":5000000}"#;
    let note =
        |what: &str| format!(r#"{{"cmd":"Note","Job":"22b1f2355d3a91c4","Node":"10.0.0.1:50",{what}}}"#);
    let accepted = [
        note(r#""Value":0.5,"What":1"#),
        note(r#""Value":12,"What":2,"SendNo":7"#),
        note(r#""Value":1,"What":3"#),
        note(r#""Value":9,"What":3"#),
        note(r#""What":44"#),
        r#"{"cmd":"HealthResult","Node":"10.0.0.9:50","Reason":"ok","ServerStats":{"concurrent":3}}"#
            .to_string(),
    ];
    let lines: Vec<String> =
        [setup(), batch(request)].into_iter().chain(accepted.iter().map(|n| batch(n))).collect();
    let (success, stdout, stderr) = run_adapter(&lines);
    assert!(success && stderr.is_empty() && stdout.lines().count() == lines.len(), "{stderr}");
    for malformed in [r#""Value":"much","What":1"#, r#""Value":0.5"#, r#""Value":0.5,"What":-1"#] {
        let (success, _, stderr) = run_adapter(&[setup(), batch(&note(malformed))]);
        assert!(
            !success && stderr.starts_with("violetward-adapter: line 2: ") && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}
