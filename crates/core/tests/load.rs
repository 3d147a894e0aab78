//! Simulates entries and gates under load and checks the outcomes for callers.

mod support;

use std::time::Duration;

use support::simulation::{RequestCounts, Workload, simulate};

const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn healthy_upstreams_serve_nearly_all_requests() {
    for seed in SEEDS {
        let result = simulate(Workload { seed, ..Workload::default() });
        assert!(result.non_idempotent.served_share() > 0.985, "seed {seed}: {result:?}");
        assert!(result.idempotent.served_share() > 0.985, "seed {seed}: {result:?}");
        assert_eq!(
            result.non_idempotent.refused + result.idempotent.refused,
            0,
            "seed {seed}: {result:?}"
        );
        // Long runs cause few retries: less than a tenth of the budget, which is a fifth of the
        // requests.
        let total = f64::from(result.non_idempotent.total + result.idempotent.total);
        assert!(f64::from(result.extra_starts) < 0.1 * 0.2 * total, "seed {seed}: {result:?}");
    }
}

#[test]
fn upstreams_that_hang_cost_few_requests() {
    for seed in SEEDS {
        let workload = Workload { gray_share: 0.3, seed, ..Workload::default() };
        let result = simulate(workload);
        // Without detection, 30% x 75% = 22% of the requests would hang.
        assert!(result.non_idempotent.served_share() > 0.93, "seed {seed}: {result:?}");
        assert!(result.idempotent.served_share() > 0.95, "seed {seed}: {result:?}");
        assert_eq!(result.duplicate_runs, 0, "seed {seed}: {result:?}");
        // The retry budget of the fleet: a fifth of the requests, and 56 retries in each 10 s.
        let total = f64::from(result.non_idempotent.total + result.idempotent.total);
        assert!(
            f64::from(result.extra_starts) < 0.2 * total + 56.0 * 4.0,
            "seed {seed}: {result:?}"
        );
    }
}

#[test]
fn non_idempotent_requests_run_at_most_once_despite_hangs_and_shedding() {
    for seed in SEEDS {
        let result = simulate(Workload {
            gray_share: 0.5,
            shed_share: 0.3,
            idempotent_share: 0.0,
            seed,
            ..Workload::default()
        });
        assert_eq!(result.duplicate_runs, 0, "seed {seed}: {result:?}");
    }
}

#[test]
fn load_beyond_the_capacity_is_served_up_to_the_capacity() {
    // 18 upstreams with 4 slots and runs of 0.23 s serve 313 requests per second.
    for seed in SEEDS {
        let workload = Workload {
            rate: 470.0,
            duration: Duration::from_secs(15),
            seed,
            ..Workload::default()
        };
        let result = simulate(workload);
        let served = result.non_idempotent.on_time
            + result.non_idempotent.late
            + result.idempotent.on_time
            + result.idempotent.late;
        assert!(f64::from(served) > 0.9 * 313.0 * 15.0, "seed {seed}: {result:?}");
        // Most of the served requests are on time.
        let on_time = result.non_idempotent.on_time + result.idempotent.on_time;
        assert!(f64::from(on_time) > 0.6 * f64::from(served), "seed {seed}: {result:?}");
        // Requests of higher priority are not served less than others, and neither kind starves.
        assert!(
            result.non_idempotent.served_share() > result.idempotent.served_share() - 0.05,
            "seed {seed}: {result:?}"
        );
        assert!(
            result.idempotent.served_share() > 0.25 * result.non_idempotent.served_share(),
            "seed {seed}: {result:?}"
        );
    }
}

#[test]
fn upstreams_that_shed_at_random_still_serve_what_they_accept() {
    for seed in SEEDS {
        let result = simulate(Workload { shed_share: 0.55, seed, ..Workload::default() });
        // 45% succeed at the first attempt, and the retry budget allows some more.
        assert!(result.non_idempotent.served_share() > 0.48, "seed {seed}: {result:?}");
        // The others are refused early.
        let wait = result.non_idempotent.refusal_wait / result.non_idempotent.refused.max(1);
        assert!(wait < Duration::from_millis(100), "seed {seed}: {result:?}");
    }
}

#[test]
fn the_share_of_active_upstreams_never_drops_below_the_floor() {
    for seed in SEEDS {
        for (gray_share, rate) in [(0.0, 45.0), (0.3, 45.0), (0.3, 80.0)] {
            let result = simulate(Workload { gray_share, rate, seed, ..Workload::default() });
            assert!(
                result.active_share >= 0.7,
                "seed {seed} gray {gray_share} rate {rate}: {result:?}"
            );
        }
    }
}

#[test]
fn the_share_of_active_upstreams_keeps_the_floor_without_retry_budget() {
    for seed in SEEDS {
        for (gray_share, shed_share, rate) in [(0.4, 0.2, 60.0), (0.4, 0.3, 95.0), (0.5, 0.5, 95.0)]
        {
            let result =
                simulate(Workload { gray_share, shed_share, rate, seed, ..Workload::default() });
            assert!(
                result.active_share >= 0.7,
                "seed {seed} gray {gray_share} sheds {shed_share}: {result:?}"
            );
        }
    }
}

#[test]
fn sound_upstreams_are_not_left_idle_while_upstreams_fail_requests() {
    for seed in SEEDS {
        for error_share in [0.12, 0.2] {
            let result = simulate(Workload {
                rate: 60.0,
                slots: 8,
                idempotent_share: 0.0,
                gray_share: 0.3,
                answers_hangs: true,
                error_share,
                duration: Duration::from_secs(15),
                seed,
                ..Workload::default()
            });
            assert!(
                result.active_sound_share >= 0.7,
                "seed {seed} errors {error_share}: {result:?}"
            );
        }
    }
}

/// Guards against recovered upstreams that stay idle since each entry sees too few requests.
#[test]
fn sound_upstreams_get_work_although_each_entry_sees_few_requests() {
    for seed in SEEDS {
        let result = simulate(Workload {
            entries: 96,
            rate: 60.0,
            slots: 8,
            idempotent_share: 0.0,
            gray_share: 0.4,
            answers_hangs: true,
            error_share: 0.2,
            duration: Duration::from_secs(15),
            seed,
            ..Workload::default()
        });
        assert!(result.active_sound_share >= 0.9, "seed {seed}: {result:?}");
    }
}

#[test]
fn a_cold_fleet_serves_load_up_to_its_capacity() {
    // 18 upstreams with 4 slots and runs of 0.46 s while cold serve 156 requests per second. One
    // run in 30 takes longer than the timeout of the route on its own.
    for rate in [100.0, 150.0] {
        let duration = Duration::from_secs(3);
        let results = SEEDS.map(|seed| {
            simulate(Workload {
                rate,
                cold_duration: duration,
                duration,
                seed,
                ..Workload::default()
            })
        });
        let served: u32 = results
            .iter()
            .flat_map(|result| [result.non_idempotent, result.idempotent])
            .map(RequestCounts::served)
            .sum();
        let total: u32 = results
            .iter()
            .map(|result| result.non_idempotent.total + result.idempotent.total)
            .sum();
        let share = f64::from(served) / f64::from(total);
        assert!(share > 0.95, "rate {rate}: {share} of {total}, {results:?}");
    }
}
