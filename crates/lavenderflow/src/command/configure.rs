//! The commands `profile`, `service`, `route` and `organisation`: list, show and set.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;

use super::CommandError;
use crate::clock::SystemClock;
use crate::operator::{Assignment, ConfigKind, OperatorClient};
use crate::store::Store;

/// Default of `--settle`.
const SETTLE_SECONDS: u64 = 30;

macro_rules! subcommands {
    ($($(#[$doc:meta])* $args:ident = $name:literal, $kind:expr;)*) => {
        $(
            $(#[$doc])*
            #[derive(Debug, FromArgs)]
            #[argh(subcommand, name = $name)]
            pub struct $args {
                #[argh(subcommand)]
                action: Action,
            }

            impl $args {
                pub(super) fn run(&self) -> Result<(), CommandError> {
                    self.action.run($kind)
                }
            }
        )*
    };
}

subcommands! {
    /// limits of the callers' organisations
    OrganisationArgs = "organisation", ConfigKind::Organisation;
    /// time, capacity, retry and ejection limits of services
    ProfileArgs = "profile", ConfigKind::Profile;
    /// which paths belong to which service
    RouteArgs = "route", ConfigKind::Route;
    /// which service uses which profile
    ServiceArgs = "service", ConfigKind::Service;
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    List(ListArgs),
    Set(SetArgs),
    Show(ShowArgs),
}

/// list all entries
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {
    /// address of the store
    #[argh(option)]
    store: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show an entry
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowArgs {
    /// address of the store
    #[argh(option)]
    store: SocketAddr,
    /// name
    #[argh(positional)]
    name: String,
}

/// change or create an entry
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
struct SetArgs {
    /// address of the store
    #[argh(option)]
    store: SocketAddr,
    /// a node's address for operators; finds newer values if the store went back to a backup
    #[argh(option)]
    node: Option<SocketAddr>,
    /// name of the operator, stored with the change
    #[argh(option, default = "String::from(\"operator\")")]
    author: String,
    /// seconds to retry reading back a change whose response was lost (default 30)
    #[argh(option, default = "SETTLE_SECONDS")]
    settle: u64,
    /// name
    #[argh(positional)]
    name: String,
    /// FIELD=VALUE, names of nested fields joined by dots
    #[argh(positional)]
    fields: Vec<String>,
}

impl Action {
    fn run(&self, kind: ConfigKind) -> Result<(), CommandError> {
        match self {
            Self::List(args) => list(kind, args),
            Self::Show(args) => {
                let stored = operator(args.store).show(kind, &args.name)?;
                println!("{}", serde_json::to_string_pretty(&stored)?);
                Ok(())
            }
            Self::Set(args) => set(kind, args),
        }
    }
}

fn operator(store: SocketAddr) -> OperatorClient {
    OperatorClient {
        store: Store::new(store),
        node: None,
        author: String::new(),
        resolve_timeout: Duration::ZERO,
        clock: Arc::new(SystemClock),
    }
}

fn list(kind: ConfigKind, args: &ListArgs) -> Result<(), CommandError> {
    let entries = operator(args.store).list(kind)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&entries)?);
        return Ok(());
    }
    for (name, stored) in entries {
        let follows = stored.service.map(|s| format!(" profile {}", s.profile)).unwrap_or_default();
        println!("{name} revision {} by {}{follows}", stored.revision, stored.author);
    }
    Ok(())
}

fn set(kind: ConfigKind, args: &SetArgs) -> Result<(), CommandError> {
    let assignments: Result<Vec<_>, _> =
        args.fields.iter().map(|field| Assignment::parse(field)).collect();
    let operator = OperatorClient {
        node: args.node,
        author: args.author.clone(),
        resolve_timeout: Duration::from_secs(args.settle),
        ..operator(args.store)
    };
    let change = operator.set(kind, &args.name, &assignments?)?;
    println!("{} {} revision {} accepted", kind.prefix(), args.name, change.revision());
    Ok(())
}
