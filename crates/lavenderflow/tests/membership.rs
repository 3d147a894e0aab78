//! Nodes detect that others join, leave and fail, also while the store is down.

mod common;

use common::{Site, SiteConfig, gate_count};
use lavenderflow_standins::fleet::{NodeProcess, wait_until};
use lavenderflow_standins::proxy::Direction;
use lavenderflow_standins::store::Mode;

const ZONES: [&str; 5] = ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c"];

/// Returns the names of the members that are in a state according to one node.
fn member_names(node: &NodeProcess, state: &str) -> Vec<String> {
    let Some(status) = node.status() else { return Vec::new() };
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let members = members.iter().filter(|member| member["state"] == state);
    members.filter_map(|member| Some(member["name"].as_str()?.to_owned())).collect()
}

#[test]
fn all_nodes_detect_a_killed_and_restarted_node_while_the_store_is_down() {
    let mut site = Site::start(SiteConfig { zones: ZONES.to_vec(), ..SiteConfig::default() });
    site.store.set_mode(Mode::Down);
    site.nodes[3].kill().expect("a signal");
    let others = [0, 1, 2, 4];
    wait_until("all other nodes have expelled the killed node", || {
        others.iter().all(|node| member_names(&site.nodes[*node], "expelled") == ["vm-3"])
    })
    .expect("an expulsion");
    site.restart_node(3);
    wait_until("all nodes see all nodes alive", || {
        site.nodes.iter().all(|node| member_names(node, "alive").len() == ZONES.len())
    })
    .expect("all nodes alive");
    wait_until("all nodes know the upstream of the restarted node", || {
        site.nodes.iter().all(|n| gate_count(n) == ZONES.len())
    })
    .expect("all gates");
}

#[test]
fn a_one_way_partition_expels_no_node_that_others_reach() {
    let site =
        Site::start(SiteConfig { zones: ZONES.to_vec(), proxied: true, ..SiteConfig::default() });
    let peer = site.nodes[0].settings.peers;
    site.proxies[1].cut(peer, Direction::ToTarget);
    site.proxies[0].cut(site.nodes[1].settings.peers, Direction::FromTarget);
    // Many times as long as it takes to detect a failed node.
    let end = std::time::Instant::now() + std::time::Duration::from_secs(5);
    while std::time::Instant::now() < end {
        for node in &site.nodes {
            assert_eq!(member_names(node, "expelled"), Vec::<String>::new());
        }
    }
    // Requests through the partitioned node go to other nodes.
    for _ in 0..50 {
        let response = site.call(0, "GET", "/work", &[], "").expect("a response");
        assert_eq!(response.status, 200, "{}", response.reason());
    }
}

#[test]
fn store_calls_do_not_grow_with_the_number_of_nodes() {
    let calls = |zones: Vec<&'static str>| {
        let site = Site::start(SiteConfig { zones, upstreams: 0, ..SiteConfig::default() });
        // Waits until the watchers have started, and counts the calls from then on.
        std::thread::sleep(std::time::Duration::from_secs(2));
        let before = site.store.call_count().expect("a count");
        std::thread::sleep(std::time::Duration::from_secs(12));
        site.store.call_count().expect("a count") - before
    };
    let spread = ["zone-a", "zone-b", "zone-c"].repeat(5);
    let (few, many) = (calls(vec!["zone-a"; 5]), calls(spread));
    // Both fleets have four delegates, and only these call the store: each with a watch of 5 s, a
    // renewal of its lease every 3 s and a search for other nodes after five renewals.
    assert!(many <= few + 4, "{few} calls with 5 nodes, {many} with 15");
}
