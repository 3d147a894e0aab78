//! What a node finds where it runs: who its callers and upstreams are and how they speak.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use lavenderflow_platform::deployment;
use lavenderflow_platform::node_file::NodeFile;
use lavenderflow_schema::dialect::Dialect;

use crate::http::native::NativeDialect;
use crate::prelude::*;
use crate::store::{OWN_SOURCE, Source};

/// Time for which the watch of a deployment waits: it must be in force within two seconds, also
/// when a connection to the store has gone silent.
const DEPLOYMENT_WATCH: Duration = Duration::from_secs(2);
/// Time for which the watch of profiles waits on the platform.
const PROFILE_WATCH: Duration = Duration::from_secs(20);

/// How nodes know one another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trust {
    /// By certificates of the fleet's authority, on both sides.
    Keys,
    /// By their place in the network: whoever reaches a node's port is one of the fleet.
    Network,
}

/// Where a node runs.
#[derive(Clone, Debug)]
pub struct Site {
    /// How callers and upstreams spell what they say.
    pub dialect: Arc<dyn Dialect>,
    /// How nodes know one another.
    pub trust: Trust,
    /// Address for the question whether the node takes new requests.
    pub ready: Option<SocketAddr>,
    /// Address for announcements in the site's own form.
    pub announcements: Option<SocketAddr>,
    /// Where the only upstream of this VM serves HTTP; none when there can be several.
    pub upstream: Option<SocketAddr>,
    /// Where configuration comes from.
    pub sources: Vec<Source>,
    /// Whether the routes come as one deployment, before which nothing can be served.
    pub deploys: bool,
    /// Profile of services without a stored one.
    pub profile: Profile,
    /// The settings file and what it said at the start; none when flags and variables say it all.
    pub file: Option<(PathBuf, NodeFile)>,
}

impl Site {
    /// Returns a site where everything is told by settings and by operators' commands.
    pub fn native() -> Self {
        Self {
            dialect: Arc::new(NativeDialect),
            trust: Trust::Keys,
            ready: None,
            announcements: None,
            upstream: None,
            sources: vec![OWN_SOURCE],
            deploys: false,
            profile: Profile::default(),
            file: None,
        }
    }

    /// Returns a site on the platform.
    pub fn platform(path: PathBuf, node_file: &NodeFile) -> Self {
        let deployment = Source {
            prefix: deployment::STORE_KEY,
            decode: |entry| deployment::decode(entry.value.as_bytes()),
            restores: false,
            watch: DEPLOYMENT_WATCH,
        };
        Self {
            dialect: Arc::new(node_file.dialect.clone()),
            trust: Trust::Network,
            ready: Some(node_file.ready),
            announcements: Some(node_file.announcements),
            upstream: Some(node_file.upstream),
            // Profiles change rarely, so their watch may wait longer than elsewhere.
            sources: vec![Source { watch: PROFILE_WATCH, ..OWN_SOURCE }, deployment],
            deploys: true,
            profile: node_file.profile.clone(),
            file: Some((path, node_file.clone())),
        }
    }
}
