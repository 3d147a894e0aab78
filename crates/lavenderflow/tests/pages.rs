//! Output for operators: the status, error messages, exit codes, and the documented counters and
//! settings.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::Command;

use lavenderflow::command::CommandError;
use lavenderflow::counter::{AllowanceEvent, Counter, Fault};
use lavenderflow::error::NodeError;
use lavenderflow::http::unanswered::Interruption;
use lavenderflow::operator::{Assignment, OperatorError};
use lavenderflow::status::{
    GateStatus, LimitStatus, MemberStatus, RejectedStatus, ServiceStatus, Status, UpstreamStatus,
};
use lavenderflow::store::StoreError;
use lavenderflow_core::connections::CloseReason;
use lavenderflow_core::hedge::{HedgeEvent, Suppression};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_schema::convert::ConvertError;
use lavenderflow_schema::settings::{NodeSettings, SETTINGS};

const OPERATING_PAGE: &str = include_str!("../../../docs/OPERATING.md");

#[test]
fn the_operators_page_lists_every_counter() {
    let reasons = Reason::ALL.iter();
    let by_reason = reasons.flat_map(|r| [Counter::EntryRefused(*r), Counter::Retried(*r)]);
    let outcomes = [Outcome::Ran, Outcome::NotRun, Outcome::Unknown].map(Counter::Outcome);
    let faults = Fault::ALL.map(Counter::Fault);
    let others = [Counter::Ejected, Counter::Returned];
    let allowances = AllowanceEvent::ALL.map(Counter::Allowance);
    let hedges = [HedgeEvent::Started, HedgeEvent::Won, HedgeEvent::Lost, HedgeEvent::Refused];
    let suppressed = Suppression::ALL.map(HedgeEvent::Suppressed);
    let hedges = hedges.into_iter().chain(suppressed).map(Counter::Hedge);
    let counters = by_reason.chain(outcomes).chain(faults).chain(others).chain(allowances);
    let closed = CloseReason::ALL.map(Counter::Closed);
    let unanswered = Interruption::ALL.map(Counter::Unanswered);
    let counters = counters.chain(hedges).chain(closed).chain(unanswered);
    // The page lists counters by reason as a family and the reasons, in separate tables.
    let missing: BTreeSet<String> = counters
        .map(Counter::name)
        .flat_map(|name| match name.rsplit_once('.') {
            Some((family @ ("entry.refused" | "entry.retried"), reason)) => {
                vec![format!("{family}.REASON"), reason.to_owned()]
            }
            Some((family @ "entry.hedge.suppressed", cause)) => {
                vec![format!("{family}.CAUSE"), cause.to_owned()]
            }
            _ => vec![name],
        })
        .filter(|name| !OPERATING_PAGE.contains(&format!("`{name}`")))
        .collect();
    assert_eq!(missing, BTreeSet::new());
}

#[test]
fn the_operators_page_lists_every_setting() {
    let missing: Vec<&str> = SETTINGS
        .iter()
        .map(|setting| setting.variable)
        .filter(|variable| !OPERATING_PAGE.contains(&format!("`{variable}`")))
        .collect();
    assert_eq!(missing, Vec::<&str>::new());
}

#[test]
fn the_status_shows_who_is_out_and_why() {
    let gate = |node: &str, chosen, suspicion: &str| GateStatus {
        node: node.to_owned(),
        slots: 4,
        chosen,
        suspicion: suspicion.to_owned(),
    };
    let status = Status {
        node: "vm-1".to_owned(),
        zone: "zone-a".to_owned(),
        state: "serving".to_owned(),
        requests: 3,
        running: 2,
        orphaned: 0,
        tickets: 17,
        upstreams: vec![UpstreamStatus {
            id: "numbering-1".to_owned(),
            service: "numbering".to_owned(),
            state: "serving".to_owned(),
            condition: "ejected".to_owned(),
            evidence: 15.5,
            busy: 2,
            slots: 4,
            pace_us: 20_000,
        }],
        services: vec![ServiceStatus {
            name: "numbering".to_owned(),
            profile: "careful".to_owned(),
            floor_percent: 60,
            gates: vec![
                gate("a1", true, ""),
                gate("b2", false, "upstreams ejected evidence 15.5"),
                gate("c3", true, "no observer can reach it"),
            ],
        }],
        limited: vec![LimitStatus {
            organisation: "publisher-7".to_owned(),
            retry_ms: 120,
            fallback: false,
        }],
        members: vec![MemberStatus {
            id: "a1".to_owned(),
            name: "vm-1".to_owned(),
            zone: "zone-a".to_owned(),
            callers: "10.0.0.1:8080".to_owned(),
            state: "alive".to_owned(),
        }],
        revisions: [("profiles/careful".to_owned(), 4)].into_iter().collect(),
        rejected: vec![RejectedStatus {
            key: "routes/numbering".to_owned(),
            revision: 2,
            fault: "malformed JSON".to_owned(),
        }],
        counters: [("entry.outcome.ran".to_owned(), 1234)].into_iter().collect(),
    };
    insta::assert_snapshot!(status.render());
}

#[test]
fn errors_that_operators_see() {
    let address = SocketAddr::from(([127, 0, 0, 1], 8082));
    let errors: Vec<CommandError> = vec![
        OperatorError::Conflict {
            key: "profiles/careful".to_owned(),
            author: "ann".to_owned(),
            revision: 5,
        }
        .into(),
        OperatorError::Assignment("floor".to_owned()).into(),
        OperatorError::Field("caution.color".to_owned()).into(),
        OperatorError::Value(ConvertError::Missing("patience")).into(),
        OperatorError::MalformedEntry("profiles/careful".to_owned()).into(),
        OperatorError::Missing("profiles/careless".to_owned()).into(),
        OperatorError::Store(StoreError::Status(503)).into(),
        OperatorError::Unresolved {
            change: "00ff".to_owned(),
            key: "profiles/careful".to_owned(),
            fault: StoreError::Status(504),
        }
        .into(),
        OperatorError::NodeUnreachable { address, fault: ureq::Error::ConnectionFailed }.into(),
        NodeError::Listen { address, fault: "address in use".to_owned() }.into(),
    ];
    let lines: Vec<String> =
        errors.iter().map(|error| format!("exit {}: {error}", error.exit_code())).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn wrong_assignments_are_refused() {
    for text in ["", "floor", "a.b"] {
        assert!(matches!(Assignment::parse(text), Err(OperatorError::Assignment(_))), "{text}");
    }
}

#[test]
fn all_bad_settings_are_reported_at_once() {
    let flags = [
        ("zone", ""),
        ("callers", "localhost:80"),
        ("seeds", "127.0.0.1:1,nowhere"),
        ("workers", "0"),
        ("ping", "fast"),
        ("tickets", "1"),
    ];
    let given = |name: &str| {
        flags.iter().find(|(flag, _)| *flag == name).map(|(_, value)| (*value).to_owned())
    };
    let error = NodeSettings::read(given, |_| None).expect_err("bad settings");
    insta::assert_snapshot!(error);
}

#[test]
fn flags_go_before_environment_variables_and_defaults() {
    let flags = |name: &str| match name {
        "name" | "zone" | "authority" | "certificate" | "key" => Some("flag".to_owned()),
        _ => None,
    };
    let environment = |variable: &str| match variable {
        "LAVENDERFLOW_NAME" => Some("environment".to_owned()),
        "LAVENDERFLOW_WORKERS" => Some("7".to_owned()),
        _ => None,
    };
    let settings = NodeSettings::read(flags, environment).expect("good settings");
    assert_eq!(settings.name, "flag");
    assert_eq!(settings.workers, 7);
    assert_eq!(settings.answers, 8192);
}

#[test]
fn the_command_exits_with_documented_codes() {
    let cases: [(&[&str], i32); 5] = [
        (&["node", "--unknown"], 1),
        (&["check", "--name", "a"], 2),
        (&["profile", "set", "--store", "127.0.0.1:1", "p", "no-value"], 2),
        (&["profile", "list", "--store", "127.0.0.1:1"], 4),
        (&["status", "--node", "127.0.0.1:1"], 5),
    ];
    for (arguments, code) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_lavenderflow"))
            .args(arguments)
            .output()
            .expect("a run");
        assert_eq!(output.status.code(), Some(code), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?} prints no error");
    }
}
