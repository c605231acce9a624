//! Stand-ins of the platform's store, runners and clients, and instances as separate processes. Standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The time after which a case ends without a result.
const MAX_TIME: Duration = Duration::from_secs(115);

/// The heartbeat interval of runners, as in the settings.
pub const HEARTBEAT_MS: u64 = 1_200;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Log {
    pub fn open(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| stop(&format!("{path}: {error}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Ends the case because it couldn't run.
pub fn stop(text: &str) -> ! {
    eprintln!("case could not run: {text}");
    kill_all();
    std::process::exit(2);
}

/// Ends the case with a result.
pub fn finish(log: &Log, broken: &[String]) -> ! {
    for (at, line) in broken.iter().enumerate() {
        log.line(format!("BROKEN {line}"));
        if at < 5 {
            println!("BROKEN {line}");
        }
    }
    println!("{} breaks", broken.len());
    let verdict = if broken.is_empty() { "held" } else { "broken" };
    log.line(format!("the rule was {verdict}"));
    println!("the rule was {verdict}");
    kill_all();
    std::process::exit(i32::from(!broken.is_empty()));
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of the case and removes its temporary folder.
fn kill_all() {
    let _ = fs::remove_dir_all(folder_path());
    for pid in CHILDREN.lock().unwrap().iter() {
        unsafe { kill(*pid as i32, SIGKILL) };
    }
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Starts a case: opens its record, whose path is the first argument, and bounds its time.
pub fn begin() -> Log {
    let path = std::env::args().nth(1).unwrap_or_else(|| stop("usage: case RECORD"));
    std::panic::set_hook(Box::new(|info| stop(&info.to_string())));
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        stop("time is over");
    });
    let log = Log::open(&path);
    log.line(format!("trouble: {}", has_trouble()));
    log
}

/// Waits until a condition holds, or ends the case.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !holds() {
        if Instant::now() > until {
            stop(&format!("timeout while waiting: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

// ---------------------------------------------------------------- HTTP

/// A request, or an answer, with header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(known, _)| known == name)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| value.to_owned())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a request or an answer. `on_bytes` is told of each part of the body.
pub fn read_message(
    reader: &mut impl BufRead,
    is_answer: bool,
    mut on_bytes: impl FnMut(&[u8]),
) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Ok(Some(message));
            }
            let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(Some(message));
            }
            if size == 0 {
                message.is_whole = true;
                return Ok(Some(message));
            }
            on_bytes(&chunk[..size]);
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").parse::<usize>();
    match length {
        Ok(length) => {
            message.body = vec![0; length];
            message.is_whole = reader.read_exact(&mut message.body).is_ok();
        }
        Err(_) if is_answer => {
            message.is_whole = reader.read_to_end(&mut message.body).is_ok();
        }
        Err(_) => message.is_whole = true,
    }
    Ok(Some(message))
}

/// A connection of a stand-in.
pub struct Conn {
    pub number: u64,
    pub stream: TcpStream,
}

impl Conn {
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

/// Serves each connection on its own thread. `answer` returns whether the connection stays open.
pub fn serve(answer: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let number = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
                let mut conn = Conn { number, stream: copy };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader, false, |_| {}) {
                    if !answer(&request, &mut conn) {
                        break;
                    }
                }
                let _ = conn.stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    address
}

pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn read(&mut self, on_bytes: impl FnMut(&[u8])) -> io::Result<Option<Message>> {
        read_message(&mut self.reader, true, on_bytes)
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::space(bytes, at);
        match bytes.get(*at)? {
            b'{' | b'[' => {
                let is_map = bytes[*at] == b'{';
                *at += 1;
                let (mut list, mut map) = (Vec::new(), Vec::new());
                loop {
                    Self::space(bytes, at);
                    match bytes.get(*at)? {
                        b'}' | b']' => {
                            *at += 1;
                            return Some(if is_map { Self::Map(map) } else { Self::List(list) });
                        }
                        b',' => *at += 1,
                        _ if is_map => {
                            let Self::Text(key) = Self::value(bytes, at)? else { return None };
                            Self::space(bytes, at);
                            *at += 1;
                            map.push((key, Self::value(bytes, at)?));
                        }
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Self::Text(String::from_utf8_lossy(&text).into_owned()));
                        }
                        b'\\' => {
                            text.push(*bytes.get(*at + 1)?);
                            *at += 2;
                        }
                        byte => {
                            text.push(*byte);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
                match word {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Map(map) => map.iter().find(|(key, _)| key == name).map_or(&Self::Null, |(_, value)| value),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |sum, at| sum << 8 | u32::from(*part.get(at).unwrap_or(&0)));
        for digit in 0..4 {
            if digit <= part.len() {
                text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes a value of a query.
fn decode_query(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            (byte, _) => {
                bytes.push(if *byte == b'+' { b' ' } else { *byte });
                rest = after;
            }
        }
    }
    bytes
}

// ---------------------------------------------------------------- store

/// What a page of the newest records holds at most.
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

/// The platform's store, as far as the system uses it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Mutex<BTreeMap<String, Vec<Vec<u8>>>>>,
}

impl Store {
    pub fn open() -> Self {
        let topics: Arc<Mutex<BTreeMap<String, Vec<Vec<u8>>>>> = Arc::default();
        let shared = topics.clone();
        let address = serve(move |request, conn| {
            let bytes = Self::answer(&shared, request);
            conn.send(&bytes)
        });
        Self { address, topics }
    }

    /// Writes a record with a key, as the operator or a runner does. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let record = [&[key.len() as u8], key.as_bytes(), value].concat();
        self.topics.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
    }

    fn answer(topics: &Mutex<BTreeMap<String, Vec<Vec<u8>>>>, request: &Message) -> Vec<u8> {
        const ERA: &str = "Store-Era: 1\r\n";
        let topic = request.query("topic");
        thread::sleep(Duration::from_millis(4));
        match request.path() {
            "/v1/log-newest" => {
                let topics = topics.lock().unwrap();
                let empty = Vec::new();
                let records = topics.get(&topic).unwrap_or(&empty);
                let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value.to_vec()));
                }
                let after = decode_query(&request.query("after"));
                let mut kept: Vec<_> = newest
                    .iter()
                    .filter(|(key, (_, value))| !value.is_empty() && key.as_bytes() > after.as_slice())
                    .collect();
                let mut bytes = 0;
                let fits = kept.iter().take(MAX_PAGE_ITEMS).take_while(|(_, (_, value))| {
                    bytes += value.len();
                    bytes <= MAX_PAGE_BYTES
                });
                let fitting = fits.count().max(1);
                let has_more = kept.len() > fitting;
                kept.truncate(fitting);
                let items: Vec<String> = kept
                    .into_iter()
                    .map(|(key, (offset, value))| {
                        format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
                    })
                    .collect();
                let page = format!(r#"{{"items":[{}],"more":{has_more},"end":{}}}"#, items.join(","), records.len());
                response(200, ERA, page.as_bytes())
            }
            "/v1/log-read" => {
                let from: usize = request.query("from").parse().unwrap_or(0);
                let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let end = || topics.lock().unwrap().get(&topic).map_or(0, Vec::len);
                while end() <= from && Instant::now() < until {
                    thread::sleep(Duration::from_millis(5));
                }
                let topics = topics.lock().unwrap();
                let empty = Vec::new();
                let records = topics.get(&topic).unwrap_or(&empty);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                response(200, ERA, &body)
            }
            "/v1/log-append" => {
                let mut topics = topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let offset = records.len();
                let mut rest = request.body.as_slice();
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let body = format!(r#"{{"offset":{offset},"end":{}}}"#, records.len());
                response(200, ERA, body.as_bytes())
            }
            _ => response(404, ERA, b""),
        }
    }
}

// ---------------------------------------------------------------- runners' entries

/// The entry of a runner in the store, which writes it once each heartbeat.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub version: String,
}

/// Writes a runner's entry now and then each heartbeat while `is_alive` holds.
pub fn register(
    store: &Store,
    entry: Entry,
    born: u64,
    is_alive: impl Fn() -> bool + Send + 'static,
) {
    let store = store.clone();
    thread::spawn(move || {
        let mut sequence = 1;
        while is_alive() {
            let Entry { id, service, address, zone, slots, version } = &entry;
            let value = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","coldLeftMs":0,"sequence":{sequence},"born":{born}}}"#
            );
            store.put("keyed.servers", id, value.as_bytes());
            sequence += 1;
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    });
}

// ---------------------------------------------------------------- instances

/// An instance of the system in a separate process, at a loopback address of its own.
pub struct Instance {
    pub name: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Writes the settings of an instance and starts it with the command of the deploy file.
    pub fn start(folder: &Path, store: &Store, name: &str, zone: &str) -> Self {
        let ip = free_ip();
        let text = format!(
            "node={name}\nrole=entry\nmachineClass=front\nserves=front\nip={ip}\nzone={zone}\nregion=r\n\
             zones.a=r\nzones.b=r\nlisten.front={ip}:8625\nlisten.readiness={ip}:8621\ninternalPorts=7740,7755\n\
             bootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n\
             limits.fileDescriptors=4200\nlimits.linkMbps=1000.0\nheartbeatMs={HEARTBEAT_MS}\n\
             bounds.stabilityWindowMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lostMs=200\n\
             bounds.configMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=52\n\
             platform.address={}\nplatform.form=log\n",
            store.address
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).unwrap_or_else(|error| stop(&error.to_string()));
        let mut instance = Self {
            name: name.to_owned(),
            ip,
            front: format!("{ip}:8625").parse().unwrap(),
            readiness: format!("{ip}:8621").parse().unwrap(),
            settings,
            output: folder.join(format!("{name}.log")),
            child: None,
        };
        instance.spawn();
        instance
    }

    pub fn spawn(&mut self) {
        let output = File::options().create(true).append(true).open(&self.output);
        let output = output.unwrap_or_else(|error| stop(&error.to_string()));
        let child = Command::new("target/release/limpetstep-platform")
            .env("LIMPETSTEP_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| stop(&format!("the program does not start: {error}")));
        CHILDREN.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id();
            let _ = child.wait();
            CHILDREN.lock().unwrap().retain(|known| *known != id);
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::connect(self.readiness) else { return false };
        let asked = client.send(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        asked.is_ok() && client.read(|_| {}).is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
    }

    pub fn wait_ready(&self) {
        wait_until("instance is ready", || self.is_ready());
    }
}

/// Returns a loopback address on which the ports of an instance are free.
fn free_ip() -> Ipv4Addr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let process = u64::from(std::process::id());
    for _ in 0..1_000 {
        let number = process * 7 + NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 60 + (number / 62_500 % 100) as u8, (number / 250 % 250) as u8, 1 + (number % 250) as u8);
        let ports = [8_625, 8_621, 7_740, 9_464];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return ip;
        }
    }
    stop("no free loopback address")
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("limpetstep-review-{}", std::process::id()))
}

/// Returns a temporary folder of this case.
pub fn folder() -> PathBuf {
    let folder = folder_path();
    fs::create_dir_all(&folder).unwrap_or_else(|error| stop(&error.to_string()));
    folder
}
