//! Plays loads on entries and gates and checks what callers get.

mod support;

use std::time::Duration;

use support::play::{Got, Load, play};

const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn well_upstreams_serve_everybody_promptly() {
    for seed in SEEDS {
        let got = play(Load { seed, ..Load::default() });
        assert!(got.once.served() > 0.985, "seed {seed}: {got:?}");
        assert!(got.repeatable.served() > 0.985, "seed {seed}: {got:?}");
        assert_eq!(got.once.refused + got.repeatable.refused, 0, "seed {seed}: {got:?}");
        // Long work is no reason to repeat much of it: a tenth of the budget of a fifth.
        let asked = f64::from(got.once.asked + got.repeatable.asked);
        assert!(f64::from(got.repeats) < 0.1 * 0.2 * asked, "seed {seed}: {got:?}");
    }
}

#[test]
fn upstreams_that_hang_cost_few_requests() {
    for seed in SEEDS {
        let load = Load { gray: 0.3, seed, ..Load::default() };
        let got = play(load);
        // Without judgement 30% x 75% = 22% would hang.
        assert!(got.once.served() > 0.93, "seed {seed}: {got:?}");
        assert!(got.repeatable.served() > 0.95, "seed {seed}: {got:?}");
        assert_eq!(got.doubles, 0, "seed {seed}: {got:?}");
        // The fleet's budget: a fifth of the requests and 56 in each 10 s.
        let asked = f64::from(got.once.asked + got.repeatable.asked);
        assert!(f64::from(got.repeats) < 0.2 * asked + 56.0 * 4.0, "seed {seed}: {got:?}");
    }
}

#[test]
fn work_that_may_not_be_repeated_runs_once_whatever_hangs_or_sheds() {
    for seed in SEEDS {
        let got = play(Load { gray: 0.5, sheds: 0.3, repeatable: 0.0, seed, ..Load::default() });
        assert_eq!(got.doubles, 0, "seed {seed}: {got:?}");
    }
}

#[test]
fn a_crest_beyond_the_capacity_is_served_up_to_the_capacity() {
    // 18 upstreams with 4 slots and work of 0.23 s serve 313 requests a second.
    for seed in SEEDS {
        let load = Load { rate: 470.0, length: Duration::from_secs(15), seed, ..Load::default() };
        let got = play(load);
        let served = got.once.prompt + got.once.late + got.repeatable.prompt + got.repeatable.late;
        assert!(f64::from(served) > 0.9 * 313.0 * 15.0, "seed {seed}: {got:?}");
        // What is served is mostly served promptly.
        let prompt = got.once.prompt + got.repeatable.prompt;
        assert!(f64::from(prompt) > 0.6 * f64::from(served), "seed {seed}: {got:?}");
        // The urgent kind is not served less than the other, and neither starves.
        assert!(got.once.served() > got.repeatable.served() - 0.05, "seed {seed}: {got:?}");
        assert!(got.repeatable.served() > 0.25 * got.once.served(), "seed {seed}: {got:?}");
    }
}

#[test]
fn upstreams_that_shed_at_random_still_get_all_the_work() {
    for seed in SEEDS {
        let got = play(Load { sheds: 0.55, seed, ..Load::default() });
        // 45% pass at once, and the budget of repeats brings some more.
        assert!(got.once.served() > 0.48, "seed {seed}: {got:?}");
        // Who is not served hears so at once.
        let held = got.once.held / got.once.refused.max(1);
        assert!(held < Duration::from_millis(100), "seed {seed}: {got:?}");
    }
}

#[test]
fn the_floor_of_the_upstreams_gets_work_at_any_time() {
    for seed in SEEDS {
        for (gray, rate) in [(0.0, 45.0), (0.3, 45.0), (0.3, 80.0)] {
            let got = play(Load { gray, rate, seed, ..Load::default() });
            assert!(got.at_work >= 0.7, "seed {seed} gray {gray} rate {rate}: {got:?}");
        }
    }
}

#[test]
fn the_floor_gets_work_also_when_the_budget_of_repeats_is_spent() {
    for seed in SEEDS {
        for (gray, sheds, rate) in [(0.4, 0.2, 60.0), (0.4, 0.3, 95.0), (0.5, 0.5, 95.0)] {
            let got = play(Load { gray, sheds, rate, seed, ..Load::default() });
            assert!(got.at_work >= 0.7, "seed {seed} gray {gray} sheds {sheds}: {got:?}");
        }
    }
}

#[test]
fn a_fleet_that_starts_cold_serves_what_its_slots_can() {
    // 18 upstreams with 4 slots and work that takes 0.46 s while they are cold: 156 a second. A
    // thirtieth of the work takes longer than the route's timeout by itself.
    for rate in [100.0, 150.0] {
        let length = Duration::from_secs(3);
        let plays =
            SEEDS.map(|seed| play(Load { rate, cold: length, length, seed, ..Load::default() }));
        let served: u32 =
            plays.iter().flat_map(|got| [got.once, got.repeatable]).map(Got::count).sum();
        let asked: u32 = plays.iter().map(|got| got.once.asked + got.repeatable.asked).sum();
        let share = f64::from(served) / f64::from(asked);
        assert!(share > 0.95, "rate {rate}: {share} of {asked}, {plays:?}");
    }
}
