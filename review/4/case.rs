//! A model runner answers some of its calls twice, and the second answer arrives late.

#[path = "../kit/mod.rs"]
mod kit;

use std::{
    io::Write,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::{AtomicU32, Ordering}},
    thread,
    time::Duration,
};

use kit::{Client, Conn, Entry, Instance, Log, Store, response};

/// When the runner is faulty, in seconds of traffic, and for how long.
const FAULTY_FROM_S: [f64; 5] = [2.0, 9.0, 16.0, 23.0, 30.0];
const FAULTY_FOR_S: f64 = 5.0;

/// One answer in so many is sent twice at most (x = 0.03).
const ANSWERS_PER_EXTRA: u32 = 34;

/// How late the second answer is.
const LATE_BY: Duration = Duration::from_millis(150);

/// The time that a runner reads a prompt, and the answers after which it closes a connection.
const READ: Duration = Duration::from_millis(200);
const ANSWERS_PER_CLOSE: u32 = 5;

const EVENTS: u32 = 17;
const TRAFFIC_S: f64 = 36.0;
const REQUESTS_PER_S: f64 = 50.0;

fn main() {
    let log = kit::begin();
    let folder = kit::folder();
    let store = Store::open();
    let traffic_from = Arc::new(Mutex::new(f64::INFINITY));
    for (id, is_faulty) in [("i-writer-1", true), ("i-writer-2", false)] {
        let born = kit::unix_ms();
        let entry = Entry {
            id: id.to_owned(),
            service: "writer".to_owned(),
            address: engine(&log, id, born, is_faulty && kit::has_trouble(), &traffic_from),
            zone: "a".to_owned(),
            slots: 64,
            version: "v1".to_owned(),
        };
        kit::register(&store, entry, born, || true);
    }
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let instances: Vec<Instance> =
        [("front-1", "a"), ("front-2", "b")].map(|(name, zone)| Instance::start(&folder, &store, name, zone)).into();
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(Duration::from_secs(1));

    *traffic_from.lock().unwrap() = log.now();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU32::new(0));
    let mut clients = Vec::new();
    let count = (TRAFFIC_S * REQUESTS_PER_S) as u32;
    for number in 0..count {
        let front = instances[number as usize % 2].front;
        let (log, broken, served) = (log.clone(), broken.clone(), served.clone());
        clients.push(thread::spawn(move || send(&log, front, number, &broken, &served)));
        thread::sleep(Duration::from_secs_f64(1.0 / REQUESTS_PER_S));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let served = served.load(Ordering::Relaxed);
    log.line(format!("{served} of {count} requests served"));
    if served < count / 2 {
        kit::stop("too few requests were served");
    }
    let broken = broken.lock().unwrap().clone();
    kit::finish(&log, &broken);
}

/// Sends a request, and checks a success for the seal of a runner that ran it.
fn send(log: &Log, front: SocketAddr, number: u32, broken: &Mutex<Vec<String>>, served: &AtomicU32) {
    let id = format!("r{number:05}");
    let text = format!(
        "POST /brief/draft HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 2890,51\r\nX-Prompt-Prefix: {:08x}:2520,{number:08x}:370\r\nX-Deadline-Ms: 8000\r\n\
         Authorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody",
        number % 40
    );
    let Ok(mut client) = Client::connect(front) else { return };
    let answer = client.send(text.as_bytes()).and_then(|()| client.read(|_| {})).ok().flatten().unwrap_or_default();
    let (status, seal, kind) = (answer.status(), answer.header("x-response-seal"), answer.header("content-type"));
    let events = answer.text().matches("\n\n").count();
    log.line(format!("client gets {status} for {id}, whole {}, seal {seal:?}, {kind}, {events} events", answer.is_whole));
    if status != 200 || !answer.is_whole {
        return;
    }
    served.fetch_add(1, Ordering::Relaxed);
    if !seal.ends_with(&format!(".{id}")) {
        let text = format!("MIXED: the client of {id} gets 200, {kind}, with seal {seal:?} and {events} events");
        broken.lock().unwrap().push(text);
    }
}

/// A model runner. A faulty one sends the answer to one of its calls a second time, late.
fn engine(log: &Log, id: &'static str, born: u64, is_faulty: bool, traffic_from: &Arc<Mutex<f64>>) -> SocketAddr {
    let (log, traffic_from) = (log.clone(), traffic_from.clone());
    let total = AtomicU32::new(0);
    // The answers in each time in which the runner is faulty, and those that it sends twice.
    let answers = FAULTY_FROM_S.map(|_| (AtomicU32::new(0), AtomicU32::new(0)));
    kit::serve(move |request, conn| {
        let at = log.now() - *traffic_from.lock().unwrap();
        let window = FAULTY_FROM_S.iter().position(|from| (0.0..FAULTY_FOR_S).contains(&(at - from)));
        let window = window.filter(|_| is_faulty).map(|window| &answers[window]);
        let count = window.map_or(0, |(count, _)| count.fetch_add(1, Ordering::Relaxed) + 1);
        if request.path() == "/v1/report" {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":371889,"handles":0,"born":{born}}}"#
            );
            let answer = response(200, "Content-Type: application/json\r\n", body.as_bytes());
            // At most one answer in so many of this time is sent twice.
            let allowed = count / ANSWERS_PER_EXTRA;
            let may_double = |extras: &AtomicU32| {
                extras.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |sent| (sent < allowed).then_some(sent + 1)).is_ok()
            };
            if window.is_some_and(|(_, extras)| may_double(extras)) {
                log.line(format!("{id} answers a report twice: answer {count} of this time, connection {}", conn.number));
                send_late(&log, id, conn, answer.clone());
            }
            return conn.send(&answer);
        }
        let request_id = request.header("x-request-id").to_owned();
        let echo = format!("X-Request-Id: {request_id}\r\n");
        if request.header("x-expect-instance") != id {
            return conn.send(&response(421, &echo, b""));
        }
        log.line(format!("{id} runs {request_id} after {:?}, connection {}", request.header("last-event-id"), conn.number));
        let last: u32 = request.header("last-event-id").parse().unwrap_or(0);
        thread::sleep(READ);
        // Some answers announce the end of their connection, as those of all runners do occasionally.
        let closes = total.fetch_add(1, Ordering::Relaxed) % ANSWERS_PER_CLOSE == 0;
        let close = if closes { "Connection: close\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Response-Seal: {id}.{request_id}\r\nX-Weight-Versions: 1\r\n{close}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = conn.send(head.as_bytes());
        for event in last + 1..=EVENTS {
            let text = format!("id: {event}\ndata: {request_id}-{event}\n\n");
            is_open = is_open && conn.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            thread::sleep(Duration::from_millis(20));
        }
        is_open && conn.send(b"0\r\n\r\n") && !closes
    })
}

fn send_late(log: &Log, id: &'static str, conn: &Conn, extra: Vec<u8>) {
    let (log, number) = (log.clone(), conn.number);
    let Ok(mut stream) = conn.stream.try_clone() else { return };
    thread::spawn(move || {
        thread::sleep(LATE_BY);
        let is_sent = stream.write_all(&extra).is_ok();
        log.line(format!("{id} sends the extra answer on connection {number}: {is_sent}"));
    });
}

const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"brief","hostname":"desk.example","pathPrefix":"/brief/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":1000,"gapAimMs":200,"priority":0,"service":"writer","maxAttempts":2,"resumable":true,"public":false,"sessionAffinity":true,"stages":[]}],
"services":[{"name":"writer","healthCheckPath":"/healthz","maxConnections":360,"engine":{"slots":64,"kvCapacity":371889}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"press","apiKeys":["key-1"],"priority":0}]}"#;
