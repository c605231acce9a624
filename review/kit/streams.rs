//! Clients and model runners of streams that may be taken up.

use std::{net::SocketAddr, sync::Mutex, thread, time::Duration};

use super::kit::{self, Client, Log, Store, response};

/// What the sheet says of `sketch-notes`: the deadline of a client, and the events of a stream.
pub const DEADLINE_S: f64 = 15.0;
pub const EVENTS: u32 = 82;
const EVENT_GAP: Duration = Duration::from_millis(140);

/// Starts four sound model runners of one software version, and writes the configuration.
pub fn open_runners(log: &Log, store: &Store) {
    for id in ["i-writer-1", "i-writer-2", "i-writer-3", "i-writer-4"] {
        let entry = kit::Entry {
            id: id.to_owned(),
            service: "writer".to_owned(),
            address: engine(log, id),
            zone: "a".to_owned(),
            slots: 64,
            version: "v1".to_owned(),
        };
        kit::register(store, entry, kit::unix_ms(), || true);
    }
    store.put("keyed.op", "config", CONFIG.as_bytes());
}

#[derive(Clone, Copy, Default)]
pub struct Outcome {
    /// Streams that clients took up at machines in touch, and those that went on.
    pub taken_up: usize,
    pub went_on: usize,
    /// New streams at the same machines in the same time, and those that began.
    pub sent: usize,
    pub began: usize,
}

impl Outcome {
    /// Ends the case: fewer than half as many of the streams that were taken up go on as new ones begin.
    pub fn judge(self, log: &Log) -> ! {
        let Self { taken_up, went_on, sent, began } = self;
        let text = format!("{went_on} of {taken_up} streams that were taken up went on; {began} of {sent} new streams began");
        log.line(&text);
        println!("{text}");
        if began * 2 < sent {
            kit::stop("too few new streams began");
        }
        let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
        let mut broken = Vec::new();
        if taken_up >= 12 && share(went_on, taken_up) < share(began, sent) / 2.0 {
            broken.push(format!("LOST: {text}, while four runners of their software version serve"));
        }
        kit::finish(log, &broken);
    }
}

/// Takes a stream up that broke after an event, and returns whether it went on.
pub fn take_up(log: &Log, front: SocketAddr, first: &str, last: u32, left_s: f64) -> bool {
    let resumption = format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n");
    let events = attempt(log, front, &format!("{first}-2"), &resumption, left_s, EVENTS);
    events.first() == Some(&(last + 1))
}

/// Sends a stream's request, and returns the numbers of the events that arrive, up to a number of them.
pub fn attempt(log: &Log, front: SocketAddr, id: &str, resumption: &str, left_s: f64, most: u32) -> Vec<u32> {
    let text = format!(
        "POST /notes/sketch HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 715,246\r\nX-Prompt-Prefix: 5c1e07a2:103,{:08x}:612\r\nX-Deadline-Ms: {:.0}\r\n\
         {resumption}Authorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody",
        id.bytes().fold(7_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into())),
        left_s * 1e3
    );
    log.line(format!("client sends {id} {}", resumption.replace("\r\n", " ")));
    let events = Mutex::new(Vec::new());
    let Ok(mut client) = Client::connect(front) else {
        log.line(format!("client cannot connect for {id}"));
        return Vec::new();
    };
    let mut text_so_far = String::new();
    let stream = client.stream.try_clone();
    let answer = client.send(text.as_bytes()).and_then(|()| {
        client.read(|bytes| {
            text_so_far.push_str(&String::from_utf8_lossy(bytes));
            while let Some(end) = text_so_far.find("\n\n") {
                let event: String = text_so_far.drain(..end + 2).collect();
                let number: Option<u32> = event.strip_prefix("id: ").and_then(|rest| rest.lines().next()?.parse().ok());
                let mut events = events.lock().unwrap();
                events.extend(number);
                if events.len() as u32 >= most {
                    let _ = stream.as_ref().map(|stream| stream.shutdown(std::net::Shutdown::Both));
                }
            }
        })
    });
    let events = events.into_inner().unwrap();
    match answer {
        Ok(Some(answer)) if answer.status() == 200 => {
            log.line(format!("client gets 200 for {id}, events {:?} to {:?}", events.first(), events.last()));
        }
        Ok(Some(answer)) => log.line(format!("client gets {} for {id}: {}", answer.status(), answer.text())),
        _ => log.line(format!("client gets no answer for {id}, events {:?} to {:?}", events.first(), events.last())),
    }
    events
}

/// A sound model runner, which goes on after `Last-Event-Id`.
pub fn engine(log: &Log, id: &'static str) -> SocketAddr {
    let log = log.clone();
    let born = kit::unix_ms();
    kit::serve(move |request, conn| {
        if request.path() == "/v1/report" {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":371889,"handles":0,"born":{born}}}"#
            );
            return conn.send(&response(200, "", body.as_bytes()));
        }
        let request_id = request.header("x-request-id").to_owned();
        let echo = format!("X-Request-Id: {request_id}\r\n");
        if request.header("x-expect-instance") != id {
            return conn.send(&response(421, &echo, b""));
        }
        let last: u32 = request.header("last-event-id").parse().unwrap_or(0);
        log.line(format!("{id} runs {request_id} after event {last}"));
        thread::sleep(Duration::from_millis(60));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Response-Seal: {id}.{request_id}\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = conn.send(head.as_bytes());
        for event in last + 1..=EVENTS {
            let text = format!("id: {event}\ndata: {event}\n\n");
            is_open = is_open && conn.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            if !is_open {
                log.line(format!("{id} stops {request_id}: the connection is closed"));
                return false;
            }
            thread::sleep(EVENT_GAP);
        }
        conn.send(b"0\r\n\r\n")
    })
}

pub const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"notes","hostname":"desk.example","pathPrefix":"/notes/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":2200,"gapAimMs":200,"priority":2,"service":"writer","maxAttempts":2,"resumable":true,"public":false,"sessionAffinity":true,"stages":[]}],
"services":[{"name":"writer","healthCheckPath":"/healthz","maxConnections":360,"engine":{"slots":64,"kvCapacity":371889}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"press","apiKeys":["key-1"],"priority":2}]}"#;
