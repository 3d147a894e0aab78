//! What differs between a native node and one on the platform: the dialect, addresses, trust
//! between nodes and sources of configuration.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use lavenderflow_core::catalog::{Document, Rejection};
use lavenderflow_core::profile::Forgiveness;
use lavenderflow_platform::deployment;
use lavenderflow_platform::node_file::NodeFile;
use lavenderflow_schema::dialect::Dialect;
use lavenderflow_schema::settings::NodeSettings;

use crate::http::native::NativeDialect;
use crate::prelude::*;
use crate::store::{ConfigSource, Entry, OPERATOR_SOURCE};

/// Time within which a change of a profile must be in force on the platform.
const PROFILE_APPLY_LIMIT: Duration = Duration::from_secs(40);

/// How nodes authenticate their peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerTrust {
    /// By certificates of the fleet's authority, on both sides of a connection.
    Certificates,
    /// By network access: everything that can reach a node's port is trusted as a peer.
    Network,
}

/// The environment of a node: native or the platform.
#[derive(Clone, Debug)]
pub struct Environment {
    /// The HTTP dialect of callers and upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// How nodes authenticate their peers.
    pub trust: PeerTrust,
    /// Address of the readiness check.
    pub ready_address: Option<SocketAddr>,
    /// Address for upstreams' announcements in the platform's format.
    pub announcement_address: Option<SocketAddr>,
    /// HTTP address of the only upstream on this VM; `None` if there can be several.
    pub upstream_address: Option<SocketAddr>,
    /// Sources of configuration in the store.
    pub sources: Vec<ConfigSource>,
    /// Whether all routes come from one deployment, before which the node cannot serve requests.
    pub awaits_deployment: bool,
    /// Profile of services without a stored profile.
    pub profile: Profile,
    /// Path and initial content of the settings file; `None` if the settings come from flags and
    /// environment variables.
    pub node_file: Option<(PathBuf, NodeFile)>,
}

impl Environment {
    /// Returns the environment of a node that is configured by settings and operators' commands.
    pub fn native(settings: &NodeSettings) -> Self {
        let default = Profile::default();
        let hedges = settings.hedge as f64 / 100.0;
        let profile =
            Profile { forgiveness: Forgiveness { hedges, ..default.forgiveness }, ..default };
        Self {
            dialect: Arc::new(NativeDialect),
            trust: PeerTrust::Certificates,
            ready_address: None,
            announcement_address: None,
            upstream_address: None,
            sources: vec![OPERATOR_SOURCE],
            awaits_deployment: false,
            profile,
            node_file: None,
        }
    }

    /// Returns the environment of a node on the platform.
    pub fn platform(path: PathBuf, node_file: &NodeFile) -> Self {
        let deployment = ConfigSource {
            prefix: deployment::STORE_KEY,
            decode: decode_deployment,
            is_read_early: true,
            is_restorable: false,
            apply_limit: node_file.apply_limit,
        };
        Self {
            dialect: Arc::new(node_file.dialect.clone()),
            trust: PeerTrust::Network,
            ready_address: Some(node_file.ready),
            announcement_address: Some(node_file.announcements),
            upstream_address: Some(node_file.upstream),
            // Profiles rarely change, and a node can serve without them.
            sources: vec![
                ConfigSource {
                    apply_limit: PROFILE_APPLY_LIMIT,
                    is_read_early: false,
                    ..OPERATOR_SOURCE
                },
                deployment,
            ],
            awaits_deployment: true,
            profile: node_file.profile.clone(),
            node_file: Some((path, node_file.clone())),
        }
    }
}

fn decode_deployment(entry: &Entry) -> Result<Document, Rejection> {
    let text = entry.value.as_bytes();
    deployment::decode(text).map_err(|fault| Rejection {
        key: deployment::DOCUMENT_KEY.to_owned(),
        revision: deployment::read(text).revision,
        fault: fault.to_string(),
    })
}
