//! An endpoint that follows the pages, and sends bytes after its answers where a case wants that.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use lavenderflow_standins::http::RequestHead;
use serde_json::json;

use crate::client::Client;
use crate::deployment::Node;

/// Time between two check-ins.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Start of the endpoint, in milliseconds since 1970.
const BORN: u64 = 1_700_000_001_000;

/// What an endpoint does with a request.
#[derive(Default)]
pub struct Plan {
    /// Whether it refuses the request, marked as not executed.
    pub refuses: bool,
    /// Time that the request takes.
    pub work: Duration,
    /// Whether it answers before it has read the body, and reads on then.
    pub is_early: bool,
    /// Bytes that follow the complete answer, and after which time.
    pub extra: Option<(Duration, Vec<u8>)>,
}

/// What an endpoint did, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    Ran,
    Refused,
    Answered(u16),
    SentExtra,
    /// The whole body was read, with this length, after the answer.
    Read(u64),
    /// The connection ended before the rest of the body, after the answer.
    Cut(String),
}

/// Decides on a request, by its number among those of its connection.
pub type Behaviour = Arc<dyn Fn(&str, u64) -> Plan + Send + Sync>;

type Events = Arc<Mutex<BTreeMap<String, Vec<Event>>>>;

/// A running endpoint.
pub struct Endpoint {
    events: Events,
}

impl Endpoint {
    /// Starts an endpoint beside a node.
    pub fn start(node: &Node, slots: u32, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind(node.app).expect("an address");
        let id = format!("i-{}", node.name);
        let events = Events::default();
        let (own, shared) = (id.clone(), Arc::clone(&events));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (own, shared) = (own.clone(), Arc::clone(&shared));
                let behaviour = Arc::clone(&behaviour);
                thread::spawn(move || serve(stream, &own, &shared, &behaviour));
            }
        });
        let (control, app) = (node.control, node.app);
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let body = json!({"service": "work", "address": app.to_string(),
                    "zone": "zone-0", "version": "v1", "slots": slots, "state": "ready",
                    "cold_remaining_s": 0, "sequence": sequence, "born": BORN});
                // A check-in without an answer is followed by the next one.
                check_in(control, &id, &body.to_string());
                thread::sleep(HEARTBEAT);
            }
        });
        Self { events }
    }

    /// Returns what the endpoint did with each request.
    pub fn events(&self) -> BTreeMap<String, Vec<Event>> {
        lock(&self.events).clone()
    }
}

fn check_in(control: SocketAddr, id: &str, body: &str) -> Option<u16> {
    let text = format!(
        "POST /lavenderflow/Instances.Heartbeat/{id} HTTP/1.1\r\nHost: {control}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut client = Client::connect(control).ok()?;
    client.send(text.as_bytes()).ok()?;
    Some(client.read()?.status)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while it is held")
}

fn serve(stream: TcpStream, own: &str, events: &Events, behaviour: &Behaviour) -> Option<()> {
    let peer = stream.peer_addr().ok()?;
    stream.set_nodelay(true).ok()?;
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut reader = BufReader::new(stream);
    let record = |id: &str, event| lock(events).entry(id.to_owned()).or_default().push(event);
    let mut number = 0;
    loop {
        let head = RequestHead::read(&mut reader, peer).ok()??;
        let has_id = head.header("lavenderflow-request-id").is_some();
        let is_meant = head.header("lavenderflow-expect-instance") == Some(own);
        if !has_id || !is_meant {
            head.read_body(&mut reader, peer).ok()?;
        }
        let Some(id) = head.header("lavenderflow-request-id").map(str::to_owned) else {
            send(
                &writer,
                b"HTTP/1.1 400 none\r\nLavenderflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            )?;
            continue;
        };
        if !is_meant {
            let text = format!(
                "HTTP/1.1 421 other\r\nLavenderflow-Request-Id: {id}\r\n\
                 Lavenderflow-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
            );
            send(&writer, text.as_bytes())?;
            continue;
        }
        number += 1;
        let plan = behaviour(&id, number);
        if !plan.is_early {
            head.read_body(&mut reader, peer).ok()?;
        }
        if plan.refuses {
            record(&id, Event::Refused);
            send(&writer, refusal(&id).as_bytes())?;
        } else {
            record(&id, Event::Ran);
            thread::sleep(plan.work);
            record(&id, Event::Answered(200));
            send(&writer, answer(&id, own).as_bytes())?;
        }
        if plan.is_early {
            match head.read_body(&mut reader, peer) {
                Ok((length, _)) => record(&id, Event::Read(length)),
                Err(fault) => {
                    record(&id, Event::Cut(fault.to_string()));
                    return None;
                }
            }
        }
        if let Some((delay, bytes)) = plan.extra {
            let (writer, events) = (Arc::clone(&writer), Arc::clone(events));
            thread::spawn(move || {
                thread::sleep(delay);
                if send(&writer, &bytes).is_some() {
                    lock(&events).entry(id).or_default().push(Event::SentExtra);
                }
            });
        }
    }
}

/// Sends bytes as a whole: between two answers, never inside one.
fn send(writer: &Mutex<TcpStream>, bytes: &[u8]) -> Option<()> {
    lock(writer).write_all(bytes).ok()
}

/// Returns the answer to a request.
fn answer(id: &str, own: &str) -> String {
    let body = format!("answer to {id}");
    format!(
        "HTTP/1.1 200 OK\r\nLavenderflow-Request-Id: {id}\r\n\
         Lavenderflow-Server-Signature: signed-by-{own}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the refusal of a request.
pub fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nLavenderflow-Request-Id: {id}\r\n\
         Lavenderflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}
