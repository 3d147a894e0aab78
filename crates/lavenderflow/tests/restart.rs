//! What a node must still know after its process was replaced.

mod common;

use common::deployment::Deployment;
use lavenderflow_standins::fleet::wait_until;

/// Calls the service from all VMs and returns how many requests reached the upstream of VM 0.
fn runs_at_first_upstream(deployment: &Deployment, prefix: &str) -> u32 {
    let upstream = &deployment.upstreams[0];
    let before = upstream.run_count().expect("a count");
    for index in 0..40 {
        let id = format!("{prefix}{index}");
        let response = deployment.call(index % 3, "POST", "/write/a", &id).expect("a response");
        assert_eq!(response.status, 200);
    }
    upstream.run_count().expect("a count") - before
}

/// Restarts the node of VM 0 and waits until it acknowledges a heartbeat of its upstream with this
/// sequence number, and until all nodes serve requests.
fn restart_with_late_heartbeat(deployment: &mut Deployment, sequence: u64) {
    deployment.vms[0].process.kill().expect("a signal");
    deployment.restart(0);
    wait_until("the node acknowledges the late heartbeat", || {
        deployment.upstreams[0].send_heartbeat(sequence, "ready").is_ok()
    })
    .expect("an acknowledgement");
    let is_served = |vm: usize| {
        let response = deployment.call(vm, "POST", "/write/a", &format!("wait{vm}"));
        response.is_some_and(|response| response.status == 200)
    };
    wait_until("all nodes serve requests", || (0..3).all(is_served)).expect("responses");
}

/// Guards against a restarted node that uses an upstream again whose leaving it had acknowledged,
/// because of a heartbeat that arrives late.
#[test]
fn a_restarted_node_remembers_which_upstreams_have_left() {
    let mut deployment = Deployment::start(3);
    deployment.upstreams[0].deregister().expect("an acknowledgement");
    // This heartbeat was sent before the deregistration.
    restart_with_late_heartbeat(&mut deployment, 2);
    assert_eq!(runs_at_first_upstream(&deployment, "late"), 0);
}

/// Guards against the same where the upstream said only in its responses that it leaves.
#[test]
fn a_restarted_node_remembers_which_upstreams_were_leaving_by_their_responses() {
    let mut deployment = Deployment::start(3);
    let leaving = &deployment.upstreams[0];
    leaving.set_response_headers(&[("Server-Leaving", "1")]).expect("an upstream");
    wait_until("a response says that the upstream is leaving", || {
        runs_at_first_upstream(&deployment, "header") == 0
    })
    .expect("an upstream that gets no work");
    wait_until("the leaving is stored", || {
        deployment
            .store
            .keys()
            .is_ok_and(|keys| keys.iter().any(|key| key.starts_with("lifetimes/")))
    })
    .expect("a stored lifetime");
    // Otherwise the next response would say so again.
    deployment.upstreams[0].set_response_headers(&[]).expect("an upstream");
    restart_with_late_heartbeat(&mut deployment, 1000);
    assert_eq!(runs_at_first_upstream(&deployment, "after"), 0);
}
