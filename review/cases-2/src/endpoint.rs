//! An endpoint that follows the pages, and sends bytes after its answers where a case wants that.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

/// The part of an endpoint that its threads share.
#[derive(Default)]
struct Shared {
    events: Events,
    is_leaving: AtomicBool,
    sequence: AtomicU64,
}

/// A running endpoint.
pub struct Endpoint {
    id: String,
    control: SocketAddr,
    app: SocketAddr,
    slots: u32,
    shared: Arc<Shared>,
}

impl Endpoint {
    /// Starts an endpoint beside a node.
    pub fn start(node: &Node, slots: u32, behaviour: Behaviour) -> Arc<Self> {
        let listener = TcpListener::bind(node.app).expect("an address");
        let endpoint = Arc::new(Self {
            id: format!("i-{}", node.name),
            control: node.control,
            app: node.app,
            slots,
            shared: Arc::default(),
        });
        let (own, shared) = (endpoint.id.clone(), Arc::clone(&endpoint.shared));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (own, shared) = (own.clone(), Arc::clone(&shared));
                let behaviour = Arc::clone(&behaviour);
                thread::spawn(move || serve(stream, &own, &shared, &behaviour));
            }
        });
        let checking_in = Arc::clone(&endpoint);
        thread::spawn(move || {
            while !checking_in.shared.is_leaving.load(Ordering::SeqCst) {
                let sequence = checking_in.next_sequence();
                checking_in.check_in(sequence);
                thread::sleep(HEARTBEAT);
            }
        });
        endpoint
    }

    /// Returns the number of a check-in that is sent now.
    pub fn next_sequence(&self) -> u64 {
        self.shared.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Delivers a check-in to the node; returns the status of the answer.
    pub fn check_in(&self, sequence: u64) -> Option<u16> {
        let body = json!({"service": "work", "address": self.app.to_string(), "zone": "zone-0",
            "version": "v1", "slots": self.slots, "state": "ready", "cold_remaining_s": 0,
            "sequence": sequence, "born": BORN});
        self.call("Heartbeat", &body.to_string())
    }

    /// Leaves: deregisters, and says in all answers from now on that it leaves.
    pub fn deregister(&self) -> Option<u16> {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
        let body = json!({"sequence": self.next_sequence(), "born": BORN});
        self.call("Deregister", &body.to_string())
    }

    fn call(&self, name: &str, body: &str) -> Option<u16> {
        let Self { id, control, .. } = self;
        let text = format!(
            "POST /lavenderflow/Instances.{name}/{id} HTTP/1.1\r\nHost: {control}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut client = Client::connect(*control).ok()?;
        client.send(text.as_bytes()).ok()?;
        Some(client.read()?.status)
    }

    /// Returns what the endpoint did with each request.
    pub fn events(&self) -> BTreeMap<String, Vec<Event>> {
        lock(&self.shared.events).clone()
    }

    /// Returns the id of the endpoint.
    pub fn id(&self) -> &str {
        &self.id
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while it is held")
}

fn serve(stream: TcpStream, own: &str, shared: &Shared, behaviour: &Behaviour) -> Option<()> {
    let events = &shared.events;
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
            let is_leaving = shared.is_leaving.load(Ordering::SeqCst);
            send(&writer, answer(&id, own, is_leaving).as_bytes())?;
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
fn answer(id: &str, own: &str, is_leaving: bool) -> String {
    let body = format!("answer to {id}");
    let leaving = if is_leaving { "Server-Leaving: 1\r\n" } else { "" };
    format!(
        "HTTP/1.1 200 OK\r\nLavenderflow-Request-Id: {id}\r\n{leaving}\
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
