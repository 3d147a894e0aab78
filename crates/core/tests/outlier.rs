//! Outlier detection: time to ejection, false ejections and ejection times, with seeded failures.

mod support;

use std::time::{Duration, Instant};

use lavenderflow_core::load::Condition;
use lavenderflow_core::outlier::{Observation, OutlierDetector};
use lavenderflow_core::profile::{Forgiveness, Profile};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn forgiveness() -> Forgiveness {
    Profile::default().forgiveness
}

fn observation(rng: &mut Pcg64Mcg, failures: f64) -> Observation {
    if rng.random_bool(failures) { Observation::Failure } else { Observation::Success }
}

/// Returns the number of observations up to the ejection, or `None` if it takes more than `limit`.
fn observations_to_eject(seed: u64, failures: f64, limit: u32) -> Option<u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut detector = OutlierDetector::default();
    let now = Instant::now();
    (1..=limit).find(|_| {
        detector.observe(observation(&mut rng, failures), now, &forgiveness());
        detector.condition() == Condition::Ejected
    })
}

#[test]
fn total_failure_is_detected_within_one_second_at_20_requests_per_second() {
    let worst = (0..200).map(|seed| observations_to_eject(seed, 1.0, 100)).max();
    assert!(worst.flatten().is_some_and(|count| count <= 20), "{worst:?}");
}

#[test]
fn partial_failure_is_detected_within_three_seconds_at_20_requests_per_second() {
    const PER_SECOND: u32 = 20;
    let mut counts: Vec<u32> =
        (0..400).map(|seed| observations_to_eject(seed, 0.3, 1000).unwrap_or(1000)).collect();
    counts.sort_unstable();
    let p95 = counts[counts.len() * 95 / 100];
    assert!(p95 <= 3 * PER_SECOND, "{p95} observations");
}

#[test]
fn a_normal_error_rate_never_ejects() {
    // Ten minutes at 20 requests per second for 25 upstreams, with a normal error rate of 2%.
    for seed in 0..25 {
        assert_eq!(observations_to_eject(seed, 0.02, 12_000), None, "seed {seed}");
    }
}

#[test]
fn the_ejection_time_doubles_and_is_reset_after_healthy_time() {
    let mut detector = OutlierDetector::default();
    let mut now = Instant::now();
    let mut ejection_seconds = Vec::new();
    for _ in 0..4 {
        let mut count = 0;
        while detector.condition() != Condition::Ejected {
            detector.observe(Observation::Failure, now, &forgiveness());
            count += 1;
            assert!(count < 100);
        }
        let ejected = now;
        while !detector.tick(now) {
            now += Duration::from_millis(100);
        }
        ejection_seconds.push((now - ejected).as_secs());
    }
    assert_eq!(ejection_seconds, [2, 4, 8, 16]);
    for _ in 0..5 {
        detector.observe(Observation::Success, now, &forgiveness());
    }
    assert_eq!(detector.condition(), Condition::Healthy);
    now += Duration::from_secs(3600);
    while detector.condition() != Condition::Ejected {
        detector.observe(Observation::Failure, now, &forgiveness());
    }
    now += forgiveness().ejection;
    assert!(detector.tick(now), "old ejections are forgotten");
}
