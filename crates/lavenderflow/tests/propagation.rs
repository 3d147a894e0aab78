//! A change of the configuration takes effect in time on every node that can reach the store.

mod common;

use std::time::{Duration, Instant};

use common::deployment::Deployment;
use lavenderflow_standins::fleet::wait_until;

/// Bound within which a change must take effect, in seconds.
const APPLY_SECONDS: u32 = 4;
const NODES: usize = 8;

#[test]
fn a_change_is_in_force_in_time_although_all_watchers_lost_the_store_silently() {
    let mut deployment = Deployment::start_with_bound(NODES, APPLY_SECONDS);
    deployment.configure("work", "work");
    deployment.wait_ready();
    // All watches start anew with a change, so that none is about to time out.
    deployment.configure("nobody", "work");
    let everyone: Vec<usize> = (0..NODES).collect();
    wait_until_status(&deployment, &everyone, 503);
    let watched = || deployment.store.watched_addresses("op/config").expect("a store");
    wait_until("some of the nodes watch", || (1..NODES).contains(&watched().len()))
        .expect("watchers");
    let deaf = watched();
    deployment.store.silence(deaf.iter().copied());
    deployment.configure("work", "work");
    let written = Instant::now();
    let is_sound = |vm: &usize| !deaf.contains(&deployment.vms[*vm].store);
    let sound: Vec<usize> = everyone.into_iter().filter(is_sound).collect();
    wait_until_status(&deployment, &sound, 200);
    let limit = Duration::from_secs(u64::from(APPLY_SECONDS));
    assert!(written.elapsed() < limit, "{:?}", written.elapsed());
}

/// Waits until each of these nodes answers with a status.
fn wait_until_status(deployment: &Deployment, vms: &[usize], status: u16) {
    wait_until("the nodes use the new route", || {
        vms.iter().all(|vm| {
            let response = deployment.call(*vm, "GET", "/read/a", "moved");
            response.is_some_and(|response| response.status == status)
        })
    })
    .expect("a change");
}
