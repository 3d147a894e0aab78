//! Finds limits that contradict each other or the settings of a node.

use lavenderflow_platform::node_file::NodeFile;
use lavenderflow_schema::convert::deployment::{EntryKind, entry_name};

use super::Finding;
use super::load::Loaded;
use crate::http::admission::MAX_BUFFER_BYTES;

pub(super) fn find(loaded: &Loaded, settings: Option<&NodeFile>) -> Vec<Finding> {
    let mut findings = routes(loaded, settings);
    findings.extend(organisations(loaded));
    findings.extend(limits(loaded));
    findings
}

fn routes(loaded: &Loaded, settings: Option<&NodeFile>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (route, stored) in loaded.deployment.routes.iter().zip(&loaded.stored.routes) {
        let entry = entry_name(EntryKind::Route, &stored.name);
        if let (Some(target), Some(timeout)) = (route.target_latency, route.timeout)
            && target > timeout
        {
            let message = format!(
                "the target latency of {target:?} is above the timeout of {timeout:?}: every \
                 response in time is on target"
            );
            findings.push(loaded.warning(&entry, "target_ms", message));
        }
        let stop = settings.map(|settings| settings.settings.stop);
        if let (Some(timeout), Some(stop)) = (route.timeout, stop)
            && timeout > stop
        {
            let message = format!(
                "the timeout of {timeout:?} is above the {stop:?} that a stopping node has: what \
                 takes longer is cut off at a stop"
            );
            findings.push(loaded.warning(&entry, "timeout_ms", message));
        }
    }
    findings
}

fn organisations(loaded: &Loaded) -> Vec<Finding> {
    let mut findings = Vec::new();
    for stored in &loaded.stored.organisations {
        let entry = entry_name(EntryKind::Organisation, &stored.name);
        if stored.rate_per_s == 0.0 && stored.burst > 0.0 {
            let message = "a burst without a rate sets no limit";
            findings.push(loaded.warning(&entry, "burst", message));
        }
        if stored.rate_per_s > 0.0 && stored.burst > 0.0 && stored.burst < 1.0 {
            let message = "the allowance is below one request; the burst counts as 1";
            findings.push(loaded.warning(&entry, "burst", message));
        }
    }
    findings
}

fn limits(loaded: &Loaded) -> Vec<Finding> {
    let mut findings = Vec::new();
    let entry = EntryKind::Limits.name();
    if loaded.count(entry) > 1 {
        findings.push(loaded.warning(entry, "", "there are several; only the last one is used"));
    }
    let header_bytes = loaded.deployment.limits.header_bytes.unwrap_or_default();
    if header_bytes > MAX_BUFFER_BYTES {
        let message = format!(
            "the header limit of {header_bytes} bytes is above the {MAX_BUFFER_BYTES} that a node \
             holds for a connection: longer ones are refused"
        );
        findings.push(loaded.warning(entry, "header_bytes", message));
    }
    findings
}
