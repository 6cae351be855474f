//! Tests the operator's commands for versions of the settings against a running gateway that is the only
//! voter.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use violetward_agreement::{wire, DurableState};
use violetward_gateway::{config, timestamp, windows};
use violetward_store::file::FileStore;
use violetward_store::Store;
use violetward_windows::profile::{Profile, QUARTER, WEEK};
use violetward_windows::Cell;

/// The longest time that a test waits for the gateway to start or to apply a change.
const START_TIMEOUT: Duration = Duration::from_secs(20);

const PROGRAM: &str = env!("CARGO_BIN_EXE_violetward");

/// A maintenance window. It is refused if the configuration has no section `windows`.
const WINDOW: &str =
    r#"(window w (engines e2) (from "2126-12-02T03:00:00Z") (until "2126-12-02T04:00:00Z"))"#;

/// A temporary folder that is removed when the test ends.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let folder = std::env::temp_dir().join(format!("violetward-settings-{name}-{}", std::process::id()));
        std::fs::remove_dir_all(&folder).ok();
        std::fs::create_dir_all(&folder).expect("the folder is created");
        TempFolder(folder)
    }

    /// Writes a file in the folder and returns its path.
    fn write_file(&self, name: &str, text: &str) -> String {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("the file is written");
        file.display().to_string()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// A gateway process that is killed when the value is dropped.
struct GatewayProcess(Child);

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

/// Writes the files of a gateway that is the only voter and returns the path of its configuration.
fn write_configuration(folder: &TempFolder) -> String {
    folder.write_file("keys.lisp", "(key all \"a key for datagrams, not secret\")");
    folder.write_file("operators.lisp", "(key ann \"a key of operators, not secret\")");
    folder.write_file("engines.lisp", "(engine e1 (address \"127.0.0.1:9\") (kind m8))\n");
    folder.write_file(
        "gateway.lisp",
        r#"(gateway (number 0) (of 1) (listen "127.0.0.1:0") (engines "engines.lisp"))
        (membership (listen "127.0.0.1:0") (name g0) (key-file "keys.lisp"))
        (agreement (voters g0) (folder "votes") (lease "2s") (drift 1000) (check "100ms") (key-file "operators.lisp")
          (floor (classes light) (engines e1)))
        (kinds (kind m8 (cores 8)) (kind m4 (cores 4)))
        (classes
          (class light (aim "1s") (give-up "5s") (worth 1) (effect repeatable))
          (class heavy (aim "2s") (give-up "9s") (worth 6) (effect repeatable)))
        (select heavy (tag heavy))
        (select light)"#,
    )
}

/// Runs the program; returns whether it succeeded, and its output and errors.
fn run_program(arguments: &[&str]) -> (bool, String) {
    let Output { status, stdout, stderr } =
        Command::new(PROGRAM).args(arguments).output().expect("the program runs");
    (status.success(), String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned())
}

/// Starts a gateway and returns its process and address.
fn start_gateway(folder: &TempFolder, configuration: &str) -> (GatewayProcess, String) {
    let address_file = folder.0.join("address");
    std::fs::remove_file(&address_file).ok();
    let child = Command::new(PROGRAM)
        .args(["serve", configuration, "--address-file"])
        .arg(&address_file)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    (GatewayProcess(child), wait_for_address(&address_file))
}

/// Waits until the gateway has written its address to the file.
fn wait_for_address(file: &Path) -> String {
    let start = Instant::now();
    loop {
        match std::fs::read_to_string(file) {
            Ok(address) => return address,
            Err(_) => assert!(start.elapsed() < START_TIMEOUT, "the gateway does not start"),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn settings_are_proposed_committed_and_undone() {
    let folder = TempFolder::new("versions");
    let configuration = write_configuration(&folder);
    let (succeeded, output) = run_program(&["check", &configuration]);
    // The lease of 2 s, corrected for the drift of both clocks, plus the check interval.
    assert!(succeeded && output.contains("T: 2.1s"), "{output}");
    let (succeeded, output) = run_program(&["settings", "init", &configuration]);
    assert!(succeeded, "{output}");
    let terms =
        config::load(configuration.as_ref()).ok().and_then(|c| c.agreement).expect("the terms of agreement");
    let stored_votes = || std::fs::read(folder.0.join("votes/agreement.kept")).expect("the file of votes");
    assert_eq!(stored_votes(), wire::encode_vote_file(&DurableState::default(), terms.fingerprint(), 0));
    assert!(!run_program(&["settings", "init", &configuration]).0, "a second init would discard the votes");

    let (gateway, gateway_address) = start_gateway(&folder, &configuration);
    let key = folder.0.join("operators.lisp").display().to_string();
    let rules = folder.write_file("rules.lisp", "(class heavy (kinds m4))\n(attempts (cap 2))\n");
    let propose = |file: &str, key: &str| {
        run_program(&["settings", "propose", &gateway_address, file, "--key-file", key])
    };
    let (succeeded, output) =
        run_program(&["settings", "propose", &gateway_address, &rules, "--key-file", &key, "--dry-run"]);
    assert!(succeeded && output.contains("- class heavy: kinds as configured -> m4"), "{output}");
    assert!(run_program(&["settings", "show", &gateway_address]).1.contains("newest version 0"));
    let (succeeded, output) = propose(&rules, &key);
    assert!(succeeded && output.contains("committed as version 1"), "{output}");

    let wrong_key = folder.write_file("wrong.lisp", "(key ann \"another key of operators, unknown\")");
    let (succeeded, output) = propose(&rules, &wrong_key);
    assert!(!succeeded && output.contains("no operator's key"), "{output}");
    for (invalid, reason) in [
        ("(class light (admit no))", "(agreement (floor"),
        ("(class huge (admit no))", "1:1: there is no class huge"),
        ("(class heavy", "not an S-expression"),
        (WINDOW, "has no (windows ...)"),
    ] {
        let (succeeded, output) = propose(&folder.write_file("bad.lisp", invalid), &key);
        assert!(!succeeded && output.contains("unfit") && output.contains(reason), "{output}");
    }
    let second = folder.write_file("second.lisp", "(class heavy (admit no))\n(attempts (cap 2))\n");
    assert!(propose(&second, &key).0);
    let (_, output) = run_program(&["settings", "diff", &gateway_address, "1", "2"]);
    assert_eq!(output, "- (class heavy (kinds m4))\n+ (class heavy (admit no))\n");
    let (succeeded, output) = run_program(&["settings", "undo", &gateway_address, "--key-file", &key]);
    assert!(
        succeeded && output.contains("+ class heavy: refused -> admitted") && output.contains("version 3"),
        "{output}"
    );
    let (_, output) = run_program(&["settings", "history", &gateway_address]);
    let numbers: Vec<&str> =
        output.lines().filter(|l| !l.starts_with(' ')).filter_map(|l| l.split(' ').next()).collect();
    assert_eq!(numbers, ["1", "2", "3"]);

    // A second process on the same folder of votes does not start. A restart after a kill reads them again.
    let (succeeded, output) = run_program(&["serve", &configuration]);
    assert!(!succeeded && output.contains("used by another process"), "{output}");
    drop(gateway);
    // The file is byte for byte in the format of the agreement package, so that earlier versions can read it
    // and their files can be read.
    let (votes, writes) =
        wire::decode_vote_file(&stored_votes(), terms.fingerprint()).expect("a valid file of votes");
    assert_eq!(
        (wire::encode_vote_file(&votes, terms.fingerprint(), writes), votes.history.newest().0),
        (stored_votes(), 3)
    );
    let (_gateway, gateway_address) = start_gateway(&folder, &configuration);
    let (_, output) = run_program(&["settings", "show", &gateway_address]);
    assert!(output.contains("newest version 3") && output.contains("(class heavy (kinds m4))"), "{output}");
}

#[test]
fn a_voter_without_its_file_serves_and_reports_that_it_does_not_vote() {
    let folder = TempFolder::new("lost");
    let configuration = write_configuration(&folder);
    let (_gateway, gateway_address) = start_gateway(&folder, &configuration);
    let (_, output) = run_program(&["settings", "show", &gateway_address]);
    assert!(output.contains("does not vote: ") && output.contains("has no lease"), "{output}");
}

#[test]
fn a_maintenance_window_is_proposed_granted_and_called_off() {
    let folder = TempFolder::new("windows");
    let configuration = write_configuration(&folder);
    let text = std::fs::read_to_string(&configuration).expect("the configuration is readable");
    folder.write_file("gateway.lisp", &format!("{text}\n(windows (folder \"profiles\") (weeks 1))"));
    let engine = |n: u16| format!("(engine e{n} (address \"127.0.0.1:9\") (kind m8))\n");
    folder.write_file("engines.lisp", &(1..4).map(engine).collect::<String>());
    assert!(run_program(&["settings", "init", &configuration]).0);
    let invalid =
        folder.write_file("bad.lisp", &format!("{text}\n(windows (folder \"profiles\") (lead \"1s\"))"));
    let (succeeded, output) = run_program(&["check", &invalid]);
    assert!(!succeeded && output.contains("expected lead >="), "{output}");
    let key = folder.0.join("operators.lisp").display().to_string();
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a time after 1970")
        .as_micros() as u64;
    let window = |engines: &str, more: &str| {
        let time = |hours: u64| timestamp::format(now + hours * 3_600_000_000);
        let (from, until) = (time(1), time(2));
        let text = format!("(window w (engines {engines}) (from \"{from}\") (until \"{until}\"){more})\n");
        folder.write_file("window.lisp", &text)
    };
    let propose = |gateway_address: &str, file: &str, more: &[&str]| {
        let arguments = [&["settings", "propose", gateway_address, file, "--key-file", &key], more].concat();
        run_program(&arguments)
    };
    // Without a learned profile the demand is unknown, and the refusal names the class.
    {
        let (_gateway, gateway_address) = start_gateway(&folder, &configuration);
        wait_for_engine_list(&gateway_address);
        let (succeeded, output) = propose(&gateway_address, &window("e2", ""), &["--dry-run"]);
        let reason = "what class heavy needs is not sure: nothing has been learned yet";
        assert!(!succeeded && output.contains("- window w: e2") && output.contains(reason), "{output}");
    }
    let mut profile = Profile::new(Default::default());
    let cell = |class| Cell { class, group: None, kind: None, zone: None, site: None };
    for quarter in (now - WEEK) / QUARTER..=now / QUARTER + 1 {
        for _ in 0..3 {
            profile.sample(quarter * QUARTER, &[(cell(0), 2.0), (cell(1), 1.0)]);
        }
    }
    let store = FileStore::open(&folder.0.join("profiles"));
    store.and_then(|mut store| store.put("profile", &profile.write())).expect("the profile is stored");
    let (_gateway, gateway_address) = start_gateway(&folder, &configuration);
    wait_for_engine_list(&gateway_address);
    let (succeeded, output) = propose(&gateway_address, &window("e2 e3", ""), &[]);
    assert!(!succeeded && output.contains("would not be covered if e1 failed as well"), "{output}");
    let (succeeded, output) = propose(&gateway_address, &window("e2", ""), &[]);
    assert!(succeeded && output.contains("- window w: e2 from"), "{output}");
    let (succeeded, output) = propose(&gateway_address, &folder.write_file("none.lisp", ""), &[]);
    assert!(!succeeded && output.contains("window w is not over"), "{output}");
    let status = || {
        futures_lite::future::block_on(windows::fetch_status(gateway_address.parse().expect("an address")))
            .expect("the status of windows")
    };
    let start = Instant::now();
    while status().windows.is_empty() {
        assert!(start.elapsed() < START_TIMEOUT, "{:?}", status());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!((status().windows[0].phase.as_str(), status().away.len()), ("granted", 0));
    let (succeeded, output) = propose(&gateway_address, &window("e2", " (off yes)"), &[]);
    assert!(succeeded && output.contains("+ window w: called off"), "{output}");
    assert!(run_program(&["settings", "show", &gateway_address]).1.contains("(off yes)"));

    let accept_clock = |key: &str| run_program(&["settings", "clock", &gateway_address, "--key-file", key]);
    assert!(accept_clock(&key).1.contains("windows go by the wall clock again"));
    let (succeeded, output) =
        accept_clock(&folder.write_file("wrong.lisp", "(key ann \"another key of operators, unknown\")"));
    assert!(!succeeded && output.contains("no operator's key"), "{output}");
}

/// Waits until the gateway has its lease and has read its engine list.
fn wait_for_engine_list(gateway_address: &str) {
    let (address, start) = (gateway_address.parse().expect("an address"), Instant::now());
    let is_ready = || {
        futures_lite::future::block_on(windows::fetch_status(address))
            .is_ok_and(|w| w.lease && w.engines == 3)
    };
    while !is_ready() {
        assert!(start.elapsed() < START_TIMEOUT, "no lease or no engine list");
        std::thread::sleep(Duration::from_millis(20));
    }
}
