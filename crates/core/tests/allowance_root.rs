//! Tests that the tokens of one root stay within the bound even if each is used as late as it can
//! be.

use std::time::{Duration, Instant};

use lavenderflow_core::allowance::borrower::Decision;
use lavenderflow_core::allowance::message::{Draw, DrawRole};
use lavenderflow_core::allowance::root::{Root, TAKEOVER_DELAY};
use lavenderflow_core::allowance::{Allowance, AllowanceAction, Allowances};
use lavenderflow_core::gate::ServiceOffer;
use lavenderflow_core::id::OrganisationName;
use lavenderflow_core::roster::Member;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const WINDOW: Duration = Duration::from_secs(5);
/// Requests that the platform's settings allow beyond the burst: half of the tolerance of 20.
const SLACK: f64 = 10.0;
/// Time after which a bucket is certainly full.
const LONG: Duration = Duration::from_secs(60);

fn draw(wanted: u32, ahead: u32) -> Draw {
    Draw { serial: 1, organisation: "one".into(), wanted, ahead, role: DrawRole::Root }
}

#[test]
fn tokens_that_are_all_used_at_the_worst_time_stay_within_the_bound() {
    // Guards against lives that are too long, against a long life without its part of the burst,
    // and against a slack that leaves no room for tokens that are lent.
    for seed in 0..80 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let rate = [5.0, 40.0, 200.0, 1000.0][seed as usize % 4];
        let burst = [1.0, 20.0, 100.0, 1000.0][seed as usize / 4 % 4];
        let allowance = Allowance { rate, burst };
        let start = Instant::now();
        let mut root = Root::default();
        let slack = if seed < 40 { 0.0 } else { SLACK };
        let with_slack = Allowance { burst: burst + slack, ..allowance };
        root.update(&"one".into(), Some((with_slack, 1.0)), start, start);
        let mut now = start + TAKEOVER_DELAY;
        // When tokens were granted, their deadlines and numbers.
        let mut grants = Vec::new();
        for _ in 0..3000 {
            // Phases with little demand, in which tokens get a long life, and with much.
            let is_busy = (now - start).as_secs() / 7 % 2 == 1;
            let pause = if is_busy { 10 } else { 300 };
            now += Duration::from_millis(rng.random_range(0..pause));
            let wanted = if is_busy { rng.random_range(1..200) } else { rng.random_range(1..4) };
            let grant = root.grant(&draw(wanted, rng.random_range(0..400)), now);
            let grant = grant.expect("the root grants");
            grants.push((now, now + grant.life, grant.tokens));
        }
        let bound = (rate * WINDOW.as_secs_f64() + burst) * 1.1 + 20.0;
        for (from, ..) in &grants {
            let is_usable = |(time, deadline, _): &&(Instant, Instant, u32)| {
                *time < *from + WINDOW && deadline > from
            };
            let usable: u32 = grants.iter().filter(is_usable).map(|(.., tokens)| tokens).sum();
            assert!(f64::from(usable) <= bound, "seed {seed}: {usable} usable, bound {bound}");
        }
    }
}

#[test]
fn a_share_is_lowered_at_once_and_raised_when_other_roots_have_stopped() {
    // Guards against two roots that both grant the whole allowance after a partition has ended.
    let start = Instant::now();
    let mut allowances = Allowances::new(1, "zone".into(), start);
    allowances.set_allowances([("one".into(), Allowance { rate: 1000.0, burst: 1000.0 })], start);
    let other = |leaving| Member {
        node: 2,
        incarnation: 1,
        version: 1,
        name: "vm-2".to_owned(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        caller_address: ([127, 0, 0, 1], 2).into(),
        zone: "other".into(),
        leaving,
        detached: false,
        offers: Vec::<ServiceOffer>::new(),
    };
    let granted = |allowances: &mut Allowances, now| {
        let actions = allowances.draw(1, Draw { role: DrawRole::FinalRoot, ..draw(5000, 0) }, now);
        let [AllowanceAction::Reply(_, grant)] = actions.as_slice() else { panic!("{actions:?}") };
        grant.tokens
    };
    let full = start + LONG;
    assert_eq!(granted(&mut allowances, full), 1000);
    allowances.set_node(&other(false), true, full);
    assert_eq!(granted(&mut allowances, full + LONG), 500);
    let healed = full + LONG;
    allowances.set_node(&other(true), false, healed);
    let second = Duration::from_secs(1);
    assert_eq!(granted(&mut allowances, healed + second), 500);
    assert_eq!(granted(&mut allowances, healed + second * 2), 500);
    assert_eq!(granted(&mut allowances, healed + second * 3), 1000);
}

#[test]
fn a_lowered_limit_does_not_stop_the_refill() {
    // Guards against an organisation that gets nothing until tokens of the old limit have ended.
    let start = Instant::now();
    let mut root = Root::default();
    let update = |root: &mut Root, rate: f64, now| {
        let allowance = Allowance { rate, burst: rate };
        root.update(&"one".into(), Some((allowance, 1.0)), start, now);
    };
    update(&mut root, 90.0, start);
    let lowered_at = start + LONG;
    let before = root.grant(&draw(40, 5), lowered_at).expect("the root grants");
    assert_eq!(before.tokens, 45, "with a long life");
    update(&mut root, 30.0, lowered_at);
    let mut granted = 0;
    for step in 1..=20 {
        let now = lowered_at + Duration::from_millis(100 * step);
        granted += root.grant(&draw(10, 0), now).expect("the root grants").tokens;
    }
    assert!((55..=75).contains(&granted), "{granted} of 60 in 2 s at the new rate");
}

/// Guards against small organisations that are refused although they stay below their allowance,
/// because their few tokens are lent to nodes other than those that need them.
#[test]
fn slack_serves_small_organisations_below_their_allowance() {
    const ORGANISATIONS: u32 = 20;
    let refused = |slack: f64| {
        let start = Instant::now();
        let mut rng = Pcg64Mcg::seed_from_u64(3);
        let mut allowances = Allowances::new(1, "zone".into(), start).with_slack(slack);
        let names = (0..ORGANISATIONS).map(|index| OrganisationName::from(index.to_string()));
        let names: Vec<OrganisationName> = names.collect();
        // Each may make two requests a second and makes 1.25 on average, at random times.
        let limit = Allowance { rate: 2.0, burst: 2.0 };
        allowances.set_allowances(names.iter().map(|name| (name.clone(), limit)), start);
        let mut now = start + Duration::from_secs(30);
        let mut refused = 0;
        for request in 0..4000 {
            now += Duration::from_millis(rng.random_range(0..80));
            let name = &names[rng.random_range(0..names.len())];
            let actions = allowances.request(request, name, now);
            refused += u32::from(matches!(
                actions.as_slice(),
                [AllowanceAction::Decide(_, Decision::Over(_))]
            ));
        }
        refused
    };
    assert!(refused(0.0) > 200, "{} of 4000 without slack", refused(0.0));
    assert!(refused(10.0) < 20, "{} of 4000 with slack", refused(10.0));
}
