//! Plans of a cluster: how many of what, and what goes wrong when. Built-in ones are texts like any other.

use std::path::Path;
use std::time::Duration;

use violetward_gateway::forms::{self, Checker, Form};

use super::settings::Disk;

/// What the links between some gateways do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weather {
    /// Share of datagrams that get lost.
    pub loss: f64,
    /// Longest delay; what is delayed is reordered with it.
    pub delay: Duration,
    /// Share that comes twice.
    pub copies: f64,
    /// Share with a bit turned.
    pub spoilt: f64,
}

/// A calm network.
pub const CALM: Weather = Weather { loss: 0.0, delay: Duration::ZERO, copies: 0.0, spoilt: 0.0 };

/// Something that happens. Gateways are told by number.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    /// Processes end without a word.
    Kill(Vec<usize>),
    /// They start anew, under their names and addresses.
    Start(Vec<usize>),
    /// They get SIGTERM.
    Term(Vec<usize>),
    /// One after the other is killed, and starts again half of that span later: every so often, so many times.
    Kills(Duration, usize, Vec<usize>),
    /// One after the other gets SIGTERM and starts again as soon as it has ended.
    Roll(Vec<usize>),
    /// They stand still for a span.
    Stop(Vec<usize>, Duration),
    /// Nothing passes from the first to the second, one way.
    Cut(Vec<usize>, Vec<usize>),
    /// Nothing passes between groups, and from one to itself all does.
    Part(Vec<Vec<usize>>),
    /// All links are whole again.
    Heal,
    /// All links are like this.
    Weather(Weather),
    /// A second process of a name starts, at other addresses.
    Twin(usize),
    /// Datagrams that are forged, replayed, cut, too long, of invented names: so many of each.
    Flood(usize),
    /// Keys change: the new one is believed first, signs a second later, and the last gateway hears of it later still.
    Rekey,
    /// Nothing passes between a gateway and the engines.
    CutEngines(Vec<usize>),
    /// Engines' processes end.
    KillEngines(Vec<usize>),
    /// They start anew, cold.
    StartEngines(Vec<usize>),
    /// A gateway is asked to make these rules the next version of the settings.
    Propose(usize, String),
    /// Look-ups are to run on the one kind of machine and on the other in turn: every so often, so many times, proposed at
    /// these gateways in turn.
    Flips(Duration, usize, Vec<usize>),
    /// Engines are listed as draining.
    DrainEngines(Vec<usize>),
    /// The lists of these gateways come so late from now on.
    Lag(Duration, Vec<usize>),
    /// A voter that has lost its file, and does not run, gets a new one by the command for it.
    Replace(usize),
    /// Something happens to the file of a voter that does not run.
    Disk(usize, Disk),
}

impl Act {
    /// How long it lasts.
    pub fn lasts(&self) -> Duration {
        match self {
            Act::Stop(_, span) => *span,
            Act::Rekey => Duration::from_secs(4),
            Act::Flips(every, count, _) | Act::Kills(every, count, _) => *every * *count as u32,
            Act::Roll(all) => Duration::from_secs(2) * all.len() as u32,
            _ => Duration::ZERO,
        }
    }
}

/// What a run has to show beyond the rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Expect {
    /// All that run agree on who lives this long after the last act, at the latest.
    pub agree: Duration,
    /// Running members that may be taken for dead by somebody, in all.
    pub false_deaths: usize,
    /// The sum of shares is within a tenth of one this long after the last act; `None` where parts stay cut.
    pub shares: Option<Duration>,
    /// Some gateway must have stood so with the others at some time.
    pub standing: Vec<(usize, String)>,
    /// Some gateway must have seen a link so: from, to, word.
    pub link: Vec<(usize, usize, String)>,
    /// Pauses that gateways must have noticed, in all, at least.
    pub pauses: u64,
    /// Datagrams that must have been refused, in all, at least.
    pub refused: u64,
    /// All that run act on one version in full this long after the last act, at the latest; it has at least this number.
    pub settings: Option<(Duration, u64)>,
    /// Outcomes of proposals that must have been told, each.
    pub outcomes: Vec<String>,
    /// Who must have lost its vote.
    pub voteless: Vec<usize>,
    /// Statements that must have been taken over, in all, at least.
    pub adopted: u64,
    /// Statements that may be lost with their holder and all its guardians; `None`: it's for the rules to say.
    pub lost: usize,
    /// SIGTERM ends a process within this span.
    pub rolled: Option<Duration>,
}

/// A plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Gateways, engines and sites.
    pub gateways: usize,
    /// See `gateways`.
    pub engines: usize,
    /// See `gateways`.
    pub sites: usize,
    /// How long clients come.
    pub span: Duration,
    /// Work asked for, against all cores.
    pub load: f64,
    /// Between two probes of membership.
    pub period: Duration,
    /// Gateways that vote on settings, from the first; 0: no agreement.
    pub voters: usize,
    /// How long a lease lasts.
    pub lease: Duration,
    /// Gateways that grant tenures of custody, from the first; 0: statements end with their gateway.
    pub keepers: usize,
    /// Guardians of a statement.
    pub copies: usize,
    /// Gateways whose configuration lacks a tenant that all others have.
    pub odd: Vec<usize>,
    /// What happens, by time.
    pub acts: Vec<(Duration, Act)>,
    /// What has to hold.
    pub expect: Expect,
}

/// The built-in plans: name, what it tries, and its text.
pub const BUILT_IN: [(&str, &str, &str); 47] = [
    (
        "pair-cut",
        "two gateways and one cut between them, both ways, healed",
        r#"
        (gateways 2) (engines 2) (span "14s") (load 0.4)
        (at "4s" (part (0) (1))) (at "9s" (heal))
        (expect (agree "10s") (shares "10s") (standing 0 cut-off) (standing 1 cut-off))"#,
    ),
    (
        "calm",
        "eight gateways and no fault",
        r#"
        (gateways 8) (engines 6) (span "12s") (load 0.6) (expect (agree "6s") (shares "6s"))"#,
    ),
    (
        "half-killed",
        "half are killed at once and back ten seconds later",
        r#"
        (gateways 8) (engines 6) (span "26s") (load 0.6)
        (at "5s" (kill 0 1 2 3)) (at "15s" (start 0 1 2 3)) (expect (agree "10s") (shares "12s"))"#,
    ),
    (
        "rolled",
        "one is ended by SIGTERM, says good-bye and comes back",
        r#"
        (gateways 4) (engines 3) (span "9s") (load 0.4)
        (at "3s" (term 0)) (at "6s" (start 0)) (expect (agree "6s") (shares "7s"))"#,
    ),
    (
        "nine-in-ten",
        "a storm of restarts: nine in ten are killed and start at once",
        r#"
        (gateways 10) (engines 6) (span "20s") (load 0.5)
        (at "5s" (kill 0 1 2 3 4 5 6 7 8)) (at "6s" (start 0 1 2 3 4 5 6 7 8))
        (expect (agree "12s") (shares "14s"))"#,
    ),
    (
        "paused",
        "one stands still for half a second, three and thirty seconds, with requests taken",
        r#"
        (gateways 6) (engines 4) (span "52s") (load 0.5)
        (at "4s" (stop "500ms" 0)) (at "7s" (stop "3s" 1)) (at "13s" (stop "30s" 2))
        (expect (agree "12s") (shares "12s") (pauses 3))"#,
    ),
    (
        "one-way",
        "one pair is cut one way",
        r#"
        (gateways 6) (engines 4) (span "20s") (load 0.5)
        (at "4s" (cut (0) (1))) (at "14s" (heal))
        (expect (agree "8s") (shares "8s") (link 0 1 outbound) (link 1 0 inbound))"#,
    ),
    (
        "unheard",
        "nobody hears one that hears all",
        r#"
        (gateways 6) (engines 4) (span "22s") (load 0.5)
        (at "4s" (cut (0) (1 2 3 4 5))) (at "14s" (heal))
        (expect (agree "12s") (shares "12s") (standing 0 unheard))"#,
    ),
    (
        "third",
        "a third does not hear the rest",
        r#"
        (gateways 6) (engines 4) (span "24s") (load 0.5)
        (at "4s" (cut (2 3 4 5) (0 1))) (at "14s" (heal)) (expect (agree "14s") (shares "14s"))"#,
    ),
    (
        "flapping",
        "a cut that opens and closes each second",
        r#"
        (gateways 6) (engines 4) (span "20s") (load 0.5)
        (at "4s" (part (0 1) (2 3 4 5))) (at "5s" (heal)) (at "6s" (part (0 1) (2 3 4 5))) (at "7s" (heal))
        (at "8s" (part (0 1) (2 3 4 5))) (at "9s" (heal)) (at "10s" (part (0 1) (2 3 4 5))) (at "11s" (heal))
        (expect (agree "10s") (shares "10s"))"#,
    ),
    (
        "loss-20",
        "a minute of 20% loss, copies and spoilt datagrams, and nobody dies",
        r#"
        (gateways 8) (engines 4) (span "70s") (load 0.4)
        (at "4s" (weather (loss 0.2) (delay "20ms") (copies 0.05) (spoilt 0.01))) (at "64s" (weather))
        (expect (agree "8s") (shares "10s"))"#,
    ),
    (
        "loss-40",
        "a minute of 40% loss, and nobody dies",
        r#"
        (gateways 8) (engines 4) (span "70s") (load 0.4)
        (at "4s" (weather (loss 0.4) (delay "20ms") (copies 0.05))) (at "64s" (weather))
        (expect (agree "10s") (shares "12s") (false-deaths 1))"#,
    ),
    (
        "halves",
        "a partition into two halves that both serve, healed",
        r#"
        (gateways 8) (engines 6) (span "30s") (load 0.5)
        (at "4s" (part (0 1 2 3) (4 5 6 7))) (at "18s" (heal)) (expect (agree "14s") (shares "14s"))"#,
    ),
    (
        "thirds",
        "three parts that heal in turn",
        r#"
        (gateways 9) (engines 6) (span "36s") (load 0.5)
        (at "4s" (part (0 1 2) (3 4 5) (6 7 8))) (at "14s" (part (0 1 2 3 4 5) (6 7 8))) (at "22s" (heal))
        (expect (agree "14s") (shares "14s"))"#,
    ),
    (
        "forged",
        "forged, replayed, cut and oversized datagrams, and a flood of invented names",
        r#"
        (gateways 4) (engines 3) (span "14s") (load 0.4)
        (at "4s" (flood 2000)) (expect (agree "6s") (shares "6s") (refused 4000))"#,
    ),
    (
        "rekey",
        "the key changes in service, and one hears of it late",
        r#"
        (gateways 5) (engines 3) (span "16s") (load 0.4) (at "4s" (rekey)) (expect (agree "8s") (shares "8s"))"#,
    ),
    (
        "twin",
        "two processes of one name",
        r#"
        (gateways 4) (engines 3) (span "16s") (load 0.4)
        (at "4s" (twin 0)) (expect (agree "8s") (shares "8s"))"#,
    ),
    (
        "settings-cut",
        "settings: two gateways of which one votes, and one cut while versions change",
        r#"
        (gateways 2) (engines 3) (span "16s") (load 0.9) (voters 1)
        (at "1s" (flips "500ms" 7 0)) (at "5s" (part (0) (1))) (at "5050ms" (flips "2500ms" 2 0)) (at "11s" (heal))
        (expect (settings "6s" 9))"#,
    ),
    (
        "settings-calm",
        "settings: three that vote, forty changes, some datagrams lost and copied",
        r#"
        (gateways 3) (engines 3) (span "22s") (load 0.5) (voters 3)
        (at "500ms" (weather (loss 0.05) (delay "5ms") (copies 0.05)))
        (at "1s" (flips "400ms" 40 0 1 2)) (expect (settings "6s" 36))"#,
    ),
    (
        "settings-paused",
        "settings: gateways stand still for longer than their lease, under load, while versions change",
        r#"
        (gateways 5) (engines 6) (span "30s") (load 0.6) (voters 3)
        (at "1s" (flips "700ms" 36 0 1)) (at "4s" (stop "5s" 3)) (at "8s" (stop "3s" 2)) (at "12s" (stop "4s" 4))
        (at "17s" (stop "2500ms" 3)) (at "21s" (stop "3s" 4)) (expect (settings "8s" 30))"#,
    ),
    (
        "settings-halves",
        "settings: a partition; the minority proposes in vain, the majority commits",
        r#"
        (gateways 5) (engines 6) (span "28s") (load 0.5) (voters 5)
        (at "1s" (flips "500ms" 4 0 3)) (at "5s" (part (0 1) (2 3 4)))
        (at "7s" (propose 0 "(class report (admit no)) ; by the minority"))
        (at "8s" (flips "1200ms" 5 2 3 4)) (at "17s" (heal)) (expect (settings "10s" 9) (outcomes unknown committed))"#,
    ),
    (
        "settings-rivals",
        "settings: two operators propose at once, again and again",
        r#"
        (gateways 3) (engines 3) (span "18s") (load 0.5) (voters 3)
        (at "1s" (flips "600ms" 20 0)) (at "1s" (flips "600ms" 20 1)) (at "1s" (flips "600ms" 20 2))
        (expect (settings "8s" 20) (outcomes conflict committed))"#,
    ),
    (
        "settings-killed",
        "settings: proposers are killed while they propose, and come back",
        r#"
        (gateways 5) (engines 3) (span "26s") (load 0.5) (voters 3)
        (at "1s" (flips "350ms" 50 0 1 2)) (at "3010ms" (kill 0)) (at "5s" (start 0)) (at "7003ms" (kill 1)) (at "9s" (start 1))
        (at "11001ms" (kill 2)) (at "13s" (start 2)) (at "15005ms" (kill 0)) (at "17s" (start 0))
        (expect (settings "8s" 20))"#,
    ),
    (
        "settings-all-killed",
        "settings: all are killed at once and come back with their disks",
        r#"
        (gateways 4) (engines 3) (span "24s") (load 0.4) (voters 3)
        (at "1s" (flips "500ms" 8 0 1)) (at "6s" (kill 0 1 2 3)) (at "8s" (start 0 1 2 3))
        (at "14s" (flips "500ms" 8 2 1)) (expect (settings "8s" 12))"#,
    ),
    (
        "settings-disks",
        "settings: one voter's disk is lost and another one's has a bit turned: they do not vote, and say so",
        r#"
        (gateways 5) (engines 3) (span "26s") (load 0.4) (voters 5)
        (at "1s" (flips "500ms" 6 0 1)) (at "5s" (kill 3 4)) (at "6s" (disk 3 lose)) (at "6s" (disk 4 spoil))
        (at "7s" (start 3 4)) (at "12s" (flips "500ms" 8 0 1)) (expect (settings "8s" 12) (voteless 3 4))"#,
    ),
    (
        "settings-old-disk",
        "settings: one voter comes back with an old copy of its disk: the others tell it, and it does not vote",
        r#"
        (gateways 4) (engines 3) (span "24s") (load 0.4) (voters 3)
        (at "1s" (flips "500ms" 2 0)) (at "3s" (kill 2)) (at "3200ms" (disk 2 save)) (at "3400ms" (start 2))
        (at "7s" (flips "500ms" 4 0 1)) (at "10s" (kill 2)) (at "10200ms" (disk 2 old)) (at "10400ms" (start 2))
        (at "15s" (flips "500ms" 6 0 1)) (expect (settings "8s" 10) (voteless 2))"#,
    ),
    (
        "settings-replaced",
        "settings: the disks of two voters are lost in turn, and each gets a new one that may vote later",
        r#"
        (gateways 4) (engines 3) (span "34s") (load 0.4) (voters 3)
        (at "1s" (flips "500ms" 4 0)) (at "4s" (kill 2)) (at "4200ms" (disk 2 lose)) (at "4500ms" (replace 2)) (at "5s" (start 2))
        (at "9s" (flips "500ms" 6 0 1)) (at "13s" (kill 1)) (at "13200ms" (disk 1 lose)) (at "13500ms" (replace 1)) (at "14s" (start 1))
        (at "19s" (flips "500ms" 6 0 2)) (at "23s" (kill 0)) (at "24s" (flips "800ms" 6 1 2)) (expect (settings "8s" 20))"#,
    ),
    (
        "settings-grown",
        "settings: three gateways become five and then two, while versions go through",
        r#"
        (gateways 5) (engines 3) (span "28s") (load 0.4) (voters 3)
        (at "500ms" (term 3 4)) (at "2s" (flips "500ms" 40 0 1)) (at "6s" (start 3 4)) (at "13s" (term 4)) (at "14s" (kill 3))
        (at "16s" (term 2)) (expect (settings "8s" 30))"#,
    ),
    (
        "settings-one-way",
        "settings: the proposer is cut one way and the other",
        r#"
        (gateways 3) (engines 3) (span "26s") (load 0.5) (voters 3)
        (at "1s" (flips "500ms" 6 0)) (at "4500ms" (cut (0) (1 2))) (at "5s" (flips "1500ms" 3 0)) (at "11s" (heal))
        (at "13s" (cut (1 2) (0))) (at "14s" (flips "1500ms" 3 0)) (at "19s" (heal)) (expect (settings "10s" 6))"#,
    ),
    (
        "settings-woken",
        "settings: gateways wake under load on rules that the others have left in full",
        r#"
        (gateways 4) (engines 3) (span "26s") (load 0.9) (voters 3)
        (at "1s" (flips "6s" 4 0)) (at "6500ms" (stop "4s" 3)) (at "12500ms" (stop "4s" 2 3)) (at "18500ms" (stop "4s" 1 3))
        (expect (settings "6s" 4))"#,
    ),
    (
        "settings-long",
        "settings: hundreds of changes with loss, pauses, cuts and kills all the while",
        r#"
        (gateways 5) (engines 6) (span "120s") (load 0.4) (voters 3)
        (at "1s" (flips "150ms" 500 0 1 2)) (at "5s" (weather (loss 0.05) (delay "10ms") (copies 0.05)))
        (at "12s" (stop "3s" 3)) (at "18s" (stop "3s" 1)) (at "25s" (kill 2)) (at "29s" (start 2))
        (at "35s" (part (0 1 3) (2 4))) (at "42s" (heal)) (at "47s" (cut (4) (0 1 2))) (at "53s" (heal))
        (at "57s" (kill 0 1)) (at "58s" (start 0 1)) (at "66s" (weather (loss 0.2) (delay "20ms") (copies 0.05)))
        (at "80s" (weather)) (at "84s" (stop "4s" 0)) (at "92s" (part (0 3) (1 2 4))) (at "99s" (heal)) (at "104s" (stop "2500ms" 2 4))
        (expect (settings "30s" 250))"#,
    ),
    (
        "site-lost",
        "a site's gateways and engines are killed at 60% of what the others have, and back cold after 10 seconds",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.36)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s"))"#,
    ),
    (
        "site-lost-full",
        "the same at 95% of what the others have",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.57)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s"))"#,
    ),
    (
        "site-flaps",
        "a site that comes and goes every four seconds",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.45)
        (at "8s" (kill 1 4)) (at "8s" (kill-engines 1 4)) (at "12s" (start-engines 1 4)) (at "12s" (start 1 4))
        (at "16s" (kill 1 4)) (at "16s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (at "24s" (kill 1 4)) (at "24s" (kill-engines 1 4)) (at "28s" (start-engines 1 4)) (at "28s" (start 1 4))
        (expect (agree "14s"))"#,
    ),
    (
        "lagging-lists",
        "drains and a removal that most gateways hear of from others long before their lists tell it",
        r#"
        (gateways 6) (engines 6) (span "22s") (load 0.5) (voters 3)
        (at "1s" (lag "6s" 1 2 3 4 5)) (at "4s" (drain-engines 0)) (at "8s" (drain-engines 2))
        (at "12s" (kill-engines 4)) (expect (agree "8s"))"#,
    ),
    (
        "custody-pair",
        "custody: three gateways, one of them killed once",
        r#"
        (gateways 3) (engines 3) (span "12s") (load 0.5) (keepers 3) (lease "1s")
        (at "5s" (kill 0)) (expect (adopted 1))"#,
    ),
    (
        "custody-calm",
        "custody: no fault: nothing moves",
        r#"
        (gateways 5) (engines 4) (span "12s") (load 0.5) (keepers 5) (lease "1s") (expect (agree "6s"))"#,
    ),
    (
        "custody-busy",
        "custody: the holder is killed with statements that wait, run and are half read, at 90% of all work",
        r#"
        (gateways 5) (engines 4) (span "24s") (load 0.9) (keepers 5) (lease "1s")
        (at "6s" (kill 0)) (at "10s" (start 0)) (at "14s" (kill 1)) (at "18s" (start 1)) (expect (adopted 2) (agree "12s"))"#,
    ),
    (
        "custody-two",
        "custody: two gateways are killed at once, a guardian with its holder among them",
        r#"
        (gateways 6) (engines 4) (span "22s") (load 0.6) (keepers 5) (lease "1s")
        (at "6s" (kill 0 1)) (at "12s" (start 0 1)) (expect (adopted 2) (agree "12s"))"#,
    ),
    (
        "custody-paused",
        "custody: a gateway stands still for longer than its lease with attempts out, and goes on",
        r#"
        (gateways 5) (engines 4) (span "30s") (load 0.6) (keepers 5) (lease "1s")
        (at "5s" (stop "8s" 0)) (at "16s" (stop "6s" 1)) (expect (adopted 2) (agree "12s"))"#,
    ),
    (
        "custody-one-way",
        "custody: holders are cut off from the others one way and the other",
        r#"
        (gateways 5) (engines 4) (span "30s") (load 0.5) (keepers 5) (lease "1s")
        (at "5s" (cut (0) (1 2 3 4))) (at "12s" (heal)) (at "16s" (cut (1 2 3 4) (0))) (at "23s" (heal))
        (expect (agree "14s"))"#,
    ),
    (
        "custody-halves",
        "custody: a partition in which both sides serve and clients reach both",
        r#"
        (gateways 5) (engines 4) (span "26s") (load 0.5) (keepers 5) (lease "1s")
        (at "5s" (part (0 1) (2 3 4))) (at "14s" (heal)) (expect (agree "14s"))"#,
    ),
    (
        "custody-rolled",
        "custody: all get SIGTERM one after the other and come back",
        r#"
        (gateways 5) (engines 4) (span "26s") (load 0.5) (keepers 5) (lease "1s")
        (at "4s" (roll 0 1 2 3 4)) (expect (adopted 2) (rolled "4s") (agree "12s"))"#,
    ),
    (
        "custody-kills",
        "custody: eight gateways, one of them killed every three seconds",
        r#"
        (gateways 8) (engines 6) (span "40s") (load 0.5) (keepers 5) (lease "1s")
        (at "4s" (kills "3s" 10 0 1 2 3 4 5 6 7)) (expect (adopted 10) (agree "12s"))"#,
    ),
    (
        "custody-kills-24",
        "custody: 24 gateways, one of them killed every two seconds",
        r#"
        (gateways 24) (engines 10) (span "50s") (load 0.4) (keepers 5) (lease "2s") (period "500ms")
        (at "6s" (kills "2s" 18 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22)) (expect (adopted 10) (agree "20s"))"#,
    ),
    (
        "custody-engine",
        "custody: a gateway and an engine are killed together",
        r#"
        (gateways 5) (engines 4) (span "22s") (load 0.5) (keepers 5) (lease "1s")
        (at "6s" (kill-engines 1)) (at "6s" (kill 0)) (at "11s" (start-engines 1)) (at "11s" (start 0))
        (expect (adopted 1) (agree "12s"))"#,
    ),
    (
        "settings-unfit",
        "settings: a version that a third of the gateways cannot read",
        r#"
        (gateways 3) (engines 3) (span "16s") (load 0.4) (voters 3) (odd 2)
        (at "1s" (flips "500ms" 6 0 1)) (at "5s" (propose 0 "(tenant extra (per-second 5)) ; not known by one"))
        (at "9s" (propose 1 "(class lookup (kinds m4)) ; read by all again")) (expect (settings "6s" 8) (outcomes committed))"#,
    ),
];

/// A plan by its name, or from a file.
///
/// # Errors
/// What is wrong, with its place.
pub fn find(name: &str) -> Result<Plan, String> {
    if let Some((name, _, text)) = BUILT_IN.iter().find(|p| p.0 == name) {
        return parse(name, text);
    }
    let path = Path::new(name);
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("{name} is no plan (see `violetward-lab cluster list`) and no file: {e}"))?;
    let stem = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_else(|| name.into());
    parse(&stem, &text)
}

/// Numbers from a form, each below `of`.
fn numbers(c: &mut Checker, form: &Form<'_>, of: usize) -> Vec<usize> {
    let mut all = Vec::new();
    for datum in &form.rest {
        match datum.value().as_u64().filter(|&n| (n as usize) < of) {
            Some(n) => all.push(n as usize),
            None => c.at(form, format!("{}: expected numbers under {of}", form.name)),
        }
    }
    all
}

/// Lists of numbers: `(cut (0) (1 2))`.
fn groups(c: &mut Checker, form: &Form<'_>, of: usize) -> Vec<Vec<usize>> {
    let mut all = Vec::new();
    for datum in &form.rest {
        let Some(items) = datum.list_iter() else {
            c.at(form, format!("{}: expected lists such as (0 1)", form.name));
            continue;
        };
        all.push(items.filter_map(|d| d.value().as_u64()).map(|n| n as usize).filter(|&n| n < of).collect());
    }
    all
}

fn weather(c: &mut Checker, form: &Form<'_>) -> Weather {
    let f = c.fields(form, 0, &["loss", "delay", "copies", "spoilt"]);
    Weather {
        loss: f.number(c, "loss", (0.0, 1.0), 0.0),
        delay: f.span(c, "delay", Duration::ZERO),
        copies: f.number(c, "copies", (0.0, 1.0), 0.0),
        spoilt: f.number(c, "spoilt", (0.0, 1.0), 0.0),
    }
}

fn act(c: &mut Checker, form: &Form<'_>, gateways: usize, engines: usize) -> Option<Act> {
    Some(match form.name.as_str() {
        "kill" => Act::Kill(numbers(c, form, gateways)),
        "start" => Act::Start(numbers(c, form, gateways)),
        "term" => Act::Term(numbers(c, form, gateways)),
        "roll" => Act::Roll(numbers(c, form, gateways)),
        "kills" => {
            let every = c.span(&form.with(vec![*form.rest.first()?]))?;
            let count = form.rest.get(1)?.value().as_u64()? as usize;
            Act::Kills(every, count, numbers(c, &form.with(form.rest.get(2..)?.to_vec()), gateways))
        }
        "stop" => {
            let first = form.with(vec![*form.rest.first()?]);
            let span = c.span(&first)?;
            Act::Stop(numbers(c, &form.with(form.rest[1..].to_vec()), gateways), span)
        }
        "cut" => {
            let [from, to] = <[Vec<usize>; 2]>::try_from(groups(c, form, gateways)).ok()?;
            Act::Cut(from, to)
        }
        "part" => Act::Part(groups(c, form, gateways)),
        "heal" => Act::Heal,
        "weather" => Act::Weather(weather(c, form)),
        "twin" => Act::Twin(*numbers(c, form, gateways).first()?),
        "flood" => Act::Flood(c.whole(form, 1, 1_000_000)? as usize),
        "rekey" => Act::Rekey,
        "cut-engines" => Act::CutEngines(numbers(c, form, gateways)),
        "kill-engines" => Act::KillEngines(numbers(c, form, engines)),
        "start-engines" => Act::StartEngines(numbers(c, form, engines)),
        "propose" => {
            let (number, text) = (form.rest.first()?.value().as_u64()?, form.rest.get(1)?.value().as_str()?);
            Act::Propose((number as usize).min(gateways - 1), text.to_owned())
        }
        "flips" => {
            let every = c.span(&form.with(vec![*form.rest.first()?]))?;
            let count = form.rest.get(1)?.value().as_u64()? as usize;
            Act::Flips(every, count, numbers(c, &form.with(form.rest.get(2..)?.to_vec()), gateways))
        }
        "replace" => Act::Replace(*numbers(c, form, gateways).first()?),
        "drain-engines" => Act::DrainEngines(numbers(c, form, engines)),
        "lag" => {
            let span = c.span(&form.with(vec![*form.rest.first()?]))?;
            Act::Lag(span, numbers(c, &form.with(form.rest.get(1..)?.to_vec()), gateways))
        }
        "disk" => {
            let number = form.rest.first()?.value().as_u64()? as usize;
            let kinds =
                [("save", Disk::Save), ("old", Disk::Old), ("lose", Disk::Lose), ("spoil", Disk::Spoil)];
            let what = c.choice(&form.with(vec![*form.rest.get(1)?]), &kinds)?;
            Act::Disk(number.min(gateways - 1), what)
        }
        other => {
            c.at(form, format!("{other} is no act"));
            return None;
        }
    })
}

/// Reads a plan.
///
/// # Errors
/// Every mistake, with line and column.
pub fn parse(name: &str, text: &str) -> Result<Plan, String> {
    let data = forms::read(text).map_err(|m| m.to_string())?;
    let mut c = Checker::default();
    let all: Vec<Form<'_>> = data.iter().filter_map(|d| c.form(d.as_ref())).collect();
    let known = [
        "gateways", "engines", "sites", "span", "load", "period", "voters", "lease", "keepers", "copies",
        "odd", "at", "expect",
    ];
    for form in all.iter().filter(|f| !known.contains(&f.name.as_str())) {
        c.at(form, format!("{} is not known; known: {}", form.name, known.join(", ")));
    }
    let get = |name: &str| all.iter().find(|f| f.name == name);
    let whole = |c: &mut Checker, name: &str, default| {
        get(name).and_then(|f| c.whole(f, 1, 64)).unwrap_or(default) as usize
    };
    let (gateways, engines, sites) =
        (whole(&mut c, "gateways", 4), whole(&mut c, "engines", 3), whole(&mut c, "sites", 1));
    let span = get("span").and_then(|f| c.span(f)).unwrap_or(Duration::from_secs(10));
    let load = get("load").and_then(|f| c.number(f, 0.0, 10.0)).unwrap_or(0.5);
    let period = get("period").and_then(|f| c.span(f)).unwrap_or(Duration::from_millis(200));
    let voters = get("voters").and_then(|f| c.whole(f, 1, gateways as u64)).unwrap_or(0) as usize;
    let keepers = get("keepers").and_then(|f| c.whole(f, 1, gateways as u64)).unwrap_or(0) as usize;
    let copies = get("copies").and_then(|f| c.whole(f, 1, 8)).unwrap_or(2) as usize;
    let lease = get("lease").and_then(|f| c.span(f)).unwrap_or(Duration::from_secs(2));
    let odd = get("odd").map(|f| numbers(&mut c, f, gateways)).unwrap_or_default();
    let mut acts = Vec::new();
    for form in all.iter().filter(|f| f.name == "at") {
        let [when, what] = form.rest.as_slice() else {
            c.at(form, "expected (at \"5s\" (act ...))");
            continue;
        };
        let at = c.span(&form.with(vec![*when]));
        let what = c.form(*what).and_then(|f| act(&mut c, &f, gateways, engines));
        match at.zip(what) {
            Some(pair) => acts.push(pair),
            None => c.at(form, "an act that can't be used"),
        }
    }
    acts.sort_by_key(|a| a.0);
    let mut expect = Expect {
        agree: Duration::from_secs(10),
        false_deaths: 0,
        shares: None,
        standing: Vec::new(),
        link: Vec::new(),
        pauses: 0,
        refused: 0,
        settings: None,
        outcomes: Vec::new(),
        voteless: Vec::new(),
        adopted: 0,
        lost: 0,
        rolled: None,
    };
    for datum in get("expect").map(|f| f.rest.clone()).unwrap_or_default() {
        let Some(f) = c.form(datum) else { continue };
        match f.name.as_str() {
            "agree" => expect.agree = c.span(&f).unwrap_or(expect.agree),
            "shares" => expect.shares = c.span(&f),
            "false-deaths" => expect.false_deaths = c.whole(&f, 0, 1000).unwrap_or(0) as usize,
            "pauses" => expect.pauses = c.whole(&f, 0, 1000).unwrap_or(0),
            "refused" => expect.refused = c.whole(&f, 0, 1_000_000).unwrap_or(0),
            "settings" => {
                let span = f.rest.first().map(|d| f.with(vec![*d])).and_then(|f| c.span(&f));
                let least = f.rest.get(1).and_then(|d| d.value().as_u64()).unwrap_or(1);
                expect.settings = span.map(|span| (span, least));
            }
            "adopted" => expect.adopted = c.whole(&f, 0, 1_000_000).unwrap_or(0),
            "lost" => expect.lost = c.whole(&f, 0, 1_000_000).unwrap_or(0) as usize,
            "rolled" => expect.rolled = c.span(&f),
            "outcomes" => expect.outcomes = c.words(&f),
            "voteless" => expect.voteless = numbers(&mut c, &f, gateways),
            "standing" | "link" => {
                let ns: Vec<usize> =
                    f.rest.iter().filter_map(|d| d.value().as_u64()).map(|n| n as usize).collect();
                let word = f.rest.last().and_then(|d| d.value().as_symbol()).unwrap_or_default().to_owned();
                match ns.as_slice() {
                    [n] if f.name == "standing" => expect.standing.push((*n, word)),
                    [a, b] if f.name == "link" => expect.link.push((*a, *b, word)),
                    _ => c.at(&f, "expected (standing N WORD) or (link N N WORD)"),
                }
            }
            other => c.at(&f, format!("{other} can't be expected")),
        }
    }
    if !c.mistakes.is_empty() {
        c.mistakes.sort();
        return Err(c.mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"));
    }
    Ok(Plan {
        name: name.into(),
        gateways,
        engines,
        sites,
        span,
        load,
        period,
        voters,
        lease,
        keepers,
        copies,
        odd,
        acts,
        expect,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_built_in_plan_is_read() {
        for (name, _, text) in BUILT_IN {
            let plan = parse(name, text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert!(plan.acts.iter().all(|a| a.0 < plan.span), "{name}: an act after the end");
        }
    }

    #[test]
    fn mistakes_are_told_with_their_places() {
        let wrong = parse("x", "(gateways 3)\n(at \"2s\" (kill 3))\n(at \"1s\" (sing))\n(expect (luck 1))")
            .unwrap_err();
        for told in
            ["2:10: kill: expected numbers under 3", "3:10: sing is no act", "4:9: luck can't be expected"]
        {
            assert!(wrong.contains(told), "{wrong}");
        }
    }
}
