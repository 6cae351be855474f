//! An operator's way through versions of the settings, by the program's own commands against a gateway that votes alone.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use violetward_agreement::{wire, Kept};
use violetward_gateway::{config, timestamp, windows};
use violetward_store::file::Files;
use violetward_store::Store;
use violetward_windows::profile::{Profile, QUARTER, WEEK};
use violetward_windows::Cell;

const PROGRAM: &str = env!("CARGO_BIN_EXE_violetward");

const WINDOW: &str =
    r#"(window w (engines e2) (from "2126-12-02T03:00:00Z") (until "2126-12-02T04:00:00Z"))"#;

/// A folder of its own, gone with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("violetward-settings-{name}-{}", std::process::id()));
        std::fs::remove_dir_all(&folder).ok();
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("a file");
        file.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

fn configuration(folder: &Folder) -> String {
    folder.file("keys.lisp", "(key all \"a key for datagrams, not secret\")");
    folder.file("operators.lisp", "(key ann \"a key of operators, not secret\")");
    folder.file("engines.lisp", "(engine e1 (address \"127.0.0.1:9\") (kind m8))\n");
    folder.file(
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

fn run(arguments: &[&str]) -> (bool, String) {
    let Output { status, stdout, stderr } =
        Command::new(PROGRAM).args(arguments).output().expect("the program runs");
    (status.success(), String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned())
}

fn serve(folder: &Folder, configuration: &str) -> (Running, String) {
    let ready = folder.0.join("address");
    std::fs::remove_file(&ready).ok();
    let child = Command::new(PROGRAM)
        .args(["serve", configuration, "--address-file"])
        .arg(&ready)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    (Running(child), address(&ready))
}

fn address(file: &Path) -> String {
    let start = Instant::now();
    loop {
        match std::fs::read_to_string(file) {
            Ok(address) => return address,
            Err(_) => assert!(start.elapsed() < Duration::from_secs(20), "it does not start"),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn from_a_proposal_to_its_undoing() {
    let folder = Folder::new("course");
    let configuration = configuration(&folder);
    let (good, told) = run(&["check", &configuration]);
    // 2 s by a clock that runs slow, held by one that runs fast, and the look.
    assert!(good && told.contains("T: 2.1s"), "{told}");
    let (good, told) = run(&["settings", "init", &configuration]);
    assert!(good, "{told}");
    let terms = config::load(configuration.as_ref()).ok().and_then(|c| c.agreement).expect("terms");
    let kept = || std::fs::read(folder.0.join("votes/agreement.kept")).expect("what is kept");
    assert_eq!(kept(), wire::keep(&Kept::default(), terms.fingerprint(), 0));
    assert!(!run(&["settings", "init", &configuration]).0, "votes would be forgotten");

    let (gateway, at) = serve(&folder, &configuration);
    let key = folder.0.join("operators.lisp").display().to_string();
    let rules = folder.file("rules.lisp", "(class heavy (kinds m4))\n(attempts (cap 2))\n");
    let propose = |file: &str, key: &str| run(&["settings", "propose", &at, file, "--key-file", key]);
    let (good, told) = run(&["settings", "propose", &at, &rules, "--key-file", &key, "--dry-run"]);
    assert!(good && told.contains("- class heavy: kinds as configured -> m4"), "{told}");
    assert!(run(&["settings", "show", &at]).1.contains("newest version 0"));
    let (good, told) = propose(&rules, &key);
    assert!(good && told.contains("committed as version 1"), "{told}");

    let wrong = folder.file("wrong.lisp", "(key ann \"another key of operators, unknown\")");
    let (good, told) = propose(&rules, &wrong);
    assert!(!good && told.contains("no operator's key"), "{told}");
    for (bad, why) in [
        ("(class light (admit no))", "(agreement (floor"),
        ("(class huge (admit no))", "1:1: there is no class huge"),
        ("(class heavy", "not an S-expression"),
        (WINDOW, "has no (windows ...)"),
    ] {
        let (good, told) = propose(&folder.file("bad.lisp", bad), &key);
        assert!(!good && told.contains("unfit") && told.contains(why), "{told}");
    }
    let second = folder.file("second.lisp", "(class heavy (admit no))\n(attempts (cap 2))\n");
    assert!(propose(&second, &key).0);
    let (_, told) = run(&["settings", "diff", &at, "1", "2"]);
    assert_eq!(told, "- (class heavy (kinds m4))\n+ (class heavy (admit no))\n");
    let (good, told) = run(&["settings", "undo", &at, "--key-file", &key]);
    assert!(
        good && told.contains("+ class heavy: refused -> admitted") && told.contains("version 3"),
        "{told}"
    );
    let (_, told) = run(&["settings", "history", &at]);
    let numbers: Vec<&str> =
        told.lines().filter(|l| !l.starts_with(' ')).filter_map(|l| l.split(' ').next()).collect();
    assert_eq!(numbers, ["1", "2", "3"]);

    // A second process on the same votes does not start; the same one finds them after it was killed.
    let (good, told) = run(&["serve", &configuration]);
    assert!(!good && told.contains("used by another process"), "{told}");
    drop(gateway);
    // Octet for octet what agreement's own format says: files of earlier programs are read, and theirs read ours.
    let (read, writes) = wire::kept(&kept(), terms.fingerprint()).expect("a good file");
    assert_eq!((wire::keep(&read, terms.fingerprint(), writes), read.history.newest().0), (kept(), 3));
    let (_gateway, at) = serve(&folder, &configuration);
    let (_, told) = run(&["settings", "show", &at]);
    assert!(told.contains("newest version 3") && told.contains("(class heavy (kinds m4))"), "{told}");
}

#[test]
fn a_voter_without_its_file_serves_and_says_that_it_does_not_vote() {
    let folder = Folder::new("lost");
    let configuration = configuration(&folder);
    let (_gateway, at) = serve(&folder, &configuration);
    let (_, told) = run(&["settings", "show", &at]);
    assert!(told.contains("does not vote: ") && told.contains("has no lease"), "{told}");
}

#[test]
fn from_a_window_that_is_asked_for_to_its_calling_off() {
    let folder = Folder::new("windows");
    let configuration = configuration(&folder);
    let text = std::fs::read_to_string(&configuration).expect("it is there");
    folder.file("gateway.lisp", &format!("{text}\n(windows (folder \"profiles\") (weeks 1))"));
    let engine = |n: u16| format!("(engine e{n} (address \"127.0.0.1:9\") (kind m8))\n");
    folder.file("engines.lisp", &(1..4).map(engine).collect::<String>());
    assert!(run(&["settings", "init", &configuration]).0);
    let bad = folder.file("bad.lisp", &format!("{text}\n(windows (folder \"profiles\") (lead \"1s\"))"));
    let (good, told) = run(&["check", &bad]);
    assert!(!good && told.contains("expected lead >="), "{told}");
    let key = folder.0.join("operators.lisp").display().to_string();
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("now").as_micros() as u64;
    let window = |engines: &str, more: &str| {
        let time = |hours: u64| timestamp::format(now + hours * 3_600_000_000);
        let (from, until) = (time(1), time(2));
        let text = format!("(window w (engines {engines}) (from \"{from}\") (until \"{until}\"){more})\n");
        folder.file("window.lisp", &text)
    };
    let propose = |at: &str, file: &str, more: &[&str]| {
        let all = [&["settings", "propose", at, file, "--key-file", &key], more].concat();
        run(&all)
    };
    // Nothing has been learned: nothing is sure, and it says of what.
    {
        let (_gateway, at) = serve(&folder, &configuration);
        listed(&at);
        let (good, told) = propose(&at, &window("e2", ""), &["--dry-run"]);
        let why = "what class heavy needs is not sure: nothing has been learned yet";
        assert!(!good && told.contains("- window w: e2") && told.contains(why), "{told}");
    }
    let mut profile = Profile::new(Default::default());
    let cell = |class| Cell { class, group: None, kind: None, zone: None, site: None };
    for quarter in (now - WEEK) / QUARTER..=now / QUARTER + 1 {
        for _ in 0..3 {
            profile.sample(quarter * QUARTER, &[(cell(0), 2.0), (cell(1), 1.0)]);
        }
    }
    let store = Files::open(&folder.0.join("profiles"));
    store.and_then(|mut store| store.put("profile", &profile.write())).expect("it is kept");
    let (_gateway, at) = serve(&folder, &configuration);
    listed(&at);
    let (good, told) = propose(&at, &window("e2 e3", ""), &[]);
    assert!(!good && told.contains("would not be covered if e1 failed as well"), "{told}");
    let (good, told) = propose(&at, &window("e2", ""), &[]);
    assert!(good && told.contains("- window w: e2 from"), "{told}");
    let (good, told) = propose(&at, &folder.file("none.lisp", ""), &[]);
    assert!(!good && told.contains("window w is not over"), "{told}");
    let standing = || {
        futures_lite::future::block_on(windows::fetch_status(at.parse().expect("an address"))).expect("told")
    };
    let start = Instant::now();
    while standing().windows.is_empty() {
        assert!(start.elapsed() < Duration::from_secs(20), "{:?}", standing());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!((standing().windows[0].phase.as_str(), standing().away.len()), ("granted", 0));
    let (good, told) = propose(&at, &window("e2", " (off yes)"), &[]);
    assert!(good && told.contains("+ window w: called off"), "{told}");
    assert!(run(&["settings", "show", &at]).1.contains("(off yes)"));

    let clock = |key: &str| run(&["settings", "clock", &at, "--key-file", key]);
    assert!(clock(&key).1.contains("windows go by the wall clock again"));
    let (good, told) = clock(&folder.file("wrong.lisp", "(key ann \"another key of operators, unknown\")"));
    assert!(!good && told.contains("no operator's key"), "{told}");
}

/// Waits until the gateway has read its list.
fn listed(at: &str) {
    let (address, start) = (at.parse().expect("an address"), Instant::now());
    let lease = || {
        futures_lite::future::block_on(windows::fetch_status(address))
            .is_ok_and(|w| w.lease && w.engines == 3)
    };
    while !lease() {
        assert!(start.elapsed() < Duration::from_secs(20), "no lease, or no list");
        std::thread::sleep(Duration::from_millis(20));
    }
}
