//! Whole fleets under a virtual clock: what the notes say of them.

use violetward_site::projection::{Learned, Loss};
use violetward_site::sim::{cases, measured, play, week, Policy, Setting};
use violetward_site::state::State;

#[test]
fn a_week_without_a_lost_site_gives_no_alarm() {
    let week = week(7);
    assert!(week.releases > 20 && week.racks > 20 && week.pauses > 40, "{week:?}");
    assert_eq!(week.away, 0, "{week:?}");
    // Racks are told for what they are.
    assert!(week.partly >= week.racks, "{week:?}");
}

#[test]
fn in_every_hard_case_no_cold_engine_falls_turns_add_up_and_worth_is_kept() {
    for (name, setting) in cases() {
        let own = play(&setting, Policy::Own, 11);
        let acted = play(&setting, Policy::Projected, 11);
        assert_eq!(acted.fallen, 0, "{name}");
        assert!(acted.turns <= 1.0 + 1e-9, "{name}: {}", acted.turns);
        assert!(acted.part() >= own.part() - 0.02, "{name}: {} against {}", acted.part(), own.part());
        assert!(acted.reversals <= own.reversals + 3, "{name}: {} and {}", acted.reversals, own.reversals);
    }
}

#[test]
fn halves_that_are_cut_call_nobody_lost_and_the_killed_site_is_called_lost_by_all() {
    let of = |word: &str| cases().into_iter().find(|c| c.0.starts_with(word)).expect("a case").1;
    let halves = play(&of("both halves"), Policy::Projected, 3);
    assert!(halves.told.iter().any(|t| t.3 == State::CutOff));
    assert!(halves.told.iter().all(|t| t.3 != State::Lost), "{:?}", halves.told);
    let killed = play(&of("killed at 95%"), Policy::Projected, 3);
    let lost: Vec<usize> = killed.told.iter().filter(|t| t.3 == State::Lost).map(|t| t.1).collect();
    assert_eq!(lost.len(), 4, "{:?}", killed.told);
    assert!(killed.told.iter().all(|t| t.3 != State::Lost || t.2 == 0));
}

#[test]
fn the_forecast_is_within_a_tenth_of_what_is_seen() {
    for load in [0.36, 0.6, 0.9, 1.2] {
        let setting = Setting { until: 45_000_000, window: (20_000_000, 40_000_000), ..Setting::lost(load) };
        let seen = play(&setting, Policy::Projected, 5).part();
        let p = measured(&setting).project(&Loss::of(0), &Learned::new(1, 1), 0);
        let forecast = p.served / p.asked;
        assert!((forecast - seen).abs() <= 0.1 * seen, "{load}: {forecast} against {seen}");
    }
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let setting = Setting::lost(0.8);
    assert_eq!(play(&setting, Policy::Projected, 9), play(&setting, Policy::Projected, 9));
}
