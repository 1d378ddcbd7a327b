//! A client of the platform: each attempt has an id of its own and says how long it waits.

use crate::deployment::{Machine, OUTBOUND, Record};
use crate::http::{Head, Wire};
use std::io;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub body: Body,
}

/// The body of a request, and how it is framed.
#[derive(Debug, Clone)]
pub enum Body {
    None,
    /// With a length.
    Length(Vec<u8>),
    /// So many bytes with a length, written piece by piece after the rest of the request.
    Long(usize),
}

/// A piece of a long body.
static PIECE: [u8; 1 << 18] = [b'p'; 1 << 18];

impl Request {
    /// The bytes on the wire.
    pub fn bytes(&self) -> Vec<u8> {
        let Self { method, host, path, id, deadline_ms, body } = self;
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Milliseconds: {deadline_ms}\r\n"
        )
        .into_bytes();
        match body {
            Body::None => bytes.extend(b"\r\n"),
            Body::Length(body) => {
                bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
                bytes.extend(body);
            }
            Body::Long(length) => bytes.extend(format!("Content-Length: {length}\r\n\r\n").bytes()),
        }
        bytes
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer with this status.
    Answered(u16),
    /// The connection closed, or was reset, without a whole answer.
    Closed,
    /// The client has given up at its deadline.
    GivenUp,
    /// No connection.
    NotConnected,
}

/// A client's connection, which it keeps for further requests.
pub struct Client {
    wire: Wire,
    record: Record,
    ip: Ipv4Addr,
    /// Requests that were answered on it.
    pub answered: u32,
}

impl Client {
    pub fn connect(machine_ip: Ipv4Addr, record: &Record) -> io::Result<Self> {
        let wire = Wire::connect(machine_ip, OUTBOUND)?;
        Ok(Self { wire, record: record.clone(), ip: machine_ip, answered: 0 })
    }

    /// Sends a request and waits for its answer until the deadline.
    pub fn send(&mut self, request: &Request) -> Ending {
        let (sent, ending) = (Instant::now(), self.exchange(request));
        let ending = match ending {
            Ok(head) => Ending::Answered(head.status()),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Ending::GivenUp
            }
            Err(_) => Ending::Closed,
        };
        self.answered += u32::from(matches!(ending, Ending::Answered(_)));
        let Request { id, method, host, path, .. } = request;
        self.record.note_at(sent, format!("client at {} sends {id}: {method} {host}{path}", self.ip));
        self.record.note(format!("client at {} ends {id}: {ending:?}", self.ip));
        ending
    }

    fn exchange(&mut self, request: &Request) -> io::Result<Head> {
        // A little beyond the deadline, so that an answer that was sent in time arrives.
        let wait = Duration::from_millis(request.deadline_ms + 300);
        let end = Instant::now() + wait;
        self.wire.stream.set_write_timeout(Some(wait))?;
        self.wire.write(&request.bytes())?;
        let mut unwritten = if let Body::Long(length) = request.body { length } else { 0 };
        while unwritten > 0 {
            let count = unwritten.min(PIECE.len());
            self.wire.write(&PIECE[..count])?;
            unwritten -= count;
        }
        let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.wire.stream.set_read_timeout(Some(left))?;
        let head = self.wire.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        self.wire.read_body(&head, true)?;
        Ok(head)
    }
}

/// Sends a request on a connection of its own.
pub fn send_once(machine: Ipv4Addr, record: &Record, request: &Request) -> Ending {
    match Client::connect(machine, record) {
        Ok(mut client) => client.send(request),
        Err(_) => {
            record.note(format!("client at {machine} has no connection for {}", request.id));
            Ending::NotConnected
        }
    }
}

/// Sends requests until one is answered 200. Returns whether one was.
pub fn until_served(machine: &Machine, record: &Record, host: &'static str, path: &str) -> bool {
    let mut number = 0;
    crate::deployment::within(Duration::from_secs(15), || {
        number += 1;
        let id = format!("probe-{host}-{number}");
        let request =
            Request { method: "GET", host, path: path.to_owned(), id, deadline_ms: 2000, body: Body::None };
        send_once(machine.ip, record, &request) == Ending::Answered(200)
    })
}
