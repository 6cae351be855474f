//! Plans of a cluster: how many of what, and what goes wrong when. Built-in ones are texts like any other.

use std::path::Path;
use std::time::Duration;

use violetward_gateway::forms::{self, Checker, Form};

use super::plans;
use super::settings::Disk;
use super::windows::{Held, Learned};

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
    /// Nothing passes between sites, neither among gateways nor from gateways to engines.
    PartSites,
    /// Nothing passes between clients and these gateways.
    CutClients(Vec<usize>),
    /// Gateways that are seen to take statements over are killed just then, so many, and start again that long after.
    KillTakers(usize, Duration),
    /// Pages are asked for with forged tokens, and with old ones.
    Forge,
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
    /// A gateway is asked for a window.
    Window(Window),
    /// Engines are taken through windows one after the other, each for so much work.
    Maintain(Duration, Vec<usize>),
    /// The same without windows: drained for two seconds, worked on, brought back, and the next one at once.
    RollEngines(Duration, Vec<usize>),
    /// A voter that has lost its file, and does not run, gets a new one by the command for it.
    Replace(usize),
    /// Something happens to the file of a voter that does not run.
    Disk(usize, Disk),
}

/// A window that is asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    /// At which gateway.
    pub gateway: usize,
    /// Its name and its engines.
    pub name: String,
    /// See `name`.
    pub engines: Vec<usize>,
    /// How long from now on it begins, and how long it lasts.
    pub after: Duration,
    /// See `after`.
    pub span: Duration,
}

impl Act {
    /// How long it lasts.
    pub fn lasts(&self) -> Duration {
        match self {
            Act::Stop(_, span) => *span,
            Act::Rekey => Duration::from_secs(4),
            Act::KillTakers(_, back) => *back + Duration::from_secs(2),
            Act::Forge => super::forged::LONG_AGO + Duration::from_secs(8),
            Act::Flips(every, count, _) | Act::Kills(every, count, _) => *every * *count as u32,
            Act::Roll(all) => Duration::from_secs(2) * all.len() as u32,
            Act::Window(ask) => ask.after + ask.span,
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
    /// What has to come of windows.
    pub windows: super::windows::Expect,
    /// Sites that must be called so by every gateway elsewhere, at the latest so long after the first act.
    pub site: Vec<(usize, String, Duration)>,
    /// Sites that may be called lost, cut off or partly lost by somebody; others may not.
    pub away: Vec<usize>,
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
    /// The loss of sites is watched and acted on.
    pub acts_on_loss: bool,
    /// Clients ask for so many times as much from then on.
    pub rates: Vec<(Duration, f64)>,
    /// How often summaries go out, if not as usual.
    pub round: Option<Duration>,
    /// A gateway whose clients' estimates are so many times too high.
    pub liar: Option<(usize, f64)>,
    /// Gateways whose configuration lacks a tenant that all others have.
    pub odd: Vec<usize>,
    /// Windows of maintenance, where they are held.
    pub windows: Option<Held>,
    /// What happens, by time.
    pub acts: Vec<(Duration, Act)>,
    /// What has to hold.
    pub expect: Expect,
}

impl Plan {
    /// By how much more clients ask at a time than usual.
    pub fn rate_at(&self, at: Duration) -> f64 {
        self.rates.iter().rev().find(|r| r.0 <= at).map_or(1.0, |r| r.1)
    }
}

/// A plan by its name, or from a file.
///
/// # Errors
/// What is wrong, with its place.
pub fn find(name: &str) -> Result<Plan, String> {
    if let Some((name, _, text)) = plans::all().find(|p| p.0 == name) {
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
    for datum in &form.args {
        match datum.value().as_u64().filter(|&n| (n as usize) < of) {
            Some(n) => all.push(n as usize),
            None => c.error_at(form, format!("{}: expected numbers under {of}", form.name)),
        }
    }
    all
}

/// Lists of numbers: `(cut (0) (1 2))`.
fn groups(c: &mut Checker, form: &Form<'_>, of: usize) -> Vec<Vec<usize>> {
    let mut all = Vec::new();
    for datum in &form.args {
        let Some(items) = datum.list_iter() else {
            c.error_at(form, format!("{}: expected lists such as (0 1)", form.name));
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
        delay: f.duration(c, "delay", Duration::ZERO),
        copies: f.number(c, "copies", (0.0, 1.0), 0.0),
        spoilt: f.number(c, "spoilt", (0.0, 1.0), 0.0),
    }
}

fn act(c: &mut Checker, form: &Form<'_>, gateways: usize, engines: usize) -> Option<Act> {
    let engines_of = engines;
    Some(match form.name.as_str() {
        "kill" => Act::Kill(numbers(c, form, gateways)),
        "start" => Act::Start(numbers(c, form, gateways)),
        "term" => Act::Term(numbers(c, form, gateways)),
        "roll" => Act::Roll(numbers(c, form, gateways)),
        "kills" => {
            let every = c.duration(&form.with_args(vec![*form.args.first()?]))?;
            let count = form.args.get(1)?.value().as_u64()? as usize;
            Act::Kills(every, count, numbers(c, &form.with_args(form.args.get(2..)?.to_vec()), gateways))
        }
        "stop" => {
            let first = form.with_args(vec![*form.args.first()?]);
            let span = c.duration(&first)?;
            Act::Stop(numbers(c, &form.with_args(form.args[1..].to_vec()), gateways), span)
        }
        "cut" => {
            let [from, to] = <[Vec<usize>; 2]>::try_from(groups(c, form, gateways)).ok()?;
            Act::Cut(from, to)
        }
        "part" => Act::Part(groups(c, form, gateways)),
        "heal" => Act::Heal,
        "weather" => Act::Weather(weather(c, form)),
        "twin" => Act::Twin(*numbers(c, form, gateways).first()?),
        "flood" => Act::Flood(c.integer(form, 1, 1_000_000)? as usize),
        "rekey" => Act::Rekey,
        "part-sites" => Act::PartSites,
        "forge" => Act::Forge,
        "cut-clients" => Act::CutClients(numbers(c, form, gateways)),
        "kill-takers" => {
            let count = form.args.first()?.value().as_u64()? as usize;
            Act::KillTakers(count, c.duration(&form.with_args(vec![*form.args.get(1)?]))?)
        }
        "cut-engines" => Act::CutEngines(numbers(c, form, gateways)),
        "kill-engines" => Act::KillEngines(numbers(c, form, engines)),
        "start-engines" => Act::StartEngines(numbers(c, form, engines)),
        "propose" => {
            let (number, text) = (form.args.first()?.value().as_u64()?, form.args.get(1)?.value().as_str()?);
            Act::Propose((number as usize).min(gateways - 1), text.to_owned())
        }
        "flips" => {
            let every = c.duration(&form.with_args(vec![*form.args.first()?]))?;
            let count = form.args.get(1)?.value().as_u64()? as usize;
            Act::Flips(every, count, numbers(c, &form.with_args(form.args.get(2..)?.to_vec()), gateways))
        }
        "replace" => Act::Replace(*numbers(c, form, gateways).first()?),
        "drain-engines" => Act::DrainEngines(numbers(c, form, engines)),
        "lag" => {
            let span = c.duration(&form.with_args(vec![*form.args.first()?]))?;
            Act::Lag(span, numbers(c, &form.with_args(form.args.get(1..)?.to_vec()), gateways))
        }
        "window" => {
            let [gateway, name, engines, after, span] = form.args.as_slice() else {
                c.error_at(form, "expected (window GATEWAY NAME (ENGINES) \"after\" \"for\")");
                return None;
            };
            let name = name.value().as_symbol()?.to_owned();
            let listed = engines.list_iter()?.filter_map(|d| d.value().as_u64()).map(|n| n as usize);
            let engines = listed.filter(|&n| n < engines_of).collect();
            let gateway = (gateway.value().as_u64()? as usize).min(gateways - 1);
            let (after, span) =
                (c.duration(&form.with_args(vec![*after]))?, c.duration(&form.with_args(vec![*span]))?);
            Act::Window(Window { gateway, name, engines, after, span })
        }
        "maintain" | "roll-engines" => {
            let span = c.duration(&form.with_args(vec![*form.args.first()?]))?;
            let all = numbers(c, &form.with_args(form.args.get(1..)?.to_vec()), engines);
            if form.name == "maintain" {
                Act::Maintain(span, all)
            } else {
                Act::RollEngines(span, all)
            }
        }
        "disk" => {
            let number = form.args.first()?.value().as_u64()? as usize;
            let kinds =
                [("save", Disk::Save), ("old", Disk::Old), ("lose", Disk::Lose), ("spoil", Disk::Spoil)];
            let what = c.choice(&form.with_args(vec![*form.args.get(1)?]), &kinds)?;
            Act::Disk(number.min(gateways - 1), what)
        }
        other => {
            c.error_at(form, format!("{other} is no act"));
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
        "odd", "windows", "acts", "rate", "round", "liar", "at", "expect",
    ];
    for form in all.iter().filter(|f| !known.contains(&f.name.as_str())) {
        c.error_at(form, format!("{} is not known; known: {}", form.name, known.join(", ")));
    }
    let get = |name: &str| all.iter().find(|f| f.name == name);
    let whole = |c: &mut Checker, name: &str, default| {
        get(name).and_then(|f| c.integer(f, 1, 64)).unwrap_or(default) as usize
    };
    let (gateways, engines, sites) =
        (whole(&mut c, "gateways", 4), whole(&mut c, "engines", 3), whole(&mut c, "sites", 1));
    let span = get("span").and_then(|f| c.duration(f)).unwrap_or(Duration::from_secs(10));
    let load = get("load").and_then(|f| c.number(f, 0.0, 10.0)).unwrap_or(0.5);
    let period = get("period").and_then(|f| c.duration(f)).unwrap_or(Duration::from_millis(200));
    let voters = get("voters").and_then(|f| c.integer(f, 1, gateways as u64)).unwrap_or(0) as usize;
    let keepers = get("keepers").and_then(|f| c.integer(f, 1, gateways as u64)).unwrap_or(0) as usize;
    let copies = get("copies").and_then(|f| c.integer(f, 1, 8)).unwrap_or(2) as usize;
    let lease = get("lease").and_then(|f| c.duration(f)).unwrap_or(Duration::from_secs(2));
    let odd = get("odd").map(|f| numbers(&mut c, f, gateways)).unwrap_or_default();
    let windows = get("windows").map(|form| {
        let f = c.fields(form, 0, &["lead", "spare", "learned", "swing"]);
        let learned = [("all", Learned::All), ("nothing", Learned::Nothing), ("hole", Learned::Hole)];
        let learned = f.get("learned").cloned().and_then(|v| c.choice(&v, &learned)).unwrap_or(Learned::All);
        let lead = f.duration(&mut c, "lead", Duration::from_secs(2));
        let swing = f.number(&mut c, "swing", (0.0, 1.0), 0.3);
        Held { lead, spare: f.word(&mut c, "spare", "engine"), learned, swing }
    });
    let acts_on_loss = get("acts").and_then(|f| c.flag(f)).unwrap_or(false);
    let round = get("round").and_then(|f| c.duration(f));
    let liar = get("liar").and_then(|f| {
        let number = f.args.first()?.value().as_u64().filter(|&n| (n as usize) < gateways)?;
        Some((number as usize, f.args.get(1)?.value().as_f64()?))
    });
    let mut rates = Vec::new();
    for form in all.iter().filter(|f| f.name == "rate") {
        let at = form.args.first().map(|d| form.with_args(vec![*d])).and_then(|f| c.duration(&f));
        let rate = form.args.get(1).and_then(|d| d.value().as_f64()).filter(|r| (0.0..=100.0).contains(r));
        match at.zip(rate) {
            Some(pair) => rates.push(pair),
            None => c.error_at(form, "expected (rate \"5s\" 2)"),
        }
    }
    rates.sort_by_key(|r| r.0);
    let mut acts = Vec::new();
    for form in all.iter().filter(|f| f.name == "at") {
        let [when, what] = form.args.as_slice() else {
            c.error_at(form, "expected (at \"5s\" (act ...))");
            continue;
        };
        let at = c.duration(&form.with_args(vec![*when]));
        let what = c.form(*what).and_then(|f| act(&mut c, &f, gateways, engines));
        match at.zip(what) {
            Some(pair) => acts.push(pair),
            None => c.error_at(form, "an act that can't be used"),
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
        windows: Default::default(),
        site: Vec::new(),
        away: Vec::new(),
    };
    for datum in get("expect").map(|f| f.args.clone()).unwrap_or_default() {
        let Some(f) = c.form(datum) else { continue };
        match f.name.as_str() {
            "agree" => expect.agree = c.duration(&f).unwrap_or(expect.agree),
            "shares" => expect.shares = c.duration(&f),
            "false-deaths" => expect.false_deaths = c.integer(&f, 0, 1000).unwrap_or(0) as usize,
            "pauses" => expect.pauses = c.integer(&f, 0, 1000).unwrap_or(0),
            "refused" => expect.refused = c.integer(&f, 0, 1_000_000).unwrap_or(0),
            "settings" => {
                let span = f.args.first().map(|d| f.with_args(vec![*d])).and_then(|f| c.duration(&f));
                let least = f.args.get(1).and_then(|d| d.value().as_u64()).unwrap_or(1);
                expect.settings = span.map(|span| (span, least));
            }
            "adopted" => expect.adopted = c.integer(&f, 0, 1_000_000).unwrap_or(0),
            "lost" => expect.lost = c.integer(&f, 0, 1_000_000).unwrap_or(0) as usize,
            "opened" => expect.windows.opened = c.words(&f),
            "never" => expect.windows.never = c.words(&f),
            "called-off" => expect.windows.off = c.words(&f),
            "told" => expect.windows.told = c.words(&f),
            "maintained" => expect.windows.maintained = c.integer(&f, 0, 64).unwrap_or(0) as usize,
            "away" => expect.away = numbers(&mut c, &f, sites),
            "site" => {
                let site = f.args.first().and_then(|d| d.value().as_u64()).filter(|&n| (n as usize) < sites);
                let word = f.args.get(1).and_then(|d| d.value().as_symbol()).map(str::to_owned);
                let span = f.args.get(2).map(|d| f.with_args(vec![*d])).and_then(|f| c.duration(&f));
                match (site, word, span) {
                    (Some(site), Some(word), Some(span)) => expect.site.push((site as usize, word, span)),
                    _ => c.error_at(&f, "expected (site N WORD \"5s\")"),
                }
            }
            "rolled" => expect.rolled = c.duration(&f),
            "outcomes" => expect.outcomes = c.words(&f),
            "voteless" => expect.voteless = numbers(&mut c, &f, gateways),
            "standing" | "link" => {
                let ns: Vec<usize> =
                    f.args.iter().filter_map(|d| d.value().as_u64()).map(|n| n as usize).collect();
                let word = f.args.last().and_then(|d| d.value().as_symbol()).unwrap_or_default().to_owned();
                match ns.as_slice() {
                    [n] if f.name == "standing" => expect.standing.push((*n, word)),
                    [a, b] if f.name == "link" => expect.link.push((*a, *b, word)),
                    _ => c.error_at(&f, "expected (standing N WORD) or (link N N WORD)"),
                }
            }
            other => c.error_at(&f, format!("{other} can't be expected")),
        }
    }
    if !c.diagnostics.is_empty() {
        c.diagnostics.sort();
        return Err(c.diagnostics.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"));
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
        acts_on_loss,
        rates,
        round,
        liar,
        odd,
        windows,
        acts,
        expect,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_built_in_plan_is_read() {
        for (name, _, text) in plans::all() {
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
