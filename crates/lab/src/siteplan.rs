//! `violetward-lab plan site-loss FILE`: what the loss of each site would leave, worked out before it is needed.

use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use violetward_gateway::forms::{self, Checker, Form};
use violetward_site::plan::{Class, Fleet, Forecast, Kind, Room};

/// Reads a fleet and its demand:
///
/// ```text
/// (fill 0.8)
/// (kind NAME (cores N) (memory SIZE))
/// (site NAME (gateways N) (engines KIND N) ...)
/// (class NAME (worth W) (work SPAN) (threads N) (memory SIZE) (kinds K ...) (sites S ...) (bound yes))
/// (demand SITE CLASS REQUESTS-A-SECOND)
/// ```
///
/// # Errors
/// Every mistake, with line and column.
pub fn parse(text: &str) -> Result<Fleet, String> {
    let data = forms::read(text).map_err(|m| m.to_string())?;
    let mut c = Checker::default();
    let all: Vec<Form<'_>> = data.iter().filter_map(|d| c.form(d.as_ref())).collect();
    let mut fleet = Fleet { fill: 0.8, ..Fleet::default() };
    let named = |what: &'static str| all.iter().filter(move |f| f.name == what);
    for form in all.iter().filter(|f| !["fill", "kind", "site", "class", "demand"].contains(&f.name.as_str()))
    {
        c.error_at(form, format!("{} is not known; known: fill, kind, site, class, demand", form.name));
    }
    if let Some(fill) = named("fill").next().and_then(|f| c.number(f, 0.01, 1.0)) {
        fleet.fill = fill;
    }
    for form in named("kind") {
        let Some(name) = c.name(form) else { continue };
        let f = c.fields(form, 1, &["cores", "memory"]);
        let cores =
            f.require(&mut c, "cores").cloned().and_then(|f| c.number(&f, 0.1, 4096.0)).unwrap_or(1.0);
        let memory_mb = f.size(&mut c, "memory", 0) as f64 / f64::from(1 << 20);
        fleet.kinds.push(Kind { name, cores, memory_mb });
    }
    let place = |c: &mut Checker, form: &Form<'_>, names: &[String], word: &str, what: &str| {
        let place = names.iter().position(|n| n == word);
        if place.is_none() {
            c.error_at(form, format!("there is no {what} {word}; known: {}", names.join(", ")));
        }
        place
    };
    let kinds: Vec<String> = fleet.kinds.iter().map(|k| k.name.clone()).collect();
    for form in named("site") {
        let Some(name) = c.name(form) else { continue };
        let (site, mut gateways) = (fleet.sites.len(), 1);
        for datum in form.args.iter().skip(1) {
            let Some(field) = c.form(*datum) else { continue };
            match field.name.as_str() {
                "gateways" => gateways = c.integer(&field, 1, 100_000).unwrap_or(1) as u32,
                "engines" => {
                    let [word, count] = field.args.as_slice() else {
                        c.error_at(&field, "expected (engines KIND N)");
                        continue;
                    };
                    let word = c.word(&field.with_args(vec![*word]), "a kind").unwrap_or_default();
                    let engines = c.integer(&field.with_args(vec![*count]), 0, 100_000).unwrap_or(0) as u32;
                    if let Some(kind) = place(&mut c, &field, &kinds, &word, "kind") {
                        fleet.rooms.push(Room { site, kind, engines });
                    }
                }
                other => {
                    c.error_at(&field, format!("{other} is not known in site; known: gateways, engines"))
                }
            }
        }
        fleet.sites.push((name, gateways));
    }
    let sites: Vec<String> = fleet.sites.iter().map(|s| s.0.clone()).collect();
    for form in named("class") {
        let Some(name) = c.name(form) else { continue };
        let f = c.fields(form, 1, &["worth", "work", "threads", "memory", "kinds", "sites", "bound"]);
        let set = |c: &mut Checker, what: &'static str, names: &[String]| {
            let form = f.get(what).cloned()?;
            let words = c.words(&form);
            Some(words.iter().filter_map(|w| place(c, &form, names, w, what)).collect::<Vec<_>>())
        };
        let (kinds, sites) = (set(&mut c, "kinds", &kinds), set(&mut c, "sites", &sites));
        fleet.classes.push(Class {
            name,
            worth: f.number(&mut c, "worth", (0.0, 1e9), 1.0),
            work: f.duration(&mut c, "work", Duration::from_millis(100)).as_secs_f64(),
            threads: f.number(&mut c, "threads", (1.0, 4096.0), 1.0),
            memory_mb: f.size(&mut c, "memory", 0) as f64 / f64::from(1 << 20),
            kinds,
            sites,
            bound: f.flag(&mut c, "bound", false),
        });
    }
    let classes: Vec<String> = fleet.classes.iter().map(|k| k.name.clone()).collect();
    for form in named("demand") {
        let [site, class, rate] = form.args.as_slice() else {
            c.error_at(form, "expected (demand SITE CLASS REQUESTS-A-SECOND)");
            continue;
        };
        let word =
            |c: &mut Checker, datum| c.word(&form.with_args(vec![datum]), "a name").unwrap_or_default();
        let (site, class) = (word(&mut c, *site), word(&mut c, *class));
        let (site, class) =
            (place(&mut c, form, &sites, &site, "site"), place(&mut c, form, &classes, &class, "class"));
        let rate = c.number(&form.with_args(vec![*rate]), 0.0, 1e9);
        if let (Some(site), Some(class), Some(rate)) = (site, class, rate) {
            fleet.demand.push((site, class, rate));
        }
    }
    if fleet.sites.len() < 2 || fleet.kinds.is_empty() || fleet.demand.is_empty() {
        let form = all.first().cloned().unwrap_or_else(|| Form::empty("file"));
        c.error_at(&form, "expected at least two sites, a kind, a class and a demand");
    }
    if c.diagnostics.is_empty() {
        return Ok(fleet);
    }
    c.diagnostics.sort();
    Err(c.diagnostics.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

/// The forecasts: for nothing lost, and for each site.
pub fn forecasts(fleet: &Fleet) -> Vec<(Option<usize>, Forecast)> {
    let cases = std::iter::once(None).chain((0..fleet.sites.len()).map(Some));
    cases.map(|lost| (lost, fleet.without(lost))).collect()
}

fn title(fleet: &Fleet, lost: Option<usize>) -> String {
    lost.map_or("nothing lost".into(), |site| format!("{} lost", fleet.sites[site].0))
}

/// The report, for people.
pub fn report(fleet: &Fleet) -> String {
    let mut out = String::new();
    for (lost, f) in forecasts(fleet) {
        let kept = 100.0 * f.worth.1 / f.worth.0.max(1e-9);
        writeln!(out, "## {}: {kept:.1}% of the worth is kept", title(fleet, lost)).ok();
        writeln!(out, "{:.1} of {:.1} core seconds a second are done", f.cores.1, f.cores.0).ok();
        let limits: Vec<String> =
            f.limits.iter().map(|l| format!("{} {:.0}%", l.name, l.used * 100.0)).collect();
        let breaks = f.limits.first().filter(|l| l.used > 1.0).map_or("none breaks", |l| l.name);
        writeln!(out, "limits, by what is asked for: {}; first to break: {breaks}", limits.join(", ")).ok();
        match f.more {
            Some((_, 0)) => writeln!(out, "no further engine is needed").ok(),
            Some((kind, more)) => {
                let kind = &fleet.kinds[kind].name;
                writeln!(out, "{more} engines more of {kind} would keep all that can be kept").ok()
            }
            None => writeln!(out, "engines more of no kind alone would keep all").ok(),
        };
        writeln!(
            out,
            "{:<14} {:<14} {:>10} {:>10} {:>10} {:>12}",
            "clients of", "class", "asked/s", "kept/s", "refused/s", "worth/core s"
        )
        .ok();
        for line in &f.lines {
            let more = if line.bound { "  bound to the lost site" } else { "" };
            writeln!(
                out,
                "{:<14} {:<14} {:>10.1} {:>10.1} {:>10.1} {:>12.2}{more}",
                fleet.sites[line.site].0,
                fleet.classes[line.class].name,
                line.asked,
                line.kept,
                line.asked - line.kept,
                line.density
            )
            .ok();
        }
        // The order of refusal is the table from below: what is refused in part or whole comes last.
        let refused: Vec<String> = f
            .lines
            .iter()
            .rev()
            .filter(|l| l.asked - l.kept > 1e-6)
            .map(|l| format!("{} of {}", fleet.classes[l.class].name, fleet.sites[l.site].0))
            .collect();
        let order = if refused.is_empty() { "nothing".into() } else { refused.join(", then ") };
        writeln!(out, "refused, first to last: {order}\n").ok();
    }
    out
}

/// The same as a picture: for each case what is kept (green) and refused (red) of each class, in worth.
pub fn draw(fleet: &Fleet) -> String {
    const WIDTH: f64 = 900.0;
    let cases = forecasts(fleet);
    let most = cases.iter().map(|c| c.1.worth.0).fold(1e-9, f64::max);
    let height = 30 + cases.len() * 46;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"10\" y=\"16\">worth a second by class, kept first to last; hatched red is refused</text>\n"
    );
    for (row, (lost, f)) in cases.iter().enumerate() {
        let top = 30 + row * 46;
        writeln!(out, "<text x=\"10\" y=\"{}\">{}</text>", top + 18, title(fleet, *lost)).ok();
        let mut x = 160.0;
        for line in &f.lines {
            let worth = fleet.classes[line.class].worth * (WIDTH - 180.0) / most;
            let parts = [(line.kept * worth, "#5a5"), ((line.asked - line.kept) * worth, "#d55")];
            for (wide, colour) in parts.into_iter().filter(|p| p.0 > 0.01) {
                writeln!(
                    out,
                    "<rect x=\"{x:.1}\" y=\"{top}\" width=\"{wide:.1}\" height=\"26\" fill=\"{colour}\" stroke=\"white\"><title>{} of {}: {:.1} of {:.1} a second kept</title></rect>",
                    fleet.classes[line.class].name, fleet.sites[line.site].0, line.kept, line.asked
                )
                .ok();
                x += wide;
            }
        }
    }
    out + "</svg>\n"
}

/// Prints the report, and draws it where that is wanted.
///
/// # Errors
/// If the file can't be read or the picture not written.
pub fn command(file: &Path, svg: Option<&Path>) -> std::io::Result<()> {
    let text = std::fs::read_to_string(file)?;
    let wrong = |why: String| {
        let lines: Vec<String> = why.lines().map(|l| format!("{}:{l}", file.display())).collect();
        std::io::Error::other(lines.join("\n"))
    };
    let fleet = parse(&text).map_err(wrong)?;
    print!("{}", report(&fleet));
    svg.map_or(Ok(()), |svg| std::fs::write(svg, draw(&fleet)))
}

#[cfg(test)]
mod tests {
    use super::*;

    const FLEET: &str = r#"
        (fill 0.8)
        (kind m10 (cores 10) (memory "20GB"))
        (site a (gateways 4) (engines m10 2)) (site b (gateways 4) (engines m10 2)) (site c (gateways 4) (engines m10 2))
        (class light (worth 1) (work "100ms")) (class heavy (worth 2) (work "1s") (threads 4) (memory "1GB"))
        (demand a light 100) (demand a heavy 5) (demand b light 100) (demand b heavy 5) (demand c light 100) (demand c heavy 5)"#;

    #[test]
    fn a_report_names_what_is_refused_and_how_many_engines_would_keep_it() {
        let text = report(&parse(FLEET).expect("good"));
        assert!(text.contains("## nothing lost: 100.0% of the worth is kept"), "{text}");
        // 300 and 4 of 330 are kept: two heavy requests of fifteen.
        assert!(text.contains("## b lost: 92.1% of the worth is kept"), "{text}");
        assert!(text.contains("first to break: cores") && text.contains("2 engines more of m10"), "{text}");
        assert!(
            text.contains("refused, first to last: heavy of b, then heavy of c, then heavy of a"),
            "{text}"
        );
        assert!(draw(&parse(FLEET).expect("good")).contains("heavy of b: 0.0 of 5.0 a second kept"));
    }

    #[test]
    fn mistakes_are_told_with_their_places() {
        let wrong = parse(&FLEET.replace("(demand b heavy 5)", "(demand d heavy 5)")).unwrap_err();
        assert!(wrong.contains("there is no site d"), "{wrong}");
        assert!(parse("(site a)").is_err() && parse("(kind").is_err() && parse("").is_err());
    }
}
